import assert from "node:assert/strict";
import { existsSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { splitCommand } from "../src/lab/child-processes.js";
import { History } from "../src/lab/history.js";
import type { TimedEvent } from "../src/lab/messages.js";
import { regionalTeams } from "../src/lab/platform.js";
import { resourcesOf } from "../src/lab/process-usage.js";
import { RandomSource } from "../src/lab/random-source.js";
import { runScenario } from "../src/lab/run.js";
import { loadScenario, parseScenario, ScenarioError } from "../src/lab/scenario.js";

const PROGRAM = fileURLToPath(new URL("../src/main.js", import.meta.url));
const SMALL = fileURLToPath(new URL("../../deploy/small.lab.toml", import.meta.url));
const TARGET = fileURLToPath(new URL("../../deploy/target.lab.toml", import.meta.url));
const scenarioText = readFileSync(SMALL, "utf8");

const invalidScenarios: {
  name: string;
  original: string;
  replacement: string;
  expectedError: RegExp;
}[] = [
  {
    name: "no TOML",
    original: "seed = 1",
    replacement: "seed = = 1",
    expectedError: /^f\.toml:\d+: /,
  },
  {
    name: "an unknown field",
    original: "seed = 1",
    replacement: "sead = 1",
    expectedError: /^f\.toml: (sead|seed): /,
  },
  {
    name: "a share above 1",
    original: "share = 0.5",
    replacement: "share = 1.5",
    expectedError: /jobs\.0\.share: /,
  },
  {
    name: "shares that do not add up",
    original: "share = 0.5",
    replacement: "share = 0.4",
    expectedError: /jobs: .*add up/,
  },
  {
    name: "a zone without a region",
    original: 'region = "south"',
    replacement: 'region = "sud"',
    expectedError: /zones\.3\.region: there is no region sud/,
  },
  {
    name: "a region without a zone",
    original: 'region = "west"\n\n[[zones]]\nname = "west-b"\nregion = "west"',
    replacement: 'region = "south"\n\n[[zones]]\nname = "west-b"\nregion = "south"',
    expectedError: /regions\.2\.name: west has no zone/,
  },
  {
    name: "a region twice",
    original: 'name = "south"',
    replacement: 'name = "north"',
    expectedError: /regions\.1\.name: north is defined twice/,
  },
  {
    name: "a task larger than a machine",
    original: "cpus = 1.0\nmemory_gb = 2.6",
    replacement: "cpus = 13.0\nmemory_gb = 2.6",
    expectedError: /jobs\.0\.cpus: more CPUs than a machine has/,
  },
  {
    name: "a guarantee above the limit",
    original: "guarantee_cpus = 100.0",
    replacement: "guarantee_cpus = 500.0",
    expectedError: /teams\.guarantee_cpus: is above limit_cpus/,
  },
  {
    name: "cancel_s below lease_s",
    original: "cancel_s = 34.0",
    replacement: "cancel_s = 14.0",
    expectedError: /workers\.cancel_s: must be longer/,
  },
  {
    name: "too many processes",
    original: "processes = 2",
    replacement: "processes = 30",
    expectedError: /workers\.processes: 47 processes, at most 40/,
  },
];
for (const { name, original, replacement, expectedError } of invalidScenarios) {
  test(`lab: a file with ${name} is refused with field and reason`, () => {
    assert.ok(scenarioText.includes(original), original);
    assert.throws(
      () => parseScenario(scenarioText.replace(original, replacement), "f.toml"),
      (error: Error) => error instanceof ScenarioError && expectedError.test(error.message),
    );
  });
}

test("lab: both scenario files of the repository are valid, and --set overrides fields", () => {
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

test("lab: the regions' shares of a team's limit add up to no more than the limit", () => {
  for (const file of [SMALL, TARGET]) {
    const scenario = loadScenario(file);
    let limit = 0;
    for (const region of scenario.regions) limit += regionalTeams(scenario, region)[0]!.cpus_max;
    assert.ok(limit <= scenario.teams.limit_cpus, `${limit}`);
  }
});

test("lab: controllers run with the flags of the deployment's command", () => {
  const { nodeFlags, programFlags } = splitCommand(
    "node --a=1 --b target/bin/main.js --archive --config",
  );
  assert.deepEqual(nodeFlags, ["--a=1", "--b"]);
  assert.deepEqual(programFlags, ["--archive"]);
  assert.throws(() => splitCommand("node --config"), ScenarioError);
});

test("lab: random values repeat for a seed and match median, 95th percentile and maximum", () => {
  const distribution = { median: 40, p95: 150, max: 300 };
  const sortedSamples = (seed: number): number[] => {
    const randomSource = new RandomSource(seed);
    return Array.from({ length: 4000 }, () => randomSource.logNormal(distribution)).sort(
      (a, b) => a - b,
    );
  };
  const samples = sortedSamples(1);
  assert.deepEqual(samples, sortedSamples(1));
  assert.notDeepEqual(samples, sortedSamples(2));
  assert.ok(Math.abs(samples[2000]! - 40) < 4, `${samples[2000]}`);
  assert.ok(Math.abs(samples[3800]! - 150) < 20, `${samples[3800]}`);
  assert.ok(samples.at(-1)! <= 300);
});

test("lab: CPU time and memory of a process are read, and null for a process that is gone", () => {
  const resources = resourcesOf(process.pid)!;
  assert.ok(resources.cpuS > 0 && resources.residentMb > 10, JSON.stringify(resources));
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

const histories: {
  name: string;
  events: TimedEvent[];
  cancelledAt?: number;
  violatedRules: string[];
}[] = [
  {
    name: "restarted after its end",
    events: [started("wk-a/0", "x", 1), ended("wk-a/0", "x", 5), started("wk-a/0", "y", 6)],
    violatedRules: [],
  },
  {
    name: "on two machines at once",
    events: [started("wk-a/0", "x", 1), started("wk-a/0", "y", 6)],
    violatedRules: ["ran_twice"],
  },
  {
    name: "events out of order",
    events: [started("wk-a/0", "y", 6), started("wk-a/0", "x", 1), ended("wk-a/0", "x", 5)],
    violatedRules: [],
  },
  {
    name: "at the limit",
    events: [0, 1, 2, 3].map((n) => started(`wk-a/${n}`, "x", n)),
    violatedRules: [],
  },
  {
    name: "above the limit",
    events: [0, 1, 2, 3, 4].map((n) => started(`wk-a/${n}`, "x", n)),
    violatedRules: ["quota"],
  },
  {
    name: "cancelled, stopped in time",
    events: [started("wk-a/0", "x", 1), ended("wk-a/0", "x", 90, "stopped")],
    cancelledAt: 2,
    violatedRules: [],
  },
  {
    name: "cancelled and still running",
    events: [started("wk-a/0", "x", 1), started("wk-b/0", "x", 200)],
    cancelledAt: 2,
    violatedRules: ["ran_cancelled"],
  },
  {
    name: "started after a cancellation",
    events: [started("wk-a/0", "x", 150), ended("wk-a/0", "x", 160)],
    cancelledAt: 2,
    violatedRules: ["ran_cancelled"],
  },
];
for (const { name, events, cancelledAt, violatedRules } of histories) {
  test(`lab: rule violations in the workers' history: ${name}`, () => {
    const history = new History(new Map([["red", 4]]), 100, 2);
    history.setWindow(0, 1000);
    const job = { team: "red", priority: "urgent", cpus: 1, submittedAt: 0 } as const;
    history.submitted("wk-a", job);
    history.submitted("wk-b", job);
    if (cancelledAt !== undefined) history.cancelled("wk-a", cancelledAt);
    history.add(0, events, 1000);
    assert.deepEqual(history.violations, [], "the other source may still report earlier events");
    history.add(1, [], 1000);
    assert.deepEqual(
      history.violations.map(({ rule }) => rule),
      violatedRules,
    );
  });
}

test("lab: delays run from submission to a task's first start; jobs never started count as late", () => {
  const history = new History(new Map([["red", 100]]), 100, 1);
  history.setWindow(1000, 60_000);
  const job = { team: "red", priority: "urgent", cpus: 1 } as const;
  for (const [id, at] of [
    ["wk-a", 2000],
    ["wk-b", 3000],
    ["wk-c", 4000],
    ["wk-old", 500],
  ] as const)
    history.submitted(id, { ...job, submittedAt: at });
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
  assert.equal(history.repeatedStarts, 1);
  assert.deepEqual(history.begunWithin("urgent", 7000), { jobs: 3, share: 1 / 3 });
});

/** Pids of this process's children. */
const childPids = (): string[] =>
  existsSync(`/proc/${process.pid}/task/${process.pid}/children`)
    ? readFileSync(`/proc/${process.pid}/task/${process.pid}/children`, "utf8")
        .split(" ")
        .filter((pid) => pid !== "")
    : [];

const tinyScenario = (settings: string[], file = SMALL) =>
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

test("lab: a small run measures every role, violates no rule and ends its processes", async () => {
  const before = childPids();
  const scenario = tinyScenario(["faults.machine_restarts_per_day=100000", "faults.speed=1"]);
  const signal = new AbortController().signal;
  const results = await runScenario(
    { scenario, program: PROGRAM, onProgress: () => undefined },
    signal,
  );
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
  assert.deepEqual(childPids(), before);
});

test("lab: a run with all kinds of faults completes, logs each, and violates no rule", async () => {
  const before = childPids();
  const scenario = tinyScenario(
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
  const progress: string[] = [];
  const options = {
    scenario,
    program: PROGRAM,
    onProgress: (text: string) => void progress.push(text),
  };
  const results = await runScenario(options, new AbortController().signal);
  const wasLogged = (pattern: RegExp): boolean => progress.some((text) => pattern.test(text));
  for (const pattern of [/killed$/, /^2 machines lost$/, /out$/, /back$/, /drained$/])
    assert.ok(wasLogged(pattern), `${pattern} in ${progress.join("; ")}`);
  assert.deepEqual(results.violations, []);
  // A controller killed by the run does not count as an unexpected exit.
  assert.deepEqual(results.controllerEnds, []);
  assert.ok(results.jobs.accepted > 0);
  assert.ok((results.configuration?.changes ?? 0) > 0);
  assert.deepEqual(childPids(), before);
});

test("lab: an interrupted run ends its processes, and its results are marked incomplete", async () => {
  const before = childPids();
  const stop = new AbortController();
  const run = runScenario(
    { scenario: tinyScenario(["length_s=60"]), program: PROGRAM, onProgress: () => undefined },
    stop.signal,
  );
  setTimeout(() => stop.abort(), 4000);
  assert.equal((await run).complete, false);
  assert.deepEqual(childPids(), before);
});

test("lab: a run above its memory limit fails with the figures and ends its processes", async () => {
  const before = childPids();
  const options = {
    scenario: tinyScenario(["length_s=60"]),
    program: PROGRAM,
    onProgress: () => undefined,
  };
  const run = runScenario({ ...options, maxResidentMb: 100 }, new AbortController().signal);
  await assert.rejects(
    run,
    /^Error: the run uses \d+ MB of resident memory, more than the limit of 100$/,
  );
  assert.deepEqual(childPids(), before);
});

test("lab: a controller that does not start fails the run with a reason and ends its processes", async () => {
  const before = childPids();
  const scenario = tinyScenario(["controllers.tuning=nonsense"]);
  const signal = new AbortController().signal;
  const run = runScenario({ scenario, program: PROGRAM, onProgress: () => undefined }, signal);
  await assert.rejects(run, /(north|south|west)-\d ended with 1/);
  assert.deepEqual(childPids(), before);
});
