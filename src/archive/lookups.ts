import { LRUCache } from "lru-cache";
import type { Clock } from "../clock.js";
import type { JobOutcome } from "../jobs/job-outcome.js";
import type { Log } from "../log.js";
import { Admission } from "../state/admission.js";
import { keys } from "../state/keys.js";
import { type Condition, Refused, type Store } from "../state/store.js";
import { beforeLeaf, CorruptLeaf, covers, decodeLeaf, findIn, type Leaf, leafKey } from "./leaf.js";
import { Shared } from "./shared.js";

/** What a new job depends on: that it is not in the archive, as it was when it was looked up. */
export type Guard = { past: JobOutcome } | { when: Condition[] };

/** Bytes of leaves in memory. */
const CACHED = 4 * 1024 * 1024;

/** How often a look-up goes on when leaves are divided under its eyes. */
const TRIES = 4;

/**
 * Finds archived jobs. What has been read is kept: that a job is in the archive stays true, so it
 * is answered from memory; that it is not is only ever told from a reading that began after the
 * question, or made a condition of the transaction that relies on it.
 */
export class Lookups {
  /** Leaves by their last id, as they were when they were read. */
  readonly #cache: LRUCache<string, Leaf>;
  /** The last ids of those, in order. */
  readonly #lasts: string[] = [];
  readonly #admission: Admission;
  readonly #shared = new Shared<Leaf>();
  readonly #reported = new Set<string>();
  reads = 0;

  constructor(
    readonly store: Pick<Store, "page" | "limits">,
    readonly clock: Clock,
    readonly log: Log,
    controllers: number,
  ) {
    // A quarter of what a controller may ask the service for, so that whoever polls for jobs of
    // long ago, or for jobs that never were, leaves the rest to the work.
    this.#admission = new Admission(store.limits.rps / (4 * Math.max(1, controllers)), clock);
    this.#cache = new LRUCache<string, Leaf>({
      maxSize: CACHED,
      // An entry with its texts takes some 200 bytes of the heap.
      sizeCalculation: ({ entries }) => 1000 + entries.length * 200,
      dispose: (_leaf, last, why) => {
        if (why === "set") return;
        const at = this.#place(last);
        if (this.#lasts[at] === last) this.#lasts.splice(at, 1);
      },
    });
  }

  /** The place of the first cached last id that is not before an id. */
  #place(id: string): number {
    let from = 0;
    let to = this.#lasts.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.#lasts[middle]! < id) from = middle + 1;
      else to = middle;
    }
    return from;
  }

  /** What is remembered of the leaf that an id is in; it may have changed since. */
  known(id: string): Leaf | null {
    const last = this.#lasts[this.#place(id)];
    const leaf = last === undefined ? undefined : this.#cache.get(last);
    return leaf !== undefined && covers(leaf, id) ? leaf : null;
  }

  /** Takes in a leaf as it was read or written; an older one than known changes nothing. */
  keep(leaf: Leaf): void {
    const known = this.#cache.peek(leaf.last);
    if (known !== undefined && known.version >= leaf.version) return;
    this.#cache.set(leaf.last, leaf);
    const at = this.#place(leaf.last);
    if (this.#lasts[at] !== leaf.last && this.#cache.has(leaf.last)) {
      this.#lasts.splice(at, 0, leaf.last);
    }
  }

  /** A condition on a leaf did not hold: it is not as it is remembered. */
  changed(key: string): void {
    if (!key.startsWith(keys.archive)) return;
    for (const last of this.#lasts) {
      if (leafKey(last) !== key) continue;
      this.#cache.delete(last);
      return;
    }
  }

  /** A final state that is remembered. */
  recall(id: string): JobOutcome | null {
    const leaf = this.known(id);
    return leaf === null ? null : findIn(leaf.entries, id);
  }

  /**
   * The final state of an archived job; null for one that is not in the archive, as the store had
   * it at some moment after the call.
   * @throws Refused beyond the look-ups' own part of the budget; CorruptLeaf
   */
  async find(id: string): Promise<JobOutcome | null> {
    return this.recall(id) ?? findIn((await this.leaf(id)).entries, id);
  }

  /** What a job of this id has to depend on; mostly without asking the service anything. */
  async guard(id: string): Promise<Guard> {
    const leaf = this.known(id) ?? (await this.leaf(id));
    const past = findIn(leaf.entries, id);
    return past === null ? { when: [{ key: leaf.key, version: leaf.version }] } : { past };
  }

  /** The leaf that an id is in, read after the call. */
  async leaf(id: string): Promise<Leaf> {
    for (let attempt = 0; attempt < TRIES; attempt++) {
      const known = this.known(id);
      const leaf = await this.#shared.run(known === null ? `id ${id}` : known.key, () =>
        this.#read(id),
      );
      if (covers(leaf, id)) return leaf;
    }
    throw new Refused("the archive is being divided");
  }

  async #read(id: string): Promise<Leaf> {
    if (!this.#admission.admit(id)) throw new Refused("look-ups beyond their budget");
    this.reads++;
    const { rows } = await this.store.page(keys.archive, beforeLeaf(id), 1);
    const row = rows[0];
    try {
      if (row === undefined) throw new CorruptLeaf(leafKey("~"), "the last leaf is missing");
      const leaf = decodeLeaf(row);
      if (!covers(leaf, id)) {
        // The range before it has lost its leaf: nothing says what was in it.
        throw new CorruptLeaf(row.key, `begins behind ${leaf.from}: the leaf before it is missing`);
      }
      this.keep(leaf);
      return leaf;
    } catch (error) {
      if (error instanceof CorruptLeaf && !this.#reported.has(error.key)) {
        this.#reported.add(error.key);
        this.log.error({ key: error.key, why: error.message }, "archive set aside");
      }
      throw error;
    }
  }
}
