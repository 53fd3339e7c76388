/**
 * History of all task starts and ends in a run: checks PROTOCOL's "Rules" and measures how long
 * jobs wait. Several processes send batches of events; they are applied in the order of their times.
 */
import { build, type Histogram } from "hdr-histogram-js";
import { EPSILON } from "../fair/share.js";
import { PRIORITIES, type Priority } from "../wire/jobs.js";
import type { TimedEvent } from "./messages.js";

export type BrokenRule = "ran_twice" | "quota" | "ran_cancelled";

export interface Violation {
  rule: BrokenRule;
  /** Shared time, milliseconds. */
  at: number;
  detail: string;
}

interface JobHistory {
  team: string;
  priority: Priority;
  cpus: number;
  /** When it was first submitted, shared time. */
  submittedAt: number;
  firstStartAt: number | null;
  started: Set<string>;
  running: Set<string>;
  /** When all its tasks must have stopped, shared time; null if it was not cancelled. */
  mustStopBy: number | null;
}

export interface Waits {
  /** Number of jobs submitted in the window. */
  jobs: number;
  /** Milliseconds from submission to the start of each job's first task. */
  firstStarts: Histogram;
  /** Milliseconds from submission to the first start of each task. */
  starts: Histogram;
}

const MAX_WAIT_MS = 3_600_000;
const newHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_WAIT_MS,
    numberOfSignificantValueDigits: 3,
  });

const jobOf = (piece: string): string => piece.slice(0, piece.lastIndexOf("/"));

export class History {
  readonly violations: Violation[] = [];
  readonly waits = new Map<Priority, Waits>(
    PRIORITIES.map((priority) => [
      priority,
      { jobs: 0, firstStarts: newHistogram(), starts: newHistogram() },
    ]),
  );
  /** Task starts and ends in the window. */
  starts = 0;
  ends = 0;
  /** Task ends in the window, by cause. */
  readonly causes = new Map<string, number>();
  /** Starts in the window of tasks that had been started before. */
  repeatedStarts = 0;
  #window: { from: number; to: number } = { from: Number.POSITIVE_INFINITY, to: 0 };
  readonly #jobs = new Map<string, JobHistory>();
  readonly #hostByTask = new Map<string, string>();
  readonly #cpusByTeam = new Map<string, number>();
  readonly #cancelled: JobHistory[] = [];
  readonly #reportedUntil = new Map<number, number>();
  #pendingEvents: TimedEvent[] = [];

  constructor(
    /** CPU limit of each team over all regions. */
    readonly limits: ReadonlyMap<string, number>,
    readonly cancelMs: number,
    sources: number,
  ) {
    for (let n = 0; n < sources; n++) this.#reportedUntil.set(n, 0);
  }

  /** Sets the measured window, shared time. */
  setWindow(from: number, to: number): void {
    this.#window = { from, to };
  }

  get running(): number {
    return this.#hostByTask.size;
  }

  submitted(id: string, job: Pick<JobHistory, "team" | "priority" | "cpus" | "submittedAt">): void {
    const history: JobHistory = {
      ...job,
      firstStartAt: null,
      started: new Set(),
      running: new Set(),
      mustStopBy: null,
    };
    this.#jobs.set(id, history);
    if (this.#inWindow(job.submittedAt)) this.waits.get(job.priority)!.jobs++;
  }

  cancelled(id: string, at: number): void {
    const job = this.#jobs.get(id);
    if (job === undefined || job.mustStopBy !== null) return;
    job.mustStopBy = at + this.cancelMs;
    this.#cancelled.push(job);
  }

  /** Adds events of one source, which has now reported all its events up to `until`. */
  add(source: number, events: readonly TimedEvent[], until: number): void {
    this.#pendingEvents.push(...events);
    this.#reportedUntil.set(source, until);
    const completeUntil = Math.min(...this.#reportedUntil.values());
    const ready = this.#pendingEvents.filter(({ at }) => at <= completeUntil);
    if (ready.length === 0) return;
    this.#pendingEvents = this.#pendingEvents.filter(({ at }) => at > completeUntil);
    ready.sort((a, b) => a.at - b.at);
    for (const event of ready) this.#apply(event);
    this.#checkCancelled(completeUntil);
  }

  #inWindow(at: number): boolean {
    return at >= this.#window.from && at < this.#window.to;
  }

  #apply(event: TimedEvent): void {
    const job = this.#jobs.get(jobOf(event.piece));
    if (job === undefined) return;
    if (event.kind === "started") this.#onStarted(job, event);
    else this.#onEnded(job, event);
  }

  #onStarted(job: JobHistory, { piece, host, at }: TimedEvent): void {
    const otherHost = this.#hostByTask.get(piece);
    if (otherHost !== undefined)
      this.#addViolation("ran_twice", at, `${piece} on ${host}, also on ${otherHost}`);
    if (job.mustStopBy !== null && at > job.mustStopBy)
      this.#addViolation("ran_cancelled", at, piece);
    this.#hostByTask.set(piece, host);
    job.running.add(piece);
    const use = (this.#cpusByTeam.get(job.team) ?? 0) + job.cpus;
    this.#cpusByTeam.set(job.team, use);
    const limit = this.limits.get(job.team) ?? 0;
    if (use > limit + EPSILON)
      this.#addViolation("quota", at, `${job.team} uses ${use} of ${limit}`);
    this.#recordStart(job, piece, at);
  }

  #recordStart(job: JobHistory, piece: string, at: number): void {
    if (this.#inWindow(at)) this.starts++;
    if (job.started.has(piece)) {
      if (this.#inWindow(at)) this.repeatedStarts++;
      return;
    }
    job.started.add(piece);
    const isFirstTask = job.firstStartAt === null;
    job.firstStartAt ??= at;
    const waits = this.waits.get(job.priority)!;
    const waitedMs = Math.min(MAX_WAIT_MS, Math.max(1, Math.round(at - job.submittedAt)));
    if (!this.#inWindow(job.submittedAt)) return;
    waits.starts.recordValue(waitedMs);
    if (isFirstTask) waits.firstStarts.recordValue(waitedMs);
  }

  #onEnded(job: JobHistory, { piece, host, at, cause }: TimedEvent): void {
    if (this.#hostByTask.get(piece) !== host) return;
    this.#hostByTask.delete(piece);
    job.running.delete(piece);
    this.#cpusByTeam.set(job.team, (this.#cpusByTeam.get(job.team) ?? 0) - job.cpus);
    if (!this.#inWindow(at)) return;
    this.ends++;
    const reportedCause = cause === "stopped" && job.mustStopBy !== null ? "cancelled" : cause;
    this.causes.set(reportedCause, (this.causes.get(reportedCause) ?? 0) + 1);
  }

  #checkCancelled(now: number): void {
    for (const job of this.#cancelled) {
      if (job.mustStopBy! >= now || job.running.size === 0) continue;
      this.#addViolation("ran_cancelled", now, [...job.running].join(" "));
      job.running.clear();
    }
  }

  #addViolation(rule: BrokenRule, at: number, detail: string): void {
    this.violations.push({ rule, at, detail });
  }

  /**
   * Jobs submitted at least `withinMs` before the window's end, and the share that started within
   * `withinMs`.
   */
  begunWithin(priority: Priority, withinMs: number): { jobs: number; share: number } {
    const candidates = [...this.#jobs.values()].filter(
      (job) =>
        job.priority === priority &&
        this.#inWindow(job.submittedAt) &&
        job.submittedAt + withinMs <= this.#window.to,
    );
    const begun = candidates.filter(
      ({ submittedAt, firstStartAt }) =>
        firstStartAt !== null && firstStartAt - submittedAt <= withinMs,
    );
    return {
      jobs: candidates.length,
      share: candidates.length === 0 ? 1 : begun.length / candidates.length,
    };
  }
}
