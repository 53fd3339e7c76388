import type { Clock } from "../clock.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Condition, Store } from "../state/store.js";

/**
 * Forgets machines that were returned long ago. Each is remembered so that its tasks are known to
 * be gone, and so that a report of it that comes late does not make it look alive. Every owner of a
 * part hears of a return within a watch; a later owner that finds a task on a machine of which
 * nothing is known any more waits a lease for its report, and has it returned once more, which the
 * cloud confirms. So forgetting too early costs a lease, and breaks nothing.
 */
export class Forgetting {
  /** Since when this leader has known a record. Its own clock: the time of day plays no part. */
  readonly #since = new Map<string, number>();
  /** When a machine was returned, or last heard of. */
  readonly #returned = new Map<string, number>();

  constructor(
    readonly store: Store,
    readonly mirror: Mirror,
    readonly clock: Clock,
    /** The leader's claim. */
    readonly claim: Condition,
    /** Far longer than lists lag and reports take on their way. */
    readonly keepMs: number,
  ) {}

  returned(id: string): void {
    this.#returned.set(id, this.clock.now());
  }

  /** Machines that may be asked to go once more, if somebody still speaks of them. */
  expired(): string[] {
    const before = this.clock.now() - this.keepMs;
    const out: string[] = [];
    for (const [id, at] of this.#returned) {
      // In the order in which they went.
      if (at > before) break;
      this.#returned.delete(id);
      out.push(id);
    }
    return out;
  }

  /** Deletes records that are old enough, a few at a time, when there is budget to spare. */
  async step(): Promise<void> {
    const now = this.clock.now();
    const prefix = keys.goneMachines("");
    const old: { key: string; version: number }[] = [];
    for (const [key, { version }] of this.mirror.rows) {
      if (!key.startsWith(prefix)) continue;
      const since = this.#since.get(key) ?? now;
      this.#since.set(key, since);
      if (now - since >= this.keepMs) old.push({ key, version });
    }
    for (const key of this.#since.keys()) if (!this.mirror.rows.has(key)) this.#since.delete(key);
    const { writes, limits } = this.store;
    const some = old.slice(0, Math.min(limits.ops, Math.max(1, Math.floor(writes.burst / 4))));
    if (some.length === 0 || !writes.take(some.length, writes.burst / 2)) return;
    await this.store.transact(
      [this.claim, ...some],
      some.map(({ key }) => ({ remove: key })),
    );
  }
}
