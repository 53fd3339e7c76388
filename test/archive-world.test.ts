import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeLeaf, lastOf } from "../src/archive/index.js";
import type { ArchiveOptions } from "../src/controller/index.js";
import { isHeader } from "../src/jobs/job-header.js";
import { fault } from "./support/faults.js";
import { Random } from "./support/random.js";
import { World } from "./support/world.js";

const TEAMS = [
  { name: "red", cpus: 12, max: 20 },
  { name: "blue", cpus: 8, max: 24 },
];

/** Nearly everything goes at once, so that much moves while much else happens. */
const EAGER: ArchiveOptions = { keep: 2, ageMs: 1000 };

const archived = (world: World): Map<string, string> => {
  const found = new Map<string, string>();
  for (const [key, { value, version }] of world.state.rows) {
    if (!key.startsWith("a/j/")) continue;
    for (const [id, past] of decodeLeaf({ key, value, version }).entries) {
      assert.ok(!found.has(id), `${id} is in two leaves`);
      found.set(id, past.status);
    }
  }
  return found;
};

/** Every job in the archive or among the headers, never in both; leaves without gaps. */
function wholeness(world: World): Map<string, string> {
  const found = archived(world);
  for (const [key, { value }] of world.state.rows) {
    if (key.startsWith("w/j/") && isHeader(value)) {
      assert.ok(!found.has(key.slice(4)), `${key} has a header and is archived`);
    }
  }
  for (const job of world.jobs.values()) {
    if (!job.accepted) continue;
    assert.ok(found.has(job.id) || world.state.rows.has(`w/j/${job.id}`), `${job.id} is nowhere`);
  }
  let from = "";
  for (const key of [...world.state.rows.keys()].filter((k) => k.startsWith("a/j/")).sort()) {
    const { value, version } = world.state.rows.get(key)!;
    const leaf = decodeLeaf({ key, value, version });
    assert.equal(leaf.from, from, `before ${key}`);
    from = lastOf(key)!;
  }
  return found;
}

/** Short jobs, some cancelled, with faults drawn from the seed; then quiet. */
async function day(seed: number): Promise<World> {
  const world = new World(seed, 3, TEAMS, 8, {}, ["a"], () => ({ archive: EAGER }));
  const dice = new Random(seed + 7000);
  await world.clock.run(15_000);
  let jobs = 0;
  for (let step = 0; step < 70; step++) {
    for (let i = 0; i < 2 && dice.chance(0.7); i++) {
      const id = `wk-${String((jobs++ * 7919) % 1000).padStart(4, "0")}`;
      world.submit(id, {
        team: dice.pick(TEAMS).name,
        tasks: dice.int(1, 5),
        runMs: dice.int(1000, 6000),
      });
      if (dice.chance(0.25)) world.clock.after(dice.int(100, 9000), () => world.cancel(id));
    }
    if (dice.chance(0.25)) fault(world, dice);
    await world.clock.run(3000);
  }
  await world.clock.run(240_000);
  return world;
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`archive: jobs leave the watched keys on a rough day, and no rule is broken (seed ${seed})`, async () => {
    const world = await day(seed);
    assert.deepEqual(world.violations, []);
    const found = wholeness(world);
    const accepted = [...world.jobs.values()].filter((job) => job.accepted);
    assert.ok(accepted.length > 50, `${accepted.length} jobs`);
    // All but those that stay, with some that were still moving.
    assert.ok(found.size >= accepted.length - 5, `${found.size} of ${accepted.length} archived`);
    for (const job of accepted) {
      const status = found.get(job.id);
      if (status === "done") assert.equal(job.done.size, job.tasks);
      if (status === "cancelled") assert.ok(job.askedToCancel);
    }
    world.stop();
  });
}
