import type { Chunk } from "../jobs/chunk.js";
import { fitsResources, type Machine, typeFits, withoutReservations } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Quota } from "./quota.js";
import { isUsable } from "./usable-machine.js";

/** Counts of a part's machines by state, for one job or for any. */
export interface MachineCounts {
  all: number;
  /** May be given tasks now. */
  usable: number;
  /** Of the usable ones: of a type, zone and kind that the job may use. */
  allowed: number;
  /** Of the allowed ones: with free resources for one of its tasks. */
  roomy: number;
  silent: number;
  deaf: number;
  /** Retired because different jobs fail there, or about to be taken back by the cloud. */
  leaving: number;
}

/** What to inspect: one job, or jobs within a guarantee with nothing placed for `stuckMs`. */
export type InspectionQuery = { id: string } | { stuckMs: number };

/** What the owner of a part knows of one job. Durations in seconds, amounts in CPUs. */
export interface JobInspection {
  id: string;
  team: string;
  rank: number;
  cpus: number;
  pending: number;
  placed: number;
  running: number;
  done: number;
  /** Waiting tasks that are being handed over to another part. */
  leaving: number;
  /** The longest time for which a placed task's machine has been silent or unreachable. */
  unheardS: number;
  waitedS: number;
  guaranteed: boolean;
  failures: number;
  /** Time from now before which no task is started again after failures. */
  pauseS: number;
  /** Jobs that it waits for, at most 20. Absent in answers of an older build. */
  awaits?: readonly string[];
  /** Time from now until it and all jobs before it are done by their estimates, and until it is due. */
  expectedS?: number;
  dueS?: number | null;
  /** None of its tasks may start now, because of its expressions or of jobs that it waits for. */
  idle: boolean;
  held: string | null;
  /** Whether one more of its tasks fits the part's quota slice, and the CPUs left of that slice. */
  fitsQuota: boolean;
  sliceLeft: number | null;
  /** It starts nothing because jobs of its team with a higher priority lack quota. */
  behind: boolean;
  lent: boolean;
  machines: MachineCounts;
  /** Machines on which resources are reserved for it. */
  reserved: number;
  /** Whether one of its tasks fits any machine type. */
  fitsSome: boolean;
}

/** What the owner of a part knows of the part. */
export interface PartInspection {
  part: number;
  token: number;
  settling: boolean;
  /** Changes that the write rate limiter still allows; below zero, commits wait. */
  changesLeft: number;
  machines: MachineCounts;
  jobs: JobInspection[];
}

/** Answers diagnostic questions of operators; reads only, and is not used in placement passes. */
export class Inspector {
  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    /** By team, the priority below which checkpointing jobs started nothing in the last pass. */
    readonly priorityFloors: () => ReadonlyMap<string, number>,
  ) {}

  part(which: InspectionQuery): PartInspection {
    const { index, token, store } = this.ctx;
    const jobs = "id" in which ? this.#jobById(which.id) : this.#stuckJobs(which.stuckMs);
    return {
      part: index,
      token,
      settling: this.ctx.reconcilingRestore(),
      changesLeft: Math.round(store.writes.level),
      machines: this.#countMachines(null),
      jobs: jobs.map((job) => this.#inspectJob(job)),
    };
  }

  #jobById(id: string): Job[] {
    const job = this.ledger.jobs.get(id);
    return job === undefined ? [] : [job];
  }

  #stuckJobs(forMs: number): Job[] {
    const { clock, guaranteed } = this.ctx;
    const withinGuarantee = guaranteed();
    const before = clock.now() - forMs;
    return [...this.ledger.jobs.values()].filter(
      (job) =>
        withinGuarantee.has(job.id) && job.open && job.waitingSince < before && job.pending > 0,
    );
  }

  #countMachines(job: Job | null): MachineCounts {
    const { ctx } = this;
    const types = ctx.types();
    const now = ctx.clock.now();
    const counts = { all: 0, usable: 0, allowed: 0, roomy: 0, silent: 0, deaf: 0, leaving: 0 };
    for (const machine of this.ledger.machines.values()) {
      counts.all++;
      if (machine.unreachableSince !== null) counts.deaf++;
      else if (now - machine.lastSeen >= 3 * ctx.reportMs) counts.silent++;
      if (machine.retirementReason !== null || machine.terminationNoticeS !== null)
        counts.leaving++;
      if (!isUsable(machine, ctx)) continue;
      counts.usable++;
      if (job === null || !this.#allows(job, machine)) continue;
      counts.allowed++;
      const available = withoutReservations(machine.freeResourcesIn(types), machine, job.id);
      if (fitsResources(available, job.spec)) counts.roomy++;
    }
    return counts;
  }

  #allows(job: Job, machine: Machine): boolean {
    return this.ctx.constraints.allows(job.spec, machine) && !machine.failedJobs.has(job.id);
  }

  #inspectJob(job: Job): JobInspection {
    const { ctx, quota } = this;
    const { id, spec } = job;
    const now = ctx.clock.now();
    const chunks = [...job.chunks.values()];
    const sum = (count: (chunk: Chunk) => number): number =>
      chunks.reduce((all, chunk) => all + count(chunk), 0);
    let unheardMs = 0;
    let running = 0;
    for (const { allocations } of chunks) {
      for (const { machine, running: isRunning } of allocations.values()) {
        if (isRunning) running++;
        const known = this.ledger.machines.get(machine);
        const lastContact = Math.min(known?.lastSeen ?? now, known?.unreachableSince ?? now);
        unheardMs = Math.max(unheardMs, now - lastContact);
      }
    }
    const unusedCpus = quota.unusedCpus(spec.team);
    const matcher = ctx.constraints.matcher;
    const pending = job.pending;
    let reserved = 0;
    for (const machine of this.ledger.machines.values())
      if (machine.reservations.has(id)) reserved++;
    return {
      id,
      team: spec.team,
      rank: spec.rank,
      cpus: spec.cpus,
      pending,
      placed: job.placed,
      running,
      done: sum(({ doneCount }) => doneCount),
      leaving: job.waiting - pending,
      unheardS: seconds(unheardMs),
      waitedS: pending === 0 ? 0 : seconds(now - job.waitingSince),
      guaranteed: ctx.guaranteed().has(id),
      failures: job.failures,
      pauseS: seconds(Math.max(0, job.notBefore - now)),
      awaits: ctx.pipelines.pendingDependencies(id).slice(0, 20),
      expectedS: seconds(ctx.pipelines.expectedMs(id)),
      dueS: Number.isFinite(job.dueAt) ? seconds(job.dueAt - ctx.clock.wall()) : null,
      idle: ctx.constraints.cannotStart(id, spec),
      held: spec.match === undefined ? null : (matcher?.holdReason(id) ?? null),
      fitsQuota: spec.cpus <= unusedCpus + 1e-6,
      sliceLeft: Number.isFinite(unusedCpus) ? unusedCpus : null,
      behind: spec.checkpointS > 0 && spec.rank < (this.priorityFloors().get(spec.team) ?? 0),
      lent: ctx.isBorrower(spec.team),
      machines: this.#countMachines(job),
      reserved,
      fitsSome: [...ctx.types().values()].some((type) => typeFits(spec, type)),
    };
  }
}

const seconds = (ms: number): number => Math.round(ms / 100) / 10;
