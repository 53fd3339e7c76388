import { evaluateConstant } from "./functions.js";
import { type Place, SubmitError } from "./text.js";

/** The HTCondor version whose file language is implemented; `if version` compares with it. */
export const LANGUAGE_VERSION = [23, 0, 0] as const;

function matchesVersion(op: string, text: string, place: Place): boolean {
  const parts = text.split(".").map(Number);
  if (parts.length > 3 || parts.some((part) => !Number.isInteger(part))) {
    throw new SubmitError(`'${text}' is no version`, place);
  }
  let order = 0;
  // Missing parts are not compared: 8.9 stands for all versions 8.9.x.
  for (const [i, part] of parts.entries()) {
    order = Math.sign(LANGUAGE_VERSION[i]! - part);
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

/**
 * Evaluates the condition of an `if` or `elif`.
 * @throws SubmitError if it is neither true nor false
 */
export function evaluateCondition(
  condition: string,
  defined: (name: string) => boolean,
  expand: (text: string) => string,
  place: Place,
): boolean {
  const text = condition.trim();
  if (text === "") throw new SubmitError("a condition is missing", place);
  const not = /^!\s*([\s\S]*)$/.exec(text);
  if (not !== null && !not[1]!.startsWith("="))
    return !evaluateCondition(not[1]!, defined, expand, place);
  const name = /^defined\s+(\S+)$/i.exec(text);
  if (name !== null) {
    const expandedName = expand(name[1]!);
    return expandedName !== "" && defined(expandedName.toLowerCase());
  }
  const version = /^version\s*(==|!=|<=|>=|<|>)?\s*(\S+)$/i.exec(text);
  if (version !== null) return matchesVersion(version[1] ?? ">=", expand(version[2]!), place);
  const value = expand(text).trim();
  if (/^(yes|y|t)$/i.test(value)) return true;
  if (/^(no|n|f)$/i.test(value)) return false;
  const result = value === "" ? false : evaluateConstant(value);
  if (typeof result === "boolean") return result;
  if (typeof result === "bigint") return result !== 0n;
  if (typeof result === "number") return result !== 0;
  throw new SubmitError(`'${value}' is neither true nor false`, place);
}

interface ConditionBlock {
  /** Whether the current branch is active, one so far was, and the enclosing block is. */
  active: boolean;
  anyTaken: boolean;
  outerActive: boolean;
  /** Whether its `else` has been read. */
  elseSeen: boolean;
  place: Place;
}

/** The stack of `if` blocks that are open at a line of a file. */
export class ConditionStack {
  readonly #open: ConditionBlock[] = [];

  /** Whether the current line is in active branches only. */
  get active(): boolean {
    return this.#open.at(-1)?.active ?? true;
  }

  /**
   * Processes `if`, `elif`, `else` or `endif`. `test` is called only if its result matters.
   * @throws SubmitError
   */
  control(word: string, place: Place, test: () => boolean): void {
    if (word === "if") {
      const outer = this.active;
      const is = outer && test();
      this.#open.push({ active: is, anyTaken: is, outerActive: outer, elseSeen: false, place });
      return;
    }
    const top = this.#open.at(-1);
    if (top === undefined) throw new SubmitError(`${word} without if`, place);
    if (word === "endif") {
      this.#open.pop();
      return;
    }
    if (top.elseSeen) throw new SubmitError(`${word} after else`, place);
    if (word === "else") top.elseSeen = true;
    const is = top.outerActive && !top.anyTaken && (word === "else" || test());
    top.active = is;
    top.anyTaken ||= is;
  }

  /** Checks at the end of the file that every `if` has its `endif`. @throws SubmitError */
  end(): void {
    const left = this.#open.at(-1);
    if (left !== undefined) throw new SubmitError("this if has no endif", left.place);
  }
}
