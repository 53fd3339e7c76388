import type { Clock } from "../clock.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { requiredStableMs } from "./owner-ranking.js";
import { type Presence, parsePresence } from "./presence.js";

interface Known {
  run: string;
  /** Since when it has been there in one piece and willing; infinity while it is not. */
  since: number;
  /** When runs of it began, of late, beyond the first that was seen. */
  begun: number[];
}

/** How the other controllers have stood, by the presence that each of them shows. */
export class ControllerStability {
  readonly #known = new Map<string, Known>();

  constructor(
    readonly mirror: Mirror,
    readonly clock: Clock,
    /** How long one that has not ended lately has to have been there. */
    readonly onceMs: number,
  ) {
    mirror.on(keys.node(""), ({ key, value, deleted }) => {
      this.#seen(key.slice(keys.node("").length), deleted ? null : parsePresence(value));
    });
  }

  presenceOf(name: string): Presence | null {
    const row = this.mirror.rows.get(keys.node(name));
    return row === undefined ? null : parsePresence(row.value);
  }

  /** Whether parts may go back to a controller: it has been there for a while, and does not flap. */
  isStable(name: string): boolean {
    const known = this.#known.get(name);
    if (known === undefined) return false;
    return this.clock.now() - known.since > requiredStableMs(known.begun.length, this.onceMs);
  }

  #seen(name: string, presence: Presence | null): void {
    const now = this.clock.now();
    const known = this.#known.get(name);
    if (presence === null) {
      // The run is remembered: presence that comes back with it was only interrupted.
      if (known !== undefined) known.since = Number.POSITIVE_INFINITY;
      return;
    }
    const anew = known?.run !== presence.run;
    const begun = (known?.begun ?? []).filter((at) => now - at < this.onceMs * 40);
    if (anew && known !== undefined) begun.push(now);
    const before = anew ? Number.POSITIVE_INFINITY : known!.since;
    const since = presence.shy ? Number.POSITIVE_INFINITY : Math.min(before, now);
    this.#known.set(name, { run: presence.run, since, begun });
  }
}
