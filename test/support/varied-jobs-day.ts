import type { DayPlan } from "./fault-day.js";
import { injectRandomFault } from "./faults.js";
import { Random } from "./random.js";
import { World } from "./world.js";

const TEAMS = [
  { name: "red", cpus: 12, max: 18 },
  { name: "blue", cpus: 8, max: 14 },
  { name: "guests", cpus: 0, max: 10 },
];

/**
 * Plays jobs of all kinds in two zones with teams at their limits and random faults, often several at
 * once: arrays, gangs and services, in one zone, together or scattered, some dependent on others.
 */
export async function playVariedJobsDay(seed: number, plan: DayPlan = {}): Promise<World> {
  const { sabotage = {}, nodes = 4, operators = {} } = plan;
  const world = new World(seed, nodes, TEAMS, 10, sabotage, ["a", "b"], () => operators);
  world.cloud.zoneCapacity = 5;
  const random = new Random(seed + 2000);
  const services: string[] = [];
  const accepted: string[] = [];
  let jobs = 0;
  const submit = (): void => {
    const id = `wk-${600_000 + jobs++}`;
    const shape = random.pick(["batch", "batch", "batch", "ensemble", "service"]);
    // A scattered gang cannot run whole in a part whose machines are of one zone (docs/ROADMAP.md).
    const scatterUnlessGang = shape === "ensemble" ? {} : { scatter: true };
    const zoneConstraint = random.pick([
      {},
      {},
      { berth: "a" },
      { together: true },
      scatterUnlessGang,
    ]);
    const isSmall = shape !== "batch";
    const awaits = random.chance(0.2) && accepted.length > 0 ? [random.pick(accepted)] : [];
    world.submit(id, {
      team: random.pick(TEAMS).name,
      tasks: isSmall ? random.int(1, 3) : random.int(1, 8),
      cpus: isSmall ? 1 : random.int(1, 2),
      // A service runs until its user cancels it.
      runMs: shape === "service" ? 10 ** 9 : random.int(2000, 20_000),
      rank: random.pick(["best_effort", "normal", "urgent", "prod"]),
      eidos: shape,
      awaits,
      body: { shape, ...zoneConstraint, awaits },
    });
    if (shape === "service") services.push(id);
    else {
      const job = world.jobs.get(id)!;
      world.clock.after(4000, () => {
        if (job.accepted) accepted.push(id);
      });
    }
    const cancelProbability = shape === "service" ? 0.5 : 0.15;
    if (random.chance(cancelProbability))
      world.clock.after(random.int(100, 40_000), () => world.cancel(id));
  };
  await world.clock.run(20_000);
  for (let step = 0; step < 50; step++) {
    if (random.chance(0.4)) submit();
    if (random.chance(0.3)) injectRandomFault(world, random);
    await world.clock.run(3000);
  }
  for (const id of services) if (!world.jobs.get(id)!.askedToCancel) world.cancel(id);
  await world.clock.run(420_000);
  world.stop();
  return world;
}
