import type { Clock } from "../clock.js";
import type { Log } from "../log.js";
import type { Metrics } from "../metrics.js";

/** Why a job can never run. A fixed set of texts, since they are used as a metric label. */
export type RefusalReason =
  | "unknown team"
  | "fits no machine type"
  | "over the team's limit"
  | "no expressions here"
  | "expressions";

interface RefusalCount {
  count: number;
  last: string;
  loggedAt: number;
  unlogged: number;
}

/**
 * Counts and logs jobs that were refused for good. Each user only sees the refusal of their own
 * job; that all jobs of a team are refused shows only here. All jobs of a guest team were once
 * refused for days without a log line.
 */
export class Refusals {
  /** By team and reason; bounded by the number of known teams times the number of reasons. */
  readonly #byTeamAndReason = new Map<string, RefusalCount>();

  constructor(
    readonly teams: ReadonlySet<string>,
    readonly clock: Clock,
    readonly log: Log,
    readonly metrics: Metrics,
    /** The shortest interval between two log lines for the same team and reason. */
    readonly logIntervalMs: number,
  ) {}

  record(job: string, team: string, why: RefusalReason, reason: string): void {
    // Requests may contain arbitrary team names: all unknown ones are counted under one label.
    const label = this.teams.has(team) ? team : "(unknown)";
    this.metrics.add({ kind: "refused", team: label, why });
    const key = `${label}/${why}`;
    const now = this.clock.now();
    const known = this.#byTeamAndReason.get(key) ?? {
      count: 0,
      last: "",
      loggedAt: -Infinity,
      unlogged: 0,
    };
    this.#byTeamAndReason.set(key, known);
    known.count++;
    known.unlogged++;
    known.last = job;
    if (now - known.loggedAt < this.logIntervalMs) return;
    this.log.warn({ job, team, reason, jobs: known.unlogged }, "jobs refused for good");
    known.loggedAt = now;
    known.unlogged = 0;
  }

  /** For `/about/status`. */
  status(): { team: string; why: string; jobs: number; last: string }[] {
    return [...this.#byTeamAndReason].map(([key, { count, last }]) => {
      const slash = key.lastIndexOf("/");
      return { team: key.slice(0, slash), why: key.slice(slash + 1), jobs: count, last };
    });
  }
}
