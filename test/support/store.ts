import { type Clock, sleep } from "../../src/clock.js";
import { NoAnswer } from "../../src/http/client.js";
import { Budget } from "../../src/state/budget.js";
import {
  type Change,
  type Condition,
  type Event,
  NoLease,
  Refused,
  type Row,
  type Store,
  type StoreLimits,
  type TxnResult,
} from "../../src/state/store.js";
import type { Random } from "./random.js";

const copy = <T>(value: T): T => structuredClone(value);
const KEPT_EVENTS = 10_000;

/** The state service, in memory. */
export class FakeState {
  readonly rows = new Map<string, { value: unknown; version: number; lease: number | null }>();
  readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly log: Event[] = [];
  revision = 0;
  outage = false;
  #lease = 0;
  #watchers: { prefix: string; wake: () => void }[] = [];

  constructor(
    readonly clock: Clock,
    readonly limits: StoreLimits,
  ) {
    this.#expire();
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
        if (endsAt + 50 > this.clock.now()) continue;
        this.leases.delete(id);
        const keys = [...this.rows].filter(([, row]) => row.lease === id).map(([key]) => key);
        if (keys.length > 0) this.#apply(keys.map((key) => ({ remove: key })));
      }
    }
    this.clock.after(50, () => this.#expire());
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

  transact(when: Condition[], then: Change[]): TxnResult {
    const size = JSON.stringify([when, then]).length;
    if (then.length > this.limits.ops) throw new Error(`transaction of ${then.length} changes`);
    if (when.length > this.limits.conditions) throw new Error("too many conditions");
    if (size > 64 * 1024) throw new Error(`transaction of ${size} bytes`);
    for (const change of then) {
      if (!("put" in change)) continue;
      const bytes = JSON.stringify(change.value).length;
      if (bytes > this.limits.valueBytes) throw new Error(`${change.put}: ${bytes} bytes`);
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

  changes(prefix: string, after: number): Event[] | null {
    const oldest = this.log[0]?.version ?? 0;
    if (this.log.length >= KEPT_EVENTS && after < oldest - 1) return null;
    return this.log.filter(({ key, version }) => version > after && key.startsWith(prefix));
  }

  changed(prefix: string, waitMs: number): Promise<void> {
    return new Promise((wake) => {
      this.#watchers.push({ prefix, wake });
      this.clock.after(waitMs, wake);
    });
  }
}

/** One controller's connection to the state service, with the faults that it may have. */
export class FakeStore implements Store {
  readonly writes: Budget;
  /** Nothing comes back, though what was sent may be applied, at once or late. */
  cut = false;
  /** 503 for this controller alone. */
  refused = false;
  /** The share of transactions whose answer is lost, half of them applied late. */
  loss = 0;

  constructor(
    readonly state: FakeState,
    readonly clock: Clock,
    readonly random: Random,
    readonly limits: StoreLimits,
    readonly timeoutMs: number,
  ) {
    this.writes = new Budget(limits.writeRps, limits.writeRps, clock);
  }

  divide(): void {}

  async #exchange<T>(run: () => T): Promise<T> {
    await sleep(this.clock, this.random.int(1, 8));
    if (this.cut) {
      await sleep(this.clock, this.timeoutMs);
      throw new NoAnswer("cut");
    }
    if (this.refused || this.state.outage) throw new Refused("503");
    const result = run();
    await sleep(this.clock, this.random.int(1, 8));
    if (this.cut) {
      await sleep(this.clock, this.timeoutMs);
      throw new NoAnswer("cut");
    }
    return result;
  }

  get(key: string): Promise<Row | null> {
    return this.#exchange(() => {
      const row = this.state.rows.get(key);
      return row === undefined ? null : { key, value: copy(row.value), version: row.version };
    });
  }

  list(prefix: string): Promise<{ rows: Row[]; revision: number }> {
    return this.#exchange(() => {
      const rows = [...this.state.rows]
        .filter(([key]) => key.startsWith(prefix))
        .map(([key, { value, version }]) => ({ key, value: copy(value), version }))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return { rows, revision: this.state.revision };
    });
  }

  async transact(when: Condition[], then: Change[]): Promise<TxnResult> {
    if (this.random.chance(this.loss)) {
      const late = this.random.int(0, 1) * this.random.int(0, 20_000);
      const sent = copy({ when, then });
      this.clock.after(late, () => {
        if (this.state.outage) return;
        try {
          this.state.transact(sent.when, sent.then);
        } catch (error) {
          if (!(error instanceof NoLease)) throw error;
        }
      });
      await sleep(this.clock, this.timeoutMs);
      throw new NoAnswer("answer lost");
    }
    return this.#exchange(() => this.state.transact(when, then));
  }

  openLease(ttlMs: number): Promise<number> {
    return this.#exchange(() => this.state.openLease(ttlMs));
  }

  renewLease(lease: number | string): Promise<void> {
    return this.#exchange(() => this.state.renew(Number(lease)));
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<{ revision: number; events: Event[] } | null> {
    const seen = await this.#exchange(() => this.state.changes(prefix, after));
    if (seen === null) return null;
    if (seen.length === 0) await this.state.changed(prefix, waitMs);
    // Open watches remain open through an outage.
    while (this.state.outage || this.refused) await sleep(this.clock, 100);
    return this.#exchange(() => {
      const events = this.state.changes(prefix, after);
      return events === null ? null : { revision: this.state.revision, events: copy(events) };
    });
  }
}
