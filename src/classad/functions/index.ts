import type { Run } from "../run.js";
import { Failure, type Value } from "../values.js";
import { lists } from "./lists.js";
import { numbers } from "./numbers.js";
import { patterns } from "./patterns.js";
import { strings } from "./strings.js";
import { times } from "./times.js";
import { types } from "./types.js";

/** One function of the library. */
export interface Fn {
  min: number;
  max: number;
  /** ERROR among the arguments is the answer, then UNDEFINED. */
  strict: boolean;
  run(args: readonly Value[], run: Run): Value;
}

export function wrongCount(name: string, given: number, min: number, max: number): Failure | null {
  return given < min || given > max ? new Failure(`${name} with ${given} arguments`) : null;
}

/** All functions whose arguments are values, by name in lower case. */
export const functions: ReadonlyMap<string, Fn> = new Map(
  [types, strings, lists, numbers, patterns, times].flatMap((group) =>
    Object.entries(group).map(([name, fn]) => [name.toLowerCase(), fn] as const),
  ),
);
