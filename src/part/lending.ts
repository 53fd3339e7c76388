import type { JobSpec } from "../wire/jobs.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";
import type { PlacementPass } from "./placement.js";

/** Fraction of a part's CPUs that is not lent: about what arrives within some seconds at busy times. */
const HEADROOM_FRACTION = 0.1;

/**
 * CPUs of a part that teams without a guarantee may always use: as many as are withheld from them
 * (`HEADROOM_FRACTION`). Without this minimum they got nothing while any other team lacked resources,
 * which on a busy day is always: of 489 small jobs of a guest, 162 had started after ten minutes
 * (inc-8d22).
 */
export const borrowerMinimumCpus = (
  machines: PlacementPass["machines"],
  types: PlacementPass["types"],
): number =>
  machines.reduce((sum, { type }) => sum + (types.get(type)?.cpus ?? 0), 0) * HEADROOM_FRACTION;

/** CPUs that teams without a guarantee use in this part. */
export function lentCpus({ ledger, ctx }: { ledger: Ledger; ctx: PartContext }): number {
  let sum = 0;
  for (const [team, { cpus }] of ledger.use) if (ctx.isBorrower(team)) sum += cpus;
  return sum;
}

/** Limits what a part lends to teams without a guarantee. */
export class Lending {
  /** CPUs still lendable in this pass: idle ones, and the rest of the minimum; null until computed. */
  #lendable: { idle: number; minimum: number } | null = null;
  /** When a task of a team with a guarantee last found no free resources here. */
  lastShortageAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
  ) {}

  /** To be called at the beginning of each pass. */
  beginPass(): void {
    this.#lendable = null;
  }

  /**
   * CPUs that may be lent to teams without a guarantee: all free ones less the headroom, or what is
   * left of their minimum if that is more. Jobs within a guarantee are to start within seconds, but
   * lent resources are reclaimed only after a save. For half a lease after a team with a guarantee
   * lacked resources, only the minimum is lent: otherwise tasks stopped for that team would start in
   * the next gap and be stopped again (7,300 of 21,000 starts on a simulated day).
   */
  lendableCpus({ now, machines, types }: PlacementPass): number {
    if (this.#lendable === null) {
      const free = machines.reduce(
        (sum, machine) => sum + Math.max(0, machine.freeResourcesIn(types).cpus),
        0,
      );
      const headroom = borrowerMinimumCpus(machines, types);
      this.#lendable = { idle: free - headroom, minimum: headroom - lentCpus(this) };
    }
    const { idle, minimum } = this.#lendable;
    return now - this.lastShortageAt < this.ctx.leaseMs / 2 ? minimum : Math.max(idle, minimum);
  }

  /** Deducts a placed task: what any team takes can no longer be lent. */
  onPlaced({ team, cpus }: JobSpec): void {
    if (this.#lendable === null) return;
    this.#lendable.idle -= cpus;
    if (this.ctx.isBorrower(team)) this.#lendable.minimum -= cpus;
  }
}
