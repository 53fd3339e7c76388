import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The same numbers for the same seed, on every machine. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  int(from: number, to: number): number {
    return uniformInt(this.#generator, from, to);
  }

  chance(probability: number): boolean {
    return this.int(0, 999_999) < probability * 1_000_000;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}
