import type { Command } from "../../src/wire/workers.js";
import type { World } from "./world.js";

export interface Task {
  piece: string;
  attempt: number;
  state: "pulling" | "running" | "ended";
  cause: string;
  until: number;
}

/** A machine type of the simulated cloud. */
export interface Build {
  name: string;
  cores: number;
  memGb: number;
  rate: number;
}

export const M4: Build = { name: "m4", cores: 4, memGb: 16, rate: 1 };

/** One simulated machine and its worker, as PROTOCOL describes them. */
export class Worker {
  session = 1;
  seq = 0;
  token = 0;
  leaseFrom: number;
  readonly tasks = new Map<string, Task>();
  node = 0;
  /** Nothing reaches it, and its reports reach nobody. */
  cut = false;
  /** It does nothing, but its tasks count as running. */
  hung = false;
  gone = false;
  /** Its reports arrive, but answers and commands do not reach it. */
  deaf = false;
  /** Its reports reach no controller, but commands reach it. */
  mute = false;
  #changed = false;

  constructor(
    readonly world: World,
    readonly id: string,
    readonly spot: boolean,
    readonly zone = "a",
    readonly build: Build = M4,
  ) {
    this.leaseFrom = world.clock.now();
    this.node = world.random.int(0, world.nodes - 1);
    world.clock.after(world.random.int(0, 1000), () => this.#reportLoop());
    this.#updateTasks();
  }

  /** Whether a task could be started on it. */
  get isReachable(): boolean {
    return !(this.cut || this.hung || this.gone || this.deaf || this.mute);
  }

  get address(): string {
    return `w:${this.id}`;
  }

  #updateTasks(): void {
    if (this.gone) return;
    const now = this.world.clock.now();
    if (!this.hung) {
      if (now - this.leaseFrom > this.world.leaseMs) {
        this.tasks.clear();
        this.world.leasesEnded++;
        this.session++;
        this.leaseFrom = now;
      }
      for (const task of this.tasks.values()) {
        if (task.state === "ended" || now < task.until) continue;
        const job = this.world.jobOf(task.piece);
        if (task.state === "pulling") {
          task.state = "running";
          const nth = Number(task.piece.slice(task.piece.lastIndexOf("/") + 1));
          task.until =
            now + (job.done.has(task.piece) ? 0 : job.runMs + nth * job.extraRunMsPerTask);
        } else {
          task.state = "ended";
          task.cause = job.fails ? "error" : "done";
          if (!job.fails) {
            job.done.add(task.piece);
            if (job.done.size === job.tasks) this.world.users.onAllTasksDone(job);
          }
        }
        this.#changed = true;
      }
    }
    this.world.clock.after(100, () => this.#updateTasks());
  }

  /** Restarts at once: its tasks are gone, and a new session begins. */
  reboot(): void {
    this.tasks.clear();
    this.session++;
    this.seq = 0;
    this.leaseFrom = this.world.clock.now();
    this.#changed = true;
  }

  report(): object {
    return {
      host: this.id,
      address: this.address,
      build: this.build.name,
      berth: this.zone,
      borrowed: this.spot,
      shift: this.session,
      tally: ++this.seq,
      baton: this.token,
      warningS: null,
      pieces: [...this.tasks.values()].map(({ piece, attempt, state, cause }) => ({
        piece,
        try: attempt,
        status: state,
        ...(state === "ended" ? { cause } : {}),
      })),
    };
  }

  async #reportLoop(): Promise<void> {
    const { world } = this;
    while (!this.gone) {
      if (this.hung) {
        await world.sleep(100);
        continue;
      }
      const sentAt = world.clock.now();
      const session = this.session;
      this.#changed = false;
      const answer = await world.deliverReport(this, this.node, this.report());
      let pause = world.random.int(1500, 2500);
      if (this.gone) return;
      if (this.hung || answer === null || world.clock.now() - sentAt > 4000) {
        this.node = (this.node + 1) % world.nodes;
        pause = 1000;
      } else if (answer.status === 421) {
        const to = /^n(\d+)$/.exec(String((answer.body as Record<string, unknown>).answerTo ?? ""));
        const next = to === null ? -1 : Number(to[1]);
        pause = next >= 0 && next !== this.node ? 100 : 1000;
        this.node = next >= 0 && next !== this.node ? next : (this.node + 1) % world.nodes;
      } else if (answer.status !== 200) {
        this.node = (this.node + 1) % world.nodes;
        pause = 1000;
      } else if (session === this.session) {
        const body = answer.body as { baton: number; orders: Command[] };
        if (body.baton >= this.token) {
          if (body.baton > this.token) this.#changed = true;
          this.token = body.baton;
          this.leaseFrom = sentAt;
          this.world.onAnswer(this, this.node, body.baton);
          this.execute(body.orders);
        }
      }
      for (let waited = 0; waited < pause; waited += 100) {
        if (this.#changed && waited >= 500) break;
        await world.sleep(100);
      }
    }
  }

  execute(orders: Command[]): void {
    for (const { verb, piece, try: attempt } of orders) {
      const known = this.tasks.get(piece);
      if (verb === "start") {
        if (known !== undefined && known.attempt === attempt) continue;
        this.#changed = true;
        const end = (cause: string): void => {
          this.tasks.set(piece, { piece, attempt, state: "ended", cause, until: 0 });
        };
        if (known !== undefined && known.state !== "ended") continue;
        const job = this.world.jobs.get(piece.slice(0, piece.lastIndexOf("/")));
        if (job === undefined) {
          end("no_such");
          continue;
        }
        let used = job.cpus;
        for (const task of this.tasks.values()) {
          if (task.state !== "ended") used += this.world.jobOf(task.piece).cpus;
        }
        if (used > this.build.cores) {
          end("full");
          continue;
        }
        this.tasks.set(piece, {
          piece,
          attempt,
          state: "pulling",
          cause: "",
          until: this.world.clock.now() + 1000,
        });
        this.world.onTaskStarted(this, piece);
      } else if (known !== undefined && known.attempt === attempt) {
        if (verb === "clear" && known.state === "ended") this.tasks.delete(piece);
        if (verb === "stop" && known.state !== "ended") {
          known.state = "ended";
          known.cause = "stopped";
        }
        this.#changed = true;
      }
    }
  }
}
