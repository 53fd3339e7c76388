import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { resolveDependencies } from "../src/controller/dependencies.js";
import { type Fate, Graph, placedSpec, storedSpec } from "../src/pipeline/index.js";
import { BY_REQUIREMENTS, parseSubmission } from "../src/wire/jobs.js";
import { kindAllowed } from "../src/workers/machine.js";
import { fault } from "./support/faults.js";
import { Random } from "./support/random.js";
import { TEAMS, wrongs } from "./support/troubled.js";
import { World } from "./support/world.js";

const stage = (awaits: string[], more: object = {}) => ({
  awaits,
  at: 0,
  rank: 0,
  due: Number.POSITIVE_INFINITY,
  estimateMs: 1000,
  ...more,
});

/** What an open job of a shape is, by what became of the others. */
const shapes: {
  name: string;
  awaits: Record<string, string[]>;
  over: Record<string, "done" | "cancelled">;
  fates: Record<string, Fate>;
}[] = [
  {
    name: "a chain begins",
    awaits: { b: ["a"], c: ["b"] },
    over: {},
    fates: { b: "waits", c: "waits" },
  },
  {
    name: "a chain goes on",
    awaits: { b: ["a"], c: ["b"] },
    over: { a: "done" },
    fates: { b: "ready", c: "waits" },
  },
  {
    name: "a chain ends at its start",
    awaits: { b: ["a"], c: ["b"] },
    over: { a: "cancelled" },
    fates: { b: "cancelled", c: "cancelled" },
  },
  {
    name: "a diamond, one side done",
    awaits: { b: ["a"], c: ["a"], d: ["b", "c"] },
    over: { a: "done", b: "done" },
    fates: { c: "ready", d: "waits" },
  },
  {
    name: "a diamond, one side cancelled",
    awaits: { b: ["a"], c: ["a"], d: ["b", "c"] },
    over: { a: "done", b: "cancelled" },
    fates: { c: "ready", d: "cancelled" },
  },
  {
    name: "a fan",
    awaits: { b: ["a"], c: ["a"], d: ["a"] },
    over: { a: "cancelled" },
    fates: { b: "cancelled", c: "cancelled", d: "cancelled" },
  },
];
for (const { name, awaits, over, fates } of shapes) {
  for (const late of [false, true]) {
    test(`pipeline: ${name}${late ? ", heard of in the other order" : ""}`, () => {
      const graph = new Graph();
      const jobs = Object.entries(awaits);
      const open = (): void => {
        for (const [id, before] of late ? [...jobs].reverse() : jobs) graph.add(id, stage(before));
        graph.open("a");
      };
      const ends = (): void => {
        for (const [id, status] of Object.entries(over)) graph.over(id, status, 5);
      };
      open();
      ends();
      // Said again, as after a new reading of all keys: headers that are open, then ends.
      for (const [id, before] of jobs) if (!(id in over)) graph.add(id, stage(before));
      ends();
      assert.deepEqual(
        Object.fromEntries(Object.keys(fates).map((id) => [id, graph.fate(id)])),
        fates,
      );
    });
  }
}

test("pipeline: priority and due time flow back, and go with the job that they came from", () => {
  const graph = new Graph();
  graph.open("a");
  graph.add("b", stage(["a"], { estimateMs: 20_000 }));
  graph.add("c", stage(["b"], { rank: 2, due: 100_000, estimateMs: 5000 }));
  assert.deepEqual([graph.rank("a", 1), graph.due("a", 90_000)], [2, 75_000]);
  assert.deepEqual([graph.rank("b", 0), graph.due("b", 100_000)], [2, 95_000]);
  graph.over("c", "cancelled", null);
  assert.deepEqual([graph.rank("a", 1), graph.due("a", 90_000)], [1, 90_000]);
});

test("pipeline: times count from the end of the last job that was awaited", () => {
  const graph = new Graph();
  graph.add("c", stage(["a", "b"], { at: 1000 }));
  graph.over("a", "done", 9000);
  graph.over("b", "done", 4000);
  assert.equal(graph.since("c", 1000), 9000);
  graph.add("d", stage(["e"], { at: 20_000 }));
  graph.over("e", "done", 4000);
  assert.equal(graph.since("d", 20_000), 20_000);
});

test("pipeline: what is not known of a job before it is not guessed", () => {
  const graph = new Graph();
  graph.add("c", stage(["b"]));
  graph.add("b", stage(["a"]));
  assert.deepEqual([graph.fate("b"), graph.fate("c")], ["unknown", "unknown"]);
  graph.open("a");
  assert.deepEqual([graph.fate("b"), graph.fate("c")], ["waits", "waits"]);
  graph.lost("a");
  assert.equal(graph.fate("c"), "unknown");
  graph.over("a", "cancelled", null);
  assert.deepEqual([graph.fate("b"), graph.fate("c")], ["cancelled", "cancelled"]);
  assert.deepEqual([...graph.orphans].sort(), ["b", "c"]);
});

test("pipeline: any graph, any order of news: the same as a plain model, and nothing is kept in the end", () => {
  const jobs = fc.array(fc.array(fc.nat(30), { maxLength: 4 }), { minLength: 1, maxLength: 20 });
  const steps = fc.array(
    fc.tuple(fc.nat(19), fc.constantFrom("done", "cancelled", "again", "gone")),
    {
      maxLength: 60,
    },
  );
  const property = fc.property(jobs, steps, (lists, events) => {
    // A job awaits earlier ones only.
    const awaits = lists.map((list, i) => [...new Set(list.filter((n) => n < i))]);
    const graph = new Graph();
    const state: ("open" | "done" | "cancelled")[] = awaits.map(() => "open");
    const name = (n: number): string => `j${n}`;
    const say = (n: number): void => {
      if (state[n] !== "open") graph.over(name(n), state[n] as "done", n);
      else if (awaits[n]!.length > 0) graph.add(name(n), stage(awaits[n]!.map(name)));
      else graph.open(name(n));
    };
    const doomed = (n: number): boolean =>
      state[n] === "cancelled" || (state[n] === "open" && awaits[n]!.some(doomed));
    const fate = (n: number): Fate => {
      if (doomed(n)) return "cancelled";
      return awaits[n]!.every((other) => state[other] === "done") ? "ready" : "waits";
    };
    for (const n of awaits.keys()) say(n);
    // Whoever does not follow the headers from the beginning asks for what is missing.
    const learn = (): void => {
      for (const id of [...graph.unknown]) say(Number(id.slice(1)));
    };
    const end = (n: number, status: "done" | "cancelled"): void => {
      if (state[n] !== "open" || (status === "done" && fate(n) !== "ready")) return;
      state[n] = status;
      say(n);
    };
    for (const [at, what] of events) {
      const n = at % awaits.length;
      if (what === "again") say(n);
      else if (what === "gone") graph.lost(name(n));
      else end(n, what as "done");
      learn();
      awaits.forEach((list, i) => {
        if (state[i] === "open" && list.length > 0)
          assert.equal(graph.fate(name(i)), fate(i), name(i));
      });
    }
    for (const n of awaits.keys()) end(n, doomed(n) ? "cancelled" : "done");
    assert.equal(graph.size, 0);
  });
  fc.assert(property, { numRuns: 300, seed: 7 });
});

test("pipeline: a chain of many thousands is gone through without a stack", () => {
  const graph = new Graph();
  graph.open("0");
  for (let n = 1; n < 5000; n++) graph.add(`${n}`, stage([`${n - 1}`]));
  graph.over("0", "cancelled", null);
  assert.equal(graph.fate("4999"), "cancelled");
  assert.equal(graph.orphans.size, 4999);
});

const body = {
  uid: "wk-1",
  eidos: "t",
  owner: "red",
  shape: "batch",
  urgency: "normal",
  pieces: 1,
  cores: 1,
  accelerators: 0,
  memGb: 1,
  together: false,
  scatter: false,
  borrowed: true,
  expectS: 1,
  stashEveryS: 0,
  stashS: 0,
};
const lists: { awaits: unknown; after: string[] | null | "malformed" }[] = [
  { awaits: undefined, after: null },
  { awaits: null, after: null },
  { awaits: [], after: null },
  { awaits: ["wk-2", "wk-3", "wk-2"], after: ["wk-2", "wk-3"] },
  { awaits: "wk-2", after: "malformed" },
  { awaits: ["job 2"], after: "malformed" },
  { awaits: [2], after: "malformed" },
  { awaits: { 0: "wk-2" }, after: "malformed" },
];
for (const { awaits, after } of lists) {
  test(`pipeline: awaits ${JSON.stringify(awaits)} in a submission`, () => {
    const parsed = parseSubmission({ ...body, awaits });
    const seen = parsed.ok ? (parsed.value.spec.after?.jobs ?? null) : "malformed";
    assert.deepEqual(seen, after);
  });
}

for (const builds of [null, ["m4"]]) {
  test(`pipeline: as it is kept, a program from before starts it nowhere (types ${JSON.stringify(builds)})`, () => {
    const parsed = parseSubmission({ ...body, builds, awaits: ["wk-2"] });
    assert.ok(parsed.ok);
    const kept = JSON.parse(JSON.stringify(storedSpec(parsed.value.spec)));
    const machine = { type: "m4", zone: "a", spot: true };
    assert.equal(kindAllowed(kept, machine), false);
    assert.deepEqual(kept.types, [BY_REQUIREMENTS]);
    assert.equal(kindAllowed(placedSpec(kept), machine), true);
    assert.deepEqual(placedSpec(kept).types, builds);
  });
}

/** Pipelines in a world with faults; users submit each job as soon as those before it are accepted. */
async function pipelineDay(seed: number, troubled: boolean): Promise<World> {
  const world = new World(seed, 3, TEAMS, 8, {}, ["a"], undefined, 60);
  const dice = new Random(seed + 70);
  await world.clock.run(20_000);
  let jobs = 0;
  for (let step = 0; step < 40; step++) {
    if (dice.chance(0.4)) {
      const made: string[] = [];
      const stages = dice.int(2, 5);
      const cancelled = dice.chance(0.3) ? dice.int(0, stages - 1) : -1;
      const submitNext = (): void => {
        const ready = made.every((id) => world.jobs.get(id)!.accepted);
        if (!ready) return void world.clock.after(200, submitNext);
        const n = made.length;
        if (n === stages) return;
        const awaits = made.filter((_, i) => i === n - 1 || dice.chance(0.3));
        const id = `wk-${700_000 + jobs++}`;
        world.submit(id, {
          team: dice.pick(TEAMS).name,
          tasks: dice.int(1, 6),
          runMs: dice.int(1000, 8000),
          rank: n === stages - 1 ? "urgent" : "best_effort",
          body: { awaits, dueS: n === stages - 1 ? 120 : null },
        });
        made.push(id);
        if (n === cancelled) world.clock.after(dice.int(100, 15_000), () => world.cancel(id));
        submitNext();
      };
      submitNext();
    }
    if (troubled && dice.chance(0.25)) fault(world, dice);
    await world.clock.run(3000);
  }
  await world.clock.run(300_000);
  world.stop();
  return world;
}

for (const seed of [1, 2, 3, 4]) {
  test(`pipeline: a day with all troubles, seed ${seed}`, async () => {
    const world = await pipelineDay(seed, seed > 1);
    assert.deepEqual(wrongs(world), []);
    const after = [...world.jobs.values()].filter(({ awaits }) => awaits.length > 0);
    assert.ok(after.some(({ toldDone }) => toldDone));
    assert.ok(
      after.some(
        ({ toldCancelledAt, askedToCancel }) => toldCancelledAt !== null && !askedToCancel,
      ),
    );
    // The sweep has written all of it: nothing is left to be worked out for ever.
    for (const { id, toldCancelledAt } of after) {
      if (toldCancelledAt === null) continue;
      const header = world.state.rows.get(`w/j/${id}`)?.value as { status: string } | undefined;
      assert.equal(header?.status, "cancelled", id);
    }
  });
}

const answers: { name: string; awaits: string[]; status: number }[] = [
  { name: "an open job", awaits: ["wk-1"], status: 201 },
  { name: "one that was cancelled", awaits: ["wk-2"], status: 201 },
  { name: "one after a cancelled one", awaits: ["wk-4"], status: 201 },
  { name: "one that never was", awaits: ["wk-1", "wk-9"], status: 422 },
  { name: "itself", awaits: ["wk-8"], status: 422 },
  { name: "a service", awaits: ["wk-3"], status: 422 },
  { name: "something else than a job", awaits: ["x"], status: 400 },
];
test("pipeline: whoever names a job that is known to be cancelled is so from the beginning", async () => {
  const past = { past: { status: "cancelled", over: 5 } };
  const look = async (id: string) => (id === "wk-2" ? past : null) as never;
  assert.deepEqual(await resolveDependencies("wk-9", ["wk-2"], look), {
    after: { jobs: ["wk-2"] },
    cancelled: true,
  });
});

test("pipeline: what a submission that awaits something is answered", async () => {
  const world = new World(4, 3, TEAMS, 4, {}, ["a"], undefined, 60);
  await world.clock.run(20_000);
  const post = (n: number, more: object) =>
    world.clock.within(world.ask(n, "POST", "/api/jobs", { ...body, ...more }));
  const status = async (n: number, id: string) =>
    (await world.clock.within(world.ask(n, "GET", `/api/jobs/${id}`)))?.body as { status: string };
  for (const id of ["wk-1", "wk-2", "wk-3"]) {
    const shape = id === "wk-3" ? "service" : "batch";
    assert.equal((await post(0, { uid: id, shape, expectS: 500 }))?.status, 201);
  }
  await world.clock.within(world.ask(1, "POST", "/api/jobs/wk-2/withdraw", {}));
  // Its header is still an open one: nobody has swept yet.
  assert.equal((await post(2, { uid: "wk-4", awaits: ["wk-2"] }))?.status, 201);
  const unswept = structuredClone(world.state.rows.get("w/j/wk-4")!.value) as object;
  for (const [n, { name, awaits, status: expected }] of answers.entries()) {
    const uid = name === "itself" ? "wk-8" : `wk-8${n}`;
    if (awaits[0] === "wk-4") {
      const value = { ...unswept, status: "open" };
      world.state.transact([], [{ put: "w/j/wk-4", value }]);
      await world.clock.run(30);
    }
    const answer = await post(2, { uid, awaits });
    assert.equal(answer?.status, expected, name);
    if (expected !== 201) continue;
    const cancelled = ["wk-2", "wk-4"].includes(awaits[0]!);
    // Its cancellation may be long ago: even the first answer may not call it pending.
    const { status: said } = answer!.body as { status: string };
    assert.equal(said, cancelled ? "cancelled" : "pending", name);
    assert.equal((await status(1, uid)).status, cancelled ? "cancelled" : "pending", name);
    // Accepted once, it is known whatever else is said.
    assert.equal((await post(0, { uid, awaits: ["wk-9"] }))?.status, 200);
  }
  // What is done has no place in the record; a list of thousands of such is none.
  const over = Array.from({ length: 4000 }, (_, n) => `wk-9${String(n).padStart(5, "0")}`);
  for (const id of over) {
    const value = {
      status: "done",
      owners: "",
      chunkSize: 1,
      at: 1,
      started: true,
      moves: 0,
      tasks: 1,
      over: 7,
    };
    world.state.transact([], [{ put: `w/j/${id}`, value }]);
  }
  await world.clock.run(3000);
  assert.equal((await post(1, { uid: "wk-90", awaits: [...over, "wk-1"] }))?.status, 201);
  const kept = world.state.rows.get("w/j/wk-90")!.value as { spec: { after: object } };
  assert.deepEqual(kept.spec.after, { jobs: ["wk-1"], since: 7, types: null });
  assert.equal((await status(1, "wk-90")).status, "pending");
  await world.clock.within(world.ask(1, "POST", "/api/jobs/wk-1/withdraw", {}));
  assert.equal((await status(2, "wk-90")).status, "cancelled");
  assert.equal((await status(2, "wk-80")).status, "cancelled");
  world.stop();
});
