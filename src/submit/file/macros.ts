import { callFunction, FUNCTION, splitArguments } from "./functions.js";
import { nearest, type Place, SubmitError } from "./text.js";
import type { FileWorld } from "./world.js";

/** A value with the place of each of its characters. */
export interface Written {
  text: string;
  at(offset: number): Place;
}

/** Macros refer to macros at most this deep; text may become this long. */
const DEEPEST = 32;
const LONGEST = 65_536;

/** Stands for the number of a proc in text that is the same for all of them but for that. */
export const PROC = "$(ProcId)";

/** A value depends on the number of the proc in another way than by containing it. */
export class NotAlike extends Error {}

export interface Scope {
  /** Names in lower case. What a queue statement sets hides what the file sets. */
  get(name: string): Written | string | null;
  names(): Iterable<string>;
  world: FileWorld;
  /** Variables of the environment that `$ENV` may read. */
  environment: ReadonlySet<string>;
  /** Whether `$(ProcId)` stays as it is. */
  alike: boolean;
}

/** The bracket that closes the one before `from`, or -1. */
function closing(text: string, from: number): number {
  let open = 1;
  for (let i = from; i < text.length; i++) {
    if (text[i] === "(") open++;
    else if (text[i] === ")" && --open === 0) return i;
  }
  return -1;
}

/**
 * Replaces `$(name)`, `$(name:default)` and `$FUNCTION(...)`.
 * @throws SubmitError for a name that nothing sets, and where a bound is reached
 */
export function expand(written: Written, scope: Scope): string {
  return new Expansion(scope).run(written.text, written.at, 0);
}

class Expansion {
  #made = 0;

  constructor(readonly scope: Scope) {}

  run(text: string, at: (offset: number) => Place, depth: number): string {
    if (depth > DEEPEST) {
      throw new SubmitError(`macros refer to macros more than ${DEEPEST} deep`, at(0));
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
      const end = closing(text, open);
      if (end < 0) throw new SubmitError("this bracket is not closed", at(open - 1));
      const inner = text.slice(open, end);
      const word = call[1]!;
      const inside = (offset: number): Place => at(open + offset);
      out +=
        word === ""
          ? this.#macro(inner, inside, place, depth)
          : this.#call(word, inner, inside, place, depth);
      this.#made += out.length;
      if (out.length > LONGEST || this.#made > 64 * LONGEST) {
        throw new SubmitError(`a value longer than ${LONGEST} characters`, place);
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
    const meant = nearest(name.toLowerCase(), this.scope.names());
    throw new SubmitError(
      `nothing sets $(${name})`,
      place,
      meant === null ? `write $(${name}:) for nothing` : `is $(${meant}) meant?`,
    );
  }

  #value(name: string, place: Place, depth: number): string | null {
    const key = name.toLowerCase();
    if (key === "dollar") return "$";
    if (this.scope.alike && (key === "procid" || key === "process")) return PROC;
    const found = this.scope.get(key);
    if (found === null || typeof found === "string") return found;
    // What goes wrong inside is told at the outermost use.
    return this.run(found.text, () => place, depth + 1);
  }

  #call(
    word: string,
    inner: string,
    at: (offset: number) => Place,
    place: Place,
    depth: number,
  ): string {
    if (!FUNCTION.test(word)) {
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
        if (value?.includes(PROC) === true && this.scope.alike) throw new NotAlike();
        return value;
      },
      expand: (text) => {
        const value = this.run(text, at, depth + 1);
        if (this.scope.alike && value.includes(PROC)) throw new NotAlike();
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
        return this.scope.world.env(name) ?? null;
      },
      random: () => this.scope.world.random(),
      fullPath: (path) => this.scope.world.resolve(path),
    });
    if (typeof result === "string") return result;
    throw new SubmitError(result.reason, place);
  }
}

/** Names that a text refers to, in lower case. */
export function referred(text: string): string[] {
  const names: string[] = [];
  for (const [, word = "", inner = ""] of text.matchAll(/\$([A-Za-z_]*)\(\s*([^)]*)/g)) {
    const parts = word === "" ? [inner.split(":")[0]!] : inner.split(/[,:]/);
    for (const part of parts) names.push(part.trim().toLowerCase());
  }
  // `if defined name` uses it as well.
  for (const [, name] of text.matchAll(/\bdefined\s+([A-Za-z_]\w*)/gi))
    names.push(name!.toLowerCase());
  return names;
}
