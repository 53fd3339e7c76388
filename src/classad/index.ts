/**
 * HTCondor's expression language, ClassAds: values, parser, printer, evaluator. It stands alone:
 * nothing of the scheduler is needed. `docs/submit.md` says what of the language there is.
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
export { Expression } from "./expression.js";
export { fromJson, type Json, nodeFromJson, nodeToJson, toJson } from "./json.js";
export { defaultLimits, type Limits } from "./limits.js";
export { parseExpression, parseRecord } from "./parser.js";
export { print, printName, printValue } from "./print.js";
export { clauses, type Reads, reads } from "./reads.js";
export type { RunOptions } from "./run.js";
export {
  AbsTime,
  Bound,
  Failure,
  isList,
  isNumber,
  RelTime,
  type TypeName,
  truth,
  typeOf,
  UNDEFINED,
  type Value,
} from "./values.js";
