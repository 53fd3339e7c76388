/** What is needed of a job to decide whether it can be complete by its due time. */
export interface DueJob {
  id: string;
  rank: number;
  /** Seconds from now until its due time. */
  dueInS: number;
  /** The user's estimate for the run time of one task, in seconds. */
  taskEstimateS: number;
  /** Remaining work of the job, in CPU seconds. */
  remainingCpuSeconds: number;
}

/**
 * Estimates are often wrong by half (PROTOCOL), so a job is only considered unable to meet its due
 * time when not even this fraction of its estimate fits before it.
 */
const MIN_ESTIMATE_FRACTION = 0.5;

/** Whether even a task that starts now would miss the due time. */
export const cannotBeOnTime = (dueInS: number, taskEstimateS: number): boolean =>
  dueInS <= taskEstimateS * MIN_ESTIMATE_FRACTION;

/**
 * Selects the largest possible number of a team's jobs that can all meet their due times (the
 * Moore-Hodgson algorithm). Jobs are accepted by earliest due time; when one would be late, the
 * accepted job with the most work is dropped. With earliest due time alone, one huge job that is
 * late anyway would make all jobs after it late.
 *
 * Priorities are handled from the highest to the lowest. A dropped job of a higher priority comes
 * after on-time jobs of lower priorities.
 */
export function selectOnTimeJobs(jobs: readonly DueJob[], cpus: number): Set<string> {
  const onTime = new Set<string>();
  const ranks = [...new Set(jobs.map(({ rank }) => rank))].sort((a, b) => b - a);
  let acceptedWork = 0;
  for (const rank of ranks) {
    const byDueTime = jobs.filter((job) => job.rank === rank).sort((a, b) => a.dueInS - b.dueInS);
    const accepted: DueJob[] = [];
    let totalWork = acceptedWork;
    for (const job of byDueTime) {
      if (cannotBeOnTime(job.dueInS, job.taskEstimateS)) continue;
      accepted.push(job);
      totalWork += job.remainingCpuSeconds;
      if (totalWork / cpus <= job.dueInS) continue;
      let largest = 0;
      for (const [i, { remainingCpuSeconds: work }] of accepted.entries())
        if (work > accepted[largest]!.remainingCpuSeconds) largest = i;
      totalWork -= accepted.splice(largest, 1)[0]!.remainingCpuSeconds;
    }
    for (const { id, remainingCpuSeconds: work } of accepted) {
      onTime.add(id);
      acceptedWork += work;
    }
  }
  return onTime;
}
