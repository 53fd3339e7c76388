import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { build } from "hdr-histogram-js";
import type { Figures } from "../src/lab/messages.js";
import { RandomSource } from "../src/lab/random-source.js";
import {
  configurationResults,
  type LabResults,
  stateResults,
  tableOf,
  workerResults,
} from "../src/lab/results.js";
import { loadScenario, processesOf } from "../src/lab/scenario.js";
import { quantitiesOf, slopeOf, sweepRuns } from "./support/sweep.js";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const RUNS = `${ROOT}docs/capacity/runs/`;

const stateFigures = (requests: number, changes: number, refused: number): Figures => ({
  role: "state",
  use: {
    requests,
    changes,
    bytesWritten: changes * 1024,
    refusedRequests: 0,
    refusedChanges: refused,
    conflicts: 1,
  },
  keys: 7,
  bytesKept: 2048,
});

test("lab: a state service's rates cover the window, its keys and their size are as at its end", () => {
  const results = stateResults("north", stateFigures(100, 50, 2), stateFigures(300, 90, 5), 20);
  assert.deepEqual(results, {
    region: "north",
    requestsPerS: 10,
    changesPerS: 2,
    kbWrittenPerS: 2,
    refusedRequests: 0,
    refusedChanges: 3,
    conflicts: 0,
    keys: 7,
    kbKept: 2,
  });
});

const workerFigures = (workers: number, reports: number, refused: number): Figures => ({
  role: "workers",
  traffic: { workers, reports, refused, bytesOut: reports * 800, bytesIn: reports * 200 },
  tasks: workers * 10,
});

test("lab: a worker's figures are means over all processes, except those without figures", () => {
  const before = [workerFigures(40, 1000, 10), workerFigures(60, 0, 0), null];
  const after = [workerFigures(40, 1400, 14), workerFigures(60, 600, 0), stateFigures(1, 1, 1)];
  const results = workerResults(before, after, 0.2, 50, 20);
  assert.equal(results.workers, 100);
  assert.equal(results.tasksPerWorker, 10);
  assert.equal(results.reportsPerS, 50);
  assert.equal(results.refusedReportsShare, 4 / 1000);
  assert.equal(results.bytesOutPerS, 400);
  assert.equal(results.bytesInPerS, 100);
  assert.deepEqual([results.cores, results.mb], [0.002, 0.5]);
});

test("lab: results list changes not in force yet and failed changes besides the delays", () => {
  const delays = [100, 300, null, 200].map((inForceMs) => ({ committedAt: 0, inForceMs }));
  const emptyHistogram = () =>
    build({ highestTrackableValue: 10_000, numberOfSignificantValueDigits: 3 });
  const results = configurationResults(delays, ["why"], emptyHistogram());
  assert.equal(results?.changes, 4);
  assert.equal(results?.notInForce, 1);
  assert.deepEqual(results?.failures, ["why"]);
  assert.deepEqual([results?.inForceMs.count, results?.inForceMs.max], [3, 300]);
  assert.equal(configurationResults([], [], emptyHistogram()), null);
  assert.equal(configurationResults([], ["never"], emptyHistogram())?.changes, 0);
});

const slopes: {
  name: string;
  points: [number, number][];
  slope: number;
  at0: number;
  power: number;
}[] = [
  {
    name: "a line",
    points: [
      [1, 3],
      [2, 5],
      [4, 9],
    ],
    slope: 2,
    at0: 1,
    power: Math.log(3) / Math.log(4),
  },
  {
    name: "through 0",
    points: [
      [1, 2],
      [2, 4],
      [4, 8],
    ],
    slope: 2,
    at0: 0,
    power: 1,
  },
  {
    name: "flat",
    points: [
      [1, 5],
      [2, 5],
    ],
    slope: 0,
    at0: 5,
    power: 0,
  },
];
for (const { name, points, slope, at0, power } of slopes) {
  test(`sweep: ${name}: slope, value at 0 and power`, () => {
    const fit = slopeOf(points);
    for (const [actual, expected] of [
      [fit.slope, slope],
      [fit.at0, at0],
      [fit.powerLawExponent, power],
      [fit.maxDeviation, 0],
    ] as const)
      assert.ok(Math.abs(actual - expected) < 1e-9, `${actual} for ${expected}`);
    assert.equal(fit.points, points.length);
  });
}

test("sweep: for points that are not on a line, deviation and power are computed", () => {
  const { maxDeviation: off, powerLawExponent: power } = slopeOf([
    [1, 1],
    [2, 4],
    [4, 16],
  ]);
  assert.ok(Math.abs(power - 2) < 1e-9);
  assert.ok(off > 0.05 && off < 0.2, `${off}`);
});

test("sweep: every run's overrides are valid for its file, within the limit of processes", () => {
  const names = new Set<string>();
  for (const { name, file, set } of sweepRuns()) {
    const scenario = loadScenario(`${ROOT}${file}`, set);
    assert.ok(processesOf(scenario) <= 40, name);
    assert.ok(!names.has(name), name);
    names.add(name);
  }
});

test("sweep: each stored result belongs to a run of the sweep, and violated no rule", () => {
  const names = new Set(sweepRuns().map(({ name }) => name));
  const files = readdirSync(RUNS);
  assert.ok(files.length > 0);
  for (const file of files) {
    assert.ok(names.has(file.replace(/\.json$/, "")), file);
    const results = JSON.parse(readFileSync(RUNS + file, "utf8")) as LabResults;
    assert.deepEqual(results.violations, [], file);
    assert.ok(results.complete, file);
    assert.ok(quantitiesOf(results)["reports/s"]! > 0, file);
  }
});

test("lab: the table lists each role, priority, region, violation and controller that exited", () => {
  const results = JSON.parse(readFileSync(`${RUNS}drained-1.json`, "utf8")) as LabResults;
  const table = tableOf(results);
  for (const { role } of results.roles) assert.ok(table.includes(`\n${role} `), role);
  for (const priority of Object.keys(results.priorities))
    assert.ok(table.includes(`\n${priority} `));
  for (const { region } of results.state) assert.ok(table.includes(`\n${region} `), region);
  assert.match(table, /\nno rule broken\n$/);
  const tableWithViolation = tableOf({
    ...results,
    violations: [{ rule: "quota", at: 1, detail: "red uses 9 of 8" }],
    controllerEnds: ["north-1 ended with SIGSEGV"],
  });
  assert.match(
    tableWithViolation,
    /\nby itself: north-1 ended with SIGSEGV\nbroken: quota: red uses 9 of 8\n$/,
  );
});

test("lab: random classes match their shares, intervals their rate; a rate of 0 gives no event", () => {
  const scenario = loadScenario(`${ROOT}deploy/small.lab.toml`);
  const randomSource = new RandomSource(3);
  const counts = new Map<string, number>();
  const drawCount = 5000;
  for (let n = 0; n < drawCount; n++) {
    const { name } = randomSource.jobClass(scenario);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  for (const { name, share } of scenario.jobs)
    assert.ok(Math.abs((counts.get(name) ?? 0) / drawCount - share) < 0.03, name);
  let totalMs = 0;
  for (let n = 0; n < drawCount; n++) totalMs += randomSource.interArrivalMs(4);
  assert.ok(Math.abs(totalMs / drawCount - 250) < 15, `${totalMs / drawCount}`);
  assert.equal(randomSource.interArrivalMs(0), Number.POSITIVE_INFINITY);
  for (let n = 0; n < 100; n++) assert.ok([0, 1, 2].includes(randomSource.index(3)));
});
