import { type Summary, totalCapacity } from "../part/summary.js";
import type { ListedMachine, MachineType } from "../wire/cloud.js";
import type { FleetContext } from "./fleet.js";

export const roomIn = (summaries: readonly Summary[]): number =>
  summaries.reduce((sum, { kinds }) => sum + totalCapacity(kinds, () => true).capacity, 0);

/** The lowest price of a CPU, whether it can be had now or not. */
export function cheapestOf(types: ReadonlyMap<string, MachineType>): number {
  const prices = [...types.values()].map(
    ({ price, spotPrice, cpus }) => Math.min(price, spotPrice) / Math.max(1, cpus),
  );
  return Math.min(...prices);
}

/** Which idle machines go back to the cloud. */
export class Surplus {
  #demand = 0;
  #demandAt: number;

  constructor(readonly ctx: FleetContext) {
    this.#demandAt = ctx.clock.now();
  }

  /**
   * Idle machines beyond what has been in demand lately, the dearest first. "Lately" is half
   * as long as machines take to boot: for a shorter lull, returning them would cost more.
   */
  idle(
    summaries: readonly Summary[],
    listed: ReadonlyMap<string, ListedMachine>,
    types: ReadonlyMap<string, MachineType>,
    /** By name: CPUs that a summary may still count, of a machine that was returned while idle. */
    returned: ReadonlyMap<string, number>,
  ): Map<string, number> {
    const now = this.ctx.clock.now();
    const demand = summaries.reduce(
      (sum, { use, waiting }) =>
        sum +
        waiting +
        Object.entries(use).reduce(
          (cpus, [team, [used]]) => cpus + (this.ctx.yields(team) ? 0 : used),
          0,
        ),
      0,
    );
    const bootMs = Math.max(1, ...[...types.values()].map(({ bootS }) => bootS * 1000));
    const weight = 1 - Math.exp((-2 * (now - this.#demandAt)) / bootMs);
    this.#demandAt = now;
    this.#demand += (demand - this.#demand) * weight;
    const wanted = Math.max(demand, this.#demand);
    // Summaries are a little old. Counting what was returned since then, one look after another
    // returned more until nothing was left.
    let capacity = roomIn(summaries);
    for (const { machines } of summaries) {
      for (const id of machines) capacity -= returned.get(id) ?? 0;
    }
    const chosen = new Map<string, number>();
    // After a restore all machines seem idle for a while; once, all of them went back.
    if (this.ctx.settling()) return chosen;
    const idle: { id: string; cpus: number; price: number; headroom: number }[] = [];
    for (const summary of summaries) {
      for (const [id, seconds] of Object.entries(summary.idle)) {
        const machine = listed.get(id);
        const type = types.get(machine?.type ?? "");
        if (machine === undefined || type === undefined || seconds * 1000 < this.ctx.leaseMs / 4) {
          continue;
        }
        if (seconds * 1000 > 3 * bootMs && this.ctx.kept() === 0) {
          // Idle for that long while work waits: what waits may not use it, and it keeps the
          // cloud from renting us something else.
          chosen.set(id, type.cpus);
          continue;
        }
        const price = machine.spot ? type.spotPrice : type.price;
        // What is kept for the next job is kept cheaply: of dear machines a quarter as much.
        const headroom =
          1 +
          (this.ctx.headroom - 1) *
            (price / Math.max(1, type.cpus) > this.ctx.dear * cheapestOf(types) ? 0.25 : 1);
        idle.push({ id, cpus: type.cpus, price: price / Math.max(type.cpus, 1), headroom });
      }
    }
    let left = capacity - this.ctx.kept();
    for (const { id, cpus, headroom } of idle.sort((a, b) => b.price - a.price)) {
      // The average never quite reaches zero.
      if (left - wanted * headroom < cpus - 0.5) continue;
      left -= cpus;
      chosen.set(id, cpus);
    }
    return chosen;
  }
}
