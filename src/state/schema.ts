import { keys } from "./keys.js";
import type { Mirror } from "./mirror.js";

/**
 * How the records of the store are to be read. 1: headers hold all jobs that ever were, and there
 * is no row that says so. 2: jobs that are over move into the archive (`src/archive`).
 *
 * A program that knows only the first would answer 404 for an archived job, or take it once more.
 * So the second begins only while every controller of the platform is there and knows it; and
 * leadership and machine types have other keys then, with something in the place of leadership that
 * never ends. An older program that is started later leads nothing and learns no machine types, so
 * it takes no jobs and is never healthy. 3: the configuration changes while serving
 * (`src/configuration`). A program that knows only the second would decide by its files, so it ends
 * at once; the third begins only while every controller is there and knows it.
 */
export const KNOWN_SCHEMA = 3;
export const ARCHIVE_SCHEMA = 2;
export const CONFIGURATION_SCHEMA = 3;

export interface Schema {
  version: number;
  /** Of the row; 0 while there is none. Whoever writes on condition of it writes by this schema. */
  stamp: number;
}

/** The schema as far as a controller has heard; NaN for a row that cannot be read. */
export function schemaOf(mirror: Mirror): Schema {
  const row = mirror.rows.get(keys.schema);
  if (row === undefined) return { version: 1, stamp: 0 };
  const version = (row.value as { version?: unknown } | null)?.version;
  return { version: typeof version === "number" ? version : Number.NaN, stamp: row.version };
}

export const leaderKey = (mirror: Mirror): string =>
  schemaOf(mirror).version === 1 ? keys.leader : keys.leader2;

export const typesKey = (mirror: Mirror): string =>
  schemaOf(mirror).version === 1 ? keys.types : keys.types2;

/** Why this program cannot go on with a store, or null. */
export function schemaIncompatibility({ version }: Schema): string | null {
  if (Number.isInteger(version) && version >= 1 && version <= KNOWN_SCHEMA) return null;
  const shown = Number.isNaN(version) ? "that cannot be read" : String(version);
  return `the state service holds records of schema ${shown}; this program knows up to ${KNOWN_SCHEMA}`;
}
