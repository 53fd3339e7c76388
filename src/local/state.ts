import type { Clock, Timer } from "../clock.js";
import {
  type Change,
  type Condition,
  type Event,
  NoLease,
  type TxnResult,
} from "../state/store.js";

/** Limits of a transaction and of a value (PROTOCOL, "Controller nodes -> state service"). */
export interface StateLimits {
  ops: number;
  conditions: number;
  valueBytes: number;
}

/** Thrown for a request that PROTOCOL answers with 400. */
export class Malformed extends Error {}

export interface StateRow {
  value: unknown;
  version: number;
  lease: number | null;
}

const copy = <T>(value: T): T => structuredClone(value);
/** Size of a value as PROTOCOL counts it: the length of its JSON. */
export const jsonBytes = (value: unknown): number => JSON.stringify(value)?.length ?? 0;
const MAX_LIST_BYTES = 500 * 1024;
const MAX_LOG_EVENTS = 10_000;
const MAX_TRANSACTION_BYTES = 64 * 1024;

/** In-memory state service. `state-server.ts` serves it over HTTP; tests call it directly. */
export class StateService {
  readonly rows = new Map<string, StateRow>();
  /** All keys in order; null when it must be rebuilt from `rows`. */
  #sortedKeys: string[] | null = null;
  readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly log: Event[] = [];
  revision = 0;
  outage = false;
  #lastLeaseId = 0;
  #watchers: { prefix: string; wake: () => void }[] = [];
  #expiryTimer: Timer | null = null;

  constructor(
    readonly clock: Clock,
    public limits: StateLimits,
  ) {
    this.#expireLeases();
  }

  stop(): void {
    this.#expiryTimer?.cancel();
    for (const { wake } of this.#watchers) wake();
    this.#watchers = [];
  }

  setOutage(on: boolean): void {
    this.outage = on;
    // At the end of an outage, every lease starts its full time again.
    if (!on) for (const held of this.leases.values()) held.endsAt = this.clock.now() + held.ttlMs;
  }

  #expireLeases(): void {
    if (!this.outage) {
      for (const [id, { endsAt }] of [...this.leases]) {
        // A lease may end slightly late, but never early.
        if (endsAt + 50 <= this.clock.now()) this.endLease(id);
      }
    }
    this.#expiryTimer = this.clock.after(50, () => this.#expireLeases());
  }

  openLease(ttlMs: number): number {
    this.leases.set(++this.#lastLeaseId, { ttlMs, endsAt: this.clock.now() + ttlMs });
    return this.#lastLeaseId;
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
    if (then.length > this.limits.ops)
      throw new Malformed(`transaction has ${then.length} changes, more than allowed`);
    if (when.length > this.limits.conditions)
      throw new Malformed("transaction has more conditions than allowed");
    if (size > MAX_TRANSACTION_BYTES)
      throw new Malformed(`transaction has ${size} bytes, more than allowed`);
    for (const change of then) {
      if (!("put" in change)) continue;
      const bytes = JSON.stringify(change.value).length;
      if (bytes > this.limits.valueBytes)
        throw new Malformed(`${change.put}: value has ${bytes} bytes, more than allowed`);
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
        if (this.rows.delete(change.remove))
          this.#sortedKeys?.splice(this.#lowerBound(change.remove), 1);
        this.log.push({ key: change.remove, value: undefined, version, deleted: true });
      }
    }
    if (this.log.length > MAX_LOG_EVENTS) this.log.splice(0, this.log.length - MAX_LOG_EVENTS);
    const watchers = this.#watchers;
    this.#watchers = [];
    for (const { wake } of watchers) wake();
  }

  /** Index of the first key that is not less than `key`. */
  #lowerBound(key: string): number {
    this.#sortedKeys ??= [...this.rows.keys()].sort();
    let from = 0;
    let to = this.#sortedKeys.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.#sortedKeys[middle]! < key) from = middle + 1;
      else to = middle;
    }
    return from;
  }

  #insert(key: string): void {
    const at = this.#lowerBound(key);
    if (this.#sortedKeys![at] !== key) this.#sortedKeys!.splice(at, 0, key);
  }

  /** Stores rows as they are, without events, such as those of a long-running deployment. */
  fill(rows: Iterable<[key: string, row: StateRow]>): void {
    for (const [key, row] of rows) {
      this.rows.set(key, row);
      this.revision = Math.max(this.revision, row.version);
    }
    this.#sortedKeys = null;
  }

  /** Rows under a prefix, in key order, starting after the key `after`. */
  list(
    prefix: string,
    after: string,
    maxRows: number,
  ): { rows: [string, StateRow][]; more: boolean } {
    let at = this.#lowerBound(after < prefix ? prefix : after);
    const order = this.#sortedKeys!;
    if (order[at] === after) at++;
    const rows: [string, StateRow][] = [];
    let bytes = 0;
    for (; at < order.length && order[at]!.startsWith(prefix); at++) {
      // A response holds at most `maxRows` rows and 512 KiB; `MAX_LIST_BYTES` leaves a margin.
      if (rows.length >= maxRows || bytes > MAX_LIST_BYTES) return { rows, more: true };
      const row = this.rows.get(order[at]!)!;
      if (MAX_LIST_BYTES < maxRows * this.limits.valueBytes) bytes += jsonBytes(row.value);
      rows.push([order[at]!, row]);
    }
    return { rows, more: false };
  }

  changes(prefix: string, after: number): Event[] | null {
    const oldest = this.log[0]?.version ?? 0;
    if (this.log.length >= MAX_LOG_EVENTS && after < oldest - 1) return null;
    const found: Event[] = [];
    // Searches backwards: the newest events are last, and most callers need only a few of them.
    for (let at = this.log.length - 1; at >= 0; at--) {
      const event = this.log[at]!;
      if (event.version <= after) break;
      if (event.key.startsWith(prefix)) found.push(event);
    }
    return found.reverse();
  }

  /** Resolves at the next change of any key, or after `waitMs`. */
  waitForChange(prefix: string, waitMs: number): Promise<void> {
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
