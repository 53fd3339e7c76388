import { Ad } from "./ad.js";
import type { Node, NodeOfKind } from "./ast.js";
import { ClassAdError } from "./errors.js";
import { type Frame, lookUp, lookUpMy, lookUpRoot, lookUpTarget } from "./evaluation.js";
import { checkArgumentCount, functions } from "./functions/index.js";
import { applyBinary, applyUnary, listElement, notAnAdError, shortCircuit } from "./operators.js";
import { parseExpression } from "./parser.js";
import { print } from "./print.js";
import { Failure, isList, ScopedAd, truth, UNDEFINED, type Value } from "./values.js";

/**
 * Evaluates an expression by walking its tree. This is the reference implementation: compiled
 * expressions have to give the same value.
 * @throws LimitExceeded which `run` and `runReference` turn into ERROR
 */
export function evaluateTree(node: Node, frame: Frame): Value {
  frame.evaluation.chargeSteps(1);
  switch (node.kind) {
    case "literal":
      return node.value;
    case "attribute":
      return attributeValue(node, frame);
    case "unary":
      return applyUnary(node.op, evaluateTree(node.operand, frame));
    case "chain": {
      let value = evaluateTree(node.first, frame);
      for (const { op, operand } of node.rest) {
        value = shortCircuit(op, value) ?? applyBinary(op, value, evaluateTree(operand, frame));
      }
      return value;
    }
    case "condition": {
      const test = evaluateTree(node.test, frame);
      if (node.then === null)
        return test === UNDEFINED ? evaluateTree(node.otherwise, frame) : test;
      if (test instanceof Failure || test === UNDEFINED) return test;
      const isTrue = truth(test);
      if (isTrue === null) return new Failure("the condition of ?: is neither true nor false");
      return evaluateTree(isTrue ? node.then : node.otherwise, frame);
    }
    case "list":
      return checkListSize(
        node.items.map((item) => evaluateTree(item, frame)),
        frame,
      );
    case "ad":
      return new ScopedAd(adOfLiteral(node), frame);
    case "call":
      return evaluateCall(node, frame, evaluateTree);
    case "select":
      return selectKey(evaluateTree(node.base, frame), node.key, frame);
    case "subscript":
      return subscriptValue(evaluateTree(node.base, frame), evaluateTree(node.index, frame), frame);
  }
}

const adsOfLiterals = new WeakMap<Node, Ad>();

/** Makes one ad for each ad literal of the tree, so that its attributes are compiled only once. */
export function adOfLiteral(node: NodeOfKind<"ad">): Ad {
  let ad = adsOfLiterals.get(node);
  if (ad === undefined) {
    ad = new Ad(node.entries);
    adsOfLiterals.set(node, ad);
  }
  return ad;
}

export function checkListSize(list: Value[], { evaluation }: Frame): Value {
  return list.length > evaluation.limits.resultSize ? new Failure("list has too many items") : list;
}

export function attributeValue({ where, key }: NodeOfKind<"attribute">, frame: Frame): Value {
  switch (where) {
    case "any":
      return lookUp(key, frame);
    case "my":
      return lookUpMy(key, frame);
    case "target":
      return lookUpTarget(key, frame);
    case "root":
      return lookUpRoot(key, frame);
  }
}

export function selectKey(base: Value, key: string, frame: Frame): Value {
  if (base instanceof Failure || base === UNDEFINED) return base;
  if (!(base instanceof ScopedAd)) return notAnAdError(base);
  const attribute = base.ad.get(key);
  if (attribute === undefined) return UNDEFINED;
  return frame.evaluation.evaluateAttribute(attribute, {
    ad: base.ad,
    outer: base.frame,
    my: base.frame?.my ?? frame.my,
    target: base.frame?.target ?? frame.target,
    evaluation: frame.evaluation,
  });
}

export function subscriptValue(base: Value, index: Value, frame: Frame): Value {
  if (base instanceof Failure) return base;
  if (index instanceof Failure) return index;
  if (base === UNDEFINED || index === UNDEFINED) return UNDEFINED;
  if (isList(base)) return listElement(base, index);
  if (typeof index !== "string") return notAnAdError(base);
  return selectKey(base, index.toLowerCase(), frame);
}

/**
 * Calls a function. Most get their arguments' values; those of `lazyFunctions` get the expressions
 * and evaluate what they need themselves.
 */
export function evaluateCall(
  node: NodeOfKind<"call">,
  frame: Frame,
  evaluate: (node: Node, frame: Frame) => Value,
): Value {
  const { key, args, name } = node;
  const lazyFunction = lazyFunctions[key];
  if (lazyFunction !== undefined) {
    const countError = checkArgumentCount(name, args.length, lazyFunction.min, lazyFunction.max);
    return countError ?? lazyFunction.run(args, frame, evaluate);
  }
  const builtin = functions.get(key);
  if (builtin === undefined) return new Failure(`no function ${name}`);
  const countError = checkArgumentCount(name, args.length, builtin.min, builtin.max);
  if (countError !== null) return countError;
  const values = args.map((arg) => evaluate(arg, frame));
  if (builtin.strict) {
    for (const value of values) if (value instanceof Failure) return value;
    for (const value of values) if (value === UNDEFINED) return UNDEFINED;
  }
  return builtin.run(values, frame.evaluation);
}

interface LazyFunction {
  min: number;
  max: number;
  run(args: readonly Node[], frame: Frame, evaluate: (node: Node, frame: Frame) => Value): Value;
}

/** Evaluates the first argument in the scope of each ad of the list that is the second. */
function evaluateInEach(
  args: readonly Node[],
  frame: Frame,
  evaluate: (node: Node, frame: Frame) => Value,
): Value[] | Value {
  const list = evaluate(args[1]!, frame);
  if (list instanceof Failure || list === UNDEFINED) return list;
  const ads = list instanceof ScopedAd ? [list] : list;
  if (!isList(ads)) return new Failure("expected a list of ads");
  return ads.map((ad) =>
    ad instanceof ScopedAd
      ? evaluate(args[0]!, { ...frame, ad: ad.ad, outer: frame })
      : ad instanceof Failure || ad === UNDEFINED
        ? ad
        : notAnAdError(ad),
  );
}

export const lazyFunctions: Record<string, LazyFunction> = {
  ifthenelse: {
    min: 3,
    max: 3,
    run: ([test, then, otherwise], frame, evaluate) => {
      const value = evaluate(test!, frame);
      if (value instanceof Failure || value === UNDEFINED) return value;
      const isTrue = truth(value);
      if (isTrue === null)
        return new Failure("the condition of ifThenElse is neither true nor false");
      return evaluate(isTrue ? then! : otherwise!, frame);
    },
  },
  eval: {
    min: 1,
    max: 1,
    run: ([text], frame, evaluate) => {
      const value = evaluate(text!, frame);
      if (value instanceof Failure || value === UNDEFINED) return value;
      if (typeof value !== "string") return value;
      const { evaluation } = frame;
      // Parsing a text costs more than evaluating the result.
      evaluation.chargeSteps(1 + (value.length >> 2));
      let node: Node;
      try {
        node = parseExpression(value, evaluation.limits);
      } catch (error) {
        if (!(error instanceof ClassAdError)) throw error;
        return new Failure(`eval: ${error.message}`);
      }
      // Evaluated as an attribute so that Limits.attributeDepth also stops a text that evaluates
      // itself.
      return evaluation.evaluateAttribute(
        { name: "eval", key: "eval", node, compiled: null },
        frame,
      );
    },
  },
  unparse: {
    min: 1,
    max: 1,
    run: ([node], frame) => {
      const referenced =
        node!.kind === "attribute"
          ? (frame.ad?.get(node!.key) ?? frame.my?.get(node!.key) ?? frame.target?.get(node!.key))
          : undefined;
      const text = print(referenced?.node ?? node!);
      frame.evaluation.chargeText(text.length);
      return text;
    },
  },
  evalineachcontext: {
    min: 2,
    max: 2,
    run: (args, frame, evaluate) => evaluateInEach(args, frame, evaluate),
  },
  countmatches: {
    min: 2,
    max: 2,
    run: (args, frame, evaluate) => {
      const results = evaluateInEach(args, frame, evaluate);
      if (!isList(results)) return results === UNDEFINED ? 0n : results;
      return BigInt(results.filter((value) => truth(value) === true).length);
    },
  },
};
