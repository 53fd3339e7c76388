import { DRIFT } from "../clock.js";
import { keys } from "../state/keys.js";
import { parseRestoreRecord, restoreStateOf } from "../state/restore-state.js";
import type { Machine } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";

/** How long after our last answer a worker may still hold tasks, as a multiple of its lease. */
const SILENT = 1.1;

/** A worker drops answers that are older (PROTOCOL): a start that was under way is lost by then. */
const ANSWER_MS = 4000;

/**
 * How long tasks may run after a restore without anybody here hearing of them: an owner of the
 * former cluster that had lost its state service answered its workers for `cancel_s - 1.15 lease_s`
 * more (docs/design.md), and a worker that nobody answers keeps its tasks for a lease.
 */
export const restoreReconciliationMs = ({
  lease_s,
  cancel_s,
}: {
  lease_s: number;
  cancel_s: number;
}): number =>
  (Math.max(0, cancel_s - 1.15 * lease_s) + lease_s * (SILENT + 2 * DRIFT)) * 1000 + ANSWER_MS;

/**
 * After a restore: records are of the image, and tasks that were started later run without a record.
 * Until no such task can be running anywhere, nothing is placed. Owners answer their workers, stop
 * what they do not know, and take note of what a worker can prove to be done. An owner that has
 * waited long enough and sees nothing unknown vouches for its part, under its claim; when all owners
 * have, as they are at one moment, the restore has settled.
 */
export class RestoreReconciliation {
  readonly #since: number;
  #busy = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
  ) {
    this.#since = ctx.clock.now();
  }

  run(): void {
    if (this.#busy) return;
    const { mirror, index, claim } = this.ctx;
    const vouched = mirror.rows.get(keys.reconciled(index));
    if (vouched?.value !== claim.version) {
      if (this.#clean()) this.#write(() => this.#vouch(vouched?.version ?? 0));
      return;
    }
    const all = this.#all();
    if (all !== null) this.#write(() => this.#settle(all));
  }

  /** Whether nothing runs here that the records do not tell of, and nothing can turn up. */
  #clean(): boolean {
    const now = this.ctx.clock.now();
    if (now - this.#since < this.ctx.restoreReconciliationMs) return false;
    for (const machine of this.ledger.machines.values()) {
      if (this.#unknown(machine, now)) return false;
    }
    // What workers have proved to be done is in the store before anybody relies on it.
    for (const { chunks } of this.ledger.jobs.values()) {
      for (const chunk of chunks.values()) if (chunk.savedVersion < chunk.version) return false;
    }
    return true;
  }

  #unknown(
    { unknownTasks: strays, hasOurToken: current, lastSeen }: Machine,
    now: number,
  ): boolean {
    // One that has only just heard of us has not told us its tasks yet.
    if (strays.length === 0 && current) return false;
    return now - lastSeen <= this.ctx.leaseMs * SILENT;
  }

  /** What all owners have vouched for, if each of them is the owner now. */
  #all(): { key: string; version: number }[] | null {
    const { mirror, parts } = this.ctx;
    const conditions: { key: string; version: number }[] = [];
    for (let part = 0; part < parts; part++) {
      const claim = mirror.rows.get(keys.claim(part));
      const vouched = mirror.rows.get(keys.reconciled(part));
      if (claim === undefined || vouched?.value !== claim.version) return null;
      conditions.push(
        { key: keys.claim(part), version: claim.version },
        { key: keys.reconciled(part), version: vouched.version },
      );
    }
    return conditions;
  }

  #write(run: () => Promise<unknown>): void {
    this.#busy = true;
    run()
      .catch((error) => this.ctx.log.debug({ why: String(error) }, "settling waits"))
      .finally(() => {
        this.#busy = false;
      });
  }

  async #vouch(version: number): Promise<void> {
    const { store, index, claim, mirror, log } = this.ctx;
    const key = keys.reconciled(index);
    const value = claim.version;
    const result = await store.transact([claim, { key, version }], [{ put: key, value }]);
    if (!result.ok) return;
    mirror.apply({ key, value, version: result.revision, deleted: false });
    log.info({ part: index }, "nothing unknown runs in this part");
  }

  async #settle(all: { key: string; version: number }[]): Promise<void> {
    const { store, mirror, log } = this.ctx;
    const { version } = restoreStateOf(mirror);
    const record = parseRestoreRecord(mirror.rows.get(keys.restored)?.value);
    if (record === null) return;
    const value = { ...record, state: "settled" };
    const key = keys.restored;
    const result = await store.transact([...all, { key, version }], [{ put: key, value }]);
    if (!result.ok) return;
    mirror.apply({ key, value, version: result.revision, deleted: false });
    log.info({}, "the restored records tell of all that runs");
  }
}
