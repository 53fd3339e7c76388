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
/** One controller's connection to the state service, with faults that tests can switch on. */
export class FakeStore implements Store {
  readonly writes: RateLimiter;
  writable = coreRecordValidator((key, why) => {
    throw new Error(`${key}: ${why}`);
  });
  /** No answers arrive; a request already sent may still be applied. */
  disconnected = false;
  /** The service answers 503 to this controller only. */
  unavailable = false;
  /** Share of transactions whose answer is lost: half are applied at once, half up to 20 s late. */
  lostTransactionShare = 0;
  /** Share of transactions that are applied normally and only lose their answer. */
  lostAnswerShare = 0;
  /** Deliberate faults; see `Sabotage`. */
  emptyWatches = false;
  staleReads = false;
  /** Messages of transactions that the service rejected as invalid (400). */
  readonly rejectionMessages: string[] = [];

  constructor(
    readonly state: FakeState,
    readonly clock: Clock,
    readonly random: Random,
    public limits: StoreLimits,
    readonly timeoutMs: number,
    /** Clock of requests in flight: it goes on while the controller's process is paused. */
    readonly networkClock: Clock = clock,
  ) {
    this.writes = new RateLimiter(limits.writeRps, limits.writeRps, clock);
  }

  /** Largest random extra delay of an answer, milliseconds. */
  maxExtraDelayMs = 0;

  divide(): void {}

  async #exchange<T>(run: () => T): Promise<T> {
    await sleep(
      this.networkClock,
      this.random.int(1, 8) + this.random.int(0, this.maxExtraDelayMs),
    );
    if (this.disconnected) {
      await sleep(this.clock, this.timeoutMs);
      throw new NoAnswer("cut");
    }
    if (this.unavailable || this.state.outage) throw new Refused("503");
    const result = run();
    await sleep(this.clock, this.random.int(1, 8));
    if (this.disconnected) {
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
    let oldestRevision = Number.POSITIVE_INFINITY;
    for (let after: string | null = null; ; ) {
      const page: Page = await this.page(prefix, after, 1000);
      oldestRevision = Math.min(oldestRevision, page.revision);
      rows.push(...page.rows);
      after = page.rows.at(-1)?.key ?? null;
      if (!page.more || after === null) return { rows, revision: oldestRevision };
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
    if (this.random.chance(this.lostTransactionShare)) {
      const delayMs = this.random.int(0, 1) * this.random.int(0, 20_000);
      const sent = copy({ when, then });
      this.clock.after(delayMs, () => {
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
    const answered = this.lostAnswerShare === 0 || !this.random.chance(this.lostAnswerShare);
    const result = await this.#exchange(() => {
      try {
        return this.state.transact(when, then);
      } catch (error) {
        if (!(error instanceof Malformed)) throw error;
        this.rejectionMessages.push(error.message);
        throw new Rejected(error.message);
      }
    });
    if (answered) return result;
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
    if (this.emptyWatches && (this.disconnected || this.unavailable || this.state.outage)) {
      await sleep(this.clock, 500);
      return { revision: after, events: [] };
    }
    if (this.staleReads && waitMs === 0) return { revision: after, events: [] };
    const changes = await this.#exchange(() => this.state.changes(prefix, after));
    if (changes === null) return null;
    if (changes.length === 0) await this.state.waitForChange(prefix, waitMs);
    // A watch that is already open stays open during an outage.
    while (this.state.outage || this.unavailable) await sleep(this.clock, 100);
    return this.#exchange(() => {
      const events = this.state.changes(prefix, after);
      return events === null ? null : { revision: this.state.revision, events: copy(events) };
    });
  }
}

/** A simulated state service with one connection to it. */
export function fakeStateService(seed = 1, limits: StoreLimits = LIMITS) {
  const clock = new FakeClock();
  const state = new FakeState(clock, limits);
  const store = new FakeStore(state, clock, new Random(seed), limits, 2000);
  return { clock, state, store };
}
