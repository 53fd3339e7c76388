import assert from "node:assert/strict";
import { test } from "node:test";
import { Refusals } from "../src/controller/refusals.js";
import { ROOT, ShareTree } from "../src/fair/share.js";
import {
  canPreemptFrom,
  chooseVictims,
  type Preemptor,
  preemptionReason,
  type Victim,
} from "../src/fair/victim-selection.js";
import { Metrics } from "../src/metrics.js";
import type { Summary } from "../src/part/summary.js";
import { decodeFrame, encodeFrame } from "../src/peer/frames.js";
import { FakeClock } from "./support/clock.js";
import { quiet } from "./support/common.js";
import { PlacementBench } from "./support/placement-bench.js";
import { World } from "./support/world.js";

const cpus = (n: number) => ({ cpus: n, gpus: 0 });

/**
 * A share tree with 100 CPUs guaranteed to `own` and none to `guests`, using `own` and `guests`
 * CPUs.
 */
function treeWithUse(own: number, guests: number): ShareTree {
  const tree = new ShareTree([
    { name: ROOT, parent: null, weight: 1, nominal: cpus(100) },
    { name: "own", parent: ROOT, weight: 1, nominal: cpus(100) },
    { name: "guests", parent: ROOT, weight: 1, nominal: cpus(0) },
  ]);
  tree.charge("own", cpus(own));
  tree.charge("guests", cpus(guests));
  return tree;
}

const cases: {
  name: string;
  own: number;
  guests: number;
  lent?: boolean;
  patience?: number;
  rank?: number;
  want: string | null;
}[] = [
  { name: "to a team within its guarantee, at once", own: 50, guests: 50, want: "reclaim" },
  {
    name: "to a team with a smaller share, if the victim is lent",
    own: 110,
    guests: 50,
    want: "lent",
  },
  { name: "not if the victim is not lent", own: 110, guests: 50, lent: false, want: null },
  { name: "not to a team with a larger share", own: 160, guests: 50, want: null },
  {
    name: "not before the preemptor may cause any loss",
    own: 110,
    guests: 50,
    patience: -1,
    want: null,
  },
  { name: "not from a victim of a higher priority", own: 110, guests: 50, rank: 2, want: null },
];
for (const { name, own, guests, lent = true, patience = 0, rank = 0, want } of cases) {
  test(`lent capacity is reclaimed: ${name}`, () => {
    const preemptor: Preemptor = {
      team: "own",
      rank: 1,
      size: cpus(1),
      withinGuarantee: own < 100,
      maxLoss: patience,
      maxFairLoss: -1,
    };
    const victim: Victim = { id: "v", team: "guests", rank, size: cpus(1), loss: 20_000 };
    if (lent) victim.lent = true;
    assert.equal(preemptionReason(treeWithUse(own, guests), preemptor, victim), want);
  });
}

test("lent capacity: it is reclaimed before tasks that are not lent, whatever the shares", () => {
  const tree = new ShareTree([
    { name: ROOT, parent: null, weight: 1, nominal: cpus(100) },
    { name: "own", parent: ROOT, weight: 1, nominal: cpus(80) },
    { name: "light", parent: ROOT, weight: 0.5, nominal: cpus(20) },
    { name: "guests", parent: ROOT, weight: 1, nominal: cpus(0) },
  ]);
  tree.charge("light", cpus(60));
  tree.charge("guests", cpus(30));
  assert.ok(tree.share("light") > tree.share("guests"));
  const preemptor: Preemptor = {
    team: "own",
    rank: 1,
    size: cpus(1),
    withinGuarantee: true,
    maxLoss: 0,
    maxFairLoss: -1,
  };
  const victims: Victim[] = [
    { id: "a", team: "light", rank: 0, size: cpus(1), loss: 0 },
    { id: "b", team: "guests", rank: 0, size: cpus(1), loss: 9, lent: true },
  ];
  const picks = chooseVictims(tree, preemptor, victims, (stopped) => stopped.size > 0, 4);
  assert.deepEqual(
    picks.map(({ victim, reason }) => [victim.id, reason]),
    [["b", "reclaim"]],
  );
});

test("lent capacity: a borrower preempts no other team, and its own tasks by priority", () => {
  const tree = treeWithUse(170, 10);
  const preemptor: Preemptor = {
    team: "guests",
    rank: 3,
    size: cpus(1),
    withinGuarantee: false,
    maxLoss: 1e9,
    maxFairLoss: 1e9,
  };
  const own: Victim = { id: "v", team: "own", rank: 0, size: cpus(1), loss: 0 };
  assert.equal(
    preemptionReason(tree, preemptor, own),
    "fair",
    "without `borrower` it could preempt by its share",
  );
  const borrower = { ...preemptor, borrower: true };
  assert.equal(preemptionReason(tree, borrower, own), null);
  assert.ok(!canPreemptFrom(tree, borrower, "own", true));
  assert.equal(preemptionReason(tree, borrower, { ...own, team: "guests" }), "priority");
});

test("lent capacity: no expensive machines are rented for borrowers, unlike for other teams", async () => {
  const teams = [
    { name: "red", cpus: 8, max: 20 },
    { name: "guests", cpus: 0, max: 0 },
  ];
  const world = new World(7, 3, teams, 6);
  await world.clock.run(20_000);
  // In this world ordinary machines cost three times as much as spot machines.
  const guest = world.submit("wk-600001", { team: "guests", tasks: 2, spot: false });
  await world.clock.run(120_000);
  assert.ok(guest.accepted);
  assert.ok(!guest.toldDone, "a machine must have been rented for it and returned");
  assert.deepEqual([...world.workers.values()].filter(({ spot }) => !spot).length, 0);
  const own = world.submit("wk-600002", { team: "red", tasks: 2, spot: false });
  await world.clock.run(200_000);
  world.stop();
  assert.ok(own.toldDone);
});

test("lent capacity: a gang of guests also leaves a tenth of the part free", () => {
  const type = { cpus: 4, gpus: 0, memGb: 64, price: 1, spotPrice: 1, bootS: 10, zones: ["a"] };
  const bench = new PlacementBench(new Map([["m4", { name: "m4", ...type }]]), null, ["guests"]);
  bench.ctx.isBorrower = () => true;
  for (let i = 0; i < 10; i++) bench.machine(`m${i}`, "m4", "a", true);
  const large = bench.job({ team: "guests", kind: "gang", tasks: 40 });
  const fits = bench.job({ team: "guests", kind: "gang", tasks: 36 });
  bench.pass();
  assert.deepEqual([bench.where(large).length, bench.where(fits).length], [0, 36]);
});

/** A part with machines of 4 CPUs, where `guests` is a borrower. */
function benchWithBorrower(machines: number, teams: string[]): PlacementBench {
  const type = { cpus: 4, gpus: 0, memGb: 64, price: 1, spotPrice: 1, bootS: 10, zones: ["a"] };
  const bench = new PlacementBench(new Map([["m4", { name: "m4", ...type }]]), null, teams);
  bench.ctx.isBorrower = (team) => team === "guests";
  for (let i = 0; i < machines; i++) bench.machine(`m${i}`, "m4", "a", true);
  return bench;
}

test("lent capacity: a tenth of a part is not lent and stays free for other teams", async () => {
  const bench = benchWithBorrower(10, ["red", "guests"]);
  const scan = bench.job({ team: "guests", tasks: 1000 });
  bench.pass();
  assert.equal(bench.where(scan).length, 36);
  const own = bench.job({ team: "red", tasks: 4 });
  bench.pass();
  assert.equal(bench.where(own).length, 4);
  bench.pass();
  assert.equal(bench.where(scan).length, 36);
  // While other teams lack capacity, only a tenth of what becomes free is lent for a while.
  const more = bench.job({ team: "red", tasks: 2, cpus: 4 });
  bench.pass();
  assert.deepEqual(bench.where(more), []);
  bench.clear(own);
  bench.clear(scan);
  for (const chunk of bench.ledger.jobs.get(more)!.chunks.values()) chunk.handoverTarget = 1;
  bench.pass();
  assert.equal(bench.where(scan).length, 4);
  await bench.clock.run(6001);
  bench.pass();
  bench.pass();
  assert.equal(bench.where(scan).length, 32);
});

test("lent capacity: a huge job does not keep small jobs of its team from starting", async () => {
  const bench = benchWithBorrower(10, ["red", "guests"]);
  const huge = bench.job({ team: "guests", tasks: 1000 });
  bench.pass();
  const small = [0, 1, 2].map(() => bench.job({ team: "guests" }));
  // They have not waited long: the older job is still placed first.
  bench.clear(huge);
  bench.pass();
  assert.deepEqual(
    small.flatMap((id) => bench.where(id)),
    [],
  );
  await bench.clock.run(12_001);
  for (const machine of bench.ledger.machines.values()) machine.lastSeen = bench.clock.now();
  bench.clear(huge);
  bench.pass();
  assert.equal(small.flatMap((id) => bench.where(id)).length, 3);
  // Each has a single task; of a larger job only the first task would be placed ahead.
  assert.equal(bench.where(huge).length, 33);
});

test("lent capacity: the first task of a job that waited long goes before teams that borrow less", async () => {
  const bench = benchWithBorrower(20, ["red", "blue", "guests"]);
  // Beyond the 2 CPUs that the tree has for each, red borrows 2 and the guests 4; one CPU is left.
  for (const [team, tasks] of [
    ["guests", 6],
    ["red", 4],
    ["blue", 69],
  ] as const) {
    bench.job({ team, tasks });
    bench.pass();
  }
  const passedOver = bench.job({ team: "guests" });
  const next = bench.job({ team: "red", tasks: 2 });
  for (const chunk of bench.ledger.jobs.get(next)!.chunks.values()) chunk.attempts = 1;
  await bench.clock.run(12_001);
  for (const machine of bench.ledger.machines.values()) machine.lastSeen = bench.clock.now();
  bench.pass();
  assert.deepEqual([bench.where(passedOver).length, bench.where(next).length], [1, 0]);
});

test("lent capacity: capacity requests for it keep their `lent` mark in frames between controllers", () => {
  const summary: Summary = {
    use: {},
    demand: [],
    need: [
      { ...cpus(1), memGb: 1, spot: true, types: null, zone: null, count: 4, lent: true },
      { ...cpus(2), memGb: 1, spot: true, types: ["m"], zone: "a", count: 3 },
    ],
    short: {},
    kinds: [],
    waiting: 0,
    workS: 0,
    machines: [],
    retired: [],
    idle: {},
    token: 1,
    seq: 1,
  };
  const frame = { kind: "summary", part: 0, summary } as const;
  assert.deepEqual(decodeFrame(encodeFrame(frame).subarray(4)), frame);
});

test("refusals: logged once a minute per team and reason, and all counted", async () => {
  const clock = new FakeClock();
  const warned: object[] = [];
  const log = { ...quiet, warn: (fields: object) => void warned.push(fields) };
  const metrics = new Metrics(clock, 0);
  const refusals = new Refusals(new Set(["guests"]), clock, log, metrics, 60_000);
  for (let i = 0; i < 100; i++) {
    refusals.record(`wk-${i}`, "guests", "over the team's limit", "more than the team's limit");
    // All unknown team names count as one, as anybody may send any number of them.
    refusals.record(`wk-x${i}`, `stranger-${i}`, "unknown team", "unknown team");
  }
  assert.equal(warned.length, 2);
  await clock.run(60_000);
  refusals.record("wk-100", "guests", "over the team's limit", "more than the team's limit");
  assert.deepEqual(warned[2], {
    job: "wk-100",
    team: "guests",
    reason: "more than the team's limit",
    jobs: 100,
  });
  assert.deepEqual(
    refusals.status().map(({ team, jobs }) => [team, jobs]),
    [
      ["guests", 101],
      ["(unknown)", 100],
    ],
  );
});
