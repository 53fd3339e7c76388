/** Seeded random values for a lab run: sizes, run times and arrival times of jobs. */
import { randomExponential, randomLcg, randomLogNormal } from "d3-random";
import type { Distribution, JobClass, Scenario } from "./scenario.js";

/** Distance of a normal distribution's 95th percentile from its median, in standard deviations. */
const P95_Z_SCORE = 1.645;

export class RandomSource {
  readonly random: () => number;

  constructor(seed: number) {
    // d3 takes seeds between 0 and 1. Spreads neighbouring seeds and skips the first values, so
    // that their sequences do not start alike.
    this.random = randomLcg(((seed + 1) * 0.618_033_988_75) % 1);
    for (let i = 0; i < 10; i++) this.random();
  }

  logNormal({ median, p95, max }: Distribution): number {
    const sigma = Math.max(0, Math.log(p95 / median) / P95_Z_SCORE);
    const sample = randomLogNormal.source(this.random)(Math.log(median), sigma)();
    return Math.min(max, sample);
  }

  logNormalCount(distribution: Distribution): number {
    return Math.max(1, Math.round(this.logNormal(distribution)));
  }

  /**
   * Milliseconds until the next event of a Poisson process with `perS` events a second; infinite
   * for 0.
   */
  interArrivalMs(perS: number): number {
    return perS <= 0
      ? Number.POSITIVE_INFINITY
      : randomExponential.source(this.random)(perS)() * 1000;
  }

  index(count: number): number {
    return Math.min(count - 1, Math.floor(this.random() * count));
  }

  jobClass({ jobs }: Scenario): JobClass {
    let remaining = this.random();
    for (const candidate of jobs) {
      remaining -= candidate.share;
      if (remaining < 0) return candidate;
    }
    return jobs.at(-1)!;
  }

  /** A latency with a long tail: the 95th percentile is twice the median, the maximum 30 times. */
  latencyMs(median: number): number {
    if (median === 0) return 0;
    return this.logNormal({ median, p95: 2 * median, max: 30 * median });
  }
}
