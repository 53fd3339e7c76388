import type { Core } from "../extension/index.js";
import type { Row } from "../state/store.js";
import { costOf } from "./money.js";
import { type Account, type Charge, emptyAccount, type Grant, isAccount, keys } from "./records.js";

/** A page of charges holds up to this share of a value; the rest is for the last one. */
const FULL = 0.75;
/** Older pages are folded into sums: this many charges of each guest stay to be read, at least. */
const KEPT_PAGES = 64;

export interface Books {
  account: Account;
  version: number;
  page: Charge[];
  pageVersion: number;
}

/** What a grant costs up to the moment it ended; what was cut short is not charged. */
export function chargeOf(grant: Grant): Charge {
  const { id, from, until, slots, slot, zone, micro, cut = null } = grant;
  const ms = Math.max(0, until - from);
  const cost = costOf(micro, slots, ms);
  return { grant: id, from, until, slots, slot, zone, price: micro, ...cost, cut };
}

/** The account after a charge. A pure function; sums stay exact. */
export function charged(account: Account, { micro, slotMs }: Charge): Account {
  return {
    ...account,
    owed: account.owed + micro,
    charged: account.charged + micro,
    slotMs: account.slotMs + slotMs,
    grants: account.grants + 1,
  };
}

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
const chargesOf = (row: Row | null): Charge[] =>
  Array.isArray(row?.value) ? (row.value as Charge[]) : [];

/**
 * The guests' accounts. One key a guest holds its sums, and every change of it depends on its
 * version; so a charge, which changes the account, its page and removes the grant in one
 * transaction, is there once or not at all, however often or late it is sent.
 */
export class Accounts {
  readonly #cache = new Map<string, Books>();

  constructor(readonly core: Core) {}

  /** Whatever became of a transaction that was not confirmed: it is read anew. */
  forget(guest: string): void {
    this.#cache.delete(guest);
  }

  async read(guest: string): Promise<Books> {
    const known = this.#cache.get(guest);
    if (known !== undefined) return known;
    const { store } = this.core;
    const row = await store.get(keys.account(guest));
    const account = isAccount(row?.value) ? row.value : emptyAccount();
    const page = await store.get(keys.page(guest, account.last));
    const books: Books = {
      account,
      version: row?.version ?? 0,
      page: chargesOf(page),
      pageVersion: page?.version ?? 0,
    };
    this.#cache.set(guest, books);
    return books;
  }

  /**
   * Ends a grant with its charge. `guard` is what the leader's word depends on. True when it is
   * confirmed; false when something has changed meanwhile, and it has to be looked at again.
   * @throws when nothing came back: then it may still happen
   */
  async close(
    grant: Grant,
    version: number,
    guard: { key: string; version: number }[],
  ): Promise<boolean> {
    const { store, mirror } = this.core;
    const { guest } = grant;
    const books = await this.read(guest);
    const charge = chargeOf(grant);
    let { page, pageVersion } = books;
    let account = charged(books.account, charge);
    if (bytesOf([...page, charge]) > store.limits.valueBytes * FULL && page.length > 0) {
      account = { ...account, last: account.last + 1 };
      page = [];
      pageVersion = 0;
    }
    const next = [...page, charge];
    const key = keys.grant(grant.id);
    const accountKey = keys.account(guest);
    const pageKey = keys.page(guest, account.last);
    // Whatever happens next, what is remembered here may be wrong.
    this.forget(guest);
    const result = await store.transact(
      [
        ...guard,
        { key, version },
        { key: accountKey, version: books.version },
        { key: pageKey, version: pageVersion },
      ],
      [{ remove: key }, { put: accountKey, value: account }, { put: pageKey, value: next }],
    );
    if (!result.ok) return false;
    const { revision } = result;
    mirror.apply({ key, value: undefined, version: revision, deleted: true });
    this.#cache.set(guest, { account, version: revision, page: next, pageVersion: revision });
    return true;
  }

  /** Folds the oldest page into the sums when there are many; says whether it did. */
  async fold(guest: string): Promise<boolean> {
    const { store } = this.core;
    const books = await this.read(guest);
    const { account } = books;
    if (account.last - account.first < KEPT_PAGES) return false;
    const key = keys.page(guest, account.first);
    const row = await store.get(key);
    const folded = { ...account.folded };
    for (const { micro, slotMs } of chargesOf(row)) {
      folded.micro += micro;
      folded.slotMs += slotMs;
      folded.grants++;
    }
    const next: Account = { ...account, first: account.first + 1, folded };
    this.forget(guest);
    const result = await store.transact(
      [
        { key: keys.account(guest), version: books.version },
        { key, version: row?.version ?? 0 },
      ],
      [{ put: keys.account(guest), value: next }, { remove: key }],
    );
    return result.ok;
  }

  /**
   * Notes a payment; a repeated one with the same id changes nothing. Null when another change was
   * faster, four times in a row.
   */
  async settle(guest: string, id: string, micro: number): Promise<Account | null> {
    const { store } = this.core;
    const paymentKey = keys.payment(guest, id);
    for (let attempt = 0; attempt < 4; attempt++) {
      this.forget(guest);
      const { account, version } = await this.read(guest);
      if ((await store.get(paymentKey)) !== null) return account;
      const next: Account = {
        ...account,
        owed: account.owed - micro,
        settled: account.settled + micro,
      };
      const result = await store.transact(
        [
          { key: keys.account(guest), version },
          { key: paymentKey, version: 0 },
        ],
        [
          { put: keys.account(guest), value: next },
          { put: paymentKey, value: { micro, at: Math.round(this.core.clock.wall()) } },
        ],
      );
      if (result.ok) return next;
    }
    return null;
  }

  /** Pages from `first` on, as many as fit one answer. */
  async charges(guest: string, first: number, most: number): Promise<Charge[][]> {
    const { account } = await this.read(guest);
    const pages: Charge[][] = [];
    const from = Math.max(first, account.first);
    for (let page = from; page <= account.last && pages.length < most; page++) {
      pages.push(chargesOf(await this.core.store.get(keys.page(guest, page))));
    }
    return pages;
  }
}
