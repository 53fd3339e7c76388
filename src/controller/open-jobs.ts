import type { Clock } from "../clock.js";
import { type DueJob, selectOnTimeJobs } from "../fair/on-time-jobs.js";
import { type Amounts, fitsWithin, subtractAmounts } from "../fair/share.js";
import { dueTime, type Targets } from "../jobs/due-time.js";
import { isHeader, type JobHeader, unfinishedChunks } from "../jobs/job-header.js";
import type { Summaries } from "../part/summary.js";
import type { Pipelines } from "../pipeline/index.js";
import { JOB_HEADER_PREFIX } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { JobSpec } from "../wire/jobs.js";

/** Whether something can start of it may change without a change of its header. */
const isPicky = (header: JobHeader | undefined): boolean =>
  header?.spec?.match !== undefined || header?.spec?.after !== undefined;

/** How all open jobs stand, in whatever part they are: within a guarantee, and in time. */
export class OpenJobs {
  readonly open = new Map<string, JobHeader>();
  /** Those of them that are within their team's guarantee; null when it has to be found anew. */
  #inside: Set<string> | null = null;
  #insideAt = Number.NEGATIVE_INFINITY;
  /** Open jobs with expressions, or that await others. */
  #picky = 0;
  #inTime = new Set<string>();
  #inTimeAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly guarantees: () => ReadonlyMap<string, Amounts>,
    readonly targets: Targets,
    readonly summaries: Summaries,
    readonly clock: Clock,
    /** For how long the answer about being in time is kept. */
    readonly keepMs: number,
    /** Jobs of which nothing can start have no claim to anything. */
    readonly idle: (id: string, spec: JobSpec) => boolean = () => false,
    /** What pipelines say of a job's priority and of when it is due. */
    readonly pipelines: Pick<Pipelines, "rank" | "due" | "since"> | null = null,
  ) {}

  /** Follows the headers; tells of each that changes, once it is known here. */
  follow(mirror: Mirror, tell: (id: string, header: JobHeader) => void): void {
    mirror.on(JOB_HEADER_PREFIX, ({ key, value, deleted }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      const known = this.open.get(id);
      if (deleted) {
        // Over and archived while this controller did not hear of either.
        if (this.open.delete(id)) this.#inside = null;
        if (isPicky(known)) this.#picky--;
        return;
      }
      if (!isHeader(value)) return;
      if (value.status !== "open") {
        if (this.open.delete(id)) this.#inside = null;
        if (isPicky(known)) this.#picky--;
      } else {
        if (known === undefined) this.#inside = null;
        if (known === undefined && isPicky(value)) this.#picky++;
        this.open.set(id, value);
      }
      tell(id, value);
    });
  }

  /** Guarantees have changed: who is within them is found anew. */
  reconfigured(): void {
    this.#inside = null;
    this.#inTimeAt = Number.NEGATIVE_INFINITY;
  }

  #dueOf(id: string, spec: JobSpec, at: number): number {
    const { pipelines, targets } = this;
    if (pipelines === null) return dueTime(spec, at, targets);
    return pipelines.due(id, dueTime(spec, at, targets, pipelines.since(id, at)));
  }

  jobsOf(team: string): number {
    let count = 0;
    for (const { spec } of this.open.values()) if (spec?.team === team) count++;
    return count;
  }

  /**
   * Jobs within their team's guarantee: they fit into it together with the team's earlier
   * unfinished jobs, wherever those run. Such jobs should not have to wait for other teams.
   */
  guaranteed(): ReadonlySet<string> {
    const now = this.clock.now();
    // A held job is released, or a machine's answer changes, without a change of any header.
    const old = this.#picky > 0 && now - this.#insideAt >= this.keepMs;
    if (this.#inside !== null && !old) return this.#inside;
    this.#inside = new Set();
    this.#insideAt = now;
    const left = new Map(this.guarantees());
    for (const [id, { spec }] of [...this.open].sort(([, a], [, b]) => a.at - b.at)) {
      const rest = spec === undefined ? undefined : left.get(spec.team);
      if (spec === undefined || rest === undefined || this.idle(id, spec)) continue;
      const size = { cpus: spec.cpus * spec.tasks, gpus: spec.gpus * spec.tasks };
      if (fitsWithin(size, rest)) this.#inside.add(id);
      left.set(spec.team, subtractAmounts(rest, size));
    }
    return this.#inside;
  }

  /** Jobs that are to be in time, with the CPUs that their teams have now or are guaranteed. */
  onTime(): ReadonlySet<string> {
    const now = this.clock.now();
    if (now - this.#inTimeAt < this.keepMs) return this.#inTime;
    this.#inTimeAt = now;
    const wall = this.clock.wall();
    const jobs = new Map<string, DueJob[]>();
    for (const [id, { spec, at, owners, chunkSize }] of this.open) {
      if (spec === undefined || this.idle(id, spec)) continue;
      const left = Math.min(spec.tasks, unfinishedChunks(owners) * chunkSize);
      const due: DueJob = {
        id,
        rank: this.pipelines?.rank(id, spec.rank) ?? spec.rank,
        leftS: (this.#dueOf(id, spec, at) - wall) / 1000,
        taskS: spec.estimateS,
        work: left * spec.cpus * spec.estimateS,
      };
      const list = jobs.get(spec.team);
      if (list === undefined) jobs.set(spec.team, [due]);
      else list.push(due);
    }
    this.#inTime = new Set();
    for (const [team, list] of jobs) {
      let cpus = 0;
      for (const [, { use }] of this.summaries.all()) cpus += use[team]?.[0] ?? 0;
      const most = Math.max(1, cpus, this.guarantees().get(team)?.cpus ?? 0);
      for (const id of selectOnTimeJobs(list, most)) this.#inTime.add(id);
    }
    return this.#inTime;
  }
}
