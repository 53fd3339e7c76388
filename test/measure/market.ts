/**
 * Delay of the platform's own jobs by the market, and speed of the market: `npm run measure:market`.
 * Prints one line per figure; docs/market.md has them with the machine they were measured on.
 */

import { type ClearingBid, clearRound, type SpareCapacity } from "../../src/market/clearing.js";
import { RateLimiter } from "../../src/state/rate-limiter.js";
import { Refused } from "../../src/state/store.js";
import { MARKET_SETTINGS, MarketWorld, operatorsOf } from "../support/market.js";
import { playDay, quantile } from "../support/market-days.js";
import { Random } from "../support/random.js";

const operators = await operatorsOf(MARKET_SETTINGS);
const line = (name: string, figures: Record<string, number | string>): void => {
  const text = Object.entries(figures).map(([key, value]) => `${key} ${value}`);
  process.stdout.write(`${name}: ${text.join(", ")}\n`);
};

async function starts(): Promise<void> {
  const delays: number[] = [];
  const all: [string, number[], number[]][] = [
    ["first task", [], []],
    ["whole job", [], []],
  ];
  const behind: number[] = [];
  const randomDelays: number[] = [];
  let idle = 0;
  let used = 0;
  for (let seed = 1; seed <= 8; seed++) {
    const day = { seed, stormAt: 190_000, lengthMs: 360_000 };
    const off = await playDay({ ...day, operators: {}, guests: false });
    // The same days again with the market on and empty: differences here are random.
    const empty = await playDay({ ...day, operators, guests: false });
    for (const [id, ms] of off.first) {
      const other = empty.first.get(id);
      if (other !== undefined) randomDelays.push(other - ms);
    }
    const on = await playDay({ ...day, operators, guests: true });
    for (const [n, field] of (["first", "whole"] as const).entries()) {
      for (const [id, ms] of off[field]) {
        const other = on[field].get(id);
        if (other === undefined) continue;
        all[n]![1].push(ms);
        all[n]![2].push(other);
        if (n === 0) delays.push(other - ms);
      }
    }
    behind.push(...on.waitedBehindGuestsMs.values());
    idle += on.idle;
    used += on.used;
    for (const { market } of [off, empty, on]) {
      market.world.stop();
      const wrong = [...market.world.violations, ...market.ruleViolations];
      if (wrong.length > 0) line(`seed ${seed}`, { wrong: JSON.stringify(wrong) });
    }
  }
  for (const [name, without, withIt] of all) {
    line(`own starts, ${name}, simulated ms`, {
      jobs: without.length,
      "p50 off": quantile(without, 0.5),
      "p50 on": quantile(withIt, 0.5),
      "p99 off": quantile(without, 0.99),
      "p99 on": quantile(withIt, 0.99),
      "max off": Math.max(...without),
      "max on": Math.max(...withIt),
    });
  }
  for (const [name, list] of [
    ["market on and full", delays],
    ["market on and empty", randomDelays],
  ] as const) {
    line(`own starts, ${name} less off, job by job, simulated ms`, {
      p50: quantile(list, 0.5),
      p99: quantile(list, 0.99),
      largest: Math.max(...list),
      later: `${list.filter((ms) => ms > 100).length} of ${list.length}`,
    });
  }
  line("own tasks that waited while guests were on machines, simulated ms", {
    tasks: behind.length,
    p50: quantile(behind, 0.5),
    p99: quantile(behind, 0.99),
    largest: Math.max(...behind),
  });
  line("idle CPU time used by guests, simulated", { share: (used / idle).toFixed(3) });
}

async function bids(): Promise<void> {
  for (const changes of [30, 80]) {
    const text = MARKET_SETTINGS.replace("bids_a_minute: 600", "bids_a_minute: 100000").replace(
      "open_bids: 40",
      "open_bids: 10000",
    );
    const fast = await operatorsOf(text);
    const market = new MarketWorld(() => fast, { seed: 5 });
    const { world } = market;
    for (const store of world.stores) {
      // The service's limit is for all controllers: each has its share of it, as in divide().
      store.writes.change(changes * 0.45, changes * 0.45);
    }
    // The state service itself allows this many changes a second for all controllers together.
    const limit = new RateLimiter(changes, changes, world.clock);
    const real = world.state.transact.bind(world.state);
    world.state.transact = (when, then) => {
      if (then.length > 0 && !limit.take(then.length)) throw new Refused("429");
      return real(when, then);
    };
    await world.clock.run(30_000);
    let acceptedCount = 0;
    const ms = 60_000;
    for (let n = 0; n < 9000; n++) {
      world.clock.after((n * ms) / 9000, () => {
        const body = market.bidOf(`fast-${n}`, { latest: market.now + 600 });
        void world.ask(n % 3, "POST", "/market/bids", body).then((answer) => {
          if (answer?.status === 201) acceptedCount++;
        });
      });
    }
    await world.clock.run(ms);
    line(`bids acknowledged, simulated, ${changes} changes a second`, {
      "a second": (acceptedCount / (ms / 1000)).toFixed(1),
    });
    world.stop();
  }
}

function clearing(): void {
  const random = new Random(3);
  for (const machines of [450, 5000]) {
    const rooms: SpareCapacity[] = Array.from({ length: machines / 10 }, (_, n) => ({
      zone: n % 2 === 0 ? "a" : "b",
      part: n % 5,
      cpus: random.int(1, 32),
      gpus: 0,
      memGb: random.int(4, 128),
      count: 10,
    }));
    for (const count of [100, 1000, 10_000]) {
      const openBids: ClearingBid[] = Array.from({ length: count }, (_, n) => ({
        bid: `g/${n}`,
        guest: "g",
        slot: { cpus: random.pick([1, 2, 4, 8]), gpus: 0, memGb: random.pick([1, 4, 16]) },
        want: random.int(1, 20),
        zone: random.pick([null, null, "a", "b"]),
        most: random.int(1, 40) * 100_000,
        stamp: n,
        salt: `${n}`,
      }));
      const times: number[] = [];
      let soldSlots = 0;
      for (let run = 0; run < 5; run++) {
        const begin = performance.now();
        const result = clearRound({
          instant: 60_000,
          lengthMs: 600_000,
          bids: openBids,
          spareCapacity: rooms,
          sellable: new Map([
            ["a", 1e6],
            ["b", 1e6],
          ]),
          guests: new Map([["g", { cpus: 1e6, gpus: 0, credit: 1e15 }]]),
          coreEquivalents: { gpus: 0, memGb: 0.25 },
          minPriceMicro: 0,
          maxWinners: count,
        });
        times.push(performance.now() - begin);
        soldSlots = result.sold.reduce((sum, { slots }) => sum + slots, 0);
      }
      line(`clearing, this machine, ${count} bids, ${machines} machines`, {
        "median ms": quantile(times, 0.5).toFixed(1),
        slots: soldSlots,
      });
    }
  }
}

clearing();
await bids();
await starts();
