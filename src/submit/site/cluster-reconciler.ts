import { Ad, print, runReference, truth } from "../../classad/index.js";
import { sleep } from "../../clock.js";
import type { Core, LeaderTerm } from "../../extension/index.js";
import type { JobHeader } from "../../jobs/job-header.js";
import { type ClusterIndex, isClusterFinished, type JobState } from "./cluster-index.js";
import type { ClusterStore } from "./cluster-store.js";
import type { Matcher } from "./matcher.js";
import { type ClusterRecord, holdReason, keys, withHold, withRelease } from "./records.js";
import type { SubmitSettings } from "./settings.js";

/** The action that a job's `periodic_*` expressions or a missed deferral window request. */
export type RequestedAction = { kind: "remove" | "hold" | "release"; reason: string } | null;

/** Values of HTCondor's JobStatus attribute. */
const JOB_STATUS = { idle: 1n, running: 2n, held: 5n };

/**
 * The action that `periodic_*` or a missed deferral window requests now. A pure function. The
 * expressions read only attributes that a controller knows, so they can be evaluated completely.
 */
export function requestedAction(
  ad: Ad,
  header: Pick<JobHeader, "at" | "started">,
  hold: string | null,
  wallMs: number,
): RequestedAction {
  const state = new Ad([...ad.attributes()].map(({ name, node }) => ({ name, node })));
  state.put("QDate", BigInt(Math.floor(header.at / 1000)));
  state.put(
    "JobStatus",
    hold !== null ? JOB_STATUS.held : header.started ? JOB_STATUS.running : JOB_STATUS.idle,
  );
  if (hold !== null) state.put("HoldReason", hold);
  const now = Math.floor(wallMs / 1000);
  const isTrue = (name: string): boolean => {
    const node = state.get(name)?.node;
    // Interpreted, since it is evaluated once against this ad: compiling would cost more.
    return node !== undefined && truth(runReference(node, { my: state }, { now }).value) === true;
  };
  const textOf = (name: string): string => print(state.get(name)!.node);
  if (isTrue("periodicremove")) {
    return { kind: "remove", reason: `periodic_remove: ${textOf("periodicremove")}` };
  }
  if (hold !== null) {
    // periodic_release ends only holds by periodic_hold; a hold by the user is released by the user.
    const heldByExpression = hold.startsWith("periodic_hold");
    return heldByExpression && isTrue("periodicrelease")
      ? { kind: "release", reason: "periodic_release" }
      : null;
  }
  if (isTrue("periodichold")) {
    return { kind: "hold", reason: `periodic_hold: ${textOf("periodichold")}` };
  }
  const deferredUntilS = integerLiteral(ad, "deferraltime");
  const windowS = integerLiteral(ad, "deferralwindow");
  if (
    deferredUntilS !== null &&
    windowS !== null &&
    !header.started &&
    now > deferredUntilS + windowS + DEFERRAL_GRACE_S
  ) {
    return { kind: "hold", reason: "its moment has passed" };
  }
  return null;
}

/**
 * Grace after the window: a task needs a scheduling pass and a report to start, so a window of 0
 * would always be missed.
 */
const DEFERRAL_GRACE_S = 60;

function integerLiteral(ad: Ad, key: string): number | null {
  const node = ad.get(key)?.node;
  return node?.kind === "literal" && typeof node.value === "bigint" ? Number(node.value) : null;
}

/**
 * The index before which a cluster's jobs may start so that at most `most` procs are placed at the
 * same time.
 */
export function startLimit(record: ClusterRecord, jobs: readonly JobState[]): number | null {
  const { upTo, most } = record;
  if (upTo === null || most === null) return null;
  let openProcs = 0;
  let limit = 0;
  for (const { index, header } of jobs) {
    if (header === null) break;
    const isOpen = header.status === "open";
    const size = isOpen ? Math.min(header.tasks, most) : 0;
    // A job with more procs than `most` starts alone; its own `atOnce` limits it.
    if (isOpen && openProcs > 0 && openProcs + size > most) break;
    openProcs += size;
    limit = index + 1;
  }
  return Math.max(upTo, limit);
}

/**
 * The leader's reconciliation of clusters. It removes clusters whose submission timed out, finishes
 * removals, raises start limits, evaluates jobs' periodic expressions and deletes the oldest
 * finished clusters. All decisions derive from stored records, so a new leader can continue.
 */
export class ClusterReconciler {
  /** Clusters whose state may change by time alone. */
  readonly #timeDependent = new Set<number>();
  #stopped = false;
  #storeAvailable = true;

  constructor(
    readonly core: Core,
    readonly settings: SubmitSettings,
    readonly clusterIndex: ClusterIndex,
    readonly clusterStore: ClusterStore,
    readonly matcher: Matcher,
    readonly term: LeaderTerm,
  ) {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  get #guard(): { key: string; version: number }[] {
    return [this.term.claim];
  }

  async #run(): Promise<void> {
    const { clock, log, mirror, settings } = this.core;
    await mirror.waitForRevision(this.term.claim.version);
    // An earlier leader may have left work unfinished or missed changes.
    for (const id of this.clusterIndex.clusters.keys()) this.clusterIndex.changed.add(id);
    while (!this.#stopped) {
      try {
        if (this.term.valid()) await this.#step();
        this.#storeAvailable = true;
      } catch (error) {
        // Writes in flight may still succeed; the next step decides from the records it then finds.
        if (this.#storeAvailable)
          log.warn({ error: String(error) }, "reconciling clusters failed; will retry");
        this.#storeAvailable = false;
      }
      await sleep(clock, settings.params.workers.report_s * 1000);
    }
  }

  /**
   * Reconciles clusters that changed or that time may change; others, even a thousand, cost
   * nothing.
   */
  async #step(): Promise<void> {
    const { changed, clusters } = this.clusterIndex;
    for (const id of new Set([...changed, ...this.#timeDependent])) {
      if (this.#stopped || !this.term.valid()) return;
      const known = clusters.get(id);
      changed.delete(id);
      this.#timeDependent.delete(id);
      if (known === undefined) continue;
      try {
        await this.#reconcile(id, known.value, this.clusterIndex.jobs(id, known.value));
      } catch (error) {
        changed.add(id);
        throw error;
      }
    }
    await this.#deleteOldest();
  }

  async #reconcile(id: number, record: ClusterRecord, jobs: JobState[]): Promise<void> {
    const wallMs = this.core.clock.wall();
    if (record.state === "open") {
      this.#timeDependent.add(id);
      if (wallMs - record.at < this.settings.submissionTimeoutMs) return;
      // The client is gone. No job has started, and after the removal none will.
      await this.#update(id, (now) => (now.state === "open" ? { ...now, state: "removed" } : null));
      this.core.log.info(
        { cluster: id, team: record.team },
        "cluster submission timed out; cluster removed",
      );
      return;
    }
    if (record.state === "removed") {
      // Also after the cluster is finished: a controller may accept a job before it learns of the
      // removal.
      for (const { id: job, header } of jobs) {
        if (header !== null && header.status === "open") await this.#cancel(id, job);
      }
    }
    if (record.over !== undefined) return;
    if (isClusterFinished(record, jobs)) {
      await this.#update(id, (now) =>
        now.over === undefined ? { ...now, over: Math.round(wallMs), held: {} } : null,
      );
      return;
    }
    if (record.state !== "in") return;
    const limit = startLimit(record, jobs);
    if (limit !== null && limit !== record.upTo) {
      await this.#update(id, (now) => (now.upTo === null ? null : { ...now, upTo: limit }));
    }
    for (const job of jobs) await this.#applyRequestedAction(id, record, job, wallMs);
  }

  async #applyRequestedAction(
    id: number,
    record: ClusterRecord,
    job: JobState,
    wallMs: number,
  ): Promise<void> {
    const { header, index } = job;
    if (header === null || header.status !== "open" || header.spec?.match === undefined) return;
    const ad = this.matcher.jobAd(header.spec);
    if (!ad.hasPeriodicChecks) return;
    this.#timeDependent.add(id);
    const action = requestedAction(ad.ad, header, holdReason(record, index), wallMs);
    if (action === null) return;
    this.core.log.info({ job: job.id, ...action }, "job's own expression requests an action");
    if (action.kind === "remove") await this.#cancel(id, job.id);
    else {
      await this.#update(id, (now) =>
        action.kind === "hold" ? withHold(now, [index], action.reason) : withRelease(now, [index]),
      );
    }
  }

  async #update(
    id: number,
    change: (record: ClusterRecord) => ClusterRecord | null,
  ): Promise<void> {
    if (!this.#reserveWrites(id, 1)) return;
    await this.clusterStore.update(id, change, this.#guard);
  }

  async #cancel(cluster: number, job: string): Promise<void> {
    if (!this.#reserveWrites(cluster, 2)) return;
    await this.clusterStore.cancel(job, true);
  }

  /**
   * Takes writes from the rate limiter. If there are none, the cluster is reconciled again later.
   */
  #reserveWrites(cluster: number, writes: number): boolean {
    if (this.core.store.writes.take(writes, 2)) return true;
    this.clusterIndex.changed.add(cluster);
    return false;
  }

  /** Deletes the oldest finished clusters beyond `maxFinishedClusters`. */
  async #deleteOldest(): Promise<void> {
    const finished = [...this.clusterIndex.clusters].filter(
      ([, { value }]) => value.over !== undefined,
    );
    const surplus = finished.length - this.settings.maxFinishedClusters;
    if (surplus <= 0) return;
    finished.sort(([a], [b]) => a - b);
    for (const [id, { value, version }] of finished.slice(0, surplus)) {
      if (!this.core.store.writes.take(2, 2)) return;
      const key = keys.cluster(id);
      await this.core.store.transact(
        [...this.#guard, { key, version }],
        [{ remove: key }, { remove: keys.name(value.name) }],
      );
    }
  }
}
