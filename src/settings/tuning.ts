import { createRequire } from "node:module";
import type * as Protobuf from "protobufjs";
import type * as TextFormat from "protobufjs/ext/textformat.js";
import type { ExtraTeam } from "../extension/index.js";
import { type Amounts, addAmounts, type Group, ROOT } from "../fair/share.js";
import { SettingsError, type Team } from "./settings.js";

/** The operators' own settings, as `deploy/tuning.example.textproto` explains them. */
const SCHEMA = `
syntax = "proto3";
package birchdale;

message Resources {
  double cpus = 1;
  double gpus = 2;
}

message Group {
  string name = 1;
  // The group that this one belongs to; without it, the root.
  optional string parent = 2;
  optional double weight = 3;
  // What its members lend to others at most, together; without it, all they are guaranteed.
  optional Resources lending = 4;
}

message Team {
  string name = 1;
  optional string group = 2;
  optional double weight = 3;
  // Only for "birchdale config apply"; at start they come from the platform's settings.
  optional Resources guarantee = 4;
  optional Resources limit = 5;
}

message Preemption {
  // Whether borrowers are stopped to even out shares (S2), not only for guarantees.
  optional bool even_out = 1;
  // How many times a victim's loss the asker must have waited for that.
  optional double patience = 2;
}

message Rental {
  // An offer this many times dearer than the cheapest is taken only for need that lasts.
  optional double dear = 1;
  // Capacity kept, as a multiple of the demand.
  optional double headroom = 2;
}

message Archive {
  // Jobs that are over and stay among the watched keys.
  optional uint32 keep = 1;
  // How long each of them stays there at the least.
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

/** A package's own message in the operators' settings: its presence switches the package on. */
export interface PackageSchema {
  /** The field in the settings, such as `market`. */
  field: string;
  /** From 100, never used again for something else. */
  number: number;
  /** The message's name and, in the language of protobuf, it and what it consists of. */
  message: string;
  schema: string;
}

/** A file of the operators' settings. */
export interface Source {
  file: string;
  text: string;
}

/** Ends with one line: the file and line where the text nearest to the mistake stands first. */
export type Refuse = (reason: string, near: string) => never;

export interface Tuning {
  /** Teams and groups with the root, ready for a tree. */
  groups: Group[];
  preemption: { evenOut: boolean; patience: number };
  rental: { dear: number; headroom: number };
  /** Null: jobs that are over stay where they are. */
  archive: { keep: number; ageMs: number } | null;
}

/** What an empty `archive {}` stands for. */
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

/** What holds without a file: every team has weight 1, and all are in one group. */
export function defaultTuning(teams: readonly Team[]): Tuning {
  return build({}, teams, (reason) => {
    throw new SettingsError(reason);
  });
}

export function parseTuning(text: string, file: string, teams: readonly Team[]): Tuning {
  const { raw, refuse } = parseSources([{ text, file }], []);
  return build(raw, teams, refuse);
}

/**
 * Reads files and merges them as protobuf merges messages: what is there once is taken from the
 * last file that has it, what repeats is joined, and messages merge field by field.
 */
export function parseSources(
  sources: readonly Source[],
  packages: readonly PackageSchema[],
): { raw: Raw & Record<string, unknown>; refuse: Refuse } {
  // Loaded only when there is such a file: it takes time and memory that most runs can save.
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
      // The parser gives no line for some values: the shortest beginning that fails has it.
      const at = line === null ? lineOfError(type, text, message) : Number(line[1]);
      throw new SettingsError(`${file}:${at}: ${message.replace(/ \(line \d+\)$/, "")}`);
    }
  }
  return {
    raw,
    refuse: (reason, near) => {
      // What a later file says is what counts, so the mistake is looked for there first.
      const last = sources.at(-1)!;
      const { file, text } = [...sources].reverse().find((one) => one.text.includes(near)) ?? last;
      throw new SettingsError(`${file}:${lineOf(text, near)}: ${reason}`);
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

function lineOfError(type: Protobuf.Type, text: string, message: string): number {
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

/** The line on which a name, or a field, is written first. */
function lineOf(text: string, near: string): number {
  const at = text.search(new RegExp(`["']${literal(near)}["']|\\b${literal(near)}\\b`));
  return at < 0 ? 1 : text.slice(0, at).split("\n").length;
}

const literal = (text: string): string => text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");

/** Checks the core's own settings; `extra` teams of packages take their place in the tree. */
export function build(
  raw: Raw,
  teams: readonly Team[],
  refuse: Refuse,
  extra: readonly ExtraTeam[] = [],
): Tuning {
  const ratio = (value: number | undefined, fallback: number, least: number, name: string) => {
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
    for (let at = parent; at !== null; at = groups.get(at)?.parent ?? null) {
      if (seen.has(at)) refuse(`group ${name} is inside itself`, name);
      seen.add(at);
    }
  }
  const set = new Map<string, RawGroup>();
  for (const team of raw.team ?? []) {
    if (!known.has(team.name)) refuse(`the platform has no team ${team.name}`, team.name);
    if (team.guarantee !== undefined || team.limit !== undefined) {
      const reason = "guarantees and limits are set by `birchdale config apply`, not at start";
      refuse(`${team.name}: ${reason}`, team.name);
    }
    if (set.has(team.name)) refuse(`team ${team.name} is there twice`, team.name);
    if (team.group !== undefined && !groups.has(team.group)) {
      refuse(`${team.name}: unknown group ${team.group}`, team.name);
    }
    set.set(team.name, team);
  }
  const leaves: Group[] = [];
  for (const { name, cpus, gpus } of teams) {
    const own = set.get(name);
    const parent = own?.group ?? ROOT;
    leaves.push({
      name,
      parent,
      weight: own === undefined ? 1 : weight(own),
      nominal: { cpus, gpus },
    });
    for (let at: string | null = parent; at !== null; at = groups.get(at)!.parent) {
      const group = groups.get(at)!;
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
      patience: ratio(raw.preemption?.patience, 4, 0, "patience"),
    },
    rental: {
      dear: ratio(raw.rental?.dear, 1.5, 1, "dear"),
      headroom: ratio(raw.rental?.headroom, 1.3, 1, "headroom"),
    },
    archive:
      raw.archive === undefined
        ? null
        : {
            keep: raw.archive.keep ?? defaultArchive.keep,
            ageMs: ratio(raw.archive.age_s, defaultArchive.ageMs / 1000, 0, "age_s") * 1000,
          },
  };
}
