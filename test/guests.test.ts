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
import { PlacingBench } from "./support/placement-bench.js";
import { World } from "./support/world.js";

const cpus = (n: number) => ({ cpus: n, gpus: 0 });

/** 100 CPUs guaranteed to `own`, none to `guests`; what each uses. */
function shared(own: number, guests: number): ShareTree {
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
  { name: "a guarantee has it back at once", own: 50, guests: 50, want: "reclaim" },
  { name: "a borrower with a smaller share, when it saves", own: 110, guests: 50, want: "lent" },
  { name: "not what does not save", own: 110, guests: 50, lent: false, want: null },
  { name: "not for one with a larger share", own: 160, guests: 50, want: null },
  { name: "not before it has waited at all", own: 110, guests: 50, patience: -1, want: null },
  { name: "not what has a higher priority", own: 110, guests: 50, rank: 2, want: null },
];
for (const { name, own, guests, lent = true, patience = 0, rank = 0, want } of cases) {
  test(`lent room is given back: ${name}`, () => {
    const asker: Preemptor = {
      team: "own",
      rank: 1,
      size: cpus(1),
      withinGuarantee: own < 100,
      maxLoss: patience,
      maxFairLoss: -1,
    };
    const victim: Victim = { id: "v", team: "guests", rank, size: cpus(1), loss: 20_000 };
    if (lent) victim.lent = true;
    assert.equal(preemptionReason(shared(own, guests), asker, victim), want);
  });
}

test("lent room: it goes before what others would lose, whatever the shares", () => {
  const tree = new ShareTree([
    { name: ROOT, parent: null, weight: 1, nominal: cpus(100) },
    { name: "own", parent: ROOT, weight: 1, nominal: cpus(80) },
    { name: "light", parent: ROOT, weight: 0.5, nominal: cpus(20) },
    { name: "guests", parent: ROOT, weight: 1, nominal: cpus(0) },
  ]);
  tree.charge("light", cpus(60));
  tree.charge("guests", cpus(30));
  assert.ok(tree.share("light") > tree.share("guests"));
  const asker: Preemptor = {
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
  const picks = chooseVictims(tree, asker, victims, (stopped) => stopped.size > 0, 4);
  assert.deepEqual(
    picks.map(({ victim, reason }) => [victim.id, reason]),
    [["b", "reclaim"]],
  );
});

test("lent room: who has no guarantee has nobody else's task stopped, and its own by priority", () => {
  const tree = shared(170, 10);
  const asker: Preemptor = {
    team: "guests",
    rank: 3,
    size: cpus(1),
    withinGuarantee: false,
    maxLoss: 1e9,
    maxFairLoss: 1e9,
  };
  const own: Victim = { id: "v", team: "own", rank: 0, size: cpus(1), loss: 0 };
  assert.equal(preemptionReason(tree, asker, own), "fair", "or it would by its share");
  const borrower = { ...asker, borrower: true };
  assert.equal(preemptionReason(tree, borrower, own), null);
  assert.ok(!canPreemptFrom(tree, borrower, "own", true));
  assert.equal(preemptionReason(tree, borrower, { ...own, team: "guests" }), "priority");
});

test("lent room: nothing dear is rented for it, as it is for the others", async () => {
  const teams = [
    { name: "red", cpus: 8, max: 20 },
    { name: "guests", cpus: 0, max: 0 },
  ];
  const world = new World(7, 3, teams, 6);
  await world.clock.run(20_000);
  // Ordinary machines cost three times as much as spot ones there.
  const guest = world.submit("wk-600001", { team: "guests", tasks: 2, spot: false });
  await world.clock.run(120_000);
  assert.ok(guest.accepted);
  assert.ok(!guest.toldDone, "or a machine has come and gone");
  assert.deepEqual([...world.workers.values()].filter(({ spot }) => !spot).length, 0);
  const own = world.submit("wk-600002", { team: "red", tasks: 2, spot: false });
  await world.clock.run(200_000);
  world.stop();
  assert.ok(own.toldDone);
});

test("lent room: a gang of guests leaves the tenth as well", () => {
  const type = { cpus: 4, gpus: 0, memGb: 64, price: 1, spotPrice: 1, bootS: 10, zones: ["a"] };
  const bench = new PlacingBench(new Map([["m4", { name: "m4", ...type }]]), null, ["guests"]);
  bench.ctx.isBorrower = () => true;
  for (let i = 0; i < 10; i++) bench.machine(`m${i}`, "m4", "a", true);
  const large = bench.job({ team: "guests", kind: "gang", tasks: 40 });
  const fits = bench.job({ team: "guests", kind: "gang", tasks: 36 });
  bench.pass();
  assert.deepEqual([bench.where(large).length, bench.where(fits).length], [0, 36]);
});

/** Machines of 4 CPUs, and guests to whom all is lent. */
function lending(machines: number, teams: string[]): PlacingBench {
  const type = { cpus: 4, gpus: 0, memGb: 64, price: 1, spotPrice: 1, bootS: 10, zones: ["a"] };
  const bench = new PlacingBench(new Map([["m4", { name: "m4", ...type }]]), null, teams);
  bench.ctx.isBorrower = (team) => team === "guests";
  for (let i = 0; i < machines; i++) bench.machine(`m${i}`, "m4", "a", true);
  return bench;
}

test("lent room: a tenth of a part is not lent, and is there for the others", async () => {
  const bench = lending(10, ["red", "guests"]);
  const scan = bench.job({ team: "guests", tasks: 1000 });
  bench.pass();
  assert.equal(bench.where(scan).length, 36);
  const own = bench.job({ team: "red", tasks: 4 });
  bench.pass();
  assert.equal(bench.where(own).length, 4);
  bench.pass();
  assert.equal(bench.where(scan).length, 36);
  // Others lack room: what becomes free is not lent for a while, but for a tenth.
  const more = bench.job({ team: "red", tasks: 2, cpus: 4 });
  bench.pass();
  assert.deepEqual(bench.where(more), []);
  bench.clear(own);
  bench.clear(scan);
  for (const chunk of bench.ledger.jobs.get(more)!.chunks.values()) chunk.movingTo = 1;
  bench.pass();
  assert.equal(bench.where(scan).length, 4);
  await bench.clock.run(6001);
  bench.pass();
  bench.pass();
  assert.equal(bench.where(scan).length, 32);
});

test("lent room: one huge job does not keep small ones of its team from beginning", async () => {
  const bench = lending(10, ["red", "guests"]);
  const huge = bench.job({ team: "guests", tasks: 1000 });
  bench.pass();
  const small = [0, 1, 2].map(() => bench.job({ team: "guests" }));
  // They have not waited long: the older job keeps its turn.
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
  // Theirs are single tasks; of a larger job the first alone comes before.
  assert.equal(bench.where(huge).length, 33);
});

test("lent room: the first task of a job passed over for long comes before those who borrow less", async () => {
  const bench = lending(20, ["red", "blue", "guests"]);
  // Above what the tree has for each, 2, red borrows 2 and the guests 4; one CPU is left.
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

test("lent room: what is needed for it is said to be, also between controllers", () => {
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

test("refusals for good show: once a minute a team and reason, all of them counted", async () => {
  const clock = new FakeClock();
  const warned: object[] = [];
  const log = { ...quiet, warn: (fields: object) => void warned.push(fields) };
  const metrics = new Metrics(clock, 0);
  const refusals = new Refusals(new Set(["guests"]), clock, log, metrics, 60_000);
  for (let i = 0; i < 100; i++) {
    refusals.note(`wk-${i}`, "guests", "over the team's limit", "more than the team's limit");
    // Names that anybody may send are one, however many.
    refusals.note(`wk-x${i}`, `stranger-${i}`, "unknown team", "unknown team");
  }
  assert.equal(warned.length, 2);
  await clock.run(60_000);
  refusals.note("wk-100", "guests", "over the team's limit", "more than the team's limit");
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
