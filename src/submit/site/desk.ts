import type { Core } from "../../extension/index.js";
import { tryCancel } from "../../jobs/cancel.js";
import { isHeader } from "../../jobs/job-header.js";
import { keys as coreKeys } from "../../state/keys.js";
import type { Condition, Row } from "../../state/store.js";
import type { Book, Versioned } from "./book.js";
import { type ClusterRecord, isCluster, keys } from "./records.js";

/** Changes that lose against another writer are tried anew from what that one wrote. */
const TRIES = 5;

/** Reads and writes clusters and their jobs, each write on condition of what it was decided from. */
export class Desk {
  constructor(
    readonly core: Core,
    readonly book: Book,
  ) {}

  /** The newest record, from the store itself. */
  async read(id: number): Promise<Versioned<ClusterRecord> | null> {
    const row = await this.core.store.get(keys.cluster(id));
    if (row === null || !isCluster(row.value)) return null;
    this.core.mirror.apply({ ...row, deleted: false });
    return { value: row.value, version: row.version };
  }

  /**
   * Changes a record; `change` gives the next one, or null to leave it. Returns the record as it is
   * then, null when there is none. `guard`: what else has to hold, such as the leader's claim; who
   * has one has taken the first write from the budget.
   */
  async change(
    id: number,
    change: (record: ClusterRecord) => ClusterRecord | null,
    guard: readonly Condition[] = [],
  ): Promise<ClusterRecord | null> {
    const { store, mirror } = this.core;
    let known = this.book.clusters.get(id) ?? (await this.read(id));
    for (let attempt = 0; attempt < TRIES && known !== null; attempt++) {
      const next = change(known.value);
      // What is decided from a record that may be old is checked before anyone is told.
      if (next === null) {
        const newest = attempt > 0 ? known : await this.read(id);
        if (newest === null || newest.version === known.version) return newest?.value ?? null;
        known = newest;
        continue;
      }
      if (attempt > 0 || guard.length === 0) store.writes.force(1);
      const key = keys.cluster(id);
      const result = await store.transact(
        [...guard, { key, version: known.version }],
        [{ put: key, value: next }],
      );
      if (result.ok) {
        mirror.apply({ key, value: next, version: result.revision, deleted: false });
        return next;
      }
      if (result.failed.some((name) => guard.some((one) => one.key === name))) return null;
      known = await this.read(id);
    }
    if (known === null) return null;
    throw new Error("changed by others again and again");
  }

  /** Cancels a job if it is there and open; says whether it is over then. `paid`: out of the budget. */
  async cancel(id: string, paid = false): Promise<boolean> {
    const { store, mirror } = this.core;
    let row: Pick<Row, "value" | "version"> | null = mirror.rows.get(coreKeys.job(id)) ?? null;
    for (let attempt = 0; attempt < TRIES; attempt++) {
      if (row === null || attempt > 0) row = await store.get(coreKeys.job(id));
      if (row === null || !isHeader(row.value)) return false;
      if (row.value.status !== "open") return true;
      if (attempt > 0 || !paid) store.writes.force(2);
      if (
        (await tryCancel(store, mirror, id, { header: row.value, version: row.version })) !== null
      )
        return true;
    }
    return false;
  }

  /** Whether a job has been taken, by the newest that can be known. */
  async taken(id: string): Promise<boolean> {
    const { store, mirror } = this.core;
    if (mirror.rows.has(coreKeys.job(id))) return true;
    return (await store.get(coreKeys.job(id))) !== null;
  }
}
