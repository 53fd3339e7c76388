import assert from "node:assert/strict";
import { test } from "node:test";
import { keys } from "../src/state/keys.js";
import { LIMITS_AFTER, LIMITS_BEFORE } from "./support/common.js";
import { ConfiguredWorld } from "./support/configured.js";
import { dayProblems, TEAMS } from "./support/fault-day.js";
import { injectRandomFault } from "./support/faults.js";
import { buildProgram, hasHistory, type Program, productionCommit } from "./support/production.js";
import { Random } from "./support/random.js";
import { World } from "./support/world.js";

const commit = productionCommit();
const skip = hasHistory(commit) ? false : `this checkout lacks the production commit ${commit}`;

interface Plan {
  seed: number;
  nodes: number;
  /** In the end all controllers return to the production build, before any pipeline was submitted. */
  back: boolean;
}

/**
 * Upgrades a cluster of the production build: controllers are killed in random order and restart with
 * this build; one that dies before its turn restarts with the old one. Random faults meanwhile. Then
 * the limits of the state service fall, and pipelines are submitted.
 */
async function upgradeDay(old: Program, { seed, nodes, back }: Plan): Promise<World> {
  const isNew = new Set<number>();
  const programs = (n: number): Program | null => (isNew.has(n) ? null : old);
  const world = new World(seed, nodes, TEAMS, 10, {}, ["a"], undefined, 60, programs);
  const random = new Random(seed + 300);
  await world.clock.run(20_000);
  let jobs = 0;
  const submit = (tasks: number, runMs: number, awaits: string[] = []): string => {
    const id = `wk-${900_000 + jobs++}`;
    const body = { memGb: 0.1, awaits };
    world.submit(id, { team: random.pick(TEAMS).name, tasks, cpus: 0.125, runMs, body });
    return id;
  };
  const work = async (steps: number, withFaults: boolean): Promise<void> => {
    for (let step = 0; step < steps; step++) {
      if (random.chance(0.5)) {
        const id = submit(random.int(1, 50), random.int(2000, 25_000));
        if (random.chance(0.15)) world.clock.after(random.int(100, 9000), () => world.cancel(id));
      }
      if (withFaults && random.chance(0.2)) injectRandomFault(world, random);
      await world.clock.run(3000);
    }
  };
  for (let n = 0; n < 5; n++) submit(random.int(80, 130), random.int(50_000, 70_000));
  await work(8, false);
  const replaceAll = async (to: "new" | "old"): Promise<void> => {
    const remaining = Array.from({ length: nodes }, (_, n) => n);
    while (remaining.length > 0) {
      const [n] = remaining.splice(random.int(0, remaining.length - 1), 1) as [number];
      if (to === "new") isNew.add(n);
      else isNew.delete(n);
      world.stores[n]!.limits = to === "new" ? LIMITS_AFTER : LIMITS_BEFORE;
      world.crash(n, random.int(200, 5000));
      await work(random.int(1, 4), true);
      // One that dies before its turn restarts with the same build.
      if (remaining.length > 0 && random.chance(0.4))
        world.crash(random.pick(remaining), random.int(200, 5000));
    }
  };
  await replaceAll("new");
  if (back) await replaceAll("old");
  else {
    await work(3, true);
    world.state.limits = LIMITS_AFTER;
    for (let n = 0; n < 6; n++) {
      const first = submit(random.int(1, 6), random.int(2000, 9000));
      while (!world.jobs.get(first)!.accepted) await world.clock.run(500);
      const second = submit(random.int(1, 6), random.int(2000, 9000), [first]);
      while (!world.jobs.get(second)!.accepted) await world.clock.run(500);
      submit(1, 3000, [first, second]);
      if (n % 3 === 0) world.cancel(first);
      await work(2, true);
    }
  }
  await world.clock.run(300_000);
  world.stop();
  return world;
}

for (const plan of [
  { seed: 1, nodes: 3, back: false },
  { seed: 2, nodes: 5, back: false },
  { seed: 3, nodes: 3, back: true },
]) {
  const ending = plan.back ? "and back again" : "then smaller limits and pipelines";
  test(`mixed: production and this version side by side, ${ending}, ${plan.nodes} controllers`, {
    skip,
  }, async () => {
    const world = await upgradeDay(await buildProgram(commit), plan);
    assert.deepEqual(dayProblems(world), []);
    if (!plan.back)
      assert.deepEqual(
        world.stores.flatMap(({ rejectionMessages: rejected }) => rejected),
        [],
      );
  });
}

test("upgrade: no revision while a production controller is present, which is named; with a revision, production ends", {
  skip,
}, async () => {
  const old = await buildProgram(commit);
  const world = new ConfiguredWorld(31, 3);
  const replaceLast = async (program: Program | null): Promise<void> => {
    world.programs = (n) => (n === 2 ? program : null);
    world.crash(2, 1000);
    await world.clock.run(10_000);
  };
  await world.ready();
  world.submitLoad(20);
  await replaceLast(old);
  assert.ok(world.state.rows.has(keys.node("n2")));
  const early = world.change(0, { teams: [{ name: "red", weight: 2 }], groups: [] }, 0);
  await world.clock.run(2000);
  assert.equal((await early)?.status, 503);
  assert.match(JSON.stringify((await early)?.body), /follow revisions: n2/);
  await replaceLast(null);
  const change = world.limit("red", 8);
  await world.clock.run(6000);
  assert.equal(await change, 1);
  // Rolled back by mistake: it holds no part and publishes no presence record.
  await replaceLast(old);
  assert.ok(!world.revisionsInUse().has("n2"));
  assert.ok(!world.state.rows.has(keys.node("n2")));
  assert.deepEqual(world.violations, []);
  world.stop();
});
