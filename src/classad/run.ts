import type { Ad, Attribute } from "./ad.js";
import { defaultLimits, type Limits } from "./limits.js";
import { Patterns } from "./patterns.js";
import { Failure, UNDEFINED, type Value } from "./values.js";

/** A bound is reached: the whole expression is ERROR, whatever stands around the place. */
export class Exhausted extends Error {}

/** Where names are looked up. */
export interface Frame {
  /** The innermost ad round the expression, and the one round that. */
  readonly ad: Ad | null;
  readonly outer: Frame | null;
  /** What `MY` and `TARGET` are. */
  readonly my: Ad | null;
  readonly target: Ad | null;
  readonly run: Run;
}

export interface RunOptions {
  limits?: Limits;
  /** What `time()` says, seconds since the epoch; without it, `time()` is ERROR. */
  now?: number;
  /** What `random()` says, from 0 to below 1; without it, `random()` is ERROR: same question, same answer. */
  random?: () => number;
}

/** One evaluation: what it may cost, what it has cost, and which attributes it is in the middle of. */
export class Run {
  steps = 0;
  reach = 0;
  readonly limits: Limits;
  readonly now: number | null;
  readonly random: (() => number) | null;
  readonly patterns: Patterns;
  /** Attributes that are being evaluated: one that is asked for again refers to itself. */
  readonly #busy = new Set<Attribute>();

  constructor(
    /** How an attribute's expression is evaluated: by walking its tree, or compiled. */
    readonly resolve: (attribute: Attribute, frame: Frame) => Value,
    { limits = defaultLimits, now, random }: RunOptions = {},
  ) {
    this.limits = limits;
    this.now = now ?? null;
    this.random = random ?? null;
    this.patterns = Patterns.shared(limits);
  }

  /** Counts work. @throws Exhausted */
  spend(steps: number): void {
    this.steps += steps;
    if (this.steps > this.limits.steps) throw new Exhausted(`more than ${this.limits.steps} steps`);
  }

  /** For functions that go through text. */
  spendText(length: number): void {
    this.spend(1 + (length >> 5));
  }

  attribute(attribute: Attribute, frame: Frame): Value {
    if (this.#busy.has(attribute)) return new Failure(`${attribute.name} refers to itself`);
    this.reach += attribute.node.depth;
    if (this.reach > this.limits.reach) {
      throw new Exhausted(
        `attributes that refer to attributes, more than ${this.limits.reach} deep`,
      );
    }
    this.#busy.add(attribute);
    try {
      return this.resolve(attribute, frame);
    } finally {
      this.#busy.delete(attribute);
      this.reach -= attribute.node.depth;
    }
  }
}

/** The frame of an expression that belongs to `my`, with `target` on the other side. */
export const frameOf = (my: Ad | null, target: Ad | null, run: Run): Frame => ({
  ad: my,
  outer: null,
  my,
  target,
  run,
});

/**
 * A name without a scope: the ads round the expression from the inside out, `MY`, then `TARGET`,
 * whose own expressions see the two the other way round.
 */
export function lookUp(key: string, frame: Frame): Value {
  const { run } = frame;
  for (let at: Frame | null = frame; at !== null; at = at.outer) {
    const attribute = at.ad?.get(key);
    if (attribute !== undefined) return run.attribute(attribute, at);
  }
  return inMy(key, frame, () => inTarget(key, frame));
}

function inMy(key: string, frame: Frame, otherwise: () => Value): Value {
  const attribute = frame.my?.get(key);
  if (attribute === undefined) return otherwise();
  return frame.run.attribute(attribute, frameOf(frame.my, frame.target, frame.run));
}

export function inTarget(key: string, { my, target, run }: Frame): Value {
  const attribute = target?.get(key);
  return attribute === undefined ? UNDEFINED : run.attribute(attribute, frameOf(target, my, run));
}

export const lookUpMy = (key: string, frame: Frame): Value => inMy(key, frame, () => UNDEFINED);

/** `.x`: the outermost ad round the expression. */
export function lookUpRoot(key: string, frame: Frame): Value {
  let root = frame;
  while (root.outer !== null) root = root.outer;
  const attribute = root.ad?.get(key);
  return attribute === undefined ? UNDEFINED : root.run.attribute(attribute, root);
}
