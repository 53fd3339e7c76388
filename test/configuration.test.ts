import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ConfigurationClient, Overtaken } from "../src/configuration/client.js";
import { readChange } from "../src/configuration/file.js";
import {
  type BaseConfiguration,
  differences,
  divide,
  effectiveOf,
  faultOf,
  isHistoryEntry,
  isOverrides,
  join,
  LiveConfiguration,
  merge,
  NO_OVERRIDES,
  type Overrides,
  warningsOf,
} from "../src/configuration/index.js";
import { bytesOf } from "../src/configuration/records.js";
import { ROOT } from "../src/fair/share.js";
import { NO_LIMIT } from "../src/quota/limits.js";
import { parseTuning } from "../src/settings/tuning.js";
import { keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import { FakeClock } from "./support/clock.js";
import { LIMITS, quiet } from "./support/common.js";
import { ConfiguredWorld } from "./support/configured.js";
import { Random } from "./support/random.js";
import { FakeState, FakeStore } from "./support/store.js";

const teams = [
  { name: "red", cpus: 8, cpus_max: 20, gpus: 0, gpus_max: NO_LIMIT },
  { name: "blue", cpus: 4, cpus_max: 10, gpus: 1, gpus_max: 2 },
  { name: "free", cpus: 0, cpus_max: NO_LIMIT, gpus: 0, gpus_max: NO_LIMIT },
];
const tuning = 'group { name: "warm" weight: 2 } team { name: "red" group: "warm" weight: 3 }';
const base: BaseConfiguration = { teams, groups: parseTuning(tuning, "t", teams).groups };
const set = (overrides: Partial<Overrides>): Overrides => ({ ...NO_OVERRIDES, ...overrides });

test("configuration: without a revision all is as at start", () => {
  const { groups, limits, guarantees, revision } = effectiveOf(base, NO_OVERRIDES, 0);
  assert.equal(revision, 0);
  assert.deepEqual(groups, base.groups);
  assert.deepEqual(limits.get("red"), { cpus: 20, gpus: NO_LIMIT });
  assert.deepEqual(guarantees.get("blue"), { cpus: 4, gpus: 1 });
});

const faults: { name: string; overrides: Partial<Overrides>; says: string | null }[] = [
  { name: "nothing", overrides: {}, says: null },
  {
    name: "a limit below",
    overrides: { teams: [{ name: "red", limit: { cpus: 5 } }] },
    says: null,
  },
  {
    name: "a limit as it is",
    overrides: { teams: [{ name: "red", limit: { cpus: 20 } }] },
    says: null,
  },
  {
    name: "a limit above",
    overrides: { teams: [{ name: "red", limit: { cpus: 21 } }] },
    says: "red: a limit of 21 CPUs is above the platform's, 20",
  },
  {
    name: "a limit of GPUs above",
    overrides: { teams: [{ name: "blue", limit: { gpus: 3 } }] },
    says: "blue: a limit of 3 GPUs is above the platform's, 2",
  },
  {
    name: "a limit of nothing",
    overrides: { teams: [{ name: "red", limit: { cpus: 0 } }] },
    says: "red: a limit of 0 CPUs would mean none; the least is above 0",
  },
  {
    name: "a limit where there is none",
    overrides: { teams: [{ name: "free", limit: { cpus: 5 } }] },
    says: "free: has no limit of CPUs on the platform, and none can be set while serving",
  },
  {
    name: "a guarantee above the limit",
    overrides: { teams: [{ name: "red", guarantee: { cpus: 90 } }] },
    says: null,
  },
  {
    name: "a team that is unknown",
    overrides: { teams: [{ name: "rde" }] },
    says: "the platform has no team rde",
  },
  {
    name: "a group that is unknown",
    overrides: { teams: [{ name: "red", group: "cold" }] },
    says: "red: unknown group cold",
  },
  {
    name: "a new group",
    overrides: { groups: [{ name: "cold" }], teams: [{ name: "red", group: "cold" }] },
    says: null,
  },
  { name: "the root", overrides: { teams: [{ name: "red", group: "" }] }, says: null },
  {
    name: "an unknown parent",
    overrides: { groups: [{ name: "cold", parent: "ice" }] },
    says: "cold: unknown parent ice",
  },
  {
    name: "a circle",
    overrides: {
      groups: [
        { name: "cold", parent: "warm" },
        { name: "warm", parent: "cold" },
      ],
    },
    says: "group warm is inside itself",
  },
  {
    name: "a group with a team's name",
    overrides: { groups: [{ name: "blue" }] },
    says: "blue is the name of a team",
  },
];
for (const { name, overrides, says } of faults) {
  test(`configuration: ${name}: ${says ?? "taken"}`, () => {
    assert.equal(faultOf(base, set(overrides))?.reason ?? null, says);
  });
}

test("configuration: changes of one author after the other add up, and say what differs", () => {
  const first = merge(NO_OVERRIDES, set({ teams: [{ name: "red", limit: { cpus: 9 } }] }));
  const second = merge(
    first,
    set({
      groups: [{ name: "cold", weight: 2, lending: { cpus: 3 } }],
      teams: [
        { name: "red", guarantee: { cpus: 2 } },
        { name: "blue", group: "cold", weight: 5 },
      ],
    }),
  );
  const [before, after] = [effectiveOf(base, first, 1), effectiveOf(base, second, 2)];
  assert.deepEqual(after.limits.get("red"), { cpus: 9, gpus: NO_LIMIT });
  assert.deepEqual(after.guarantees.get("red"), { cpus: 2, gpus: 0 });
  const tree = new Map(after.groups.map((group) => [group.name, group]));
  assert.equal(tree.get("blue")?.parent, "cold");
  assert.equal(tree.get("blue")?.weight, 5);
  assert.deepEqual(tree.get("cold")?.nominal, { cpus: 4, gpus: 1 });
  assert.deepEqual(tree.get("warm")?.nominal, { cpus: 2, gpus: 0 });
  assert.deepEqual(tree.get(ROOT)?.nominal, { cpus: 6, gpus: 1 });
  assert.deepEqual(differences(before, after), [
    "team red: guarantee 8 CPUs, 0 GPUs -> 2 CPUs, 0 GPUs",
    "group cold: new, in the root",
    "team blue: group the root -> cold",
    "team blue: weight 1 -> 5",
  ]);
});

test("configuration: guarantees that do not fit are told with the figures", () => {
  const effective = effectiveOf(
    base,
    set({ teams: [{ name: "red", guarantee: { cpus: 30 } }] }),
    1,
  );
  assert.deepEqual(warningsOf(effective, { cpus: 32, gpus: NO_LIMIT }), [
    "red: is guaranteed 30 CPUs and may use 20",
    "the guarantees add up to 34 CPUs; the machines now have 32",
  ]);
  assert.deepEqual(warningsOf(effectiveOf(base, NO_OVERRIDES, 0), null), []);
});

test("configuration: pieces hold all of the content, each within its bytes", () => {
  const team = fc.record({
    name: fc.string({ minLength: 1, maxLength: 60 }),
    limit: fc.record({ cpus: fc.nat(5000) }),
    weight: fc.double({ min: 0.1, max: 9, noNaN: true }),
  });
  const property = fc.property(
    fc.array(team, { maxLength: 130 }),
    fc.integer({ min: 600, max: 8000 }),
    (teams, most) => {
      const content: Overrides = { teams, groups: [{ name: "cold" }] };
      const pieces = divide(content, most);
      assert.ok(pieces !== null);
      assert.deepEqual(join(pieces), content);
      for (const piece of pieces) {
        assert.ok(bytesOf(piece) <= most, `${bytesOf(piece)} of ${most}`);
        assert.ok(isOverrides(piece));
      }
    },
  );
  fc.assert(property, { numRuns: 200, seed: 5 });
  assert.equal(divide({ teams: [{ name: "x".repeat(150) }], groups: [] }, 100), null);
});

const files: { name: string; text: string; says: RegExp }[] = [
  { name: "no protobuf text", text: 'team {\n name: "red"\n limit: {', says: /^f:\d+: / },
  { name: "an unknown field", text: 'team {\n name: "red"\n colour: 3\n}', says: /^f:3: / },
  {
    name: "what cannot change",
    text: "rental { dear: 2 }",
    says: /^f:1: rental cannot be changed while serving/,
  },
  {
    name: "a team twice",
    text: 'team { name: "red" weight: 2 }\nteam { name: "red" }',
    says: /^f:1: red is there twice/,
  },
  {
    name: "a negative limit",
    text: 'team { name: "blue" }\nteam { name: "red" limit { cpus: -4 } }',
    says: /^f:2: red: amounts are 0 or more/,
  },
  {
    name: "a weight of 0",
    text: 'team { name: "red" weight: 0 }',
    says: /^f:1: red: .* a weight is above 0/,
  },
  { name: "no name", text: "team { weight: 2 }", says: /^f:1: a name is missing/ },
  { name: "nothing", text: "# later", says: /^f:1: the file changes nothing/ },
];
for (const { name, text, says } of files) {
  test(`configuration: a file with ${name} is refused with file and line`, () => {
    assert.throws(() => readChange({ file: "f", text }), { message: says });
  });
}

test("configuration: a file is read, and what a controller finds wrong has its line", () => {
  const text =
    '# weights\nteam { name: "red" weight: 2 limit { cpus: 9 } }\ngroup { name: "cold" }';
  const { change, refuse } = readChange({ file: "f", text });
  assert.deepEqual(change, {
    teams: [{ name: "red", weight: 2, limit: { cpus: 9 } }],
    groups: [{ name: "cold" }],
  });
  assert.throws(() => refuse("no team red", "red"), { message: "f:2: no team red" });
});

test("configuration: guarantees and limits in the files at start are refused", () => {
  assert.throws(() => parseTuning('team { name: "red" limit { cpus: 3 } }', "t", teams), {
    message: /^t:1: red: guarantees and limits are set by `birchdale config apply`/,
  });
});

test("configuration: 130 teams fit the smallest limits, in pieces before the head; older pieces go", async () => {
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
  const entries = [...world.state.rows].filter(([key]) =>
    key.startsWith(keys.configurationHistory),
  );
  assert.equal(entries.length, 4);
  for (const [key, { value }] of entries) {
    assert.ok(isHistoryEntry(value), key);
    assert.match(value.changes.at(-1)!, /^and \d+ more$/);
  }
  const asked = world.ask(1, "GET", "/about/configuration");
  await world.clock.run(1000);
  const { revision, teams: shown } = (await asked)!.body as {
    revision: number;
    teams: { name: string; limit: { cpus: number } }[];
  };
  assert.equal(revision, 4);
  assert.deepEqual(new Set(shown.map(({ limit }) => limit.cpus)), new Set([14]));
  world.stop();
});

test("configuration: the history keeps so many revisions and no more", async () => {
  const world = new ConfiguredWorld(4, 3);
  await world.ready();
  for (let round = 0; round < 56; round++) {
    const change = { teams: [{ name: "red", weight: 1 + round }], groups: [] };
    const answer = world.change(round % 3, change, round);
    await world.clock.run(3000);
    assert.equal((await answer)?.status, 200, `${round}: ${JSON.stringify(await answer)}`);
  }
  const asked = world.ask(0, "GET", "/about/configuration/history");
  await world.clock.run(500);
  const { history } = (await asked)!.body as { history: { revision: number; by: string }[] };
  assert.equal(history.length, 50);
  assert.deepEqual([history[0]?.revision, history.at(-1)?.revision], [7, 56]);
  world.stop();
});

const bad: { name: string; body: object }[] = [
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
test("configuration: requests that make no sense get 400, and make no revision", async () => {
  const world = new ConfiguredWorld(8, 3);
  await world.ready();
  for (const { name, body } of bad) {
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

test("configuration: the client waits until all that hold parts decide by a revision, or says who lags", async () => {
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
  const waited = client.inForce(1, 14_000);
  await world.clock.run(14_000);
  assert.deepEqual(await waited, []);
  const late = client.apply({ ...request, id: "two", change });
  const failed = assert.rejects(late, Overtaken);
  await world.clock.run(1000);
  await failed;
  world.clocks[1]!.freeze();
  const second = client.apply({ ...request, base: 1, id: "three", change });
  await world.clock.run(1000);
  assert.equal((await second).revision, 2);
  // Its lease has not ended yet: it still holds a part.
  const lagging = client.inForce(2, 500);
  await world.clock.run(1000);
  assert.deepEqual(
    (await lagging).map(({ node }) => node),
    ["n1"],
  );
  world.stop();
});

/** What follows revisions, with nothing around it. */
class Follower {
  readonly clock = new FakeClock();
  readonly mirror: Mirror;
  readonly live: LiveConfiguration;
  #version = 0;

  constructor() {
    const state = new FakeState(this.clock, LIMITS);
    const store = new FakeStore(state, this.clock, new Random(1), LIMITS, 1000);
    this.mirror = new Mirror(store, this.clock, quiet, 1000);
    this.live = new LiveConfiguration({
      base,
      mirror: this.mirror,
      store,
      clock: this.clock,
      log: quiet,
      node: "n0",
      run: "r",
      lease: () => null,
      patienceMs: 12_000,
      sayMs: 500,
      changed: () => undefined,
    });
    this.mirror.ready = true;
    this.live.start();
  }

  hear(key: string, value: unknown): void {
    this.mirror.apply({ key, value, version: ++this.#version, deleted: false });
  }

  head(revision: number, pieces: number): void {
    const id = `r${revision}`;
    this.hear(keys.configurationHead, { revision, id, pieces, by: "x", why: "", at: 0 });
  }

  piece(revision: number, number: number, cpus: number): void {
    const value = { teams: [{ name: "red", limit: { cpus } }], groups: [] };
    this.hear(keys.configurationPiece(`r${revision}`, number), value);
  }
}

test("configuration: in the middle of a listing a revision does not count, after it it does", async () => {
  const follower = new Follower();
  follower.mirror.ready = false;
  follower.head(1, 1);
  follower.piece(1, 0, 9);
  await follower.clock.run(2000);
  assert.equal(follower.live.effective.revision, 0);
  assert.equal(follower.live.condition().version, 0);
  follower.mirror.ready = true;
  await follower.clock.run(600);
  assert.equal(follower.live.effective.revision, 1);
  assert.equal(follower.live.limits.get("red")?.cpus, 9);
});

test("configuration: pieces that come late are waited for under the old condition, for a lease", async () => {
  for (const late of [2000, 20_000]) {
    const follower = new Follower();
    follower.head(1, 2);
    follower.piece(1, 1, 9);
    await follower.clock.run(late);
    const refused = late > 12_000;
    assert.equal(follower.live.condition().version, refused ? 1 : 0);
    assert.equal(follower.live.current, !refused);
    follower.piece(1, 0, 8);
    await follower.clock.run(1000);
    assert.equal(follower.live.effective.revision, refused ? 0 : 1);
    // The next one is used either way.
    follower.piece(2, 0, 7);
    follower.head(2, 1);
    assert.equal(follower.live.effective.revision, 2);
    assert.ok(follower.live.current);
  }
});
