import { type Clock, sleep } from "../../src/clock.js";
import { coreRecordValidator } from "../../src/controller/record-kinds.js";
import { NoAnswer } from "../../src/http/client.js";
import { StateService as FakeState, Malformed } from "../../src/local/state.js";
import { RateLimiter } from "../../src/state/rate-limiter.js";
import {
  assertWritable,
  type Change,
  type Condition,
  type Event,
  NoLease,
  type Page,
  Refused,
  Rejected,
  type Row,
  type Store,
  type StoreLimits,
  type TxnResult,
} from "../../src/state/store.js";
import { FakeClock } from "./clock.js";
import { LIMITS } from "./common.js";
import { Random } from "./random.js";

export { FakeState };

const copy = <T>(value: T): T => structuredClone(value);
/** One controller's connection to the state service, with the faults that it may have. */
export class FakeStore implements Store {
  readonly writes: RateLimiter;
  writable = coreRecordValidator((key, why) => {
    throw new Error(`${key}: ${why}`);
  });
  /** Nothing comes back, though what was sent may be applied, at once or late. */
  cut = false;
  /** 503 for this controller alone. */
  refused = false;
  /** The share of transactions whose answer is lost, half of them applied late. */
  loss = 0;
  /** The share of transactions that are carried out at once, and only their answer is lost. */
  unheard = 0;
  /** Planted faults: see `Sabotage`. */
  emptyWatches = false;
  staleReads = false;
  /** What the service found fault with: 400. */
  readonly rejected: string[] = [];

  constructor(
    readonly state: FakeState,
    readonly clock: Clock,
    readonly random: Random,
    public limits: StoreLimits,
    readonly timeoutMs: number,
    /** What is on its way goes on while the controller stands still. */
    readonly way: Clock = clock,
  ) {
    this.writes = new RateLimiter(limits.writeRps, limits.writeRps, clock);
  }

  /** How much longer every answer takes, at most, milliseconds. */
  slowMs = 0;

  divide(): void {}

  async #exchange<T>(run: () => T): Promise<T> {
    await sleep(this.way, this.random.int(1, 8) + this.random.int(0, this.slowMs));
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

  async list(prefix: string): Promise<{ rows: Row[]; revision: number }> {
    const rows: Row[] = [];
    let first = Number.POSITIVE_INFINITY;
    for (let after: string | null = null; ; ) {
      const page: Page = await this.page(prefix, after, 1000);
      first = Math.min(first, page.revision);
      rows.push(...page.rows);
      after = page.rows.at(-1)?.key ?? null;
      if (!page.more || after === null) return { rows, revision: first };
    }
  }

  page(prefix: string, after: string | null, most: number): Promise<Page> {
    return this.#exchange(() => {
      const { rows, more } = this.state.list(prefix, after ?? "", most);
      return {
        rows: rows.map(([key, { value, version }]) => ({ key, value: copy(value), version })),
        more,
        revision: this.state.revision,
      };
    });
  }

  async transact(when: Condition[], then: Change[]): Promise<TxnResult> {
    assertWritable(this.writable, then);
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
    const heard = this.unheard === 0 || !this.random.chance(this.unheard);
    const result = await this.#exchange(() => {
      try {
        return this.state.transact(when, then);
      } catch (error) {
        if (!(error instanceof Malformed)) throw error;
        this.rejected.push(error.message);
        throw new Rejected(error.message);
      }
    });
    if (heard) return result;
    await sleep(this.clock, this.timeoutMs);
    throw new NoAnswer("answer lost");
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
    if (this.emptyWatches && (this.cut || this.refused || this.state.outage)) {
      await sleep(this.clock, 500);
      return { revision: after, events: [] };
    }
    if (this.staleReads && waitMs === 0) return { revision: after, events: [] };
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

/** A state service with one connection to it. */
export function service(seed = 1, limits: StoreLimits = LIMITS) {
  const clock = new FakeClock();
  const state = new FakeState(clock, limits);
  const store = new FakeStore(state, clock, new Random(seed), limits, 2000);
  return { clock, state, store };
}
