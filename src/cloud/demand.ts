import type { Summary } from "../part/summary.js";

/**
 * CPUs that all teams together use and wait for, each no more than its limit lets it use. Beyond that
 * no machine is of use: one team's large jobs kept all machines up that there were while it might
 * use a fifth of them, and 0.21 to 0.28 of the money was useful (inc-8d22, inc-dbf5).
 */
export function demandOf(
  summaries: readonly Pick<Summary, "demand" | "use">[],
  /** A team's limit in CPUs; infinity where it has none. */
  mostOf: (team: string) => number,
  /** Whether a team's use keeps no machines. */
  yields: (team: string) => boolean,
): number {
  const teams = new Map<string, number>();
  const add = (team: string, cpus: number): void => {
    if (!yields(team)) teams.set(team, (teams.get(team) ?? 0) + cpus);
  };
  for (const { demand, use } of summaries) {
    const listed = new Set<string>();
    for (const { team, cpus } of demand) {
      listed.add(team);
      add(team, cpus);
    }
    for (const [team, [cpus]] of Object.entries(use)) if (!listed.has(team)) add(team, cpus);
  }
  let sum = 0;
  for (const [team, cpus] of teams) sum += Math.min(cpus, mostOf(team));
  return sum;
}
