import { MAX_CLOCK_DRIFT_RATIO } from "../clock.js";
import { keys } from "../state/keys.js";
import { parseRestoreRecord, restoreStateOf } from "../state/restore-state.js";
import type { Machine } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";

/** How long after the last answer a worker may still run tasks, as a multiple of its lease. */
const LEASES_UNTIL_TASKS_STOPPED = 1.1;

/** Workers discard answers older than this (PROTOCOL): a start in flight has expired by then. */
const ANSWER_EXPIRY_MS = 4000;

/**
 * How long after a restore tasks may run without being reported here. An owner of the former cluster
 * that had lost its state service answered its workers for another `cancel_s - 1.15 lease_s`
 * (docs/design.md), and a worker without answers keeps its tasks for a lease.
 */
export const restoreReconciliationMs = ({
  lease_s,
  cancel_s,
}: {
  lease_s: number;
  cancel_s: number;
}): number =>
  (Math.max(0, cancel_s - 1.15 * lease_s) +
    lease_s * (LEASES_UNTIL_TASKS_STOPPED + 2 * MAX_CLOCK_DRIFT_RATIO)) *
    1000 +
  ANSWER_EXPIRY_MS;

/**
 * After a restore the records are those of the image, and tasks started later run without a record.
 * Until no such task can be running anywhere, nothing is placed. Owners answer their workers, stop
 * unknown tasks, and record tasks that a worker reports as completed. An owner that has waited long
 * enough and sees no unknown task writes the reconciled marker of its part, with the version of its
 * claim. Once the markers of all parts match their current claims, checked in one transaction, the
 * restore state becomes `settled`.
 */
export class RestoreReconciliation {
  readonly #since: number;
  #writing = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
  ) {
    this.#since = ctx.clock.now();
  }

  run(): void {
    if (this.#writing) return;
    const { mirror, index, claim } = this.ctx;
    const marker = mirror.rows.get(keys.reconciled(index));
    if (marker?.value !== claim.version) {
      if (this.#isReconciled())
        this.#startWrite(() => this.#writeReconciledMarker(marker?.version ?? 0));
      return;
    }
    const conditions = this.#allReconciled();
    if (conditions !== null) this.#startWrite(() => this.#finishReconciliation(conditions));
  }

  /** Whether no unknown task runs in this part, and none can appear any more. */
  #isReconciled(): boolean {
    const now = this.ctx.clock.now();
    if (now - this.#since < this.ctx.restoreReconciliationMs) return false;
    for (const machine of this.ledger.machines.values()) {
      if (this.#mayRunUnknownTasks(machine, now)) return false;
    }
    // Tasks that workers reported as completed have to be committed first.
    for (const { chunks } of this.ledger.jobs.values()) {
      for (const chunk of chunks.values()) if (chunk.savedVersion < chunk.version) return false;
    }
    return true;
  }

  #mayRunUnknownTasks({ unknownTasks, hasOurToken, lastSeen }: Machine, now: number): boolean {
    // A worker without this owner's token has not given a complete report of its tasks yet.
    if (unknownTasks.length === 0 && hasOurToken) return false;
    return now - lastSeen <= this.ctx.leaseMs * LEASES_UNTIL_TASKS_STOPPED;
  }

  /** Claims and markers of all parts as conditions, or null if a marker does not match its claim. */
  #allReconciled(): { key: string; version: number }[] | null {
    const { mirror, parts } = this.ctx;
    const conditions: { key: string; version: number }[] = [];
    for (let part = 0; part < parts; part++) {
      const claim = mirror.rows.get(keys.claim(part));
      const marker = mirror.rows.get(keys.reconciled(part));
      if (claim === undefined || marker?.value !== claim.version) return null;
      conditions.push(
        { key: keys.claim(part), version: claim.version },
        { key: keys.reconciled(part), version: marker.version },
      );
    }
    return conditions;
  }

  #startWrite(write: () => Promise<unknown>): void {
    this.#writing = true;
    write()
      .catch((error) =>
        this.ctx.log.debug({ why: String(error) }, "restore reconciliation not written; retrying"),
      )
      .finally(() => {
        this.#writing = false;
      });
  }

  async #writeReconciledMarker(version: number): Promise<void> {
    const { store, index, claim, mirror, log } = this.ctx;
    const key = keys.reconciled(index);
    const value = claim.version;
    const result = await store.transact([claim, { key, version }], [{ put: key, value }]);
    if (!result.ok) return;
    mirror.apply({ key, value, version: result.revision, deleted: false });
    log.info({ part: index }, "restore reconciliation: no unknown tasks run in this part");
  }

  async #finishReconciliation(conditions: { key: string; version: number }[]): Promise<void> {
    const { store, mirror, log } = this.ctx;
    const { version } = restoreStateOf(mirror);
    const record = parseRestoreRecord(mirror.rows.get(keys.restored)?.value);
    if (record === null) return;
    const value = { ...record, state: "settled" };
    const key = keys.restored;
    const result = await store.transact([...conditions, { key, version }], [{ put: key, value }]);
    if (!result.ok) return;
    mirror.apply({ key, value, version: result.revision, deleted: false });
    log.info({}, "the restored records tell of all that runs");
  }
}
