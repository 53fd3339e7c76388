import type { Evaluation } from "../evaluation.js";
import { Failure, type Value } from "../values.js";
import { lists } from "./lists.js";
import { numbers } from "./numbers.js";
import { patterns } from "./patterns.js";
import { strings } from "./strings.js";
import { times } from "./times.js";
import { types } from "./types.js";

/** A built-in function that gets the values of its arguments. */
export interface BuiltinFunction {
  min: number;
  max: number;
  /**
   * If an argument is ERROR, so is the result; otherwise, if one is UNDEFINED, so is the result.
   */
  strict: boolean;
  run(args: readonly Value[], evaluation: Evaluation): Value;
}

export function checkArgumentCount(
  name: string,
  given: number,
  min: number,
  max: number,
): Failure | null {
  return given < min || given > max
    ? new Failure(`${name} does not take ${given} arguments`)
    : null;
}

/** All built-in functions that get values, by name in lower case. */
export const functions: ReadonlyMap<string, BuiltinFunction> = new Map(
  [types, strings, lists, numbers, patterns, times].flatMap((group) =>
    Object.entries(group).map(([name, fn]) => [name.toLowerCase(), fn] as const),
  ),
);
