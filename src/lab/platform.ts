/** Starts all processes of a run in order, forwards messages between them, and ends them. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep, systemClock } from "../clock.js";
import { HttpClient } from "../http/client.js";
import { freePort, type NodeAddresses, settingsText } from "../local/index.js";
import { hash } from "../membership/layout.js";
import type { Team } from "../settings/settings.js";
import { ControllerProcess, controllerCommand, LabProcess } from "./child-processes.js";
import type { History } from "./history.js";
import { hostKey } from "./hollow-workers.js";
import type { Assignment, FromProcess, Role } from "./messages.js";
import { type Region, type Scenario, teamNames } from "./scenario.js";

const READY_TIMEOUT_MS = 30_000;
const PROBE_INTERVAL_MS = 200;

/** The processes of one region. */
interface RegionProcesses {
  region: Region;
  state: LabProcess;
  cloud: LabProcess;
  users: LabProcess;
  controllers: ControllerProcess[];
}

/**
 * A region's share of each team's guarantee and limit, in proportion to its share of the machines.
 */
export function regionalTeams(scenario: Scenario, region: Region): Team[] {
  const { teams, regions } = scenario;
  const machines = regions.reduce((sum, one) => sum + one.machines, 0);
  const share = region.machines / machines;
  return teamNames(scenario).map((name) => ({
    name,
    cpus: Math.floor(teams.guarantee_cpus * share),
    cpus_max: Math.max(1, Math.floor(teams.limit_cpus * share)),
    gpus: 0,
    gpus_max: 0,
  }));
}

export class LabPlatform {
  readonly regions: RegionProcesses[] = [];
  readonly workerProcesses: LabProcess[] = [];
  /** Machines that are running, as `region/uid`. */
  readonly runningMachines = new Set<string>();
  readonly #folder = mkdtempSync(join(tmpdir(), "birchdale-lab-"));
  readonly #nodeAddresses: Record<string, Record<string, string>> = {};
  #seedsUsed = 0;

  constructor(
    readonly scenario: Scenario,
    /** Path of the program that all processes run. */
    readonly program: string,
    readonly history: History,
  ) {}

  get processes(): LabProcess[] {
    const own = this.regions.flatMap(({ state, cloud, users }) => [state, cloud, users]);
    return [...own, ...this.workerProcesses];
  }

  get controllers(): ControllerProcess[] {
    return this.regions.flatMap(({ controllers }) => controllers);
  }

  /**
   * @throws Error when a process does not start, or no controller of a region is healthy in time
   */
  async start(): Promise<void> {
    const { scenario } = this;
    for (const region of scenario.regions) {
      const [state, cloud] = [
        this.#createProcess("state", region),
        this.#createProcess("cloud", region),
      ];
      const nodes = await this.#allocateNodes(region);
      this.#nodeAddresses[region.name] = Object.fromEntries(
        nodes.map(({ name, listen }) => [name, listen]),
      );
      const users = this.#createProcess("users", region);
      this.regions.push({ region, state, cloud, users, controllers: [] });
      const addresses = { state: await state.start(), cloud: await cloud.start() };
      this.regions.at(-1)!.controllers = this.#createControllers(region, nodes, addresses);
    }
    for (let n = 0; n < scenario.workers.processes; n++) {
      const index = n;
      const process = this.#createProcess("workers", scenario.regions[0]!, (message) =>
        this.#onWorkerMessage(index, message),
      );
      this.workerProcesses.push(process);
    }
    for (const controller of this.controllers) controller.start();
    await Promise.all(this.workerProcesses.map((one) => one.start()));
    await Promise.all(this.regions.map(({ users }) => users.start()));
    await Promise.all(this.regions.map((one) => this.#waitUntilReady(one)));
  }

  /** Starts the initial machines and the users' submissions. */
  startLoad(): void {
    for (const { cloud, users } of this.regions) {
      cloud.send({ kind: "go" });
      users.send({ kind: "go" });
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.controllers.map((one) => one.kill()));
    await Promise.all(this.processes.map((one) => one.kill()));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Process that runs the worker of the machine `key` (`region/uid`). */
  workerProcessOf(key: string): LabProcess {
    return this.workerProcesses[hash(key) % this.workerProcesses.length]!;
  }

  regionOf(name: string): RegionProcesses {
    return this.regions.find(({ region }) => region.name === name)!;
  }

  #createProcess(
    role: Role,
    region: Region,
    onMessage: (message: FromProcess) => void = (message) => this.#onMessage(region, message),
  ): LabProcess {
    const { scenario } = this;
    const zones = scenario.zones.filter((one) => one.region === region.name);
    const assignment: Assignment = {
      role,
      scenario,
      region,
      zones: zones.map(({ name }) => name),
      seed: scenario.seed * 1000 + this.#seedsUsed++,
      nodes: this.#nodeAddresses,
      teams: regionalTeams(scenario, region),
    };
    return new LabProcess(this.program, assignment, onMessage);
  }

  async #allocateNodes(region: Region): Promise<NodeAddresses[]> {
    const zones = this.scenario.zones.filter((one) => one.region === region.name);
    const nodes: NodeAddresses[] = [];
    for (let n = 0; n < region.controllers; n++) {
      nodes.push({
        name: `${region.name}-${n}`,
        zone: zones[n % zones.length]!.name,
        listen: `127.0.0.1:${await freePort()}`,
        peer: `127.0.0.1:${await freePort()}`,
      });
    }
    return nodes;
  }

  #createControllers(
    region: Region,
    nodes: readonly NodeAddresses[],
    services: { state: string; cloud: string },
  ): ControllerProcess[] {
    const { scenario, program } = this;
    const { workers, state, cloud, controllers } = scenario;
    const command = controllerCommand(program);
    let tuning: string | null = null;
    if (controllers.tuning !== "") {
      tuning = join(this.#folder, "tuning.textproto");
      writeFileSync(tuning, controllers.tuning);
    }
    const params = {
      zones: scenario.zones.filter((one) => one.region === region.name).map(({ name }) => name),
      teams: regionalTeams(scenario, region),
      workers: {
        reportS: workers.report_s,
        leaseS: workers.lease_s,
        cancelS: workers.cancel_s,
      },
      state: {
        rps: state.rps,
        writeRps: state.write_rps,
        valueKb: state.value_kb,
        txnOps: state.txn_ops,
      },
      cloud: { rps: cloud.rps, listLagS: cloud.list_lag_s },
      quota: {
        cores: controllers.cores,
        ramMb: controllers.ram_mb,
        maxSockets: controllers.max_sockets,
      },
    };
    return nodes.map((node) => {
      const file = join(this.#folder, `${node.name}.toml`);
      writeFileSync(file, settingsText(node, nodes, services, params));
      return new ControllerProcess(
        node.name,
        node.listen,
        program,
        command,
        file,
        tuning,
        scenario.faults.controller_back_after_s * 1000,
      );
    });
  }

  async #waitUntilReady({ region, controllers }: RegionProcesses): Promise<void> {
    const deadline = systemClock.now() + READY_TIMEOUT_MS;
    const clients = controllers.map(({ listen }) => new HttpClient(listen, 1, systemClock));
    try {
      while (systemClock.now() < deadline) {
        const [exit] = controllers.flatMap(({ unexpectedExits }) => unexpectedExits);
        if (exit !== undefined) throw new Error(exit);
        for (const client of clients) {
          const answer = await client
            .call("GET", "/healthz", undefined, PROBE_INTERVAL_MS * 5)
            .catch(() => null);
          if (answer?.status === 200) return;
        }
        await sleep(systemClock, PROBE_INTERVAL_MS);
      }
    } finally {
      for (const client of clients) client.close();
    }
    throw new Error(`no controller of region ${region.name} became healthy in time`);
  }

  #onMessage(region: Region, message: FromProcess): void {
    const { name } = region;
    switch (message.kind) {
      case "up": {
        const { host, type } = message;
        const key = hostKey({ region: name, uid: host.uid });
        this.runningMachines.add(key);
        this.workerProcessOf(key).send({ kind: "boot", region: name, host, type });
        break;
      }
      case "gone": {
        const key = hostKey({ region: name, uid: message.uid });
        this.runningMachines.delete(key);
        this.workerProcessOf(key).send({ kind: "gone", region: name, uid: message.uid });
        break;
      }
      case "submits": {
        const { job, team, priority, at } = message;
        for (const process of this.workerProcesses) process.send({ kind: "job", job });
        this.history.submitted(job.uid, { team, priority, cpus: job.cores, submittedAt: at });
        break;
      }
      case "cancelled":
        this.history.cancelled(message.job, message.at);
        break;
    }
  }

  #onWorkerMessage(index: number, message: FromProcess): void {
    if (message.kind === "events") this.history.add(index, message.events, message.until);
    else if (message.kind === "address") {
      const { region, uid, address } = message;
      this.regionOf(region).cloud.send({ kind: "address", uid, address });
    }
  }
}
