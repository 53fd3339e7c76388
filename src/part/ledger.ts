import { type Amounts, addAmounts, EPSILON } from "../fair/share.js";
import { type Allocation, Chunk, type ChunkState } from "../jobs/chunk.js";
import { maxPageBytes } from "../jobs/chunk-page.js";
import { type JobHeader, partChar } from "../jobs/job-header.js";
import { type JobSpec, PRIORITIES } from "../wire/jobs.js";
import { Machine } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import { Job, rankOf } from "./job.js";

export interface Found {
  job: Job;
  chunk: Chunk;
  index: number;
}

/** By priority, from the lowest. */
export interface Demand {
  cpus: number[];
  gpus: number[];
  /** The CPUs of the largest task that waits. */
  largest: number;
}

export const noDemand = (): Demand => ({
  cpus: PRIORITIES.map(() => 0),
  gpus: PRIORITIES.map(() => 0),
  largest: 0,
});

export const ZERO: Amounts = { cpus: 0, gpus: 0 };

/**
 * The part's jobs and machines, and which task is where. A task is placed and released here and
 * nowhere else, so that chunks, machines and the teams' use cannot disagree.
 */
export class Ledger {
  readonly machines = new Map<string, Machine>();
  readonly jobs = new Map<string, Job>();
  /** By team: tasks placed and not proved gone. */
  readonly use = new Map<string, Amounts>();

  /** Counts what the store may have to be told of: as long as it stays, there is nothing to write. */
  changes = 1;
  #longestName = 0;

  constructor(readonly ctx: PartContext) {}

  /**
   * How many tasks of one chunk may be placed at a time, so that its state fits a page however long
   * the names of machines are: each takes its name, two numbers and what separates them.
   */
  get mostLive(): number {
    const bytes = maxPageBytes(this.ctx.store.limits) - 1024;
    return Math.max(1, Math.floor((bytes * 0.75) / (this.#longestName + 20)));
  }

  /** Whether a chunk's state still fits a page with one more task on a machine. */
  holds(chunk: Chunk, machine: string): boolean {
    const { allocations: live } = chunk;
    if (live.size < this.mostLive) return true;
    const bytes = maxPageBytes(this.ctx.store.limits);
    if (bytes >= 8192) return false;
    // Small values: what it takes is counted, with each machine named once.
    const names = new Set([machine]);
    for (const other of live.values()) names.add(other.machine);
    const done = 4 * Math.min(chunk.doneCount, chunk.size - chunk.doneCount) + 16;
    const item = 3 + String(chunk.size).length + String(chunk.attempts + 1).length + 3;
    const all = 256 + done + (live.size + 1) * item + names.size * (this.#longestName + 3);
    return all <= bytes * 0.9;
  }

  /** The chunks of a job that are ours by its header and that are not here yet. */
  missing(id: string, header: JobHeader): { job: Job; chunks: number[] } | null {
    if (header.spec === undefined) return null;
    const mine = partChar(this.ctx.index);
    if (!header.owners.includes(mine)) return null;
    let job = this.jobs.get(id);
    if (job === undefined) {
      const { mirror, clock, targets } = this.ctx;
      job = new Job(id, header.spec, header, mirror, clock.now(), targets);
      this.jobs.set(id, job);
    }
    const chunks: number[] = [];
    for (let i = 0; i < header.owners.length; i++) {
      if (header.owners[i] === mine && !job.chunks.has(i)) chunks.push(i);
    }
    return { job, chunks };
  }

  /** What pipelines say of the jobs in them, for the pass that begins. */
  follow(): void {
    const { pipelines, targets, clock } = this.ctx;
    for (const id of pipelines.ids) {
      const job = this.jobs.get(id);
      if (job === undefined) continue;
      job.follow(pipelines, targets);
      // It begins to wait for room when it has waited for all others.
      if (pipelines.waits(id)) job.waitingSince = clock.now();
    }
  }

  adopt(job: Job, index: number, state: ChunkState | null): Chunk {
    const { chunkSize, tasks } = job.header;
    const first = index * chunkSize;
    const size = Math.min(chunkSize, tasks - first);
    const now = this.ctx.clock.now();
    const chunk = new Chunk(job.id, job.spec, index, first, size, now);
    if (state !== null) {
      chunk.load(state, now);
      for (const live of chunk.allocations.values()) {
        this.machine(live.machine).allocations.set(live.task, live);
        this.#charge(job.spec, 1);
      }
    }
    job.chunks.set(index, chunk);
    this.changes++;
    return chunk;
  }

  drop(chunk: Chunk): void {
    const job = this.jobs.get(chunk.job);
    if (job === undefined || !job.chunks.delete(chunk.index)) return;
    this.changes++;
    if (job.chunks.size === 0) this.jobs.delete(chunk.job);
  }

  find(task: string): Found | null {
    const slash = task.lastIndexOf("/");
    const job = this.jobs.get(task.slice(0, slash));
    if (job === undefined) return null;
    const number = Number(task.slice(slash + 1));
    const chunk = job.chunks.get(Math.floor(number / job.header.chunkSize));
    return chunk === undefined ? null : { job, chunk, index: number - chunk.firstTask };
  }

  machine(id: string): Machine {
    let machine = this.machines.get(id);
    if (machine === undefined) {
      machine = new Machine(id, this.ctx.clock.now());
      this.#longestName = Math.max(this.#longestName, id.length);
      this.machines.set(id, machine);
    }
    return machine;
  }

  place(job: Job, chunk: Chunk, index: number, machine: Machine): void {
    const now = this.ctx.clock.now();
    const live = chunk.place(index, machine.id, now);
    this.changes++;
    machine.allocations.set(live.task, live);
    if (job.spec.image !== null) machine.images.add(job.spec.image);
    machine.invalidateFreeResources();
    const kept = machine.reserved.get(job.id);
    if (kept !== undefined && --kept.tasks === 0) machine.reserved.delete(job.id);
    this.#charge(job.spec, 1);
    // It is being served: what is left of it starts to wait anew.
    job.waitingSince = now;
  }

  /** The task is proved gone; says whether it had been counted here until now. */
  release(live: Allocation, completed: boolean): boolean {
    const { chunk } = live;
    if (chunk.allocations.get(live.index) !== live) return false;
    const now = this.ctx.clock.now();
    chunk.release(live, completed);
    this.changes++;
    this.#charge(chunk.spec, -1);
    const machine = this.machines.get(live.machine);
    if (machine !== undefined) {
      machine.allocations.delete(live.task);
      machine.invalidateFreeResources();
      if (machine.allocations.size === 0) machine.idleSince = now;
    }
    const job = this.jobs.get(chunk.job);
    if (job !== undefined && !completed) job.waitingSince = now;
    return true;
  }

  /** CPUs of all tasks that wait here; what yields presses on nobody. */
  get waitingCpus(): number {
    const { policy: rules, constraints: places } = this.ctx;
    let sum = 0;
    for (const job of this.jobs.values()) {
      if (places.cannotStart(job.id, job.spec)) continue;
      if (job.open && rules?.preemptible(job.spec.team) !== true)
        sum += job.waiting * job.spec.cpus;
    }
    return Math.round(sum);
  }

  /** By team, what its tasks here use and wait for, by priority from the lowest. */
  demand(): Map<string, Demand> {
    const sums = new Map<string, Demand>();
    const timely = this.ctx.onTime();
    for (const job of this.jobs.values()) {
      const { spec, waiting, chunks } = job;
      const open = job.open && !this.ctx.constraints.cannotStart(job.id, spec);
      const rank = rankOf(job, timely);
      let count = open ? waiting : 0;
      for (const chunk of chunks.values()) count += chunk.allocations.size;
      let sum = sums.get(spec.team);
      if (sum === undefined) {
        sum = noDemand();
        sums.set(spec.team, sum);
      }
      sum.cpus[rank]! += count * spec.cpus;
      sum.gpus[rank]! += count * spec.gpus;
      if (open && waiting > 0) sum.largest = Math.max(sum.largest, spec.cpus);
    }
    return sums;
  }

  #charge(spec: JobSpec, sign: 1 | -1): void {
    const amounts = { cpus: sign * spec.cpus, gpus: sign * spec.gpus };
    const use = addAmounts(this.use.get(spec.team) ?? ZERO, amounts);
    // What adding and taking away leave of a task that is gone is no use, and may be below zero.
    if (Math.abs(use.cpus) < EPSILON) use.cpus = 0;
    if (Math.abs(use.gpus) < EPSILON) use.gpus = 0;
    this.use.set(spec.team, use);
  }
}
