import type { Core } from "../../extension/index.js";
import { tryCancel } from "../../jobs/cancel.js";
import { isJobHeader } from "../../jobs/job-header.js";
import { keys as coreKeys } from "../../state/keys.js";
import type { Condition, Row } from "../../state/store.js";
import type { ClusterIndex, Versioned } from "./cluster-index.js";
import { type ClusterRecord, isClusterRecord, keys } from "./records.js";

/** A write that conflicts with another writer is retried from the newer version. */
const MAX_ATTEMPTS = 5;

/**
 * Reads and writes clusters and their jobs. Each write is conditional on the version it was derived
 * from.
 */
export class ClusterStore {
  constructor(
    readonly core: Core,
    readonly clusterIndex: ClusterIndex,
  ) {}

  /** Reads the newest record from the state service. */
  async read(id: number): Promise<Versioned<ClusterRecord> | null> {
    const row = await this.core.store.get(keys.cluster(id));
    if (row === null || !isClusterRecord(row.value)) return null;
    this.core.mirror.apply({ ...row, deleted: false });
    return { value: row.value, version: row.version };
  }

  /**
   * Updates a record: `change` returns the next one, or null to leave it unchanged. Returns the
   * record afterwards, or null if there is none. `guard`: further conditions, such as the leader's
   * claim; a caller that passes one has already taken the first write from the rate limiter.
   */
  async update(
    id: number,
    change: (record: ClusterRecord) => ClusterRecord | null,
    guard: readonly Condition[] = [],
  ): Promise<ClusterRecord | null> {
    const { store, mirror } = this.core;
    let current = this.clusterIndex.clusters.get(id) ?? (await this.read(id));
    for (let attempt = 0; attempt < MAX_ATTEMPTS && current !== null; attempt++) {
      const next = change(current.value);
      // The record may be stale: checks that it is the newest before reporting no change.
      if (next === null) {
        const newest = attempt > 0 ? current : await this.read(id);
        if (newest === null || newest.version === current.version) return newest?.value ?? null;
        current = newest;
        continue;
      }
      if (attempt > 0 || guard.length === 0) store.writes.force(1);
      const key = keys.cluster(id);
      const result = await store.transact(
        [...guard, { key, version: current.version }],
        [{ put: key, value: next }],
      );
      if (result.ok) {
        mirror.apply({ key, value: next, version: result.revision, deleted: false });
        return next;
      }
      if (result.failed.some((name) => guard.some((one) => one.key === name))) return null;
      current = await this.read(id);
    }
    if (current === null) return null;
    throw new Error(
      `cluster ${id} not updated: ${MAX_ATTEMPTS} attempts conflicted with other writes`,
    );
  }

  /**
   * Cancels a job if it exists and is open. Returns whether it is finished afterwards.
   * `writesCharged`: the caller has already taken the writes from the rate limiter.
   */
  async cancel(id: string, writesCharged = false): Promise<boolean> {
    const { store, mirror } = this.core;
    let row: Pick<Row, "value" | "version"> | null = mirror.rows.get(coreKeys.job(id)) ?? null;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (row === null || attempt > 0) row = await store.get(coreKeys.job(id));
      if (row === null || !isJobHeader(row.value)) return false;
      if (row.value.status !== "open") return true;
      if (attempt > 0 || !writesCharged) store.writes.force(2);
      if (
        (await tryCancel(store, mirror, id, { header: row.value, version: row.version })) !== null
      )
        return true;
    }
    return false;
  }

  /** Whether a job has been submitted: reads the state service unless the mirror has the job. */
  async isSubmitted(id: string): Promise<boolean> {
    const { store, mirror } = this.core;
    if (mirror.rows.has(coreKeys.job(id))) return true;
    return (await store.get(coreKeys.job(id))) !== null;
  }
}
