import { CronExpressionParser } from "cron-parser";
import { IANAZone } from "luxon";
import { Expression, isNumber } from "../../classad/index.js";
import type { Proc, Value } from "../file/read.js";
import { SubmitError } from "../file/text.js";
import { parseInteger } from "./units.js";

/** When a job may start. */
export interface Timing {
  /** Earliest start, seconds since the epoch; null: at once. */
  deferredUntilS: number | null;
  /** How long after that it may still start, seconds; null: without limit. */
  windowS: number | null;
}

const CRON_FIELDS = ["minute", "hour", "day_of_month", "month", "day_of_week"] as const;

/**
 * Reads `deferral_time`, or the next time that `cron_*` gives in the time zone. HTCondor's fields
 * are those of cron; a field that is not set is `*`.
 */
export function parseTiming(proc: Proc, zone: string, now: number): Timing {
  const cron = CRON_FIELDS.map((field) => proc.value(`cron_${field}`));
  const deferral = proc.value("deferral_time");
  const first = cron.find((value) => value !== null);
  if (deferral !== null && first != null) {
    throw new SubmitError(
      "deferral_time together with cron_*",
      deferral.place,
      "write one of them",
    );
  }
  const window = proc.value(first == null ? "deferral_window" : "cron_window");
  const windowS = window === null ? null : parseInteger(window, "window", 0);
  if (first != null)
    return { deferredUntilS: nextCronTimeS(cron, first, zone, now), windowS: windowS ?? 0 };
  if (deferral === null) {
    if (window !== null) throw new SubmitError("a window without a moment", window.place);
    return { deferredUntilS: null, windowS: null };
  }
  return { deferredUntilS: deferralTimeS(deferral, now), windowS: windowS ?? 0 };
}

function nextCronTimeS(
  fields: readonly (Value | null)[],
  first: Value,
  zone: string,
  now: number,
): number {
  if (!IANAZone.isValidZone(zone)) {
    throw new SubmitError(`no time zone ${zone}`, first.place, "such as Europe/Athens");
  }
  const text = fields.map((field) => field?.text.replace(/\s/g, "") ?? "*").join(" ");
  try {
    const next = CronExpressionParser.parse(text, { currentDate: new Date(now), tz: zone }).next();
    return Math.floor(next.getTime() / 1000);
  } catch (error) {
    throw new SubmitError(`cron '${text}': ${(error as Error).message}`, first.place);
  }
}

/** Evaluates `deferral_time` now: a constant or an expression such as `(time() + 3600)`. */
function deferralTimeS({ text, place }: Value, now: number): number {
  const seconds = Math.floor(now / 1000);
  const { value } = Expression.parse(text).evaluate({}, { now: seconds });
  if (!isNumber(value)) {
    throw new SubmitError(
      `deferral_time: '${text}' is no moment`,
      place,
      "seconds since the epoch",
    );
  }
  return Math.floor(Number(value));
}
