import type { Core } from "../extension/index.js";
import type { Row } from "../state/store.js";
import { costOf } from "./money.js";
import { type Account, type Charge, emptyAccount, type Grant, isAccount, keys } from "./records.js";

/**
 * A page of charges is filled up to this share of the store's value size; the rest leaves room for
 * the last charge.
 */
const MAX_PAGE_FILL = 0.75;
/** The oldest pages are folded into sums; at least this many pages of each guest stay readable. */
const MIN_KEPT_PAGES = 64;

export interface AccountState {
  account: Account;
  version: number;
  page: Charge[];
  pageVersion: number;
}

/** The charge for a grant up to its end; time that was cut off is not charged. */
export function chargeOf(grant: Grant): Charge {
  const { id, from, until, slots, slot, zone, micro, cut = null } = grant;
  const ms = Math.max(0, until - from);
  const cost = costOf(micro, slots, ms);
  return { grant: id, from, until, slots, slot, zone, price: micro, ...cost, cut };
}

/** The account with a charge added. A pure function; the sums stay exact. */
export function addCharge(account: Account, { micro, slotMs }: Charge): Account {
  return {
    ...account,
    owed: account.owed + micro,
    charged: account.charged + micro,
    slotMs: account.slotMs + slotMs,
    grants: account.grants + 1,
  };
}

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
const chargesInPage = (row: Row | null): Charge[] =>
  Array.isArray(row?.value) ? (row.value as Charge[]) : [];

/**
 * The guests' accounts. One key per guest holds its sums, and every change is conditional on the
 * version of that key. A charge updates the account and its page and removes the grant in one
 * transaction, so it is applied once or not at all, however often or late it is sent.
 */
export class Accounts {
  readonly #cache = new Map<string, AccountState>();

  constructor(readonly core: Core) {}

  /** Drops the cached account: needed after a transaction whose result is not known. */
  invalidate(guest: string): void {
    this.#cache.delete(guest);
  }

  async read(guest: string): Promise<AccountState> {
    const known = this.#cache.get(guest);
    if (known !== undefined) return known;
    const { store } = this.core;
    const row = await store.get(keys.account(guest));
    const account = isAccount(row?.value) ? row.value : emptyAccount();
    const pageRow = await store.get(keys.page(guest, account.last));
    const state: AccountState = {
      account,
      version: row?.version ?? 0,
      page: chargesInPage(pageRow),
      pageVersion: pageRow?.version ?? 0,
    };
    this.#cache.set(guest, state);
    return state;
  }

  /**
   * Removes a grant and charges for it. `guard` holds the conditions under which the leader may
   * write. Returns true when the transaction is confirmed, false when a condition failed because a
   * record has changed meanwhile; the caller then decides again.
   * @throws when no answer arrived: the transaction may still be applied
   */
  async closeGrant(
    grant: Grant,
    version: number,
    guard: { key: string; version: number }[],
  ): Promise<boolean> {
    const { store, mirror } = this.core;
    const { guest } = grant;
    const state = await this.read(guest);
    const charge = chargeOf(grant);
    let { page, pageVersion } = state;
    let account = addCharge(state.account, charge);
    if (jsonBytes([...page, charge]) > store.limits.valueBytes * MAX_PAGE_FILL && page.length > 0) {
      account = { ...account, last: account.last + 1 };
      page = [];
      pageVersion = 0;
    }
    const next = [...page, charge];
    const key = keys.grant(grant.id);
    const accountKey = keys.account(guest);
    const pageKey = keys.page(guest, account.last);
    // Until the result is known, the cached account may be out of date.
    this.invalidate(guest);
    const result = await store.transact(
      [
        ...guard,
        { key, version },
        { key: accountKey, version: state.version },
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

  /** Folds the oldest page into the sums if there are too many pages; returns whether it did. */
  async foldOldestPage(guest: string): Promise<boolean> {
    const { store } = this.core;
    const state = await this.read(guest);
    const { account } = state;
    if (account.last - account.first < MIN_KEPT_PAGES) return false;
    const key = keys.page(guest, account.first);
    const row = await store.get(key);
    const folded = { ...account.folded };
    for (const { micro, slotMs } of chargesInPage(row)) {
      folded.micro += micro;
      folded.slotMs += slotMs;
      folded.grants++;
    }
    const next: Account = { ...account, first: account.first + 1, folded };
    this.invalidate(guest);
    const result = await store.transact(
      [
        { key: keys.account(guest), version: state.version },
        { key, version: row?.version ?? 0 },
      ],
      [{ put: keys.account(guest), value: next }, { remove: key }],
    );
    return result.ok;
  }

  /**
   * Records a payment; repeating it with the same id changes nothing. Returns null after four
   * attempts in a row have failed because of concurrent changes.
   */
  async recordPayment(guest: string, id: string, micro: number): Promise<Account | null> {
    const { store } = this.core;
    const paymentKey = keys.payment(guest, id);
    for (let attempt = 0; attempt < 4; attempt++) {
      this.invalidate(guest);
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

  /** Pages of charges from page `firstPage` on, at most `maxPages` of them. */
  async readPages(guest: string, firstPage: number, maxPages: number): Promise<Charge[][]> {
    const { account } = await this.read(guest);
    const pages: Charge[][] = [];
    const from = Math.max(firstPage, account.first);
    for (let page = from; page <= account.last && pages.length < maxPages; page++) {
      pages.push(chargesInPage(await this.core.store.get(keys.page(guest, page))));
    }
    return pages;
  }
}
