import type { Core } from "../extension/index.js";
import { type Kind, whyWaiting } from "./obstacles.js";

interface Stuck {
  since: number;
  /** When it is to be said again. */
  sayAt: number;
  kind: Kind;
}

/**
 * Looks once in a while for work within a guarantee that does not move, and says why: one structured
 * line when it is found and each time that it has lasted twice as long, and a gauge by obstacle. Owned
 * by its controller and in memory only, bounded by the jobs that stand still.
 */
export class Watch {
  readonly #stuck = new Map<string, Stuck>();
  #stopped = false;

  constructor(
    readonly core: Core,
    /** How long work within a guarantee may stand still before it is said, milliseconds. */
    readonly stuckMs: number,
  ) {}

  start(): void {
    if (this.#stopped) return;
    this.look();
    this.core.clock.after(this.stuckMs / 2, () => this.start());
  }

  stop(): void {
    this.#stopped = true;
  }

  look(): void {
    const { clock, log } = this.core;
    const now = clock.now();
    const rental = this.core.rental();
    const seen = new Set<string>();
    for (const part of this.core.inspect({ stuckMs: this.stuckMs })) {
      for (const job of part.jobs) {
        const name = `${part.part}/${job.id}`;
        seen.add(name);
        const { kind, detail } = whyWaiting(job, part, rental);
        const known = this.#stuck.get(name);
        const since = known?.since ?? now - job.waitedS * 1000;
        if (known !== undefined && known.kind === kind && now < known.sayAt) continue;
        this.#stuck.set(name, { since, kind, sayAt: now + (now - since) });
        const { id, team, pending, waitedS } = job;
        log.warn(
          { job: id, team, part: part.part, tasks: pending, waitedS, obstacle: kind, detail },
          "work within a guarantee stands still",
        );
      }
    }
    for (const name of this.#stuck.keys()) if (!seen.has(name)) this.#stuck.delete(name);
  }

  /** In the text format of `/metrics`. */
  metrics(): string {
    const counts = new Map<Kind, number>();
    for (const { kind } of this.#stuck.values()) counts.set(kind, (counts.get(kind) ?? 0) + 1);
    const name = "birchdale_stuck_jobs";
    const help =
      "Jobs within a guarantee that stand still in a part of this controller, by obstacle";
    const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} gauge`];
    for (const [kind, count] of counts) lines.push(`${name}{obstacle="${kind}"} ${count}`);
    return `${lines.join("\n")}\n`;
  }
}
