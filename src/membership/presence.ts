import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { KNOWN_SCHEMA } from "../state/schema.js";

/** What a controller says of itself while its lease holds (`w/n/{name}`). */
export interface Presence {
  /** Distinguishes this run of the process from an earlier one under the same name. */
  run: string;
  /** It is there, but others should own the parts. */
  shy: boolean;
  /**
   * The lease that its claims are attached to: whoever has a claim may hand it over in one write,
   * attached to this. Null from a version before that.
   */
  lease: number | string | null;
  /** Optional packages that it has loaded. */
  speaks: readonly string[];
}

/**
 * What a controller reads beyond what the first version with this record did. 1: of a chunk in
 * several pages the newest record counts, and records of one write are one state in pieces.
 */
export const RECORD_FORMAT = 1;

/** Whether all controllers that are there read records as this one does. One that is not is nobody's. */
export function allReadCurrentFormat(mirror: Mirror): boolean {
  for (const [key, { value }] of mirror.rows) {
    if (!key.startsWith(keys.node(""))) continue;
    const { reads } = (value ?? {}) as { reads?: unknown };
    if (typeof reads !== "number" || reads < RECORD_FORMAT) return false;
  }
  return true;
}

export function parsePresence(value: unknown): Presence | null {
  if (typeof value !== "object" || value === null) return null;
  const { run, shy, lease, speaks } = value as Record<string, unknown>;
  const id = typeof lease === "number" || typeof lease === "string" ? lease : null;
  const packages = Array.isArray(speaks) ? speaks.filter((one) => typeof one === "string") : [];
  return { run: String(run), shy: shy === true, lease: id, speaks: packages };
}

export const presenceRecord = ({ run, shy, lease, speaks }: Presence): object => ({
  run,
  shy,
  schema: KNOWN_SCHEMA,
  reads: RECORD_FORMAT,
  ...(lease === null ? {} : { lease }),
  ...(speaks.length === 0 ? {} : { speaks }),
});

/**
 * Whether what the others see of a controller is what it said last. An earlier word without an answer may be
 * applied after a later one: of this run, or of the one before, and that one goes with its lease.
 * Then nobody gave it a part any more.
 */
export function matchesPublished(value: unknown, { run, lease, shy }: Presence): boolean {
  const seen = parsePresence(value);
  return seen !== null && seen.run === run && seen.lease === lease && seen.shy === shy;
}
