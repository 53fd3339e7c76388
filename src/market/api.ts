import { randomBytes } from "node:crypto";
import type { Core } from "../extension/index.js";
import { type Reply, type Route, type Router, retryLater } from "../http/server.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { Refused } from "../state/store.js";
import { isMap } from "../wire/cbor.js";
import { Accounts } from "./accounts.js";
import type { MarketState } from "./market-state.js";
import { formatMicro, toMicro } from "./money.js";
import {
  type Account,
  BID_ID,
  type Bid,
  type Charge,
  isBid,
  isSameBid,
  keys,
  parseBid,
  type RoundNote,
} from "./records.js";
import type { MarketSettings } from "./settings.js";

/**
 * Limit on a guest's stored bids, as a multiple of its limit on open bids. Withdrawn and expired
 * bids count as well, which bounds the number of records.
 */
const STORED_BIDS_PER_OPEN_BID = 10;
/** Responses to users are limited to 64 KiB (PROTOCOL). */
const MAX_CHARGE_PAGES = 4;
const MAX_ROUND_NOTES = 120;

export type BidStatus = "open" | "granted" | "withdrawn" | "over";

/** HTTP API for guests and operators: bids, accounts, rounds. Every controller serves all of it. */
export class MarketApi {
  readonly #rateLimiters = new Map<string, RateLimiter>();
  readonly #accounts: Accounts;
  /** By guest: number of bids being written to the store. */
  readonly #bidsInFlight = new Map<string, number>();

  constructor(
    readonly core: Core,
    readonly settings: MarketSettings,
    readonly marketState: MarketState,
  ) {
    this.#accounts = new Accounts(core);
    // The rate limit of a guest is divided between the controllers; each admits at least one bid.
    const bidsPerMinute = settings.bidsPerMinute / core.layout.parts;
    for (const { name } of settings.guests) {
      this.#rateLimiters.set(
        name,
        new RateLimiter(bidsPerMinute / 60, Math.max(1, bidsPerMinute / 6), core.clock),
      );
    }
  }

  readonly find: Router["find"] = (path) => {
    if (!path.startsWith("/market")) return null;
    const segments = path.split("/").slice(2);
    const route = (method: Route["method"], run: Route["run"]): ReturnType<Router["find"]> => ({
      routes: [{ method, run: (input) => this.#answerOrUnavailable(() => run(input)) }],
      params: segments,
    });
    const [kind, guest = "", name = "", verb] = segments;
    if (kind === undefined && segments.length === 0) return route("GET", () => this.#overview());
    if (kind === "bids" && segments.length === 1)
      return route("POST", ({ body }) => this.#submitBid(body));
    if (kind === "bids" && segments.length === 3)
      return route("GET", () => this.#showBid(guest, name));
    if (kind === "bids" && segments.length === 4 && verb === "withdraw") {
      return route("POST", () => this.#withdrawBid(guest, name));
    }
    if (kind === "guests" && segments.length === 2)
      return route("GET", () => this.#showAccount(guest, 0));
    if (kind === "guests" && segments.length === 3 && /^\d{1,9}$/.test(name)) {
      return route("GET", () => this.#showAccount(guest, Number(name)));
    }
    if (kind === "guests" && segments.length === 3 && name === "settle") {
      return route("POST", ({ body }) => this.#recordPayment(guest, body));
    }
    if (kind === "rounds" && segments.length === 1) return route("GET", () => this.#listRounds());
    return null;
  };

  async #answerOrUnavailable(run: () => Reply | Promise<Reply>): Promise<Reply> {
    try {
      return await run();
    } catch (error) {
      // The result is not known: a write without an answer may still be applied.
      this.core.log.debug({ why: String(error) }, "store not available");
      return retryLater(503, "state service not available", error instanceof Refused ? 2 : 1);
    }
  }

  /** The 429 reply, with Retry-After, for a guest over its bid rate; null if it may bid now. */
  #rateLimitReply(guest: string): Reply | null {
    const rateLimiter = this.#rateLimiters.get(guest);
    if (rateLimiter === undefined || rateLimiter.take(1)) return null;
    const bidsPerSecond = this.settings.bidsPerMinute / 60 / this.core.layout.parts;
    return retryLater(
      429,
      `guest ${guest}: bid rate limit exceeded`,
      Math.ceil(Math.min(30, 1 / bidsPerSecond)),
    );
  }

  async #submitBid(body: unknown): Promise<Reply> {
    const { core, settings, marketState } = this;
    const parsed = parseBid(body, Math.round(core.clock.wall()));
    if (!parsed.ok) return { status: 400, body: { error: parsed.reason } };
    const wanted = parsed.value;
    const { guest, id } = wanted;
    const name = `${guest}/${id}`;
    const guestSettings = settings.guests.find((one) => one.name === guest);
    if (guestSettings === undefined)
      return {
        status: 422,
        body: { error: `guest: ${guest} is not listed in the market settings` },
      };
    const limited = this.#rateLimitReply(guest);
    if (limited !== null) return limited;
    const known = marketState.bids.get(name);
    if (known !== undefined) return this.#replyToRepeatedBid(wanted, known.value);
    const types = [...core.types().values()];
    if (types.length === 0) return retryLater(503, "machine types not known yet");
    const { slot, zone } = wanted;
    const fits = types.some(
      (type) =>
        slot.cpus <= type.cpus &&
        slot.gpus <= type.gpus &&
        slot.memGb <= type.memGb &&
        (zone === null || type.zones.length === 0 || type.zones.includes(zone)),
    );
    if (!fits)
      return {
        status: 422,
        body: { error: "cores: no machine type that the bid allows fits one slot" },
      };
    if (slot.cpus > guestSettings.most.cpus || slot.gpus > guestSettings.most.gpus) {
      return {
        status: 422,
        body: { error: "cores: a single slot exceeds what the guest may use" },
      };
    }
    const { open, kept } = marketState.bidsOf(guest);
    // Each of the other controllers may be writing as many bids that are not visible here yet.
    const inFlight = this.#bidsInFlight.get(guest) ?? 0;
    const maxOpen = settings.maxOpenBids - inFlight * core.layout.parts;
    if (open >= maxOpen || kept >= settings.maxOpenBids * STORED_BIDS_PER_OPEN_BID) {
      return retryLater(429, `guest ${guest}: too many bids: ${open} open, ${kept} stored`, 30);
    }
    // Bids have a lower write priority than users' jobs and the writes of part owners.
    if (!core.store.writes.take(1, core.store.writes.burst / 3)) {
      return retryLater(503, "write rate limit reached, no bids accepted now", 2);
    }
    const value: Bid = { ...wanted, salt: randomBytes(12).toString("hex") };
    const key = keys.bid(guest, id);
    this.#bidsInFlight.set(guest, inFlight + 1);
    try {
      const result = await core.store.transact([{ key, version: 0 }], [{ put: key, value }]);
      if (result.ok) {
        core.mirror.apply({ key, value, version: result.revision, deleted: false });
        return { status: 201, body: this.#bidBody(value) };
      }
    } finally {
      this.#bidsInFlight.set(guest, (this.#bidsInFlight.get(guest) ?? 1) - 1);
    }
    const row = await core.store.get(key);
    return isBid(row?.value)
      ? this.#replyToRepeatedBid(wanted, row.value)
      : retryLater(503, "try again");
  }

  #replyToRepeatedBid(wanted: Omit<Bid, "salt">, known: Bid): Reply {
    if (isSameBid(wanted, known)) return { status: 200, body: this.#bidBody(known) };
    return { status: 422, body: { error: `id: ${known.id} is already used by a different bid` } };
  }

  #bidBody(bid: Bid): object {
    const { id, guest, slot, count, zone, most, from, until, withdrawn } = bid;
    const grants = this.marketState.grantsOf(`${guest}/${id}`);
    let status: BidStatus = "open";
    if (withdrawn !== undefined) status = "withdrawn";
    else if (until <= this.core.clock.wall()) status = "over";
    else if (grants.some((grant) => grant.until > this.core.clock.wall())) status = "granted";
    return {
      id,
      guest,
      status,
      cores: slot.cpus,
      accelerators: slot.gpus,
      memGb: slot.memGb,
      slots: count,
      zone,
      price: formatMicro(most),
      earliest: from / 1000,
      latest: until / 1000,
      grants: grants.map((grant) => ({
        id: grant.id,
        zone: grant.zone,
        slots: grant.slots,
        price: formatMicro(grant.micro),
        from: grant.from / 1000,
        until: grant.until / 1000,
        cut: grant.cut ?? null,
      })),
    };
  }

  async #showBid(guest: string, id: string): Promise<Reply> {
    if (!BID_ID.test(id) || !BID_ID.test(guest)) return this.#bidNotFound();
    // Read from the store, as this controller's view may lag behind: after another controller has
    // confirmed a withdrawal, the bid must not be shown as open again.
    const row = await this.core.store.get(keys.bid(guest, id));
    if (!isBid(row?.value)) return this.#bidNotFound();
    return { status: 200, body: this.#bidBody(row.value) };
  }

  #bidNotFound(): Reply {
    return { status: 404, body: { error: "no such bid" } };
  }

  /**
   * Once this is answered the bid wins nothing more: turning a cleared round into grants is
   * conditional on the bid's version, which this changes. Grants that the bid already has run to
   * their end.
   */
  async #withdrawBid(guest: string, id: string): Promise<Reply> {
    const { store, mirror, clock } = this.core;
    if (!BID_ID.test(id) || !BID_ID.test(guest)) return this.#bidNotFound();
    const key = keys.bid(guest, id);
    for (let attempt = 0; attempt < 4; attempt++) {
      const row = await store.get(key);
      if (!isBid(row?.value)) return this.#bidNotFound();
      const bid = row.value;
      if (bid.withdrawn !== undefined) return { status: 200, body: this.#bidBody(bid) };
      store.writes.force(1);
      const value: Bid = { ...bid, withdrawn: Math.round(clock.wall()) };
      const result = await store.transact([{ key, version: row.version }], [{ put: key, value }]);
      if (!result.ok) continue;
      mirror.apply({ key, value, version: result.revision, deleted: false });
      return { status: 200, body: this.#bidBody(value) };
    }
    return retryLater(503, "try again");
  }

  async #showAccount(guest: string, first: number): Promise<Reply> {
    if (!this.settings.guests.some(({ name }) => name === guest)) {
      return { status: 404, body: { error: "no such guest" } };
    }
    this.#accounts.invalidate(guest);
    const { account } = await this.#accounts.read(guest);
    const pages = await this.#accounts.readPages(guest, first, MAX_CHARGE_PAGES);
    const from = Math.max(first, account.first);
    const next = from + pages.length;
    return { status: 200, body: accountBody(guest, account, pages.flat(), next) };
  }

  async #recordPayment(guest: string, body: unknown): Promise<Reply> {
    if (!this.settings.guests.some(({ name }) => name === guest)) {
      return { status: 404, body: { error: "no such guest" } };
    }
    const { id, amount } = isMap(body) ? body : {};
    if (typeof id !== "string" || !BID_ID.test(id)) {
      return { status: 400, body: { error: "id: 1 to 60 of A-Z, a-z, 0-9, _ . and -" } };
    }
    const micro = typeof amount === "number" ? toMicro(amount) : null;
    if (micro === null || micro === 0) {
      return { status: 400, body: { error: "amount: must be above 0, with at most six decimals" } };
    }
    const account = await this.#accounts.recordPayment(guest, id, micro);
    if (account === null) return retryLater(503, "try again");
    return { status: 200, body: accountBody(guest, account, [], account.last + 1) };
  }

  #overview(): Reply {
    const { roundIntervalMs, maxGrantMs, saveMs, minPriceMicro, guests } = this.settings;
    const now = this.core.clock.wall();
    return {
      status: 200,
      body: {
        everyS: roundIntervalMs / 1000,
        termS: maxGrantMs / 1000,
        saveS: saveMs / 1000,
        leastPrice: formatMicro(minPriceMicro),
        next: (Math.floor(now / roundIntervalMs) * roundIntervalMs + roundIntervalMs) / 1000,
        guests: guests.map(({ name }) => {
          const live = [...this.marketState.grants.values()].filter(
            ({ value }) => value.guest === name && value.until > now,
          );
          const slots = live.reduce((sum, { value }) => sum + value.slots, 0);
          return { name, bids: this.marketState.bidsOf(name).open, grants: live.length, slots };
        }),
      },
    };
  }

  async #listRounds(): Promise<Reply> {
    const { rows } = await this.core.store.list(keys.notes);
    const notes = rows
      .map(({ value }) => value as RoundNote)
      .filter((note) => typeof note?.instant === "number")
      .sort((a, b) => a.instant - b.instant)
      .slice(-MAX_ROUND_NOTES);
    return { status: 200, body: { rounds: notes } };
  }
}

function accountBody(guest: string, account: Account, charges: Charge[], next: number): object {
  const { owed, charged, settled, slotMs, grants, last, folded } = account;
  return {
    guest,
    owed: formatMicro(owed),
    charged: formatMicro(charged),
    settled: formatMicro(settled),
    slotMs,
    grants,
    folded: { ...folded, micro: formatMicro(folded.micro) },
    charges: charges.map((charge) => ({
      ...charge,
      price: formatMicro(charge.price),
      amount: formatMicro(charge.micro),
    })),
    /** The first page that is not in this response; null if there is none. */
    next: next <= last ? next : null,
  };
}
