import assert from "node:assert/strict";
import { test } from "node:test";
import { coreRecordValidator } from "../src/controller/record-kinds.js";
import type { HttpClient } from "../src/http/client.js";
import { isSummary } from "../src/part/summary.js";
import { StoreClient, Unwritable } from "../src/state/store.js";
import { FakeClock } from "./support/clock.js";
import { LIMITS } from "./support/common.js";
import { plainSpec } from "./support/placement-bench.js";

const header = {
  status: "open",
  spec: plainSpec,
  owners: "01",
  chunkSize: 2,
  at: 5,
  started: false,
  moves: 0,
  tasks: 4,
};
const summary = {
  use: { red: [1, 0] },
  demand: [{ team: "red", rank: 0, cpus: 1, gpus: 0 }],
  need: [],
  short: {},
  kinds: [{ type: "m4", zone: "a", spot: true, capacity: 4, free: 1, most: 1 }],
  waiting: 0,
  workS: 0,
  machines: ["m"],
  retired: [],
  idle: { m: 4 },
  token: 3,
  seq: 1,
};

const cases: { key: string; good: unknown; bad: unknown[] }[] = [
  {
    key: "w/q/red",
    good: { 0: [1, 0], 1: null },
    bad: [{ 0: [Number.NaN, 0] }, { 0: [null, 0] }, { 0: [-1, 0] }, { x: [1, 0] }, [1], "slices"],
  },
  {
    key: "w/j/wk-000001",
    good: header,
    bad: [
      { ...header, owners: "0" },
      { ...header, at: Number.NaN },
      { ...header, spec: undefined },
      { ...header, spec: { ...plainSpec, estimateS: Number.POSITIVE_INFINITY } },
      { ...header, status: "lost" },
    ],
  },
  {
    key: "c/0/p/3",
    good: { m: ["a"], c: { "wk-000001/0": [1, "0-1", "2.1.0"] } },
    bad: [
      { m: ["a"], c: { "wk-000001/0": [Number.NaN, "", ""] } },
      { m: [], c: { "wk-000001/0": [1, "", "2.1.0"] } },
      { m: ["a"], c: { "wk-000001/0": [1, "NaN", ""] } },
      { c: {} },
    ],
  },
  { key: "c/0/m/wk-000001/0", good: { m: [], c: { "wk-000001/0": [1, "0", ""] } }, bad: ["x"] },
  { key: "c/2/fence", good: "17.4", bad: [17.4, "NaN.1", ""] },
  {
    key: "w/s/0",
    good: summary,
    bad: [
      { ...summary, waiting: Number.NaN },
      { ...summary, use: { red: [Number.NaN, 0] } },
      { ...summary, demand: [{ team: "red", rank: 0, gpus: 0 }] },
      { ...summary, idle: { m: Number.NEGATIVE_INFINITY } },
    ],
  },
  { key: "w/p/1", good: { node: "n", run: "r" }, bad: [{ node: "n" }, null] },
  { key: "w/g/1-1", good: ["m"], bad: [[undefined], ["m", 4]] },
  { key: "w/types", good: [], bad: [{}, [{ cpus: Number.NaN }]] },
  { key: "anything", good: { a: [1, "x", null] }, bad: [{ a: () => 1 }, 1n, { a: [Number.NaN] }] },
];
for (const { key, good, bad } of cases) {
  test(`records: what is written to ${key} is what its reader takes`, () => {
    const told: string[] = [];
    const writable = coreRecordValidator((refused) => told.push(refused));
    assert.equal(writable.fault(key, good), null);
    for (const value of bad) assert.notEqual(writable.fault(key, value), null, String(value));
    assert.deepEqual(told, [key], "told once, however often it is tried");
  });
}

test("records: a summary that is heard with something else than numbers is none", () => {
  assert.ok(isSummary(summary));
  for (const bad of [
    { ...summary, waiting: Number.NaN },
    { ...summary, workS: null },
    { ...summary, use: { red: [Number.NaN, 0] } },
    { ...summary, short: { red: [1] } },
    { ...summary, demand: [{ team: "red", rank: 0, cpus: Number.NaN, gpus: 0 }] },
    { ...summary, kinds: [{ ...summary.kinds[0], free: null }] },
  ]) {
    assert.ok(!isSummary(bad), JSON.stringify(bad));
  }
});

test("records: the store's client sends no transaction with one that would be refused", async () => {
  const sent: unknown[] = [];
  const http = { call: async (...args: unknown[]) => sent.push(args) } as unknown as HttpClient;
  const store = new StoreClient(http, LIMITS, new FakeClock(), 1000, coreRecordValidator());
  const changes = [{ put: "w/q/red", value: { 0: [Number.NaN, 0] } }];
  await assert.rejects(store.transact([], changes), Unwritable);
  assert.deepEqual(sent, []);
});
