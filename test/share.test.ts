import assert from "node:assert/strict";
import { test } from "node:test";
import { compareShares, ROOT, ShareTree } from "../src/fair/share.js";
import { chooseVictims, preemptionReason, type Victim } from "../src/fair/victim-selection.js";
import { SettingsError } from "../src/settings/settings.js";
import { parseTuning } from "../src/settings/tuning.js";

const flatTree = (teams: { name: string; cpus: number; gpus: number }[], weights = "") =>
  new ShareTree(
    parseTuning(
      weights,
      "f",
      teams.map((team) => ({ ...team, cpus_max: 0, gpus_max: 0 })),
    ).groups,
  );

const cpus = (n: number) => ({ cpus: n, gpus: 0 });

// Expected values calculated by hand: use above the guarantee, divided by the sum of all guarantees
// and by the weight.
const shareCases = [
  { name: "nothing used", use: 0, guarantee: 10, others: 30, weight: 1, share: 0 },
  { name: "all of the guarantee", use: 10, guarantee: 10, others: 30, weight: 1, share: 0 },
  {
    name: "ten CPUs above the guarantee, of forty in all",
    use: 20,
    guarantee: 10,
    others: 30,
    weight: 1,
    share: 0.25,
  },
  {
    name: "a weight of two halves the share",
    use: 20,
    guarantee: 10,
    others: 30,
    weight: 2,
    share: 0.125,
  },
  { name: "no guarantee at all", use: 8, guarantee: 0, others: 40, weight: 1, share: 0.2 },
];
for (const c of shareCases) {
  test(`share: ${c.name}`, () => {
    const teams = [
      { name: "a", cpus: c.guarantee, gpus: 0 },
      { name: "b", cpus: c.others, gpus: 0 },
    ];
    const tree = flatTree(teams, `team { name: "a" weight: ${c.weight} }`);
    tree.charge("a", cpus(c.use));
    assert.ok(Math.abs(tree.share("a") - c.share) < 1e-9);
  });
}

test("share: the largest ratio over the resources counts", () => {
  const tree = flatTree([
    { name: "a", cpus: 10, gpus: 2 },
    { name: "b", cpus: 30, gpus: 2 },
  ]);
  tree.charge("a", { cpus: 14, gpus: 4 });
  assert.equal(tree.share("a"), 0.5); // 4/40 of the CPUs, 2/4 of the GPUs
});

test("share: groups are compared from the root down", () => {
  // Story 2 of KEP-1714: departments are compared first, then their teams.
  const tree = new ShareTree([
    { name: ROOT, parent: null, weight: 1, nominal: cpus(40) },
    { name: "d1", parent: ROOT, weight: 1, nominal: cpus(20) },
    { name: "d2", parent: ROOT, weight: 1, nominal: cpus(20) },
    { name: "1a", parent: "d1", weight: 1, nominal: cpus(10) },
    { name: "1b", parent: "d1", weight: 1, nominal: cpus(10) },
    { name: "2a", parent: "d2", weight: 1, nominal: cpus(20) },
  ]);
  tree.charge("1b", cpus(14));
  tree.charge("2a", cpus(24));
  // 1b borrows from 1a inside its department; the department as a whole borrows nothing.
  assert.deepEqual(tree.shares("1b"), [0, 0.2]);
  assert.deepEqual(tree.shares("2a"), [0.1, 0.2]);
  assert.ok(compareShares(tree.shares("1b"), tree.shares("2a")) < 0);
  assert.deepEqual(tree.siblings("1b", "2a"), { x: "d1", y: "d2" });
  assert.deepEqual(tree.siblings("1a", "1b"), { x: "1a", y: "1b" });
});

const teams = [
  { name: "x", cpus: 20, gpus: 0 },
  { name: "y", cpus: 20, gpus: 0 },
  { name: "z", cpus: 0, gpus: 0 },
];
const victim = (id: string, team: string, size: number, rank = 1, loss = 0): Victim => ({
  id,
  team,
  rank,
  size: cpus(size),
  loss,
});

const reasonCases = [
  {
    name: "S1: a team below its guarantee, from a borrower",
    x: 10,
    y: 30,
    z: 0,
    size: 4,
    v: 2,
    want: "reclaim",
  },
  { name: "not from a team within its guarantee", x: 10, y: 20, z: 0, size: 4, v: 2, want: null },
  {
    name: "S2-a: the borrower's share stays above",
    x: 20,
    y: 30,
    z: 0,
    size: 2,
    v: 2,
    want: "fair",
  },
  {
    name: "S2-a: equal shares afterwards are enough",
    x: 20,
    y: 24,
    z: 0,
    size: 2,
    v: 2,
    want: "fair",
  },
  {
    name: "S2-b: one huge task of a team with a strictly larger share",
    x: 20,
    y: 30,
    z: 0,
    size: 2,
    v: 10,
    want: "greedy",
  },
  {
    name: "not when the preemptor's share would be above",
    x: 28,
    y: 30,
    z: 0,
    size: 4,
    v: 2,
    want: null,
  },
];
for (const c of reasonCases) {
  test(`preemption: ${c.name}`, () => {
    const tree = flatTree(teams);
    tree.charge("x", cpus(c.x));
    tree.charge("y", cpus(c.y));
    tree.charge("z", cpus(c.z));
    const preemptor = {
      team: "x",
      rank: 1,
      size: cpus(c.size),
      withinGuarantee: true,
      maxLoss: 4,
      maxFairLoss: 1,
    };
    assert.equal(preemptionReason(tree, preemptor, victim("v", "y", c.v)), c.want);
  });
}

test("preemption: inside a team only tasks of lower priority are stopped", () => {
  const tree = flatTree(teams);
  const preemptor = {
    team: "x",
    rank: 1,
    size: cpus(1),
    withinGuarantee: true,
    maxLoss: 0,
    maxFairLoss: 0,
  };
  assert.equal(preemptionReason(tree, preemptor, victim("v", "x", 1, 0)), "priority");
  assert.equal(preemptionReason(tree, preemptor, victim("v", "x", 1, 1)), null);
});

test("preemption: evening out shares never exceeds the preemptor's max fair loss", () => {
  const tree = flatTree(teams);
  tree.charge("x", cpus(20));
  tree.charge("y", cpus(40));
  const preemptor = {
    team: "x",
    rank: 1,
    size: cpus(1),
    withinGuarantee: true,
    maxLoss: 40,
    maxFairLoss: 10,
  };
  assert.equal(preemptionReason(tree, preemptor, victim("v", "y", 1, 1, 11)), null);
  assert.equal(preemptionReason(tree, preemptor, victim("v", "y", 1, 1, 9)), "fair");
});

const selectionCases = [
  {
    name: "C1: the highest share first",
    victims: [victim("y1", "y", 2), victim("z1", "z", 2)],
    need: 2,
    want: ["z1"],
  },
  {
    name: "C2: then the lowest priority",
    victims: [victim("z1", "z", 2, 1), victim("z2", "z", 2, 0)],
    need: 2,
    want: ["z2"],
  },
  {
    name: "C3: then the smallest",
    victims: [victim("z1", "z", 4), victim("z2", "z", 2)],
    need: 2,
    want: ["z2"],
  },
  {
    name: "a victim that a later, larger one makes needless is removed",
    victims: [victim("z1", "z", 1), victim("z2", "z", 4)],
    need: 4,
    want: ["z2"],
  },
  {
    name: "no victims when stopping them does not help",
    victims: [victim("z1", "z", 1)],
    need: 4,
    want: [],
  },
];
for (const c of selectionCases) {
  test(`preemption: ${c.name}`, () => {
    const tree = flatTree(teams);
    tree.charge("x", cpus(4));
    tree.charge("y", cpus(22));
    tree.charge("z", cpus(14));
    const selected = chooseVictims(
      tree,
      {
        team: "x",
        rank: 1,
        size: cpus(c.need),
        withinGuarantee: true,
        maxLoss: 0,
        maxFairLoss: 0,
      },
      c.victims,
      (stopped) => {
        // Each victim is on its own machine, so freed amounts do not add up.
        return c.victims.some((v) => stopped.has(v.id) && v.size.cpus >= c.need);
      },
      16,
    );
    assert.deepEqual(
      selected.map((selection) => selection.victim.id),
      c.want,
    );
    assert.equal(tree.use("z").cpus, 14, "the tree is left as it was");
  });
}

const badTuning = [
  { name: "an unknown field", text: '\nteam { nme: "x" }', pattern: /^f:2: .*nme/ },
  { name: "a weight of zero", text: 'team { name: "x"\nweight: 0 }', pattern: /^f:1: x: weight/ },
  {
    name: "a weight that is no number",
    text: 'team {\n name: "x"\n weight: much\n}',
    pattern: /^f:3: /,
  },
  { name: "a team the platform lacks", text: '\n\nteam { name: "w" }', pattern: /^f:3: .*team w/ },
  { name: "an unknown group", text: 'team { name: "x" group: "g" }', pattern: /^f:1: .*group g/ },
  {
    name: "a cycle of groups",
    text: 'group { name: "g" parent: "h" }\ngroup { name: "h" parent: "g" }',
    pattern: /^f:1: .*inside itself/,
  },
  { name: "too little headroom", text: "rental {\n headroom: 0.5 }", pattern: /^f:2: headroom/ },
];
for (const { name, text, pattern } of badTuning) {
  test(`tuning: refuses ${name}, with file, line and reason`, () => {
    const platform = teams.map((team) => ({ ...team, cpus_max: 0, gpus_max: 0 }));
    assert.throws(
      () => parseTuning(text, "f", platform),
      (error) => error instanceof SettingsError && pattern.test(error.message),
    );
  });
}
