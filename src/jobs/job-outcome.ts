import { finishedTasks, type JobHeader } from "./job-header.js";

/** What is kept for good of a job that is over. */
export interface JobOutcome {
  status: "done" | "cancelled";
  tasks: number;
  /** Of them, how many had completed, as far as whole chunks tell. */
  done: number;
  /** Time of day of its acceptance, milliseconds; in the archive to the second. */
  at: number;
  /** When it was over; null where a record of 0.1.0 did not say. */
  over: number | null;
  team: string | null;
}

/** @returns null for a job that is not over */
export function outcomeOf(header: JobHeader): JobOutcome | null {
  const { status, tasks, at, over, team, spec } = header;
  if (status === "open") return null;
  const done = finishedTasks(header);
  return { status, tasks, done, at, over: over ?? null, team: team ?? spec?.team ?? null };
}
