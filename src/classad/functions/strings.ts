import type { Run } from "../run.js";
import { Failure, isList, typeOf, type Value } from "../values.js";
import type { Fn } from "./index.js";
import { textOf } from "./types.js";

const MANY = 1000;

export const needsText = (...values: Value[]): Failure | null => {
  const other = values.find((value) => typeof value !== "string");
  return other === undefined ? null : new Failure(`needs text, not ${typeOf(other)}`);
};

/** Text that a function makes: counted, and not larger than the limit. */
export function made(text: string, run: Run): Value {
  run.spendText(text.length);
  return text.length > run.limits.size ? new Failure("text that is too long") : text;
}

/** A function of texts alone. */
export const ofText = (
  min: number,
  max: number,
  body: (texts: string[], run: Run) => Value,
): Fn => ({
  min,
  max,
  strict: true,
  run: (args, run) => {
    const bad = needsText(...args);
    if (bad !== null) return bad;
    for (const text of args as string[]) run.spendText(text.length);
    return body(args as string[], run);
  },
});

const order = (a: string, b: string): bigint => (a < b ? -1n : a > b ? 1n : 0n);

/** Text in pieces at any of the characters; pieces are trimmed, empty ones are left out. */
export const pieces = (text: string, separators = ", "): string[] => {
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

/** `8.10.2` against `8.9`: runs of digits by value, everything else by character. */
export function compareVersions(a: string, b: string): number {
  const cut = (text: string): string[] => text.match(/\d+|\D/g) ?? [];
  const [left, right] = [cut(a), cut(b)];
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

const version = (is: (order: number) => boolean): Fn =>
  ofText(2, 2, ([a, b]) => is(compareVersions(a!, b!)));

const index = (value: Value | undefined): number | null =>
  typeof value === "bigint" ? Number(value) : null;

/** `name@host`, of which either part may be missing. */
const splitAt = (missing: (text: string) => [string, string]): Fn =>
  ofText(1, 1, ([text]) => {
    const at = text!.indexOf("@");
    return at < 0 ? missing(text!) : [text!.slice(0, at), text!.slice(at + 1)];
  });

export const strings: Record<string, Fn> = {
  strcat: {
    min: 0,
    max: MANY,
    strict: true,
    run: (args, run) => made(args.map(textOf).join(""), run),
  },
  join: {
    min: 1,
    max: MANY,
    strict: true,
    run: (args, run) => {
      const [first, second] = args;
      const list = args.length === 1 ? first : args.length === 2 && isList(second!) ? second : null;
      const separator = args.length === 1 ? "" : first;
      if (typeof separator !== "string") return new Failure("join needs text between");
      const items = list === null ? args.slice(1) : list;
      if (!isList(items!)) return new Failure("join needs a list");
      const bad = items.find((item) => item instanceof Failure);
      return (
        bad ??
        made(
          items
            .filter((item) => typeof item !== "symbol")
            .map(textOf)
            .join(separator),
          run,
        )
      );
    },
  },
  substr: {
    min: 2,
    max: 3,
    strict: true,
    run: ([text, from, length], run) => {
      if (typeof text !== "string") return needsText(text!)!;
      let start = index(from);
      const count = length === undefined ? text.length : index(length);
      if (start === null || count === null) return new Failure("substr needs whole numbers");
      // From the end, as in Perl.
      if (start < 0) start = Math.max(0, text.length + start);
      const end = count < 0 ? text.length + count : start + count;
      return made(text.slice(start, Math.max(start, end)), run);
    },
  },
  strcmp: {
    min: 2,
    max: 2,
    strict: true,
    run: ([a, b]) => order(textOf(a!), textOf(b!)),
  },
  stricmp: {
    min: 2,
    max: 2,
    strict: true,
    run: ([a, b]) => order(textOf(a!).toLowerCase(), textOf(b!).toLowerCase()),
  },
  toUpper: { min: 1, max: 1, strict: true, run: ([a], run) => made(textOf(a!).toUpperCase(), run) },
  toLower: { min: 1, max: 1, strict: true, run: ([a], run) => made(textOf(a!).toLowerCase(), run) },
  split: ofText(1, 2, ([text, separators]) => pieces(text!, separators)),
  splitUserName: splitAt((text) => [text, ""]),
  splitSlotName: splitAt((text) => ["", text]),
  versioncmp: ofText(2, 2, ([a, b]) => BigInt(compareVersions(a!, b!))),
  versionGT: version((is) => is > 0),
  versionGE: version((is) => is >= 0),
  versionLT: version((is) => is < 0),
  versionLE: version((is) => is <= 0),
  versionEQ: version((is) => is === 0),
  version_in_range: ofText(
    3,
    3,
    ([text, low, high]) => compareVersions(text!, low!) >= 0 && compareVersions(text!, high!) <= 0,
  ),
};
