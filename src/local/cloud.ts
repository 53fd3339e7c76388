import type { Clock, Timer } from "../clock.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { isMap } from "../wire/cbor.js";
import { HttpService, type ServiceRequest, type ServiceResponse } from "./http-service.js";

export interface CloudType {
  name: string;
  cores: number;
  accelerators: number;
  memGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  rate: number;
  spotPrice: number;
  bootS: number;
  berths: string[];
}

export interface Host {
  uid: string;
  build: string;
  berth: string;
  borrowed: boolean;
  status: "starting" | "running" | "failed";
  rentedAt: number;
}

/** Called when a host changes state; the receiver starts and stops the host's worker. */
export interface HostEvents {
  up(host: Host, type: CloudType): void;
  terminationNotice(uid: string, warningS: number): void;
  gone(uid: string): void;
}

interface HostListing {
  at: number;
  hosts: (Host & { address: string; heldS: number })[];
}

/** How long a failed machine is still listed as running (PROTOCOL). */
const FAILURE_LISTED_AFTER_MS = 30_000;

/**
 * Stand-in for the cloud (PROTOCOL, "Controller nodes -> cloud"): rents machines with boot times,
 * refuses beyond its capacity, reclaims spot machines after a notice, and serves delayed listings.
 */
export class Cloud extends HttpService {
  readonly hosts = new Map<string, Host>();
  readonly addresses = new Map<string, string>();
  /** While set, every request is answered 503; machines that are already rented still boot. */
  outage = false;
  /** Most machines rented at a time, over all types, zones and kinds (spot or not). */
  maxMachines = Number.POSITIVE_INFINITY;
  /** Total time for which machines that are gone had been rented, milliseconds. */
  heldMs = 0;
  readonly #rateLimiter: RateLimiter;
  readonly #rentedByCharter = new Map<string, string[]>();
  readonly #listings: HostListing[] = [];
  #lastHostNumber = 0;
  #listingTimer: Timer | null = null;

  constructor(
    readonly clock: Clock,
    readonly types: CloudType[],
    /** Most machines of one type, zone and kind (spot or not). */
    readonly capacity: number,
    limits: { rps: number; listLagMs: number },
    readonly events: HostEvents,
    readonly random: () => number,
    latencyMs?: () => number,
  ) {
    super((request) => this.#handle(request), latencyMs);
    this.#rateLimiter = new RateLimiter(limits.rps, 2 * limits.rps, clock);
    const recordListing = (): void => {
      const now = clock.now();
      const hosts = [...this.hosts.values()].map((host) => ({
        ...host,
        address: this.addresses.get(host.uid) ?? "",
        heldS: (now - host.rentedAt) / 1000,
      }));
      this.#listings.push({ at: now, hosts });
      const expiredAt = now - 2 * limits.listLagMs;
      while (this.#listings.length > 1 && this.#listings[1]!.at <= expiredAt)
        this.#listings.shift();
      this.#listingTimer = clock.after(Math.max(50, limits.listLagMs / 10), recordListing);
    };
    recordListing();
  }

  override stop(): void {
    super.stop();
    this.#listingTimer?.cancel();
    // Drops machines that still boot: a worker started for one after this would keep the process
    // alive.
    this.hosts.clear();
  }

  #handle({ method, path, query, body }: ServiceRequest): ServiceResponse {
    if (this.outage) return { status: 503, body: { error: "trouble" } };
    if (!this.#rateLimiter.take(1)) return { status: 429, retryAfterS: 1 };
    if (method === "GET" && path === "/catalog")
      return { status: 200, body: { builds: this.types } };
    if (method === "GET" && path === "/hosts") return this.#list(query);
    if (method === "POST" && path === "/hosts" && isMap(body)) return this.#rent(body);
    if (method === "POST" && path === "/hosts/return" && isMap(body)) {
      const uids = Array.isArray(body.hosts) ? body.hosts.map(String) : [];
      if (uids.length > 100) return { status: 400 };
      for (const hostUid of uids) this.remove(hostUid);
      return { status: 200, body: {} };
    }
    return { status: 400 };
  }

  #list(query: URLSearchParams): ServiceResponse {
    // Listings of the last two `listLagMs` are kept, oldest first. Each request draws one from the older
    // half, so it is one to two `listLagMs` old and may be older than the one served before.
    const listing = this.#listings[Math.floor((this.random() * this.#listings.length) / 2)]!;
    const limit = Math.min(500, Number(query.get("most") ?? 500));
    const after = query.get("after") ?? "";
    const remaining = listing.hosts.filter(({ uid }) => uid > after);
    return {
      status: 200,
      body: { hosts: remaining.slice(0, limit), more: remaining.length > limit },
    };
  }

  #rent({ charter, build, berth, borrowed, howMany }: Record<string, unknown>): ServiceResponse {
    const earlier = this.#rentedByCharter.get(String(charter));
    if (earlier !== undefined) return { status: 200, body: { hosts: earlier } };
    const type = this.types.find(({ name }) => name === build);
    const zone = String(berth);
    const wanted = Number(howMany);
    if (type === undefined || !type.berths.includes(zone) || !(wanted >= 1 && wanted <= 50)) {
      return { status: 400 };
    }
    const sameKind = [...this.hosts.values()].filter(
      (host) => host.build === build && host.berth === zone && host.borrowed === borrowed,
    );
    const count = Math.min(
      wanted,
      this.capacity - sameKind.length,
      this.maxMachines - this.hosts.size,
    );
    if (count <= 0) return { status: 503, body: { error: "no capacity" } };
    const rented: string[] = [];
    for (let n = 0; n < count; n++) rented.push(this.add(type, zone, borrowed === true).uid);
    this.#rentedByCharter.set(String(charter), rented);
    return { status: 200, body: { hosts: rented } };
  }

  /** Starts a machine's rental; with `ready` it boots without delay. */
  add(type: CloudType, berth: string, borrowed: boolean, ready = false): Host {
    const uid = `host-${String(++this.#lastHostNumber).padStart(6, "0")}`;
    const rentedAt = this.clock.now();
    const host: Host = { uid, build: type.name, berth, borrowed, status: "starting", rentedAt };
    this.hosts.set(uid, host);
    const bootMs = ready ? 0 : type.bootS * 1000 * (0.6 + 0.9 * this.random());
    this.clock.after(bootMs, () => {
      if (this.hosts.get(uid) !== host) return;
      host.status = "running";
      this.events.up(host, type);
    });
    return host;
  }

  /**
   * Reclaims a random `share` of the running spot machines, `noticeS` after a termination notice.
   */
  takeSpot(share: number, noticeS: number): void {
    for (const { uid, borrowed, status } of [...this.hosts.values()]) {
      if (!borrowed || status !== "running" || this.random() >= share) continue;
      if (noticeS > 0) this.events.terminationNotice(uid, noticeS);
      this.clock.after(noticeS * 1000, () => this.remove(uid));
    }
  }

  /**
   * Fails a machine: its worker stops at once, and it is listed as failed `FAILURE_LISTED_AFTER_MS`
   * later.
   */
  fail(uid: string): void {
    const host = this.hosts.get(uid);
    if (host === undefined) return;
    this.events.gone(uid);
    this.clock.after(FAILURE_LISTED_AFTER_MS, () => {
      host.status = "failed";
    });
  }

  remove(uid: string): void {
    const host = this.hosts.get(uid);
    if (host === undefined) return;
    this.hosts.delete(uid);
    this.heldMs += this.clock.now() - host.rentedAt;
    this.events.gone(uid);
  }
}
