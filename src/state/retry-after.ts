import type { Clock } from "../clock.js";

/** PROTOCOL: the longest `Retry-After` that a user waits for, in seconds. */
const MAX_RETRY_AFTER_S = 30;

/**
 * Spreads the `Retry-After` times of requests that cannot be served now, at the rate at which they
 * can be served, so that they do not all come back after one second.
 */
export class RetryAfterQueue {
  #lastTurnAt = Number.NEGATIVE_INFINITY;

  constructor(
    /** Requests that can be served per second. */
    readonly perSecond: () => number,
    readonly clock: Clock,
  ) {}

  /** Whole seconds, from 1 to 30. */
  nextDelayS(): number {
    const now = this.clock.now();
    const gapMs = 1000 / Math.max(this.perSecond(), 1e-3);
    // Each time slot is given out once. Beyond the longest delay all get that delay and come back together.
    this.#lastTurnAt = Math.min(
      Math.max(now + 1000, this.#lastTurnAt + gapMs),
      now + MAX_RETRY_AFTER_S * 1000,
    );
    return Math.ceil((this.#lastTurnAt - now) / 1000);
  }
}
