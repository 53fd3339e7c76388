import assert from "node:assert/strict";
import { test } from "node:test";
import { keys } from "../src/state/keys.js";
import { AFTER, BEFORE } from "./support/common.js";
import { ConfiguredWorld } from "./support/configured.js";
import { fault } from "./support/faults.js";
import { buildProgram, hasHistory, type Program, productionCommit } from "./support/production.js";
import { Random } from "./support/random.js";
import { TEAMS, wrongs } from "./support/troubled.js";
import { World } from "./support/world.js";

const commit = productionCommit();
const skip = hasHistory(commit) ? false : `this checkout has no history: ${commit} is not there`;

interface Plan {
  seed: number;
  nodes: number;
  /** All fall back to production in the end, before any pipeline was submitted. */
  back: boolean;
}

/**
 * Production serves; its controllers are killed in a drawn order and come back new, one that dies before
 * its turn comes back old; all troubles meanwhile. Then the limits fall and pipelines come.
 */
async function upgradeDay(old: Program, { seed, nodes, back }: Plan): Promise<World> {
  const isNew = new Set<number>();
  const programs = (n: number): Program | null => (isNew.has(n) ? null : old);
  const world = new World(seed, nodes, TEAMS, 10, {}, ["a"], undefined, 60, programs);
  const dice = new Random(seed + 300);
  await world.clock.run(20_000);
  let jobs = 0;
  const submit = (tasks: number, runMs: number, awaits: string[] = []): string => {
    const id = `wk-${900_000 + jobs++}`;
    const body = { memGb: 0.1, awaits };
    world.submit(id, { team: dice.pick(TEAMS).name, tasks, cpus: 0.125, runMs, body });
    return id;
  };
  const work = async (steps: number, troubled: boolean): Promise<void> => {
    for (let step = 0; step < steps; step++) {
      if (dice.chance(0.5)) {
        const id = submit(dice.int(1, 50), dice.int(2000, 25_000));
        if (dice.chance(0.15)) world.clock.after(dice.int(100, 9000), () => world.cancel(id));
      }
      if (troubled && dice.chance(0.2)) fault(world, dice);
      await world.clock.run(3000);
    }
  };
  for (let n = 0; n < 5; n++) submit(dice.int(80, 130), dice.int(50_000, 70_000));
  await work(8, false);
  const turn = async (to: "new" | "old"): Promise<void> => {
    const left = Array.from({ length: nodes }, (_, n) => n);
    while (left.length > 0) {
      const [n] = left.splice(dice.int(0, left.length - 1), 1) as [number];
      if (to === "new") isNew.add(n);
      else isNew.delete(n);
      world.stores[n]!.limits = to === "new" ? AFTER : BEFORE;
      world.crash(n, dice.int(200, 5000));
      await work(dice.int(1, 4), true);
      // One that dies before its turn comes back as it was.
      if (left.length > 0 && dice.chance(0.4)) world.crash(dice.pick(left), dice.int(200, 5000));
    }
  };
  await turn("new");
  if (back) await turn("old");
  else {
    await work(3, true);
    world.state.limits = AFTER;
    for (let n = 0; n < 6; n++) {
      const first = submit(dice.int(1, 6), dice.int(2000, 9000));
      while (!world.jobs.get(first)!.accepted) await world.clock.run(500);
      const second = submit(dice.int(1, 6), dice.int(2000, 9000), [first]);
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
  const what = plan.back ? "and back again" : "then smaller limits and pipelines";
  test(`mixed: production and this version side by side, ${what}, ${plan.nodes} controllers`, {
    skip,
  }, async () => {
    const world = await upgradeDay(await buildProgram(commit), plan);
    assert.deepEqual(wrongs(world), []);
    if (!plan.back)
      assert.deepEqual(
        world.stores.flatMap(({ rejected }) => rejected),
        [],
      );
  });
}

test("upgrade: no revision while production serves, by name; beside one, production ends", {
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
  world.busy(20);
  await replaceLast(old);
  assert.ok(world.state.rows.has(keys.node("n2")));
  const early = world.change(0, { teams: [{ name: "red", weight: 2 }], groups: [] }, 0);
  await world.clock.run(2000);
  assert.equal((await early)?.status, 503);
  assert.match(JSON.stringify((await early)?.body), /follow revisions: n2/);
  await replaceLast(null);
  const made = world.limit("red", 8);
  await world.clock.run(6000);
  assert.equal(await made, 1);
  // Rolled back by mistake: it holds nothing, and says nothing of itself.
  await replaceLast(old);
  assert.ok(!world.deciders().has("n2"));
  assert.ok(!world.state.rows.has(keys.node("n2")));
  assert.deepEqual(world.violations, []);
  world.stop();
});
