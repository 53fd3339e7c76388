import { Ad, build as ast, parseExpression, runReference, truth } from "../../src/classad/index.js";
import type { Answer } from "../../src/http/client.js";
import { NoAnswer } from "../../src/http/client.js";
import type { Operators } from "../../src/settings/operators.js";
import { type PlannedCluster, planCluster, SubmitClient } from "../../src/submit/index.js";
import type { ClusterView } from "../../src/submit/user/client.js";
import type { TeamSettings } from "./platform-settings.js";
import { textWorld } from "./submit.js";
import type { Build, Worker } from "./worker.js";
import { World } from "./world.js";

export const ZONES = ["a", "b"];
export const TEAMS: TeamSettings[] = [
  { name: "red", cpus: 16, max: 40 },
  { name: "blue", cpus: 16, max: 40 },
];
export const BUILDS: Build[] = [
  { name: "small", cores: 4, memGb: 8, rate: 1 },
  { name: "big", cores: 8, memGb: 64, rate: 3 },
];

interface StoredCluster {
  state: string;
  upTo: number | null;
  held: Record<string, string>;
}

/**
 * A simulation in which submit files are submitted; every task start is checked against its job's
 * requirements.
 */
export class ClusterWorld {
  readonly world: World;
  /** Whether the answer to a request for this path is lost; the request itself is carried out. */
  losesAnswer: (path: string) => boolean = () => false;

  constructor(
    operators: (n: number) => Partial<Operators>,
    { seed = 1, capacity = 12, nodes = 3 } = {},
  ) {
    this.world = new World(seed, nodes, TEAMS, capacity, {}, ZONES, operators, 60);
    this.world.cloud.builds = BUILDS;
    this.world.findStartViolation = (piece, on) => this.#startViolation(piece, on);
  }

  /**
   * Why a task must not start on a worker, or null. Uses the reference interpreter and an ad built
   * here, so that it is independent of the package's matcher.
   */
  #startViolation(piece: string, on: Worker): string | null {
    const { body } = this.world.jobOf(piece);
    if (typeof body.ad !== "string") return null;
    const record = this.storedCluster(body);
    if (record !== null && record.state === "open") return "its cluster has not been committed";
    if (record !== null && record.state === "removed" && !this.world.jobOf(piece).askedToCancel) {
      return "its cluster was removed";
    }
    if (typeof body.requirements !== "string") return null;
    const my = Ad.parse(body.ad);
    my.set("RequestCpus", ast.literal(BigInt(Number(body.cores))));
    const target = Ad.parse(
      `[MachineType = "${on.build.name}"; Zone = "${on.zone}"; Spot = ${on.spot}; TotalCpus = ${on.build.cores}; Arch = "X86_64"; Fast = MachineType == "big"]`,
    );
    const node = parseExpression(body.requirements);
    const { value } = runReference(node, { my, target }, { now: this.world.clock.wall() / 1000 });
    return truth(value) === true ? null : `not TRUE there: ${body.requirements}`;
  }

  storedCluster({ uid }: { uid?: unknown }): StoredCluster | null {
    const cluster = /^wk-c(\d+)\./.exec(String(uid))?.[1];
    const row = cluster === undefined ? undefined : this.world.state.rows.get(`w/x/c/${cluster}`);
    return (row?.value as StoredCluster | undefined) ?? null;
  }

  client(patienceMs = 600_000): SubmitClient {
    const { world } = this;
    const call = async (method: string, path: string, body?: unknown): Promise<Answer> => {
      const job =
        method === "POST" && path === "/api/jobs"
          ? world.users.addSubmittedJob(body as Record<string, unknown>)
          : null;
      const n = world.random.int(0, world.nodes - 1);
      const answer = world.unreachableControllers.has(n)
        ? null
        : await world.ask(n, method, path, body as object);
      if (answer === null || this.losesAnswer(path)) {
        await world.sleep(1000);
        throw new NoAnswer("no answer: controller unreachable or answer lost");
      }
      if (job !== null && (answer.status === 201 || answer.status === 200))
        world.users.startPolling(job);
      return answer;
    };
    return new SubmitClient("none", world.clock, { call } as never, patienceMs);
  }

  plan(text: string, cluster = 0): PlannedCluster {
    const wall = this.world.clock.wall();
    return planCluster({
      file: "job.sub",
      world: { ...textWorld({ "job.sub": text }), now: () => wall },
      cluster,
      team: "red",
      user: "ann",
      timeZone: "Etc/UTC",
    });
  }

  submit(name: string, text: string, patienceMs?: number): Promise<{ cluster: number }> {
    return this.client(patienceMs).submit(name, "ann", this.plan(text), (id) =>
      this.plan(text, id),
    );
  }

  /** Runs the clock until the promise settles; throws if it has not after `ms`. */
  async runUntilSettled<T>(asked: Promise<T>, ms = 900_000): Promise<T> {
    let found: { value: T } | { error: unknown } | null = null;
    asked.then(
      (value) => {
        found = { value };
      },
      (error: unknown) => {
        found = { error };
      },
    );
    for (let waited = 0; waited < ms && found === null; waited += 100)
      await this.world.clock.run(100);
    if (found === null) throw new Error(`promise not settled after ${ms} ms of simulated time`);
    const result = found as { value: T } | { error: unknown };
    if ("error" in result) throw result.error;
    return result.value;
  }

  async runUntil(what: () => boolean, ms = 240_000): Promise<boolean> {
    for (let waited = 0; waited < ms && !what(); waited += 100) await this.world.clock.run(100);
    return what();
  }

  runningTasks(prefix: string): number {
    return [...this.world.workers.values()]
      .flatMap((worker) => [...worker.tasks.values()])
      .filter(({ piece, state }) => piece.startsWith(prefix) && state !== "ended").length;
  }

  async queuedClusters(): Promise<ClusterView[]> {
    return this.runUntilSettled(this.client().queue(null));
  }
}
