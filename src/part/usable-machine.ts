/** Decides which machines of a part may be given tasks now. */
import type { Machine } from "../workers/machine.js";
import type { PartContext } from "./context.js";

/** Whether a machine reports to this owner, receives its answers, and is not retired or leaving. */
export function isUsable(machine: Machine, ctx: PartContext): boolean {
  return (
    machine.hasOurToken &&
    machine.unreachableSince === null &&
    machine.retirementReason === null &&
    machine.terminationNoticeS === null &&
    // A machine that has missed two reports may be gone.
    ctx.clock.now() - machine.lastSeen < 3 * ctx.reportMs
  );
}
