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
import { type Pages, pageOf, piecesOf } from "./pages.js";
import type { Quota, SliceChange } from "./quota.js";

/** One transaction on its way. */
export interface WriteBatch {
  when: Condition[];
  changes: Change[];
  /** Chunks whose state it saves, in which page; null for those that leave this part's pages. */
  saves: { chunk: Chunk; version: number; page: number | null; more: number[] }[];
  /** Pages it writes or removes, with the versions they had. */
  pages: { number: number; version: number; removed: boolean }[];
  headers: { id: string; header: JobHeader }[];
  slices: SliceChange[];
  /** What it writes to the fence, if it does. */
  mark: string | null;
}

/** A page that is fuller than this gives chunks away, and takes no more than up to the other. */
const FULL = 0.95;
const ROOMY = 0.6;
/** For the names of the parts of a transaction and of a value, beyond what they contain. */
const OVERHEAD = 128;

/** Puts together what one transaction writes. */
export class BatchBuilder {
  /** The fence's version. */
  fence = 0;
  #marks = 0;
  /** Changes that a transaction may have; fewer for a while after the service found fault with one. */
  most: number;
  #looks = 0;
  /** Something was left for times when there is budget enough. */
  heldBack = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    readonly pages: Pages,
  ) {
    this.most = ctx.store.limits.ops;
  }

  /**
   * All that has changed, or as much of it as one transaction holds. A page is written with all
   * its chunks; a chunk that leaves does so together with its page and its header.
   */
  collect(leave = true): WriteBatch {
    const { index, store, mirror } = this.ctx;
    const kept = this.pages;
    const { conditions, txnBytes, wideBytes = 0 } = store.limits;
    const ops = this.most;
    const pageSize = maxPageBytes(store.limits);
    const wideSize = kept.narrow ? pageSize : Math.max(pageSize, Math.min(wideBytes, txnBytes / 3));
    // What is kept for a page that has to be divided, where transactions are not small.
    const spare = Math.min(2, Math.floor(ops / 6));
    // Slices change often: in a small transaction they come every second time.
    const small = ops < 12;
    const turn = this.#looks++ % 2;
    const slicesMost = small ? turn : Number.POSITIVE_INFINITY;
    // Little fits such a transaction: what is within a guarantee and waits to be started comes first
    // every other time, ends of chunks the time between. One after the other neither waits for long.
    const guaranteed = small ? this.ctx.guaranteed() : new Set<string>();
    const urgent = (chunk: Chunk): boolean => {
      if (!guaranteed.has(chunk.job)) return false;
      for (const live of chunk.allocations.values())
        if (live.version > chunk.savedVersion) return true;
      return false;
    };
    const pressing = new Set<number>();
    let presses = false;
    const fenceKey = keys.fence(index);
    const batch: WriteBatch = {
      when: [
        this.ctx.claim,
        { key: fenceKey, version: this.fence },
        // A job cancelled meanwhile makes the whole transaction fail: nothing of it starts.
        { key: keys.cancels, version: mirror.rows.get(keys.cancels)?.version ?? 0 },
        // Nothing is placed, and no slice changed, by a revision that has been overtaken.
        this.ctx.configuration.condition(),
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
      bytes += OVERHEAD + jsonBytes(value);
    };
    const remove = (number: number): void => {
      const version = kept.versions.get(number) ?? 0;
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
    for (const number of kept.versions.keys()) pages.set(number, []);
    const dirty = new Set<number>();
    /** Chunks in several pages, all of which are written at once. */
    const pieced: Chunk[] = [];
    const solo = new Set<number>();
    const fresh: Chunk[] = [];
    const leaving: { job: Job; chunk: Chunk }[] = [];
    const toSave = (chunk: Chunk): void => {
      if (small && urgent(chunk)) {
        presses = true;
        if (chunk.page !== null) pressing.add(chunk.page);
      }
      if (chunk.page === null || kept.isStuck(chunk.page)) fresh.push(chunk);
      else dirty.add(chunk.page);
    };
    for (const job of this.ledger.jobs.values()) {
      const over = !job.open;
      for (const chunk of [...job.chunks.values()]) {
        const ends = chunk.complete || (over && chunk.allocations.size === 0);
        if (ends || chunk.allocations.size > 0) chunk.movingTo = null;
        if (ends && over && chunk.page === null && chunk.handoverVersion === 0) {
          // Nothing was ever written of it.
          this.ledger.drop(chunk);
          continue;
        }
        if (chunk.page !== null) {
          const members = pages.get(chunk.page);
          if (members === undefined) pages.set(chunk.page, [chunk]);
          else members.push(chunk);
        }
        if (chunk.extraPages.length > 0) {
          // It leaves once it is in one page again.
          for (const number of [chunk.page!, ...chunk.extraPages]) solo.add(number);
          if (ends || chunk.savedVersion < chunk.version) pieced.push(chunk);
        } else if (leave && (ends || chunk.movingTo !== null)) leaving.push({ job, chunk });
        else if (chunk.savedVersion < chunk.version) toSave(chunk);
      }
    }
    const headers = new Map<Job, JobHeader>();
    const left = new Set<Chunk>();
    /** Pages that a chunk leaves: they are written first, for it must not stay behind in one. */
    const leftPages = new Set<number>();
    let leftBytes = 0;
    if (small && turn === 1 && presses) {
      for (const { chunk } of leaving.splice(0))
        if (chunk.savedVersion < chunk.version) toSave(chunk);
    }
    for (const { job, chunk } of leaving) {
      const { movingTo } = chunk;
      const takesAlong = movingTo !== null && chunk.attempts > 0;
      const writesHeader = movingTo !== null || job.open;
      // Of a page that stays as it is, what it has of a chunk that is over counts no more.
      const stays = chunk.page === null || kept.isStuck(chunk.page);
      const newPage = !stays && !leftPages.has(chunk.page!) ? chunk.page : null;
      const newSize = newPage === null ? 0 : kept.sum(pages.get(newPage)!);
      const needed =
        (newPage === null ? 0 : 1) +
        (chunk.handoverVersion > 0 ? 1 : 0) +
        (takesAlong ? 1 : 0) +
        (writesHeader && !headers.has(job) ? 1 : 0);
      const header = writesHeader ? leavingHeader(headers.get(job) ?? job.header, chunk) : null;
      const along = takesAlong ? pageOf([chunk]) : null;
      const spoilt =
        (header !== null && unwritable(job.key, this.#closing(header))) ||
        (along !== null && unwritable(keys.handover(movingTo!, job.id, chunk.index), along));
      // One page may have to be split, and new chunks may need one.
      if (
        spoilt ||
        !room(leftPages.size + headers.size + needed + spare, leftBytes + newSize + pageSize)
      ) {
        // It stays for now, and is saved like any other.
        if (chunk.savedVersion < chunk.version) toSave(chunk);
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
        bytes += OVERHEAD + jsonBytes(along);
      }
      if (header !== null) headers.set(job, header);
    }
    for (const job of this.ledger.jobs.values()) {
      // For display only, so it waits for times when there is budget enough.
      const begun = (job.chunks.get(0)?.allocations.size ?? 0) > 0 && !job.header.started;
      if (!begun || !job.open || headers.has(job)) continue;
      if (store.writes.level < store.writes.burst / 2) {
        this.heldBack = true;
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
      let number = kept.stuck.size > 0 ? 900 : 0;
      const taken = (n: number): boolean => pages.has(n) || kept.reserved.has(n) || solo.has(n);
      while (taken(number) || !kept.behind(number)) number++;
      pages.set(number, []);
      return number;
    };
    const writable = (number: number): boolean =>
      !solo.has(number) && !kept.stuck.has(number) && kept.behind(number) && !kept.waits(number);
    for (const chunk of pieced) {
      if (kept.waits(chunk.page!)) continue;
      const old = [chunk.page!, ...chunk.extraPages];
      const pieces = piecesOf(chunk, pageSize * FULL);
      const surplus = old.slice(pieces.length);
      if (!room(leftPages.size + pieces.length + surplus.length)) continue;
      const numbers = pieces.map((_, i) => old[i] ?? unused());
      for (const [i, number] of numbers.entries()) {
        solo.add(number);
        const version = kept.versions.get(number) ?? 0;
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
    if (small) fresh.sort((a, b) => Number(urgent(b)) - Number(urgent(a)));
    for (const chunk of fresh) {
      // What it brought along is removed in the same transaction, one change for each chunk: when
      // many came at once, transactions had too many changes, and none went through any more.
      if (chunk.handoverVersion > 0) {
        if (!room(leftPages.size + dirty.size + takenIn + Math.max(1, spare + 1))) continue;
        takenIn++;
      }
      if (kept.size(chunk) > pageSize * FULL && (kept.narrow || this.ctx.allReadCurrentFormat())) {
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
        kept.rawSize(number) + kept.sum(staying(number)) + kept.size(chunk) <= pageSize * ROOMY;
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
    const order = [...dirty];
    if (small) {
      // Then those that were written longest ago: else the first ones would be written again and again.
      const rank = (n: number): number =>
        pressing.has(n) ? Number.NEGATIVE_INFINITY : (kept.versions.get(n) ?? 0);
      order.sort((a, b) => {
        const [x, y] = [rank(a), rank(b)];
        return x === y ? 0 : x - y;
      });
    }
    for (const number of new Set([...leftPages, ...order])) {
      if (kept.waits(number)) {
        if (leave && leftPages.has(number)) return this.collect(false);
        continue;
      }
      const wide = kept.stuck.has(number) ? wideSize : pageSize;
      let groups = kept.split(staying(number), wide * FULL - kept.rawSize(number));
      const removals = staying(number).filter(
        ({ handoverVersion: handover }) => handover > 0,
      ).length;
      if (groups.length > 1 && groups.length + removals >= ops) {
        // More than any transaction holds: what changes of it goes to other pages, one by one.
        kept.stuck.add(number);
        if (kept.isStuck(number)) return this.collect(leave);
        groups = [staying(number)];
      }
      if (!room(groups.length + removals + Math.min(1, spare), kept.sum(staying(number)))) {
        if (leave && leftPages.has(number)) return this.collect(false);
        if (spare > 0) break;
        continue;
      }
      const written = groups.map((chunks, i) => {
        const page = i === 0 ? number : unused();
        const raw = i === 0 ? (kept.raw.get(number) ?? []) : [];
        const value = chunks.length === 0 && raw.length === 0 ? null : pageOf(chunks, raw);
        return { chunks, page, key: keys.page(index, page), value };
      });
      if (written.some(({ key, value }) => value !== null && unwritable(key, value))) {
        if (leave && leftPages.has(number)) return this.collect(false);
        continue;
      }
      for (const { chunks, page, key, value } of written) {
        const version = kept.versions.get(page) ?? 0;
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
    for (const number of kept.stuck) {
      if (!kept.isStuck(number) || !pages.has(number) || !room(1)) continue;
      if (staying(number).length > 0 || kept.raw.has(number)) continue;
      remove(number);
    }
    if (batch.changes.length > 0 && !batch.pages.some(({ removed }) => !removed)) {
      // Only a version that this owner alone changes tells later whether it was applied.
      batch.mark = this.mark();
      batch.changes.push({ put: fenceKey, value: batch.mark });
    }
    return batch;
  }

  /** A header as it is written: closed with its last chunk. */
  #closing(header: JobHeader): JobHeader {
    return allFinished(header.owners) ? doneHeader(header, this.ctx.clock.wall()) : header;
  }

  #forgetHandover(batch: WriteBatch, chunk: Chunk): void {
    if (chunk.handoverVersion === 0) return;
    const key = keys.handover(this.ctx.index, chunk.job, chunk.index);
    batch.when.push({ key, version: chunk.handoverVersion });
    batch.changes.push({ remove: key });
  }

  /** A value of the fence that nobody has written yet. */
  mark(): string {
    return `${this.ctx.token}.${++this.#marks}`;
  }
}

/** The header once a chunk has ended, or has gone where it is moving to. */
function leavingHeader(header: JobHeader, { index, movingTo }: Chunk): JobHeader {
  const owner = movingTo === null ? FINISHED : partChar(movingTo);
  const owners = withOwner(header.owners, index, owner);
  return { ...header, owners, moves: header.moves + (movingTo === null ? 0 : 1) };
}
