import { unfinishedChunks } from "../../jobs/job-header.js";
import type { Summaries } from "../../part/summary.js";
import type { JobState } from "./book.js";
import { type ClusterRecord, holdOf } from "./records.js";

/** HTCondor's letters: idle, running, held, completed, removed. */
export type Letter = "I" | "R" | "H" | "C" | "X";

export interface Counts {
  done: number;
  running: number;
  idle: number;
  held: number;
  removed: number;
}

export interface JobView extends Counts {
  index: number;
  id: string;
  letter: Letter;
  procs: number;
  reason: string | null;
  /** What q shows of the job; absent once it is over. */
  cpus?: number;
  memGb?: number;
  gpus?: number;
  urgency?: number;
}

/** By job: tasks placed and done in unfinished chunks. */
export type Progress = ReadonlyMap<string, { placed: number; done: number }>;

/** As the owners of all parts tell it; made once for an answer, however many jobs are in it. */
export function progressOf(summaries: Summaries): Progress {
  const sums = new Map<string, { placed: number; done: number }>();
  for (const [, { progress }] of summaries.all()) {
    for (const [job, placed, done] of progress ?? []) {
      const known = sums.get(job);
      if (known === undefined) sums.set(job, { placed, done });
      else {
        known.placed += placed;
        known.done += done;
      }
    }
  }
  return sums;
}

const NONE = { placed: 0, done: 0 };

export function viewOf(record: ClusterRecord, job: JobState, progress: Progress): JobView {
  const { index, id, header } = job;
  const counts: Counts = { done: 0, running: 0, idle: 0, held: 0, removed: 0 };
  const reason = holdOf(record, index);
  // Not handed in yet, or never: its procs are not known.
  if (header === null) {
    const letter = record.state === "removed" ? "X" : "I";
    return { index, id, letter, procs: 0, reason, ...counts };
  }
  const { status, tasks, spec, owners, chunkSize } = header;
  const size =
    spec === undefined
      ? {}
      : { cpus: spec.cpus, memGb: spec.memGb, gpus: spec.gpus, urgency: spec.rank };
  const base = { index, id, procs: tasks, reason: status === "open" ? reason : null, ...size };
  if (status === "done") return { ...base, letter: "C", ...counts, done: tasks };
  const { placed, done } = progress.get(id) ?? NONE;
  const left = Math.min(tasks, unfinishedChunks(owners) * chunkSize);
  counts.done = Math.min(tasks, tasks - left + done);
  if (status === "cancelled")
    return { ...base, letter: "X", ...counts, removed: tasks - counts.done };
  counts.running = Math.min(tasks - counts.done, placed);
  const rest = tasks - counts.done - counts.running;
  if (reason === null) counts.idle = rest;
  else counts.held = rest;
  const letter = counts.running > 0 ? "R" : reason === null ? "I" : "H";
  return { ...base, letter, ...counts };
}

export function countsOf(
  record: ClusterRecord,
  jobs: readonly JobState[],
  progress: Progress,
): Counts {
  const sum: Counts = { done: 0, running: 0, idle: 0, held: 0, removed: 0 };
  for (const job of jobs) {
    const view = viewOf(record, job, progress);
    for (const key of Object.keys(sum) as (keyof Counts)[]) sum[key] += view[key];
  }
  return sum;
}
