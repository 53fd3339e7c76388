import { MAX_TASKS } from "../../wire/jobs.js";
import { type ReadOptions, readSubmit } from "../file/read.js";
import { type Place, SubmitError } from "../file/text.js";
import { jobId } from "../site/records.js";
import { bodyOf, type Defaults, type Plan, planOf } from "./job.js";

/** Procs one after another that are alike: one job, whose tasks they are. */
export interface PlannedJob {
  /** Its place in the cluster. */
  index: number;
  firstProc: number;
  procs: number;
  plan: Plan;
}

/** A whole file, read and checked: nothing of it has been submitted. */
export interface Cluster {
  team: string;
  procs: number;
  name: string | null;
  held: boolean;
  /** Procs that may be placed at a time; null for any number. */
  most: number | null;
  jobs: PlannedJob[];
}

/** Jobs that a file may become: each of them is some records in the store. */
export const MOST_JOBS = 2000;

export interface PlanOptions extends ReadOptions, Omit<Defaults, "now" | "cluster"> {
  jobs?: number;
}

/**
 * Reads a file and says which jobs it asks for.
 * @throws SubmitError with file, line, column, reason and hint
 */
export function planCluster(options: PlanOptions): Cluster {
  const { team, user, timeZone, cluster, world, jobs: most = MOST_JOBS } = options;
  const defaults: Defaults = { team, user, timeZone, cluster, now: world.now() };
  const jobs: PlannedJob[] = [];
  let last = "";
  let place: Place | null = null;
  let procs = 0;
  for (const proc of readSubmit(options)) {
    const plan = planOf(proc, defaults);
    procs++;
    const key = JSON.stringify(plan);
    const before = jobs.at(-1);
    if (before !== undefined && key === last && before.procs < MAX_TASKS) {
      before.procs++;
      continue;
    }
    last = key;
    if (before !== undefined && before.plan.team !== plan.team) {
      throw new SubmitError(
        `a cluster for two teams: ${before.plan.team} and ${plan.team}`,
        proc.queue,
        "one file for each",
      );
    }
    if (jobs.length >= most) {
      throw new SubmitError(
        `more than ${most} procs that differ`,
        proc.queue,
        "$(ProcId) in arguments and environment alone does not make procs differ",
      );
    }
    place ??= proc.queue;
    jobs.push({ index: jobs.length, firstProc: proc.id, procs: 1, plan });
  }
  const [first] = jobs;
  const { plan } = first!;
  const same = <K extends "held" | "most" | "name">(name: K): Plan[K] => {
    const other = jobs.find((job) => job.plan[name] !== plan[name]);
    if (other !== undefined && name !== "name") {
      const command = name === "held" ? "hold" : "max_materialize";
      throw new SubmitError(`${command} differs inside one cluster`, place!, "one file for each");
    }
    return plan[name];
  };
  return {
    team: plan.team,
    procs,
    name: same("name"),
    held: same("held"),
    most: same("most"),
    jobs,
  };
}

export const bodiesOf = (cluster: Cluster, id: number): Record<string, unknown>[] =>
  cluster.jobs.map(({ index, firstProc, procs, plan }) =>
    bodyOf(jobId(id, index), plan, firstProc, procs),
  );
