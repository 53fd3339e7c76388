/** A region's users and its load balancer: submit by the drawn arrivals, and ask until jobs are over. */
import { JobClient } from "../client/client.js";
import { Unanswered } from "../client/retry.js";
import { sleep, systemClock } from "../clock.js";
import { HttpClient } from "../http/client.js";
import { Front, type Uploaded } from "../local/index.js";
import { ConfigurationAuthor } from "./configuration.js";
import { Draw } from "./draw.js";
import {
  type Assignment,
  type Figures,
  type FromProcess,
  noCounts,
  sharedNow,
  type ToProcess,
  type UserCounts,
} from "./messages.js";
import type { JobClass } from "./scenario.js";
import type { RoleProcess } from "./services.js";

const POLL_MS = 5000;
const PROBE_MS = 1000;
const CONNECTIONS = 256;
/** Draws of changes are apart from those of jobs. */
const CONFIGURATION_SEED = 500;

/** What a user submits: what a worker needs of it, and what only controllers read. */
type Submission = Uploaded & Record<string, unknown>;

export class UsersProcess implements RoleProcess {
  readonly #front: Front;
  readonly #draw: Draw;
  #caller: HttpClient | null = null;
  #submitted = 0;
  #startedAt = 0;
  readonly #counts: UserCounts = noCounts();
  #author: ConfigurationAuthor | null = null;

  constructor(
    readonly assignment: Assignment,
    readonly send: (message: FromProcess) => void,
  ) {
    const nodes = new Map(Object.entries(assignment.nodes[assignment.region.name]!));
    this.#front = new Front(nodes, systemClock, PROBE_MS);
    this.#draw = new Draw(assignment.seed);
  }

  async start(): Promise<string> {
    const address = await this.#front.start();
    this.#caller = new HttpClient(address, CONNECTIONS, systemClock);
    return address;
  }

  take(message: ToProcess): void {
    if (message.kind === "go") void this.#run();
  }

  /** The share of all arrivals that comes to this region: that of its machines. */
  get #share(): number {
    const { scenario, region } = this.assignment;
    const all = scenario.regions.reduce((sum, { machines }) => sum + machines, 0);
    return region.machines / all;
  }

  async #run(): Promise<void> {
    const { arrivals } = this.assignment.scenario;
    this.#startedAt = systemClock.now();
    while (this.#front.healthy.length === 0) await sleep(systemClock, PROBE_MS / 10);
    this.#changeConfiguration();
    const initial = Math.round(arrivals.initial_jobs * this.#share);
    for (let n = 0; n < initial; n++) void this.#job();
    for (;;) {
      await sleep(systemClock, this.#draw.waitMs(this.#rate()));
      void this.#job();
    }
  }

  #changeConfiguration(): void {
    const { scenario, teams, seed } = this.assignment;
    if (scenario.configuration === undefined) return;
    const draw = new Draw(seed + CONFIGURATION_SEED);
    const { configuration } = scenario;
    this.#author = new ConfigurationAuthor(this.#caller!, systemClock, draw, teams, configuration);
    this.#author.start();
  }

  /** Jobs a second now. */
  #rate(): number {
    const { jobs_per_s, peak } = this.assignment.scenario.arrivals;
    const seconds = (systemClock.now() - this.#startedAt) / 1000;
    const peaks = peak !== undefined && seconds >= peak.at_s && seconds < peak.at_s + peak.length_s;
    return jobs_per_s * this.#share * (peaks ? peak.factor : 1);
  }

  #draft(kind: JobClass): Submission {
    const { scenario, teams, region, seed } = this.assignment;
    const team = teams[this.#draw.index(teams.length)]!;
    const number = String(++this.#submitted).padStart(6, "0");
    const expectS = this.#draw.from(kind.run_s);
    const zone = scenario.zones.find(({ name }) => name === kind.zone);
    return {
      uid: `wk-${seed}-${number}`,
      eidos: kind.name,
      owner: team.name,
      shape: "batch",
      urgency: kind.priority,
      pieces: this.#draw.whole(kind.tasks),
      cores: kind.cpus,
      accelerators: 0,
      memGb: kind.memory_gb,
      bundle: null,
      sizeGb: 0,
      builds: null,
      // A class's zone in another region means nothing here.
      berth: zone?.region === region.name ? zone.name : null,
      together: false,
      scatter: false,
      borrowed: true,
      expectS,
      stashEveryS: kind.checkpoint_s,
      stashS: kind.checkpoint_s > 0 ? 1 : 0,
      dueS: null,
    };
  }

  async #job(): Promise<void> {
    const kind = this.#draw.jobClass(this.assignment.scenario);
    const job = this.#draft(kind);
    const { uid } = job;
    const cancelMs =
      this.#draw.random() < kind.cancelled
        ? this.#draw.random() * job.expectS * 1000
        : Number.POSITIVE_INFINITY;
    this.#counts.submitted++;
    this.#counts.open++;
    const at = sharedNow();
    this.send({ kind: "submits", job, team: String(job.owner), priority: kind.priority, at });
    const client = new JobClient("", systemClock, this.#caller!);
    try {
      await client.submit(job);
      this.#counts.accepted++;
      await this.#follow(client, uid, cancelMs);
    } catch (error) {
      this.#counts.failed++;
      if (!(error instanceof Unanswered)) process.stderr.write(`${uid}: ${error}\n`);
    } finally {
      this.#counts.open--;
    }
  }

  /** Asks about a job until it is over; withdraws it once `cancelMs` are over. */
  async #follow(client: JobClient, uid: string, cancelMs: number): Promise<void> {
    const cancelAt = systemClock.now() + cancelMs;
    for (;;) {
      await sleep(systemClock, POLL_MS);
      const cancels = systemClock.now() >= cancelAt;
      const { status } = await (cancels ? client.withdraw(uid) : client.show(uid));
      if (status === "done") this.#counts.done++;
      if (status === "cancelled") {
        this.#counts.cancelled++;
        this.send({ kind: "cancelled", job: uid, at: sharedNow() });
      }
      if (status === "done" || status === "cancelled") return;
    }
  }

  figures(): Figures {
    return {
      role: "users",
      counts: { ...this.#counts },
      configuration: [...(this.#author?.delays ?? [])],
      failures: [...(this.#author?.failures ?? [])],
    };
  }
}
