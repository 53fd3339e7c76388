/** Roles of child processes that run a stand-in: the state service or the cloud of one region. */
import { systemClock } from "../clock.js";
import { Cloud, type CloudType, StateServer, StateService, sizeOf } from "../local/index.js";
import type { Assignment, Figures, FromProcess, ToProcess } from "./messages.js";
import { RandomSource } from "./random-source.js";

type Send = (message: FromProcess) => void;

/** A child process's role in the run: handles messages and provides figures. */
export interface RoleProcess {
  /** @returns the address it serves on, "" if it does not serve */
  start(): Promise<string>;
  onMessage(message: ToProcess): void;
  figures(): Figures;
}

const CONDITIONS_PER_CHANGE = 4;

export class StateProcess implements RoleProcess {
  readonly #state: StateService;
  readonly #server: StateServer;

  constructor({ scenario, seed }: Assignment) {
    const { rps, write_rps, value_kb, txn_ops, latency_ms } = scenario.state;
    const randomSource = new RandomSource(seed);
    this.#state = new StateService(systemClock, {
      ops: txn_ops,
      conditions: txn_ops * CONDITIONS_PER_CHANGE,
      valueBytes: value_kb * 1024,
    });
    const limits = { rps, writeRps: write_rps };
    this.#server = new StateServer(this.#state, systemClock, limits, randomSource.random, () =>
      randomSource.latencyMs(latency_ms),
    );
  }

  start(): Promise<string> {
    return this.#server.start();
  }

  onMessage(message: ToProcess): void {
    if (message.kind === "outage") this.#state.setOutage(message.on);
  }

  figures(): Figures {
    let bytesKept = 0;
    for (const { value } of this.#state.rows.values()) bytesKept += sizeOf(value);
    const { use } = this.#server;
    return { role: "state", use: { ...use }, keys: this.#state.rows.size, bytesKept };
  }
}

/** Image cache size and download rate of machines; lab runs do not measure image downloads. */
const CACHE_GB = 100;
const FETCH_GB_PER_S = 10;
const SPOT_SHARE_OF_PRICE = 0.3;

export class CloudProcess implements RoleProcess {
  readonly #cloud: Cloud;
  readonly #assignment: Assignment;
  readonly #type: CloudType;

  constructor(assignment: Assignment, send: Send) {
    this.#assignment = assignment;
    const { scenario, region, zones, seed } = assignment;
    const { machine, cloud } = scenario;
    const randomSource = new RandomSource(seed);
    this.#type = {
      name: machine.type,
      cores: machine.cpus,
      accelerators: 0,
      memGb: machine.memory_gb,
      cacheGb: CACHE_GB,
      fetchGbPerS: FETCH_GB_PER_S,
      rate: machine.price,
      spotPrice: machine.price * SPOT_SHARE_OF_PRICE,
      bootS: machine.boot_s,
      berths: zones,
    };
    this.#cloud = new Cloud(
      systemClock,
      [this.#type],
      Math.ceil((region.machines + region.spare_machines) / zones.length),
      { rps: cloud.rps, listLagMs: cloud.list_lag_s * 1000 },
      {
        up: (host, type) => send({ kind: "up", host, type }),
        terminationNotice: () => undefined,
        gone: (uid) => send({ kind: "gone", uid }),
      },
      randomSource.random,
      () => randomSource.latencyMs(cloud.latency_ms),
    );
    this.#cloud.maxMachines = region.machines + region.spare_machines;
  }

  start(): Promise<string> {
    return this.#cloud.start();
  }

  onMessage(message: ToProcess): void {
    const { region, zones } = this.#assignment;
    if (message.kind === "go") {
      for (let n = 0; n < region.machines; n++)
        this.#cloud.add(this.#type, zones[n % zones.length]!, false, true);
    } else if (message.kind === "address") {
      this.#cloud.addresses.set(message.uid, message.address);
    } else if (message.kind === "fail") {
      for (const uid of message.uids) this.#cloud.fail(uid);
    }
  }

  figures(): Figures {
    const { hosts, heldMs } = this.#cloud;
    return { role: "cloud", machines: hosts.size, heldMs };
  }
}
