import { isNumber } from "../../classad/index.js";
import { evaluateConstant } from "../file/functions.js";
import type { Value } from "../file/read.js";
import { SubmitError } from "../file/text.js";

const UNIT_BYTES: Record<string, number> = { b: 1, k: 2 ** 10, m: 2 ** 20, g: 2 ** 30, t: 2 ** 40 };
const SIZE = /^([+]?(?:\d+(?:\.\d*)?|\.\d+))\s*([bkmgt])(?:i?b)?$/i;

/** Parses a number or a constant numeric expression of at least `least`. @throws SubmitError */
export function parseNumber({ text, place }: Value, name: string, least: number): number {
  const value = evaluateConstant(text);
  if (!isNumber(value as never)) {
    const why = typeof value === "object" && "reason" in value ? value.reason : `'${text}'`;
    throw new SubmitError(`${name}: not a number: ${why}`, place, "the value has to be a constant");
  }
  const number = Number(value);
  if (!Number.isFinite(number) || number < least) {
    throw new SubmitError(`${name}: at least ${least}`, place);
  }
  return number;
}

export function parseInteger(value: Value, name: string, least: number): number {
  const number = parseNumber(value, name, least);
  if (!Number.isInteger(number)) throw new SubmitError(`${name}: a whole number`, value.place);
  return number;
}

/**
 * Parses a size in bytes. A number without a unit counts `unit` bytes; units are powers of 1024.
 */
export function parseBytes(value: Value, name: string, unit: number): number {
  const match = SIZE.exec(value.text);
  if (match !== null) return Number(match[1]) * UNIT_BYTES[match[2]!.toLowerCase()]!;
  return parseNumber(value, name, 0) * unit;
}

/** @throws SubmitError for a value that is neither true nor false */
export function parseBoolean({ text, place }: Value, name: string): boolean {
  if (/^(yes|y|t)$/i.test(text)) return true;
  if (/^(no|n|f)$/i.test(text)) return false;
  const value = evaluateConstant(text);
  if (typeof value === "boolean") return value;
  if (typeof value === "bigint") return value !== 0n;
  throw new SubmitError(`${name}: neither True nor False: '${text}'`, place);
}

/**
 * Parses HTCondor's arguments: words split at blanks with `\"` for a quote, or the newer form in
 * double quotes.
 */
export function parseArguments({ text, place }: Value): string[] {
  if (!text.startsWith('"')) {
    if (text.includes('"') && !text.includes('\\"')) {
      throw new SubmitError(
        "arguments: a quote inside",
        place,
        "put all of it in quotes: \"a 'b c'\"",
      );
    }
    return text
      .replaceAll('\\"', '"')
      .split(/\s+/)
      .filter((word) => word !== "");
  }
  return parseQuotedWords(text, "arguments", place);
}

/**
 * Splits HTCondor's newer form: all in double quotes, words with blanks in single quotes, a quote is
 * written doubled.
 */
function parseQuotedWords(text: string, name: string, place: Value["place"]): string[] {
  if (text.length < 2 || !text.endsWith('"')) {
    throw new SubmitError(`${name}: the quote at its beginning is not closed`, place);
  }
  const body = text.slice(1, -1).replaceAll('""', "\u0000");
  if (body.includes('"')) {
    throw new SubmitError(`${name}: a quote inside quotes`, place, 'write "" for one quote');
  }
  const out: string[] = [];
  let word: string | null = null;
  let quoted = false;
  for (let i = 0; i < body.length; i++) {
    const c = body[i]!;
    if (c === "'") {
      if (quoted && body[i + 1] === "'") {
        word = `${word ?? ""}'`;
        i++;
      } else {
        quoted = !quoted;
        word ??= "";
      }
    } else if (!quoted && /\s/.test(c)) {
      if (word !== null) out.push(word);
      word = null;
    } else word = (word ?? "") + c;
  }
  if (quoted) throw new SubmitError(`${name}: a single quote is not closed`, place);
  if (word !== null) out.push(word);
  return out.map((one) => one.replaceAll("\u0000", '"'));
}

/** `"A=1 B='x y'"`, or the older `A=1;B=2`. */
export function parseEnvironment({ text, place }: Value): Record<string, string> {
  const pairs = text.startsWith('"')
    ? parseQuotedWords(text, "environment", place)
    : text.split(";").map((pair) => pair.trim());
  const out: Record<string, string> = {};
  for (const pair of pairs) {
    if (pair === "") continue;
    const at = pair.indexOf("=");
    if (at <= 0) {
      throw new SubmitError(`environment: '${pair}' is not NAME=value`, place);
    }
    out[pair.slice(0, at).trim()] = pair.slice(at + 1);
  }
  return out;
}
