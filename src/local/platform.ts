import { createServer } from "node:net";
import { type Clock, sleep, systemClock } from "../clock.js";
import { parseSettings, type Settings, type Team } from "../settings/settings.js";
import { Cloud, type CloudType, type Host } from "./cloud.js";
import { LoadBalancer } from "./load-balancer.js";
import { type PlatformParams, settingsText } from "./settings-text.js";
import { StateService } from "./state.js";
import { StateServer } from "./state-server.js";
import { type TaskEvent, Worker } from "./worker.js";

export interface PlatformOptions {
  controllers?: number;
  /** Most machines of each type, zone and kind (spot or not). */
  machines?: number;
  zones?: string[];
  teams?: Team[];
  types?: CloudType[];
  /** Machines of the first type that are up at the start, in each zone. */
  initial?: number;
  reportS?: number;
  leaseS?: number;
  cancelS?: number;
  writeRps?: number;
  valueKb?: number;
  /** Runs the `command` of jobs on this machine; otherwise tasks only wait for `expectS`. */
  commands?: boolean;
  clock?: Clock;
  random?: () => number;
  /** Called for every task that starts or ends. */
  watch?(event: TaskEvent & { at: number }): void;
}

const DEFAULT_TEAMS: Team[] = [
  { name: "red", cpus: 16, cpus_max: 64, gpus: 0, gpus_max: 0 },
  { name: "blue", cpus: 16, cpus_max: 64, gpus: 0, gpus_max: 0 },
];

const defaultTypes = (berths: string[]): CloudType[] => [
  {
    name: "small",
    cores: 8,
    accelerators: 0,
    memGb: 32,
    cacheGb: 50,
    fetchGbPerS: 10,
    rate: 0.4,
    spotPrice: 0.1,
    bootS: 2,
    berths,
  },
];

/**
 * Below the range that systems use for outgoing connections, one of which could take a port between
 * its choice and its use.
 */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/**
 * A free loopback port, chosen at random so that platforms that run side by side rarely collide.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (await isPortFree(port)) return port;
  }
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/**
 * All services that controllers need, on loopback: a state service, a cloud whose machines run
 * workers, and a load balancer for users. The caller starts the controllers with `settings`, in
 * this process or in others.
 */
export class Platform {
  readonly state: StateService;
  readonly stateServer: StateServer;
  readonly cloud: Cloud;
  front!: LoadBalancer;
  readonly workers = new Map<string, Worker>();
  readonly settings: Settings[] = [];
  /** The same as TOML files' contents, for controllers in other processes. */
  readonly files: string[] = [];
  readonly #nodes = new Map<string, string>();
  #stopped = false;
  readonly #savedProgress = new Map<string, number | "done">();
  readonly #options: Required<Omit<PlatformOptions, "watch">> & Pick<PlatformOptions, "watch">;

  constructor(overrides: PlatformOptions = {}) {
    const zones = overrides.zones ?? ["a", "b"];
    const options = {
      controllers: 3,
      machines: 8,
      zones,
      teams: DEFAULT_TEAMS,
      types: defaultTypes(zones),
      initial: 0,
      reportS: 1,
      leaseS: 6,
      cancelS: 20,
      writeRps: 80,
      valueKb: 8,
      commands: false,
      clock: systemClock,
      random: Math.random,
      ...overrides,
    };
    this.#options = options;
    const { clock, random } = options;
    const maxOps = 24;
    this.state = new StateService(clock, {
      ops: maxOps,
      conditions: 4 * maxOps,
      valueBytes: options.valueKb * 1024,
    });
    const limits = { rps: 250, writeRps: options.writeRps };
    this.stateServer = new StateServer(this.state, clock, limits, random);
    this.cloud = new Cloud(
      clock,
      options.types,
      options.machines,
      { rps: 5, listLagMs: 2000 },
      {
        up: (host, type) => void this.#startWorker(host, type),
        terminationNotice: (uid, warningS) => {
          const worker = this.workers.get(uid);
          if (worker !== undefined) worker.warningS = warningS;
        },
        gone: (uid) => {
          this.workers.get(uid)?.stop();
          this.workers.delete(uid);
        },
      },
      random,
    );
  }

  /** Starts all services; `port` is the load balancer's, 0 for any free one. */
  async start(port = 0): Promise<void> {
    const { controllers, zones, clock, reportS, initial, types } = this.#options;
    const state = await this.stateServer.start();
    const cloud = await this.cloud.start();
    const nodes: { name: string; zone: string; listen: string; peer: string }[] = [];
    for (let n = 0; n < controllers; n++) {
      nodes.push({
        name: `node-${n}`,
        zone: zones[n % zones.length]!,
        listen: `127.0.0.1:${await freePort()}`,
        peer: `127.0.0.1:${await freePort()}`,
      });
    }
    for (const { name, listen } of nodes) this.#nodes.set(name, listen);
    for (const node of nodes) {
      const text = settingsText(node, nodes, { state, cloud }, this.#params());
      this.files.push(text);
      this.settings.push(parseSettings(text, node.name));
    }
    this.front = new LoadBalancer(this.#nodes, clock, Math.max(100, reportS * 250));
    await this.front.start(port);
    for (const zone of zones)
      for (let n = 0; n < initial; n++) this.cloud.add(types[0]!, zone, false);
  }

  /** Waits for a healthy controller; false if there is none after `withinMs`. */
  async ready(withinMs = 30_000): Promise<boolean> {
    const { clock } = this.#options;
    const deadline = clock.now() + withinMs;
    while (this.front.healthy.length === 0) {
      if (clock.now() > deadline) return false;
      await sleep(clock, 50);
    }
    return true;
  }

  stop(): void {
    this.#stopped = true;
    for (const worker of this.workers.values()) worker.stop();
    this.workers.clear();
    this.front?.stop();
    this.cloud.stop();
    this.stateServer.stop();
    this.state.stop();
  }

  async #startWorker(host: Host, type: CloudType): Promise<void> {
    const { clock, reportS, leaseS, commands, random, watch } = this.#options;
    const worker = new Worker({
      clock,
      host,
      type,
      nodes: this.#nodes,
      reportMs: reportS * 1000,
      leaseMs: leaseS * 1000,
      commands,
      jobOf: (uid) => this.front.jobs.get(uid),
      savedProgress: this.#savedProgress,
      onTaskEvent: (event) => watch?.({ ...event, at: clock.now() }),
      random,
    });
    this.workers.set(host.uid, worker);
    this.cloud.addresses.set(host.uid, await worker.start());
    if (this.#stopped) worker.stop();
  }

  #params(): PlatformParams {
    const { zones, teams, reportS, leaseS, cancelS, valueKb, writeRps } = this.#options;
    return {
      zones,
      teams,
      workers: { reportS, leaseS, cancelS },
      state: { rps: 250, writeRps, valueKb, txnOps: 24 },
      cloud: { rps: 5, listLagS: 2 },
      quota: { cores: 1, ramMb: 178, maxSockets: 1000 },
    };
  }
}
