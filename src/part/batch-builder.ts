import type { Chunk } from "../jobs/chunk.js";
import { jsonBytes, maxPageBytes } from "../jobs/chunk-page.js";
import {
  allFinished,
  doneHeader,
  FINISHED,
  type JobHeader,
  partChar,
  withOwner,
} from "../jobs/job-header.js";
import { keys } from "../state/keys.js";
import type { Change, Condition } from "../state/store.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import { type Pages, splitState, toPage } from "./pages.js";
import type { Quota, SliceChange } from "./quota.js";

/** One transaction of a part. */
export interface WriteBatch {
  when: Condition[];
  changes: Change[];
  /** Chunks whose state it saves, with their page; null for chunks that leave this part's pages. */
  saves: { chunk: Chunk; version: number; page: number | null; extraPages: number[] }[];
  /** Pages that it writes or removes, with their versions before. */
  pages: { number: number; version: number; removed: boolean }[];
  headers: { id: string; header: JobHeader }[];
  slices: SliceChange[];
  /** Value that it writes to the fence key, or null. */
  fenceValue: string | null;
}

/** A page is split above `MAX_FILL` of the page size, and takes chunks in up to `TARGET_FILL`. */
const MAX_FILL = 0.95;
const TARGET_FILL = 0.6;
/** Size of a record's key and of field names in a transaction, beyond its value. */
const OVERHEAD_BYTES = 128;

export class BatchBuilder {
  fenceVersion = 0;
  #fenceValueCount = 0;
  /** Most changes per transaction; reduced for a while after the state service rejected one. */
  maxChanges: number;
  #collectCount = 0;
  /** Whether a write was deferred until the rate limiter has enough tokens. */
  hasDeferred = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    readonly pages: Pages,
  ) {
    this.maxChanges = ctx.store.limits.ops;
  }

  /** Collects what fits one transaction: whole pages; chunks leave with their page and header. */
  collect(mayLeave = true): WriteBatch {
    const { index, store, mirror } = this.ctx;
    const stored = this.pages;
    const { conditions, txnBytes, wideBytes = 0 } = store.limits;
    const ops = this.maxChanges;
    const pageSize = maxPageBytes(store.limits);
    const oversizedSize = stored.noLargeValues
      ? pageSize
      : Math.max(pageSize, Math.min(wideBytes, txnBytes / 3));
    // Changes kept free for splitting a page, unless transactions are small.
    const spare = Math.min(2, Math.floor(ops / 6));
    // Slices change often: small transactions contain them only every other time.
    const isSmall = ops < 12;
    const turn = this.#collectCount++ % 2;
    const maxSlices = isSmall ? turn : Number.POSITIVE_INFINITY;
    // In small transactions, starts within a guarantee and chunk ends go first in turn: neither waits long.
    const guaranteed = isSmall ? this.ctx.guaranteed() : new Set<string>();
    const isUrgent = (chunk: Chunk): boolean => {
      if (!guaranteed.has(chunk.job)) return false;
      for (const allocation of chunk.allocations.values())
        if (allocation.version > chunk.savedVersion) return true;
      return false;
    };
    const urgentPages = new Set<number>();
    let hasUrgent = false;
    const fenceKey = keys.fence(index);
    const batch: WriteBatch = {
      when: [
        this.ctx.claim,
        { key: fenceKey, version: this.fenceVersion },
        // If a job was cancelled meanwhile the whole transaction fails, so none of its tasks start.
        { key: keys.cancels, version: mirror.rows.get(keys.cancels)?.version ?? 0 },
        // Nothing is placed, and no slice changed, under an outdated configuration revision.
        this.ctx.configuration.condition(),
      ],
      changes: [],
      saves: [],
      pages: [],
      headers: [],
      slices: [],
      fenceValue: null,
    };
    let bytes = 1024;
    // One change is reserved for the fence.
    const canAdd = (n: number, size = 0): boolean =>
      batch.changes.length + n < ops &&
      batch.when.length + n <= conditions &&
      bytes + size <= txnBytes;
    const putRecord = (key: string, version: number, value: unknown): void => {
      batch.when.push({ key, version });
      batch.changes.push({ put: key, value });
      bytes += OVERHEAD_BYTES + jsonBytes(value);
    };
    const removePage = (number: number): void => {
      const version = stored.versions.get(number) ?? 0;
      const key = keys.page(index, number);
      batch.pages.push({ number, version, removed: true });
      if (version === 0) return;
      batch.when.push({ key, version });
      batch.changes.push({ remove: key });
    };
    // A record that fails validation is left out; all others are written.
    const isInvalid = (key: string, value: unknown): boolean =>
      store.writable.fault(key, value) !== null;
    for (const change of this.quota.sliceChanges()) {
      if (!canAdd(Math.floor(ops / 2)) || batch.slices.length >= maxSlices) break;
      if (isInvalid(change.key, change.record)) continue;
      putRecord(change.key, change.version, change.record);
      batch.slices.push(change);
    }

    const pages = new Map<number, Chunk[]>();
    for (const number of stored.versions.keys()) pages.set(number, []);
    const dirty = new Set<number>();
    /** Chunks that span several pages, all written in the same transaction. */
    const multiPageChunks: Chunk[] = [];
    const spanned = new Set<number>();
    const unpagedChunks: Chunk[] = [];
    const leaving: { job: Job; chunk: Chunk }[] = [];
    const toSave = (chunk: Chunk): void => {
      if (isSmall && isUrgent(chunk)) {
        hasUrgent = true;
        if (chunk.page !== null) urgentPages.add(chunk.page);
      }
      if (chunk.page === null || stored.isLeftAsIs(chunk.page)) unpagedChunks.push(chunk);
      else dirty.add(chunk.page);
    };
    for (const job of this.ledger.jobs.values()) {
      const closed = !job.open;
      for (const chunk of [...job.chunks.values()]) {
        const chunkEnds = chunk.complete || (closed && chunk.allocations.size === 0);
        if (chunkEnds || chunk.allocations.size > 0) chunk.handoverTarget = null;
        if (chunkEnds && closed && chunk.page === null && chunk.handoverVersion === 0) {
          this.ledger.drop(chunk); // Nothing of it was ever stored.
          continue;
        }
        if (chunk.page !== null) {
          const pageChunks = pages.get(chunk.page);
          if (pageChunks === undefined) pages.set(chunk.page, [chunk]);
          else pageChunks.push(chunk);
        }
        if (chunk.extraPages.length > 0) {
          // It can leave only once it fits one page again.
          for (const number of [chunk.page!, ...chunk.extraPages]) spanned.add(number);
          if (chunkEnds || chunk.savedVersion < chunk.version) multiPageChunks.push(chunk);
        } else if (mayLeave && (chunkEnds || chunk.handoverTarget !== null))
          leaving.push({ job, chunk });
        else if (chunk.savedVersion < chunk.version) toSave(chunk);
      }
    }
    const headers = new Map<Job, JobHeader>();
    const leftChunks = new Set<Chunk>();
    /** Pages that chunks leave: written first, since a chunk that left must not remain in its page. */
    const vacated = new Set<number>();
    let vacatedBytes = 0;
    if (isSmall && turn === 1 && hasUrgent) {
      for (const { chunk } of leaving.splice(0))
        if (chunk.savedVersion < chunk.version) toSave(chunk);
    }
    for (const { job, chunk } of leaving) {
      const { handoverTarget: movingTo } = chunk;
      const writesHandover = movingTo !== null && chunk.attempts > 0;
      const writesHeader = movingTo !== null || job.open;
      // In a page that is left as it is, the state of a finished chunk has no effect any more.
      const pageStays = chunk.page === null || stored.isLeftAsIs(chunk.page);
      const vacatedPage = !pageStays && !vacated.has(chunk.page!) ? chunk.page : null;
      const vacatedSize = vacatedPage === null ? 0 : stored.bytesOf(pages.get(vacatedPage)!);
      const needed =
        (vacatedPage === null ? 0 : 1) +
        (chunk.handoverVersion > 0 ? 1 : 0) +
        (writesHandover ? 1 : 0) +
        (writesHeader && !headers.has(job) ? 1 : 0);
      const header = writesHeader ? leavingHeader(headers.get(job) ?? job.header, chunk) : null;
      const handover = writesHandover ? toPage([chunk]) : null;
      const invalid =
        (header !== null && isInvalid(job.key, this.#closeIfFinished(header))) ||
        (handover !== null && isInvalid(keys.handover(movingTo!, job.id, chunk.index), handover));
      // A page may have to be split, and new chunks may need another one.
      if (
        invalid ||
        !canAdd(vacated.size + headers.size + needed + spare, vacatedBytes + vacatedSize + pageSize)
      ) {
        if (chunk.savedVersion < chunk.version) toSave(chunk); // Stays for now, saved like others.
        continue;
      }
      leftChunks.add(chunk);
      if (vacatedPage !== null) {
        vacated.add(vacatedPage);
        vacatedBytes += vacatedSize;
      }
      batch.saves.push({ chunk, version: chunk.version, page: null, extraPages: [] });
      this.#removeHandover(batch, chunk);
      if (handover !== null) {
        // The handover record has the completed tasks and the number of attempts.
        batch.changes.push({ put: keys.handover(movingTo!, job.id, chunk.index), value: handover });
        bytes += OVERHEAD_BYTES + jsonBytes(handover);
      }
      if (header !== null) headers.set(job, header);
    }
    for (const job of this.ledger.jobs.values()) {
      // `started` is for display only: written when the rate limiter has enough tokens.
      const justStarted = (job.chunks.get(0)?.allocations.size ?? 0) > 0 && !job.header.started;
      if (!justStarted || !job.open || headers.has(job)) continue;
      if (store.writes.level < store.writes.burst / 2) {
        this.hasDeferred = true;
        break;
      }
      if (!canAdd(vacated.size + headers.size + 2 + spare, vacatedBytes + pageSize)) break;
      const header = { ...job.header, started: true };
      if (!isInvalid(job.key, header)) headers.set(job, header);
    }
    for (const [job, header] of headers) {
      const value = this.#closeIfFinished(header);
      putRecord(job.key, mirror.rows.get(job.key)?.version ?? 0, value);
      batch.headers.push({ id: job.id, header: value });
    }

    const unusedPage = (): number => {
      // After all oversized pages, also in text order: an earlier build uses the last of two states.
      let number = stored.oversized.size > 0 ? 900 : 0;
      const used = (n: number): boolean =>
        pages.has(n) || stored.unreadable.has(n) || spanned.has(n);
      while (used(number) || !stored.sortsLast(number)) number++;
      pages.set(number, []);
      return number;
    };
    const acceptsChunks = (n: number): boolean =>
      !spanned.has(n) && !stored.oversized.has(n) && stored.sortsLast(n) && !stored.isDeferred(n);
    for (const chunk of multiPageChunks) {
      if (stored.isDeferred(chunk.page!)) continue;
      const oldPages = [chunk.page!, ...chunk.extraPages];
      const pieces = splitState(chunk, pageSize * MAX_FILL);
      const surplusPages = oldPages.slice(pieces.length);
      if (!canAdd(vacated.size + pieces.length + surplusPages.length)) continue;
      const numbers = pieces.map((_, i) => oldPages[i] ?? unusedPage());
      for (const [i, number] of numbers.entries()) {
        spanned.add(number);
        const version = stored.versions.get(number) ?? 0;
        batch.pages.push({ number, version, removed: false });
        putRecord(keys.page(index, number), version, pieces[i]);
      }
      for (const number of surplusPages) removePage(number);
      const [page, ...extraPages] = numbers;
      batch.saves.push({ chunk, version: chunk.version, page: page!, extraPages });
    }
    const staying = (n: number): Chunk[] => pages.get(n)!.filter((chunk) => !leftChunks.has(chunk));
    let handovers = 0;
    if (isSmall) unpagedChunks.sort((a, b) => Number(isUrgent(b)) - Number(isUrgent(a)));
    for (const chunk of unpagedChunks) {
      // Also removes its handover record: unlimited, many at once exceeded a transaction's changes.
      if (chunk.handoverVersion > 0) {
        if (!canAdd(vacated.size + dirty.size + handovers + Math.max(1, spare + 1))) continue;
        handovers++;
      }
      if (
        stored.chunkBytes(chunk) > pageSize * MAX_FILL &&
        (stored.noLargeValues || this.ctx.allReadCurrentFormat())
      ) {
        // Alone too large for a value: split into several pages, all written in this transaction.
        const pieces = splitState(chunk, pageSize * MAX_FILL);
        if (!canAdd(vacated.size + dirty.size + handovers + pieces.length)) continue;
        const numbers = pieces.map(() => unusedPage());
        for (const [i, number] of numbers.entries()) {
          spanned.add(number);
          batch.pages.push({ number, version: 0, removed: false });
          putRecord(keys.page(index, number), 0, pieces[i]);
        }
        const [page, ...extraPages] = numbers;
        batch.saves.push({ chunk, version: chunk.version, page: page!, extraPages });
        this.#removeHandover(batch, chunk);
        continue;
      }
      const fits = (number: number): boolean =>
        stored.unownedBytes(number) + stored.bytesOf(staying(number)) + stored.chunkBytes(chunk) <=
        pageSize * TARGET_FILL;
      const number =
        [...dirty, ...vacated].filter(acceptsChunks).find(fits) ??
        [...pages.keys()].filter(acceptsChunks).find(fits) ??
        unusedPage();
      if (chunk.page !== null) {
        // The chunk moves out of a page that is no longer rewritten.
        const pageChunks = pages.get(chunk.page)!;
        pageChunks.splice(pageChunks.indexOf(chunk), 1);
      }
      pages.get(number)!.push(chunk);
      dirty.add(number);
    }
    const pageOrder = [...dirty];
    if (isSmall) {
      // Urgent pages first, then the least recently written: else the same ones would always be written.
      const lastWritten = (n: number): number =>
        urgentPages.has(n) ? Number.NEGATIVE_INFINITY : (stored.versions.get(n) ?? 0);
      pageOrder.sort((a, b) => {
        const [x, y] = [lastWritten(a), lastWritten(b)];
        return x === y ? 0 : x - y;
      });
    }
    for (const number of new Set([...vacated, ...pageOrder])) {
      if (stored.isDeferred(number)) {
        if (mayLeave && vacated.has(number)) return this.collect(false);
        continue;
      }
      const maxBytes = stored.oversized.has(number) ? oversizedSize : pageSize;
      let groups = stored.split(staying(number), maxBytes * MAX_FILL - stored.unownedBytes(number));
      const removals = staying(number).filter(({ handoverVersion }) => handoverVersion > 0).length;
      if (groups.length > 1 && groups.length + removals >= ops) {
        // Too much for any transaction: its chunks move to other pages one by one as they change.
        stored.oversized.add(number);
        if (stored.isLeftAsIs(number)) return this.collect(mayLeave);
        groups = [staying(number)];
      }
      if (!canAdd(groups.length + removals + Math.min(1, spare), stored.bytesOf(staying(number)))) {
        if (mayLeave && vacated.has(number)) return this.collect(false);
        if (spare > 0) break;
        continue;
      }
      const written = groups.map((chunks, i) => {
        const page = i === 0 ? number : unusedPage();
        const unowned = i === 0 ? (stored.unowned.get(number) ?? []) : [];
        const value = chunks.length === 0 && unowned.length === 0 ? null : toPage(chunks, unowned);
        return { chunks, page, key: keys.page(index, page), value };
      });
      if (written.some(({ key, value }) => value !== null && isInvalid(key, value))) {
        if (mayLeave && vacated.has(number)) return this.collect(false);
        continue;
      }
      for (const { chunks, page, key, value } of written) {
        const version = stored.versions.get(page) ?? 0;
        for (const chunk of chunks) {
          batch.saves.push({ chunk, version: chunk.version, page, extraPages: [] });
          this.#removeHandover(batch, chunk);
        }
        const removed = value === null;
        if (removed) removePage(page);
        else {
          batch.pages.push({ number: page, version, removed });
          putRecord(key, version, value);
        }
      }
    }
    // Pages that are no longer rewritten are removed once none of their states is in use.
    for (const number of stored.oversized) {
      if (!stored.isLeftAsIs(number) || !pages.has(number) || !canAdd(1)) continue;
      if (staying(number).length > 0 || stored.unowned.has(number)) continue;
      removePage(number);
    }
    if (batch.changes.length > 0 && !batch.pages.some(({ removed }) => !removed)) {
      // Only the version of a key that this owner alone writes shows later whether it was applied.
      batch.fenceValue = this.nextFenceValue();
      batch.changes.push({ put: fenceKey, value: batch.fenceValue });
    }
    return batch;
  }

  /** The header to write: with status `done` if all chunks are finished. */
  #closeIfFinished(header: JobHeader): JobHeader {
    return allFinished(header.owners) ? doneHeader(header, this.ctx.clock.wall()) : header;
  }

  #removeHandover(batch: WriteBatch, chunk: Chunk): void {
    if (chunk.handoverVersion === 0) return;
    const key = keys.handover(this.ctx.index, chunk.job, chunk.index);
    batch.when.push({ key, version: chunk.handoverVersion });
    batch.changes.push({ remove: key });
  }

  /** A fence value that was never written before. */
  nextFenceValue(): string {
    return `${this.ctx.token}.${++this.#fenceValueCount}`;
  }
}

/** The header after a chunk is finished, or is handed over to the part that it moves to. */
function leavingHeader(header: JobHeader, { index, handoverTarget: movingTo }: Chunk): JobHeader {
  const owner = movingTo === null ? FINISHED : partChar(movingTo);
  const owners = withOwner(header.owners, index, owner);
  return { ...header, owners, moves: header.moves + (movingTo === null ? 0 : 1) };
}
