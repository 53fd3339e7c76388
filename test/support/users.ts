import type { Answer } from "../../src/http/client.js";
import type { World } from "./world.js";

export interface Job {
  id: string;
  body: Record<string, unknown>;
  team: string;
  /** The class that it belongs to. */
  eidos: string;
  tasks: number;
  cpus: number;
  spot: boolean;
  runMs: number;
  /** How much longer each task runs than the one before it. */
  apartMs: number;
  /** Every task fails, always. */
  fails: boolean;
  done: Set<string>;
  accepted: boolean;
  toldDone: boolean;
  toldCancelledAt: number | null;
  askedToCancel: boolean;
  submittedAt: number;
  /** When a question about it was last answered, if that happened. */
  answeredAt: number;
  /** When its first task started. */
  beganAt: number | null;
  /** Jobs that it awaits. */
  awaits: string[];
}

type Wish = Partial<Job> & { team: string; tasks: number; rank?: string };

/** What the operators check at the end of a day, in their numbers. */
const FORGOTTEN_MS = 75_000;
const SERVED = 0.5;
const LARGEST_MS = 4 * 60_000;
/** A class's largest jobs: this share of it, by what all tasks take together. */
const LARGEST = 0.1;

const sizeOf = ({ tasks, cpus, runMs }: Job): number => tasks * cpus * runMs;

/** Submit jobs, ask about them for as long as the day lasts, and judge what they are told. */
export class Users {
  readonly jobs = new Map<string, Job>();
  /** When all troubles that have begun so far are over. */
  troubleUntil = 0;

  constructor(readonly world: World) {}

  #made(body: Record<string, unknown>, job: Partial<Job>): Job {
    const made: Job = {
      id: String(body.uid),
      body,
      team: String(body.owner),
      eidos: String(body.eidos),
      tasks: Number(body.pieces),
      cpus: Number(body.cores),
      spot: body.borrowed === true,
      runMs: job.runMs ?? Number(body.expectS) * 1000,
      apartMs: job.apartMs ?? 0,
      fails: job.fails ?? false,
      done: new Set(),
      accepted: false,
      toldDone: false,
      toldCancelledAt: null,
      askedToCancel: false,
      submittedAt: this.world.clock.now(),
      answeredAt: this.world.clock.now(),
      beganAt: null,
      awaits: (body.awaits as string[] | undefined) ?? [],
    };
    this.jobs.set(made.id, made);
    return made;
  }

  /** A job whose sender is somebody else: known here once its body passes. */
  adopt(body: Record<string, unknown>): Job {
    return this.jobs.get(String(body.uid)) ?? this.#made(body, {});
  }

  /** It has been accepted: from now on it is asked about as by its user. */
  follow(job: Job): void {
    if (job.accepted) return;
    job.accepted = true;
    void this.#user(job);
  }

  submit(id: string, job: Wish): Job {
    const body = {
      uid: id,
      eidos: job.eidos ?? "test",
      owner: job.team,
      shape: "batch",
      urgency: job.rank ?? "normal",
      pieces: job.tasks,
      cores: job.cpus ?? 1,
      accelerators: 0,
      memGb: 1,
      bundle: "image",
      sizeGb: 1,
      builds: null,
      berth: null,
      together: false,
      scatter: false,
      borrowed: job.spot ?? true,
      expectS: 10,
      stashEveryS: 0,
      stashS: 0,
      dueS: null,
      ...job.body,
    };
    const made = this.#made(body, { runMs: 10_000, ...job });
    void this.#user(made);
    return made;
  }

  cancel(id: string): void {
    const job = this.jobs.get(id)!;
    job.askedToCancel = true;
    void (async () => {
      while (job.toldCancelledAt === null && !job.toldDone) {
        const answer = await this.#anyNode("POST", `/api/jobs/${id}/withdraw`);
        if (answer?.status === 200) this.#told(job, answer);
        else await this.world.sleep(1000);
      }
    })();
  }

  #anyNode(method: string, path: string, body?: object): Promise<Answer | null> {
    const { world } = this;
    const n = world.random.int(0, world.nodes - 1);
    return world.deaf.has(n) ? Promise.resolve(null) : world.ask(n, method, path, body);
  }

  async #user(job: Job): Promise<void> {
    const { world } = this;
    while (!job.accepted) {
      const answer = await this.#anyNode("POST", "/api/jobs", job.body);
      if (answer?.status === 201 || answer?.status === 200) {
        job.accepted = true;
        this.#told(job, answer);
      } else await world.sleep(1000);
    }
    let forgotten = false;
    // Polls go on after the end: the final state must be kept.
    for (;;) {
      await world.sleep(3000);
      const answer = await this.#anyNode("GET", `/api/jobs/${job.id}`);
      if (answer?.status === 200) this.#told(job, answer);
      else if (answer?.status === 404) world.broken("forgotten", job.id);
      const since = Math.max(job.answeredAt, this.troubleUntil);
      if (!forgotten && world.clock.now() - since > FORGOTTEN_MS) {
        forgotten = true;
        world.broken("forgotten", `${job.id}: no question answered since ${since}`);
      }
      if (answer !== null && world.random.chance(0.05)) {
        const again = await this.#anyNode("POST", "/api/jobs", job.body);
        if (again?.status === 200) this.#told(job, again);
        else if (again !== null && [201, 400, 422].includes(again.status)) {
          world.broken("forgotten", `${job.id}: ${again.status} to a repeated submission`);
        }
      }
    }
  }

  #told(job: Job, { body }: Answer): void {
    const { world } = this;
    const { status } = body as { status: string };
    job.answeredAt = world.clock.now();
    if (status === "done") {
      if (job.done.size < job.tasks) world.broken("not_done", job.id);
      if (job.toldCancelledAt !== null) world.broken("went_back", job.id);
      job.toldDone = true;
    } else if (status === "cancelled") {
      const asked = job.askedToCancel || this.#before(job, ({ askedToCancel }) => askedToCancel);
      if (!asked || job.toldDone) world.broken("went_back", job.id);
      job.toldCancelledAt ??= world.clock.now();
    } else if (job.toldDone || job.toldCancelledAt !== null) {
      world.broken("went_back", `${job.id} is ${status} again`);
    } else {
      const since = this.#cancelledBefore(job);
      if (since !== null && world.clock.now() - since > world.cancelMs) {
        world.broken("orphaned", `${job.id} is ${status}, ${since} ms was its cancellation`);
      }
    }
  }

  /** Whether so much holds of a job that one needs, directly or through others. */
  #before(job: Job, holds: (other: Job) => boolean): boolean {
    return job.awaits.some((id) => {
      const other = this.jobs.get(id);
      return other !== undefined && (holds(other) || this.#before(other, holds));
    });
  }

  /** When a user was told that a job before this one is cancelled, or null. */
  #cancelledBefore(job: Job): number | null {
    let since: number | null = null;
    this.#before(job, ({ toldCancelledAt: at }) => {
      if (at !== null) since = since === null ? at : Math.min(since, at);
      return false;
    });
    return since;
  }

  /** A job that it needs and that is not done yet. */
  undone(job: Job): Job | null {
    for (const id of job.awaits) {
      const other = this.jobs.get(id);
      if (other !== undefined && other.done.size < other.tasks) return other;
    }
    return null;
  }

  /** Whether it, or one before it, was to be cancelled: it may end either way. */
  doomed(job: Job): boolean {
    return job.askedToCancel || this.#before(job, ({ askedToCancel }) => askedToCancel);
  }

  /**
   * Why the day has failed, by what the operators check at its end: less than half of a class, of a
   * team or of a class's largest jobs served, or one of the largest that did not begin within four
   * minutes of its submission. Jobs that their users cancelled, or that fail everywhere, do not count.
   */
  failings(): string[] {
    const wanted = [...this.jobs.values()].filter(
      (job) => job.accepted && !this.doomed(job) && !job.fails,
    );
    const groups = new Map<string, Job[]>();
    const add = (group: string, job: Job): void => {
      groups.set(group, [...(groups.get(group) ?? []), job]);
    };
    for (const job of wanted) {
      add(`class ${job.eidos}`, job);
      add(`team ${job.team}`, job);
    }
    const failed: string[] = [];
    for (const [name, jobs] of [...groups]) {
      if (!name.startsWith("class ")) continue;
      const sorted = [...jobs].sort((a, b) => sizeOf(b) - sizeOf(a));
      const largest = sorted.slice(0, Math.max(1, Math.ceil(jobs.length * LARGEST)));
      groups.set(`largest of ${name}`, largest);
      for (const job of largest) {
        // A job that awaits others begins when they let it; what that takes has no such bound.
        if (job.awaits.length > 0) continue;
        const waited = (job.beganAt ?? Number.POSITIVE_INFINITY) - job.submittedAt;
        if (waited > LARGEST_MS) failed.push(`${job.id}, of the largest, began after ${waited} ms`);
      }
    }
    for (const [name, jobs] of groups) {
      const part = jobs.filter(({ toldDone }) => toldDone).length / jobs.length;
      if (part < SERVED) failed.push(`${name} served ${part.toFixed(2)}`);
    }
    return failed;
  }
}
