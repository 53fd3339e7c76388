import assert from "node:assert/strict";
import { test } from "node:test";
import { decodePage, type PageRecord } from "../src/jobs/chunk-page.js";
import type { Report } from "../src/wire/workers.js";
import { LIMITS } from "./support/common.js";
import { Bench, exited, header, PLACED, running, spec } from "./support/part-bench.js";

// Guards against chunks that never left their page: with large values more space was required than a
// transaction has.
for (const valueBytes of [1024, 8 * 1024, 32 * 1024, 256 * 1024]) {
  test(`a job ends where values may have ${valueBytes} bytes`, async () => {
    const bench = new Bench({ ...LIMITS, valueBytes });
    bench.put({ put: "w/j/wk-000001", value: header() });
    bench.put(PLACED);
    await bench.takeOver();
    await bench.report("old", { seq: 2, tasks: [exited("done")] });
    await bench.clock.run(1000);
    const value = bench.state.rows.get("w/j/wk-000001")?.value as { status: string };
    assert.equal(value.status, "done");
  });
}

/** Reports of a worker that takes this owner's token, for long enough to place waiting tasks on it. */
const reportUntilPlaced = async (
  bench: Bench,
  machine: string,
  tasks: Report["tasks"] = [],
): Promise<void> => {
  await bench.report(machine, { token: 1, tasks });
  for (const seq of [2, 3, 4]) {
    await bench.report(machine, { seq, tasks });
    await bench.clock.run(1000);
  }
};

test("records: of a chunk in two pages the newer counts; pages written together are one state", async () => {
  const bench = new Bench();
  const jobSpec = { ...spec, tasks: 3 };
  bench.put({ put: "w/j/wk-000001", value: header({ spec: jobSpec, tasks: 3, chunkSize: 3 }) });
  // It was in a page that is not written any more, and then moved to two others.
  bench.put({
    put: "c/0/p/0",
    value: { m: ["old"], c: { "wk-000001/0": [3, "", "0.1.0,1.2.0,2.3.0"] } },
  });
  bench.put(
    { put: "c/0/p/900", value: { m: ["b"], c: { "wk-000001/0": [7, "0", "1.6.0"] } } },
    { put: "c/0/p/901", value: { m: ["c"], c: { "wk-000001/0": [7, "", "2.7.0"] } } },
  );
  await bench.takeOver();
  const on = (task: number, attempt: number) => [
    { task: `wk-000001/${task}`, attempt, state: "running" as const, why: "" },
  ];
  await reportUntilPlaced(bench, "b", on(1, 6));
  await reportUntilPlaced(bench, "c", on(2, 7));
  await reportUntilPlaced(bench, "old");
  const [job] = bench.part.inspect({ id: "wk-000001" }).jobs;
  assert.deepEqual([job?.done, job?.placed, job?.running, job?.pending], [1, 2, 2, 0]);
  // Ends of its tasks are written to the pages that it is in. At last all of them are removed.
  await bench.report("b", {
    seq: 9,
    tasks: on(1, 6).map((one) => ({ ...one, state: "exited", why: "done" })),
  });
  await bench.clock.run(1000);
  await bench.report("c", {
    seq: 9,
    tasks: on(2, 7).map((one) => ({ ...one, state: "exited", why: "done" })),
  });
  await bench.clock.run(3000);
  const value = bench.state.rows.get("w/j/wk-000001")?.value as { status: string };
  assert.equal(value.status, "done");
});

// A page of an earlier build, larger than values may be now, with transactions of few changes.
for (const ops of [4, 8]) {
  test(`records: a page too large to be written, ${ops} changes: its jobs end, and it is removed`, async () => {
    const limits = { ...LIMITS, valueBytes: 1024, ops, conditions: 4 * ops };
    const bench = new Bench(limits);
    bench.state.limits = LIMITS;
    const c: Record<string, unknown> = {};
    const tasks: Report["tasks"][number][] = [];
    for (let n = 10; n < 40; n++) {
      const id = `wk-0000${n}`;
      bench.put({ put: `w/j/${id}`, value: header({ spec: { ...spec, cpus: 0.1 } }) });
      c[`${id}/0`] = [3, "", "0.3.0"];
      tasks.push({ task: `${id}/0`, attempt: 3, state: "running", why: "" });
    }
    // A chunk that alone is larger than a value: its machines have long names.
    const names = Array.from({ length: 10 }, (_, i) => `machine-${"x".repeat(110)}-${i}`);
    bench.put({
      put: "w/j/wk-000050",
      value: header({ spec: { ...spec, cpus: 0.1, tasks: 10 }, tasks: 10, chunkSize: 10 }),
    });
    c["wk-000050/0"] = [10, "", names.map((_, i) => `${i}.${i + 1}.${i + 1}`).join()];
    bench.put({ put: "c/0/p/0", value: { m: ["old", ...names], c } });
    bench.state.limits = limits;
    await bench.takeOver();
    const done = (list: typeof tasks) =>
      list.map((one) => ({ ...one, state: "exited" as const, why: "done" }));
    await bench.report("old", { token: 1, tasks });
    await bench.report("old", { seq: 2, tasks });
    for (const [i, name] of names.entries()) {
      const own = [{ task: `wk-000050/${i}`, attempt: i + 1, state: "running" as const, why: "" }];
      await bench.report(name, { token: 1, tasks: own });
      await bench.report(name, { seq: 2, tasks: i === 0 ? done(own) : own });
    }
    await bench.clock.run(3000);
    await bench.report("old", { seq: 3, tasks: done(tasks) });
    for (const [i, name] of names.entries()) {
      const own = [{ task: `wk-000050/${i}`, attempt: i + 1, state: "running" as const, why: "" }];
      await bench.report(name, { seq: 3, tasks: done(own) });
    }
    await bench.clock.run(60_000);
    const open = [...bench.state.rows].filter(([key, { value }]) => {
      return key.startsWith("w/j/") && (value as { status: string }).status !== "done";
    });
    assert.deepEqual(
      open.map(([key]) => key),
      [],
    );
    assert.deepEqual(
      [...bench.state.rows.keys()].filter((key) => key.startsWith("c/0/p/")),
      [],
    );
    assert.deepEqual(bench.store.rejectionMessages, []);
  });
}

test("many chunks are saved by few changes, within the limits on values and transactions", async () => {
  // The fake store throws on a value or a transaction that is too large.
  const bench = new Bench({ ...LIMITS, valueBytes: 700, ops: 6 });
  await bench.takeOver();
  const machines = Array.from(
    { length: 8 },
    (_, i) => `${"machine-with-a-long-name-".repeat(2)}${i}`,
  );
  for (const machine of machines) await bench.report(machine, { token: 1 });
  const logStart = bench.state.log.length;
  for (let n = 10; n < 18; n++) {
    const jobSpec = { ...spec, tasks: 4, cpus: 0.25 };
    const value = header({ spec: jobSpec, tasks: 4, owners: "0000" });
    bench.put({ put: `w/j/wk-0000${n}`, value });
  }
  const starts = new Set<string>();
  for (let seq = 2; seq < 12; seq++) {
    for (const machine of machines) {
      for (const command of await bench.report(machine, { seq })) {
        if (command.verb === "start") starts.add(command.piece);
      }
    }
    await bench.clock.run(500);
  }
  assert.equal(starts.size, 32);
  const changes = bench.state.log
    .slice(logStart)
    .filter(({ key }) => key.startsWith("c/0/p/") || key.startsWith("w/q/"));
  assert.ok(changes.length < 24, `${changes.length} changes for 32 chunks`);
});

// ---- unreadable records --------------------------------------------------------------------

const damaged: [name: string, page: unknown][] = [
  ["not a map", "rubbish"],
  ["no list of machines", { c: { "wk-000001/0": [1, "", "0.1.0"] } }],
  ["a machine that is not in the list", { m: [], c: { "wk-000001/0": [1, "", "0.1.0"] } }],
  ["task numbers that are not numbers", { m: ["old"], c: { "wk-000001/0": [1, "", "a.b.0"] } }],
  ["malformed ranges", { m: ["old"], c: { "wk-000001/0": [1, "x-", ""] } }],
  ["a state that is not a list", { m: ["old"], c: { "wk-000001/0": 7 } }],
];
for (const [name, value] of damaged) {
  test(`records: nothing of an unreadable page (${name}) is started, and the page stays as it is`, async () => {
    const bench = new Bench();
    bench.put({ put: "c/0/p/0", value });
    bench.put({ put: "w/j/wk-000001", value: header() });
    await bench.takeOver();
    // Its task may be running on an unknown machine.
    for (let seq = 1; seq < 6; seq++) {
      assert.deepEqual(await bench.report("new", { seq }), []);
      await bench.clock.run(2000);
    }
    // A job that came later was certainly not in that page.
    bench.put({ put: "w/j/wk-000002", value: header() });
    await bench.clock.run(3000);
    const commands = await bench.report("new", { seq: 9 });
    assert.deepEqual(
      commands.map(({ verb, piece }) => `${verb} ${piece}`),
      ["start wk-000002/0"],
    );
    assert.deepEqual(bench.state.rows.get("c/0/p/0")!.value, value, "it was overwritten");
  });
}

test("records: a state whose header is unreadable stays in its page when the page is rewritten", async () => {
  const bench = new Bench();
  const m = ["old"];
  const c = { "wk-000001/0": [1, "", "0.1.0"], "wk-000009/0": [3, "0-1", "2.3.0"] };
  bench.put({ put: "c/0/p/0", value: { m, c } });
  bench.put({ put: "w/j/wk-000001", value: header() });
  bench.put({ put: "w/j/wk-000009", value: "rubbish" });
  await bench.takeOver();
  await bench.report("old", { tasks: [running] });
  await bench.report("old", { seq: 2, tasks: [exited("done")] });
  await bench.clock.run(3000);
  const left = decodePage(bench.state.rows.get("c/0/p/0")!.value as PageRecord);
  assert.deepEqual([...left.keys()], ["wk-000009/0"], "the state of the finished chunk is removed");
  assert.deepEqual(left.get("wk-000009/0"), {
    attempts: 3,
    done: "0-1",
    live: [{ index: 2, attempt: 3, machine: "old" }],
  });
});

test("records: a chunk with an unreadable handover record is not started", async () => {
  const bench = new Bench();
  bench.put({ put: "c/0/m/wk-000001/0", value: "rubbish" });
  bench.put({ put: "w/j/wk-000001", value: header({ moves: 1 }) });
  await bench.takeOver();
  bench.put({ put: "c/0/m/wk-000002/0", value: { m: 7, c: 8 } });
  bench.put({ put: "w/j/wk-000002", value: header({ moves: 1 }) });
  for (let seq = 1; seq < 6; seq++) {
    assert.deepEqual(await bench.report("new", { seq }), []);
    await bench.clock.run(2000);
  }
  assert.equal(bench.state.rows.get("c/0/m/wk-000001/0")!.value, "rubbish");
});

test("records: nothing starts under unreadable slices before they are repaired", async () => {
  const bench = new Bench();
  bench.put({ put: "w/q/red", value: { 0: "all", 1: [7, 0] } });
  bench.put({ put: "w/j/wk-000001", value: header() });
  await bench.takeOver();
  await bench.clock.run(1000);
  const slices = bench.state.rows.get("w/q/red")!.value;
  // Its own slice became what it used, nothing, and then what was free.
  assert.deepEqual(slices, { 0: [1, 0], 1: [7, 0] });
});

test("records: a part drops a job whose header was archived", async () => {
  const bench = new Bench();
  bench.put(PLACED);
  bench.put({ put: "w/j/wk-000001", value: header() });
  await bench.takeOver();
  await bench.report("old", { tasks: [running] });
  // The job was finished and archived while this controller had no contact.
  bench.put({ remove: "w/j/wk-000001" });
  await bench.clock.run(3000);
  const commands = await bench.report("old", { seq: 2, tasks: [running] });
  assert.deepEqual(
    commands.map(({ verb, piece }) => `${verb} ${piece}`),
    [],
  );
  await bench.report("old", { seq: 3 });
  await bench.clock.run(3000);
  assert.equal(bench.part.jobs.size, 0);
  assert.equal(bench.state.rows.has("w/j/wk-000001"), false, "its header was written again");
});

// ---- after a restore -------------------------------------------------------------------------

const unknownTask = { task: "wk-000009/0", attempt: 4, state: "running" as const, why: "" };
const reconciliationCases: [name: string, report: Partial<Report> | null, reconciled: boolean][] = [
  ["no worker reports", null, true],
  ["a worker has no tasks", {}, true],
  ["a worker runs an unknown task", { tasks: [unknownTask] }, false],
  [
    "a worker lists an unknown task that has exited",
    { tasks: [{ ...unknownTask, state: "exited" }] },
    true,
  ],
  ["a worker does not have this owner's token", { token: 0 }, false],
];
for (const [name, report, reconciled] of reconciliationCases) {
  test(`restore reconciliation: ${name}: ${reconciled ? "marker written after the wait" : "no marker"}`, async () => {
    const bench = new Bench();
    bench.reconcilingRestore = true;
    bench.put({ put: "w/j/wk-000001", value: header() });
    await bench.takeOver();
    const markerWritten = (): boolean => bench.state.rows.has("w/r/0");
    for (let seq = 1; seq <= 20; seq++) {
      if (report !== null) {
        const commands = await bench.report("new", { ...report, seq });
        assert.ok(!commands.some(({ verb }) => verb === "start"), "a task was started");
      }
      await bench.clock.run(2000);
      if (seq < 14) assert.equal(markerWritten(), false, "the marker was written too early");
    }
    assert.equal(markerWritten(), reconciled);
    // The worker is silent for longer than it keeps its tasks running.
    await bench.clock.run(15_000);
    assert.equal(markerWritten(), true);
    assert.equal(bench.storedPlacement(), null);
  });
}

test("restore reconciliation: a task that a worker reports as done is done and not started again", async () => {
  const bench = new Bench();
  bench.reconcilingRestore = true;
  bench.put({ put: "w/j/wk-000001", value: header() });
  await bench.takeOver();
  const done = { ...exited("done"), attempt: 7 };
  await bench.report("new", { tasks: [done] });
  await bench.clock.run(1000);
  const { status } = bench.state.rows.get("w/j/wk-000001")!.value as { status: string };
  assert.equal(status, "done");
});
