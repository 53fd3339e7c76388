import type { Clock, Timer } from "../../src/clock.js";

/**
 * One controller's clock. Timers that are due while its process is frozen fire on `thaw`; while it is
 * slow, timers fire `lagMs` later. `now` and `wall` go on in both cases.
 */
export class NodeClock implements Clock {
  /** Extra delay of every timer, ms. */
  lagMs = 0;
  #frozen = false;
  #due: (() => void)[] = [];

  constructor(readonly world: Clock) {}

  get frozen(): boolean {
    return this.#frozen;
  }

  now(): number {
    return this.world.now();
  }

  wall(): number {
    return this.world.wall();
  }

  after(ms: number, run: () => void): Timer {
    let cancelled = false;
    const timer = this.world.after(ms + this.lagMs, () => {
      if (!this.#frozen) run();
      else
        this.#due.push(() => {
          if (!cancelled) run();
        });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  freeze(): void {
    this.#frozen = true;
  }

  thaw(): void {
    this.#frozen = false;
    for (const run of this.#due.splice(0)) run();
  }

  /** For the end of the process: drops the timers that are due, and clears freeze and lag. */
  reset(): void {
    this.#frozen = false;
    this.lagMs = 0;
    this.#due = [];
  }
}
