import type { BinaryOp, UnaryOp } from "./ast.js";
import {
  AbsTime,
  Failure,
  identical,
  isList,
  numeric,
  RelTime,
  ScopedAd,
  truth,
  typeOf,
  UNDEFINED,
  type Value,
  wrapToInt64,
} from "./values.js";

const typeMismatch = (op: string, a: Value, b?: Value): Failure =>
  new Failure(`${op} on ${typeOf(a)}${b === undefined ? "" : ` and ${typeOf(b)}`}`);

export function applyUnary(op: UnaryOp, value: Value): Value {
  if (value instanceof Failure || value === UNDEFINED) return value;
  switch (op) {
    case "!": {
      const isTrue = truth(value);
      return isTrue === null ? typeMismatch("!", value) : !isTrue;
    }
    case "~":
      return typeof value === "bigint"
        ? wrapToInt64(~value)
        : typeof value === "boolean"
          ? !value
          : typeMismatch("~", value);
    default: {
      if (value instanceof RelTime) return op === "-" ? new RelTime(-value.seconds) : value;
      const number = numeric(value);
      if (number === null) return typeMismatch(op, value);
      if (op === "+") return number;
      return typeof number === "bigint" ? wrapToInt64(-number) : -number;
    }
  }
}

/**
 * The result of `||` and `&&` if the left operand alone determines it: `||` with TRUE, `&&` with
 * FALSE, and either with ERROR. Null if the right operand is needed.
 */
export function shortCircuit(op: BinaryOp, left: Value): Value | null {
  if (op !== "||" && op !== "&&") return null;
  if (left instanceof Failure) return left;
  if (left === UNDEFINED) return null;
  const isTrue = truth(left);
  if (isTrue === null) return typeMismatch(op, left);
  return isTrue === (op === "||") ? isTrue : null;
}

/** Three-valued logic, for a left operand that does not determine the result by itself. */
function threeValuedLogic(op: "||" | "&&", left: Value, right: Value): Value {
  if (right instanceof Failure) return right;
  if (right === UNDEFINED) return UNDEFINED;
  const isTrue = truth(right);
  if (isTrue === null) return typeMismatch(op, right);
  if (isTrue === (op === "||")) return isTrue;
  return left === UNDEFINED ? UNDEFINED : isTrue;
}

export function applyBinary(op: BinaryOp, left: Value, right: Value): Value {
  if (op === "=?=") return identical(left, right);
  if (op === "=!=") return !identical(left, right);
  if (op === "||" || op === "&&")
    return shortCircuit(op, left) ?? threeValuedLogic(op, left, right);
  if (left instanceof Failure) return left;
  if (right instanceof Failure) return right;
  if (left === UNDEFINED || right === UNDEFINED) return UNDEFINED;
  switch (op) {
    case "==":
    case "!=":
    case "<":
    case "<=":
    case ">":
    case ">=":
      return compare(op, left, right);
    case "|":
    case "&":
    case "^":
    case "<<":
    case ">>":
    case ">>>":
      return bitwise(op, left, right);
    default:
      return arithmetic(op, left, right);
  }
}

type Comparison = "==" | "!=" | "<" | "<=" | ">" | ">=";

function applyComparison<T extends number | bigint | string>(op: Comparison, a: T, b: T): boolean {
  switch (op) {
    case "==":
      return a === b;
    case "!=":
      return a !== b;
    case "<":
      return a < b;
    case "<=":
      return a <= b;
    case ">":
      return a > b;
    case ">=":
      return a >= b;
  }
}

/** Strings are compared ignoring case, numbers across types, and times only with their own type. */
function compare(op: Comparison, left: Value, right: Value): Value {
  if (typeof left === "string" && typeof right === "string") {
    return applyComparison(op, left.toLowerCase(), right.toLowerCase());
  }
  if (left instanceof AbsTime && right instanceof AbsTime) {
    return applyComparison(op, left.seconds, right.seconds);
  }
  if (left instanceof RelTime && right instanceof RelTime) {
    return applyComparison(op, left.seconds, right.seconds);
  }
  const a = numeric(left);
  const b = numeric(right);
  if (a === null || b === null) return typeMismatch(op, left, right);
  if (typeof a === typeof b) return applyComparison(op, a as number, b as number);
  // JavaScript orders a bigint and a number exactly, but `===` between them is always false.
  if (op === "==" || op === "!=") return (a <= b && a >= b) === (op === "==");
  return applyComparison(op, a as number, b as number);
}

function bitwise(op: "|" | "&" | "^" | "<<" | ">>" | ">>>", left: Value, right: Value): Value {
  if (typeof left === "boolean" && typeof right === "boolean") {
    if (op === "|") return left || right;
    if (op === "&") return left && right;
    if (op === "^") return left !== right;
  }
  if (typeof left !== "bigint" || typeof right !== "bigint") return typeMismatch(op, left, right);
  const shift = right & 63n;
  switch (op) {
    case "|":
      return left | right;
    case "&":
      return left & right;
    case "^":
      return left ^ right;
    case "<<":
      return wrapToInt64(left << shift);
    case ">>":
      return left >> shift;
    case ">>>":
      return wrapToInt64(BigInt.asUintN(64, left) >> shift);
  }
}

type Arithmetic = "+" | "-" | "*" | "/" | "%";

function arithmetic(op: Arithmetic, left: Value, right: Value): Value {
  if (
    left instanceof AbsTime ||
    left instanceof RelTime ||
    right instanceof AbsTime ||
    right instanceof RelTime
  ) {
    return timeArithmetic(op, left, right);
  }
  if (isList(left) || isList(right) || left instanceof ScopedAd || right instanceof ScopedAd) {
    return typeMismatch(op, left, right);
  }
  const a = numeric(left);
  const b = numeric(right);
  if (a === null || b === null) return typeMismatch(op, left, right);
  if (typeof a === "bigint" && typeof b === "bigint") {
    switch (op) {
      case "+":
        return wrapToInt64(a + b);
      case "-":
        return wrapToInt64(a - b);
      case "*":
        return wrapToInt64(a * b);
      case "/":
        return b === 0n ? new Failure("division by zero") : wrapToInt64(a / b);
      case "%":
        return b === 0n ? new Failure("division by zero") : wrapToInt64(a % b);
    }
  }
  const x = Number(a);
  const y = Number(b);
  switch (op) {
    case "+":
      return x + y;
    case "-":
      return x - y;
    case "*":
      return x * y;
    case "/":
      return y === 0 ? new Failure("division by zero") : x / y;
    case "%":
      return typeMismatch(op, left, right);
  }
}

function timeArithmetic(op: Arithmetic, left: Value, right: Value): Value {
  if (left instanceof AbsTime) {
    if (right instanceof AbsTime && op === "-") return new RelTime(left.seconds - right.seconds);
    if (right instanceof RelTime && (op === "+" || op === "-")) {
      return new AbsTime(left.seconds + (op === "+" ? 1 : -1) * right.seconds, left.offset);
    }
    return typeMismatch(op, left, right);
  }
  if (left instanceof RelTime) {
    if (right instanceof RelTime && (op === "+" || op === "-")) {
      return new RelTime(left.seconds + (op === "+" ? 1 : -1) * right.seconds);
    }
    if (right instanceof AbsTime && op === "+") {
      return new AbsTime(right.seconds + left.seconds, right.offset);
    }
    const factor = numeric(right);
    if (factor === null || (op !== "*" && op !== "/")) return typeMismatch(op, left, right);
    if (op === "/" && Number(factor) === 0) return new Failure("division by zero");
    return new RelTime(op === "*" ? left.seconds * Number(factor) : left.seconds / Number(factor));
  }
  const factor = numeric(left);
  if (factor !== null && right instanceof RelTime && op === "*") {
    return new RelTime(Number(factor) * right.seconds);
  }
  return typeMismatch(op, left, right);
}

/** `list[i]`. For `ad["name"]` see `selectKey`. */
export function listElement(list: readonly Value[], index: Value): Value {
  if (typeof index !== "bigint") return typeMismatch("[]", index);
  if (index < 0n || index >= BigInt(list.length)) return new Failure("list index out of range");
  return list[Number(index)]!;
}

export const notAnAdError = (value: Value): Failure => typeMismatch(".", value);
