import type { Clock } from "../clock.js";

/** PROTOCOL: a user waits for `Retry-After` up to so many seconds. */
const LONGEST_S = 30;

/**
 * Who cannot be served now is told when to come back: one after the other, as fast as there is room
 * for them, and not all of them a second later.
 */
export class RetryAfterQueue {
  #next = Number.NEGATIVE_INFINITY;

  constructor(
    /** How many can be served a second. */
    readonly perSecond: () => number,
    readonly clock: Clock,
  ) {}

  /** Whole seconds, from 1 to 30. */
  nextDelayS(): number {
    const now = this.clock.now();
    const gapMs = 1000 / Math.max(this.perSecond(), 1e-3);
    // A turn is given out once. Beyond what may be said nobody is told more: those come back together.
    this.#next = Math.min(Math.max(now + 1000, this.#next + gapMs), now + LONGEST_S * 1000);
    return Math.ceil((this.#next - now) / 1000);
  }
}
