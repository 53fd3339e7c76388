import { randomBytes } from "node:crypto";
import type { Core } from "../extension/index.js";
import { type Reply, type Route, type Router, retryLater } from "../http/server.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { Refused } from "../state/store.js";
import { isMap } from "../wire/cbor.js";
import { Accounts } from "./accounts.js";
import type { Book } from "./book.js";
import { microOf, unitsOf } from "./money.js";
import {
  type Account,
  BID_ID,
  type Bid,
  type Charge,
  isBid,
  keys,
  parseBid,
  type RoundNote,
  sameBid,
} from "./records.js";
import type { MarketSettings } from "./settings.js";

/** Withdrawn bids and those that are over count as well, so that records stay few. */
const KEPT_FOR_EACH_OPEN = 10;
/** Answers to users have a limit of 64 KiB (PROTOCOL). */
const MOST_PAGES = 4;
const MOST_NOTES = 120;

export type BidStatus = "open" | "granted" | "withdrawn" | "over";

/** Answers guests and operators: bids, accounts, rounds. Any controller answers any of them. */
export class MarketApi {
  readonly #rates = new Map<string, RateLimiter>();
  readonly #accounts: Accounts;
  /** By guest: bids on their way to the store. */
  readonly #sent = new Map<string, number>();

  constructor(
    readonly core: Core,
    readonly settings: MarketSettings,
    readonly book: Book,
  ) {
    this.#accounts = new Accounts(core);
    // Every controller takes its part of what a guest may ask, and at least one at a time.
    const each = settings.bidsAMinute / core.layout.parts;
    for (const { name } of settings.guests) {
      this.#rates.set(name, new RateLimiter(each / 60, Math.max(1, each / 6), core.clock));
    }
  }

  readonly find: Router["find"] = (path) => {
    if (!path.startsWith("/market")) return null;
    const steps = path.split("/").slice(2);
    const route = (method: Route["method"], run: Route["run"]): ReturnType<Router["find"]> => ({
      routes: [{ method, run: (input) => this.#safely(() => run(input)) }],
      params: steps,
    });
    const [kind, guest = "", name = "", verb] = steps;
    if (kind === undefined && steps.length === 0) return route("GET", () => this.#overview());
    if (kind === "bids" && steps.length === 1) return route("POST", ({ body }) => this.#bid(body));
    if (kind === "bids" && steps.length === 3) return route("GET", () => this.#show(guest, name));
    if (kind === "bids" && steps.length === 4 && verb === "withdraw") {
      return route("POST", () => this.#withdraw(guest, name));
    }
    if (kind === "guests" && steps.length === 2) return route("GET", () => this.#account(guest, 0));
    if (kind === "guests" && steps.length === 3 && /^\d{1,9}$/.test(name)) {
      return route("GET", () => this.#account(guest, Number(name)));
    }
    if (kind === "guests" && steps.length === 3 && name === "settle") {
      return route("POST", ({ body }) => this.#settle(guest, body));
    }
    if (kind === "rounds" && steps.length === 1) return route("GET", () => this.#rounds());
    return null;
  };

  async #safely(run: () => Reply | Promise<Reply>): Promise<Reply> {
    try {
      return await run();
    } catch (error) {
      // Nothing is said of what is not known: an unanswered write may still be applied.
      this.core.log.debug({ why: String(error) }, "store not available");
      return retryLater(503, "state service not available", error instanceof Refused ? 2 : 1);
    }
  }

  /** How long until a guest may bid again, or null when it may now. */
  #tooFast(guest: string): Reply | null {
    const rate = this.#rates.get(guest);
    if (rate === undefined || rate.take(1)) return null;
    const each = this.settings.bidsAMinute / 60 / this.core.layout.parts;
    return retryLater(429, `guest ${guest}: too many bids`, Math.ceil(Math.min(30, 1 / each)));
  }

  async #bid(body: unknown): Promise<Reply> {
    const { core, settings, book } = this;
    const parsed = parseBid(body, Math.round(core.clock.wall()));
    if (!parsed.ok) return { status: 400, body: { error: parsed.reason } };
    const wanted = parsed.value;
    const { guest, id } = wanted;
    const name = `${guest}/${id}`;
    const own = settings.guests.find((one) => one.name === guest);
    if (own === undefined) return { status: 422, body: { error: `guest: ${guest} is not known` } };
    const fast = this.#tooFast(guest);
    if (fast !== null) return fast;
    const known = book.bids.get(name);
    if (known !== undefined) return this.#repeated(wanted, known.value);
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
    if (!fits) return { status: 422, body: { error: "cores: a slot fits no machine type there" } };
    if (slot.cpus > own.most.cpus || slot.gpus > own.most.gpus) {
      return { status: 422, body: { error: "cores: one slot is more than the guest may use" } };
    }
    const { open, kept } = book.bidsOf(guest);
    // The other controllers may be sending as many that nobody has seen yet.
    const sent = this.#sent.get(guest) ?? 0;
    const most = settings.openBids - sent * core.layout.parts;
    if (open >= most || kept >= settings.openBids * KEPT_FOR_EACH_OPEN) {
      return retryLater(429, `guest ${guest}: ${open} bids open, ${kept} kept`, 30);
    }
    // Bids come after users' jobs and what the parts' owners write.
    if (!core.store.writes.take(1, core.store.writes.burst / 3)) {
      return retryLater(503, "too busy for bids", 2);
    }
    const value: Bid = { ...wanted, salt: randomBytes(12).toString("hex") };
    const key = keys.bid(guest, id);
    this.#sent.set(guest, sent + 1);
    try {
      const result = await core.store.transact([{ key, version: 0 }], [{ put: key, value }]);
      if (result.ok) {
        core.mirror.apply({ key, value, version: result.revision, deleted: false });
        return { status: 201, body: this.#view(value) };
      }
    } finally {
      this.#sent.set(guest, (this.#sent.get(guest) ?? 1) - 1);
    }
    const row = await core.store.get(key);
    return isBid(row?.value) ? this.#repeated(wanted, row.value) : retryLater(503, "try again");
  }

  #repeated(wanted: Omit<Bid, "salt">, known: Bid): Reply {
    if (sameBid(wanted, known)) return { status: 200, body: this.#view(known) };
    return { status: 422, body: { error: `id: ${known.id} is another bid already` } };
  }

  #view(bid: Bid): object {
    const { id, guest, slot, count, zone, most, from, until, withdrawn } = bid;
    const grants = this.book.grantsOf(`${guest}/${id}`);
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
      price: unitsOf(most),
      earliest: from / 1000,
      latest: until / 1000,
      grants: grants.map((grant) => ({
        id: grant.id,
        zone: grant.zone,
        slots: grant.slots,
        price: unitsOf(grant.micro),
        from: grant.from / 1000,
        until: grant.until / 1000,
        cut: grant.cut ?? null,
      })),
    };
  }

  async #show(guest: string, id: string): Promise<Reply> {
    if (!BID_ID.test(id) || !BID_ID.test(guest)) return this.#noBid();
    // From the store: a withdrawal told by another controller must not be told back.
    const row = await this.core.store.get(keys.bid(guest, id));
    if (!isBid(row?.value)) return this.#noBid();
    return { status: 200, body: this.#view(row.value) };
  }

  #noBid(): Reply {
    return { status: 404, body: { error: "no such bid" } };
  }

  /**
   * Once this is answered the bid wins nothing any more: what turns a cleared round into grants
   * depends on the bid's version, which this changes. What it has won already goes on to its end.
   */
  async #withdraw(guest: string, id: string): Promise<Reply> {
    const { store, mirror, clock } = this.core;
    if (!BID_ID.test(id) || !BID_ID.test(guest)) return this.#noBid();
    const key = keys.bid(guest, id);
    for (let attempt = 0; attempt < 4; attempt++) {
      const row = await store.get(key);
      if (!isBid(row?.value)) return this.#noBid();
      const bid = row.value;
      if (bid.withdrawn !== undefined) return { status: 200, body: this.#view(bid) };
      store.writes.force(1);
      const value: Bid = { ...bid, withdrawn: Math.round(clock.wall()) };
      const result = await store.transact([{ key, version: row.version }], [{ put: key, value }]);
      if (!result.ok) continue;
      mirror.apply({ key, value, version: result.revision, deleted: false });
      return { status: 200, body: this.#view(value) };
    }
    return retryLater(503, "try again");
  }

  async #account(guest: string, first: number): Promise<Reply> {
    if (!this.settings.guests.some(({ name }) => name === guest)) {
      return { status: 404, body: { error: "no such guest" } };
    }
    this.#accounts.forget(guest);
    const { account } = await this.#accounts.read(guest);
    const pages = await this.#accounts.charges(guest, first, MOST_PAGES);
    const from = Math.max(first, account.first);
    const next = from + pages.length;
    return { status: 200, body: accountBody(guest, account, pages.flat(), next) };
  }

  async #settle(guest: string, body: unknown): Promise<Reply> {
    if (!this.settings.guests.some(({ name }) => name === guest)) {
      return { status: 404, body: { error: "no such guest" } };
    }
    const { id, amount } = isMap(body) ? body : {};
    if (typeof id !== "string" || !BID_ID.test(id)) {
      return { status: 400, body: { error: "id: 1 to 60 of A-Z, a-z, 0-9, _ . and -" } };
    }
    const micro = typeof amount === "number" ? microOf(amount) : null;
    if (micro === null || micro === 0) {
      return { status: 400, body: { error: "amount: above 0, with at most six decimals" } };
    }
    const account = await this.#accounts.settle(guest, id, micro);
    if (account === null) return retryLater(503, "try again");
    return { status: 200, body: accountBody(guest, account, [], account.last + 1) };
  }

  #overview(): Reply {
    const { everyMs, termMs, saveMs, leastMicro, guests } = this.settings;
    const now = this.core.clock.wall();
    return {
      status: 200,
      body: {
        everyS: everyMs / 1000,
        termS: termMs / 1000,
        saveS: saveMs / 1000,
        leastPrice: unitsOf(leastMicro),
        next: (Math.floor(now / everyMs) * everyMs + everyMs) / 1000,
        guests: guests.map(({ name }) => {
          const live = [...this.book.grants.values()].filter(
            ({ value }) => value.guest === name && value.until > now,
          );
          const slots = live.reduce((sum, { value }) => sum + value.slots, 0);
          return { name, bids: this.book.bidsOf(name).open, grants: live.length, slots };
        }),
      },
    };
  }

  async #rounds(): Promise<Reply> {
    const { rows } = await this.core.store.list(keys.notes);
    const notes = rows
      .map(({ value }) => value as RoundNote)
      .filter((note) => typeof note?.instant === "number")
      .sort((a, b) => a.instant - b.instant)
      .slice(-MOST_NOTES);
    return { status: 200, body: { rounds: notes } };
  }
}

function accountBody(guest: string, account: Account, charges: Charge[], next: number): object {
  const { owed, charged, settled, slotMs, grants, last, folded } = account;
  return {
    guest,
    owed: unitsOf(owed),
    charged: unitsOf(charged),
    settled: unitsOf(settled),
    slotMs,
    grants,
    folded: { ...folded, micro: unitsOf(folded.micro) },
    charges: charges.map((charge) => ({
      ...charge,
      price: unitsOf(charge.price),
      amount: unitsOf(charge.micro),
    })),
    /** Where to go on, or null. */
    next: next <= last ? next : null,
  };
}
