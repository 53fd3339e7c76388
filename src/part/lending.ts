import type { JobSpec } from "../wire/jobs.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";
import type { Pass } from "./placement.js";

/** The share of a part's CPUs that is not lent: what arrives within some seconds in busy times. */
const HEADROOM = 0.1;

/**
 * CPUs of a part that teams without a guarantee have in any case, while they want them: as much as
 * is kept from them. Without it they had nothing for as long as anybody else lacked room, which on a
 * busy day is always: of 489 small jobs of a guest 162 had begun after ten minutes (inc-8d22).
 */
export const floorOf = (machines: Pass["machines"], types: Pass["types"]): number =>
  machines.reduce((sum, { type }) => sum + (types.get(type)?.cpus ?? 0), 0) * HEADROOM;

/** CPUs that teams without a guarantee use in this part. */
export function lentUse({ ledger, ctx }: { ledger: Ledger; ctx: PartContext }): number {
  let sum = 0;
  for (const [team, { cpus }] of ledger.use) if (ctx.isBorrower(team)) sum += cpus;
  return sum;
}

/** What a part lends to teams without a guarantee. */
export class Lending {
  /** CPUs that may still be lent in this pass, and of the floor; null until somebody asks. */
  #lendable: { idle: number; floor: number } | null = null;
  /** When somebody with a guarantee last found no room here. */
  missedAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
  ) {}

  /** A pass begins. */
  begin(): void {
    this.#lendable = null;
  }

  /**
   * What may be lent to teams without a guarantee: all that is free but for `HEADROOM`, or else what
   * is left of their floor. What is within a guarantee is to start within seconds; room that is lent
   * comes back only after a save. And nothing but the floor for half a lease after others lacked room:
   * what was stopped for them would start in the next gap, only to be stopped once more (7,300 of 21,000 starts on a simulated day).
   */
  lends({ now, machines, types }: Pass): number {
    if (this.#lendable === null) {
      const free = machines.reduce(
        (sum, one) => sum + Math.max(0, one.freeResourcesIn(types).cpus),
        0,
      );
      const kept = floorOf(machines, types);
      this.#lendable = { idle: free - kept, floor: kept - lentUse(this) };
    }
    const { idle, floor } = this.#lendable;
    return now - this.missedAt < this.ctx.leaseMs / 2 ? floor : Math.max(idle, floor);
  }

  /** What others take is not lent any more either. */
  taken({ team, cpus }: JobSpec): void {
    if (this.#lendable === null) return;
    this.#lendable.idle -= cpus;
    if (this.ctx.isBorrower(team)) this.#lendable.floor -= cpus;
  }
}
