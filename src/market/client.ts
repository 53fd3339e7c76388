import { RequestRefused, Unanswered } from "../client/client.js";
import { type Clock, sleep, systemClock } from "../clock.js";
import { type Answer, type Caller, HttpClient, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import type { RoundNote } from "./records.js";

export interface BidView {
  id: string;
  guest: string;
  status: "open" | "granted" | "withdrawn" | "over";
  slots: number;
  zone: string | null;
  price: string;
  grants: {
    id: string;
    zone: string;
    slots: number;
    price: string;
    from: number;
    until: number;
    cut: string | null;
  }[];
}

export interface AccountView {
  guest: string;
  owed: string;
  charged: string;
  settled: string;
  grants: number;
  charges: {
    grant: string;
    zone: string;
    slots: number;
    from: number;
    until: number;
    slotMs: number;
    micro: number;
    amount: string;
    cut: string | null;
  }[];
  next: number | null;
}

export interface RoundsView {
  rounds: RoundNote[];
}

const PATIENCE_MS = 60_000;

/** What guests and operators do with the market of a controller. */
export class MarketClient {
  readonly #caller: Caller;

  constructor(
    address: string,
    readonly clock: Clock = systemClock,
    caller?: Caller,
    readonly patienceMs = PATIENCE_MS,
  ) {
    this.#caller = caller ?? new HttpClient(address, 1, clock);
  }

  bid(body: unknown): Promise<BidView> {
    return this.#ask("POST", "/market/bids", body);
  }

  show(guest: string, id: string): Promise<BidView> {
    return this.#ask("GET", path("bids", guest, id));
  }

  withdraw(guest: string, id: string): Promise<BidView> {
    return this.#ask("POST", `${path("bids", guest, id)}/withdraw`);
  }

  /** All charges that are kept, page by page. */
  async account(guest: string): Promise<AccountView> {
    const account = await this.#ask<AccountView>("GET", path("guests", guest));
    for (let { next } = account; next !== null; ) {
      const more = await this.#ask<AccountView>("GET", path("guests", guest, String(next)));
      account.charges.push(...more.charges);
      next = more.next;
    }
    return account;
  }

  /** Notes a payment; `id` makes it count once. */
  settle(guest: string, id: string, amount: number): Promise<AccountView> {
    return this.#ask("POST", `${path("guests", guest)}/settle`, { id, amount });
  }

  rounds(): Promise<RoundsView> {
    return this.#ask("GET", "/market/rounds");
  }

  overview(): Promise<{ guests: { name: string }[]; [field: string]: unknown }> {
    return this.#ask("GET", "/market");
  }

  close(): void {
    if (this.#caller instanceof HttpClient) this.#caller.close();
  }

  /** Asks again as `Retry-After` says while the answer is not final: every request may be repeated. */
  async #ask<T>(method: string, where: string, body?: unknown): Promise<T> {
    const until = this.clock.now() + this.patienceMs;
    for (;;) {
      let answer: Answer | null = null;
      let why = "";
      try {
        answer = await this.#caller.call(method, where, body, 5000);
        const said = isMap(answer.body) ? String(answer.body.error ?? "") : "";
        why = said === "" ? `status ${answer.status}` : `${said} (status ${answer.status})`;
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        why = error.message;
      }
      if (answer !== null && answer.status < 300) return answer.body as T;
      if (answer !== null && answer.status < 500 && answer.status !== 429) {
        throw new RequestRefused(why);
      }
      const pause = Math.max(1, Math.min(30, answer?.retryAfterS ?? 0)) * 1000;
      if (this.clock.now() + pause > until) throw new Unanswered(why);
      await sleep(this.clock, pause);
    }
  }
}

const path = (...steps: string[]): string => `/market/${steps.map(encodeURIComponent).join("/")}`;
