import assert from "node:assert/strict";
import { test } from "node:test";
import type { Report } from "../src/wire/workers.js";
import { Bench, exited, header, PLACED, running, spec } from "./support/part-bench.js";

// A task is placed on `old`, and a new owner takes over. When may it start on `new`?
const takeovers: { name: string; steps: Partial<Report>[]; gone: boolean; free?: boolean }[] = [
  { name: "the machine stays silent", steps: [], gone: false },
  {
    name: "it does not list the task, but follows the old owner",
    steps: [{ token: 1 }],
    gone: false,
  },
  { name: "it lists the task", steps: [{ tasks: [running] }], gone: false },
  {
    name: "it follows us and does not list the task",
    steps: [{ token: 1 }, { seq: 2 }],
    gone: true,
  },
  { name: "it has begun a new session", steps: [{ session: 2 }], gone: true },
  { name: "the task failed", steps: [{ tasks: [exited("error")] }], gone: true },
  {
    name: "an older report without the task comes late",
    steps: [{ seq: 9, tasks: [running] }, { seq: 5 }],
    gone: false,
  },
  {
    name: "a report of an earlier session comes late",
    steps: [
      { session: 2, tasks: [running] },
      { session: 1, seq: 99 },
    ],
    gone: false,
  },
  { name: "the cloud has confirmed that the machine is gone", steps: [], gone: true, free: true },
];
for (const { name, steps, gone, free } of takeovers) {
  test(`takeover: ${name}: ${gone ? "proved gone" : "not proved gone"}`, async () => {
    const bench = new Bench();
    bench.put({ put: "w/j/wk-000001", value: header() });
    bench.put(PLACED);
    await bench.takeOver();
    await bench.report("new", { token: 1 });
    await bench.report("new", { seq: 2 });
    for (const step of steps) await bench.report("old", step);
    if (free === true) bench.put({ put: "w/g/1-1", value: ["old"] });
    // Machines that are only silent must be waited for, however long it takes.
    for (let seq = 3; seq < 40; seq++) {
      await bench.clock.run(1000);
      await bench.report("new", { seq });
    }
    if (gone) assert.equal(bench.placed()?.[0], 2);
    else assert.deepEqual(bench.placed(), [1, "old"]);
  });
}

// A job comes when a machine has not been heard for `awayMs`; its next two reports say what follows.
const hearing: { name: string; awayMs: number; session: number; seq: number; at: number }[] = [
  { name: "away for a moment: used at once", awayMs: 3000, session: 1, seq: 5, at: 1 },
  { name: "round all others once: not before it hears", awayMs: 8000, session: 1, seq: 5, at: 2 },
  { name: "a new session: not before it hears", awayMs: 1000, session: 2, seq: 1, at: 2 },
];
for (const { name, awayMs, session, seq, at } of hearing) {
  test(`a machine that may be deaf, ${name}`, async () => {
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
      if (bench.placed() !== null) placed.push(n + 1);
    }
    assert.equal(placed[0], at);
  });
}

test("what was placed on a machine and not told to it goes elsewhere once that machine is deaf", async () => {
  const bench = new Bench();
  await bench.takeOver();
  await bench.report("a", { token: 1 });
  await bench.report("a", { seq: 2 });
  bench.put({ put: "w/j/wk-000001", value: header() });
  await bench.clock.run(1000);
  assert.deepEqual(bench.placed()?.[1], "a");
  await bench.clock.run(7000);
  assert.deepEqual(await bench.report("a", { seq: 9 }), []);
  await bench.report("b", { token: 1 });
  await bench.report("b", { seq: 2 });
  await bench.clock.run(1000);
  assert.deepEqual(bench.placed()?.[1], "b");
});

test("a machine that does not hear us is no witness against us, and is returned in the end", async () => {
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
    // Silent together for longer than a third of a lease, as if this controller were cut off.
    await bench.clock.run(4500);
    if (seq > 5) assert.equal(bench.part.mostMachinesSilent(), false);
    seen.push(retired());
  }
  assert.deepEqual(seen.slice(1), [[], [], ["a", "b", "c"]]);
});

// Two of three tasks are on a machine in zone a, as a new owner finds them. May the third be there?
const scattered = { spread: true };
const together = { oneZone: true };
const zoneRules: { rule: object; heard: string | null; on: string | null }[] = [
  { rule: scattered, heard: null, on: null },
  { rule: scattered, heard: "a", on: null },
  { rule: scattered, heard: "b", on: "new" },
  { rule: together, heard: null, on: null },
  { rule: together, heard: "a", on: "old" },
  { rule: together, heard: "b", on: "old" },
];
for (const { rule, heard, on } of zoneRules) {
  const where = heard === null ? "not heard of" : `in zone ${heard}`;
  test(`takeover: two of three tasks (${Object.keys(rule)}) on a machine ${where}: ${on}`, async () => {
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
      if (heard !== null) reports.push(["old", { seq, token, zone: heard, tasks }]);
      for (const [machine, report] of reports) {
        const orders = await bench.report(machine, report);
        if (orders.some(({ verb }) => verb === "start")) started ??= machine;
      }
      await bench.clock.run(500);
    }
    assert.equal(started, on);
  });
}
