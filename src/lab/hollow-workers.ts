/** A process of hollow workers: each speaks PROTOCOL for itself, and its tasks only take their time. */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { type Clock, systemClock } from "../clock.js";
import { type CloudType, type Host, type Uploaded, Worker } from "../local/index.js";
import { Draw } from "./draw.js";
import {
  type Assignment,
  type Figures,
  type FromProcess,
  sharedNow,
  type TimedEvent,
  type ToProcess,
} from "./messages.js";
import type { RoleProcess } from "./services.js";

/** Clouds of different regions give the same names. */
export const hostKey = ({ region, uid }: { region: string; uid: string }): string =>
  `${region}/${uid}`;

/** How often events are told on. */
const FLUSH_MS = 100;

/** Bytes of all connections that this process opens or takes. */
class SocketBytes {
  readonly #open = new Set<Socket>();
  #read = 0;
  #written = 0;

  constructor() {
    const follow = (message: unknown): void => {
      const { socket } = message as { socket: Socket };
      this.#open.add(socket);
      socket.once("close", () => {
        this.#open.delete(socket);
        this.#read += socket.bytesRead;
        this.#written += socket.bytesWritten;
      });
    };
    subscribe("net.client.socket", follow);
    subscribe("net.server.socket", follow);
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
  readonly #saved = new Map<string, number | "done">();
  readonly #bytes = new SocketBytes();
  readonly #draw: Draw;
  #events: TimedEvent[] = [];
  #reports = 0;
  #refused = 0;

  constructor(
    readonly assignment: Assignment,
    readonly send: (message: FromProcess) => void,
    readonly clock: Clock = systemClock,
  ) {
    this.#draw = new Draw(assignment.seed);
  }

  async start(): Promise<string> {
    setInterval(() => this.#flush(), FLUSH_MS);
    return "";
  }

  #flush(): void {
    const events = this.#events;
    this.#events = [];
    // Also without events: it says that there are none until now.
    this.send({ kind: "events", events, until: sharedNow() });
  }

  take(message: ToProcess): void {
    if (message.kind === "boot") void this.#boot(message.region, message.host, message.type);
    else if (message.kind === "restart") this.#workers.get(hostKey(message))?.restart();
    else if (message.kind === "job") this.#jobs.set(message.job.uid, message.job);
    else if (message.kind === "gone") {
      const key = hostKey(message);
      this.#workers.get(key)?.stop();
      this.#workers.delete(key);
    }
  }

  async #boot(region: string, host: Host, type: CloudType): Promise<void> {
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
      savedProgress: this.#saved,
      onTaskEvent: (event) => this.#events.push({ ...event, host: key, at: sharedNow() }),
      onReportAnswered: (status) => {
        this.#reports++;
        if (status !== 200) this.#refused++;
      },
      random: this.#draw.random,
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
    const { read, written } = this.#bytes.total();
    const traffic = {
      workers: this.#workers.size,
      reports: this.#reports,
      refused: this.#refused,
      bytesOut: written,
      bytesIn: read,
    };
    return { role: "workers", traffic, tasks };
  }
}
