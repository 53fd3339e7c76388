import type { Ad } from "./ad.js";
import type { Frame } from "./evaluation.js";

/** The value UNDEFINED, for example of an attribute that no ad has. */
export const UNDEFINED: unique symbol = Symbol("UNDEFINED");

/** The value ERROR. The reason is only a message for users: all errors are the same value. */
export class Failure {
  constructor(readonly reason: string) {}
}

/** An absolute time: seconds since the epoch, and the time zone's offset from UTC in seconds. */
export class AbsTime {
  constructor(
    readonly seconds: number,
    readonly offset: number,
  ) {}
}

/** A relative time (duration), in seconds. */
export class RelTime {
  constructor(readonly seconds: number) {}
}

/** An ad as a value, with the scope in which its attributes are evaluated. */
export class ScopedAd {
  constructor(
    readonly ad: Ad,
    /** Scope in which the ad literal was evaluated; null for an ad that a function made. */
    readonly frame: Frame | null,
  ) {}
}

/**
 * The value of an expression. Integers (64 bits, two's complement) are bigints and reals are
 * numbers, so that 1 and 1.0 stay distinct; lists are arrays.
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
  | ScopedAd
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
  return value instanceof ScopedAd ? "classad" : "list";
}

export const isList = (value: Value): value is readonly Value[] => Array.isArray(value);

export const isNumber = (value: Value): value is bigint | number =>
  typeof value === "bigint" || typeof value === "number";

/** Wraps to 64 bits on overflow, as the ClassAd language specifies. */
export const wrapToInt64 = (value: bigint): bigint => BigInt.asIntN(64, value);

const INT64_LIMIT = 2n ** 63n;

/** Truncates a real to an integer; ERROR if it is not finite or does not fit into 64 bits. */
export function toInteger(value: number): bigint | Failure {
  if (!Number.isFinite(value)) return new Failure("not a finite number");
  const truncated = BigInt(Math.trunc(value));
  if (truncated >= INT64_LIMIT || truncated < -INT64_LIMIT)
    return new Failure("integer does not fit into 64 bits");
  return truncated;
}

/** The number that stands for a value in arithmetic: booleans are 0 and 1; null for other types. */
export function numeric(value: Value): bigint | number | null {
  if (typeof value === "boolean") return value ? 1n : 0n;
  return isNumber(value) ? value : null;
}

/**
 * The truth value that stands for a value in `&&`, `||`, `!` and `?:`, and as requirements: numbers
 * other than zero are TRUE. Null for values that are neither true nor false.
 */
export function truth(value: Value): boolean | null {
  if (typeof value === "boolean") return value;
  if (typeof value === "bigint") return value !== 0n;
  if (typeof value === "number") return Number.isNaN(value) ? null : value !== 0;
  return null;
}

/** `=?=`: same type and same value. Strings are compared case-sensitively, ads by their text. */
export function identical(a: Value, b: Value): boolean {
  const type = typeOf(a);
  if (type !== typeOf(b)) return false;
  if (type === "error") return true;
  if (a instanceof AbsTime && b instanceof AbsTime) {
    return a.seconds === b.seconds && a.offset === b.offset;
  }
  if (a instanceof RelTime && b instanceof RelTime) return a.seconds === b.seconds;
  if (a instanceof ScopedAd && b instanceof ScopedAd)
    return a.ad === b.ad || `${a.ad}` === `${b.ad}`;
  if (isList(a) && isList(b)) {
    return a.length === b.length && a.every((item, i) => identical(item, b[i]!));
  }
  return Object.is(a, b) || a === b;
}
