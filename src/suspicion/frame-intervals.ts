// The package's main file loads all its kinds of histogram, which costs ten times as much processor
// time as this one; a controller that starts has workers waiting for it.
import loaded from "hdr-histogram-js/dist/Int32Histogram.js";

const Int32Histogram = loaded.default;

/** Below so many intervals the distribution says nothing about its tail. */
const FEW = 50;
/** So many make a generation; the one before still counts, so that what was long ago fades. */
const MANY = 500;

/**
 * The intervals between a peer's frames, and how unlikely it makes a silence (accrual, after
 * Hayashibara et al. 2004): phi = -log10 of the share of intervals that were at least as long. The
 * distribution is the one that was seen, not a normal one: passes, bursts and lost frames give it
 * a tail that a mean and a deviation do not tell of.
 */
export class Intervals {
  readonly #mostMs: number;
  #now: InstanceType<typeof Int32Histogram>;
  #before: InstanceType<typeof Int32Histogram> | null = null;

  constructor(mostMs: number) {
    this.#mostMs = Math.max(2, Math.ceil(mostMs));
    this.#now = this.#fresh();
  }

  #fresh(): InstanceType<typeof Int32Histogram> {
    return new Int32Histogram(1, this.#mostMs, 2);
  }

  get count(): number {
    return this.#now.totalCount + (this.#before?.totalCount ?? 0);
  }

  add(ms: number): void {
    this.#now.recordValue(Math.min(this.#mostMs, Math.max(1, Math.round(ms))));
    if (this.#now.totalCount < MANY) return;
    this.#before = this.#now;
    this.#now = this.#fresh();
  }

  /** The length that so many in a hundred intervals do not pass, milliseconds. */
  at(percentile: number): number {
    const older = this.#before?.getValueAtPercentile(percentile) ?? 0;
    return Math.max(
      older,
      this.#now.totalCount === 0 ? 0 : this.#now.getValueAtPercentile(percentile),
    );
  }

  /**
   * How unlikely a silence of so long is. Within what was seen, by what was seen; beyond the 99th
   * percentile it grows by one with every distance between the 90th and the 99th. Zero while too
   * few intervals are known.
   */
  phi(ms: number): number {
    if (this.count < FEW) return 0;
    const [p90, p99] = [this.at(90), this.at(99)];
    const decade = Math.max(p99 - p90, p90 / 4, 1);
    if (ms >= p99) return 2 + (ms - p99) / decade;
    if (ms >= p90) return 1 + (ms - p90) / Math.max(p99 - p90, 1);
    return ms / Math.max(p90, 1);
  }

  /** The shortest silence with such a phi. */
  silence(phi: number): number {
    if (this.count < FEW) return 0;
    const [p90, p99] = [this.at(90), this.at(99)];
    return p99 + (phi - 2) * Math.max(p99 - p90, p90 / 4, 1);
  }
}
