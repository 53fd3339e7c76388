/** What a job that awaits others says of itself; times are milliseconds of the time of day. */
export interface Stage {
  awaits: readonly string[];
  /** When it was accepted, or the last that it named was done if that was later and is known. */
  at: number;
  rank: number;
  /** When it is due by its own deadline; infinity without one. */
  due: number;
  /** How long a task of it takes, by its owner's estimate. */
  estimateMs: number;
}

/**
 * `unknown`: nobody has said yet what became of a job that is awaited, or of one before it. What
 * is answered then would be a guess.
 */
export type Fate = "ready" | "waits" | "cancelled" | "unknown";

interface Node {
  stage: Stage | null;
  state: "unknown" | "open" | "done" | "cancelled";
  /** It, or a job before it, is cancelled. */
  doomed: boolean;
  /** What it awaits and is not known to be done. */
  readonly left: Set<string>;
  /** Open jobs that await it. */
  readonly neededBy: Set<string>;
  /** When the last job that it awaited was done, or when it was accepted if that was later. */
  since: number;
  /** The highest priority, and the earliest that it has to be done by, of what needs it. */
  rank: number;
  due: number;
}

/**
 * Which open jobs wait for which, and what follows from that. "Done" and "cancelled" are final, so
 * all answers only ever move one way: what is ready stays ready, what is cancelled stays cancelled.
 * Remembers jobs that are open and await something, and those that they still await, nothing else.
 * Every change costs what it changes; chains are followed by a list of work, however long they are.
 */
export class Graph {
  readonly #nodes = new Map<string, Node>();
  /** Awaited jobs of which nothing is known. */
  readonly unknown = new Set<string>();
  /** Open jobs that a job before them has cancelled: their headers do not say so yet. */
  readonly orphans = new Set<string>();

  /** Jobs that are open, and await others or are awaited. */
  get ids(): Iterable<string> {
    return this.#nodes.keys();
  }

  get size(): number {
    return this.#nodes.size;
  }

  has(id: string): boolean {
    return this.#nodes.has(id);
  }

  /** An open job that awaits others; said again it changes nothing. */
  add(id: string, stage: Stage): void {
    const node = this.#node(id);
    this.#opened(id, node);
    if (node.stage !== null) return;
    node.stage = stage;
    node.since = stage.at;
    let doomed = node.doomed;
    for (const awaited of stage.awaits) {
      const before = this.#node(awaited);
      doomed ||= before.doomed;
      if (before.state === "done") continue;
      node.left.add(awaited);
      before.neededBy.add(id);
    }
    if (doomed) this.#doom(id);
    this.#raise([...node.left]);
  }

  /** An open job that awaits nothing; kept only if something awaits it. */
  open(id: string): void {
    const node = this.#nodes.get(id);
    if (node !== undefined) this.#opened(id, node);
  }

  /** A job is over for good, `over` being when; jobs that await it learn of it. */
  over(id: string, status: "done" | "cancelled", over: number | null): void {
    const node = this.#nodes.get(id);
    if (node === undefined) return;
    this.unknown.delete(id);
    this.orphans.delete(id);
    node.state = status;
    if (status === "cancelled") this.#doom(id);
    const awaited = [...node.left];
    for (const other of awaited) this.#nodes.get(other)?.neededBy.delete(id);
    node.left.clear();
    if (status === "done") {
      for (const needing of node.neededBy) {
        const next = this.#nodes.get(needing)!;
        next.left.delete(id);
        if (over !== null) next.since = Math.max(next.since, over);
      }
      node.neededBy.clear();
    }
    this.#raise(awaited);
    this.#drop(id);
    for (const other of awaited) this.#drop(other);
  }

  /** Its header is gone, and nobody has said how it ended. */
  lost(id: string): void {
    const node = this.#nodes.get(id);
    if (node === undefined || node.state !== "open") return;
    // One that awaits others and was open has been swept and archived, or is done: it is asked for.
    node.state = "unknown";
    this.unknown.add(id);
  }

  fate(id: string): Fate {
    const node = this.#nodes.get(id);
    if (node === undefined) return "ready";
    if (node.doomed) return "cancelled";
    if (node.left.size === 0) return "ready";
    if (this.unknown.size === 0) return "waits";
    const seen = new Set<string>([id]);
    const work = [id];
    for (let next = work.pop(); next !== undefined; next = work.pop()) {
      if (this.unknown.has(next)) return "unknown";
      for (const before of this.#nodes.get(next)?.left ?? []) {
        if (!seen.has(before)) work.push(before);
        seen.add(before);
      }
    }
    return "waits";
  }

  /** What it still waits for, itself not cancelled. */
  waitsFor(id: string): readonly string[] {
    return [...(this.#nodes.get(id)?.left ?? [])];
  }

  /** The longest way to the end of a job through those that it still awaits, by their estimates. */
  expectedMs(id: string, estimateOf: (id: string) => number): number {
    const known = new Map<string, number>();
    const work = [id];
    for (let next = work.at(-1); next !== undefined; next = work.at(-1)) {
      const before = [...(this.#nodes.get(next)?.left ?? [])];
      const ahead = before.filter((other) => !known.has(other));
      // Marked before what comes first is done: a circle, which cannot be, would end here.
      if (ahead.length > 0 && !known.has(next)) {
        known.set(next, 0);
        work.push(...ahead);
        continue;
      }
      work.pop();
      const first = Math.max(0, ...before.map((other) => known.get(other) ?? 0));
      known.set(next, first + estimateOf(next));
    }
    return known.get(id) ?? 0;
  }

  /** From when its times count, but for its own deadline. */
  since(id: string, at: number): number {
    return this.#nodes.get(id)?.since ?? at;
  }

  /** Its priority, or that of a job that needs it if that is higher. */
  rank(id: string, own: number): number {
    return Math.max(own, this.#nodes.get(id)?.rank ?? 0);
  }

  /** When it is due, so that what needs it can be in time as well. */
  due(id: string, own: number): number {
    return Math.min(own, this.#nodes.get(id)?.due ?? Number.POSITIVE_INFINITY);
  }

  #node(id: string): Node {
    let node = this.#nodes.get(id);
    if (node === undefined) {
      node = {
        stage: null,
        state: "unknown",
        doomed: false,
        left: new Set(),
        neededBy: new Set(),
        since: Number.NEGATIVE_INFINITY,
        rank: 0,
        due: Number.POSITIVE_INFINITY,
      };
      this.#nodes.set(id, node);
      this.unknown.add(id);
    }
    return node;
  }

  #opened(id: string, node: Node): void {
    if (node.state !== "unknown") return;
    node.state = "open";
    this.unknown.delete(id);
  }

  #doom(id: string): void {
    const work = [id];
    for (let next = work.pop(); next !== undefined; next = work.pop()) {
      const node = this.#nodes.get(next);
      if (node === undefined || (node.doomed && next !== id)) continue;
      node.doomed = true;
      if (node.stage !== null && node.state === "open") this.orphans.add(next);
      work.push(...node.neededBy);
    }
  }

  /** Priorities and due times flow back to what is awaited, as far as they change there. */
  #raise(ids: readonly string[]): void {
    const work = [...ids];
    for (let id = work.pop(); id !== undefined; id = work.pop()) {
      const node = this.#nodes.get(id);
      if (node === undefined) continue;
      let rank = 0;
      let due = Number.POSITIVE_INFINITY;
      for (const needing of node.neededBy) {
        const { stage, doomed, rank: flows, due: flowsDue } = this.#nodes.get(needing)!;
        if (stage === null || doomed) continue;
        rank = Math.max(rank, stage.rank, flows);
        due = Math.min(due, Math.min(stage.due, flowsDue) - stage.estimateMs);
      }
      if (rank === node.rank && due === node.due) continue;
      node.rank = rank;
      node.due = due;
      work.push(...node.left);
    }
  }

  /** Forgets what is over, or awaits nothing, once nobody awaits it. */
  #drop(id: string): void {
    const node = this.#nodes.get(id);
    if (node === undefined || node.neededBy.size > 0) return;
    const over = node.state === "done" || node.state === "cancelled";
    if (!over && node.stage !== null) return;
    this.#nodes.delete(id);
    this.unknown.delete(id);
    this.orphans.delete(id);
  }
}
