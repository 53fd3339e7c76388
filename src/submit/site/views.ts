import { unfinishedChunks } from "../../jobs/job-header.js";
import type { Summaries } from "../../part/summary.js";
import type { JobState } from "./cluster-index.js";
import { type ClusterRecord, holdReason } from "./records.js";

/** HTCondor's letters: idle, running, held, completed, removed. */
export type StateLetter = "I" | "R" | "H" | "C" | "X";

export interface ProcCounts {
  done: number;
  running: number;
  idle: number;
  held: number;
  removed: number;
}

export interface JobView extends ProcCounts {
  index: number;
  id: string;
  letter: StateLetter;
  procs: number;
  reason: string | null;
  /** Resources and urgency that `q` shows; absent once the job is finished. */
  cpus?: number;
  memGb?: number;
  gpus?: number;
  urgency?: number;
}

/** By job: tasks placed and done in unfinished chunks. */
export type Progress = ReadonlyMap<string, { placed: number; done: number }>;

/**
 * Progress from the summaries of all parts. Computed once per response, however many jobs it has.
 */
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

const NO_PROGRESS = { placed: 0, done: 0 };

export function jobView(record: ClusterRecord, job: JobState, progress: Progress): JobView {
  const { index, id, header } = job;
  const counts: ProcCounts = { done: 0, running: 0, idle: 0, held: 0, removed: 0 };
  const reason = holdReason(record, index);
  // Not submitted (yet): the number of its procs is not known.
  if (header === null) {
    const letter = record.state === "removed" ? "X" : "I";
    return { index, id, letter, procs: 0, reason, ...counts };
  }
  const { status, tasks, spec, owners, chunkSize } = header;
  const resources =
    spec === undefined
      ? {}
      : { cpus: spec.cpus, memGb: spec.memGb, gpus: spec.gpus, urgency: spec.rank };
  const base = { index, id, procs: tasks, reason: status === "open" ? reason : null, ...resources };
  if (status === "done") return { ...base, letter: "C", ...counts, done: tasks };
  const { placed, done } = progress.get(id) ?? NO_PROGRESS;
  const unfinishedAtMost = Math.min(tasks, unfinishedChunks(owners) * chunkSize);
  counts.done = Math.min(tasks, tasks - unfinishedAtMost + done);
  if (status === "cancelled")
    return { ...base, letter: "X", ...counts, removed: tasks - counts.done };
  counts.running = Math.min(tasks - counts.done, placed);
  const waiting = tasks - counts.done - counts.running;
  if (reason === null) counts.idle = waiting;
  else counts.held = waiting;
  const letter = counts.running > 0 ? "R" : reason === null ? "I" : "H";
  return { ...base, letter, ...counts };
}

export function clusterCounts(
  record: ClusterRecord,
  jobs: readonly JobState[],
  progress: Progress,
): ProcCounts {
  const sum: ProcCounts = { done: 0, running: 0, idle: 0, held: 0, removed: 0 };
  for (const job of jobs) {
    const view = jobView(record, job, progress);
    for (const key of Object.keys(sum) as (keyof ProcCounts)[]) sum[key] += view[key];
  }
  return sum;
}
