import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationClient, RevisionConflict } from "../src/configuration/client.js";
import { isHead, isHistoryEntry, NO_OVERRIDES } from "../src/configuration/index.js";
import { keys } from "../src/state/keys.js";
import type { Change, Condition } from "../src/state/store.js";
import { ConfiguredWorld } from "./support/configured.js";

test("configuration: 130 teams fit the smallest limits, in pieces written before the head; old pieces are removed", async () => {
  const many = Array.from({ length: 130 }, (_, n) => ({ name: `team-${n}`, cpus: 1, max: 40 }));
  const world = new ConfiguredWorld(3, 3, {}, many, {
    ops: 4,
    conditions: 16,
    valueBytes: 2048,
  });
  await world.ready();
  for (let round = 1; round <= 4; round++) {
    const change = {
      teams: many.map(({ name }) => ({
        name,
        limit: { cpus: 10 + round },
        guarantee: { cpus: round },
        weight: 1.25,
      })),
      groups: [],
    };
    const answer = world.change(0, change, round - 1);
    await world.clock.run(6000);
    assert.equal((await answer)?.status, 200, JSON.stringify(await answer));
  }
  const pieces = [...world.state.rows.keys()].filter((key) => keys.ownerOfPiece(key) !== null);
  assert.ok(new Set(pieces.map(keys.ownerOfPiece)).size <= 2, pieces.join());
  assert.ok(pieces.length > 4);
  const entries = [...world.state.rows].filter(([key]) => key.startsWith("w/c/h/"));
  assert.equal(entries.length, 4);
  for (const [key, { value }] of entries) {
    assert.ok(isHistoryEntry(value), key);
    assert.match(value.changes.at(-1)!, /^and \d+ more$/);
  }
  const response = world.ask(1, "GET", "/about/configuration");
  await world.clock.run(1000);
  const { revision, teams: shown } = (await response)!.body as {
    revision: number;
    teams: { name: string; limit: { cpus: number } }[];
  };
  assert.equal(revision, 4);
  assert.deepEqual(new Set(shown.map(({ limit }) => limit.cpus)), new Set([14]));
  world.stop();
});

test("configuration: the history keeps the last 50 revisions", async () => {
  const world = new ConfiguredWorld(4, 3);
  await world.ready();
  for (let round = 0; round < 56; round++) {
    const change = { teams: [{ name: "red", weight: 1 + round }], groups: [] };
    const answer = world.change(round % 3, change, round);
    await world.clock.run(3000);
    assert.equal((await answer)?.status, 200, `${round}: ${JSON.stringify(await answer)}`);
  }
  const historyResponse = world.ask(0, "GET", "/about/configuration/history");
  await world.clock.run(500);
  const { history } = (await historyResponse)!.body as {
    history: { revision: number; by: string }[];
  };
  assert.equal(history.length, 50);
  assert.deepEqual([history[0]?.revision, history.at(-1)?.revision], [7, 56]);
  world.stop();
});

const invalidRequests: { name: string; body: object }[] = [
  { name: "no id", body: { base: 0, by: "x", why: "", change: NO_OVERRIDES } },
  {
    name: "an id with a slash",
    body: { id: "a/b", base: 0, by: "x", why: "", change: NO_OVERRIDES },
  },
  { name: "no author", body: { id: "a", base: 0, by: "", why: "", change: NO_OVERRIDES } },
  { name: "a base of text", body: { id: "a", base: "0", by: "x", why: "", change: NO_OVERRIDES } },
  {
    name: "a long reason",
    body: { id: "a", base: 0, by: "x", why: "é".repeat(101), change: NO_OVERRIDES },
  },
  {
    name: "a limit of text",
    body: {
      id: "a",
      base: 0,
      by: "x",
      why: "",
      change: { teams: [{ name: "red", limit: { cpus: "9" } }], groups: [] },
    },
  },
];
test("configuration: malformed requests get 400, and make no revision", async () => {
  const world = new ConfiguredWorld(8, 3);
  await world.ready();
  for (const { name, body } of invalidRequests) {
    const answer = world.ask(0, "POST", "/about/configuration", body);
    await world.clock.run(500);
    assert.equal((await answer)?.status, 400, name);
  }
  const above = world.change(0, { teams: [{ name: "red", limit: { cpus: 99 } }], groups: [] }, 0);
  const dry = world.ask(1, "POST", "/about/configuration", {
    id: "dry",
    base: 0,
    by: "x",
    why: "",
    dryRun: true,
    change: { teams: [{ name: "red", limit: { cpus: 9 } }], groups: [] },
  });
  await world.clock.run(2000);
  assert.equal((await above)?.status, 422);
  assert.deepEqual((await dry)?.body, {
    kind: "planned",
    revision: 1,
    changes: ["team red: limit 24 CPUs, any GPUs -> 9 CPUs, any GPUs"],
    warnings: ["red: is guaranteed 12 CPUs and may use 9"],
  });
  assert.equal(world.state.rows.has(keys.configurationHead), false);
  assert.equal(world.state.rows.has(keys.schema), false);
  world.stop();
});

test("configuration: the client waits until all controllers that own parts use a revision, or returns those that do not", async () => {
  const world = new ConfiguredWorld(12, 3);
  await world.ready();
  const client = new ConfigurationClient("", world.clock, {
    call: async (method, path, body) => {
      const answer = await world.ask(0, method, path, body as object);
      if (answer === null) throw new Error("no answer");
      return answer;
    },
  });
  const request = { base: 0, by: "x", why: "", dryRun: false };
  const change = { teams: [{ name: "red", limit: { cpus: 9 } }], groups: [] };
  const made = client.apply({ ...request, id: "one", change });
  await world.clock.run(4000);
  assert.equal((await made).revision, 1);
  const waited = client.waitUntilInForce(1, 14_000);
  await world.clock.run(14_000);
  assert.deepEqual(await waited, []);
  const outdated = client.apply({ ...request, id: "two", change });
  const failed = assert.rejects(outdated, RevisionConflict);
  await world.clock.run(1000);
  await failed;
  world.clocks[1]!.freeze();
  const second = client.apply({ ...request, base: 1, id: "three", change });
  await world.clock.run(1000);
  assert.equal((await second).revision, 2);
  // The lease of the frozen controller has not expired yet: it still owns a part.
  const lagging = client.waitUntilInForce(2, 500);
  await world.clock.run(1000);
  assert.deepEqual(
    (await lagging).map(({ node }) => node),
    ["n1"],
  );
  world.stop();
});

const MANY_TEAMS = Array.from({ length: 130 }, (_, n) => ({ name: `team-${n}`, cpus: 1, max: 40 }));
const SMALLEST_LIMITS = { ops: 4, conditions: 16, valueBytes: 2048 };
const forAll = (cpus: number) => ({
  teams: MANY_TEAMS.map(({ name }) => ({ name, limit: { cpus }, weight: 1.25 })),
  groups: [],
});

/** Whether all pieces of the revision in force exist. */
function hasAllPieces(world: ConfiguredWorld): boolean {
  const head = world.state.rows.get(keys.configurationHead)?.value;
  assert.ok(isHead(head));
  return Array.from({ length: head.pieces }, (_, n) =>
    world.state.rows.has(keys.configurationPiece(head.id, n)),
  ).every((there) => there);
}

const isPiece = (change: Change): boolean =>
  keys.ownerOfPiece("put" in change ? change.put : change.remove) !== null;

test("configuration: if a piece is removed before its head is written, all pieces are written again", async () => {
  const world = new ConfiguredWorld(13, 3, {}, MANY_TEAMS, SMALLEST_LIMITS);
  await world.ready();
  const store = world.stores[0]!;
  const transact = store.transact.bind(store);
  let removedPieces = 0;
  store.transact = async (when, then) => {
    const result = await transact(when, then);
    const [first] = then;
    if (removedPieces === 0 && first !== undefined && "put" in first && then.every(isPiece)) {
      removedPieces++;
      world.state.transact([], [{ remove: first.put }]);
    }
    return result;
  };
  const answer = world.change(0, forAll(9), 0);
  await world.clock.run(8000);
  assert.equal((await answer)?.status, 200);
  assert.equal(removedPieces, 1);
  assert.ok(hasAllPieces(world));
  assert.ok([...world.revisionsInUse().values()].every((revision) => revision === 1));
  world.stop();
});

test("configuration: a delayed removal does not remove pieces that are in force by then", async () => {
  const world = new ConfiguredWorld(14, 3, {}, MANY_TEAMS, SMALLEST_LIMITS);
  await world.ready();
  const first = world.change(0, forAll(30), 0);
  await world.clock.run(6000);
  assert.equal((await first)?.status, 200);
  // Another author has written a piece but not its head yet.
  const value = { teams: [], groups: [] };
  world.state.transact([], [{ put: keys.configurationPiece("slow", 0), value }]);
  await world.clock.run(500);
  const delayedRemovals: { when: Condition[]; then: Change[] }[] = [];
  const store = world.stores[0]!;
  const transact = store.transact.bind(store);
  store.transact = (when, then) => {
    if (!then.every((change) => "remove" in change && isPiece(change))) return transact(when, then);
    delayedRemovals.push({ when, then });
    return Promise.reject(new Error("no answer"));
  };
  const second = world.change(0, forAll(20), 1);
  await world.clock.run(6000);
  assert.equal((await second)?.status, 200);
  assert.ok(delayedRemovals.some(({ then }) => JSON.stringify(then).includes("slow")));
  const third = world.change(1, forAll(10), 2, "slow");
  await world.clock.run(6000);
  assert.equal((await third)?.status, 200);
  for (const { when, then } of delayedRemovals) world.state.transact(when, then);
  await world.clock.run(1000);
  assert.ok(hasAllPieces(world));
  world.stop();
});
