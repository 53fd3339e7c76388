import { Ad } from "./ad.js";
import type { Node } from "./ast.js";
import * as ast from "./ast.js";
import { ClassAdError } from "./errors.js";
import { defaultLimits, type Limits } from "./limits.js";
import { parseExpression } from "./parser.js";
import { print } from "./print.js";
import { UNDEFINED } from "./values.js";

export type Json = null | boolean | number | string | Json[] | { [name: string]: Json };

const EXPRESSION_STRING = /^\/Expr\(([\s\S]*)\)\/$/;

const expressionString = (node: Node): string => `/Expr(${print(node)})/`;

/**
 * Converts an expression to JSON in the way HTCondor does for ads: constants as JSON values,
 * UNDEFINED as null, anything else as `"/Expr(text)/"`. Numbers that JSON would change are written
 * as `/Expr` too: integers beyond 2^53, and reals without a fraction, which would be read back as
 * integers.
 */
export function nodeToJson(node: Node): Json {
  if (node.kind === "list") return node.items.map(nodeToJson);
  if (node.kind === "ad") return entriesToJson(node.entries);
  if (node.kind !== "literal") return expressionString(node);
  const { value } = node;
  switch (typeof value) {
    case "boolean":
      return value;
    case "symbol":
      return null;
    case "string":
      return EXPRESSION_STRING.test(value) ? expressionString(node) : value;
    case "bigint":
      return value >= Number.MIN_SAFE_INTEGER && value <= Number.MAX_SAFE_INTEGER
        ? Number(value)
        : expressionString(node);
    case "number":
      return Number.isFinite(value) && !Number.isInteger(value) ? value : expressionString(node);
  }
  return expressionString(node);
}

function entriesToJson(entries: Iterable<ast.Entry>): { [name: string]: Json } {
  // No prototype, so that `__proto__` can be an ordinary attribute name.
  const out: { [name: string]: Json } = Object.create(null);
  for (const { name, node } of entries) out[name] = nodeToJson(node);
  return out;
}

export const toJson = (ad: Ad): { [name: string]: Json } => entriesToJson(ad.attributes());

/** @throws ClassAdError for an expression that does not parse, or a value that is not JSON */
export function nodeFromJson(json: unknown, limits: Limits = defaultLimits, depth = 1): Node {
  if (depth > limits.depth) throw new ClassAdError(`nested more than ${limits.depth} deep`, 1, 1);
  if (json === null) return ast.literal(UNDEFINED);
  if (typeof json === "boolean") return ast.literal(json);
  if (typeof json === "number") {
    return ast.literal(Number.isSafeInteger(json) ? BigInt(json) : json);
  }
  if (typeof json === "string") {
    const match = EXPRESSION_STRING.exec(json);
    return match === null ? ast.literal(json) : parseExpression(match[1]!, limits);
  }
  if (Array.isArray(json))
    return ast.list(json.map((item) => nodeFromJson(item, limits, depth + 1)));
  if (typeof json !== "object") throw new ClassAdError("not a JSON value", 1, 1);
  return ast.record(entriesOf(json, limits, depth));
}

const entriesOf = (json: object, limits: Limits, depth: number): ast.Entry[] =>
  Object.entries(json).map(([name, value]) => ({
    name,
    node: nodeFromJson(value, limits, depth + 1),
  }));

/** @throws ClassAdError */
export function fromJson(json: unknown, limits: Limits = defaultLimits): Ad {
  if (typeof json !== "object" || json === null || Array.isArray(json)) {
    throw new ClassAdError("expected a JSON object as an ad", 1, 1);
  }
  return new Ad(entriesOf(json, limits, 1));
}
