import type { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Clock } from "./clock.js";

type MetricEvent =
  | { kind: "preempted"; team: string; by: string; reason: string }
  | { kind: "running"; team: string; waitedS: number }
  | { kind: "refused"; team: string; why: string }
  | { kind: "event"; what: RareEvent };

/** Events that should be rare; frequent ones indicate a fault in the cluster. */
export type RareEvent =
  | "machine deaf"
  | "report malformed"
  | "report copied"
  | "job without owner"
  | "commit rejected";

/** Figures on finished jobs, read when the metrics are requested. */
export interface HistoryFigures {
  /** Finished jobs in this controller's memory. */
  over: number;
  /**
   * Jobs that this controller has moved to the archive; `reads`: leaves of the archive it has read.
   */
  moved: number;
  reads: number;
  /** Requests for old or unknown jobs that were answered 503 because there were too many. */
  refused: number;
}

/** Most events that are buffered until the library has been loaded. */
const MAX_EARLY_EVENTS = 10_000;

/**
 * Counters and histograms. The library is loaded only some time after the start, because workers
 * wait for a controller that starts.
 */
export class Metrics {
  #earlyEvents: MetricEvent[] = [];
  #loaded: {
    registry: Registry;
    preempted: Counter;
    refused: Counter;
    events: Counter;
    wait: Histogram;
  } | null = null;

  constructor(
    clock: Clock,
    loadAfterMs: number,
    /** Called when the metrics are requested. */
    readonly history: () => HistoryFigures | null = () => null,
    /** The revision of the configuration that is in force here; 0 for none. */
    readonly revision: () => number = () => 0,
  ) {
    clock.after(loadAfterMs, () => void this.#loadLibrary());
  }

  add(record: MetricEvent): void {
    if (this.#loaded === null) {
      if (this.#earlyEvents.length < MAX_EARLY_EVENTS) this.#earlyEvents.push(record);
    } else if (record.kind === "preempted") {
      const { team, by, reason } = record;
      this.#loaded.preempted.inc({ team, by, reason });
    } else if (record.kind === "refused") {
      const { team, why } = record;
      this.#loaded.refused.inc({ team, why });
    } else if (record.kind === "event") {
      this.#loaded.events.inc({ what: record.what });
    } else {
      this.#loaded.wait.observe({ team: record.team }, record.waitedS);
    }
  }

  /** The metrics in Prometheus text format; null while the library is not loaded. */
  text(): Promise<string> | null {
    return this.#loaded === null ? null : this.#loaded.registry.metrics();
  }

  /** Registers the metrics on finished jobs, whose figures are read when requested. */
  #registerHistory(counter: typeof Counter, gauge: typeof Gauge, registry: Registry): void {
    const { history } = this;
    const registers = [registry];
    const shown: [name: Exclude<keyof HistoryFigures, "over">, help: string][] = [
      ["moved", "Jobs that this controller has moved to the archive"],
      ["reads", "Leaves of the archive that this controller has read"],
      ["refused", "Requests for old or unknown jobs that were answered 503"],
    ];
    for (const [name, help] of shown) {
      new counter({
        name: `birchdale_history_${name}_total`,
        help,
        registers,
        collect() {
          this.reset();
          this.inc(history()?.[name] ?? 0);
        },
      });
    }
    new gauge({
      name: "birchdale_history_over_jobs",
      help: "Finished jobs in this controller's memory",
      registers,
      collect() {
        this.set(history()?.over ?? 0);
      },
    });
  }

  async #loadLibrary(): Promise<void> {
    // prom-client is a CommonJS module: its exports are the default export, in the bundle as well.
    const { Counter, Gauge, Histogram, Registry } = (await import("prom-client")).default;
    const registry = new Registry();
    this.#registerHistory(Counter, Gauge, registry);
    const { revision } = this;
    new Gauge({
      name: "birchdale_configuration_revision",
      help: "The revision of the configuration in force at this controller",
      registers: [registry],
      collect() {
        this.set(revision());
      },
    });
    new Gauge({
      name: "birchdale_heap_bytes",
      help: "JavaScript heap in use",
      registers: [registry],
      collect() {
        this.set(process.memoryUsage().heapUsed);
      },
    });
    this.#loaded = {
      registry,
      preempted: new Counter({
        name: "birchdale_preempted_tasks_total",
        help: "Preempted tasks by their team, the team they were stopped for, and the reason",
        labelNames: ["team", "by", "reason"],
        registers: [registry],
      }),
      refused: new Counter({
        name: "birchdale_refused_jobs_total",
        help: "Jobs refused for good by their team and the reason",
        labelNames: ["team", "why"],
        registers: [registry],
      }),
      events: new Counter({
        name: "birchdale_events_total",
        help: "Rare events: machines not reached by answers, malformed or copied reports, jobs without an owner, rejected commits",
        labelNames: ["what"],
        registers: [registry],
      }),
      wait: new Histogram({
        name: "birchdale_start_seconds",
        help: "Seconds from placing a task until it runs, the image fetch included",
        labelNames: ["team"],
        buckets: [0.5, 1, 2, 3, 5, 8, 12, 20, 40],
        registers: [registry],
      }),
    };
    for (const record of this.#earlyEvents) this.add(record);
    this.#earlyEvents = [];
  }
}
