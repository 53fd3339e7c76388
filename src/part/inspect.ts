import type { Chunk } from "../jobs/chunk.js";
import { fitsResources, type Machine, typeFits, withoutReservations } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Quota } from "./quota.js";
import { isUsable } from "./usable-machine.js";

/** How a part's machines stand for one job, or for any. Counts. */
export interface MachineCounts {
  all: number;
  /** Take tasks now. */
  usable: number;
  /** Of those, of a type, zone and kind that the job may use. */
  allowed: number;
  /** Of those, with room for one of its tasks. */
  roomy: number;
  silent: number;
  deaf: number;
  /** Set aside since different jobs fail there, or about to be taken by the cloud. */
  leaving: number;
}

/** One job, or jobs within a guarantee of which nothing has been placed for so long. */
export type Inspected = { id: string } | { stuckMs: number };

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
  /** Tasks that are being handed to another part. */
  leaving: number;
  /** Placed tasks whose machines have not been heard, or do not hear us, for so long at the most. */
  unheardS: number;
  waitedS: number;
  guaranteed: boolean;
  failures: number;
  /** Before that it is not tried again, from now. */
  pauseS: number;
  /** Jobs that it waits for, some of them if they are many. Absent in what an older version says. */
  awaits?: readonly string[];
  /** When it and all before it are done by their estimates, and when it is due, from now. */
  expectedS?: number;
  dueS?: number | null;
  /** Nothing of it may start now, by its expressions, or because it waits for others. */
  idle: boolean;
  held: string | null;
  /** Whether the part's slice of the limit holds one more of its tasks, and what it holds in all. */
  fitsQuota: boolean;
  sliceLeft: number | null;
  /** A higher priority of its team lacks quota, so it starts nothing. */
  behind: boolean;
  lent: boolean;
  machines: MachineCounts;
  /** Machines in which room is being made for it. */
  reserved: number;
  /** Whether any type there is holds one of its tasks. */
  fitsSome: boolean;
}

/** What the owner of a part knows of it. */
export interface PartInspection {
  part: number;
  token: number;
  settling: boolean;
  /** What is left of the budget of changes; below zero, commits wait. */
  changesLeft: number;
  machines: MachineCounts;
  jobs: JobInspection[];
}

/** Reads, and changes nothing: asked for by people, never in a pass. */
export class Inspector {
  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    /** By team, below which priority nothing was started in the last pass. */
    readonly holds: () => ReadonlyMap<string, number>,
  ) {}

  part(which: Inspected): PartInspection {
    const { index, token, store } = this.ctx;
    const jobs = "id" in which ? this.#one(which.id) : this.#stuck(which.stuckMs);
    return {
      part: index,
      token,
      settling: this.ctx.reconcilingRestore(),
      changesLeft: Math.round(store.writes.level),
      machines: this.#machines(null),
      jobs: jobs.map((job) => this.#job(job)),
    };
  }

  #one(id: string): Job[] {
    const job = this.ledger.jobs.get(id);
    return job === undefined ? [] : [job];
  }

  #stuck(forMs: number): Job[] {
    const { clock, guaranteed } = this.ctx;
    const inside = guaranteed();
    const before = clock.now() - forMs;
    return [...this.ledger.jobs.values()].filter(
      (job) => inside.has(job.id) && job.open && job.waitingSince < before && job.pending > 0,
    );
  }

  #machines(job: Job | null): MachineCounts {
    const { ctx } = this;
    const types = ctx.types();
    const now = ctx.clock.now();
    const counts = { all: 0, usable: 0, allowed: 0, roomy: 0, silent: 0, deaf: 0, leaving: 0 };
    for (const machine of this.ledger.machines.values()) {
      counts.all++;
      if (machine.unreachableSince !== null) counts.deaf++;
      else if (now - machine.lastSeen >= 3 * ctx.reportMs) counts.silent++;
      if (machine.retired !== null || machine.noticeS !== null) counts.leaving++;
      if (!isUsable(machine, ctx)) continue;
      counts.usable++;
      if (job === null || !this.#allows(job, machine)) continue;
      counts.allowed++;
      const room = withoutReservations(machine.freeResourcesIn(types), machine, job.id);
      if (fitsResources(room, job.spec)) counts.roomy++;
    }
    return counts;
  }

  #allows(job: Job, machine: Machine): boolean {
    return this.ctx.constraints.allows(job.spec, machine) && !machine.failedJobs.has(job.id);
  }

  #job(job: Job): JobInspection {
    const { ctx, quota } = this;
    const { id, spec } = job;
    const now = ctx.clock.now();
    const chunks = [...job.chunks.values()];
    const sum = (of: (chunk: Chunk) => number): number =>
      chunks.reduce((all, chunk) => all + of(chunk), 0);
    let unheardMs = 0;
    let running = 0;
    for (const { allocations: live } of chunks) {
      for (const { machine, running: runs } of live.values()) {
        if (runs) running++;
        const known = this.ledger.machines.get(machine);
        const heard = Math.min(known?.lastSeen ?? now, known?.unreachableSince ?? now);
        unheardMs = Math.max(unheardMs, now - heard);
      }
    }
    const left = quota.left(spec.team);
    const matching = ctx.constraints.matcher;
    const pending = job.pending;
    let reserved = 0;
    for (const machine of this.ledger.machines.values()) if (machine.reserved.has(id)) reserved++;
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
      awaits: ctx.pipelines.waitsFor(id).slice(0, 20),
      expectedS: seconds(ctx.pipelines.expectedMs(id)),
      dueS: Number.isFinite(job.due) ? seconds(job.due - ctx.clock.wall()) : null,
      idle: ctx.constraints.cannotStart(id, spec),
      held: spec.match === undefined ? null : (matching?.holdReason(id) ?? null),
      fitsQuota: spec.cpus <= left + 1e-6,
      sliceLeft: Number.isFinite(left) ? left : null,
      behind: spec.checkpointS > 0 && spec.rank < (this.holds().get(spec.team) ?? 0),
      lent: ctx.isBorrower(spec.team),
      machines: this.#machines(job),
      reserved,
      fitsSome: [...ctx.types().values()].some((type) => typeFits(spec, type)),
    };
  }
}

const seconds = (ms: number): number => Math.round(ms / 100) / 10;
