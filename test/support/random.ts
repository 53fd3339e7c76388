import { randomLogNormal } from "d3-random";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded generator: the same numbers for the same seed on every machine. */
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

  /** A log-normal delay around a median: it has the long tail of network delays. */
  delay(medianMs: number): number {
    const source = (): number => this.int(1, 1_000_000) / 1_000_001;
    return Math.max(1, Math.round(randomLogNormal.source(source)(Math.log(medianMs), 0.7)()));
  }

  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}
