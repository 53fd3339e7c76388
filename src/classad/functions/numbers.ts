import { Failure, isList, toInteger, typeOf, type Value, wrapToInt64 } from "../values.js";
import type { BuiltinFunction } from "./index.js";
import { toReal, unaryFunction } from "./types.js";

/** A function that rounds a number, or a number in a string, to an integer. */
const roundingFunction = (round: (value: number) => number): BuiltinFunction =>
  unaryFunction((value) => {
    if (typeof value === "bigint") return value;
    const real = toReal(value);
    return real === null ? new Failure(`cannot round ${typeOf(value)}`) : toInteger(round(real));
  });

function roundHalfToEven(value: number): number {
  const low = Math.floor(value);
  const fraction = value - low;
  if (fraction !== 0.5) return Math.round(value);
  return low % 2 === 0 ? low : low + 1;
}

/** The first multiple of `step` that is not before `value`. */
function nextMultiple(value: Value, step: Value): Value {
  if (typeof value === "bigint" && typeof step === "bigint") {
    if (step === 0n) return value;
    const remainder = value % step;
    return wrapToInt64(
      remainder === 0n
        ? value
        : value > 0n === step > 0n
          ? value + step - remainder
          : value - remainder,
    );
  }
  const [x, y] = [toReal(value), toReal(step)];
  if (x === null || y === null) return new Failure("quantize needs numbers");
  return y === 0 ? x : Math.ceil(x / y) * y;
}

export const numbers: Record<string, BuiltinFunction> = {
  floor: roundingFunction(Math.floor),
  ceiling: roundingFunction(Math.ceil),
  ceil: roundingFunction(Math.ceil),
  round: roundingFunction(roundHalfToEven),
  pow: {
    min: 2,
    max: 2,
    strict: true,
    run: ([base, exponent]) => {
      // The exponent is limited, because the exact power is computed and then wrapped to 64 bits.
      if (typeof base === "bigint" && typeof exponent === "bigint" && exponent >= 0n) {
        if (exponent < 64n) return wrapToInt64(base ** exponent);
      }
      const [x, y] = [toReal(base!), toReal(exponent!)];
      return x === null || y === null ? new Failure("pow needs numbers") : x ** y;
    },
  },
  /** Rounds up to a multiple of a number, or to the first value of a list that is large enough. */
  quantize: {
    min: 2,
    max: 2,
    strict: true,
    run: ([value, step], evaluation) => {
      if (!isList(step!)) return nextMultiple(value!, step!);
      evaluation.chargeSteps(1 + step.length);
      const x = toReal(value!);
      if (x === null) return new Failure("quantize needs numbers");
      for (const item of step) {
        const real = toReal(item);
        if (real === null) return new Failure("quantize needs numbers");
        if (real >= x) return item;
      }
      const last = step.at(-1);
      return last === undefined ? value! : nextMultiple(value!, last);
    },
  },
  random: {
    min: 0,
    max: 1,
    strict: true,
    run: ([most], { random }) => {
      if (random === null)
        return new Failure(
          "random() is not available here: the result would differ between evaluations",
        );
      if (most === undefined) return random();
      if (typeof most === "bigint")
        return most <= 0n ? 0n : BigInt(Math.floor(random() * Number(most)));
      return typeof most === "number" ? random() * most : new Failure("random needs a number");
    },
  },
};
