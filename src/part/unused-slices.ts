/** Finds how much of this part's quota slices stays unused, so that other parts can have it. */
import type { Clock } from "../clock.js";
import type { Amounts } from "../fair/share.js";
import { isLimited } from "../quota/limits.js";
import { minAmounts } from "../quota/slices.js";
import { ZERO } from "./ledger.js";

/** The minimum unused since the window began, and the minimum unused over the window before. */
interface UnusedWindow {
  since: number;
  minUnused: Amounts;
  confirmedUnused: Amounts;
}

/**
 * Tracks by team how much of a slice has not been used for a while. Use varies with every task that
 * ends and starts; what stayed unused throughout a window is not needed for that variation.
 */
export class UnusedSlices {
  readonly #windows = new Map<string, UnusedWindow>();

  constructor(
    readonly clock: Clock,
    /** Length of a window, milliseconds: an amount counts as unused after one to two windows. */
    readonly windowMs: number,
  ) {}

  /** Records a team's slice and use; returns what has been unused for at least one window until now. */
  observe(team: string, slice: Amounts, use: Amounts): Amounts {
    const unused = {
      cpus: unusedOf(slice.cpus, use.cpus),
      gpus: unusedOf(slice.gpus, use.gpus),
    };
    const now = this.clock.now();
    let window = this.#windows.get(team);
    if (window === undefined) {
      window = { since: now, minUnused: unused, confirmedUnused: ZERO };
      this.#windows.set(team, window);
    }
    window.minUnused = minAmounts(window.minUnused, unused);
    window.confirmedUnused = minAmounts(window.confirmedUnused, unused);
    if (now - window.since >= this.windowMs) {
      window.confirmedUnused = window.minUnused;
      window.minUnused = unused;
      window.since = now;
    }
    return window.confirmedUnused;
  }
}

/** A resource without a limit has no slices, so none of it counts as unused. */
const unusedOf = (slice: number, use: number): number =>
  isLimited(slice) ? Math.max(0, slice - use) : 0;
