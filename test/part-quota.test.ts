import assert from "node:assert/strict";
import { test } from "node:test";
import type { Summary } from "../src/part/summary.js";
import type { Report } from "../src/wire/workers.js";
import { Bench, header, running, spec } from "./support/part-bench.js";

test("a slice of another part that is not known: nothing is taken meanwhile", async () => {
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
  assert.equal(started.size, 1, "what it holds may be used, and no more");
});

// Part 1 has much work of a higher priority, part 2 waits for quota like this one.
for (const short of [true, false]) {
  const why = short ? "waits for quota" : "waits for machines";
  test(`quota: higher work elsewhere ${why}: ours ${short ? "leaves it to it" : "starts"}`, async () => {
    const bench = new Bench();
    bench.put({ put: "w/j/wk-000001", value: header() }, { put: "w/q/red", value: { 1: [4, 0] } });
    await bench.takeOver();
    const rest = { kinds: [], waiting: 0, workS: 0, need: [], machines: [], retired: [], idle: {} };
    const of = (rank: number, cpus: number, missing: boolean, used: number): Summary => ({
      ...rest,
      token: 1,
      seq: 1,
      use: { red: [used, 0] },
      demand: [{ team: "red", rank, cpus, gpus: 0 }],
      short: missing ? { red: [1, 0] } : {},
    });
    bench.part.ctx.summaries.offer(1, of(3, 40, short, 4));
    bench.part.ctx.summaries.offer(2, of(0, 5, true, 0));
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

test("quota: what a part does not use of its slice goes to one that is short", async () => {
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
  // What is not needed goes within half a lease, and stays away.
  assert.ok(givenAfterMs <= bench.part.ctx.leaseMs / 2, `${givenAfterMs}`);
});

// This part holds all of the limit, and its waiting tasks find no machine; the other waits for quota.
const lent = [
  { name: "is given to one that is short", short: true, slice: [4, 0] },
  { name: "stays while nobody is short", short: false, slice: [8, 0] },
];
for (const { name, short, slice } of lent) {
  test(`quota: what waits for machines here ${name}`, async () => {
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

// The team may use 8 CPUs, and they are used. There is a machine to spare: room is not the matter.
const limitCases = [
  {
    name: "a job of higher priority that may be in time",
    rank: 1,
    timely: true,
    cpus: 1,
    stops: 2,
  },
  { name: "not for one that is too late already", rank: 1, timely: false, cpus: 1, stops: 0 },
  { name: "not for one of the same priority", rank: 0, timely: true, cpus: 1, stops: 0 },
  // Inc-6827: what was free of the limit meanwhile, less than one of its tasks, went to the others again.
  { name: "and start nothing until it has its room", rank: 1, timely: true, cpus: 3, stops: 6 },
];
for (const { name, rank, timely, cpus, stops } of limitCases) {
  test(`limit: tasks that save make room in their own team: ${name}`, async () => {
    const bench = new Bench();
    await bench.takeOver();
    const low = { ...spec, rank: 0, tasks: 8, checkpointS: 20, saveS: 3 };
    const value = header({ spec: low, tasks: 8, chunkSize: 8 });
    bench.put({ put: "w/j/wk-000001", value });
    const lists = new Map<string, Report["tasks"]>();
    const stopped = new Map<string, number>();
    const ends = new Map<string, number>();
    const rounds = async (from: number, to: number): Promise<void> => {
      for (let seq = from; seq < to; seq++) {
        for (const machine of ["a", "b", "c"]) {
          const tasks = lists.get(machine) ?? [];
          const token = seq === 1 ? 1 : bench.token;
          for (const task of tasks) {
            if (seq >= (ends.get(`${task.task} ${task.attempt}`) ?? Number.POSITIVE_INFINITY))
              Object.assign(task, { state: "exited", why: "stopped" });
          }
          for (const order of await bench.report(machine, { seq, token, tasks })) {
            const name = `${order.piece} ${order.try}`;
            if (order.verb === "stop") {
              // One after the other they have saved.
              if (!stopped.has(name)) ends.set(name, seq + 2 + stopped.size);
              stopped.set(name, order.windDownS);
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
    if (timely) bench.timely.add("wk-000002");
    bench.put({
      put: "w/j/wk-000002",
      value: header({ spec: urgent, tasks: 2, chunkSize: 2 }),
    });
    await rounds(10, 26);
    assert.equal(stopped.size, stops);
    for (const graceS of stopped.values()) assert.ok(graceS >= 3, "they have time to save");
  });
}
