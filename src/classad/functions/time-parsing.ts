import { AbsTime, RelTime } from "../values.js";

/** Parses `2026-12-01T10:00:00+01:00`; without a zone it is UTC. Null for any other text. */
export function parseAbsTime(text: string): AbsTime | null {
  const match =
    /^\s*(\d{4})-?(\d\d)-?(\d\d)(?:[T ](\d\d):?(\d\d)(?::?(\d\d(?:\.\d+)?))?)?\s*(Z|[+-]\d\d:?\d\d)?\s*$/i.exec(
      text,
    );
  if (match === null) return null;
  const [, year, month, day, hour = "0", minute = "0", second = "0", zone = "Z"] = match;
  const utcMs = Date.UTC(
    Number(year),
    Number(month) - 1,
    Number(day),
    Number(hour),
    Number(minute),
  );
  const date = new Date(utcMs);
  // Date.UTC turns 31 February into a day of March.
  if (date.getUTCMonth() !== Number(month) - 1 || date.getUTCDate() !== Number(day)) return null;
  const [, sign, hours, minutes] = /^([+-])(\d\d):?(\d\d)$/.exec(zone) ?? [];
  const offset =
    sign === undefined
      ? 0
      : (sign === "-" ? -1 : 1) * (Number(hours) * 3600 + Number(minutes) * 60);
  return new AbsTime(utcMs / 1000 + Number(second) - offset, offset);
}

/**
 * Parses `1+02:03:04.5`, `02:03:04`, `02:03`, or units from days to seconds, as in `1d 2h 3m 12s`.
 * Null otherwise.
 */
export function parseRelTime(text: string): RelTime | null {
  const clock = /^\s*(-?)(?:(\d+)\+)?(\d+):(\d\d)(?::(\d\d(?:\.\d+)?))?\s*$/.exec(text);
  if (clock !== null) {
    const [, sign, days = "0", hours, minutes, seconds = "0"] = clock;
    const all =
      Number(days) * 86_400 + Number(hours) * 3600 + Number(minutes) * 60 + Number(seconds);
    return new RelTime(sign === "-" ? -all : all);
  }
  const parts =
    /^\s*(-?)(?:(\d+)d)?\s*(?:(\d+)h)?\s*(?:(\d+)m)?\s*(?:(\d+(?:\.\d+)?)s?)?\s*$/i.exec(text);
  if (parts === null || parts.slice(2).every((part) => part === undefined)) return null;
  const [, sign, days = "0", hours = "0", minutes = "0", seconds = "0"] = parts;
  const all = Number(days) * 86_400 + Number(hours) * 3600 + Number(minutes) * 60 + Number(seconds);
  return new RelTime(sign === "-" ? -all : all);
}
