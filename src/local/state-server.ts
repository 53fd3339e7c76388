import { type Clock, sleep } from "../clock.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { type Change, type Condition, NoLease } from "../state/store.js";
import { isMap } from "../wire/cbor.js";
import { type Asked, type Given, Service } from "./serve.js";
import { Malformed, type StateService, sizeOf } from "./state.js";

const no = (status: number, error?: string): Given => ({
  status,
  ...(error === undefined ? {} : { body: { error } }),
  ...(status === 429 || status === 503 ? { retryAfterS: 1 } : {}),
});

/** What a state service has been asked for since it began. */
export interface StateUse {
  requests: number;
  /** Puts and deletes that were applied, and their bytes as JSON. */
  changes: number;
  bytesWritten: number;
  /** Requests answered 429, by the limit that they met. */
  refusedRequests: number;
  refusedChanges: number;
  /** Transactions whose conditions failed. */
  conflicts: number;
}

/** The state service on a socket, with its limits of requests and changes a second. */
export class StateServer extends Service {
  readonly use: StateUse = {
    requests: 0,
    changes: 0,
    bytesWritten: 0,
    refusedRequests: 0,
    refusedChanges: 0,
    conflicts: 0,
  };
  /** The share of transactions that are executed and never answered; half of them late. */
  loss = 0;
  readonly #requests: RateLimiter;
  readonly #writes: RateLimiter;

  constructor(
    readonly state: StateService,
    readonly clock: Clock,
    limits: { rps: number; writeRps: number },
    readonly random: () => number,
    latencyMs?: () => number,
  ) {
    super((asked) => this.#answer(asked), latencyMs);
    this.#requests = new RateLimiter(limits.rps, limits.rps, clock);
    this.#writes = new RateLimiter(limits.writeRps, limits.writeRps, clock);
  }

  async #answer(asked: Asked): Promise<Given | null> {
    const { method, path } = asked;
    if (this.state.outage) return no(503);
    this.use.requests++;
    if (!this.#requests.take(1)) {
      this.use.refusedRequests++;
      return no(429);
    }
    try {
      if (method === "GET" && path === "/kv") return this.#list(asked);
      if (method === "GET" && path.startsWith("/kv/")) return this.#get(path.slice(4));
      if (method === "POST" && path === "/multi") return await this.#transact(asked.body);
      if (method === "GET" && path === "/watch") return await this.#watch(asked);
      if (path.startsWith("/holds")) return this.#leases(method, path, asked.body);
      return no(400, "unknown path");
    } catch (error) {
      if (error instanceof NoLease) return no(400, "no such lease");
      if (error instanceof Malformed) return no(400, error.message);
      throw error;
    }
  }

  #get(key: string): Given {
    const row = this.state.rows.get(key);
    if (row === undefined) return { status: 404, body: { ledgerRev: this.state.revision } };
    const { value: data, version: stamp, lease: tenancy } = row;
    return { status: 200, body: { path: key, data, stamp, tenancy } };
  }

  #list({ query }: Asked): Given {
    const most = Math.min(1000, Number(query.get("most") ?? 1000));
    const { rows, more } = this.state.list(
      query.get("under") ?? "",
      query.get("after") ?? "",
      most,
    );
    const listed = rows.map(([path, { value, version }]) => ({
      path,
      data: value,
      stamp: version,
    }));
    return { status: 200, body: { rows: listed, more, ledgerRev: this.state.revision } };
  }

  async #transact(body: unknown): Promise<Given | null> {
    if (!isMap(body)) throw new Malformed("not a map");
    const when = ((body.when ?? []) as Record<string, unknown>[]).map(
      ({ path, stamp }): Condition => ({ key: String(path), version: Number(stamp) }),
    );
    const then = ((body.then ?? []) as Record<string, unknown>[]).map((change): Change => {
      if (typeof change.delete === "string") return { remove: change.delete };
      if (typeof change.write !== "string") throw new Malformed("then: neither write nor delete");
      const lease = change.tenancy == null ? {} : { lease: Number(change.tenancy) };
      return { put: change.write, value: change.data, ...lease };
    });
    if (then.length > 0 && !this.#writes.take(then.length)) {
      this.use.refusedChanges++;
      return no(429);
    }
    if (this.random() < this.loss) {
      // Whoever asked hears nothing; it is applied all the same, at once or some seconds later.
      await sleep(this.clock, this.random() < 0.5 ? 0 : this.random() * 8000);
      if (!this.state.outage) this.state.transact(when, then);
      return null;
    }
    const result = this.state.transact(when, then);
    const { revision } = result;
    if (result.ok) {
      this.#count(then);
      return { status: 200, body: { ledgerRev: revision } };
    }
    this.use.conflicts++;
    return { status: 409, body: { failed: result.failed, ledgerRev: revision } };
  }

  #count(changes: readonly Change[]): void {
    this.use.changes += changes.length;
    for (const change of changes) {
      if ("put" in change) this.use.bytesWritten += sizeOf(change.value);
    }
  }

  async #watch({ query }: Asked): Promise<Given> {
    const prefix = query.get("under") ?? "";
    const after = Number(query.get("after") ?? 0);
    const until = this.clock.now() + Math.min(60_000, Number(query.get("blockMs") ?? 0));
    for (;;) {
      const log = this.state.changes(prefix, after);
      if (log === null) return no(410);
      const left = until - this.clock.now();
      if (!this.state.outage && (log.length > 0 || left <= 0)) {
        const events = log.map(({ key, value, version, deleted }) =>
          deleted ? { delete: key, stamp: version } : { write: key, data: value, stamp: version },
        );
        return { status: 200, body: { ledgerRev: this.state.revision, log: events } };
      }
      // Open watches remain open through an outage.
      await this.state.changed(prefix, Math.max(20, Math.min(left, 1000)));
    }
  }

  #leases(method: string, path: string, body: unknown): Given {
    const [, , id, verb] = path.split("/");
    if (method === "POST" && id === undefined) {
      const ttlMs = isMap(body) ? Number(body.ttlMs) : Number.NaN;
      if (!(ttlMs >= 100 && ttlMs <= 600_000)) throw new Malformed("ttlMs: 100 to 600000");
      return { status: 200, body: { tenancy: this.state.openLease(ttlMs) } };
    }
    if (!this.state.leases.has(Number(id))) return no(404);
    if (method === "POST" && verb === "extend") this.state.renew(Number(id));
    else if (method === "DELETE") this.state.endLease(Number(id));
    return { status: 200, body: {} };
  }
}
