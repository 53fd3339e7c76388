import { readFileSync } from "node:fs";
import type { ArchiveOptions } from "../controller/index.js";
import { sentenceOf } from "../errors.js";
import type { Extension } from "../extension/index.js";
import type { PackageDoor } from "./door.js";
import { type Settings, SettingsError } from "./settings.js";
import { build, parseSources, type Source, type Tuning } from "./tuning.js";

/**
 * The optional packages by the name of their message. Nothing of them is loaded, and nothing is in
 * the bundle that a controller starts with, unless a file holds the message.
 */
const PACKAGES: Record<string, () => Promise<{ door: PackageDoor }>> = {
  market: () => import("../market/index.js"),
  submit: () => import("../submit/index.js"),
  suspicion: () => import("../suspicion/index.js"),
  diagnose: () => import("../diagnose/index.js"),
};

/** All that the operators' own files say. */
export interface Operators {
  tuning: Tuning | undefined;
  extensions: Extension[];
  /** When jobs that are over are archived, if a file says so. */
  archive?: ArchiveOptions;
}

/** Switches a package on with its own values, as an empty message in a file does, unless one has. */
export async function withPackage(
  name: "suspicion",
  operators: Operators,
  settings: Settings,
): Promise<void> {
  if (operators.extensions.some((extension) => extension.name === name)) return;
  const { door } = await PACKAGES[name]!();
  const refuse = (reason: string): never => {
    throw new SettingsError(reason);
  };
  operators.extensions.push(door.open({}, settings, refuse));
}

/** Names of the fields at the top of a file, without comments, strings and what is in braces. */
export function topFields(text: string): Set<string> {
  const found = new Set<string>();
  let depth = 0;
  const tokens = /#[^\n]*|"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*'|[{}<>]|[A-Za-z_]\w*(?=\s*[:{<])/g;
  for (const [token] of text.matchAll(tokens)) {
    if (token === "{" || token === "<") depth++;
    else if (token === "}" || token === ">") depth--;
    else if (depth === 0 && /^[A-Za-z_]/.test(token)) found.add(token);
  }
  return found;
}

/** @throws SettingsError with file, line and reason, before anything has started */
export async function loadOperators(
  files: readonly string[],
  settings: Settings,
): Promise<Operators> {
  const sources: Source[] = files.map((file) => {
    try {
      return { file, text: readFileSync(file, "utf8") };
    } catch (error) {
      throw new SettingsError(`${file}: ${sentenceOf(error)}`);
    }
  });
  return parseOperators(sources, settings);
}

export async function parseOperators(
  sources: readonly Source[],
  settings: Settings,
): Promise<Operators> {
  if (sources.length === 0) return { tuning: undefined, extensions: [] };
  const named = new Set(sources.flatMap(({ text }) => [...topFields(text)]));
  const doors: PackageDoor[] = [];
  for (const [name, load] of Object.entries(PACKAGES)) {
    if (named.has(name)) doors.push((await load()).door);
  }
  const { raw, refuse } = parseSources(
    sources,
    doors.map(({ schema }) => schema),
  );
  const extensions = doors.map(({ schema, open }) => open(raw[schema.field], settings, refuse));
  const extra = extensions.flatMap(({ teams }) => [...teams]);
  const tuning = build(raw, settings.params.teams, refuse, extra);
  return { tuning, extensions, archive: tuning.archive ?? undefined };
}
