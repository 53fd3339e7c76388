/** Runs a scenario: starts the platform, warms up, measures, and ends all processes it started. */
import { build } from "hdr-histogram-js";
import { JobClient } from "../client/client.js";
import { systemClock } from "../clock.js";
import { HttpClient } from "../http/client.js";
import type { ControllerProcess, LabProcess } from "./child-processes.js";
import { FaultInjector } from "./fault-injector.js";
import { History } from "./history.js";
import { emptyUserCounts, type Figures, sharedNow, type UserCounts } from "./messages.js";
import { LabPlatform } from "./platform.js";
import type { ProcessUsage, Resources } from "./process-usage.js";
import {
  configurationResults,
  figuresOf,
  type LabResults,
  machineOf,
  prioritiesOf,
  type RoleFigures,
  stateResults,
  workerResults,
} from "./results.js";
import { type Scenario, SERVICES_PER_REGION, teamNames } from "./scenario.js";

const PROGRESS_INTERVAL_MS = 5000;
const METRICS_TIMEOUT_MS = 2000;
const BYTES_PER_MB = 1024 * 1024;
const MAX_IN_FORCE_MS = 600_000;
/** Default limit on the resident memory of all processes of a run together. */
const MAX_RESIDENT_MB = 8192;

export interface RunOptions {
  scenario: Scenario;
  /** Path of this program, which all processes run. */
  program: string;
  /** Called with progress, one line at a time. */
  onProgress(text: string): void;
  /** The run is aborted if all processes together hold more resident memory; default 8 GB. */
  maxResidentMb?: number;
}

/** The processes of one role, with the resources each had used at the time of the sample. */
interface RoleSample {
  role: string;
  usages: ProcessUsage[];
  resources: Resources[];
}

interface Sample {
  at: number;
  roles: RoleSample[];
  figures: (Figures | null)[];
}

/** Resolves after `ms`, or as soon as the signal is aborted. */
function abortableSleep(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    const end = (): void => {
      timer.cancel();
      signal.removeEventListener("abort", end);
      resolve();
    };
    const timer = systemClock.after(ms, end);
    signal.addEventListener("abort", end);
  });
}

/** @throws Error when a process does not start; all processes have been ended by then */
export async function runScenario(
  { scenario, program, onProgress, maxResidentMb = MAX_RESIDENT_MB }: RunOptions,
  signal: AbortSignal,
): Promise<LabResults> {
  const { teams, workers } = scenario;
  const limits = new Map(teamNames(scenario).map((name) => [name, teams.limit_cpus]));
  const history = new History(limits, workers.cancel_s * 1000, workers.processes);
  const platform = new LabPlatform(scenario, program, history);
  const faults = new FaultInjector(platform, onProgress);
  try {
    onProgress("starting");
    await platform.start();
    return await measure(platform, history, faults, { onProgress, maxResidentMb }, signal);
  } finally {
    faults.stop();
    await platform.stop();
  }
}

async function measure(
  platform: LabPlatform,
  history: History,
  faults: FaultInjector,
  { onProgress, maxResidentMb }: Required<Pick<RunOptions, "onProgress" | "maxResidentMb">>,
  signal: AbortSignal,
): Promise<LabResults> {
  const { scenario } = platform;
  const stop = new AbortController();
  const interrupt = (): void => stop.abort();
  signal.addEventListener("abort", interrupt, { once: true });
  if (signal.aborted) interrupt();
  let memoryExceeded: string | null = null;
  const startedAt = sharedNow();
  const from = startedAt + scenario.warmup_s * 1000;
  history.setWindow(from, from + scenario.length_s * 1000);
  platform.startLoad();
  faults.start();
  const progress = setInterval(() => {
    const seconds = Math.round((sharedNow() - startedAt) / 1000);
    const mb = residentMb(platform);
    if (mb > maxResidentMb) {
      memoryExceeded = `the run uses ${Math.round(mb)} MB of resident memory, more than the limit of ${maxResidentMb}`;
      stop.abort();
    }
    onProgress(
      `${seconds} s: ${platform.runningMachines.size} machines, ${history.running} tasks running`,
    );
  }, PROGRESS_INTERVAL_MS);
  try {
    await abortableSleep(from - sharedNow(), stop.signal);
    const before = await sample(platform);
    onProgress("measuring");
    await abortableSleep(from + scenario.length_s * 1000 - sharedNow(), stop.signal);
    if (memoryExceeded !== null) throw new Error(memoryExceeded);
    const after = await sample(platform);
    const controllerStates = await Promise.all(platform.controllers.map(controllerState));
    return resultsOf(platform, history, before, after, controllerStates, !signal.aborted);
  } finally {
    clearInterval(progress);
    signal.removeEventListener("abort", interrupt);
  }
}

function rolesOf({
  regions,
  workerProcesses,
}: LabPlatform): { role: string; usages: ProcessUsage[] }[] {
  const usageOf = ({ usage }: LabProcess | ControllerProcess): ProcessUsage => usage;
  return [
    { role: "controllers", usages: regions.flatMap(({ controllers }) => controllers.map(usageOf)) },
    { role: "workers", usages: workerProcesses.map(usageOf) },
    { role: "state services", usages: regions.map(({ state }) => usageOf(state)) },
    { role: "clouds", usages: regions.map(({ cloud }) => usageOf(cloud)) },
    { role: "users", usages: regions.map(({ users }) => usageOf(users)) },
  ];
}

/**
 * Resident memory of all processes of the run. Samples each of them, which also updates its peak.
 */
function residentMb(platform: LabPlatform): number {
  let sum = 0;
  for (const { usages } of rolesOf(platform)) {
    for (const usage of usages) sum += usage.sample().residentMb;
  }
  return sum;
}

async function sample(platform: LabPlatform): Promise<Sample> {
  const figures = await Promise.all(platform.processes.map((one) => one.sample()));
  const roles = rolesOf(platform).map(({ role, usages }) => ({
    role,
    usages,
    resources: usages.map((usage) => usage.sample()),
  }));
  return { at: sharedNow(), roles, figures };
}

/** State of a controller at the end of the window, as it reports it. */
interface ControllerState {
  /** Heap in use, MB; null if not reported. */
  heapMb: number | null;
  leads: boolean;
  parts: number;
}

interface StatusView {
  node: string;
  leads: boolean;
  parts: { owner: string | null }[];
}

async function controllerState({ listen }: ControllerProcess): Promise<ControllerState> {
  const http = new HttpClient(listen, 1, systemClock);
  const jobs = new JobClient(listen, systemClock, http);
  try {
    const text = await http.text("/metrics", METRICS_TIMEOUT_MS);
    const match = /^birchdale_heap_bytes (\S+)$/m.exec(text);
    const { node, leads, parts } = (await jobs.status()) as StatusView;
    return {
      heapMb: match === null ? null : Number(match[1]) / BYTES_PER_MB,
      leads,
      parts: parts.filter(({ owner }) => owner === node).length,
    };
  } catch {
    return { heapMb: null, leads: false, parts: 0 };
  } finally {
    http.close();
  }
}

function roleFigures(
  { role, usages, resources: before }: RoleSample,
  { resources: after }: RoleSample,
  seconds: number,
  heaps: readonly (number | null)[],
  requestsPerS: number | null,
): RoleFigures {
  const cores = after.map(({ cpuS }, i) => (cpuS - before[i]!.cpuS) / seconds);
  const sum = (pick: (one: Resources) => number): number =>
    after.reduce((total, one, i) => total + pick(one) - pick(before[i]!), 0);
  const known = heaps.filter((heap) => heap !== null);
  return {
    role,
    processes: usages.length,
    cores: cores.reduce((total, one) => total + one, 0),
    mostCores: Math.max(...cores),
    residentMb: Math.max(...usages.map(({ peakMb }) => peakMb)),
    heapMb: known.length === 0 ? null : Math.max(...known),
    requestsPerS,
    kbInPerS: sum(({ bytesIn }) => bytesIn) / 1024 / seconds,
    kbOutPerS: sum(({ bytesOut }) => bytesOut) / 1024 / seconds,
  };
}

function resultsOf(
  platform: LabPlatform,
  history: History,
  before: Sample,
  after: Sample,
  controllerStates: readonly ControllerState[],
  complete: boolean,
): LabResults {
  const { scenario, regions } = platform;
  const heaps = controllerStates.map(({ heapMb }) => heapMb);
  const seconds = Math.max(0.001, (after.at - before.at) / 1000);
  const state = regions.map(({ region }, i) => {
    // `LabPlatform.processes` lists each region's state service first.
    const at = i * SERVICES_PER_REGION;
    return stateResults(region.name, before.figures[at]!, after.figures[at]!, seconds);
  });
  const workerUse = after.roles[1]!;
  const workerCores = workerUse.resources.reduce(
    (sum, { cpuS }, i) => sum + (cpuS - before.roles[1]!.resources[i]!.cpuS) / seconds,
    0,
  );
  const workerMb = workerUse.resources.reduce((sum, { residentMb }) => sum + residentMb, 0);
  const worker = workerResults(before.figures, after.figures, workerCores, workerMb, seconds);
  const requests: (number | null)[] = [
    worker.reportsPerS,
    worker.reportsPerS,
    state.reduce((sum, { requestsPerS }) => sum + requestsPerS, 0),
    null,
    null,
  ];
  const users = figuresOf("users", after.figures);
  const jobs = emptyUserCounts();
  for (const { counts } of users) {
    for (const name of Object.keys(jobs) as (keyof UserCounts)[]) jobs[name] += counts[name];
  }
  const changes = users.flatMap(({ configuration }) => configuration);
  return {
    label: `${scenario.name}: measured on this machine, ${seconds.toFixed(0)} s`,
    scenario,
    machine: machineOf(),
    complete,
    windowS: seconds,
    roles: after.roles.map((role, i) =>
      roleFigures(before.roles[i]!, role, seconds, i === 0 ? heaps : [], requests[i]!),
    ),
    controllers: platform.controllers.map(({ name }, i) => {
      const { cpuS, residentMb } = after.roles[0]!.resources[i]!;
      const cores = (cpuS - before.roles[0]!.resources[i]!.cpuS) / seconds;
      return {
        name,
        cores,
        residentMb,
        leads: controllerStates[i]!.leads,
        parts: controllerStates[i]!.parts,
      };
    }),
    worker,
    tasks: {
      running: history.running,
      startsPerS: history.starts / seconds,
      endsPerS: history.ends / seconds,
      repeatedStarts: history.repeatedStarts,
      endsByCause: Object.fromEntries(history.causes),
    },
    jobs,
    priorities: prioritiesOf(history),
    state,
    configuration: configurationResults(
      changes.filter(({ committedAt }) => committedAt >= before.at),
      users.flatMap(({ failures }) => failures),
      build({ highestTrackableValue: MAX_IN_FORCE_MS, numberOfSignificantValueDigits: 3 }),
    ),
    violations: history.violations,
    controllerEnds: platform.controllers.flatMap(({ unexpectedExits }) => unexpectedExits),
  };
}
