import { LRUCache } from "lru-cache";
import type { Clock } from "../clock.js";
import type { JobOutcome } from "../jobs/job-outcome.js";
import type { Log } from "../log.js";
import { Admission } from "../state/admission.js";
import { keys } from "../state/keys.js";
import { type Condition, Refused, type Store } from "../state/store.js";
import { CoalescedReads } from "./coalesced-reads.js";
import {
  CorruptLeaf,
  covers,
  decodeLeaf,
  findOutcome,
  type Leaf,
  leafKey,
  listingStartOf,
} from "./leaf.js";

/**
 * The outcome of an archived job; or, for an id that is not in the archive, the conditions of the
 * transaction that creates the job: it fails if the archive leaf has changed since.
 */
export type Guard = { past: JobOutcome } | { when: Condition[] };

/** Upper bound on the estimated size of cached leaves. */
const CACHE_BYTES = 4 * 1024 * 1024;

/** Attempts of a lookup if the leaf is split concurrently. */
const MAX_ATTEMPTS = 4;

/**
 * Looks up archived jobs and caches the leaves read. A job never leaves the archive, so a cached
 * entry may be returned. Its absence may become untrue: it is only reported from a read that began
 * after the request, or is made a condition of the transaction that relies on it.
 */
export class Lookups {
  /** Leaves by the last id of their range, as of when they were read. */
  readonly #cache: LRUCache<string, Leaf>;
  /** The keys of the cache, sorted. */
  readonly #cachedLastIds: string[] = [];
  readonly #admission: Admission;
  readonly #leafReads = new CoalescedReads<Leaf>();
  readonly #reportedKeys = new Set<string>();
  reads = 0;

  constructor(
    readonly store: Pick<Store, "page" | "limits">,
    readonly clock: Clock,
    readonly log: Log,
    controllers: number,
  ) {
    // A quarter of a controller's share of the request rate: polls for old or unknown jobs must not
    // use up the requests that scheduling needs.
    this.#admission = new Admission(store.limits.rps / (4 * Math.max(1, controllers)), clock);
    this.#cache = new LRUCache<string, Leaf>({
      maxSize: CACHE_BYTES,
      // An entry with its strings takes about 200 bytes of heap.
      sizeCalculation: ({ entries }) => 1000 + entries.length * 200,
      dispose: (_leaf, last, why) => {
        if (why === "set") return;
        const at = this.#lowerBound(last);
        if (this.#cachedLastIds[at] === last) this.#cachedLastIds.splice(at, 1);
      },
    });
  }

  /** The index of the first cached last id that is not less than an id. */
  #lowerBound(id: string): number {
    let from = 0;
    let to = this.#cachedLastIds.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.#cachedLastIds[middle]! < id) from = middle + 1;
      else to = middle;
    }
    return from;
  }

  /** The cached leaf that covers an id, which may be stale, or null. */
  cachedLeaf(id: string): Leaf | null {
    const last = this.#cachedLastIds[this.#lowerBound(id)];
    const leaf = last === undefined ? undefined : this.#cache.get(last);
    return leaf !== undefined && covers(leaf, id) ? leaf : null;
  }

  /** Caches a leaf as it was read or written, unless the cached one is as new. */
  cacheLeaf(leaf: Leaf): void {
    const cached = this.#cache.peek(leaf.last);
    if (cached !== undefined && cached.version >= leaf.version) return;
    this.#cache.set(leaf.last, leaf);
    const at = this.#lowerBound(leaf.last);
    if (this.#cachedLastIds[at] !== leaf.last && this.#cache.has(leaf.last)) {
      this.#cachedLastIds.splice(at, 0, leaf.last);
    }
  }

  /** Drops a leaf from the cache, after a condition on it failed or a write of it got no answer. */
  invalidate(key: string): void {
    if (!key.startsWith(keys.archive)) return;
    for (const last of this.#cachedLastIds) {
      if (leafKey(last) !== key) continue;
      this.#cache.delete(last);
      return;
    }
  }

  /** The final state of a job if it is in a cached leaf, or null. */
  findCached(id: string): JobOutcome | null {
    const leaf = this.cachedLeaf(id);
    return leaf === null ? null : findOutcome(leaf.entries, id);
  }

  /**
   * The final state of an archived job; null if it was not in the archive at some moment after the
   * call.
   * @throws Refused if the rate limit of lookups is exceeded; CorruptLeaf
   */
  async find(id: string): Promise<JobOutcome | null> {
    return this.findCached(id) ?? findOutcome((await this.readLeaf(id)).entries, id);
  }

  /** What the creation of a job with this id is conditional on; from the cache if possible. */
  async guard(id: string): Promise<Guard> {
    const leaf = this.cachedLeaf(id) ?? (await this.readLeaf(id));
    const outcome = findOutcome(leaf.entries, id);
    return outcome === null
      ? { when: [{ key: leaf.key, version: leaf.version }] }
      : { past: outcome };
  }

  /** The leaf that covers an id, from a read that began after the call. */
  async readLeaf(id: string): Promise<Leaf> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const cached = this.cachedLeaf(id);
      const leaf = await this.#leafReads.run(cached === null ? `id ${id}` : cached.key, () =>
        this.#read(id),
      );
      if (covers(leaf, id)) return leaf;
    }
    throw new Refused(`job ${id}: its archive leaf was split during each of ${MAX_ATTEMPTS} reads`);
  }

  async #read(id: string): Promise<Leaf> {
    if (!this.#admission.admit(id))
      throw new Refused(`job ${id}: rate limit of archive lookups exceeded`);
    this.reads++;
    const { rows } = await this.store.page(keys.archive, listingStartOf(id), 1);
    const row = rows[0];
    try {
      if (row === undefined) throw new CorruptLeaf(leafKey("~"), "the last leaf is missing");
      const leaf = decodeLeaf(row);
      if (!covers(leaf, id)) {
        // The leaf that covers the id is missing, so the jobs in its range are unknown.
        throw new CorruptLeaf(
          row.key,
          `begins after "${leaf.from}"; the leaf that covers "${id}" is missing`,
        );
      }
      this.cacheLeaf(leaf);
      return leaf;
    } catch (error) {
      if (error instanceof CorruptLeaf && !this.#reportedKeys.has(error.key)) {
        this.#reportedKeys.add(error.key);
        this.log.error(
          { key: error.key, error: error.message },
          "archive leaf is corrupt; lookups in its range fail",
        );
      }
      throw error;
    }
  }
}
