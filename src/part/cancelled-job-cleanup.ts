import type { JobHeader } from "../jobs/job-header.js";
import { isHeader, partChar, withPartReleased } from "../jobs/job-header.js";
import { keys } from "../state/keys.js";
import { schemaOf } from "../state/schema.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";

/** Cancelled jobs of one part whose specifications take some 300 KB of memory. */
const MANY = 500;

/**
 * Writes into the headers of cancelled jobs that this part has nothing of them any more: once no
 * part has, a header may be archived. Nothing waits for it, so it takes only what is to spare. A
 * write that is not answered, or is applied late, does no harm: what has gone does not come back.
 */
export class CancelledJobCleanup {
  readonly #left = new Set<string>();
  #busy = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    /** Whether a chunk of the job is still on its way here. */
    readonly loading: (id: string) => boolean,
  ) {}

  /** A cancelled job that names this part. */
  add(id: string): void {
    this.#left.add(id);
  }

  get left(): number {
    return this.#left.size;
  }

  run(): void {
    if (this.#busy || this.#left.size === 0) return;
    // While there is no archive it is not worth a change. But an archive begins when there are many
    // jobs that are over for good, which cancelled ones are only after this.
    if (schemaOf(this.ctx.mirror).version === 1 && this.#left.size < MANY) return;
    const { writes, limits } = this.ctx.store;
    const most = Math.min(limits.ops, Math.max(1, Math.floor(writes.burst / 4)));
    const chosen: { key: string; version: number; header: JobHeader }[] = [];
    let bytes = 0;
    for (const id of this.#left) {
      if (this.ledger.jobs.has(id) || this.loading(id)) continue;
      const key = keys.job(id);
      const row = this.ctx.mirror.rows.get(key);
      const header = row !== undefined && isHeader(row.value) ? row.value : null;
      if (header === null || !header.owners.includes(partChar(this.ctx.index))) {
        this.#left.delete(id);
        continue;
      }
      const next = withPartReleased(header, this.ctx.index);
      bytes += 512 + Buffer.byteLength(JSON.stringify(next));
      if (chosen.length >= most || bytes > limits.txnBytes) break;
      chosen.push({ key, version: row!.version, header: next });
    }
    if (chosen.length === 0 || !writes.take(chosen.length, writes.burst / 2)) return;
    this.#busy = true;
    void this.#write(chosen).finally(() => {
      this.#busy = false;
    });
  }

  async #write(chosen: { key: string; version: number; header: JobHeader }[]): Promise<void> {
    const { store, mirror, claim, log } = this.ctx;
    try {
      const result = await store.transact(
        [claim, ...chosen.map(({ key, version }) => ({ key, version }))],
        chosen.map(({ key, header }) => ({ put: key, value: header })),
      );
      if (!result.ok) return;
      for (const { key, header } of chosen) {
        mirror.apply({ key, value: header, version: result.revision, deleted: false });
      }
    } catch (error) {
      log.debug({ why: String(error) }, "tidying waits");
    }
  }
}
