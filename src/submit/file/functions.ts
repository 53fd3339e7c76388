import {
  ClassAdError,
  Expression,
  Failure,
  isNumber,
  printValue,
  UNDEFINED,
  type Value,
} from "../../classad/index.js";

/** What macro functions may read. */
export interface MacroAccess {
  /** The value of a macro, or null when nothing sets it. */
  value(name: string): string | null;
  /** Text with its macros replaced. */
  expand(text: string): string;
  environment(name: string): string | null;
  random(): number;
  fullPath(path: string): string;
}

export interface FunctionError {
  reason: string;
}

/**
 * Names of macro functions. The letters after `F` select parts of a path.
 */
export const FUNCTION_NAME =
  /^(ENV|INT|REAL|STRING|EVAL|CHOICE|RANDOM_CHOICE|RANDOM_INTEGER|SUBSTR|BASENAME|DIRNAME|F[fpduwnxbqa]*)$/;

const failed = (reason: string): FunctionError => ({ reason });

/** Splits arguments at commas outside brackets and quotes, and trims them. */
export function splitArguments(text: string): string[] {
  const out: string[] = [];
  let depth = 0;
  let quoted = false;
  let from = 0;
  for (let i = 0; i < text.length; i++) {
    const c = text[i];
    if (c === '"') quoted = !quoted;
    else if (quoted) continue;
    else if (c === "(" || c === "{" || c === "[") depth++;
    else if (c === ")" || c === "}" || c === "]") depth--;
    else if (c === "," && depth === 0) {
      out.push(text.slice(from, i).trim());
      from = i + 1;
    }
  }
  out.push(text.slice(from).trim());
  return out;
}

/** Evaluates a constant expression; returns its value or the error. */
export function evaluateConstant(text: string): Value | FunctionError {
  try {
    const { value } = Expression.parse(text).evaluate();
    if (value instanceof Failure) return failed(`'${text}' is ERROR: ${value.reason}`);
    return value === UNDEFINED ? failed(`'${text}' is UNDEFINED`) : value;
  } catch (error) {
    if (!(error instanceof ClassAdError)) throw error;
    return failed(`'${text}': ${error.reason}`);
  }
}

const isFunctionError = (value: Value | FunctionError): value is FunctionError =>
  typeof value === "object" && value !== null && "reason" in value && !(value instanceof Failure);

/** Formats as printf: `%05d`, `%x`, `%.2f` or `%10s`, one conversion with text around it. */
export function formatValue(
  format: string,
  value: bigint | number | string,
): string | FunctionError {
  const match =
    /^((?:[^%]|%%)*)%([-+ 0#]*)(\d{0,3})(?:\.(\d{1,2}))?(?:l{0,2}|h{0,2})([diouxXeEfgGs])((?:[^%]|%%)*)$/.exec(
      format,
    );
  if (match === null) return failed(`no such format: ${format}`);
  const [, before = "", flags = "", width = "", precision, letter = "s", after = ""] = match;
  let body: string;
  if (letter === "s") body = String(value);
  else if (/[eEfgG]/.test(letter)) {
    const digits = precision === undefined ? 6 : Number(precision);
    const real = Number(value);
    body =
      letter === "f"
        ? real.toFixed(digits)
        : /[eE]/.test(letter)
          ? real.toExponential(digits).replace(/e([+-])(\d)$/, "e$10$2")
          : String(Number(real.toPrecision(Math.max(1, digits))));
    if (/[EG]/.test(letter)) body = body.toUpperCase();
  } else {
    const whole = typeof value === "bigint" ? value : BigInt(Math.trunc(Number(value)));
    const base = letter === "o" ? 8 : /[xX]/.test(letter) ? 16 : 10;
    body = (/[ouxX]/.test(letter) ? BigInt.asUintN(64, whole) : whole).toString(base);
    if (letter === "X") body = body.toUpperCase();
  }
  if (flags.includes("+") && /[diefgEG]/.test(letter) && !body.startsWith("-")) body = `+${body}`;
  const size = Number(width);
  if (flags.includes("-")) body = body.padEnd(size);
  else if (flags.includes("0") && letter !== "s") {
    const sign = /^[+-]/.exec(body)?.[0] ?? "";
    body = sign + body.slice(sign.length).padStart(size - sign.length, "0");
  } else body = body.padStart(size);
  return before.replace(/%%/g, "%") + body + after.replace(/%%/g, "%");
}

/** The value of the macro that an argument names, or the expanded argument itself. */
const argumentText = (arg: string, asks: MacroAccess): string =>
  asks.value(arg) ?? asks.expand(arg);

function convertValue(word: string, args: string[], asks: MacroAccess): string | FunctionError {
  const [item, format] = args;
  if (item === undefined || item === "" || args.length > 2) {
    return failed(`$${word} needs a name or an expression, and may have a format`);
  }
  const text = argumentText(item, asks);
  if (word === "STRING") {
    const value = evaluateConstant(text);
    const shown = isFunctionError(value) ? text : typeof value === "string" ? value : text;
    return format === undefined ? shown : formatValue(format, shown);
  }
  const value = evaluateConstant(text);
  if (isFunctionError(value)) return value;
  if (word === "EVAL") return typeof value === "string" ? value : printValue(value);
  const number = typeof value === "boolean" ? (value ? 1n : 0n) : value;
  if (!isNumber(number)) return failed(`'${text}' is no number`);
  if (word === "REAL") {
    return formatValue(format ?? "%.16G", Number(number));
  }
  if (typeof number === "number" && !Number.isFinite(number))
    return failed(`'${text}' is no integer`);
  return formatValue(format ?? "%d", typeof number === "bigint" ? number : Math.trunc(number));
}

function evaluateInteger(text: string, asks: MacroAccess): number | FunctionError {
  const value = evaluateConstant(argumentText(text, asks));
  if (isFunctionError(value)) return value;
  return typeof value === "bigint" ? Number(value) : failed(`'${text}' is no integer`);
}

const splitWords = (text: string): string[] => text.split(/[,\s]+/).filter((piece) => piece !== "");

function chooseItem(args: string[], asks: MacroAccess): string | FunctionError {
  const [index, ...rest] = args;
  if (index === undefined || rest.length === 0) return failed("$CHOICE needs a number and a list");
  const at = evaluateInteger(index, asks);
  if (typeof at !== "number") return at;
  const named = rest.length === 1 ? asks.value(rest[0]!) : null;
  const list = named === null ? rest.map((item) => asks.expand(item)) : splitWords(named);
  return list[at] ?? failed(`$CHOICE(${at}) of a list with ${list.length} items`);
}

function randomInteger(args: string[], asks: MacroAccess): string | FunctionError {
  const numbers: number[] = [];
  for (const arg of args) {
    const number = evaluateInteger(arg, asks);
    if (typeof number !== "number") return number;
    numbers.push(number);
  }
  const [low, high, step = 1] = numbers;
  if (low === undefined || high === undefined || step < 1 || high < low) {
    return failed("$RANDOM_INTEGER needs the least, the most, and may have a step of at least 1");
  }
  const count = Math.floor((high - low) / step) + 1;
  return String(low + step * Math.floor(asks.random() * count));
}

function substring(args: string[], asks: MacroAccess): string | FunctionError {
  const [name, from, length] = args;
  if (name === undefined || from === undefined) return failed("$SUBSTR needs a name and a number");
  const text = argumentText(name, asks);
  const start = evaluateInteger(from, asks);
  if (typeof start !== "number") return start;
  const begin = start < 0 ? Math.max(0, text.length + start) : start;
  if (length === undefined) return text.slice(begin);
  const count = evaluateInteger(length, asks);
  if (typeof count !== "number") return count;
  return text.slice(begin, count < 0 ? text.length + count : begin + count);
}

/** The parts of a path that the letters after `$F` select. */
export function pathParts(letters: string, path: string, full: (path: string) => string): string {
  let text = path.trim().replace(/^"(.*)"$/, "$1");
  if (letters.includes("f")) text = full(text);
  const slash = Math.max(text.lastIndexOf("/"), text.lastIndexOf("\\"));
  const folder = text.slice(0, slash + 1);
  const name = text.slice(slash + 1);
  const dot = name.lastIndexOf(".");
  const stem = dot > 0 ? name.slice(0, dot) : name;
  const extension = dot > 0 ? name.slice(dot) : "";
  let out = "";
  if (/[pdnx]/.test(letters)) {
    if (letters.includes("p")) out += folder;
    else if (letters.includes("d")) out += /[^/\\]+[/\\]$/.exec(folder)?.[0] ?? "";
    if (letters.includes("b") && !/[nx]/.test(letters)) out = out.replace(/[/\\]$/, "");
    if (letters.includes("n")) out += stem;
    if (letters.includes("x")) {
      out += letters.includes("b") && !letters.includes("n") ? extension.slice(1) : extension;
    }
  } else out = text;
  if (letters.includes("u")) out = out.replace(/\\/g, "/");
  if (letters.includes("w")) out = out.replace(/\//g, "\\");
  if (letters.includes("q")) out = `"${out}"`;
  else if (letters.includes("a")) out = `'${out}'`;
  return out;
}

/** Calls a macro function; returns its text or the error. */
export function callFunction(
  word: string,
  args: string[],
  asks: MacroAccess,
): string | FunctionError {
  const [first = "", second] = args;
  switch (word) {
    case "ENV": {
      const colon = args.join(",").indexOf(":");
      const all = args.join(",");
      const name = colon < 0 ? all : all.slice(0, colon);
      const value = asks.environment(name.trim());
      if (value !== null) return value;
      return colon < 0
        ? failed(`$ENV(${name}): there is no such variable`)
        : asks.expand(all.slice(colon + 1));
    }
    case "INT":
    case "REAL":
    case "STRING":
    case "EVAL":
      return convertValue(word, args, asks);
    case "CHOICE":
      return chooseItem(args, asks);
    case "RANDOM_CHOICE": {
      const named = args.length === 1 ? asks.value(first) : null;
      const list = named === null ? args.map((item) => asks.expand(item)) : splitWords(named);
      return list[Math.floor(asks.random() * list.length)] ?? failed("$RANDOM_CHOICE of nothing");
    }
    case "RANDOM_INTEGER":
      return randomInteger(args, asks);
    case "SUBSTR":
      return substring(args, asks);
    case "BASENAME": {
      const name = pathParts("nx", argumentText(first, asks), asks.fullPath);
      return second !== undefined && name.endsWith(second) ? name.slice(0, -second.length) : name;
    }
    case "DIRNAME":
      return pathParts("pb", argumentText(first, asks), asks.fullPath);
    default:
      return pathParts(word.slice(1), argumentText(first, asks), asks.fullPath);
  }
}
