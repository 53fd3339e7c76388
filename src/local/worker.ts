import { type ChildProcess, spawn } from "node:child_process";
import type { Clock, Timer } from "../clock.js";
import { HttpClient } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import type { Command } from "../wire/workers.js";
import type { CloudType, Host } from "./cloud.js";
import { type Asked, type Given, Service } from "./serve.js";

/** What a worker has to know of a job: users upload it. */
export interface Uploaded {
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
  /** What a task runs instead of waiting for `expectS`; only where commands are allowed. */
  command?: string[];
  /** Of a submit file: `$(ProcId)` in the command stands for this number and the task's. */
  firstProc?: number;
  environment?: Record<string, string>;
}

/** What became of one task, for whoever watches the platform. */
export interface TaskEvent {
  kind: "started" | "ended";
  piece: string;
  host: string;
  berth: string;
  cause: string;
}

/** Reports go out no more often than this, whatever changes (PROTOCOL). */
const LEAST_APART_MS = 500;

interface Task {
  piece: string;
  attempt: number;
  job: Uploaded;
  status: "pulling" | "running" | "saving" | "ended";
  cause: string;
  kept: boolean;
  timer: Timer | null;
  child: ChildProcess | null;
  since: number;
  /** Progress when it began to run, seconds. */
  from: number;
}

export interface WorkerOptions {
  clock: Clock;
  host: Host;
  type: CloudType;
  /** Addresses by name, of all controllers. */
  nodes: ReadonlyMap<string, string>;
  reportMs: number;
  leaseMs: number;
  /** Runs commands of jobs; without it tasks only take their time. */
  commands: boolean;
  jobOf(uid: string): Uploaded | undefined;
  /** Progress that tasks have saved, and results: kept outside of machines. */
  saved: Map<string, number | "done">;
  tell(event: TaskEvent): void;
  /** Hears of every report: the answer's status, 0 when none came. */
  answered?(status: number): void;
  random(): number;
}

/** One machine's worker: reports, obeys the newest token, keeps its lease, runs tasks. */
export class Worker extends Service {
  readonly tasks = new Map<string, Task>();
  session = 1;
  token = 0;
  /** Nothing goes in or out. */
  cut = false;
  warningS: number | null = null;
  #tally = 0;
  #leaseFrom: number;
  #names: string[];
  #node: number;
  #changed = false;
  #stopped = false;
  #timer: Timer | null = null;
  #wake: (() => void) | null = null;
  /** When the last report was sent: none follows within `LEAST_APART_MS`. */
  #reportedAt = Number.NEGATIVE_INFINITY;
  readonly #images = new Set<string>();
  /** The connection to the node that this worker reports to, and that node's name. */
  #connection: { node: string; client: HttpClient } | null = null;

  constructor(readonly options: WorkerOptions) {
    super((asked) => this.#direct(asked));
    this.#leaseFrom = options.clock.now();
    this.#names = [...options.nodes.keys()];
    this.#node = Math.floor(options.random() * this.#names.length);
  }

  override async start(): Promise<string> {
    const address = await super.start();
    void this.#reports();
    return address;
  }

  /** The machine is gone, with all that was on it. */
  override stop(): void {
    this.#stopped = true;
    this.#timer?.cancel();
    this.#dropAll();
    this.#connection?.client.close();
    super.stop();
  }

  /** The machine is started anew: its tasks are gone, and its next report begins a session. */
  restart(): void {
    this.#dropAll();
    this.session++;
    this.#leaseFrom = this.options.clock.now();
    this.#hasChanged();
  }

  #dropAll(): void {
    for (const task of this.tasks.values()) {
      if (task.status !== "ended") this.#end(task, "killed");
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
      tally: ++this.#tally,
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

  /** Until the time is over; a change ends it earlier, but not before the next report may be sent. */
  #pause(ms: number): Promise<void> {
    const { clock } = this.options;
    const from = clock.now();
    return new Promise((resolve) => {
      const sleepFor = (left: number): void => {
        this.#timer?.cancel();
        this.#timer = clock.after(left, () => {
          this.#wake = null;
          resolve();
        });
      };
      this.#wake = () => {
        const left = Math.min(from + ms, this.#reportedAt + LEAST_APART_MS) - clock.now();
        sleepFor(Math.max(0, left));
      };
      if (this.#changed) this.#wake();
      else sleepFor(ms);
    });
  }

  #hasChanged(): void {
    this.#changed = true;
    this.#wake?.();
  }

  /** A worker has one connection: what it had to another node is closed. */
  #connect(node: string): HttpClient {
    if (this.#connection?.node === node) return this.#connection.client;
    this.#connection?.client.close();
    const client = new HttpClient(this.options.nodes.get(node)!, 1, this.options.clock);
    this.#connection = { node, client };
    return client;
  }

  /** One report after another, each to one node, as PROTOCOL's table of answers says. */
  async #reports(): Promise<void> {
    const { clock, reportMs, leaseMs, random } = this.options;
    while (!this.#stopped) {
      if (clock.now() - this.#leaseFrom > leaseMs) {
        this.#dropAll();
        this.session++;
        this.#leaseFrom = clock.now();
      }
      const sentAt = clock.now();
      const { session } = this;
      this.#changed = false;
      const name = this.#names[this.#node]!;
      const client = this.#connect(name);
      this.#reportedAt = sentAt;
      const answer = this.cut
        ? null
        : await client.call("POST", "/checkin", this.report(), 4000).catch(() => null);
      if (this.#stopped) return;
      this.options.answered?.(answer?.status ?? 0);
      let pause = reportMs * (0.75 + 0.5 * random());
      const body = answer !== null && !this.cut && isMap(answer.body) ? answer.body : {};
      const next = (): void => {
        this.#node = (this.#node + 1) % this.#names.length;
        pause = Math.min(1000, reportMs);
      };
      if (answer?.status === 421) {
        const to = this.#names.indexOf(String(body.answerTo));
        if (to < 0 || to === this.#node) next();
        else {
          this.#node = to;
          pause = 0;
        }
      } else if (answer?.status !== 200) next();
      else if (session === this.session && Number(body.baton) >= this.token) {
        if (Number(body.baton) > this.token) this.#changed = true;
        this.token = Number(body.baton);
        this.#leaseFrom = sentAt;
        this.#execute((body.orders ?? []) as Command[]);
      }
      await this.#pause(pause);
    }
  }

  #direct({ method, path, body }: Asked): Given | null {
    if (this.cut) return null;
    if (method === "GET" && path === "/status") return { status: 200, body: this.report() };
    if (path !== "/orders" || !isMap(body)) return { status: 400 };
    const { baton, shift, orders } = body;
    if (typeof baton !== "number" || typeof shift !== "number") return { status: 400 };
    if (baton < this.token || shift !== this.session) return { status: 409, body: this.report() };
    this.token = baton;
    this.#execute((orders ?? []) as Command[]);
    return { status: 200, body: this.report() };
  }

  #execute(orders: readonly Command[]): void {
    for (const order of orders) {
      const known = this.tasks.get(order.piece);
      if (order.verb === "start") this.#begin(order.piece, order.try, known);
      else if (known?.attempt !== order.try) continue;
      else if (order.verb === "clear" && known.status === "ended") this.tasks.delete(order.piece);
      else if (order.verb === "stop" && known.status !== "ended")
        this.#halt(known, order.windDownS);
      this.#hasChanged();
    }
  }

  #begin(piece: string, attempt: number, known: Task | undefined): void {
    if (known?.attempt === attempt) return;
    const job = this.options.jobOf(piece.slice(0, piece.lastIndexOf("/")));
    const task: Task = {
      piece,
      attempt,
      job: job ?? ({} as Uploaded),
      status: "pulling",
      cause: "",
      kept: false,
      timer: null,
      child: null,
      since: 0,
      from: 0,
    };
    const refuse = (cause: string): void => {
      this.tasks.set(piece, { ...task, status: "ended", cause });
    };
    if (job === undefined || (known !== undefined && known.status !== "ended")) {
      refuse(job === undefined ? "no_such" : "in_use");
      return;
    }
    const { type, clock } = this.options;
    const left = { cores: type.cores, accelerators: type.accelerators, memGb: type.memGb };
    for (const { status, job: other } of this.tasks.values()) {
      if (status === "ended") continue;
      left.cores -= other.cores;
      left.accelerators -= other.accelerators;
      left.memGb -= other.memGb;
    }
    const small = (["cores", "accelerators", "memGb"] as const).some(
      (what) => job[what] > left[what] + 1e-6,
    );
    if (small) {
      refuse("full");
      return;
    }
    this.tasks.set(piece, task);
    const image = job.bundle;
    const here = image === null || this.#images.has(image);
    const fetchMs = here ? 0 : (job.sizeGb / type.fetchGbPerS) * 1000;
    task.timer = clock.after(fetchMs, () => {
      if (image !== null) this.#images.add(image);
      this.#runs(task);
    });
  }

  #runs(task: Task): void {
    const { options } = this;
    const { job, piece } = task;
    const saved = options.saved.get(piece);
    task.status = "running";
    task.since = options.clock.now();
    task.from = typeof saved === "number" ? saved : 0;
    this.#hasChanged();
    options.tell({ ...this.#event(task), kind: "started" });
    const done = (): void => {
      options.saved.set(piece, "done");
      this.#end(task, "done");
    };
    if (saved === "done") done();
    else if (options.commands && job.command !== undefined && job.command.length > 0) {
      const proc = (job.firstProc ?? 0) + Number(piece.slice(piece.lastIndexOf("/") + 1));
      const filled = (text: string): string => text.replaceAll("$(ProcId)", String(proc));
      const [program, ...args] = job.command.map(filled);
      const env: NodeJS.ProcessEnv = { PIECE: piece };
      for (const [name, text] of Object.entries(job.environment ?? {})) env[name] = filled(text);
      const child = spawn(program!, args, { stdio: "ignore", env });
      task.child = child;
      child.once("error", () => this.#end(task, "error"));
      child.once("exit", (code) => (code === 0 ? done() : this.#end(task, "error")));
    } else if (job.shape !== "service") {
      task.timer = options.clock.after(Math.max(0, job.expectS - task.from) * 1000, done);
    }
  }

  #event({ piece, cause }: Task): Omit<TaskEvent, "kind"> {
    return { piece, host: this.options.host.uid, berth: this.options.host.berth, cause };
  }

  #halt(task: Task, windDownS: number): void {
    const { job } = task;
    const saves = task.status === "running" && job.stashEveryS > 0 && windDownS >= job.stashS;
    if (task.status === "saving" && windDownS > 0) return;
    if (!saves) {
      this.#end(task, "stopped");
      return;
    }
    task.timer?.cancel();
    task.status = "saving";
    task.timer = this.options.clock.after(job.stashS * 1000, () => {
      const ran = (this.options.clock.now() - task.since) / 1000 - job.stashS;
      this.options.saved.set(task.piece, task.from + Math.max(0, ran));
      task.kept = true;
      this.#end(task, "stopped");
    });
  }

  #end(task: Task, cause: string): void {
    if (task.status === "ended") return;
    const ran = task.status !== "pulling";
    task.timer?.cancel();
    task.status = "ended";
    task.cause = cause;
    this.#hasChanged();
    task.child?.kill("SIGKILL");
    if (ran) this.options.tell({ ...this.#event(task), kind: "ended" });
  }
}
