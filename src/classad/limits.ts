/**
 * Limits on the cost of one expression. An evaluation takes at most `steps` steps of work: one for
 * each node that is evaluated, and one for each 32 characters or each list item that a function
 * processes.
 */
export interface Limits {
  /** Characters in the text of an expression. */
  textLength: number;
  /** Nesting depth of an expression, in its text and in its tree. */
  depth: number;
  steps: number;
  /**
   * Sum of the tree depths of all attributes that are being evaluated at once, each referred to by
   * the one before.
   */
  attributeDepth: number;
  /** Characters of a string, and items of a list, that an expression produces. */
  resultSize: number;
  /** Characters of a regular expression. */
  patternLength: number;
  /** Instructions that a regular expression compiles to. */
  patternInstructions: number;
}

export const defaultLimits: Limits = {
  textLength: 65_536,
  // 100 levels of parser and evaluator recursion use a tenth of Node's default stack.
  depth: 100,
  steps: 100_000,
  attributeDepth: 500,
  resultSize: 65_536,
  patternLength: 1024,
  patternInstructions: 2000,
};
