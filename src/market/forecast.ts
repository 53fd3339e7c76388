import hdr, { type Histogram } from "hdr-histogram-js";
import { hourOf, hoursOf } from "./calendar.js";

/** An hour with fewer samples says little; with more than the other, older ones fade. */
const FEW = 600;
const MANY = 20_000;

const fresh = (): Histogram =>
  hdr.build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 });

/** Recorded demand of the platform's own teams by zone and hour of the day, in CPUs. */
export class Demand {
  readonly #hours = new Map<string, Histogram>();
  /** The highest of each of the last stretches of time, by zone. */
  readonly #lately = new Map<string, { at: number; cpus: number }[]>();
  readonly #changed = new Set<string>();

  constructor(
    readonly timeZone: string,
    /** How long "lately" is, milliseconds. */
    readonly latelyMs: number,
  ) {}

  sample(zone: string, cpus: number, at: number): void {
    const key = `${zone}/${hourOf(at, this.timeZone)}`;
    let hour = this.#hours.get(key);
    if (hour === undefined) {
      hour = fresh();
      this.#hours.set(key, hour);
    }
    // The histogram holds whole numbers above zero.
    hour.recordValue(Math.max(1, Math.ceil(cpus)));
    if (hour.totalCount > MANY) this.#hours.set(key, faded(hour));
    this.#changed.add(key);
    const list = this.#lately.get(zone) ?? [];
    this.#lately.set(zone, list);
    // Only what may still be the highest one day is kept: a short list.
    while (list.length > 0 && list.at(-1)!.cpus <= cpus) list.pop();
    list.push({ at, cpus });
    while (list[0]!.at < at - this.latelyMs) list.shift();
  }

  /**
   * The CPUs that the own teams will need in a zone at most between two times, with a given
   * certainty; where an hour has too few samples, `growth` times the most that was seen lately.
   */
  forecast(zone: string, from: number, until: number, sure: number, growth: number): number {
    const lately = (this.#lately.get(zone) ?? []).find(({ at }) => at >= from - this.latelyMs);
    let most = 0;
    for (const hour of hoursOf(from, until, this.timeZone)) {
      const known = this.#hours.get(`${zone}/${hour}`);
      const cpus =
        known === undefined || known.totalCount < FEW
          ? growth * (lately?.cpus ?? 0)
          : known.getValueAtPercentile(sure * 100);
      most = Math.max(most, cpus);
    }
    return most;
  }

  /** Hours that have changed since they were last asked for, packed as text. */
  changed(): { zone: string; hour: number; packed: string }[] {
    const all = [...this.#changed].map((key) => {
      const slash = key.lastIndexOf("/");
      const packed = hdr.encodeIntoCompressedBase64(this.#hours.get(key)!);
      return { zone: key.slice(0, slash), hour: Number(key.slice(slash + 1)), packed };
    });
    this.#changed.clear();
    return all;
  }

  /** What an earlier leader recorded. What cannot be read is as good as nothing. */
  load(zone: string, hour: number, packed: string): boolean {
    try {
      this.#hours.set(`${zone}/${hour}`, hdr.decodeFromCompressedBase64(packed));
      return true;
    } catch {
      return false;
    }
  }
}

/** Half of the counts, so that a demand of long ago weighs less than one of last week. */
function faded(old: Histogram): Histogram {
  const next = fresh();
  for (let percentile = 0.5; percentile < 100; percentile += 1) {
    const value = old.getValueAtPercentile(percentile);
    next.recordValueWithCount(value, Math.max(1, Math.floor(old.totalCount / 200)));
  }
  next.recordValue(old.maxValue);
  return next;
}
