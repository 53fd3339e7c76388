import type { Chunk } from "../jobs/chunk.js";
import { dueTime, type Targets } from "../jobs/due-time.js";
import type { JobHeader } from "../jobs/job-header.js";
import { type DependencyTracker, placedSpec } from "../pipeline/index.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { JobSpec } from "../wire/jobs.js";

/** A job, with those of its chunks that one part owns. */
export class Job {
  readonly chunks = new Map<number, Chunk>();
  readonly key: string;
  /** A copy, since a pipeline raises the priority of jobs that others depend on. */
  readonly spec: JobSpec;
  /** When it should be complete, wall clock, milliseconds. */
  dueAt: number;
  /** Consecutive failures of its tasks, on any machine. */
  failures = 0;
  notBefore = 0;
  /** When it was accepted, wall clock, milliseconds. */
  readonly acceptedAt: number;
  #lastHeader: JobHeader;
  #cancelledVersion = 0;

  constructor(
    readonly id: string,
    spec: JobSpec,
    header: JobHeader,
    readonly mirror: Mirror,
    public waitingSince: number,
    targets: Targets,
  ) {
    this.key = keys.job(id);
    this.#lastHeader = header;
    this.spec = placedSpec(spec);
    this.acceptedAt = header.at;
    this.dueAt = dueTime(spec, this.acceptedAt, targets);
  }

  /**
   * Always the mirror's header, which matches the mirror's version. A copy kept here was once reset by
   * the answer to a commit that came after the watch had reported a later header. Written on condition
   * of the later version, the outdated copy undid a handover, and a chunk had two owners.
   */
  get header(): JobHeader {
    const row = this.mirror.rows.get(this.key);
    if (row !== undefined) this.#lastHeader = row.value as JobHeader;
    // The header was removed: the job finished and was archived while this controller had no contact
    // with the store.
    else if (this.#lastHeader.status === "open")
      this.#lastHeader = { ...this.#lastHeader, status: "cancelled" };
    return this.#lastHeader;
  }

  /** Updates the priority and the due time from its pipeline. */
  updateFromPipelines(pipelines: DependencyTracker, targets: Targets): void {
    const ownSpec = this.header.spec;
    if (ownSpec === undefined) return;
    this.spec.rank = pipelines.rank(this.id, ownSpec.rank);
    const since = pipelines.since(this.id, this.acceptedAt);
    this.dueAt = pipelines.due(this.id, dueTime(ownSpec, this.acceptedAt, targets, since));
  }

  get open(): boolean {
    return this.header.status === "open";
  }

  /**
   * Another controller reports that this version of the header is cancelled. Returns whether that is
   * new: the job is open in the mirror, and the version is newer than the mirror's.
   */
  noteCancellation(version: number): boolean {
    const knownVersion = this.mirror.rows.get(this.key)?.version ?? 0;
    if (!this.open || version <= knownVersion) return false;
    this.#cancelledVersion = version;
    return true;
  }

  /** Whether its tasks may be placed and started, as far as is known here. */
  get mayStartTasks(): boolean {
    if (!this.open) return false;
    // The report was only a hint: a newer header decides.
    return (
      this.#cancelledVersion === 0 ||
      this.#cancelledVersion <= (this.mirror.rows.get(this.key)?.version ?? 0)
    );
  }

  /** Tasks that are neither done nor placed, within the job's limit on simultaneous tasks. */
  get waiting(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.pending;
    return this.#limitAtOnce(count);
  }

  /** Waiting tasks that may be placed here: those of chunks not being handed over to another part. */
  get pending(): number {
    let count = 0;
    for (const chunk of this.chunks.values())
      if (chunk.handoverTarget === null) count += chunk.pending;
    return this.#limitAtOnce(count);
  }

  #limitAtOnce(count: number): number {
    const atOnce = this.spec.match?.atOnce ?? null;
    return atOnce === null ? count : Math.max(0, Math.min(count, atOnce - this.placed));
  }

  /** Number of allocations here. */
  get placed(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.allocations.size;
    return count;
  }

  /** Whether any of its tasks was ever placed, as far as is known here. */
  get wasEverPlaced(): boolean {
    for (const { attempts } of this.chunks.values()) if (attempts > 0) return true;
    return this.header.started;
  }

  get hasAllocations(): boolean {
    for (const chunk of this.chunks.values()) if (chunk.allocations.size > 0) return true;
    return false;
  }
}

const NO_JOBS: ReadonlySet<string> = new Set();

/**
 * Jobs that have waited for longer than a lease without any task having begun. Their first task is
 * placed before further tasks of jobs of the same priority, which costs those one place. Without this
 * rule one huge job used all resources of its team while hundreds of small ones had not begun
 * (inc-8d22), or a steady stream of small jobs kept a huge one from starting.
 */
export function longUnstartedJobs(jobs: Iterable<Job>, now: number, leaseMs: number): Set<string> {
  const longUnstarted = new Set<string>();
  for (const job of jobs) {
    if (now - job.waitingSince > leaseMs && !job.wasEverPlaced) longUnstarted.add(job.id);
  }
  return longUnstarted;
}

/**
 * Order of jobs within a team: on-time jobs by priority and due time, then the others by priority and
 * age. A job that is late already would be first by due time, but comes after them: it gains nothing
 * by making others late.
 */
export function compareWithinTeam(
  a: Job,
  b: Job,
  onTime: ReadonlySet<string>,
  longUnstarted: ReadonlySet<string> = NO_JOBS,
): number {
  if (a.spec.rank === b.spec.rank && longUnstarted.has(a.id) !== longUnstarted.has(b.id)) {
    return longUnstarted.has(a.id) ? -1 : 1;
  }
  const onTimeA = onTime.has(a.id);
  if (onTimeA !== onTime.has(b.id)) return onTimeA ? -1 : 1;
  if (a.spec.rank !== b.spec.rank) return b.spec.rank - a.spec.rank;
  return onTimeA && a.dueAt !== b.dueAt ? a.dueAt - b.dueAt : a.acceptedAt - b.acceptedAt;
}

/** Effective priority: that of the job if it can be on time, else the lowest. */
export const effectivePriority = (job: Job, onTime: ReadonlySet<string>): number =>
  onTime.has(job.id) ? job.spec.rank : 0;
