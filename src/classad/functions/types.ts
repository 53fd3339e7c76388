import { print, printValue } from "../print.js";
import {
  AbsTime,
  Bound,
  Failure,
  isList,
  isNumber,
  RelTime,
  type TypeName,
  toInteger,
  typeOf,
  type Value,
} from "../values.js";
import type { Fn } from "./index.js";
import { parseAbsTime, parseRelTime } from "./moments.js";

const is = (...names: TypeName[]): Fn => ({
  min: 1,
  max: 1,
  strict: false,
  run: ([value]) => names.includes(typeOf(value!)),
});

/** One argument, which is neither ERROR nor UNDEFINED. */
export const one = (run: (value: Value, ...rest: never[]) => Value): Fn => ({
  min: 1,
  max: 1,
  strict: true,
  run: ([value]) => run(value!),
});

/** What `strcat` and `string` make of a value. */
export const textOf = (value: Value): string =>
  typeof value === "string" ? value : printText(value);

function printText(value: Value): string {
  if (value instanceof Bound) return String(value.ad);
  if (value instanceof AbsTime || value instanceof RelTime) {
    return /"(.*)"/.exec(printValue(value))![1]!;
  }
  return isList(value) ? print({ kind: "literal", value, depth: 1 }) : printValue(value);
}

const NUMBER = /^\s*[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?\s*$/;

function numberIn(text: string): bigint | number | null {
  if (/^\s*[+-]?\d+\s*$/.test(text)) return BigInt(text.trim().replace(/^\+/, ""));
  if (NUMBER.test(text)) return Number(text);
  const special = /^\s*([+-]?)(inf|nan)\s*$/i.exec(text);
  if (special === null) return null;
  if (special[2]!.toLowerCase() === "nan") return Number.NaN;
  return special[1] === "-" ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;
}

export function toReal(value: Value): number | null {
  if (isNumber(value)) return Number(value);
  if (typeof value === "boolean") return value ? 1 : 0;
  if (typeof value === "string") {
    const number = numberIn(value);
    return number === null ? null : Number(number);
  }
  return value instanceof AbsTime || value instanceof RelTime ? value.seconds : null;
}

function toInt(value: Value): Value {
  if (typeof value === "bigint") return value;
  if (typeof value === "string") {
    const number = numberIn(value);
    if (typeof number === "bigint") {
      return BigInt.asIntN(64, number) === number ? number : new Failure("more than 64 bits");
    }
  }
  const real = toReal(value);
  return real === null ? new Failure(`int of ${typeOf(value)}`) : toInteger(real);
}

export const types: Record<string, Fn> = {
  isUndefined: is("undefined"),
  isError: is("error"),
  isString: is("string"),
  isInteger: is("integer"),
  isReal: is("real"),
  isBoolean: is("boolean"),
  isList: is("list"),
  isClassAd: is("classad"),
  isAbsTime: is("abstime"),
  isRelTime: is("reltime"),
  int: one(toInt),
  real: one((value) => toReal(value) ?? new Failure(`real of ${typeOf(value)}`)),
  string: one(textOf),
  bool: one((value) => {
    if (typeof value === "boolean") return value;
    if (isNumber(value)) return Number(value) !== 0;
    if (typeof value !== "string") return new Failure(`bool of ${typeOf(value)}`);
    const text = value.toLowerCase();
    return text === "true" ? true : text === "false" ? false : new Failure("bool of other text");
  }),
  absTime: {
    min: 0,
    max: 2,
    strict: true,
    run: ([value, offset], run) => {
      if (value === undefined) {
        return run.now === null ? new Failure("no clock") : new AbsTime(run.now, 0);
      }
      if (value instanceof AbsTime) return value;
      const east = offset === undefined ? 0 : toReal(offset);
      if (east === null) return new Failure("an offset in seconds");
      if (isNumber(value)) return new AbsTime(Number(value), east);
      if (typeof value !== "string") return new Failure(`absTime of ${typeOf(value)}`);
      return parseAbsTime(value) ?? new Failure("absTime of other text");
    },
  },
  relTime: one((value) => {
    if (value instanceof RelTime) return value;
    if (isNumber(value)) return new RelTime(Number(value));
    if (typeof value !== "string") return new Failure(`relTime of ${typeOf(value)}`);
    return parseRelTime(value) ?? new Failure("relTime of other text");
  }),
};
