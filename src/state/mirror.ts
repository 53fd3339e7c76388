import { type Clock, sleep } from "../clock.js";
import type { Log } from "../log.js";
import { WATCHED_PREFIX } from "./keys.js";
import { type Event, Refused, type Row, type Store } from "./store.js";

type Listener = (event: Event) => void;

const PAGE_SIZE = 1000; // PROTOCOL: the most rows in one response

/**
 * Number of the current listing of all watched keys. A row that was requested under one epoch may be
 * applied only under the same one: a listing since then may have skipped a newer state of the row.
 */
export type ListingEpoch = number;

/**
 * A copy of the watched keys, kept current by one long-polling watch. `freshAsOf` is the latest
 * time up to which this controller is known to have seen every change.
 *
 * Finished jobs need not stay in memory: `evict` drops a row, and `skipsRow` keeps out rows that a
 * listing finds. Requests for such a job read it from the store.
 */
export class Mirror {
  readonly rows = new Map<string, { value: unknown; version: number }>();
  revision = 0;
  freshAsOf = Number.NEGATIVE_INFINITY;
  ready = false;
  /** Whether a listed row need not be kept in memory; set by the code that knows the record kinds. */
  skipsRow: (row: Row) => boolean = () => false;
  /**
   * Versions of keys that were deleted or evicted: an older answer must not bring such a key back.
   * Kept in two generations: an answer arrives within a request's deadline or not at all, so entries
   * older than `#removedRetentionMs` are not needed.
   */
  #removedVersions = new Map<string, number>();
  #olderRemovedVersions = new Map<string, number>();
  #rotatedAt: number;
  readonly #removedRetentionMs: number;
  readonly #prefixListeners: { prefix: string; run: Listener }[] = [];
  /** Listeners to the changes of single keys. */
  readonly #keyListeners = new Map<string, Set<Listener>>();
  #revisionWaiters: { revision: number; done: () => void }[] = [];
  /** Requests for changes are numbered as they are sent: the last one sent, the last one answered. */
  #lastSentRequest = 0;
  #lastAnsweredRequest = 0;
  /** Callers that wait for the answer to a request sent after request `after`. */
  #currentWaiters: { after: number; done: () => void; failed: (reason: unknown) => void }[] = [];
  #refreshScheduled = false;
  #storeReachable = true;
  #stopped = false;
  #epoch = 0;
  /** Progress of the listing: the last key read, and the keys known before it from `nextKnown` on. */
  #listing: { knownKeys: string[]; nextKnown: number; after: string } | null = null;

  constructor(
    readonly store: Store,
    readonly clock: Clock,
    readonly log: Log,
    /** How long one watch waits; so `freshAsOf` may become this old when nothing changes. */
    readonly waitMs: number,
  ) {
    // A watch waits half a report interval and a request times out after one report interval. So
    // this is thirty report intervals, far more than any answer takes.
    this.#removedRetentionMs = waitMs * 60;
    this.#rotatedAt = clock.now();
  }

  on(prefix: string, run: Listener): void {
    this.#prefixListeners.push({ prefix, run });
  }

  /** Listens to the changes of one key; returns a function that ends this. */
  onKey(key: string, run: Listener): () => void {
    const listeners = this.#keyListeners.get(key) ?? new Set();
    this.#keyListeners.set(key, listeners.add(run));
    return () => {
      listeners.delete(run);
      if (listeners.size === 0 && this.#keyListeners.get(key) === listeners)
        this.#keyListeners.delete(key);
    };
  }

  /** Resolves once every change up to `revision` has been applied to this copy. */
  waitForRevision(revision: number): Promise<void> {
    if (this.ready && this.revision >= revision) return Promise.resolve();
    return new Promise((done) => {
      this.#revisionWaiters.push({ revision, done });
    });
  }

  /**
   * Resolves once this copy has every change that was made before the call: reading from it then
   * gives the same guarantee as a separate request to the store. Concurrent callers share one
   * request; with many changes they need none, since the watch returns and is sent again at once.
   * @throws Refused, NoAnswer when the store does not answer
   */
  waitUntilCurrent(): Promise<void> {
    if (!this.ready) return Promise.reject(new Refused("the watched keys are not read yet"));
    return new Promise((done, failed) => {
      this.#currentWaiters.push({ after: this.#lastSentRequest, done, failed });
      this.#scheduleRefresh();
    });
  }

  #scheduleRefresh(): void {
    if (this.#refreshScheduled) return;
    this.#refreshScheduled = true;
    // Ten requests per second at a report interval of 2 s, independent of the number of callers.
    this.clock.after(this.waitMs / 10, () => void this.#refresh());
  }

  async #refresh(): Promise<void> {
    if (this.#currentWaiters.length > 0 && this.ready && !this.#stopped) {
      const request = this.#lastSentRequest + 1;
      try {
        // After missed changes the regular watch fails in the same way and then reads all keys again.
        if (!(await this.#fetchAndApplyChanges(0)))
          throw new Refused("the state service no longer has all changes since the last read");
      } catch (error) {
        const [failing, rest] = [
          this.#currentWaiters.filter(({ after }) => after < request),
          this.#currentWaiters.filter(({ after }) => after >= request),
        ];
        this.#currentWaiters = rest;
        for (const { failed } of failing) failed(error);
      }
    }
    this.#refreshScheduled = false;
    if (this.#stopped || !this.ready) {
      for (const { failed } of this.#currentWaiters.splice(0))
        failed(new Refused("the watched keys are not read yet"));
    } else if (this.#currentWaiters.length > 0) this.#scheduleRefresh();
  }

  /** Must be read before sending a request whose answer is passed to `applyIfNotRelisted`. */
  listingEpoch(): ListingEpoch {
    return this.#epoch;
  }

  /**
   * Applies a row read by a request, unless the keys have been listed since. Without this check, a
   * header read as open just before a listing skipped the same header as done would stay in memory
   * as open for good, and its tasks would run a second time.
   */
  applyIfNotRelisted(event: Event, epoch: ListingEpoch): void {
    if (this.ready && epoch === this.#epoch) this.apply(event);
  }

  /** How many versions of deleted or evicted keys are kept. */
  get removedVersionCount(): number {
    return this.#removedVersions.size + this.#olderRemovedVersions.size;
  }

  /** Drops a row from memory without calling the listeners; the store still has it. */
  evict(key: string): void {
    const row = this.rows.get(key);
    if (row === undefined) return;
    this.rows.delete(key);
    this.#removedVersions.set(key, row.version);
  }

  /** Applies one state of one key; ignored unless newer than the state already known. */
  apply(event: Event): void {
    const { key, version, deleted } = event;
    const row = this.rows.get(key);
    const lastVersion =
      row?.version ?? this.#removedVersions.get(key) ?? this.#olderRemovedVersions.get(key) ?? 0;
    if (lastVersion >= version) return;
    if (deleted) {
      this.#removedVersions.set(key, version);
      if (!this.rows.delete(key)) return;
    } else {
      this.#removedVersions.delete(key);
      this.#olderRemovedVersions.delete(key);
      this.rows.set(key, { value: event.value, version });
    }
    for (const { prefix, run } of this.#prefixListeners) if (key.startsWith(prefix)) run(event);
    if (this.#keyListeners.size === 0) return;
    for (const run of this.#keyListeners.get(key) ?? []) run(event);
  }

  stop(): void {
    this.#stopped = true;
  }

  async run(): Promise<void> {
    while (!this.#stopped) {
      const sentAt = this.clock.now();
      try {
        if (!this.ready) {
          if (!(await this.#readAllKeys())) continue;
          this.#listing = null;
          this.#epoch++;
          this.ready = true;
        } else if (!(await this.#fetchAndApplyChanges(this.waitMs))) {
          // The service no longer has some changes not seen here: all keys are read again.
          this.ready = false;
          this.#epoch++;
          continue;
        }
        this.freshAsOf = sentAt;
        this.#resolveRevisionWaiters();
        this.#rotateRemovedVersions();
        if (!this.#storeReachable) this.log.info("watch of the state service works again");
        this.#storeReachable = true;
      } catch (error) {
        if (this.#storeReachable)
          this.log.warn({ why: String(error) }, "watch of the state service failed; retrying");
        this.#storeReachable = false;
        await sleep(this.clock, error instanceof Refused ? this.waitMs / 4 : this.waitMs / 10);
      }
    }
  }

  /** Applies the changes since `revision`; false when the service no longer has all of them. */
  async #fetchAndApplyChanges(waitMs: number): Promise<boolean> {
    const request = ++this.#lastSentRequest;
    const changes = await this.store.watch(WATCHED_PREFIX, this.revision, waitMs);
    if (changes === null) return false;
    for (const event of changes.events) this.apply(event);
    this.revision = Math.max(this.revision, changes.revision);
    this.#lastAnsweredRequest = Math.max(this.#lastAnsweredRequest, request);
    if (this.#currentWaiters.length > 0 && this.ready) {
      const served = this.#currentWaiters.filter(({ after }) => after < this.#lastAnsweredRequest);
      this.#currentWaiters = this.#currentWaiters.filter(
        ({ after }) => after >= this.#lastAnsweredRequest,
      );
      for (const { done } of served) done();
    }
    return true;
  }

  /** Drops the older generation of removed versions once it is past its retention time. */
  #rotateRemovedVersions(): void {
    const now = this.clock.now();
    if (now - this.#rotatedAt < this.#removedRetentionMs) return;
    this.#rotatedAt = now;
    this.#olderRemovedVersions = this.#removedVersions;
    this.#removedVersions = new Map();
  }

  /**
   * Reads all keys page by page, in key order: "w/cancels" is read before any header, so at the end
   * every cancellation up to its version is known. Between pages it fetches the changes, so that the
   * service still has all of them however long the listing takes. When a page fails, a later call
   * continues there. Returns false when changes were missed all the same and the listing has to
   * start over.
   */
  async #readAllKeys(): Promise<boolean> {
    // Keys read before an interruption may be out of date. Without this, a controller that had read
    // half of the keys before an outage counted as up to date once it had the rest, and went on
    // answering workers although it had missed cancellations from before the outage.
    if (this.#listing !== null && !(await this.#fetchAndApplyChanges(0))) {
      this.#listing = null;
      return false;
    }
    for (;;) {
      const listing = this.#listing;
      const page = await this.store.page(WATCHED_PREFIX, listing?.after ?? null, PAGE_SIZE);
      // Pages are read at different revisions: changes are followed from the oldest.
      if (listing === null) this.revision = page.revision;
      const { knownKeys, nextKnown } = listing ?? {
        knownKeys: [...this.rows.keys()].sort(),
        nextKnown: 0,
      };
      const last = page.rows.at(-1)?.key;
      const after = page.more && last !== undefined ? last : null;
      const present = new Set<string>();
      for (const row of page.rows) {
        present.add(row.key);
        if (!this.rows.has(row.key) && this.skipsRow(row)) continue;
        this.apply({ ...row, deleted: false });
      }
      // A known key that the page lacks was deleted after it was last seen. A key whose version is
      // later than the page's revision is left as it is.
      let index = nextKnown;
      for (; index < knownKeys.length && (after === null || knownKeys[index]! <= after); index++) {
        const key = knownKeys[index]!;
        const row = present.has(key) ? undefined : this.rows.get(key);
        if (row !== undefined && row.version <= page.revision) {
          this.apply({ key, value: undefined, version: page.revision + 0.5, deleted: true });
        }
      }
      if (after === null) return true;
      this.#listing = { knownKeys, nextKnown: index, after };
      if (!(await this.#fetchAndApplyChanges(0))) {
        this.#listing = null;
        return false;
      }
    }
  }

  #resolveRevisionWaiters(): void {
    const due = this.#revisionWaiters.filter(({ revision }) => revision <= this.revision);
    if (due.length === 0) return;
    this.#revisionWaiters = this.#revisionWaiters.filter(
      ({ revision }) => revision > this.revision,
    );
    for (const { done } of due) done();
  }
}
