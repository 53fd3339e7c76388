import type { Core } from "../extension/index.js";
import { type ObstacleKind, waitReason } from "./obstacles.js";

interface StuckJob {
  since: number;
  /** When it is logged again. */
  nextLogAt: number;
  kind: ObstacleKind;
}

/**
 * Checks periodically for stuck jobs within a guarantee. Logs each with its obstacle when it is
 * found, again each time its waiting time has doubled, and when the obstacle changes; exports a gauge
 * by obstacle. Each controller has its own, in memory only; its size is bounded by the number of
 * stuck jobs.
 */
export class StuckJobWatch {
  readonly #stuck = new Map<string, StuckJob>();
  #stopped = false;

  constructor(
    readonly core: Core,
    /**
     * How long a job within a guarantee may make no progress before it is reported, milliseconds.
     */
    readonly stuckMs: number,
  ) {}

  start(): void {
    if (this.#stopped) return;
    this.check();
    this.core.clock.after(this.stuckMs / 2, () => this.start());
  }

  stop(): void {
    this.#stopped = true;
  }

  check(): void {
    const { clock, log } = this.core;
    const now = clock.now();
    const rental = this.core.rental();
    const stuckKeys = new Set<string>();
    for (const part of this.core.inspect({ stuckMs: this.stuckMs })) {
      for (const job of part.jobs) {
        const key = `${part.part}/${job.id}`;
        stuckKeys.add(key);
        const { kind, detail } = waitReason(job, part, rental);
        const previous = this.#stuck.get(key);
        const since = previous?.since ?? now - job.waitedS * 1000;
        if (previous !== undefined && previous.kind === kind && now < previous.nextLogAt) continue;
        this.#stuck.set(key, { since, kind, nextLogAt: now + (now - since) });
        const { id, team, pending, waitedS } = job;
        log.warn(
          { job: id, team, part: part.part, tasks: pending, waitedS, obstacle: kind, detail },
          "work within a guarantee stands still",
        );
      }
    }
    for (const name of this.#stuck.keys()) if (!stuckKeys.has(name)) this.#stuck.delete(name);
  }

  /** The gauge in the text format of `/metrics`. */
  metrics(): string {
    const counts = new Map<ObstacleKind, number>();
    for (const { kind } of this.#stuck.values()) counts.set(kind, (counts.get(kind) ?? 0) + 1);
    const name = "birchdale_stuck_jobs";
    const help =
      "Jobs within a guarantee that stand still in a part of this controller, by obstacle";
    const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} gauge`];
    for (const [kind, count] of counts) lines.push(`${name}{obstacle="${kind}"} ${count}`);
    return `${lines.join("\n")}\n`;
  }
}
