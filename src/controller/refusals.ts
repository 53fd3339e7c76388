import type { Clock } from "../clock.js";
import type { Log } from "../log.js";
import type { Metrics } from "../metrics.js";

/** Why a job can never run, in words that do not differ from job to job. */
export type RefusalReason =
  | "unknown team"
  | "fits no machine type"
  | "over the team's limit"
  | "no expressions here"
  | "expressions";

interface Told {
  count: number;
  last: string;
  since: number;
  untold: number;
}

/**
 * Jobs that were refused for good. Their users have been told, once each; that all jobs of a team
 * are refused only shows here: a team of guests was once refused for days without a line.
 */
export class Refusals {
  /** By team and reason: as many as there are teams in the settings, times the reasons. */
  readonly #known = new Map<string, Told>();

  constructor(
    readonly teams: ReadonlySet<string>,
    readonly clock: Clock,
    readonly log: Log,
    readonly metrics: Metrics,
    /** How often one of them is logged at the most. */
    readonly everyMs: number,
  ) {}

  note(job: string, team: string, why: RefusalReason, reason: string): void {
    // Anybody may send any name: those that nobody knows are one.
    const label = this.teams.has(team) ? team : "(unknown)";
    this.metrics.add({ kind: "refused", team: label, why });
    const key = `${label}/${why}`;
    const now = this.clock.now();
    const known = this.#known.get(key) ?? { count: 0, last: "", since: -Infinity, untold: 0 };
    this.#known.set(key, known);
    known.count++;
    known.untold++;
    known.last = job;
    if (now - known.since < this.everyMs) return;
    this.log.warn({ job, team, reason, jobs: known.untold }, "jobs refused for good");
    known.since = now;
    known.untold = 0;
  }

  /** For `/about/status`. */
  status(): { team: string; why: string; jobs: number; last: string }[] {
    return [...this.#known].map(([key, { count, last }]) => {
      const slash = key.lastIndexOf("/");
      return { team: key.slice(0, slash), why: key.slice(slash + 1), jobs: count, last };
    });
  }
}
