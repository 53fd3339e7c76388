import { keys } from "./keys.js";
import type { Mirror } from "./mirror.js";

/**
 * Version of the store's record format. 1: headers hold all jobs ever submitted, and the store has no
 * schema row. 2: finished jobs move into the archive (`src/archive`).
 *
 * A program that knows only schema 1 would answer 404 for an archived job, or accept it a second
 * time. So schema 2 is introduced only while every controller of the platform is present and knows
 * it. The leader claim and the machine types have other keys from then on, and a record without a
 * lease stays at the former key of the leader claim. An older program started later cannot lead and
 * learns no machine types, so it accepts no jobs and is never healthy. 3: the configuration changes
 * at run time (`src/configuration`). A program that knows only schema 2 would use its configuration
 * files, so it exits at once; schema 3 is introduced only while every controller is present and
 * knows it.
 */
export const KNOWN_SCHEMA = 3;
export const ARCHIVE_SCHEMA = 2;
export const CONFIGURATION_SCHEMA = 3;

export interface Schema {
  version: number;
  /** Version of the row, 0 while there is none. A write conditional on it is valid for this schema. */
  rowVersion: number;
}

/** The schema as the mirror has it; version NaN for an unreadable row. */
export function schemaOf(mirror: Mirror): Schema {
  const row = mirror.rows.get(keys.schema);
  if (row === undefined) return { version: 1, rowVersion: 0 };
  const version = (row.value as { version?: unknown } | null)?.version;
  return { version: typeof version === "number" ? version : Number.NaN, rowVersion: row.version };
}

export const leaderKey = (mirror: Mirror): string =>
  schemaOf(mirror).version === 1 ? keys.leader : keys.leader2;

export const typesKey = (mirror: Mirror): string =>
  schemaOf(mirror).version === 1 ? keys.types : keys.types2;

/** Why this program cannot read the store, or null. */
export function schemaIncompatibility({ version }: Schema): string | null {
  if (Number.isInteger(version) && version >= 1 && version <= KNOWN_SCHEMA) return null;
  const shown = Number.isNaN(version) ? "that cannot be read" : String(version);
  return `the state service holds records of schema ${shown}; this program knows up to ${KNOWN_SCHEMA}`;
}
