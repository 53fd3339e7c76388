import type { Core, LeaderTerm } from "../extension/index.js";
import type { Condition } from "../state/store.js";
import { Accounts } from "./accounts.js";
import type { Book } from "./book.js";
import type { MarketSettings } from "./settings.js";

/** What all that the leader does for the market works with, as long as one claim holds. */
export class Desk {
  readonly accounts: Accounts;

  constructor(
    readonly core: Core,
    readonly settings: MarketSettings,
    readonly book: Book,
    readonly leading: LeaderTerm,
  ) {
    this.accounts = new Accounts(core);
  }

  /** Changes that can wait: only when users, owners and the rest leave room for them. */
  mayWrite(changes: number): boolean {
    const { writes } = this.core.store;
    return this.leading.valid() && writes.take(changes, writes.burst / 3);
  }

  /** What every write depends on. */
  get guard(): Condition[] {
    return [this.leading.claim];
  }
}
