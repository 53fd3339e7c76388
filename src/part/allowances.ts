import type { PlacementPolicy } from "../extension/index.js";
import { type Amounts, EPSILON } from "../fair/share.js";
import type { Allocation } from "../jobs/chunk.js";
import type { JobSpec } from "../wire/jobs.js";
import { fitsResources, type Machine } from "../workers/machine.js";
import type { PlacementConstraints } from "../workers/placement-constraints.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { PlacementPass } from "./placement.js";
import type { Quota } from "./quota.js";
import type { FreeCapacity } from "./summary.js";
import { isUsable } from "./usable-machine.js";
import type { Workers } from "./workers.js";

/** A task that may have to be stopped because its team uses more than its allowance. */
interface RunningTask {
  live: Allocation;
  cpus: number;
  gpus: number;
  /** Milliseconds of work that stopping it loses. */
  lossMs: number;
  /** Grace time to save, seconds; null if the task is not being stopped. */
  stopping: number | null;
}

const exceeds = (use: Amounts, limit: Amounts): boolean =>
  use.cpus > limit.cpus + EPSILON || use.gpus > limit.gpus + EPSILON;

/**
 * Selects tasks of one team to stop so that the remaining ones fit the limit: those that lose the
 * least work first, by name among equals. Tasks that are being stopped already do not count as
 * remaining; with `withoutGrace`, those that still have time to save do. A pure function.
 */
export function selectTasksToStop(
  running: readonly RunningTask[],
  limit: Amounts,
  withoutGrace: boolean,
): RunningTask[] {
  const use = { cpus: 0, gpus: 0 };
  const remaining: RunningTask[] = [];
  for (const task of running) {
    if (task.stopping !== null && (!withoutGrace || task.stopping === 0)) continue;
    use.cpus += task.cpus;
    use.gpus += task.gpus;
    remaining.push(task);
  }
  if (!exceeds(use, limit)) return [];
  remaining.sort((a, b) => {
    // Tasks that are saving already are stopped before running ones.
    const order = Number(a.stopping === null) - Number(b.stopping === null);
    if (order !== 0) return order;
    return a.lossMs - b.lossMs || (a.live.task < b.live.task ? -1 : 1);
  });
  const chosen: RunningTask[] = [];
  for (const task of remaining) {
    if (!exceeds(use, limit)) break;
    const reducesExcess =
      (use.cpus > limit.cpus + EPSILON && task.cpus > 0) ||
      (use.gpus > limit.gpus + EPSILON && task.gpus > 0);
    if (!reducesExcess) continue;
    use.cpus -= task.cpus;
    use.gpus -= task.gpus;
    chosen.push(task);
  }
  return chosen;
}

/** Stops tasks beyond allowances: above `softLimit` with time to save, above `hardLimit` at once. */
export function stopTasksOverAllowances(
  policy: PlacementPolicy,
  ctx: PartContext,
  ledger: Ledger,
  workers: Workers,
): void {
  const now = ctx.clock.now();
  for (const team of policy.teams()) {
    const use = ledger.use.get(team);
    const allowance = policy.allowance(team, ctx.index);
    if (use === undefined || allowance === null) continue;
    if (!exceeds(use, allowance.softLimit) && !exceeds(use, allowance.hardLimit)) continue;
    const running: RunningTask[] = [];
    for (const job of ledger.jobs.values()) {
      if (job.spec.team !== team) continue;
      const { cpus, gpus, checkpointS, saveS } = job.spec;
      for (const chunk of job.chunks.values()) {
        for (const live of chunk.allocations.values()) {
          const ranMs = now - live.since;
          running.push({
            live,
            cpus,
            gpus,
            lossMs: checkpointS > 0 ? Math.min(ranMs, (checkpointS + saveS) * 1000) : ranMs,
            stopping: live.stopRequest === null ? null : live.stopRequest.graceS,
          });
        }
      }
    }
    for (const { live } of selectTasksToStop(running, allowance.hardLimit, true))
      workers.stop(live, 0, "ended");
    for (const { live } of selectTasksToStop(running, allowance.softLimit, false)) {
      const { checkpointS, saveS } = live.chunk.spec;
      workers.stop(live, checkpointS > 0 ? saveS + ctx.reportMs / 1000 : 0, "ends");
    }
  }
}

/**
 * CPUs of waiting tasks that lack only free resources, at most what is left of their teams' slices:
 * tasks beyond a slice would wait in any case.
 */
export function starvedCpusOf(
  blocked: readonly Job[],
  quota: Quota,
  { rules, places }: { rules: PlacementPolicy; places: PlacementConstraints },
  { machines, types }: Pick<PlacementPass, "machines" | "types">,
): number {
  // A task that no machine here could run is not counted: ending the grants of market guests would
  // not free resources that it could use.
  const couldRunHere = (spec: JobSpec): boolean =>
    machines.some((machine) => {
      const type = types.get(machine.type);
      return type !== undefined && places.allows(spec, machine) && fitsResources(type, spec);
    });
  const byTeam = new Map<string, number>();
  for (const { spec, failures, pending } of blocked) {
    if (rules.preemptible(spec.team) || failures > 1 || !couldRunHere(spec)) continue;
    byTeam.set(spec.team, (byTeam.get(spec.team) ?? 0) + pending * spec.cpus);
  }
  let cpus = 0;
  for (const [team, wanted] of byTeam) cpus += Math.min(wanted, quota.unusedCpus(team));
  return cpus;
}

/** Rounds down to hundredths: an amount that is not free must not be sold. */
const roundDown = (value: number): number => Math.max(0, Math.floor(value * 100 + EPSILON) / 100);
/** Most entries of free resources in a summary, the largest first: it must fit a stored value. */
const MAX_FREE_CAPACITY_ENTRIES = 24;

/** Free resources by machine; machines of a zone with equal free resources are counted together. */
export function freeCapacityOf(machines: Iterable<Machine>, ctx: PartContext): FreeCapacity[] {
  const found = new Map<string, FreeCapacity>();
  const types = ctx.types();
  for (const machine of machines) {
    const type = types.get(machine.type);
    if (type === undefined || !isUsable(machine, ctx) || machine.reservations.size > 0) continue;
    const free = machine.freeResources(type);
    const [cpus, gpus, memGb] = [roundDown(free.cpus), roundDown(free.gpus), roundDown(free.memGb)];
    if (cpus <= 0 && gpus <= 0) continue;
    const key = `${machine.zone}/${cpus}/${gpus}/${memGb}`;
    const known = found.get(key);
    if (known !== undefined) known.count++;
    else found.set(key, { zone: machine.zone, cpus, gpus, memGb, count: 1 });
  }
  return [...found.values()]
    .sort((a, b) => b.cpus * b.count - a.cpus * a.count)
    .slice(0, MAX_FREE_CAPACITY_ENTRIES);
}
