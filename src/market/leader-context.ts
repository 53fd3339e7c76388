import type { Core, LeaderTerm } from "../extension/index.js";
import type { Condition } from "../state/store.js";
import { Accounts } from "./accounts.js";
import type { MarketState } from "./market-state.js";
import type { MarketSettings } from "./settings.js";

/** What the market's leader tasks share during one leader term. */
export class LeaderContext {
  readonly accounts: Accounts;

  constructor(
    readonly core: Core,
    readonly settings: MarketSettings,
    readonly marketState: MarketState,
    readonly term: LeaderTerm,
  ) {
    this.accounts = new Accounts(core);
  }

  /**
   * Takes write budget for changes that can wait; false if the leader claim is not valid, or if less
   * than a third of the burst would remain for users' jobs and part owners.
   */
  takeWrites(changes: number): boolean {
    const { writes } = this.core.store;
    return this.term.valid() && writes.take(changes, writes.burst / 3);
  }

  /** Condition of every write: the leader claim is still held. */
  get leaderCondition(): Condition[] {
    return [this.term.claim];
  }
}
