import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { coreRecordValidator } from "../../src/controller/record-kinds.js";
import type { Extension, JobMatcher } from "../../src/extension/index.js";
import { parseOperators } from "../../src/settings/operators.js";
import { type HostEnvironment, matchPaths } from "../../src/submit/index.js";
import type { MachineType } from "../../src/wire/cloud.js";
import { settingsFor } from "./platform-settings.js";

/** Tuesday, 1 December 2026, 17:00 UTC. */
export const NOW = Date.UTC(2026, 11, 1, 17);

/**
 * A file environment with the files of a directory, a fixed clock and two environment variables.
 */
export function corpusWorld(base: string): HostEnvironment {
  return {
    read: (path) => readFileSync(join(base, path)),
    match: (pattern, kind) =>
      matchPaths(pattern, kind, (folder) =>
        readdirSync(join(base, folder)).map((name) => ({
          name,
          folder: statSync(join(base, folder, name)).isDirectory(),
        })),
      ),
    env: (name) => (({ HOME_SITE: "athens", SECRET: "x" }) as Record<string, string>)[name],
    resolve: (path) => `/home/${path}`,
    random: () => 0.5,
    now: () => NOW,
  };
}

/** A file environment whose files are given as texts or bytes. */
export function textWorld(files: Record<string, string | Uint8Array>): HostEnvironment {
  return {
    ...corpusWorld("/"),
    read: (path) => {
      const found = files[path];
      if (found === undefined) throw Object.assign(new Error(path), { code: "ENOENT" });
      return typeof found === "string" ? new TextEncoder().encode(found) : found;
    },
    match: () => [],
  };
}

export const machineType = (
  name: string,
  cpus: number,
  memGb: number,
  gpus = 0,
  zones = ["north", "south"],
): MachineType => ({ name, cpus, memGb, gpus, price: 1, spotPrice: 0.3, bootS: 10, zones });

export async function loadExtension(text: string, zones = ["north", "south"]): Promise<Extension> {
  const settings = settingsFor(0, 1, [{ name: "red", cpus: 1, max: 1 }], zones);
  const { extensions } = await parseOperators([{ file: "submit", text }], settings);
  return extensions[0]!;
}

/** The package's job matcher, attached to a stub of the core. */
export async function createMatcher(
  text: string,
  types: ReadonlyMap<string, MachineType>,
  wall: () => number = () => NOW,
): Promise<JobMatcher> {
  const settings = settingsFor(0, 1, [{ name: "red", cpus: 1, max: 1 }], ["north", "south"]);
  const core = {
    settings,
    mirror: { rows: new Map(), on: () => undefined },
    clock: { wall, now: () => 0 },
    store: { limits: { valueBytes: 8192 }, writable: coreRecordValidator() },
    layout: { members: [] },
    types: () => types,
  };
  return (await loadExtension(text)).attach(core as never).matcher!;
}
