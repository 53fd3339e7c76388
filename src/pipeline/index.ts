import type { Clock } from "../clock.js";
import { cancelledHeader, isJobHeader, type JobHeader } from "../jobs/job-header.js";
import type { Log } from "../log.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Change, Condition, Store } from "../state/store.js";
import { DependencyGraph, type DependencyState } from "./graph.js";

export { placedSpec, storedSpec } from "./dependent-job-spec.js";
export { DependencyGraph, type DependencyState, type DependentJob } from "./graph.js";

/** The state of a job, from wherever its record is kept; null if there is no such job. */
export type JobLookupResult = { status: "open" | "done" | "cancelled"; over: number | null } | null;

/** The most jobs looked up, and the most headers cancelled, in one round. */
const MAX_JOBS_PER_ROUND = 8;

/** Tracks the dependencies between jobs from the watched headers. */
export class DependencyTracker {
  readonly #graph = new DependencyGraph();
  readonly #reportedMissing = new Set<string>();
  #lookupRunning = false;
  #stopped = false;

  constructor(
    readonly mirror: Mirror,
    readonly store: Store,
    readonly clock: Clock,
    readonly log: Log,
    readonly reportMs: number,
    /** Looks up a job that is not among the watched headers. */
    readonly lookUp: (id: string) => Promise<JobLookupResult>,
  ) {
    mirror.on(JOB_HEADER_PREFIX, ({ key, value, deleted }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      if (deleted) this.#graph.markUnknown(id);
      else if (isJobHeader(value)) this.#applyHeader(id, value);
      if (this.#graph.unknown.size > 0) this.#startLookups();
    });
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Whether a job may start, waits, or is cancelled by one that it awaits. Its header has to be among
   * those that the mirror watches.
   */
  dependencyState(id: string): DependencyState {
    return this.#graph.stateOf(id);
  }

  /** Whether none of its tasks may start for now. */
  isBlocked(id: string): boolean {
    return this.#graph.size > 0 && this.#graph.stateOf(id) !== "ready";
  }

  /** The jobs that it still waits for. */
  pendingDependencies(id: string): readonly string[] {
    return this.#graph.pendingDependencies(id);
  }

  /** Estimated time until a job is done, by the longest path of awaited jobs, in milliseconds. */
  expectedMs(id: string): number {
    return this.#graph.expectedMs(id, (other) => {
      const row = this.mirror.rows.get(keys.job(other));
      const spec = row !== undefined && isJobHeader(row.value) ? row.value.spec : undefined;
      return (spec?.estimateS ?? 0) * 1000;
    });
  }

  /** When its class targets start to count: at acceptance, or when the last awaited job was done. */
  since(id: string, at: number): number {
    return this.#graph.since(id, at);
  }

  rank(id: string, own: number): number {
    return this.#graph.rank(id, own);
  }

  due(id: string, own: number): number {
    return this.#graph.due(id, own);
  }

  /** Ids of jobs whose priority or due time may depend on others. */
  get ids(): Iterable<string> {
    return this.#graph.ids;
  }

  #applyHeader(id: string, { status, spec, at, over }: JobHeader): void {
    const graph = this.#graph;
    if (status !== "open") {
      graph.markFinished(id, status, over ?? null);
      return;
    }
    if (spec?.after === undefined) {
      graph.markOpen(id);
      return;
    }
    const { jobs: awaits, since = at } = spec.after;
    const due = spec.deadlineS === null ? Number.POSITIVE_INFINITY : at + spec.deadlineS * 1000;
    const { rank, estimateS } = spec;
    const from = Math.max(at, since);
    graph.add(id, { awaits, at: from, rank, due, estimateMs: estimateS * 1000 });
    for (const awaited of graph.pendingDependencies(id)) {
      if (!graph.unknown.has(awaited)) continue;
      const row = this.mirror.rows.get(keys.job(awaited));
      if (row !== undefined && isJobHeader(row.value)) this.#applyHeader(awaited, row.value);
    }
  }

  /** Looks up awaited jobs that are not among the watched headers, mostly archived ones. */
  #startLookups(): void {
    if (this.#lookupRunning) return;
    this.#lookupRunning = true;
    const pauseMs = this.reportMs / 4;
    const step = async (): Promise<void> => {
      if (this.#stopped || this.#graph.unknown.size === 0) {
        this.#lookupRunning = false;
        return;
      }
      // While the mirror is still loading, their headers may still arrive.
      if (this.mirror.ready) {
        for (const id of [...this.#graph.unknown].slice(0, MAX_JOBS_PER_ROUND))
          await this.#lookUpJob(id);
      }
      this.clock.after(pauseMs, () => void step());
    };
    this.clock.after(pauseMs, () => void step());
  }

  async #lookUpJob(id: string): Promise<void> {
    const row = this.mirror.rows.get(keys.job(id));
    if (row !== undefined && isJobHeader(row.value)) return this.#applyHeader(id, row.value);
    try {
      const found = await this.lookUp(id);
      if (found === null) {
        if (!this.#reportedMissing.has(id))
          this.log.error(
            { job: id },
            "awaited job does not exist; jobs that await it cannot start",
          );
        this.#reportedMissing.add(id);
        this.#moveToEnd(id);
      } else if (found.status === "open") this.#graph.markOpen(id);
      else this.#graph.markFinished(id, found.status, found.over);
    } catch (error) {
      this.log.debug(
        { job: id, why: String(error) },
        "awaited job could not be looked up; will retry",
      );
      this.#moveToEnd(id);
    }
  }

  /** Moves a job to the end of the queue, so that a failed lookup does not delay others. */
  #moveToEnd(id: string): void {
    if (this.#graph.unknown.delete(id)) this.#graph.unknown.add(id);
  }

  /**
   * The leader's task: cancels the headers of jobs that await a cancelled job. Answers to users do
   * not wait for this, and no task of such a job has ever started. The writes are conditional on
   * the headers' versions, so a late or second leader changes nothing.
   */
  lead({ valid }: { valid(): boolean }): { stop(): void } {
    let stopped = false;
    const step = async (): Promise<void> => {
      if (stopped || this.#stopped) return;
      if (valid() && this.#graph.toCancel.size > 0) await this.#writeCancellations();
      this.clock.after(this.reportMs / 4, () => void step());
    };
    this.clock.after(this.reportMs / 4, () => void step());
    return {
      stop: () => {
        stopped = true;
      },
    };
  }

  async #writeCancellations(): Promise<void> {
    const { writes, limits } = this.store;
    const when: Condition[] = [];
    const changes: (Change & { put: string; value: JobHeader })[] = [];
    let bytes = 0;
    for (const id of this.#graph.toCancel) {
      const key = keys.job(id);
      const row = this.mirror.rows.get(key);
      if (row === undefined || !isJobHeader(row.value) || row.value.status !== "open") continue;
      const value = cancelledHeader(row.value, this.clock.wall());
      bytes += 512 + Buffer.byteLength(JSON.stringify(value));
      if (changes.length >= Math.min(MAX_JOBS_PER_ROUND, limits.ops)) break;
      if (changes.length > 0 && bytes > limits.txnBytes) break;
      when.push({ key, version: row.version });
      changes.push({ put: key, value });
    }
    if (changes.length === 0 || !writes.take(changes.length, writes.burst / 4)) return;
    try {
      const { ok, revision } = await this.store.transact(when, changes);
      if (!ok) return;
      for (const { put: key, value } of changes) {
        this.mirror.apply({ key, value, version: revision, deleted: false });
      }
    } catch (error) {
      this.log.debug(
        { why: String(error) },
        "headers of jobs that await a cancelled job not written; will retry",
      );
    }
  }
}
