import type { Chunk, ChunkState } from "../jobs/chunk.js";
import {
  chunkName,
  encodePage,
  jsonBytes,
  maxPageBytes,
  type PageRecord,
} from "../jobs/chunk-page.js";
import { keys } from "../state/keys.js";
import type { PartContext } from "./context.js";

/**
 * The pages of a part as they are in the store. Each chunk knows its page. Why some pages are never
 * written again: `docs/state.md`, "Smaller limits".
 */
export class Pages {
  /** By page number, the stored version. */
  readonly versions = new Map<number, number>();
  readonly #cachedSizes = new WeakMap<Chunk, { version: number; size: number }>();
  /** Numbers of unreadable pages. */
  readonly unreadable = new Set<number>();
  /** By page: states of chunks whose header is missing or unreadable. */
  readonly unowned = new Map<number, [name: string, state: ChunkState][]>();
  /** Pages too large to be written as a whole any more. */
  readonly oversized = new Set<number>();
  /** Pages not to be written for now, since the state service rejected them; by page, until when. */
  readonly #deferredUntil = new Map<number, number>();
  /** The state service refuses values as large as production wrote: none so large are sent any more. */
  noLargeValues = false;

  constructor(readonly ctx: PartContext) {}

  /** Sets a page's version in the store, as read at takeover or now. */
  setVersion(key: string, version: number, value?: unknown): void {
    const prefix = keys.pages(this.ctx.index);
    if (!key.startsWith(prefix)) return;
    const number = Number(key.slice(prefix.length));
    if (version > 0) this.versions.set(number, version);
    else this.versions.delete(number);
    const size = value === undefined ? 0 : jsonBytes(value);
    if (size > maxPageBytes(this.ctx.store.limits)) this.oversized.add(number);
  }

  /**
   * Whether a page is left as it is, because its content no longer fits a value: states that change go
   * to other pages, and the newer record counts. Not while an earlier build could become the owner,
   * which uses the last page in order instead of the newest (`docs/state.md`).
   */
  isLeftAsIs(number: number): boolean {
    return this.oversized.has(number) && (this.noLargeValues || this.ctx.allReadCurrentFormat());
  }

  /** Whether a page is larger than the current maximum page size. */
  isOversized(number: number): boolean {
    return this.oversized.has(number);
  }

  /** Marks the key of an unreadable record, which is not overwritten. */
  markUnreadable(key: string): void {
    const prefix = keys.pages(this.ctx.index);
    if (key.startsWith(prefix)) this.unreadable.add(Number(key.slice(prefix.length)));
  }

  /** Keeps a page's state that belongs to no chunk of this part: it is written back unchanged. */
  keepUnowned(page: number, name: string, state: ChunkState): void {
    const list = this.unowned.get(page) ?? [];
    list.push([name, state]);
    this.unowned.set(page, list);
  }

  /** Whether a page comes after all oversized pages, in text order of the numbers. */
  sortsLast(number: number): boolean {
    for (const oversized of this.oversized) if (String(oversized) >= String(number)) return false;
    return true;
  }

  /** Whether a page is not to be written for now, since the state service rejected it. */
  isDeferred(number: number): boolean {
    const until = this.#deferredUntil.get(number);
    if (until === undefined) return false;
    if (until > this.ctx.clock.now()) return true;
    this.#deferredUntil.delete(number);
    return false;
  }

  /** Defers writing these pages for the length of a lease. */
  defer(numbers: Iterable<number>): void {
    const until = this.ctx.clock.now() + this.ctx.leaseMs;
    for (const number of numbers) this.#deferredUntil.set(number, until);
  }

  unownedBytes(number: number): number {
    const unowned = this.unowned.get(number);
    return unowned === undefined ? 0 : jsonBytes(toPage([], unowned));
  }

  chunkBytes(chunk: Chunk): number {
    const cached = this.#cachedSizes.get(chunk);
    if (cached?.version === chunk.version) return cached.size;
    const size = jsonBytes(toPage([chunk]));
    this.#cachedSizes.set(chunk, { version: chunk.version, size });
    return size;
  }

  /** Slightly more than the size of a page of these chunks, which has each machine name only once. */
  bytesOf(chunks: readonly Chunk[]): number {
    return chunks.reduce((sum, chunk) => sum + this.chunkBytes(chunk), 0);
  }

  /** Halves a list of chunks until each group fits a page. */
  split(chunks: Chunk[], maxBytes: number): Chunk[][] {
    if (
      chunks.length < 2 ||
      this.bytesOf(chunks) <= maxBytes ||
      jsonBytes(toPage(chunks)) <= maxBytes
    ) {
      return [chunks];
    }
    const half = Math.ceil(chunks.length / 2);
    return [
      ...this.split(chunks.slice(0, half), maxBytes),
      ...this.split(chunks.slice(half), maxBytes),
    ];
  }
}

/** Splits a chunk's state into several pages by dividing its allocations, until each page fits. */
export function splitState(chunk: Chunk, maxBytes: number): PageRecord[] {
  const { attempts, done, live } = chunk.state;
  const name = chunkName(chunk.job, chunk.index);
  for (let count = 1; ; count++) {
    const perPiece = Math.max(1, Math.ceil(live.length / count));
    const pieces = Array.from({ length: count }, (_, i) =>
      encodePage([
        [
          name,
          {
            attempts,
            done: i === 0 ? done : "",
            live: live.slice(i * perPiece, (i + 1) * perPiece),
          },
        ],
      ]),
    );
    if (count >= live.length || pieces.every((piece) => jsonBytes(piece) <= maxBytes))
      return pieces;
  }
}

export const toPage = (
  chunks: Iterable<Chunk>,
  unowned: readonly [name: string, state: ChunkState][] = [],
): PageRecord => {
  const states: [string, ChunkState][] = [...unowned];
  for (const chunk of chunks) states.push([chunkName(chunk.job, chunk.index), chunk.state]);
  return encodePage(states);
};
