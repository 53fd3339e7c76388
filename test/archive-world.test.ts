import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeLeaf, lastIdOf } from "../src/archive/index.js";
import type { ArchiveOptions } from "../src/controller/index.js";
import { isJobHeader } from "../src/jobs/job-header.js";
import { injectRandomFault } from "./support/faults.js";
import { Random } from "./support/random.js";
import { World } from "./support/world.js";

const TEAMS = [
  { name: "red", cpus: 12, max: 20 },
  { name: "blue", cpus: 8, max: 24 },
];

/** Finished jobs are archived almost at once, so that many moves overlap with other changes. */
const EAGER_ARCHIVING: ArchiveOptions = { keep: 2, ageMs: 1000 };

const archivedJobs = (world: World): Map<string, string> => {
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

/** Verifies that each job is in the archive or has a header, never both, and that leaves have no gaps. */
function assertComplete(world: World): Map<string, string> {
  const found = archivedJobs(world);
  for (const [key, { value }] of world.state.rows) {
    if (key.startsWith("w/j/") && isJobHeader(value)) {
      assert.ok(!found.has(key.slice(4)), `${key} has a header and is archived`);
    }
  }
  for (const job of world.jobs.values()) {
    if (!job.accepted) continue;
    assert.ok(
      found.has(job.id) || world.state.rows.has(`w/j/${job.id}`),
      `${job.id} is neither archived nor has a header`,
    );
  }
  let from = "";
  for (const key of [...world.state.rows.keys()].filter((k) => k.startsWith("a/j/")).sort()) {
    const { value, version } = world.state.rows.get(key)!;
    const leaf = decodeLeaf({ key, value, version });
    assert.equal(leaf.from, from, `gap before ${key}`);
    from = lastIdOf(key)!;
  }
  return found;
}

/** Submits short jobs, cancels some, injects faults drawn from the seed; then runs without faults. */
async function runDay(seed: number): Promise<World> {
  const world = new World(seed, 3, TEAMS, 8, {}, ["a"], () => ({ archive: EAGER_ARCHIVING }));
  const random = new Random(seed + 7000);
  await world.clock.run(15_000);
  let jobs = 0;
  for (let step = 0; step < 70; step++) {
    for (let i = 0; i < 2 && random.chance(0.7); i++) {
      const id = `wk-${String((jobs++ * 7919) % 1000).padStart(4, "0")}`;
      world.submit(id, {
        team: random.pick(TEAMS).name,
        tasks: random.int(1, 5),
        runMs: random.int(1000, 6000),
      });
      if (random.chance(0.25)) world.clock.after(random.int(100, 9000), () => world.cancel(id));
    }
    if (random.chance(0.25)) injectRandomFault(world, random);
    await world.clock.run(3000);
  }
  await world.clock.run(240_000);
  return world;
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`archive: finished jobs are archived under random faults without violations (seed ${seed})`, async () => {
    const world = await runDay(seed);
    assert.deepEqual(world.violations, []);
    const found = assertComplete(world);
    const accepted = [...world.jobs.values()].filter((job) => job.accepted);
    assert.ok(accepted.length > 50, `${accepted.length} jobs`);
    // All but the newest, which are kept, and some that were still being moved.
    assert.ok(found.size >= accepted.length - 5, `${found.size} of ${accepted.length} archived`);
    for (const job of accepted) {
      const status = found.get(job.id);
      if (status === "done") assert.equal(job.done.size, job.tasks);
      if (status === "cancelled") assert.ok(job.askedToCancel);
    }
    world.stop();
  });
}
