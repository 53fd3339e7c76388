import { readdirSync, readFileSync, statSync } from "node:fs";
import { isAbsolute, join } from "node:path";

/** What reading a submit file may use of the machine it is handed in on. Tests have their own. */
export interface FileWorld {
  /** @throws Error when there is no such file */
  read(path: string): Uint8Array;
  /** Paths that match a pattern with `*`, `?`, `[...]` in any of its steps, in order of name. */
  match(pattern: string, kind: "files" | "dirs" | "any"): string[];
  env(name: string): string | undefined;
  /** A path of a file, whole. */
  resolve(path: string): string;
  /** From 0 to below 1. */
  random(): number;
  /** Milliseconds since the epoch. */
  now(): number;
}

const SPECIAL = /[*?[]/;

/** One step of a pattern as a regular expression; `*` does not match a hidden file. */
function stepPattern(step: string): RegExp {
  let source = step.startsWith(".") ? "" : "(?!\\.)";
  for (let i = 0; i < step.length; i++) {
    const c = step[i]!;
    const end = c === "[" ? step.indexOf("]", i + 2) : -1;
    if (c === "*") source += "[^/]*";
    else if (c === "?") source += "[^/]";
    else if (end > 0) {
      const inside = step
        .slice(i + 1, end)
        .replace(/^!/, "^")
        .replace(/[\\\]]/g, "\\$&");
      source += `[${inside}]`;
      i = end;
    } else source += c.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
  }
  return new RegExp(`^${source}$`, "u");
}

/** Finds paths step by step, so that only folders that can match are read. */
export function matchPaths(
  pattern: string,
  kind: "files" | "dirs" | "any",
  list: (folder: string) => { name: string; folder: boolean }[],
): string[] {
  const steps = pattern.split("/").filter((step, i) => step !== "" || i === 0);
  let found: { path: string; folder: boolean }[] = [{ path: "", folder: true }];
  for (const [i, step] of steps.entries()) {
    const next: typeof found = [];
    for (const { path, folder } of found) {
      if (!folder) continue;
      const under = (name: string): string => (i === 0 ? name : `${path}/${name}`);
      if (step === "" || step === "." || step === "..") {
        next.push({ path: under(step), folder: true });
        continue;
      }
      const here = list(i === 0 ? "." : path === "" ? "/" : path);
      const test = SPECIAL.test(step) ? stepPattern(step) : null;
      for (const { name, folder: isFolder } of here) {
        const hit = test === null ? name === step : test.test(name);
        if (hit) next.push({ path: under(name), folder: isFolder });
      }
    }
    found = next;
  }
  return found
    .filter(({ folder }) => kind === "any" || folder === (kind === "dirs"))
    .map(({ path }) => path)
    .sort();
}

/** The real machine. Names are relative to the folder that the program runs in, as in HTCondor. */
export function realWorld(base = process.cwd()): FileWorld {
  const full = (path: string): string => (isAbsolute(path) ? path : join(base, path));
  return {
    read: (path) => readFileSync(full(path)),
    match: (pattern, kind) =>
      matchPaths(pattern, kind, (folder) => {
        try {
          return readdirSync(full(folder), { withFileTypes: true }).map((entry) => ({
            name: entry.name,
            folder: entry.isSymbolicLink()
              ? (statSync(join(full(folder), entry.name), {
                  throwIfNoEntry: false,
                })?.isDirectory() ?? false)
              : entry.isDirectory(),
          }));
        } catch {
          return [];
        }
      }),
    env: (name) => process.env[name],
    resolve: full,
    random: Math.random,
    now: Date.now,
  };
}
