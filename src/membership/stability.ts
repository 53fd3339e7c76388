import type { Clock } from "../clock.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { requiredStableMs } from "./owner-ranking.js";
import { type Presence, parsePresence } from "./presence.js";

interface PresenceHistory {
  run: string;
  /** Since when it has been present without a break and accepting parts; infinity while it is not. */
  stableSince: number;
  /** Start times of its recent runs, except the first run that was seen. */
  restarts: number[];
}

/** Tracks how long the other controllers have been present, from their presence records. */
export class ControllerStability {
  readonly #histories = new Map<string, PresenceHistory>();

  constructor(
    readonly mirror: Mirror,
    readonly clock: Clock,
    /** How long a controller without recent restarts must have been present. */
    readonly baseMs: number,
  ) {
    mirror.on(keys.node(""), ({ key, value, deleted }) => {
      this.#presenceChanged(key.slice(keys.node("").length), deleted ? null : parsePresence(value));
    });
  }

  presenceOf(name: string): Presence | null {
    const row = this.mirror.rows.get(keys.node(name));
    return row === undefined ? null : parsePresence(row.value);
  }

  /** Whether parts may be returned to a controller: it has been present for a while and does not flap. */
  isStable(name: string): boolean {
    const history = this.#histories.get(name);
    if (history === undefined) return false;
    return (
      this.clock.now() - history.stableSince >
      requiredStableMs(history.restarts.length, this.baseMs)
    );
  }

  #presenceChanged(name: string, presence: Presence | null): void {
    const now = this.clock.now();
    const history = this.#histories.get(name);
    if (presence === null) {
      // The run is kept: if the presence returns with the same run, it was only interrupted.
      if (history !== undefined) history.stableSince = Number.POSITIVE_INFINITY;
      return;
    }
    const newRun = history?.run !== presence.run;
    const restarts = (history?.restarts ?? []).filter((at) => now - at < this.baseMs * 40);
    if (newRun && history !== undefined) restarts.push(now);
    const previousSince = newRun ? Number.POSITIVE_INFINITY : history!.stableSince;
    const stableSince = presence.shy ? Number.POSITIVE_INFINITY : Math.min(previousSince, now);
    this.#histories.set(name, { run: presence.run, stableSince, restarts });
  }
}
