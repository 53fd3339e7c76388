import assert from "node:assert/strict";
import { test } from "node:test";
import type { Summary } from "../src/part/summary.js";
import type { Report } from "../src/wire/workers.js";
import { Bench, header, running, spec } from "./support/part-bench.js";

test("quota: while another part's slice is unreadable, this part's slice does not grow", async () => {
  const bench = new Bench();
  bench.put({ put: "w/q/red", value: { 0: [1, 0], 1: [null, null] } });
  bench.put({ put: "w/j/wk-000001", value: header({ tasks: 3, chunkSize: 3 }) });
  await bench.takeOver();
  await bench.report("new", { token: 1 });
  const started = new Set<string>();
  for (let seq = 2; seq < 30; seq++) {
    for (const { verb, piece } of await bench.report("new", { seq })) {
      if (verb === "start") started.add(piece);
    }
    await bench.clock.run(500);
  }
  assert.equal(started.size, 1, "the present slice may be used, and no more");
});

// Part 1 has much work of a higher priority; part 2 lacks quota, as this part does.
for (const short of [true, false]) {
  const why = short ? "waits for quota" : "waits for machines";
  test(`quota: higher-priority work elsewhere ${why}: a task here ${short ? "does not start" : "starts"}`, async () => {
    const bench = new Bench();
    bench.put({ put: "w/j/wk-000001", value: header() }, { put: "w/q/red", value: { 1: [4, 0] } });
    await bench.takeOver();
    const rest = { kinds: [], waiting: 0, workS: 0, need: [], machines: [], retired: [], idle: {} };
    const summaryOf = (rank: number, cpus: number, missing: boolean, used: number): Summary => ({
      ...rest,
      token: 1,
      seq: 1,
      use: { red: [used, 0] },
      demand: [{ team: "red", rank, cpus, gpus: 0 }],
      short: missing ? { red: [1, 0] } : {},
    });
    bench.part.ctx.summaries.offer(1, summaryOf(3, 40, short, 4));
    bench.part.ctx.summaries.offer(2, summaryOf(0, 5, true, 0));
    await bench.report("new", { token: 1 });
    let started = false;
    for (let seq = 2; seq < 12; seq++) {
      const orders = await bench.report("new", { seq });
      started ||= orders.some(({ verb }) => verb === "start");
      await bench.clock.run(500);
    }
    assert.equal(started, !short);
  });
}

test("quota: the unused rest of a slice goes to a part that lacks quota", async () => {
  const bench = new Bench();
  const value = { m: ["old"], c: { "wk-000001/0": [1, "", "0.1.0,1.1.0,2.1.0,3.1.0"] } };
  const job = header({ spec: { ...spec, tasks: 4 }, tasks: 4, chunkSize: 4 });
  bench.put(
    { put: "c/0/p/0", value },
    { put: "w/j/wk-000001", value: job },
    { put: "w/q/red", value: { 0: [5, 0], 1: [3, 0] } },
  );
  await bench.takeOver();
  const rest = { kinds: [], waiting: 1, workS: 0, need: [], machines: [], retired: [], idle: {} };
  bench.part.ctx.summaries.offer(1, {
    ...rest,
    token: 1,
    seq: 1,
    use: { red: [3, 0] },
    demand: [{ team: "red", rank: 0, cpus: 4, gpus: 0 }],
    short: { red: [1, 0] },
  });
  const tasks = [0, 1, 2, 3].map((n) => ({ ...running, task: `wk-000001/${n}` }));
  const slice = () => (bench.state.rows.get("w/q/red")!.value as Record<string, number[]>)[0];
  let givenAfterMs = 0;
  for (let seq = 1; seq < 40; seq++) {
    await bench.report("old", { seq, tasks, token: seq === 1 ? 1 : bench.token });
    await bench.clock.run(2000);
    if (slice()?.[0] !== 4) givenAfterMs = seq * 2000;
  }
  assert.deepEqual(slice(), [4, 0]);
  // Unused quota is given up within half a lease and is not taken back.
  assert.ok(givenAfterMs <= bench.part.ctx.leaseMs / 2, `${givenAfterMs}`);
});

// This part holds the whole limit and its waiting tasks find no machine; the other part may lack quota.
const idleQuotaCases = [
  { name: "is given to a part that lacks some", short: true, slice: [4, 0] },
  { name: "is kept while no part lacks any", short: false, slice: [8, 0] },
];
for (const { name, short, slice } of idleQuotaCases) {
  test(`quota: unused quota of tasks that wait for machines ${name}`, async () => {
    const bench = new Bench();
    const value = { m: ["old"], c: { "wk-000001/0": [1, "", "0.1.0,1.1.0,2.1.0,3.1.0"] } };
    const job = header({ spec: { ...spec, tasks: 12 }, tasks: 12, chunkSize: 12 });
    bench.put(
      { put: "c/0/p/0", value },
      { put: "w/j/wk-000001", value: job },
      { put: "w/q/red", value: { 0: [8, 0] } },
    );
    await bench.takeOver();
    const rest = { kinds: [], waiting: 1, workS: 0, need: [], machines: [], retired: [], idle: {} };
    bench.part.ctx.summaries.offer(1, {
      ...rest,
      token: 1,
      seq: 1,
      use: {},
      demand: [{ team: "red", rank: 0, cpus: 4, gpus: 0 }],
      short: short ? { red: [1, 0] } : {},
    });
    const tasks = [0, 1, 2, 3].map((n) => ({ ...running, task: `wk-000001/${n}` }));
    const slices = () => bench.state.rows.get("w/q/red")?.value as Record<string, number[]>;
    for (let seq = 1; seq < 40; seq++) {
      await bench.report("old", { seq, tasks, token: seq === 1 ? 1 : bench.token });
      await bench.clock.run(2000);
      const free = 8 - slices()[0]![0]!;
      if (short) bench.put({ put: "w/q/red", value: { ...slices(), 1: [free, 0] } });
    }
    assert.deepEqual(slices()[0], slice);
  });
}

// The team may use 8 CPUs and uses all of them. One machine is free, so only quota is lacking.
const limitCases = [
  {
    name: "for a job of higher priority that can meet its due time",
    rank: 1,
    onTime: true,
    cpus: 1,
    stops: 2,
  },
  { name: "not for one that cannot meet its due time", rank: 1, onTime: false, cpus: 1, stops: 0 },
  { name: "not for one of the same priority", rank: 0, onTime: true, cpus: 1, stops: 0 },
  // Inc-6827: quota freed so far, less than a task of this job needs, was used by the stopped job again.
  {
    name: "and do not start again until it has its quota",
    rank: 1,
    onTime: true,
    cpus: 3,
    stops: 6,
  },
];
for (const { name, rank, onTime, cpus, stops } of limitCases) {
  test(`limit: checkpointing tasks are stopped to free quota in their own team: ${name}`, async () => {
    const bench = new Bench();
    await bench.takeOver();
    const low = { ...spec, rank: 0, tasks: 8, checkpointS: 20, saveS: 3 };
    const value = header({ spec: low, tasks: 8, chunkSize: 8 });
    bench.put({ put: "w/j/wk-000001", value });
    const lists = new Map<string, Report["tasks"]>();
    const stopped = new Map<string, number>();
    const savedAt = new Map<string, number>();
    const rounds = async (from: number, to: number): Promise<void> => {
      for (let seq = from; seq < to; seq++) {
        for (const machine of ["a", "b", "c"]) {
          const tasks = lists.get(machine) ?? [];
          const token = seq === 1 ? 1 : bench.token;
          for (const task of tasks) {
            if (seq >= (savedAt.get(`${task.task} ${task.attempt}`) ?? Number.POSITIVE_INFINITY))
              Object.assign(task, { state: "exited", why: "stopped" });
          }
          for (const order of await bench.report(machine, { seq, token, tasks })) {
            const attempt = `${order.piece} ${order.try}`;
            if (order.verb === "stop") {
              // They finish saving one after the other.
              if (!stopped.has(attempt)) savedAt.set(attempt, seq + 2 + stopped.size);
              stopped.set(attempt, order.windDownS);
            }
            if (order.verb === "clear") {
              tasks.splice(
                tasks.findIndex(({ task }) => task === order.piece),
                1,
              );
            }
            if (order.verb !== "start") continue;
            tasks.push({ task: order.piece, attempt: order.try, state: "running", why: "" });
          }
          lists.set(machine, tasks);
        }
        await bench.clock.run(500);
      }
    };
    await rounds(1, 10);
    assert.equal([...lists.values()].flat().length, 8);
    const urgent = { ...spec, rank, cpus, tasks: 2 };
    if (onTime) bench.onTimeJobs.add("wk-000002");
    bench.put({
      put: "w/j/wk-000002",
      value: header({ spec: urgent, tasks: 2, chunkSize: 2 }),
    });
    await rounds(10, 26);
    assert.equal(stopped.size, stops);
    for (const graceS of stopped.values())
      assert.ok(graceS >= 3, "each stopped task has time to save");
  });
}
