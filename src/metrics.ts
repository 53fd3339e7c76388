import type { Counter, Histogram, Registry } from "prom-client";
import type { Clock } from "./clock.js";

type Record =
  | { kind: "preempted"; team: string; by: string; reason: string }
  | { kind: "running"; team: string; waitedS: number };

/** Records that are kept until the library has been loaded. */
const MOST_EARLY = 10_000;

/**
 * Counters and histograms. The library is loaded a while after the start, when there is time for
 * it: a controller that starts has workers waiting for it.
 */
export class Metrics {
  #early: Record[] = [];
  #loaded: { registry: Registry; preempted: Counter; wait: Histogram } | null = null;

  constructor(clock: Clock, loadAfterMs: number) {
    clock.after(loadAfterMs, () => void this.#load());
  }

  add(record: Record): void {
    if (this.#loaded === null) {
      if (this.#early.length < MOST_EARLY) this.#early.push(record);
    } else if (record.kind === "preempted") {
      const { team, by, reason } = record;
      this.#loaded.preempted.inc({ team, by, reason });
    } else {
      this.#loaded.wait.observe({ team: record.team }, record.waitedS);
    }
  }

  /** In the text format that monitoring systems read; null while it is not loaded. */
  text(): Promise<string> | null {
    return this.#loaded === null ? null : this.#loaded.registry.metrics();
  }

  async #load(): Promise<void> {
    // The default export is what a CommonJS module exports, in the bundle as well.
    const { Counter, Histogram, Registry } = (await import("prom-client")).default;
    const registry = new Registry();
    this.#loaded = {
      registry,
      preempted: new Counter({
        name: "birchdale_preempted_tasks_total",
        help: "Tasks stopped to make room, by their team, the team they made room for, and why",
        labelNames: ["team", "by", "reason"],
        registers: [registry],
      }),
      wait: new Histogram({
        name: "birchdale_start_seconds",
        help: "From placing a task to its running, with the image fetch",
        labelNames: ["team"],
        buckets: [0.5, 1, 2, 3, 5, 8, 12, 20, 40],
        registers: [registry],
      }),
    };
    for (const record of this.#early) this.add(record);
    this.#early = [];
  }
}
