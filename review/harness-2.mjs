// Shared by the cases of the second review: a small deployment on loopback. The controllers are
// separate processes, started with `run` of deploy/service.toml. State service, cloud, workers and
// load balancer are the project's own stand-ins (target/local), all in this process.
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { decode, encode } from "cborg";
import { Cloud, Front, settingsText, StateServer, StateService, Worker } from "../target/local/index.js";
import { systemClock } from "../target/clock.js";

export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A free port of 127.0.0.1, below the range of outgoing connections. */
export async function freePort() {
  for (;;) {
    const port = 10_000 + Math.floor(Math.random() * 22_000);
    const free = await new Promise((resolve) => {
      const server = createServer();
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
    if (free) return port;
  }
}

/** One request with a CBOR body; null when there is no answer in time. */
export function ask(address, method, path, body, timeoutMs, agent) {
  const [host, port] = address.split(":");
  const payload = body === undefined ? undefined : Buffer.from(encode(body));
  return new Promise((resolve) => {
    const headers =
      payload === undefined
        ? {}
        : { "content-type": "application/cbor", "content-length": payload.length };
    const req = request({ host, port: Number(port), method, path, headers, agent });
    const timer = setTimeout(() => {
      req.destroy();
      resolve(null);
    }, timeoutMs);
    req.on("error", () => {
      clearTimeout(timer);
      resolve(null);
    });
    req.on("response", (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", () => {
        clearTimeout(timer);
        resolve(null);
      });
      res.on("end", () => {
        clearTimeout(timer);
        const bytes = Buffer.concat(chunks);
        let answer;
        try {
          answer = bytes.length === 0 ? undefined : decode(bytes);
        } catch {
          answer = undefined;
        }
        const retryAfterS = Number(res.headers["retry-after"] ?? 0);
        resolve({ status: res.statusCode, body: answer, retryAfterS });
      });
    });
    req.end(payload);
  });
}

/** The file in which a script writes what was sent, answered and run. */
export class Record {
  #lines = [];
  #startedAt = performance.now();
  #file;

  constructor(file) {
    this.#file = file;
  }

  /** Seconds since the start. */
  get at() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  add(text) {
    this.#lines.push(`${this.at.toFixed(3).padStart(8)}  ${text}`);
  }

  save() {
    writeFileSync(this.#file, `${this.#lines.join("\n")}\n`);
  }
}

/** The program and arguments with which the platform starts a controller. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/service.toml"), "utf8");
  const [program, ...args] = /^run = "(.*)"$/m.exec(text)[1].split(" ");
  return { program: program === "node" ? process.execPath : program, args };
}

/**
 * @param options zones (of controller n: zones[n % length]), controllers, teams, types,
 * workers {reportS, leaseS, cancelS}, state {rps, writeRps, valueKb, txnOps, latencyMs},
 * cloud {rps, listLagS}, maxMachines, moreSettings (appended to each settings file),
 * patchSettings (of controller n: its settings file's text)
 */
export class Deployment {
  workers = new Map();
  nodes = [];
  /** By task, the machine and zone that it is on now (from the moment it has its image). */
  onMachine = new Map();
  onTask = () => undefined;
  /** Names of faulty machines. */
  faulty = new Set();
  #children = new Map();
  #savedProgress = new Map();
  #folder = mkdtempSync(join(tmpdir(), "birchdale-review-"));
  #stopped = false;

  constructor(options, record) {
    this.options = options;
    this.record = record;
  }

  async start() {
    const { zones, controllers, teams, types, workers, state, cloud, maxMachines } = this.options;
    const latency = () => state.latencyMs * (0.5 + Math.random());
    this.state = new StateService(systemClock, {
      ops: state.txnOps,
      conditions: 4 * state.txnOps,
      valueBytes: state.valueKb * 1024,
    });
    this.stateServer = new StateServer(
      this.state,
      systemClock,
      { rps: state.rps, writeRps: state.writeRps },
      Math.random,
      latency,
    );
    this.cloud = new Cloud(
      systemClock,
      types,
      1000,
      { rps: cloud.rps, listLagMs: cloud.listLagS * 1000 },
      {
        up: (host, type) => void this.#startWorker(host, type),
        terminationNotice: (uid, warningS) => {
          const worker = this.workers.get(uid);
          if (worker !== undefined) worker.warningS = warningS;
        },
        gone: (uid) => {
          this.record.add(`cloud: ${uid} is gone`);
          this.workers.get(uid)?.stop();
          this.workers.delete(uid);
        },
      },
      Math.random,
    );
    if (maxMachines !== undefined) this.cloud.maxMachines = maxMachines;
    const services = {
      state: await this.stateServer.start(),
      cloud: await this.cloud.start(),
    };
    for (let n = 0; n < controllers; n++) {
      this.nodes.push({
        name: `kombos-${n}`,
        zone: zones[n % zones.length],
        listen: `127.0.0.1:${await freePort()}`,
        peer: `127.0.0.1:${await freePort()}`,
      });
    }
    const params = {
      zones,
      teams,
      workers,
      state,
      cloud,
      quota: { cores: 0.4, ramMb: 178, maxSockets: 1500 },
    };
    for (const [n, node] of this.nodes.entries()) {
      const text = settingsText(node, this.nodes, services, params) + (this.options.moreSettings ?? "");
      writeFileSync(this.#file(n), this.options.patchSettings?.(n, text) ?? text);
      this.launch(n);
    }
    this.front = new Front(
      new Map(this.nodes.map(({ name, listen }) => [name, listen])),
      systemClock,
      1000,
    );
    await this.front.start();
    this.agent = new Agent({ keepAlive: true, maxSockets: 200 });
  }

  #file(n) {
    return join(this.#folder, `kombos-${n}.toml`);
  }

  launch(n) {
    const { program, args } = runCommand();
    const log = openSync(join(this.#folder, `kombos-${n}.log`), "a");
    const child = spawn(program, [...args, this.#file(n)], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "error" },
    });
    this.#children.set(n, child);
    this.record.add(`controller kombos-${n} started`);
    child.once("exit", (code, signal) => {
      this.record.add(`controller kombos-${n} ended (${signal ?? code})`);
      if (this.#children.get(n) === child) this.#children.delete(n);
    });
  }

  /** Sends a signal to a controller that this script started. */
  signal(n, name) {
    this.record.add(`${name} to kombos-${n}`);
    this.#children.get(n)?.kill(name);
  }

  /** What a controller has logged. */
  log(n) {
    return readFileSync(join(this.#folder, `kombos-${n}.log`), "utf8");
  }

  /** Waits until a condition holds; false after `withinMs`. */
  async until(condition, withinMs) {
    const deadline = performance.now() + withinMs;
    while (!(await condition())) {
      if (performance.now() > deadline) return false;
      await pause(50);
    }
    return true;
  }

  async #startWorker(host, type) {
    const { workers } = this.options;
    const worker = new Worker({
      clock: systemClock,
      host,
      type,
      nodes: new Map(this.nodes.map(({ name, listen }) => [name, listen])),
      reportMs: workers.reportS * 1000,
      leaseMs: workers.leaseS * 1000,
      // On a faulty machine every task fails as soon as it runs: its program is not there.
      commands: this.faulty.has(host.uid),
      jobOf: (uid) => {
        const uploaded = this.front.jobs.get(uid);
        if (uploaded === undefined || !this.faulty.has(host.uid)) return uploaded;
        return { ...uploaded, command: ["/nonexistent/program"] };
      },
      savedProgress: this.#savedProgress,
      onTaskEvent: (event) => this.#taskEvent(event),
      random: Math.random,
    });
    this.workers.set(host.uid, worker);
    this.cloud.addresses.set(host.uid, await worker.start());
    if (this.#stopped) worker.stop();
    this.record.add(`cloud: ${host.uid} (${type.name}, ${host.berth}) is up`);
  }

  #taskEvent({ kind, piece, host, berth, cause }) {
    this.record.add(`${kind === "started" ? "start" : "end  "} ${piece} on ${host} in ${berth} ${cause}`);
    if (kind === "ended" && this.onMachine.get(piece)?.host === host) this.onMachine.delete(piece);
    this.onTask({ kind, piece, host, berth, cause });
    if (kind === "started") this.onMachine.set(piece, { host, berth });
  }

  /** Tasks of a job that are on machines now, other than `piece`. */
  others(job, piece) {
    return [...this.onMachine].filter(([one]) => one !== piece && one.startsWith(`${job}/`));
  }

  /** As a user: submits once. */
  async submitOnce(body) {
    const answer = await ask(this.front.address, "POST", "/api/jobs", body, 5000, this.agent);
    this.record.add(`submit ${body.uid}: ${answer?.status ?? "no answer"} ${answer?.body?.status ?? answer?.body?.error ?? ""}`);
    return answer;
  }

  /** As a user: submits until accepted or refused, for up to 60 s. */
  async submit(body) {
    const deadline = performance.now() + 60_000;
    for (;;) {
      const answer = await ask(this.front.address, "POST", "/api/jobs", body, 5000, this.agent);
      this.record.add(`submit ${body.uid}: ${answer?.status ?? "no answer"} ${answer?.body?.status ?? ""}`);
      if (answer !== null && [200, 201, 400, 422].includes(answer.status)) return answer;
      if (performance.now() > deadline) return answer;
      await pause(1000 * Math.max(1, Math.min(30, answer?.retryAfterS ?? 1)));
    }
  }

  /** As a user: one poll. */
  async poll(id) {
    const answer = await ask(this.front.address, "GET", `/api/jobs/${id}`, undefined, 2000, this.agent);
    this.record.add(`poll ${id}: ${answer?.status ?? "no answer"} ${JSON.stringify(answer?.body ?? "")}`);
    return answer;
  }

  /** As a user: asks to cancel until it is answered, for up to 60 s. */
  async withdraw(id) {
    const deadline = performance.now() + 60_000;
    for (;;) {
      const answer = await ask(this.front.address, "POST", `/api/jobs/${id}/withdraw`, undefined, 5000, this.agent);
      this.record.add(`withdraw ${id}: ${answer?.status ?? "no answer"} ${answer?.body?.status ?? ""}`);
      if (answer?.status === 200 || answer?.status === 404) return answer;
      if (performance.now() > deadline) return answer;
      await pause(1000);
    }
  }

  /** Ends all that was started, and waits for the controllers' ends. */
  async stop() {
    this.#stopped = true;
    const ends = [...this.#children.values()].map(
      (child) => new Promise((resolve) => child.once("exit", resolve)),
    );
    for (const child of this.#children.values()) child.kill("SIGKILL");
    await Promise.all(ends);
    for (const worker of this.workers.values()) worker.stop();
    this.front?.stop();
    this.cloud?.stop();
    this.stateServer?.stop();
    this.state?.stop();
    this.agent?.destroy();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Settings like those of boyas-pacifico (BRIEF). */
export const boyas = {
  zones: ["valparaiso", "coquimbo"],
  controllers: 3,
  teams: [
    { name: "telemetria", cpus: 104, cpus_max: 352, gpus: 0, gpus_max: 0 },
    { name: "oceanografia", cpus: 104, cpus_max: 440, gpus: 0, gpus_max: 0 },
    { name: "costero", cpus: 128, cpus_max: 216, gpus: 0, gpus_max: 0 },
  ],
  types: ["chico", "grande"].map((name) => ({
    name,
    cores: name === "chico" ? 8 : 16,
    accelerators: 0,
    memGb: name === "chico" ? 32 : 128,
    cacheGb: name === "chico" ? 70 : 30,
    fetchGbPerS: 0.8,
    rate: name === "chico" ? 0.33 : 0.73,
    spotPrice: name === "chico" ? 0.13 : 0.32,
    bootS: name === "chico" ? 40 : 15,
    berths: ["valparaiso", "coquimbo"],
  })),
  workers: { reportS: 2, leaseS: 12, cancelS: 37 },
  state: { rps: 200, writeRps: 80, valueKb: 8, txnOps: 24, latencyMs: 6 },
  cloud: { rps: 3, listLagS: 12 },
};

/** A submission (PROTOCOL) with the usual values. */
export const job = (uid, fields) => ({
  uid,
  eidos: "reprocesar",
  owner: "telemetria",
  shape: "batch",
  urgency: "normal",
  pieces: 1,
  cores: 1.0,
  accelerators: 0.0,
  memGb: 1.0,
  bundle: "img-01",
  sizeGb: 0.8,
  builds: null,
  berth: null,
  together: false,
  scatter: false,
  borrowed: true,
  expectS: 40.0,
  stashEveryS: 0.0,
  stashS: 0.0,
  dueS: null,
  ...fields,
});

/**
 * Runs a case: `play` returns the broken rules found (a list of texts), or throws an error if the case
 * could not run. Exits with 1, 0 or 2.
 */
export async function runCase(file, options, play) {
  const record = new Record(file);
  const deployment = new Deployment(options, record);
  const trouble = process.env.TROUBLE !== "0";
  record.add(trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
  let code = 2;
  const limit = setTimeout(() => {
    record.add("the case took too long");
    void finish();
  }, 117_000);
  let finished = false;
  const finish = async () => {
    if (finished) return;
    finished = true;
    clearTimeout(limit);
    await deployment.stop();
    record.add(`exit code ${code}`);
    record.save();
    process.exit(code);
  };
  for (const name of ["SIGINT", "SIGTERM"]) process.once(name, () => void finish());
  try {
    await deployment.start();
    const broken = await play(deployment, record, trouble);
    for (const text of broken) record.add(`BROKEN: ${text}`);
    code = broken.length > 0 ? 1 : 0;
    process.stdout.write(`${broken.length > 0 ? `broken: ${broken.slice(0, 5).join("; ")}` : "held"}\n`);
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.message}\n`);
  }
  await finish();
}
