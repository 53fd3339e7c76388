import type { BinaryOp } from "../ast.js";
import { applyBinary } from "../operators.js";
import type { Run } from "../run.js";
import {
  Bound,
  Failure,
  identical,
  isList,
  numeric,
  truth,
  typeOf,
  UNDEFINED,
  type Value,
} from "../values.js";
import type { Fn } from "./index.js";
import { ofText, pieces } from "./strings.js";

const COMPARISONS = new Set<string>(["<", "<=", "==", "!=", ">=", ">", "=?=", "=!=", "is", "isnt"]);

function items(value: Value, run: Run): readonly Value[] | Failure {
  if (!isList(value)) return new Failure(`needs a list, not ${typeOf(value)}`);
  run.spend(1 + value.length);
  return value;
}

/** Whether any, or every, item compares with a value as asked. */
const comparing = (every: boolean): Fn => ({
  min: 3,
  max: 3,
  strict: false,
  run: ([op, list, value], run) => {
    if (typeof op !== "string" || !COMPARISONS.has(op.toLowerCase())) {
      return new Failure("needs a comparison as text");
    }
    if (list === UNDEFINED || list instanceof Failure) return list;
    const all = items(list!, run);
    if (all instanceof Failure) return all;
    const name = op.toLowerCase();
    const sign = name === "is" ? "=?=" : name === "isnt" ? "=!=" : (name as BinaryOp);
    const hits = (item: Value): boolean => truth(applyBinary(sign, item, value!)) === true;
    return every ? all.every(hits) : all.some(hits);
  },
});

/** The numbers of a list; those that are UNDEFINED are left out. */
function numbersOf(value: Value, run: Run): (bigint | number)[] | Failure {
  const list = items(value, run);
  if (list instanceof Failure) return list;
  const out: (bigint | number)[] = [];
  for (const item of list) {
    if (item === UNDEFINED) continue;
    const number = numeric(item);
    if (number === null) return new Failure(`a list of numbers holds ${typeOf(item)}`);
    out.push(number);
  }
  return out;
}

type Numbers = readonly (bigint | number)[];

const sumOf = (numbers: Numbers): Value =>
  numbers.reduce<Value>((sum, number) => applyBinary("+", sum, number), 0n);

const averageOf = (numbers: Numbers): Value =>
  numbers.length === 0 ? 0 : Number(sumOf(numbers) as bigint | number) / numbers.length;

const most = (numbers: Numbers, op: "<" | ">"): Value => {
  let best: Value = UNDEFINED;
  for (const number of numbers) {
    if (best === UNDEFINED || applyBinary(op, number, best) === true) best = number;
  }
  return best;
};

const overNumbers = (body: (numbers: Numbers) => Value): Fn => ({
  min: 1,
  max: 1,
  strict: true,
  run: ([list], run) => {
    const numbers = numbersOf(list!, run);
    return numbers instanceof Failure ? numbers : body(numbers);
  },
});

/** A list written as text: `1, 2.5, 3`. An item with a point makes the result real. */
const overText = (body: (numbers: Numbers) => Value): Fn =>
  ofText(1, 2, ([text, separators]) => {
    const numbers: (bigint | number)[] = [];
    for (const piece of pieces(text!, separators)) {
      if (/^[+-]?\d{1,18}$/.test(piece)) numbers.push(BigInt(piece.replace(/^\+/, "")));
      else if (/^[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?$/.test(piece)) numbers.push(Number(piece));
      else return new Failure("a list of numbers holds other text");
    }
    return body(numbers);
  });

const fold = (text: string, cased: boolean): string => (cased ? text : text.toLowerCase());

const inText = (cased: boolean): Fn =>
  ofText(2, 3, ([item, list, separators]) =>
    pieces(list!, separators).some((piece) => fold(piece, cased) === fold(item!, cased)),
  );

const subset = (cased: boolean): Fn =>
  ofText(2, 3, ([a, b, separators]) => {
    const there = new Set(pieces(b!, separators).map((piece) => fold(piece, cased)));
    return pieces(a!, separators).every((piece) => there.has(fold(piece, cased)));
  });

export const lists: Record<string, Fn> = {
  size: {
    min: 1,
    max: 1,
    strict: true,
    run: ([value]) => {
      if (typeof value === "string") return BigInt(value.length);
      if (value instanceof Bound) return BigInt(value.ad.size);
      return isList(value!) ? BigInt(value.length) : new Failure(`size of ${typeOf(value!)}`);
    },
  },
  member: {
    min: 2,
    max: 2,
    strict: true,
    run: ([value, list], run) => {
      const all = items(list!, run);
      if (all instanceof Failure) return all;
      return all.some((item) => truth(applyBinary("==", item, value!)) === true);
    },
  },
  identicalMember: {
    min: 2,
    max: 2,
    strict: false,
    run: ([value, list], run) => {
      if (list === UNDEFINED || list instanceof Failure) return list;
      const all = items(list!, run);
      return all instanceof Failure ? all : all.some((item) => identical(item, value!));
    },
  },
  anyCompare: comparing(false),
  allCompare: comparing(true),
  sum: overNumbers((numbers) => (numbers.length === 0 ? 0n : sumOf(numbers))),
  avg: overNumbers(averageOf),
  min: overNumbers((numbers) => most(numbers, "<")),
  max: overNumbers((numbers) => most(numbers, ">")),
  stringListSize: ofText(1, 2, ([text, separators]) => BigInt(pieces(text!, separators).length)),
  stringListSum: overText(sumOf),
  stringListAvg: overText(averageOf),
  stringListMin: overText((numbers) => most(numbers, "<")),
  stringListMax: overText((numbers) => most(numbers, ">")),
  stringListMember: inText(true),
  stringListIMember: inText(false),
  stringListSubsetMatch: subset(true),
  stringListISubsetMatch: subset(false),
  stringListsIntersect: ofText(2, 3, ([a, b, separators]) => {
    const there = new Set(pieces(b!, separators));
    return pieces(a!, separators).some((piece) => there.has(piece));
  }),
};
