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
 * The pages of a part as the store has them. Which chunks are in them is known by the chunks.
 * (`docs/state.md`, "Smaller limits", has why some of them are never written again.)
 */
export class Pages {
  readonly versions = new Map<number, number>();
  readonly #sizes = new WeakMap<Chunk, { version: number; size: number }>();
  /** Numbers of pages that cannot be read. */
  readonly reserved = new Set<number>();
  /** By page: states of chunks whose header is missing or cannot be read. */
  readonly raw = new Map<number, [name: string, state: ChunkState][]>();
  /** Pages that cannot be written as a whole any more. */
  readonly stuck = new Set<number>();
  /** Pages that are not written for now: the service found fault with them. */
  readonly #refused = new Map<number, number>();
  /** The service refuses values as large as production wrote; nothing so large is sent any more. */
  narrow = false;

  constructor(readonly ctx: PartContext) {}

  /** What the store had when this owner began, or has now. */
  known(key: string, version: number, value?: unknown): void {
    const prefix = keys.pages(this.ctx.index);
    if (!key.startsWith(prefix)) return;
    const number = Number(key.slice(prefix.length));
    if (version > 0) this.versions.set(number, version);
    else this.versions.delete(number);
    const size = value === undefined ? 0 : jsonBytes(value);
    if (size > maxPageBytes(this.ctx.store.limits)) this.stuck.add(number);
  }

  /**
   * Whether a page is left as it is, because what it holds fits no value any more: what changes of it
   * goes to other pages, and the newer record counts. Not while a program from before that could
   * become the owner, which goes by the last page and not by the newest (`docs/state.md`).
   */
  isStuck(number: number): boolean {
    return this.stuck.has(number) && (this.narrow || this.ctx.allReadCurrentFormat());
  }

  /** Whether a page is larger than pages may be now. */
  isLarge(number: number): boolean {
    return this.stuck.has(number);
  }

  /** The key of a record that cannot be read: it is not written over. */
  reserve(key: string): void {
    const prefix = keys.pages(this.ctx.index);
    if (key.startsWith(prefix)) this.reserved.add(Number(key.slice(prefix.length)));
  }

  /** A state in a page that belongs to no chunk of ours: it stays there as it is. */
  keepRaw(page: number, name: string, state: ChunkState): void {
    const list = this.raw.get(page) ?? [];
    list.push([name, state]);
    this.raw.set(page, list);
  }

  /** Whether a page comes behind all that stay as they are, in order of text. */
  behind(number: number): boolean {
    for (const stuck of this.stuck) if (String(stuck) >= String(number)) return false;
    return true;
  }

  /** Whether a page is left alone for a while, because the service found fault with it. */
  waits(number: number): boolean {
    const until = this.#refused.get(number);
    if (until === undefined) return false;
    if (until > this.ctx.clock.now()) return true;
    this.#refused.delete(number);
    return false;
  }

  /** Leaves pages alone for a lease. */
  refuse(numbers: Iterable<number>): void {
    const until = this.ctx.clock.now() + this.ctx.leaseMs;
    for (const number of numbers) this.#refused.set(number, until);
  }

  rawSize(number: number): number {
    const raw = this.raw.get(number);
    return raw === undefined ? 0 : jsonBytes(pageOf([], raw));
  }

  size(chunk: Chunk): number {
    const known = this.#sizes.get(chunk);
    if (known?.version === chunk.version) return known.size;
    const size = jsonBytes(pageOf([chunk]));
    this.#sizes.set(chunk, { version: chunk.version, size });
    return size;
  }

  /** A little more than the page, which names a machine once for all its chunks. */
  sum(chunks: readonly Chunk[]): number {
    return chunks.reduce((sum, chunk) => sum + this.size(chunk), 0);
  }

  /** In halves, until each of them fits a page. */
  split(chunks: Chunk[], most: number): Chunk[][] {
    if (chunks.length < 2 || this.sum(chunks) <= most || jsonBytes(pageOf(chunks)) <= most) {
      return [chunks];
    }
    const half = Math.ceil(chunks.length / 2);
    return [...this.split(chunks.slice(0, half), most), ...this.split(chunks.slice(half), most)];
  }
}

/** A chunk's state as several pages, each of which fits: what is live is divided. */
export function piecesOf(chunk: Chunk, most: number): PageRecord[] {
  const { attempts, done, live } = chunk.state;
  const name = chunkName(chunk.job, chunk.index);
  for (let count = 1; ; count++) {
    const each = Math.max(1, Math.ceil(live.length / count));
    const pieces = Array.from({ length: count }, (_, i) =>
      encodePage([
        [name, { attempts, done: i === 0 ? done : "", live: live.slice(i * each, (i + 1) * each) }],
      ]),
    );
    if (count >= live.length || pieces.every((piece) => jsonBytes(piece) <= most)) return pieces;
  }
}

export const pageOf = (
  chunks: Iterable<Chunk>,
  raw: readonly [name: string, state: ChunkState][] = [],
): PageRecord => {
  const states: [string, ChunkState][] = [...raw];
  for (const chunk of chunks) states.push([chunkName(chunk.job, chunk.index), chunk.state]);
  return encodePage(states);
};
