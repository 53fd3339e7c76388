import { Ad } from "./ad.js";
import type { Kind, Node } from "./ast.js";
import { ClassAdError } from "./errors.js";
import { functions, wrongCount } from "./functions/index.js";
import { applyBinary, applyUnary, element, notAnAd, shortcut } from "./operators.js";
import { parseExpression } from "./parser.js";
import { print } from "./print.js";
import { type Frame, inTarget, lookUp, lookUpMy, lookUpRoot } from "./run.js";
import { Bound, Failure, isList, truth, UNDEFINED, type Value } from "./values.js";

/**
 * Evaluates an expression by walking its tree. This is the reference: compiled expressions have to
 * give the same value. @throws Exhausted when a bound is reached; `outcome` turns that into ERROR
 */
export function walk(node: Node, frame: Frame): Value {
  frame.run.spend(1);
  switch (node.kind) {
    case "literal":
      return node.value;
    case "attribute":
      return attributeValue(node, frame);
    case "unary":
      return applyUnary(node.op, walk(node.operand, frame));
    case "chain": {
      let value = walk(node.first, frame);
      for (const { op, operand } of node.rest) {
        value = shortcut(op, value) ?? applyBinary(op, value, walk(operand, frame));
      }
      return value;
    }
    case "condition": {
      const test = walk(node.test, frame);
      if (node.then === null) return test === UNDEFINED ? walk(node.otherwise, frame) : test;
      if (test instanceof Failure || test === UNDEFINED) return test;
      const is = truth(test);
      if (is === null) return new Failure("?: needs true or false");
      return walk(is ? node.then : node.otherwise, frame);
    }
    case "list":
      return sized(
        node.items.map((item) => walk(item, frame)),
        frame,
      );
    case "ad":
      return new Bound(adOf(node), frame);
    case "call":
      return callWith(node, frame, walk);
    case "select":
      return selectKey(walk(node.base, frame), node.key, frame);
    case "subscript":
      return subscriptValue(walk(node.base, frame), walk(node.index, frame), frame);
  }
}

const ads = new WeakMap<Node, Ad>();

/** One ad for each place where one is written, so that its attributes are compiled once. */
export function adOf(node: Kind<"ad">): Ad {
  let ad = ads.get(node);
  if (ad === undefined) {
    ad = new Ad(node.entries);
    ads.set(node, ad);
  }
  return ad;
}

export function sized(list: Value[], { run }: Frame): Value {
  return list.length > run.limits.size ? new Failure("a list that is too long") : list;
}

export function attributeValue({ where, key }: Kind<"attribute">, frame: Frame): Value {
  switch (where) {
    case "any":
      return lookUp(key, frame);
    case "my":
      return lookUpMy(key, frame);
    case "target":
      return inTarget(key, frame);
    case "root":
      return lookUpRoot(key, frame);
  }
}

export function selectKey(base: Value, key: string, frame: Frame): Value {
  if (base instanceof Failure || base === UNDEFINED) return base;
  if (!(base instanceof Bound)) return notAnAd(base);
  const attribute = base.ad.get(key);
  if (attribute === undefined) return UNDEFINED;
  return frame.run.attribute(attribute, {
    ad: base.ad,
    outer: base.frame,
    my: base.frame?.my ?? frame.my,
    target: base.frame?.target ?? frame.target,
    run: frame.run,
  });
}

export function subscriptValue(base: Value, index: Value, frame: Frame): Value {
  if (base instanceof Failure) return base;
  if (index instanceof Failure) return index;
  if (base === UNDEFINED || index === UNDEFINED) return UNDEFINED;
  if (isList(base)) return element(base, index);
  if (typeof index !== "string") return notAnAd(base);
  return selectKey(base, index.toLowerCase(), frame);
}

/** A call: most functions get values, a few decide themselves what is evaluated, and where. */
export function callWith(
  node: Kind<"call">,
  frame: Frame,
  evaluate: (node: Node, frame: Frame) => Value,
): Value {
  const { key, args, name } = node;
  const lazy = lazies[key];
  if (lazy !== undefined) {
    const bad = wrongCount(name, args.length, lazy.min, lazy.max);
    return bad ?? lazy.run(args, frame, evaluate);
  }
  const known = functions.get(key);
  if (known === undefined) return new Failure(`no function ${name}`);
  const bad = wrongCount(name, args.length, known.min, known.max);
  if (bad !== null) return bad;
  const values = args.map((arg) => evaluate(arg, frame));
  if (known.strict) {
    for (const value of values) if (value instanceof Failure) return value;
    for (const value of values) if (value === UNDEFINED) return UNDEFINED;
  }
  return known.run(values, frame.run);
}

interface Lazy {
  min: number;
  max: number;
  run(args: readonly Node[], frame: Frame, evaluate: (node: Node, frame: Frame) => Value): Value;
}

/** For each ad of a list, the expression inside it. */
function inEach(
  args: readonly Node[],
  frame: Frame,
  evaluate: (node: Node, frame: Frame) => Value,
): Value[] | Value {
  const list = evaluate(args[1]!, frame);
  if (list instanceof Failure || list === UNDEFINED) return list;
  const ads = list instanceof Bound ? [list] : list;
  if (!isList(ads)) return new Failure("needs a list of ads");
  return ads.map((ad) =>
    ad instanceof Bound
      ? evaluate(args[0]!, { ...frame, ad: ad.ad, outer: frame })
      : ad instanceof Failure || ad === UNDEFINED
        ? ad
        : notAnAd(ad),
  );
}

export const lazies: Record<string, Lazy> = {
  ifthenelse: {
    min: 3,
    max: 3,
    run: ([test, then, otherwise], frame, evaluate) => {
      const value = evaluate(test!, frame);
      if (value instanceof Failure || value === UNDEFINED) return value;
      const is = truth(value);
      if (is === null) return new Failure("ifThenElse needs true or false");
      return evaluate(is ? then! : otherwise!, frame);
    },
  },
  eval: {
    min: 1,
    max: 1,
    run: ([text], frame, evaluate) => {
      const value = evaluate(text!, frame);
      if (value instanceof Failure || value === UNDEFINED) return value;
      if (typeof value !== "string") return value;
      const { run } = frame;
      // Reading text is dearer than walking what was read.
      run.spend(1 + (value.length >> 2));
      let node: Node;
      try {
        node = parseExpression(value, run.limits);
      } catch (error) {
        if (!(error instanceof ClassAdError)) throw error;
        return new Failure(`eval: ${error.message}`);
      }
      // An expression may hold its own text and evaluate it: bounded like attributes are.
      return run.attribute({ name: "eval", key: "eval", node, code: null }, frame);
    },
  },
  unparse: {
    min: 1,
    max: 1,
    run: ([node], frame) => {
      const named =
        node!.kind === "attribute"
          ? (frame.ad?.get(node!.key) ?? frame.my?.get(node!.key) ?? frame.target?.get(node!.key))
          : undefined;
      const text = print(named?.node ?? node!);
      frame.run.spendText(text.length);
      return text;
    },
  },
  evalineachcontext: {
    min: 2,
    max: 2,
    run: (args, frame, evaluate) => inEach(args, frame, evaluate),
  },
  countmatches: {
    min: 2,
    max: 2,
    run: (args, frame, evaluate) => {
      const each = inEach(args, frame, evaluate);
      if (!isList(each)) return each === UNDEFINED ? 0n : each;
      return BigInt(each.filter((value) => truth(value) === true).length);
    },
  },
};
