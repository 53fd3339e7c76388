/**
 * Bounds on what one expression may cost. An expression within them takes at most `steps` units
 * of work: one for each node that is evaluated, and one for each 32 characters or each item that a
 * function goes through.
 */
export interface Limits {
  /** Characters of an expression's text. */
  length: number;
  /** How deeply an expression may be nested, in its text and in the tree. */
  depth: number;
  steps: number;
  /** Nesting of expressions by attributes that refer to attributes, added up. */
  reach: number;
  /** Characters of a string, and items of a list, that an expression makes. */
  size: number;
  /** Characters of a regular expression, and instructions that it compiles to. */
  pattern: number;
  program: number;
}

export const defaultLimits: Limits = {
  length: 65_536,
  // A hundred levels of parser and evaluator take a tenth of Node's default stack.
  depth: 100,
  steps: 100_000,
  reach: 500,
  size: 65_536,
  pattern: 1024,
  program: 2000,
};
