import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Amounts } from "../src/fair/share.js";
import {
  limitForJson,
  limitFromSetting,
  limitsByTeam,
  teamConfigErrors,
} from "../src/quota/limits.js";
import {
  isSliceRecord,
  readSlices,
  resizeSlice,
  type SliceRecord,
  sliceOf,
  targetSlice,
  unassignedAmounts,
} from "../src/quota/slices.js";
import { Random } from "./support/random.js";

const cpus = (n: number) => ({ cpus: n, gpus: 0 });
const cases: { name: string; record: SliceRecord; wanted: number; own: number }[] = [
  { name: "takes what is unassigned", record: {}, wanted: 10, own: 10 },
  { name: "takes no more than is unassigned", record: { 1: [30, 0] }, wanted: 20, own: 10 },
  {
    name: "raises its slice by what is unassigned",
    record: { 0: [5, 0], 1: [30, 0] },
    wanted: 20,
    own: 10,
  },
  { name: "lowers its slice", record: { 0: [20, 0], 1: [20, 0] }, wanted: 5, own: 5 },
  {
    name: "takes nothing when all is assigned",
    record: { 0: [5, 0], 1: [35, 0] },
    wanted: 9,
    own: 5,
  },
  {
    name: "keeps its slice when the limit was lowered",
    record: { 0: [45, 0] },
    wanted: 50,
    own: 45,
  },
];
for (const { name, record, wanted, own } of cases) {
  test(`quota: a part ${name}`, () => {
    const next = resizeSlice(record, 0, cpus(wanted), cpus(40));
    assert.deepEqual(next[0], [own, 0]);
    assert.deepEqual(next[1], record[1], "another part's slice is never touched");
  });
}

test("quota: the slices never exceed the limit, whichever part changes its own", () => {
  const random = new Random(3);
  let record: SliceRecord = {};
  for (let i = 0; i < 2000; i++) {
    record = resizeSlice(record, random.int(0, 4), cpus(random.int(0, 60)), cpus(40));
    assert.ok(unassignedAmounts(record, cpus(40)).cpus >= 0);
  }
});

const targets = [
  { name: "all demand fits: the rest is spread evenly", mine: [10, 0], others: [20, 0], want: 14 },
  { name: "no demand: an even part", mine: [0, 0], others: [0, 0], want: 10 },
  {
    name: "total demand above the limit: in proportion to demand",
    mine: [60, 0],
    others: [60, 0],
    want: 25,
  },
  { name: "small demand beside a large one", mine: [10, 0], others: [90, 0], want: 5 },
  {
    name: "no demand, and others' demand is above the limit",
    mine: [0, 0],
    others: [90, 0],
    want: 0,
  },
  { name: "higher priorities first", mine: [40, 20], others: [60, 20], want: 24 },
  { name: "nothing remains for low priorities", mine: [40, 0], others: [0, 70], want: 0 },
];
for (const { name, mine, others, want } of targets) {
  test(`quota: the slice a part should have: ${name}`, () => {
    assert.equal(targetSlice(50, mine, others, 5), want);
  });
}

test("quota: a priority without demand, after one that uses up the limit, does not give NaN", () => {
  // Seen at fleet size: rounding made the remainder slightly negative, and 0 times infinity (NaN)
  // was written as a slice.
  assert.equal(targetSlice(700, [405, 0, 732, 467], [595, 0, 0, 0], 5), 700);
});

const demand = fc.array(fc.double({ min: 0, max: 5000, noNaN: true }), {
  minLength: 4,
  maxLength: 4,
});
test("quota: target slices are finite, not negative, and together within the limit", () => {
  const property = fc.property(
    fc.double({ min: 0, max: 5000, noNaN: true }),
    fc.array(demand, { minLength: 1, maxLength: 6 }),
    (limit, parts) => {
      const total = [0, 1, 2, 3].map((rank) => parts.reduce((sum, part) => sum + part[rank]!, 0));
      let sum = 0;
      for (const mine of parts) {
        const others = total.map((all, rank) => Math.max(0, all - mine[rank]!));
        const slice = targetSlice(limit, mine, others, parts.length);
        assert.ok(Number.isFinite(slice) && slice >= 0 && slice <= limit, `${slice}`);
        sum += slice;
      }
      // Each part sees the sums of the others rounded differently.
      assert.ok(sum <= limit + 1e-6 * (1 + limit), `${sum} of ${limit}`);
    },
  );
  fc.assert(property, { numRuns: 2000, seed: 11 });
});

const amount = fc.double({ min: 0, max: 100, noNaN: true });
const invalidSlice = fc.constantFrom<unknown>(
  null,
  [null, null],
  [Number.NaN, 0],
  [-1, 0],
  ["5", 0],
  [5],
  [Number.POSITIVE_INFINITY, 0],
  "slice",
  {},
);

/**
 * The owners of three parts, each of which knows its own use, change their slices in turn, starting
 * from a record with invalid values. Some parts have no owner for a while. The use of each part was
 * placed under a slice of the limit.
 */
test("quota: an invalid record is repaired, and use never exceeds the limit meanwhile", () => {
  const property = fc.property(
    fc.array(fc.option(invalidSlice, { nil: undefined, freq: 2 }), { minLength: 3, maxLength: 3 }),
    fc.boolean(),
    fc.array(fc.tuple(fc.nat(2), amount), { minLength: 10, maxLength: 40 }),
    (invalid, wholeRecord, steps) => {
      const limit = cpus(100);
      const use = [30, 25, 40];
      const stored: Record<string, unknown> = {};
      for (let part = 0; part < 3; part++) stored[part] = invalid[part] ?? [use[part]!, 0];
      // As the state service returns it: JSON has no NaN.
      let record: unknown = wholeRecord ? "poison" : JSON.parse(JSON.stringify(stored));
      const changeSlice = (part: number, wanted: number): void => {
        const read = readSlices(record, 3);
        const own = sliceOf(read, part);
        const next = resizeSlice(read, part, cpus(own === null ? use[part]! : wanted), limit);
        assert.ok(isSliceRecord(next), JSON.stringify(next));
        record = next;
        const slice = sliceOf(next, part)!.cpus;
        // A slice is lowered only by what is no longer in use; a raised slice is used in full.
        use[part] = Math.min(use[part]!, slice);
        if (own !== null && slice > own.cpus) use[part] = slice;
        const totalUse = use.reduce((sum, used) => sum + used, 0);
        assert.ok(totalUse <= 100 + 1e-6, `${totalUse} of 100 in use`);
      };
      for (const [part, wanted] of steps) changeSlice(part, wanted);
      for (let part = 0; part < 3; part++) changeSlice(part, use[part]!);
      const slices = Object.values(readSlices(record, 3));
      assert.ok(!slices.includes(null), "every owner has written its own slice");
      assert.ok(slices.reduce((sum, slice) => sum + slice![0], 0) <= 100 + 1e-6);
    },
  );
  fc.assert(property, { numRuns: 1000, seed: 12 });
});

test("quota: while one slice is unknown, no slice grows, and each part keeps its own", () => {
  const record = readSlices({ 0: [10, 0], 1: [null, null], 2: [20, 0] }, 3);
  assert.deepEqual(record, { 0: [10, 0], 1: null, 2: [20, 0] });
  assert.deepEqual(unassignedAmounts(record, cpus(100)), cpus(0));
  assert.deepEqual(resizeSlice(record, 0, cpus(50), cpus(100))[0], [10, 0]);
  assert.deepEqual(resizeSlice(record, 2, cpus(5), cpus(100))[2], [5, 0]);
  const healed = resizeSlice(record, 1, cpus(40), cpus(100));
  assert.deepEqual(healed, { 0: [10, 0], 1: [40, 0], 2: [20, 0] });
  assert.equal(unassignedAmounts(healed, cpus(100)).cpus, 30);
});

test("quota: a resource without a limit has no slices, and no infinite value is written", () => {
  const limit: Amounts = { cpus: limitFromSetting(0), gpus: 4 };
  const next = resizeSlice({ 1: [0, 1] }, 0, { cpus: 1e9, gpus: 9 }, limit);
  assert.deepEqual(next, { 0: [0, 3], 1: [0, 1] });
  assert.ok(isSliceRecord(next));
  assert.equal(targetSlice(limit.cpus, [5, 0], [7, 1e6], 3), Number.POSITIVE_INFINITY);
});

test("limits: a limit of 0 in the settings means no limit, a guarantee of 0 means none", () => {
  const teams = [
    {
      name: "guests",
      cpus: 0,
      gpus: 0,
      cpus_max: limitFromSetting(0),
      gpus_max: limitFromSetting(0),
    },
    { name: "red", cpus: 30, gpus: 0, cpus_max: 20, gpus_max: limitFromSetting(0) },
  ];
  const limits = limitsByTeam(teams);
  assert.deepEqual(limitForJson(limits.get("guests")!), { cpus: null, gpus: null });
  assert.deepEqual(limitForJson(limits.get("red")!), { cpus: 20, gpus: null });
  assert.deepEqual(
    teamConfigErrors(teams).map(({ team }) => team),
    ["red"],
    "the guarantee is above the limit",
  );
});
