import { type Amounts, addAmounts, EPSILON } from "../fair/share.js";
import { type Allocation, Chunk, type ChunkState } from "../jobs/chunk.js";
import { maxPageBytes } from "../jobs/chunk-page.js";
import { type JobHeader, partChar } from "../jobs/job-header.js";
import { type JobSpec, PRIORITIES } from "../wire/jobs.js";
import { Machine } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import { effectivePriority, Job } from "./job.js";

export interface FoundTask {
  job: Job;
  chunk: Chunk;
  index: number;
}

/** Resources that a team uses and waits for, by priority from the lowest. */
export interface Demand {
  cpus: number[];
  gpus: number[];
  /** CPUs of the largest waiting task. */
  largestTaskCpus: number;
}

export const noDemand = (): Demand => ({
  cpus: PRIORITIES.map(() => 0),
  gpus: PRIORITIES.map(() => 0),
  largestTaskCpus: 0,
});

export const ZERO: Amounts = { cpus: 0, gpus: 0 };

/**
 * The part's jobs, machines and allocations. Tasks are placed and released only here, so that the
 * records of chunks, machines and team usage stay consistent.
 */
export class Ledger {
  readonly machines = new Map<string, Machine>();
  readonly jobs = new Map<string, Job>();
  /** Resources of the allocations, by team. */
  readonly use = new Map<string, Amounts>();

  /** Counts changes that may have to be stored. While it stays the same there is nothing to write. */
  changeCount = 1;
  #longestMachineName = 0;

  constructor(readonly ctx: PartContext) {}

  /**
   * Most allocations that a chunk may have for its state to fit a page, also with long machine names.
   * Each one takes a machine name, two numbers and separators.
   */
  get maxAllocationsPerChunk(): number {
    const pageBytes = maxPageBytes(this.ctx.store.limits) - 1024;
    return Math.max(1, Math.floor((pageBytes * 0.75) / (this.#longestMachineName + 20)));
  }

  /** Whether a chunk's state still fits a page with one more allocation on a machine. */
  fitsPage(chunk: Chunk, machine: string): boolean {
    const { allocations } = chunk;
    if (allocations.size < this.maxAllocationsPerChunk) return true;
    const pageBytes = maxPageBytes(this.ctx.store.limits);
    if (pageBytes >= 8192) return false;
    // With small values the size is estimated more closely: a page contains each machine name once.
    const names = new Set([machine]);
    for (const other of allocations.values()) names.add(other.machine);
    const doneBytes = 4 * Math.min(chunk.doneCount, chunk.size - chunk.doneCount) + 16;
    const allocationBytes = 3 + String(chunk.size).length + String(chunk.attempts + 1).length + 3;
    const stateBytes =
      256 +
      doneBytes +
      (allocations.size + 1) * allocationBytes +
      names.size * (this.#longestMachineName + 3);
    return stateBytes <= pageBytes * 0.9;
  }

  /** Chunks of a job that its header gives to this part and that are not loaded yet. */
  missingChunks(id: string, header: JobHeader): { job: Job; chunks: number[] } | null {
    if (header.spec === undefined) return null;
    const ownerChar = partChar(this.ctx.index);
    if (!header.owners.includes(ownerChar)) return null;
    let job = this.jobs.get(id);
    if (job === undefined) {
      const { mirror, clock, targets } = this.ctx;
      job = new Job(id, header.spec, header, mirror, clock.now(), targets);
      this.jobs.set(id, job);
    }
    const chunks: number[] = [];
    for (let i = 0; i < header.owners.length; i++) {
      if (header.owners[i] === ownerChar && !job.chunks.has(i)) chunks.push(i);
    }
    return { job, chunks };
  }

  /** Updates the jobs of pipelines at the start of a pass. */
  updateFromPipelines(): void {
    const { pipelines, targets, clock } = this.ctx;
    for (const id of pipelines.ids) {
      const job = this.jobs.get(id);
      if (job === undefined) continue;
      job.updateFromPipelines(pipelines, targets);
      // Waiting for resources only begins once the jobs that it depends on are finished.
      if (pipelines.isBlocked(id)) job.waitingSince = clock.now();
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
      for (const allocation of chunk.allocations.values()) {
        this.machine(allocation.machine).allocations.set(allocation.task, allocation);
        this.#charge(job.spec, 1);
      }
    }
    job.chunks.set(index, chunk);
    this.changeCount++;
    return chunk;
  }

  drop(chunk: Chunk): void {
    const job = this.jobs.get(chunk.job);
    if (job === undefined || !job.chunks.delete(chunk.index)) return;
    this.changeCount++;
    if (job.chunks.size === 0) this.jobs.delete(chunk.job);
  }

  find(task: string): FoundTask | null {
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
      this.#longestMachineName = Math.max(this.#longestMachineName, id.length);
      this.machines.set(id, machine);
    }
    return machine;
  }

  place(job: Job, chunk: Chunk, index: number, machine: Machine): void {
    const now = this.ctx.clock.now();
    const allocation = chunk.place(index, machine.id, now);
    this.changeCount++;
    machine.allocations.set(allocation.task, allocation);
    if (job.spec.image !== null) machine.images.add(job.spec.image);
    machine.invalidateFreeResources();
    const reservation = machine.reservations.get(job.id);
    if (reservation !== undefined && --reservation.tasks === 0) machine.reservations.delete(job.id);
    this.#charge(job.spec, 1);
    // The job makes progress: waiting starts anew for its remaining tasks.
    job.waitingSince = now;
  }

  /** Releases an allocation that is proved gone. False if it had been released before. */
  release(allocation: Allocation, completed: boolean): boolean {
    const { chunk } = allocation;
    if (chunk.allocations.get(allocation.index) !== allocation) return false;
    const now = this.ctx.clock.now();
    chunk.release(allocation, completed);
    this.changeCount++;
    this.#charge(chunk.spec, -1);
    const machine = this.machines.get(allocation.machine);
    if (machine !== undefined) {
      machine.allocations.delete(allocation.task);
      machine.invalidateFreeResources();
      if (machine.allocations.size === 0) machine.idleSince = now;
    }
    const job = this.jobs.get(chunk.job);
    if (job !== undefined && !completed) job.waitingSince = now;
    return true;
  }

  /** CPUs of all waiting tasks, without those of preemptible teams. */
  get waitingCpus(): number {
    const { policy, constraints } = this.ctx;
    let sum = 0;
    for (const job of this.jobs.values()) {
      if (constraints.cannotStart(job.id, job.spec)) continue;
      if (job.open && policy?.preemptible(job.spec.team) !== true)
        sum += job.waiting * job.spec.cpus;
    }
    return Math.round(sum);
  }

  /** By team, what its tasks here use and wait for. */
  demand(): Map<string, Demand> {
    const sums = new Map<string, Demand>();
    const onTime = this.ctx.onTime();
    for (const job of this.jobs.values()) {
      const { spec, waiting, chunks } = job;
      const open = job.open && !this.ctx.constraints.cannotStart(job.id, spec);
      const rank = effectivePriority(job, onTime);
      let count = open ? waiting : 0;
      for (const chunk of chunks.values()) count += chunk.allocations.size;
      let sum = sums.get(spec.team);
      if (sum === undefined) {
        sum = noDemand();
        sums.set(spec.team, sum);
      }
      sum.cpus[rank]! += count * spec.cpus;
      sum.gpus[rank]! += count * spec.gpus;
      if (open && waiting > 0) sum.largestTaskCpus = Math.max(sum.largestTaskCpus, spec.cpus);
    }
    return sums;
  }

  #charge(spec: JobSpec, sign: 1 | -1): void {
    const amounts = { cpus: sign * spec.cpus, gpus: sign * spec.gpus };
    const use = addAmounts(this.use.get(spec.team) ?? ZERO, amounts);
    // Floating-point error may leave a tiny remainder, even below zero, after tasks are gone.
    if (Math.abs(use.cpus) < EPSILON) use.cpus = 0;
    if (Math.abs(use.gpus) < EPSILON) use.gpus = 0;
    this.use.set(spec.team, use);
  }
}
