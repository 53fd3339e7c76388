import { isNewerReport, type ReportPosition } from "../workers/report-classification.js";
import type { Ground, Testimony } from "./failure-decisions.js";
import { Intervals } from "./frame-intervals.js";
import type { Timing } from "./settings.js";

/** What a controller shows of another: its state with the reason, since when, and how often. */
export type State = "well" | "slow" | "suspected" | "refuted" | "failed" | "absent";

type Said = Omit<Testimony, "ageMs"> & { at: number };

/** What one controller has sensed of another. */
export class Sensed {
  readonly intervals: Intervals;
  heardAt = Number.NEGATIVE_INFINITY;
  closed = false;
  state: State = "absent";
  why = "";
  since = 0;
  ground: Ground | null = null;
  /** Since when there has been a ground without a break. */
  groundAt = Number.POSITIVE_INFINITY;
  /** When others were last asked about it. */
  askedAt = Number.NEGATIVE_INFINITY;
  /** How often in a row it has refuted, and before when it is not accused again. */
  refutals = 0;
  refutedAt = Number.NEGATIVE_INFINITY;
  notBefore = Number.NEGATIVE_INFINITY;
  readonly #strays = new Map<string, number>();
  /** The newest report by which each came here: a copy of one, however late, is no other witness. */
  readonly #marks = new Map<string, ReportPosition>();
  readonly #said = new Map<string, Said>();

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly timing: Timing,
  ) {
    this.intervals = new Intervals(timing.silenceMostMs);
  }

  /**
   * A new run of it shows its presence, or this controller has just begun: what was sensed before
   * is not about it. A run that had just come back was accused of the silence of the one before.
   */
  anew(now: number): void {
    this.heardAt = now;
    this.closed = false;
    this.#strays.clear();
    this.#said.clear();
  }

  heard(now: number): void {
    // Every frame is a sign, but bursts say nothing about how long a silence may be.
    const gap = now - this.heardAt;
    if (gap > this.timing.beatMs / 4) this.intervals.add(gap);
    this.heardAt = now;
    this.closed = false;
  }

  strayed(machine: string, mark: ReportPosition, now: number): void {
    const known = this.#marks.get(machine);
    if (known !== undefined && !isNewerReport(mark, known)) return;
    const { session, seq } = mark;
    this.#marks.set(machine, { session, seq });
    this.#strays.set(machine, now);
  }

  strays(now: number): number {
    for (const [machine, at] of this.#strays) {
      if (now - at > this.timing.leaseMs / 2) this.#strays.delete(machine);
    }
    return this.#strays.size;
  }

  said(from: string, testimony: Omit<Said, "from">): void {
    this.#said.set(from, { from, ...testimony });
  }

  testimonies(now: number): Testimony[] {
    const kept: Testimony[] = [];
    for (const [from, { at, ...said }] of this.#said) {
      if (now - at > this.timing.leaseMs) this.#said.delete(from);
      else kept.push({ ...said, ageMs: now - at });
    }
    return kept;
  }

  /** Goes over to a state; says whether that is news. */
  enter(state: State, why: string, now: number): boolean {
    this.why = why;
    if (state === this.state) return false;
    this.state = state;
    this.since = now;
    return true;
  }

  /** It was there and served: the next accusation needs more patience each time. */
  refuted(now: number): void {
    this.refutals = now - this.refutedAt < this.timing.againMs * 20 ? this.refutals + 1 : 1;
    this.refutedAt = now;
    this.notBefore = now + this.timing.againMs * 2 ** Math.min(this.refutals - 1, 6);
    // What was sensed before has been answered.
    this.#strays.clear();
    this.#said.clear();
  }
}
