/** Which machines of a part take tasks now. */
import type { Machine } from "../workers/machine.js";
import type { PartContext } from "./context.js";

/** Whether a machine is heard, hears us, is staying, and belongs to this part. */
export function isUsable(machine: Machine, ctx: PartContext): boolean {
  return (
    machine.hasOurToken &&
    machine.unreachableSince === null &&
    machine.retired === null &&
    machine.noticeS === null &&
    // One that has missed two reports may be gone.
    ctx.clock.now() - machine.lastSeen < 3 * ctx.reportMs
  );
}
