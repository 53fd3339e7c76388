import { z } from "zod";
import { keys } from "./keys.js";
import type { Mirror } from "./mirror.js";

const restoreRecord = z.object({
  state: z.enum(["filling", "settling", "settled"]),
  /** Revision of the image, and the wall clock time when it was taken. */
  image: z.object({ revision: z.number(), takenAt: z.number() }),
  /** Added to the versions of this service so that tokens exceed all that workers have seen. */
  tokens: z.number().int().nonnegative(),
});

export type RestoreRecord = z.infer<typeof restoreRecord>;

export interface RestoreState {
  /**
   * `none`: nothing was ever restored here. `filling`: records are still being written, and no
   * controller may act on them. `settling`: tasks may be running that are not in the records, from
   * the time between the image and the loss; nothing is placed. `settled`: the records include all
   * running tasks.
   */
  state: "none" | "filling" | "settling" | "settled";
  tokens: number;
  version: number;
}

export const parseRestoreRecord = (value: unknown): RestoreRecord | null =>
  restoreRecord.safeParse(value).data ?? null;

/** Cache of parsed records: the restore state is read for every report. */
const parsedRecords = new WeakMap<object, RestoreRecord | null>();

function parseCached(value: unknown): RestoreRecord | null {
  if (typeof value !== "object" || value === null) return null;
  let parsed = parsedRecords.get(value);
  if (parsed === undefined) {
    parsed = parseRestoreRecord(value);
    parsedRecords.set(value, parsed);
  }
  return parsed;
}

/** Whether the records were restored from an image, as far as this controller's mirror shows. */
export function restoreStateOf(mirror: Mirror): RestoreState {
  const row = mirror.rows.get(keys.restored);
  if (row === undefined) return { state: "none", tokens: 0, version: 0 };
  const parsed = parseCached(row.value);
  // An unreadable record counts as `filling`: no controller acts until an operator has checked it.
  if (parsed === null) return { state: "filling", tokens: 0, version: row.version };
  return { state: parsed.state, tokens: parsed.tokens, version: row.version };
}

/**
 * The fencing token of a claim: the version of its key. In a service restored from an image the
 * versions start low again, while workers have seen those of the former service and would drop
 * everything with a lower token. There a number that no former version had reached is added.
 */
export const fencingTokenOf = (mirror: Mirror, claimVersion: number): number =>
  restoreStateOf(mirror).tokens + claimVersion;
