import assert from "node:assert/strict";
import { test } from "node:test";
import { checkImage, collect, type Image, restoreImage } from "../src/image/index.js";
import { isHeader } from "../src/jobs/job-header.js";
import { Random } from "./support/random.js";
import { World } from "./support/world.js";

const TEAMS = [
  { name: "red", cpus: 12, max: 20 },
  { name: "blue", cpus: 8, max: 24 },
];
const limits = new Map(TEAMS.map(({ name, max }) => [name, { cpus: max, gpus: 0 }]));

interface Restored {
  world: World;
  image: Image;
  /** Jobs whose acceptance, end or cancellation was told between the image and the loss. */
  late: Set<string>;
  /** Machines whose workers were answered all the time, up to three leases later. */
  survivors: number;
}

/** What of a day is told about a job: accepted, done, cancelled. */
const told = (world: World): Map<string, string> =>
  new Map(
    [...world.jobs.values()].map((job) => [
      job.id,
      `${job.accepted} ${job.toldDone} ${job.toldCancelledAt !== null}`,
    ]),
  );

/**
 * A day on which an image is taken while everything goes on, and the state service is lost with all
 * it had some time later. Workers go on meanwhile; some are cut off from everybody.
 */
async function lostDay(
  seed: number,
  meddle: (world: World) => void = () => undefined,
): Promise<Restored> {
  const world = new World(seed, 3, TEAMS, 10, {}, ["a"], () => ({
    archive: { keep: 3, ageMs: 1000 },
  }));
  const { clock } = world;
  const dice = new Random(seed + 50);
  let jobs = 0;
  const busy = async (steps: number): Promise<void> => {
    for (let step = 0; step < steps; step++) {
      const id = `wk-${String(jobs++).padStart(4, "0")}`;
      const tasks = dice.int(1, 8);
      world.submit(id, { team: dice.pick(TEAMS).name, tasks, runMs: dice.int(3000, 40_000) });
      if (dice.chance(0.15)) clock.after(dice.int(100, 15_000), () => world.cancel(id));
      await clock.run(dice.int(1000, 4000));
    }
  };
  await clock.run(15_000);
  await busy(20);
  // Everybody claims anew, with stamps that the next service does not have for a while.
  for (let n = 0; n < world.nodes; n++) world.crash(n, 3000);
  await busy(6);
  let image: Image | null = null;
  const before = told(world);
  const taking = collect(world.stores[0]!, clock).then((taken) => {
    image = taken;
  });
  await busy(1);
  await taking;
  await busy(dice.int(4, 15));
  for (const worker of world.workers.values()) worker.cut = dice.chance(0.2);
  const after = told(world);
  const late = new Set(
    [...after].filter(([id, state]) => before.get(id) !== state).map(([id]) => id),
  );
  const state = world.loseState();
  const fresh = { store: world.stores[0]!, clock, writeRps: 60 };
  let over = false;
  const restoring = restoreImage(image!, fresh).finally(() => {
    over = true;
  });
  while (!state.rows.has("w/restored")) await clock.run(10);
  // A controller that comes up too early does nothing with half of the records.
  world.boot(0);
  // Faster than workers give up their tasks.
  while (!over) await clock.run(50);
  await restoring;
  meddle(world);
  for (let n = 1; n < world.nodes; n++) world.boot(n);
  const sessions = [...world.workers].map(([id, { session }]) => [id, session] as const);
  // Some workers are out of reach until shortly before they would give up their tasks.
  await clock.run(5000);
  for (const worker of world.workers.values()) worker.cut = false;
  await clock.run(35_000);
  const survivors = sessions.filter(
    ([id, session]) => world.workers.get(id)?.session === session,
  ).length;
  await clock.run(480_000);
  world.stop();
  return { world, image: image!, late, survivors };
}

/** The job that a violation is about. */
const jobOf = (detail: string): string => /^wk-\d+/.exec(detail)?.[0] ?? "";

for (const seed of [1, 2, 3, 4, 5]) {
  test(`restore: after the loss of everything, with workers still running (seed ${seed})`, async () => {
    const { world, image, late, survivors } = await lostDay(seed);
    assert.deepEqual(checkImage(image, { limits }), []);
    // Nothing may run twice, exceed a limit, be in a wrong place or be called done too early. What
    // was told between the image and the loss, and only that, can be lost.
    const broken = world.violations.filter(
      ({ rule, detail }) =>
        !["forgotten", "went_back", "ran_cancelled", "waiting"].includes(rule) ||
        !late.has(jobOf(detail)),
    );
    assert.deepEqual(broken, []);
    const records = world.state.rows.get("w/restored")!.value as { state: string };
    assert.equal(records.state, "settled");
    // Every job that the image has comes to its end.
    for (const [key, { value }] of image.rows) {
      if (!key.startsWith("w/j/") || !isHeader(value)) continue;
      const job = world.jobs.get(key.slice(4))!;
      assert.ok(job.toldDone || job.toldCancelledAt !== null, `${job.id} never ended`);
    }
    assert.ok(world.startedTasks > 50);
    assert.ok(survivors > 0, "no worker kept its lease");
  });
}

test("restore: without waiting until unknown tasks are gone, tasks run twice", async () => {
  let twice = 0;
  for (const seed of [1, 2, 3]) {
    const { world } = await lostDay(seed, ({ state }) => {
      const value = { ...(state.rows.get("w/restored")!.value as object), state: "settled" };
      state.transact([], [{ put: "w/restored", value }]);
    });
    twice += world.violations.filter(({ rule }) => rule === "ran_twice").length;
  }
  assert.ok(twice > 0, "no task ran twice");
});

test("restore: without raised tokens, workers would listen to nobody", async () => {
  const { survivors } = await lostDay(1, ({ state }) => {
    const value = { ...(state.rows.get("w/restored")!.value as object), tokens: 0 };
    state.transact([], [{ put: "w/restored", value }]);
  });
  assert.equal(survivors, 0, "a worker followed a token lower than it had seen");
});
