import assert from "node:assert/strict";
import { test } from "node:test";
import { Mirror } from "../src/state/mirror.js";
import { RetryAfterQueue } from "../src/state/retry-after.js";
import { FakeClock } from "./support/clock.js";
import { quiet } from "./support/common.js";
import { service } from "./support/store.js";
import { World } from "./support/world.js";

async function followed(seed = 1) {
  const { clock, state, store } = service(seed);
  const mirror = new Mirror(store, clock, quiet, 1000);
  void mirror.run();
  await clock.run(200);
  let watches = 0;
  const watch = store.watch.bind(store);
  store.watch = (...args) => {
    watches++;
    return watch(...args);
  };
  return { clock, state, store, mirror, asked: () => watches };
}

test("questions: what is read after `current` has every change made before", async () => {
  for (let seed = 1; seed <= 40; seed++) {
    const { clock, state, mirror } = await followed(seed);
    // At any moment of a watch's life: while it is on its way, waits, or has just returned.
    await clock.run(seed * 7);
    state.transact([], [{ put: "w/j/x", value: seed }]);
    let read: unknown = "no answer";
    void mirror.waitUntilCurrent().then(() => {
      read = mirror.rows.get("w/j/x")?.value;
    });
    await clock.run(500);
    assert.equal(read, seed);
    mirror.stop();
  }
});

test("questions: an answer that was on its way when it was asked does not count", async () => {
  const { clock, state, store, mirror } = await followed();
  const watch = store.watch.bind(store);
  // What the service says is read at once, and takes its time to arrive.
  store.watch = async (prefix, after, waitMs) => {
    const seen = await watch(prefix, after, waitMs);
    await new Promise<void>((resolve) => {
      clock.after(300, resolve);
    });
    return seen;
  };
  state.transact([], [{ put: "w/j/a", value: 1 }]);
  await clock.run(100);
  // The watch is told of this, and its answer is on its way when the next change is made.
  state.transact([], [{ put: "w/j/b", value: 2 }]);
  await clock.run(50);
  state.transact([], [{ put: "w/j/x", value: "new" }]);
  let read: unknown = "no answer";
  void mirror.waitUntilCurrent().then(() => {
    read = mirror.rows.get("w/j/x")?.value;
  });
  await clock.run(3000);
  assert.equal(read, "new");
  mirror.stop();
});

test("questions: many at once share few requests, and fail together when the store does not tell", async () => {
  const { clock, store, mirror, asked } = await followed();
  let answered = 0;
  for (let i = 0; i < 1000; i++) {
    clock.after(i, () => void mirror.waitUntilCurrent().then(() => answered++));
  }
  const before = asked();
  await clock.run(1500);
  assert.equal(answered, 1000);
  assert.ok(asked() - before <= 14, `${asked() - before} requests for 1000 questions`);
  store.refused = true;
  let failed = 0;
  for (let i = 0; i < 50; i++) void mirror.waitUntilCurrent().catch(() => failed++);
  await clock.run(500);
  assert.equal(failed, 50);
  mirror.stop();
  const after = mirror.waitUntilCurrent().catch(() => "stopped");
  await clock.run(500);
  assert.equal(await after, "stopped");
});

test("questions: polls for open jobs cost the store no request each", async () => {
  const world = new World(3, 3, [{ name: "red", cpus: 8, max: 20 }], 4);
  await world.clock.run(20_000);
  const job = world.submit("wk-400000", { team: "red", tasks: 4, runMs: 60_000 });
  await world.clock.run(5000);
  assert.ok(job.accepted);
  let gets = 0;
  for (const store of world.stores) {
    const get = store.get.bind(store);
    store.get = (key) => {
      if (key.startsWith("w/j/")) gets++;
      return get(key);
    };
  }
  const answers = [];
  for (let i = 0; i < 300; i++) answers.push(world.ask(i % 3, "GET", "/api/jobs/wk-400000"));
  await world.clock.run(3000);
  const seen = await Promise.all(answers);
  assert.ok(seen.every((answer) => answer?.status === 200));
  assert.equal(gets, 0);
  await world.clock.run(200_000);
  world.stop();
  assert.ok(job.toldDone);
  assert.deepEqual(world.violations, []);
});

test("turns: those who cannot be served come back one after the other", () => {
  const clock = new FakeClock();
  const turns = new RetryAfterQueue(() => 4, clock);
  const told = Array.from({ length: 12 }, () => turns.nextDelayS());
  assert.deepEqual(told, [1, 2, 2, 2, 2, 3, 3, 3, 3, 4, 4, 4]);
  for (let i = 0; i < 500; i++) assert.ok(turns.nextDelayS() <= 30);
});

test("submissions: guests leave the changes to the others, and are told when to come back", async () => {
  const teams = [
    { name: "red", cpus: 8, max: 20 },
    { name: "guests", cpus: 0, max: 0 },
  ];
  const world = new World(5, 1, teams, 4);
  await world.clock.run(20_000);
  const { writes } = world.stores[0]!;
  const body = (id: string, team: string) => {
    world.submit(id, { team, tasks: 1 });
    return world.jobs.get(id)!.body;
  };
  // Far more guests at once than there are changes for.
  const asked: Promise<{ status: number } | null>[] = [];
  for (let i = 0; i < 100; i++) {
    asked.push(
      world.ask(0, "POST", "/api/jobs", body(`wk-51${String(i).padStart(4, "0")}`, "guests")),
    );
  }
  const own = world.ask(0, "POST", "/api/jobs", body("wk-500002", "red"));
  await world.clock.run(100);
  const answers = await Promise.all(asked);
  const taken = [...world.state.rows.keys()].filter((key) => key.startsWith("w/j/wk-51")).length;
  // Each is sent twice at once: by its user, and here.
  assert.ok(taken >= 10 && taken <= 30, `${taken} taken with half of 60 changes`);
  assert.ok(answers.every((answer) => [200, 201, 429].includes(answer?.status ?? 0)));
  const status = (await own)?.status;
  assert.ok(status === 201 || status === 200, `${status}: own work waits for no guest`);
  writes.force(writes.burst * 3);
  const answer = world.ask(0, "POST", "/api/jobs", body("wk-500003", "red"));
  await world.clock.run(100);
  assert.equal((await answer)?.status, 503, "a debt has an end, for everybody");
  await world.clock.run(300_000);
  world.stop();
  assert.ok([...world.jobs.values()].every(({ toldDone }) => toldDone));
});

// A submission that is none, for an id that has or has not been accepted; `cut`: this node alone.
const repeats: { name: string; more: object; accepted: boolean; cut?: boolean; status: number }[] =
  [
    { name: "lacks a field", more: { cores: undefined }, accepted: true, status: 200 },
    { name: "fits no machine", more: { cores: 1000 }, accepted: true, status: 200 },
    { name: "is of no team", more: { owner: "nobody" }, accepted: true, status: 200 },
    { name: "lacks a field", more: { cores: undefined }, accepted: false, status: 400 },
    { name: "fits no machine", more: { cores: 1000 }, accepted: false, status: 422 },
    { name: "has no id", more: { uid: 7 }, accepted: true, status: 400 },
    { name: "lacks a field", more: { cores: undefined }, accepted: true, cut: true, status: 503 },
  ];
for (const { name, more, accepted, cut = false, status } of repeats) {
  const whose = accepted ? "a job that was accepted" : "a job that was not";
  test(`questions: a submission of ${whose} ${name}${cut ? ", store refused" : ""}: ${status}`, async () => {
    const world = new World(4, 3, [{ name: "red", cpus: 8, max: 8 }], 4);
    await world.clock.run(20_000);
    const job = world.submit("wk-400000", { team: "red", tasks: 1, runMs: 60_000 });
    await world.clock.run(2000);
    const body = { ...job.body, ...(accepted ? {} : { uid: "wk-400001" }), ...more };
    // At once after it was accepted elsewhere, every node has to know.
    if (cut) world.stores[1]!.refused = true;
    for (const n of cut ? [1] : [0, 1, 2]) {
      const answer = await world.clock.within(world.ask(n, "POST", "/api/jobs", body), 10_000);
      assert.equal(answer?.status, status);
    }
    world.stop();
  });
}
