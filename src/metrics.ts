import type { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Clock } from "./clock.js";

type Record =
  | { kind: "preempted"; team: string; by: string; reason: string }
  | { kind: "running"; team: string; waitedS: number }
  | { kind: "refused"; team: string; why: string }
  | { kind: "event"; what: Event };

/** What should be rare, and says where to look when it is not. */
export type Event =
  | "machine deaf"
  | "report malformed"
  | "report copied"
  | "job without owner"
  | "commit rejected";

/** What is known of jobs that are over, when somebody asks. */
export interface HistoryFigures {
  /** In this controller's memory. */
  over: number;
  /** Moved into the archive by this controller, and leaves of it that it has read. */
  moved: number;
  reads: number;
  /** Questions about jobs that were answered 503, since there were too many. */
  refused: number;
}

/** Records that are kept until the library has been loaded. */
const MOST_EARLY = 10_000;

/**
 * Counters and histograms. The library is loaded a while after the start, when there is time for
 * it: a controller that starts has workers waiting for it.
 */
export class Metrics {
  #early: Record[] = [];
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
    /** Asked when the figures are. */
    readonly history: () => HistoryFigures | null = () => null,
    /** The revision of the configuration that is in force here; 0 for none. */
    readonly revision: () => number = () => 0,
  ) {
    clock.after(loadAfterMs, () => void this.#load());
  }

  add(record: Record): void {
    if (this.#loaded === null) {
      if (this.#early.length < MOST_EARLY) this.#early.push(record);
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

  /** In the text format that monitoring systems read; null while it is not loaded. */
  text(): Promise<string> | null {
    return this.#loaded === null ? null : this.#loaded.registry.metrics();
  }

  /** Figures that are kept elsewhere, read when somebody asks. */
  #history(counter: typeof Counter, gauge: typeof Gauge, registry: Registry): void {
    const { history } = this;
    const registers = [registry];
    const shown: [name: Exclude<keyof HistoryFigures, "over">, help: string][] = [
      ["moved", "Jobs that this controller has moved into the archive"],
      ["reads", "Leaves of the archive that this controller has read"],
      ["refused", "Questions about old or unknown jobs that were answered 503"],
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
      help: "Jobs that are over and are in this controller's memory",
      registers,
      collect() {
        this.set(history()?.over ?? 0);
      },
    });
  }

  async #load(): Promise<void> {
    // The default export is what a CommonJS module exports, in the bundle as well.
    const { Counter, Gauge, Histogram, Registry } = (await import("prom-client")).default;
    const registry = new Registry();
    this.#history(Counter, Gauge, registry);
    const { revision } = this;
    new Gauge({
      name: "birchdale_configuration_revision",
      help: "The revision of the configuration that this controller decides by",
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
        help: "Tasks stopped to make room, by their team, the team they made room for, and why",
        labelNames: ["team", "by", "reason"],
        registers: [registry],
      }),
      refused: new Counter({
        name: "birchdale_refused_jobs_total",
        help: "Jobs refused for good, by their team and why",
        labelNames: ["team", "why"],
        registers: [registry],
      }),
      events: new Counter({
        name: "birchdale_events_total",
        help: "What should be rare: machines that do not hear us, reports that are malformed or copies, jobs found without an owner",
        labelNames: ["what"],
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
