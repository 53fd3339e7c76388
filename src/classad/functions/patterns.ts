import type { RE2JS } from "re2js";
import type { Run } from "../run.js";
import { Failure, isList, typeOf, type Value } from "../values.js";
import type { Fn } from "./index.js";
import { made, ofText, pieces } from "./strings.js";

/** Linear in the text, times what the pattern compiles to. */
function charge(run: Run, compiled: RE2JS, text: string): void {
  run.spend(1 + ((text.length * (1 + (compiled.programSize() >> 4))) >> 5));
}

/** `\1` or `$1` in a substitution stands for a group, `\0` for the whole match. */
const filled = (text: string, groups: readonly (string | null)[]): string =>
  text.replace(/[\\$](\d)/g, (_, digit: string) => groups[Number(digit)] ?? "");

function matches(run: Run, pattern: string, text: string, options: string): Value {
  const compiled = run.patterns.get(pattern, options);
  if (compiled instanceof Failure) return compiled;
  charge(run, compiled, text);
  const matcher = compiled.matcher(text);
  return /f/i.test(options) ? matcher.matches() : matcher.find();
}

function groupsOf(
  run: Run,
  pattern: string,
  text: string,
  options: string,
): (string | null)[] | null | Failure {
  const compiled = run.patterns.get(pattern, options);
  if (compiled instanceof Failure) return compiled;
  charge(run, compiled, text);
  const matcher = compiled.matcher(text);
  if (!(/f/i.test(options) ? matcher.matches() : matcher.find())) return null;
  return Array.from({ length: matcher.groupCount() + 1 }, (_, i) => matcher.group(i));
}

/** The text with the first match, or every match, replaced. */
const replacing = (all: boolean): Fn =>
  ofText(3, 4, ([pattern, text, by, options = ""], run) => {
    const compiled = run.patterns.get(pattern!, options);
    if (compiled instanceof Failure) return compiled;
    charge(run, compiled, text!);
    const matcher = compiled.matcher(text!);
    let out = "";
    let from = 0;
    while (matcher.find()) {
      const groups = Array.from({ length: matcher.groupCount() + 1 }, (_, i) => matcher.group(i));
      out += text!.slice(from, matcher.start()) + filled(by!, groups);
      run.spendText(by!.length);
      if (out.length > run.limits.size) break;
      from = matcher.end();
      if (!all) break;
    }
    return made(out + text!.slice(from), run);
  });

export const patterns: Record<string, Fn> = {
  regexp: ofText(2, 3, ([pattern, text, options = ""], run) =>
    matches(run, pattern!, text!, options),
  ),
  /** The substitution filled from the first match; empty when there is none. */
  regexps: ofText(3, 4, ([pattern, text, by, options = ""], run) => {
    const groups = groupsOf(run, pattern!, text!, options);
    if (groups instanceof Failure) return groups;
    return groups === null ? "" : made(filled(by!, groups), run);
  }),
  replace: replacing(false),
  replaceAll: replacing(true),
  /** Whether the pattern matches any text of a list. */
  regexpMember: {
    min: 2,
    max: 3,
    strict: true,
    run: ([pattern, list, options = ""], run) => {
      if (typeof pattern !== "string" || typeof options !== "string" || !isList(list!)) {
        return new Failure("regexpMember needs a pattern and a list");
      }
      for (const item of list) {
        if (typeof item !== "string") return new Failure(`a list of texts holds ${typeOf(item)}`);
        const hit = matches(run, pattern, item, options);
        if (hit !== false) return hit;
      }
      return false;
    },
  },
  stringList_regexpMember: ofText(2, 4, ([pattern, list, separators, options = ""], run) => {
    for (const piece of pieces(list!, separators)) {
      const hit = matches(run, pattern!, piece, options);
      if (hit !== false) return hit;
    }
    return false;
  }),
};
