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
/** Bytes of a value as PROTOCOL counts them: those of its JSON. */
export const sizeOf = (value: unknown): number => JSON.stringify(value)?.length ?? 0;
const LIST_BYTES = 500 * 1024;
const KEPT_EVENTS = 10_000;
const TXN_BYTES = 64 * 1024;

/** The state service, in memory: what `server.ts` puts on a socket, and tests call as it is. */
export class StateService {
  readonly rows = new Map<string, StateRow>();
  /** All keys in order; null when rows were changed from outside. */
  #order: string[] | null = null;
  readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly log: Event[] = [];
  revision = 0;
  outage = false;
  #lease = 0;
  #watchers: { prefix: string; wake: () => void }[] = [];
  #timer: Timer | null = null;

  constructor(
    readonly clock: Clock,
    public limits: StateLimits,
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
        if (!this.rows.has(change.put)) this.#insert(change.put);
        const value = copy(change.value);
        const lease = change.lease === undefined ? null : Number(change.lease);
        this.rows.set(change.put, { value, version, lease });
        this.log.push({ key: change.put, value, version, deleted: false });
      } else {
        if (this.rows.delete(change.remove)) this.#order?.splice(this.#place(change.remove), 1);
        this.log.push({ key: change.remove, value: undefined, version, deleted: true });
      }
    }
    if (this.log.length > KEPT_EVENTS) this.log.splice(0, this.log.length - KEPT_EVENTS);
    const watchers = this.#watchers;
    this.#watchers = [];
    for (const { wake } of watchers) wake();
  }

  /** The place of the first key that is not before one. */
  #place(key: string): number {
    this.#order ??= [...this.rows.keys()].sort();
    let from = 0;
    let to = this.#order.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.#order[middle]! < key) from = middle + 1;
      else to = middle;
    }
    return from;
  }

  #insert(key: string): void {
    const at = this.#place(key);
    if (this.#order![at] !== key) this.#order!.splice(at, 0, key);
  }

  /** Puts rows there as they are, such as those of a deployment that has run for long. */
  fill(rows: Iterable<[key: string, row: StateRow]>): void {
    for (const [key, row] of rows) {
      this.rows.set(key, row);
      this.revision = Math.max(this.revision, row.version);
    }
    this.#order = null;
  }

  /** Rows under a prefix, in order of their keys, beginning after one. */
  list(prefix: string, after: string, most: number): { rows: [string, StateRow][]; more: boolean } {
    let at = this.#place(after < prefix ? prefix : after);
    const order = this.#order!;
    if (order[at] === after) at++;
    const rows: [string, StateRow][] = [];
    let bytes = 0;
    for (; at < order.length && order[at]!.startsWith(prefix); at++) {
      // A response holds no more than so many rows, and 512 KiB.
      if (rows.length >= most || bytes > LIST_BYTES) return { rows, more: true };
      const row = this.rows.get(order[at]!)!;
      if (LIST_BYTES < most * this.limits.valueBytes) bytes += sizeOf(row.value);
      rows.push([order[at]!, row]);
    }
    return { rows, more: false };
  }

  changes(prefix: string, after: number): Event[] | null {
    const oldest = this.log[0]?.version ?? 0;
    if (this.log.length >= KEPT_EVENTS && after < oldest - 1) return null;
    const found: Event[] = [];
    // The newest are at the end, and most who ask have seen nearly all of them.
    for (let at = this.log.length - 1; at >= 0; at--) {
      const event = this.log[at]!;
      if (event.version <= after) break;
      if (event.key.startsWith(prefix)) found.push(event);
    }
    return found.reverse();
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
