import assert from "node:assert/strict";
import { test } from "node:test";
import {
  beginArchive,
  controllersWithoutArchiveSupport,
  Lookups,
  Mover,
} from "../src/archive/index.js";
import { ReturnedMachineCleanup } from "../src/cloud/returned-machine-cleanup.js";
import { OpenJobs } from "../src/controller/open-jobs.js";
import type { Core, LeaderTerm } from "../src/extension/index.js";
import { doneHeader, type JobHeader } from "../src/jobs/job-header.js";
import type { StateService } from "../src/local/state.js";
import { Layout } from "../src/membership/layout.js";
import { Metrics } from "../src/metrics.js";
import { Summaries } from "../src/part/summary.js";
import type { Operators } from "../src/settings/operators.js";
import { keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import type { Row } from "../src/state/store.js";
import { FakeClock } from "./support/clock.js";
import { LIMITS, quiet } from "./support/common.js";
import { Random } from "./support/random.js";
import { type FakeStore, fakeStateService } from "./support/store.js";
import { World } from "./support/world.js";

const TEAMS = [
  { name: "red", cpus: 12, max: 20 },
  { name: "blue", cpus: 8, max: 24 },
];
const archive = { keep: 3, ageMs: 1000 };

/**
 * Makes a store write as a build of 0.1.0 does: its presence record has no schema, and its submissions
 * depend on the header alone. Returns a function that restores the store.
 */
function writeAsOldBuild(store: FakeStore): () => void {
  const transact = store.transact.bind(store);
  store.transact = (when, then) =>
    transact(
      when.filter(({ key }) => key !== keys.schema && !key.startsWith(keys.archive)),
      then.map((change) => {
        if (!("put" in change) || !change.put.startsWith("w/n/")) return change;
        const { schema: _schema, ...value } = change.value as Record<string, unknown>;
        return { ...change, value };
      }),
    );
  return () => {
    store.transact = transact;
  };
}

const headerCount = (world: World): number =>
  [...world.state.rows.keys()].filter((key) => key.startsWith("w/j/")).length;
const leafCount = (world: World): number =>
  [...world.state.rows.keys()].filter((key) => key.startsWith("a/")).length;

for (const seed of [1, 2]) {
  test(`upgrade: five controllers one at a time, with kills; the archive begins with the last (seed ${seed})`, async () => {
    const nodes = 5;
    const old = new Set([0, 1, 2, 3, 4]);
    const world = new World(seed, nodes, TEAMS, 8, {}, ["a"], (n) => ({
      archive: old.has(n) ? undefined : archive,
    }));
    const restore = world.stores.map(writeAsOldBuild);
    const random = new Random(seed + 300);
    let jobs = 0;
    const busy = async (steps: number): Promise<void> => {
      for (let step = 0; step < steps; step++) {
        const id = `wk-${String(jobs++).padStart(4, "0")}`;
        world.submit(id, { team: random.pick(TEAMS).name, tasks: random.int(1, 4), runMs: 3000 });
        if (random.chance(0.2)) world.clock.after(random.int(100, 5000), () => world.cancel(id));
        await world.clock.run(2500);
      }
    };
    await world.clock.run(15_000);
    await busy(15);
    for (let n = 0; n < nodes; n++) {
      world.crash(n, 4000);
      // It restarts with the new build.
      old.delete(n);
      restore[n]!();
      await busy(3);
      if (random.chance(0.6)) world.crash(random.int(0, nodes - 1), 3000);
      await busy(3);
      if (old.size > 0) assert.equal(leafCount(world), 0, `an archive beside ${old.size} old ones`);
    }
    await busy(10);
    await world.clock.run(200_000);
    assert.deepEqual(world.violations, []);
    // Also jobs from before the upgrade are archived.
    assert.ok(leafCount(world) > 0);
    assert.ok(headerCount(world) <= archive.keep + 2, `${headerCount(world)} headers are left`);
    world.stop();
    // These records keep a build of 0.1.0 that is started now from doing harm: it claims leadership
    // only while `w/lead` is free, reads machine types only from `w/types`, and without them accepts
    // no job and is not healthy.
    const lead = world.state.rows.get("w/lead")!;
    assert.deepEqual([lead.value, lead.lease], [{ schema: 2 }, null]);
    assert.equal(world.state.rows.get("w/types"), undefined);
    assert.ok(Array.isArray(world.state.rows.get("w/2/types")!.value));
  });
}

test("schema: nothing is archived for four leases after the archive has begun", async () => {
  const world = new World(4, 3, TEAMS, 8, {}, ["a"], () => ({ archive }));
  for (let i = 0; i < 12; i++) world.submit(`wk-${i}`, { team: "red", tasks: 1, runMs: 1000 });
  const when = async (what: () => boolean): Promise<number> => {
    while (!what()) await world.clock.run(100);
    return world.clock.now();
  };
  const begun = await when(() => world.state.rows.has(keys.schema));
  const first = await when(() => (world.state.rows.get("a/j/~")!.value as { n: number }).n > 0);
  assert.ok(first - begun >= 4 * world.leaseMs, `after ${first - begun} ms`);
  world.stop();
});

const SCHEMAS: [value: unknown, line: RegExp][] = [
  [{ version: 4 }, /schema 4; this program knows up to 3/],
  [{ version: "2" }, /cannot be read/],
  [7, /cannot be read/],
];
for (const [value, line] of SCHEMAS) {
  test(`schema: with a schema record ${JSON.stringify(value)} a controller stops with one line`, async () => {
    const lines: string[] = [];
    const fatal = (why: string): void => {
      lines.push(why);
    };
    const world = new World(1, 1, TEAMS, 2, {}, ["a"], () => ({ fatal }) as Partial<Operators>);
    world.state.transact([], [{ put: keys.schema, value }]);
    await world.clock.run(20_000);
    assert.equal(lines.length, 1);
    assert.match(lines[0]!, line);
    for (const key of world.state.rows.keys()) assert.ok(!/^w\/(p|lead|2)/.test(key), key);
    world.stop();
  });
}

test("polls: a thousand a second for unknown jobs leave most store requests to other work", async () => {
  const world = new World(1, 1, TEAMS, 2);
  await world.clock.run(20_000);
  const store = world.stores[0]!;
  let gets = 0;
  const get = store.get.bind(store);
  store.get = (key) => {
    gets++;
    return get(key);
  };
  const counts = new Map<number, number>();
  for (let second = 0; second < 5; second++) {
    for (let i = 0; i < 1000; i++) {
      void world.ask(0, "GET", `/api/jobs/wk-x${second * 1000 + i}`).then((answer) => {
        counts.set(answer!.status, (counts.get(answer!.status) ?? 0) + 1);
      });
      await world.clock.run(1);
    }
  }
  await world.clock.run(1000);
  assert.deepEqual([...counts.keys()].sort(), [404, 503]);
  // Of 200 requests a second, a quarter is for lookups, plus as many at first.
  assert.ok(gets <= 50 * 5 + 50 + 5, `${gets} requests`);
  world.stop();
});

test("metrics: figures of the history are current at each query", async () => {
  const clock = new FakeClock();
  const figures = { over: 3, moved: 5, reads: 7, refused: 9 };
  const metrics = new Metrics(clock, 10, () => figures);
  await clock.run(20);
  while (metrics.text() === null) await new Promise((resolve) => setImmediate(resolve));
  for (const moved of [5, 8]) {
    figures.moved = moved;
    const text = await metrics.text()!;
    assert.match(text, new RegExp(`^birchdale_history_moved_total ${moved}$`, "m"));
    assert.match(text, /^birchdale_history_over_jobs 3$/m);
  }
});

test("open jobs: a job whose header is gone is not open, even if its end was not seen", () => {
  const { mirror } = createCore();
  const openJobs = new OpenJobs(() => new Map(), new Map(), new Summaries(), new FakeClock(), 1000);
  openJobs.follow(mirror, () => undefined);
  const key = keys.job("wk-1");
  mirror.apply({ key, value: { ...finishedHeader, status: "open" }, version: 1, deleted: false });
  assert.equal(openJobs.open.size, 1);
  mirror.apply({ key, value: undefined, version: 2, deleted: true });
  assert.equal(openJobs.open.size, 0);
});

// ---- single components, each test with its own store ---------------------------------------

const MEMBERS = ["n0", "n1"].map((name) => ({ name, zone: "a" }));

function createCore(writeRps = 1000) {
  const { clock, state, store } = fakeStateService(1, { ...LIMITS, writeRps });
  const mirror = new Mirror(store, clock, quiet, 1000);
  void mirror.run();
  const core = { store, mirror, clock, log: quiet, layout: new Layout(MEMBERS) } as unknown as Core;
  return { clock, state, store, mirror, core };
}

const presence: [string, (state: StateService) => void, string[]][] = [
  ["all know the schema", () => undefined, []],
  [
    "one does not publish a schema",
    (s) => s.transact([], [{ put: "w/n/n1", value: { run: "r" } }]),
    ["n1"],
  ],
  [
    "one knows an older schema",
    (s) => s.transact([], [{ put: "w/n/n1", value: { schema: 1 } }]),
    ["n1"],
  ],
  ["one is absent", (s) => s.transact([], [{ remove: "w/n/n0" }]), ["n0"]],
];
for (const [name, prepare, missing] of presence) {
  test(`schema: begins only while every controller is present and knows it: ${name}`, async () => {
    const { clock, state, core } = createCore();
    state.transact([], [{ put: keys.leader, value: { node: "n0", run: "r" } }]);
    const claim = { key: keys.leader, version: state.revision };
    for (const { name: node } of MEMBERS) {
      state.transact([], [{ put: keys.node(node), value: { schema: 2 } }]);
    }
    prepare(state);
    await clock.run(2000);
    assert.deepEqual(controllersWithoutArchiveSupport(core), missing);
    const leading: LeaderTerm = { token: 1, claim, valid: () => true };
    const begun = beginArchive(core, leading);
    await clock.run(2000);
    assert.equal(await begun, missing.length === 0);
    assert.equal(state.rows.has(keys.schema), missing.length === 0);
  });
}

test("schema: does not begin when a controller was replaced since its presence was read", async () => {
  const { clock, state, core } = createCore();
  state.transact([], [{ put: keys.leader, value: { node: "n0", run: "r" } }]);
  const claim = { key: keys.leader, version: state.revision };
  for (const { name } of MEMBERS) {
    state.transact([], [{ put: keys.node(name), value: { schema: 2 } }]);
  }
  await clock.run(2000);
  const begun = beginArchive(core, { token: 1, claim, valid: () => true });
  state.transact([], [{ put: keys.node("n1"), value: { run: "older" } }]);
  await clock.run(2000);
  assert.equal(await begun, false);
  assert.equal(state.rows.has(keys.schema), false);
});

const finishedHeader = doneHeader(
  {
    status: "open",
    owners: "x",
    chunkSize: 1,
    at: 0,
    started: true,
    moves: 0,
    tasks: 1,
  } satisfies JobHeader,
  5,
);

test("archiving: uses only spare tokens of the rate limiter of changes", async () => {
  const { clock, state, store, core } = createCore(12);
  const { encodeLeaf, END_OF_RANGES: LAST, leafKey } = await import("../src/archive/index.js");
  state.transact([], [{ put: leafKey(LAST), value: encodeLeaf("", []) }]);
  for (let i = 0; i < 200; i++) {
    state.transact([], [{ put: keys.job(`wk-${1000 + i}`), value: finishedHeader }]);
  }
  const remaining = (): Row[] =>
    [...state.rows]
      .filter(([key]) => key.startsWith("w/j/"))
      .map(([key, { value, version }]) => ({ key, value, version }));
  const lookups = new Lookups(store, clock, quiet, 1);
  const candidates = {
    take: async () => remaining(),
    gone: () => undefined,
    setAside: () => undefined,
  };
  const leading: LeaderTerm = { token: 1, claim: { key: "x", version: 1 }, valid: () => true };
  const mover = new Mover(core, lookups, candidates, leading);
  let stopped = false;
  store.writes.force(12);
  void (async () => {
    while (!stopped) {
      await mover.step();
      await new Promise<void>((resolve) => void clock.after(100, resolve));
    }
  })();
  // While other work takes all tokens, nothing is archived.
  for (let second = 0; second < 20; second++) {
    store.writes.force(12);
    await clock.run(1000);
  }
  assert.equal(mover.moved, 0);
  await clock.run(1000);
  // With half of the tokens spare some jobs are archived, and a commit of four changes never waits.
  for (let second = 0; second < 60; second++) {
    for (let i = 0; i < 3; i++) {
      assert.ok(store.writes.take(2), `second ${second}: a commit had to wait for archiving`);
      await clock.run(333);
    }
  }
  assert.ok(mover.moved > 20, `${mover.moved} moved`);
  // Without other work it catches up.
  await clock.run(60_000);
  assert.equal(remaining().length, 0);
  stopped = true;
});

test("archiving: jobs archived by an unanswered transaction are no error, and are not archived again", async () => {
  const { clock, state, store, core } = createCore();
  const { encodeLeaf, END_OF_RANGES: LAST, leafKey } = await import("../src/archive/index.js");
  state.transact([], [{ put: leafKey(LAST), value: encodeLeaf("", []) }]);
  for (const id of ["wk-1", "wk-2"])
    state.transact([], [{ put: keys.job(id), value: finishedHeader }]);
  let rows = [...state.rows]
    .filter(([key]) => key.startsWith("w/j/"))
    .map(([key, { value, version }]): Row => ({ key, value, version }));
  const setAsideKeys: string[] = [];
  const gone = (some: readonly Row[]): void => {
    rows = rows.filter((row) => !some.includes(row));
  };
  const setAside = (some: readonly Row[]): void =>
    void setAsideKeys.push(...some.map(({ key }) => key));
  const leading: LeaderTerm = { token: 1, claim: { key: "x", version: 1 }, valid: () => true };
  const lookups = new Lookups(store, clock, quiet, 1);
  const mover = new Mover(core, lookups, { take: async () => rows, gone, setAside }, leading);
  store.lostTransactionShare = 1;
  await clock.within(mover.step().catch(() => undefined));
  store.lostTransactionShare = 0;
  await clock.run(30_000);
  assert.equal(state.rows.has("w/j/wk-1"), false, "it was applied");
  await clock.within(mover.step());
  assert.deepEqual([rows, setAsideKeys], [[], []]);
});

test("returned machines: old records are removed, a few at a time, and younger ones kept", async () => {
  const { clock, state, store, mirror } = createCore(20);
  state.transact([], [{ put: keys.leader, value: 1 }]);
  const claim = { key: keys.leader, version: state.revision };
  const cleanup = new ReturnedMachineCleanup(store, mirror, clock, claim, 600_000);
  const gone = (): number => [...state.rows.keys()].filter((key) => key.startsWith("w/g/")).length;
  let machineCount = 0;
  for (let minute = 0; minute < 40; minute++) {
    for (let i = 0; i < 4; i++) {
      const name = `host-${machineCount++}`;
      state.transact([], [{ put: keys.goneMachines(`1-${machineCount}`), value: [name] }]);
      cleanup.noteReturned(name);
      await clock.run(15_000);
      const step = cleanup.step();
      await clock.run(100);
      await step;
    }
  }
  assert.equal(machineCount, 160);
  assert.ok(
    gone() <= 50 && gone() >= 40,
    `${gone()} records are left of ten minutes with four each`,
  );
  const before = cleanup.takeExpired();
  assert.ok(before.includes("host-0") && !before.includes("host-159"));
  assert.deepEqual(cleanup.takeExpired(), []);
  // Another controller leads: nothing more is removed.
  state.transact([], [{ put: keys.leader, value: 2 }]);
  const kept = gone();
  await clock.run(1_000_000);
  const step = cleanup.step();
  await clock.run(100);
  await step;
  assert.equal(gone(), kept);
});

test("returned machines: in twenty minutes of waves of jobs their records stay few, and no rule is violated", async () => {
  const world = new World(3, 3, TEAMS, 8, {}, ["a"], () => ({ archive }));
  const random = new Random(9);
  let maxRecords = 0;
  await world.clock.run(15_000);
  const allRecords = new Set<string>();
  for (let minute = 0; minute < 35; minute++) {
    // In waves, so that machines are rented and returned.
    for (let i = 0; i < 4; i++) {
      world.submit(`wk-${minute}-${i}`, { team: random.pick(TEAMS).name, tasks: 6, runMs: 4000 });
    }
    await world.clock.run(60_000);
    const records = [...world.state.rows.keys()].filter((key) => key.startsWith("w/g/"));
    for (const key of records) allRecords.add(key);
    if (minute > 15) maxRecords = Math.max(maxRecords, records.length);
  }
  assert.deepEqual(world.violations, []);
  assert.ok(allRecords.size > 30, `${allRecords.size} records were made`);
  assert.ok(
    maxRecords < allRecords.size * 0.75,
    `${maxRecords} of ${allRecords.size} were there at a time`,
  );
  world.stop();
});
