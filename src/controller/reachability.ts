import type { Clock } from "../clock.js";
import type { Membership } from "../membership/membership.js";
import type { Part } from "../part/part.js";

/** Notices that those outside do not reach this controller, though the state service does. */
export class ReachabilityMonitor {
  /** When anyone outside last asked us anything: the load balancer does so every second. */
  #askedAt: number | null = null;
  #watchedAt = 0;
  #stopped = false;

  constructor(
    readonly clock: Clock,
    readonly leaseMs: number,
    readonly membership: () => Membership,
    readonly parts: ReadonlyMap<number, Part>,
    readonly leads: () => boolean,
  ) {}

  asked(): void {
    this.#askedAt = this.clock.now();
  }

  start(): void {
    this.#watch();
  }

  stop(): void {
    this.#stopped = true;
  }

  #watch(): void {
    if (this.#stopped) return;
    const { leaseMs, parts } = this;
    const everyMs = leaseMs / 24;
    const now = this.clock.now();
    // When this process itself was held up, nobody else is to blame for the silence.
    const late = now - this.#watchedAt > everyMs * 3;
    this.#watchedAt = now;
    const membership = this.membership();
    membership.noteProcessAlive();
    if (!late && membership.valid()) {
      const deaf = this.#askedAt !== null && now - this.#askedAt > leaseMs / 3;
      const leaving = [...parts.keys()].filter((i) => deaf || parts.get(i)!.mostMachinesSilent());
      if (leaving.length > 0 || (deaf && this.leads())) {
        membership
          .relinquish(leaving, deaf ? leaseMs / 2 : leaseMs * 4, "machines do not reach us")
          .catch(() => undefined);
      }
    }
    this.clock.after(everyMs, () => this.#watch());
  }
}
