import { print, printValue } from "../print.js";
import {
  AbsTime,
  Failure,
  isList,
  isNumber,
  RelTime,
  ScopedAd,
  type TypeName,
  toInteger,
  typeOf,
  type Value,
} from "../values.js";
import type { BuiltinFunction } from "./index.js";
import { parseAbsTime, parseRelTime } from "./time-parsing.js";

const typeTest = (...names: TypeName[]): BuiltinFunction => ({
  min: 1,
  max: 1,
  strict: false,
  run: ([value]) => names.includes(typeOf(value!)),
});

/** A function of one argument, which is called only if that is neither ERROR nor UNDEFINED. */
export const unaryFunction = (run: (value: Value, ...rest: never[]) => Value): BuiltinFunction => ({
  min: 1,
  max: 1,
  strict: true,
  run: ([value]) => run(value!),
});

/** A value as a string, as `strcat` and `string` convert it. */
export const textOf = (value: Value): string =>
  typeof value === "string" ? value : printText(value);

function printText(value: Value): string {
  if (value instanceof ScopedAd) return String(value.ad);
  if (value instanceof AbsTime || value instanceof RelTime) {
    return /"(.*)"/.exec(printValue(value))![1]!;
  }
  return isList(value) ? print({ kind: "literal", value, depth: 1 }) : printValue(value);
}

const NUMBER_PATTERN = /^\s*[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?\s*$/;

function parseNumber(text: string): bigint | number | null {
  if (/^\s*[+-]?\d+\s*$/.test(text)) return BigInt(text.trim().replace(/^\+/, ""));
  if (NUMBER_PATTERN.test(text)) return Number(text);
  const special = /^\s*([+-]?)(inf|nan)\s*$/i.exec(text);
  if (special === null) return null;
  if (special[2]!.toLowerCase() === "nan") return Number.NaN;
  return special[1] === "-" ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;
}

export function toReal(value: Value): number | null {
  if (isNumber(value)) return Number(value);
  if (typeof value === "boolean") return value ? 1 : 0;
  if (typeof value === "string") {
    const number = parseNumber(value);
    return number === null ? null : Number(number);
  }
  return value instanceof AbsTime || value instanceof RelTime ? value.seconds : null;
}

function toInt(value: Value): Value {
  if (typeof value === "bigint") return value;
  if (typeof value === "string") {
    const number = parseNumber(value);
    if (typeof number === "bigint") {
      return BigInt.asIntN(64, number) === number
        ? number
        : new Failure("integer does not fit into 64 bits");
    }
  }
  const real = toReal(value);
  return real === null
    ? new Failure(`cannot convert to integer: ${typeOf(value)}`)
    : toInteger(real);
}

export const types: Record<string, BuiltinFunction> = {
  isUndefined: typeTest("undefined"),
  isError: typeTest("error"),
  isString: typeTest("string"),
  isInteger: typeTest("integer"),
  isReal: typeTest("real"),
  isBoolean: typeTest("boolean"),
  isList: typeTest("list"),
  isClassAd: typeTest("classad"),
  isAbsTime: typeTest("abstime"),
  isRelTime: typeTest("reltime"),
  int: unaryFunction(toInt),
  real: unaryFunction(
    (value) => toReal(value) ?? new Failure(`cannot convert to real: ${typeOf(value)}`),
  ),
  string: unaryFunction(textOf),
  bool: unaryFunction((value) => {
    if (typeof value === "boolean") return value;
    if (isNumber(value)) return Number(value) !== 0;
    if (typeof value !== "string")
      return new Failure(`cannot convert to boolean: ${typeOf(value)}`);
    const text = value.toLowerCase();
    return text === "true"
      ? true
      : text === "false"
        ? false
        : new Failure("cannot convert to boolean: expected the string true or false");
  }),
  absTime: {
    min: 0,
    max: 2,
    strict: true,
    run: ([value, offset], evaluation) => {
      if (value === undefined) {
        return evaluation.now === null
          ? new Failure("no current time")
          : new AbsTime(evaluation.now, 0);
      }
      if (value instanceof AbsTime) return value;
      const offsetSeconds = offset === undefined ? 0 : toReal(offset);
      if (offsetSeconds === null)
        return new Failure("the offset of absTime must be a number of seconds");
      if (isNumber(value)) return new AbsTime(Number(value), offsetSeconds);
      if (typeof value !== "string")
        return new Failure(`cannot convert to absolute time: ${typeOf(value)}`);
      return parseAbsTime(value) ?? new Failure("absTime cannot parse this string");
    },
  },
  relTime: unaryFunction((value) => {
    if (value instanceof RelTime) return value;
    if (isNumber(value)) return new RelTime(Number(value));
    if (typeof value !== "string")
      return new Failure(`cannot convert to relative time: ${typeOf(value)}`);
    return parseRelTime(value) ?? new Failure("relTime cannot parse this string");
  }),
};
