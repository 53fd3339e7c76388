import type { BinaryOp, UnaryOp } from "./ast.js";
import {
  AbsTime,
  Bound,
  Failure,
  identical,
  integer,
  isList,
  numeric,
  RelTime,
  truth,
  typeOf,
  UNDEFINED,
  type Value,
} from "./values.js";

const wrong = (op: string, a: Value, b?: Value): Failure =>
  new Failure(`${op} on ${typeOf(a)}${b === undefined ? "" : ` and ${typeOf(b)}`}`);

export function applyUnary(op: UnaryOp, value: Value): Value {
  if (value instanceof Failure || value === UNDEFINED) return value;
  switch (op) {
    case "!": {
      const is = truth(value);
      return is === null ? wrong("!", value) : !is;
    }
    case "~":
      return typeof value === "bigint"
        ? integer(~value)
        : typeof value === "boolean"
          ? !value
          : wrong("~", value);
    default: {
      if (value instanceof RelTime) return op === "-" ? new RelTime(-value.seconds) : value;
      const number = numeric(value);
      if (number === null) return wrong(op, value);
      if (op === "+") return number;
      return typeof number === "bigint" ? integer(-number) : -number;
    }
  }
}

/**
 * What the left operand alone decides: `||` and `&&` know the answer when it is TRUE or FALSE, and
 * an ERROR on the left is the answer. Null when the right operand is needed.
 */
export function shortcut(op: BinaryOp, left: Value): Value | null {
  if (op !== "||" && op !== "&&") return null;
  if (left instanceof Failure) return left;
  if (left === UNDEFINED) return null;
  const is = truth(left);
  if (is === null) return wrong(op, left);
  return is === (op === "||") ? is : null;
}

/** Three-valued logic, for a left operand that decides nothing by itself. */
function logic(op: "||" | "&&", left: Value, right: Value): Value {
  if (right instanceof Failure) return right;
  if (right === UNDEFINED) return UNDEFINED;
  const is = truth(right);
  if (is === null) return wrong(op, right);
  if (is === (op === "||")) return is;
  return left === UNDEFINED ? UNDEFINED : is;
}

export function applyBinary(op: BinaryOp, left: Value, right: Value): Value {
  if (op === "=?=") return identical(left, right);
  if (op === "=!=") return !identical(left, right);
  if (op === "||" || op === "&&") return shortcut(op, left) ?? logic(op, left, right);
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
      return bits(op, left, right);
    default:
      return arithmetic(op, left, right);
  }
}

type Comparison = "==" | "!=" | "<" | "<=" | ">" | ">=";

function ordered<T extends number | bigint | string>(op: Comparison, a: T, b: T): boolean {
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

/** Strings without regard to case; numbers whatever their type; times among themselves. */
function compare(op: Comparison, left: Value, right: Value): Value {
  if (typeof left === "string" && typeof right === "string") {
    return ordered(op, left.toLowerCase(), right.toLowerCase());
  }
  if (left instanceof AbsTime && right instanceof AbsTime) {
    return ordered(op, left.seconds, right.seconds);
  }
  if (left instanceof RelTime && right instanceof RelTime) {
    return ordered(op, left.seconds, right.seconds);
  }
  const a = numeric(left);
  const b = numeric(right);
  if (a === null || b === null) return wrong(op, left, right);
  if (typeof a === typeof b) return ordered(op, a as number, b as number);
  // An integer and a real are compared exactly; only equality has to be asked in another way.
  if (op === "==" || op === "!=") return (a <= b && a >= b) === (op === "==");
  return ordered(op, a as number, b as number);
}

function bits(op: "|" | "&" | "^" | "<<" | ">>" | ">>>", left: Value, right: Value): Value {
  if (typeof left === "boolean" && typeof right === "boolean") {
    if (op === "|") return left || right;
    if (op === "&") return left && right;
    if (op === "^") return left !== right;
  }
  if (typeof left !== "bigint" || typeof right !== "bigint") return wrong(op, left, right);
  const by = right & 63n;
  switch (op) {
    case "|":
      return left | right;
    case "&":
      return left & right;
    case "^":
      return left ^ right;
    case "<<":
      return integer(left << by);
    case ">>":
      return left >> by;
    case ">>>":
      return integer(BigInt.asUintN(64, left) >> by);
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
    return times(op, left, right);
  }
  if (isList(left) || isList(right) || left instanceof Bound || right instanceof Bound) {
    return wrong(op, left, right);
  }
  const a = numeric(left);
  const b = numeric(right);
  if (a === null || b === null) return wrong(op, left, right);
  if (typeof a === "bigint" && typeof b === "bigint") {
    switch (op) {
      case "+":
        return integer(a + b);
      case "-":
        return integer(a - b);
      case "*":
        return integer(a * b);
      case "/":
        return b === 0n ? new Failure("division by zero") : integer(a / b);
      case "%":
        return b === 0n ? new Failure("division by zero") : integer(a % b);
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
      return wrong(op, left, right);
  }
}

function times(op: Arithmetic, left: Value, right: Value): Value {
  if (left instanceof AbsTime) {
    if (right instanceof AbsTime && op === "-") return new RelTime(left.seconds - right.seconds);
    if (right instanceof RelTime && (op === "+" || op === "-")) {
      return new AbsTime(left.seconds + (op === "+" ? 1 : -1) * right.seconds, left.offset);
    }
    return wrong(op, left, right);
  }
  if (left instanceof RelTime) {
    if (right instanceof RelTime && (op === "+" || op === "-")) {
      return new RelTime(left.seconds + (op === "+" ? 1 : -1) * right.seconds);
    }
    if (right instanceof AbsTime && op === "+") {
      return new AbsTime(right.seconds + left.seconds, right.offset);
    }
    const factor = numeric(right);
    if (factor === null || (op !== "*" && op !== "/")) return wrong(op, left, right);
    if (op === "/" && Number(factor) === 0) return new Failure("division by zero");
    return new RelTime(op === "*" ? left.seconds * Number(factor) : left.seconds / Number(factor));
  }
  const factor = numeric(left);
  if (factor !== null && right instanceof RelTime && op === "*") {
    return new RelTime(Number(factor) * right.seconds);
  }
  return wrong(op, left, right);
}

/** `list[i]` and `ad["name"]`, the second by `selectKey`. */
export function element(list: readonly Value[], index: Value): Value {
  if (typeof index !== "bigint") return wrong("[]", index);
  if (index < 0n || index >= BigInt(list.length)) return new Failure("no such item of the list");
  return list[Number(index)]!;
}

export const notAnAd = (value: Value): Failure => wrong(".", value);
