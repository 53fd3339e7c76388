import { randomUUID } from "node:crypto";
import { Agent, type Server } from "node:http";
import { type Clock, systemClock } from "./clock.js";
import { type ArchiveOptions, Controller, coreRecordValidator } from "./controller/index.js";
import type { Extension } from "./extension/index.js";
import { HttpClient } from "./http/client.js";
import { startServer } from "./http/server.js";
import type { Log } from "./log.js";
import { Mesh } from "./peer/mesh.js";
import { clusterOf, type Settings } from "./settings/settings.js";
import type { Tuning } from "./settings/tuning.js";
import { StoreClient, storeLimits } from "./state/store.js";
import { ordersPath } from "./wire/workers.js";

export interface NodeOptions {
  settings: Settings;
  tuning?: Tuning;
  extensions?: readonly Extension[];
  log: Log;
  clock?: Clock;
  /**
   * If set, this controller creates an archive of finished jobs; says when they are moved to it.
   */
  archive?: ArchiveOptions;
  /** Called once when the controller has stopped because it cannot continue. */
  fatal?(why: string): void;
}

/** A controller with its sockets, as run by the daemon or embedded in a program. */
export class ControllerNode {
  readonly #settings: Settings;
  readonly #log: Log;
  readonly #controller: Controller;
  readonly #mesh: Mesh;
  readonly #state: HttpClient;
  readonly #cloud: HttpClient;
  /** Connections to workers, one per worker. */
  readonly #workers: Agent;
  #server: Server | null = null;

  constructor(options: NodeOptions) {
    const { settings, tuning, extensions, log, clock = systemClock, archive, fatal } = options;
    this.#settings = settings;
    this.#log = log;
    const { params, services } = settings;
    const cluster = clusterOf(settings);
    const leaseMs = params.workers.lease_s * 1000;
    const reportMs = params.workers.report_s * 1000;
    this.#state = new HttpClient(
      services.state,
      Math.max(4, Math.floor(params.quota.max_sockets / 20)),
      clock,
    );
    this.#cloud = new HttpClient(services.cloud, 4, clock);
    this.#workers = new Agent({ keepAlive: true, maxSockets: 1, timeout: 2 * leaseMs });
    const store = new StoreClient(
      this.#state,
      storeLimits(params.state),
      clock,
      reportMs,
      coreRecordValidator((key, why) => log.error({ key, why }, "record not written")),
    );
    store.divide(cluster.length);
    this.#controller = new Controller({
      settings,
      tuning,
      extensions,
      log,
      clock,
      run: randomUUID(),
      archive,
      fatal,
      links: {
        store,
        cloud: this.#cloud,
        order: (address, body) => {
          new HttpClient(address, this.#workers, clock)
            .call("POST", ordersPath, body, reportMs)
            .catch((error) =>
              log.debug({ why: String(error) }, "commands not answered by the worker"),
            );
        },
        broadcast: (frame) => this.#mesh.broadcast(frame),
        send: (to, frame) => this.#mesh.send(to, frame),
      },
    });
    this.#mesh = new Mesh(
      settings.node_name,
      settings.cluster_listen,
      cluster.filter(({ name }) => name !== settings.node_name),
      clock,
      log,
      leaseMs / 12,
      (frame, from) => this.#controller.hear(frame, from),
      (from) => this.#controller.closed(from),
    );
  }

  async start(): Promise<void> {
    this.#server = await startServer(
      this.#settings.listen,
      this.#controller.router,
      this.#log,
      // The remaining sockets are for outgoing connections.
      Math.floor(this.#settings.params.quota.max_sockets * 0.9),
    );
    await this.#mesh.start();
    this.#controller.start();
    this.#log.info({ listen: this.#settings.listen }, "started");
  }

  /**
   * Hands all claims over to other controllers before a planned shutdown. Resolves once this
   * controller owns nothing.
   * @throws when the state service does not answer
   */
  drain(on = true): Promise<void> {
    return this.#controller.drain(on);
  }

  stop(): void {
    this.#controller.stop();
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#mesh.stop();
    this.#state.close();
    this.#cloud.close();
    this.#workers.destroy();
  }
}
