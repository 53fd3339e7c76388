import { readdirSync, readFileSync, statSync } from "node:fs";
import { isAbsolute, join } from "node:path";

/**
 * Access to files, variables, clock and randomness of the submitting machine; replaced in tests.
 */
export interface HostEnvironment {
  /** @throws Error when there is no such file */
  read(path: string): Uint8Array;
  /** Paths, sorted, that match a pattern with `*`, `?`, `[...]` in any of its segments. */
  match(pattern: string, kind: "files" | "dirs" | "any"): string[];
  env(name: string): string | undefined;
  /** The absolute path of a file. */
  resolve(path: string): string;
  /** From 0 to below 1. */
  random(): number;
  /** Milliseconds since the epoch. */
  now(): number;
}

const WILDCARD = /[*?[]/;

/** One path segment of a pattern as a regular expression; `*` does not match hidden files. */
function segmentPattern(segment: string): RegExp {
  let source = segment.startsWith(".") ? "" : "(?!\\.)";
  for (let i = 0; i < segment.length; i++) {
    const c = segment[i]!;
    const end = c === "[" ? segment.indexOf("]", i + 2) : -1;
    if (c === "*") source += "[^/]*";
    else if (c === "?") source += "[^/]";
    else if (end > 0) {
      const inside = segment
        .slice(i + 1, end)
        .replace(/^!/, "^")
        .replace(/[\\\]]/g, "\\$&");
      source += `[${inside}]`;
      i = end;
    } else source += c.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
  }
  return new RegExp(`^${source}$`, "u");
}

/** Finds matching paths segment by segment, so that only directories that can match are read. */
export function matchPaths(
  pattern: string,
  kind: "files" | "dirs" | "any",
  list: (folder: string) => { name: string; folder: boolean }[],
): string[] {
  const segments = pattern.split("/").filter((segment, i) => segment !== "" || i === 0);
  let found: { path: string; folder: boolean }[] = [{ path: "", folder: true }];
  for (const [i, segment] of segments.entries()) {
    const next: typeof found = [];
    for (const { path, folder } of found) {
      if (!folder) continue;
      const under = (name: string): string => (i === 0 ? name : `${path}/${name}`);
      if (segment === "" || segment === "." || segment === "..") {
        next.push({ path: under(segment), folder: true });
        continue;
      }
      const here = list(i === 0 ? "." : path === "" ? "/" : path);
      const test = WILDCARD.test(segment) ? segmentPattern(segment) : null;
      for (const { name, folder: isFolder } of here) {
        const hit = test === null ? name === segment : test.test(name);
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

/** The local machine. Paths are relative to the working directory, as in HTCondor. */
export function localHost(base = process.cwd()): HostEnvironment {
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
