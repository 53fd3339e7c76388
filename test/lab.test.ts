import assert from "node:assert/strict";
import { existsSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { splitCommand } from "../src/lab/children.js";
import { Draw } from "../src/lab/draw.js";
import { History } from "../src/lab/history.js";
import type { TimedEvent } from "../src/lab/messages.js";
import { regionalTeams } from "../src/lab/platform.js";
import { resourcesOf } from "../src/lab/resources.js";
import { runScenario } from "../src/lab/run.js";
import { loadScenario, parseScenario, ScenarioError } from "../src/lab/scenario.js";

const PROGRAM = fileURLToPath(new URL("../src/main.js", import.meta.url));
const SMALL = fileURLToPath(new URL("../../deploy/small.lab.toml", import.meta.url));
const TARGET = fileURLToPath(new URL("../../deploy/target.lab.toml", import.meta.url));
const text = readFileSync(SMALL, "utf8");

const faults: { name: string; from: string; to: string; says: RegExp }[] = [
  { name: "no TOML", from: "seed = 1", to: "seed = = 1", says: /^f\.toml:\d+: / },
  { name: "an unknown field", from: "seed = 1", to: "sead = 1", says: /^f\.toml: (sead|seed): / },
  { name: "a share above 1", from: "share = 0.5", to: "share = 1.5", says: /jobs\.0\.share: / },
  {
    name: "shares that do not add up",
    from: "share = 0.5",
    to: "share = 0.4",
    says: /jobs: .*add up/,
  },
  {
    name: "a zone without a region",
    from: 'region = "south"',
    to: 'region = "sud"',
    says: /zones\.3\.region: there is no region sud/,
  },
  {
    name: "a region without a zone",
    from: 'region = "west"\n\n[[zones]]\nname = "west-b"\nregion = "west"',
    to: 'region = "south"\n\n[[zones]]\nname = "west-b"\nregion = "south"',
    says: /regions\.2\.name: west has no zone/,
  },
  {
    name: "a region twice",
    from: 'name = "south"',
    to: 'name = "north"',
    says: /regions\.1\.name: north is there twice/,
  },
  {
    name: "a task larger than a machine",
    from: "cpus = 1.0\nmemory_gb = 2.6",
    to: "cpus = 13.0\nmemory_gb = 2.6",
    says: /jobs\.0\.cpus: more than a machine has/,
  },
  {
    name: "a guarantee above the limit",
    from: "guarantee_cpus = 100.0",
    to: "guarantee_cpus = 500.0",
    says: /teams\.guarantee_cpus: is above limit_cpus/,
  },
  {
    name: "cancel_s below lease_s",
    from: "cancel_s = 34.0",
    to: "cancel_s = 14.0",
    says: /workers\.cancel_s: must be longer/,
  },
  {
    name: "too many processes",
    from: "processes = 2",
    to: "processes = 30",
    says: /workers\.processes: 47 processes, at most 40/,
  },
];
for (const { name, from, to, says } of faults) {
  test(`lab: a file with ${name} is refused with field and reason`, () => {
    assert.ok(text.includes(from), from);
    assert.throws(
      () => parseScenario(text.replace(from, to), "f.toml"),
      (error: Error) => error instanceof ScenarioError && says.test(error.message),
    );
  });
}

test("lab: both files of the repository are read, and fields are changed by --set", () => {
  assert.equal(loadScenario(SMALL).teams.count, 13);
  const target = loadScenario(TARGET, [
    "teams.count=20",
    "regions.0.name=x",
    "zones.0.region=x",
    "zones.1.region=x",
    "zones.2.region=x",
  ]);
  assert.equal(target.teams.count, 20);
  assert.equal(target.regions[0]!.name, "x");
  assert.throws(() => loadScenario(SMALL, ["team.count=20"]), /there is no team/);
  assert.throws(() => loadScenario("nowhere.toml"), /nowhere\.toml: there is no such file/);
});

test("lab: what the regions hold of a limit is never more than the limit", () => {
  for (const file of [SMALL, TARGET]) {
    const scenario = loadScenario(file);
    let limit = 0;
    for (const region of scenario.regions) limit += regionalTeams(scenario, region)[0]!.cpus_max;
    assert.ok(limit <= scenario.teams.limit_cpus, `${limit}`);
  }
});

test("lab: the flags of controllers are those of the deployment", () => {
  const { nodeFlags, programFlags } = splitCommand(
    "node --a=1 --b target/bin/main.js --archive --config",
  );
  assert.deepEqual(nodeFlags, ["--a=1", "--b"]);
  assert.deepEqual(programFlags, ["--archive"]);
  assert.throws(() => splitCommand("node --config"), ScenarioError);
});

test("lab: draws repeat by their seed and keep to median, 95th hundredth and maximum", () => {
  const sizes = { median: 40, p95: 150, max: 300 };
  const many = (seed: number): number[] => {
    const draw = new Draw(seed);
    return Array.from({ length: 4000 }, () => draw.from(sizes)).sort((a, b) => a - b);
  };
  const drawn = many(1);
  assert.deepEqual(drawn, many(1));
  assert.notDeepEqual(drawn, many(2));
  assert.ok(Math.abs(drawn[2000]! - 40) < 4, `${drawn[2000]}`);
  assert.ok(Math.abs(drawn[3800]! - 150) < 20, `${drawn[3800]}`);
  assert.ok(drawn.at(-1)! <= 300);
});

test("lab: a process's processor time and memory are read, and nothing of one that is gone", () => {
  const own = resourcesOf(process.pid)!;
  assert.ok(own.cpuS > 0 && own.residentMb > 10, JSON.stringify(own));
  assert.equal(resourcesOf(2 ** 22 + 1), null);
});

const started = (piece: string, host: string, at: number): TimedEvent => ({
  kind: "started",
  piece,
  host,
  berth: "a",
  cause: "",
  at,
});
const ended = (piece: string, host: string, at: number, cause = "done"): TimedEvent => ({
  ...started(piece, host, at),
  kind: "ended",
  cause,
});

const histories: { name: string; events: TimedEvent[]; cancelledAt?: number; broken: string[] }[] =
  [
    {
      name: "one after the other",
      events: [started("wk-a/0", "x", 1), ended("wk-a/0", "x", 5), started("wk-a/0", "y", 6)],
      broken: [],
    },
    {
      name: "in two places at once",
      events: [started("wk-a/0", "x", 1), started("wk-a/0", "y", 6)],
      broken: ["ran_twice"],
    },
    {
      name: "told out of order",
      events: [started("wk-a/0", "y", 6), started("wk-a/0", "x", 1), ended("wk-a/0", "x", 5)],
      broken: [],
    },
    {
      name: "at the limit",
      events: [0, 1, 2, 3].map((n) => started(`wk-a/${n}`, "x", n)),
      broken: [],
    },
    {
      name: "above the limit",
      events: [0, 1, 2, 3, 4].map((n) => started(`wk-a/${n}`, "x", n)),
      broken: ["quota"],
    },
    {
      name: "cancelled, gone in time",
      events: [started("wk-a/0", "x", 1), ended("wk-a/0", "x", 90, "stopped")],
      cancelledAt: 2,
      broken: [],
    },
    {
      name: "cancelled and still there",
      events: [started("wk-a/0", "x", 1), started("wk-b/0", "x", 200)],
      cancelledAt: 2,
      broken: ["ran_cancelled"],
    },
    {
      name: "started after a cancellation",
      events: [started("wk-a/0", "x", 150), ended("wk-a/0", "x", 160)],
      cancelledAt: 2,
      broken: ["ran_cancelled"],
    },
  ];
for (const { name, events, cancelledAt, broken } of histories) {
  test(`lab: rules in the workers' history: ${name}`, () => {
    const history = new History(new Map([["red", 4]]), 100, 2);
    history.measure(0, 1000);
    const job = { team: "red", priority: "urgent", cpus: 1, at: 0 } as const;
    history.submitted("wk-a", job);
    history.submitted("wk-b", job);
    if (cancelledAt !== undefined) history.cancelled("wk-a", cancelledAt);
    history.add(0, events, 1000);
    assert.deepEqual(history.violations, [], "the other source may still tell of earlier ones");
    history.add(1, [], 1000);
    assert.deepEqual(
      history.violations.map(({ rule }) => rule),
      broken,
    );
  });
}

test("lab: delays count from submission to a task's first start, jobs that never begin as late", () => {
  const history = new History(new Map([["red", 100]]), 100, 1);
  history.measure(1000, 60_000);
  const job = { team: "red", priority: "urgent", cpus: 1 } as const;
  for (const [id, at] of [
    ["wk-a", 2000],
    ["wk-b", 3000],
    ["wk-c", 4000],
    ["wk-old", 500],
  ] as const)
    history.submitted(id, { ...job, at });
  const events = [
    started("wk-old/0", "x", 2000),
    started("wk-a/0", "x", 4000),
    ended("wk-a/0", "x", 5000, "stopped"),
    started("wk-a/0", "x", 30_000),
    started("wk-a/1", "x", 31_000),
    started("wk-b/0", "x", 13_000),
  ];
  history.add(0, events, 60_000);
  const { jobs, firstStarts, starts } = history.waits.get("urgent")!;
  assert.deepEqual([jobs, firstStarts.totalCount, starts.totalCount], [3, 2, 3]);
  assert.equal(history.repeated, 1);
  assert.deepEqual(history.begunWithin("urgent", 7000), { jobs: 3, share: 1 / 3 });
});

/** Processes whose parent is this one. */
const children = (): string[] =>
  existsSync(`/proc/${process.pid}/task/${process.pid}/children`)
    ? readFileSync(`/proc/${process.pid}/task/${process.pid}/children`, "utf8")
        .split(" ")
        .filter((pid) => pid !== "")
    : [];

const tiny = (settings: string[], file = SMALL) =>
  loadScenario(file, [
    "regions.0.machines=4",
    "regions.1.machines=3",
    "regions.2.machines=3",
    "workers.report_s=0.5",
    "workers.lease_s=4",
    "workers.cancel_s=10",
    "arrivals.jobs_per_s=2",
    "arrivals.initial_jobs=2",
    "workers.processes=2",
    "warmup_s=2",
    "length_s=4",
    ...settings,
  ]);

test("lab: a small run measures every role, breaks no rule and ends all that it started", async () => {
  const before = children();
  const scenario = tiny(["faults.machine_restarts_per_day=100000", "faults.speed=1"]);
  const signal = new AbortController().signal;
  const results = await runScenario({ scenario, program: PROGRAM, say: () => undefined }, signal);
  assert.deepEqual(results.violations, []);
  assert.ok(results.complete);
  assert.ok(results.tasks.startsPerS > 0);
  assert.ok(results.jobs.accepted > 0);
  assert.equal(results.worker.workers > 0 && results.worker.bytesOutPerS > 0, true);
  for (const { role, cores, residentMb } of results.roles)
    assert.ok(cores >= 0 && residentMb > 10, role);
  // One leader in each region, and every part has an owner.
  assert.equal(results.controllers.filter(({ leads }) => leads).length, 3);
  assert.equal(
    results.controllers.reduce((sum, { parts }) => sum + parts, 0),
    7,
  );
  assert.ok(results.state.every(({ requestsPerS }) => requestsPerS > 0));
  assert.deepEqual(children(), before);
});

test("lab: a run with all its faults goes on, tells of each, and breaks no rule", async () => {
  const before = children();
  const scenario = tiny(
    [
      "length_s=10",
      "teams.count=4",
      "faults.controller_killed_at_s=2",
      "faults.controller_back_after_s=2",
      "faults.controller_drained_at_s=9",
      "faults.machines_lost.at_s=3",
      "faults.machines_lost.count=2",
      "faults.state_out.at_s=5",
      "faults.state_out.length_s=1",
      "faults.machine_failures_per_day=100",
      "faults.machine_restarts_per_day=400",
    ],
    TARGET,
  );
  const said: string[] = [];
  const options = { scenario, program: PROGRAM, say: (text: string) => void said.push(text) };
  const results = await runScenario(options, new AbortController().signal);
  const told = (pattern: RegExp): boolean => said.some((text) => pattern.test(text));
  for (const pattern of [/killed$/, /^2 machines lost$/, /out$/, /back$/, /drained$/])
    assert.ok(told(pattern), `${pattern} in ${said.join("; ")}`);
  assert.deepEqual(results.violations, []);
  // One that the run has killed has not ended by itself.
  assert.deepEqual(results.controllerEnds, []);
  assert.ok(results.jobs.accepted > 0);
  assert.ok((results.configuration?.changes ?? 0) > 0);
  assert.deepEqual(children(), before);
});

test("lab: an interrupted run ends all that it started, and says that it is not complete", async () => {
  const before = children();
  const stop = new AbortController();
  const run = runScenario(
    { scenario: tiny(["length_s=60"]), program: PROGRAM, say: () => undefined },
    stop.signal,
  );
  setTimeout(() => stop.abort(), 4000);
  assert.equal((await run).complete, false);
  assert.deepEqual(children(), before);
});

test("lab: a run that holds more memory than it may ends with the figures, and all that it started", async () => {
  const before = children();
  const options = { scenario: tiny(["length_s=60"]), program: PROGRAM, say: () => undefined };
  const run = runScenario({ ...options, mostMb: 100 }, new AbortController().signal);
  await assert.rejects(run, /^Error: the run holds \d+ MB, at most 100$/);
  assert.deepEqual(children(), before);
});

test("lab: a controller that does not come up ends the run with a reason, and all that it started", async () => {
  const before = children();
  const scenario = tiny(["controllers.tuning=nonsense"]);
  const signal = new AbortController().signal;
  const run = runScenario({ scenario, program: PROGRAM, say: () => undefined }, signal);
  await assert.rejects(run, /(north|south|west)-\d ended with 1/);
  assert.deepEqual(children(), before);
});
