import type { Ad, Attribute } from "./ad.js";
import { defaultLimits, type Limits } from "./limits.js";
import { PatternCache } from "./pattern-cache.js";
import { Failure, UNDEFINED, type Value } from "./values.js";

/**
 * A limit was exceeded. The whole expression is then ERROR, which no enclosing expression such as
 * `isError(...)` can catch.
 */
export class LimitExceeded extends Error {}

/** The scope in which names are looked up. */
export interface Frame {
  /** The innermost ad that encloses the expression. */
  readonly ad: Ad | null;
  /** The scope of the next enclosing ad. */
  readonly outer: Frame | null;
  /** The ads that `MY` and `TARGET` refer to. */
  readonly my: Ad | null;
  readonly target: Ad | null;
  readonly evaluation: Evaluation;
}

export interface RunOptions {
  limits?: Limits;
  /** Result of `time()`, in seconds since the epoch; if it is missing, `time()` is ERROR. */
  now?: number;
  /**
   * Result of `random()`, from 0 to below 1. If it is missing, `random()` is ERROR, so that
   * evaluation is deterministic.
   */
  random?: () => number;
}

/**
 * State of one evaluation: its limits, its cost so far, and the attributes that are in progress.
 */
export class Evaluation {
  steps = 0;
  attributeDepth = 0;
  readonly limits: Limits;
  readonly now: number | null;
  readonly random: (() => number) | null;
  readonly patterns: PatternCache;
  /** Attributes that are being evaluated, to detect one that refers to itself. */
  readonly #inProgress = new Set<Attribute>();

  constructor(
    /** Evaluates an attribute's expression: by walking its tree, or compiled. */
    readonly attributeEvaluator: (attribute: Attribute, frame: Frame) => Value,
    { limits = defaultLimits, now, random }: RunOptions = {},
  ) {
    this.limits = limits;
    this.now = now ?? null;
    this.random = random ?? null;
    this.patterns = PatternCache.forLimits(limits);
  }

  /** Counts work. @throws LimitExceeded */
  chargeSteps(steps: number): void {
    this.steps += steps;
    if (this.steps > this.limits.steps)
      throw new LimitExceeded(`evaluation takes more than ${this.limits.steps} steps`);
  }

  /** Counts the work of a function that processes a text of this length. */
  chargeText(length: number): void {
    this.chargeSteps(1 + (length >> 5));
  }

  evaluateAttribute(attribute: Attribute, frame: Frame): Value {
    if (this.#inProgress.has(attribute)) return new Failure(`${attribute.name} refers to itself`);
    this.attributeDepth += attribute.node.depth;
    if (this.attributeDepth > this.limits.attributeDepth) {
      throw new LimitExceeded(
        `attributes refer to attributes more than ${this.limits.attributeDepth} deep`,
      );
    }
    this.#inProgress.add(attribute);
    try {
      return this.attributeEvaluator(attribute, frame);
    } finally {
      this.#inProgress.delete(attribute);
      this.attributeDepth -= attribute.node.depth;
    }
  }
}

/** The scope of an expression that belongs to `my` and is matched with `target`. */
export const frameOf = (my: Ad | null, target: Ad | null, evaluation: Evaluation): Frame => ({
  ad: my,
  outer: null,
  my,
  target,
  evaluation,
});

/**
 * Looks up a name without a scope: in the enclosing ads from the inside out, in `MY`, then in
 * `TARGET`. For the expressions of `TARGET`, the two ads change roles.
 */
export function lookUp(key: string, frame: Frame): Value {
  const { evaluation } = frame;
  for (let scope: Frame | null = frame; scope !== null; scope = scope.outer) {
    const attribute = scope.ad?.get(key);
    if (attribute !== undefined) return evaluation.evaluateAttribute(attribute, scope);
  }
  return lookUpMyOrElse(key, frame, () => lookUpTarget(key, frame));
}

function lookUpMyOrElse(key: string, frame: Frame, otherwise: () => Value): Value {
  const attribute = frame.my?.get(key);
  if (attribute === undefined) return otherwise();
  return frame.evaluation.evaluateAttribute(
    attribute,
    frameOf(frame.my, frame.target, frame.evaluation),
  );
}

export function lookUpTarget(key: string, { my, target, evaluation }: Frame): Value {
  const attribute = target?.get(key);
  return attribute === undefined
    ? UNDEFINED
    : evaluation.evaluateAttribute(attribute, frameOf(target, my, evaluation));
}

export const lookUpMy = (key: string, frame: Frame): Value =>
  lookUpMyOrElse(key, frame, () => UNDEFINED);

/** `.x`: looks the name up in the outermost ad that encloses the expression. */
export function lookUpRoot(key: string, frame: Frame): Value {
  let root = frame;
  while (root.outer !== null) root = root.outer;
  const attribute = root.ad?.get(key);
  return attribute === undefined ? UNDEFINED : root.evaluation.evaluateAttribute(attribute, root);
}
