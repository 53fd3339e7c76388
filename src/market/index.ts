/**
 * A market for spare capacity: guests bid for idle machines, the platform's own teams never wait
 * for them. Switched on by the message `market` in the operators' settings
 * (`deploy/market.textproto`); `docs/market.md` says how it works and why its rules hold.
 */
import {
  type Attachment,
  type Core,
  controllersWithoutPackage,
  type Extension,
} from "../extension/index.js";
import type { PackageDoor } from "../settings/package-definition.js";
import { MarketApi } from "./api.js";
import { Book } from "./book.js";
import { MarketLeader } from "./leader.js";
import { isAccount, isBid, isGrant, isRound } from "./records.js";
import { type MarketSettings, readSettings, schema } from "./settings.js";

export { type Hours, type Window, windowsIn } from "./calendar.js";
export {
  type Asking,
  type ClearingInput,
  type ClearingResult,
  clear,
  type Sold,
  type SpareRoom,
} from "./clearing.js";
export { type AccountView, type BidView, MarketClient, type RoundsView } from "./client.js";
export { marketCommands } from "./commands.js";
export { draw, type Ticket } from "./draw.js";
export { Demand } from "./forecast.js";
export type { Bid, Charge, Grant, Slot } from "./records.js";
export type { MarketSettings } from "./settings.js";

/** Reports need a plotting library, which nothing else does. */
export const loadReport = (): Promise<typeof import("./report.js")> => import("./report.js");

const NAME = "market";

class Market implements Extension {
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
    const book = new Book(core, this.settings);
    const api = new MarketApi(core, this.settings, book);
    return {
      find: api.find,
      policy: book,
      lead: (leading) => new MarketLeader(core, this.settings, book, leading),
      // A controller without the market does not know the guests' teams: it would neither start their
      // tasks nor end them.
      refusalReason: ({ team }) => {
        const [stranger] = book.preemptible(team) ? controllersWithoutPackage(NAME, core) : [];
        return stranger === undefined ? null : `${stranger} has no market`;
      },
      status: () => ({
        market: {
          bids: book.bids.size,
          grants: book.grants.size,
          round: book.round?.value.instant ?? null,
        },
      }),
    };
  }
}

export const door: PackageDoor = {
  schema,
  open: (raw, settings, refuse) => {
    const { workers, zones } = settings.params;
    return new Market(
      readSettings(raw, { reportS: workers.report_s, leaseS: workers.lease_s, zones }, refuse),
    );
  },
};
