import { readFileSync } from "node:fs";
import type { ArchiveOptions } from "../controller/index.js";
import { describeError } from "../errors.js";
import type { Extension } from "../extension/index.js";
import type { PackageDefinition } from "./package-definition.js";
import { type Settings, SettingsError } from "./settings.js";
import { buildTuning, parseSources, type Source, type Tuning } from "./tuning.js";

/**
 * Loaders of the optional packages by the name of their message. A package is loaded only if a file
 * contains its message, and is not in the bundle with which a controller starts.
 */
const PACKAGE_LOADERS: Record<string, () => Promise<{ door: PackageDefinition }>> = {
  market: () => import("../market/index.js"),
  submit: () => import("../submit/index.js"),
  suspicion: () => import("../suspicion/index.js"),
  diagnose: () => import("../diagnose/index.js"),
};

/** The contents of the operators' settings files. */
export interface Operators {
  tuning: Tuning | undefined;
  extensions: Extension[];
  /** When finished jobs are archived; absent if no file enables the archive. */
  archive?: ArchiveOptions;
}

/**
 * Enables a package with its defaults, like an empty message in a file, unless a file enables it.
 */
export async function withPackage(
  name: "suspicion",
  operators: Operators,
  settings: Settings,
): Promise<void> {
  if (operators.extensions.some((extension) => extension.name === name)) return;
  const { door } = await PACKAGE_LOADERS[name]!();
  const refuse = (reason: string): never => {
    throw new SettingsError(reason);
  };
  operators.extensions.push(door.createExtension({}, settings, refuse));
}

/** Names of the top-level fields of a file: skips comments, strings and anything in braces. */
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
      throw new SettingsError(`${file}: ${describeError(error)}`);
    }
  });
  return parseOperators(sources, settings);
}

export async function parseOperators(
  sources: readonly Source[],
  settings: Settings,
): Promise<Operators> {
  if (sources.length === 0) return { tuning: undefined, extensions: [] };
  const fieldsInFiles = new Set(sources.flatMap(({ text }) => [...topFields(text)]));
  const definitions: PackageDefinition[] = [];
  for (const [name, load] of Object.entries(PACKAGE_LOADERS)) {
    if (fieldsInFiles.has(name)) definitions.push((await load()).door);
  }
  const { raw, refuse } = parseSources(
    sources,
    definitions.map(({ schema }) => schema),
  );
  const extensions = definitions.map(({ schema, createExtension: open }) =>
    open(raw[schema.field], settings, refuse),
  );
  const extra = extensions.flatMap(({ teams }) => [...teams]);
  const tuning = buildTuning(raw, settings.params.teams, refuse, extra);
  return { tuning, extensions, archive: tuning.archive ?? undefined };
}
