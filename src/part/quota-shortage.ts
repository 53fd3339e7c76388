import { PRIORITIES } from "../wire/jobs.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Quota } from "./quota.js";

export interface QuotaShortage {
  cpus: number;
  rank: number;
  /** Null when it is another part's. */
  job: Job | null;
}

/**
 * By team: below this priority, jobs that save start nothing in this pass.
 * Where a team's limit is what its jobs wait for, those of lower priority that save are stopped for
 * the others (`Preemption`); what that frees is not theirs to take. The quota that is left over may
 * be less than a task of the higher priority takes, or another part's slice has not grown yet: in
 * between the same tasks started again and were stopped again, 535 times on one recorded day of 40
 * machines, 350 of them of one job.
 */
export function priorityFloors(
  queues: ReadonlyMap<string, Job[]>,
  timely: ReadonlySet<string>,
  quota: Quota,
): Map<string, number> {
  const holds = new Map<string, number>();
  for (const [team, queue] of queues) {
    let below = 0;
    for (const { id, spec } of queue) {
      if (spec.rank <= below || spec.kind !== "array" || !timely.has(id)) continue;
      if (!quota.fits(spec)) below = spec.rank;
    }
    for (let rank = PRIORITIES.length - 2; rank >= below; rank--) {
      if (quota.excess(team, rank) > 0) below = rank + 1;
    }
    if (below > 0) holds.set(team, below);
  }
  return holds;
}

/** By team, the CPUs that jobs lack for want of quota, with the priority that lacks them. */
export function quotaShortages(
  blocked: readonly Job[],
  timely: ReadonlySet<string>,
  { ctx, ledger, quota }: { ctx: PartContext; ledger: Ledger; quota: Quota },
): Map<string, QuotaShortage> {
  const missing = new Map<string, QuotaShortage>();
  for (const job of blocked) {
    const { spec } = job;
    // What cannot be in time any more has no need to hurry.
    if (spec.kind !== "array" || !timely.has(job.id) || quota.fits(spec)) continue;
    const known = missing.get(spec.team);
    if (known === undefined) {
      missing.set(spec.team, { cpus: job.pending * spec.cpus, rank: spec.rank, job });
    } else if (spec.rank >= known.rank) {
      known.cpus += job.pending * spec.cpus;
      known.rank = spec.rank;
      known.job = job;
    }
  }
  // What is free already is less than a task takes, but it is there.
  for (const [team, wanted] of missing) wanted.cpus -= quota.left(team);
  // Other parts' tasks of higher priority may wait for quota that is used here.
  for (const team of ctx.limits.keys()) {
    if (missing.has(team)) continue;
    for (let rank = 0; rank < PRIORITIES.length - 1; rank++) {
      const cpus = quota.excess(team, rank);
      if (cpus > 0) missing.set(team, { cpus, rank: rank + 1, job: null });
    }
  }
  // What has been stopped already will be free in a moment.
  for (const machine of missing.size === 0 ? [] : ledger.machines.values()) {
    for (const { stopRequest: stop, chunk } of machine.allocations.values()) {
      const wanted = stop === null ? undefined : missing.get(chunk.spec.team);
      if (wanted !== undefined) wanted.cpus -= chunk.spec.cpus;
    }
  }
  for (const [team, { cpus }] of missing) if (cpus <= 0) missing.delete(team);
  return missing;
}
