import assert from "node:assert/strict";
import { test } from "node:test";
import { keys } from "../src/state/keys.js";
import { ConfiguredWorld } from "./support/configured.js";

/** A fault injected while limits change; the changes themselves are made by the test. */
interface Disturbance {
  name: string;
  before?(world: ConfiguredWorld): void;
  after?(world: ConfiguredWorld): void;
  /** Ends the fault that `before` started. */
  end?(world: ConfiguredWorld): void;
}

const freeze = (world: ConfiguredWorld, n: number, forMs: number): void => {
  world.clocks[n]!.freeze();
  world.noteFaultsFor(forMs);
  world.clock.after(forMs, () => world.clocks[n]!.thaw());
};

const disturbances: Disturbance[] = [
  { name: "nothing is wrong" },
  { name: "a controller ends before", before: (world) => world.crash(1, 6000) },
  { name: "a controller ends after", after: (world) => world.crash(1, 6000) },
  {
    name: "all controllers end after",
    after: (world) => {
      for (let n = 0; n < world.nodes; n++) world.crash(n, 3000);
    },
  },
  {
    name: "the state service is out",
    before: (world) => world.state.setOutage(true),
    end: (world) => world.state.setOutage(false),
  },
  { name: "a controller stands still for 16 s", before: (world) => freeze(world, 1, 16_000) },
  { name: "a controller stands still for 2 s", before: (world) => freeze(world, 1, 2000) },
  {
    name: "a controller is cut from store and peers",
    before: (world) => world.isolate(1, true),
    end: (world) => world.isolate(1, false),
  },
  {
    name: "answers of the store are lost, and transactions late",
    before: (world) => {
      for (const store of world.stores) store.lostTransactionShare = 0.2;
    },
    end: (world) => {
      for (const store of world.stores) store.lostTransactionShare = 0;
    },
  },
  {
    name: "answers to workers are late",
    before: (world) => {
      world.lateAnswerShare = 0.1;
    },
    end: (world) => {
      world.lateAnswerShare = 0;
    },
  },
];

const DISTURBANCE_MS = 8000;

for (const nodes of [3, 7]) {
  for (const [index, { name, before, after, end }] of disturbances.entries()) {
    test(`configuration: limits fall and rise while ${name} (${nodes} controllers)`, async () => {
      const world = new ConfiguredWorld(40 + index, nodes);
      await world.ready();
      world.submitLoad(40);
      await world.clock.run(15_000);
      world.noteFaultsFor(30_000);
      before?.(world);
      world.clock.after(DISTURBANCE_MS, () => end?.(world));
      const limitChanges = [world.limit("red", 6), world.limit("blue", 7, 1)];
      await world.clock.run(1500);
      after?.(world);
      await world.clock.run(DISTURBANCE_MS + 20_000);
      limitChanges.push(world.limit("red", 20), world.limit("blue", 24, 2));
      await world.clock.run(20_000);
      const revisions = await Promise.all(
        limitChanges.map((one) => one.then((revision) => revision)),
      );
      assert.ok(
        revisions.every((revision) => revision !== null),
        JSON.stringify(revisions),
      );
      assert.equal(new Set(revisions).size, revisions.length, "each is a revision of its own");
      for (const [node, revision] of world.revisionsInUse())
        assert.equal(revision, world.revision, node);
      assert.deepEqual(world.violations, []);
      world.stop();
    });
  }
}

for (const nodes of [3, 7]) {
  test(`configuration: a revision every 100 ms for 20 s, owners end in between (${nodes} controllers)`, async () => {
    const world = new ConfiguredWorld(77, nodes);
    await world.ready();
    world.submitLoad(40);
    await world.clock.run(10_000);
    world.noteFaultsFor(40_000);
    let left = 200;
    const changeLimits = (): void => {
      if (left-- === 0) return;
      void world.limit(left % 2 === 0 ? "red" : "blue", 4 + ((left * 7) % 20), left % nodes);
      world.clock.after(100, changeLimits);
    };
    changeLimits();
    let lowestLevel = 0;
    const sampleLevels = (): void => {
      for (const { writes } of world.stores)
        lowestLevel = Math.min(lowestLevel, writes.level / writes.burst);
      world.clock.after(100, sampleLevels);
    };
    sampleLevels();
    world.clock.after(6000, () => world.crash(0, 4000));
    world.clock.after(12_000, () => world.crash(2, 4000));
    await world.clock.run(60_000);
    // Frequent revisions must not keep any controller from placing for more than a few seconds.
    assert.ok(lowestLevel > -2, `${lowestLevel} bursts`);
    assert.ok(world.appliedRevisions.size > 20, `${world.appliedRevisions.size} made`);
    assert.equal(world.appliedRevisions.has(world.revision), true);
    for (const [node, revision] of world.revisionsInUse())
      assert.equal(revision, world.revision, node);
    assert.deepEqual(world.violations, []);
    world.stop();
  });
}

test("configuration: of two concurrent changes one gets 409 with the author of the other", async () => {
  const world = new ConfiguredWorld(5, 3);
  await world.ready();
  await world.clock.run(2000);
  const change = (cpus: number) => ({ teams: [{ name: "red", limit: { cpus } }], groups: [] });
  const answers = [world.change(0, change(8), 0), world.change(1, change(9), 0)];
  await world.clock.run(5000);
  const statuses = (await Promise.all(answers)).map((answer) => answer?.status).sort();
  assert.deepEqual(statuses, [200, 409]);
  const lost = (await Promise.all(answers)).find((answer) => answer?.status === 409);
  assert.deepEqual(
    { ...(lost!.body as object), at: 0 },
    { error: "overtaken", revision: 1, by: "test", why: "", at: 0 },
  );
  world.stop();
});

test("configuration: a repeated request is applied once", async () => {
  const world = new ConfiguredWorld(6, 3);
  await world.ready();
  const change = { teams: [{ name: "red", weight: 3 }], groups: [] };
  const [first, second] = [world.change(0, change, 0, "same"), world.change(1, change, 0, "same")];
  await world.clock.run(5000);
  const third = world.change(2, change, 0, "same");
  await world.clock.run(1000);
  const answers = await Promise.all([first, second, third]);
  // A repetition within a moment may get 409, overtaken by itself; a later one is recognised.
  assert.equal(answers[2]?.status, 200);
  assert.equal(world.revision, 1);
  world.stop();
});

test("configuration: without the condition on the revision, placements rise above a lowered limit", async () => {
  const brokenRules = new Set<string>();
  for (let seed = 1; seed <= 6 && brokenRules.size === 0; seed++) {
    const world = new ConfiguredWorld(seed, 3, { ignoreConditions: /^w\/c\/head$/ });
    await world.ready();
    world.submitLoad(40);
    await world.clock.run(10_000);
    for (let round = 0; round < 6; round++) {
      void world.limit("red", 24, 0);
      await world.clock.run(6000);
      freeze(world, 1, 1200);
      void world.limit("red", 2, 0);
      await world.clock.run(4000);
    }
    for (const { rule } of world.violations) brokenRules.add(rule);
    world.stop();
  }
  assert.ok(brokenRules.has("limit in force"), [...brokenRules].join());
});

test("configuration: an unusable revision changes nothing, stops no controller, and no use grows", async () => {
  const world = new ConfiguredWorld(9, 3);
  await world.ready();
  world.submitLoad(30);
  await world.clock.run(10_000);
  const made = world.limit("red", 10);
  await world.clock.run(8000);
  assert.equal(await made, 1);
  const value = { revision: 2, id: "bad", pieces: 1, by: "x", why: "", at: 0 };
  const piece = { teams: [{ name: "red", limit: { cpus: 99 } }], groups: [] };
  world.state.transact(
    [],
    [
      { put: keys.configurationHead, value },
      { put: keys.configurationPiece("bad", 0), value: piece },
    ],
  );
  await world.clock.run(20_000);
  const asked = world.ask(0, "GET", "/about/configuration");
  await world.clock.run(1000);
  const view = await asked;
  const { revision, controllers } = view!.body as {
    revision: number;
    controllers: { refused: number | null }[];
  };
  assert.equal(revision, 1);
  assert.deepEqual(
    controllers.map(({ refused }) => refused),
    [2, 2, 2],
  );
  assert.ok(world.controllers.every((controller) => controller !== null));
  // The checker applies the bad revision; the test is that red stays within the limit of the first.
  const broken = world.violations.filter(({ rule }) => rule !== "waiting");
  assert.deepEqual(broken, []);
  const refused = world.change(0, { teams: [{ name: "red", weight: 2 }], groups: [] }, 2);
  await world.clock.run(3000);
  assert.equal((await refused)?.status, 503);
  world.stop();
});

test("configuration: no change is applied before all controllers support revisions; then the schema is upgraded", async () => {
  const world = new ConfiguredWorld(10, 3);
  await world.ready();
  // One controller is present and supports only the second schema.
  const key = keys.node("n2");
  const row = world.state.rows.get(key)!;
  row.value = { ...(row.value as object), schema: 2 };
  world.state.transact([], [{ put: key, value: row.value, lease: row.lease! }]);
  world.controllers[2]!.stop();
  await world.clock.run(1000);
  const change = { teams: [{ name: "red", weight: 2 }], groups: [] };
  const early = world.change(0, change, 0);
  await world.clock.run(1500);
  const answer = await early;
  assert.equal(answer?.status, 503);
  assert.match(JSON.stringify(answer?.body), /n2/);
  assert.equal(world.state.rows.get(keys.schema), undefined);
  world.controllers[2] = null;
  world.startController(2);
  await world.clock.run(8000);
  const made = world.limit("red", 9);
  await world.clock.run(5000);
  assert.equal(await made, 1);
  assert.equal((world.state.rows.get(keys.schema)!.value as { version: number }).version, 3);
  world.stop();
});
