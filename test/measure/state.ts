/**
 * Cost of finished jobs for a controller: `npm run measure:state` (Linux only, for /proc; some minutes,
 * and 3 GB for ten million jobs). All figures are of this machine.
 *
 *   --program PATH   the program to measure (target/bin/main.js by default), such as an earlier build
 *   --records KIND   finished jobs as `headers` of the watched keys, or in the `archive`
 *   --jobs N,N,...   how many finished jobs
 *   --part NAME      `start`, `lookups`, `moving`, `image` or `months`; all of them without it
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { build } from "hdr-histogram-js";
import {
  END_OF_RANGES,
  type Entry,
  encodeLeaf,
  leafKey,
  maxLeafBytes,
} from "../../src/archive/index.js";
import { HttpClient } from "../../src/http/client.js";
import { jsonBytes } from "../../src/jobs/chunk-page.js";
import { Platform } from "../../src/local/index.js";
import type { StateRow } from "../../src/local/state.js";
import { LIMITS } from "../support/common.js";
import { Year } from "../support/year.js";

const { values: options } = parseArgs({
  options: {
    program: { type: "string", default: "target/bin/main.js" },
    records: { type: "string", default: "archive" },
    jobs: { type: "string", default: "1000,100000,1000000,10000000" },
    part: { type: "string" },
  },
});
/** Node.js flags of `deploy/service.toml`. */
const FLAGS = [
  "--max-old-space-size=96",
  "--max-semi-space-size=8",
  "--single-threaded",
  "--interrupt-budget=1000000",
];
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const idOf = (n: number): string => `wk-${String(n).padStart(8, "0")}`;
const AT = 1_760_000_000_000;
const TEAMS = ["telemetria", "oceanografia", "costero"];

/** Times and sizes as in a year of jobs; the numbers only have to vary like real ones. */
function entryOf(n: number): Entry {
  const at = AT + n * 2600 + ((n * 7919) % 2000);
  const tasks = 1 + ((n * 31) % 40);
  const finishedAt = at + 20_000 + ((n * 104_729) % 600_000);
  return [
    idOf(n),
    { status: "done", tasks, done: tasks, at, over: finishedAt, team: TEAMS[n % 3]! },
  ];
}

function* headers(count: number): Generator<[string, StateRow]> {
  for (let n = 0; n < count; n++) {
    const [id, { tasks, at, over, team }] = entryOf(n);
    const value = { status: "done", owners: "", chunkSize: 4, at, started: true, moves: 0, tasks };
    yield [`w/j/${id}`, { value: { ...value, over, team }, version: 10 + n, lease: null }];
  }
}

/** Leaves as archiving of one job after another produces them: nearly full. */
function* leaves(count: number, maxBytes: number): Generator<[string, StateRow]> {
  yield ["w/schema", { value: { version: 2 }, version: 5, lease: null }];
  yield ["w/lead", { value: { schema: 2 }, version: 5, lease: null }];
  let from = "";
  let entries: Entry[] = [];
  for (let n = 0; n < count; n++) {
    entries.push(entryOf(n));
    if (entries.length % 20 !== 0 || jsonBytes(encodeLeaf(from, entries)) < maxBytes * 0.88)
      continue;
    if (n + 1 === count) break;
    const last = entries.at(-1)![0];
    yield [leafKey(last), { value: encodeLeaf(from, entries), version: 10 + n, lease: null }];
    from = last;
    entries = [];
  }
  yield [
    leafKey(END_OF_RANGES),
    { value: encodeLeaf(from, entries), version: 10 + count, lease: null },
  ];
}

interface Deployment {
  platform: Platform;
  folder: string;
  settings: string;
  bytes: number;
}

async function deploy(jobs: number, records: string, writeRps = 80): Promise<Deployment> {
  const platform = new Platform({
    controllers: 1,
    machines: 1,
    zones: ["a"],
    initial: 0,
    writeRps,
  });
  const maxBytes = maxLeafBytes({ valueBytes: 8192, txnBytes: 48 * 1024 });
  platform.state.fill(records === "headers" ? headers(jobs) : leaves(jobs, maxBytes));
  let bytes = 0;
  for (const [key, { value }] of platform.state.rows) {
    if (/^(a|w)\/j\//.test(key)) bytes += key.length + jsonBytes(value);
  }
  await platform.start();
  const folder = mkdtempSync(join(tmpdir(), "birchdale-"));
  const settings = join(folder, "node.toml");
  writeFileSync(settings, platform.files[0]!);
  return { platform, folder, settings, bytes };
}

function close({ platform, folder }: Deployment): void {
  platform.stop();
  rmSync(folder, { recursive: true });
}

const spawnNode = (settings: string, args: string[] = []) =>
  spawn(process.execPath, [...FLAGS, options.program, ...args, "--config", settings], {
    stdio: ["ignore", "ignore", "ignore"],
    env: { ...process.env, LOG_LEVEL: "error" },
  });

/** Milliseconds of processor time so far; ticks are hundredths of a second. */
function used(pid: number): number {
  const [, rest = ""] = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ");
  const fields = rest.split(" ");
  return (Number(fields[11]) + Number(fields[12])) * 10;
}

const memory = (pid: number, field: "VmHWM" | "VmRSS"): number =>
  Number(new RegExp(`${field}:\\s+(\\d+)`).exec(readFileSync(`/proc/${pid}/status`, "utf8"))![1]) /
  1024;

/** Time from the start of a controller to its first answer to a worker, with this many finished jobs. */
async function start(jobs: number): Promise<void> {
  const at = await deploy(jobs, options.records);
  const { platform, settings, bytes } = at;
  let requests = 0;
  const { list, transact } = platform.state;
  platform.state.list = (...args) => {
    requests++;
    return list.apply(platform.state, args);
  };
  platform.state.transact = (...args) => {
    requests++;
    return transact.apply(platform.state, args);
  };
  const child = spawnNode(settings, options.records === "archive" ? ["--archive"] : []);
  const begun = performance.now();
  let ended = false;
  child.once("exit", () => {
    ended = true;
  });
  const http = new HttpClient(platform.settings[0]!.listen, 1);
  const report = {
    host: "m-1",
    address: "127.0.0.1:1",
    build: "small",
    berth: "a",
    borrowed: false,
  };
  let answered = false;
  for (let tally = 1; !ended && !answered && performance.now() - begun < 120_000; tally++) {
    const body = { ...report, shift: 1, tally, baton: 0, warningS: null, pieces: [] };
    const answer = await http.call("POST", "/checkin", body, 1000).catch(() => null);
    answered = answer?.status === 200;
    if (!answered) await pause(20);
  }
  const wall = performance.now() - begun;
  if (!answered)
    say(
      `start  ${options.records}  ${jobs}  not ready: the controller ended, or did not answer within 120 s`,
    );
  else {
    const cpu = used(child.pid!);
    const asks = requests;
    await pause(3000);
    const line = [
      `first report answered after ${(wall / 1000).toFixed(2)} s`,
      `${cpu} ms of processor time (${(cpu / 72).toFixed(1)} s at 7.2% of a core)`,
      `${asks} lists and transactions`,
      `peak resident ${memory(child.pid!, "VmHWM").toFixed(0)} MB`,
      `${(bytes / jobs).toFixed(1)} bytes a job in the store`,
    ];
    say(`start  ${options.records}  ${jobs}  ${line.join(", ")}`);
  }
  http.close();
  child.kill("SIGKILL");
  close(at);
}

/** Lookups of old jobs at random, and of unknown ids. */
async function lookups(jobs: number): Promise<void> {
  const at = await deploy(jobs, "archive");
  const child = spawnNode(at.settings, ["--archive"]);
  if (!(await at.platform.ready())) throw new Error("the local platform did not get ready");
  const http = new HttpClient(at.platform.settings[0]!.listen, 32);
  for (const [name, id, atOnce] of [
    ["old jobs at random", () => idOf(Math.floor(Math.random() * jobs)), 16],
    ["a thousand old jobs", () => idOf(Math.floor(Math.random() * 1000)), 16],
    ["unknown ids", () => `wk-x${Math.floor(Math.random() * 1e9)}`, 16],
  ] as const) {
    const times = build();
    const counts = new Map<number, number>();
    const cpu = used(child.pid!);
    const begun = performance.now();
    const until = begun + 10_000;
    await Promise.all(
      Array.from({ length: atOnce }, async () => {
        while (performance.now() < until) {
          const sent = performance.now();
          const answer = await http.call("GET", `/api/jobs/${id()}`, undefined, 5000);
          counts.set(answer.status, (counts.get(answer.status) ?? 0) + 1);
          if (answer.status !== 503)
            times.recordValue(Math.round((performance.now() - sent) * 1000));
          else await pause(50);
        }
      }),
    );
    const seconds = (performance.now() - begun) / 1000;
    const shown = [...counts].map(
      ([status, count]) => `${status}: ${(count / seconds).toFixed(0)}`,
    );
    const p = (q: number): string => (times.getValueAtPercentile(q) / 1000).toFixed(1);
    say(
      `lookups  ${jobs}  ${name}: answers a second ${shown.join(", ")}; those not 503 p50 ${p(50)} ms, p99 ${p(99)} ms; ${((used(child.pid!) - cpu) / seconds / 10).toFixed(0)}% of a core; resident ${memory(child.pid!, "VmRSS").toFixed(0)} MB`,
    );
  }
  http.close();
  child.kill("SIGKILL");
  close(at);
}

/** Archives a backlog of headers, at a limit of changes a second. */
async function moving(jobs: number, writeRps: number): Promise<void> {
  const at = await deploy(jobs, "headers", writeRps);
  const tuning = join(at.folder, "archive.textproto");
  writeFileSync(tuning, "archive { keep: 0 age_s: 1 }");
  let changes = 0;
  const { state } = at.platform;
  const transact = state.transact.bind(state);
  state.transact = (when, then) => {
    const result = transact(when, then);
    if (result.ok && then.some((one) => "put" in one && one.put.startsWith("a/"))) {
      changes += then.length;
    }
    return result;
  };
  const left = (): number => {
    let count = 0;
    for (const key of state.rows.keys()) if (key.startsWith("w/j/")) count++;
    return count;
  };
  const child = spawnNode(at.settings, ["--tuning", tuning]);
  while (left() === jobs) await pause(100);
  const [from, first, cpu] = [performance.now(), left(), used(child.pid!)];
  const before = changes;
  await pause(30_000);
  const seconds = (performance.now() - from) / 1000;
  say(
    `moving  ${writeRps} changes a second allowed: ${((first - left()) / seconds).toFixed(1)} jobs a second with ${((changes - before) / seconds).toFixed(1)} changes, ${((used(child.pid!) - cpu) / seconds / 10).toFixed(1)}% of a core`,
  );
  child.kill("SIGKILL");
  close(at);
}

/** Saves, checks and restores an image by the command line, at the service's limits. */
async function image(jobs: number): Promise<void> {
  const at = await deploy(jobs, "archive");
  const file = join(at.folder, "image.tgz");
  const timed = (args: string[]): Promise<void> =>
    new Promise((resolve) => {
      const begun = performance.now();
      const child = spawn(process.execPath, ["target/bin/main.js", "state", ...args], {
        stdio: ["ignore", "ignore", "inherit"],
      });
      let peak = 0;
      const poll = setInterval(() => {
        try {
          peak = Math.max(peak, memory(child.pid!, "VmHWM"));
        } catch {
          // The process has ended meanwhile.
        }
      }, 50);
      child.once("exit", (code) => {
        clearInterval(poll);
        const seconds = ((performance.now() - begun) / 1000).toFixed(1);
        say(
          `image  ${jobs}  ${args[0]}: ${seconds} s, peak resident ${peak.toFixed(0)} MB (exit ${code})`,
        );
        resolve();
      });
    });
  await timed(["save", file, "--config", at.settings]);
  say(`image  ${jobs}  file: ${(statSync(file).size / 1e6).toFixed(1)} MB`);
  await timed(["check", file, "--config", at.settings]);
  await timed(["export", file, join(at.folder, "jobs.parquet")]);
  say(
    `image  ${jobs}  Parquet: ${(statSync(join(at.folder, "jobs.parquet")).size / 1e6).toFixed(1)} MB`,
  );
  const empty = new Platform({ controllers: 1, zones: ["a"] });
  await empty.start();
  const other = join(at.folder, "other.toml");
  writeFileSync(other, empty.files[0]!);
  await timed(["restore", file, "--config", other]);
  empty.stop();
  close(at);
}

/** Archives three months of jobs, their ids slightly out of order, and then looks them up at random. */
async function months(jobs: number): Promise<void> {
  const year = new Year({ ...LIMITS, ops: 24, conditions: 96, rps: 1e12 });
  const begun = performance.now();
  for (let from = 0; from < jobs; from += 1000) {
    const block = Array.from({ length: 1000 }, (_, i) => from + ((i * 377) % 1000));
    for (let i = 0; i < 1000; i += 40) {
      await year.archive(
        block.slice(i, i + 40).map((n) => {
          const [id, { tasks, at, over, team }] = entryOf(n);
          const rest = { chunkSize: 4, started: true, moves: 0, at, tasks };
          return [id, { status: "done", owners: "", ...rest, over: over!, team: team! }];
        }),
      );
    }
    // Nothing watches here, so the log of changes can be dropped.
    year.state.log.length = 0;
  }
  const archived = performance.now();
  for (let i = 0; i < 100_000; i++) {
    const n = Math.floor(Math.random() * jobs);
    const past = await year.lookups.find(idOf(n));
    if (past?.tasks !== entryOf(n)[1].tasks) throw new Error(`${idOf(n)}: ${JSON.stringify(past)}`);
    if (i % 10 === 0 && (await year.lookups.find(`${idOf(n)}x`)) !== null)
      throw new Error("found a job that was never archived");
  }
  const seconds = (archived - begun) / 1000;
  const { jobs: found, leaves: count } = year.count();
  say(
    `months  ${jobs} jobs archived in ${seconds.toFixed(0)} s (${((seconds * 1e6) / jobs).toFixed(0)} us each, with the simulated store), 100,000 polled at random in ${((performance.now() - archived) / 1000).toFixed(0)} s; ${found} in ${count} leaves`,
  );
}

const sizes = options.jobs.split(",").map(Number);
const wants = (part: string): boolean => options.part === undefined || options.part === part;
if (wants("start")) for (const jobs of sizes) await start(jobs);
if (wants("lookups")) await lookups(1_000_000);
if (wants("moving")) for (const rps of [30, 80]) await moving(20_000, rps);
if (wants("image")) await image(1_000_000);
if (wants("months")) await months(3_000_000);
process.exit(0);
