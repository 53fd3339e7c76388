import assert from "node:assert/strict";
import { test } from "node:test";
import type { Report } from "../src/wire/workers.js";
import { Bench, exited, header, PLACED, running, spec } from "./support/part-bench.js";

// A task is placed on `old`, and a new owner takes over. When may it start on `new`?
const takeovers: {
  name: string;
  steps: Partial<Report>[];
  gone: boolean;
  cloudConfirms?: boolean;
}[] = [
  { name: "the machine stays silent", steps: [], gone: false },
  {
    name: "it does not list the task, but has the old owner's token",
    steps: [{ token: 1 }],
    gone: false,
  },
  { name: "it lists the task", steps: [{ tasks: [running] }], gone: false },
  {
    name: "it has the new owner's token and does not list the task",
    steps: [{ token: 1 }, { seq: 2 }],
    gone: true,
  },
  { name: "it has begun a new session", steps: [{ session: 2 }], gone: true },
  { name: "the task failed", steps: [{ tasks: [exited("error")] }], gone: true },
  {
    name: "an older report without the task arrives late",
    steps: [{ seq: 9, tasks: [running] }, { seq: 5 }],
    gone: false,
  },
  {
    name: "a report of an earlier session arrives late",
    steps: [
      { session: 2, tasks: [running] },
      { session: 1, seq: 99 },
    ],
    gone: false,
  },
  {
    name: "the cloud has confirmed that the machine is gone",
    steps: [],
    gone: true,
    cloudConfirms: true,
  },
];
for (const { name, steps, gone, cloudConfirms } of takeovers) {
  test(`takeover: ${name}: ${gone ? "proved gone" : "not proved gone"}`, async () => {
    const bench = new Bench();
    bench.put({ put: "w/j/wk-000001", value: header() });
    bench.put(PLACED);
    await bench.takeOver();
    await bench.report("new", { token: 1 });
    await bench.report("new", { seq: 2 });
    for (const step of steps) await bench.report("old", step);
    if (cloudConfirms === true) bench.put({ put: "w/g/1-1", value: ["old"] });
    // A machine that is only silent must be waited for, however long it takes.
    for (let seq = 3; seq < 40; seq++) {
      await bench.clock.run(1000);
      await bench.report("new", { seq });
    }
    if (gone) assert.equal(bench.storedPlacement()?.[0], 2);
    else assert.deepEqual(bench.storedPlacement(), [1, "old"]);
  });
}

// A job is submitted after a machine was silent for `awayMs`. After which of its next two reports is a
// task placed on it?
const unreachableCases: {
  name: string;
  awayMs: number;
  session: number;
  seq: number;
  placedAfter: number;
}[] = [
  { name: "silent for a moment: used at once", awayMs: 3000, session: 1, seq: 5, placedAfter: 1 },
  {
    name: "as long as a round of all controllers: not before an answer reaches it",
    awayMs: 8000,
    session: 1,
    seq: 5,
    placedAfter: 2,
  },
  {
    name: "a new session: not before an answer reaches it",
    awayMs: 1000,
    session: 2,
    seq: 1,
    placedAfter: 2,
  },
];
for (const { name, awayMs, session, seq, placedAfter } of unreachableCases) {
  test(`a machine that may be unreachable, ${name}`, async () => {
    const bench = new Bench();
    await bench.takeOver();
    await bench.report("a", { token: 1 });
    await bench.report("a", { seq: 2 });
    await bench.clock.run(awayMs);
    bench.put({ put: "w/j/wk-000001", value: header() });
    const placed: number[] = [];
    for (const n of [0, 1]) {
      await bench.report("a", { session, seq: seq + n });
      await bench.clock.run(1000);
      if (bench.storedPlacement() !== null) placed.push(n + 1);
    }
    assert.equal(placed[0], placedAfter);
  });
}

test("a task whose start was never sent is placed elsewhere once its machine is unreachable", async () => {
  const bench = new Bench();
  await bench.takeOver();
  await bench.report("a", { token: 1 });
  await bench.report("a", { seq: 2 });
  bench.put({ put: "w/j/wk-000001", value: header() });
  await bench.clock.run(1000);
  assert.deepEqual(bench.storedPlacement()?.[1], "a");
  await bench.clock.run(7000);
  assert.deepEqual(await bench.report("a", { seq: 9 }), []);
  await bench.report("b", { token: 1 });
  await bench.report("b", { seq: 2 });
  await bench.clock.run(1000);
  assert.deepEqual(bench.storedPlacement()?.[1], "b");
});

test("an unreachable machine is not counted among silent ones, and is retired in the end", async () => {
  const bench = new Bench();
  await bench.takeOver();
  for (const machine of ["a", "b", "c"]) {
    await bench.report(machine, { token: 1 });
    await bench.report(machine, { seq: 2 });
  }
  const retired = (): unknown =>
    (bench.state.rows.get("w/s/0")?.value as { retired: string[] } | undefined)?.retired;
  const seen: unknown[] = [];
  for (const seq of [5, 8, 11, 14]) {
    await bench.clock.run(3000);
    for (const machine of ["a", "b", "c"]) await bench.report(machine, { seq });
    // Silent together for longer than a third of a lease, as if this controller had no network.
    await bench.clock.run(4500);
    if (seq > 5) assert.equal(bench.part.mostMachinesSilent(), false);
    seen.push(retired());
  }
  assert.deepEqual(seen.slice(1), [[], [], ["a", "b", "c"]]);
});

// A new owner finds two of three tasks on one machine, whose zone it learns from reports only. Where
// may the third start?
const spreadRule = { spread: true };
const oneZoneRule = { oneZone: true };
const zoneRules: { rule: object; reportedZone: string | null; startsOn: string | null }[] = [
  { rule: spreadRule, reportedZone: null, startsOn: null },
  { rule: spreadRule, reportedZone: "a", startsOn: null },
  { rule: spreadRule, reportedZone: "b", startsOn: "new" },
  { rule: oneZoneRule, reportedZone: null, startsOn: null },
  { rule: oneZoneRule, reportedZone: "a", startsOn: "old" },
  { rule: oneZoneRule, reportedZone: "b", startsOn: "old" },
];
for (const { rule, reportedZone, startsOn } of zoneRules) {
  const where = reportedZone === null ? "that does not report" : `in zone ${reportedZone}`;
  test(`takeover: two of three tasks (${Object.keys(rule)}) on a machine ${where}: ${startsOn}`, async () => {
    const bench = new Bench();
    const value = { m: ["old"], c: { "wk-000001/0": [1, "", "0.1.0,1.1.0"] } };
    const job = header({ spec: { ...spec, ...rule, tasks: 3 }, tasks: 3, chunkSize: 3 });
    bench.put({ put: "c/0/p/0", value }, { put: "w/j/wk-000001", value: job });
    await bench.takeOver();
    const tasks = [running, { ...running, task: "wk-000001/1" }];
    let started: string | null = null;
    for (let seq = 1; seq < 12; seq++) {
      const token = seq === 1 ? 1 : bench.token;
      const reports: [string, Partial<Report>][] = [["new", { seq, token }]];
      if (reportedZone !== null) reports.push(["old", { seq, token, zone: reportedZone, tasks }]);
      for (const [machine, report] of reports) {
        const commands = await bench.report(machine, report);
        if (commands.some(({ verb }) => verb === "start")) started ??= machine;
      }
      await bench.clock.run(500);
    }
    assert.equal(started, startsOn);
  });
}
