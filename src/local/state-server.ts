import { type Clock, sleep } from "../clock.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { type Change, type Condition, NoLease } from "../state/store.js";
import { isMap } from "../wire/cbor.js";
import { HttpService, type ServiceRequest, type ServiceResponse } from "./http-service.js";
import { jsonBytes, Malformed, type StateService } from "./state.js";

const errorResponse = (status: number, error?: string): ServiceResponse => ({
  status,
  ...(error === undefined ? {} : { body: { error } }),
  ...(status === 429 || status === 503 ? { retryAfterS: 1 } : {}),
});

/** Counters of a state service since it started. */
export interface StateUse {
  requests: number;
  /** Puts and deletes that were applied. */
  changes: number;
  /** Size of the values that were put, as JSON. */
  bytesWritten: number;
  /** Requests answered 429, by the limit they exceeded: requests or changes a second. */
  refusedRequests: number;
  refusedChanges: number;
  /** Transactions whose conditions failed. */
  conflicts: number;
}

/** Serves the state service over HTTP, with limits on requests and changes a second. */
export class StateServer extends HttpService {
  readonly use: StateUse = {
    requests: 0,
    changes: 0,
    bytesWritten: 0,
    refusedRequests: 0,
    refusedChanges: 0,
    conflicts: 0,
  };
  /** Share of transactions that are executed but not answered; half of these are executed late. */
  lostShare = 0;
  readonly #requestLimiter: RateLimiter;
  readonly #changeLimiter: RateLimiter;

  constructor(
    readonly state: StateService,
    readonly clock: Clock,
    limits: { rps: number; writeRps: number },
    readonly random: () => number,
    latencyMs?: () => number,
  ) {
    super((request) => this.#handle(request), latencyMs);
    this.#requestLimiter = new RateLimiter(limits.rps, limits.rps, clock);
    this.#changeLimiter = new RateLimiter(limits.writeRps, limits.writeRps, clock);
  }

  async #handle(request: ServiceRequest): Promise<ServiceResponse | null> {
    const { method, path } = request;
    if (this.state.outage) return errorResponse(503);
    this.use.requests++;
    if (!this.#requestLimiter.take(1)) {
      this.use.refusedRequests++;
      return errorResponse(429);
    }
    try {
      if (method === "GET" && path === "/kv") return this.#list(request);
      if (method === "GET" && path.startsWith("/kv/")) return this.#get(path.slice(4));
      if (method === "POST" && path === "/multi") return await this.#transact(request.body);
      if (method === "GET" && path === "/watch") return await this.#watch(request);
      if (path.startsWith("/holds")) return this.#leases(method, path, request.body);
      return errorResponse(400, "unknown path");
    } catch (error) {
      if (error instanceof NoLease) return errorResponse(400, "no such lease");
      if (error instanceof Malformed) return errorResponse(400, error.message);
      throw error;
    }
  }

  #get(key: string): ServiceResponse {
    const row = this.state.rows.get(key);
    if (row === undefined) return { status: 404, body: { ledgerRev: this.state.revision } };
    const { value: data, version: stamp, lease: tenancy } = row;
    return { status: 200, body: { path: key, data, stamp, tenancy } };
  }

  #list({ query }: ServiceRequest): ServiceResponse {
    const limit = Math.min(1000, Number(query.get("most") ?? 1000));
    const { rows, more } = this.state.list(
      query.get("under") ?? "",
      query.get("after") ?? "",
      limit,
    );
    const listed = rows.map(([path, { value, version }]) => ({
      path,
      data: value,
      stamp: version,
    }));
    return { status: 200, body: { rows: listed, more, ledgerRev: this.state.revision } };
  }

  async #transact(body: unknown): Promise<ServiceResponse | null> {
    if (!isMap(body)) throw new Malformed("the body must be a map");
    const when = ((body.when ?? []) as Record<string, unknown>[]).map(
      ({ path, stamp }): Condition => ({ key: String(path), version: Number(stamp) }),
    );
    const then = ((body.then ?? []) as Record<string, unknown>[]).map((change): Change => {
      if (typeof change.delete === "string") return { remove: change.delete };
      if (typeof change.write !== "string") throw new Malformed("then: neither write nor delete");
      const lease = change.tenancy == null ? {} : { lease: Number(change.tenancy) };
      return { put: change.write, value: change.data, ...lease };
    });
    if (then.length > 0 && !this.#changeLimiter.take(then.length)) {
      this.use.refusedChanges++;
      return errorResponse(429);
    }
    if (this.random() < this.lostShare) {
      // No answer is sent, but the transaction is applied, at once or up to 8 s later.
      await sleep(this.clock, this.random() < 0.5 ? 0 : this.random() * 8000);
      if (!this.state.outage) this.state.transact(when, then);
      return null;
    }
    const result = this.state.transact(when, then);
    const { revision } = result;
    if (result.ok) {
      this.#countWrites(then);
      return { status: 200, body: { ledgerRev: revision } };
    }
    this.use.conflicts++;
    return { status: 409, body: { failed: result.failed, ledgerRev: revision } };
  }

  #countWrites(changes: readonly Change[]): void {
    this.use.changes += changes.length;
    for (const change of changes) {
      if ("put" in change) this.use.bytesWritten += jsonBytes(change.value);
    }
  }

  async #watch({ query }: ServiceRequest): Promise<ServiceResponse> {
    const prefix = query.get("under") ?? "";
    const after = Number(query.get("after") ?? 0);
    const deadline = this.clock.now() + Math.min(60_000, Number(query.get("blockMs") ?? 0));
    for (;;) {
      const log = this.state.changes(prefix, after);
      if (log === null) return errorResponse(410);
      const remainingMs = deadline - this.clock.now();
      if (!this.state.outage && (log.length > 0 || remainingMs <= 0)) {
        const events = log.map(({ key, value, version, deleted }) =>
          deleted ? { delete: key, stamp: version } : { write: key, data: value, stamp: version },
        );
        return { status: 200, body: { ledgerRev: this.state.revision, log: events } };
      }
      // Watches that are open when an outage starts stay open through it.
      await this.state.waitForChange(prefix, Math.max(20, Math.min(remainingMs, 1000)));
    }
  }

  #leases(method: string, path: string, body: unknown): ServiceResponse {
    const [, , id, verb] = path.split("/");
    if (method === "POST" && id === undefined) {
      const ttlMs = isMap(body) ? Number(body.ttlMs) : Number.NaN;
      if (!(ttlMs >= 100 && ttlMs <= 600_000)) throw new Malformed("ttlMs: 100 to 600000");
      return { status: 200, body: { tenancy: this.state.openLease(ttlMs) } };
    }
    if (!this.state.leases.has(Number(id))) return errorResponse(404);
    if (method === "POST" && verb === "extend") this.state.renew(Number(id));
    else if (method === "DELETE") this.state.endLease(Number(id));
    return { status: 200, body: {} };
  }
}
