import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { readChange } from "../src/configuration/file.js";
import {
  type BaseConfiguration,
  configurationProblem,
  differences,
  effectiveConfiguration,
  isOverrides,
  joinPieces,
  merge,
  NO_OVERRIDES,
  type Overrides,
  splitIntoPieces,
  warningsOf,
} from "../src/configuration/index.js";
import { jsonBytes } from "../src/configuration/records.js";
import { ROOT } from "../src/fair/share.js";
import { NO_LIMIT } from "../src/quota/limits.js";
import { parseTuning } from "../src/settings/tuning.js";

const teams = [
  { name: "red", cpus: 8, cpus_max: 20, gpus: 0, gpus_max: NO_LIMIT },
  { name: "blue", cpus: 4, cpus_max: 10, gpus: 1, gpus_max: 2 },
  { name: "free", cpus: 0, cpus_max: NO_LIMIT, gpus: 0, gpus_max: NO_LIMIT },
];
const tuning = 'group { name: "warm" weight: 2 } team { name: "red" group: "warm" weight: 3 }';
const base: BaseConfiguration = {
  teams,
  packageTeams: [],
  groups: parseTuning(tuning, "t", teams).groups,
};
const set = (overrides: Partial<Overrides>): Overrides => ({ ...NO_OVERRIDES, ...overrides });

test("configuration: without a revision the configuration at start is in force", () => {
  const { groups, limits, guarantees, revision } = effectiveConfiguration(base, NO_OVERRIDES, 0);
  assert.equal(revision, 0);
  assert.deepEqual(groups, base.groups);
  assert.deepEqual(limits.get("red"), { cpus: 20, gpus: NO_LIMIT });
  assert.deepEqual(guarantees.get("blue"), { cpus: 4, gpus: 1 });
});

const overrideCases: { name: string; overrides: Partial<Overrides>; expected: string | null }[] = [
  { name: "nothing", overrides: {}, expected: null },
  {
    name: "a limit below",
    overrides: { teams: [{ name: "red", limit: { cpus: 5 } }] },
    expected: null,
  },
  {
    name: "a limit as it is",
    overrides: { teams: [{ name: "red", limit: { cpus: 20 } }] },
    expected: null,
  },
  {
    name: "a limit above",
    overrides: { teams: [{ name: "red", limit: { cpus: 21 } }] },
    expected: "red: a limit of 21 CPUs is above the platform's, 20",
  },
  {
    name: "a limit of GPUs above",
    overrides: { teams: [{ name: "blue", limit: { gpus: 3 } }] },
    expected: "blue: a limit of 3 GPUs is above the platform's, 2",
  },
  {
    name: "a limit of nothing",
    overrides: { teams: [{ name: "red", limit: { cpus: 0 } }] },
    expected: "red: a limit of 0 CPUs would mean no limit; expected more than 0",
  },
  {
    name: "a limit where there is none",
    overrides: { teams: [{ name: "free", limit: { cpus: 5 } }] },
    expected: "free: has no limit of CPUs on the platform, and none can be set while serving",
  },
  {
    name: "a guarantee above the limit",
    overrides: { teams: [{ name: "red", guarantee: { cpus: 90 } }] },
    expected: null,
  },
  {
    name: "a team that is unknown",
    overrides: { teams: [{ name: "rde" }] },
    expected: "the platform has no team rde",
  },
  {
    name: "a group that is unknown",
    overrides: { teams: [{ name: "red", group: "cold" }] },
    expected: "red: unknown group cold",
  },
  {
    name: "a new group",
    overrides: { groups: [{ name: "cold" }], teams: [{ name: "red", group: "cold" }] },
    expected: null,
  },
  { name: "the root", overrides: { teams: [{ name: "red", group: "" }] }, expected: null },
  {
    name: "an unknown parent",
    overrides: { groups: [{ name: "cold", parent: "ice" }] },
    expected: "cold: unknown parent ice",
  },
  {
    name: "a circle",
    overrides: {
      groups: [
        { name: "cold", parent: "warm" },
        { name: "warm", parent: "cold" },
      ],
    },
    expected: "group warm is inside itself",
  },
  {
    name: "a group with a team's name",
    overrides: { groups: [{ name: "blue" }] },
    expected: "blue is the name of a team",
  },
];
for (const { name, overrides, expected } of overrideCases) {
  test(`configuration: ${name}: ${expected ?? "accepted"}`, () => {
    assert.equal(configurationProblem(base, set(overrides))?.reason ?? null, expected);
  });
}

test("configuration: successive changes are merged, and their differences are listed", () => {
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
  const [before, after] = [
    effectiveConfiguration(base, first, 1),
    effectiveConfiguration(base, second, 2),
  ];
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

test("configuration: guarantees above limit or capacity give warnings with the figures", () => {
  const effective = effectiveConfiguration(
    base,
    set({ teams: [{ name: "red", guarantee: { cpus: 30 } }] }),
    1,
  );
  assert.deepEqual(warningsOf(effective, { cpus: 32, gpus: NO_LIMIT }), [
    "red: is guaranteed 30 CPUs and may use 20",
    "the guarantees add up to 34 CPUs; the machines now have 32",
  ]);
  assert.deepEqual(warningsOf(effectiveConfiguration(base, NO_OVERRIDES, 0), null), []);
});

test("configuration: pieces contain all of the content, each within the size limit", () => {
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
      const pieces = splitIntoPieces(content, most);
      assert.ok(pieces !== null);
      assert.deepEqual(joinPieces(pieces), content);
      for (const piece of pieces) {
        assert.ok(jsonBytes(piece) <= most, `${jsonBytes(piece)} of ${most}`);
        assert.ok(isOverrides(piece));
      }
    },
  );
  fc.assert(property, { numRuns: 200, seed: 5 });
  assert.equal(splitIntoPieces({ teams: [{ name: "x".repeat(150) }], groups: [] }, 100), null);
});

const invalidFiles: { name: string; text: string; expected: RegExp }[] = [
  { name: "no protobuf text", text: 'team {\n name: "red"\n limit: {', expected: /^f:\d+: / },
  { name: "an unknown field", text: 'team {\n name: "red"\n colour: 3\n}', expected: /^f:3: / },
  {
    name: "what cannot change",
    text: "rental { dear: 2 }",
    expected: /^f:1: rental cannot be changed while serving/,
  },
  {
    name: "a team twice",
    text: 'team { name: "red" weight: 2 }\nteam { name: "red" }',
    expected: /^f:1: red is there twice/,
  },
  {
    name: "a negative limit",
    text: 'team { name: "blue" }\nteam { name: "red" limit { cpus: -4 } }',
    expected: /^f:2: red: amounts are 0 or more/,
  },
  {
    name: "a weight of 0",
    text: 'team { name: "red" weight: 0 }',
    expected: /^f:1: red: .* a weight is above 0/,
  },
  { name: "no name", text: "team { weight: 2 }", expected: /^f:1: a name is missing/ },
  { name: "nothing", text: "# later", expected: /^f:1: the file changes nothing/ },
];
for (const { name, text, expected } of invalidFiles) {
  test(`configuration: a file with ${name} is refused with file and line`, () => {
    assert.throws(() => readChange({ file: "f", text }), { message: expected });
  });
}

test("configuration: a file is read, and errors found by a controller are reported with its line", () => {
  const text =
    '# weights\nteam { name: "red" weight: 2 limit { cpus: 9 } }\ngroup { name: "cold" }';
  const { change, refuse } = readChange({ file: "f", text });
  assert.deepEqual(change, {
    teams: [{ name: "red", weight: 2, limit: { cpus: 9 } }],
    groups: [{ name: "cold" }],
  });
  assert.throws(() => refuse("no team red", "red"), { message: "f:2: no team red" });
});

test("configuration: guarantees and limits in the settings at start are refused", () => {
  assert.throws(() => parseTuning('team { name: "red" limit { cpus: 3 } }', "t", teams), {
    message: /^t:1: red: guarantees and limits are set by `birchdale config apply`/,
  });
});
