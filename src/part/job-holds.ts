import type { JobMatcher } from "../extension/index.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Workers } from "./workers.js";

/**
 * Stops tasks of held jobs, with time to save. Also holds jobs with a task that exceeded the job's run
 * time limit, and jobs that failed too often. Only jobs with expressions have holds or these limits.
 */
export function enforceHoldsAndRunLimits(
  matcher: JobMatcher,
  now: number,
  ledger: Ledger,
  workers: Workers,
  reportMs: number,
): void {
  for (const job of ledger.jobs.values()) {
    const { spec, id, open } = job;
    if (spec.match === undefined || !open) continue;
    const held = matcher.holdReason(id) !== null;
    // Once released, the job may fail as often again.
    if (held) job.failures = 0;
    const maxRunMs = matcher.maxRunMs(spec);
    const retries = matcher.maxRetries(spec);
    if (retries !== null && job.failures > retries && !held) {
      matcher.hold(id, `failed ${job.failures} times in a row, max_retries is ${retries}`);
    }
    if (!held && maxRunMs === null) continue;
    for (const chunk of job.chunks.values()) {
      for (const allocation of chunk.allocations.values()) {
        const overRunLimit =
          maxRunMs !== null && allocation.running && now - allocation.since > maxRunMs;
        if (overRunLimit && !held) matcher.hold(id, "ran longer than allowed_execute_duration");
        if (!held || allocation.stopRequest !== null) continue;
        workers.stop(allocation, spec.checkpointS > 0 ? spec.saveS + reportMs / 1000 : 0, "held");
      }
    }
  }
}

/** Most jobs whose progress is published: as many as fit into a frame, and more than users look at. */
const MAX_PROGRESS_JOBS = 2000;

/** Placed and done tasks here of jobs with expressions, so that any controller can show them. */
export function taskProgress(jobs: Iterable<Job>): [string, number, number][] {
  const progress: [string, number, number][] = [];
  for (const { id, spec, placed, chunks } of jobs) {
    if (spec.match === undefined || progress.length >= MAX_PROGRESS_JOBS) continue;
    let done = 0;
    for (const { doneCount } of chunks.values()) done += doneCount;
    if (placed + done > 0) progress.push([id, placed, done]);
  }
  return progress;
}
