import { RequestClient } from "../client/retry.js";
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

/** Client of a controller's market API, for guests and operators. */
export class MarketClient extends RequestClient {
  bid(body: unknown): Promise<BidView> {
    return this.#ask("POST", "/market/bids", body);
  }

  show(guest: string, id: string): Promise<BidView> {
    return this.#ask("GET", path("bids", guest, id));
  }

  withdraw(guest: string, id: string): Promise<BidView> {
    return this.#ask("POST", `${path("bids", guest, id)}/withdraw`);
  }

  /** The account with all stored charges; reads page by page. */
  async account(guest: string): Promise<AccountView> {
    const account = await this.#ask<AccountView>("GET", path("guests", guest));
    for (let { next } = account; next !== null; ) {
      const more = await this.#ask<AccountView>("GET", path("guests", guest, String(next)));
      account.charges.push(...more.charges);
      next = more.next;
    }
    return account;
  }

  /** Records a payment; repeated calls with the same `id` count once. */
  settle(guest: string, id: string, amount: number): Promise<AccountView> {
    return this.#ask("POST", `${path("guests", guest)}/settle`, { id, amount });
  }

  rounds(): Promise<RoundsView> {
    return this.#ask("GET", "/market/rounds");
  }

  overview(): Promise<{ guests: { name: string }[]; [field: string]: unknown }> {
    return this.#ask("GET", "/market");
  }

  #ask<T>(method: string, where: string, body?: unknown): Promise<T> {
    return this.ask({ method, path: where, body }, (answer) => answer as T);
  }
}

const path = (...steps: string[]): string => `/market/${steps.map(encodeURIComponent).join("/")}`;
