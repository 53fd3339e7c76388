/** A job as far as it matters for whether it can be in time. */
export interface DueJob {
  id: string;
  rank: number;
  /** Seconds from now until it should be complete. */
  leftS: number;
  /** One of its tasks, by the owner's estimate, in seconds. */
  taskS: number;
  /** All that is left of it: CPUs times seconds. */
  work: number;
}

/**
 * Estimates are often wrong by half (PROTOCOL): a job counts as too late by itself only when even
 * half of its estimate does not fit before it is due.
 */
const HOPE = 0.5;

/** Whether one task alone takes too long. */
export const tooLate = (leftS: number, taskS: number): boolean => leftS <= taskS * HOPE;

/**
 * Which of a team's jobs to finish in time, so that as many as possible are: taken in the order in
 * which they are due, and where one would be late, the largest so far is given up (Moore and
 * Hodgson). Going by due times alone, one huge job that cannot make it makes all after it late.
 * Higher priorities come first; one of theirs that is given up comes after lower ones in time.
 */
export function selectOnTimeJobs(jobs: readonly DueJob[], cpus: number): Set<string> {
  const kept = new Set<string>();
  const ranks = [...new Set(jobs.map(({ rank }) => rank))].sort((a, b) => b - a);
  let before = 0;
  for (const rank of ranks) {
    const mine = jobs.filter((job) => job.rank === rank).sort((a, b) => a.leftS - b.leftS);
    const chosen: DueJob[] = [];
    let sum = before;
    for (const job of mine) {
      if (tooLate(job.leftS, job.taskS)) continue;
      chosen.push(job);
      sum += job.work;
      if (sum / cpus <= job.leftS) continue;
      let largest = 0;
      for (const [i, { work }] of chosen.entries()) if (work > chosen[largest]!.work) largest = i;
      sum -= chosen.splice(largest, 1)[0]!.work;
    }
    for (const { id, work } of chosen) {
      kept.add(id);
      before += work;
    }
  }
  return kept;
}
