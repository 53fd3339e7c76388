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
  if (text === "") throw new SubmitError("a condition is missing", place);
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

interface Branch {
  /** Whether this branch counts, whether one before it did, and whether what is round it does. */
  active: boolean;
  taken: boolean;
  outer: boolean;
  /** Its else has come. */
  last: boolean;
  place: Place;
}

/** The conditions that are open at a line of a file. */
export class Branches {
  readonly #open: Branch[] = [];

  /** Whether what stands here counts. */
  get active(): boolean {
    return this.#open.at(-1)?.active ?? true;
  }

  /** `if`, `elif`, `else` or `endif`; `test` is asked only where it decides. @throws SubmitError */
  control(word: string, place: Place, test: () => boolean): void {
    if (word === "if") {
      const outer = this.active;
      const is = outer && test();
      this.#open.push({ active: is, taken: is, outer, last: false, place });
      return;
    }
    const top = this.#open.at(-1);
    if (top === undefined) throw new SubmitError(`${word} without if`, place);
    if (word === "endif") {
      this.#open.pop();
      return;
    }
    if (top.last) throw new SubmitError(`${word} after else`, place);
    if (word === "else") top.last = true;
    const is = top.outer && !top.taken && (word === "else" || test());
    top.active = is;
    top.taken ||= is;
  }

  /** At the end of the file. */
  end(): void {
    const left = this.#open.at(-1);
    if (left !== undefined) throw new SubmitError("this if has no endif", left.place);
  }
}
