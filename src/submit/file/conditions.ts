import { constantOf } from "./functions.js";
import { type Place, SubmitError } from "./text.js";

/** The version of HTCondor whose file language is spoken: what `if version` compares with. */
export const LANGUAGE = [23, 0, 0] as const;

function versionHolds(op: string, text: string, place: Place): boolean {
  const parts = text.split(".").map(Number);
  if (parts.length > 3 || parts.some((part) => !Number.isInteger(part))) {
    throw new SubmitError(`'${text}' is no version`, place);
  }
  let order = 0;
  // A part that is not there is not compared: 8.9 stands for all of 8.9.
  for (const [i, part] of parts.entries()) {
    order = Math.sign(LANGUAGE[i]! - part);
    if (order !== 0) break;
  }
  switch (op) {
    case "==":
      return order === 0;
    case "!=":
      return order !== 0;
    case "<":
      return order < 0;
    case "<=":
      return order <= 0;
    case ">":
      return order > 0;
    default:
      return order >= 0;
  }
}

/** @throws SubmitError for what is neither true nor false */
export function holds(
  condition: string,
  defined: (name: string) => boolean,
  expand: (text: string) => string,
  place: Place,
): boolean {
  const text = condition.trim();
  const not = /^!\s*([\s\S]*)$/.exec(text);
  if (not !== null && !not[1]!.startsWith("=")) return !holds(not[1]!, defined, expand, place);
  const name = /^defined\s+(\S+)$/i.exec(text);
  if (name !== null) {
    const asked = expand(name[1]!);
    return asked !== "" && defined(asked.toLowerCase());
  }
  const version = /^version\s*(==|!=|<=|>=|<|>)?\s*(\S+)$/i.exec(text);
  if (version !== null) return versionHolds(version[1] ?? ">=", expand(version[2]!), place);
  const value = expand(text).trim();
  if (/^(yes|y|t)$/i.test(value)) return true;
  if (/^(no|n|f)$/i.test(value)) return false;
  const result = value === "" ? false : constantOf(value);
  if (typeof result === "boolean") return result;
  if (typeof result === "bigint") return result !== 0n;
  if (typeof result === "number") return result !== 0;
  throw new SubmitError(`'${value}' is neither true nor false`, place);
}
