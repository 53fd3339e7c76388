import { Failure, integer, isList, toInteger, typeOf, type Value } from "../values.js";
import type { Fn } from "./index.js";
import { one, toReal } from "./types.js";

/** Rounds a number, or a number in text, to an integer. */
const rounding = (round: (value: number) => number): Fn =>
  one((value) => {
    if (typeof value === "bigint") return value;
    const real = toReal(value);
    return real === null ? new Failure(`rounding ${typeOf(value)}`) : toInteger(round(real));
  });

function nearestEven(value: number): number {
  const low = Math.floor(value);
  const over = value - low;
  if (over !== 0.5) return Math.round(value);
  return low % 2 === 0 ? low : low + 1;
}

/** The next multiple of `step` from `value` on. */
function upTo(value: Value, step: Value): Value {
  if (typeof value === "bigint" && typeof step === "bigint") {
    if (step === 0n) return value;
    const rest = value % step;
    return integer(
      rest === 0n ? value : value > 0n === step > 0n ? value + step - rest : value - rest,
    );
  }
  const [x, y] = [toReal(value), toReal(step)];
  if (x === null || y === null) return new Failure("quantize needs numbers");
  return y === 0 ? x : Math.ceil(x / y) * y;
}

export const numbers: Record<string, Fn> = {
  floor: rounding(Math.floor),
  ceiling: rounding(Math.ceil),
  ceil: rounding(Math.ceil),
  round: rounding(nearestEven),
  pow: {
    min: 2,
    max: 2,
    strict: true,
    run: ([base, exponent]) => {
      // An integer to an integer: bounded, since the result has 64 bits.
      if (typeof base === "bigint" && typeof exponent === "bigint" && exponent >= 0n) {
        if (exponent < 64n) return integer(base ** exponent);
      }
      const [x, y] = [toReal(base!), toReal(exponent!)];
      return x === null || y === null ? new Failure("pow needs numbers") : x ** y;
    },
  },
  /** To the next multiple, or to the first value of a list that is large enough. */
  quantize: {
    min: 2,
    max: 2,
    strict: true,
    run: ([value, step], run) => {
      if (!isList(step!)) return upTo(value!, step!);
      run.spend(1 + step.length);
      const x = toReal(value!);
      if (x === null) return new Failure("quantize needs numbers");
      for (const item of step) {
        const real = toReal(item);
        if (real === null) return new Failure("quantize needs numbers");
        if (real >= x) return item;
      }
      const last = step.at(-1);
      return last === undefined ? value! : upTo(value!, last);
    },
  },
  random: {
    min: 0,
    max: 1,
    strict: true,
    run: ([most], { random }) => {
      if (random === null) return new Failure("random() has no place in a decision");
      if (most === undefined) return random();
      if (typeof most === "bigint")
        return most <= 0n ? 0n : BigInt(Math.floor(random() * Number(most)));
      return typeof most === "number" ? random() * most : new Failure("random needs a number");
    },
  },
};
