import assert from "node:assert/strict";
import { test } from "node:test";
import { checkImage, collect, type Image, restoreImage } from "../src/image/index.js";
import { isJobHeader } from "../src/jobs/job-header.js";
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
  /** Jobs whose acceptance, end or cancellation was reported between the image and the loss. */
  changedAfterImage: Set<string>;
  /** Number of workers that kept their session: their lease did not expire. */
  keptSessions: number;
}

/** By job: whether it was reported as accepted, done, cancelled. */
const reportedStates = (world: World): Map<string, string> =>
  new Map(
    [...world.jobs.values()].map((job) => [
      job.id,
      `${job.accepted} ${job.toldDone} ${job.toldCancelledAt !== null}`,
    ]),
  );

/**
 * Takes an image under load. Some time later the state service loses all data and is restored from
 * the image. Workers keep running; some are disconnected meanwhile.
 */
async function runWithStateLoss(
  seed: number,
  tamper: (world: World) => void = () => undefined,
): Promise<Restored> {
  const world = new World(seed, 3, TEAMS, 10, {}, ["a"], () => ({
    archive: { keep: 3, ageMs: 1000 },
  }));
  const { clock } = world;
  const random = new Random(seed + 50);
  let jobs = 0;
  const busy = async (steps: number): Promise<void> => {
    for (let step = 0; step < steps; step++) {
      const id = `wk-${String(jobs++).padStart(4, "0")}`;
      const tasks = random.int(1, 8);
      world.submit(id, { team: random.pick(TEAMS).name, tasks, runMs: random.int(3000, 40_000) });
      if (random.chance(0.15)) clock.after(random.int(100, 15_000), () => world.cancel(id));
      await clock.run(random.int(1000, 4000));
    }
  };
  await clock.run(15_000);
  await busy(20);
  // All controllers claim again, with versions that the next service does not reach for a while.
  for (let n = 0; n < world.nodes; n++) world.crash(n, 3000);
  await busy(6);
  let image: Image | null = null;
  const before = reportedStates(world);
  const taking = collect(world.stores[0]!, clock).then((taken) => {
    image = taken;
  });
  await busy(1);
  await taking;
  await busy(random.int(4, 15));
  for (const worker of world.workers.values()) worker.cut = random.chance(0.2);
  const after = reportedStates(world);
  const changedAfterImage = new Set(
    [...after].filter(([id, state]) => before.get(id) !== state).map(([id]) => id),
  );
  const state = world.loseState();
  const fresh = { store: world.stores[0]!, clock, writeRps: 60 };
  let over = false;
  const restoring = restoreImage(image!, fresh).finally(() => {
    over = true;
  });
  while (!state.rows.has("w/restored")) await clock.run(10);
  // A controller that is started too early must not act on incomplete records.
  world.startController(0);
  // The restore completes before workers stop their tasks.
  while (!over) await clock.run(50);
  await restoring;
  tamper(world);
  for (let n = 1; n < world.nodes; n++) world.startController(n);
  const sessions = [...world.workers].map(([id, { session }]) => [id, session] as const);
  // Some workers stay disconnected until shortly before they would stop their tasks.
  await clock.run(5000);
  for (const worker of world.workers.values()) worker.cut = false;
  await clock.run(35_000);
  const keptSessions = sessions.filter(
    ([id, session]) => world.workers.get(id)?.session === session,
  ).length;
  await clock.run(480_000);
  world.stop();
  return { world, image: image!, changedAfterImage, keptSessions };
}

/** The job that a violation concerns. */
const jobOf = (detail: string): string => /^wk-\d+/.exec(detail)?.[0] ?? "";

for (const seed of [1, 2, 3, 4, 5]) {
  test(`restore: after the loss of all state, with workers still running (seed ${seed})`, async () => {
    const { world, image, changedAfterImage, keptSessions } = await runWithStateLoss(seed);
    assert.deepEqual(checkImage(image, { limits }), []);
    // No task may run twice, exceed a limit, run on a wrong machine or be reported done too early.
    // Only what was reported between the image and the loss may be lost.
    const broken = world.violations.filter(
      ({ rule, detail }) =>
        !["forgotten", "went_back", "ran_cancelled", "waiting"].includes(rule) ||
        !changedAfterImage.has(jobOf(detail)),
    );
    assert.deepEqual(broken, []);
    const records = world.state.rows.get("w/restored")!.value as { state: string };
    assert.equal(records.state, "settled");
    // Every job in the image ends.
    for (const [key, { value }] of image.rows) {
      if (!key.startsWith("w/j/") || !isJobHeader(value)) continue;
      const job = world.jobs.get(key.slice(4))!;
      assert.ok(job.toldDone || job.toldCancelledAt !== null, `${job.id} has not ended`);
    }
    assert.ok(world.startedTasks > 50);
    assert.ok(keptSessions > 0, "no worker kept its lease");
  });
}

test("restore: without restore reconciliation, tasks run twice", async () => {
  let twice = 0;
  for (const seed of [1, 2, 3]) {
    const { world } = await runWithStateLoss(seed, ({ state }) => {
      const value = { ...(state.rows.get("w/restored")!.value as object), state: "settled" };
      state.transact([], [{ put: "w/restored", value }]);
    });
    twice += world.violations.filter(({ rule }) => rule === "ran_twice").length;
  }
  assert.ok(twice > 0, "no task ran twice");
});

test("restore: without raised fencing tokens, workers reject all controllers", async () => {
  const { keptSessions } = await runWithStateLoss(1, ({ state }) => {
    const value = { ...(state.rows.get("w/restored")!.value as object), tokens: 0 };
    state.transact([], [{ put: "w/restored", value }]);
  });
  assert.equal(keptSessions, 0, "a worker accepted a fencing token lower than one it had seen");
});
