import type { RE2JS } from "re2js";
import type { Evaluation } from "../evaluation.js";
import { Failure, isList, typeOf, type Value } from "../values.js";
import type { BuiltinFunction } from "./index.js";
import { checkStringSize, splitItems, stringFunction } from "./strings.js";

/** Counts a match: its cost is proportional to the text and to the size of the compiled pattern. */
function chargeMatch(evaluation: Evaluation, compiled: RE2JS, text: string): void {
  evaluation.chargeSteps(1 + ((text.length * (1 + (compiled.programSize() >> 4))) >> 5));
}

/** Fills in a substitution: `\1` or `$1` stands for a group, `\0` for the whole match. */
const fillGroups = (text: string, groups: readonly (string | null)[]): string =>
  text.replace(/[\\$](\d)/g, (_, digit: string) => groups[Number(digit)] ?? "");

function matches(evaluation: Evaluation, pattern: string, text: string, options: string): Value {
  const compiled = evaluation.patterns.get(pattern, options);
  if (compiled instanceof Failure) return compiled;
  chargeMatch(evaluation, compiled, text);
  const matcher = compiled.matcher(text);
  return /f/i.test(options) ? matcher.matches() : matcher.find();
}

function firstMatchGroups(
  evaluation: Evaluation,
  pattern: string,
  text: string,
  options: string,
): (string | null)[] | null | Failure {
  const compiled = evaluation.patterns.get(pattern, options);
  if (compiled instanceof Failure) return compiled;
  chargeMatch(evaluation, compiled, text);
  const matcher = compiled.matcher(text);
  if (!(/f/i.test(options) ? matcher.matches() : matcher.find())) return null;
  return Array.from({ length: matcher.groupCount() + 1 }, (_, i) => matcher.group(i));
}

/** A function that replaces the first match, or every match, in a text. */
const replaceFunction = (all: boolean): BuiltinFunction =>
  stringFunction(3, 4, ([pattern, text, by, options = ""], evaluation) => {
    const compiled = evaluation.patterns.get(pattern!, options);
    if (compiled instanceof Failure) return compiled;
    chargeMatch(evaluation, compiled, text!);
    const matcher = compiled.matcher(text!);
    let out = "";
    let from = 0;
    while (matcher.find()) {
      const groups = Array.from({ length: matcher.groupCount() + 1 }, (_, i) => matcher.group(i));
      out += text!.slice(from, matcher.start()) + fillGroups(by!, groups);
      evaluation.chargeText(by!.length);
      if (out.length > evaluation.limits.resultSize) break;
      from = matcher.end();
      if (!all) break;
    }
    return checkStringSize(out + text!.slice(from), evaluation);
  });

export const patterns: Record<string, BuiltinFunction> = {
  regexp: stringFunction(2, 3, ([pattern, text, options = ""], evaluation) =>
    matches(evaluation, pattern!, text!, options),
  ),
  /** The substitution, filled in from the first match; an empty string if there is no match. */
  regexps: stringFunction(3, 4, ([pattern, text, by, options = ""], evaluation) => {
    const groups = firstMatchGroups(evaluation, pattern!, text!, options);
    if (groups instanceof Failure) return groups;
    return groups === null ? "" : checkStringSize(fillGroups(by!, groups), evaluation);
  }),
  replace: replaceFunction(false),
  replaceAll: replaceFunction(true),
  /** Whether the pattern matches any string of a list. */
  regexpMember: {
    min: 2,
    max: 3,
    strict: true,
    run: ([pattern, list, options = ""], evaluation) => {
      if (typeof pattern !== "string" || typeof options !== "string" || !isList(list!)) {
        return new Failure("regexpMember needs a pattern, a list and options as a string");
      }
      for (const item of list) {
        if (typeof item !== "string")
          return new Failure(`expected a list of strings, found an item of type ${typeOf(item)}`);
        const hit = matches(evaluation, pattern, item, options);
        if (hit !== false) return hit;
      }
      return false;
    },
  },
  stringList_regexpMember: stringFunction(
    2,
    4,
    ([pattern, list, separators, options = ""], evaluation) => {
      for (const piece of splitItems(list!, separators)) {
        const hit = matches(evaluation, pattern!, piece, options);
        if (hit !== false) return hit;
      }
      return false;
    },
  ),
};
