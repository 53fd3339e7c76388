/**
 * The workers' history of a run: looks for broken rules (PROTOCOL, "Rules") and measures how long
 * jobs wait. Events of several processes come in batches, and are taken in the order of their time.
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
  /** When it was submitted first, shared time. */
  at: number;
  beganAt: number | null;
  started: Set<string>;
  running: Set<string>;
  /** From then on nothing of it may run; null while it is not cancelled. */
  goneBy: number | null;
}

export interface Waits {
  /** Jobs submitted in the window, and milliseconds until the first task of each ran. */
  jobs: number;
  firstStarts: Histogram;
  /** All first starts of their tasks. */
  starts: Histogram;
}

const MOST_MS = 3_600_000;
const newHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MOST_MS,
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
  /** Starts and ends in the window, and ends that are no completions, by cause. */
  starts = 0;
  ends = 0;
  readonly causes = new Map<string, number>();
  /** Starts of tasks that had been started before. */
  repeated = 0;
  #window: { from: number; to: number } = { from: Number.POSITIVE_INFINITY, to: 0 };
  readonly #jobs = new Map<string, JobHistory>();
  readonly #hosts = new Map<string, string>();
  readonly #use = new Map<string, number>();
  readonly #cancelled: JobHistory[] = [];
  readonly #sources = new Map<number, number>();
  #pending: TimedEvent[] = [];

  constructor(
    /** CPUs that each team may use, in all regions together. */
    readonly limits: ReadonlyMap<string, number>,
    readonly cancelMs: number,
    sources: number,
  ) {
    for (let n = 0; n < sources; n++) this.#sources.set(n, 0);
  }

  /** What is counted and timed from now on, shared time. */
  measure(from: number, to: number): void {
    this.#window = { from, to };
  }

  get running(): number {
    return this.#hosts.size;
  }

  submitted(id: string, job: Pick<JobHistory, "team" | "priority" | "cpus" | "at">): void {
    const history: JobHistory = {
      ...job,
      beganAt: null,
      started: new Set(),
      running: new Set(),
      goneBy: null,
    };
    this.#jobs.set(id, history);
    if (this.#counts(job.at)) this.waits.get(job.priority)!.jobs++;
  }

  cancelled(id: string, at: number): void {
    const job = this.#jobs.get(id);
    if (job === undefined || job.goneBy !== null) return;
    job.goneBy = at + this.cancelMs;
    this.#cancelled.push(job);
  }

  /** Events of one source, which has told all that it had until `until`. */
  add(source: number, events: readonly TimedEvent[], until: number): void {
    this.#pending.push(...events);
    this.#sources.set(source, until);
    const known = Math.min(...this.#sources.values());
    const ripe = this.#pending.filter(({ at }) => at <= known);
    if (ripe.length === 0) return;
    this.#pending = this.#pending.filter(({ at }) => at > known);
    ripe.sort((a, b) => a.at - b.at);
    for (const event of ripe) this.#take(event);
    this.#checkCancelled(known);
  }

  #counts(at: number): boolean {
    return at >= this.#window.from && at < this.#window.to;
  }

  #take(event: TimedEvent): void {
    const job = this.#jobs.get(jobOf(event.piece));
    if (job === undefined) return;
    if (event.kind === "started") this.#started(job, event);
    else this.#ended(job, event);
  }

  #started(job: JobHistory, { piece, host, at }: TimedEvent): void {
    const other = this.#hosts.get(piece);
    if (other !== undefined) this.#broken("ran_twice", at, `${piece} on ${host}, also on ${other}`);
    if (job.goneBy !== null && at > job.goneBy) this.#broken("ran_cancelled", at, piece);
    this.#hosts.set(piece, host);
    job.running.add(piece);
    const use = (this.#use.get(job.team) ?? 0) + job.cpus;
    this.#use.set(job.team, use);
    const limit = this.limits.get(job.team) ?? 0;
    if (use > limit + EPSILON) this.#broken("quota", at, `${job.team} uses ${use} of ${limit}`);
    this.#time(job, piece, at);
  }

  #time(job: JobHistory, piece: string, at: number): void {
    if (this.#counts(at)) this.starts++;
    if (job.started.has(piece)) {
      if (this.#counts(at)) this.repeated++;
      return;
    }
    job.started.add(piece);
    const first = job.beganAt === null;
    job.beganAt ??= at;
    const waits = this.waits.get(job.priority)!;
    const waitedMs = Math.min(MOST_MS, Math.max(1, Math.round(at - job.at)));
    if (!this.#counts(job.at)) return;
    waits.starts.recordValue(waitedMs);
    if (first) waits.firstStarts.recordValue(waitedMs);
  }

  #ended(job: JobHistory, { piece, host, at, cause }: TimedEvent): void {
    if (this.#hosts.get(piece) !== host) return;
    this.#hosts.delete(piece);
    job.running.delete(piece);
    this.#use.set(job.team, (this.#use.get(job.team) ?? 0) - job.cpus);
    if (!this.#counts(at)) return;
    this.ends++;
    const shown = cause === "stopped" && job.goneBy !== null ? "cancelled" : cause;
    this.causes.set(shown, (this.causes.get(shown) ?? 0) + 1);
  }

  #checkCancelled(now: number): void {
    for (const job of this.#cancelled) {
      if (job.goneBy! >= now || job.running.size === 0) continue;
      this.#broken("ran_cancelled", now, [...job.running].join(" "));
      job.running.clear();
    }
  }

  #broken(rule: BrokenRule, at: number, detail: string): void {
    this.violations.push({ rule, at, detail });
  }

  /** Of the jobs that came at least `withinMs` before the end, the share that had begun by then. */
  begunWithin(priority: Priority, withinMs: number): { jobs: number; share: number } {
    const asked = [...this.#jobs.values()].filter(
      (job) =>
        job.priority === priority && this.#counts(job.at) && job.at + withinMs <= this.#window.to,
    );
    const begun = asked.filter(({ at, beganAt }) => beganAt !== null && beganAt - at <= withinMs);
    return { jobs: asked.length, share: asked.length === 0 ? 1 : begun.length / asked.length };
  }
}
