/**
 * ClassAds, HTCondor's expression language: values, parser, printer and evaluator. It does not
 * depend on the rest of the scheduler. `docs/submit.md` lists what is supported of the language.
 */
export { Ad, type Attribute } from "./ad.js";
export type { BinaryOp, Entry, Node, UnaryOp } from "./ast.js";
export * as build from "./ast.js";
export {
  type Code,
  compile,
  fold,
  type Outcome,
  run,
  runReference,
  type Sides,
} from "./compile.js";
export { ClassAdError } from "./errors.js";
export type { RunOptions } from "./evaluation.js";
export { Expression } from "./expression.js";
export { fromJson, type Json, nodeFromJson, nodeToJson, toJson } from "./json.js";
export { defaultLimits, type Limits } from "./limits.js";
export { parseExpression, parseRecord } from "./parser.js";
export { print, printName, printValue } from "./print.js";
export { clauses, type Reads, reads } from "./reads.js";
export {
  AbsTime,
  Failure,
  isList,
  isNumber,
  RelTime,
  ScopedAd as Bound,
  type TypeName,
  truth,
  typeOf,
  UNDEFINED,
  type Value,
} from "./values.js";
