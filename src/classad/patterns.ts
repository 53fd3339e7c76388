import { RE2JS } from "re2js";
import type { Limits } from "./limits.js";
import { Failure } from "./values.js";

const KEPT = 256;

/** HTCondor's options that the matcher has: case, lines, dots, the whole text. */
const FLAGS: Record<string, number> = {
  i: RE2JS.CASE_INSENSITIVE,
  m: RE2JS.MULTILINE,
  s: RE2JS.DOTALL,
  f: 0,
  g: 0,
};

/** Counted repeats multiply: `(a{100}){100}` would be ten thousand copies. */
function copies(pattern: string): number {
  let most = 1;
  for (const [, low, high] of pattern.matchAll(/\{(\d{1,9})(?:,(\d{0,9}))?\}/g)) {
    most *= Math.max(1, Number(low), Number(high === undefined || high === "" ? 0 : high));
    if (most > 1e9) break;
  }
  return most;
}

/**
 * Regular expressions of a kind whose matching takes time in proportion to the text: no
 * back-references, no looking round. A pattern built to blow up is a pattern like any other here.
 */
export class Patterns {
  static readonly #shared = new Map<Limits, Patterns>();
  readonly #kept = new Map<string, RE2JS | Failure>();

  constructor(readonly limits: Limits) {}

  /** One set of compiled patterns for all evaluations with the same limits. */
  static shared(limits: Limits): Patterns {
    let known = Patterns.#shared.get(limits);
    if (known === undefined) {
      if (Patterns.#shared.size > 8) Patterns.#shared.clear();
      known = new Patterns(limits);
      Patterns.#shared.set(limits, known);
    }
    return known;
  }

  get(pattern: string, options: string): RE2JS | Failure {
    const key = `${options}/${pattern}`;
    let known = this.#kept.get(key);
    if (known === undefined) {
      known = this.#compile(pattern, options);
      if (this.#kept.size >= KEPT) this.#kept.delete(this.#kept.keys().next().value!);
      this.#kept.set(key, known);
    }
    return known;
  }

  #compile(pattern: string, options: string): RE2JS | Failure {
    const { pattern: length, program } = this.limits;
    if (pattern.length > length) return new Failure(`a pattern of over ${length} characters`);
    let flags = 0;
    for (const option of options.toLowerCase()) {
      const flag = FLAGS[option];
      if (flag === undefined) return new Failure(`'${option}' is no option of a pattern here`);
      flags |= flag;
    }
    // Before it is compiled: compiling is what a repeat of repeats makes dear, by what it repeats.
    // Ten times what the program may have leaves room for text that is outside the repeats.
    if (copies(pattern) * pattern.length > 10 * program)
      return new Failure("a pattern with too many repeats");
    try {
      const compiled = RE2JS.compile(pattern, flags);
      if (compiled.programSize() > program) return new Failure("a pattern that is too large");
      return compiled;
    } catch (error) {
      return new Failure(`pattern: ${(error as Error).message}`);
    }
  }
}
