import type { Chunk } from "../jobs/chunk.js";
import { dueTime, type Targets } from "../jobs/due-time.js";
import type { JobHeader } from "../jobs/job-header.js";
import { type Pipelines, placedSpec } from "../pipeline/index.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { JobSpec } from "../wire/jobs.js";

/** A job as far as one part has chunks of it. */
export class Job {
  readonly chunks = new Map<number, Chunk>();
  readonly key: string;
  /** A copy of its own: priorities flow back along a pipeline. */
  readonly spec: JobSpec;
  /** Time of day, milliseconds. */
  due: number;
  /** Failures in a row, on whatever machine. */
  failures = 0;
  notBefore = 0;
  /** Time of day of acceptance. */
  readonly at: number;
  #last: JobHeader;
  #calledOff = 0;

  constructor(
    readonly id: string,
    spec: JobSpec,
    header: JobHeader,
    readonly mirror: Mirror,
    public waitingSince: number,
    targets: Targets,
  ) {
    this.key = keys.job(id);
    this.#last = header;
    this.spec = placedSpec(spec);
    this.at = header.at;
    this.due = dueTime(spec, this.at, targets);
  }

  /**
   * Always what the mirror has, together with its version. A copy of our own once went back to
   * our last commit when its answer came after news of a later one; written on condition of that
   * later version it undid a move, and a chunk had two owners.
   */
  get header(): JobHeader {
    const row = this.mirror.rows.get(this.key);
    if (row !== undefined) this.#last = row.value as JobHeader;
    // Its header is gone: it has been over for so long that it was archived, and whoever holds this
    // was out of touch meanwhile.
    else if (this.#last.status === "open") this.#last = { ...this.#last, status: "cancelled" };
    return this.#last;
  }

  /** Takes over what its pipeline says of it: its times, its priority and when it is due. */
  follow(pipelines: Pipelines, targets: Targets): void {
    const own = this.header.spec;
    if (own === undefined) return;
    this.spec.rank = pipelines.rank(this.id, own.rank);
    const since = pipelines.since(this.id, this.at);
    this.due = pipelines.due(this.id, dueTime(own, this.at, targets, since));
  }

  get open(): boolean {
    return this.header.status === "open";
  }

  /** Another controller says that a version of its header, newer than ours, is a cancelled one. */
  calledOff(version: number): boolean {
    const known = this.mirror.rows.get(this.key)?.version ?? 0;
    if (!this.open || version <= known) return false;
    this.#calledOff = version;
    return true;
  }

  /** Whether tasks of it may be placed and started, as far as is known. */
  get wanted(): boolean {
    if (!this.open) return false;
    // What was said is no more than a hint: a newer header decides.
    return (
      this.#calledOff === 0 || this.#calledOff <= (this.mirror.rows.get(this.key)?.version ?? 0)
    );
  }

  /** Tasks that are neither done nor placed, as far as the job wants so many at a time. */
  get waiting(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.pending;
    return this.#wanted(count);
  }

  /** Those of them that may be placed here: not what is being handed to another part. */
  get pending(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) if (chunk.movingTo === null) count += chunk.pending;
    return this.#wanted(count);
  }

  #wanted(count: number): number {
    const most = this.spec.match?.atOnce ?? null;
    return most === null ? count : Math.max(0, Math.min(count, most - this.placed));
  }

  /** Tasks that are placed here and not proved gone. */
  get placed(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.allocations.size;
    return count;
  }

  /** Whether a task of it was ever placed, as far as is known here. */
  get begun(): boolean {
    for (const { attempts } of this.chunks.values()) if (attempts > 0) return true;
    return this.header.started;
  }

  get hasAllocations(): boolean {
    for (const chunk of this.chunks.values()) if (chunk.allocations.size > 0) return true;
    return false;
  }
}

const NOBODY: ReadonlySet<string> = new Set();

/**
 * Jobs that have waited for longer than a lease without any task of theirs having begun. Their first
 * task comes before the next one of jobs of the same priority that have some: it costs those one
 * place, and without it one huge job held all room of its team while hundreds of small ones had not
 * begun (inc-8d22), or small ones that keep coming the room of a huge one.
 */
export function neglectedOf(jobs: Iterable<Job>, now: number, leaseMs: number): Set<string> {
  const neglected = new Set<string>();
  for (const job of jobs) {
    if (now - job.waitingSince > leaseMs && !job.begun) neglected.add(job.id);
  }
  return neglected;
}

/**
 * Inside a team: jobs that are to be in time, by priority and by when they are due; then the rest,
 * by priority and age. Who is late already, and would have been first, gains nothing by making
 * others late.
 */
export function byUrgency(
  a: Job,
  b: Job,
  timely: ReadonlySet<string>,
  neglected: ReadonlySet<string> = NOBODY,
): number {
  if (a.spec.rank === b.spec.rank && neglected.has(a.id) !== neglected.has(b.id)) {
    return neglected.has(a.id) ? -1 : 1;
  }
  const inTime = timely.has(a.id);
  if (inTime !== timely.has(b.id)) return inTime ? -1 : 1;
  if (a.spec.rank !== b.spec.rank) return b.spec.rank - a.spec.rank;
  return inTime && a.due !== b.due ? a.due - b.due : a.at - b.at;
}

/** The priority that counts: whoever cannot be in time has none against those who can. */
export const rankOf = (job: Job, timely: ReadonlySet<string>): number =>
  timely.has(job.id) ? job.spec.rank : 0;
