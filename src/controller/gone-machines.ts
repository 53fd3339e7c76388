import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";

const GONE_MACHINES_PREFIX = keys.goneMachines("");

/**
 * Machines that the cloud has confirmed to be gone, for as long as their records exist. A record is
 * the proof that nothing runs on a machine any more. If the record is missing, returning the
 * machine to the cloud again creates it anew: the cloud confirms names that it does not know as
 * well.
 */
export class GoneMachines {
  readonly machines = new Set<string>();
  readonly #byKey = new Map<string, string[]>();

  constructor(mirror: Mirror, tell: (machines: readonly string[]) => void) {
    mirror.on(GONE_MACHINES_PREFIX, ({ key, value, deleted }) => {
      for (const id of this.#byKey.get(key) ?? []) this.machines.delete(id);
      this.#byKey.delete(key);
      if (deleted || !Array.isArray(value)) return;
      const names = value.map(String);
      this.#byKey.set(key, names);
      for (const id of names) this.machines.add(id);
      tell(names);
    });
  }
}
