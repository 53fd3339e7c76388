import { createToken, Lexer, type TokenType } from "chevrotain";

const keywordToken = (name: string, pattern: RegExp): TokenType =>
  createToken({ name, label: "a value", pattern, longer_alt: Name });

export const Name = createToken({
  name: "Name",
  label: "a name",
  pattern: /[A-Za-z_][A-Za-z0-9_]*/,
});
/** `'any text'` is an attribute name, with any characters. */
export const QuotedName = createToken({
  name: "QuotedName",
  label: "a name",
  pattern: /'(?:[^'\\\n]|\\[^\n])*'/,
  line_breaks: false,
});
export const Text = createToken({
  name: "Text",
  label: "a value",
  pattern: /"(?:[^"\\\n]|\\[^\n])*"/,
  line_breaks: false,
});
export const Real = createToken({
  name: "Real",
  label: "a value",
  pattern: /(?:\d+\.\d*|\.\d+)(?:[eE][+-]?\d+)?|\d+[eE][+-]?\d+/,
});
export const Integer = createToken({
  name: "Integer",
  label: "a value",
  pattern: /0[xX][0-9A-Fa-f]+|\d+[BKMGTbkmgt]?(?![A-Za-z0-9_])/,
});

export const True = keywordToken("True", /true/i);
export const False = keywordToken("False", /false/i);
export const Undefined = keywordToken("Undefined", /undefined/i);
export const ErrorWord = keywordToken("Error", /error/i);
export const Is = keywordToken("Is", /is/i);
export const Isnt = keywordToken("Isnt", /isnt/i);

export const Binary = createToken({ name: "Binary", label: "an operator", pattern: Lexer.NA });
/** `-` and `+`, which are unary as well as binary operators. */
export const Sign = createToken({
  name: "Sign",
  label: "an operator",
  pattern: /[-+]/,
  categories: [Binary],
});
export const Prefix = createToken({ name: "Prefix", label: "an operator", pattern: /!(?!=)|~/ });
const operatorToken = createToken({
  name: "Operator",
  label: "an operator",
  pattern: /=\?=|=!=|==|!=|\|\||&&|>>>|<<|>>|<=|>=|[<>|^&*/%]/,
  categories: [Binary],
});
Is.CATEGORIES = [Binary];
Isnt.CATEGORIES = [Binary];

const punctuationToken = (name: string, text: string): TokenType =>
  createToken({ name, label: `'${text}'`, pattern: text });
export const Question = punctuationToken("Question", "?");
export const Colon = punctuationToken("Colon", ":");
export const Comma = punctuationToken("Comma", ",");
export const Semicolon = punctuationToken("Semicolon", ";");
export const Equals = punctuationToken("Equals", "=");
export const Dot = punctuationToken("Dot", ".");
export const Open = punctuationToken("Open", "(");
export const Close = punctuationToken("Close", ")");
export const OpenSquare = punctuationToken("OpenSquare", "[");
export const CloseSquare = punctuationToken("CloseSquare", "]");
export const OpenCurly = punctuationToken("OpenCurly", "{");
export const CloseCurly = punctuationToken("CloseCurly", "}");

const space = createToken({ name: "Space", pattern: /[ \t\r\n\f\v]+/, group: Lexer.SKIPPED });
const lineComment = createToken({
  name: "LineComment",
  pattern: /\/\/[^\n]*/,
  group: Lexer.SKIPPED,
});
const comment = createToken({
  name: "Comment",
  pattern: /\/\*[^*]*\*+(?:[^/*][^*]*\*+)*\//,
  group: Lexer.SKIPPED,
  line_breaks: true,
});

export const vocabulary: TokenType[] = [
  space,
  lineComment,
  comment,
  True,
  False,
  Undefined,
  ErrorWord,
  Isnt,
  Is,
  Name,
  QuotedName,
  Text,
  Real,
  Integer,
  operatorToken,
  Sign,
  Prefix,
  Question,
  Colon,
  Comma,
  Semicolon,
  Equals,
  Dot,
  Open,
  Close,
  OpenSquare,
  CloseSquare,
  OpenCurly,
  CloseCurly,
  Binary,
];

export const lexer = new Lexer(vocabulary, { positionTracking: "onlyStart" });

const ESCAPES: Record<string, string> = { n: "\n", t: "\t", r: "\r", b: "\b", f: "\f" };

/** The content of a quoted token, with escapes resolved. */
export const unquote = (image: string): string =>
  image
    .slice(1, -1)
    .replace(/\\([0-3]?[0-7]{1,2}|.)/gs, (_, escaped: string) =>
      /^[0-7]/.test(escaped)
        ? String.fromCharCode(Number.parseInt(escaped, 8))
        : (ESCAPES[escaped] ?? escaped),
    );
