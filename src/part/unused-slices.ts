/** How much of the slices of limits stays unused, so that other parts can have it. */
import type { Clock } from "../clock.js";
import type { Amounts } from "../fair/share.js";
import { isLimited } from "../quota/limits.js";
import { minAmounts } from "../quota/slices.js";
import { ZERO } from "./ledger.js";

/** The least that was unused since a moment, and what the whole window before had unused. */
interface Window {
  since: number;
  least: Amounts;
  settled: Amounts;
}

/**
 * Says by team how much of a slice nobody has used for a while. Use goes up and down with every task
 * that ends and begins; what stayed unused throughout a window is not needed for that.
 */
export class UnusedSlices {
  readonly #windows = new Map<string, Window>();

  constructor(
    readonly clock: Clock,
    /** Between one and two of these pass until an amount counts as unused, milliseconds. */
    readonly windowMs: number,
  ) {}

  /** Notes a team's slice and use, and returns what was unused for at least a window until now. */
  observe(team: string, slice: Amounts, use: Amounts): Amounts {
    const unused = {
      cpus: unusedOf(slice.cpus, use.cpus),
      gpus: unusedOf(slice.gpus, use.gpus),
    };
    const now = this.clock.now();
    let window = this.#windows.get(team);
    if (window === undefined) {
      window = { since: now, least: unused, settled: ZERO };
      this.#windows.set(team, window);
    }
    window.least = minAmounts(window.least, unused);
    window.settled = minAmounts(window.settled, unused);
    if (now - window.since >= this.windowMs) {
      window.settled = window.least;
      window.least = unused;
      window.since = now;
    }
    return window.settled;
  }
}

/** A resource without a limit has no slices, so nothing of it is unused. */
const unusedOf = (slice: number, use: number): number =>
  isLimited(slice) ? Math.max(0, slice - use) : 0;
