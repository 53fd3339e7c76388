import type { Core, JobMatcher } from "../../extension/index.js";
import { encode } from "../../wire/cbor.js";
import { BY_REQUIREMENTS, type JobSpec } from "../../wire/jobs.js";
import type { MachineKind, Resources } from "../../workers/machine.js";
import type { Book } from "./book.js";
import type { Desk } from "./desk.js";
import { faultOf } from "./job-ads.js";
import type { Matcher } from "./matcher.js";
import { holdOf, mayStart, placeOf, withHold } from "./records.js";

/** What the core asks about jobs with expressions, from clusters and from machines' ads. */
export class SubmitMatching implements JobMatcher {
  /** Holds that are on their way to the store. */
  readonly #asked = new Set<string>();

  constructor(
    readonly core: Core,
    readonly book: Book,
    readonly desk: Desk,
    readonly matcher: Matcher,
  ) {}

  rank(spec: JobSpec, on: MachineKind, room: Resources | null): number | null {
    return this.matcher.rank(spec, on, room);
  }

  rankerFor(spec: JobSpec): (on: MachineKind, room: Resources | null) => number | null {
    return this.matcher.ranking(spec);
  }

  cannotStart(id: string, spec: JobSpec): boolean {
    const place = placeOf(id);
    if (place !== null) {
      const record = this.book.clusters.get(place.cluster)?.value;
      // A cluster that has been forgotten is over; one that is not known yet has not been taken.
      if (record === undefined || !mayStart(record, place.index)) return true;
    }
    const { after } = this.matcher.jobAd(spec);
    if (after !== null && after * 1000 > this.core.clock.wall()) return true;
    return !this.matcher.prospect(spec);
  }

  equivalenceKey(spec: JobSpec): string | null {
    return this.matcher.likeOf(spec);
  }

  holdReason(id: string): string | null {
    const place = placeOf(id);
    if (place === null) return null;
    const record = this.book.clusters.get(place.cluster)?.value;
    return record === undefined ? null : holdOf(record, place.index);
  }

  maxRunMs(spec: JobSpec): number | null {
    return this.matcher.jobAd(spec).mostMs;
  }

  maxRetries(spec: JobSpec): number | null {
    return this.matcher.jobAd(spec).retries;
  }

  hold(id: string, reason: string): void {
    const place = placeOf(id);
    if (place === null || this.#asked.has(id)) return;
    this.#asked.add(id);
    this.core.log.info({ job: id, reason }, "job held");
    this.desk
      .change(place.cluster, (now) =>
        holdOf(now, place.index) === null ? withHold(now, [place.index], reason) : null,
      )
      .catch(() => undefined)
      // Told again as long as it is so.
      .finally(() => this.#asked.delete(id));
  }

  rejection(id: string, spec: JobSpec): { status: number; reason: string } | null {
    const match = spec.match!;
    const bytes = encode(match).length;
    // The header holds it, with the chunks' owners and what is asked of machines.
    const most = Math.floor(this.core.store.limits.valueBytes / 2);
    if (bytes > most) {
      return { status: 422, reason: `ad and expressions of ${bytes} bytes; at most ${most}` };
    }
    const fault = faultOf(match);
    if (fault !== null) return { status: 400, reason: fault };
    if (spec.types?.[0] !== BY_REQUIREMENTS) return { status: 400, reason: "builds" };
    const place = placeOf(id);
    if (place !== null) {
      const record = this.book.clusters.get(place.cluster)?.value;
      if (record === undefined)
        return { status: 503, reason: "that cluster is not known here yet" };
      if (record.team !== spec.team || place.index >= record.jobs) {
        return { status: 422, reason: "not a job of that cluster" };
      }
      if (record.state === "removed") return { status: 422, reason: "that cluster is removed" };
    }
    return this.matcher.prospect(spec)
      ? null
      : { status: 422, reason: this.matcher.whyNever(spec) };
  }
}
