import { sleep } from "../clock.js";
import type { ChunkState } from "../jobs/chunk.js";
import { keys } from "../state/keys.js";
import { Refused, Rejected, type Row } from "../state/store.js";
import { BatchBuilder, type WriteBatch } from "./batch-builder.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";
import { Pages } from "./pages.js";
import type { Quota } from "./quota.js";

/** Keys whose rows count only in the order in which the watch tells of them. */
export const ONLY_WATCHED: ReadonlySet<string> = new Set([keys.cancels, keys.configurationHead]);

/** What became of a batch. Without `revision` it was not applied, and never will be. */
export interface CommitResult {
  batch: WriteBatch;
  revision: number | null;
  /** Where its conditions failed: what is there now. */
  rows: Row[];
  missing: string[];
}

/**
 * Writes what has changed: the states of all chunks, packed into few pages, and with them headers
 * and slices. One transaction is on its way at a time, and what became of it is always found out
 * before the next one.
 */
export class Committer {
  readonly #pages: Pages;
  readonly #collecting: BatchBuilder;
  #saving = false;
  /** The ledger's count when a look found nothing to write. */
  #cleanAt = 0;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    readonly done: (outcome: CommitResult) => void,
    readonly stopped: () => boolean,
  ) {
    this.#pages = new Pages(ctx);
    this.#collecting = new BatchBuilder(ctx, ledger, quota, this.#pages);
  }

  /** What the store had when this owner began, or has now. */
  known(key: string, version: number, value?: unknown): void {
    if (key === keys.fence(this.ctx.index)) this.#collecting.fence = version;
    else this.#pages.known(key, version, value);
  }

  /** Whether a page is larger than pages may be now. */
  isLarge(number: number): boolean {
    return this.#pages.isLarge(number);
  }

  /** The key of a record that cannot be read: it is not written over. */
  reserve(key: string): void {
    this.#pages.reserve(key);
  }

  /** A state in a page that belongs to no chunk of ours: it stays there as it is. */
  keepRaw(page: number, name: string, state: ChunkState): void {
    this.#pages.keepRaw(page, name, state);
  }

  /** Sends what has changed; false when the budget does not allow it now. */
  flush(): boolean {
    if (this.#saving) return true;
    this.#withdraw();
    const { changes } = this.ledger;
    const { writes } = this.ctx.store;
    // Most passes change nothing: then the jobs need not be gone through.
    const held = this.#collecting.heldBack && writes.level >= writes.burst / 2;
    if (changes === this.#cleanAt && !held && this.quota.changes().length === 0) return true;
    this.#collecting.heldBack = false;
    const batch = this.#collecting.collect();
    if (batch.changes.length === 0) {
      this.#cleanAt = changes;
      return true;
    }
    // Users' submissions and cancellations come first: they are few.
    if (!writes.take(batch.changes.length, writes.burst / 4)) return false;
    this.#saving = true;
    void this.#commit(batch);
    return true;
  }

  /**
   * Takes back placements that no commit has held yet, of teams that use more than their limit since
   * it was lowered. Nobody has been told of them.
   */
  #withdraw(): void {
    const teams = this.quota.beyond();
    if (teams.size === 0) return;
    for (const { spec, chunks } of this.ledger.jobs.values()) {
      if (!teams.has(spec.team)) continue;
      for (const chunk of chunks.values()) {
        for (const live of [...chunk.allocations.values()]) {
          if (live.version > chunk.savedVersion) this.ledger.release(live, false);
        }
      }
    }
  }

  async #commit(batch: WriteBatch): Promise<void> {
    const { store, clock, log, reportMs } = this.ctx;
    const outcome: CommitResult = { batch, revision: null, rows: [], missing: [] };
    try {
      const result = await store.transact(batch.when, batch.changes);
      if (result.ok) outcome.revision = result.revision;
      else if (result.failed.includes(keys.claim(this.ctx.index))) {
        this.ctx.onClaimLost("claim changed");
        return;
      } else {
        await this.#read(result.failed, outcome);
        // Which jobs were cancelled is learned from their headers, and what a revision changes
        // together with all slices before it: by the watch.
        for (const { key, version } of outcome.rows) {
          if (ONLY_WATCHED.has(key)) await this.ctx.mirror.waitForRevision(version);
        }
      }
    } catch (error) {
      if (error instanceof Refused) {
        // Not executed. The same changes are collected again later.
        if (error instanceof Rejected) this.#rejected(batch, error.message);
        else log.debug({ why: error.message }, "commit refused");
        await sleep(clock, reportMs / 10);
      } else {
        log.debug({ why: String(error) }, "commit without answer");
        if (!(await this.#settle(batch, outcome))) return;
      }
    }
    this.done(outcome);
  }

  /** Reads keys until they have been read. */
  async #read(names: readonly string[], outcome: CommitResult): Promise<void> {
    for (const key of names) {
      for (;;) {
        if (this.stopped()) return;
        try {
          const row = await this.ctx.store.get(key);
          if (row === null) outcome.missing.push(key);
          else outcome.rows.push(row);
          break;
        } catch {
          await sleep(this.ctx.clock, this.ctx.reportMs / 8);
        }
      }
    }
  }

  /**
   * Finds out what became of a transaction that was not answered. It may still be applied, at any
   * time: so the fence that it depends on is changed first. After that it was applied, or never
   * will be, and the keys that only this owner writes tell which. False when the claim is lost.
   */
  async #settle(batch: WriteBatch, outcome: CommitResult): Promise<boolean> {
    const { store, clock, index, reportMs } = this.ctx;
    const fence = keys.fence(index);
    let seen: number | null = null;
    for (;;) {
      if (this.stopped()) return false;
      try {
        const found = await store.get(fence);
        const version = found?.version ?? 0;
        if (batch.mark !== null && found?.value === batch.mark) seen = version;
        const result = await store.transact(
          [this.ctx.claim, { key: fence, version }],
          [{ put: fence, value: this.#collecting.mark() }],
        );
        if (result.ok) {
          this.#collecting.fence = result.revision;
          break;
        }
        if (result.failed.includes(keys.claim(index))) {
          this.ctx.onClaimLost("claim changed");
          return false;
        }
      } catch {
        await sleep(clock, reportMs / 8);
      }
    }
    const page = batch.pages.find(({ removed }) => !removed);
    if (page === undefined) outcome.revision = seen;
    else {
      const found: CommitResult = { ...outcome, rows: [], missing: [] };
      await this.#read([keys.page(index, page.number)], found);
      const version = found.rows[0]?.version ?? 0;
      if (version !== page.version) outcome.revision = version;
    }
    return !this.stopped();
  }

  /**
   * The service finds fault with a transaction: its limits have fallen, or one record of it is too large.
   * It is never sent again as it was: smaller ones show which record it is, and that one waits.
   */
  #rejected({ changes, pages }: WriteBatch, why: string): void {
    const { log, metrics, index } = this.ctx;
    metrics.add({ kind: "event", what: "commit rejected" });
    log.error({ part: index, why, changes: changes.length }, "commit rejected");
    if (!this.#pages.narrow) this.#pages.narrow = true;
    else if (this.#collecting.most > 4)
      this.#collecting.most = Math.max(4, Math.floor(this.#collecting.most / 2));
    else this.#pages.refuse(pages.map(({ number }) => number));
  }

  /** Takes in what became of a batch. */
  settled({ batch, revision, rows, missing }: CommitResult): void {
    this.#saving = false;
    this.ledger.changes++;
    const { index } = this.ctx;
    if (revision === null) {
      for (const { chunk, page } of batch.saves) if (page === null) chunk.movingTo = null;
      // This owner alone writes them, so whatever is there is its own.
      const found = new Map(rows.map(({ key, version }) => [key, version]));
      for (const key of missing) found.set(key, 0);
      for (const [key, version] of found) this.known(key, version);
      for (const { chunk } of batch.saves) {
        const key = keys.handover(index, chunk.job, chunk.index);
        chunk.handoverVersion = found.get(key) ?? chunk.handoverVersion;
      }
      return;
    }
    this.#collecting.most = Math.min(this.ctx.store.limits.ops, this.#collecting.most + 1);
    // An answer that was lost: the fence has been changed since.
    if (batch.mark !== null) this.#collecting.fence = Math.max(this.#collecting.fence, revision);
    for (const { number, removed } of batch.pages) {
      if (removed) this.#pages.versions.delete(number);
      else this.#pages.versions.set(number, revision);
      if (removed) this.#pages.stuck.delete(number);
    }
    for (const { chunk, version, page, more } of batch.saves) {
      chunk.page = page;
      chunk.extraPages = more;
      chunk.savedVersion = version;
      chunk.handoverVersion = 0;
    }
    for (const change of batch.slices) this.quota.committed(change);
  }
}
