import type { Clock } from "../clock.js";

/** A token bucket: `rate` tokens per second, with bursts of up to `burst`. */
export class RateLimiter {
  #rate: number;
  #burst: number;
  #level: number;
  #refilledAt: number;

  constructor(
    rate: number,
    burst: number,
    readonly clock: Clock,
  ) {
    this.#rate = rate;
    this.#burst = burst;
    this.#level = burst;
    this.#refilledAt = clock.now();
  }

  get rate(): number {
    return this.#rate;
  }

  get burst(): number {
    return this.#burst;
  }

  /** Sets a new rate and burst. The tokens in the bucket are kept, up to the new burst. */
  change(rate: number, burst: number): void {
    this.#refill();
    this.#rate = rate;
    this.#burst = burst;
    this.#level = Math.min(this.#level, burst);
  }

  #refill(): void {
    const now = this.clock.now();
    this.#level = Math.min(
      this.#burst,
      this.#level + ((now - this.#refilledAt) / 1000) * this.#rate,
    );
    this.#refilledAt = now;
  }

  /** Takes `count` tokens if at least `reserve` remain for more important requests. */
  take(count: number, reserve = 0): boolean {
    this.#refill();
    // A request larger than the bucket passes when the bucket is full; the level becomes negative.
    if (this.#level < Math.min(count + reserve, this.#burst)) return false;
    this.#level -= count;
    return true;
  }

  /** Takes tokens for what cannot wait, such as lease renewals: counted, but never refused. */
  force(count: number): void {
    this.#refill();
    this.#level -= count;
  }

  get level(): number {
    this.#refill();
    return this.#level;
  }
}
