import { callFunction, FUNCTION_NAME, splitArguments } from "./functions.js";
import type { HostEnvironment } from "./host-environment.js";
import { closestWord, type Place, SubmitError } from "./text.js";

/** A text with the position of each of its characters in a file. */
export interface LocatedText {
  text: string;
  at(offset: number): Place;
}

/** Bounds on nested macros and on the length of an expanded value. */
const MAX_MACRO_DEPTH = 32;
const MAX_VALUE_LENGTH = 65_536;

/** Placeholder for a proc's number in texts that differ between procs only in that number. */
export const PROC_ID_MACRO = "$(ProcId)";

/** Thrown if a value depends on the proc's number in another way than by containing it. */
export class NeedsProcId extends Error {}

export interface Scope {
  /**
   * The value of a name in lower case. Variables of a queue statement hide settings of the file.
   */
  get(name: string): LocatedText | string | null;
  names(): Iterable<string>;
  host: HostEnvironment;
  /** Variables of the environment that `$ENV` may read. */
  environment: ReadonlySet<string>;
  /** Whether `$(ProcId)` is left unexpanded. */
  keepProcId: boolean;
}

/** Index of the bracket that closes the one before `from`, or -1. */
function closingBracket(text: string, from: number): number {
  let open = 1;
  for (let i = from; i < text.length; i++) {
    if (text[i] === "(") open++;
    else if (text[i] === ")" && --open === 0) return i;
  }
  return -1;
}

/**
 * Expands `$(name)`, `$(name:default)` and `$FUNCTION(...)`.
 * @throws SubmitError for a name that nothing sets, and if a bound is exceeded
 */
export function expand(written: LocatedText, scope: Scope): string {
  return new MacroExpansion(scope).run(written.text, written.at, 0);
}

class MacroExpansion {
  #expandedLength = 0;

  constructor(readonly scope: Scope) {}

  run(text: string, at: (offset: number) => Place, depth: number): string {
    if (depth > MAX_MACRO_DEPTH) {
      throw new SubmitError(`macros refer to macros more than ${MAX_MACRO_DEPTH} deep`, at(0));
    }
    let out = "";
    let from = 0;
    for (;;) {
      const dollar = text.indexOf("$", from);
      if (dollar < 0) break;
      out += text.slice(from, dollar);
      const place = at(dollar);
      if (/^\$\$(\(|\[)/.test(text.slice(dollar, dollar + 3))) {
        throw new SubmitError(
          "$$(...) is filled in by the machine that runs a job, which nothing here does",
          place,
          "write the value, or match on the attribute in requirements",
        );
      }
      const call = /^\$([A-Za-z_]*)\(/.exec(text.slice(dollar, dollar + 32));
      if (call === null) {
        out += "$";
        from = dollar + 1;
        continue;
      }
      const open = dollar + call[0].length;
      const end = closingBracket(text, open);
      if (end < 0) throw new SubmitError("this bracket is not closed", at(open - 1));
      const inner = text.slice(open, end);
      const word = call[1]!;
      const inside = (offset: number): Place => at(open + offset);
      out +=
        word === ""
          ? this.#macro(inner, inside, place, depth)
          : this.#call(word, inner, inside, place, depth);
      this.#expandedLength += out.length;
      if (out.length > MAX_VALUE_LENGTH || this.#expandedLength > 64 * MAX_VALUE_LENGTH) {
        throw new SubmitError(`a value longer than ${MAX_VALUE_LENGTH} characters`, place);
      }
      from = end + 1;
    }
    return out + text.slice(from);
  }

  #macro(inner: string, at: (offset: number) => Place, place: Place, depth: number): string {
    const colon = inner.indexOf(":");
    const name = this.run(colon < 0 ? inner : inner.slice(0, colon), at, depth + 1).trim();
    const value = this.#value(name, place, depth);
    if (value !== null) return value;
    if (colon >= 0) {
      return this.run(inner.slice(colon + 1), (offset) => at(colon + 1 + offset), depth + 1);
    }
    const meant = closestWord(name.toLowerCase(), this.scope.names());
    throw new SubmitError(
      `nothing sets $(${name})`,
      place,
      meant === null ? `write $(${name}:) for nothing` : `is $(${meant}) meant?`,
    );
  }

  #value(name: string, place: Place, depth: number): string | null {
    const key = name.toLowerCase();
    if (key === "dollar") return "$";
    if (this.scope.keepProcId && (key === "procid" || key === "process")) return PROC_ID_MACRO;
    const found = this.scope.get(key);
    if (found === null || typeof found === "string") return found;
    // Errors inside the value are reported at the position of the outermost use.
    return this.run(found.text, () => place, depth + 1);
  }

  #call(
    word: string,
    inner: string,
    at: (offset: number) => Place,
    place: Place,
    depth: number,
  ): string {
    if (!FUNCTION_NAME.test(word)) {
      throw new SubmitError(
        `no macro function $${word}`,
        place,
        "docs/submit.md lists those there are",
      );
    }
    const args = splitArguments(inner);
    const result = callFunction(word, args, {
      value: (name) => {
        const value = this.#value(name, place, depth);
        if (value?.includes(PROC_ID_MACRO) === true && this.scope.keepProcId)
          throw new NeedsProcId();
        return value;
      },
      expand: (text) => {
        const value = this.run(text, at, depth + 1);
        if (this.scope.keepProcId && value.includes(PROC_ID_MACRO)) throw new NeedsProcId();
        return value;
      },
      environment: (name) => {
        if (!this.scope.environment.has(name)) {
          throw new SubmitError(
            `$ENV(${name}) is not allowed`,
            place,
            `name it: submit --env ${name}`,
          );
        }
        return this.scope.host.env(name) ?? null;
      },
      random: () => this.scope.host.random(),
      fullPath: (path) => this.scope.host.resolve(path),
    });
    if (typeof result === "string") return result;
    throw new SubmitError(result.reason, place);
  }
}

/** Names that a text refers to, in lower case. */
export function referencedNames(text: string): string[] {
  const names: string[] = [];
  for (const [, word = "", inner = ""] of text.matchAll(/\$([A-Za-z_]*)\(\s*([^)]*)/g)) {
    const parts = word === "" ? [inner.split(":")[0]!] : inner.split(/[,:]/);
    for (const part of parts) names.push(part.trim().toLowerCase());
  }
  // `if defined name` refers to the name too.
  for (const [, name] of text.matchAll(/\bdefined\s+([A-Za-z_]\w*)/gi))
    names.push(name!.toLowerCase());
  return names;
}
