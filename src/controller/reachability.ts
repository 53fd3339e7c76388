import type { Clock } from "../clock.js";
import type { Membership } from "../membership/membership.js";
import type { Part } from "../part/part.js";

/**
 * Detects that workers, users and load balancers cannot reach this controller although its
 * connection to the state service works, and relinquishes its parts then.
 */
export class ReachabilityMonitor {
  /** When the last request of any kind arrived; the load balancer sends one every second. */
  #lastRequestAt: number | null = null;
  #checkedAt = 0;
  #stopped = false;

  constructor(
    readonly clock: Clock,
    readonly leaseMs: number,
    readonly membership: () => Membership,
    readonly parts: ReadonlyMap<number, Part>,
    readonly isLeading: () => boolean,
  ) {}

  noteRequest(): void {
    this.#lastRequestAt = this.clock.now();
  }

  start(): void {
    this.#check();
  }

  stop(): void {
    this.#stopped = true;
  }

  #check(): void {
    if (this.#stopped) return;
    const { leaseMs, parts } = this;
    const everyMs = leaseMs / 24;
    const now = this.clock.now();
    // If this process itself was delayed, missing requests are no sign that it is unreachable.
    const wasDelayed = now - this.#checkedAt > everyMs * 3;
    this.#checkedAt = now;
    const membership = this.membership();
    membership.noteProcessAlive();
    if (!wasDelayed && membership.valid()) {
      const unreachable = this.#lastRequestAt !== null && now - this.#lastRequestAt > leaseMs / 3;
      const partsToRelinquish = [...parts.keys()].filter(
        (i) => unreachable || parts.get(i)!.mostMachinesSilent(),
      );
      if (partsToRelinquish.length > 0 || (unreachable && this.isLeading())) {
        membership
          .relinquish(
            partsToRelinquish,
            unreachable ? leaseMs / 2 : leaseMs * 4,
            "machines do not reach this controller",
          )
          .catch(() => undefined);
      }
    }
    this.clock.after(everyMs, () => this.#check());
  }
}
