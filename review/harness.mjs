/**
 * What the cases share: a small deployment on loopback. The controllers are processes started with
 * the command `run` of deploy/service.toml; the state service, the cloud, the workers and the load
 * balancer are the project's own stand-ins (target/local), served from this process.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { HttpClient } from "../target/http/client.js";
import {
  Cloud,
  Front,
  freePort,
  StateServer,
  StateService,
  settingsText,
  Worker,
} from "../target/local/index.js";

export const root = dirname(dirname(fileURLToPath(import.meta.url)));
export const clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, run) {
    const handle = setTimeout(run, Math.max(0, ms));
    return { cancel: () => clearTimeout(handle) };
  },
};
export const sleep = (s) => new Promise((resolve) => setTimeout(resolve, s * 1000));

/** Thrown when the situation of a case did not come about: the case could not run. */
export class CannotRun extends Error {}

/** The record of a run, record.txt in the folder of the case. */
export class Record {
  #start = performance.now();
  constructor(folder) {
    this.file = join(folder, "record.txt");
    writeFileSync(this.file, "");
  }
  get s() {
    return (performance.now() - this.#start) / 1000;
  }
  line(text) {
    const out = `${this.s.toFixed(3).padStart(8)} ${text}`;
    appendFileSync(this.file, `${out}\n`);
    if (process.env.SHOW) process.stdout.write(`${out}\n`);
  }
}

function runCommand() {
  const text = readFileSync(join(root, "deploy/service.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new CannotRun("deploy/service.toml has no run");
  return run.split(" ");
}

export class Deployment {
  nodes = [];
  workers = new Map();
  jobs = new Map();
  saved = new Map();
  /** Pieces that are on a machine: "piece" -> { host, berth }. */
  running = new Map();
  onTask = () => undefined;

  constructor(record, options) {
    this.record = record;
    this.options = options;
    // The service has the limits of now; what it is to have later (`next`) is in the settings only.
    const { state, types, capacity } = options;
    this.state = new StateService(clock, {
      ops: state.txnOps,
      conditions: 4 * state.txnOps,
      valueBytes: state.valueKb * 1024,
    });
    this.stateServer = new StateServer(
      this.state,
      clock,
      { rps: state.rps, writeRps: state.writeRps },
      Math.random,
      () => 2 + 6 * Math.random(),
    );
    this.cloud = new Cloud(
      clock,
      types,
      capacity ?? 100,
      { rps: options.cloud.rps, listLagMs: options.cloud.listLagS * 1000 },
      {
        up: (host, type) => void this.#up(host, type),
        terminationNotice: (uid, s) => {
          const worker = this.workers.get(uid);
          if (worker !== undefined) worker.warningS = s;
        },
        gone: (uid) => this.#gone(uid),
      },
      Math.random,
    );
    this.folder = mkdtempSync(join(tmpdir(), "birchdale-review-"));
    process.on("exit", () => this.#killAll());
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => process.exit(2));
  }

  async #up(host, type) {
    const { workers } = this.options;
    const worker = new Worker({
      clock,
      host,
      type,
      nodes: this.addresses,
      reportMs: workers.reportS * 1000,
      leaseMs: workers.leaseS * 1000,
      commands: true,
      jobOf: (uid) => this.jobs.get(uid),
      savedProgress: this.saved,
      onTaskEvent: (event) => this.#task(event),
      random: Math.random,
    });
    this.workers.set(host.uid, worker);
    this.cloud.addresses.set(host.uid, await worker.start());
    this.record.line(`machine ${host.uid} (${host.build}, ${host.berth}) up`);
  }

  #gone(uid) {
    const worker = this.workers.get(uid);
    if (worker === undefined) return;
    worker.stop();
    this.workers.delete(uid);
    this.record.line(`machine ${uid} gone`);
  }

  #task(event) {
    const { kind, piece, host, berth, cause } = event;
    this.record.line(`task ${piece} ${kind} on ${host} (${berth})${cause ? ` ${cause}` : ""}`);
    if (kind === "started") {
      this.onTask(event);
      this.running.set(piece, { host, berth });
    } else {
      if (this.running.get(piece)?.host === host) this.running.delete(piece);
      this.onTask(event);
    }
  }

  async start() {
    const { sites, zones, teams, workers, state, next, cloud } = this.options;
    const addresses = {
      state: await this.stateServer.start(),
      cloud: await this.cloud.start(),
    };
    const nodes = [];
    for (const [n, zone] of sites.entries()) {
      nodes.push({
        name: `kombos-${n}`,
        zone,
        listen: `127.0.0.1:${await freePort()}`,
        peer: `127.0.0.1:${await freePort()}`,
      });
    }
    this.addresses = new Map(nodes.map(({ name, listen }) => [name, listen]));
    const params = {
      zones,
      teams,
      workers,
      state,
      cloud,
      quota: { cores: 0.4, ramMb: 178, maxSockets: 1500 },
    };
    for (const node of nodes) {
      let text = settingsText(node, nodes, addresses, params);
      if (next !== undefined) {
        text += "\n[params.state.next]\n";
        for (const [name, value] of Object.entries(next)) text += `${name} = ${value}\n`;
      }
      const file = join(this.folder, `${node.name}.toml`);
      writeFileSync(file, text);
      this.nodes.push({ ...node, file, child: null });
    }
    for (const node of this.nodes) this.startNode(node.name);
    this.front = new Front(this.addresses, clock, 1000);
    this.user = new HttpClient(await this.front.start(0), 32, clock);
    for (let i = 0; i < 200 && this.front.healthy.length < sites.length; i++) await sleep(0.1);
    if (this.front.healthy.length < sites.length) throw new CannotRun("controllers not healthy");
    this.record.line(`healthy: ${this.front.healthy.join(" ")}`);
  }

  node(name) {
    return this.nodes.find((one) => one.name === name);
  }

  startNode(name) {
    const node = this.node(name);
    const [program, ...args] = runCommand();
    const child = spawn(program, [...args, node.file], {
      cwd: root,
      stdio: ["ignore", "ignore", "pipe"],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "info" },
    });
    node.child = child;
    child.stderr.on("data", (bytes) => {
      if (process.env.LOGS) appendFileSync(`${process.env.LOGS}/${name}.log`, bytes);
    });
    child.once("exit", (code, signal) => {
      this.record.line(`controller ${name} ended (${signal ?? code})`);
      if (node.child === child) node.child = null;
    });
    this.record.line(`controller ${name} started`);
  }

  /** Ends a controller without a signal that it could handle; it is back after `backS`, as on the pages. */
  crash(name, backS = 5) {
    const { child } = this.node(name);
    this.record.line(`TROUBLE controller ${name} crashes`);
    child?.kill("SIGKILL");
    setTimeout(() => {
      if (this.node(name).child === null) this.startNode(name);
    }, backS * 1000);
  }

  /** One request of a user through the load balancer; null without an answer. */
  async call(method, path, body, timeoutMs = 5000) {
    const answer = await this.user.call(method, path, body, timeoutMs).catch(() => null);
    return answer;
  }

  async submit(job, quiet = false) {
    this.jobs.set(job.uid, job);
    for (let i = 0; i < 40; i++) {
      const answer = await this.call("POST", "/api/jobs", job);
      if (!quiet || answer?.status !== 201)
        this.record.line(
          `submit ${job.uid} -> ${answer?.status ?? "no answer"} ${JSON.stringify(answer?.body ?? null)}`,
        );
      const status = answer?.status ?? 0;
      if ([200, 201, 400, 422].includes(status)) return status;
      await sleep(1);
    }
    throw new CannotRun(`job ${job.uid} was not accepted`);
  }

  async status(uid) {
    const answer = await this.call("GET", `/api/jobs/${uid}`, undefined, 2000);
    return answer;
  }

  #killAll() {
    for (const { child } of this.nodes) {
      try {
        child?.kill("SIGKILL");
      } catch {
        // It has ended already.
      }
    }
    try {
      rmSync(this.folder, { recursive: true, force: true });
    } catch {
      // Nothing to remove.
    }
  }
}

export async function until(what, withinS, test) {
  for (let i = 0; i < withinS * 20; i++) {
    if (test()) return;
    await sleep(0.05);
  }
  throw new CannotRun(`did not come about: ${what}`);
}

/** Runs a case: `run` returns whether the rule was broken. Exits with 1, 0, or 2 if it could not run. */
export async function main(folder, run) {
  const record = new Record(folder);
  const trouble = process.env.TROUBLE !== "0";
  record.line(`run with${trouble ? "" : "out"} the disruption`);
  try {
    const broken = await run(record, trouble);
    record.line(broken ? "RESULT the rule was broken" : "RESULT the rule held");
    process.exit(broken ? 1 : 0);
  } catch (error) {
    record.line(`RESULT could not run: ${error instanceof CannotRun ? error.message : error.stack}`);
    process.exit(2);
  }
}

export const job = (fields) => ({
  eidos: "oleaje",
  owner: "oceanografia",
  shape: "batch",
  urgency: "normal",
  pieces: 1,
  cores: 1,
  accelerators: 0,
  memGb: 1,
  bundle: "img-1",
  sizeGb: 0.5,
  builds: null,
  berth: null,
  together: false,
  scatter: false,
  borrowed: true,
  expectS: 40,
  stashEveryS: 0,
  stashS: 0,
  dueS: null,
  ...fields,
});
