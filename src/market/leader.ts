import { sleep } from "../clock.js";
import type { Core, LeaderTerm } from "../extension/index.js";
import { Refused } from "../state/store.js";
import { Calendar } from "./calendar.js";
import { planZone, unusedGrantedCpus, type ZonePlan } from "./capacity-plan.js";
import { DemandForecast } from "./demand-forecast.js";
import { GrantTermination } from "./grant-termination.js";
import { LeaderContext } from "./leader-context.js";
import type { MarketState } from "./market-state.js";
import { keys } from "./records.js";
import { Rounds } from "./rounds.js";
import type { MarketSettings } from "./settings.js";
import { type ClusterCapacity, clusterCapacityOf } from "./zones.js";

/** Steps of the market leader in one report interval of the workers. */
const STEPS_PER_REPORT = 2;
/** Recorded demand is saved rarely: losing a few minutes of it costs little. */
const DEMAND_SAVE_INTERVAL_MS = 300_000;

/**
 * The leader's periodic work for the market, one step after another: samples the own teams' demand,
 * reclaims what they need, ends grants and charges for them, and clears rounds at their instants.
 * Every write is conditional on the leader's claim and on the records it was decided from.
 */
export class MarketLeader {
  readonly #context: LeaderContext;
  readonly #grantTermination: GrantTermination;
  readonly #rounds: Rounds;
  readonly #demand: DemandForecast;
  readonly #calendar: Calendar;
  readonly #guests: ReadonlySet<string>;
  #stopped = false;
  #loaded = false;
  #storeReachable = true;
  #demandSavedAt: number;

  constructor(
    readonly core: Core,
    readonly settings: MarketSettings,
    readonly marketState: MarketState,
    readonly term: LeaderTerm,
  ) {
    this.#context = new LeaderContext(core, settings, marketState, term);
    this.#grantTermination = new GrantTermination(this.#context);
    this.#rounds = new Rounds(this.#context, this.#grantTermination, (cluster, wall) =>
      this.#planZones(cluster, wall, settings.maxGrantMs),
    );
    this.#demand = new DemandForecast(settings.timeZone, settings.maxGrantMs);
    this.#calendar = new Calendar(settings.hours);
    this.#guests = new Set(settings.guests.map(({ name }) => name));
    this.#demandSavedAt = core.clock.now();
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    const { clock, log, mirror } = this.core;
    await mirror.waitForRevision(this.term.claim.version);
    while (!this.#stopped) {
      try {
        if (this.term.valid()) await this.#step();
        this.#storeReachable = true;
      } catch (error) {
        // Writes without an answer may still be applied: the next step decides again from the
        // store.
        if (this.#storeReachable) log.warn({ why: String(error) }, "market step failed, retrying");
        this.#storeReachable = false;
      }
      await sleep(clock, this.#stepIntervalMs);
    }
  }

  async #step(): Promise<void> {
    if (!this.#loaded) await this.#load();
    const wall = Math.floor(this.core.clock.wall());
    const cluster = clusterCapacityOf(this.core, this.#guests);
    for (const { zone, own, waiting } of cluster.zones.values()) {
      this.#demand.sample(zone, own + waiting, wall);
    }
    // Grants are sold only if the forecast for their whole length leaves room for them. So only
    // what
    // the own teams need by the time that guests have saved has to be reclaimed now, not what they
    // may need over the length of a new grant.
    const nearPlans = this.#planZones(cluster, wall, this.settings.saveMs + this.#stepIntervalMs);
    await this.#grantTermination.reclaim(cluster, nearPlans, wall);
    await this.#grantTermination.closeEnded(cluster, wall);
    await this.#rounds.step(cluster, wall);
    await this.#maintain();
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

  get #stepIntervalMs(): number {
    return (this.core.settings.params.workers.report_s * 1000) / STEPS_PER_REPORT;
  }

  /**
   * By zone, what the own teams may need within `aheadMs` from now, and what may be sold for it.
   */
  #planZones(cluster: ClusterCapacity, wall: number, aheadMs: number): Map<string, ZonePlan> {
    const { demandQuantile, recentPeakFactor } = this.settings;
    const until = wall + aheadMs;
    const grants = [...this.marketState.grants.values()].map(({ value }) => value);
    const currentGrants = grants.filter((grant) => grant.until > wall);
    const unusedCpus = unusedGrantedCpus(currentGrants, cluster.usedCpus);
    const windows = this.#calendar.windows(wall, until);
    const plans = new Map<string, ZonePlan>();
    for (const view of cluster.zones.values()) {
      const forecast = this.#demand.forecast(
        view.zone,
        wall,
        until,
        demandQuantile,
        recentPeakFactor,
      );
      plans.set(view.zone, planZone(view, unusedCpus.get(view.zone) ?? 0, forecast, windows));
    }
    return plans;
  }

  /** Low-priority writes: removes expired bids, folds old charge pages, saves recorded demand. */
  async #maintain(): Promise<void> {
    const { clock, store } = this.core;
    const now = clock.now();
    const wall = clock.wall();
    const expired = [...this.marketState.bids].filter(
      ([name, { value }]) => value.until < wall && this.marketState.grantsOf(name).length === 0,
    );
    const expiredBatch = expired.slice(0, store.limits.ops - 1);
    if (expiredBatch.length > 0 && this.#context.takeWrites(expiredBatch.length)) {
      const conditions = expiredBatch.map(([name, { version }]) => ({
        key: `${keys.bids}${name}`,
        version,
      }));
      await store.transact(
        [...this.#context.leaderCondition, ...conditions],
        conditions.map(({ key }) => ({ remove: key })),
      );
    }
    if (now - this.#demandSavedAt < DEMAND_SAVE_INTERVAL_MS) return;
    this.#demandSavedAt = now;
    for (const { name } of this.settings.guests) {
      if (!this.#context.takeWrites(2)) return;
      await this.#context.accounts.foldOldestPage(name);
    }
    for (const { zone, hour, packed } of this.#demand.takeChanged()) {
      if (!this.#context.takeWrites(1))
        throw new Refused("no write budget left to save recorded demand");
      await store.transact(this.#context.leaderCondition, [
        { put: keys.hour(zone, hour), value: packed },
      ]);
    }
  }
}
