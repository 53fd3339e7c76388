import type { PlacementPolicy } from "../extension/index.js";
import { type Amounts, EPSILON } from "../fair/share.js";
import type { Allocation } from "../jobs/chunk.js";
import type { JobSpec } from "../wire/jobs.js";
import { fitsResources, type Machine } from "../workers/machine.js";
import type { PlacementConstraints } from "../workers/placement-constraints.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Pass } from "./placement.js";
import type { Quota } from "./quota.js";
import type { FreeCapacity } from "./summary.js";
import { isUsable } from "./usable-machine.js";
import type { Workers } from "./workers.js";

/** A task that may have to go because its team's allowance is less than it uses. */
interface Running {
  live: Allocation;
  cpus: number;
  gpus: number;
  /** Milliseconds of work that stopping it loses. */
  lossMs: number;
  /** How long it may save, seconds; null while it is not being stopped. */
  stopping: number | null;
}

const exceeds = (use: Amounts, most: Amounts): boolean =>
  use.cpus > most.cpus + EPSILON || use.gpus > most.gpus + EPSILON;

/**
 * Which tasks of one team must go so that what stays fits: those that lose the least first, by
 * name among equals. Tasks counted as going already make room; what `sure` says must be on its way
 * without a save does not count as going while it saves. A pure function.
 */
export function leaving(running: readonly Running[], most: Amounts, sure: boolean): Running[] {
  const use = { cpus: 0, gpus: 0 };
  const staying: Running[] = [];
  for (const one of running) {
    if (one.stopping !== null && (!sure || one.stopping === 0)) continue;
    use.cpus += one.cpus;
    use.gpus += one.gpus;
    staying.push(one);
  }
  if (!exceeds(use, most)) return [];
  staying.sort((a, b) => {
    // What saves already goes before what runs.
    const order = Number(a.stopping === null) - Number(b.stopping === null);
    if (order !== 0) return order;
    return a.lossMs - b.lossMs || (a.live.task < b.live.task ? -1 : 1);
  });
  const chosen: Running[] = [];
  for (const one of staying) {
    if (!exceeds(use, most)) break;
    const helps =
      (use.cpus > most.cpus + EPSILON && one.cpus > 0) ||
      (use.gpus > most.gpus + EPSILON && one.gpus > 0);
    if (!helps) continue;
    use.cpus -= one.cpus;
    use.gpus -= one.gpus;
    chosen.push(one);
  }
  return chosen;
}

/** Stops what runs beyond an allowance: with time to save above `softLimit`, at once above `hardLimit`. */
export function withdrawAllowances(
  rules: PlacementPolicy,
  ctx: PartContext,
  ledger: Ledger,
  workers: Workers,
): void {
  const now = ctx.clock.now();
  for (const team of rules.teams()) {
    const use = ledger.use.get(team);
    const allowance = rules.allowance(team, ctx.index);
    if (use === undefined || allowance === null) continue;
    if (!exceeds(use, allowance.softLimit) && !exceeds(use, allowance.hardLimit)) continue;
    const running: Running[] = [];
    for (const job of ledger.jobs.values()) {
      if (job.spec.team !== team) continue;
      const { cpus, gpus, checkpointS, saveS } = job.spec;
      for (const chunk of job.chunks.values()) {
        for (const live of chunk.allocations.values()) {
          const ran = now - live.since;
          running.push({
            live,
            cpus,
            gpus,
            lossMs: checkpointS > 0 ? Math.min(ran, (checkpointS + saveS) * 1000) : ran,
            stopping: live.stopRequest === null ? null : live.stopRequest.graceS,
          });
        }
      }
    }
    for (const { live } of leaving(running, allowance.hardLimit, true))
      workers.stop(live, 0, "ended");
    for (const { live } of leaving(running, allowance.softLimit, false)) {
      const { checkpointS, saveS } = live.chunk.spec;
      workers.stop(live, checkpointS > 0 ? saveS + ctx.reportMs / 1000 : 0, "ends");
    }
  }
}

/** CPUs of jobs that only lack room. What its team's slice does not hold would wait in any case. */
export function starvedOf(
  blocked: readonly Job[],
  quota: Quota,
  { rules, places }: { rules: PlacementPolicy; places: PlacementConstraints },
  { machines, types }: Pick<Pass, "machines" | "types">,
): number {
  // Room that no guest's machine could give: ending grants for it would help nobody.
  const helps = (spec: JobSpec): boolean =>
    machines.some((machine) => {
      const type = types.get(machine.type);
      return type !== undefined && places.allows(spec, machine) && fitsResources(type, spec);
    });
  const byTeam = new Map<string, number>();
  for (const { spec, failures, pending } of blocked) {
    if (rules.preemptible(spec.team) || failures > 1 || !helps(spec)) continue;
    byTeam.set(spec.team, (byTeam.get(spec.team) ?? 0) + pending * spec.cpus);
  }
  let cpus = 0;
  for (const [team, wanted] of byTeam) cpus += Math.min(wanted, quota.left(team));
  return cpus;
}

/** Rounded down: an amount that is not there must not be sold. */
const down = (value: number): number => Math.max(0, Math.floor(value * 100 + EPSILON) / 100);
/** Unlike rooms that a summary names at most, the largest first: it has to fit a value. */
const MOST_ROOMS = 24;

/** Free room, machine by machine; alike ones are counted together. */
export function freeCapacityOf(machines: Iterable<Machine>, ctx: PartContext): FreeCapacity[] {
  const found = new Map<string, FreeCapacity>();
  const types = ctx.types();
  for (const machine of machines) {
    const type = types.get(machine.type);
    if (type === undefined || !isUsable(machine, ctx) || machine.reserved.size > 0) continue;
    const room = machine.freeResources(type);
    const [cpus, gpus, memGb] = [down(room.cpus), down(room.gpus), down(room.memGb)];
    if (cpus <= 0 && gpus <= 0) continue;
    const key = `${machine.zone}/${cpus}/${gpus}/${memGb}`;
    const known = found.get(key);
    if (known !== undefined) known.count++;
    else found.set(key, { zone: machine.zone, cpus, gpus, memGb, count: 1 });
  }
  return [...found.values()]
    .sort((a, b) => b.cpus * b.count - a.cpus * a.count)
    .slice(0, MOST_ROOMS);
}
