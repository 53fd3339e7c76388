import type { JobSpec } from "../wire/jobs.js";

/** What the store keeps of a chunk of tasks: written by its part's owner alone. */
export interface ChunkState {
  /** Highest attempt number given out so far. */
  attempts: number;
  /** Completed tasks as ranges, relative to the first task: `0-3,7`. */
  done: string;
  /** Placed tasks, proved gone not yet. */
  live: { index: number; attempt: number; machine: string }[];
}

export interface Allocation {
  readonly chunk: Chunk;
  readonly task: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  /** Version of the chunk that first contains this placement. */
  readonly version: number;
  /** When this owner placed it, or loaded it. */
  readonly since: number;
  /** The report in whose answer the start was last sent. */
  startSentIn: { session: number; seq: number } | null;
  /** When a report first listed it. */
  firstReportedAt: number | null;
  running: boolean;
  /** Why it is being stopped, with the time given to save. */
  stopRequest: { graceS: number; reason: string; askedAt: number } | null;
}

export class Chunk {
  attempts = 0;
  readonly done: Uint8Array;
  doneCount = 0;
  readonly allocations = new Map<number, Allocation>();
  /** The page of the store that holds it; null while there is nothing to keep. */
  page: number | null = null;
  /** Further pages with a part each of what is live, where it is too much for one. */
  extraPages: readonly number[] = [];
  /** Version of what it brought along from another part, until that is in a page; else 0. */
  handoverVersion = 0;
  /** Counts changes in memory; `savedVersion` is the last one known to be in the store. */
  version = 0;
  savedVersion = 0;
  /** Tasks before this one are all placed or done. */
  cursor = 0;
  /** The part that it is being handed to; nothing of it is placed meanwhile. */
  movingTo: number | null = null;

  constructor(
    readonly job: string,
    readonly spec: JobSpec,
    readonly index: number,
    readonly firstTask: number,
    readonly size: number,
    /** When this owner got it. */
    readonly since: number,
  ) {
    this.done = new Uint8Array(size);
  }

  get pending(): number {
    return this.size - this.doneCount - this.allocations.size;
  }

  get complete(): boolean {
    return this.doneCount === this.size;
  }

  /** The next task that is neither done nor placed, relative to the chunk. */
  nextPending(): number | null {
    for (let i = this.cursor; i < this.size; i++) {
      if (this.done[i] === 0 && !this.allocations.has(i)) {
        this.cursor = i;
        return i;
      }
    }
    return null;
  }

  place(index: number, machine: string, now: number): Allocation {
    this.version++;
    this.attempts++;
    const live: Allocation = {
      chunk: this,
      task: `${this.job}/${this.firstTask + index}`,
      index,
      attempt: this.attempts,
      machine,
      version: this.version,
      since: now,
      startSentIn: null,
      firstReportedAt: null,
      running: false,
      stopRequest: null,
    };
    this.allocations.set(index, live);
    return live;
  }

  /** The task is proved gone from its machine, with or without having completed. */
  release(live: Allocation, completed: boolean): void {
    if (this.allocations.get(live.index) !== live) return;
    this.version++;
    this.allocations.delete(live.index);
    if (completed) {
      this.done[live.index] = 1;
      this.doneCount++;
    } else {
      this.cursor = Math.min(this.cursor, live.index);
    }
  }

  /** A task that was not placed is known to have completed: its worker still tells so. */
  markDone(index: number): boolean {
    if (index < 0 || index >= this.size || this.done[index] !== 0 || this.allocations.has(index)) {
      return false;
    }
    this.version++;
    this.done[index] = 1;
    this.doneCount++;
    return true;
  }

  get state(): ChunkState {
    const live = [...this.allocations.values()].map(({ index, attempt, machine }) => ({
      index,
      attempt,
      machine,
    }));
    return { attempts: this.attempts, done: ranges(this.done), live };
  }

  load(state: ChunkState, now: number): void {
    this.attempts = state.attempts;
    for (const range of state.done === "" ? [] : state.done.split(",")) {
      const [from, to] = range.split("-").map(Number) as [number, number?];
      for (let i = from; i <= (to ?? from) && i < this.size; i++) {
        if (this.done[i] === 0) this.doneCount++;
        this.done[i] = 1;
      }
    }
    for (const { index, attempt, machine } of state.live) {
      this.allocations.set(index, {
        chunk: this,
        task: `${this.job}/${this.firstTask + index}`,
        index,
        attempt,
        machine,
        version: 0,
        since: now,
        startSentIn: null,
        firstReportedAt: null,
        running: false,
        stopRequest: null,
      });
    }
  }
}

export function ranges(flags: Uint8Array): string {
  const out: string[] = [];
  for (let i = 0; i < flags.length; i++) {
    if (flags[i] === 0) continue;
    const from = i;
    while (i + 1 < flags.length && flags[i + 1] !== 0) i++;
    out.push(from === i ? `${from}` : `${from}-${i}`);
  }
  return out.join(",");
}
