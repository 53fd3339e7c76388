import type { Evaluation } from "../evaluation.js";
import { Failure, isList, typeOf, type Value } from "../values.js";
import type { BuiltinFunction } from "./index.js";
import { textOf } from "./types.js";

const MAX_ARGUMENTS = 1000;

export const requireStrings = (...values: Value[]): Failure | null => {
  const nonString = values.find((value) => typeof value !== "string");
  return nonString === undefined
    ? null
    : new Failure(`expected a string, found ${typeOf(nonString)}`);
};

/**
 * Counts the work for a string that a function produces; ERROR if the string exceeds the size
 * limit.
 */
export function checkStringSize(text: string, evaluation: Evaluation): Value {
  evaluation.chargeText(text.length);
  return text.length > evaluation.limits.resultSize ? new Failure("string is too long") : text;
}

/** A function whose arguments are all strings. */
export const stringFunction = (
  min: number,
  max: number,
  body: (texts: string[], evaluation: Evaluation) => Value,
): BuiltinFunction => ({
  min,
  max,
  strict: true,
  run: (args, evaluation) => {
    const typeError = requireStrings(...args);
    if (typeError !== null) return typeError;
    for (const text of args as string[]) evaluation.chargeText(text.length);
    return body(args as string[], evaluation);
  },
});

const compareStrings = (a: string, b: string): bigint => (a < b ? -1n : a > b ? 1n : 0n);

/** Splits a text at any of the separator characters, trims the items and drops empty ones. */
export const splitItems = (text: string, separators = ", "): string[] => {
  const out: string[] = [];
  let piece = "";
  const end = (): void => {
    if (piece.trim() !== "") out.push(piece.trim());
    piece = "";
  };
  for (const c of text) {
    if (separators.includes(c)) end();
    else piece += c;
  }
  end();
  return out;
};

/** Compares versions such as `8.10.2` and `8.9`: runs of digits by value, all else by character. */
export function compareVersions(a: string, b: string): number {
  const chunksOf = (text: string): string[] => text.match(/\d+|\D/g) ?? [];
  const [left, right] = [chunksOf(a), chunksOf(b)];
  for (let i = 0; i < Math.max(left.length, right.length); i++) {
    const [x, y] = [left[i], right[i]];
    if (x === undefined) return -1;
    if (y === undefined) return 1;
    if (x === y) continue;
    if (/^\d/.test(x) && /^\d/.test(y)) {
      const [m, n] = [BigInt(x), BigInt(y)];
      if (m !== n) return m < n ? -1 : 1;
      continue;
    }
    return x < y ? -1 : 1;
  }
  return 0;
}

const versionTest = (is: (order: number) => boolean): BuiltinFunction =>
  stringFunction(2, 2, ([a, b]) => is(compareVersions(a!, b!)));

const integerArgument = (value: Value | undefined): number | null =>
  typeof value === "bigint" ? Number(value) : null;

/** Splits `name@host` into its parts; `missing` splits a text without `@`. */
const splitAtSign = (missing: (text: string) => [string, string]): BuiltinFunction =>
  stringFunction(1, 1, ([text]) => {
    const at = text!.indexOf("@");
    return at < 0 ? missing(text!) : [text!.slice(0, at), text!.slice(at + 1)];
  });

export const strings: Record<string, BuiltinFunction> = {
  strcat: {
    min: 0,
    max: MAX_ARGUMENTS,
    strict: true,
    run: (args, evaluation) => checkStringSize(args.map(textOf).join(""), evaluation),
  },
  join: {
    min: 1,
    max: MAX_ARGUMENTS,
    strict: true,
    run: (args, evaluation) => {
      const [first, second] = args;
      const list = args.length === 1 ? first : args.length === 2 && isList(second!) ? second : null;
      const separator = args.length === 1 ? "" : first;
      if (typeof separator !== "string") return new Failure("join needs a string as separator");
      const items = list === null ? args.slice(1) : list;
      if (!isList(items!)) return new Failure("join needs a list");
      const failedItem = items.find((item) => item instanceof Failure);
      return (
        failedItem ??
        checkStringSize(
          items
            .filter((item) => typeof item !== "symbol")
            .map(textOf)
            .join(separator),
          evaluation,
        )
      );
    },
  },
  substr: {
    min: 2,
    max: 3,
    strict: true,
    run: ([text, from, length], evaluation) => {
      if (typeof text !== "string") return requireStrings(text!)!;
      let start = integerArgument(from);
      const count = length === undefined ? text.length : integerArgument(length);
      if (start === null || count === null)
        return new Failure("substr needs integers as offset and length");
      // A negative offset counts from the end, as in Perl.
      if (start < 0) start = Math.max(0, text.length + start);
      const end = count < 0 ? text.length + count : start + count;
      return checkStringSize(text.slice(start, Math.max(start, end)), evaluation);
    },
  },
  strcmp: {
    min: 2,
    max: 2,
    strict: true,
    run: ([a, b]) => compareStrings(textOf(a!), textOf(b!)),
  },
  stricmp: {
    min: 2,
    max: 2,
    strict: true,
    run: ([a, b]) => compareStrings(textOf(a!).toLowerCase(), textOf(b!).toLowerCase()),
  },
  toUpper: {
    min: 1,
    max: 1,
    strict: true,
    run: ([a], evaluation) => checkStringSize(textOf(a!).toUpperCase(), evaluation),
  },
  toLower: {
    min: 1,
    max: 1,
    strict: true,
    run: ([a], evaluation) => checkStringSize(textOf(a!).toLowerCase(), evaluation),
  },
  split: stringFunction(1, 2, ([text, separators]) => splitItems(text!, separators)),
  splitUserName: splitAtSign((text) => [text, ""]),
  splitSlotName: splitAtSign((text) => ["", text]),
  versioncmp: stringFunction(2, 2, ([a, b]) => BigInt(compareVersions(a!, b!))),
  versionGT: versionTest((is) => is > 0),
  versionGE: versionTest((is) => is >= 0),
  versionLT: versionTest((is) => is < 0),
  versionLE: versionTest((is) => is <= 0),
  versionEQ: versionTest((is) => is === 0),
  version_in_range: stringFunction(
    3,
    3,
    ([text, low, high]) => compareVersions(text!, low!) >= 0 && compareVersions(text!, high!) <= 0,
  ),
};
