import type { Answer } from "../../src/http/client.js";
import type { World } from "./world.js";

export interface Job {
  id: string;
  body: Record<string, unknown>;
  team: string;
  /** Its class. */
  eidos: string;
  tasks: number;
  cpus: number;
  spot: boolean;
  runMs: number;
  /** How much longer each task runs than the previous one, ms. */
  extraRunMsPerTask: number;
  /** Every task fails at every attempt. */
  fails: boolean;
  done: Set<string>;
  accepted: boolean;
  toldDone: boolean;
  toldCancelledAt: number | null;
  askedToCancel: boolean;
  submittedAt: number;
  /** When a query about it was last answered; its submission time before that. */
  lastAnsweredAt: number;
  /** When its first task started, or null. */
  beganAt: number | null;
  /** Ids of the jobs that it depends on. */
  awaits: string[];
  /** Since when none of its tasks started despite free resources, and the count of starts then. */
  stall: { since: number; starts: number } | null;
}

/** What the user had been told before a query was sent. */
interface KnownState {
  done: boolean;
  cancelled: boolean;
}

type JobRequest = Partial<Job> & { team: string; tasks: number; rank?: string };

/** The longest time without an answer about a job; the limit of the operators' check of a day. */
const MAX_UNANSWERED_MS = 75_000;

const idOf = (piece: string): string => piece.slice(0, piece.lastIndexOf("/"));

const knownStateOf = (job: Job): KnownState => ({
  done: job.toldDone,
  cancelled: job.toldCancelledAt !== null,
});

/** Simulated users: submit jobs, poll them until the end of the day, and check the answers. */
export class Users {
  readonly jobs = new Map<string, Job>();
  /** When all faults that have begun so far are over. */
  faultsEndAt = 0;
  /**
   * The same, but only for the check of jobs that wait 90 s beside free resources. Set by tests whose
   * own faults `faultsEndAt` does not include.
   */
  checkWaitingFrom = 0;
  /** The share of lasting answers (accepted, done, cancelled) after which all nodes are queried. */
  recheckShare = 0;
  /** Count of such queries that were answered. */
  recheckCount = 0;
  /** The share of jobs that are cancelled as their last task ends. */
  cancelAtEndShare = 0;
  /** Count of jobs whose user was told that they are cancelled. */
  cancelledCount = 0;

  constructor(readonly world: World) {}

  #addJob(body: Record<string, unknown>, job: Partial<Job>): Job {
    const added: Job = {
      id: String(body.uid),
      body,
      team: String(body.owner),
      eidos: String(body.eidos),
      tasks: Number(body.pieces),
      cpus: Number(body.cores),
      spot: body.borrowed === true,
      runMs: job.runMs ?? Number(body.expectS) * 1000,
      extraRunMsPerTask: job.extraRunMsPerTask ?? 0,
      fails: job.fails ?? false,
      done: new Set(),
      accepted: false,
      toldDone: false,
      toldCancelledAt: null,
      askedToCancel: false,
      submittedAt: this.world.clock.now(),
      lastAnsweredAt: this.world.clock.now(),
      beganAt: null,
      awaits: (body.awaits as string[] | undefined) ?? [],
      stall: null,
    };
    this.jobs.set(added.id, added);
    return added;
  }

  /** Adds a job that another client submits, from the body of its submission. */
  addSubmittedJob(body: Record<string, unknown>): Job {
    return this.jobs.get(String(body.uid)) ?? this.#addJob(body, {});
  }

  /** Marks an adopted job as accepted, and polls it from now on. */
  startPolling(job: Job): void {
    if (job.accepted) return;
    job.accepted = true;
    void this.#pollAsUser(job);
  }

  submit(id: string, job: JobRequest): Job {
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
    const added = this.#addJob(body, { runMs: 10_000, ...job });
    void this.#pollAsUser(added);
    return added;
  }

  cancel(id: string): void {
    const job = this.jobs.get(id)!;
    job.askedToCancel = true;
    void (async () => {
      while (job.toldCancelledAt === null && !job.toldDone) {
        const answer = await this.#askAnyNode("POST", `/api/jobs/${id}/withdraw`);
        if (answer?.status === 200) this.#recordAnswer(job, answer);
        else await this.world.sleep(1000);
      }
    })();
  }

  /** Cancels `count` running jobs within 200 ms; with `hangMs`, up to 8 of their machines hang. */
  cancelRunningJobs(count: number, hangMs = 0): string[] {
    const { world } = this;
    const running = [...this.jobs.values()].filter(
      (job) => job.beganAt !== null && job.done.size < job.tasks && !this.cancelRequested(job),
    );
    const chosen = running.slice(0, count).map(({ id }) => id);
    for (const id of chosen) world.clock.after(world.random.int(0, 200), () => this.cancel(id));
    let hung = 0;
    for (const worker of world.workers.values()) {
      const runsChosen = [...worker.tasks.keys()].some((piece) => chosen.includes(idOf(piece)));
      if (hangMs === 0 || !runsChosen || hung++ >= 8) continue;
      worker.hung = true;
      world.clock.after(hangMs, () => {
        worker.hung = false;
      });
    }
    return chosen;
  }

  /** Called when a job's last task has ended: some are cancelled, queried and submitted again. */
  onAllTasksDone(job: Job): void {
    const { world } = this;
    if (this.cancelAtEndShare === 0 || !job.accepted || !world.random.chance(this.cancelAtEndShare))
      return;
    world.clock.after(world.random.int(0, 60), () => {
      if (!job.toldDone && !job.askedToCancel) this.cancel(job.id);
      void this.#recheckAllNodes(job);
    });
  }

  /** Sends submissions that every controller must reject, and cancels a job that is done. */
  async sendInvalidRequests(): Promise<void> {
    const { world } = this;
    const [sample] = this.jobs.values();
    if (sample === undefined) return;
    const uid = `wk-${900_000 + world.random.int(0, 99_999)}`;
    const { cores: _cores, ...lacking } = sample.body;
    for (const body of [
      { ...lacking, uid },
      { ...sample.body, uid, cores: 10_000 },
      { ...sample.body, uid, owner: "nobody" },
    ]) {
      const answer = await this.#askAnyNode("POST", "/api/jobs", body);
      if (answer !== null && answer.status < 300) world.recordViolation("accepted_bad", uid);
    }
    const doneJob = [...this.jobs.values()].find(({ toldDone }) => toldDone);
    if (doneJob === undefined) return;
    const answer = await this.#askAnyNode("POST", `/api/jobs/${doneJob.id}/withdraw`);
    if (answer?.status === 200) this.#recordAnswer(doneJob, answer);
  }

  /** Queries all nodes within 6 ms, and repeats the submission at each. */
  async #recheckAllNodes(job: Job): Promise<void> {
    const { world } = this;
    const queries = world.controllers.flatMap((_, n) =>
      (["GET", "POST"] as const).map(async (method) => {
        await world.sleep(world.random.int(0, 6));
        const told = knownStateOf(job);
        if (world.unreachableControllers.has(n)) return;
        const answer =
          method === "GET"
            ? await world.ask(n, "GET", `/api/jobs/${job.id}`)
            : await world.ask(n, "POST", "/api/jobs", this.#submissionBody(job));
        if (answer !== null) this.#checkRecheckAnswer(job, told, method, answer);
      }),
    );
    await Promise.all(queries);
  }

  /** Checks against what was known when the query was sent: other answers arrive meanwhile. */
  #checkRecheckAnswer(job: Job, told: KnownState, method: "GET" | "POST", answer: Answer): void {
    const { world } = this;
    const forbidden = method === "GET" ? [404] : [201, 400, 422];
    if (forbidden.includes(answer.status)) {
      world.recordViolation(
        "forgotten",
        `${job.id}: ${answer.status} to a repeated query (${method})`,
      );
    }
    if (answer.status !== 200) return;
    this.recheckCount++;
    const { status } = answer.body as { status: string };
    if ((told.done && status !== "done") || (told.cancelled && status !== "cancelled")) {
      world.recordViolation(
        "went_back",
        `${job.id} is ${status} again, by a repeated query (${method})`,
      );
    } else if (status === "done" || status === "cancelled") this.#recordAnswer(job, answer);
  }

  /** The submission as controllers get it. */
  #submissionBody(job: Job): object {
    if (this.world.disabledGuards.loseZones !== true) return job.body;
    return { ...job.body, berth: null, together: false, scatter: false };
  }

  #askAnyNode(method: string, path: string, body?: object): Promise<Answer | null> {
    const { world } = this;
    const n = world.random.int(0, world.nodes - 1);
    return world.unreachableControllers.has(n)
      ? Promise.resolve(null)
      : world.ask(n, method, path, body);
  }

  async #pollAsUser(job: Job): Promise<void> {
    const { world } = this;
    while (!job.accepted) {
      const answer = await this.#askAnyNode("POST", "/api/jobs", this.#submissionBody(job));
      if (answer?.status === 201 || answer?.status === 200) {
        job.accepted = true;
        this.#recordAnswer(job, answer);
        this.#afterLastingAnswer(job);
      } else await world.sleep(1000);
    }
    let isForgotten = false;
    // Polling continues after the job has ended: its final state must be kept.
    for (;;) {
      await world.sleep(3000);
      const told = knownStateOf(job);
      const answer = await this.#askAnyNode("GET", `/api/jobs/${job.id}`);
      if (answer?.status === 200) this.#recordAnswer(job, answer, told);
      else if (answer?.status === 404) world.recordViolation("forgotten", job.id);
      const since = Math.max(job.lastAnsweredAt, this.faultsEndAt);
      if (!isForgotten && world.clock.now() - since > MAX_UNANSWERED_MS) {
        isForgotten = true;
        world.recordViolation("forgotten", `${job.id}: no question answered since ${since}`);
      }
      if (answer !== null && world.random.chance(0.05)) {
        const before = knownStateOf(job);
        const again = await this.#askAnyNode("POST", "/api/jobs", this.#submissionBody(job));
        if (again?.status === 200) this.#recordAnswer(job, again, before);
        else if (again !== null && [201, 400, 422].includes(again.status)) {
          world.recordViolation("forgotten", `${job.id}: ${again.status} to a repeated submission`);
        }
      }
    }
  }

  /**
   * Checks and records an answer. `told` is what the user had been told when the query was sent: a
   * query that overlaps another may return the earlier state, whichever answer arrives first.
   */
  #recordAnswer(job: Job, { body }: Answer, told: KnownState = knownStateOf(job)): void {
    const { world } = this;
    const { status } = body as { status: string };
    job.lastAnsweredAt = world.clock.now();
    const before = job.toldDone || job.toldCancelledAt !== null;
    if (status === "done") {
      if (job.done.size < job.tasks) world.recordViolation("not_done", job.id);
      if (job.toldCancelledAt !== null) world.recordViolation("went_back", job.id);
      job.toldDone = true;
    } else if (status === "cancelled") {
      const asked =
        job.askedToCancel || this.#someDependency(job, ({ askedToCancel }) => askedToCancel);
      if (!asked || job.toldDone) world.recordViolation("went_back", job.id);
      if (job.toldCancelledAt === null) this.cancelledCount++;
      job.toldCancelledAt ??= world.clock.now();
    } else if (told.done || told.cancelled) {
      world.recordViolation("went_back", `${job.id} is ${status} again`);
    } else {
      const since = this.#dependencyCancelledAt(job);
      if (since !== null && world.clock.now() - since > world.cancelMs) {
        world.recordViolation(
          "orphaned",
          `${job.id} is ${status}; its dependency was cancelled at ${since} ms`,
        );
      }
    }
    if (!before && (job.toldDone || job.toldCancelledAt !== null)) this.#afterLastingAnswer(job);
  }

  /** Called when a user was told a state that must not be revoked: accepted, done, cancelled. */
  #afterLastingAnswer(job: Job): void {
    const { world } = this;
    if (this.recheckShare === 0 || !world.random.chance(this.recheckShare)) return;
    void this.#recheckAllNodes(job);
    const hasEnded = job.toldDone || job.toldCancelledAt !== null;
    if (!hasEnded && !job.askedToCancel && world.random.chance(0.2)) this.cancel(job.id);
  }

  /** Whether a condition holds for a job that this one depends on, directly or indirectly. */
  #someDependency(job: Job, holds: (other: Job) => boolean): boolean {
    return job.awaits.some((id) => {
      const other = this.jobs.get(id);
      return other !== undefined && (holds(other) || this.#someDependency(other, holds));
    });
  }

  /** When a user was first told that a dependency of this job is cancelled, or null. */
  #dependencyCancelledAt(job: Job): number | null {
    let since: number | null = null;
    this.#someDependency(job, ({ toldCancelledAt: at }) => {
      if (at !== null) since = since === null ? at : Math.min(since, at);
      return false;
    });
    return since;
  }

  /** A direct dependency that is not done, or null. */
  unfinishedDependency(job: Job): Job | null {
    for (const id of job.awaits) {
      const other = this.jobs.get(id);
      if (other !== undefined && other.done.size < other.tasks) return other;
    }
    return null;
  }

  /** Whether cancelling it or a dependency was requested: it may end as done or as cancelled. */
  cancelRequested(job: Job): boolean {
    return job.askedToCancel || this.#someDependency(job, ({ askedToCancel }) => askedToCancel);
  }
}
