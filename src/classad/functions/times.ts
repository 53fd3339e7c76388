import { DateTime, FixedOffsetZone } from "luxon";
import { Ad } from "../ad.js";
import { printRelTime } from "../print.js";
import { AbsTime, Failure, RelTime, ScopedAd, toInteger, typeOf, type Value } from "../values.js";
import type { BuiltinFunction } from "./index.js";
import { checkStringSize } from "./strings.js";
import { toReal, unaryFunction } from "./types.js";

const currentTimeFunction = (): BuiltinFunction => ({
  min: 0,
  max: 0,
  strict: true,
  run: (_, { now }) => (now === null ? new Failure("no current time") : BigInt(Math.floor(now))),
});

/** The date and time in the value's own time zone; in UTC for a number of seconds. */
function toDateTime(value: Value): DateTime | Failure {
  const seconds = toReal(value);
  if (seconds === null || typeof value === "string") {
    return new Failure(`expected a time, found ${typeOf(value)}`);
  }
  const offset = value instanceof AbsTime ? value.offset : 0;
  const dateTime = DateTime.fromSeconds(seconds, { zone: FixedOffsetZone.instance(offset / 60) });
  return dateTime.isValid ? dateTime : new Failure("time is out of range");
}

const dateField = (get: (dateTime: DateTime) => number): BuiltinFunction =>
  unaryFunction((value) => {
    const dateTime = toDateTime(value);
    return dateTime instanceof Failure ? dateTime : BigInt(get(dateTime));
  });

/** Conversion letters of strftime with the matching formats of luxon. */
const STRFTIME_FORMATS: Record<string, string> = {
  a: "ccc",
  A: "cccc",
  b: "LLL",
  B: "LLLL",
  c: "ccc LLL d HH:mm:ss yyyy",
  d: "dd",
  D: "LL/dd/yy",
  e: "d",
  F: "yyyy-LL-dd",
  H: "HH",
  I: "hh",
  j: "ooo",
  m: "LL",
  M: "mm",
  p: "a",
  R: "HH:mm",
  S: "ss",
  T: "HH:mm:ss",
  u: "c",
  V: "WW",
  x: "LL/dd/yy",
  X: "HH:mm:ss",
  y: "yy",
  Y: "yyyy",
  z: "ZZZ",
  Z: "'UTC'ZZ",
};

function strftime(dateTime: DateTime, format: string): string | Failure {
  let out = "";
  for (let i = 0; i < format.length; i++) {
    if (format[i] !== "%") {
      out += format[i];
      continue;
    }
    const letter = format[++i] ?? "%";
    if (letter === "%") out += "%";
    else if (letter === "n") out += "\n";
    else if (letter === "s") out += String(Math.floor(dateTime.toSeconds()));
    else if (STRFTIME_FORMATS[letter] !== undefined)
      out += dateTime.toFormat(STRFTIME_FORMATS[letter], { locale: "en-US" });
    else return new Failure(`%${letter} is not supported in a time format`);
  }
  return out;
}

const inUnits = (seconds: number): BuiltinFunction =>
  unaryFunction((value) => {
    if (!(value instanceof RelTime))
      return new Failure(`expected a relative time, found ${typeOf(value)}`);
    return value.seconds / seconds;
  });

const relTimeField =
  (get: (seconds: number) => number): BuiltinFunction["run"] =>
  ([value]) =>
    toInteger(get((value as RelTime).seconds));

/**
 * A function such as `getHours`: a field of a date, or of a relative time beside its larger units.
 */
const dateOrRelTimeField = (
  ofDate: (dateTime: DateTime) => number,
  ofRelTime: (seconds: number) => number,
): BuiltinFunction => {
  const dateFunction = dateField(ofDate);
  return {
    ...dateFunction,
    run: (args, evaluation) =>
      args[0] instanceof RelTime
        ? relTimeField(ofRelTime)(args, evaluation)
        : dateFunction.run(args, evaluation),
  };
};

export const times: Record<string, BuiltinFunction> = {
  time: currentTimeFunction(),
  currentTime: currentTimeFunction(),
  /**
   * Offset of the local time zone in seconds east of UTC; always 0, because evaluation uses UTC.
   */
  timeZoneOffset: { min: 0, max: 0, strict: true, run: () => 0n },
  formatTime: {
    min: 0,
    max: 2,
    strict: true,
    run: ([value, format = "%c"], evaluation) => {
      if (value === undefined && evaluation.now === null) return new Failure("no current time");
      const dateTime = toDateTime(value ?? evaluation.now!);
      if (dateTime instanceof Failure) return dateTime;
      if (typeof format !== "string")
        return new Failure("the format of formatTime must be a string");
      evaluation.chargeSteps(4 * format.length);
      const text = strftime(dateTime, format);
      return text instanceof Failure ? text : checkStringSize(text, evaluation);
    },
  },
  /** Formats seconds as `days+hh:mm:ss`. */
  interval: unaryFunction((value) => {
    const seconds = toReal(value);
    if (seconds === null || !Number.isFinite(seconds))
      return new Failure("interval needs a number of seconds");
    return printRelTime(new RelTime(Math.trunc(seconds)));
  }),
  splitTime: unaryFunction((value) => {
    if (value instanceof RelTime) {
      const all = Math.abs(value.seconds);
      return new ScopedAd(
        new Ad()
          .put("Type", "RelativeTime")
          .put("Days", BigInt(Math.floor(all / 86_400)))
          .put("Hours", BigInt(Math.floor((all % 86_400) / 3600)))
          .put("Minutes", BigInt(Math.floor((all % 3600) / 60)))
          .put("Seconds", BigInt(Math.floor(all % 60))),
        null,
      );
    }
    const dateTime = toDateTime(value);
    if (dateTime instanceof Failure) return dateTime;
    return new ScopedAd(
      new Ad()
        .put("Type", "AbsoluteTime")
        .put("Year", BigInt(dateTime.year))
        .put("Month", BigInt(dateTime.month))
        .put("Day", BigInt(dateTime.day))
        .put("Hours", BigInt(dateTime.hour))
        .put("Minutes", BigInt(dateTime.minute))
        .put("Seconds", BigInt(dateTime.second))
        .put("Offset", BigInt(dateTime.offset * 60)),
      null,
    );
  }),
  /** The time since midnight, as a relative time. */
  dayTime: {
    min: 0,
    max: 1,
    strict: true,
    run: ([value], evaluation) => {
      if (value === undefined && evaluation.now === null) return new Failure("no current time");
      const dateTime = toDateTime(value ?? evaluation.now!);
      if (dateTime instanceof Failure) return dateTime;
      return new RelTime(dateTime.hour * 3600 + dateTime.minute * 60 + dateTime.second);
    },
  },
  getYear: dateField((dateTime) => dateTime.year),
  getMonth: dateField((dateTime) => dateTime.month),
  getDayOfYear: dateField((dateTime) => dateTime.ordinal),
  getDayOfMonth: dateField((dateTime) => dateTime.day),
  // Sunday is 0.
  getDayOfWeek: dateField((dateTime) => dateTime.weekday % 7),
  getDays: dateOrRelTimeField(
    (dateTime) => dateTime.day,
    (seconds) => Math.trunc(seconds / 86_400),
  ),
  getHours: dateOrRelTimeField(
    (dateTime) => dateTime.hour,
    (seconds) => Math.trunc((seconds % 86_400) / 3600),
  ),
  getMinutes: dateOrRelTimeField(
    (dateTime) => dateTime.minute,
    (seconds) => Math.trunc((seconds % 3600) / 60),
  ),
  getSeconds: dateOrRelTimeField(
    (dateTime) => dateTime.second,
    (seconds) => Math.trunc(seconds % 60),
  ),
  inDays: inUnits(86_400),
  inHours: inUnits(3600),
  inMinutes: inUnits(60),
  inSeconds: inUnits(1),
};
