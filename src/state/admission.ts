import type { Clock } from "../clock.js";
import { RateLimiter } from "./rate-limiter.js";

/** PROTOCOL: a user comes back after at most so long. Who has not is not waiting any more. */
const RETURNS_MS = 30_000;

/** Names of the waiting that are kept; beyond them a repetition is as good as a new question. */
const MOST = 4096;

interface Waiting {
  askedAt: number;
}

/**
 * Lets as many questions through as there is budget for, and when there are more, those that have
 * waited longest: drawn by chance alone, one question of many is refused again and again for as long
 * as the operators call forgotten (75 s). Nobody is held back: who may not pass is told so at once,
 * and passes later, in the order in which they came back.
 *
 * Owned by its controller, in memory only: after a restart all are new again. Bounded by `MOST`.
 */
export class Admission {
  readonly #budget: RateLimiter;
  /** Who was refused once. Floods of questions that are asked only once stay here. */
  readonly #once = new Map<string, Waiting>();
  /** Who came back and was refused again, in that order. */
  readonly #waiting = new Map<string, Waiting>();
  refused = 0;

  constructor(
    /** Questions a second. */
    readonly rate: number,
    readonly clock: Clock,
  ) {
    this.#budget = new RateLimiter(rate, Math.max(1, rate), clock);
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  /** Whether a question about this passes; if not, its repetition has better odds. */
  admit(name: string): boolean {
    const now = this.clock.now();
    this.#expire(this.#once, now);
    this.#expire(this.#waiting, now);
    const first = this.#amongFirst(name);
    // Half of what can be saved up is for those who have waited longest, while there are any.
    const kept = first || this.#waiting.size === 0 ? 0 : this.#budget.burst / 2;
    if (this.#budget.take(1, kept)) {
      this.#once.delete(name);
      this.#waiting.delete(name);
      return true;
    }
    this.refused++;
    const known = this.#waiting.get(name);
    if (known !== undefined) known.askedAt = now;
    else if (this.#waiting.size < MOST && this.#once.delete(name)) {
      this.#waiting.set(name, { askedAt: now });
    } else {
      // A flood pushes the oldest out, not those who have just come and will be back within seconds.
      const [oldest] = this.#once.size < MOST ? [] : this.#once.keys();
      if (oldest !== undefined) this.#once.delete(oldest);
      this.#once.delete(name);
      this.#once.set(name, { askedAt: now });
    }
    return false;
  }

  /** Whether it is one of those who can be let through within about two seconds. */
  #amongFirst(name: string): boolean {
    if (!this.#waiting.has(name)) return false;
    let places = Math.max(1, 2 * this.rate);
    for (const other of this.#waiting.keys()) {
      if (other === name) return true;
      if (--places <= 0) return false;
    }
    return false;
  }

  /** Some of the oldest who have not come back in time: each question pays for two of them. */
  #expire(among: Map<string, Waiting>, now: number): void {
    let looks = 2;
    for (const [name, { askedAt }] of among) {
      if (now - askedAt > RETURNS_MS) among.delete(name);
      if (--looks <= 0) return;
    }
  }
}
