/**
 * A market for spare capacity: guests bid for idle machines, the platform's own teams never wait
 * for them. Enabled by the message `market` in the operators' settings (`deploy/market.textproto`);
 * `docs/market.md` describes how it works and why its rules hold.
 */
import {
  type Attachment,
  type Core,
  controllersWithoutPackage,
  type Extension,
} from "../extension/index.js";
import type { PackageDefinition } from "../settings/package-definition.js";
import { MarketApi } from "./api.js";
import { MarketLeader } from "./leader.js";
import { MarketState } from "./market-state.js";
import { isAccount, isBid, isGrant, isRound } from "./records.js";
import { type MarketSettings, readSettings, schema } from "./settings.js";

export { type Hours, type Window, windowsIn } from "./calendar.js";
export {
  type ClearingBid as Asking,
  type ClearingInput,
  type ClearingResult,
  clearRound as clear,
  type SoldSlots,
  type SpareCapacity as SpareRoom,
} from "./clearing.js";
export { type AccountView, type BidView, MarketClient, type RoundsView } from "./client.js";
export { marketCommands } from "./commands.js";
export { DemandForecast } from "./demand-forecast.js";
export type { Bid, Charge, Grant, Slot } from "./records.js";
export type { MarketSettings } from "./settings.js";
export { type DrawEntry, tieBreakOrder } from "./tie-break.js";

/** Loaded on demand: only reports need the plotting library. */
export const loadReport = (): Promise<typeof import("./report.js")> => import("./report.js");

const NAME = "market";

class MarketExtension implements Extension {
  readonly name = NAME;

  constructor(readonly settings: MarketSettings) {}

  get teams(): Extension["teams"] {
    return this.settings.guests.map(({ name, group, most }) => ({ name, group, most }));
  }

  attach(core: Core): Attachment {
    core.store.writable
      .add(/^w\/m\/b\//, isBid)
      .add(/^w\/m\/g\//, isGrant)
      .add(/^w\/m\/round$/, isRound)
      .add(/^m\/a\//, isAccount);
    const marketState = new MarketState(core, this.settings);
    const api = new MarketApi(core, this.settings, marketState);
    return {
      find: api.find,
      policy: marketState,
      lead: (term) => new MarketLeader(core, this.settings, marketState, term),
      // A controller without the market does not know the guests' teams: it would neither start nor
      // stop their tasks.
      refusalReason: ({ team }) => {
        const [withoutMarket] = marketState.preemptible(team)
          ? controllersWithoutPackage(NAME, core)
          : [];
        return withoutMarket === undefined
          ? null
          : `controller ${withoutMarket} has not enabled the market`;
      },
      status: () => ({
        market: {
          bids: marketState.bids.size,
          grants: marketState.grants.size,
          round: marketState.round?.value.instant ?? null,
        },
      }),
    };
  }
}

export const door: PackageDefinition = {
  schema,
  createExtension: (raw, settings, refuse) => {
    const { workers, zones } = settings.params;
    return new MarketExtension(
      readSettings(raw, { reportS: workers.report_s, leaseS: workers.lease_s, zones }, refuse),
    );
  },
};
