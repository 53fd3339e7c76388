import type { Clock } from "../clock.js";
import { type Answer, type HttpClient, NoAnswer } from "../http/client.js";
import * as wire from "../wire/store.js";
import { RateLimiter } from "./rate-limiter.js";
import { RecordValidator } from "./record-validator.js";

export type { Change, Condition, Event, Page, Row } from "../wire/store.js";

/** Certainly not executed: an outage, or over a rate limit. */
export class Refused extends Error {}
/** Over the rate that the service allows for all together. */
export class Busy extends Refused {}
/** Not executed and never will be: the service finds fault with it. */
export class Rejected extends Refused {}
/** Not sent: one of its records could not be read back (`RecordValidator`). */
export class Unwritable extends Rejected {}
/** The service answered with something this program does not understand. */
export class Garbled extends Error {}
/** Our lease is no longer there. */
export class NoLease extends Error {}

export type TxnResult =
  | { ok: true; revision: number }
  | { ok: false; failed: string[]; revision: number };

export interface StoreLimits {
  /** The service's limits, for all controllers together. */
  rps: number;
  writeRps: number;
  ops: number;
  conditions: number;
  valueBytes: number;
  txnBytes: number;
  /** How large a value may still be where one as large is there already; until the service says no. */
  wideBytes?: number;
}

/** What settings say of the state service, as far as limits go. */
export interface StateSettings {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
  next?: { rps?: number; write_rps?: number; value_kb?: number; txn_ops?: number };
}

/** The smaller of the limits that hold now and of those that will: nobody is told when they change. */
export function storeLimits({ next = {}, ...now }: StateSettings): StoreLimits {
  const least = (name: "rps" | "write_rps" | "value_kb" | "txn_ops"): number =>
    Math.min(now[name], next[name] ?? now[name]);
  return {
    rps: least("rps"),
    writeRps: least("write_rps"),
    ops: least("txn_ops"),
    conditions: least("txn_ops") * 4,
    valueBytes: least("value_kb") * 1024,
    txnBytes: 48 * 1024,
    wideBytes: now.value_kb * 1024,
  };
}

/** What the rest of the program needs of the state service; tests have one in memory. */
export interface Store {
  readonly limits: StoreLimits;
  readonly writes: RateLimiter;
  /** What every record has to pass before it is written. */
  readonly writable: RecordValidator;
  /** Says how many controllers share the service's limits now. */
  divide(controllers: number): void;
  get(key: string): Promise<wire.Row | null>;
  list(prefix: string): Promise<{ rows: wire.Row[]; revision: number }>;
  /** Up to `most` rows (1,000 and 512 KiB at the most) in order of keys, as they were at one revision. */
  page(prefix: string, after: string | null, most: number): Promise<wire.Page>;
  transact(when: wire.Condition[], then: wire.Change[]): Promise<TxnResult>;
  openLease(ttlMs: number): Promise<number | string>;
  renewLease(lease: number | string, timeoutMs: number): Promise<void>;
  /** `null` when `after` is too old and the keys must be read again. */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<{ revision: number; events: wire.Event[] } | null>;
}

/** @throws Unwritable for the first record that its own reader would refuse */
export function mustPass(writable: RecordValidator, then: readonly wire.Change[]): void {
  for (const change of then) {
    const why = "put" in change ? writable.fault(change.put, change.value) : null;
    if (why !== null) throw new Unwritable(`${(change as { put: string }).put}: ${why}`);
  }
}

export class StoreClient implements Store {
  readonly writes: RateLimiter;
  readonly #requests: RateLimiter;

  constructor(
    readonly http: HttpClient,
    readonly limits: StoreLimits,
    readonly clock: Clock,
    readonly timeoutMs: number,
    readonly writable = new RecordValidator(),
  ) {
    this.writes = new RateLimiter(limits.writeRps, limits.writeRps, clock);
    this.#requests = new RateLimiter(limits.rps, limits.rps, clock);
    this.divide(1);
  }

  divide(controllers: number): void {
    // A controller may use more than its even part: the others are rarely busy at the same moment,
    // and what the service refuses is not executed. One that is alone may use all of it. The
    // service allows one second's worth at once; a tenth is left for clocks that differ.
    const part = Math.min(1, 1.5 / Math.max(1, controllers)) * 0.9;
    this.writes.change(this.limits.writeRps * part, this.limits.writeRps * part);
    this.#requests.change(this.limits.rps * part, this.limits.rps * part);
  }

  async #call(
    method: string,
    path: string,
    body?: unknown,
    timeoutMs = this.timeoutMs,
    urgent = false,
  ): Promise<Answer> {
    if (urgent) this.#requests.force(1);
    else if (!this.#requests.take(1, this.#requests.burst / 10))
      throw new Refused("own rate limit");
    const answer = await this.http.call(method, path, body, timeoutMs);
    if (answer.status === 429) throw new Busy("429");
    if (answer.status === 503) throw new Refused("503");
    return answer;
  }

  async get(key: string): Promise<wire.Row | null> {
    const answer = await this.#call("GET", wire.paths.get(key));
    if (answer.status === 404) return null;
    const row = answer.status === 200 ? wire.parseRow(answer.body) : null;
    if (row === null) throw new Garbled(`get ${key}: ${answer.status}`);
    return row;
  }

  async list(prefix: string): Promise<{ rows: wire.Row[]; revision: number }> {
    const rows: wire.Row[] = [];
    let after: string | null = null;
    let revision = Number.POSITIVE_INFINITY;
    for (;;) {
      const page: wire.Page = await this.page(prefix, after, 1000);
      rows.push(...page.rows);
      // Pages are read at different revisions: a watch must start from the oldest.
      revision = Math.min(revision, page.revision);
      const last = page.rows.at(-1);
      if (!page.more || last === undefined) return { rows, revision };
      after = last.key;
    }
  }

  async page(prefix: string, after: string | null, most: number): Promise<wire.Page> {
    const answer = await this.#call("GET", wire.paths.list(prefix, after, most));
    const page = answer.status === 200 ? wire.parsePage(answer.body) : null;
    if (page === null) throw new Garbled(`list ${prefix}: ${answer.status}`);
    return page;
  }

  async transact(when: wire.Condition[], then: wire.Change[]): Promise<TxnResult> {
    mustPass(this.writable, then);
    const answer = await this.#call(
      "POST",
      wire.paths.transaction,
      wire.transactionBody(when, then),
    );
    const revision = wire.parseRevision(answer.body);
    if (answer.status === 200 && revision !== null) return { ok: true, revision };
    if (answer.status === 409 && revision !== null) {
      return { ok: false, failed: wire.parseFailed(answer.body), revision };
    }
    if (answer.status === 400) {
      if (then.some((change) => "put" in change && change.lease !== undefined)) {
        throw new NoLease("no such lease");
      }
      throw new Rejected(`transaction rejected: ${JSON.stringify(answer.body)}`);
    }
    // Some other status: nothing says that it was not executed.
    throw new NoAnswer(`transaction: ${answer.status}`);
  }

  async openLease(ttlMs: number): Promise<number | string> {
    const answer = await this.#call(
      "POST",
      wire.paths.leases,
      wire.leaseBody(Math.round(ttlMs)),
      this.timeoutMs,
      true,
    );
    const lease = answer.status === 200 ? wire.parseLease(answer.body) : null;
    if (lease === null) throw new Garbled(`lease: ${answer.status}`);
    return lease;
  }

  async renewLease(lease: number | string, timeoutMs: number): Promise<void> {
    const answer = await this.#call("POST", wire.paths.renew(lease), undefined, timeoutMs, true);
    if (answer.status === 404) throw new NoLease("lease ended");
    if (answer.status !== 200) throw new Garbled(`renew: ${answer.status}`);
  }

  async watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<{ revision: number; events: wire.Event[] } | null> {
    const answer = await this.#call(
      "GET",
      wire.paths.watch(prefix, after, waitMs),
      undefined,
      waitMs + this.timeoutMs,
      true,
    );
    if (answer.status === 410) return null;
    const seen = answer.status === 200 ? wire.parseEvents(answer.body) : null;
    if (seen === null) throw new Garbled(`watch: ${answer.status}`);
    return seen;
  }
}
