import { sleep } from "../clock.js";
import type { ChunkState } from "../jobs/chunk.js";
import { keys } from "../state/keys.js";
import { Refused, Rejected, type Row } from "../state/store.js";
import { BatchBuilder, type WriteBatch } from "./batch-builder.js";
import type { PartContext } from "./context.js";
import type { Ledger } from "./ledger.js";
import { Pages } from "./pages.js";
import type { Quota } from "./quota.js";

/** Keys whose changes are applied only in the order of the watch, never from a read. */
export const WATCH_ORDERED_KEYS: ReadonlySet<string> = new Set([
  keys.cancels,
  keys.configurationHead,
]);

/** Result of a write batch. Without `revision` it was not applied and never will be. */
export interface CommitResult {
  batch: WriteBatch;
  revision: number | null;
  /** Current rows of the keys whose conditions failed. */
  rows: Row[];
  /** Keys among them that do not exist. */
  missing: string[];
}

/**
 * Writes what has changed: chunk states, packed into few pages, together with headers and slices.
 * One transaction is in flight at a time, and its result is always determined before the next one.
 */
export class Committer {
  readonly #pages: Pages;
  readonly #batchBuilder: BatchBuilder;
  #committing = false;
  /** The ledger's change count when there was nothing left to write. */
  #cleanAtChangeCount = 0;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    readonly onResult: (commitResult: CommitResult) => void,
    readonly isStopped: () => boolean,
  ) {
    this.#pages = new Pages(ctx);
    this.#batchBuilder = new BatchBuilder(ctx, ledger, quota, this.#pages);
  }

  /** Sets a key's version in the store, as read at takeover or now. */
  setVersion(key: string, version: number, value?: unknown): void {
    if (key === keys.fence(this.ctx.index)) this.#batchBuilder.fenceVersion = version;
    else this.#pages.setVersion(key, version, value);
  }

  /** Whether a page is larger than the current maximum page size. */
  isOversized(number: number): boolean {
    return this.#pages.isOversized(number);
  }

  /** Marks the key of an unreadable record, which is not overwritten. */
  markUnreadable(key: string): void {
    this.#pages.markUnreadable(key);
  }

  /** Keeps a page's state that belongs to no chunk of this part: it is written back unchanged. */
  keepUnowned(page: number, name: string, state: ChunkState): void {
    this.#pages.keepUnowned(page, name, state);
  }

  /** Starts a commit of what has changed; false if the rate limiter does not allow it now. */
  flush(): boolean {
    if (this.#committing) return true;
    this.#withdrawUncommitted();
    const { changeCount } = this.ledger;
    const { writes } = this.ctx.store;
    // Most passes change nothing: then the scan of all jobs is skipped.
    const canWriteDeferred = this.#batchBuilder.hasDeferred && writes.level >= writes.burst / 2;
    if (
      changeCount === this.#cleanAtChangeCount &&
      !canWriteDeferred &&
      this.quota.sliceChanges().length === 0
    )
      return true;
    this.#batchBuilder.hasDeferred = false;
    const batch = this.#batchBuilder.collect();
    if (batch.changes.length === 0) {
      this.#cleanAtChangeCount = changeCount;
      return true;
    }
    // A quarter of the burst is left for users' submissions and cancellations, which are few.
    if (!writes.take(batch.changes.length, writes.burst / 4)) return false;
    this.#committing = true;
    void this.#commit(batch);
    return true;
  }

  /**
   * Releases uncommitted allocations of teams that exceed a limit that was lowered. No worker has been
   * told of them.
   */
  #withdrawUncommitted(): void {
    const teams = this.quota.teamsOverLimit();
    if (teams.size === 0) return;
    for (const { spec, chunks } of this.ledger.jobs.values()) {
      if (!teams.has(spec.team)) continue;
      for (const chunk of chunks.values()) {
        for (const allocation of [...chunk.allocations.values()]) {
          if (allocation.version > chunk.savedVersion) this.ledger.release(allocation, false);
        }
      }
    }
  }

  async #commit(batch: WriteBatch): Promise<void> {
    const { store, clock, log, reportMs } = this.ctx;
    const commitResult: CommitResult = { batch, revision: null, rows: [], missing: [] };
    try {
      const result = await store.transact(batch.when, batch.changes);
      if (result.ok) commitResult.revision = result.revision;
      else if (result.failed.includes(keys.claim(this.ctx.index))) {
        this.ctx.onClaimLost("claim changed");
        return;
      } else {
        await this.#readKeys(result.failed, commitResult);
        // The watch has to reach these versions: cancellations are learned from the headers before
        // them, and a configuration revision has to be applied after all earlier slices.
        for (const { key, version } of commitResult.rows) {
          if (WATCH_ORDERED_KEYS.has(key)) await this.ctx.mirror.waitForRevision(version);
        }
      }
    } catch (error) {
      if (error instanceof Refused) {
        // The transaction was not executed. The changes are collected again later.
        if (error instanceof Rejected) this.#onRejected(batch, error.message);
        else log.debug({ why: error.message }, "commit refused by state service; retrying");
        await sleep(clock, reportMs / 10);
      } else {
        log.debug({ why: String(error) }, "commit not answered; resolving its result");
        if (!(await this.#resolveUnanswered(batch, commitResult))) return;
      }
    }
    this.onResult(commitResult);
  }

  /** Reads keys, with retries, into `rows` and `missing` of a result. */
  async #readKeys(keysToRead: readonly string[], commitResult: CommitResult): Promise<void> {
    for (const key of keysToRead) {
      for (;;) {
        if (this.isStopped()) return;
        try {
          const row = await this.ctx.store.get(key);
          if (row === null) commitResult.missing.push(key);
          else commitResult.rows.push(row);
          break;
        } catch {
          await sleep(this.ctx.clock, this.ctx.reportMs / 8);
        }
      }
    }
  }

  /**
   * Determines the result of a transaction that was not answered. It may still be applied at any
   * time, so the fence that it depends on is changed first. After that it has been applied or never
   * will be, and keys that only this owner writes show which. False when the claim is lost.
   */
  async #resolveUnanswered(batch: WriteBatch, commitResult: CommitResult): Promise<boolean> {
    const { store, clock, index, reportMs } = this.ctx;
    const fence = keys.fence(index);
    let fenceVersionOfBatch: number | null = null;
    for (;;) {
      if (this.isStopped()) return false;
      try {
        const fenceRow = await store.get(fence);
        const version = fenceRow?.version ?? 0;
        if (batch.fenceValue !== null && fenceRow?.value === batch.fenceValue)
          fenceVersionOfBatch = version;
        const result = await store.transact(
          [this.ctx.claim, { key: fence, version }],
          [{ put: fence, value: this.#batchBuilder.nextFenceValue() }],
        );
        if (result.ok) {
          this.#batchBuilder.fenceVersion = result.revision;
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
    if (page === undefined) commitResult.revision = fenceVersionOfBatch;
    else {
      const pageRead: CommitResult = { ...commitResult, rows: [], missing: [] };
      await this.#readKeys([keys.page(index, page.number)], pageRead);
      const version = pageRead.rows[0]?.version ?? 0;
      if (version !== page.version) commitResult.revision = version;
    }
    return !this.isStopped();
  }

  /**
   * The state service rejected a transaction: its limits were lowered, or a record is too large. It is
   * not sent again unchanged. Smaller transactions isolate the record, whose page is then deferred.
   */
  #onRejected({ changes, pages }: WriteBatch, why: string): void {
    const { log, metrics, index } = this.ctx;
    metrics.add({ kind: "event", what: "commit rejected" });
    log.error({ part: index, why, changes: changes.length }, "commit rejected");
    if (!this.#pages.noLargeValues) this.#pages.noLargeValues = true;
    else if (this.#batchBuilder.maxChanges > 4)
      this.#batchBuilder.maxChanges = Math.max(4, Math.floor(this.#batchBuilder.maxChanges / 2));
    else this.#pages.defer(pages.map(({ number }) => number));
  }

  /** Applies the result of a batch to the state in memory. */
  applyResult({ batch, revision, rows, missing }: CommitResult): void {
    this.#committing = false;
    this.ledger.changeCount++;
    const { index } = this.ctx;
    if (revision === null) {
      for (const { chunk, page } of batch.saves) if (page === null) chunk.handoverTarget = null;
      // Only this owner writes these keys, so the versions read are from its own writes.
      const versions = new Map(rows.map(({ key, version }) => [key, version]));
      for (const key of missing) versions.set(key, 0);
      for (const [key, version] of versions) this.setVersion(key, version);
      for (const { chunk } of batch.saves) {
        const key = keys.handover(index, chunk.job, chunk.index);
        chunk.handoverVersion = versions.get(key) ?? chunk.handoverVersion;
      }
      return;
    }
    this.#batchBuilder.maxChanges = Math.min(
      this.ctx.store.limits.ops,
      this.#batchBuilder.maxChanges + 1,
    );
    // If the answer was lost, the fence has been changed since, to a higher version.
    if (batch.fenceValue !== null)
      this.#batchBuilder.fenceVersion = Math.max(this.#batchBuilder.fenceVersion, revision);
    for (const { number, removed } of batch.pages) {
      if (removed) this.#pages.versions.delete(number);
      else this.#pages.versions.set(number, revision);
      if (removed) this.#pages.oversized.delete(number);
    }
    for (const { chunk, version, page, extraPages } of batch.saves) {
      chunk.page = page;
      chunk.extraPages = extraPages;
      chunk.savedVersion = version;
      chunk.handoverVersion = 0;
    }
    for (const change of batch.slices) this.quota.onCommitted(change);
  }
}
