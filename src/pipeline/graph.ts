/** An open job that awaits others; times are wall clock times in milliseconds. */
export interface DependentJob {
  awaits: readonly string[];
  /** When it was accepted, or when the last job it named was done, if that is known and later. */
  at: number;
  rank: number;
  /** The due time by its own deadline; infinity without one. */
  due: number;
  /** The user's estimate for the run time of one task. */
  estimateMs: number;
}

/**
 * Whether a job may start, as far as the jobs that it awaits are concerned. `unknown`: the state of
 * an awaited job, direct or indirect, has not been looked up yet, so there is no reliable answer.
 */
export type DependencyState = "ready" | "waits" | "cancelled" | "unknown";

interface Node {
  dependent: DependentJob | null;
  state: "unknown" | "open" | "done" | "cancelled";
  /** The job itself or a job that it awaits, direct or indirect, is cancelled. */
  effectivelyCancelled: boolean;
  /** Jobs that it awaits and that are not known to be done. */
  readonly awaited: Set<string>;
  /** Open jobs that await this one. */
  readonly dependents: Set<string>;
  /** When the last job that it awaited was done, or when it was accepted, whichever is later. */
  since: number;
  /** Highest priority, and earliest time by which it must be done, required by its dependents. */
  rank: number;
  due: number;
}

/**
 * The dependencies between open jobs, and the states and priorities that result. "Done" and
 * "cancelled" are final, so results never revert: a ready job stays ready, a cancelled one stays
 * cancelled. Keeps only open jobs that await others, and the jobs that those still await.
 *
 * The cost of a change is proportional to the nodes it affects. Chains are followed with an explicit
 * stack instead of recursion, so their length is not limited by the call stack.
 */
export class DependencyGraph {
  readonly #nodes = new Map<string, Node>();
  /** Awaited jobs whose state is unknown. */
  readonly unknown = new Set<string>();
  /** Jobs cancelled by the cancellation of a job they await, whose own headers are still open. */
  readonly toCancel = new Set<string>();

  /** Ids of all jobs that are kept: those that await others, and those that are awaited. */
  get ids(): Iterable<string> {
    return this.#nodes.keys();
  }

  get size(): number {
    return this.#nodes.size;
  }

  has(id: string): boolean {
    return this.#nodes.has(id);
  }

  /** Adds an open job that awaits others. Adding it again has no effect. */
  add(id: string, job: DependentJob): void {
    const node = this.#getOrCreate(id);
    this.#setOpen(id, node);
    if (node.dependent !== null) return;
    node.dependent = job;
    node.since = job.at;
    let cancelled = node.effectivelyCancelled;
    for (const awaitedId of job.awaits) {
      const awaitedNode = this.#getOrCreate(awaitedId);
      cancelled ||= awaitedNode.effectivelyCancelled;
      if (awaitedNode.state === "done") continue;
      node.awaited.add(awaitedId);
      awaitedNode.dependents.add(id);
    }
    if (cancelled) this.#cancelDependents(id);
    this.#propagateUrgency([...node.awaited]);
  }

  /** Records that a job is open. It is kept only if another job awaits it. */
  markOpen(id: string): void {
    const node = this.#nodes.get(id);
    if (node !== undefined) this.#setOpen(id, node);
  }

  /** Records that a job has finished, at `finishedAt` if known, and updates its dependents. */
  markFinished(id: string, status: "done" | "cancelled", finishedAt: number | null): void {
    const node = this.#nodes.get(id);
    if (node === undefined) return;
    this.unknown.delete(id);
    this.toCancel.delete(id);
    node.state = status;
    if (status === "cancelled") this.#cancelDependents(id);
    const awaitedIds = [...node.awaited];
    for (const other of awaitedIds) this.#nodes.get(other)?.dependents.delete(id);
    node.awaited.clear();
    if (status === "done") {
      for (const dependentId of node.dependents) {
        const dependent = this.#nodes.get(dependentId)!;
        dependent.awaited.delete(id);
        if (finishedAt !== null) dependent.since = Math.max(dependent.since, finishedAt);
      }
      node.dependents.clear();
    }
    this.#propagateUrgency(awaitedIds);
    this.#removeIfUnneeded(id);
    for (const other of awaitedIds) this.#removeIfUnneeded(other);
  }

  /** Records that a job's header was deleted while the job was open here: its result is unknown. */
  markUnknown(id: string): void {
    const node = this.#nodes.get(id);
    if (node === undefined || node.state !== "open") return;
    // If it awaited others, it was cancelled and archived, or is done. A lookup tells which.
    node.state = "unknown";
    this.unknown.add(id);
  }

  stateOf(id: string): DependencyState {
    const node = this.#nodes.get(id);
    if (node === undefined) return "ready";
    if (node.effectivelyCancelled) return "cancelled";
    if (node.awaited.size === 0) return "ready";
    if (this.unknown.size === 0) return "waits";
    const seen = new Set<string>([id]);
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      if (this.unknown.has(next)) return "unknown";
      for (const awaitedId of this.#nodes.get(next)?.awaited ?? []) {
        if (!seen.has(awaitedId)) stack.push(awaitedId);
        seen.add(awaitedId);
      }
    }
    return "waits";
  }

  /** The jobs that an open job still waits for. */
  pendingDependencies(id: string): readonly string[] {
    return [...(this.#nodes.get(id)?.awaited ?? [])];
  }

  /** Estimated time until a job is done: the longest path through the jobs that it still awaits. */
  expectedMs(id: string, estimateOf: (id: string) => number): number {
    const durations = new Map<string, number>();
    const stack = [id];
    for (let next = stack.at(-1); next !== undefined; next = stack.at(-1)) {
      const awaitedIds = [...(this.#nodes.get(next)?.awaited ?? [])];
      const unresolved = awaitedIds.filter((other) => !durations.has(other));
      // Set before the awaited jobs are visited, so that a cycle, which cannot occur, would end here.
      if (unresolved.length > 0 && !durations.has(next)) {
        durations.set(next, 0);
        stack.push(...unresolved);
        continue;
      }
      stack.pop();
      const awaitedMs = Math.max(0, ...awaitedIds.map((other) => durations.get(other) ?? 0));
      durations.set(next, awaitedMs + estimateOf(next));
    }
    return durations.get(id) ?? 0;
  }

  /** When its class targets start to count; its own deadline counts from acceptance. */
  since(id: string, at: number): number {
    return this.#nodes.get(id)?.since ?? at;
  }

  /** The highest of its own priority and those of its dependents. */
  rank(id: string, own: number): number {
    return Math.max(own, this.#nodes.get(id)?.rank ?? 0);
  }

  /** Its due time, or an earlier one that its dependents need to meet theirs. */
  due(id: string, own: number): number {
    return Math.min(own, this.#nodes.get(id)?.due ?? Number.POSITIVE_INFINITY);
  }

  #getOrCreate(id: string): Node {
    let node = this.#nodes.get(id);
    if (node === undefined) {
      node = {
        dependent: null,
        state: "unknown",
        effectivelyCancelled: false,
        awaited: new Set(),
        dependents: new Set(),
        since: Number.NEGATIVE_INFINITY,
        rank: 0,
        due: Number.POSITIVE_INFINITY,
      };
      this.#nodes.set(id, node);
      this.unknown.add(id);
    }
    return node;
  }

  #setOpen(id: string, node: Node): void {
    if (node.state !== "unknown") return;
    node.state = "open";
    this.unknown.delete(id);
  }

  #cancelDependents(id: string): void {
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      const node = this.#nodes.get(next);
      if (node === undefined || (node.effectivelyCancelled && next !== id)) continue;
      node.effectivelyCancelled = true;
      if (node.dependent !== null && node.state === "open") this.toCancel.add(next);
      stack.push(...node.dependents);
    }
  }

  /** Propagates priorities and due times to awaited jobs, until nothing changes. */
  #propagateUrgency(ids: readonly string[]): void {
    const stack = [...ids];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      const node = this.#nodes.get(id);
      if (node === undefined) continue;
      let rank = 0;
      let due = Number.POSITIVE_INFINITY;
      for (const dependentId of node.dependents) {
        const {
          dependent,
          effectivelyCancelled: cancelled,
          rank: inheritedRank,
          due: inheritedDue,
        } = this.#nodes.get(dependentId)!;
        if (dependent === null || cancelled) continue;
        rank = Math.max(rank, dependent.rank, inheritedRank);
        due = Math.min(due, Math.min(dependent.due, inheritedDue) - dependent.estimateMs);
      }
      if (rank === node.rank && due === node.due) continue;
      node.rank = rank;
      node.due = due;
      stack.push(...node.awaited);
    }
  }

  /** Removes a job that has finished or awaits nothing, unless another job awaits it. */
  #removeIfUnneeded(id: string): void {
    const node = this.#nodes.get(id);
    if (node === undefined || node.dependents.size > 0) return;
    const finished = node.state === "done" || node.state === "cancelled";
    if (!finished && node.dependent !== null) return;
    this.#nodes.delete(id);
    this.unknown.delete(id);
    this.toCancel.delete(id);
  }
}
