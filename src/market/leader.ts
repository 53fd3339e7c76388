import { sleep } from "../clock.js";
import type { Core, LeaderTerm } from "../extension/index.js";
import { Refused } from "../state/store.js";
import type { Book } from "./book.js";
import { Calendar } from "./calendar.js";
import { Desk } from "./desk.js";
import { Demand } from "./forecast.js";
import { Giving } from "./giving.js";
import { keys } from "./records.js";
import { planZone, unusedOf, type ZonePlan } from "./reserve.js";
import { Rounds } from "./rounds.js";
import type { MarketSettings } from "./settings.js";
import { type Cluster, clusterOf } from "./zones.js";

/** How often the leader looks, as a part of the workers' report interval. */
const LOOKS = 2;
/** Recorded demand is written this seldom: losing some of it costs little. */
const SAVE_EVERY_MS = 300_000;

/**
 * What the leader does for the market, one step after another: samples the own teams' demand, gives
 * back what they need, ends grants with their charges, and clears rounds at their instants. Every
 * write depends on the leader's claim and on what it was decided from.
 */
export class MarketLeader {
  readonly #desk: Desk;
  readonly #giving: Giving;
  readonly #rounds: Rounds;
  readonly #demand: Demand;
  readonly #calendar: Calendar;
  readonly #guests: ReadonlySet<string>;
  #stopped = false;
  #loaded = false;
  #reachable = true;
  #savedAt: number;

  constructor(
    readonly core: Core,
    readonly settings: MarketSettings,
    readonly book: Book,
    readonly leading: LeaderTerm,
  ) {
    this.#desk = new Desk(core, settings, book, leading);
    this.#giving = new Giving(this.#desk);
    this.#rounds = new Rounds(this.#desk, this.#giving, (cluster, wall) =>
      this.#plans(cluster, wall, settings.termMs),
    );
    this.#demand = new Demand(settings.timeZone, settings.termMs);
    this.#calendar = new Calendar(settings.hours);
    this.#guests = new Set(settings.guests.map(({ name }) => name));
    this.#savedAt = core.clock.now();
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    const { clock, log, mirror } = this.core;
    await mirror.waitForRevision(this.leading.claim.version);
    while (!this.#stopped) {
      try {
        if (this.leading.valid()) await this.#step();
        this.#reachable = true;
      } catch (error) {
        // What was on its way may still come to pass: everything is decided anew from the store.
        if (this.#reachable) log.warn({ why: String(error) }, "market waits");
        this.#reachable = false;
      }
      await sleep(clock, this.#everyMs);
    }
  }

  async #step(): Promise<void> {
    if (!this.#loaded) await this.#load();
    const wall = Math.floor(this.core.clock.wall());
    const cluster = clusterOf(this.core, this.#guests);
    for (const { zone, own, waiting } of cluster.zones.values()) {
      this.#demand.sample(zone, own + waiting, wall);
    }
    // A grant was sold only if it ends before the own teams need its room; so what has to come back
    // is what they need by the time that guests have saved, not all that a new grant would last.
    const soon = this.#plans(cluster, wall, this.settings.saveMs + this.#everyMs);
    await this.#giving.back(cluster, soon, wall);
    await this.#giving.end(cluster, wall);
    await this.#rounds.step(cluster, wall);
    await this.#keep();
  }

  async #load(): Promise<void> {
    const { rows } = await this.core.store.list(keys.demand);
    for (const { key, value } of rows) {
      const [zone = "", hour = ""] = key.slice(keys.demand.length).split("/");
      if (typeof value === "string") {
        this.#demand.load(decodeURIComponent(zone), Number(hour), value);
      }
    }
    this.#loaded = true;
  }

  get #everyMs(): number {
    return (this.core.settings.params.workers.report_s * 1000) / LOOKS;
  }

  /** What the own teams may need within a time from now, and so what may be sold for it. */
  #plans(cluster: Cluster, wall: number, aheadMs: number): Map<string, ZonePlan> {
    const { sure, growth } = this.settings;
    const until = wall + aheadMs;
    const grants = [...this.book.grants.values()].map(({ value }) => value);
    const live = grants.filter((grant) => grant.until > wall);
    const unused = unusedOf(live, cluster.use);
    const windows = this.#calendar.windows(wall, until);
    const plans = new Map<string, ZonePlan>();
    for (const view of cluster.zones.values()) {
      const forecast = this.#demand.forecast(view.zone, wall, until, sure, growth);
      plans.set(view.zone, planZone(view, unused.get(view.zone) ?? 0, forecast, windows));
    }
    return plans;
  }

  /** What can wait: recorded demand, bids that are over, old pages. */
  async #keep(): Promise<void> {
    const { clock, store } = this.core;
    const now = clock.now();
    const wall = clock.wall();
    const over = [...this.book.bids].filter(
      ([name, { value }]) => value.until < wall && this.book.grantsOf(name).length === 0,
    );
    const batch = over.slice(0, store.limits.ops - 1);
    if (batch.length > 0 && this.#desk.mayWrite(batch.length)) {
      const gone = batch.map(([name, { version }]) => ({ key: `${keys.bids}${name}`, version }));
      await store.transact(
        [...this.#desk.guard, ...gone],
        gone.map(({ key }) => ({ remove: key })),
      );
    }
    if (now - this.#savedAt < SAVE_EVERY_MS) return;
    this.#savedAt = now;
    for (const { name } of this.settings.guests) {
      if (!this.#desk.mayWrite(2)) return;
      await this.#desk.accounts.fold(name);
    }
    for (const { zone, hour, packed } of this.#demand.changed()) {
      if (!this.#desk.mayWrite(1)) throw new Refused("no budget for recorded demand");
      await store.transact(this.#desk.guard, [{ put: keys.hour(zone, hour), value: packed }]);
    }
  }
}
