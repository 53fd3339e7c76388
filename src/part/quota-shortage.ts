import { PRIORITIES } from "../wire/jobs.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Quota } from "./quota.js";

/** CPUs that jobs of one team lack because of its limit, and the highest priority that lacks them. */
export interface QuotaShortage {
  cpus: number;
  rank: number;
  /** Null if the job is in another part. */
  job: Job | null;
}

/**
 * By team: the priority below which checkpointing jobs start nothing in this pass.
 * When jobs wait because of their team's limit, its checkpointing jobs of lower priority are stopped
 * for them (`Preemption`) and must not take the freed quota. The quota left over may be less than a
 * task of the higher priority needs, or another part's slice may not have grown yet: meanwhile the
 * same tasks started and were stopped again, 535 times on one recorded day of 40 machines, 350 of
 * them of one job.
 */
export function priorityFloors(
  queues: ReadonlyMap<string, Job[]>,
  onTime: ReadonlySet<string>,
  quota: Quota,
): Map<string, number> {
  const floors = new Map<string, number>();
  for (const [team, queue] of queues) {
    let floor = 0;
    for (const { id, spec } of queue) {
      if (spec.rank <= floor || spec.kind !== "array" || !onTime.has(id)) continue;
      if (!quota.fits(spec)) floor = spec.rank;
    }
    for (let rank = PRIORITIES.length - 2; rank >= floor; rank--) {
      if (quota.excessCpus(team, rank) > 0) floor = rank + 1;
    }
    if (floor > 0) floors.set(team, floor);
  }
  return floors;
}

/** By team, the CPUs that jobs lack because of its limit, with the priority that lacks them. */
export function quotaShortages(
  blocked: readonly Job[],
  onTime: ReadonlySet<string>,
  { ctx, ledger, quota }: { ctx: PartContext; ledger: Ledger; quota: Quota },
): Map<string, QuotaShortage> {
  const shortages = new Map<string, QuotaShortage>();
  for (const job of blocked) {
    const { spec } = job;
    // A job that cannot meet its due time any more does not preempt.
    if (spec.kind !== "array" || !onTime.has(job.id) || quota.fits(spec)) continue;
    const shortage = shortages.get(spec.team);
    if (shortage === undefined) {
      shortages.set(spec.team, { cpus: job.pending * spec.cpus, rank: spec.rank, job });
    } else if (spec.rank >= shortage.rank) {
      shortage.cpus += job.pending * spec.cpus;
      shortage.rank = spec.rank;
      shortage.job = job;
    }
  }
  // Unused quota is less than a task needs, but it reduces what must be freed.
  for (const [team, shortage] of shortages) shortage.cpus -= quota.unusedCpus(team);
  // Tasks of higher priority in other parts may wait for quota that is used here.
  for (const team of ctx.limits.keys()) {
    if (shortages.has(team)) continue;
    for (let rank = 0; rank < PRIORITIES.length - 1; rank++) {
      const cpus = quota.excessCpus(team, rank);
      if (cpus > 0) shortages.set(team, { cpus, rank: rank + 1, job: null });
    }
  }
  // Quota of tasks that are already being stopped will be free soon.
  for (const machine of shortages.size === 0 ? [] : ledger.machines.values()) {
    for (const { stopRequest, chunk } of machine.allocations.values()) {
      const shortage = stopRequest === null ? undefined : shortages.get(chunk.spec.team);
      if (shortage !== undefined) shortage.cpus -= chunk.spec.cpus;
    }
  }
  for (const [team, { cpus }] of shortages) if (cpus <= 0) shortages.delete(team);
  return shortages;
}
