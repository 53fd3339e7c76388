import type { Clock } from "../clock.js";
import { type DueJob, selectOnTimeJobs } from "../fair/on-time-jobs.js";
import { type Amounts, fitsWithin, subtractAmounts } from "../fair/share.js";
import { dueTime, type Targets } from "../jobs/due-time.js";
import { isJobHeader, type JobHeader, unfinishedChunks } from "../jobs/job-header.js";
import type { Summaries } from "../part/summary.js";
import type { DependencyTracker } from "../pipeline/index.js";
import { JOB_HEADER_PREFIX } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { JobSpec } from "../wire/jobs.js";

/** Whether the job's tasks may become startable, or cease to be, without a change of its header. */
const hasStartConditions = (header: JobHeader | undefined): boolean =>
  header?.spec?.match !== undefined || header?.spec?.after !== undefined;

/** All open jobs of all parts: which are within their team's guarantee, and which are on time. */
export class OpenJobs {
  readonly open = new Map<string, JobHeader>();
  /** Ids of the open jobs within their team's guarantee; null if it must be computed again. */
  #withinGuarantee: Set<string> | null = null;
  #withinGuaranteeAt = Number.NEGATIVE_INFINITY;
  /** Number of open jobs that have expressions or await other jobs. */
  #startConditionCount = 0;
  #onTimeIds = new Set<string>();
  #onTimeAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly guarantees: () => ReadonlyMap<string, Amounts>,
    readonly targets: Targets,
    readonly summaries: Summaries,
    readonly clock: Clock,
    /**
     * How long the set of on-time jobs is cached; also that of jobs within a guarantee while some
     * have start conditions.
     */
    readonly cacheMs: number,
    /**
     * Whether nothing of a job can start. Such jobs count neither as within a guarantee nor as on
     * time.
     */
    readonly cannotStart: (id: string, spec: JobSpec) => boolean = () => false,
    /** Priority and due time of jobs in pipelines. */
    readonly pipelines: Pick<DependencyTracker, "rank" | "due" | "since"> | null = null,
  ) {}

  /** Subscribes to the job headers; calls `tell` for each change after it is applied here. */
  follow(mirror: Mirror, tell: (id: string, header: JobHeader) => void): void {
    mirror.on(JOB_HEADER_PREFIX, ({ key, value, deleted }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      const known = this.open.get(id);
      if (deleted) {
        // The job finished and was archived while this controller saw neither change.
        if (this.open.delete(id)) this.#withinGuarantee = null;
        if (hasStartConditions(known)) this.#startConditionCount--;
        return;
      }
      if (!isJobHeader(value)) return;
      if (value.status !== "open") {
        if (this.open.delete(id)) this.#withinGuarantee = null;
        if (hasStartConditions(known)) this.#startConditionCount--;
      } else {
        if (known === undefined) this.#withinGuarantee = null;
        if (known === undefined && hasStartConditions(value)) this.#startConditionCount++;
        this.open.set(id, value);
      }
      tell(id, value);
    });
  }

  /** Discards the cached sets after the guarantees have changed. */
  onGuaranteesChanged(): void {
    this.#withinGuarantee = null;
    this.#onTimeAt = Number.NEGATIVE_INFINITY;
  }

  #dueTime(id: string, spec: JobSpec, at: number): number {
    const { pipelines, targets } = this;
    if (pipelines === null) return dueTime(spec, at, targets);
    return pipelines.due(id, dueTime(spec, at, targets, pipelines.since(id, at)));
  }

  jobCount(team: string): number {
    let count = 0;
    for (const { spec } of this.open.values()) if (spec?.team === team) count++;
    return count;
  }

  /**
   * Ids of jobs within their team's guarantee: they fit into it together with the team's earlier
   * unfinished jobs in all parts. Such jobs should not have to wait for other teams.
   */
  guaranteed(): ReadonlySet<string> {
    const now = this.clock.now();
    // A hold may be released, or a machine's match with a job may change, without any header
    // change.
    const expired = this.#startConditionCount > 0 && now - this.#withinGuaranteeAt >= this.cacheMs;
    if (this.#withinGuarantee !== null && !expired) return this.#withinGuarantee;
    this.#withinGuarantee = new Set();
    this.#withinGuaranteeAt = now;
    const unusedGuarantee = new Map(this.guarantees());
    for (const [id, { spec }] of [...this.open].sort(([, a], [, b]) => a.at - b.at)) {
      const unused = spec === undefined ? undefined : unusedGuarantee.get(spec.team);
      if (spec === undefined || unused === undefined || this.cannotStart(id, spec)) continue;
      const size = { cpus: spec.cpus * spec.tasks, gpus: spec.gpus * spec.tasks };
      if (fitsWithin(size, unused)) this.#withinGuarantee.add(id);
      unusedGuarantee.set(spec.team, subtractAmounts(unused, size));
    }
    return this.#withinGuarantee;
  }

  /**
   * Ids of jobs that can meet their due time with the CPUs that their teams use now or are
   * guaranteed.
   */
  onTime(): ReadonlySet<string> {
    const now = this.clock.now();
    if (now - this.#onTimeAt < this.cacheMs) return this.#onTimeIds;
    this.#onTimeAt = now;
    const wall = this.clock.wall();
    const jobs = new Map<string, DueJob[]>();
    for (const [id, { spec, at, owners, chunkSize }] of this.open) {
      if (spec === undefined || this.cannotStart(id, spec)) continue;
      const tasksLeft = Math.min(spec.tasks, unfinishedChunks(owners) * chunkSize);
      const due: DueJob = {
        id,
        rank: this.pipelines?.rank(id, spec.rank) ?? spec.rank,
        dueInS: (this.#dueTime(id, spec, at) - wall) / 1000,
        taskEstimateS: spec.estimateS,
        remainingCpuSeconds: tasksLeft * spec.cpus * spec.estimateS,
      };
      const list = jobs.get(spec.team);
      if (list === undefined) jobs.set(spec.team, [due]);
      else list.push(due);
    }
    this.#onTimeIds = new Set();
    for (const [team, list] of jobs) {
      let cpus = 0;
      for (const [, { use }] of this.summaries.all()) cpus += use[team]?.[0] ?? 0;
      const usableCpus = Math.max(1, cpus, this.guarantees().get(team)?.cpus ?? 0);
      for (const id of selectOnTimeJobs(list, usableCpus)) this.#onTimeIds.add(id);
    }
    return this.#onTimeIds;
  }
}
