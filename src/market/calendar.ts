import { CronExpressionParser } from "cron-parser";
import { DateTime, IANAZone } from "luxon";

/** Hours reserved for the platform's own teams, from the operators' settings. */
export interface Hours {
  name: string;
  /** Cron rule of five fields for their start, in `timeZone`. */
  starts: string;
  /**
   * Cron rule for their end: local time, so the window grows or shrinks by an hour at clock
   * changes.
   */
  ends?: string | null;
  /** Or a fixed length, unaffected by clock changes. */
  lastsMs?: number | null;
  timeZone: string;
  /** The zone of the platform that they apply to; null for all. */
  zone?: string | null;
  /** CPUs reserved for the own teams in each zone; null: nothing is sold. */
  keepCpus?: number | null;
}

export interface Window {
  name: string;
  /** Wall clock times, milliseconds since the epoch. */
  from: number;
  until: number;
  zone: string | null;
  keepCpus: number;
}

/** Limit on earlier firings examined: windows may last a week, and a rule may fire every minute. */
const MAX_PAST_FIRINGS = 64;
const WEEK_MS = 7 * 86_400_000;

function cronFirings(rule: string, timeZone: string, at: number) {
  return CronExpressionParser.parse(rule, { tz: timeZone, currentDate: new Date(at) });
}

/** The error in the rules and the text it concerns; null if the hours are valid. */
export function validateHours(hours: Hours): { reason: string; near: string } | null {
  const { timeZone } = hours;
  if (!IANAZone.isValidZone(timeZone)) {
    return { reason: `unknown time zone ${timeZone}`, near: timeZone };
  }
  const rules: [string, string][] = [["starts", hours.starts]];
  if (hours.ends != null) rules.push(["ends", hours.ends]);
  for (const [field, rule] of rules) {
    if (rule.trim().split(/\s+/).length !== 5) {
      return { reason: `${field}: "${rule}" must be a cron rule of five fields`, near: rule };
    }
    try {
      cronFirings(rule, timeZone, Date.UTC(2024, 0, 1)).next();
    } catch (error) {
      const why = (error as Error).message;
      return { reason: `${field}: "${rule}" is not a rule that fires: ${why}`, near: rule };
    }
  }
  if (hours.ends != null) {
    const from = cronFirings(hours.starts, timeZone, Date.UTC(2024, 0, 1))
      .next()
      .getTime();
    if (windowEnd(hours, from) - from > WEEK_MS) {
      return { reason: "ends: more than a week after it starts", near: hours.ends };
    }
  }
  return null;
}

function windowEnd(hours: Hours, from: number): number {
  if (hours.ends == null) return from + (hours.lastsMs ?? 0);
  return cronFirings(hours.ends, hours.timeZone, from).next().getTime();
}

/** All windows that overlap `[from, until)`, in order of their start. */
export function windowsIn(calendar: readonly Hours[], from: number, until: number): Window[] {
  const found: Window[] = [];
  for (const hours of calendar) {
    const addIfOverlapping = (start: number): void => {
      const end = windowEnd(hours, start);
      if (end <= from || start >= until) return;
      const { name, zone = null, keepCpus } = hours;
      found.push({ name, from: start, until: end, zone, keepCpus: keepCpus ?? Infinity });
    };
    const pastFirings = cronFirings(hours.starts, hours.timeZone, from + 1);
    for (let n = 0; n < MAX_PAST_FIRINGS; n++) {
      const start = pastFirings.prev().getTime();
      if (from - start > WEEK_MS) break;
      addIfOverlapping(start);
    }
    const nextFirings = cronFirings(hours.starts, hours.timeZone, from);
    for (;;) {
      const start = nextFirings.next().getTime();
      if (start >= until) break;
      addIfOverlapping(start);
    }
  }
  return found.sort((a, b) => a.from - b.from || (a.name < b.name ? -1 : 1));
}

/** Caches windows: they are requested every second, and computed once a minute. */
export class Calendar {
  #cachedFrom = Number.NaN;
  #cachedUntil = Number.NaN;
  #cachedWindows: Window[] = [];

  constructor(readonly hours: readonly Hours[]) {}

  windows(from: number, until: number): Window[] {
    if (this.hours.length === 0) return [];
    if (!(from >= this.#cachedFrom && until <= this.#cachedUntil)) {
      this.#cachedFrom = from;
      this.#cachedUntil = until + 60_000;
      this.#cachedWindows = windowsIn(this.hours, from, this.#cachedUntil);
    }
    return this.#cachedWindows.filter((one) => one.until > from && one.from < until);
  }
}

/** The hour of the day, 0 to 23, in a time zone. */
export const hourOf = (at: number, timeZone: string): number =>
  DateTime.fromMillis(at, { zone: timeZone }).hour;

/** The hours of the day that a time interval touches. */
export function hoursOf(from: number, until: number, timeZone: string): number[] {
  const hours = new Set<number>([hourOf(until, timeZone)]);
  for (let at = from; at < until && hours.size < 24; at += 3_600_000)
    hours.add(hourOf(at, timeZone));
  return [...hours].sort((a, b) => a - b);
}
