/** Seeded draws of a lab run: sizes and times of jobs, and when they come. */
import { randomExponential, randomLcg, randomLogNormal } from "d3-random";
import type { Distribution, JobClass, Scenario } from "./scenario.js";

/** How many standard deviations of a normal distribution its 95th hundredth lies above the median. */
const P95_DEVIATIONS = 1.645;

export class Draw {
  readonly random: () => number;

  constructor(seed: number) {
    // Seeds of 0 to 1 by d3's own convention; neighbours must not begin alike.
    this.random = randomLcg(((seed + 1) * 0.618_033_988_75) % 1);
    for (let i = 0; i < 10; i++) this.random();
  }

  from({ median, p95, max }: Distribution): number {
    const sigma = Math.max(0, Math.log(p95 / median) / P95_DEVIATIONS);
    const drawn = randomLogNormal.source(this.random)(Math.log(median), sigma)();
    return Math.min(max, drawn);
  }

  whole(distribution: Distribution): number {
    return Math.max(1, Math.round(this.from(distribution)));
  }

  /** Milliseconds until the next of events that come `perS` a second; never for none. */
  waitMs(perS: number): number {
    return perS <= 0
      ? Number.POSITIVE_INFINITY
      : randomExponential.source(this.random)(perS)() * 1000;
  }

  index(count: number): number {
    return Math.min(count - 1, Math.floor(this.random() * count));
  }

  jobClass({ jobs }: Scenario): JobClass {
    let left = this.random();
    for (const one of jobs) {
      left -= one.share;
      if (left < 0) return one;
    }
    return jobs.at(-1)!;
  }

  /** A service's latency: mostly about its median, now and then much longer. */
  latencyMs(median: number): number {
    if (median === 0) return 0;
    return this.from({ median, p95: 2 * median, max: 30 * median });
  }
}
