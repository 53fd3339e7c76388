import type { Clock } from "../clock.js";
import { RateLimiter } from "./rate-limiter.js";

/** PROTOCOL: a user retries within this time. A name not seen for longer is no longer waiting. */
const WAITING_TIMEOUT_MS = 30_000;

/** How many names each map keeps; beyond that a retry is treated like a first request. */
const MAX_NAMES = 4096;

interface WaitingEntry {
  lastRequestAt: number;
}

/**
 * Admits as many requests as the rate limiter allows. When there are more, it prefers the names that
 * have waited longest: with a random choice, one request among many is refused repeatedly, for as
 * long as the operators' limit for a forgotten request (75 s). Requests are not queued: one that is
 * not admitted is refused at once, and its retries are admitted in the order of the first retry.
 *
 * Belongs to one controller and lives in memory only: a restart clears it. Each map is bounded by
 * `MAX_NAMES`.
 */
export class Admission {
  readonly #limiter: RateLimiter;
  /** Names that were refused once. A flood of names that never retry stays in this map. */
  readonly #refusedOnce = new Map<string, WaitingEntry>();
  /** Names that retried and were refused again, in the order of that first retry. */
  readonly #waiting = new Map<string, WaitingEntry>();
  refused = 0;

  constructor(
    /** Requests admitted per second. */
    readonly rate: number,
    readonly clock: Clock,
  ) {
    this.#limiter = new RateLimiter(rate, Math.max(1, rate), clock);
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  /** Whether a request for this name is admitted; if not, its retries get preference. */
  admit(name: string): boolean {
    const now = this.clock.now();
    this.#dropExpired(this.#refusedOnce, now);
    this.#dropExpired(this.#waiting, now);
    const preferred = this.#isAmongFirst(name);
    // While names are waiting, half of the burst is reserved for those that have waited longest.
    const reserved = preferred || this.#waiting.size === 0 ? 0 : this.#limiter.burst / 2;
    if (this.#limiter.take(1, reserved)) {
      this.#refusedOnce.delete(name);
      this.#waiting.delete(name);
      return true;
    }
    this.refused++;
    const entry = this.#waiting.get(name);
    if (entry !== undefined) entry.lastRequestAt = now;
    else if (this.#waiting.size < MAX_NAMES && this.#refusedOnce.delete(name)) {
      this.#waiting.set(name, { lastRequestAt: now });
    } else {
      // A full map drops its oldest name, not the recent ones, which retry within seconds.
      const [oldest] = this.#refusedOnce.size < MAX_NAMES ? [] : this.#refusedOnce.keys();
      if (oldest !== undefined) this.#refusedOnce.delete(oldest);
      this.#refusedOnce.delete(name);
      this.#refusedOnce.set(name, { lastRequestAt: now });
    }
    return false;
  }

  /** Whether the name is near enough to the head to be admitted within about two seconds. */
  #isAmongFirst(name: string): boolean {
    if (!this.#waiting.has(name)) return false;
    let placesLeft = Math.max(1, 2 * this.rate);
    for (const other of this.#waiting.keys()) {
      if (other === name) return true;
      if (--placesLeft <= 0) return false;
    }
    return false;
  }

  /** Drops names that have not retried in time; each request checks the two oldest ones. */
  #dropExpired(entries: Map<string, WaitingEntry>, now: number): void {
    let checksLeft = 2;
    for (const [name, { lastRequestAt }] of entries) {
      if (now - lastRequestAt > WAITING_TIMEOUT_MS) entries.delete(name);
      if (--checksLeft <= 0) return;
    }
  }
}
