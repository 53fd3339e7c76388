import type { Operators } from "../../src/settings/operators.js";
import { MarketWorld, TEAMS } from "./market.js";
import { Random } from "./random.js";

export interface DayOptions {
  seed: number;
  operators: Partial<Operators>;
  /** Guests bid for all capacity, and always have work. */
  guests: boolean;
  /** From this time on, ms, the own teams' work doubles for a minute; null: never. */
  stormAt: number | null;
  lengthMs: number;
}

export interface DayResult {
  market: MarketWorld;
  /** By own job: from its submission to its first start, and to its last start, ms. */
  first: Map<string, number>;
  whole: Map<string, number>;
  /** By own task: how long it waited while guests' tasks were on machines, ms. */
  waitedBehindGuestsMs: Map<string, number>;
  /** CPU-milliseconds not used by own tasks, and those of them that guests used. */
  idle: number;
  used: number;
}

/**
 * Plays a seeded day of own jobs, the same with guests and without: every 6 s an array job of one of
 * the platform's teams, in waves of a minute that leave machines idle in between.
 */
export async function playDay(options: DayOptions): Promise<DayResult> {
  const { seed, operators, guests, stormAt, lengthMs } = options;
  const market = new MarketWorld(() => operators, { seed, capacity: 16 });
  const { world } = market;
  const random = new Random(seed + 500);
  const submitted = new Map<string, { at: number; tasks: number }>();
  const startedAt = new Map<string, number>();
  const first = new Map<string, number>();
  const whole = new Map<string, number>();
  const behind = new Map<string, number>();
  let idle = 0;
  let used = 0;
  let jobCount = 0;
  const submitOwnJob = (tasks: number): void => {
    const id = `wk-own-${jobCount++}`;
    const runMs = random.int(3000, 9000);
    world.submit(id, { team: random.pick(TEAMS).name, tasks, cpus: 2, runMs });
    submitted.set(id, { at: world.clock.now(), tasks });
  };
  await world.clock.run(20_000);
  const submitBids = (n: number): void => {
    for (const guest of ["visitor", "institute"]) {
      void market.bid(`${guest}-${n}`, {
        guest,
        slots: 12,
        price: 1 + n,
        latest: market.now + 3600,
      });
    }
  };
  if (guests) {
    submitBids(0);
    for (const guest of ["visitor", "institute"]) {
      world.submit(`wk-${guest}`, { team: guest, tasks: 400, cpus: 2, runMs: 30_000 });
    }
  }
  const begin = world.clock.now();
  let next = begin;
  while (world.clock.now() - begin < lengthMs) {
    const now = world.clock.now();
    const storm = stormAt !== null && now - begin >= stormAt && now - begin < stormAt + 60_000;
    if (now >= next) {
      const wave = Math.floor((now - begin) / 60_000) % 2 === 0;
      if (wave || storm) submitOwnJob(random.int(2, 5) * (storm ? 2 : 1));
      next = now + 6000;
    }
    await world.clock.run(100);
    for (const [piece, { at }] of world.starts) {
      const id = piece.slice(0, piece.lastIndexOf("/"));
      const job = submitted.get(id);
      if (job === undefined || startedAt.has(piece)) continue;
      startedAt.set(piece, at);
      if (!first.has(id)) first.set(id, at - job.at);
      whole.set(id, Math.max(whole.get(id) ?? 0, at - job.at));
    }
    let guestCpus = 0;
    let freeCpus = 0;
    for (const worker of world.workers.values()) {
      let busyCpus = 0;
      for (const task of worker.tasks.values()) {
        if (task.state === "ended") continue;
        busyCpus += 2;
        if (!task.piece.startsWith("wk-own")) guestCpus += 2;
      }
      freeCpus += 4 - busyCpus;
    }
    idle += (freeCpus + guestCpus) * 100;
    used += guestCpus * 100;
    for (const [id, { tasks }] of guestCpus > 0 ? submitted : []) {
      for (let n = 0; n < tasks; n++) {
        const piece = `${id}/${n}`;
        if (!startedAt.has(piece)) behind.set(piece, (behind.get(piece) ?? 0) + 100);
      }
    }
  }
  return { market, first, whole, waitedBehindGuestsMs: behind, idle, used };
}

/** The value below which the given share of the values lies. */
export function quantile(values: Iterable<number>, share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
}
