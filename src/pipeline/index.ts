import type { Clock } from "../clock.js";
import { cancelledHeader, isHeader, type JobHeader } from "../jobs/job-header.js";
import type { Log } from "../log.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Change, Condition, Store } from "../state/store.js";
import { type Fate, Graph } from "./graph.js";

export { placedSpec, storedSpec } from "./awaiting.js";
export { type Fate, Graph, type Stage } from "./graph.js";

/** What became of a job, wherever it is kept; null: there is no such job. */
export type Ended = { status: "open" | "done" | "cancelled"; over: number | null } | null;

/** How many lookups, and how many headers of a sweep, are under way at a time. */
const AT_ONCE = 8;

/** Follows which jobs wait for which, from the watched headers. Everybody else asks it. */
export class Pipelines {
  readonly #graph = new Graph();
  readonly #missing = new Set<string>();
  #looking = false;
  #stopped = false;

  constructor(
    readonly mirror: Mirror,
    readonly store: Store,
    readonly clock: Clock,
    readonly log: Log,
    readonly reportMs: number,
    /** Asks for a job that is not among the watched headers. */
    readonly lookUp: (id: string) => Promise<Ended>,
  ) {
    mirror.on(JOB_HEADER_PREFIX, ({ key, value, deleted }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      if (deleted) this.#graph.lost(id);
      else if (isHeader(value)) this.#take(id, value);
      if (this.#graph.unknown.size > 0) this.#learn();
    });
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Whether a job, of which this has a header, may start, waits, or is cancelled by one before it. */
  fate(id: string): Fate {
    return this.#graph.fate(id);
  }

  /** Nothing of it can start for the time being. */
  waits(id: string): boolean {
    return this.#graph.size > 0 && this.#graph.fate(id) !== "ready";
  }

  /** The jobs that it still waits for. */
  waitsFor(id: string): readonly string[] {
    return this.#graph.waitsFor(id);
  }

  /** How long it takes until a job is done, by the estimates on the longest way to it, milliseconds. */
  expectedMs(id: string): number {
    return this.#graph.expectedMs(id, (other) => {
      const row = this.mirror.rows.get(keys.job(other));
      const spec = row !== undefined && isHeader(row.value) ? row.value.spec : undefined;
      return (spec?.estimateS ?? 0) * 1000;
    });
  }

  /** From when the times of its class count: acceptance, or the end of the last job that it awaited. */
  since(id: string, at: number): number {
    return this.#graph.since(id, at);
  }

  rank(id: string, own: number): number {
    return this.#graph.rank(id, own);
  }

  due(id: string, own: number): number {
    return this.#graph.due(id, own);
  }

  /** Jobs whose priority or due time may depend on others. */
  get ids(): Iterable<string> {
    return this.#graph.ids;
  }

  #take(id: string, { status, spec, at, over }: JobHeader): void {
    const graph = this.#graph;
    if (status !== "open") {
      graph.over(id, status, over ?? null);
      return;
    }
    if (spec?.after === undefined) {
      graph.open(id);
      return;
    }
    const { jobs: awaits, since = at } = spec.after;
    const due = spec.deadlineS === null ? Number.POSITIVE_INFINITY : at + spec.deadlineS * 1000;
    const { rank, estimateS } = spec;
    const from = Math.max(at, since);
    graph.add(id, { awaits, at: from, rank, due, estimateMs: estimateS * 1000 });
    for (const awaited of graph.waitsFor(id)) {
      if (!graph.unknown.has(awaited)) continue;
      const row = this.mirror.rows.get(keys.job(awaited));
      if (row !== undefined && isHeader(row.value)) this.#take(awaited, row.value);
    }
  }

  /** Finds out about awaited jobs that are not among the watched headers: archived ones mostly. */
  #learn(): void {
    if (this.#looking) return;
    this.#looking = true;
    const pauseMs = this.reportMs / 4;
    const step = async (): Promise<void> => {
      if (this.#stopped || this.#graph.unknown.size === 0) {
        this.#looking = false;
        return;
      }
      // While keys are being read the rest may still come.
      if (this.mirror.ready) {
        for (const id of [...this.#graph.unknown].slice(0, AT_ONCE)) await this.#ask(id);
      }
      this.clock.after(pauseMs, () => void step());
    };
    this.clock.after(pauseMs, () => void step());
  }

  async #ask(id: string): Promise<void> {
    const row = this.mirror.rows.get(keys.job(id));
    if (row !== undefined && isHeader(row.value)) return this.#take(id, row.value);
    try {
      const found = await this.lookUp(id);
      if (found === null) {
        if (!this.#missing.has(id))
          this.log.error({ job: id }, "a job is awaited that is not there");
        this.#missing.add(id);
        this.#again(id);
      } else if (found.status === "open") this.#graph.open(id);
      else this.#graph.over(id, found.status, found.over);
    } catch (error) {
      this.log.debug({ job: id, why: String(error) }, "awaited job not looked up yet");
      this.#again(id);
    }
  }

  /** After the others: what cannot be said keeps nobody else waiting. */
  #again(id: string): void {
    if (this.#graph.unknown.delete(id)) this.#graph.unknown.add(id);
  }

  /**
   * What the leader does: writes into the headers of jobs that a job before them has cancelled that
   * they are. Answers do not wait for it, and nothing of such jobs has ever started; whoever does it
   * second, or late, finds the header changed.
   */
  lead({ valid }: { valid(): boolean }): { stop(): void } {
    let stopped = false;
    const step = async (): Promise<void> => {
      if (stopped || this.#stopped) return;
      if (valid() && this.#graph.orphans.size > 0) await this.#sweep();
      this.clock.after(this.reportMs / 4, () => void step());
    };
    this.clock.after(this.reportMs / 4, () => void step());
    return {
      stop: () => {
        stopped = true;
      },
    };
  }

  async #sweep(): Promise<void> {
    const { writes, limits } = this.store;
    const when: Condition[] = [];
    const changes: (Change & { put: string; value: JobHeader })[] = [];
    let bytes = 0;
    for (const id of this.#graph.orphans) {
      const key = keys.job(id);
      const row = this.mirror.rows.get(key);
      if (row === undefined || !isHeader(row.value) || row.value.status !== "open") continue;
      const value = cancelledHeader(row.value, this.clock.wall());
      bytes += 512 + Buffer.byteLength(JSON.stringify(value));
      if (changes.length >= Math.min(AT_ONCE, limits.ops)) break;
      if (changes.length > 0 && bytes > limits.txnBytes) break;
      when.push({ key, version: row.version });
      changes.push({ put: key, value });
    }
    if (changes.length === 0 || !writes.take(changes.length, writes.burst / 4)) return;
    try {
      const { ok, revision } = await this.store.transact(when, changes);
      if (!ok) return;
      for (const { put: key, value } of changes) {
        this.mirror.apply({ key, value, version: revision, deleted: false });
      }
    } catch (error) {
      this.log.debug({ why: String(error) }, "cancelled pipelines wait");
    }
  }
}
