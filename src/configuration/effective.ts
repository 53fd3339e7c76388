/** What holds under a revision: pure functions on the platform's settings and the overrides. */
import { type Amounts, addAmounts, type Group, ROOT } from "../fair/share.js";
import { isLimited, shownLimit } from "../quota/limits.js";
import type { Team } from "../settings/settings.js";
import type { ConfiguredAmounts, ConfiguredGroup, ConfiguredTeam, Overrides } from "./records.js";

/** What a controller starts with: the platform's teams, and the tree that the files at start make. */
export interface BaseConfiguration {
  teams: readonly Team[];
  /** Names of packages' teams, which the platform does not list. */
  guests: readonly string[];
  groups: readonly Group[];
}

/** What decisions go by. Never changed in place: a new revision makes a new one. */
export interface EffectiveConfiguration {
  /** 0: none has been made, all is as at start. */
  revision: number;
  limits: ReadonlyMap<string, Amounts>;
  guarantees: ReadonlyMap<string, Amounts>;
  /** For a tree of shares. */
  groups: Group[];
}

/** Something that an author has to mend, and the name that it is about. */
export interface ConfigurationFault {
  name: string;
  reason: string;
}

const RESOURCES = ["cpus", "gpus"] as const;
const LABELS = { cpus: "CPUs", gpus: "GPUs" } as const;

const overlay = (base: Amounts, set: ConfiguredAmounts | undefined): Amounts => ({
  cpus: set?.cpus ?? base.cpus,
  gpus: set?.gpus ?? base.gpus,
});

/** What a change makes of what was set before: fields that it names replace those of the same name. */
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

/** The first thing that is wrong with overrides on this platform, or null. */
export function faultOf(base: BaseConfiguration, overrides: Overrides): ConfigurationFault | null {
  const platform = new Map(base.teams.map((team) => [team.name, team]));
  for (const team of overrides.teams) {
    const known = platform.get(team.name);
    if (known === undefined)
      return { name: team.name, reason: `the platform has no team ${team.name}` };
    const reason = limitFault(team, known);
    if (reason !== null) return { name: team.name, reason };
  }
  return groupFault(base, overrides);
}

function limitFault({ name, limit }: ConfiguredTeam, platform: Team): string | null {
  const most = { cpus: platform.cpus_max, gpus: platform.gpus_max };
  for (const resource of RESOURCES) {
    const asked = limit?.[resource];
    if (asked === undefined) continue;
    const label = LABELS[resource];
    if (!isLimited(most[resource]))
      return `${name}: has no limit of ${label} on the platform, and none can be set while serving`;
    if (asked > most[resource])
      return `${name}: a limit of ${asked} ${label} is above the platform's, ${most[resource]}`;
    if (asked === 0) return `${name}: a limit of 0 ${label} would mean none; the least is above 0`;
  }
  return null;
}

function groupFault(base: BaseConfiguration, overrides: Overrides): ConfigurationFault | null {
  const teams = new Set(base.teams.map(({ name }) => name));
  const leaves = new Set(leavesOf(base).map(({ name }) => name));
  const parents = new Map<string, string>();
  for (const { name, parent } of base.groups) {
    if (parent !== null && !leaves.has(name)) parents.set(name, parent);
  }
  for (const { name, parent } of overrides.groups) {
    if (leaves.has(name)) return { name, reason: `${name} is the name of a team` };
    parents.set(name, parent ?? ROOT);
  }
  for (const [name, parent] of parents) {
    if (parent !== ROOT && !parents.has(parent))
      return { name, reason: `${name}: unknown parent ${parent}` };
    const seen = new Set([name]);
    for (let at = parent; at !== ROOT; at = parents.get(at) ?? ROOT) {
      if (seen.has(at)) return { name, reason: `group ${name} is inside itself` };
      seen.add(at);
    }
  }
  for (const { name, group } of overrides.teams) {
    if (group !== undefined && group !== ROOT && teams.has(name) && !parents.has(group))
      return { name, reason: `${name}: unknown group ${group}` };
  }
  return null;
}

/** Teams and guests in the tree; all others in it are groups. */
function leavesOf({ teams, guests, groups }: BaseConfiguration): Group[] {
  const named = new Set([...teams.map(({ name }) => name), ...guests]);
  return groups.filter(({ name }) => named.has(name));
}

/** What holds under overrides that `faultOf` finds nothing wrong with. */
export function effectiveOf(
  base: BaseConfiguration,
  overrides: Overrides,
  revision: number,
): EffectiveConfiguration {
  const set = new Map(overrides.teams.map((team) => [team.name, team]));
  const limits = new Map<string, Amounts>();
  const guarantees = new Map<string, Amounts>();
  for (const { name, cpus, cpus_max, gpus, gpus_max } of base.teams) {
    const own = set.get(name);
    guarantees.set(name, overlay({ cpus, gpus }, own?.guarantee));
    limits.set(name, overlay({ cpus: cpus_max, gpus: gpus_max }, own?.limit));
  }
  return { revision, limits, guarantees, groups: treeOf(base, overrides, guarantees) };
}

function treeOf(
  base: BaseConfiguration,
  overrides: Overrides,
  guarantees: ReadonlyMap<string, Amounts>,
): Group[] {
  const leaves = new Map(leavesOf(base).map((leaf) => [leaf.name, leaf]));
  const groups = new Map<string, Group>();
  const zero = (): Amounts => ({ cpus: 0, gpus: 0 });
  for (const group of base.groups) {
    if (!leaves.has(group.name)) groups.set(group.name, { ...group, nominal: zero() });
  }
  for (const group of overrides.groups) groups.set(group.name, configuredGroup(group));
  const set = new Map(overrides.teams.map((team) => [team.name, team]));
  const placed: Group[] = [];
  for (const leaf of leaves.values()) {
    const own = set.get(leaf.name);
    const nominal = guarantees.get(leaf.name) ?? leaf.nominal;
    const parent = own?.group ?? leaf.parent ?? ROOT;
    placed.push({ ...leaf, parent, weight: own?.weight ?? leaf.weight, nominal });
    for (let at: string | null = parent; at !== null; at = groups.get(at)?.parent ?? null) {
      const group = groups.get(at);
      if (group !== undefined) group.nominal = addAmounts(group.nominal, nominal);
    }
  }
  return [...groups.values(), ...placed];
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

const shown = (amounts: Amounts | undefined): string => {
  const { cpus, gpus } = shownLimit(amounts ?? { cpus: 0, gpus: 0 });
  return `${cpus ?? "any"} CPUs, ${gpus ?? "any"} GPUs`;
};

/** What differs between two configurations, a line each. */
export function differences(from: EffectiveConfiguration, to: EffectiveConfiguration): string[] {
  const lines: string[] = [];
  for (const [name, limit] of to.limits) {
    const [before, after] = [shown(from.limits.get(name)), shown(limit)];
    if (before !== after) lines.push(`team ${name}: limit ${before} -> ${after}`);
    const [old, now] = [shown(from.guarantees.get(name)), shown(to.guarantees.get(name))];
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
      lines.push(`${kind} ${name}: lending ${lending === undefined ? "all" : shown(lending)}`);
  }
  return lines;
}

/** What an author should know about what is taken all the same; `capacity` null: not known. */
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
