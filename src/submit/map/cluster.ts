import { MAX_TASKS } from "../../wire/jobs.js";
import { type ReadOptions, readSubmit } from "../file/read.js";
import { type Place, SubmitError } from "../file/text.js";
import { jobId } from "../site/records.js";
import { type Plan, type PlanDefaults, planProc, submissionBody } from "./job.js";

/** Consecutive procs with the same plan: the tasks of one job. */
export interface PlannedJob {
  /** Index of the job in the cluster. */
  index: number;
  firstProc: number;
  procs: number;
  plan: Plan;
}

/** What a submit file asks for, read and checked; nothing has been submitted yet. */
export interface PlannedCluster {
  team: string;
  procs: number;
  name: string | null;
  held: boolean;
  /** Procs that may be placed at the same time; null: any number. */
  most: number | null;
  jobs: PlannedJob[];
}

/** Most jobs that a file may become, since each job has several records in the state service. */
export const MAX_JOBS = 2000;

export interface PlanOptions extends ReadOptions, Omit<PlanDefaults, "now" | "cluster"> {
  /** Most jobs that the file may become. */
  maxJobs?: number;
}

/**
 * Reads a submit file and plans the jobs that it asks for.
 * @throws SubmitError with file, line, column, reason and hint
 */
export function planCluster(options: PlanOptions): PlannedCluster {
  const { team, user, timeZone, cluster, world, maxJobs = MAX_JOBS } = options;
  const defaults: PlanDefaults = { team, user, timeZone, cluster, now: world.now() };
  const jobs: PlannedJob[] = [];
  let previousKey = "";
  let firstQueue: Place | null = null;
  let procs = 0;
  for (const proc of readSubmit(options)) {
    const plan = planProc(proc, defaults);
    procs++;
    const key = JSON.stringify(plan);
    const previous = jobs.at(-1);
    if (previous !== undefined && key === previousKey && previous.procs < MAX_TASKS) {
      previous.procs++;
      continue;
    }
    previousKey = key;
    if (previous !== undefined && previous.plan.team !== plan.team) {
      throw new SubmitError(
        `a cluster for two teams: ${previous.plan.team} and ${plan.team}`,
        proc.queue,
        "one file for each",
      );
    }
    if (jobs.length >= maxJobs) {
      throw new SubmitError(
        `more than ${maxJobs} procs that differ`,
        proc.queue,
        "$(ProcId) in arguments and environment alone does not make procs differ",
      );
    }
    firstQueue ??= proc.queue;
    jobs.push({ index: jobs.length, firstProc: proc.id, procs: 1, plan });
  }
  const [first] = jobs;
  const { plan } = first!;
  const commonValue = <K extends "held" | "most" | "name">(name: K): Plan[K] => {
    const different = jobs.find((job) => job.plan[name] !== plan[name]);
    if (different !== undefined && name !== "name") {
      const command = name === "held" ? "hold" : "max_materialize";
      throw new SubmitError(
        `${command} differs inside one cluster`,
        firstQueue!,
        "use a separate file for each value",
      );
    }
    return plan[name];
  };
  return {
    team: plan.team,
    procs,
    name: commonValue("name"),
    held: commonValue("held"),
    most: commonValue("most"),
    jobs,
  };
}

export const submissionBodies = (cluster: PlannedCluster, id: number): Record<string, unknown>[] =>
  cluster.jobs.map(({ index, firstProc, procs, plan }) =>
    submissionBody(jobId(id, index), plan, firstProc, procs),
  );
