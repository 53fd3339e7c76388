/**
 * A process that runs many hollow workers. Each implements PROTOCOL on its own connection, but its
 * tasks only wait for their run time.
 */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { type Clock, systemClock } from "../clock.js";
import { type CloudType, type Host, type Uploaded, Worker } from "../local/index.js";
import {
  type Assignment,
  type Figures,
  type FromProcess,
  sharedNow,
  type TimedEvent,
  type ToProcess,
} from "./messages.js";
import { RandomSource } from "./random-source.js";
import type { RoleProcess } from "./stand-in-processes.js";

/** Unique key of a host: clouds of different regions assign the same uids. */
export const hostKey = ({ region, uid }: { region: string; uid: string }): string =>
  `${region}/${uid}`;

/** How often events are sent to the run. */
const FLUSH_INTERVAL_MS = 100;

/** Counts the bytes of all connections that this process opens or accepts. */
class SocketTraffic {
  readonly #open = new Set<Socket>();
  #read = 0;
  #written = 0;

  constructor() {
    const track = (message: unknown): void => {
      const { socket } = message as { socket: Socket };
      this.#open.add(socket);
      socket.once("close", () => {
        this.#open.delete(socket);
        this.#read += socket.bytesRead;
        this.#written += socket.bytesWritten;
      });
    };
    subscribe("net.client.socket", track);
    subscribe("net.server.socket", track);
  }

  total(): { read: number; written: number } {
    let read = this.#read;
    let written = this.#written;
    for (const socket of this.#open) {
      read += socket.bytesRead;
      written += socket.bytesWritten;
    }
    return { read, written };
  }
}

export class HollowWorkers implements RoleProcess {
  readonly #workers = new Map<string, Worker>();
  readonly #jobs = new Map<string, Uploaded>();
  readonly #savedProgress = new Map<string, number | "done">();
  readonly #traffic = new SocketTraffic();
  readonly #randomSource: RandomSource;
  #events: TimedEvent[] = [];
  #reports = 0;
  #refusedReports = 0;

  constructor(
    readonly assignment: Assignment,
    readonly send: (message: FromProcess) => void,
    readonly clock: Clock = systemClock,
  ) {
    this.#randomSource = new RandomSource(assignment.seed);
  }

  async start(): Promise<string> {
    setInterval(() => this.#flush(), FLUSH_INTERVAL_MS);
    return "";
  }

  #flush(): void {
    const events = this.#events;
    this.#events = [];
    // Sent even without events, so that the run knows that there are none up to now.
    this.send({ kind: "events", events, until: sharedNow() });
  }

  onMessage(message: ToProcess): void {
    if (message.kind === "boot") void this.#startWorker(message.region, message.host, message.type);
    else if (message.kind === "restart") this.#workers.get(hostKey(message))?.restart();
    else if (message.kind === "job") this.#jobs.set(message.job.uid, message.job);
    else if (message.kind === "gone") {
      const key = hostKey(message);
      this.#workers.get(key)?.stop();
      this.#workers.delete(key);
    }
  }

  async #startWorker(region: string, host: Host, type: CloudType): Promise<void> {
    const { scenario, nodes } = this.assignment;
    const { report_s, lease_s } = scenario.workers;
    const key = hostKey({ region, uid: host.uid });
    const worker = new Worker({
      clock: this.clock,
      host,
      type,
      nodes: new Map(Object.entries(nodes[region]!)),
      reportMs: report_s * 1000,
      leaseMs: lease_s * 1000,
      commands: false,
      jobOf: (uid) => this.#jobs.get(uid),
      savedProgress: this.#savedProgress,
      onTaskEvent: (event) => this.#events.push({ ...event, host: key, at: sharedNow() }),
      onReportAnswered: (status) => {
        this.#reports++;
        if (status !== 200) this.#refusedReports++;
      },
      random: this.#randomSource.random,
    });
    this.#workers.set(key, worker);
    const address = await worker.start();
    this.send({ kind: "address", region, uid: host.uid, address });
  }

  figures(): Figures {
    let tasks = 0;
    for (const worker of this.#workers.values()) {
      for (const { status } of worker.tasks.values()) if (status !== "ended") tasks++;
    }
    const { read, written } = this.#traffic.total();
    const traffic = {
      workers: this.#workers.size,
      reports: this.#reports,
      refused: this.#refusedReports,
      bytesOut: written,
      bytesIn: read,
    };
    return { role: "workers", traffic, tasks };
  }
}
