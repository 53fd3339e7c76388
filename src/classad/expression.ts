import type { Ad } from "./ad.js";
import type { Node } from "./ast.js";
import { type Code, compile, fold, type Outcome, run, type Sides } from "./compile.js";
import type { RunOptions } from "./evaluation.js";
import { defaultLimits, type Limits } from "./limits.js";
import { parseExpression } from "./parser.js";
import { print } from "./print.js";
import { type Reads, reads } from "./reads.js";

/** An expression that is parsed and compiled once, and evaluated against many ads. */
export class Expression {
  readonly #code: Code;

  constructor(readonly node: Node) {
    this.#code = compile(fold(node));
  }

  /** @throws ClassAdError with line, column and what was expected */
  static parse(text: string, limits: Limits = defaultLimits): Expression {
    return new Expression(parseExpression(text, limits));
  }

  evaluate(sides: Sides = {}, options?: RunOptions): Outcome {
    return run(this.#code, sides, options);
  }

  /** Which attributes of its own ad and of the other ad it reads. */
  reads(my: Ad | null = null): Reads {
    return reads(this.node, my);
  }

  /** The canonical text. */
  toString(): string {
    return print(this.node);
  }
}
