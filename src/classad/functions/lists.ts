import type { BinaryOp } from "../ast.js";
import type { Evaluation } from "../evaluation.js";
import { applyBinary } from "../operators.js";
import {
  Failure,
  identical,
  isList,
  numeric,
  ScopedAd,
  truth,
  typeOf,
  UNDEFINED,
  type Value,
} from "../values.js";
import type { BuiltinFunction } from "./index.js";
import { splitItems, stringFunction } from "./strings.js";

const COMPARISONS = new Set<string>(["<", "<=", "==", "!=", ">=", ">", "=?=", "=!=", "is", "isnt"]);

function listItems(value: Value, evaluation: Evaluation): readonly Value[] | Failure {
  if (!isList(value)) return new Failure(`expected a list, found ${typeOf(value)}`);
  evaluation.chargeSteps(1 + value.length);
  return value;
}

/**
 * A function that tells whether any item, or every item, compares with a value by the given
 * operator.
 */
const compareItems = (every: boolean): BuiltinFunction => ({
  min: 3,
  max: 3,
  strict: false,
  run: ([op, list, value], evaluation) => {
    if (typeof op !== "string" || !COMPARISONS.has(op.toLowerCase())) {
      return new Failure("expected a comparison operator as a string");
    }
    if (list === UNDEFINED || list instanceof Failure) return list;
    const items = listItems(list!, evaluation);
    if (items instanceof Failure) return items;
    const operatorName = op.toLowerCase();
    const operator =
      operatorName === "is" ? "=?=" : operatorName === "isnt" ? "=!=" : (operatorName as BinaryOp);
    const matchesItem = (item: Value): boolean =>
      truth(applyBinary(operator, item, value!)) === true;
    return every ? items.every(matchesItem) : items.some(matchesItem);
  },
});

/** The numbers of a list; items that are UNDEFINED are left out. */
function listNumbers(value: Value, evaluation: Evaluation): (bigint | number)[] | Failure {
  const list = listItems(value, evaluation);
  if (list instanceof Failure) return list;
  const out: (bigint | number)[] = [];
  for (const item of list) {
    if (item === UNDEFINED) continue;
    const number = numeric(item);
    if (number === null)
      return new Failure(`expected a list of numbers, found an item of type ${typeOf(item)}`);
    out.push(number);
  }
  return out;
}

type Numbers = readonly (bigint | number)[];

const sumOf = (numbers: Numbers): Value =>
  numbers.reduce<Value>((sum, number) => applyBinary("+", sum, number), 0n);

const averageOf = (numbers: Numbers): Value =>
  numbers.length === 0 ? 0 : Number(sumOf(numbers) as bigint | number) / numbers.length;

const extreme = (numbers: Numbers, op: "<" | ">"): Value => {
  let best: Value = UNDEFINED;
  for (const number of numbers) {
    if (best === UNDEFINED || applyBinary(op, number, best) === true) best = number;
  }
  return best;
};

const numberListFunction = (body: (numbers: Numbers) => Value): BuiltinFunction => ({
  min: 1,
  max: 1,
  strict: true,
  run: ([list], evaluation) => {
    const numbers = listNumbers(list!, evaluation);
    return numbers instanceof Failure ? numbers : body(numbers);
  },
});

/**
 * A function of a list of numbers in a string, such as `1, 2.5, 3`. A real item makes the result
 * real.
 */
const numberStringListFunction = (body: (numbers: Numbers) => Value): BuiltinFunction =>
  stringFunction(1, 2, ([text, separators]) => {
    const numbers: (bigint | number)[] = [];
    for (const piece of splitItems(text!, separators)) {
      if (/^[+-]?\d{1,18}$/.test(piece)) numbers.push(BigInt(piece.replace(/^\+/, "")));
      else if (/^[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?$/.test(piece)) numbers.push(Number(piece));
      else return new Failure("expected a list of numbers, found an item that is not a number");
    }
    return body(numbers);
  });

const foldCase = (text: string, cased: boolean): string => (cased ? text : text.toLowerCase());

const stringListMemberFunction = (cased: boolean): BuiltinFunction =>
  stringFunction(2, 3, ([item, list, separators]) =>
    splitItems(list!, separators).some(
      (piece) => foldCase(piece, cased) === foldCase(item!, cased),
    ),
  );

const stringListSubsetFunction = (cased: boolean): BuiltinFunction =>
  stringFunction(2, 3, ([a, b, separators]) => {
    const bItems = new Set(splitItems(b!, separators).map((piece) => foldCase(piece, cased)));
    return splitItems(a!, separators).every((piece) => bItems.has(foldCase(piece, cased)));
  });

export const lists: Record<string, BuiltinFunction> = {
  size: {
    min: 1,
    max: 1,
    strict: true,
    run: ([value]) => {
      if (typeof value === "string") return BigInt(value.length);
      if (value instanceof ScopedAd) return BigInt(value.ad.size);
      return isList(value!)
        ? BigInt(value.length)
        : new Failure(`size is not defined for ${typeOf(value!)}`);
    },
  },
  member: {
    min: 2,
    max: 2,
    strict: true,
    run: ([value, list], evaluation) => {
      const all = listItems(list!, evaluation);
      if (all instanceof Failure) return all;
      return all.some((item) => truth(applyBinary("==", item, value!)) === true);
    },
  },
  identicalMember: {
    min: 2,
    max: 2,
    strict: false,
    run: ([value, list], evaluation) => {
      if (list === UNDEFINED || list instanceof Failure) return list;
      const all = listItems(list!, evaluation);
      return all instanceof Failure ? all : all.some((item) => identical(item, value!));
    },
  },
  anyCompare: compareItems(false),
  allCompare: compareItems(true),
  sum: numberListFunction((numbers) => (numbers.length === 0 ? 0n : sumOf(numbers))),
  avg: numberListFunction(averageOf),
  min: numberListFunction((numbers) => extreme(numbers, "<")),
  max: numberListFunction((numbers) => extreme(numbers, ">")),
  stringListSize: stringFunction(1, 2, ([text, separators]) =>
    BigInt(splitItems(text!, separators).length),
  ),
  stringListSum: numberStringListFunction(sumOf),
  stringListAvg: numberStringListFunction(averageOf),
  stringListMin: numberStringListFunction((numbers) => extreme(numbers, "<")),
  stringListMax: numberStringListFunction((numbers) => extreme(numbers, ">")),
  stringListMember: stringListMemberFunction(true),
  stringListIMember: stringListMemberFunction(false),
  stringListSubsetMatch: stringListSubsetFunction(true),
  stringListISubsetMatch: stringListSubsetFunction(false),
  stringListsIntersect: stringFunction(2, 3, ([a, b, separators]) => {
    const bItems = new Set(splitItems(b!, separators));
    return splitItems(a!, separators).some((piece) => bItems.has(piece));
  }),
};
