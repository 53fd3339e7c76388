import { type ChildProcess, spawn } from "node:child_process";
import type { Clock, Timer } from "../clock.js";
import { HttpClient } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import type { Command } from "../wire/workers.js";
import type { CloudType, Host } from "./cloud.js";
import { HttpService, type ServiceRequest, type ServiceResponse } from "./http-service.js";

/** The part of a submitted job that workers need. */
export interface UploadedJob {
  uid: string;
  shape: string;
  cores: number;
  accelerators: number;
  memGb: number;
  bundle: string | null;
  sizeGb: number;
  expectS: number;
  stashEveryS: number;
  stashS: number;
  /** Command that a task runs instead of waiting for `expectS`; only where commands are allowed. */
  command?: string[];
  /**
   * For jobs from a submit file: `$(ProcId)` in the command and environment is replaced by the sum
   * of this and the task's number.
   */
  firstProc?: number;
  environment?: Record<string, string>;
}

/** Start or end of a task, reported to observers of the platform. */
export interface TaskEvent {
  kind: "started" | "ended";
  piece: string;
  host: string;
  berth: string;
  cause: string;
}

/** Minimum time between two reports, even if tasks change (PROTOCOL). */
const MIN_REPORT_INTERVAL_MS = 500;

interface Task {
  piece: string;
  attempt: number;
  job: UploadedJob;
  status: "pulling" | "running" | "saving" | "ended";
  cause: string;
  kept: boolean;
  timer: Timer | null;
  child: ChildProcess | null;
  runningSince: number;
  /** Saved progress that the task started from, seconds. */
  startProgressS: number;
}

export interface WorkerOptions {
  clock: Clock;
  host: Host;
  type: CloudType;
  /** Addresses of all controllers, by name. */
  nodes: ReadonlyMap<string, string>;
  reportMs: number;
  leaseMs: number;
  /** Runs commands of jobs; otherwise tasks only wait for `expectS`. */
  commands: boolean;
  jobOf(uid: string): UploadedJob | undefined;
  /** By task, its saved progress in seconds or that it is done; outlives the machine. */
  savedProgress: Map<string, number | "done">;
  onTaskEvent(event: TaskEvent): void;
  /** Called after every report with the answer's status, 0 if there was no answer. */
  onReportAnswered?(status: number): void;
  random(): number;
}

/**
 * Worker of one machine: runs tasks, sends reports, obeys the owner with the newest fencing token,
 * and kills its tasks when its lease expires.
 */
export class Worker extends HttpService {
  readonly tasks = new Map<string, Task>();
  session = 1;
  token = 0;
  /** Simulated network partition: no report is sent and no request answered. */
  cut = false;
  warningS: number | null = null;
  #reportNumber = 0;
  #leaseRenewedAt: number;
  #nodeNames: string[];
  #nodeIndex: number;
  #reportDue = false;
  #stopped = false;
  #reportTimer: Timer | null = null;
  #wakeReporter: (() => void) | null = null;
  /** When the last report was sent: none follows within `MIN_REPORT_INTERVAL_MS`. */
  #reportedAt = Number.NEGATIVE_INFINITY;
  readonly #cachedImages = new Set<string>();
  /** Connection to the controller that this worker reports to, and that controller's name. */
  #connection: { node: string; client: HttpClient } | null = null;

  constructor(readonly options: WorkerOptions) {
    super((request) => this.#handleRequest(request));
    this.#leaseRenewedAt = options.clock.now();
    this.#nodeNames = [...options.nodes.keys()];
    this.#nodeIndex = Math.floor(options.random() * this.#nodeNames.length);
  }

  override async start(): Promise<string> {
    const address = await super.start();
    void this.#reportLoop();
    return address;
  }

  /** Removes the machine with all its tasks. */
  override stop(): void {
    this.#stopped = true;
    this.#reportTimer?.cancel();
    this.#killAllTasks();
    this.#connection?.client.close();
    super.stop();
  }

  /** Restarts the machine: its tasks are killed, and its next report starts a new session. */
  restart(): void {
    this.#killAllTasks();
    this.session++;
    this.#leaseRenewedAt = this.options.clock.now();
    this.#reportSoon();
  }

  #killAllTasks(): void {
    for (const task of this.tasks.values()) {
      if (task.status !== "ended") this.#endTask(task, "killed");
    }
    this.tasks.clear();
  }

  report(): object {
    const { host } = this.options;
    return {
      host: host.uid,
      address: this.address,
      build: host.build,
      berth: host.berth,
      borrowed: host.borrowed,
      shift: this.session,
      tally: ++this.#reportNumber,
      baton: this.token,
      warningS: this.warningS,
      pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause, kept }) => ({
        piece,
        try: attempt,
        status,
        ...(status === "ended" ? { cause, kept } : {}),
      })),
    };
  }

  /**
   * Waits for `ms`; `#reportSoon` ends the wait earlier, but not before the next report may be
   * sent.
   */
  #waitForNextReport(ms: number): Promise<void> {
    const { clock } = this.options;
    const startedAt = clock.now();
    return new Promise((resolve) => {
      const sleepFor = (remainingMs: number): void => {
        this.#reportTimer?.cancel();
        this.#reportTimer = clock.after(remainingMs, () => {
          this.#wakeReporter = null;
          resolve();
        });
      };
      this.#wakeReporter = () => {
        const delayMs =
          Math.min(startedAt + ms, this.#reportedAt + MIN_REPORT_INTERVAL_MS) - clock.now();
        sleepFor(Math.max(0, delayMs));
      };
      if (this.#reportDue) this.#wakeReporter();
      else sleepFor(ms);
    });
  }

  #reportSoon(): void {
    this.#reportDue = true;
    this.#wakeReporter?.();
  }

  /** A worker has a single connection: one to another controller is closed first. */
  #connect(node: string): HttpClient {
    if (this.#connection?.node === node) return this.#connection.client;
    this.#connection?.client.close();
    const client = new HttpClient(this.options.nodes.get(node)!, 1, this.options.clock);
    this.#connection = { node, client };
    return client;
  }

  /** Sends reports one at a time, and acts on each answer as PROTOCOL's table of answers says. */
  async #reportLoop(): Promise<void> {
    const { clock, reportMs, leaseMs, random } = this.options;
    while (!this.#stopped) {
      if (clock.now() - this.#leaseRenewedAt > leaseMs) {
        this.#killAllTasks();
        this.session++;
        this.#leaseRenewedAt = clock.now();
      }
      const sentAt = clock.now();
      const { session } = this;
      this.#reportDue = false;
      const name = this.#nodeNames[this.#nodeIndex]!;
      const client = this.#connect(name);
      this.#reportedAt = sentAt;
      const answer = this.cut
        ? null
        : await client.call("POST", "/checkin", this.report(), 4000).catch(() => null);
      if (this.#stopped) return;
      this.options.onReportAnswered?.(answer?.status ?? 0);
      let waitMs = reportMs * (0.75 + 0.5 * random());
      const body = answer !== null && !this.cut && isMap(answer.body) ? answer.body : {};
      const tryNextNode = (): void => {
        this.#nodeIndex = (this.#nodeIndex + 1) % this.#nodeNames.length;
        waitMs = Math.min(1000, reportMs);
      };
      if (answer?.status === 421) {
        const target = this.#nodeNames.indexOf(String(body.answerTo));
        if (target < 0 || target === this.#nodeIndex) tryNextNode();
        else {
          this.#nodeIndex = target;
          waitMs = 0;
        }
      } else if (answer?.status !== 200) tryNextNode();
      else if (session === this.session && Number(body.baton) >= this.token) {
        if (Number(body.baton) > this.token) this.#reportDue = true;
        this.token = Number(body.baton);
        this.#leaseRenewedAt = sentAt;
        this.#executeOrders((body.orders ?? []) as Command[]);
      }
      await this.#waitForNextReport(waitMs);
    }
  }

  #handleRequest({ method, path, body }: ServiceRequest): ServiceResponse | null {
    if (this.cut) return null;
    if (method === "GET" && path === "/status") return { status: 200, body: this.report() };
    if (path !== "/orders" || !isMap(body)) return { status: 400 };
    const { baton, shift, orders } = body;
    if (typeof baton !== "number" || typeof shift !== "number") return { status: 400 };
    if (baton < this.token || shift !== this.session) return { status: 409, body: this.report() };
    this.token = baton;
    this.#executeOrders((orders ?? []) as Command[]);
    return { status: 200, body: this.report() };
  }

  #executeOrders(orders: readonly Command[]): void {
    for (const order of orders) {
      const known = this.tasks.get(order.piece);
      if (order.verb === "start") this.#startTask(order.piece, order.try, known);
      else if (known?.attempt !== order.try) continue;
      else if (order.verb === "clear" && known.status === "ended") this.tasks.delete(order.piece);
      else if (order.verb === "stop" && known.status !== "ended")
        this.#stopTask(known, order.windDownS);
      this.#reportSoon();
    }
  }

  #startTask(piece: string, attempt: number, known: Task | undefined): void {
    if (known?.attempt === attempt) return;
    const job = this.options.jobOf(piece.slice(0, piece.lastIndexOf("/")));
    const task: Task = {
      piece,
      attempt,
      job: job ?? ({} as UploadedJob),
      status: "pulling",
      cause: "",
      kept: false,
      timer: null,
      child: null,
      runningSince: 0,
      startProgressS: 0,
    };
    const refuse = (cause: string): void => {
      this.tasks.set(piece, { ...task, status: "ended", cause });
    };
    if (job === undefined || (known !== undefined && known.status !== "ended")) {
      refuse(job === undefined ? "no_such" : "in_use");
      return;
    }
    const { type, clock } = this.options;
    const free = { cores: type.cores, accelerators: type.accelerators, memGb: type.memGb };
    for (const { status, job: other } of this.tasks.values()) {
      if (status === "ended") continue;
      free.cores -= other.cores;
      free.accelerators -= other.accelerators;
      free.memGb -= other.memGb;
    }
    const insufficient = (["cores", "accelerators", "memGb"] as const).some(
      (resource) => job[resource] > free[resource] + 1e-6,
    );
    if (insufficient) {
      refuse("full");
      return;
    }
    this.tasks.set(piece, task);
    const image = job.bundle;
    const cached = image === null || this.#cachedImages.has(image);
    const fetchMs = cached ? 0 : (job.sizeGb / type.fetchGbPerS) * 1000;
    task.timer = clock.after(fetchMs, () => {
      if (image !== null) this.#cachedImages.add(image);
      this.#runTask(task);
    });
  }

  #runTask(task: Task): void {
    const { options } = this;
    const { job, piece } = task;
    const saved = options.savedProgress.get(piece);
    task.status = "running";
    task.runningSince = options.clock.now();
    task.startProgressS = typeof saved === "number" ? saved : 0;
    this.#reportSoon();
    options.onTaskEvent({ ...this.#taskEvent(task), kind: "started" });
    const done = (): void => {
      options.savedProgress.set(piece, "done");
      this.#endTask(task, "done");
    };
    if (saved === "done") done();
    else if (options.commands && job.command !== undefined && job.command.length > 0) {
      const procId = (job.firstProc ?? 0) + Number(piece.slice(piece.lastIndexOf("/") + 1));
      const substitute = (text: string): string => text.replaceAll("$(ProcId)", String(procId));
      const [program, ...args] = job.command.map(substitute);
      const env: NodeJS.ProcessEnv = { PIECE: piece };
      for (const [name, text] of Object.entries(job.environment ?? {}))
        env[name] = substitute(text);
      const child = spawn(program!, args, { stdio: "ignore", env });
      task.child = child;
      child.once("error", () => this.#endTask(task, "error"));
      child.once("exit", (code) => (code === 0 ? done() : this.#endTask(task, "error")));
    } else if (job.shape !== "service") {
      task.timer = options.clock.after(Math.max(0, job.expectS - task.startProgressS) * 1000, done);
    }
  }

  #taskEvent({ piece, cause }: Task): Omit<TaskEvent, "kind"> {
    return { piece, host: this.options.host.uid, berth: this.options.host.berth, cause };
  }

  #stopTask(task: Task, windDownS: number): void {
    const { job } = task;
    const saves = task.status === "running" && job.stashEveryS > 0 && windDownS >= job.stashS;
    if (task.status === "saving" && windDownS > 0) return;
    if (!saves) {
      this.#endTask(task, "stopped");
      return;
    }
    task.timer?.cancel();
    task.status = "saving";
    task.timer = this.options.clock.after(job.stashS * 1000, () => {
      const ranS = (this.options.clock.now() - task.runningSince) / 1000 - job.stashS;
      this.options.savedProgress.set(task.piece, task.startProgressS + Math.max(0, ranS));
      task.kept = true;
      this.#endTask(task, "stopped");
    });
  }

  #endTask(task: Task, cause: string): void {
    if (task.status === "ended") return;
    const hadStarted = task.status !== "pulling";
    task.timer?.cancel();
    task.status = "ended";
    task.cause = cause;
    this.#reportSoon();
    task.child?.kill("SIGKILL");
    if (hadStarted) this.options.onTaskEvent({ ...this.#taskEvent(task), kind: "ended" });
  }
}
