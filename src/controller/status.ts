import type { EffectiveConfiguration } from "../configuration/index.js";
import type { Core } from "../extension/index.js";
import { fitsWithin, ShareTree } from "../fair/share.js";
import { limitForJson } from "../quota/limits.js";

/**
 * The parts and teams in `/about/status`, as far as this controller knows them: for people, and for
 * programs that need the teams' shares in order to divide resources fairly.
 */
export function partAndTeamStatus(
  { layout, summaries, claims }: Core,
  { revision, groups, limits, guarantees }: EffectiveConfiguration,
  jobsOf: (team: string) => number,
): { configuration: number; teams: object[]; parts: object[] } {
  const tree = new ShareTree(groups);
  const parts = layout.members.map((_, part) => {
    const summary = summaries.of(part);
    for (const [team, [cpus, gpus]] of Object.entries(summary?.use ?? {})) {
      tree.charge(team, { cpus, gpus });
    }
    return {
      part,
      owner: claims.ownerOf(part),
      token: summary?.token ?? null,
      waitingCpus: summary?.waiting ?? 0,
      machines: summary?.machines.length ?? 0,
      kinds: summary?.kinds ?? [],
    };
  });
  const teams = [...limits].map(([name, limit]) => ({
    name,
    use: tree.use(name),
    // The team's limit was lowered below its use: none of its tasks start until it uses less.
    ...(fitsWithin(tree.use(name), limit) ? {} : { overLimit: true }),
    guarantee: guarantees.get(name),
    limit: limitForJson(limit),
    share: tree.share(name),
    jobs: jobsOf(name),
  }));
  return { configuration: revision, teams, parts };
}
