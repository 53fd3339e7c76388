import type { Ad } from "./ad.js";
import { below, type Node } from "./ast.js";
import { lazies } from "./evaluate.js";
import { functions } from "./functions/index.js";

/** What an expression of one ad depends on. */
export interface Reads {
  /** Attributes that may be looked up in the other ad, in lower case. */
  target: Set<string>;
  /** Attributes of its own ad, and through them. */
  my: Set<string>;
  /** Whether it asks for the time. */
  time: boolean;
  /** Whether it may read anything at all: it evaluates text. */
  anything: boolean;
  /** Functions that do not exist, as written. */
  unknown: Set<string>;
}

/** Functions that ask for the time, and those that do when they have no argument. */
const CLOCK = new Set(["time", "currenttime"]);
const CLOCK_ALONE = new Set(["abstime", "formattime", "daytime"]);

/** Which attributes an expression reads, through those of its own ad. */
export function reads(node: Node, my: Ad | null): Reads {
  const found: Reads = {
    target: new Set(),
    my: new Set(),
    time: false,
    anything: false,
    unknown: new Set(),
  };
  const open: Node[] = [node];
  for (let next = open.pop(); next !== undefined; next = open.pop()) {
    if (next.kind === "attribute") {
      const { key, where } = next;
      const own = where === "target" ? undefined : my?.get(key);
      if (own === undefined) {
        if (where !== "my" && where !== "root") found.target.add(key);
      } else if (!found.my.has(key)) {
        found.my.add(key);
        open.push(own.node);
      }
    } else if (next.kind === "call") {
      const { key, args } = next;
      if (CLOCK.has(key) || (args.length === 0 && CLOCK_ALONE.has(key))) found.time = true;
      if (next.key === "eval") found.anything = true;
      if (!functions.has(next.key) && lazies[next.key] === undefined) found.unknown.add(next.name);
    }
    open.push(...below(next));
  }
  return found;
}

/** The clauses of a conjunction, outermost first: what `a && (b || c) && d` is made of. */
export function clauses(node: Node): Node[] {
  if (node.kind !== "chain" || node.rest[0]!.op !== "&&") return [node];
  return [node.first, ...node.rest.map(({ operand }) => operand)].flatMap(clauses);
}
