import { z } from "zod";
import { keys } from "./keys.js";
import type { Mirror } from "./mirror.js";

const record = z.object({
  state: z.enum(["filling", "settling", "settled"]),
  /** The revision of the image, and the time of day when it was taken. */
  image: z.object({ revision: z.number(), takenAt: z.number() }),
  /** What stamps of this service have to be raised by, to be above all that workers have seen. */
  tokens: z.number().int().nonnegative(),
});

export type RestoreRecord = z.infer<typeof record>;

export interface RestoreState {
  /**
   * `none`: nothing was ever restored here. `filling`: records are still being put here, and nobody
   * may act on them. `settling`: tasks may be running that the records do not tell of, from the time
   * between the image and the loss; nothing is placed. `settled`: the records tell of all that runs.
   */
  state: "none" | "filling" | "settling" | "settled";
  tokens: number;
  version: number;
}

export const parseRestoreRecord = (value: unknown): RestoreRecord | null =>
  record.safeParse(value).data ?? null;

/** What has been parsed: it is asked for with every report. */
const known = new WeakMap<object, RestoreRecord | null>();

function parsedOnce(value: unknown): RestoreRecord | null {
  if (typeof value !== "object" || value === null) return null;
  let parsed = known.get(value);
  if (parsed === undefined) {
    parsed = parseRestoreRecord(value);
    known.set(value, parsed);
  }
  return parsed;
}

/** Whether what is there was restored from an image, as far as a controller has heard. */
export function restoreStateOf(mirror: Mirror): RestoreState {
  const row = mirror.rows.get(keys.restored);
  if (row === undefined) return { state: "none", tokens: 0, version: 0 };
  const parsed = parsedOnce(row.value);
  // What cannot be read keeps everybody from acting, until somebody has looked at it.
  if (parsed === null) return { state: "filling", tokens: 0, version: row.version };
  return { state: parsed.state, tokens: parsed.tokens, version: row.version };
}

/**
 * The fencing token of a claim: its stamp. In a service that was filled from an image the stamps
 * start low again while workers have seen those of the former one, and would drop all that comes
 * with a lower one; so there they are raised by a number that no stamp before had reached.
 */
export const fencingTokenOf = (mirror: Mirror, stamp: number): number =>
  restoreStateOf(mirror).tokens + stamp;
