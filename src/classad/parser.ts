import {
  EmbeddedActionsParser,
  type IParserErrorMessageProvider,
  type IToken,
  type TokenType,
  tokenLabel,
  tokenMatcher,
} from "chevrotain";
import * as ast from "./ast.js";
import { ClassAdError } from "./errors.js";
import * as t from "./lexer.js";
import { defaultLimits, type Limits } from "./limits.js";
import { Failure, UNDEFINED, wrapToInt64 } from "./values.js";

const labelsOf = (types: readonly TokenType[]): string[] => [...new Set(types.map(tokenLabel))];

const describeToken = (token: IToken | undefined): string =>
  token === undefined || token.image === "" ? "the end" : `'${token.image.slice(0, 40)}'`;

const expectedMessage = (expected: readonly string[], token: IToken | undefined): string =>
  `expected ${expected.length > 1 ? `${expected.slice(0, -1).join(", ")} or ` : ""}${
    expected.at(-1) ?? "something else"
  }, found ${describeToken(token)}`;

/**
 * Chevrotain allows only a string as message, so each is the list of expected token labels as JSON.
 * `parse` builds the text for users from it.
 */
const errorMessages: IParserErrorMessageProvider = {
  buildMismatchTokenMessage: ({ expected }) => JSON.stringify(labelsOf([expected])),
  buildNotAllInputParsedMessage: () => JSON.stringify(["an operator", "the end"]),
  buildNoViableAltMessage: ({ expectedPathsPerAlt }) =>
    JSON.stringify(
      labelsOf(expectedPathsPerAlt.flatMap((paths) => paths.flatMap(([first]) => first ?? []))),
    ),
  buildEarlyExitMessage: ({ expectedIterationPaths }) =>
    JSON.stringify(labelsOf(expectedIterationPaths.flatMap(([first]) => first ?? []))),
};

const UNIT_SHIFTS: Record<string, bigint> = { b: 0n, k: 10n, m: 20n, g: 30n, t: 40n };

class Grammar extends EmbeddedActionsParser {
  depth = 0;
  maxDepth = 0;

  constructor() {
    super(t.vocabulary, { errorMessageProvider: errorMessages, maxLookahead: 2 });
    this.performSelfAnalysis();
  }

  #fail(reason: string, token: IToken): never {
    throw new ClassAdError(reason, token.startLine ?? 1, token.startColumn ?? 1);
  }

  #checkDepth(node: ast.Node): ast.Node {
    if (node.depth > this.maxDepth)
      this.#fail(`nested more than ${this.maxDepth} deep`, this.LA(0));
    return node;
  }

  readonly expression = this.RULE("expression", (): ast.Node => {
    this.ACTION(() => {
      if (++this.depth > this.maxDepth)
        this.#fail(`nested more than ${this.maxDepth} deep`, this.LA(1));
    });
    let node = this.SUBRULE(this.operation);
    this.OPTION(() => {
      this.CONSUME(t.Question);
      const then = this.OPTION2(() => this.SUBRULE(this.expression));
      this.CONSUME(t.Colon);
      const otherwise = this.SUBRULE2(this.expression);
      this.ACTION(() => {
        node = this.#checkDepth(ast.condition(node, then ?? null, otherwise));
      });
    });
    this.ACTION(() => {
      this.depth--;
    });
    return node;
  });

  readonly operation = this.RULE("operation", (): ast.Node => {
    const operands: ast.Node[] = [this.SUBRULE(this.operand)];
    const ops: ast.BinaryOp[] = [];
    this.MANY(() => {
      const token = this.CONSUME(t.Binary);
      const operand = this.SUBRULE2(this.operand);
      this.ACTION(() => {
        ops.push(binaryOpOf(token));
        operands.push(operand);
      });
    });
    return this.ACTION(() =>
      this.#checkDepth(ops.length === 0 ? operands[0]! : groupByPrecedence(operands, ops)),
    );
  });

  readonly operand = this.RULE("operand", (): ast.Node => {
    const prefixOperators: IToken[] = [];
    this.MANY(() => {
      prefixOperators.push(
        this.OR([{ ALT: () => this.CONSUME(t.Sign) }, { ALT: () => this.CONSUME(t.Prefix) }]),
      );
    });
    let node = this.SUBRULE(this.primary);
    this.MANY2(() => {
      this.OR2([
        {
          ALT: () => {
            this.CONSUME(t.Dot);
            const name = this.SUBRULE(this.name);
            this.ACTION(() => {
              node = this.#checkDepth(selectOrScopedName(node, name));
            });
          },
        },
        {
          ALT: () => {
            this.CONSUME(t.OpenSquare);
            const index = this.SUBRULE(this.expression);
            this.CONSUME(t.CloseSquare);
            this.ACTION(() => {
              node = this.#checkDepth(ast.subscript(node, index));
            });
          },
        },
      ]);
    });
    this.ACTION(() => {
      for (const { image } of prefixOperators.reverse()) {
        // `-9223372036854775808` (-2^63) is one literal, as the printer writes it.
        if (image === "-" && node.kind === "literal" && node.value === -(2n ** 63n)) continue;
        node = this.#checkDepth(ast.unary(image as ast.UnaryOp, node));
      }
    });
    return node;
  });

  readonly primary = this.RULE(
    "primary",
    (): ast.Node =>
      this.OR([
        { ALT: () => this.SUBRULE(this.constant) },
        { ALT: () => this.SUBRULE(this.reference) },
        {
          ALT: () => {
            this.CONSUME(t.Dot);
            const name = this.SUBRULE(this.name);
            return this.ACTION(() => ast.attribute(name, "root"));
          },
        },
        {
          ALT: () => {
            this.CONSUME(t.Open);
            const node = this.SUBRULE(this.expression);
            this.CONSUME(t.Close);
            return node;
          },
        },
        {
          ALT: () => {
            const items: ast.Node[] = [];
            this.CONSUME(t.OpenCurly);
            this.MANY_SEP({
              SEP: t.Comma,
              DEF: () => {
                items.push(this.SUBRULE2(this.expression));
              },
            });
            this.CONSUME(t.CloseCurly);
            return this.ACTION(() => this.#checkDepth(ast.list(items)));
          },
        },
        { ALT: () => this.SUBRULE(this.record) },
      ]),
  );

  readonly constant = this.RULE(
    "constant",
    (): ast.Node =>
      this.OR([
        {
          ALT: () => {
            const token = this.CONSUME(t.Integer);
            return this.ACTION(() => ast.literal(this.#parseInteger(token)));
          },
        },
        { ALT: () => ast.literal(Number(this.CONSUME(t.Real).image)) },
        {
          ALT: () => {
            const token = this.CONSUME(t.Text);
            return this.ACTION(() => ast.literal(t.unquote(token.image)));
          },
        },
        {
          ALT: () => {
            this.CONSUME(t.True);
            return ast.literal(true);
          },
        },
        {
          ALT: () => {
            this.CONSUME(t.False);
            return ast.literal(false);
          },
        },
        {
          ALT: () => {
            this.CONSUME(t.Undefined);
            return ast.literal(UNDEFINED);
          },
        },
        {
          ALT: () => {
            this.CONSUME(t.ErrorWord);
            return ast.literal(new Failure("written"));
          },
        },
      ]),
  );

  #parseInteger(token: IToken): bigint {
    const unit = /^0[xX]/.test(token.image)
      ? undefined
      : UNIT_SHIFTS[token.image.at(-1)!.toLowerCase()];
    const digits = unit === undefined ? token.image : token.image.slice(0, -1);
    const octal = /^0[0-7]+$/.test(digits);
    const value = BigInt(octal ? `0o${digits.slice(1)}` : digits) << (unit ?? 0n);
    // 2^63 is allowed because -2^63 is the smallest integer; without a minus it wraps to -2^63.
    if (value > 2n ** 63n) this.#fail("an integer has at most 64 bits", token);
    return wrapToInt64(value);
  }

  readonly reference = this.RULE("reference", (): ast.Node => {
    const name = this.SUBRULE(this.name);
    let args: ast.Node[] | null = null;
    this.OPTION(() => {
      this.CONSUME(t.Open);
      const given: ast.Node[] = [];
      this.MANY_SEP({
        SEP: t.Comma,
        DEF: () => {
          given.push(this.SUBRULE(this.expression));
        },
      });
      this.CONSUME(t.Close);
      args = given;
    });
    return this.ACTION(() =>
      this.#checkDepth(args === null ? ast.attribute(name) : ast.call(name, args)),
    );
  });

  readonly name = this.RULE("name", (): string =>
    this.OR([
      { ALT: () => this.CONSUME(t.Name).image },
      {
        ALT: () => {
          const { image } = this.CONSUME(t.QuotedName);
          return this.ACTION(() => t.unquote(image));
        },
      },
    ]),
  );

  readonly record = this.RULE("record", (): ast.Node => {
    const entries: ast.Entry[] = [];
    this.CONSUME(t.OpenSquare);
    this.OPTION(() => {
      entries.push(this.SUBRULE(this.entry));
    });
    this.MANY(() => {
      this.CONSUME(t.Semicolon);
      this.OPTION2(() => {
        entries.push(this.SUBRULE2(this.entry));
      });
    });
    this.CONSUME(t.CloseSquare);
    return this.ACTION(() => this.#checkDepth(ast.record(entries)));
  });

  readonly entry = this.RULE("entry", (): ast.Entry => {
    const name = this.SUBRULE(this.name);
    this.CONSUME(t.Equals);
    return { name, node: this.SUBRULE(this.expression) };
  });
}

/** `MY.x` and `TARGET.x` are attributes of the two ads; any other `a.x` is a selection. */
function selectOrScopedName(base: ast.Node, name: string): ast.Node {
  if (base.kind === "attribute" && base.where === "any") {
    if (base.key === "my") return ast.attribute(name, "my");
    if (base.key === "target") return ast.attribute(name, "target");
  }
  return ast.select(base, name);
}

function binaryOpOf(token: IToken): ast.BinaryOp {
  if (tokenMatcher(token, t.Is)) return "=?=";
  if (tokenMatcher(token, t.Isnt)) return "=!=";
  return token.image as ast.BinaryOp;
}

/**
 * Groups operands by operator precedence, without recursion: one pass with a stack of open chains.
 */
function groupByPrecedence(operands: readonly ast.Node[], ops: readonly ast.BinaryOp[]): ast.Node {
  const openChains: {
    level: number;
    first: ast.Node;
    rest: { op: ast.BinaryOp; operand: ast.Node }[];
  }[] = [];
  let right = operands[0]!;
  for (let i = 0; i <= ops.length; i++) {
    const op = ops[i];
    const level = op === undefined ? -1 : ast.precedenceOf.get(op)!;
    // This operand completes all chains of a higher precedence than the next operator.
    for (
      let top = openChains.at(-1);
      top !== undefined && top.level > level;
      top = openChains.at(-1)
    ) {
      top.rest.at(-1)!.operand = right;
      right = ast.chain(top.level, top.first, top.rest);
      openChains.pop();
    }
    if (op === undefined) break;
    const top = openChains.at(-1);
    const pendingOperand = { op, operand: right };
    if (top !== undefined && top.level === level) {
      top.rest.at(-1)!.operand = right;
      top.rest.push(pendingOperand);
    } else {
      openChains.push({ level, first: right, rest: [pendingOperand] });
    }
    right = operands[i + 1]!;
  }
  return right;
}

const grammar = new Grammar();

function parse<T>(text: string, rule: () => T, limits: Limits): T {
  if (text.length > limits.textLength) {
    throw new ClassAdError(`longer than ${limits.textLength} characters`, 1, 1);
  }
  const { tokens, errors } = t.lexer.tokenize(text);
  const lexError = errors[0];
  if (lexError !== undefined) {
    const character = text[lexError.offset];
    const reason =
      character === '"' || character === "'"
        ? "this quote is not closed"
        : `unexpected character '${character}'`;
    throw new ClassAdError(reason, lexError.line ?? 1, lexError.column ?? 1);
  }
  grammar.depth = 0;
  grammar.maxDepth = limits.depth;
  grammar.input = tokens;
  const result = rule();
  const [parseError] = grammar.errors;
  if (parseError === undefined) return result;
  const expected = JSON.parse(parseError.message) as string[];
  // At the end of the input there is no token: report the position after the last one.
  const atEnd =
    parseError.token === undefined || Number.isNaN(parseError.token.startOffset ?? Number.NaN);
  const lastToken = tokens.at(-1);
  const line = atEnd ? (lastToken?.startLine ?? 1) : parseError.token.startLine!;
  const column = atEnd
    ? (lastToken?.startColumn ?? 1) + (lastToken?.image.length ?? 0)
    : parseError.token.startColumn!;
  throw new ClassAdError(
    expectedMessage(expected, atEnd ? undefined : parseError.token),
    line,
    column,
    expected,
  );
}

/** Parses one expression. @throws ClassAdError with line, column and what was expected */
export const parseExpression = (text: string, limits: Limits = defaultLimits): ast.Node =>
  parse(text, () => grammar.expression(), limits);

/** Parses an ad such as `[ a = 1; b = a + 1 ]`. @throws ClassAdError */
export const parseRecord = (text: string, limits: Limits = defaultLimits): ast.NodeOfKind<"ad"> =>
  parse(text, () => grammar.record(), limits) as ast.NodeOfKind<"ad">;
