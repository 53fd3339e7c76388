import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { Ad } from "../src/classad/index.js";
import { plan } from "../src/cloud/plan.js";
import type { JobHeader } from "../src/jobs/job-header.js";
import type { KindCapacity, Summary } from "../src/part/summary.js";
import { decodeFrame, encodeFrame } from "../src/peer/frames.js";
import { SettingsError } from "../src/settings/settings.js";
import {
  analyze,
  commands,
  commandTable,
  Matcher,
  planCluster,
  readSettings,
  realWorld,
  requestedAction,
  startLimit,
} from "../src/submit/index.js";
import type { JobState } from "../src/submit/site/cluster-index.js";
import { type ClusterRecord, withHold, withRelease } from "../src/submit/site/records.js";
import { openPendingSubmission } from "../src/submit/user/pending.js";
import { BY_REQUIREMENTS, type JobSpec, parseSubmission } from "../src/wire/jobs.js";
import { kindAllowed, typeFits } from "../src/workers/machine.js";
import { PlacementConstraints } from "../src/workers/placement-constraints.js";
import { PlacingBench, plainSpec } from "./support/placement-bench.js";
import { extensionOf, matchingOf, NOW, textWorld, typeOf } from "./support/submit.js";

const TYPES = new Map(
  [typeOf("small", 4, 8), typeOf("big", 32, 128)].map((type) => [type.name, type]),
);
const SITE = `submit {
  machine { ad: "Arch = \\"X86_64\\"" }
  machine { type: "big" ad: "KFlops = 2000" }
  machine { type: "small" ad: "Idle = Busy == false" }
  machine { type: "small" ad: "KFlops = 1000" ad: "Busy = Cpus < TotalCpus" }
}`;
const matching = await matchingOf(SITE, TYPES);

const picky = (requirements: string, rank = "", ad = "", more: Partial<JobSpec> = {}): JobSpec => ({
  ...plainSpec,
  types: [BY_REQUIREMENTS],
  match: { ad, requirements, rank, atOnce: null },
  ...more,
});

const kind = (type: string, zone = "north", spot = true) => ({ type, zone, spot });

test("matching: what changes with a machine's room is asked anew while a job waits", () => {
  const bench = new PlacingBench(TYPES, matching);
  bench.machine("big-1", "big", "north", true);
  const filler = bench.job({ cpus: 8, tasks: 3 });
  bench.pass();
  assert.equal(bench.where(filler).length, 3);
  const waits = bench.job(picky("Cpus >= 16"));
  const alone = bench.job(picky("Memory == TotalMemory"));
  bench.pass();
  assert.deepEqual(bench.where(waits), []);
  bench.clear(filler);
  for (const chunk of bench.ledger.jobs.get(filler)!.chunks.values()) chunk.movingTo = 1;
  bench.pass();
  // The first takes its place, and then the machine is not empty any more.
  assert.deepEqual(bench.where(waits), ["big-1"]);
  assert.deepEqual(bench.where(alone), []);
});

test("matching: a gang whose tasks match only across zones starts across zones, or not at all", () => {
  const gang = picky("KFlops > 1500", "", "", { kind: "gang", tasks: 2, cpus: 20 });
  for (const [oneZone, wanted] of [
    [false, ["big-n", "big-s"]],
    [true, []],
  ] as const) {
    const bench = new PlacingBench(TYPES, matching);
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
  const bench = new PlacingBench(TYPES, matching);
  for (const [name, type] of [
    ["s1", "small"],
    ["b1", "big"],
    ["s2", "small"],
    ["b2", "big"],
  ] as const) {
    bench.machine(name, type, "north", true);
  }
  const id = bench.job(picky("", "KFlops", "", { kind: "gang", tasks: 2, cpus: 4 }));
  bench.pass();
  assert.deepEqual(new Set(bench.where(id)), new Set(["b1"]));
  const low = bench.job(picky("", "-KFlops", "", { kind: "gang", tasks: 2, cpus: 4 }));
  bench.pass();
  assert.deepEqual(bench.where(low).sort(), ["s1", "s2"]);
});

test("rank orders machines, never jobs or teams: the same tasks start with it and without", () => {
  const order = (rank: string): string[] => {
    const bench = new PlacingBench(TYPES, matching, ["red", "blue"]);
    bench.machine("s1", "small", "north", false);
    bench.machine("s2", "small", "north", true);
    const red = bench.job(picky("", rank, "", { team: "red", tasks: 6 }));
    const blue = bench.job({ team: "blue", tasks: 6 });
    bench.pass();
    return [`${bench.where(red).length}`, `${bench.where(blue).length}`];
  };
  assert.deepEqual(order(""), ["4", "4"]);
  assert.deepEqual(order("1000000"), ["4", "4"]);
  assert.deepEqual(order("-1000000"), ["4", "4"]);
});

test("rank: what a job likes best may be dear; what is rented for it is still the cheapest that will do", () => {
  const places = new PlacementConstraints(matching);
  const spec = picky("TotalCpus >= 4", "Spot == false");
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
  const wishes = plan([need], [], TYPES, offers, 50, suits);
  assert.deepEqual(
    wishes.map(({ offer }) => offer.spot),
    [true],
  );
  const only = plan([need], [], TYPES, offers, 50, (_, { type }) => type.name === "big");
  assert.deepEqual(
    only.map(({ offer }) => offer.type.name),
    ["big"],
  );
});

test("a controller of the version before refuses such a job, starts none of it and rents nothing for it", () => {
  // What it sees: the header's fields that it knows of.
  const { match: _, ...seen } = picky("true");
  for (const type of TYPES.values()) {
    assert.equal(typeFits(seen, type), false, "it answers 422");
    assert.equal(
      kindAllowed(seen, kind(type.name)),
      false,
      "it places nothing, and stops nobody for it",
    );
  }
  const offers = [...TYPES.values()].map((type) => ({ type, zone: "north", spot: true, price: 1 }));
  const need = { cpus: 1, gpus: 0, memGb: 1, spot: true, types: seen.types, zone: null, count: 2 };
  assert.deepEqual(plan([need], [], TYPES, offers, 50), []);
  // And what it would take by mistake, a job that also names types, nobody takes.
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
  // Without the package, nothing is a place for it, and nothing is wanted for it.
  const places = new PlacementConstraints(null);
  assert.equal(places.allows(picky("true"), kind("big")), false);
  assert.equal(places.cannotStart("wk-1", picky("true")), true);
  assert.equal(places.allows(plainSpec, kind("big")), true);
});

test("an expression is evaluated once for a kind of machine, and again only for what changes", () => {
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
  const fixed = picky('Arch == "X86_64"', "TotalCpus");
  const byRoom = picky("Cpus > 2");
  const byTime = picky("time() < 1000");
  const room = { cpus: 3, gpus: 0, memGb: 4 };
  const cost = (spec: JobSpec, times: number): number => {
    const before = matcher.evaluations;
    for (let i = 0; i < times; i++) matcher.rank(spec, kind("small"), { ...room });
    return matcher.evaluations - before;
  };
  assert.equal(cost(fixed, 1000), 2, "requirements and rank");
  assert.equal(cost({ ...fixed, match: { ...fixed.match! } }, 1000), 0, "a job that is alike");
  assert.equal(cost(byRoom, 1000), 1);
  room.cpus = 2;
  assert.equal(cost(byRoom, 1000), 1);
  assert.equal(matcher.rank(byRoom, kind("small"), room), null);
  assert.equal(cost(byTime, 1000), 1);
  now = 2000;
  assert.equal(cost(byTime, 1000), 1);
  assert.equal(matcher.rank(byTime, kind("small"), room), null);
  assert.equal(
    matcher.equivalenceKey(fixed),
    matcher.equivalenceKey({ ...fixed, match: { ...fixed.match! } }),
  );
  assert.equal(matcher.equivalenceKey(byRoom), null);
  assert.equal(matcher.equivalenceKey(byTime), null);
  for (const clock of ["time()", "currentTime()", 'formatTime() == ""', "absTime() =!= 1"]) {
    assert.equal(matcher.equivalenceKey(picky(`${clock} || true`)), null, clock);
  }
  assert.notEqual(matcher.equivalenceKey(picky('formatTime(0) == ""')), null);
});

test("attributes that operators make of what is free change with it", () => {
  const bench = new PlacingBench(TYPES, matching);
  bench.machine("s1", "small", "north", true);
  const first = bench.job(picky("Busy == false"));
  const second = bench.job(picky("Busy == false"));
  bench.pass();
  assert.deepEqual([bench.where(first), bench.where(second)], [["s1"], []]);
});

test("also through attributes of another rule", () => {
  assert.equal(matching.equivalenceKey(picky("Idle")), null);
  assert.notEqual(matching.equivalenceKey(picky("KFlops > 1")), null);
});

test("what one team's job has found out says nothing of another team's", async () => {
  const start = `submit { machine { type: "small" start: "TARGET.Team == \\"blue\\"" } }`;
  const bench = new PlacingBench(TYPES, await matchingOf(start, TYPES), ["red", "blue"]);
  bench.machine("s1", "small", "north", true);
  const red = bench.job(picky("true", "", "", { team: "red" }));
  const blue = bench.job(picky("true", "", "", { team: "blue" }));
  bench.pass();
  assert.deepEqual([bench.where(red), bench.where(blue)], [[], ["s1"]]);
});

test("analyze: each clause alone, together, and by what it excludes", () => {
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
    { ...kind("small"), capacity: 40, free: 40, most: 4 },
    { ...kind("small", "south", false), capacity: 8, free: 8, most: 4 },
    { ...kind("big"), capacity: 96, free: 96, most: 32 },
  ];
  const look = (spec: JobSpec) => analyze(spec, matcher, rooms, TYPES, ["north", "south"]);
  const found = look(picky('Arch == "X86_64" && Fast && Zone == "south" && Ram > 1'));
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
  const one = look(picky("Fast && Spot"));
  assert.deepEqual([one.matching, one.refusing, one.clauses[0]!.excludes], [0, 3, 10]);
  const two = look(picky("Fast", "", "", { cpus: 2 }));
  assert.deepEqual([two.matching, two.refusing], [3, 0]);
  assert.equal(look(picky("", "", "", { cpus: 16 })).fitting, 3);
});

const record = (more: Partial<ClusterRecord> = {}): ClusterRecord => ({
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

const jobsOf = (...states: ("open" | "done" | null)[]): JobState[] =>
  states.map((status, index) => ({
    index,
    id: `wk-c1.${index}`,
    header: status === null ? null : ({ status, tasks: 2 } as JobHeader),
  }));

test("clusters: so many jobs may start that no more procs than allowed are placed at a time", () => {
  const rows: [Partial<ClusterRecord>, JobState[], number | null][] = [
    [{}, jobsOf("open"), null],
    [{ upTo: 0, most: 4 }, jobsOf("open", "open", "open", "open"), 2],
    [{ upTo: 2, most: 4 }, jobsOf("done", "open", "open", "open"), 3],
    [{ upTo: 0, most: 1 }, jobsOf("open", "open"), 1],
    [{ upTo: 1, most: 1 }, jobsOf("done", "open"), 2],
    [{ upTo: 0, most: 100 }, jobsOf("open", "open"), 2],
    // Never taken back, and never beyond what is there.
    [{ upTo: 3, most: 2 }, jobsOf("open", "open", "open"), 3],
    [{ upTo: 0, most: 9 }, jobsOf("open", null, "open"), 1],
  ];
  for (const [more, jobs, wanted] of rows) assert.equal(startLimit(record(more), jobs), wanted);
});

test("clusters: periodic expressions see the job's state, and the user's hold stays the user's", () => {
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

test("clusters: holds stay within a record", () => {
  const some = withHold(record(), [1, 2], "why");
  assert.deepEqual(some.held, { 1: "why", 2: "why" });
  assert.deepEqual(withRelease(some, [1])!.held, { 2: "why" });
  assert.deepEqual(withRelease(withHold(record(), null, "all"), [0])!.held, {
    1: "all",
    2: "all",
    3: "all",
  });
  const large = record({ jobs: 500 });
  const many = withHold(
    large,
    Array.from({ length: 100 }, (_, i) => i),
    "x".repeat(1000),
  );
  assert.deepEqual(Object.keys(many.held), ["*"]);
  assert.ok(JSON.stringify(many).length < 1000);
  assert.equal(withRelease(withHold(large, null, "all"), [3]), null);
});

test("frames: what expressions add to a summary comes through, and only then", () => {
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
  // The kind of frame that every version knows.
  assert.equal(encodeFrame({ kind: "summary", part: 3, summary: plain })[4], 2);
  assert.equal(encodeFrame({ kind: "summary", part: 3, summary })[4], 4);
});

test("operators' settings: machine ads and start expressions, with file and line of a mistake", async () => {
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
      extensionOf(text),
      (error) => error instanceof SettingsError && wanted.test(error.message),
      text,
    );
  }
});

test("deploy/submit.textproto is what it says", async () => {
  const text = readFileSync(join(import.meta.dirname, "../../deploy/submit.textproto"), "utf8");
  const deployed = await matchingOf(text, TYPES);
  assert.equal(deployed.rank(picky('Arch == "X86_64" && OpSys == "LINUX"'), kind("big"), null), 0);
  assert.equal(deployed.rank(picky("", "", "[ NeverSpot = true ]"), kind("big"), null), null);
});

test("docs/submit.md has every command of the language, as the program treats it", () => {
  const page = readFileSync(join(import.meta.dirname, "../../docs/submit.md"), "utf8");
  assert.ok(page.includes(commandTable()), "the table is not the program's");
  assert.ok(commands.size > 150);
});

test("a large cluster is read at once: a hundred thousand procs are one job", () => {
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

test("files are found from the folder that the command runs in, also for a file in another one", () => {
  const base = join(import.meta.dirname, "../../test/corpus");
  const cluster = planCluster({
    file: "submit/taken/001-plain.sub",
    world: realWorld(base),
    cluster: 1,
    team: null,
    user: "ann",
    timeZone: "Etc/UTC",
  });
  assert.equal(cluster.procs, 1);
  const world = realWorld(base);
  // Found step by step, hidden files only when they are named.
  assert.deepEqual(world.match("submit/data/*", "any"), [
    "submit/data/1.dat",
    "submit/data/2.dat",
    "submit/data/sub",
  ]);
  assert.deepEqual(world.match("submit/data/.h*", "files"), ["submit/data/.hidden"]);
  assert.deepEqual(world.match("submit/nowhere/*", "files"), []);
  assert.throws(() => world.read("nowhere.sub"));
});

test("the name of a hand-in is kept until it is answered", () => {
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
