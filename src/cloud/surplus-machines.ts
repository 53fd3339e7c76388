import { type Summary, totalCapacity } from "../part/summary.js";
import type { ListedMachine, MachineType } from "../wire/cloud.js";
import type { FleetContext } from "./fleet.js";

export const totalCpus = (summaries: readonly Summary[]): number =>
  summaries.reduce((sum, { kinds }) => sum + totalCapacity(kinds, () => true).capacity, 0);

/** The lowest price of a CPU over all machine types, available now or not. */
export function lowestCpuPrice(types: ReadonlyMap<string, MachineType>): number {
  const prices = [...types.values()].map(
    ({ price, spotPrice, cpus }) => Math.min(price, spotPrice) / Math.max(1, cpus),
  );
  return Math.min(...prices);
}

/** Selects the idle machines to return to the cloud. */
export class SurplusMachines {
  #averageDemand = 0;
  #averagedAt: number;

  constructor(readonly ctx: FleetContext) {
    this.#averagedAt = ctx.clock.now();
  }

  /**
   * Idle machines beyond recent demand, the most expensive first, with their CPUs. Demand is averaged
   * over half of the boot time of machines: returning them for a shorter lull would cost more than
   * keeping them.
   */
  select(
    summaries: readonly Summary[],
    listed: ReadonlyMap<string, ListedMachine>,
    types: ReadonlyMap<string, MachineType>,
    /** By machine, CPUs that a summary may still count of a machine that was returned while idle. */
    returned: ReadonlyMap<string, number>,
  ): Map<string, number> {
    const now = this.ctx.clock.now();
    const demand = summaries.reduce(
      (sum, { use, waiting }) =>
        sum +
        waiting +
        Object.entries(use).reduce(
          (cpus, [team, [used]]) => cpus + (this.ctx.isPreemptible(team) ? 0 : used),
          0,
        ),
      0,
    );
    const bootMs = Math.max(1, ...[...types.values()].map(({ bootS }) => bootS * 1000));
    const weight = 1 - Math.exp((-2 * (now - this.#averagedAt)) / bootMs);
    this.#averagedAt = now;
    this.#averageDemand += (demand - this.#averageDemand) * weight;
    const keptDemand = Math.max(demand, this.#averageDemand);
    // Summaries are slightly stale. Machines that were returned since are subtracted: otherwise each
    // run would count them again and return more, until no machine was left.
    let capacity = totalCpus(summaries);
    for (const { machines } of summaries) {
      for (const id of machines) capacity -= returned.get(id) ?? 0;
    }
    const chosen = new Map<string, number>();
    // After a restore all machines look idle for a while. Without this check all of them were returned.
    if (this.ctx.reconcilingRestore()) return chosen;
    const idle: { id: string; cpus: number; price: number; headroom: number }[] = [];
    for (const summary of summaries) {
      for (const [id, seconds] of Object.entries(summary.idle)) {
        const machine = listed.get(id);
        const type = types.get(machine?.type ?? "");
        if (machine === undefined || type === undefined || seconds * 1000 < this.ctx.leaseMs / 4) {
          continue;
        }
        if (seconds * 1000 > 3 * bootMs && this.ctx.idleCpusToKeep() === 0) {
          // Idle for more than three boot times, even if work waits: the waiting work cannot use this
          // machine, and keeping it may prevent the cloud from renting out another one.
          chosen.set(id, type.cpus);
          continue;
        }
        const price = machine.spot ? type.spotPrice : type.price;
        // Headroom for the next job is kept on cheap machines: a quarter as much on expensive ones.
        const headroom =
          1 +
          (this.ctx.headroom - 1) *
            (price / Math.max(1, type.cpus) > this.ctx.dear * lowestCpuPrice(types) ? 0.25 : 1);
        idle.push({ id, cpus: type.cpus, price: price / Math.max(type.cpus, 1), headroom });
      }
    }
    let left = capacity - this.ctx.idleCpusToKeep();
    for (const { id, cpus, headroom } of idle.sort((a, b) => b.price - a.price)) {
      // 0.5 CPUs of tolerance: the average never quite reaches zero.
      if (left - keptDemand * headroom < cpus - 0.5) continue;
      left -= cpus;
      chosen.set(id, cpus);
    }
    return chosen;
  }
}
