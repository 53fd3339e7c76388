import type { Ad } from "./ad.js";
import type { Frame } from "./run.js";

/** A value that is not known: an attribute that no ad has. */
export const UNDEFINED: unique symbol = Symbol("UNDEFINED");

/** The value ERROR. The reason is for people; all errors are the same value. */
export class Failure {
  constructor(readonly reason: string) {}
}

/** A moment: seconds since the epoch, and the offset of its time zone in seconds. */
export class AbsTime {
  constructor(
    readonly seconds: number,
    readonly offset: number,
  ) {}
}

/** A span of time, in seconds. */
export class RelTime {
  constructor(readonly seconds: number) {}
}

/** A nested ad, with the place where its attributes are looked up. */
export class Bound {
  constructor(
    readonly ad: Ad,
    /** Where it was written; null for an ad that stands alone. */
    readonly frame: Frame | null,
  ) {}
}

/**
 * What an expression is worth. Integers (64 bits, two's complement) are bigints and reals are
 * numbers, so that 1 and 1.0 stay apart; lists are arrays.
 */
export type Value =
  | bigint
  | number
  | string
  | boolean
  | typeof UNDEFINED
  | Failure
  | AbsTime
  | RelTime
  | Bound
  | readonly Value[];

export type TypeName =
  | "integer"
  | "real"
  | "string"
  | "boolean"
  | "undefined"
  | "error"
  | "abstime"
  | "reltime"
  | "list"
  | "classad";

export function typeOf(value: Value): TypeName {
  switch (typeof value) {
    case "bigint":
      return "integer";
    case "number":
      return "real";
    case "string":
      return "string";
    case "boolean":
      return "boolean";
    case "symbol":
      return "undefined";
  }
  if (value instanceof Failure) return "error";
  if (value instanceof AbsTime) return "abstime";
  if (value instanceof RelTime) return "reltime";
  return value instanceof Bound ? "classad" : "list";
}

export const isList = (value: Value): value is readonly Value[] => Array.isArray(value);

export const isNumber = (value: Value): value is bigint | number =>
  typeof value === "bigint" || typeof value === "number";

/** 64 bits, as published: sums wrap. */
export const integer = (value: bigint): bigint => BigInt.asIntN(64, value);

const MOST_INTEGER = 2n ** 63n;

/** A whole number as an integer; ERROR when it is none or has over 64 bits. */
export function toInteger(value: number): bigint | Failure {
  if (!Number.isFinite(value)) return new Failure("not a finite number");
  const whole = BigInt(Math.trunc(value));
  if (whole >= MOST_INTEGER || whole < -MOST_INTEGER) return new Failure("more than 64 bits");
  return whole;
}

/** The number that a value counts as in arithmetic: booleans are 0 and 1; null for others. */
export function numeric(value: Value): bigint | number | null {
  if (typeof value === "boolean") return value ? 1n : 0n;
  return isNumber(value) ? value : null;
}

/**
 * What a value counts as in `&&`, `||`, `!` and `?:`, and as requirements: numbers other than zero
 * are TRUE. Null for values that are neither true nor false.
 */
export function truth(value: Value): boolean | null {
  if (typeof value === "boolean") return value;
  if (typeof value === "bigint") return value !== 0n;
  if (typeof value === "number") return Number.isNaN(value) ? null : value !== 0;
  return null;
}

/** The same type and the same value: `=?=`. Strings are compared with their case, ads by text. */
export function identical(a: Value, b: Value): boolean {
  const type = typeOf(a);
  if (type !== typeOf(b)) return false;
  if (type === "error") return true;
  if (a instanceof AbsTime && b instanceof AbsTime) {
    return a.seconds === b.seconds && a.offset === b.offset;
  }
  if (a instanceof RelTime && b instanceof RelTime) return a.seconds === b.seconds;
  if (a instanceof Bound && b instanceof Bound) return a.ad === b.ad || `${a.ad}` === `${b.ad}`;
  if (isList(a) && isList(b)) {
    return a.length === b.length && a.every((item, i) => identical(item, b[i]!));
  }
  return Object.is(a, b) || a === b;
}
