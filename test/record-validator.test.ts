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

const cases: { key: string; valid: unknown; invalid: unknown[] }[] = [
  {
    key: "w/q/red",
    valid: { 0: [1, 0], 1: null },
    invalid: [
      { 0: [Number.NaN, 0] },
      { 0: [null, 0] },
      { 0: [-1, 0] },
      { x: [1, 0] },
      [1],
      "slices",
    ],
  },
  {
    key: "w/j/wk-000001",
    valid: header,
    invalid: [
      { ...header, owners: "0" },
      { ...header, at: Number.NaN },
      { ...header, spec: undefined },
      { ...header, spec: { ...plainSpec, estimateS: Number.POSITIVE_INFINITY } },
      { ...header, status: "lost" },
    ],
  },
  {
    key: "c/0/p/3",
    valid: { m: ["a"], c: { "wk-000001/0": [1, "0-1", "2.1.0"] } },
    invalid: [
      { m: ["a"], c: { "wk-000001/0": [Number.NaN, "", ""] } },
      { m: [], c: { "wk-000001/0": [1, "", "2.1.0"] } },
      { m: ["a"], c: { "wk-000001/0": [1, "NaN", ""] } },
      { c: {} },
    ],
  },
  {
    key: "c/0/m/wk-000001/0",
    valid: { m: [], c: { "wk-000001/0": [1, "0", ""] } },
    invalid: ["x"],
  },
  { key: "c/2/fence", valid: "17.4", invalid: [17.4, "NaN.1", ""] },
  {
    key: "w/s/0",
    valid: summary,
    invalid: [
      { ...summary, waiting: Number.NaN },
      { ...summary, use: { red: [Number.NaN, 0] } },
      { ...summary, demand: [{ team: "red", rank: 0, gpus: 0 }] },
      { ...summary, idle: { m: Number.NEGATIVE_INFINITY } },
    ],
  },
  { key: "w/p/1", valid: { node: "n", run: "r" }, invalid: [{ node: "n" }, null] },
  { key: "w/g/1-1", valid: ["m"], invalid: [[undefined], ["m", 4]] },
  { key: "w/types", valid: [], invalid: [{}, [{ cpus: Number.NaN }]] },
  {
    key: "anything",
    valid: { a: [1, "x", null] },
    invalid: [{ a: () => 1 }, 1n, { a: [Number.NaN] }],
  },
];
for (const { key, valid, invalid } of cases) {
  test(`record validator: accepts for ${key} only what its reader accepts`, () => {
    const reported: string[] = [];
    const validator = coreRecordValidator((invalidKey) => reported.push(invalidKey));
    assert.equal(validator.fault(key, valid), null);
    for (const value of invalid) assert.notEqual(validator.fault(key, value), null, String(value));
    assert.deepEqual(reported, [key], "reported once, not for every invalid value");
  });
}

test("record validator: a received summary with values that are not numbers is rejected", () => {
  assert.ok(isSummary(summary));
  for (const invalid of [
    { ...summary, waiting: Number.NaN },
    { ...summary, workS: null },
    { ...summary, use: { red: [Number.NaN, 0] } },
    { ...summary, short: { red: [1] } },
    { ...summary, demand: [{ team: "red", rank: 0, cpus: Number.NaN, gpus: 0 }] },
    { ...summary, kinds: [{ ...summary.kinds[0], free: null }] },
  ]) {
    assert.ok(!isSummary(invalid), JSON.stringify(invalid));
  }
});

test("record validator: the store client sends no transaction with an invalid record", async () => {
  const sent: unknown[] = [];
  const http = { call: async (...args: unknown[]) => sent.push(args) } as unknown as HttpClient;
  const store = new StoreClient(http, LIMITS, new FakeClock(), 1000, coreRecordValidator());
  const changes = [{ put: "w/q/red", value: { 0: [Number.NaN, 0] } }];
  await assert.rejects(store.transact([], changes), Unwritable);
  assert.deepEqual(sent, []);
});
