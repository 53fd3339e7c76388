import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { KNOWN_SCHEMA } from "../state/schema.js";

/** What a controller publishes about itself while its lease holds (`w/n/{name}`). */
export interface Presence {
  /** Distinguishes this run of the process from an earlier one under the same name. */
  run: string;
  /** It is running, but accepts no parts: others should own them. */
  shy: boolean;
  /**
   * The lease that its claims are attached to: the owner of a claim may hand it over in one write
   * that attaches the claim to this lease. Null from a version that does not publish it.
   */
  lease: number | string | null;
  /** Names of the optional packages that it has loaded. */
  speaks: readonly string[];
}

/**
 * Version of the record format that this controller reads, counted from the first version that
 * wrote a presence record. 1: if a chunk has several pages, the newest record counts, and the
 * records of one write together form one state.
 */
export const RECORD_FORMAT = 1;

/** Whether all controllers that are present read the current format. One that is absent owns nothing. */
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
  const leaseId = typeof lease === "number" || typeof lease === "string" ? lease : null;
  const loaded = Array.isArray(speaks) ? speaks.filter((one) => typeof one === "string") : [];
  return { run: String(run), shy: shy === true, lease: leaseId, speaks: loaded };
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
 * Whether the presence record that others see is the one written last. An earlier write that was not
 * answered may be applied after a later one. It can be of this run, or of the previous run, whose
 * record disappears with its lease; in both cases no other controller would give this one a part.
 */
export function matchesPublished(value: unknown, { run, lease, shy }: Presence): boolean {
  const seen = parsePresence(value);
  return seen !== null && seen.run === run && seen.lease === lease && seen.shy === shy;
}
