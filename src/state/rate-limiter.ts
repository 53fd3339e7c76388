import type { Clock } from "../clock.js";

/** A token bucket: `rate` a second, with bursts of up to `burst`. */
export class RateLimiter {
  #rate: number;
  #burst: number;
  #level: number;
  #at: number;

  constructor(
    rate: number,
    burst: number,
    readonly clock: Clock,
  ) {
    this.#rate = rate;
    this.#burst = burst;
    this.#level = burst;
    this.#at = clock.now();
  }

  get rate(): number {
    return this.#rate;
  }

  get burst(): number {
    return this.#burst;
  }

  /** From now on this much; what has been saved up stays, as far as it fits. */
  change(rate: number, burst: number): void {
    this.#refill();
    this.#rate = rate;
    this.#burst = burst;
    this.#level = Math.min(this.#level, burst);
  }

  #refill(): void {
    const now = this.clock.now();
    this.#level = Math.min(this.#burst, this.#level + ((now - this.#at) / 1000) * this.#rate);
    this.#at = now;
  }

  /** Takes `n` when that leaves at least `keep` for requests that matter more. */
  take(n: number, keep = 0): boolean {
    this.#refill();
    // A request larger than the bucket may go when the bucket is full; it leaves a debt.
    if (this.#level < Math.min(n + keep, this.#burst)) return false;
    this.#level -= n;
    return true;
  }

  /** For what cannot be put off, such as lease renewals: it is counted, never refused. */
  force(n: number): void {
    this.#refill();
    this.#level -= n;
  }

  get level(): number {
    this.#refill();
    return this.#level;
  }
}
