import type { Clock } from "../clock.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Condition, Store } from "../state/store.js";

/**
 * Deletes the records of machines that were returned long ago. A returned machine is remembered so
 * that its tasks are known to be gone, and so that a late report of it does not make it look alive.
 * Every owner of a part learns of a return by the watch. A later owner that finds a task on a
 * machine without a record waits one lease for its report and then has the machine returned again,
 * which the cloud confirms. So deleting too early costs one lease and breaks nothing.
 */
export class ReturnedMachineCleanup {
  /** When this leader first saw a record, by its own clock: records carry no time of day. */
  readonly #recordSeenAt = new Map<string, number>();
  /** When a machine was returned. */
  readonly #returnedAt = new Map<string, number>();

  constructor(
    readonly store: Store,
    readonly mirror: Mirror,
    readonly clock: Clock,
    /** The leader's claim. */
    readonly claim: Condition,
    /** How long to keep a record: far longer than machine lists lag and reports are delayed. */
    readonly keepMs: number,
  ) {}

  noteReturned(id: string): void {
    this.#returnedAt.set(id, this.clock.now());
  }

  /** Removes and returns the machines returned long ago: they may be returned again if still named. */
  takeExpired(): string[] {
    const cutoff = this.clock.now() - this.keepMs;
    const ids: string[] = [];
    for (const [id, at] of this.#returnedAt) {
      // The map is in the order of the returns.
      if (at > cutoff) break;
      this.#returnedAt.delete(id);
      ids.push(id);
    }
    return ids;
  }

  /** Deletes records that are old enough, a few at a time, when the rate limiter has enough tokens left. */
  async step(): Promise<void> {
    const now = this.clock.now();
    const prefix = keys.goneMachines("");
    const old: { key: string; version: number }[] = [];
    for (const [key, { version }] of this.mirror.rows) {
      if (!key.startsWith(prefix)) continue;
      const since = this.#recordSeenAt.get(key) ?? now;
      this.#recordSeenAt.set(key, since);
      if (now - since >= this.keepMs) old.push({ key, version });
    }
    for (const key of this.#recordSeenAt.keys())
      if (!this.mirror.rows.has(key)) this.#recordSeenAt.delete(key);
    const { writes, limits } = this.store;
    const batch = old.slice(0, Math.min(limits.ops, Math.max(1, Math.floor(writes.burst / 4))));
    if (batch.length === 0 || !writes.take(batch.length, writes.burst / 2)) return;
    await this.store.transact(
      [this.claim, ...batch],
      batch.map(({ key }) => ({ remove: key })),
    );
  }
}
