/**
 * Users and load balancer of a region. Users submit jobs at random arrival times and poll them
 * until they are finished.
 */
import { JobClient } from "../client/client.js";
import { Unanswered } from "../client/retry.js";
import { sleep, systemClock } from "../clock.js";
import { HttpClient } from "../http/client.js";
import { Front, type Uploaded } from "../local/index.js";
import { ConfigurationChanger } from "./configuration-changer.js";
import {
  type Assignment,
  emptyUserCounts,
  type Figures,
  type FromProcess,
  sharedNow,
  type ToProcess,
  type UserCounts,
} from "./messages.js";
import { RandomSource } from "./random-source.js";
import type { JobClass } from "./scenario.js";
import type { RoleProcess } from "./stand-in-processes.js";

const POLL_INTERVAL_MS = 5000;
const PROBE_INTERVAL_MS = 1000;
const MAX_CONNECTIONS = 256;
/** Added to the seed, so that configuration changes do not share random values with jobs. */
const CONFIGURATION_SEED_OFFSET = 500;

/** A submitted job: the fields that workers need, and those that only controllers read. */
type Submission = Uploaded & Record<string, unknown>;

export class UsersProcess implements RoleProcess {
  readonly #loadBalancer: Front;
  readonly #randomSource: RandomSource;
  #http: HttpClient | null = null;
  #submitted = 0;
  #startedAt = 0;
  readonly #counts: UserCounts = emptyUserCounts();
  #configurationChanger: ConfigurationChanger | null = null;

  constructor(
    readonly assignment: Assignment,
    readonly send: (message: FromProcess) => void,
  ) {
    const nodes = new Map(Object.entries(assignment.nodes[assignment.region.name]!));
    this.#loadBalancer = new Front(nodes, systemClock, PROBE_INTERVAL_MS);
    this.#randomSource = new RandomSource(assignment.seed);
  }

  async start(): Promise<string> {
    const address = await this.#loadBalancer.start();
    this.#http = new HttpClient(address, MAX_CONNECTIONS, systemClock);
    return address;
  }

  onMessage(message: ToProcess): void {
    if (message.kind === "go") void this.#submitLoop();
  }

  /** This region's share of all job arrivals: its share of the machines. */
  get #regionShare(): number {
    const { scenario, region } = this.assignment;
    const all = scenario.regions.reduce((sum, { machines }) => sum + machines, 0);
    return region.machines / all;
  }

  async #submitLoop(): Promise<void> {
    const { arrivals } = this.assignment.scenario;
    this.#startedAt = systemClock.now();
    while (this.#loadBalancer.healthy.length === 0)
      await sleep(systemClock, PROBE_INTERVAL_MS / 10);
    this.#startConfigurationChanges();
    const initial = Math.round(arrivals.initial_jobs * this.#regionShare);
    for (let n = 0; n < initial; n++) void this.#runJob();
    for (;;) {
      await sleep(systemClock, this.#randomSource.interArrivalMs(this.#jobsPerS()));
      void this.#runJob();
    }
  }

  #startConfigurationChanges(): void {
    const { scenario, teams, seed } = this.assignment;
    if (scenario.configuration === undefined) return;
    const randomSource = new RandomSource(seed + CONFIGURATION_SEED_OFFSET);
    const { configuration } = scenario;
    this.#configurationChanger = new ConfigurationChanger(
      this.#http!,
      systemClock,
      randomSource,
      teams,
      configuration,
    );
    this.#configurationChanger.start();
  }

  /** Current arrival rate, jobs a second. */
  #jobsPerS(): number {
    const { jobs_per_s, peak } = this.assignment.scenario.arrivals;
    const seconds = (systemClock.now() - this.#startedAt) / 1000;
    const inPeak =
      peak !== undefined && seconds >= peak.at_s && seconds < peak.at_s + peak.length_s;
    return jobs_per_s * this.#regionShare * (inPeak ? peak.factor : 1);
  }

  #newSubmission(jobClass: JobClass): Submission {
    const { scenario, teams, region, seed } = this.assignment;
    const team = teams[this.#randomSource.index(teams.length)]!;
    const number = String(++this.#submitted).padStart(6, "0");
    const expectS = this.#randomSource.logNormal(jobClass.run_s);
    const zone = scenario.zones.find(({ name }) => name === jobClass.zone);
    return {
      uid: `wk-${seed}-${number}`,
      eidos: jobClass.name,
      owner: team.name,
      shape: "batch",
      urgency: jobClass.priority,
      pieces: this.#randomSource.logNormalCount(jobClass.tasks),
      cores: jobClass.cpus,
      accelerators: 0,
      memGb: jobClass.memory_gb,
      bundle: null,
      sizeGb: 0,
      builds: null,
      // Ignores the zone of a job class if it is in another region.
      berth: zone?.region === region.name ? zone.name : null,
      together: false,
      scatter: false,
      borrowed: true,
      expectS,
      stashEveryS: jobClass.checkpoint_s,
      stashS: jobClass.checkpoint_s > 0 ? 1 : 0,
      dueS: null,
    };
  }

  async #runJob(): Promise<void> {
    const drawnClass = this.#randomSource.jobClass(this.assignment.scenario);
    const job = this.#newSubmission(drawnClass);
    const { uid } = job;
    const cancelMs =
      this.#randomSource.random() < drawnClass.cancelled
        ? this.#randomSource.random() * job.expectS * 1000
        : Number.POSITIVE_INFINITY;
    this.#counts.submitted++;
    this.#counts.open++;
    const at = sharedNow();
    this.send({ kind: "submits", job, team: String(job.owner), priority: drawnClass.priority, at });
    const client = new JobClient("", systemClock, this.#http!);
    try {
      await client.submit(job);
      this.#counts.accepted++;
      await this.#pollUntilFinished(client, uid, cancelMs);
    } catch (error) {
      this.#counts.failed++;
      if (!(error instanceof Unanswered)) process.stderr.write(`job ${uid}: ${error}\n`);
    } finally {
      this.#counts.open--;
    }
  }

  /** Polls a job until it is finished; cancels it after `cancelMs`. */
  async #pollUntilFinished(client: JobClient, uid: string, cancelMs: number): Promise<void> {
    const cancelAt = systemClock.now() + cancelMs;
    for (;;) {
      await sleep(systemClock, POLL_INTERVAL_MS);
      const cancelNow = systemClock.now() >= cancelAt;
      const { status } = await (cancelNow ? client.withdraw(uid) : client.show(uid));
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
      configuration: [...(this.#configurationChanger?.delays ?? [])],
      failures: [...(this.#configurationChanger?.failures ?? [])],
    };
  }
}
