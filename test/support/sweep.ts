/** The runs of the sweep, and the lines through their results. */
import { linearRegression, linearRegressionLine } from "simple-statistics";
import type { LabResults } from "../../src/lab/index.js";

export interface SweepRun {
  /** What is changed, and to what. */
  name: string;
  file: string;
  set: string[];
}

const SWEEP = "deploy/sweep.lab.toml";
const TARGET = "deploy/target.lab.toml";

/** By what is changed: the path in the file, and its values. */
const counts: Record<string, { path: string; values: number[] }> = {
  machines: { path: "regions.0.machines", values: [200, 400, 800] },
  starts: { path: "arrivals.jobs_per_s", values: [0.4, 0.8, 1.6] },
  open: { path: "arrivals.initial_jobs", values: [20, 300, 900] },
  teams: { path: "teams.count", values: [40, 80, 130] },
  controllers: { path: "regions.0.controllers", values: [3, 5, 7] },
};

/** The target file's counts at a share of them; a calm run, without its faults at fixed times. */
function scaled(share: number): string[] {
  const whole = (value: number): number => Math.max(1, Math.round(value * share));
  const machines = [686, 457, 457].map((count, i) => `regions.${i}.machines=${whole(count)}`);
  return [
    ...machines,
    `teams.count=${whole(130)}`,
    `arrivals.jobs_per_s=${5 * share}`,
    `arrivals.initial_jobs=${whole(420)}`,
    `faults.machine_failures_per_day=${22 * share}`,
    `faults.machine_restarts_per_day=${300 * share}`,
    "faults.controller_killed_at_s=100000",
    "faults.machines_lost.at_s=100000",
    "faults.state_out.at_s=100000",
  ];
}

export function sweepRuns(): SweepRun[] {
  const runs = Object.entries(counts).flatMap(([name, { path, values }]) =>
    values.map((value) => ({
      name: `${name}-${value}`,
      file: SWEEP,
      set: [`${path}=${value}`],
    })),
  );
  const sizes = [0.1, 0.25, 0.5, 1].map((share) => ({
    name: `whole-${share}`,
    file: TARGET,
    set: scaled(share),
  }));
  return [...runs, ...sizes];
}

/** What a run costs: by name, with its unit. */
export function quantitiesOf({ roles, state, worker, tasks }: LabResults): Record<string, number> {
  const controllers = roles.find(({ role }) => role === "controllers")!;
  const sum = (pick: (one: LabResults["state"][number]) => number): number =>
    state.reduce((total, one) => total + pick(one), 0);
  return {
    "controllers, cores": controllers.cores,
    "largest controller, MB": controllers.residentMb,
    "largest controller's heap, MB": controllers.heapMb ?? Number.NaN,
    "controllers in, KB/s": controllers.kbInPerS,
    "controllers out, KB/s": controllers.kbOutPerS,
    "state, requests/s": sum(({ requestsPerS }) => requestsPerS),
    "state, changes/s": sum(({ changesPerS }) => changesPerS),
    "state, KB written/s": sum(({ kbWrittenPerS }) => kbWrittenPerS),
    "state, KB kept": sum(({ kbKept }) => kbKept),
    "reports/s": worker.reportsPerS,
    "worker out, bytes/s": worker.bytesOutPerS,
    "worker in, bytes/s": worker.bytesInPerS,
    "starts/s": tasks.startsPerS,
  };
}

/** A line by least squares. */
export interface Slope {
  points: number;
  slope: number;
  at0: number;
  /** The farthest point from the line, as a share of the largest value. */
  off: number;
  /** Of a power law through the first and last point: 1 is linear. */
  power: number;
}

/** @param points as x and y, at least two */
export function slopeOf(points: readonly [number, number][]): Slope {
  const line = linearRegression([...points]);
  const at = linearRegressionLine(line);
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const off = Math.max(...points.map(([x, y]) => Math.abs(y - at(x)))) / largest;
  const [[x0, y0], [x1, y1]] = [points[0]!, points.at(-1)!];
  const power = Math.log(y1 / y0) / Math.log(x1 / x0);
  return { points: points.length, slope: line.m, at0: line.b, off, power };
}
