import type { Clock, Timer } from "../clock.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { isMap } from "../wire/cbor.js";
import { type Asked, type Given, Service } from "./serve.js";

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

/** What happens to a host: whoever runs the workers follows it. */
export interface HostEvents {
  up(host: Host, type: CloudType): void;
  notice(uid: string, warningS: number): void;
  gone(uid: string): void;
}

interface Snapshot {
  at: number;
  hosts: (Host & { address: string; heldS: number })[];
}

/** How long a machine that has died stays listed as running (PROTOCOL). */
const FAILURE_SHOWN_MS = 30_000;

/** Rents machines (PROTOCOL, "Controller nodes -> cloud"): boots, refusals, spot notices, lists. */
export class Cloud extends Service {
  readonly hosts = new Map<string, Host>();
  readonly addresses = new Map<string, string>();
  /** Everything but boots and returns of what is there answers 503. */
  outage = false;
  /** Machines of all types, zones and kinds together. */
  most = Number.POSITIVE_INFINITY;
  /** Milliseconds that all machines together were held, by those that are gone. */
  heldMs = 0;
  readonly #budget: RateLimiter;
  readonly #charters = new Map<string, string[]>();
  readonly #history: Snapshot[] = [];
  #numbers = 0;
  #timer: Timer | null = null;

  constructor(
    readonly clock: Clock,
    readonly types: CloudType[],
    /** Machines of one type, zone and kind. */
    readonly capacity: number,
    limits: { rps: number; listLagMs: number },
    readonly events: HostEvents,
    readonly random: () => number,
    latencyMs?: () => number,
  ) {
    super((asked) => this.#answer(asked), latencyMs);
    this.#budget = new RateLimiter(limits.rps, 2 * limits.rps, clock);
    const look = (): void => {
      const now = clock.now();
      const hosts = [...this.hosts.values()].map((host) => ({
        ...host,
        address: this.addresses.get(host.uid) ?? "",
        heldS: (now - host.rentedAt) / 1000,
      }));
      this.#history.push({ at: now, hosts });
      const old = now - 2 * limits.listLagMs;
      while (this.#history.length > 1 && this.#history[1]!.at <= old) this.#history.shift();
      this.#timer = clock.after(Math.max(50, limits.listLagMs / 10), look);
    };
    look();
  }

  override stop(): void {
    super.stop();
    this.#timer?.cancel();
    // What boots now has nobody to run it: a worker that came up later kept its process alive.
    this.hosts.clear();
  }

  #answer({ method, path, query, body }: Asked): Given {
    if (this.outage) return { status: 503, body: { error: "trouble" } };
    if (!this.#budget.take(1)) return { status: 429, retryAfterS: 1 };
    if (method === "GET" && path === "/catalog")
      return { status: 200, body: { builds: this.types } };
    if (method === "GET" && path === "/hosts") return this.#list(query);
    if (method === "POST" && path === "/hosts" && isMap(body)) return this.#rent(body);
    if (method === "POST" && path === "/hosts/return" && isMap(body)) {
      const names = Array.isArray(body.hosts) ? body.hosts.map(String) : [];
      if (names.length > 100) return { status: 400 };
      for (const name of names) this.remove(name);
      return { status: 200, body: {} };
    }
    return { status: 400 };
  }

  #list(query: URLSearchParams): Given {
    // Between one and two lags old: a list may be older than the one before it.
    const seen = this.#history[Math.floor((this.random() * this.#history.length) / 2)]!;
    const most = Math.min(500, Number(query.get("most") ?? 500));
    const after = query.get("after") ?? "";
    const rest = seen.hosts.filter(({ uid }) => uid > after);
    return { status: 200, body: { hosts: rest.slice(0, most), more: rest.length > most } };
  }

  #rent({ charter, build, berth, borrowed, howMany }: Record<string, unknown>): Given {
    const known = this.#charters.get(String(charter));
    if (known !== undefined) return { status: 200, body: { hosts: known } };
    const type = this.types.find(({ name }) => name === build);
    const zone = String(berth);
    const wanted = Number(howMany);
    if (type === undefined || !type.berths.includes(zone) || !(wanted >= 1 && wanted <= 50)) {
      return { status: 400 };
    }
    const alike = [...this.hosts.values()].filter(
      (host) => host.build === build && host.berth === zone && host.borrowed === borrowed,
    );
    const count = Math.min(wanted, this.capacity - alike.length, this.most - this.hosts.size);
    if (count <= 0) return { status: 503, body: { error: "no capacity" } };
    const names: string[] = [];
    for (let n = 0; n < count; n++) names.push(this.add(type, zone, borrowed === true).uid);
    this.#charters.set(String(charter), names);
    return { status: 200, body: { hosts: names } };
  }

  /** Begins a machine's rental; `ready` machines are up at once. */
  add(type: CloudType, berth: string, borrowed: boolean, ready = false): Host {
    const uid = `host-${String(++this.#numbers).padStart(6, "0")}`;
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

  /** Takes spot machines back, after a notice when there is one. */
  takeSpot(share: number, noticeS: number): void {
    for (const { uid, borrowed, status } of [...this.hosts.values()]) {
      if (!borrowed || status !== "running" || this.random() >= share) continue;
      if (noticeS > 0) this.events.notice(uid, noticeS);
      this.clock.after(noticeS * 1000, () => this.remove(uid));
    }
  }

  /** A machine stops on its own: all on it is gone, and the list says so a while later. */
  fail(uid: string): void {
    const host = this.hosts.get(uid);
    if (host === undefined) return;
    this.events.gone(uid);
    this.clock.after(FAILURE_SHOWN_MS, () => {
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
