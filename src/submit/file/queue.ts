import { evaluateConstant } from "./functions.js";
import type { HostEnvironment } from "./host-environment.js";
import { type Place, SubmitError } from "./text.js";

/** A parsed queue statement. */
export interface QueueStatement {
  place: Place;
  /** Procs per item. */
  count: number;
  vars: string[];
  /** Null if the statement has no items: then `count` procs are created once, without variables. */
  items: string[] | null;
}

const STATEMENT =
  /^(?<left>.*?)\s*\b(?<word>in|from|matching)\b\s*(?<kind>files\b|dirs\b|any\b)?\s*(?<slice>\[[^\]]*\])?\s*(?<rest>[\s\S]*)$/i;

/** A queue statement to parse, with what parsing it needs. */
export interface QueueInput {
  text: string;
  place: Place;
  /** The rows of a list over several lines; null if the list is in the line itself. */
  list: string[] | null;
  host: HostEnvironment;
  /** Most items of a statement. */
  maxItems: number;
}

/** Applies a slice as in Python: `[from:to:step]`, or `[n]` for one item. */
function applySlice(items: string[], text: string | undefined, place: Place): string[] {
  if (text === undefined) return items;
  const inner = text.slice(1, -1).trim();
  const parts = inner.split(":").map((part) => part.trim());
  const bad = parts.length > 3 || parts.some((part) => !/^-?\d*$/.test(part) || part === "-");
  if (bad || inner === "") {
    throw new SubmitError(`'${text}' is no slice`, place, "write [from:to:step]");
  }
  const numbers = parts.map((part) => (part === "" ? null : Number(part)));
  const size = items.length;
  if (numbers.length === 1) {
    const at = numbers[0]! < 0 ? size + numbers[0]! : numbers[0]!;
    return items.slice(at, at + 1);
  }
  const [from = null, to = null, step = null] = numbers;
  const by = step ?? 1;
  if (by === 0) throw new SubmitError("a slice's step is not 0", place);
  const bound = (value: number | null, fallback: number): number => {
    if (value === null) return fallback;
    const at = value < 0 ? size + value : value;
    return by > 0 ? Math.min(Math.max(at, 0), size) : Math.min(Math.max(at, -1), size - 1);
  };
  const out: string[] = [];
  const first = bound(from, by > 0 ? 0 : size - 1);
  const last = bound(to, by > 0 ? size : -1);
  for (let i = first; by > 0 ? i < last : i > last; i += by) out.push(items[i]!);
  return out;
}

function parseCount(text: string, place: Place): number {
  const value = evaluateConstant(text);
  if (typeof value !== "bigint" || value < 0n) {
    throw new SubmitError(`queue '${text}': not a number of procs`, place);
  }
  return Number(value);
}

const splitWords = (text: string): string[] => text.split(/[,\s]+/).filter((word) => word !== "");

const splitRows = (text: string): string[] =>
  text
    .split(/\r\n|\n|\r/)
    .map((row) => row.trim())
    .filter((row) => row !== "" && !row.startsWith("#"));

/** Whether the list of a queue statement continues on the next lines. */
export const startsList = (text: string): boolean =>
  /\b(in|from)\b\s*(\[[^\]]*\])?\s*\([^)]*$/i.test(text);

/** @throws SubmitError */
export function parseQueue(input: QueueInput): QueueStatement {
  const { text, place, host: world } = input;
  const match = STATEMENT.exec(text);
  if (match === null) {
    const count = text.trim() === "" ? 1 : parseCount(text.trim(), place);
    return { place, count, vars: [], items: null };
  }
  const { left = "", word = "", kind, slice, rest = "" } = match.groups!;
  const [, number, names] = /^\s*(\d+|\([^)]*\))?\s*([\s\S]*)$/.exec(left)!;
  const count = number === undefined ? 1 : parseCount(number, place);
  const vars = splitWords(names!);
  for (const name of vars) {
    if (!/^[A-Za-z_]\w*$/.test(name)) {
      throw new SubmitError(`'${name}' is no name of a variable`, place);
    }
  }
  const keyword = word.toLowerCase();
  if (kind !== undefined && keyword !== "matching") {
    throw new SubmitError(`'${kind}' is allowed only after the keyword matching`, place);
  }
  if (keyword !== "from" && vars.length > 1) {
    throw new SubmitError(`queue ... ${keyword} has one variable`, place, "use from for several");
  }
  let items: string[];
  if (keyword === "matching") {
    const wanted = (kind?.toLowerCase() ?? "files") as "files" | "dirs" | "any";
    const patterns = splitWords(rest.replace(/^\(([\s\S]*)\)\s*$/, "$1"));
    if (patterns.length === 0) throw new SubmitError("matching needs a pattern", place);
    items = [...new Set(patterns.flatMap((pattern) => world.match(pattern, wanted)))];
  } else items = keyword === "in" ? itemsOfIn(rest, input) : itemsOfFrom(rest, input);
  items = applySlice(items, slice, place);
  if (items.length > input.maxItems) {
    throw new SubmitError(`${items.length} items; at most ${input.maxItems}`, place);
  }
  return { place, count, vars: vars.length === 0 ? ["Item"] : vars, items };
}

function itemsOfIn(rest: string, { list, place }: QueueInput): string[] {
  const inner = /^\(([\s\S]*)\)\s*$/.exec(rest.trim())?.[1];
  if (list !== null) return splitWords([rest.trim().replace(/^\(/, ""), ...list].join("\n"));
  const items = splitWords(inner ?? rest);
  if (inner === undefined && items.length === 0) {
    throw new SubmitError("queue ... in needs a list", place, "write queue x in (a, b)");
  }
  return items;
}

function itemsOfFrom(rest: string, { list, place, host: world }: QueueInput): string[] {
  const source = rest.trim();
  if (list !== null) return splitRows([source.replace(/^\(/, ""), ...list].join("\n"));
  const inner = /^\(([\s\S]*)\)$/.exec(source)?.[1];
  if (inner !== undefined) return splitRows(inner);
  if (source === "") throw new SubmitError("queue ... from needs a file or a list", place);
  if (source.endsWith("|")) {
    throw new SubmitError(
      "a queue from a command's output would run the command here",
      place,
      "run it yourself and queue from its file",
    );
  }
  let text: string;
  try {
    text = new TextDecoder("utf-8", { fatal: true }).decode(world.read(source));
  } catch (error) {
    const why = error instanceof TypeError ? "not UTF-8" : "cannot be read";
    throw new SubmitError(`queue from ${source}: ${why}`, place);
  }
  return splitRows(text);
}

/** Splits an item into values of the variables; the last variable gets the rest. */
export function splitItem(vars: readonly string[], item: string): [string, string][] {
  if (vars.length === 1) return [[vars[0]!, item]];
  const out: [string, string][] = [];
  let rest = item;
  for (const [i, name] of vars.entries()) {
    if (i === vars.length - 1) {
      out.push([name, rest.trim()]);
      break;
    }
    const match = /^\s*([^,\s]*)(?:\s*,\s*|\s+|$)/.exec(rest)!;
    out.push([name, match[1]!]);
    rest = rest.slice(match[0].length);
  }
  return out;
}
