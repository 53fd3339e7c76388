import type { Ad } from "./ad.js";
import type { Node } from "./ast.js";
import { type Code, compile, fold, type Outcome, run, type Sides } from "./compile.js";
import { defaultLimits, type Limits } from "./limits.js";
import { parseExpression } from "./parser.js";
import { print } from "./print.js";
import { type Reads, reads } from "./reads.js";
import type { RunOptions } from "./run.js";

/** An expression that is read and compiled once, and evaluated against many ads. */
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

  /** Which attributes it reads, of its own ad and of the other. */
  reads(my: Ad | null = null): Reads {
    return reads(this.node, my);
  }

  /** The canonical text. */
  toString(): string {
    return print(this.node);
  }
}
