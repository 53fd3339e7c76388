/** Results of a run: a JSON document, and the same as a text table. */
import { cpus } from "node:os";
import type { Histogram } from "hdr-histogram-js";
import type { Priority } from "../wire/jobs.js";
import type { History, Violation } from "./history.js";
import type { ConfigurationDelay, Figures, UserCounts } from "./messages.js";
import type { Scenario } from "./scenario.js";

/** Resource use of all processes of one role over the measured window. */
export interface RoleFigures {
  role: string;
  processes: number;
  /** CPU use in cores, of all processes together. */
  cores: number;
  /** CPU use of the process that used most. */
  mostCores: number;
  /** Peak resident memory of the largest process, MB. */
  residentMb: number;
  heapMb: number | null;
  /** Requests received a second; null where they are not counted. */
  requestsPerS: number | null;
  kbInPerS: number;
  kbOutPerS: number;
}

/** A controller's CPU use over the window, and its memory, leadership and parts at the end. */
export interface ControllerFigures {
  name: string;
  cores: number;
  residentMb: number;
  leads: boolean;
  parts: number;
}

/** Distribution of delays, milliseconds. */
export interface Delays {
  count: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
}

export interface PriorityResults {
  jobs: number;
  jobStart: Delays;
  taskStart: Delays;
  /**
   * Of the jobs submitted at least 7 s before the window's end, the share that started within 7 s.
   */
  begunWithin7s: { jobs: number; share: number };
}

/** A region's state service: rates and counts over the window; keys and their size at its end. */
export interface StateResults {
  region: string;
  requestsPerS: number;
  changesPerS: number;
  kbWrittenPerS: number;
  refusedRequests: number;
  refusedChanges: number;
  conflicts: number;
  keys: number;
  kbKept: number;
}

/** Control overhead of a worker, as the mean over all workers and the window. */
export interface WorkerResults {
  workers: number;
  tasksPerWorker: number;
  reportsPerS: number;
  refusedReportsShare: number;
  bytesOutPerS: number;
  bytesInPerS: number;
  /** CPU and memory of the workers' processes, divided by the number of workers. */
  cores: number;
  mb: number;
}

export interface LabResults {
  label: string;
  scenario: Scenario;
  machine: { cores: number; model: string; node: string };
  /** Whether the run reached the end of its window without being interrupted. */
  complete: boolean;
  windowS: number;
  roles: RoleFigures[];
  controllers: ControllerFigures[];
  worker: WorkerResults;
  tasks: {
    running: number;
    startsPerS: number;
    endsPerS: number;
    repeatedStarts: number;
    endsByCause: Record<string, number>;
  };
  jobs: UserCounts;
  priorities: Partial<Record<Priority, PriorityResults>>;
  state: StateResults[];
  /** Configuration changes of all regions; each region has its own revisions. */
  configuration: {
    changes: number;
    notInForce: number;
    failures: string[];
    inForceMs: Delays;
  } | null;
  violations: Violation[];
  /** Controllers that exited without being killed by the run, with exit code or signal. */
  controllerEnds: string[];
}

export const delaysOf = (histogram: Histogram): Delays => ({
  count: histogram.totalCount,
  p50: histogram.getValueAtPercentile(50),
  p90: histogram.getValueAtPercentile(90),
  p99: histogram.getValueAtPercentile(99),
  max: histogram.maxValue,
});

const BEGUN_WITHIN_MS = 7000;

export function prioritiesOf(history: History): LabResults["priorities"] {
  const results: LabResults["priorities"] = {};
  for (const [priority, { jobs, firstStarts, starts }] of history.waits) {
    if (jobs === 0) continue;
    results[priority] = {
      jobs,
      jobStart: delaysOf(firstStarts),
      taskStart: delaysOf(starts),
      begunWithin7s: history.begunWithin(priority, BEGUN_WITHIN_MS),
    };
  }
  return results;
}

type FiguresOf<R extends Figures["role"]> = Extract<Figures, { role: R }>;

export const figuresOf = <R extends Figures["role"]>(
  role: R,
  all: readonly (Figures | null)[],
): FiguresOf<R>[] => all.filter((one): one is FiguresOf<R> => one !== null && one.role === role);

export function stateResults(
  region: string,
  before: Figures | null,
  after: Figures | null,
  seconds: number,
): StateResults {
  const [first] = figuresOf("state", [before]);
  const [last] = figuresOf("state", [after]);
  const increase = (name: keyof FiguresOf<"state">["use"]): number =>
    (last?.use[name] ?? 0) - (first?.use[name] ?? 0);
  return {
    region,
    requestsPerS: increase("requests") / seconds,
    changesPerS: increase("changes") / seconds,
    kbWrittenPerS: increase("bytesWritten") / 1024 / seconds,
    refusedRequests: increase("refusedRequests"),
    refusedChanges: increase("refusedChanges"),
    conflicts: increase("conflicts"),
    keys: last?.keys ?? 0,
    kbKept: (last?.bytesKept ?? 0) / 1024,
  };
}

export function workerResults(
  before: readonly (Figures | null)[],
  after: readonly (Figures | null)[],
  cores: number,
  mb: number,
  seconds: number,
): WorkerResults {
  const totals = (all: readonly (Figures | null)[]) => {
    const sum = { workers: 0, reports: 0, refused: 0, bytesOut: 0, bytesIn: 0, tasks: 0 };
    for (const { traffic, tasks } of figuresOf("workers", all)) {
      sum.workers += traffic.workers;
      sum.reports += traffic.reports;
      sum.refused += traffic.refused;
      sum.bytesOut += traffic.bytesOut;
      sum.bytesIn += traffic.bytesIn;
      sum.tasks += tasks;
    }
    return sum;
  };
  const [start, end] = [totals(before), totals(after)];
  const workers = Math.max(1, (start.workers + end.workers) / 2);
  const reports = end.reports - start.reports;
  return {
    workers: end.workers,
    tasksPerWorker: (start.tasks + end.tasks) / 2 / workers,
    reportsPerS: reports / seconds,
    refusedReportsShare: reports === 0 ? 0 : (end.refused - start.refused) / reports,
    bytesOutPerS: (end.bytesOut - start.bytesOut) / workers / seconds,
    bytesInPerS: (end.bytesIn - start.bytesIn) / workers / seconds,
    cores: cores / workers,
    mb: mb / workers,
  };
}

export function configurationResults(
  delays: readonly ConfigurationDelay[],
  failures: readonly string[],
  histogram: Histogram,
): LabResults["configuration"] {
  if (delays.length === 0 && failures.length === 0) return null;
  let notInForce = 0;
  for (const { inForceMs } of delays) {
    if (inForceMs === null) notInForce++;
    else histogram.recordValue(Math.max(1, Math.round(inForceMs)));
  }
  return {
    changes: delays.length,
    notInForce,
    failures: [...failures],
    inForceMs: delaysOf(histogram),
  };
}

export const machineOf = (): LabResults["machine"] => ({
  cores: cpus().length,
  model: cpus()[0]?.model ?? "",
  node: process.version,
});

const cell = (value: number | string | null, digits = 0): string =>
  value === null ? "-" : typeof value === "string" ? value : value.toFixed(digits);

/** Aligns columns: the first one to the left, the others to the right. */
function table(rows: readonly (readonly string[])[]): string {
  const widths = rows[0]!.map((_, i) => Math.max(...rows.map((row) => row[i]!.length)));
  const line = (row: readonly string[]): string =>
    row
      .map((text, i) => (i === 0 ? text.padEnd(widths[i]!) : text.padStart(widths[i]!)))
      .join("  ");
  return rows.map(line).join("\n");
}

/** Formats the results as the text that the command prints. */
export function tableOf(results: LabResults): string {
  const { roles, priorities, tasks, state, worker, jobs, configuration, violations } = results;
  const sections = [
    table([
      ["role", "processes", "cores", "most", "MB", "heap MB", "requests/s", "KB/s in", "KB/s out"],
      ...roles.map((one) => [
        one.role,
        cell(one.processes),
        cell(one.cores, 3),
        cell(one.mostCores, 3),
        cell(one.residentMb),
        cell(one.heapMb),
        cell(one.requestsPerS),
        cell(one.kbInPerS),
        cell(one.kbOutPerS),
      ]),
    ]),
    table([
      ["priority", "jobs", "job p50", "p90", "p99", "max s", "task p50", "p99 s", "within 7 s"],
      ...Object.entries(priorities).map(([priority, one]) => [
        priority,
        cell(one.jobs),
        cell(one.jobStart.p50 / 1000, 1),
        cell(one.jobStart.p90 / 1000, 1),
        cell(one.jobStart.p99 / 1000, 1),
        cell(one.jobStart.max / 1000, 1),
        cell(one.taskStart.p50 / 1000, 1),
        cell(one.taskStart.p99 / 1000, 1),
        `${cell(one.begunWithin7s.share, 3)} of ${one.begunWithin7s.jobs}`,
      ]),
    ]),
    table([
      ["state", "requests/s", "changes/s", "KB/s", "refused", "refused changes", "keys", "KB kept"],
      ...state.map((one) => [
        one.region,
        cell(one.requestsPerS),
        cell(one.changesPerS, 1),
        cell(one.kbWrittenPerS),
        cell(one.refusedRequests),
        cell(one.refusedChanges),
        cell(one.keys),
        cell(one.kbKept),
      ]),
    ]),
    `tasks: ${tasks.running} running, ${cell(tasks.startsPerS, 1)} starts/s, ` +
      `${cell(tasks.endsPerS, 1)} ends/s, ${tasks.repeatedStarts} started again; ` +
      Object.entries(tasks.endsByCause)
        .map(([cause, count]) => `${cause} ${count}`)
        .join(", "),
    `per worker (of ${worker.workers}, ${cell(worker.tasksPerWorker, 1)} tasks each): ` +
      `${cell(worker.bytesOutPerS)} bytes/s out, ${cell(worker.bytesInPerS)} in, ` +
      `${cell(100 * worker.cores, 2)}% of a core, ${cell(worker.mb, 1)} MB`,
    `jobs: ${jobs.submitted} submitted, ${jobs.accepted} accepted, ${jobs.done} done, ` +
      `${jobs.cancelled} cancelled, ${jobs.failed} failed, ${jobs.open} open`,
  ];
  if (configuration !== null) {
    const { changes, notInForce, failures, inForceMs } = configuration;
    sections.push(
      `configuration: ${changes} changes, in force p50 ${inForceMs.p50} ms, p99 ${inForceMs.p99}, ` +
        `max ${inForceMs.max}, ${notInForce} not in force yet, ${failures.length} failed ${failures[0] ?? ""}`,
    );
  }
  for (const exit of results.controllerEnds) sections.push(`by itself: ${exit}`);
  const violationLines = violations.map(({ rule, detail }) => `broken: ${rule}: ${detail}`);
  sections.push(
    violationLines.length === 0 ? "no rule broken" : violationLines.slice(0, 20).join("\n"),
  );
  return `${results.label}\n\n${sections.slice(0, 3).join("\n\n")}\n\n${sections.slice(3).join("\n")}\n`;
}
