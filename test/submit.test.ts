import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { Ad } from "../src/classad/index.js";
import { planRentals } from "../src/cloud/rental-plan.js";
import type { JobHeader } from "../src/jobs/job-header.js";
import type { KindCapacity, Summary } from "../src/part/summary.js";
import { decodeFrame, encodeFrame } from "../src/peer/frames.js";
import { SettingsError } from "../src/settings/settings.js";
import {
  analyze,
  commands,
  commandTable,
  localHost,
  Matcher,
  planCluster,
  readSettings,
  requestedAction,
  startLimit,
} from "../src/submit/index.js";
import type { JobState } from "../src/submit/site/cluster-index.js";
import { type ClusterRecord, withHold, withRelease } from "../src/submit/site/records.js";
import { openPendingSubmission } from "../src/submit/user/pending.js";
import { BY_REQUIREMENTS, type JobSpec, parseSubmission } from "../src/wire/jobs.js";
import { kindAllowed, typeFits } from "../src/workers/machine.js";
import { PlacementConstraints } from "../src/workers/placement-constraints.js";
import { PlacementBench, plainSpec } from "./support/placement-bench.js";
import { createMatcher, loadExtension, machineType, NOW, textWorld } from "./support/submit.js";

const TYPES = new Map(
  [machineType("small", 4, 8), machineType("big", 32, 128)].map((type) => [type.name, type]),
);
const OPERATOR_SETTINGS = `submit {
  machine { ad: "Arch = \\"X86_64\\"" }
  machine { type: "big" ad: "KFlops = 2000" }
  machine { type: "small" ad: "Idle = Busy == false" }
  machine { type: "small" ad: "KFlops = 1000" ad: "Busy = Cpus < TotalCpus" }
}`;
const matcherOfSite = await createMatcher(OPERATOR_SETTINGS, TYPES);

const specWithExpressions = (
  requirements: string,
  rank = "",
  ad = "",
  more: Partial<JobSpec> = {},
): JobSpec => ({
  ...plainSpec,
  types: [BY_REQUIREMENTS],
  match: { ad, requirements, rank, atOnce: null },
  ...more,
});

const kindOf = (type: string, zone = "north", spot = true) => ({ type, zone, spot });

test("matching: expressions on free resources are evaluated again while a job waits", () => {
  const bench = new PlacementBench(TYPES, matcherOfSite);
  bench.machine("big-1", "big", "north", true);
  const filler = bench.job({ cpus: 8, tasks: 3 });
  bench.pass();
  assert.equal(bench.where(filler).length, 3);
  const waits = bench.job(specWithExpressions("Cpus >= 16"));
  const alone = bench.job(specWithExpressions("Memory == TotalMemory"));
  bench.pass();
  assert.deepEqual(bench.where(waits), []);
  bench.clear(filler);
  for (const chunk of bench.ledger.jobs.get(filler)!.chunks.values()) chunk.handoverTarget = 1;
  bench.pass();
  // The first job is placed, so the machine is not empty for the second.
  assert.deepEqual(bench.where(waits), ["big-1"]);
  assert.deepEqual(bench.where(alone), []);
});

test("matching: a gang whose tasks match only across zones starts across zones, or not at all", () => {
  const gang = specWithExpressions("KFlops > 1500", "", "", { kind: "gang", tasks: 2, cpus: 20 });
  for (const [oneZone, wanted] of [
    [false, ["big-n", "big-s"]],
    [true, []],
  ] as const) {
    const bench = new PlacementBench(TYPES, matcherOfSite);
    for (const zone of ["north", "south"]) {
      bench.machine(`big-${zone[0]}`, "big", zone, true);
      for (let i = 0; i < 12; i++) bench.machine(`small-${zone}-${i}`, "small", zone, true);
    }
    const id = bench.job({ ...gang, oneZone });
    bench.pass();
    assert.deepEqual(bench.where(id).sort(), wanted);
  }
});

test("matching: a gang takes the machines that it ranks highest", () => {
  const bench = new PlacementBench(TYPES, matcherOfSite);
  for (const [name, type] of [
    ["s1", "small"],
    ["b1", "big"],
    ["s2", "small"],
    ["b2", "big"],
  ] as const) {
    bench.machine(name, type, "north", true);
  }
  const id = bench.job(specWithExpressions("", "KFlops", "", { kind: "gang", tasks: 2, cpus: 4 }));
  bench.pass();
  assert.deepEqual(new Set(bench.where(id)), new Set(["b1"]));
  const low = bench.job(
    specWithExpressions("", "-KFlops", "", { kind: "gang", tasks: 2, cpus: 4 }),
  );
  bench.pass();
  assert.deepEqual(bench.where(low).sort(), ["s1", "s2"]);
});

test("rank orders machines, never jobs or teams: the same tasks start with it and without", () => {
  const order = (rank: string): string[] => {
    const bench = new PlacementBench(TYPES, matcherOfSite, ["red", "blue"]);
    bench.machine("s1", "small", "north", false);
    bench.machine("s2", "small", "north", true);
    const red = bench.job(specWithExpressions("", rank, "", { team: "red", tasks: 6 }));
    const blue = bench.job({ team: "blue", tasks: 6 });
    bench.pass();
    return [`${bench.where(red).length}`, `${bench.where(blue).length}`];
  };
  assert.deepEqual(order(""), ["4", "4"]);
  assert.deepEqual(order("1000000"), ["4", "4"]);
  assert.deepEqual(order("-1000000"), ["4", "4"]);
});

test("rank: a job may rank expensive machines highest, but the cheapest suitable machine is rented for it", () => {
  const places = new PlacementConstraints(matcherOfSite);
  const spec = specWithExpressions("TotalCpus >= 4", "Spot == false");
  const offers = [...TYPES.values()].flatMap((type) =>
    [false, true].map((spot) => ({ type, zone: "north", spot, price: spot ? 1 : 9 })),
  );
  const need = {
    cpus: 1,
    gpus: 0,
    memGb: 1,
    spot: true,
    types: spec.types,
    zone: null,
    count: 2,
    job: "wk-1",
  };
  const suits = (_: string, { type, zone, spot }: (typeof offers)[number]): boolean =>
    places.allows(spec, { type: type.name, zone, spot });
  const wishes = planRentals([need], [], TYPES, offers, 50, suits);
  assert.deepEqual(
    wishes.map(({ offer }) => offer.spot),
    [true],
  );
  const only = planRentals([need], [], TYPES, offers, 50, (_, { type }) => type.name === "big");
  assert.deepEqual(
    only.map(({ offer }) => offer.type.name),
    ["big"],
  );
});

test("a controller of the previous version refuses a job with expressions, starts no task and rents no machine for it", () => {
  // That version reads only the header fields that it knows.
  const { match: _, ...seen } = specWithExpressions("true");
  for (const type of TYPES.values()) {
    assert.equal(typeFits(seen, type), false, "it answers 422");
    assert.equal(
      kindAllowed(seen, kindOf(type.name)),
      false,
      "it places nothing and stops no task for it",
    );
  }
  const offers = [...TYPES.values()].map((type) => ({ type, zone: "north", spot: true, price: 1 }));
  const need = { cpus: 1, gpus: 0, memGb: 1, spot: true, types: seen.types, zone: null, count: 2 };
  assert.deepEqual(planRentals([need], [], TYPES, offers, 50), []);
  // It would accept a job that also names machine types, so every version refuses such a job.
  const body = { ad: "[]", builds: ["small"] };
  const whole = {
    uid: "wk-1",
    eidos: "x",
    owner: "red",
    shape: "batch",
    urgency: "normal",
    pieces: 1,
    cores: 1,
    accelerators: 0,
    memGb: 1,
    together: false,
    scatter: false,
    borrowed: true,
    expectS: 1,
    stashEveryS: 0,
    stashS: 0,
  };
  assert.equal(parseSubmission({ ...whole, ...body }).ok, false);
  assert.equal(parseSubmission({ ...whole, builds: [BY_REQUIREMENTS] }).ok, false);
  assert.equal(parseSubmission({ ...whole, ...body, builds: [BY_REQUIREMENTS] }).ok, true);
  // Without the package, no machine is allowed for the job and none is requested for it.
  const places = new PlacementConstraints(null);
  assert.equal(places.allows(specWithExpressions("true"), kindOf("big")), false);
  assert.equal(places.cannotStart("wk-1", specWithExpressions("true")), true);
  assert.equal(places.allows(plainSpec, kindOf("big")), true);
});

test("an expression is evaluated once per machine kind, and again only when what it depends on changes", () => {
  const rules = readSettings({ machine: [{ ad: ['Arch = "X86_64"'] }] }, [], (reason) =>
    assert.fail(reason),
  ).rules;
  let now = 100;
  const matcher = new Matcher(
    rules,
    ["north"],
    () => TYPES,
    () => now,
  );
  const fixed = specWithExpressions('Arch == "X86_64"', "TotalCpus");
  const byRoom = specWithExpressions("Cpus > 2");
  const byTime = specWithExpressions("time() < 1000");
  const room = { cpus: 3, gpus: 0, memGb: 4 };
  const cost = (spec: JobSpec, times: number): number => {
    const before = matcher.evaluations;
    for (let i = 0; i < times; i++) matcher.rank(spec, kindOf("small"), { ...room });
    return matcher.evaluations - before;
  };
  assert.equal(cost(fixed, 1000), 2, "requirements and rank");
  assert.equal(cost({ ...fixed, match: { ...fixed.match! } }, 1000), 0, "an equivalent job");
  assert.equal(cost(byRoom, 1000), 1);
  room.cpus = 2;
  assert.equal(cost(byRoom, 1000), 1);
  assert.equal(matcher.rank(byRoom, kindOf("small"), room), null);
  assert.equal(cost(byTime, 1000), 1);
  now = 2000;
  assert.equal(cost(byTime, 1000), 1);
  assert.equal(matcher.rank(byTime, kindOf("small"), room), null);
  assert.equal(
    matcher.equivalenceKey(fixed),
    matcher.equivalenceKey({ ...fixed, match: { ...fixed.match! } }),
  );
  assert.equal(matcher.equivalenceKey(byRoom), null);
  assert.equal(matcher.equivalenceKey(byTime), null);
  for (const clock of ["time()", "currentTime()", 'formatTime() == ""', "absTime() =!= 1"]) {
    assert.equal(matcher.equivalenceKey(specWithExpressions(`${clock} || true`)), null, clock);
  }
  assert.notEqual(matcher.equivalenceKey(specWithExpressions('formatTime(0) == ""')), null);
});

test("operators' attributes that depend on free resources change with them", () => {
  const bench = new PlacementBench(TYPES, matcherOfSite);
  bench.machine("s1", "small", "north", true);
  const first = bench.job(specWithExpressions("Busy == false"));
  const second = bench.job(specWithExpressions("Busy == false"));
  bench.pass();
  assert.deepEqual([bench.where(first), bench.where(second)], [["s1"], []]);
});

test("operators' attributes depend on free resources also through attributes of another rule", () => {
  assert.equal(matcherOfSite.equivalenceKey(specWithExpressions("Idle")), null);
  assert.notEqual(matcherOfSite.equivalenceKey(specWithExpressions("KFlops > 1")), null);
});

test("match results of one team's job are not used for another team's job", async () => {
  const start = `submit { machine { type: "small" start: "TARGET.Team == \\"blue\\"" } }`;
  const bench = new PlacementBench(TYPES, await createMatcher(start, TYPES), ["red", "blue"]);
  bench.machine("s1", "small", "north", true);
  const red = bench.job(specWithExpressions("true", "", "", { team: "red" }));
  const blue = bench.job(specWithExpressions("true", "", "", { team: "blue" }));
  bench.pass();
  assert.deepEqual([bench.where(red), bench.where(blue)], [[], ["s1"]]);
});

test("analyze: counts machines per clause: alone, together with earlier clauses, and excluded by it only", () => {
  const rules = readSettings(
    {
      machine: [
        { ad: ['Arch = "X86_64"'] },
        { type: "big", ad: ["Fast = true"], start: "TARGET.RequestCpus > 1" },
      ],
    },
    [],
    (reason) => assert.fail(reason),
  ).rules;
  const matcher = new Matcher(
    rules,
    ["north", "south"],
    () => TYPES,
    () => 0,
  );
  const rooms: KindCapacity[] = [
    { ...kindOf("small"), capacity: 40, free: 40, most: 4 },
    { ...kindOf("small", "south", false), capacity: 8, free: 8, most: 4 },
    { ...kindOf("big"), capacity: 96, free: 96, most: 32 },
  ];
  const look = (spec: JobSpec) => analyze(spec, matcher, rooms, TYPES, ["north", "south"]);
  const found = look(specWithExpressions('Arch == "X86_64" && Fast && Zone == "south" && Ram > 1'));
  assert.deepEqual(
    found.clauses.map(({ text, alone, together, excludes, unknown }) => [
      text,
      alone,
      together,
      excludes,
      unknown,
    ]),
    [
      ['Arch == "X86_64"', 15, 15, 0, []],
      ["Fast", 3, 3, 0, []],
      ['Zone == "south"', 2, 0, 0, []],
      ["Ram > 1", 0, 0, 0, ["ram"]],
    ],
  );
  assert.equal(found.worst, "Ram > 1");
  assert.deepEqual([found.machines, found.fitting, found.matching], [15, 15, 0]);
  const one = look(specWithExpressions("Fast && Spot"));
  assert.deepEqual([one.matching, one.refusing, one.clauses[0]!.excludes], [0, 3, 10]);
  const two = look(specWithExpressions("Fast", "", "", { cpus: 2 }));
  assert.deepEqual([two.matching, two.refusing], [3, 0]);
  assert.equal(look(specWithExpressions("", "", "", { cpus: 16 })).fitting, 3);
});

const clusterRecord = (more: Partial<ClusterRecord> = {}): ClusterRecord => ({
  name: "n",
  team: "red",
  user: "ann",
  title: null,
  at: 0,
  jobs: 4,
  procs: 8,
  state: "in",
  upTo: null,
  most: null,
  held: {},
  ...more,
});

const jobStates = (...states: ("open" | "done" | null)[]): JobState[] =>
  states.map((status, index) => ({
    index,
    id: `wk-c1.${index}`,
    header: status === null ? null : ({ status, tasks: 2 } as JobHeader),
  }));

test("clusters: the start limit keeps the procs placed at the same time within max_materialize", () => {
  const rows: [Partial<ClusterRecord>, JobState[], number | null][] = [
    [{}, jobStates("open"), null],
    [{ upTo: 0, most: 4 }, jobStates("open", "open", "open", "open"), 2],
    [{ upTo: 2, most: 4 }, jobStates("done", "open", "open", "open"), 3],
    [{ upTo: 0, most: 1 }, jobStates("open", "open"), 1],
    [{ upTo: 1, most: 1 }, jobStates("done", "open"), 2],
    [{ upTo: 0, most: 100 }, jobStates("open", "open"), 2],
    // The limit never decreases, and never goes beyond the submitted jobs.
    [{ upTo: 3, most: 2 }, jobStates("open", "open", "open"), 3],
    [{ upTo: 0, most: 9 }, jobStates("open", null, "open"), 1],
  ];
  for (const [more, jobs, wanted] of rows)
    assert.equal(startLimit(clusterRecord(more), jobs), wanted);
});

test("clusters: periodic expressions see the job's state, and do not release a hold by the user", () => {
  const ad = (text: string): Ad => Ad.parse(text);
  const header = { at: 10_000, started: false };
  const rows: [string, string | null, boolean, number, string | null][] = [
    ["[PeriodicRemove = time() - QDate > 50]", null, false, 50_000, null],
    ["[PeriodicRemove = time() - QDate > 50]", null, false, 70_000, "remove"],
    ["[PeriodicHold = JobStatus == 2]", null, true, 0, "hold"],
    ["[PeriodicHold = JobStatus == 2]", null, false, 0, null],
    ["[PeriodicHold = NoSuch]", null, true, 0, null],
    ["[PeriodicRelease = true]", "by the user", false, 0, null],
    ["[PeriodicRelease = true]", "periodic_hold: x", false, 0, "release"],
    ["[PeriodicRemove = JobStatus == 5]", "by the user", false, 0, "remove"],
    ["[DeferralTime = 100; DeferralWindow = 10]", null, false, 160_000, null],
    ["[DeferralTime = 100; DeferralWindow = 10]", null, false, 180_000, "hold"],
    ["[DeferralTime = 100; DeferralWindow = 10]", null, true, 180_000, null],
  ];
  for (const [text, hold, started, wall, wanted] of rows) {
    assert.equal(
      requestedAction(ad(text), { ...header, started }, hold, wall)?.kind ?? null,
      wanted,
      text,
    );
  }
});

test("clusters: the holds in a record are bounded", () => {
  const some = withHold(clusterRecord(), [1, 2], "why");
  assert.deepEqual(some.held, { 1: "why", 2: "why" });
  assert.deepEqual(withRelease(some, [1])!.held, { 2: "why" });
  assert.deepEqual(withRelease(withHold(clusterRecord(), null, "all"), [0])!.held, {
    1: "all",
    2: "all",
    3: "all",
  });
  const large = clusterRecord({ jobs: 500 });
  const many = withHold(
    large,
    Array.from({ length: 100 }, (_, i) => i),
    "x".repeat(1000),
  );
  assert.deepEqual(Object.keys(many.held), ["*"]);
  assert.ok(JSON.stringify(many).length < 1000);
  assert.equal(withRelease(withHold(large, null, "all"), [3]), null);
});

test("frames: fields that expressions add to a summary are decoded; plain summaries keep the older frame kind", () => {
  const summary: Summary = {
    token: 1,
    seq: 2,
    kinds: [],
    waiting: 0,
    workS: 0,
    use: {},
    demand: [],
    short: {},
    need: [
      {
        cpus: 1,
        gpus: 0,
        memGb: 1,
        spot: true,
        types: [BY_REQUIREMENTS],
        zone: null,
        count: 3,
        job: "wk-1",
      },
    ],
    machines: [],
    retired: [],
    idle: {},
  };
  const over = (one: Summary): Summary => {
    const frame = decodeFrame(encodeFrame({ kind: "summary", part: 3, summary: one }).subarray(4));
    assert.equal(frame?.kind, "summary");
    return (frame as { summary: Summary }).summary;
  };
  assert.deepEqual(over(summary), summary);
  const told: Summary = { ...summary, need: [], progress: [["wk-1", 2, 5]], starved: 1, rooms: [] };
  assert.deepEqual(over(told), told);
  const plain = { ...summary, need: [] };
  // Frame kind 2 is known to every version.
  assert.equal(encodeFrame({ kind: "summary", part: 3, summary: plain })[4], 2);
  assert.equal(encodeFrame({ kind: "summary", part: 3, summary })[4], 4);
});

test("operators' settings: errors in machine ads and start expressions name file and line", async () => {
  const rows: [string, RegExp][] = [
    ['submit {\n  machine { ad: "Arch = " }\n}', /submit:2: machine ad, character 7/],
    ['submit {\n  machine { ad: "Cpus = 3" }\n}', /set by the program/],
    ['submit {\n  machine { start: "foo(1)" }\n}', /submit:2: start: no function foo/],
    ['submit {\n  machine { zone: "west" }\n}', /submit:2: machine: the platform has no zone west/],
    ["submit { patience_s: 0 }", /patience_s/],
    ["submit { colour: 1 }", /colour/],
  ];
  for (const [text, wanted] of rows) {
    await assert.rejects(
      loadExtension(text),
      (error) => error instanceof SettingsError && wanted.test(error.message),
      text,
    );
  }
});

test("deploy/submit.textproto parses and its machine ads match as described", async () => {
  const text = readFileSync(join(import.meta.dirname, "../../deploy/submit.textproto"), "utf8");
  const deployed = await createMatcher(text, TYPES);
  assert.equal(
    deployed.rank(specWithExpressions('Arch == "X86_64" && OpSys == "LINUX"'), kindOf("big"), null),
    0,
  );
  assert.equal(
    deployed.rank(specWithExpressions("", "", "[ NeverSpot = true ]"), kindOf("big"), null),
    null,
  );
});

test("docs/submit.md contains the program's table of all commands", () => {
  const page = readFileSync(join(import.meta.dirname, "../../docs/submit.md"), "utf8");
  assert.ok(page.includes(commandTable()), "docs/submit.md differs from the program's table");
  assert.ok(commands.size > 150);
});

test("a hundred thousand procs with equal plans become one job", () => {
  const world = textWorld({
    "job.sub": "executable = run\naccounting_group = red\narguments = $(ProcId)\nqueue 100000\n",
  });
  const options = {
    file: "job.sub",
    world,
    cluster: 1,
    team: null,
    user: "ann",
    timeZone: "Etc/UTC",
  };
  const cluster = planCluster(options);
  assert.deepEqual([cluster.procs, cluster.jobs.length], [100_000, 1]);
  assert.ok(world.now() === NOW);
  assert.throws(
    () =>
      planCluster({
        ...options,
        maxJobs: 3,
        world: textWorld({
          "job.sub":
            "executable = run\naccounting_group = red\nrequest_cpus = $INT(ProcId) + 1\nqueue 9\n",
        }),
      }),
    /more than 3 procs that differ/,
  );
});

test("paths are relative to the working directory, not to the submit file's directory", () => {
  const base = join(import.meta.dirname, "../../test/corpus");
  const cluster = planCluster({
    file: "submit/taken/001-plain.sub",
    world: localHost(base),
    cluster: 1,
    team: null,
    user: "ann",
    timeZone: "Etc/UTC",
  });
  assert.equal(cluster.procs, 1);
  const world = localHost(base);
  // Patterns match hidden files only if they start with a dot.
  assert.deepEqual(world.match("submit/data/*", "any"), [
    "submit/data/1.dat",
    "submit/data/2.dat",
    "submit/data/sub",
  ]);
  assert.deepEqual(world.match("submit/data/.h*", "files"), ["submit/data/.hidden"]);
  assert.deepEqual(world.match("submit/nowhere/*", "files"), []);
  assert.throws(() => world.read("nowhere.sub"));
});

test("the name of a pending submission is kept until it is answered", () => {
  const env = {
    XDG_STATE_HOME: join(process.env.TMPDIR ?? "/tmp", `birchdale-test-${process.pid}`),
  };
  const first = openPendingSubmission("digest", env);
  assert.equal(openPendingSubmission("digest", env).name, first.name);
  assert.notEqual(openPendingSubmission("other", env).name, first.name);
  first.complete();
  assert.notEqual(openPendingSubmission("digest", env).name, first.name);
  for (const digest of ["digest", "other"]) openPendingSubmission(digest, env).complete();
});
