import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { resolveDependencies } from "../src/controller/dependencies.js";
import {
  DependencyGraph,
  type DependencyState,
  placedSpec,
  storedSpec,
} from "../src/pipeline/index.js";
import { BY_REQUIREMENTS, parseSubmission } from "../src/wire/jobs.js";
import { kindAllowed } from "../src/workers/machine.js";
import { dayProblems, TEAMS } from "./support/fault-day.js";
import { injectRandomFault } from "./support/faults.js";
import { Random } from "./support/random.js";
import { World } from "./support/world.js";

const dependentJob = (awaits: string[], more: object = {}) => ({
  awaits,
  at: 0,
  rank: 0,
  due: Number.POSITIVE_INFINITY,
  estimateMs: 1000,
  ...more,
});

/** Dependency graphs, jobs in them that have finished, and the expected states of open jobs. */
const shapes: {
  name: string;
  awaits: Record<string, string[]>;
  over: Record<string, "done" | "cancelled">;
  states: Record<string, DependencyState>;
}[] = [
  {
    name: "a chain, none done",
    awaits: { b: ["a"], c: ["b"] },
    over: {},
    states: { b: "waits", c: "waits" },
  },
  {
    name: "a chain, the first job done",
    awaits: { b: ["a"], c: ["b"] },
    over: { a: "done" },
    states: { b: "ready", c: "waits" },
  },
  {
    name: "a chain, the first job cancelled",
    awaits: { b: ["a"], c: ["b"] },
    over: { a: "cancelled" },
    states: { b: "cancelled", c: "cancelled" },
  },
  {
    name: "a diamond, one side done",
    awaits: { b: ["a"], c: ["a"], d: ["b", "c"] },
    over: { a: "done", b: "done" },
    states: { c: "ready", d: "waits" },
  },
  {
    name: "a diamond, one side cancelled",
    awaits: { b: ["a"], c: ["a"], d: ["b", "c"] },
    over: { a: "done", b: "cancelled" },
    states: { c: "ready", d: "cancelled" },
  },
  {
    name: "several jobs that await one cancelled job",
    awaits: { b: ["a"], c: ["a"], d: ["a"] },
    over: { a: "cancelled" },
    states: { b: "cancelled", c: "cancelled", d: "cancelled" },
  },
];
for (const { name, awaits, over, states } of shapes) {
  for (const reversed of [false, true]) {
    test(`pipeline: ${name}${reversed ? ", added in reverse order" : ""}`, () => {
      const graph = new DependencyGraph();
      const jobs = Object.entries(awaits);
      const addOpen = (): void => {
        for (const [id, before] of reversed ? [...jobs].reverse() : jobs)
          graph.add(id, dependentJob(before));
        graph.markOpen("a");
      };
      const applyFinished = (): void => {
        for (const [id, status] of Object.entries(over)) graph.markFinished(id, status, 5);
      };
      addOpen();
      applyFinished();
      // Everything once more, as after a new listing of all keys: open headers, then finished ones.
      for (const [id, before] of jobs) if (!(id in over)) graph.add(id, dependentJob(before));
      applyFinished();
      assert.deepEqual(
        Object.fromEntries(Object.keys(states).map((id) => [id, graph.stateOf(id)])),
        states,
      );
    });
  }
}

test("pipeline: awaited jobs take priority and due time from a dependent, until it is cancelled", () => {
  const graph = new DependencyGraph();
  graph.markOpen("a");
  graph.add("b", dependentJob(["a"], { estimateMs: 20_000 }));
  graph.add("c", dependentJob(["b"], { rank: 2, due: 100_000, estimateMs: 5000 }));
  assert.deepEqual([graph.rank("a", 1), graph.due("a", 90_000)], [2, 75_000]);
  assert.deepEqual([graph.rank("b", 0), graph.due("b", 100_000)], [2, 95_000]);
  graph.markFinished("c", "cancelled", null);
  assert.deepEqual([graph.rank("a", 1), graph.due("a", 90_000)], [1, 90_000]);
});

test("pipeline: class targets count from the end of the last job that was awaited", () => {
  const graph = new DependencyGraph();
  graph.add("c", dependentJob(["a", "b"], { at: 1000 }));
  graph.markFinished("a", "done", 9000);
  graph.markFinished("b", "done", 4000);
  assert.equal(graph.since("c", 1000), 9000);
  graph.add("d", dependentJob(["e"], { at: 20_000 }));
  graph.markFinished("e", "done", 4000);
  assert.equal(graph.since("d", 20_000), 20_000);
});

test("pipeline: a job has no known state while the state of one that it awaits is unknown", () => {
  const graph = new DependencyGraph();
  graph.add("c", dependentJob(["b"]));
  graph.add("b", dependentJob(["a"]));
  assert.deepEqual([graph.stateOf("b"), graph.stateOf("c")], ["unknown", "unknown"]);
  graph.markOpen("a");
  assert.deepEqual([graph.stateOf("b"), graph.stateOf("c")], ["waits", "waits"]);
  graph.markUnknown("a");
  assert.equal(graph.stateOf("c"), "unknown");
  graph.markFinished("a", "cancelled", null);
  assert.deepEqual([graph.stateOf("b"), graph.stateOf("c")], ["cancelled", "cancelled"]);
  assert.deepEqual([...graph.toCancel].sort(), ["b", "c"]);
});

test("pipeline: any graph, any order of events: same states as a simple model, and no jobs kept at the end", () => {
  const jobs = fc.array(fc.array(fc.nat(30), { maxLength: 4 }), { minLength: 1, maxLength: 20 });
  const steps = fc.array(
    fc.tuple(fc.nat(19), fc.constantFrom("done", "cancelled", "again", "gone")),
    {
      maxLength: 60,
    },
  );
  const property = fc.property(jobs, steps, (lists, events) => {
    // Jobs only await jobs with a lower number, so there are no cycles.
    const awaits = lists.map((list, i) => [...new Set(list.filter((n) => n < i))]);
    const graph = new DependencyGraph();
    const state: ("open" | "done" | "cancelled")[] = awaits.map(() => "open");
    const name = (n: number): string => `j${n}`;
    const report = (n: number): void => {
      if (state[n] !== "open") graph.markFinished(name(n), state[n] as "done", n);
      else if (awaits[n]!.length > 0) graph.add(name(n), dependentJob(awaits[n]!.map(name)));
      else graph.markOpen(name(n));
    };
    const cancelledByChain = (n: number): boolean =>
      state[n] === "cancelled" || (state[n] === "open" && awaits[n]!.some(cancelledByChain));
    const expectedState = (n: number): DependencyState => {
      if (cancelledByChain(n)) return "cancelled";
      return awaits[n]!.every((other) => state[other] === "done") ? "ready" : "waits";
    };
    for (const n of awaits.keys()) report(n);
    // Looks up awaited jobs that the graph does not know.
    const lookUpUnknown = (): void => {
      for (const id of [...graph.unknown]) report(Number(id.slice(1)));
    };
    const end = (n: number, status: "done" | "cancelled"): void => {
      if (state[n] !== "open" || (status === "done" && expectedState(n) !== "ready")) return;
      state[n] = status;
      report(n);
    };
    for (const [at, what] of events) {
      const n = at % awaits.length;
      if (what === "again") report(n);
      else if (what === "gone") graph.markUnknown(name(n));
      else end(n, what as "done");
      lookUpUnknown();
      awaits.forEach((list, i) => {
        if (state[i] === "open" && list.length > 0)
          assert.equal(graph.stateOf(name(i)), expectedState(i), name(i));
      });
    }
    for (const n of awaits.keys()) end(n, cancelledByChain(n) ? "cancelled" : "done");
    assert.equal(graph.size, 0);
  });
  fc.assert(property, { numRuns: 300, seed: 7 });
});

test("pipeline: a chain of thousands of jobs does not overflow the call stack", () => {
  const graph = new DependencyGraph();
  graph.markOpen("0");
  for (let n = 1; n < 5000; n++) graph.add(`${n}`, dependentJob([`${n - 1}`]));
  graph.markFinished("0", "cancelled", null);
  assert.equal(graph.stateOf("4999"), "cancelled");
  assert.equal(graph.toCancel.size, 4999);
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
  test(`pipeline: an earlier version starts a stored dependent job nowhere (types ${JSON.stringify(builds)})`, () => {
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

/**
 * Runs pipelines in a simulated cluster, with faults if `withFaults`. Each job is submitted as soon
 * as those that it awaits are accepted.
 */
async function pipelineDay(seed: number, withFaults: boolean): Promise<World> {
  const world = new World(seed, 3, TEAMS, 8, {}, ["a"], undefined, 60);
  const random = new Random(seed + 70);
  await world.clock.run(20_000);
  let jobs = 0;
  for (let step = 0; step < 40; step++) {
    if (random.chance(0.4)) {
      const made: string[] = [];
      const stages = random.int(2, 5);
      const cancelled = random.chance(0.3) ? random.int(0, stages - 1) : -1;
      const submitNext = (): void => {
        const ready = made.every((id) => world.jobs.get(id)!.accepted);
        if (!ready) return void world.clock.after(200, submitNext);
        const n = made.length;
        if (n === stages) return;
        const awaits = made.filter((_, i) => i === n - 1 || random.chance(0.3));
        const id = `wk-${700_000 + jobs++}`;
        world.submit(id, {
          team: random.pick(TEAMS).name,
          tasks: random.int(1, 6),
          runMs: random.int(1000, 8000),
          rank: n === stages - 1 ? "urgent" : "best_effort",
          body: { awaits, dueS: n === stages - 1 ? 120 : null },
        });
        made.push(id);
        if (n === cancelled) world.clock.after(random.int(100, 15_000), () => world.cancel(id));
        submitNext();
      };
      submitNext();
    }
    if (withFaults && random.chance(0.25)) injectRandomFault(world, random);
    await world.clock.run(3000);
  }
  await world.clock.run(300_000);
  world.stop();
  return world;
}

for (const seed of [1, 2, 3, 4]) {
  test(`pipeline: a simulated day, with faults from seed 2 on, seed ${seed}`, async () => {
    const world = await pipelineDay(seed, seed > 1);
    assert.deepEqual(dayProblems(world), []);
    const after = [...world.jobs.values()].filter(({ awaits }) => awaits.length > 0);
    assert.ok(after.some(({ toldDone }) => toldDone));
    assert.ok(
      after.some(
        ({ toldCancelledAt, askedToCancel }) => toldCancelledAt !== null && !askedToCancel,
      ),
    );
    // The leader has cancelled all headers, so no state has to be derived any more.
    for (const { id, toldCancelledAt } of after) {
      if (toldCancelledAt === null) continue;
      const header = world.state.rows.get(`w/j/${id}`)?.value as { status: string } | undefined;
      assert.equal(header?.status, "cancelled", id);
    }
  });
}

const answers: { name: string; awaits: string[]; status: number }[] = [
  { name: "an open job", awaits: ["wk-1"], status: 201 },
  { name: "a cancelled job", awaits: ["wk-2"], status: 201 },
  { name: "a job that awaits a cancelled one", awaits: ["wk-4"], status: 201 },
  { name: "a job that was never accepted", awaits: ["wk-1", "wk-9"], status: 422 },
  { name: "itself", awaits: ["wk-8"], status: 422 },
  { name: "a service", awaits: ["wk-3"], status: 422 },
  { name: "an invalid job id", awaits: ["x"], status: 400 },
];
test("pipeline: a job that awaits one known to be cancelled is cancelled at acceptance", async () => {
  const past = { past: { status: "cancelled", over: 5 } };
  const look = async (id: string) => (id === "wk-2" ? past : null) as never;
  assert.deepEqual(await resolveDependencies("wk-9", ["wk-2"], look), {
    after: { jobs: ["wk-2"] },
    cancelled: true,
  });
});

test("pipeline: responses to submissions that await other jobs", async () => {
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
  // Its header is still open: the leader has not cancelled it yet.
  assert.equal((await post(2, { uid: "wk-4", awaits: ["wk-2"] }))?.status, 201);
  const openHeader = structuredClone(world.state.rows.get("w/j/wk-4")!.value) as object;
  for (const [n, { name, awaits, status: expected }] of answers.entries()) {
    const uid = name === "itself" ? "wk-8" : `wk-8${n}`;
    if (awaits[0] === "wk-4") {
      const value = { ...openHeader, status: "open" };
      world.state.transact([], [{ put: "w/j/wk-4", value }]);
      await world.clock.run(30);
    }
    const answer = await post(2, { uid, awaits });
    assert.equal(answer?.status, expected, name);
    if (expected !== 201) continue;
    const cancelled = ["wk-2", "wk-4"].includes(awaits[0]!);
    // The awaited job may have been cancelled long ago, so already the first response says so.
    const { status: said } = answer!.body as { status: string };
    assert.equal(said, cancelled ? "cancelled" : "pending", name);
    assert.equal((await status(1, uid)).status, cancelled ? "cancelled" : "pending", name);
    // Once accepted, the same id is answered with 200, whatever else is submitted.
    assert.equal((await post(0, { uid, awaits: ["wk-9"] }))?.status, 200);
  }
  // Jobs that are done are not stored in the record, so a list of thousands of them is accepted.
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
