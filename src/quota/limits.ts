import type { Amounts } from "../fair/share.js";

/**
 * What stands for "no limit" from the settings on: larger than any use, so that whatever compares a
 * use with a limit need not ask. DEPLOY says of `cpus` and `cpus_max` together that a value of 0
 * means none. A guarantee of none is nothing; a limit of none does not limit. Read as a limit of
 * nothing, it had every job of a guest without a guarantee refused for good.
 */
export const NO_LIMIT = Number.POSITIVE_INFINITY;

/** A limit as the settings have it (`cpus_max`, `gpus_max`). */
export const limitOf = (setting: number): number => (setting === 0 ? NO_LIMIT : setting);

export const isLimited = (limit: number): boolean => limit !== NO_LIMIT;

/** Limits by team; settings that were read have `NO_LIMIT` in place of 0. */
export const limitsOf = (
  teams: readonly { name: string; cpus_max: number; gpus_max: number }[],
): Map<string, Amounts> =>
  new Map(teams.map(({ name, cpus_max, gpus_max }) => [name, { cpus: cpus_max, gpus: gpus_max }]));

export const guaranteesOf = (
  teams: readonly { name: string; cpus: number; gpus: number }[],
): Map<string, Amounts> => new Map(teams.map(({ name, cpus, gpus }) => [name, { cpus, gpus }]));

/** For people and for bodies: infinity has no form in JSON. */
export const shownLimit = ({ cpus, gpus }: Amounts): Record<keyof Amounts, number | null> => ({
  cpus: isLimited(cpus) ? cpus : null,
  gpus: isLimited(gpus) ? gpus : null,
});

/**
 * What is wrong with the teams of the settings, one line each: found at start, and not when the
 * first job of a team is refused for good.
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
  const faults: { team: string; problem: string }[] = [];
  for (const { name, cpus, gpus, cpus_max, gpus_max } of teams) {
    for (const [what, guarantee, limit] of [
      ["CPUs", cpus, cpus_max],
      ["GPUs", gpus, gpus_max],
    ] as const) {
      if (guarantee <= limit) continue;
      faults.push({
        team: name,
        problem: `is guaranteed ${guarantee} ${what} and may use ${limit}: the rest of its guarantee is out of its reach`,
      });
    }
  }
  return faults;
}
