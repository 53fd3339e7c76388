import type { Clock } from "../clock.js";
import { type Answer, type HttpClient, NoAnswer } from "../http/client.js";
import * as wire from "../wire/store.js";
import { RateLimiter } from "./rate-limiter.js";
import { RecordValidator } from "./record-validator.js";

export type { Change, Condition, Event, Page, Row } from "../wire/store.js";

/** The request was certainly not executed: the service is unavailable, or a rate limit was hit. */
export class Refused extends Error {}
/** The service's rate limit for all controllers together was exceeded. */
export class Busy extends Refused {}
/** The service rejected the request as invalid: not executed, and a retry would not help. */
export class Rejected extends Refused {}
/** The transaction was not sent: one of its records is invalid (`RecordValidator`). */
export class Unwritable extends Rejected {}
/** The service's answer could not be parsed. */
export class Garbled extends Error {}
/** The lease no longer exists in the service. */
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
  /** Size limit where the store already has a value that large, until the service rejects it. */
  wideBytes?: number;
}

/** The state service's limits in the settings. */
export interface StateSettings {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
  next?: { rps?: number; write_rps?: number; value_kb?: number; txn_ops?: number };
}

/** The lower of the present and the coming limits, since the time of the change is not announced. */
export function storeLimits({ next = {}, ...present }: StateSettings): StoreLimits {
  const lowerOf = (name: "rps" | "write_rps" | "value_kb" | "txn_ops"): number =>
    Math.min(present[name], next[name] ?? present[name]);
  return {
    rps: lowerOf("rps"),
    writeRps: lowerOf("write_rps"),
    ops: lowerOf("txn_ops"),
    conditions: lowerOf("txn_ops") * 4,
    valueBytes: lowerOf("value_kb") * 1024,
    txnBytes: 48 * 1024,
    wideBytes: present.value_kb * 1024,
  };
}

/** The operations of the state service that this program uses; tests have one in memory. */
export interface Store {
  readonly limits: StoreLimits;
  readonly writes: RateLimiter;
  /** Validates every record before it is written. */
  readonly writable: RecordValidator;
  /** Sets how many controllers share the service's limits now. */
  divide(controllers: number): void;
  get(key: string): Promise<wire.Row | null>;
  list(prefix: string): Promise<{ rows: wire.Row[]; revision: number }>;
  /** Up to `most` rows (limited to 1,000 rows and 512 KiB) in key order, all at one revision. */
  page(prefix: string, after: string | null, most: number): Promise<wire.Page>;
  transact(when: wire.Condition[], then: wire.Change[]): Promise<TxnResult>;
  openLease(ttlMs: number): Promise<number | string>;
  renewLease(lease: number | string, timeoutMs: number): Promise<void>;
  /** Null when `after` is older than the service's log of changes: the keys must be read again. */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<{ revision: number; events: wire.Event[] } | null>;
}

/** @throws Unwritable for the first record that its own reader would reject */
export function assertWritable(validator: RecordValidator, then: readonly wire.Change[]): void {
  for (const change of then) {
    const reason = "put" in change ? validator.fault(change.put, change.value) : null;
    if (reason !== null)
      throw new Unwritable(
        `record ${(change as { put: string }).put} is invalid and is not written: ${reason}`,
      );
  }
}

export class StoreClient implements Store {
  readonly writes: RateLimiter;
  readonly #requestLimiter: RateLimiter;

  constructor(
    readonly http: HttpClient,
    readonly limits: StoreLimits,
    readonly clock: Clock,
    readonly timeoutMs: number,
    readonly writable = new RecordValidator(),
  ) {
    this.writes = new RateLimiter(limits.writeRps, limits.writeRps, clock);
    this.#requestLimiter = new RateLimiter(limits.rps, limits.rps, clock);
    this.divide(1);
  }

  divide(controllers: number): void {
    // A controller may use more than an equal share: the others are rarely busy at the same time,
    // and a request that the service refuses is not executed. A single controller may use the whole
    // rate. The service allows a burst of one second; a tenth is left for differing clocks.
    const share = Math.min(1, 1.5 / Math.max(1, controllers)) * 0.9;
    this.writes.change(this.limits.writeRps * share, this.limits.writeRps * share);
    this.#requestLimiter.change(this.limits.rps * share, this.limits.rps * share);
  }

  async #call(
    method: string,
    path: string,
    body?: unknown,
    timeoutMs = this.timeoutMs,
    urgent = false,
  ): Promise<Answer> {
    if (urgent) this.#requestLimiter.force(1);
    else if (!this.#requestLimiter.take(1, this.#requestLimiter.burst / 10))
      throw new Refused("this controller's share of the state service's request rate is used up");
    const answer = await this.http.call(method, path, body, timeoutMs);
    if (answer.status === 429) throw new Busy("429");
    if (answer.status === 503) throw new Refused("503");
    return answer;
  }

  async get(key: string): Promise<wire.Row | null> {
    const answer = await this.#call("GET", wire.paths.get(key));
    if (answer.status === 404) return null;
    const row = answer.status === 200 ? wire.parseRow(answer.body) : null;
    if (row === null)
      throw new Garbled(`get ${key}: unreadable answer with status ${answer.status}`);
    return row;
  }

  async list(prefix: string): Promise<{ rows: wire.Row[]; revision: number }> {
    const rows: wire.Row[] = [];
    let after: string | null = null;
    let revision = Number.POSITIVE_INFINITY;
    for (;;) {
      const page: wire.Page = await this.page(prefix, after, 1000);
      rows.push(...page.rows);
      // Pages are read at different revisions: a watch must start at the oldest.
      revision = Math.min(revision, page.revision);
      const last = page.rows.at(-1);
      if (!page.more || last === undefined) return { rows, revision };
      after = last.key;
    }
  }

  async page(prefix: string, after: string | null, most: number): Promise<wire.Page> {
    const answer = await this.#call("GET", wire.paths.list(prefix, after, most));
    const page = answer.status === 200 ? wire.parsePage(answer.body) : null;
    if (page === null)
      throw new Garbled(`list ${prefix}: unreadable answer with status ${answer.status}`);
    return page;
  }

  async transact(when: wire.Condition[], then: wire.Change[]): Promise<TxnResult> {
    assertWritable(this.writable, then);
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
        throw new NoLease("transaction rejected: the lease no longer exists");
      }
      throw new Rejected(`transaction rejected: ${JSON.stringify(answer.body)}`);
    }
    // With any other status the transaction may have been executed.
    throw new NoAnswer(`transaction: unexpected status ${answer.status}`);
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
    if (lease === null)
      throw new Garbled(`open lease: unreadable answer with status ${answer.status}`);
    return lease;
  }

  async renewLease(lease: number | string, timeoutMs: number): Promise<void> {
    const answer = await this.#call("POST", wire.paths.renew(lease), undefined, timeoutMs, true);
    if (answer.status === 404) throw new NoLease("lease not renewed: it no longer exists");
    if (answer.status !== 200) throw new Garbled(`renew lease: unexpected status ${answer.status}`);
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
    const changes = answer.status === 200 ? wire.parseEvents(answer.body) : null;
    if (changes === null)
      throw new Garbled(`watch: unreadable answer with status ${answer.status}`);
    return changes;
  }
}
