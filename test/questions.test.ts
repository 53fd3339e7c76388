import assert from "node:assert/strict";
import { test } from "node:test";
import { Mirror } from "../src/state/mirror.js";
import { RetryAfterQueue } from "../src/state/retry-after.js";
import { FakeClock } from "./support/clock.js";
import { quiet } from "./support/common.js";
import { fakeStateService } from "./support/store.js";
import { World } from "./support/world.js";

async function startMirror(seed = 1) {
  const { clock, state, store } = fakeStateService(seed);
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

test("questions: a read after `waitUntilCurrent` sees every change made before", async () => {
  for (let seed = 1; seed <= 40; seed++) {
    const { clock, state, mirror } = await startMirror(seed);
    // The seed varies the moment in the watch's cycle: sent, waiting, or just returned.
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

test("questions: a watch answer that was in flight at the time of the request is not taken as current", async () => {
  const { clock, state, store, mirror } = await startMirror();
  const watch = store.watch.bind(store);
  // The service reads its state at once, but the answer arrives 300 ms later.
  store.watch = async (prefix, after, waitMs) => {
    const seen = await watch(prefix, after, waitMs);
    await new Promise<void>((resolve) => {
      clock.after(300, resolve);
    });
    return seen;
  };
  state.transact([], [{ put: "w/j/a", value: 1 }]);
  await clock.run(100);
  // The watch returns this change; its answer is in flight when the next change is made.
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

test("questions: many concurrent requests share few watches, and fail together when the store refuses", async () => {
  const { clock, store, mirror, asked } = await startMirror();
  let answered = 0;
  for (let i = 0; i < 1000; i++) {
    clock.after(i, () => void mirror.waitUntilCurrent().then(() => answered++));
  }
  const before = asked();
  await clock.run(1500);
  assert.equal(answered, 1000);
  assert.ok(asked() - before <= 14, `${asked() - before} requests for 1000 questions`);
  store.unavailable = true;
  let failed = 0;
  for (let i = 0; i < 50; i++) void mirror.waitUntilCurrent().catch(() => failed++);
  await clock.run(500);
  assert.equal(failed, 50);
  mirror.stop();
  const after = mirror.waitUntilCurrent().catch(() => "stopped");
  await clock.run(500);
  assert.equal(await after, "stopped");
});

test("questions: polling open jobs causes no store requests", async () => {
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

test("turns: rejected requests get increasing Retry-After delays", () => {
  const clock = new FakeClock();
  const retries = new RetryAfterQueue(() => 4, clock);
  const delays = Array.from({ length: 12 }, () => retries.nextDelayS());
  assert.deepEqual(delays, [1, 2, 2, 2, 2, 3, 3, 3, 3, 4, 4, 4]);
  for (let i = 0; i < 500; i++) assert.ok(retries.nextDelayS() <= 30);
});

test("submissions: borrowers get at most half of the writes, then 429; other teams get 503 only beyond the burst", async () => {
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
  // Far more submissions of guests at once than writes available.
  const guestAnswers: Promise<{ status: number } | null>[] = [];
  for (let i = 0; i < 100; i++) {
    guestAnswers.push(
      world.ask(0, "POST", "/api/jobs", body(`wk-51${String(i).padStart(4, "0")}`, "guests")),
    );
  }
  const ownAnswer = world.ask(0, "POST", "/api/jobs", body("wk-500002", "red"));
  await world.clock.run(100);
  const answers = await Promise.all(guestAnswers);
  const acceptedGuests = [...world.state.rows.keys()].filter((key) =>
    key.startsWith("w/j/wk-51"),
  ).length;
  // Each job is submitted twice at once: by its simulated user and by this test.
  assert.ok(
    acceptedGuests >= 10 && acceptedGuests <= 30,
    `${acceptedGuests} accepted with half of 60 writes`,
  );
  assert.ok(answers.every((answer) => [200, 201, 429].includes(answer?.status ?? 0)));
  const status = (await ownAnswer)?.status;
  assert.ok(
    status === 201 || status === 200,
    `${status}: a team with a guarantee does not wait for guests`,
  );
  writes.force(writes.burst * 3);
  const answer = world.ask(0, "POST", "/api/jobs", body("wk-500003", "red"));
  await world.clock.run(100);
  assert.equal((await answer)?.status, 503, "the rate limiter may not be overdrawn without bound");
  await world.clock.run(300_000);
  world.stop();
  assert.ok([...world.jobs.values()].every(({ toldDone }) => toldDone));
});

// Invalid submissions for ids that were or were not accepted; `cut`: sent only to a node whose
// store refuses requests.
const invalidSubmissions: {
  name: string;
  changes: object;
  accepted: boolean;
  cut?: boolean;
  status: number;
}[] = [
  { name: "lacks a field", changes: { cores: undefined }, accepted: true, status: 200 },
  { name: "fits no machine", changes: { cores: 1000 }, accepted: true, status: 200 },
  { name: "is of no team", changes: { owner: "nobody" }, accepted: true, status: 200 },
  { name: "lacks a field", changes: { cores: undefined }, accepted: false, status: 400 },
  { name: "fits no machine", changes: { cores: 1000 }, accepted: false, status: 422 },
  { name: "has no id", changes: { uid: 7 }, accepted: true, status: 400 },
  { name: "lacks a field", changes: { cores: undefined }, accepted: true, cut: true, status: 503 },
];
for (const { name, changes, accepted, cut = false, status } of invalidSubmissions) {
  const whose = accepted ? "an accepted job" : "a job not accepted";
  test(`questions: a submission of ${whose} ${name}${cut ? ", store refused" : ""}: ${status}`, async () => {
    const world = new World(4, 3, [{ name: "red", cpus: 8, max: 8 }], 4);
    await world.clock.run(20_000);
    const job = world.submit("wk-400000", { team: "red", tasks: 1, runMs: 60_000 });
    await world.clock.run(2000);
    const body = { ...job.body, ...(accepted ? {} : { uid: "wk-400001" }), ...changes };
    // Every node must know of the accepted job at once.
    if (cut) world.stores[1]!.unavailable = true;
    for (const n of cut ? [1] : [0, 1, 2]) {
      const answer = await world.clock.within(world.ask(n, "POST", "/api/jobs", body), 10_000);
      assert.equal(answer?.status, status);
    }
    world.stop();
  });
}
