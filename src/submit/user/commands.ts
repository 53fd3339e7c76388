import { userInfo } from "node:os";
import type { Command } from "commander";
import { RequestRefused, Unanswered } from "../../client/retry.js";
import { localHost } from "../file/host-environment.js";
import type { ReadOptions } from "../file/read.js";
import { SubmitError } from "../file/text.js";
import { type PlannedCluster, planCluster, submissionBodies } from "../map/cluster.js";
import { jobId, parseJobId } from "../site/records.js";
import { SubmitClient } from "./client.js";
import { analysisText, clusterText, historyText, jobsText, queueText } from "./format.js";
import { openPendingSubmission, submissionDigest } from "./pending.js";

export interface SubmitFileOptions {
  node?: string;
  json?: boolean;
  dryRun?: boolean;
  team?: string;
  user?: string;
  env?: string[];
  timeZone?: string;
  name?: string;
}

const write = (text: string): void => {
  process.stdout.write(text);
};
const writeJson = (value: unknown): void => write(`${JSON.stringify(value)}\n`);

const currentUser = (): string => {
  try {
    return userInfo().username;
  } catch {
    return "unknown";
  }
};

async function withClient<T>(node: string, run: (client: SubmitClient) => Promise<T>): Promise<T> {
  const client = new SubmitClient(node);
  try {
    return await run(client);
  } finally {
    client.close();
  }
}

/** Submits a file, or with `dryRun` prints what it asks for. @throws SubmitError */
export async function submitFile(file: string, options: SubmitFileOptions): Promise<void> {
  const user = options.user ?? currentUser();
  const timeZone = options.timeZone ?? Intl.DateTimeFormat().resolvedOptions().timeZone;
  // Read only once, since the file may be a pipe: it is planned again when the cluster has a
  // number.
  const world = localHost();
  const bytes = world.read(file);
  const startedAt = world.now();
  let nextDraw = 0;
  const randomDraws: number[] = [];
  /** All inputs that the plan depends on except the time, so that a retry has the same digest. */
  const inputs = new Map<string, unknown>();
  const recordingWorld = {
    ...world,
    read: (path: string) => {
      const found = path === file ? bytes : world.read(path);
      inputs.set(path, Buffer.from(found).toString("latin1"));
      return found;
    },
    match: (pattern: string, kind: "files" | "dirs" | "any") => {
      const found = world.match(pattern, kind);
      inputs.set(`${kind} ${pattern}`, found);
      return found;
    },
    env: (name: string) => {
      const found = world.env(name);
      inputs.set(`$${name}`, found ?? null);
      return found;
    },
    now: () => startedAt,
    random: () => {
      randomDraws[nextDraw] ??= world.random();
      return randomDraws[nextDraw++]!;
    },
  };
  const plan = (cluster: number, warn?: ReadOptions["warn"]): PlannedCluster => {
    nextDraw = 0;
    return planCluster({
      ...(warn === undefined ? {} : { warn }),
      file,
      world: recordingWorld,
      cluster,
      team: options.team ?? null,
      user,
      timeZone,
      environment: options.env ?? [],
    });
  };
  const first = withFinalErrors(() =>
    plan(0, (text, { file: name, line }) => {
      process.stderr.write(`${name}:${line}: ${text}\n`);
    }),
  );
  if (options.dryRun === true) {
    if (options.json === true) writeJson({ ...first, jobs: submissionBodies(first, 0) });
    else write(clusterText(first));
    return;
  }
  if (options.node === undefined) throw new RequestRefused("give --node <host:port>, or --dry-run");
  const pending =
    options.name === undefined
      ? openPendingSubmission(
          submissionDigest(options.node, [[...inputs], options.team, user, timeZone]),
        )
      : { name: options.name, complete: () => undefined };
  await withClient(options.node, async (client) => {
    try {
      const { cluster, taken } = await client.submit(pending.name, user, first, (id) => plan(id));
      pending.complete();
      if (options.json === true)
        writeJson({ cluster, procs: taken.procs, jobs: taken.jobs.length });
      else write(`${taken.procs} job(s) submitted to cluster ${cluster}.\n`);
    } catch (error) {
      if (error instanceof RequestRefused) pending.complete();
      if (!(error instanceof Unanswered)) throw error;
      throw new Unanswered(
        `${error.message}; submitting the same file again will not submit any job twice`,
      );
    }
  });
}

/** Reports errors of a submit file as final refusals, so that they are not retried. */
function withFinalErrors(read: () => PlannedCluster): PlannedCluster {
  try {
    return read();
  } catch (error) {
    throw error instanceof SubmitError ? new RequestRefused(error.message) : error;
  }
}

interface Selection {
  cluster: number;
  jobs: number[] | null;
}

/** Parses `12` (a cluster), `12.3` or `wk-c12.3` (a job of it). */
export function parseSelection(text: string): Selection {
  const place = parseJobId(text) ?? parseJobId(`wk-c${text}`);
  if (place !== null) return { cluster: place.cluster, jobs: [place.index] };
  if (/^\d{1,15}$/.test(text)) return { cluster: Number(text), jobs: null };
  throw new RequestRefused(`${text}: a cluster such as 12, or a job of it such as 12.3`);
}

/** Merges selections by cluster, so that several jobs of one cluster take one request. */
function groupByCluster(texts: readonly string[]): Selection[] {
  const out = new Map<number, Selection>();
  for (const { cluster, jobs } of texts.map(parseSelection)) {
    const known = out.get(cluster);
    if (known === undefined) out.set(cluster, { cluster, jobs });
    else known.jobs = known.jobs === null || jobs === null ? null : [...known.jobs, ...jobs];
  }
  return [...out.values()];
}

/** The subcommands on clusters: q, history, rm, hold, release, analyze. */
export function submitCommands(program: Command): Command {
  const command = (name: string, description: string): Command =>
    program
      .command(name)
      .description(description)
      .requiredOption("--node <host:port>", "a controller")
      .option("--json", "print JSON");
  command("q", "show clusters in the queue, or the jobs of some")
    .argument("[clusters...]", "cluster numbers")
    .option("--team <team>", "only this team's")
    .action(async (ids: string[], { node, json: asJson, team }) =>
      withClient(node, async (client) => {
        if (ids.length === 0) {
          const clusters = await client.queue(team ?? null);
          return asJson ? writeJson(clusters) : write(queueText(clusters));
        }
        for (const { cluster } of groupByCluster(ids)) {
          const jobs = await client.jobs(cluster);
          if (asJson) writeJson(jobs);
          else write(jobsText(jobs));
        }
      }),
    );
  command("history", "show clusters that are over, the newest first")
    .option("--team <team>", "only this team's")
    .option("--limit <n>", "how many", Number, 50)
    .action(async ({ node, json: asJson, team, limit }) =>
      withClient(node, async (client) => {
        const clusters = await client.history(team ?? null, limit);
        return asJson ? writeJson(clusters) : write(historyText(clusters));
      }),
    );
  const change = (
    name: string,
    description: string,
    said: string,
    run: (client: SubmitClient, one: Selection, reason: string) => Promise<unknown>,
  ): Command =>
    command(name, description)
      .argument("<jobs...>", "clusters, such as 12, or jobs of them, such as 12.3")
      .option("--reason <text>", "shown by q", "by the user")
      .action(async (ids: string[], { node, json: asJson, reason }) =>
        withClient(node, async (client) => {
          for (const one of groupByCluster(ids)) {
            await run(client, one, reason);
            const which =
              one.jobs === null
                ? `All jobs in cluster ${one.cluster}`
                : `Job(s) ${one.jobs.map((job) => `${one.cluster}.${job}`).join(", ")}`;
            if (asJson) writeJson({ ...one, done: name });
            else write(`${which} ${said}\n`);
          }
        }),
      );
  change(
    "rm",
    "remove clusters or jobs",
    "have been marked for removal",
    (client, { cluster, jobs }) => client.remove(cluster, jobs),
  );
  change(
    "hold",
    "hold clusters or jobs: tasks are stopped, none start",
    "have been held",
    (client, { cluster, jobs }, reason) => client.hold(cluster, jobs, reason),
  );
  change(
    "release",
    "release held clusters or jobs",
    "have been released",
    (client, { cluster, jobs }) => client.release(cluster, jobs),
  );
  command("analyze", "show why a job does, or does not, match machines")
    .argument("<job>", "a job, such as 12.0")
    .action(async (id: string, { node, json: asJson }) =>
      withClient(node, async (client) => {
        const { cluster, jobs } = parseSelection(id);
        const found = await client.analyze(jobId(cluster, jobs?.[0] ?? 0));
        return asJson ? writeJson(found) : write(analysisText(found));
      }),
    );
  return program;
}
