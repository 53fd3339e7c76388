import type { Ad } from "./ad.js";
import { children, type Node } from "./ast.js";
import { lazyFunctions } from "./evaluate.js";
import { functions } from "./functions/index.js";

/** What the value of an expression depends on. */
export interface Reads {
  /** Attributes that may be looked up in the other ad, in lower case. */
  target: Set<string>;
  /**
   * Attributes of its own ad that it reads, directly or through other attributes, in lower case.
   */
  my: Set<string>;
  /** Whether it reads the current time. */
  time: boolean;
  /** Whether it may read any attribute, because it evaluates text with `eval`. */
  anything: boolean;
  /** Called functions that do not exist, in the case they are written in. */
  unknownFunctions: Set<string>;
}

/** Functions that read the current time. */
const TIME_FUNCTIONS = new Set(["time", "currenttime"]);
/** Functions that read the current time if they are called without an argument. */
const TIME_FUNCTIONS_WITHOUT_ARGUMENT = new Set(["abstime", "formattime", "daytime"]);

/** Finds what an expression reads, following references to attributes of its own ad. */
export function reads(node: Node, my: Ad | null): Reads {
  const found: Reads = {
    target: new Set(),
    my: new Set(),
    time: false,
    anything: false,
    unknownFunctions: new Set(),
  };
  const pending: Node[] = [node];
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    if (next.kind === "attribute") {
      const { key, where } = next;
      const ownAttribute = where === "target" ? undefined : my?.get(key);
      if (ownAttribute === undefined) {
        if (where !== "my" && where !== "root") found.target.add(key);
      } else if (!found.my.has(key)) {
        found.my.add(key);
        pending.push(ownAttribute.node);
      }
    } else if (next.kind === "call") {
      const { key, args } = next;
      if (
        TIME_FUNCTIONS.has(key) ||
        (args.length === 0 && TIME_FUNCTIONS_WITHOUT_ARGUMENT.has(key))
      )
        found.time = true;
      if (next.key === "eval") found.anything = true;
      if (!functions.has(next.key) && lazyFunctions[next.key] === undefined)
        found.unknownFunctions.add(next.name);
    }
    pending.push(...children(next));
  }
  return found;
}

/**
 * The operands of a conjunction in order, nested ones flattened: `a`, `b || c` and `d` of `a && (b
 * || c) && d`.
 */
export function clauses(node: Node): Node[] {
  if (node.kind !== "chain" || node.rest[0]!.op !== "&&") return [node];
  return [node.first, ...node.rest.map(({ operand }) => operand)].flatMap(clauses);
}
