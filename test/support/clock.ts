import type { Clock, Timer } from "../../src/clock.js";

interface Entry {
  at: number;
  order: number;
  run: () => void;
  cancelled: boolean;
}

/** Simulated clock: time advances only in `run`. Timers fire in order, one at a time. */
export class FakeClock implements Clock {
  #now = 0;
  #order = 0;
  #heap: Entry[] = [];

  now(): number {
    return this.#now;
  }

  wall(): number {
    return 1_700_000_000_000 + this.#now;
  }

  after(ms: number, run: () => void): Timer {
    const entry: Entry = {
      at: this.#now + Math.max(0, ms),
      order: this.#order++,
      run,
      cancelled: false,
    };
    this.#heap.push(entry);
    this.#up(this.#heap.length - 1);
    return {
      cancel: () => {
        entry.cancelled = true;
      },
    };
  }

  /** Advances time by `ms`; all promises settle between one timer and the next. */
  async run(ms: number): Promise<void> {
    const until = this.#now + ms;
    await settlePromises();
    for (let next = this.#heap[0]; next !== undefined && next.at <= until; next = this.#heap[0]) {
      this.#pop();
      if (next.cancelled) continue;
      this.#now = next.at;
      next.run();
      await settlePromises();
    }
    this.#now = until;
  }

  /** Advances time until the promise has settled, by at most `ms`. */
  async within<T>(promise: Promise<T>, ms = 600_000): Promise<T> {
    let settled = false;
    const end = (): void => {
      settled = true;
    };
    promise.then(end, end);
    for (let waited = 0; waited < ms && !settled; waited += 50) await this.run(50);
    return promise;
  }

  #before(a: Entry, b: Entry): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  #up(from: number): void {
    const heap = this.#heap;
    for (let i = from; i > 0; ) {
      const parent = (i - 1) >> 1;
      if (!this.#before(heap[i]!, heap[parent]!)) return;
      [heap[i], heap[parent]] = [heap[parent]!, heap[i]!];
      i = parent;
    }
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    heap[0] = last;
    for (let i = 0; ; ) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < heap.length && this.#before(heap[child]!, heap[least]!)) least = child;
      }
      if (least === i) return;
      [heap[i], heap[least]] = [heap[least]!, heap[i]!];
      i = least;
    }
  }
}

/** Resolves after all promises that can settle without time advancing. */
const settlePromises = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
