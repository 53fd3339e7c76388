/** One run: starts the platform, warms up, measures, and ends all that it started. */
import { build } from "hdr-histogram-js";
import { JobClient } from "../client/client.js";
import { systemClock } from "../clock.js";
import { HttpClient } from "../http/client.js";
import type { ControllerProcess, LabProcess } from "./children.js";
import { Faults } from "./faults.js";
import { History } from "./history.js";
import { type Figures, noCounts, sharedNow, type UserCounts } from "./messages.js";
import { LabPlatform } from "./platform.js";
import type { ProcessUse, Resources } from "./resources.js";
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

const PROGRESS_MS = 5000;
const METRICS_MS = 2000;
const MB = 1024 * 1024;
const LONGEST_MS = 600_000;
/** Resident memory of all processes of a run together. */
const MOST_MB = 8192;

export interface RunOptions {
  scenario: Scenario;
  /** The program that all processes run: this one. */
  program: string;
  /** Progress, a line at a time. */
  say(text: string): void;
  /** More resident memory of all processes ends the run; 8 GB if it is not given. */
  mostMb?: number;
}

/** All processes of one role, with what they had used by some moment. */
interface RoleSample {
  role: string;
  uses: ProcessUse[];
  resources: Resources[];
}

interface Sample {
  at: number;
  roles: RoleSample[];
  figures: (Figures | null)[];
}

/** Resolves after the time, or as soon as the run is interrupted. */
function wait(ms: number, signal: AbortSignal): Promise<void> {
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

/** @throws Error when something does not come up; all that was started has ended then */
export async function runScenario(
  { scenario, program, say, mostMb = MOST_MB }: RunOptions,
  signal: AbortSignal,
): Promise<LabResults> {
  const { teams, workers } = scenario;
  const limits = new Map(teamNames(scenario).map((name) => [name, teams.limit_cpus]));
  const history = new History(limits, workers.cancel_s * 1000, workers.processes);
  const platform = new LabPlatform(scenario, program, history);
  const faults = new Faults(platform, say);
  try {
    say("starting");
    await platform.start();
    return await measure(platform, history, faults, { say, mostMb }, signal);
  } finally {
    faults.stop();
    await platform.end();
  }
}

async function measure(
  platform: LabPlatform,
  history: History,
  faults: Faults,
  { say, mostMb }: Required<Pick<RunOptions, "say" | "mostMb">>,
  signal: AbortSignal,
): Promise<LabResults> {
  const { scenario } = platform;
  const stop = new AbortController();
  const interrupt = (): void => stop.abort();
  signal.addEventListener("abort", interrupt, { once: true });
  if (signal.aborted) interrupt();
  let tooLarge: string | null = null;
  const startedAt = sharedNow();
  const from = startedAt + scenario.warmup_s * 1000;
  history.measure(from, from + scenario.length_s * 1000);
  platform.go();
  faults.start();
  const progress = setInterval(() => {
    const seconds = Math.round((sharedNow() - startedAt) / 1000);
    const mb = residentMb(platform);
    if (mb > mostMb) {
      tooLarge = `the run holds ${Math.round(mb)} MB, at most ${mostMb}`;
      stop.abort();
    }
    say(`${seconds} s: ${platform.up.size} machines, ${history.running} tasks running`);
  }, PROGRESS_MS);
  try {
    await wait(from - sharedNow(), stop.signal);
    const before = await sample(platform);
    say("measuring");
    await wait(from + scenario.length_s * 1000 - sharedNow(), stop.signal);
    if (tooLarge !== null) throw new Error(tooLarge);
    const after = await sample(platform);
    const said = await Promise.all(platform.controllers.map(saidBy));
    return resultsOf(platform, history, before, after, said, !signal.aborted);
  } finally {
    clearInterval(progress);
    signal.removeEventListener("abort", interrupt);
  }
}

function rolesOf({ regions, workers }: LabPlatform): { role: string; uses: ProcessUse[] }[] {
  const useOf = ({ use }: LabProcess | ControllerProcess): ProcessUse => use;
  return [
    { role: "controllers", uses: regions.flatMap(({ controllers }) => controllers.map(useOf)) },
    { role: "workers", uses: workers.map(useOf) },
    { role: "state services", uses: regions.map(({ state }) => useOf(state)) },
    { role: "clouds", uses: regions.map(({ cloud }) => useOf(cloud)) },
    { role: "users", uses: regions.map(({ users }) => useOf(users)) },
  ];
}

/** Of all processes that the run has started; sampled, so that peaks are seen as well. */
function residentMb(platform: LabPlatform): number {
  let sum = 0;
  for (const { uses } of rolesOf(platform)) {
    for (const use of uses) sum += use.sample().residentMb;
  }
  return sum;
}

async function sample(platform: LabPlatform): Promise<Sample> {
  const figures = await Promise.all(platform.processes.map((one) => one.sample()));
  const roles = rolesOf(platform).map(({ role, uses }) => ({
    role,
    uses,
    resources: uses.map((use) => use.sample()),
  }));
  return { at: sharedNow(), roles, figures };
}

/** What a controller says of itself at the end of the window. */
interface Said {
  /** Heap in use, MB; null when it does not say. */
  heapMb: number | null;
  leads: boolean;
  parts: number;
}

interface StatusView {
  node: string;
  leads: boolean;
  parts: { owner: string | null }[];
}

async function saidBy({ listen }: ControllerProcess): Promise<Said> {
  const http = new HttpClient(listen, 1, systemClock);
  const jobs = new JobClient(listen, systemClock, http);
  try {
    const text = await http.text("/metrics", METRICS_MS);
    const found = /^birchdale_heap_bytes (\S+)$/m.exec(text);
    const { node, leads, parts } = (await jobs.status()) as StatusView;
    return {
      heapMb: found === null ? null : Number(found[1]) / MB,
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
  { role, uses, resources: before }: RoleSample,
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
    processes: uses.length,
    cores: cores.reduce((total, one) => total + one, 0),
    mostCores: Math.max(...cores),
    residentMb: Math.max(...uses.map(({ peakMb }) => peakMb)),
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
  said: readonly Said[],
  complete: boolean,
): LabResults {
  const { scenario, regions } = platform;
  const heaps = said.map(({ heapMb }) => heapMb);
  const seconds = Math.max(0.001, (after.at - before.at) / 1000);
  const state = regions.map(({ region }, i) => {
    // Of each region the state service comes first.
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
  const jobs = noCounts();
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
      return { name, cores, residentMb, leads: said[i]!.leads, parts: said[i]!.parts };
    }),
    worker,
    tasks: {
      running: history.running,
      startsPerS: history.starts / seconds,
      endsPerS: history.ends / seconds,
      repeatedStarts: history.repeated,
      endsByCause: Object.fromEntries(history.causes),
    },
    jobs,
    priorities: prioritiesOf(history),
    state,
    configuration: configurationResults(
      changes.filter(({ committedAt }) => committedAt >= before.at),
      users.flatMap(({ failures }) => failures),
      build({ highestTrackableValue: LONGEST_MS, numberOfSignificantValueDigits: 3 }),
    ),
    violations: history.violations,
    controllerEnds: platform.controllers.flatMap(({ ends }) => ends),
  };
}
