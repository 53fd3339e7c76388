import type { Core, JobMatcher } from "../../extension/index.js";
import { encode } from "../../wire/cbor.js";
import { BY_REQUIREMENTS, type JobSpec } from "../../wire/jobs.js";
import type { MachineKind, Resources } from "../../workers/machine.js";
import type { ClusterIndex } from "./cluster-index.js";
import type { ClusterStore } from "./cluster-store.js";
import { matchError } from "./job-ads.js";
import type { Matcher } from "./matcher.js";
import { holdReason, mayStart, parseJobId, withHold } from "./records.js";

/** The core's matcher for jobs with expressions; answers from cluster records and machine ads. */
export class SubmitJobMatcher implements JobMatcher {
  /** Jobs whose hold is being written. */
  readonly #pendingHolds = new Set<string>();

  constructor(
    readonly core: Core,
    readonly clusterIndex: ClusterIndex,
    readonly clusterStore: ClusterStore,
    readonly matcher: Matcher,
  ) {}

  rank(spec: JobSpec, on: MachineKind, free: Resources | null): number | null {
    return this.matcher.rank(spec, on, free);
  }

  rankerFor(spec: JobSpec): (on: MachineKind, free: Resources | null) => number | null {
    return this.matcher.rankerFor(spec);
  }

  cannotStart(id: string, spec: JobSpec): boolean {
    const jobRef = parseJobId(id);
    if (jobRef !== null) {
      const record = this.clusterIndex.clusters.get(jobRef.cluster)?.value;
      // A cluster without a record here is finished and deleted, or not known yet and so not
      // committed.
      if (record === undefined || !mayStart(record, jobRef.index)) return true;
    }
    const { deferredUntilS: after } = this.matcher.jobAd(spec);
    if (after !== null && after * 1000 > this.core.clock.wall()) return true;
    return !this.matcher.canMatch(spec);
  }

  equivalenceKey(spec: JobSpec): string | null {
    return this.matcher.equivalenceKey(spec);
  }

  holdReason(id: string): string | null {
    const jobRef = parseJobId(id);
    if (jobRef === null) return null;
    const record = this.clusterIndex.clusters.get(jobRef.cluster)?.value;
    return record === undefined ? null : holdReason(record, jobRef.index);
  }

  maxRunMs(spec: JobSpec): number | null {
    return this.matcher.jobAd(spec).maxRunMs;
  }

  maxRetries(spec: JobSpec): number | null {
    return this.matcher.jobAd(spec).maxRetries;
  }

  hold(id: string, reason: string): void {
    const jobRef = parseJobId(id);
    if (jobRef === null || this.#pendingHolds.has(id)) return;
    this.#pendingHolds.add(id);
    this.core.log.info({ job: id, reason }, "holding job");
    this.clusterStore
      .update(jobRef.cluster, (now) =>
        holdReason(now, jobRef.index) === null ? withHold(now, [jobRef.index], reason) : null,
      )
      .catch(() => undefined)
      // Errors are ignored: the core calls this again as long as the reason holds.
      .finally(() => this.#pendingHolds.delete(id));
  }

  rejection(id: string, spec: JobSpec): { status: number; reason: string } | null {
    const match = spec.match!;
    const bytes = encode(match).length;
    // The job header stores the match next to the chunks' owners and the resource request.
    const most = Math.floor(this.core.store.limits.valueBytes / 2);
    if (bytes > most) {
      return { status: 422, reason: `ad and expressions of ${bytes} bytes; at most ${most}` };
    }
    const error = matchError(match);
    if (error !== null) return { status: 400, reason: error };
    if (spec.types?.[0] !== BY_REQUIREMENTS) return { status: 400, reason: "builds" };
    const jobRef = parseJobId(id);
    if (jobRef !== null) {
      const record = this.clusterIndex.clusters.get(jobRef.cluster)?.value;
      if (record === undefined)
        return { status: 503, reason: "that cluster is not known here yet" };
      if (record.team !== spec.team || jobRef.index >= record.jobs) {
        return { status: 422, reason: "not a job of that cluster" };
      }
      if (record.state === "removed") return { status: 422, reason: "that cluster is removed" };
    }
    return this.matcher.canMatch(spec)
      ? null
      : { status: 422, reason: this.matcher.mismatchReason(spec) };
  }
}
