import type { JobMatcher } from "../extension/index.js";
import type { Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import type { Workers } from "./workers.js";

/**
 * Stops what a hold, or a job's own limit of time, ends: tasks of held jobs with time to save, and
 * tasks that have run too long, whose job is then held. Only jobs with expressions have either.
 */
export function enforceHoldsAndRunLimits(
  matching: JobMatcher,
  now: number,
  ledger: Ledger,
  workers: Workers,
  reportMs: number,
): void {
  for (const job of ledger.jobs.values()) {
    const { spec, id, open } = job;
    if (spec.match === undefined || !open) continue;
    const held = matching.holdReason(id) !== null;
    // Released, it may fail as often again.
    if (held) job.failures = 0;
    const mostMs = matching.maxRunMs(spec);
    const retries = matching.maxRetries(spec);
    if (retries !== null && job.failures > retries && !held) {
      matching.hold(id, `failed ${job.failures} times in a row, max_retries is ${retries}`);
    }
    if (!held && mostMs === null) continue;
    for (const chunk of job.chunks.values()) {
      for (const live of chunk.allocations.values()) {
        const late = mostMs !== null && live.running && now - live.since > mostMs;
        if (late && !held) matching.hold(id, "ran longer than allowed_execute_duration");
        if (!held || live.stopRequest !== null) continue;
        workers.stop(live, spec.checkpointS > 0 ? spec.saveS + reportMs / 1000 : 0, "held");
      }
    }
  }
}

/** Jobs whose progress is told: what a frame holds, and more than anybody looks at. */
const MOST_TOLD = 2000;

/** How far jobs with expressions are here, for whoever asks any controller: placed and done. */
export function progressOf(jobs: Iterable<Job>): [string, number, number][] {
  const out: [string, number, number][] = [];
  for (const { id, spec, placed, chunks } of jobs) {
    if (spec.match === undefined || out.length >= MOST_TOLD) continue;
    let done = 0;
    for (const { doneCount } of chunks.values()) done += doneCount;
    if (placed + done > 0) out.push([id, placed, done]);
  }
  return out;
}
