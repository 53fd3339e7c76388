import type { JobSpec } from "../wire/jobs.js";

/** The stored state of a chunk of tasks; only the owner of its part writes it. */
export interface ChunkState {
  /** Highest attempt number given out so far. */
  attempts: number;
  /** Completed tasks as ranges, relative to the first task: `0-3,7`. */
  done: string;
  /** Allocations: tasks that are placed and not proved gone. */
  live: { index: number; attempt: number; machine: string }[];
}

/** A task attempt that is placed on a machine and not proved gone. */
export interface Allocation {
  readonly chunk: Chunk;
  readonly task: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  /** Version of the chunk that first contains this placement. */
  readonly version: number;
  /** When this owner placed it, or loaded it from the store. */
  readonly since: number;
  /** The report in whose answer the start command was last sent. */
  startSentIn: { session: number; seq: number } | null;
  /** When a report first listed it. */
  firstReportedAt: number | null;
  running: boolean;
  /** Why it is being stopped, and how long it may take to save a checkpoint. */
  stopRequest: { graceS: number; reason: string; askedAt: number } | null;
}

export class Chunk {
  attempts = 0;
  readonly done: Uint8Array;
  doneCount = 0;
  readonly allocations = new Map<number, Allocation>();
  /** Number of the page that stores it; null while it has no state to store. */
  page: number | null = null;
  /** Further pages with the rest of its allocations, if they do not fit one page. */
  extraPages: readonly number[] = [];
  /** Version of the handover record from another part, until its state is in a page; else 0. */
  handoverVersion = 0;
  /** Number of changes in memory; `savedVersion` is the last one known to be in the store. */
  version = 0;
  savedVersion = 0;
  /** All tasks before this one are placed or done. */
  scanStart = 0;
  /** The part to which it is being handed over; meanwhile none of its tasks are placed. */
  handoverTarget: number | null = null;

  constructor(
    readonly job: string,
    readonly spec: JobSpec,
    readonly index: number,
    readonly firstTask: number,
    readonly size: number,
    /** When this owner received it. */
    readonly since: number,
  ) {
    this.done = new Uint8Array(size);
  }

  get pending(): number {
    return this.size - this.doneCount - this.allocations.size;
  }

  get complete(): boolean {
    return this.doneCount === this.size;
  }

  /** Index in the chunk of the next task that is neither done nor placed; null if there is none. */
  nextPending(): number | null {
    for (let i = this.scanStart; i < this.size; i++) {
      if (this.done[i] === 0 && !this.allocations.has(i)) {
        this.scanStart = i;
        return i;
      }
    }
    return null;
  }

  place(index: number, machine: string, now: number): Allocation {
    this.version++;
    this.attempts++;
    const allocation: Allocation = {
      chunk: this,
      task: `${this.job}/${this.firstTask + index}`,
      index,
      attempt: this.attempts,
      machine,
      version: this.version,
      since: now,
      startSentIn: null,
      firstReportedAt: null,
      running: false,
      stopRequest: null,
    };
    this.allocations.set(index, allocation);
    return allocation;
  }

  /** Removes an allocation whose task is proved gone from its machine, completed or not. */
  release(allocation: Allocation, completed: boolean): void {
    if (this.allocations.get(allocation.index) !== allocation) return;
    this.version++;
    this.allocations.delete(allocation.index);
    if (completed) {
      this.done[allocation.index] = 1;
      this.doneCount++;
    } else {
      this.scanStart = Math.min(this.scanStart, allocation.index);
    }
  }

  /** Marks a task as done that is not placed: its worker still reports that it has completed. */
  markDone(index: number): boolean {
    if (index < 0 || index >= this.size || this.done[index] !== 0 || this.allocations.has(index)) {
      return false;
    }
    this.version++;
    this.done[index] = 1;
    this.doneCount++;
    return true;
  }

  get state(): ChunkState {
    const live = [...this.allocations.values()].map(({ index, attempt, machine }) => ({
      index,
      attempt,
      machine,
    }));
    return { attempts: this.attempts, done: encodeRanges(this.done), live };
  }

  load(state: ChunkState, now: number): void {
    this.attempts = state.attempts;
    for (const range of state.done === "" ? [] : state.done.split(",")) {
      const [from, to] = range.split("-").map(Number) as [number, number?];
      for (let i = from; i <= (to ?? from) && i < this.size; i++) {
        if (this.done[i] === 0) this.doneCount++;
        this.done[i] = 1;
      }
    }
    for (const { index, attempt, machine } of state.live) {
      this.allocations.set(index, {
        chunk: this,
        task: `${this.job}/${this.firstTask + index}`,
        index,
        attempt,
        machine,
        version: 0,
        since: now,
        startSentIn: null,
        firstReportedAt: null,
        running: false,
        stopRequest: null,
      });
    }
  }
}

/** The indexes of the non-zero flags as ranges: `0-3,7`. */
export function encodeRanges(flags: Uint8Array): string {
  const encoded: string[] = [];
  for (let i = 0; i < flags.length; i++) {
    if (flags[i] === 0) continue;
    const from = i;
    while (i + 1 < flags.length && flags[i + 1] !== 0) i++;
    encoded.push(from === i ? `${from}` : `${from}-${i}`);
  }
  return encoded.join(",");
}
