import type { Clock, Timer } from "../clock.js";
import {
  type Change,
  type Condition,
  type Event,
  NoLease,
  type TxnResult,
} from "../state/store.js";

/** What the service keeps to and what it refuses (PROTOCOL, "Controller nodes -> state service"). */
export interface StateLimits {
  ops: number;
  conditions: number;
  valueBytes: number;
}

/** A request that PROTOCOL answers with 400. */
export class Malformed extends Error {}

export interface StateRow {
  value: unknown;
  version: number;
  lease: number | null;
}

const copy = <T>(value: T): T => structuredClone(value);
const KEPT_EVENTS = 10_000;
const TXN_BYTES = 64 * 1024;

/** The state service, in memory: what `server.ts` puts on a socket, and tests call as it is. */
export class StateService {
  readonly rows = new Map<string, StateRow>();
  readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly log: Event[] = [];
  revision = 0;
  outage = false;
  #lease = 0;
  #watchers: { prefix: string; wake: () => void }[] = [];
  #timer: Timer | null = null;

  constructor(
    readonly clock: Clock,
    readonly limits: StateLimits,
  ) {
    this.#expire();
  }

  stop(): void {
    this.#timer?.cancel();
    for (const { wake } of this.#watchers) wake();
    this.#watchers = [];
  }

  setOutage(on: boolean): void {
    this.outage = on;
    // Once it is over, every lease has its full time again.
    if (!on) for (const l of this.leases.values()) l.endsAt = this.clock.now() + l.ttlMs;
  }

  #expire(): void {
    if (!this.outage) {
      for (const [id, { endsAt }] of [...this.leases]) {
        // It may end a little late, never early.
        if (endsAt + 50 <= this.clock.now()) this.endLease(id);
      }
    }
    this.#timer = this.clock.after(50, () => this.#expire());
  }

  openLease(ttlMs: number): number {
    this.leases.set(++this.#lease, { ttlMs, endsAt: this.clock.now() + ttlMs });
    return this.#lease;
  }

  renew(id: number): void {
    const lease = this.leases.get(id);
    if (lease === undefined) throw new NoLease("ended");
    lease.endsAt = this.clock.now() + lease.ttlMs;
  }

  endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const keys = [...this.rows].filter(([, row]) => row.lease === id).map(([key]) => key);
    if (keys.length > 0) this.#apply(keys.map((key) => ({ remove: key })));
  }

  transact(when: Condition[], then: Change[]): TxnResult {
    const size = JSON.stringify([when, then]).length;
    if (then.length > this.limits.ops) throw new Malformed(`transaction of ${then.length} changes`);
    if (when.length > this.limits.conditions) throw new Malformed("too many conditions");
    if (size > TXN_BYTES) throw new Malformed(`transaction of ${size} bytes`);
    for (const change of then) {
      if (!("put" in change)) continue;
      const bytes = JSON.stringify(change.value).length;
      if (bytes > this.limits.valueBytes) throw new Malformed(`${change.put}: ${bytes} bytes`);
      if (change.lease !== undefined && !this.leases.has(Number(change.lease))) {
        throw new NoLease("no such lease");
      }
    }
    const failed = when
      .filter(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { ok: false, failed, revision: this.revision };
    if (then.length > 0) this.#apply(then);
    return { ok: true, revision: this.revision };
  }

  #apply(changes: Change[]): void {
    const version = ++this.revision;
    for (const change of changes) {
      if ("put" in change) {
        const value = copy(change.value);
        const lease = change.lease === undefined ? null : Number(change.lease);
        this.rows.set(change.put, { value, version, lease });
        this.log.push({ key: change.put, value, version, deleted: false });
      } else {
        this.rows.delete(change.remove);
        this.log.push({ key: change.remove, value: undefined, version, deleted: true });
      }
    }
    if (this.log.length > KEPT_EVENTS) this.log.splice(0, this.log.length - KEPT_EVENTS);
    const watchers = this.#watchers;
    this.#watchers = [];
    for (const { wake } of watchers) wake();
  }

  /** Rows under a prefix, in order of their keys, beginning after one. */
  list(prefix: string, after: string, most: number): { rows: [string, StateRow][]; more: boolean } {
    const all = [...this.rows]
      .filter(([key]) => key.startsWith(prefix) && key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    return { rows: all.slice(0, most), more: all.length > most };
  }

  changes(prefix: string, after: number): Event[] | null {
    const oldest = this.log[0]?.version ?? 0;
    if (this.log.length >= KEPT_EVENTS && after < oldest - 1) return null;
    return this.log.filter(({ key, version }) => version > after && key.startsWith(prefix));
  }

  /** Resolves with the next change of anything, or when the time is over. */
  changed(prefix: string, waitMs: number): Promise<void> {
    return new Promise((wake) => {
      const timer = this.clock.after(waitMs, wake);
      this.#watchers.push({
        prefix,
        wake: () => {
          timer.cancel();
          wake();
        },
      });
    });
  }
}
