import type { Value } from "./values.js";

/**
 * Where an attribute is looked up: in all scopes, in one of the two ads, or in the outermost ad
 * round the expression.
 */
export type Scope = "any" | "my" | "target" | "root";

interface NodeBase {
  /** Height of the tree, this node included. */
  readonly depth: number;
}

/**
 * An expression tree. Consecutive left-associative operators of the same precedence form one
 * `chain` node, so that a thousand clauses joined by `||` are one level deep and not a thousand.
 */
export type Node = NodeBase &
  (
    | { readonly kind: "literal"; readonly value: Value }
    | {
        readonly kind: "attribute";
        readonly where: Scope;
        readonly name: string;
        readonly key: string;
      }
    | { readonly kind: "unary"; readonly op: UnaryOp; readonly operand: Node }
    | {
        readonly kind: "chain";
        readonly level: number;
        readonly first: Node;
        readonly rest: readonly { readonly op: BinaryOp; readonly operand: Node }[];
      }
    | {
        readonly kind: "condition";
        readonly test: Node;
        /** Null for `a ?: b`. */
        readonly then: Node | null;
        readonly otherwise: Node;
      }
    | { readonly kind: "list"; readonly items: readonly Node[] }
    | { readonly kind: "ad"; readonly entries: readonly Entry[] }
    | {
        readonly kind: "call";
        readonly name: string;
        readonly key: string;
        readonly args: readonly Node[];
      }
    | { readonly kind: "select"; readonly base: Node; readonly name: string; readonly key: string }
    | { readonly kind: "subscript"; readonly base: Node; readonly index: Node }
  );

export type NodeOfKind<K extends Node["kind"]> = Extract<Node, { kind: K }>;

export interface Entry {
  readonly name: string;
  readonly node: Node;
}

export type UnaryOp = "-" | "+" | "!" | "~";

/** Binary operators from lowest to highest precedence. All associate to the left. */
export const OPERATORS_BY_PRECEDENCE = [
  ["||"],
  ["&&"],
  ["|"],
  ["^"],
  ["&"],
  ["==", "!=", "=?=", "=!="],
  ["<", "<=", ">", ">="],
  ["<<", ">>", ">>>"],
  ["+", "-"],
  ["*", "/", "%"],
] as const;

export type BinaryOp = (typeof OPERATORS_BY_PRECEDENCE)[number][number];

export const precedenceOf: ReadonlyMap<string, number> = new Map(
  OPERATORS_BY_PRECEDENCE.flatMap((ops, level) => ops.map((op) => [op, level] as const)),
);

const depthAbove = (...nodes: (Node | null)[]): number => {
  let deepest = 0;
  for (const node of nodes) if (node !== null && node.depth > deepest) deepest = node.depth;
  return deepest + 1;
};

export const literal = (value: Value): Node => ({ kind: "literal", value, depth: 1 });

export const attribute = (name: string, where: Scope = "any"): Node => ({
  kind: "attribute",
  where,
  name,
  key: name.toLowerCase(),
  depth: 1,
});

export const unary = (op: UnaryOp, operand: Node): Node => ({
  kind: "unary",
  op,
  operand,
  depth: depthAbove(operand),
});

/** `left op right`; extends `left` if it is a chain of operators of the same precedence. */
export function binary(left: Node, op: BinaryOp, right: Node): Node {
  const level = precedenceOf.get(op)!;
  const sameLevelChain = left.kind === "chain" && left.level === level ? left : null;
  const first = sameLevelChain?.first ?? left;
  const rest = [...(sameLevelChain?.rest ?? []), { op, operand: right }];
  return {
    kind: "chain",
    level,
    first,
    rest,
    depth: Math.max(sameLevelChain?.depth ?? 0, depthAbove(first, right)),
  };
}

/** Operands joined by operators of the same precedence; `rest` has at least one. */
export function chain(
  level: number,
  first: Node,
  rest: readonly { op: BinaryOp; operand: Node }[],
): Node {
  if (first.kind === "chain" && first.level === level) {
    return chain(level, first.first, [...first.rest, ...rest]);
  }
  let depth = depthAbove(first);
  for (const { operand } of rest) depth = Math.max(depth, operand.depth + 1);
  return { kind: "chain", level, first, rest, depth };
}

export const condition = (test: Node, then: Node | null, otherwise: Node): Node => ({
  kind: "condition",
  test,
  then,
  otherwise,
  depth: depthAbove(test, then, otherwise),
});

export const list = (items: readonly Node[]): Node => ({
  kind: "list",
  items,
  depth: depthAbove(...items),
});

/** An ad literal. Of entries whose names differ only in case, the last is kept. */
export function record(given: readonly Entry[]): Node {
  const entries = [...new Map(given.map((entry) => [entry.name.toLowerCase(), entry])).values()];
  return { kind: "ad", entries, depth: depthAbove(...entries.map(({ node }) => node)) };
}

export const call = (name: string, args: readonly Node[]): Node => ({
  kind: "call",
  name,
  key: name.toLowerCase(),
  args,
  depth: depthAbove(...args),
});

export const select = (base: Node, name: string): Node => ({
  kind: "select",
  base,
  name,
  key: name.toLowerCase(),
  depth: depthAbove(base),
});

export const subscript = (base: Node, index: Node): Node => ({
  kind: "subscript",
  base,
  index,
  depth: depthAbove(base, index),
});

/** The direct children of a node. */
export function children(node: Node): readonly Node[] {
  switch (node.kind) {
    case "literal":
    case "attribute":
      return [];
    case "unary":
      return [node.operand];
    case "chain":
      return [node.first, ...node.rest.map(({ operand }) => operand)];
    case "condition":
      return node.then === null
        ? [node.test, node.otherwise]
        : [node.test, node.then, node.otherwise];
    case "list":
      return node.items;
    case "ad":
      return node.entries.map((entry) => entry.node);
    case "call":
      return node.args;
    case "select":
      return [node.base];
    case "subscript":
      return [node.base, node.index];
  }
}
