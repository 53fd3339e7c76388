import type { Core, LeaderTerm } from "../extension/index.js";
import { keys } from "../state/keys.js";
import { Refused, type Row } from "../state/store.js";
import { CorruptLeaf, covers, type Leaf } from "./leaf.js";
import type { Lookups } from "./lookups.js";
import { leafBytes, type Move, planMove } from "./plan.js";

/** Whose headers may go, in order of their ids. */
export interface Candidates {
  /** Headers that may be archived now; those that the last call gave and that did not go, too. */
  take(): Promise<readonly Row[]>;
  /** Those are gone from the watched keys. */
  gone(rows: readonly Row[], revision: number): void;
  /** Nothing can be done about these until somebody has looked at them. */
  setAside(rows: readonly Row[]): void;
}

/**
 * Moves headers of jobs that are over into the archive, one transaction at a time. Each depends on
 * the leaf and on every header as they were read, and does all or nothing: an unanswered one may be
 * applied late, or never, or twice, and need not be found out about. What it leaves is read again.
 */
export class Mover {
  moved = 0;

  constructor(
    readonly core: Core,
    readonly lookups: Lookups,
    readonly candidates: Candidates,
    readonly leading: LeaderTerm,
  ) {}

  /** Moves some; false when there is nothing to move, or nothing to spare for it now. */
  async step(): Promise<boolean> {
    const { store } = this.core;
    const { burst } = store.writes;
    // What is saved up is for renewals, placements and users: only from the upper half of it, and
    // no more at a time than comes back soon.
    const changes = Math.min(store.limits.ops, Math.max(3, Math.floor(burst / 3)));
    if (!this.leading.valid() || store.writes.level < burst * 0.75) return false;
    const rows = await this.candidates.take();
    const first = rows[0];
    if (first === undefined) return false;
    const id = (row: Row): string => row.key.slice(keys.job("").length);
    let leaf: Leaf;
    try {
      // As it is remembered, mostly from the last move; if it has changed, the move fails.
      leaf = this.lookups.known(id(first)) ?? (await this.lookups.leaf(id(first)));
    } catch (error) {
      if (!(error instanceof CorruptLeaf)) throw error;
      // Reported already. What belongs there stays where it is.
      this.candidates.setAside([first]);
      return true;
    }
    const inside = rows.filter((row) => covers(leaf, id(row)));
    const move = planMove(leaf, inside, {
      changes,
      leafBytes: leafBytes(store.limits),
      txnBytes: store.limits.txnBytes,
    });
    if (move === null) {
      // A header that fits no transaction, or is not what it should be.
      this.candidates.setAside([first]);
      return true;
    }
    if (move.doubled.length > 0) {
      await this.#judge(move.doubled, leaf);
    }
    if (move.moved.length === 0) return true;
    if (!store.writes.take(move.changes.length, burst / 2)) return false;
    return this.#carryOut(move);
  }

  /**
   * Jobs that the leaf has already: mostly a move that was not answered has been applied, or another
   * leader's, and their headers are gone. Only one that is still there is a fault.
   */
  async #judge(rows: readonly Row[], { version }: Leaf): Promise<void> {
    const gone: Row[] = [];
    const doubled: Row[] = [];
    for (const row of rows) {
      const there = await this.core.store.get(row.key);
      (there === null ? gone : doubled).push(row);
    }
    this.candidates.gone(gone, version);
    if (doubled.length === 0) return;
    const names = doubled.map(({ key }) => key);
    this.core.log.error({ names }, "jobs that are in the archive have headers too");
    this.candidates.setAside(doubled);
  }

  async #carryOut(move: Move): Promise<boolean> {
    const { store, log } = this.core;
    let result: Awaited<ReturnType<typeof store.transact>>;
    try {
      result = await store.transact(move.when, move.changes);
    } catch (error) {
      // Applied or not: what was remembered of the leaf may be wrong.
      for (const { key } of move.when) this.lookups.changed(key);
      if (error instanceof Refused) return false;
      throw error;
    }
    if (!result.ok) {
      for (const key of result.failed) this.lookups.changed(key);
      // Somebody else's change of a header comes by the watch.
      await this.core.mirror.waitForRevision(result.revision);
      return true;
    }
    for (const leaf of move.leaves) {
      this.lookups.keep({ ...leaf, version: result.revision });
    }
    this.candidates.gone(move.moved, result.revision);
    this.moved += move.moved.length;
    log.debug({ jobs: move.moved.length, leaves: move.leaves.length }, "jobs archived");
    return true;
  }
}
