/**
 * The configuration in force under a revision: pure functions of the platform's settings and the
 * overrides.
 */
import { type Amounts, addAmounts, type Group, ROOT } from "../fair/share.js";
import { isLimited, limitForJson } from "../quota/limits.js";
import type { Team } from "../settings/settings.js";
import type { ConfiguredAmounts, ConfiguredGroup, ConfiguredTeam, Overrides } from "./records.js";

/**
 * The configuration at start: the platform's teams, and the tree of groups from the operators'
 * settings.
 */
export interface BaseConfiguration {
  teams: readonly Team[];
  /** Names of the teams of packages, which are not in the platform's settings. */
  packageTeams: readonly string[];
  groups: readonly Group[];
}

/** The configuration in force. Immutable: each revision creates a new one. */
export interface EffectiveConfiguration {
  /** 0: no revision has been made; the configuration is that at start. */
  revision: number;
  limits: ReadonlyMap<string, Amounts>;
  guarantees: ReadonlyMap<string, Amounts>;
  /** Input for a `ShareTree`. */
  groups: Group[];
}

/** An error in overrides, with the team or group that it concerns. */
export interface ConfigurationProblem {
  name: string;
  reason: string;
}

const RESOURCES = ["cpus", "gpus"] as const;
const LABELS = { cpus: "CPUs", gpus: "GPUs" } as const;

const withOverrides = (base: Amounts, set: ConfiguredAmounts | undefined): Amounts => ({
  cpus: set?.cpus ?? base.cpus,
  gpus: set?.gpus ?? base.gpus,
});

/**
 * Merges a change into earlier overrides: fields that it names replace those of the same team or
 * group.
 */
export function merge(before: Overrides, change: Overrides): Overrides {
  const teams = new Map(before.teams.map((team) => [team.name, team]));
  for (const team of change.teams) {
    const old = teams.get(team.name);
    const merged: ConfiguredTeam = { ...old, ...team };
    if (old?.guarantee !== undefined || team.guarantee !== undefined)
      merged.guarantee = { ...old?.guarantee, ...team.guarantee };
    if (old?.limit !== undefined || team.limit !== undefined)
      merged.limit = { ...old?.limit, ...team.limit };
    teams.set(team.name, merged);
  }
  const groups = new Map(before.groups.map((group) => [group.name, group]));
  for (const group of change.groups)
    groups.set(group.name, { ...groups.get(group.name), ...group });
  return { teams: [...teams.values()], groups: [...groups.values()] };
}

/** The first error in overrides on this platform, or null. */
export function configurationProblem(
  base: BaseConfiguration,
  overrides: Overrides,
): ConfigurationProblem | null {
  const platform = new Map(base.teams.map((team) => [team.name, team]));
  for (const team of overrides.teams) {
    const known = platform.get(team.name);
    if (known === undefined)
      return { name: team.name, reason: `the platform has no team ${team.name}` };
    const reason = limitError(team, known);
    if (reason !== null) return { name: team.name, reason };
  }
  return groupError(base, overrides);
}

function limitError({ name, limit }: ConfiguredTeam, platform: Team): string | null {
  const platformLimits = { cpus: platform.cpus_max, gpus: platform.gpus_max };
  for (const resource of RESOURCES) {
    const requested = limit?.[resource];
    if (requested === undefined) continue;
    const label = LABELS[resource];
    if (!isLimited(platformLimits[resource]))
      return `${name}: has no limit of ${label} on the platform, and none can be set while serving`;
    if (requested > platformLimits[resource])
      return `${name}: a limit of ${requested} ${label} is above the platform's, ${platformLimits[resource]}`;
    if (requested === 0)
      return `${name}: a limit of 0 ${label} would mean no limit; expected more than 0`;
  }
  return null;
}

function groupError(base: BaseConfiguration, overrides: Overrides): ConfigurationProblem | null {
  const teams = new Set(base.teams.map(({ name }) => name));
  const leafNames = new Set(teamLeaves(base).map(({ name }) => name));
  const parents = new Map<string, string>();
  for (const { name, parent } of base.groups) {
    if (parent !== null && !leafNames.has(name)) parents.set(name, parent);
  }
  for (const { name, parent } of overrides.groups) {
    if (leafNames.has(name)) return { name, reason: `${name} is the name of a team` };
    parents.set(name, parent ?? ROOT);
  }
  for (const [name, parent] of parents) {
    if (parent !== ROOT && !parents.has(parent))
      return { name, reason: `${name}: unknown parent ${parent}` };
    const seen = new Set([name]);
    for (let ancestor = parent; ancestor !== ROOT; ancestor = parents.get(ancestor) ?? ROOT) {
      if (seen.has(ancestor)) return { name, reason: `group ${name} is inside itself` };
      seen.add(ancestor);
    }
  }
  for (const { name, group } of overrides.teams) {
    if (group !== undefined && group !== ROOT && teams.has(name) && !parents.has(group))
      return { name, reason: `${name}: unknown group ${group}` };
  }
  return null;
}

/** Teams in the tree, those of packages included; all other entries are groups. */
function teamLeaves({ teams, packageTeams, groups }: BaseConfiguration): Group[] {
  const teamNames = new Set([...teams.map(({ name }) => name), ...packageTeams]);
  return groups.filter(({ name }) => teamNames.has(name));
}

/** The configuration under overrides that passed `configurationProblem`. */
export function effectiveConfiguration(
  base: BaseConfiguration,
  overrides: Overrides,
  revision: number,
): EffectiveConfiguration {
  const overridesByTeam = new Map(overrides.teams.map((team) => [team.name, team]));
  const limits = new Map<string, Amounts>();
  const guarantees = new Map<string, Amounts>();
  for (const { name, cpus, cpus_max, gpus, gpus_max } of base.teams) {
    const own = overridesByTeam.get(name);
    guarantees.set(name, withOverrides({ cpus, gpus }, own?.guarantee));
    limits.set(name, withOverrides({ cpus: cpus_max, gpus: gpus_max }, own?.limit));
  }
  return { revision, limits, guarantees, groups: buildTree(base, overrides, guarantees) };
}

function buildTree(
  base: BaseConfiguration,
  overrides: Overrides,
  guarantees: ReadonlyMap<string, Amounts>,
): Group[] {
  const leaves = new Map(teamLeaves(base).map((leaf) => [leaf.name, leaf]));
  const groups = new Map<string, Group>();
  const zero = (): Amounts => ({ cpus: 0, gpus: 0 });
  for (const group of base.groups) {
    if (!leaves.has(group.name)) groups.set(group.name, { ...group, nominal: zero() });
  }
  for (const group of overrides.groups) groups.set(group.name, configuredGroup(group));
  const overridesByTeam = new Map(overrides.teams.map((team) => [team.name, team]));
  const placedTeams: Group[] = [];
  for (const leaf of leaves.values()) {
    const own = overridesByTeam.get(leaf.name);
    const nominal = guarantees.get(leaf.name) ?? leaf.nominal;
    const parent = own?.group ?? leaf.parent ?? ROOT;
    placedTeams.push({ ...leaf, parent, weight: own?.weight ?? leaf.weight, nominal });
    for (
      let ancestor: string | null = parent;
      ancestor !== null;
      ancestor = groups.get(ancestor)?.parent ?? null
    ) {
      const group = groups.get(ancestor);
      if (group !== undefined) group.nominal = addAmounts(group.nominal, nominal);
    }
  }
  return [...groups.values(), ...placedTeams];
}

const configuredGroup = ({ name, parent, weight, lending }: ConfiguredGroup): Group => ({
  name,
  parent: parent ?? ROOT,
  weight: weight ?? 1,
  nominal: { cpus: 0, gpus: 0 },
  ...(lending === undefined
    ? {}
    : { lending: { cpus: lending.cpus ?? 0, gpus: lending.gpus ?? 0 } }),
});

const formatAmounts = (amounts: Amounts | undefined): string => {
  const { cpus, gpus } = limitForJson(amounts ?? { cpus: 0, gpus: 0 });
  return `${cpus ?? "any"} CPUs, ${gpus ?? "any"} GPUs`;
};

/** The differences between two configurations, one line each. */
export function differences(from: EffectiveConfiguration, to: EffectiveConfiguration): string[] {
  const lines: string[] = [];
  for (const [name, limit] of to.limits) {
    const [before, after] = [formatAmounts(from.limits.get(name)), formatAmounts(limit)];
    if (before !== after) lines.push(`team ${name}: limit ${before} -> ${after}`);
    const [old, now] = [
      formatAmounts(from.guarantees.get(name)),
      formatAmounts(to.guarantees.get(name)),
    ];
    if (old !== now) lines.push(`team ${name}: guarantee ${old} -> ${now}`);
  }
  const before = new Map(from.groups.map((group) => [group.name, group]));
  for (const { name, parent, weight, lending } of to.groups) {
    const old = before.get(name);
    const kind = to.limits.has(name) ? "team" : "group";
    if (old === undefined) lines.push(`group ${name}: new, in ${parent || "the root"}`);
    else if (old.parent !== parent)
      lines.push(`${kind} ${name}: group ${old.parent || "the root"} -> ${parent || "the root"}`);
    if (old !== undefined && old.weight !== weight)
      lines.push(`${kind} ${name}: weight ${old.weight} -> ${weight}`);
    if (old !== undefined && JSON.stringify(old.lending) !== JSON.stringify(lending))
      lines.push(
        `${kind} ${name}: lending ${lending === undefined ? "all" : formatAmounts(lending)}`,
      );
  }
  return lines;
}

/** Warnings about a valid configuration; `capacity` is null if not known. */
export function warningsOf(
  { limits, guarantees }: EffectiveConfiguration,
  capacity: Amounts | null,
): string[] {
  const warnings: string[] = [];
  let sum: Amounts = { cpus: 0, gpus: 0 };
  for (const [name, guarantee] of guarantees) {
    sum = addAmounts(sum, guarantee);
    const limit = limits.get(name);
    for (const resource of RESOURCES) {
      if (limit === undefined || guarantee[resource] <= limit[resource]) continue;
      warnings.push(
        `${name}: is guaranteed ${guarantee[resource]} ${LABELS[resource]} and may use ${limit[resource]}`,
      );
    }
  }
  for (const resource of RESOURCES) {
    if (capacity === null || sum[resource] <= capacity[resource]) continue;
    warnings.push(
      `the guarantees add up to ${sum[resource]} ${LABELS[resource]}; the machines now have ${capacity[resource]}`,
    );
  }
  return warnings;
}
