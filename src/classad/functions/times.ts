import { DateTime, FixedOffsetZone } from "luxon";
import { Ad } from "../ad.js";
import { printRelTime } from "../print.js";
import { AbsTime, Bound, Failure, RelTime, toInteger, typeOf, type Value } from "../values.js";
import type { Fn } from "./index.js";
import { made } from "./strings.js";
import { one, toReal } from "./types.js";

const clock = (): Fn => ({
  min: 0,
  max: 0,
  strict: true,
  run: (_, { now }) => (now === null ? new Failure("no clock") : BigInt(Math.floor(now))),
});

/** In its own zone; UTC for plain seconds. */
function moment(value: Value): DateTime | Failure {
  const seconds = toReal(value);
  if (seconds === null || typeof value === "string") {
    return new Failure(`a time is needed, not ${typeOf(value)}`);
  }
  const offset = value instanceof AbsTime ? value.offset : 0;
  const at = DateTime.fromSeconds(seconds, { zone: FixedOffsetZone.instance(offset / 60) });
  return at.isValid ? at : new Failure("no such time");
}

const field = (get: (at: DateTime) => number): Fn =>
  one((value) => {
    const at = moment(value);
    return at instanceof Failure ? at : BigInt(get(at));
  });

/** strftime's letters, by the library's. */
const LETTERS: Record<string, string> = {
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

function formatted(at: DateTime, format: string): string | Failure {
  let out = "";
  for (let i = 0; i < format.length; i++) {
    if (format[i] !== "%") {
      out += format[i];
      continue;
    }
    const letter = format[++i] ?? "%";
    if (letter === "%") out += "%";
    else if (letter === "n") out += "\n";
    else if (letter === "s") out += String(Math.floor(at.toSeconds()));
    else if (LETTERS[letter] !== undefined)
      out += at.toFormat(LETTERS[letter], { locale: "en-US" });
    else return new Failure(`no %${letter} in a time's format`);
  }
  return out;
}

const span = (seconds: number): Fn =>
  one((value) => {
    if (!(value instanceof RelTime)) return new Failure(`needs a span, not ${typeOf(value)}`);
    return value.seconds / seconds;
  });

const spanField =
  (get: (seconds: number) => number): Fn["run"] =>
  ([value]) =>
    toInteger(get((value as RelTime).seconds));

/** `getHours` and the like: of a moment, or what a span has beside whole days. */
const either = (ofMoment: (at: DateTime) => number, ofSpan: (seconds: number) => number): Fn => {
  const whole = field(ofMoment);
  return {
    ...whole,
    run: (args, run) =>
      args[0] instanceof RelTime ? spanField(ofSpan)(args, run) : whole.run(args, run),
  };
};

export const times: Record<string, Fn> = {
  time: clock(),
  currentTime: clock(),
  /** Seconds east of UTC; the program's own clock is UTC. */
  timeZoneOffset: { min: 0, max: 0, strict: true, run: () => 0n },
  formatTime: {
    min: 0,
    max: 2,
    strict: true,
    run: ([value, format = "%c"], run) => {
      if (value === undefined && run.now === null) return new Failure("no clock");
      const at = moment(value ?? run.now!);
      if (at instanceof Failure) return at;
      if (typeof format !== "string") return new Failure("a format is text");
      run.spend(4 * format.length);
      const text = formatted(at, format);
      return text instanceof Failure ? text : made(text, run);
    },
  },
  /** Seconds as `days+hh:mm:ss`. */
  interval: one((value) => {
    const seconds = toReal(value);
    if (seconds === null || !Number.isFinite(seconds)) return new Failure("interval needs seconds");
    return printRelTime(new RelTime(Math.trunc(seconds)));
  }),
  splitTime: one((value) => {
    if (value instanceof RelTime) {
      const all = Math.abs(value.seconds);
      return new Bound(
        new Ad()
          .put("Type", "RelativeTime")
          .put("Days", BigInt(Math.floor(all / 86_400)))
          .put("Hours", BigInt(Math.floor((all % 86_400) / 3600)))
          .put("Minutes", BigInt(Math.floor((all % 3600) / 60)))
          .put("Seconds", BigInt(Math.floor(all % 60))),
        null,
      );
    }
    const at = moment(value);
    if (at instanceof Failure) return at;
    return new Bound(
      new Ad()
        .put("Type", "AbsoluteTime")
        .put("Year", BigInt(at.year))
        .put("Month", BigInt(at.month))
        .put("Day", BigInt(at.day))
        .put("Hours", BigInt(at.hour))
        .put("Minutes", BigInt(at.minute))
        .put("Seconds", BigInt(at.second))
        .put("Offset", BigInt(at.offset * 60)),
      null,
    );
  }),
  /** The span since midnight. */
  dayTime: {
    min: 0,
    max: 1,
    strict: true,
    run: ([value], run) => {
      if (value === undefined && run.now === null) return new Failure("no clock");
      const at = moment(value ?? run.now!);
      if (at instanceof Failure) return at;
      return new RelTime(at.hour * 3600 + at.minute * 60 + at.second);
    },
  },
  getYear: field((at) => at.year),
  getMonth: field((at) => at.month),
  getDayOfYear: field((at) => at.ordinal),
  getDayOfMonth: field((at) => at.day),
  // Sunday is 0.
  getDayOfWeek: field((at) => at.weekday % 7),
  getDays: either(
    (at) => at.day,
    (seconds) => Math.trunc(seconds / 86_400),
  ),
  getHours: either(
    (at) => at.hour,
    (seconds) => Math.trunc((seconds % 86_400) / 3600),
  ),
  getMinutes: either(
    (at) => at.minute,
    (seconds) => Math.trunc((seconds % 3600) / 60),
  ),
  getSeconds: either(
    (at) => at.second,
    (seconds) => Math.trunc(seconds % 60),
  ),
  inDays: span(86_400),
  inHours: span(3600),
  inMinutes: span(60),
  inSeconds: span(1),
};
