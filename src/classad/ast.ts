import type { Value } from "./values.js";

/** Where an attribute is looked up: anywhere, in one of the two ads, or from the outermost ad. */
export type Where = "any" | "my" | "target" | "root";

interface Base {
  /** Levels of nodes below and with this one. */
  readonly depth: number;
}

/**
 * An expression. Operators that associate to the left and bind alike are one `chain`, so that a
 * thousand clauses joined by `||` are one level deep and not a thousand.
 */
export type Node = Base &
  (
    | { readonly kind: "literal"; readonly value: Value }
    | {
        readonly kind: "attribute";
        readonly where: Where;
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

export type Kind<K extends Node["kind"]> = Extract<Node, { kind: K }>;

export interface Entry {
  readonly name: string;
  readonly node: Node;
}

export type UnaryOp = "-" | "+" | "!" | "~";

/** Binary operators by level: those further down bind more tightly. All associate to the left. */
export const LEVELS = [
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

export type BinaryOp = (typeof LEVELS)[number][number];

export const levelOf: ReadonlyMap<string, number> = new Map(
  LEVELS.flatMap((ops, level) => ops.map((op) => [op, level] as const)),
);

const above = (...below: (Node | null)[]): number => {
  let most = 0;
  for (const node of below) if (node !== null && node.depth > most) most = node.depth;
  return most + 1;
};

export const literal = (value: Value): Node => ({ kind: "literal", value, depth: 1 });

export const attribute = (name: string, where: Where = "any"): Node => ({
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
  depth: above(operand),
});

/** `left op right`; joins a chain of operators that bind alike. */
export function binary(left: Node, op: BinaryOp, right: Node): Node {
  const level = levelOf.get(op)!;
  const joined = left.kind === "chain" && left.level === level ? left : null;
  const first = joined?.first ?? left;
  const rest = [...(joined?.rest ?? []), { op, operand: right }];
  return {
    kind: "chain",
    level,
    first,
    rest,
    depth: Math.max(joined?.depth ?? 0, above(first, right)),
  };
}

/** Operands joined by operators that bind alike; at least one operator. */
export function chain(
  level: number,
  first: Node,
  rest: readonly { op: BinaryOp; operand: Node }[],
): Node {
  if (first.kind === "chain" && first.level === level) {
    return chain(level, first.first, [...first.rest, ...rest]);
  }
  let depth = above(first);
  for (const { operand } of rest) depth = Math.max(depth, operand.depth + 1);
  return { kind: "chain", level, first, rest, depth };
}

export const condition = (test: Node, then: Node | null, otherwise: Node): Node => ({
  kind: "condition",
  test,
  then,
  otherwise,
  depth: above(test, then, otherwise),
});

export const list = (items: readonly Node[]): Node => ({
  kind: "list",
  items,
  depth: above(...items),
});

/** Of entries with one name, whatever its case, the last counts. */
export function record(given: readonly Entry[]): Node {
  const entries = [...new Map(given.map((entry) => [entry.name.toLowerCase(), entry])).values()];
  return { kind: "ad", entries, depth: above(...entries.map(({ node }) => node)) };
}

export const call = (name: string, args: readonly Node[]): Node => ({
  kind: "call",
  name,
  key: name.toLowerCase(),
  args,
  depth: above(...args),
});

export const select = (base: Node, name: string): Node => ({
  kind: "select",
  base,
  name,
  key: name.toLowerCase(),
  depth: above(base),
});

export const subscript = (base: Node, index: Node): Node => ({
  kind: "subscript",
  base,
  index,
  depth: above(base, index),
});

/** The nodes right below one. */
export function below(node: Node): readonly Node[] {
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
