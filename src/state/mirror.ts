import { type Clock, sleep } from "../clock.js";
import type { Log } from "../log.js";
import { WATCHED_PREFIX } from "./keys.js";
import { type Event, Refused, type Row, type Store } from "./store.js";

type Listener = (event: Event) => void;

const PAGE = 1000; // PROTOCOL: no more in a response

/**
 * What this controller had read at a moment. A row that was asked for under one mark counts only
 * under the same one: what a listing has passed over since may be newer.
 */
export type ListingEpoch = number;

/**
 * A copy of the watched keys, kept current by one long-polling watch. `freshAsOf` is the latest
 * moment up to which this controller is known to have seen every change.
 *
 * Jobs that are over need not be kept: `evict` takes a row out of memory, and `skipsRow` keeps rows
 * out that a first listing finds. Whoever asks for such a job reads it from the store.
 */
export class Mirror {
  readonly rows = new Map<string, { value: unknown; version: number }>();
  revision = 0;
  freshAsOf = Number.NEGATIVE_INFINITY;
  ready = false;
  /** Whether a row that a listing found need not be kept; set by who knows what rows mean. */
  skipsRow: (row: Row) => boolean = () => false;
  /**
   * Versions of keys that were deleted or forgotten: an answer that is older must not bring one
   * back. In two generations: an answer comes within a request's deadline or not at all, so what
   * is older than `#keepMs` guards against nothing.
   */
  #removed = new Map<string, number>();
  #removedBefore = new Map<string, number>();
  #turnedAt: number;
  readonly #keepMs: number;
  readonly #listeners: { prefix: string; run: Listener }[] = [];
  /** Who waits for something to be written to one key. */
  readonly #expected = new Map<string, Set<Listener>>();
  #waiters: { revision: number; done: () => void }[] = [];
  /** Requests that tell of changes, numbered as they are sent, and the last one that has told. */
  #sent = 0;
  #told = 0;
  /** Who waits for one that is sent after `after`. */
  #readers: { after: number; done: () => void; failed: (why: unknown) => void }[] = [];
  #asking = false;
  #reachable = true;
  #stopped = false;
  #epoch = 0;
  /** How far reading all keys has come: after which key, and which known ones are still to come. */
  #listing: { known: string[]; at: number; after: string } | null = null;

  constructor(
    readonly store: Store,
    readonly clock: Clock,
    readonly log: Log,
    /** How long one watch waits; also how old the proof of contact may get on a quiet day. */
    readonly waitMs: number,
  ) {
    // A watch waits half a report; a request is given up after a report. Thirty of them is far more
    // than any answer takes.
    this.#keepMs = waitMs * 60;
    this.#turnedAt = clock.now();
  }

  on(prefix: string, run: Listener): void {
    this.#listeners.push({ prefix, run });
  }

  /** Has one key's changes told, until what is returned is called. */
  onKey(key: string, run: Listener): () => void {
    const all = this.#expected.get(key) ?? new Set();
    this.#expected.set(key, all.add(run));
    return () => {
      all.delete(run);
      if (all.size === 0 && this.#expected.get(key) === all) this.#expected.delete(key);
    };
  }

  /** Resolves once every change up to `revision` has been applied here. */
  waitForRevision(revision: number): Promise<void> {
    if (this.ready && this.revision >= revision) return Promise.resolve();
    return new Promise((done) => {
      this.#waiters.push({ revision, done });
    });
  }

  /**
   * Resolves once this copy has every change that was made before the call: what is read from it
   * then is as good as a request of its own. Questions share one request; in busy times they need
   * none, since the watch returns and is sent again within a moment.
   * @throws Refused, NoAnswer when the store does not tell
   */
  waitUntilCurrent(): Promise<void> {
    if (!this.ready) return Promise.reject(new Refused("not read yet"));
    return new Promise((done, failed) => {
      this.#readers.push({ after: this.#sent, done, failed });
      this.#askSoon();
    });
  }

  #askSoon(): void {
    if (this.#asking) return;
    this.#asking = true;
    // Ten requests a second at reports of 2 s, however many ask.
    this.clock.after(this.waitMs / 10, () => void this.#ask());
  }

  async #ask(): Promise<void> {
    if (this.#readers.length > 0 && this.ready && !this.#stopped) {
      const mine = this.#sent + 1;
      try {
        // When changes were missed the regular watch learns that as well, and reads all keys.
        if (!(await this.#follow(0))) throw new Refused("changes were missed");
      } catch (error) {
        const [failing, rest] = [
          this.#readers.filter(({ after }) => after < mine),
          this.#readers.filter(({ after }) => after >= mine),
        ];
        this.#readers = rest;
        for (const { failed } of failing) failed(error);
      }
    }
    this.#asking = false;
    if (this.#stopped || !this.ready) {
      for (const { failed } of this.#readers.splice(0)) failed(new Refused("not read yet"));
    } else if (this.#readers.length > 0) this.#askSoon();
  }

  /** To be taken before something is asked whose answer is then handed to `applyIfNotRelisted`. */
  listingEpoch(): ListingEpoch {
    return this.#epoch;
  }

  /**
   * Takes in what an answer told, unless the keys have been listed meanwhile. Without this, an
   * open header, read just before a listing passed over the same header as done, would have stayed
   * in memory as open for good, and its tasks would have run once more.
   */
  applyIfNotRelisted(event: Event, mark: ListingEpoch): void {
    if (this.ready && mark === this.#epoch) this.apply(event);
  }

  /** How many deletions are still remembered. */
  get remembered(): number {
    return this.#removed.size + this.#removedBefore.size;
  }

  /** Takes a row out of memory, without a word to anybody; the store still has it. */
  evict(key: string): void {
    const known = this.rows.get(key);
    if (known === undefined) return;
    this.rows.delete(key);
    this.#removed.set(key, known.version);
  }

  /** Takes in one state of one key; older ones than already known are ignored. */
  apply(event: Event): void {
    const { key, version, deleted } = event;
    const known = this.rows.get(key);
    const last = known?.version ?? this.#removed.get(key) ?? this.#removedBefore.get(key) ?? 0;
    if (last >= version) return;
    if (deleted) {
      this.#removed.set(key, version);
      if (!this.rows.delete(key)) return;
    } else {
      this.#removed.delete(key);
      this.#removedBefore.delete(key);
      this.rows.set(key, { value: event.value, version });
    }
    for (const { prefix, run } of this.#listeners) if (key.startsWith(prefix)) run(event);
    if (this.#expected.size === 0) return;
    for (const run of this.#expected.get(key) ?? []) run(event);
  }

  stop(): void {
    this.#stopped = true;
  }

  async run(): Promise<void> {
    while (!this.#stopped) {
      const sentAt = this.clock.now();
      try {
        if (!this.ready) {
          if (!(await this.#read())) continue;
          this.#listing = null;
          this.#epoch++;
          this.ready = true;
        } else if (!(await this.#follow(this.waitMs))) {
          // The service has forgotten changes that we have not seen: the keys are read again.
          this.ready = false;
          this.#epoch++;
          continue;
        }
        this.freshAsOf = sentAt;
        this.#wake();
        this.#turn();
        if (!this.#reachable) this.log.info("state service answers again");
        this.#reachable = true;
      } catch (error) {
        if (this.#reachable) this.log.warn({ why: String(error) }, "state service does not answer");
        this.#reachable = false;
        await sleep(this.clock, error instanceof Refused ? this.waitMs / 4 : this.waitMs / 10);
      }
    }
  }

  /** Takes in the changes since the last ones; false when the service has forgotten some of them. */
  async #follow(waitMs: number): Promise<boolean> {
    const mine = ++this.#sent;
    const seen = await this.store.watch(WATCHED_PREFIX, this.revision, waitMs);
    if (seen === null) return false;
    for (const event of seen.events) this.apply(event);
    this.revision = Math.max(this.revision, seen.revision);
    this.#told = Math.max(this.#told, mine);
    if (this.#readers.length > 0 && this.ready) {
      const served = this.#readers.filter(({ after }) => after < this.#told);
      this.#readers = this.#readers.filter(({ after }) => after >= this.#told);
      for (const { done } of served) done();
    }
    return true;
  }

  /** Deletions that were noted a while ago guard against nothing any more. */
  #turn(): void {
    const now = this.clock.now();
    if (now - this.#turnedAt < this.#keepMs) return;
    this.#turnedAt = now;
    this.#removedBefore = this.#removed;
    this.#removed = new Map();
  }

  /**
   * Reads all keys, page by page, in their order: whoever reads "w/cancels" has not read a header
   * yet, and knows in the end every cancellation that its version stands for. Between pages it
   * follows the changes, so that no more of them pass than the service remembers, however long
   * reading takes. When a page does not come, reading goes on there later. False when changes were
   * missed all the same, and reading has to begin anew.
   */
  async #read(): Promise<boolean> {
    // What was read before an interruption is as old as that. Without this, whoever had read half
    // of the keys before an outage was taken to be in touch once it had the others, and answered
    // workers on although it had not heard of cancellations from before the outage.
    if (this.#listing !== null && !(await this.#follow(0))) {
      this.#listing = null;
      return false;
    }
    for (;;) {
      const listing = this.#listing;
      const page = await this.store.page(WATCHED_PREFIX, listing?.after ?? null, PAGE);
      // Pages are read at different revisions: changes are followed from the oldest.
      if (listing === null) this.revision = page.revision;
      const { known, at } = listing ?? { known: [...this.rows.keys()].sort(), at: 0 };
      const last = page.rows.at(-1)?.key;
      const after = page.more && last !== undefined ? last : null;
      const present = new Set<string>();
      for (const row of page.rows) {
        present.add(row.key);
        if (!this.rows.has(row.key) && this.skipsRow(row)) continue;
        this.apply({ ...row, deleted: false });
      }
      // A key that we knew and that is missing was deleted after we last heard of it. One that we
      // learned of later than the page's revision is left alone.
      let next = at;
      for (; next < known.length && (after === null || known[next]! <= after); next++) {
        const key = known[next]!;
        const row = present.has(key) ? undefined : this.rows.get(key);
        if (row !== undefined && row.version <= page.revision) {
          this.apply({ key, value: undefined, version: page.revision + 0.5, deleted: true });
        }
      }
      if (after === null) return true;
      this.#listing = { known, at: next, after };
      if (!(await this.#follow(0))) {
        this.#listing = null;
        return false;
      }
    }
  }

  #wake(): void {
    const due = this.#waiters.filter(({ revision }) => revision <= this.revision);
    if (due.length === 0) return;
    this.#waiters = this.#waiters.filter(({ revision }) => revision > this.revision);
    for (const { done } of due) done();
  }
}
