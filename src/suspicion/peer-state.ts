import { isNewerReport, type ReportPosition } from "../workers/report-classification.js";
import type { Ground, PeerObservation } from "./failure-decisions.js";
import { FrameIntervals } from "./frame-intervals.js";
import type { Timing } from "./settings.js";

/** Status of another controller as this one sees it (`state` in /about/status and in the metrics). */
export type PeerStatus = "well" | "slow" | "suspected" | "refuted" | "failed" | "absent";

type TimedObservation = Omit<PeerObservation, "ageMs"> & { at: number };

/** What this controller has observed of another one. */
export class PeerState {
  readonly intervals: FrameIntervals;
  lastFrameAt = Number.NEGATIVE_INFINITY;
  closed = false;
  status: PeerStatus = "absent";
  why = "";
  since = 0;
  ground: Ground | null = null;
  /** Since when there has been a ground for suspicion without a break. */
  groundSince = Number.POSITIVE_INFINITY;
  /** When other controllers were last asked about it. */
  lastQueryAt = Number.NEGATIVE_INFINITY;
  /** Refutations in a row, the last one, and the time before which it is not accused again. */
  refutationCount = 0;
  refutedAt = Number.NEGATIVE_INFINITY;
  accusableFrom = Number.NEGATIVE_INFINITY;
  readonly #misroutedAt = new Map<string, number>();
  /** By machine, the newest misrouted report: a copy of a report, however late, does not count. */
  readonly #lastPositions = new Map<string, ReportPosition>();
  readonly #observations = new Map<string, TimedObservation>();

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly timing: Timing,
  ) {
    this.intervals = new FrameIntervals(timing.maxSilenceMs);
  }

  /**
   * Called when a new run of the controller publishes its presence, or when this controller starts:
   * earlier observations do not concern the new run. Without this, a run that had just started was
   * accused of the silence of the run before it.
   */
  resetForNewRun(now: number): void {
    this.lastFrameAt = now;
    this.closed = false;
    this.#misroutedAt.clear();
    this.#observations.clear();
  }

  noteFrame(now: number): void {
    // Every frame shows that it is alive, but the short gaps within a burst are no measure of silence.
    const gap = now - this.lastFrameAt;
    if (gap > this.timing.heartbeatMs / 4) this.intervals.add(gap);
    this.lastFrameAt = now;
    this.closed = false;
  }

  noteMisroutedReport(machine: string, position: ReportPosition, now: number): void {
    const lastPosition = this.#lastPositions.get(machine);
    if (lastPosition !== undefined && !isNewerReport(position, lastPosition)) return;
    const { session, seq } = position;
    this.#lastPositions.set(machine, { session, seq });
    this.#misroutedAt.set(machine, now);
  }

  misroutedMachines(now: number): number {
    for (const [machine, at] of this.#misroutedAt) {
      if (now - at > this.timing.leaseMs / 2) this.#misroutedAt.delete(machine);
    }
    return this.#misroutedAt.size;
  }

  recordObservation(from: string, observation: Omit<TimedObservation, "from">): void {
    this.#observations.set(from, { from, ...observation });
  }

  observations(now: number): PeerObservation[] {
    const recent: PeerObservation[] = [];
    for (const [from, { at, ...observation }] of this.#observations) {
      if (now - at > this.timing.leaseMs) this.#observations.delete(from);
      else recent.push({ ...observation, ageMs: now - at });
    }
    return recent;
  }

  /** Sets the status and its reason; returns whether the status has changed. */
  transitionTo(status: PeerStatus, why: string, now: number): boolean {
    this.why = why;
    if (status === this.status) return false;
    this.status = status;
    this.since = now;
    return true;
  }

  /** It has proved that it serves: the wait before the next accusation doubles each time. */
  noteRefutation(now: number): void {
    this.refutationCount =
      now - this.refutedAt < this.timing.accusationBackoffMs * 20 ? this.refutationCount + 1 : 1;
    this.refutedAt = now;
    this.accusableFrom =
      now + this.timing.accusationBackoffMs * 2 ** Math.min(this.refutationCount - 1, 6);
    // The refutation answers all earlier observations.
    this.#misroutedAt.clear();
    this.#observations.clear();
  }
}
