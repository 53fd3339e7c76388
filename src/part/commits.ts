import { sleep } from "../clock.js";
import type { Chunk, ChunkState } from "../jobs/chunk.js";
import {
  allFinished,
  doneHeader,
  FINISHED,
  type Header,
  partChar,
  withOwner,
} from "../jobs/header.js";
import { chunkName, encodePage, type PageRecord, pageBytes, sizeOf } from "../jobs/page.js";
import { keys } from "../state/keys.js";
import { type Change, type Condition, Refused, Rejected, type Row } from "../state/store.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Quota, SliceChange } from "./quota.js";

/** One transaction on its way. */
export interface Batch {
  when: Condition[];
  changes: Change[];
  /** Chunks whose state it saves, in which page; null for those that leave this part's pages. */
  saves: { chunk: Chunk; version: number; page: number | null; more: number[] }[];
  /** Pages it writes or removes, with the versions they had. */
  pages: { number: number; version: number; removed: boolean }[];
  headers: { id: string; header: Header }[];
  slices: SliceChange[];
  /** What it writes to the fence, if it does. */
  mark: string | null;
}

/** What became of a batch. Without `revision` it was not applied, and never will be. */
export interface Outcome {
  batch: Batch;
  revision: number | null;
  /** Where its conditions failed: what is there now. */
  rows: Row[];
  missing: string[];
}

/** A page that is fuller than this gives chunks away, and takes no more than up to the other. */
const FULL = 0.95;
const ROOMY = 0.6;
/** For the names of the parts of a transaction and of a value, beyond what they contain. */
const OVERHEAD = 128;

/**
 * Writes what has changed: the states of all chunks, packed into few pages, and with them headers
 * and slices. One transaction is on its way at a time, and what became of it is always found out
 * before the next one.
 */
export class Commits {
  /** Versions of this part's pages; which chunks are in them is known by the chunks. */
  readonly #pages = new Map<number, number>();
  readonly #sizes = new WeakMap<Chunk, { version: number; size: number }>();
  /** Numbers of pages that cannot be read. */
  readonly #reserved = new Set<number>();
  /** By page: states of chunks whose header is missing or cannot be read. */
  readonly #raw = new Map<number, [name: string, state: ChunkState][]>();
  #fence = 0;
  #marks = 0;
  #saving = false;
  /** Pages that cannot be written as a whole any more, with their size, if known. */
  readonly #stuck = new Map<number, number>();
  /** Pages that are not written for now: the service found fault with them. */
  readonly #refused = new Map<number, number>();
  /** The service refuses values as large as production wrote; nothing so large is sent any more. */
  #narrow = false;
  /** Changes that a transaction may have; fewer for a while after the service found fault with one. */
  #most: number;
  #looks = 0;
  /** The ledger's count when a look found nothing to write. */
  #cleanAt = 0;
  /** Something was left for times when there is budget enough. */
  #heldBack = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    readonly done: (outcome: Outcome) => void,
    readonly stopped: () => boolean,
  ) {
    this.#most = ctx.store.limits.ops;
  }

  /** What the store had when this owner began, or has now. */
  known(key: string, version: number, value?: unknown): void {
    if (key === keys.fence(this.ctx.index)) this.#fence = version;
    const prefix = keys.pages(this.ctx.index);
    if (!key.startsWith(prefix)) return;
    const number = Number(key.slice(prefix.length));
    if (version > 0) this.#pages.set(number, version);
    else this.#pages.delete(number);
    const size = value === undefined ? 0 : sizeOf(value);
    if (size > pageBytes(this.ctx.store.limits)) this.#stuck.set(number, size);
  }

  /**
   * Whether a page is left as it is, because what it holds fits no value any more: what changes of it
   * goes to other pages, and the newer record counts. Not while a program from before that could
   * become the owner, which goes by the last page and not by the newest (`docs/state.md`).
   */
  #isStuck(number: number): boolean {
    return this.#stuck.has(number) && (this.#narrow || this.ctx.together());
  }

  /** Whether a page is larger than pages may be now. */
  isLarge(number: number): boolean {
    return this.#stuck.has(number);
  }

  /** The key of a record that cannot be read: it is not written over. */
  reserve(key: string): void {
    const prefix = keys.pages(this.ctx.index);
    if (key.startsWith(prefix)) this.#reserved.add(Number(key.slice(prefix.length)));
  }

  /** A state in a page that belongs to no chunk of ours: it stays there as it is. */
  keepRaw(page: number, name: string, state: ChunkState): void {
    const list = this.#raw.get(page) ?? [];
    list.push([name, state]);
    this.#raw.set(page, list);
  }

  /** Sends what has changed; false when the budget does not allow it now. */
  flush(): boolean {
    if (this.#saving) return true;
    const { changes } = this.ledger;
    const { writes } = this.ctx.store;
    // Most passes change nothing: then the jobs need not be gone through.
    const held = this.#heldBack && writes.level >= writes.burst / 2;
    if (changes === this.#cleanAt && !held && this.quota.changes().length === 0) return true;
    this.#heldBack = false;
    const batch = this.#collect(true);
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
   * All that has changed, or as much of it as one transaction holds. A page is written with all
   * its chunks; a chunk that leaves does so together with its page and its header.
   */
  #collect(leave: boolean): Batch {
    const { index, store, mirror } = this.ctx;
    const { conditions, txnBytes, wideBytes = 0 } = store.limits;
    const ops = this.#most;
    const pageSize = pageBytes(store.limits);
    const wideSize = this.#narrow
      ? pageSize
      : Math.max(pageSize, Math.min(wideBytes, txnBytes / 3));
    // What is kept for a page that has to be divided, where transactions are not small.
    const spare = Math.min(2, Math.floor(ops / 6));
    // Slices change often: in a small transaction they come every second time.
    const slicesMost = ops >= 12 ? Number.POSITIVE_INFINITY : this.#looks++ % 2;
    const fenceKey = keys.fence(index);
    const batch: Batch = {
      when: [
        this.ctx.claim,
        { key: fenceKey, version: this.#fence },
        // A job cancelled meanwhile makes the whole transaction fail: nothing of it starts.
        { key: keys.cancels, version: mirror.rows.get(keys.cancels)?.version ?? 0 },
      ],
      changes: [],
      saves: [],
      pages: [],
      headers: [],
      slices: [],
      mark: null,
    };
    let bytes = 1024;
    // One change is kept for the fence.
    const room = (n: number, size = 0): boolean =>
      batch.changes.length + n < ops &&
      batch.when.length + n <= conditions &&
      bytes + size <= txnBytes;
    const put = (key: string, version: number, value: unknown): void => {
      batch.when.push({ key, version });
      batch.changes.push({ put: key, value });
      bytes += OVERHEAD + sizeOf(value);
    };
    const remove = (number: number): void => {
      const version = this.#pages.get(number) ?? 0;
      const key = keys.page(index, number);
      batch.pages.push({ number, version, removed: true });
      if (version === 0) return;
      batch.when.push({ key, version });
      batch.changes.push({ remove: key });
    };
    // A record that its own reader would refuse is left out, and nothing but that record.
    const unwritable = (key: string, value: unknown): boolean =>
      store.writable.fault(key, value) !== null;
    for (const change of this.quota.changes()) {
      if (!room(Math.floor(ops / 2)) || batch.slices.length >= slicesMost) break;
      if (unwritable(change.key, change.record)) continue;
      put(change.key, change.version, change.record);
      batch.slices.push(change);
    }

    const pages = new Map<number, Chunk[]>();
    for (const number of this.#pages.keys()) pages.set(number, []);
    const dirty = new Set<number>();
    /** Chunks in several pages, all of which are written at once. */
    const pieced: Chunk[] = [];
    const solo = new Set<number>();
    const fresh: Chunk[] = [];
    const leaving: { job: Job; chunk: Chunk }[] = [];
    const toSave = (chunk: Chunk): void => {
      if (chunk.page === null || this.#isStuck(chunk.page)) fresh.push(chunk);
      else dirty.add(chunk.page);
    };
    for (const job of this.ledger.jobs.values()) {
      const over = !job.open;
      for (const chunk of [...job.chunks.values()]) {
        const ends = chunk.complete || (over && chunk.live.size === 0);
        if (ends || chunk.live.size > 0) chunk.movingTo = null;
        if (ends && over && chunk.page === null && chunk.handover === 0) {
          // Nothing was ever written of it.
          this.ledger.drop(chunk);
          continue;
        }
        if (chunk.page !== null) {
          const members = pages.get(chunk.page);
          if (members === undefined) pages.set(chunk.page, [chunk]);
          else members.push(chunk);
        }
        if (chunk.more.length > 0) {
          // It leaves once it is in one page again.
          for (const number of [chunk.page!, ...chunk.more]) solo.add(number);
          if (ends || chunk.saved < chunk.version) pieced.push(chunk);
        } else if (leave && (ends || chunk.movingTo !== null)) leaving.push({ job, chunk });
        else if (chunk.saved < chunk.version) toSave(chunk);
      }
    }
    const headers = new Map<Job, Header>();
    const left = new Set<Chunk>();
    /** Pages that a chunk leaves: they are written first, for it must not stay behind in one. */
    const leftPages = new Set<number>();
    let leftBytes = 0;
    for (const { job, chunk } of leaving) {
      const { movingTo } = chunk;
      const takesAlong = movingTo !== null && chunk.attempts > 0;
      const writesHeader = movingTo !== null || job.open;
      // Of a page that stays as it is, what it has of a chunk that is over counts no more.
      const stays = chunk.page === null || this.#isStuck(chunk.page);
      const newPage = !stays && !leftPages.has(chunk.page!) ? chunk.page : null;
      const newSize = newPage === null ? 0 : this.#sum(pages.get(newPage)!);
      const needed =
        (newPage === null ? 0 : 1) +
        (chunk.handover > 0 ? 1 : 0) +
        (takesAlong ? 1 : 0) +
        (writesHeader && !headers.has(job) ? 1 : 0);
      const header = writesHeader ? leavingHeader(headers.get(job) ?? job.header, chunk) : null;
      const along = takesAlong ? pageOf([chunk]) : null;
      const kept =
        (header !== null && unwritable(job.key, this.#closing(header))) ||
        (along !== null && unwritable(keys.handover(movingTo!, job.id, chunk.index), along));
      // One page may have to be split, and new chunks may need one.
      if (
        kept ||
        !room(leftPages.size + headers.size + needed + spare, leftBytes + newSize + pageSize)
      ) {
        // It stays for now, and is saved like any other.
        if (chunk.saved < chunk.version) toSave(chunk);
        continue;
      }
      left.add(chunk);
      if (newPage !== null) {
        leftPages.add(newPage);
        leftBytes += newSize;
      }
      batch.saves.push({ chunk, version: chunk.version, page: null, more: [] });
      this.#forgetHandover(batch, chunk);
      if (along !== null) {
        // What it has done, and the attempts it has used.
        batch.changes.push({ put: keys.handover(movingTo!, job.id, chunk.index), value: along });
        bytes += OVERHEAD + sizeOf(along);
      }
      if (header !== null) headers.set(job, header);
    }
    for (const job of this.ledger.jobs.values()) {
      // For display only, so it waits for times when there is budget enough.
      const begun = (job.chunks.get(0)?.live.size ?? 0) > 0 && !job.header.started;
      if (!begun || !job.open || headers.has(job)) continue;
      if (store.writes.level < store.writes.burst / 2) {
        this.#heldBack = true;
        break;
      }
      if (!room(leftPages.size + headers.size + 2 + spare, leftBytes + pageSize)) break;
      const header = { ...job.header, started: true };
      if (!unwritable(job.key, header)) headers.set(job, header);
    }
    for (const [job, header] of headers) {
      const value = this.#closing(header);
      put(job.key, mirror.rows.get(job.key)?.version ?? 0, value);
      batch.headers.push({ id: job.id, header: value });
    }

    const unused = (): number => {
      // Behind all that stay as they are, also in order of text: a program from before that reads both
      // goes by the last one.
      let number = this.#stuck.size > 0 ? 900 : 0;
      const taken = (n: number): boolean => pages.has(n) || this.#reserved.has(n) || solo.has(n);
      while (taken(number) || !this.#behind(number)) number++;
      pages.set(number, []);
      return number;
    };
    const writable = (number: number): boolean =>
      !solo.has(number) && !this.#stuck.has(number) && this.#behind(number) && !this.#waits(number);
    for (const chunk of pieced) {
      if (this.#waits(chunk.page!)) continue;
      const old = [chunk.page!, ...chunk.more];
      const pieces = piecesOf(chunk, pageSize * FULL);
      const surplus = old.slice(pieces.length);
      if (!room(leftPages.size + pieces.length + surplus.length)) continue;
      const numbers = pieces.map((_, i) => old[i] ?? unused());
      for (const [i, number] of numbers.entries()) {
        solo.add(number);
        const version = this.#pages.get(number) ?? 0;
        batch.pages.push({ number, version, removed: false });
        put(keys.page(index, number), version, pieces[i]);
      }
      for (const number of surplus) remove(number);
      const [page, ...more] = numbers;
      batch.saves.push({ chunk, version: chunk.version, page: page!, more });
    }
    const staying = (number: number): Chunk[] =>
      pages.get(number)!.filter((chunk) => !left.has(chunk));
    let takenIn = 0;
    for (const chunk of fresh) {
      // What it brought along is removed in the same transaction, one change for each chunk: when
      // many came at once, transactions had too many changes, and none went through any more.
      if (chunk.handover > 0) {
        if (!room(leftPages.size + dirty.size + takenIn + Math.max(1, spare + 1))) continue;
        takenIn++;
      }
      if (this.#size(chunk) > pageSize * FULL && (this.#narrow || this.ctx.together())) {
        // Alone too large for a value: in pieces, all of them in this transaction.
        const pieces = piecesOf(chunk, pageSize * FULL);
        if (!room(leftPages.size + dirty.size + takenIn + pieces.length)) continue;
        const numbers = pieces.map(() => unused());
        for (const [i, number] of numbers.entries()) {
          solo.add(number);
          batch.pages.push({ number, version: 0, removed: false });
          put(keys.page(index, number), 0, pieces[i]);
        }
        const [page, ...more] = numbers;
        batch.saves.push({ chunk, version: chunk.version, page: page!, more });
        this.#forgetHandover(batch, chunk);
        continue;
      }
      const fits = (number: number): boolean =>
        this.#rawSize(number) + this.#sum(staying(number)) + this.#size(chunk) <= pageSize * ROOMY;
      const number =
        [...dirty, ...leftPages].filter(writable).find(fits) ??
        [...pages.keys()].filter(writable).find(fits) ??
        unused();
      if (chunk.page !== null) {
        // Out of a page that stays as it is.
        const members = pages.get(chunk.page)!;
        members.splice(members.indexOf(chunk), 1);
      }
      pages.get(number)!.push(chunk);
      dirty.add(number);
    }
    for (const number of new Set([...leftPages, ...dirty])) {
      if (this.#waits(number)) {
        if (leave && leftPages.has(number)) return this.#collect(false);
        continue;
      }
      const wide = this.#stuck.has(number) ? wideSize : pageSize;
      let groups = this.#split(staying(number), wide * FULL - this.#rawSize(number));
      const removals = staying(number).filter(({ handover }) => handover > 0).length;
      if (groups.length > 1 && groups.length + removals >= ops) {
        // More than any transaction holds: what changes of it goes to other pages, one by one.
        this.#stuck.set(number, this.#sum(staying(number)));
        if (this.#isStuck(number)) return this.#collect(leave);
        groups = [staying(number)];
      }
      if (!room(groups.length + removals + Math.min(1, spare), this.#sum(staying(number)))) {
        if (leave && leftPages.has(number)) return this.#collect(false);
        if (spare > 0) break;
        continue;
      }
      const written = groups.map((chunks, i) => {
        const page = i === 0 ? number : unused();
        const raw = i === 0 ? (this.#raw.get(number) ?? []) : [];
        const value = chunks.length === 0 && raw.length === 0 ? null : pageOf(chunks, raw);
        return { chunks, page, key: keys.page(index, page), value };
      });
      if (written.some(({ key, value }) => value !== null && unwritable(key, value))) {
        if (leave && leftPages.has(number)) return this.#collect(false);
        continue;
      }
      for (const { chunks, page, key, value } of written) {
        const version = this.#pages.get(page) ?? 0;
        for (const chunk of chunks) {
          batch.saves.push({ chunk, version: chunk.version, page, more: [] });
          this.#forgetHandover(batch, chunk);
        }
        const removed = value === null;
        if (removed) remove(page);
        else {
          batch.pages.push({ number: page, version, removed });
          put(key, version, value);
        }
      }
    }
    // What stayed as it was goes once nothing of it counts.
    for (const number of this.#stuck.keys()) {
      if (!this.#isStuck(number) || !pages.has(number) || !room(1)) continue;
      if (staying(number).length > 0 || this.#raw.has(number)) continue;
      remove(number);
    }
    if (batch.changes.length > 0 && !batch.pages.some(({ removed }) => !removed)) {
      // Only a version that this owner alone changes tells later whether it was applied.
      batch.mark = this.#mark();
      batch.changes.push({ put: fenceKey, value: batch.mark });
    }
    return batch;
  }

  /** Whether a page comes behind all that stay as they are, in order of text. */
  #behind(number: number): boolean {
    for (const stuck of this.#stuck.keys()) if (String(stuck) >= String(number)) return false;
    return true;
  }

  /** Whether a page is left alone for a while, because the service found fault with it. */
  #waits(number: number): boolean {
    const until = this.#refused.get(number);
    if (until === undefined) return false;
    if (until > this.ctx.clock.now()) return true;
    this.#refused.delete(number);
    return false;
  }

  /**
   * The service finds fault with a transaction: its limits have fallen, or one record of it is too large.
   * It is never sent again as it was: smaller ones show which record it is, and that one waits.
   */
  #rejected({ changes, pages }: Batch, why: string): void {
    const { log, metrics, clock, leaseMs, index } = this.ctx;
    metrics.add({ kind: "event", what: "commit rejected" });
    log.error({ part: index, why, changes: changes.length }, "commit rejected");
    if (!this.#narrow) this.#narrow = true;
    else if (this.#most > 4) this.#most = Math.max(4, Math.floor(this.#most / 2));
    else for (const { number } of pages) this.#refused.set(number, clock.now() + leaseMs);
  }

  /** A header as it is written: closed with its last chunk. */
  #closing(header: Header): Header {
    return allFinished(header.owners) ? doneHeader(header, this.ctx.clock.wall()) : header;
  }

  #forgetHandover(batch: Batch, chunk: Chunk): void {
    if (chunk.handover === 0) return;
    const key = keys.handover(this.ctx.index, chunk.job, chunk.index);
    batch.when.push({ key, version: chunk.handover });
    batch.changes.push({ remove: key });
  }

  #rawSize(number: number): number {
    const raw = this.#raw.get(number);
    return raw === undefined ? 0 : sizeOf(pageOf([], raw));
  }

  #size(chunk: Chunk): number {
    const known = this.#sizes.get(chunk);
    if (known?.version === chunk.version) return known.size;
    const size = sizeOf(pageOf([chunk]));
    this.#sizes.set(chunk, { version: chunk.version, size });
    return size;
  }

  /** A little more than the page, which names a machine once for all its chunks. */
  #sum(chunks: readonly Chunk[]): number {
    return chunks.reduce((sum, chunk) => sum + this.#size(chunk), 0);
  }

  /** In halves, until each of them fits a page. */
  #split(chunks: Chunk[], most: number): Chunk[][] {
    if (chunks.length < 2 || this.#sum(chunks) <= most || sizeOf(pageOf(chunks)) <= most) {
      return [chunks];
    }
    const half = Math.ceil(chunks.length / 2);
    return [...this.#split(chunks.slice(0, half), most), ...this.#split(chunks.slice(half), most)];
  }

  async #commit(batch: Batch): Promise<void> {
    const { store, clock, log, reportMs } = this.ctx;
    const outcome: Outcome = { batch, revision: null, rows: [], missing: [] };
    try {
      const result = await store.transact(batch.when, batch.changes);
      if (result.ok) outcome.revision = result.revision;
      else if (result.failed.includes(keys.claim(this.ctx.index))) {
        this.ctx.lost("claim changed");
        return;
      } else {
        await this.#read(result.failed, outcome);
        // Which jobs were cancelled is learned from their headers, by the watch.
        const cancels = outcome.rows.find(({ key }) => key === keys.cancels);
        if (cancels !== undefined) await this.ctx.mirror.reached(cancels.version);
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
  async #read(names: readonly string[], outcome: Outcome): Promise<void> {
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
  async #settle(batch: Batch, outcome: Outcome): Promise<boolean> {
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
          [{ put: fence, value: this.#mark() }],
        );
        if (result.ok) {
          this.#fence = result.revision;
          break;
        }
        if (result.failed.includes(keys.claim(index))) {
          this.ctx.lost("claim changed");
          return false;
        }
      } catch {
        await sleep(clock, reportMs / 8);
      }
    }
    const page = batch.pages.find(({ removed }) => !removed);
    if (page === undefined) outcome.revision = seen;
    else {
      const found: Outcome = { ...outcome, rows: [], missing: [] };
      await this.#read([keys.page(index, page.number)], found);
      const version = found.rows[0]?.version ?? 0;
      if (version !== page.version) outcome.revision = version;
    }
    return !this.stopped();
  }

  #mark(): string {
    return `${this.ctx.token}.${++this.#marks}`;
  }

  /** Takes in what became of a batch. */
  settled({ batch, revision, rows, missing }: Outcome): void {
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
        chunk.handover = found.get(key) ?? chunk.handover;
      }
      return;
    }
    this.#most = Math.min(this.ctx.store.limits.ops, this.#most + 1);
    // An answer that was lost: the fence has been changed since.
    if (batch.mark !== null) this.#fence = Math.max(this.#fence, revision);
    for (const { number, removed } of batch.pages) {
      if (removed) this.#pages.delete(number);
      else this.#pages.set(number, revision);
      if (removed) this.#stuck.delete(number);
    }
    for (const { chunk, version, page, more } of batch.saves) {
      chunk.page = page;
      chunk.more = more;
      chunk.saved = version;
      chunk.handover = 0;
    }
    for (const change of batch.slices) this.quota.committed(change);
  }
}

/** The header once a chunk has ended, or has gone where it is moving to. */
function leavingHeader(header: Header, { index, movingTo }: Chunk): Header {
  const owner = movingTo === null ? FINISHED : partChar(movingTo);
  const owners = withOwner(header.owners, index, owner);
  return { ...header, owners, moves: header.moves + (movingTo === null ? 0 : 1) };
}

/** A chunk's state as several pages, each of which fits: what is live is divided. */
function piecesOf(chunk: Chunk, most: number): PageRecord[] {
  const { attempts, done, live } = chunk.state;
  const name = chunkName(chunk.job, chunk.index);
  for (let count = 1; ; count++) {
    const each = Math.max(1, Math.ceil(live.length / count));
    const pieces = Array.from({ length: count }, (_, i) =>
      encodePage([
        [name, { attempts, done: i === 0 ? done : "", live: live.slice(i * each, (i + 1) * each) }],
      ]),
    );
    if (count >= live.length || pieces.every((piece) => sizeOf(piece) <= most)) return pieces;
  }
}

const pageOf = (
  chunks: Iterable<Chunk>,
  raw: readonly [name: string, state: ChunkState][] = [],
): PageRecord => {
  const states: [string, ChunkState][] = [...raw];
  for (const chunk of chunks) states.push([chunkName(chunk.job, chunk.index), chunk.state]);
  return encodePage(states);
};
