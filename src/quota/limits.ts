import type { Amounts } from "../fair/share.js";

/**
 * Stands for "no limit" once the settings are read. It is larger than any use, so comparisons with
 * a limit need no special case. DEPLOY says of `cpus` and `cpus_max` together that 0 means none:
 * no guarantee for `cpus`, no limit for `cpus_max`. When 0 was read as a limit of 0 CPUs, every job
 * of a guest team without a guarantee was refused permanently.
 */
export const NO_LIMIT = Number.POSITIVE_INFINITY;

/** Converts a limit from the settings (`cpus_max`, `gpus_max`), where 0 means no limit. */
export const limitFromSetting = (setting: number): number => (setting === 0 ? NO_LIMIT : setting);

export const isLimited = (limit: number): boolean => limit !== NO_LIMIT;

/** Limits by team, from settings in which 0 is already replaced by `NO_LIMIT`. */
export const limitsByTeam = (
  teams: readonly { name: string; cpus_max: number; gpus_max: number }[],
): Map<string, Amounts> =>
  new Map(teams.map(({ name, cpus_max, gpus_max }) => [name, { cpus: cpus_max, gpus: gpus_max }]));

export const guaranteesByTeam = (
  teams: readonly { name: string; cpus: number; gpus: number }[],
): Map<string, Amounts> => new Map(teams.map(({ name, cpus, gpus }) => [name, { cpus, gpus }]));

/** A limit for users and for HTTP bodies, with null for no limit: JSON has no infinity. */
export const limitForJson = ({ cpus, gpus }: Amounts): Record<keyof Amounts, number | null> => ({
  cpus: isLimited(cpus) ? cpus : null,
  gpus: isLimited(gpus) ? gpus : null,
});

/**
 * Errors in the teams of the settings, one per team and resource. They are checked at start, so
 * that they show before the first job of such a team is refused permanently.
 */
export function teamConfigErrors(
  teams: readonly {
    name: string;
    cpus: number;
    gpus: number;
    cpus_max: number;
    gpus_max: number;
  }[],
): { team: string; problem: string }[] {
  const errors: { team: string; problem: string }[] = [];
  for (const { name, cpus, gpus, cpus_max, gpus_max } of teams) {
    for (const [resource, guarantee, limit] of [
      ["CPUs", cpus, cpus_max],
      ["GPUs", gpus, gpus_max],
    ] as const) {
      if (guarantee <= limit) continue;
      errors.push({
        team: name,
        problem: `guarantee of ${guarantee} ${resource} is above the limit of ${limit}; the team can use no more than the limit`,
      });
    }
  }
  return errors;
}
