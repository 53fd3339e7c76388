import type { Ad, Attribute } from "./ad.js";
import type { Node } from "./ast.js";
import * as ast from "./ast.js";
import {
  adOfLiteral,
  attributeValue,
  checkListSize,
  evaluateCall,
  evaluateTree,
  lazyFunctions,
  selectKey,
  subscriptValue,
} from "./evaluate.js";
import { Evaluation, type Frame, frameOf, LimitExceeded, type RunOptions } from "./evaluation.js";
import { functions } from "./functions/index.js";
import { applyBinary, applyUnary, shortCircuit } from "./operators.js";
import { Failure, ScopedAd, truth, UNDEFINED, type Value } from "./values.js";

export type Code = (frame: Frame) => Value;

const emptyFrame = (): Frame =>
  frameOf(null, null, new Evaluation(({ node }, frame) => evaluateTree(node, frame)));

/**
 * Whether folding may replace an expression by this value. Times, ads and lists are made anew by
 * each evaluation, and ERROR has to keep its reason.
 */
const isScalar = (value: Value): boolean => typeof value !== "object";

/**
 * Constant folding: evaluates in advance what depends on no attribute and on nothing that changes.
 * The value stays the same and takes less work. Subexpressions that are ERROR are not replaced, so
 * that evaluation still gives the reason.
 */
export function fold(node: Node): Node {
  switch (node.kind) {
    case "literal":
    case "attribute":
    case "ad":
      return node;
    case "unary":
      return foldConstant(ast.unary(node.op, fold(node.operand)));
    case "chain":
      return foldChain(node);
    case "condition": {
      const test = fold(node.test);
      const isTrue = test.kind === "literal" ? truth(test.value) : null;
      if (node.then !== null && isTrue !== null) return fold(isTrue ? node.then : node.otherwise);
      return ast.condition(test, node.then && fold(node.then), fold(node.otherwise));
    }
    case "list":
      return ast.list(node.items.map(fold));
    case "call":
      return foldConstant(ast.call(node.name, node.args.map(fold)));
    case "select":
      return ast.select(fold(node.base), node.name);
    case "subscript":
      return ast.subscript(fold(node.base), fold(node.index));
  }
}

/**
 * Folds the constants at the head of a chain, and operators whose left operand decides the result.
 */
function foldChain(node: ast.NodeOfKind<"chain">): Node {
  let head = fold(node.first);
  const rest: { op: ast.BinaryOp; operand: Node }[] = [];
  for (const { op, operand } of node.rest) {
    const right = fold(operand);
    if (rest.length === 0 && head.kind === "literal") {
      const decided = shortCircuit(op, head.value);
      const value =
        decided ?? (right.kind === "literal" ? applyBinary(op, head.value, right.value) : null);
      if (value !== null && isScalar(value)) {
        head = ast.literal(value);
        continue;
      }
    }
    rest.push({ op, operand: right });
  }
  return rest.length === 0 ? head : ast.chain(node.level, head, rest);
}

const NON_CONSTANT_FUNCTIONS = new Set(["time", "random", "eval", "unparse"]);

function foldConstant(node: Node): Node {
  const parts = ast.children(node);
  if (!parts.every(({ kind }) => kind === "literal")) return node;
  if (node.kind === "call") {
    if (NON_CONSTANT_FUNCTIONS.has(node.key)) return node;
    if (!functions.has(node.key) && lazyFunctions[node.key] === undefined) return node;
  }
  const value = errorIfLimitExceeded(() => evaluateTree(node, emptyFrame()));
  return isScalar(value) ? ast.literal(value) : node;
}

/** Exceeding a limit makes the whole expression ERROR. */
function errorIfLimitExceeded(evaluate: () => Value): Value {
  try {
    return evaluate();
  } catch (error) {
    if (error instanceof LimitExceeded) return new Failure(error.message);
    throw error;
  }
}

/** Compiles an expression to closures, so that evaluation does not walk the tree again. */
export function compile(node: Node): Code {
  const code = compileUncharged(node);
  return (frame) => {
    frame.evaluation.chargeSteps(1);
    return code(frame);
  };
}

function compileUncharged(node: Node): Code {
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
        const isTrue = truth(value);
        if (isTrue === null) return new Failure("the condition of ?: is neither true nor false");
        return isTrue ? then(frame) : otherwise(frame);
      };
    }
    case "list": {
      const items = node.items.map(compile);
      return (frame) =>
        checkListSize(
          items.map((item) => item(frame)),
          frame,
        );
    }
    case "ad": {
      const ad = adOfLiteral(node);
      return (frame) => new ScopedAd(ad, frame);
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

function compileChain(node: ast.NodeOfKind<"chain">): Code {
  const first = compile(node.first);
  const rest = node.rest.map(({ op, operand }) => ({ op, code: compile(operand) }));
  const only = rest[0]!;
  if (rest.length === 1 && only.op !== "||" && only.op !== "&&") {
    return (frame) => applyBinary(only.op, first(frame), only.code(frame));
  }
  return (frame) => {
    let value = first(frame);
    for (const { op, code } of rest) {
      value = shortCircuit(op, value) ?? applyBinary(op, value, code(frame));
    }
    return value;
  };
}

function compileCall(node: ast.NodeOfKind<"call">): Code {
  const args = new Map<Node, Code>(node.args.map((arg) => [arg, compile(arg)]));
  const evaluate = (arg: Node, frame: Frame): Value => args.get(arg)!(frame);
  return (frame) => evaluateCall(node, frame, evaluate);
}

export const compiledAttribute = (attribute: Attribute, frame: Frame): Value => {
  attribute.compiled ??= compile(attribute.node);
  return attribute.compiled(frame);
};

/** The two ads of a match, from the side of the expression's own ad. */
export interface Sides {
  my?: Ad | null;
  target?: Ad | null;
}

export interface Outcome {
  value: Value;
  /** Work done, in the unit of `Limits.steps`. */
  steps: number;
}

/** Evaluates a compiled expression; the value is ERROR if a limit is exceeded. */
export function run(
  code: Code,
  { my = null, target = null }: Sides,
  options?: RunOptions,
): Outcome {
  const evaluation = new Evaluation(compiledAttribute, options);
  const value = errorIfLimitExceeded(() => code(frameOf(my, target, evaluation)));
  return { value, steps: evaluation.steps };
}

/** Same as `run`, but walks the tree: the reference implementation. */
export function runReference(
  node: Node,
  { my = null, target = null }: Sides,
  options?: RunOptions,
): Outcome {
  const evaluation = new Evaluation(
    ({ node: inner }, frame) => evaluateTree(inner, frame),
    options,
  );
  const value = errorIfLimitExceeded(() => evaluateTree(node, frameOf(my, target, evaluation)));
  return { value, steps: evaluation.steps };
}
