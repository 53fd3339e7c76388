import { createRequire } from "node:module";
import type * as Protobuf from "protobufjs";
import type * as TextFormat from "protobufjs/ext/textformat.js";
import type { ExtraTeam } from "../extension/index.js";
import { type Amounts, addAmounts, type Group, ROOT } from "../fair/share.js";
import { SettingsError, type Team } from "./settings.js";

/** Schema of the operators' settings; `deploy/tuning.example.textproto` explains the fields. */
const SCHEMA = `
syntax = "proto3";
package birchdale;

message Resources {
  double cpus = 1;
  double gpus = 2;
}

message Group {
  string name = 1;
  // The group that this one belongs to; by default the root.
  optional string parent = 2;
  optional double weight = 3;
  // The most that its members together lend to other groups; by default all their guarantees.
  optional Resources lending = 4;
}

message Team {
  string name = 1;
  optional string group = 2;
  optional double weight = 3;
  // Only for "birchdale config apply"; at start both come from the platform's settings.
  optional Resources guarantee = 4;
  optional Resources limit = 5;
}

message Preemption {
  // Whether borrowers are also preempted to even out shares (S2), not only for guarantees.
  optional bool even_out = 1;
  // For that, the preemptor must have waited this many times as long as the victim's loss.
  optional double patience = 2;
}

message Rental {
  // An offer this many times as expensive as the cheapest is taken only for lasting demand.
  optional double dear = 1;
  // Capacity to keep, as a multiple of the demand.
  optional double headroom = 2;
}

message Archive {
  // Number of finished jobs that stay in the watched keys.
  optional uint32 keep = 1;
  // Minimum time for which each of them stays there.
  optional double age_s = 2;
}

message Tuning {
  repeated Group group = 1;
  repeated Team team = 2;
  optional Preemption preemption = 3;
  optional Rental rental = 4;
  optional Archive archive = 5;
  // Messages of optional packages follow, from number 100.
%PACKAGES%}
`;

/** A package's own message in the operators' settings: its presence enables the package. */
export interface PackageSchema {
  /** The field in the settings, such as `market`. */
  field: string;
  /** The field number: 100 or more, never reused for another message. */
  number: number;
  /** The message's name; `schema` defines the message and its parts in protobuf syntax. */
  message: string;
  schema: string;
}

/** A file of the operators' settings. */
export interface Source {
  file: string;
  text: string;
}

/**
 * Throws a `SettingsError` with the reason and the file and line where the text `near` first
 * occurs.
 */
export type RejectSettings = (reason: string, near: string) => never;

export interface Tuning {
  /** Teams and groups, the root included, as input for a `ShareTree`. */
  groups: Group[];
  preemption: { evenOut: boolean; patience: number };
  rental: { dear: number; headroom: number };
  /** Null: finished jobs are not archived. */
  archive: { keep: number; ageMs: number } | null;
}

/** The defaults of the fields of `archive {}`. */
export const defaultArchive = { keep: 1000, ageMs: 600_000 };

interface RawGroup {
  name: string;
  parent?: string;
  group?: string;
  weight?: number;
  lending?: Partial<Amounts>;
  guarantee?: Partial<Amounts>;
  limit?: Partial<Amounts>;
}

export interface Raw {
  group?: RawGroup[];
  team?: RawGroup[];
  preemption?: { even_out?: boolean; patience?: number };
  rental?: { dear?: number; headroom?: number };
  archive?: { keep?: number; age_s?: number };
}

/** The settings without a file: every team has weight 1 and is in the root group. */
export function defaultTuning(teams: readonly Team[]): Tuning {
  return buildTuning({}, teams, (reason) => {
    throw new SettingsError(reason);
  });
}

export function parseTuning(text: string, file: string, teams: readonly Team[]): Tuning {
  const { raw, refuse } = parseSources([{ text, file }], []);
  return buildTuning(raw, teams, refuse);
}

/**
 * Reads files and merges them as protobuf merges messages: a singular field is taken from the last
 * file that has it, repeated fields are concatenated, and messages are merged field by field.
 */
export function parseSources(
  sources: readonly Source[],
  packages: readonly PackageSchema[],
): { raw: Raw & Record<string, unknown>; refuse: RejectSettings } {
  // Loaded only if there is such a file, since loading takes time and memory that most runs can
  // save.
  const load = createRequire(import.meta.url);
  const protobuf = load("protobufjs") as typeof Protobuf;
  const format = load("protobufjs/ext/textformat") as typeof TextFormat;
  format.install();
  const fields = packages.map(
    ({ field, number, message }) => `  optional ${message} ${field} = ${number};\n`,
  );
  const schema = [
    SCHEMA.replace("%PACKAGES%", fields.join("")),
    ...packages.map((one) => one.schema),
  ];
  const type = protobuf
    .parse(schema.join("\n"), { keepCase: true })
    .root.lookupType("birchdale.Tuning");
  const raw: Record<string, unknown> = {};
  for (const { text, file } of sources) {
    try {
      merge(raw, type.toObject(type.fromText(text), { longs: Number }));
    } catch (error) {
      const message = (error as Error).message;
      const line = / \(line (\d+)\)$/.exec(message);
      // For some values the parser gives no line: it is the last of the shortest prefix that fails.
      const lineNumber = line === null ? lineOfParseError(type, text, message) : Number(line[1]);
      throw new SettingsError(`${file}:${lineNumber}: ${message.replace(/ \(line \d+\)$/, "")}`);
    }
  }
  return {
    raw,
    refuse: (reason, near) => {
      // Later files override earlier ones, so the error is searched for in the last file first.
      const last = sources.at(-1)!;
      const { file, text } = [...sources].reverse().find((one) => one.text.includes(near)) ?? last;
      throw new SettingsError(`${file}:${lineNumberOf(text, near)}: ${reason}`);
    },
  };
}

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === "object" && value !== null && !Array.isArray(value);

function merge(into: Record<string, unknown>, from: Record<string, unknown>): void {
  for (const [name, value] of Object.entries(from)) {
    const known = into[name];
    if (Array.isArray(known) && Array.isArray(value)) known.push(...value);
    else if (isObject(known) && isObject(value)) merge(known, value);
    else into[name] = value;
  }
}

function lineOfParseError(type: Protobuf.Type, text: string, message: string): number {
  const lines = text.split("\n");
  for (let count = 1; count < lines.length; count++) {
    try {
      type.fromText(lines.slice(0, count).join("\n"));
    } catch (error) {
      if ((error as Error).message === message) return count;
    }
  }
  return lines.length;
}

/** The line on which a name or a field first occurs; 1 if it does not occur. */
function lineNumberOf(text: string, near: string): number {
  const index = text.search(
    new RegExp(`["']${escapeRegExp(near)}["']|\\b${escapeRegExp(near)}\\b`),
  );
  return index < 0 ? 1 : text.slice(0, index).split("\n").length;
}

const escapeRegExp = (text: string): string => text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");

/** Checks the core's settings and builds the tree, with the `extra` teams of packages in it. */
export function buildTuning(
  raw: Raw,
  teams: readonly Team[],
  refuse: RejectSettings,
  extra: readonly ExtraTeam[] = [],
): Tuning {
  const atLeast = (value: number | undefined, fallback: number, least: number, name: string) => {
    if (value === undefined) return fallback;
    if (!Number.isFinite(value) || value < least) refuse(`${name}: at least ${least}`, name);
    return value;
  };
  const weight = ({ name, weight: value }: RawGroup): number => {
    if (value === undefined) return 1;
    if (!Number.isFinite(value) || value <= 0) refuse(`${name}: weight must be above 0`, name);
    return value;
  };
  const groups = new Map<string, Group>();
  const zero = (): Amounts => ({ cpus: 0, gpus: 0 });
  groups.set(ROOT, { name: ROOT, parent: null, weight: 1, nominal: zero() });
  const known = new Map(teams.map((team) => [team.name, team]));
  for (const group of raw.group ?? []) {
    const { name, parent, lending } = group;
    if (name === "" || name === undefined) refuse("group: name is missing", "group");
    if (groups.has(name)) refuse(`group ${name} is there twice`, name);
    if (known.has(name)) refuse(`${name} is the name of a team`, name);
    for (const value of [lending?.cpus, lending?.gpus]) {
      if (value !== undefined && !(value >= 0))
        refuse(`${name}: lending must not be negative`, name);
    }
    groups.set(name, {
      name,
      parent: parent ?? ROOT,
      weight: weight(group),
      nominal: zero(),
      ...(lending === undefined ? {} : { lending: { ...zero(), ...lending } }),
    });
  }
  for (const { name, parent } of groups.values()) {
    if (parent !== null && !groups.has(parent)) refuse(`${name}: unknown parent ${parent}`, name);
    const seen = new Set([name]);
    for (
      let ancestor = parent;
      ancestor !== null;
      ancestor = groups.get(ancestor)?.parent ?? null
    ) {
      if (seen.has(ancestor)) refuse(`group ${name} is inside itself`, name);
      seen.add(ancestor);
    }
  }
  const teamSettings = new Map<string, RawGroup>();
  for (const team of raw.team ?? []) {
    if (!known.has(team.name)) refuse(`the platform has no team ${team.name}`, team.name);
    if (team.guarantee !== undefined || team.limit !== undefined) {
      const reason = "guarantees and limits are set by `birchdale config apply`, not at start";
      refuse(`${team.name}: ${reason}`, team.name);
    }
    if (teamSettings.has(team.name)) refuse(`team ${team.name} is there twice`, team.name);
    if (team.group !== undefined && !groups.has(team.group)) {
      refuse(`${team.name}: unknown group ${team.group}`, team.name);
    }
    teamSettings.set(team.name, team);
  }
  const leaves: Group[] = [];
  for (const { name, cpus, gpus } of teams) {
    const own = teamSettings.get(name);
    const parent = own?.group ?? ROOT;
    leaves.push({
      name,
      parent,
      weight: own === undefined ? 1 : weight(own),
      nominal: { cpus, gpus },
    });
    for (
      let ancestor: string | null = parent;
      ancestor !== null;
      ancestor = groups.get(ancestor)!.parent
    ) {
      const group = groups.get(ancestor)!;
      group.nominal = addAmounts(group.nominal, { cpus, gpus });
    }
  }
  for (const { name, group } of extra) {
    if (known.has(name)) refuse(`the platform has a team ${name} already`, name);
    if (groups.has(name)) refuse(`${name} is the name of a group`, name);
    if (group !== null && !groups.has(group)) refuse(`${name}: unknown group ${group}`, name);
    leaves.push({ name, parent: group ?? ROOT, weight: 1, nominal: zero() });
  }
  return {
    groups: [...groups.values(), ...leaves],
    preemption: {
      evenOut: raw.preemption?.even_out ?? true,
      patience: atLeast(raw.preemption?.patience, 4, 0, "patience"),
    },
    rental: {
      dear: atLeast(raw.rental?.dear, 1.5, 1, "dear"),
      headroom: atLeast(raw.rental?.headroom, 1.3, 1, "headroom"),
    },
    archive:
      raw.archive === undefined
        ? null
        : {
            keep: raw.archive.keep ?? defaultArchive.keep,
            ageMs: atLeast(raw.archive.age_s, defaultArchive.ageMs / 1000, 0, "age_s") * 1000,
          },
  };
}
