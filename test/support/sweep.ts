/** The runs of the capacity sweep, and the regression lines through their results. */
import { linearRegression, linearRegressionLine } from "simple-statistics";
import type { LabResults } from "../../src/lab/index.js";

export interface SweepRun {
  /** The count that is varied and its value. */
  name: string;
  file: string;
  set: string[];
}

const SWEEP = "deploy/sweep.lab.toml";
const TARGET = "deploy/target.lab.toml";

/** Tasks that end rarely: machines stay full, and waiting jobs go on waiting. */
const longRuns = [0, 1].flatMap((job) => [
  `jobs.${job}.run_s.median=600`,
  `jobs.${job}.run_s.p95=900`,
  `jobs.${job}.run_s.max=1000`,
]);

/** By the count that is varied: its path in the file, its values, and other changes to the file. */
const sweptCounts: Record<string, { path: string; values: number[]; more?: string[] }> = {
  machines: { path: "regions.0.machines", values: [200, 400, 800] },
  starts: { path: "arrivals.jobs_per_s", values: [0.4, 0.8, 1.6] },
  // Jobs that make progress, so task starts grow with them.
  backlog: { path: "arrivals.initial_jobs", values: [20, 300, 900] },
  // Jobs that wait while machines are full.
  open: {
    path: "arrivals.initial_jobs",
    values: [250, 500, 1000],
    more: ["arrivals.jobs_per_s=0.02", ...longRuns],
  },
  teams: { path: "teams.count", values: [40, 80, 130] },
  controllers: { path: "regions.0.controllers", values: [3, 5, 7] },
};

/** The counts of the target file times `share`, without its faults at fixed times. */
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
    `faults.controller_killed_at_s=${NEVER_S}`,
    `faults.machines_lost.at_s=${NEVER_S}`,
    `faults.state_out.at_s=${NEVER_S}`,
  ];
}

const NEVER_S = 100_000;

/** Fifty machines with 12 or 40 tasks each that end rarely or all the time: a worker's traffic. */
function workerRuns(): SweepRun[] {
  const cases = [
    { tasks: 12, cpus: 1, initial: 25, busyPerS: 2 },
    { tasks: 40, cpus: 0.3, initial: 85, busyPerS: 6.5 },
  ];
  return cases.flatMap(({ tasks, cpus, initial, busyPerS }) =>
    [
      { name: `worker_idle-${tasks}`, run: { median: 600, p95: 900, max: 1000 }, perS: 0.02 },
      { name: `worker_busy-${tasks}`, run: { median: 10, p95: 15, max: 20 }, perS: busyPerS },
    ].map(({ name, run, perS }) => ({
      name,
      file: SWEEP,
      set: [
        "regions.0.machines=50",
        `arrivals.initial_jobs=${initial}`,
        `arrivals.jobs_per_s=${perS}`,
        ...[0, 1].flatMap((job) => [
          `jobs.${job}.cpus=${cpus}`,
          `jobs.${job}.memory_gb=0.5`,
          ...Object.entries(run).map(([key, value]) => `jobs.${job}.run_s.${key}=${value}`),
        ]),
      ],
    })),
  );
}

/** The target file with its faults, and with a controller that does not restart. */
function faultRuns(): SweepRun[] {
  return [
    { name: "faults-1", file: TARGET, set: [] },
    {
      name: "one_lost-1",
      file: TARGET,
      set: [
        ...scaled(1).filter((one) => !one.startsWith("faults.controller")),
        "faults.controller_killed_at_s=30",
        `faults.controller_back_after_s=${NEVER_S}`,
      ],
    },
    {
      name: "drained-1",
      file: TARGET,
      set: [...scaled(1), "faults.controller_drained_at_s=30"],
    },
    // As many machines as a zone has, from any zones, and a controller that does not restart.
    {
      name: "zone_lost-1",
      file: TARGET,
      set: [
        ...scaled(1).filter((one) => !/^faults\.(controller|machines_lost)/.test(one)),
        "faults.controller_killed_at_s=60",
        `faults.controller_back_after_s=${NEVER_S}`,
        "faults.machines_lost.at_s=60",
        "faults.machines_lost.count=229",
      ],
    },
  ];
}

export function sweepRuns(): SweepRun[] {
  const runs = Object.entries(sweptCounts).flatMap(([name, { path, values, more = [] }]) =>
    values.map((value) => ({
      name: `${name}-${value}`,
      file: SWEEP,
      set: [`${path}=${value}`, ...more],
    })),
  );
  const sizes = [0.1, 0.25, 0.5, 1].map((share) => ({
    name: `whole-${share}`,
    file: TARGET,
    set: scaled(share),
  }));
  return [...runs, ...workerRuns(), ...sizes, ...faultRuns()];
}

/** The quantities that a run consumed, by name with unit. */
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

/** A regression line by least squares. */
export interface Slope {
  points: number;
  slope: number;
  /** The value of the line at 0. */
  at0: number;
  /** The largest deviation of a point from the line, as a share of the largest value. */
  maxDeviation: number;
  /** Exponent of a power law through the first and last point: 1 is linear. */
  powerLawExponent: number;
}

/** @param points as x and y, at least two */
export function slopeOf(points: readonly [number, number][]): Slope {
  const line = linearRegression([...points]);
  const at = linearRegressionLine(line);
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const off = Math.max(...points.map(([x, y]) => Math.abs(y - at(x)))) / largest;
  const [[x0, y0], [x1, y1]] = [points[0]!, points.at(-1)!];
  const power = Math.log(y1 / y0) / Math.log(x1 / x0);
  return {
    points: points.length,
    slope: line.m,
    at0: line.b,
    maxDeviation: off,
    powerLawExponent: power,
  };
}
