import hdr, { type Histogram } from "hdr-histogram-js";
import { hourOf, hoursOf } from "./calendar.js";

/**
 * Below MIN_SAMPLES the histogram of an hour is not used for forecasts; above MAX_SAMPLES its counts
 * are halved, so that older samples weigh less.
 */
const MIN_SAMPLES = 600;
const MAX_SAMPLES = 20_000;

const newHistogram = (): Histogram =>
  hdr.build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 });

/**
 * Records the CPU demand of the platform's own teams by zone and hour of the day, and forecasts it.
 */
export class DemandForecast {
  readonly #histograms = new Map<string, Histogram>();
  /** By zone, the recent samples that no later sample has reached; the first is the highest. */
  readonly #recentPeaks = new Map<string, { at: number; cpus: number }[]>();
  readonly #changed = new Set<string>();

  constructor(
    readonly timeZone: string,
    /** How long a sample counts as recent, milliseconds. */
    readonly recentMs: number,
  ) {}

  sample(zone: string, cpus: number, at: number): void {
    const key = `${zone}/${hourOf(at, this.timeZone)}`;
    let hour = this.#histograms.get(key);
    if (hour === undefined) {
      hour = newHistogram();
      this.#histograms.set(key, hour);
    }
    // The histogram takes only integers above zero.
    hour.recordValue(Math.max(1, Math.ceil(cpus)));
    if (hour.totalCount > MAX_SAMPLES) this.#histograms.set(key, withHalvedCounts(hour));
    this.#changed.add(key);
    const peaks = this.#recentPeaks.get(zone) ?? [];
    this.#recentPeaks.set(zone, peaks);
    // Drop lower samples, which can never become the highest recent one: the list stays short.
    while (peaks.length > 0 && peaks.at(-1)!.cpus <= cpus) peaks.pop();
    peaks.push({ at, cpus });
    while (peaks[0]!.at < at - this.recentMs) peaks.shift();
  }

  /**
   * The CPUs that the own teams need in a zone between two times: the maximum, over the hours of the
   * day that this span touches, of the given quantile of the samples of that hour. An hour with too
   * few samples counts as `recentPeakFactor` times the highest recent sample.
   */
  forecast(
    zone: string,
    from: number,
    until: number,
    quantile: number,
    recentPeakFactor: number,
  ): number {
    const recentPeak = (this.#recentPeaks.get(zone) ?? []).find(
      ({ at }) => at >= from - this.recentMs,
    );
    let highest = 0;
    for (const hour of hoursOf(from, until, this.timeZone)) {
      const known = this.#histograms.get(`${zone}/${hour}`);
      const cpus =
        known === undefined || known.totalCount < MIN_SAMPLES
          ? recentPeakFactor * (recentPeak?.cpus ?? 0)
          : known.getValueAtPercentile(quantile * 100);
      highest = Math.max(highest, cpus);
    }
    return highest;
  }

  /** The histograms that have changed since the last call, encoded as text. */
  takeChanged(): { zone: string; hour: number; packed: string }[] {
    const all = [...this.#changed].map((key) => {
      const slash = key.lastIndexOf("/");
      const packed = hdr.encodeIntoCompressedBase64(this.#histograms.get(key)!);
      return { zone: key.slice(0, slash), hour: Number(key.slice(slash + 1)), packed };
    });
    this.#changed.clear();
    return all;
  }

  /**
   * Loads a histogram that an earlier leader saved. An unreadable one is ignored; returns false
   * then.
   */
  load(zone: string, hour: number, packed: string): boolean {
    try {
      this.#histograms.set(`${zone}/${hour}`, hdr.decodeFromCompressedBase64(packed));
      return true;
    } catch {
      return false;
    }
  }
}

/**
 * The histogram with halved counts, so that demand of long ago weighs less than that of last week.
 */
function withHalvedCounts(old: Histogram): Histogram {
  const next = newHistogram();
  for (let percentile = 0.5; percentile < 100; percentile += 1) {
    const value = old.getValueAtPercentile(percentile);
    next.recordValueWithCount(value, Math.max(1, Math.floor(old.totalCount / 200)));
  }
  next.recordValue(old.maxValue);
  return next;
}
