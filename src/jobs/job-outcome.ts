import { finishedTasks, type JobHeader } from "./job-header.js";

/** What is kept permanently of a finished job. */
export interface JobOutcome {
  status: "done" | "cancelled";
  tasks: number;
  /** How many tasks had completed; for a cancelled job, only those in finished chunks count. */
  done: number;
  /** Wall clock time of acceptance, milliseconds; the archive stores whole seconds. */
  at: number;
  /** When it finished; null if the record is of 0.1.0, which did not store it. */
  over: number | null;
  team: string | null;
}

/** @returns null for a job that is not finished */
export function outcomeOf(header: JobHeader): JobOutcome | null {
  const { status, tasks, at, over, team, spec } = header;
  if (status === "open") return null;
  const done = finishedTasks(header);
  return { status, tasks, done, at, over: over ?? null, team: team ?? spec?.team ?? null };
}
