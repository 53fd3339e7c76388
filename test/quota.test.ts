import assert from "node:assert/strict";
import { test } from "node:test";
import { freeOf, reslice, type SliceRecord, target } from "../src/quota/slices.js";
import { Random } from "./support/random.js";

const cpus = (n: number) => ({ cpus: n, gpus: 0 });
const cases: { name: string; record: SliceRecord; wanted: number; own: number }[] = [
  { name: "takes what is free", record: {}, wanted: 10, own: 10 },
  { name: "takes no more than is free", record: { 1: [30, 0] }, wanted: 20, own: 10 },
  { name: "raises by what is free", record: { 0: [5, 0], 1: [30, 0] }, wanted: 20, own: 10 },
  { name: "gives back", record: { 0: [20, 0], 1: [20, 0] }, wanted: 5, own: 5 },
  { name: "takes nothing when all is taken", record: { 0: [5, 0], 1: [35, 0] }, wanted: 9, own: 5 },
  { name: "keeps its own when the limit has shrunk", record: { 0: [45, 0] }, wanted: 50, own: 45 },
];
for (const { name, record, wanted, own } of cases) {
  test(`quota: a part ${name}`, () => {
    const next = reslice(record, 0, cpus(wanted), cpus(40));
    assert.deepEqual(next[0], [own, 0]);
    assert.deepEqual(next[1], record[1], "another part's slice is never touched");
  });
}

test("quota: the slices never exceed the limit, whoever shifts them", () => {
  const random = new Random(3);
  let record: SliceRecord = {};
  for (let i = 0; i < 2000; i++) {
    record = reslice(record, random.int(0, 4), cpus(random.int(0, 60)), cpus(40));
    assert.ok(freeOf(record, cpus(40)).cpus >= 0);
  }
});

const targets = [
  { name: "all fits: what is left is spread", mine: [10, 0], others: [20, 0], want: 14 },
  { name: "nothing is asked for: an even part", mine: [0, 0], others: [0, 0], want: 10 },
  { name: "too much in all: by demand", mine: [60, 0], others: [60, 0], want: 25 },
  { name: "little beside much", mine: [10, 0], others: [90, 0], want: 5 },
  { name: "no demand where others have too much", mine: [0, 0], others: [90, 0], want: 0 },
  { name: "higher priorities first", mine: [40, 20], others: [60, 20], want: 24 },
  { name: "nothing is left for low ones", mine: [40, 0], others: [0, 70], want: 0 },
];
for (const { name, mine, others, want } of targets) {
  test(`quota: the slice a part should have: ${name}`, () => {
    assert.equal(target(50, mine, others, 5), want);
  });
}
