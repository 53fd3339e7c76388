import type { JobSpec } from "../wire/jobs.js";

/** The operators' targets for a class of jobs, in seconds after submission; null for none. */
export interface Target {
  finishWithinS: number | null;
  startWithinS: number | null;
}
export type Targets = ReadonlyMap<string, Target>;

/** Targets by class, from the objectives in the settings; of several of one kind, the earliest. */
export function targetsOf(
  objectives: readonly { kind: string; class?: string; within_s?: number }[],
): Targets {
  const targets = new Map<string, Target>();
  const earliest = (a: number | null, b: number): number => (a === null ? b : Math.min(a, b));
  for (const { kind, class: name, within_s } of objectives) {
    if (name === undefined || within_s === undefined) continue;
    const target = targets.get(name) ?? { finishWithinS: null, startWithinS: null };
    if (kind === "finished") target.finishWithinS = earliest(target.finishWithinS, within_s);
    else if (kind === "wait") target.startWithinS = earliest(target.startWithinS, within_s);
    else continue;
    targets.set(name, target);
  }
  return targets;
}

/**
 * When a job should be complete, as wall clock time in milliseconds: by its own deadline, else by
 * the earliest target for its class; a target for the start counts with a task's estimated run time
 * added. Infinity if there is neither. Using only the earliest target also helps to meet later ones
 * in a backlog: a job that is dropped because of it would have made all jobs after it late.
 */
export function dueTime(
  spec: JobSpec,
  acceptedAt: number,
  targets: Targets,
  /** When the class targets start to count; after `acceptedAt` for a job that awaited others. */
  classTimesFrom: number = acceptedAt,
): number {
  if (spec.deadlineS !== null) return acceptedAt + spec.deadlineS * 1000;
  const { finishWithinS = null, startWithinS = null } = targets.get(spec.class) ?? {};
  const afterS = Math.min(
    finishWithinS ?? Number.POSITIVE_INFINITY,
    startWithinS === null ? Number.POSITIVE_INFINITY : startWithinS + spec.estimateS,
  );
  return classTimesFrom + afterS * 1000;
}
