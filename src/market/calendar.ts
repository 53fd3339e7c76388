import { CronExpressionParser } from "cron-parser";
import { DateTime, IANAZone } from "luxon";

/** Hours that belong to the platform's own teams, as the operator writes them. */
export interface Hours {
  name: string;
  /** When they begin: five fields of cron, in the time of `timeZone`. */
  starts: string;
  /** When they end, in the same way: so both clock changes come out as a clock on the wall says. */
  ends?: string | null;
  /** Or how long they last, whatever clocks do. */
  lastsMs?: number | null;
  timeZone: string;
  /** Only in this zone of the platform; null for all. */
  zone?: string | null;
  /** CPUs that are kept for them, in each zone; null: nothing is sold. */
  keepCpus?: number | null;
}

export interface Window {
  name: string;
  /** Times of day, milliseconds. */
  from: number;
  until: number;
  zone: string | null;
  keepCpus: number;
}

/** Windows may last a week; of a rule that fires every minute no more are looked at. */
const MOST_BACK = 64;
const WEEK_MS = 7 * 86_400_000;

function firings(rule: string, timeZone: string, at: number) {
  return CronExpressionParser.parse(rule, { tz: timeZone, currentDate: new Date(at) });
}

/** What is wrong with a rule, and where in its text; null when it fires. */
export function checkHours(hours: Hours): { reason: string; near: string } | null {
  const { timeZone } = hours;
  if (!IANAZone.isValidZone(timeZone)) {
    return { reason: `no time zone is called ${timeZone}`, near: timeZone };
  }
  const rules: [string, string][] = [["starts", hours.starts]];
  if (hours.ends != null) rules.push(["ends", hours.ends]);
  for (const [field, rule] of rules) {
    if (rule.trim().split(/\s+/).length !== 5) {
      return { reason: `${field}: "${rule}" does not have the five fields of cron`, near: rule };
    }
    try {
      firings(rule, timeZone, Date.UTC(2024, 0, 1)).next();
    } catch (error) {
      const why = (error as Error).message;
      return { reason: `${field}: "${rule}" is not a rule that fires: ${why}`, near: rule };
    }
  }
  if (hours.ends != null) {
    const from = firings(hours.starts, timeZone, Date.UTC(2024, 0, 1))
      .next()
      .getTime();
    if (endOf(hours, from) - from > WEEK_MS) {
      return { reason: "ends: more than a week after it starts", near: hours.ends };
    }
  }
  return null;
}

function endOf(hours: Hours, from: number): number {
  if (hours.ends == null) return from + (hours.lastsMs ?? 0);
  return firings(hours.ends, hours.timeZone, from).next().getTime();
}

/** All windows that have some time in common with `[from, until)`, in order of their beginning. */
export function windowsIn(calendar: readonly Hours[], from: number, until: number): Window[] {
  const found: Window[] = [];
  for (const hours of calendar) {
    const add = (start: number): void => {
      const end = endOf(hours, start);
      if (end <= from || start >= until) return;
      const { name, zone = null, keepCpus } = hours;
      found.push({ name, from: start, until: end, zone, keepCpus: keepCpus ?? Infinity });
    };
    const back = firings(hours.starts, hours.timeZone, from + 1);
    for (let n = 0; n < MOST_BACK; n++) {
      const start = back.prev().getTime();
      if (from - start > WEEK_MS) break;
      add(start);
    }
    const ahead = firings(hours.starts, hours.timeZone, from);
    for (;;) {
      const start = ahead.next().getTime();
      if (start >= until) break;
      add(start);
    }
  }
  return found.sort((a, b) => a.from - b.from || (a.name < b.name ? -1 : 1));
}

/** Windows of a few minutes ahead are asked for every second: found once a minute. */
export class Calendar {
  #from = Number.NaN;
  #until = Number.NaN;
  #found: Window[] = [];

  constructor(readonly hours: readonly Hours[]) {}

  windows(from: number, until: number): Window[] {
    if (this.hours.length === 0) return [];
    if (!(from >= this.#from && until <= this.#until)) {
      this.#from = from;
      this.#until = until + 60_000;
      this.#found = windowsIn(this.hours, from, this.#until);
    }
    return this.#found.filter((one) => one.until > from && one.from < until);
  }
}

/** The hour of the day, 0 to 23, on a clock on the wall. */
export const hourOf = (at: number, timeZone: string): number =>
  DateTime.fromMillis(at, { zone: timeZone }).hour;

/** Hours of the day that a stretch of time touches. */
export function hoursOf(from: number, until: number, timeZone: string): number[] {
  const hours = new Set<number>([hourOf(until, timeZone)]);
  for (let at = from; at < until && hours.size < 24; at += 3_600_000)
    hours.add(hourOf(at, timeZone));
  return [...hours].sort((a, b) => a - b);
}
