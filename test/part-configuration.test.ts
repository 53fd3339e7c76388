import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConfigurationInForce } from "../src/configuration/index.js";
import { keys } from "../src/state/keys.js";
import { Bench, header, running, spec } from "./support/part-bench.js";

/** A revised configuration with the bench's limits. */
const revised = (bench: Bench, current = true): ConfigurationInForce => ({
  limits: bench.limits,
  hasRevision: true,
  isCurrent: current,
  condition: () => ({
    key: keys.configurationHead,
    version: bench.mirror.rows.get(keys.configurationHead)?.version ?? 0,
  }),
});

const tasks = [0, 1].map((n) => ({ ...running, task: `wk-000001/${n}` }));
const page = { m: ["old"], c: { "wk-000001/0": [1, "", "0.1.0,1.1.0"] } };
const job = header({ spec: { ...spec, tasks: 8 }, tasks: 8, chunkSize: 8 });

/** Starts with two of eight tasks running here; the slices are 4 here and `other` in part 1. */
async function started(bench: Bench, other: number): Promise<void> {
  bench.put(
    { put: "c/0/p/0", value: page },
    { put: "w/j/wk-000001", value: job },
    { put: "w/q/red", value: { 0: [4, 0], 1: [other, 0] } },
  );
  await bench.takeOver();
}

const slices = (bench: Bench): Record<string, number[]> =>
  bench.state.rows.get("w/q/red")?.value as Record<string, number[]>;

test("configuration: under a lowered limit unused quota is given up, and nothing starts or uses an attempt", async () => {
  const bench = new Bench();
  bench.configuration = revised(bench);
  bench.limits.set("red", { cpus: 5, gpus: 0 });
  await started(bench, 4);
  const starts: number[] = [];
  const report = async (seq: number): Promise<void> => {
    const orders = await bench.report("old", { seq, tasks, token: seq === 1 ? 1 : bench.token });
    for (const order of orders) if (order.verb === "start") starts.push(order.try);
    await bench.clock.run(500);
  };
  for (let seq = 1; seq < 10; seq++) await report(seq);
  assert.deepEqual(slices(bench), { 0: [2, 0], 1: [4, 0] });
  assert.deepEqual(starts, []);
  // No shortage is published, so no part stops tasks for quota that does not exist.
  assert.deepEqual(
    bench.publishedSummaries.map(({ short }) => short).filter(({ red }) => red),
    [],
  );
  // The other part gives up quota beyond its share, and this one starts tasks again.
  bench.put({ put: "w/q/red", value: { ...slices(bench), 1: [1, 0] } });
  for (let seq = 10; seq < 20; seq++) await report(seq);
  assert.deepEqual(slices(bench), { 0: [4, 0], 1: [1, 0] });
  // Attempt 1 was used before; each start takes the next one.
  assert.deepEqual([...new Set(starts)], [2, 3]);
});

test("configuration: while the newest revision is not in force here, slices do not grow", async () => {
  for (const current of [true, false]) {
    const bench = new Bench();
    bench.configuration = revised(bench, current);
    bench.limits.set("red", { cpus: 8, gpus: 0 });
    bench.put(
      { put: "c/0/p/0", value: page },
      { put: "w/j/wk-000001", value: job },
      { put: "w/q/red", value: { 0: [2, 0] } },
    );
    await bench.takeOver();
    for (let seq = 1; seq < 10; seq++) {
      await bench.report("old", { seq, tasks, token: seq === 1 ? 1 : bench.token });
      await bench.clock.run(500);
    }
    assert.equal(slices(bench)[0]![0]! > 2, current);
  }
});

test("configuration: a revision noticed by a refused commit takes effect only after the watch reports it", async () => {
  const bench = new Bench();
  bench.configuration = revised(bench);
  await started(bench, 0);
  // The watch is delayed; only reads and transactions get through.
  let watchDelayed = true;
  const watch = bench.store.watch.bind(bench.store);
  bench.store.watch = async (...asked) => {
    while (watchDelayed) await new Promise<void>((resolve) => bench.clock.after(100, resolve));
    return watch(...asked);
  };
  await bench.clock.run(2500);
  const value = { revision: 1, id: "a", pieces: 0, by: "x", why: "", at: 0 };
  bench.put({ put: keys.configurationHead, value });
  for (let seq = 1; seq < 8; seq++) {
    const orders = await bench.report("old", { seq, tasks, token: seq === 1 ? 1 : bench.token });
    assert.ok(orders.every(({ verb }) => verb !== "start"));
    await bench.clock.run(500);
    assert.equal(bench.mirror.rows.has(keys.configurationHead), false);
  }
  watchDelayed = false;
  let starts = 0;
  for (let seq = 8; seq < 20; seq++) {
    const orders = await bench.report("old", { seq, tasks });
    starts += orders.filter(({ verb }) => verb === "start").length;
    await bench.clock.run(500);
  }
  assert.ok(bench.mirror.rows.has(keys.configurationHead));
  assert.ok(starts > 0);
});
