import type { Operators } from "../../src/settings/operators.js";
import { unmetDayTargets } from "./day-checks.js";
import { injectRandomFault } from "./faults.js";
import { Random } from "./random.js";
import { type DisabledGuards, World } from "./world.js";

export const TEAMS = [
  { name: "red", cpus: 12, max: 20 },
  { name: "blue", cpus: 8, max: 24 },
];

export interface DayPlan {
  sabotage?: DisabledGuards;
  nodes?: number;
  operators?: Partial<Operators>;
}

/** Plays random jobs and faults for three minutes, then five minutes without new ones. */
export async function playFaultDay(seed: number, plan: DayPlan = {}): Promise<World> {
  const { sabotage = {}, nodes = 3, operators = {} } = plan;
  const world = new World(seed, nodes, TEAMS, 8, sabotage, ["a"], () => operators);
  const random = new Random(seed + 1000);
  await world.clock.run(20_000);
  let jobs = 0;
  for (let step = 0; step < 60; step++) {
    if (random.chance(0.45)) {
      const id = `wk-${String(100_000 + jobs++)}`;
      world.submit(id, {
        team: random.pick(TEAMS).name,
        tasks: random.int(1, 14),
        cpus: random.int(1, 2),
        runMs: random.int(2000, 30_000),
        spot: random.chance(0.7),
        rank: random.pick(["best_effort", "normal", "urgent"]),
        eidos: random.pick(["short", "long"]),
      });
      if (random.chance(0.2)) world.clock.after(random.int(100, 20_000), () => world.cancel(id));
    }
    if (random.chance(0.25)) injectRandomFault(world, random);
    await world.clock.run(3000);
  }
  await world.clock.run(300_000);
  world.stop();
  return world;
}

/** All problems of a day: violated rules, the operators' checks, jobs that never ended. */
export function dayProblems(world: World): string[] {
  return [
    ...world.violations.map(({ rule, at, detail }) => `${rule} at ${at}: ${detail}`),
    ...unmetDayTargets(world),
    ...(world.startsAfterCancel > 0
      ? [`${world.startsAfterCancel} starts after a confirmed cancellation`]
      : []),
    ...[...world.jobs.values()]
      .filter((job) => job.accepted && !job.toldDone && job.toldCancelledAt === null)
      .map(({ id, done, tasks }) => `${id}: ${done.size} of ${tasks} done`),
  ];
}
