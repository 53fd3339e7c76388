import type { JobHeader } from "../jobs/job-header.js";
import { isJobHeader, partChar, withPartReleased } from "../jobs/job-header.js";
import { keys } from "../state/keys.js";
import { schemaOf } from "../state/schema.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";

/** Cancelled jobs of one part; the specifications of so many take some 300 KB of memory. */
const MIN_JOBS_WITHOUT_ARCHIVE = 500;

/**
 * Writes into headers of cancelled jobs that this part has released them: once all parts have, the
 * header may be archived. Nothing depends on it soon, so it uses only spare capacity of the rate
 * limiter. A write that is not answered, or is applied late, does no harm: a released job stays so.
 */
export class CancelledJobCleanup {
  readonly #pending = new Set<string>();
  #writing = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    /** Whether the handover record of a chunk of the job is being read. */
    readonly isLoading: (id: string) => boolean,
  ) {}

  /** Adds a cancelled job whose header names this part. */
  add(id: string): void {
    this.#pending.add(id);
  }

  get pendingCount(): number {
    return this.#pending.size;
  }

  run(): void {
    if (this.#writing || this.#pending.size === 0) return;
    // Without an archive, few jobs are not worth a write. Many are: the archive is begun once many
    // jobs are fully released, and cancelled jobs are fully released only by these writes.
    if (schemaOf(this.ctx.mirror).version === 1 && this.#pending.size < MIN_JOBS_WITHOUT_ARCHIVE)
      return;
    const { writes, limits } = this.ctx.store;
    const maxHeaders = Math.min(limits.ops, Math.max(1, Math.floor(writes.burst / 4)));
    const selected: { key: string; version: number; header: JobHeader }[] = [];
    let bytes = 0;
    for (const id of this.#pending) {
      if (this.ledger.jobs.has(id) || this.isLoading(id)) continue;
      const key = keys.job(id);
      const row = this.ctx.mirror.rows.get(key);
      const header = row !== undefined && isJobHeader(row.value) ? row.value : null;
      if (header === null || !header.owners.includes(partChar(this.ctx.index))) {
        this.#pending.delete(id);
        continue;
      }
      const released = withPartReleased(header, this.ctx.index);
      bytes += 512 + Buffer.byteLength(JSON.stringify(released));
      if (selected.length >= maxHeaders || bytes > limits.txnBytes) break;
      selected.push({ key, version: row!.version, header: released });
    }
    if (selected.length === 0 || !writes.take(selected.length, writes.burst / 2)) return;
    this.#writing = true;
    void this.#write(selected).finally(() => {
      this.#writing = false;
    });
  }

  async #write(selected: { key: string; version: number; header: JobHeader }[]): Promise<void> {
    const { store, mirror, claim, log } = this.ctx;
    try {
      const result = await store.transact(
        [claim, ...selected.map(({ key, version }) => ({ key, version }))],
        selected.map(({ key, header }) => ({ put: key, value: header })),
      );
      if (!result.ok) return;
      for (const { key, header } of selected) {
        mirror.apply({ key, value: header, version: result.revision, deleted: false });
      }
    } catch (error) {
      log.debug({ why: String(error) }, "release of cancelled jobs not written; retrying");
    }
  }
}
