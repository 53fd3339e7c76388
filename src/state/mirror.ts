import { type Clock, sleep } from "../clock.js";
import type { Log } from "../log.js";
import { WATCHED } from "./keys.js";
import { type Event, Refused, type Store } from "./store.js";

type Listener = (event: Event) => void;

/**
 * A copy of all watched keys, kept current by one long-polling watch. `contactAt` is the latest
 * moment up to which this controller is known to have seen every change.
 */
export class Mirror {
  readonly rows = new Map<string, { value: unknown; version: number }>();
  revision = 0;
  contactAt = Number.NEGATIVE_INFINITY;
  ready = false;
  /** When keys were deleted: an answer that is older must not bring one back. */
  readonly #removed = new Map<string, number>();
  readonly #listeners: { prefix: string; run: Listener }[] = [];
  #waiters: { revision: number; done: () => void }[] = [];
  #reachable = true;
  #stopped = false;

  constructor(
    readonly store: Store,
    readonly clock: Clock,
    readonly log: Log,
    /** How long one watch waits; also how old the proof of contact may get on a quiet day. */
    readonly waitMs: number,
  ) {}

  on(prefix: string, run: Listener): void {
    this.#listeners.push({ prefix, run });
  }

  /** Resolves once every change up to `revision` has been applied here. */
  reached(revision: number): Promise<void> {
    if (this.ready && this.revision >= revision) return Promise.resolve();
    return new Promise((done) => {
      this.#waiters.push({ revision, done });
    });
  }

  /** Takes in one state of one key; older ones than already known are ignored. */
  apply(event: Event): void {
    const known = this.rows.get(event.key);
    const last = known?.version ?? this.#removed.get(event.key) ?? 0;
    if (last >= event.version) return;
    if (event.deleted) {
      this.#removed.set(event.key, event.version);
      if (!this.rows.delete(event.key)) return;
    } else {
      this.#removed.delete(event.key);
      this.rows.set(event.key, { value: event.value, version: event.version });
    }
    for (const { prefix, run } of this.#listeners) if (event.key.startsWith(prefix)) run(event);
  }

  stop(): void {
    this.#stopped = true;
  }

  async run(): Promise<void> {
    let listed = false;
    while (!this.#stopped) {
      const sentAt = this.clock.now();
      try {
        if (!listed) {
          await this.#relist();
          listed = true;
        } else {
          const seen = await this.store.watch(WATCHED, this.revision, this.waitMs);
          if (seen === null) {
            listed = false;
            continue;
          }
          for (const event of seen.events) this.apply(event);
          this.revision = Math.max(this.revision, seen.revision);
        }
        this.contactAt = sentAt;
        this.ready = true;
        this.#wake();
        if (!this.#reachable) this.log.info("state service answers again");
        this.#reachable = true;
      } catch (error) {
        if (this.#reachable) this.log.warn({ why: String(error) }, "state service does not answer");
        this.#reachable = false;
        await sleep(this.clock, error instanceof Refused ? this.waitMs / 4 : this.waitMs / 10);
      }
    }
  }

  async #relist(): Promise<void> {
    const { rows, revision } = await this.store.list(WATCHED);
    const present = new Set<string>();
    for (const row of rows) {
      present.add(row.key);
      this.apply({ ...row, deleted: false });
    }
    // A key we knew that is missing from the list was deleted after we last heard of it. One
    // that we learned of later than the list's revision is left alone.
    for (const [key, row] of this.rows) {
      if (!present.has(key) && row.version <= revision) {
        this.apply({ key, value: undefined, version: revision + 0.5, deleted: true });
      }
    }
    this.revision = revision;
  }

  #wake(): void {
    const due = this.#waiters.filter(({ revision }) => revision <= this.revision);
    if (due.length === 0) return;
    this.#waiters = this.#waiters.filter(({ revision }) => revision > this.revision);
    for (const { done } of due) done();
  }
}
