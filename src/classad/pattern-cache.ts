import { RE2JS } from "re2js";
import type { Limits } from "./limits.js";
import { Failure } from "./values.js";

const MAX_CACHED_PATTERNS = 256;

/**
 * HTCondor's pattern options as flags of the regular-expression library: ignore case, multi-line,
 * dot matches newline. `f` (match the full text) and `g` set no flag.
 */
const OPTION_FLAGS: Record<string, number> = {
  i: RE2JS.CASE_INSENSITIVE,
  m: RE2JS.MULTILINE,
  s: RE2JS.DOTALL,
  f: 0,
  g: 0,
};

/**
 * Product of all counted repeats: nested ones multiply, so `(a{100}){100}` is 10,000 copies of `a`.
 */
function repeatFactor(pattern: string): number {
  let factor = 1;
  for (const [, low, high] of pattern.matchAll(/\{(\d{1,9})(?:,(\d{0,9}))?\}/g)) {
    factor *= Math.max(1, Number(low), Number(high === undefined || high === "" ? 0 : high));
    if (factor > 1e9) break;
  }
  return factor;
}

/**
 * Compiles and caches regular expressions. RE2JS matches in time linear in the text and
 * therefore has no back-references and no look-around. Patterns that take exponential time in
 * backtracking libraries are safe.
 */
export class PatternCache {
  static readonly #byLimits = new Map<Limits, PatternCache>();
  readonly #compiled = new Map<string, RE2JS | Failure>();

  constructor(readonly limits: Limits) {}

  /** The cache that all evaluations with the same limits share. */
  static forLimits(limits: Limits): PatternCache {
    let cache = PatternCache.#byLimits.get(limits);
    if (cache === undefined) {
      if (PatternCache.#byLimits.size > 8) PatternCache.#byLimits.clear();
      cache = new PatternCache(limits);
      PatternCache.#byLimits.set(limits, cache);
    }
    return cache;
  }

  get(pattern: string, options: string): RE2JS | Failure {
    const key = `${options}/${pattern}`;
    let compiled = this.#compiled.get(key);
    if (compiled === undefined) {
      compiled = this.#compile(pattern, options);
      if (this.#compiled.size >= MAX_CACHED_PATTERNS)
        this.#compiled.delete(this.#compiled.keys().next().value!);
      this.#compiled.set(key, compiled);
    }
    return compiled;
  }

  #compile(pattern: string, options: string): RE2JS | Failure {
    const { patternLength: length, patternInstructions: program } = this.limits;
    if (pattern.length > length) return new Failure(`pattern is longer than ${length} characters`);
    let flags = 0;
    for (const option of options.toLowerCase()) {
      const flag = OPTION_FLAGS[option];
      if (flag === undefined) return new Failure(`'${option}' is not a supported pattern option`);
      flags |= flag;
    }
    // Checked before compilation, because nested repeats make the compilation itself expensive, in
    // proportion to what they repeat. The factor of 10 over the limit on instructions allows for
    // pattern text outside the repeats.
    if (repeatFactor(pattern) * pattern.length > 10 * program)
      return new Failure("pattern has too many nested repeats");
    try {
      const compiled = RE2JS.compile(pattern, flags);
      if (compiled.programSize() > program)
        return new Failure("pattern compiles to too many instructions");
      return compiled;
    } catch (error) {
      return new Failure(`invalid pattern: ${(error as Error).message}`);
    }
  }
}
