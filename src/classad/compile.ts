import type { Ad, Attribute } from "./ad.js";
import type { Node } from "./ast.js";
import * as ast from "./ast.js";
import {
  adOf,
  attributeValue,
  callWith,
  lazies,
  selectKey,
  sized,
  subscriptValue,
  walk,
} from "./evaluate.js";
import { functions } from "./functions/index.js";
import { applyBinary, applyUnary, shortcut } from "./operators.js";
import { Exhausted, type Frame, frameOf, Run, type RunOptions } from "./run.js";
import { Bound, Failure, truth, UNDEFINED, type Value } from "./values.js";

export type Code = (frame: Frame) => Value;

const nothing = (): Frame => frameOf(null, null, new Run(({ node }, frame) => walk(node, frame)));

/** Values that stand for themselves in an expression; times and ads are made anew each time. */
const scalar = (value: Value): boolean => typeof value !== "object";

/**
 * Works out in advance what depends on no attribute, and on nothing that changes: the same value
 * for less work. What is ERROR stays as it is written, so that its text still says why.
 */
export function fold(node: Node): Node {
  switch (node.kind) {
    case "literal":
    case "attribute":
    case "ad":
      return node;
    case "unary":
      return constant(ast.unary(node.op, fold(node.operand)));
    case "chain":
      return foldChain(node);
    case "condition": {
      const test = fold(node.test);
      const is = test.kind === "literal" ? truth(test.value) : null;
      if (node.then !== null && is !== null) return fold(is ? node.then : node.otherwise);
      return ast.condition(test, node.then && fold(node.then), fold(node.otherwise));
    }
    case "list":
      return ast.list(node.items.map(fold));
    case "call":
      return constant(ast.call(node.name, node.args.map(fold)));
    case "select":
      return ast.select(fold(node.base), node.name);
    case "subscript":
      return ast.subscript(fold(node.base), fold(node.index));
  }
}

/** Constants at the head of a chain, and what an operand decides for all that follow. */
function foldChain(node: ast.Kind<"chain">): Node {
  let head = fold(node.first);
  const rest: { op: ast.BinaryOp; operand: Node }[] = [];
  for (const { op, operand } of node.rest) {
    const right = fold(operand);
    if (rest.length === 0 && head.kind === "literal") {
      const decided = shortcut(op, head.value);
      const value =
        decided ?? (right.kind === "literal" ? applyBinary(op, head.value, right.value) : null);
      if (value !== null && scalar(value)) {
        head = ast.literal(value);
        continue;
      }
    }
    rest.push({ op, operand: right });
  }
  return rest.length === 0 ? head : ast.chain(node.level, head, rest);
}

const VARYING = new Set(["time", "random", "eval", "unparse"]);

function constant(node: Node): Node {
  const parts = ast.below(node);
  if (!parts.every(({ kind }) => kind === "literal")) return node;
  if (node.kind === "call") {
    if (VARYING.has(node.key)) return node;
    if (!functions.has(node.key) && lazies[node.key] === undefined) return node;
  }
  const value = outcome(() => walk(node, nothing()));
  return scalar(value) ? ast.literal(value) : node;
}

/** A bound that is reached makes the whole expression ERROR. */
function outcome(evaluate: () => Value): Value {
  try {
    return evaluate();
  } catch (error) {
    if (error instanceof Exhausted) return new Failure(error.message);
    throw error;
  }
}

/** Turns an expression into closures, once; the tree is not looked at again. */
export function compile(node: Node): Code {
  const code = bare(node);
  return (frame) => {
    frame.run.spend(1);
    return code(frame);
  };
}

function bare(node: Node): Code {
  switch (node.kind) {
    case "literal": {
      const { value } = node;
      return () => value;
    }
    case "attribute":
      return (frame) => attributeValue(node, frame);
    case "unary": {
      const operand = compile(node.operand);
      const { op } = node;
      return (frame) => applyUnary(op, operand(frame));
    }
    case "chain":
      return compileChain(node);
    case "condition": {
      const test = compile(node.test);
      const then = node.then === null ? null : compile(node.then);
      const otherwise = compile(node.otherwise);
      return (frame) => {
        const value = test(frame);
        if (then === null) return value === UNDEFINED ? otherwise(frame) : value;
        if (value instanceof Failure || value === UNDEFINED) return value;
        const is = truth(value);
        if (is === null) return new Failure("?: needs true or false");
        return is ? then(frame) : otherwise(frame);
      };
    }
    case "list": {
      const items = node.items.map(compile);
      return (frame) =>
        sized(
          items.map((item) => item(frame)),
          frame,
        );
    }
    case "ad": {
      const ad = adOf(node);
      return (frame) => new Bound(ad, frame);
    }
    case "call":
      return compileCall(node);
    case "select": {
      const base = compile(node.base);
      const { key } = node;
      return (frame) => selectKey(base(frame), key, frame);
    }
    case "subscript": {
      const base = compile(node.base);
      const index = compile(node.index);
      return (frame) => subscriptValue(base(frame), index(frame), frame);
    }
  }
}

function compileChain(node: ast.Kind<"chain">): Code {
  const first = compile(node.first);
  const rest = node.rest.map(({ op, operand }) => ({ op, code: compile(operand) }));
  const only = rest[0]!;
  if (rest.length === 1 && only.op !== "||" && only.op !== "&&") {
    return (frame) => applyBinary(only.op, first(frame), only.code(frame));
  }
  return (frame) => {
    let value = first(frame);
    for (const { op, code } of rest) {
      value = shortcut(op, value) ?? applyBinary(op, value, code(frame));
    }
    return value;
  };
}

function compileCall(node: ast.Kind<"call">): Code {
  const args = new Map<Node, Code>(node.args.map((arg) => [arg, compile(arg)]));
  const evaluate = (arg: Node, frame: Frame): Value => args.get(arg)!(frame);
  return (frame) => callWith(node, frame, evaluate);
}

export const compiledAttribute = (attribute: Attribute, frame: Frame): Value => {
  attribute.code ??= compile(attribute.node);
  return attribute.code(frame);
};

export interface Sides {
  my?: Ad | null;
  target?: Ad | null;
}

export interface Outcome {
  value: Value;
  /** Work done, in the units of `Limits.steps`. */
  steps: number;
}

/** The value of a compiled expression; ERROR when it costs more than the limits allow. */
export function run(
  code: Code,
  { my = null, target = null }: Sides,
  options?: RunOptions,
): Outcome {
  const one = new Run(compiledAttribute, options);
  const value = outcome(() => code(frameOf(my, target, one)));
  return { value, steps: one.steps };
}

/** The same by walking the tree. */
export function runReference(
  node: Node,
  { my = null, target = null }: Sides,
  options?: RunOptions,
): Outcome {
  const one = new Run(({ node: inner }, frame) => walk(inner, frame), options);
  const value = outcome(() => walk(node, frameOf(my, target, one)));
  return { value, steps: one.steps };
}
