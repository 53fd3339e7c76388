import type { Core, LeaderTerm } from "../extension/index.js";
import { keys } from "../state/keys.js";
import { Refused, type Row } from "../state/store.js";
import { CorruptLeaf, covers, type Leaf } from "./leaf.js";
import type { Lookups } from "./lookups.js";
import { type Move, maxLeafBytes, planMove } from "./move-plan.js";

/** Source of the headers to archive, in order of id. */
export interface Candidates {
  /** Headers that may be archived now, including those of the last call that were not moved. */
  take(): Promise<readonly Row[]>;
  /** These headers have been removed from the watched keys. */
  gone(rows: readonly Row[], revision: number): void;
  /** These cannot be archived; they are skipped until an operator has repaired them. */
  setAside(rows: readonly Row[]): void;
}

/**
 * Moves headers of finished jobs into the archive, one transaction at a time. Each transaction is
 * conditional on the leaf and on every header as they were read, and is atomic. So it does no harm
 * if one without an answer is applied late, never or twice, and its result need not be determined:
 * headers that remain are read again.
 */
export class Mover {
  moved = 0;

  constructor(
    readonly core: Core,
    readonly lookups: Lookups,
    readonly candidates: Candidates,
    readonly leaderTerm: LeaderTerm,
  ) {}

  /** Moves some headers; false if there are none, or the write rate leaves no room for it now. */
  async step(): Promise<boolean> {
    const { store } = this.core;
    const { burst } = store.writes;
    // The burst of the rate limiter is for lease renewals, placements and users. Archiving uses only
    // its upper half, and at a time no more than is replenished soon.
    const changes = Math.min(store.limits.ops, Math.max(3, Math.floor(burst / 3)));
    if (!this.leaderTerm.valid() || store.writes.level < burst * 0.75) return false;
    const rows = await this.candidates.take();
    const first = rows[0];
    if (first === undefined) return false;
    const idOf = (row: Row): string => row.key.slice(keys.job("").length);
    let leaf: Leaf;
    try {
      // Usually cached since the last move. If it is stale, the transaction fails.
      leaf = this.lookups.cachedLeaf(idOf(first)) ?? (await this.lookups.readLeaf(idOf(first)));
    } catch (error) {
      if (!(error instanceof CorruptLeaf)) throw error;
      // Logged by the lookup. Jobs of this range stay unarchived.
      this.candidates.setAside([first]);
      return true;
    }
    const coveredRows = rows.filter((row) => covers(leaf, idOf(row)));
    const move = planMove(leaf, coveredRows, {
      changes,
      leafBytes: maxLeafBytes(store.limits),
      txnBytes: store.limits.txnBytes,
    });
    if (move === null) {
      // The header fits no transaction, or is not that of a finished job.
      this.candidates.setAside([first]);
      return true;
    }
    if (move.alreadyArchived.length > 0) {
      await this.#checkAlreadyArchived(move.alreadyArchived, leaf);
    }
    if (move.moved.length === 0) return true;
    if (!store.writes.take(move.changes.length, burst / 2)) return false;
    return this.#commit(move);
  }

  /**
   * Handles jobs that are already in the leaf. Usually a transaction without an answer, or one of
   * another leader, has been applied and their headers are gone. A header that still exists is a
   * fault.
   */
  async #checkAlreadyArchived(rows: readonly Row[], { version }: Leaf): Promise<void> {
    const removedRows: Row[] = [];
    const presentRows: Row[] = [];
    for (const row of rows) {
      const stored = await this.core.store.get(row.key);
      (stored === null ? removedRows : presentRows).push(row);
    }
    this.candidates.gone(removedRows, version);
    if (presentRows.length === 0) return;
    const names = presentRows.map(({ key }) => key);
    this.core.log.error(
      { keys: names },
      "archived jobs still have job headers in the state service; leaving these headers in place",
    );
    this.candidates.setAside(presentRows);
  }

  async #commit(move: Move): Promise<boolean> {
    const { store, log } = this.core;
    let result: Awaited<ReturnType<typeof store.transact>>;
    try {
      result = await store.transact(move.conditions, move.changes);
    } catch (error) {
      // It may have been applied, so the cached leaf may be stale.
      for (const { key } of move.conditions) this.lookups.invalidate(key);
      if (error instanceof Refused) return false;
      throw error;
    }
    if (!result.ok) {
      for (const key of result.failed) this.lookups.invalidate(key);
      // Another controller's change of a header arrives by the watch.
      await this.core.mirror.waitForRevision(result.revision);
      return true;
    }
    for (const leaf of move.leaves) {
      this.lookups.cacheLeaf({ ...leaf, version: result.revision });
    }
    this.candidates.gone(move.moved, result.revision);
    this.moved += move.moved.length;
    log.debug({ jobs: move.moved.length, leaves: move.leaves.length }, "jobs archived");
    return true;
  }
}
