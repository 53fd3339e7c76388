import type { JobSpec } from "../wire/jobs.js";

/** By class, what the operators' aims say: seconds after submission. */
export interface Target {
  finishedS: number | null;
  startedS: number | null;
}
export type Targets = ReadonlyMap<string, Target>;

/** Several aims of one kind for a class: the earliest orders the jobs. */
export function targetsOf(
  objectives: readonly { kind: string; class?: string; within_s?: number }[],
): Targets {
  const targets = new Map<string, Target>();
  const earlier = (a: number | null, b: number): number => (a === null ? b : Math.min(a, b));
  for (const { kind, class: name, within_s } of objectives) {
    if (name === undefined || within_s === undefined) continue;
    const target = targets.get(name) ?? { finishedS: null, startedS: null };
    if (kind === "finished") target.finishedS = earlier(target.finishedS, within_s);
    else if (kind === "wait") target.startedS = earlier(target.startedS, within_s);
    else continue;
    targets.set(name, target);
  }
  return targets;
}

/**
 * When a job should be complete, by the time of day: by its own deadline, else by the earliest aim
 * for its class, where one for its start leaves it the time that a task takes. Infinity if nobody
 * said. In a backlog an early aim serves a later one too: whoever is given up for it would have
 * made everyone behind it late.
 */
export function dueTime(
  spec: JobSpec,
  at: number,
  targets: Targets,
  /** From when aims for its class count: later than `at` for a job that awaited others. */
  since: number = at,
): number {
  if (spec.deadlineS !== null) return at + spec.deadlineS * 1000;
  const { finishedS = null, startedS = null } = targets.get(spec.class) ?? {};
  const afterS = Math.min(
    finishedS ?? Number.POSITIVE_INFINITY,
    startedS === null ? Number.POSITIVE_INFINITY : startedS + spec.estimateS,
  );
  return since + afterS * 1000;
}
