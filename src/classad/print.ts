import type { Entry, Node } from "./ast.js";
import { AbsTime, Failure, isList, RelTime, ScopedAd, type Value } from "./values.js";

const PLAIN_NAME = /^[A-Za-z_][A-Za-z0-9_]*$/;
const RESERVED = new Set(["true", "false", "undefined", "error", "is", "isnt"]);
const ESCAPES: Record<string, string> = {
  "\n": "\\n",
  "\t": "\\t",
  "\r": "\\r",
  "\b": "\\b",
  "\f": "\\f",
};

// Control characters without a short escape are written as three-digit octal escapes.
const quote = (text: string, mark: string): string =>
  `${mark}${text.replace(mark === '"' ? /[\\"\p{Cc}]/gu : /[\\'\p{Cc}]/gu, (c) =>
    c === "\\" || c === mark
      ? `\\${c}`
      : (ESCAPES[c] ?? (c < "\x80" ? `\\${c.charCodeAt(0).toString(8).padStart(3, "0")}` : c)),
  )}${mark}`;

export const printName = (name: string): string =>
  PLAIN_NAME.test(name) && !RESERVED.has(name.toLowerCase()) ? name : quote(name, "'");

function printReal(value: number): string {
  if (Number.isNaN(value)) return 'real("NaN")';
  if (!Number.isFinite(value)) return value > 0 ? 'real("INF")' : 'real("-INF")';
  const text = Object.is(value, -0) ? "-0" : String(value);
  return /[.e]/.test(text) ? text : `${text}.0`;
}

const pad = (value: number): string => String(Math.abs(value)).padStart(2, "0");

/** `2026-12-01T10:00:00+01:00`, as HTCondor writes absolute times. */
export function printAbsTime({ seconds, offset }: AbsTime): string {
  const local = new Date((seconds + offset) * 1000);
  const sign = offset < 0 ? "-" : "+";
  const hours = Math.trunc(Math.abs(offset) / 3600);
  const minutes = Math.trunc((Math.abs(offset) % 3600) / 60);
  const text = Number.isNaN(local.getTime()) ? "?" : local.toISOString().slice(0, 19);
  return `${text}${sign}${pad(hours)}:${pad(minutes)}`;
}

/** `1+02:03:04.500`: days, hours, minutes and seconds. */
export function printRelTime({ seconds }: RelTime): string {
  const all = Math.abs(seconds);
  const days = Math.floor(all / 86_400);
  const rest = Math.floor(all % 86_400);
  const fraction = Math.round((all - Math.floor(all)) * 1000);
  const clock = `${pad(Math.floor(rest / 3600))}:${pad(Math.floor((rest % 3600) / 60))}:${pad(rest % 60)}`;
  const head = days > 0 ? `${days}+` : "";
  return `${seconds < 0 ? "-" : ""}${head}${clock}${fraction > 0 ? `.${String(fraction).padStart(3, "0")}` : ""}`;
}

/** The value as text; parsing and evaluating the text gives the value again. */
export function printValue(value: Value): string {
  switch (typeof value) {
    case "bigint":
      return value.toString();
    case "number":
      return printReal(value);
    case "string":
      return quote(value, '"');
    case "boolean":
      return String(value);
    case "symbol":
      return "undefined";
  }
  if (value instanceof Failure) return "error";
  if (value instanceof AbsTime) return `absTime("${printAbsTime(value)}")`;
  if (value instanceof RelTime) return `relTime("${printRelTime(value)}")`;
  if (value instanceof ScopedAd) return String(value.ad);
  return isList(value) ? `{ ${value.map(printValue).join(", ")} }` : "error";
}

// The ten levels of binary operators have precedence 0 to 9. Conditions bind less tightly, unary
// operators more tightly, and a primary expression never needs parentheses.
const CONDITION_PRECEDENCE = -1;
const UNARY_PRECEDENCE = 10;
const PRIMARY_PRECEDENCE = 11;

const isNegative = (value: Value): boolean =>
  (typeof value === "bigint" && value < 0n) ||
  (typeof value === "number" && (value < 0 || Object.is(value, -0)) && Number.isFinite(value));

function precedenceOf(node: Node): number {
  switch (node.kind) {
    case "condition":
      return CONDITION_PRECEDENCE;
    case "chain":
      return node.level;
    case "unary":
      return UNARY_PRECEDENCE;
    case "literal":
      return isNegative(node.value) ? UNARY_PRECEDENCE : PRIMARY_PRECEDENCE;
    default:
      return PRIMARY_PRECEDENCE;
  }
}

/** Puts an expression of a lower precedence than `least` into parentheses. */
const printOperand = (node: Node, least: number): string =>
  precedenceOf(node) < least ? `(${print(node)})` : print(node);

export const printEntries = (entries: readonly Entry[]): string =>
  entries.length === 0
    ? "[  ]"
    : `[ ${entries.map(({ name, node }) => `${printName(name)} = ${print(node)}`).join("; ")} ]`;

const SCOPE_PREFIX = { any: "", my: "MY.", target: "TARGET.", root: "." } as const;

/**
 * The canonical text of an expression: single spaces around operators, and parentheses only where
 * they are needed. Parsing and printing the text gives the same text.
 */
export function print(node: Node): string {
  switch (node.kind) {
    case "literal":
      return printValue(node.value);
    case "attribute":
      return SCOPE_PREFIX[node.where] + printName(node.name);
    case "unary":
      return node.op + printOperand(node.operand, UNARY_PRECEDENCE);
    case "chain": {
      let text = printOperand(node.first, node.level);
      for (const { op, operand } of node.rest)
        text += ` ${op} ${printOperand(operand, node.level + 1)}`;
      return text;
    }
    case "condition": {
      const test = printOperand(node.test, CONDITION_PRECEDENCE + 1);
      return node.then === null
        ? `${test} ?: ${print(node.otherwise)}`
        : `${test} ? ${print(node.then)} : ${print(node.otherwise)}`;
    }
    case "list":
      return `{ ${node.items.map(print).join(", ")} }`;
    case "ad":
      return printEntries(node.entries);
    case "call":
      return `${printName(node.name)}(${node.args.map(print).join(", ")})`;
    case "select":
      return `${printSelectBase(node.base)}.${printName(node.name)}`;
    case "subscript":
      return `${printOperand(node.base, PRIMARY_PRECEDENCE)}[${print(node.index)}]`;
  }
}

/** Puts a literal into parentheses, because `1.x` would not be read as a selection. */
function printSelectBase(base: Node): string {
  const text = printOperand(base, PRIMARY_PRECEDENCE);
  return base.kind === "literal" && precedenceOf(base) === PRIMARY_PRECEDENCE ? `(${text})` : text;
}
