// Imported directly: the package's main file loads all kinds of histogram, which takes ten times as
// much processor time, and workers are waiting while a controller starts.
import loaded from "hdr-histogram-js/dist/Int32Histogram.js";

const Int32Histogram = loaded.default;

/** With fewer intervals the distribution says nothing about its tail. */
const MIN_INTERVALS = 50;
/** Size of a generation. The current and the previous one count; older intervals are dropped. */
const INTERVALS_PER_GENERATION = 500;

/**
 * The intervals between a peer's frames, and how unlikely they make a silence (phi accrual, after
 * Hayashibara et al. 2004): phi = -log10 of the share of intervals that were at least as long. The
 * observed distribution is used, not a normal one: placement passes, bursts and lost frames give it a
 * tail that mean and deviation do not describe.
 */
export class FrameIntervals {
  readonly #maxMs: number;
  #current: InstanceType<typeof Int32Histogram>;
  #previous: InstanceType<typeof Int32Histogram> | null = null;

  constructor(mostMs: number) {
    this.#maxMs = Math.max(2, Math.ceil(mostMs));
    this.#current = this.#newHistogram();
  }

  #newHistogram(): InstanceType<typeof Int32Histogram> {
    return new Int32Histogram(1, this.#maxMs, 2);
  }

  get count(): number {
    return this.#current.totalCount + (this.#previous?.totalCount ?? 0);
  }

  add(ms: number): void {
    this.#current.recordValue(Math.min(this.#maxMs, Math.max(1, Math.round(ms))));
    if (this.#current.totalCount < INTERVALS_PER_GENERATION) return;
    this.#previous = this.#current;
    this.#current = this.#newHistogram();
  }

  /** The given percentile of the intervals, milliseconds; the larger of the two generations. */
  percentileMs(percentile: number): number {
    const previous = this.#previous?.getValueAtPercentile(percentile) ?? 0;
    return Math.max(
      previous,
      this.#current.totalCount === 0 ? 0 : this.#current.getValueAtPercentile(percentile),
    );
  }

  /**
   * How unlikely a silence of this length is: interpolated between percentiles up to the 99th; beyond
   * it phi grows by one with every distance between the 90th and the 99th percentile. Zero while too
   * few intervals are known.
   */
  phi(ms: number): number {
    if (this.count < MIN_INTERVALS) return 0;
    const [p90, p99] = [this.percentileMs(90), this.percentileMs(99)];
    const decade = Math.max(p99 - p90, p90 / 4, 1);
    if (ms >= p99) return 2 + (ms - p99) / decade;
    if (ms >= p90) return 1 + (ms - p90) / Math.max(p99 - p90, 1);
    return ms / Math.max(p90, 1);
  }

  /** The shortest silence with the given phi, milliseconds; 0 while too few intervals are known. */
  silenceForPhi(phi: number): number {
    if (this.count < MIN_INTERVALS) return 0;
    const [p90, p99] = [this.percentileMs(90), this.percentileMs(99)];
    return p99 + (phi - 2) * Math.max(p99 - p90, p90 / 4, 1);
  }
}
