import { Actor } from "../actor.js";
import type { Clock } from "../clock.js";
import { chooseVictims, type Victim } from "../fair/preempt.js";
import {
  type Amounts,
  add,
  compareShares,
  EPSILON,
  minus,
  type Tree,
  within,
} from "../fair/share.js";
import { type Reply, retryLater } from "../http/server.js";
import { Chunk, isChunkRecord, type Live } from "../jobs/chunk.js";
import {
  allFinished,
  FINISHED,
  finalHeader,
  type Header,
  isHeader,
  partChar,
  undivided,
  withOwner,
} from "../jobs/header.js";
import type { Log } from "../log.js";
import type { Metrics } from "../metrics.js";
import {
  freeOf,
  isSliceRecord,
  reslice,
  type SliceRecord,
  sliceOf,
  smaller,
} from "../quota/slices.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { type Change, type Condition, Refused, type Row, type Store } from "../state/store.js";
import type { MachineType } from "../wire/cloud.js";
import type { JobSpec } from "../wire/jobs.js";
import * as wire from "../wire/workers.js";
import {
  allowed,
  fitsRoom,
  give,
  Machine,
  type Room,
  unreserved,
  zoneAllowed,
} from "../workers/machine.js";
import { type KindRoom, type Need, roomOf, type Summaries, type Summary } from "./summary.js";

export interface PartContext {
  index: number;
  token: number;
  store: Store;
  mirror: Mirror;
  clock: Clock;
  log: Log;
  /** Whether our lease cannot have ended yet. */
  valid(): boolean;
  types(): ReadonlyMap<string, MachineType>;
  newTree(): Tree;
  /** Whether shares are evened out, and how many times a loss that takes in waiting. */
  evenOut: boolean;
  patience: number;
  /** Parts whose machines may be in a zone. */
  partsOf(zone: string): number[];
  limits: ReadonlyMap<string, Amounts>;
  summaries: Summaries;
  metrics: Metrics;
  /** Jobs that are not over, of all parts. */
  openJobs(): Iterable<Header>;
  /** By class, when jobs without a deadline of their own should be finished. */
  targets: ReadonlyMap<string, number>;
  guarantees: ReadonlyMap<string, Amounts>;
  /** Sends commands straight to a worker; whether they arrive shows in its reports. */
  order(address: string, session: number, commands: wire.Command[]): void;
  /** Tells the other controllers, and our own, how this part stands. */
  announce(summary: Summary): void;
  reportMs: number;
  leaseMs: number;
  /** Our claim is gone: stop at once. */
  lost(why: string): void;
}

export type PartMessage =
  | { kind: "report"; report: wire.Report; reply(answer: Reply): void }
  | { kind: "header"; id: string; header: Header }
  | { kind: "gone"; machine: string }
  | { kind: "moved"; job: string; chunk: number; row: Row | null }
  | { kind: "tick" }
  | { kind: "committed"; batch: Batch; revision: number }
  | { kind: "refused"; batch: Batch; failed: Row[]; missing: string[]; late: boolean }
  | { kind: "stop" };

class Job {
  readonly chunks = new Map<number, Chunk>();
  /** Failures in a row, on whatever machine. */
  failures = 0;
  notBefore = 0;

  constructor(
    readonly id: string,
    readonly spec: JobSpec,
    readonly mirror: Mirror,
    public waitingSince: number,
    /** By when jobs of its class should be finished, seconds after submission. */
    readonly targetS: number | null,
  ) {}

  /** When it should be complete, by the time of day; infinity if nobody said. */
  get due(): number {
    const afterS = this.spec.deadlineS ?? this.targetS;
    return afterS === null ? Number.POSITIVE_INFINITY : this.header.at + afterS * 1000;
  }

  /**
   * Always what the mirror has, together with its version. A copy of our own once went back to
   * our last commit when its answer came after news of a later one; written on condition of that
   * later version it undid a move, and a chunk had two owners.
   */
  get header(): Header {
    return this.mirror.rows.get(keys.job(this.id))!.value as Header;
  }
}

interface Found {
  job: Job;
  chunk: Chunk;
  index: number;
}

/** A report whose answer waits for a commit. */
interface Held {
  machine: Machine;
  report: wire.Report;
  listed: Set<string>;
  reply(answer: Reply): void;
}

/** One transaction on its way. */
interface Batch {
  when: Condition[];
  changes: Change[];
  saves: { chunk: Chunk; version: number; deletes: boolean; moves: boolean }[];
  headers: { id: string; header: Header }[];
  slices: { team: string; version: number; record: SliceRecord }[];
}

/**
 * Estimates are often wrong by half (PROTOCOL): a job counts as too late only when even half of
 * its estimate does not fit before it is due.
 */
const HOPE = 0.5;

const ZERO: Amounts = { cpus: 0, gpus: 0 };

/**
 * Owns one part: the machines hashed into it and the chunks of jobs given to it. Everything it
 * decides is committed on condition of its claim's version before it takes effect.
 */
export class Part extends Actor<PartMessage> {
  readonly machines = new Map<string, Machine>();
  readonly jobs = new Map<string, Job>();
  readonly #loading = new Set<string>();
  /** Committed slices; what a lowering in flight gives up is no longer counted. */
  readonly #slices = new Map<string, Amounts>();
  readonly #held = new Set<Held>();
  readonly #orders = new Map<Machine, wire.Command[]>();
  readonly #doubts = new Map<string, { version: number; slice: Amounts }>();
  readonly #use = new Map<string, Amounts>();
  /** CPUs of chunks given to other parts since their last summary. */
  readonly #sent = new Map<number, { summary: Summary; cpus: number }>();
  readonly #short = new Map<string, Amounts>();
  #saving = false;
  #retryAt = 0;
  #tickAt = 0;
  #timerSet = false;
  #summaryAt = 0;
  #evenedAt = 0;
  #sentAt = 0;
  #lastState = "";
  #summaries = 0;

  constructor(
    readonly ctx: PartContext,
    records: Row[],
  ) {
    super();
    const now = ctx.clock.now();
    const byKey = new Map(records.map((row) => [row.key, row]));
    for (const [key, row] of ctx.mirror.rows) {
      if (key.startsWith("w/j/") && isHeader(row.value)) {
        this.#takeIn(key.slice(4), row.value, byKey);
      } else if (key.startsWith("w/g/")) {
        // Machines returned before our time: nothing of theirs is left.
        this.#machineGone(key.slice(4));
      }
    }
    for (const team of ctx.limits.keys()) {
      const row = ctx.mirror.rows.get(keys.quota(team));
      this.#slices.set(team, sliceOf(isSliceRecord(row?.value) ? row.value : {}, ctx.index));
    }
    ctx.log.info(
      {
        part: ctx.index,
        token: ctx.token,
        jobs: this.jobs.size,
        machines: this.machines.size,
        now: Math.round(now),
      },
      "part taken over",
    );
    this.#soon(0);
  }

  protected receive(message: PartMessage): void {
    switch (message.kind) {
      case "report":
        this.#onReport(message.report, message.reply);
        break;
      case "header":
        this.#onHeader(message.id, message.header);
        break;
      case "gone":
        this.#machineGone(message.machine);
        this.#soon();
        break;
      case "moved":
        this.#onMoved(message.job, message.chunk, message.row);
        break;
      case "tick":
        this.#timerSet = false;
        this.#tick();
        break;
      case "committed":
        this.#onCommitted(message.batch, message.revision);
        break;
      case "refused":
        if (message.late) this.#doubt(message.batch);
        this.#onRefused(message.batch, message.failed, message.missing);
        break;
      case "stop":
        this.halt();
        for (const held of this.#held) this.#answer(held);
        this.#held.clear();
        break;
    }
  }

  // ---- jobs ------------------------------------------------------------------------------

  #onHeader(id: string, header: Header): void {
    const job = this.jobs.get(id);
    this.#takeIn(id, header, null);
    if (header.status === "cancelled" && job !== undefined) this.#cancel(job);
    this.#soon(0);
  }

  /** Adopts the chunks of a job that are ours and that we do not have yet. */
  #takeIn(id: string, header: Header, records: Map<string, Row> | null): void {
    if (header.spec === undefined) return;
    const { index } = this.ctx;
    const mine = partChar(index);
    if (!header.owners.includes(mine)) return;
    let job = this.jobs.get(id);
    if (job === undefined) {
      job = new Job(
        id,
        header.spec,
        this.ctx.mirror,
        this.ctx.clock.now(),
        this.ctx.targets.get(header.spec.class) ?? null,
      );
      this.jobs.set(id, job);
    }
    for (let i = 0; i < header.owners.length; i++) {
      if (header.owners[i] !== mine || job.chunks.has(i)) continue;
      const key = keys.chunk(index, id, i);
      const row = records?.get(key) ?? null;
      if (row !== null || header.moves === 0) this.#adopt(job, i, row);
      else if (!this.#loading.has(key)) {
        // It came from another part, which may have left a record of what is done already.
        this.#loading.add(key);
        void this.#fetchMoved(id, i, key);
      }
    }
    if (header.status === "cancelled") this.#cancel(job);
  }

  async #fetchMoved(job: string, chunk: number, key: string): Promise<void> {
    while (!this.stopped) {
      try {
        const row = await this.ctx.store.get(key);
        this.tell({ kind: "moved", job, chunk, row });
        return;
      } catch {
        await new Promise<void>((resolve) => {
          this.ctx.clock.after(this.ctx.reportMs / 4, resolve);
        });
      }
    }
  }

  #onMoved(id: string, chunk: number, row: Row | null): void {
    this.#loading.delete(keys.chunk(this.ctx.index, id, chunk));
    const job = this.jobs.get(id);
    if (job === undefined || job.chunks.has(chunk)) return;
    if (job.header.owners[chunk] !== partChar(this.ctx.index)) return;
    this.#adopt(job, chunk, row);
    if (job.header.status === "cancelled") this.#cancel(job);
    this.#soon(0);
  }

  #adopt(job: Job, index: number, row: Row | null): void {
    const first = index * job.header.chunkSize;
    const size = Math.min(job.header.chunkSize, job.header.tasks - first);
    const now = this.ctx.clock.now();
    const chunk = new Chunk(job.id, index, first, size, now);
    if (row !== null && isChunkRecord(row.value)) {
      chunk.load(row.value, row.version, now);
      for (const live of chunk.live.values()) {
        this.#machine(live.machine).live.set(live.task, live);
        this.#charge(job.spec, 1);
      }
    }
    job.chunks.set(index, chunk);
  }

  #cancel(job: Job): void {
    for (const chunk of job.chunks.values()) {
      for (const live of [...chunk.live.values()]) {
        // Placed by us and never told to the worker: it cannot have started. A loaded one may.
        if (live.version > 0 && live.told === null) this.#release(job, chunk, live, false);
        else this.#stopLive(live, 0, "cancelled");
      }
    }
  }

  #charge(spec: JobSpec, sign: 1 | -1): void {
    const amounts = { cpus: sign * spec.cpus, gpus: sign * spec.gpus };
    this.#use.set(spec.team, add(this.#use.get(spec.team) ?? ZERO, amounts));
  }

  #release(job: Job, chunk: Chunk, live: Live, completed: boolean): void {
    if (chunk.live.get(live.index) !== live) return;
    chunk.release(live, completed);
    this.#charge(job.spec, -1);
    const machine = this.machines.get(live.machine);
    if (machine !== undefined) {
      machine.live.delete(live.task);
      machine.touched();
      if (machine.live.size === 0) machine.idleSince = this.ctx.clock.now();
    }
    if (completed) return;
    job.waitingSince = this.ctx.clock.now();
    // A gang runs whole or not at all: without this task the others only hold their room.
    if (job.spec.kind === "gang") {
      for (const other of job.chunks.values()) {
        for (const mate of other.live.values()) this.#stopLive(mate, job.spec.saveS, "gang");
      }
    }
  }

  #find(task: string): Found | null {
    const slash = task.lastIndexOf("/");
    const job = this.jobs.get(task.slice(0, slash));
    if (job === undefined) return null;
    const number = Number(task.slice(slash + 1));
    const chunk = job.chunks.get(Math.floor(number / job.header.chunkSize));
    return chunk === undefined ? null : { job, chunk, index: number - chunk.first };
  }

  #specOf = (live: Live): JobSpec | undefined => this.#find(live.task)?.job.spec;

  // ---- machines --------------------------------------------------------------------------

  #machine(id: string): Machine {
    let machine = this.machines.get(id);
    if (machine === undefined) {
      machine = new Machine(id, this.ctx.clock.now());
      this.machines.set(id, machine);
    }
    return machine;
  }

  #machineGone(id: string): void {
    const machine = this.machines.get(id);
    if (machine === undefined) return;
    this.machines.delete(id);
    for (const live of [...machine.live.values()]) {
      const found = this.#find(live.task);
      if (found !== null) this.#release(found.job, found.chunk, live, false);
    }
    this.ctx.log.info(
      { part: this.ctx.index, machine: id, tasks: machine.live.size },
      "machine gone",
    );
  }

  #stopLive(live: Live, graceS: number, reason: string): void {
    if (live.stop !== null && live.stop.graceS <= graceS) return;
    live.stop = { graceS, reason, askedAt: this.ctx.clock.now() };
    const machine = this.machines.get(live.machine);
    // Its next answer says so in any case; this is only faster.
    if (machine?.current && live.seenAt !== null && machine.address !== "") {
      const stop = wire.stopTask(live.task, live.attempt, graceS);
      const queued = this.#orders.get(machine);
      if (queued === undefined) this.#orders.set(machine, [stop]);
      else queued.push(stop);
      this.#soon(0);
    }
  }

  #onReport(report: wire.Report, reply: (answer: Reply) => void): void {
    const { token, index, clock } = this.ctx;
    // A newer owner has spoken to it: an answer of ours would be dropped and would hold it here.
    if (report.token > token) {
      reply({ status: 421, body: wire.redirectAnswer(null) });
      return;
    }
    const nothing = (): void => reply({ status: 200, body: wire.reportAnswer(token, []) });
    if (this.ctx.mirror.rows.has(keys.gone(report.machine))) {
      nothing();
      return;
    }
    const now = clock.now();
    const machine = this.#machine(report.machine);
    // A report that was held back on its way: the list is old, and nobody waits for an answer.
    if (
      machine.current &&
      (report.session < machine.session ||
        (report.session === machine.session && report.seq <= machine.seq))
    ) {
      nothing();
      return;
    }
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    machine.address = report.address;
    machine.lastSeen = now;
    machine.noticeS = report.noticeS;
    if (report.token < token) {
      // It has not heard of us: a start by the previous owner may still be on its way to it.
      // This answer gives it our token, after which only we can start anything.
      nothing();
      return;
    }
    if (!machine.current) {
      machine.current = true;
      this.ctx.log.debug({ part: index, machine: machine.id }, "machine follows us");
    }
    machine.session = report.session;
    machine.seq = report.seq;
    const before = machine.live.size;
    const listed = new Set<string>();
    machine.strays = [];
    for (const task of report.tasks) this.#onTask(machine, task, listed, now);
    for (const live of [...machine.live.values()]) {
      if (!listed.has(live.task)) this.#onAbsent(machine, live);
    }
    machine.touched();
    if (machine.noticeS !== null) this.#drain(machine);
    const answer = { machine, report, listed, reply };
    if (machine.live.size === before) {
      this.#answer(answer);
      this.#soon();
      return;
    }
    // Tasks have ended. The answer waits a moment for the commit of their ends, which also
    // places what follows them: the worker may then forget and start at once, not a report later.
    this.#held.add(answer);
    clock.after(this.ctx.reportMs / 8, () => {
      if (this.#held.delete(answer)) this.#answer(answer);
    });
    this.#soon(0);
  }

  /** What a worker is told, by what is in the store now. */
  #answer({ machine, report, listed, reply }: Held): void {
    const { token } = this.ctx;
    if (this.stopped) {
      reply(retryLater(503, "part has no owner yet"));
      return;
    }
    const commands: wire.Command[] = [];
    // Nothing starts in an answer to a report that is not the newest: the worker has given it up.
    const newest = machine.session === report.session && machine.seq === report.seq;
    for (const task of newest ? report.tasks : []) {
      const found = this.#find(task.task);
      const live = this.#liveOf(found, machine, task);
      if (live !== undefined) {
        if (live.stop !== null && !(task.state === "saving" && live.stop.graceS > 0)) {
          commands.push(wire.stopTask(live.task, live.attempt, live.stop.graceS));
        }
      } else if (task.state !== "exited") {
        commands.push(wire.stopTask(task.task, task.attempt, 0));
      } else if (found === null || found.chunk.saved >= found.chunk.version) {
        // Its end must be in the store before the worker may forget it.
        commands.push(wire.forgetTask(task.task, task.attempt));
      }
    }
    for (const live of newest ? machine.live.values() : []) {
      const found = listed.has(live.task) ? null : this.#find(live.task);
      if (found === null || found.chunk.saved < live.version || live.stop !== null) continue;
      if (found.job.header.status !== "open" || machine.noticeS !== null) continue;
      if (!this.ctx.valid()) continue;
      live.told = { session: machine.session, seq: machine.seq };
      commands.push(wire.startTask(live.task, live.attempt));
      this.ctx.log.debug({ task: live.task, machine: machine.id }, "start");
    }
    reply({ status: 200, body: wire.reportAnswer(token, commands) });
  }

  #liveOf(found: Found | null, machine: Machine, task: wire.ReportedTask): Live | undefined {
    const live = found?.chunk.live.get(found.index);
    return live?.machine === machine.id && live.attempt === task.attempt ? live : undefined;
  }

  #onTask(machine: Machine, task: wire.ReportedTask, listed: Set<string>, now: number): void {
    const found = this.#find(task.task);
    const live = this.#liveOf(found, machine, task);
    if (found === null || live === undefined) {
      if (task.state !== "exited") {
        machine.strays.push(found?.job.spec ?? ({ cpus: 0, gpus: 0, memGb: 0 } as JobSpec));
      }
      return;
    }
    listed.add(live.task);
    const { job, chunk } = found;
    if (live.seenAt === null) live.seenAt = now;
    if (task.state !== "exited") {
      if (task.state === "running" && !live.running) {
        live.running = true;
        if (live.version > 0) {
          const waitedS = (now - live.since) / 1000;
          this.ctx.metrics.add({ kind: "running", team: job.spec.team, waitedS });
        }
        if (job.spec.image !== null) machine.images.add(job.spec.image);
      }
      return;
    }
    const completed = task.why === "done" && job.spec.kind !== "service";
    if (completed) {
      job.failures = 0;
      machine.failedJobs.clear();
    } else if (task.why === "error") {
      this.#failed(job, machine, now);
    } else if (task.why !== "stopped") {
      this.ctx.log.info({ task: live.task, machine: machine.id, why: task.why }, "task refused");
      if (task.why === "no_such") job.notBefore = now + this.ctx.reportMs;
    }
    this.#release(job, chunk, live, completed);
  }

  #failed(job: Job, machine: Machine, now: number): void {
    job.failures++;
    machine.failedJobs.add(job.id);
    // Each failure in a row doubles the pause, so a job that cannot succeed does not keep its
    // team's share low and does not push the team's other jobs aside.
    const pause = Math.min(
      this.ctx.reportMs * 2 ** Math.min(job.failures, 10),
      this.ctx.leaseMs * 10,
    );
    job.notBefore = now + (job.failures > 1 ? pause : 0);
    // Different jobs fail on it one after another: it is the machine.
    if (machine.failedJobs.size >= 2 && machine.retired === null) {
      machine.retired = "faulty";
      this.ctx.log.warn({ machine: machine.id }, "machine set aside: different jobs fail on it");
    }
  }

  /** A task of ours that a worker which follows us does not list. */
  #onAbsent(machine: Machine, live: Live): void {
    const found = this.#find(live.task);
    if (found === null) {
      machine.live.delete(live.task);
      return;
    }
    const { job, chunk } = found;
    // Not in the store yet, so its start has not been sent.
    if (chunk.saved < live.version) return;
    const over = live.stop !== null || job.header.status !== "open" || machine.noticeS !== null;
    const lost = live.told !== null && live.told.session < machine.session;
    // This worker has taken our token, and every answer that carried the start is older than this
    // report: the task is gone, or never began. If it is still wanted here it is started again.
    if (live.version === 0 || live.seenAt !== null || lost || over) {
      this.#release(job, chunk, live, false);
    }
  }

  /** The cloud will take the machine: what can save does so now, the rest runs as long as it may. */
  #drain(machine: Machine): void {
    for (const live of machine.live.values()) {
      const spec = this.#specOf(live);
      if (spec !== undefined && spec.checkpointS > 0 && live.running) {
        this.#stopLive(live, Math.max(spec.saveS, 0.1), "notice");
      }
    }
  }

  /** Whether most machines that followed us have fallen silent together. */
  cutOff(): boolean {
    const now = this.ctx.clock.now();
    let followed = 0;
    let silent = 0;
    for (const machine of this.machines.values()) {
      // Longer than a lease: that machine has failed by itself, and is dealt with as one.
      const quiet = now - machine.lastSeen;
      if (!machine.current || quiet > this.ctx.leaseMs * 1.5) continue;
      followed++;
      if (quiet > this.ctx.leaseMs / 3) silent++;
    }
    return followed >= 3 && silent > followed * 0.7;
  }

  // ---- the regular work ------------------------------------------------------------------

  /** A tick soon: changes that come close together are handled as one. */
  #soon(inMs = this.ctx.reportMs / 40): void {
    if (this.stopped) return;
    const due = this.ctx.clock.now() + inMs;
    if (this.#timerSet && this.#tickAt <= due) return;
    this.#timerSet = true;
    this.#tickAt = due;
    this.ctx.clock.after(inMs, () => {
      if (this.#timerSet && this.#tickAt === due) this.tell({ kind: "tick" });
    });
  }

  #tick(): void {
    this.#soon(this.ctx.reportMs / 4);
    if (!this.ctx.valid()) return;
    this.#schedule();
    for (const [machine, commands] of this.#orders) {
      this.ctx.order(machine.address, machine.session, commands);
    }
    this.#orders.clear();
    this.#summarize();
    this.#flush();
  }

  #othersUse(): Map<string, Amounts> {
    const sum = new Map<string, Amounts>();
    for (const [part, summary] of this.ctx.summaries.all()) {
      if (part === this.ctx.index) continue;
      for (const [team, [cpus, gpus]] of Object.entries(summary.use)) {
        sum.set(team, add(sum.get(team) ?? ZERO, { cpus, gpus }));
      }
    }
    return sum;
  }

  #usable(machine: Machine, now: number): boolean {
    return (
      machine.current &&
      machine.retired === null &&
      machine.noticeS === null &&
      // One that has missed two reports may be gone.
      now - machine.lastSeen < 3 * this.ctx.reportMs
    );
  }

  #zones(job: Job): Map<string, number> {
    const zones = new Map<string, number>();
    for (const chunk of job.chunks.values()) {
      for (const live of chunk.live.values()) {
        const zone = this.machines.get(live.machine)?.zone ?? "";
        zones.set(zone, (zones.get(zone) ?? 0) + 1);
      }
    }
    return zones;
  }

  #schedule(): void {
    const now = this.ctx.clock.now();
    const types = this.ctx.types();
    const tree = this.ctx.newTree();
    for (const [team, use] of this.#othersUse()) tree.charge(team, use);
    for (const [team, use] of this.#use) tree.charge(team, use);
    this.#short.clear();
    const queues = new Map<string, Job[]>();
    for (const job of this.jobs.values()) {
      if (job.header.status !== "open" || job.notBefore > now) continue;
      let pending = 0;
      for (const chunk of job.chunks.values()) pending += chunk.pending;
      if (pending === 0) continue;
      const queue = queues.get(job.spec.team);
      if (queue === undefined) queues.set(job.spec.team, [job]);
      else queue.push(job);
    }
    const machines = [...this.machines.values()].filter((machine) => this.#usable(machine, now));
    for (const machine of machines) {
      for (const [id, { until }] of machine.reserved) {
        const job = this.jobs.get(id);
        if (until < now || job === undefined || !this.#hasPending(job)) machine.reserved.delete(id);
      }
    }
    const wall = this.ctx.clock.wall();
    const guaranteed = this.#guaranteed(queues);
    for (const queue of queues.values()) {
      queue.sort((a, b) => {
        const x = guaranteed.has(a.header);
        return x === guaranteed.has(b.header) ? byUrgency(a, b, wall) : x ? -1 : 1;
      });
    }
    const blocked: Job[] = [];
    while (queues.size > 0) {
      // The lowest share starts first.
      let team = "";
      let shares: number[] = [];
      for (const name of queues.keys()) {
        const own = tree.shares(name);
        // Below their guarantees all shares are zero: then the one with the least of it.
        const order = team === "" ? -1 : compareShares(own, shares);
        if (order < 0 || (order === 0 && tree.filled(name) < tree.filled(team))) {
          team = name;
          shares = own;
        }
      }
      const queue = queues.get(team)!;
      const job = queue[0]!;
      if (this.#placeNext(job, guaranteed.has(job.header), machines, types, tree, now)) continue;
      if (this.#hasPending(job)) blocked.push(job);
      queue.shift();
      if (queue.length === 0) queues.delete(team);
    }
    if (blocked.length === 0) return;
    // Where there is room elsewhere, nothing has to be stopped here.
    this.#balance(blocked, machines, now);
    this.#preempt(blocked, guaranteed, machines, types, tree, now);
  }

  /**
   * Jobs within their team's guarantee: they fit into it together with the team's earlier
   * unfinished jobs, wherever those run. Such jobs should not have to wait for other teams.
   */
  #guaranteed(teams: ReadonlyMap<string, unknown>): Set<Header> {
    const inside = new Set<Header>();
    const byAge = [...this.ctx.openJobs()]
      .filter(({ spec }) => spec !== undefined && teams.has(spec.team))
      .sort((a, b) => a.at - b.at);
    const left = new Map(this.ctx.guarantees);
    for (const header of byAge) {
      const { team, cpus, gpus, tasks } = header.spec!;
      const rest = left.get(team);
      if (rest === undefined) continue;
      const size = { cpus: cpus * tasks, gpus: gpus * tasks };
      if (within(size, rest)) inside.add(header);
      left.set(team, minus(rest, size));
    }
    return inside;
  }

  /** Room by kind of machine, as others see it. */
  #kinds(machines: Iterable<Machine>): KindRoom[] {
    const types = this.ctx.types();
    const kinds = new Map<string, KindRoom>();
    for (const machine of machines) {
      const type = types.get(machine.type);
      if (type === undefined) continue;
      const { zone, spot } = machine;
      const key = `${machine.type}/${zone}/${spot}`;
      let kind = kinds.get(key);
      if (kind === undefined) {
        kind = { type: machine.type, zone, spot, capacity: 0, free: 0, most: 0 };
        kinds.set(key, kind);
      }
      const room = unreserved(machine.room(type, this.#specOf), machine, null);
      const free = Math.max(0, room.cpus);
      kind.capacity += type.cpus;
      kind.free += free;
      kind.most = Math.max(kind.most, free);
    }
    return [...kinds.values()];
  }

  /**
   * Hands chunks that find no room here to parts that have some, or that are less pressed. Only
   * machines that the job may use count: chunks of a job for ordinary machines once travelled for
   * minutes between parts that had nothing but spot machines free.
   */
  #balance(blocked: Job[], machines: Machine[], now: number): void {
    const own = this.#kinds(machines);
    let waiting = this.#totalWaiting();
    const others: { part: number; kinds: KindRoom[]; waiting: number; sent: { cpus: number } }[] =
      [];
    for (const [part, summary] of this.ctx.summaries.all()) {
      if (part === this.ctx.index) continue;
      let sent = this.#sent.get(part);
      if (sent === undefined || sent.summary !== summary) {
        sent = { summary, cpus: 0 };
        this.#sent.set(part, sent);
      }
      others.push({ part, kinds: summary.kinds, waiting: summary.waiting + sent.cpus, sent });
    }
    for (const job of blocked) {
      const { spec } = job;
      const allowedParts = spec.zone === null ? null : this.ctx.partsOf(spec.zone);
      const pinned = undivided(spec);
      const idle = [...job.chunks.values()].filter(
        (chunk) => chunk.live.size === 0 && chunk.pending > 0 && chunk.movingTo === null,
      );
      if (pinned && idle.length < job.chunks.size) continue;
      for (const group of pinned ? [idle] : idle.map((chunk) => [chunk])) {
        const cpus = group.reduce((sum, chunk) => sum + chunk.pending * spec.cpus, 0);
        if (cpus === 0) continue;
        let best: (typeof others)[number] | null = null;
        const usable = (kind: KindRoom): boolean => allowed(spec, kind);
        const here = roomOf(own, usable);
        const pressure =
          here.capacity > 0 ? (waiting - here.free) / here.capacity : Number.POSITIVE_INFINITY;
        // To a part that is full as well only when it is clearly less pressed, and not soon
        // again: summaries are a little old, and chunks would travel to and fro.
        const settled = group.every((chunk) => now - chunk.since > this.ctx.leaseMs / 2);
        let least = settled ? Math.max(0, pressure - 0.25) : 0;
        for (const other of others) {
          if (allowedParts !== null && !allowedParts.includes(other.part)) continue;
          const there = roomOf(other.kinds, usable);
          if (there.capacity === 0) continue;
          const after = (other.waiting - there.free + cpus) / there.capacity;
          // Free CPUs on many machines are no room for a large task.
          const fits = after <= 0 && there.most + EPSILON >= spec.cpus;
          if (fits ? after <= least : settled && after > 0 && after < least) {
            least = after;
            best = other;
          }
        }
        if (best === null) continue;
        for (const chunk of group) chunk.movingTo = best.part;
        best.waiting += cpus;
        best.sent.cpus += cpus;
        waiting -= cpus;
      }
    }
  }

  #hasPending(job: Job): boolean {
    for (const chunk of job.chunks.values()) {
      if (chunk.movingTo === null && chunk.nextPending() !== null) return true;
    }
    return false;
  }

  #fitsQuota(spec: JobSpec, tasks = 1): boolean {
    const size = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks };
    const use = add(this.#use.get(spec.team) ?? ZERO, size);
    const slice = this.#slices.get(spec.team) ?? ZERO;
    if (within(use, slice)) return true;
    const missing = minus(use, slice);
    const known = this.#short.get(spec.team);
    this.#short.set(spec.team, known === undefined ? missing : known);
    return false;
  }

  #placeNext(
    job: Job,
    entitled: boolean,
    machines: Machine[],
    types: ReadonlyMap<string, MachineType>,
    tree: Tree,
    now: number,
  ): boolean {
    if (job.spec.kind !== "gang") {
      return this.#placeOne(job, entitled, machines, types, tree, now);
    }
    const chunks = [...job.chunks.values()];
    // The former attempt has to be over on all machines before all start once more.
    if (chunks.some((chunk) => chunk.live.size > 0)) return false;
    const hosts = this.#gangHosts(job, machines, types);
    if (hosts === null) return false;
    for (const chunk of chunks) {
      for (let index = chunk.nextPending(); index !== null; index = chunk.nextPending()) {
        this.#place(job, chunk, index, hosts.pop()!, tree, now);
      }
    }
    return true;
  }

  /** A machine for every waiting task of a gang, or null when not all of them fit at once. */
  #gangHosts(
    job: Job,
    machines: Machine[],
    types: ReadonlyMap<string, MachineType>,
  ): Machine[] | null {
    const { spec } = job;
    let count = 0;
    for (const chunk of job.chunks.values()) count += chunk.movingTo === null ? chunk.pending : 0;
    if (count === 0 || !this.#fitsQuota(spec, count)) return null;
    const zones = spec.oneZone ? [...new Set(machines.map(({ zone }) => zone))] : [null];
    for (const zone of zones) {
      const hosts: Machine[] = [];
      const perZone = new Map<string, number>();
      for (const machine of machines) {
        if (!allowed(spec, machine) || (zone !== null && machine.zone !== zone)) continue;
        const room = {
          ...unreserved(machine.room(types.get(machine.type), this.#specOf), machine, job.id),
        };
        while (
          hosts.length < count &&
          fitsRoom(room, spec) &&
          zoneAllowed(spec, machine.zone, perZone)
        ) {
          give(room, spec, -1);
          hosts.push(machine);
          perZone.set(machine.zone, (perZone.get(machine.zone) ?? 0) + 1);
        }
      }
      if (hosts.length === count) return hosts;
    }
    return null;
  }

  #place(job: Job, chunk: Chunk, index: number, machine: Machine, tree: Tree, now: number): void {
    const { spec } = job;
    const live = chunk.place(index, machine.id, now);
    machine.live.set(live.task, live);
    if (spec.image !== null) machine.images.add(spec.image);
    machine.touched();
    const kept = machine.reserved.get(job.id);
    if (kept !== undefined && --kept.tasks === 0) machine.reserved.delete(job.id);
    this.#charge(spec, 1);
    tree.charge(spec.team, spec);
    // It is being served: what is left of it starts to wait anew.
    job.waitingSince = now;
  }

  #placeOne(
    job: Job,
    entitled: boolean,
    machines: Machine[],
    types: ReadonlyMap<string, MachineType>,
    tree: Tree,
    now: number,
  ): boolean {
    const { spec } = job;
    let target: { chunk: Chunk; index: number } | null = null;
    for (const chunk of job.chunks.values()) {
      const index = chunk.movingTo === null ? chunk.nextPending() : null;
      if (index !== null) {
        target = { chunk, index };
        break;
      }
    }
    if (target === null || !this.#fitsQuota(spec)) return false;
    // A job that keeps failing is tried with one task at a time.
    if (
      job.failures > 1 &&
      spec.kind !== "gang" &&
      [...job.chunks.values()].some((chunk) => chunk.live.size > 0)
    )
      return false;
    const zones = spec.oneZone || spec.spread ? this.#zones(job) : null;
    let best: Machine | null = null;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const machine of machines) {
      if (!allowed(spec, machine) || machine.failedJobs.has(job.id)) continue;
      const free = machine.room(types.get(machine.type), this.#specOf);
      const room = unreserved(free, machine, job.id);
      if (!fitsRoom(room, spec)) continue;
      if (zones !== null && !zoneAllowed(spec, machine.zone, zones)) continue;
      // The fullest cheap machine that has the image: keeps others free, to be used whole or
      // returned, the dear ones first.
      const cost =
        room.cpus +
        (machine.reserved.has(job.id) ? -10_000 : 0) +
        // Starts travel in answers to reports: what must not wait goes where one is due.
        (entitled ? 100 * (1 - Math.min(1, (now - machine.lastSeen) / this.ctx.reportMs)) : 0) +
        (machine.spot ? 0 : 1000) +
        (spec.image === null || machine.images.has(spec.image) ? 0 : 2000);
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    if (best === null) return false;
    this.#place(job, target.chunk, target.index, best, tree, now);
    return true;
  }

  /** Makes room for jobs that have a right to it, by the rules of KEP-1714. */
  #preempt(
    blocked: Job[],
    guaranteed: ReadonlySet<Header>,
    machines: Machine[],
    types: ReadonlyMap<string, MachineType>,
    tree: Tree,
    now: number,
  ): void {
    // Room that is about to be free, and what this pass has given away of it.
    const rooms = new Map<string, Room>();
    const victims = new Map<
      string,
      Victim & { tasks: { live: Live; machine: Machine }[]; spec: JobSpec }
    >();
    for (const machine of machines) {
      const room = { ...machine.room(types.get(machine.type), this.#specOf) };
      for (const live of machine.live.values()) {
        const found = this.#find(live.task);
        if (found === null) continue;
        const {
          job,
          job: { spec },
        } = found;
        if (live.stop !== null) {
          give(room, spec, 1);
          continue;
        }
        if (live.seenAt === null) continue;
        const kept =
          spec.checkpointS > 0 ? (spec.saveS + spec.checkpointS) * 1000 : Number.POSITIVE_INFINITY;
        // Stopping costs more than the work: it has to be started, and its image fetched, anew.
        const loss = this.ctx.leaseMs + Math.min(now - live.since, kept);
        // A gang counts whole, the tasks of an array count singly.
        const id = spec.kind === "gang" ? job.id : live.task;
        const known = victims.get(id);
        if (known === undefined) {
          const size = { cpus: spec.cpus, gpus: spec.gpus };
          victims.set(id, {
            id,
            team: spec.team,
            rank: spec.rank,
            size,
            loss,
            tasks: [{ live, machine }],
            spec,
          });
        } else {
          known.size = add(known.size, spec);
          known.loss += loss;
          known.tasks.push({ live, machine });
        }
      }
      rooms.set(machine.id, unreserved(room, machine, null));
    }
    // Every part evens out by itself and sees the others' use a little late: all at once they
    // would overshoot, and the next moment the other way round.
    let even = this.ctx.evenOut && now - this.#evenedAt > this.ctx.leaseMs;
    for (const job of blocked) {
      // What is within a guarantee does not wait; anything else gives room a chance to turn up.
      if (!guaranteed.has(job.header) && now - job.waitingSince < this.ctx.leaseMs) continue;
      const { spec } = job;
      const hosts = machines.filter((machine) => allowed(spec, machine));
      let pending = 0;
      for (const chunk of job.chunks.values()) {
        if (chunk.movingTo === null) pending += chunk.pending;
      }
      for (const machine of machines) pending -= machine.reserved.get(job.id)?.tasks ?? 0;
      if (pending <= 0) continue;
      const together = spec.kind === "gang" ? pending : 1;
      const size = { cpus: spec.cpus * together, gpus: spec.gpus * together };
      if (!this.#fitsQuota(spec, together)) continue;
      for (; pending > 0; pending -= together) {
        const place = (stopped: ReadonlySet<string>): Machine[] | null => {
          const freed = new Map<string, Room>();
          const roomOf = (machine: Machine): Room => {
            let room = freed.get(machine.id);
            if (room === undefined) {
              room = { ...rooms.get(machine.id)! };
              freed.set(machine.id, room);
            }
            return room;
          };
          for (const id of stopped) {
            const victim = victims.get(id)!;
            for (const { machine } of victim.tasks) give(roomOf(machine), victim.spec, 1);
          }
          const chosen: Machine[] = [];
          for (const machine of hosts) {
            while (chosen.length < together && fitsRoom(roomOf(machine), spec)) {
              give(roomOf(machine), spec, -1);
              chosen.push(machine);
            }
            if (chosen.length === together) return chosen;
          }
          return null;
        };
        const entitled = guaranteed.has(job.header);
        const patience = Math.max(0, now - job.waitingSince - this.ctx.leaseMs);
        // Nothing has a loss below zero.
        const evenPatience = even ? patience / this.ctx.patience : -1;
        const picks = chooseVictims(
          tree,
          { team: spec.team, rank: spec.rank, size, entitled, patience, evenPatience },
          [...victims.values()],
          (stopped) => place(stopped) !== null,
          16,
        );
        const chosen = place(new Set(picks.map(({ victim }) => victim.id)));
        if (chosen === null) break;
        for (const {
          victim: { id },
          reason,
        } of picks) {
          const victim = victims.get(id)!;
          victims.delete(id);
          const grace =
            victim.spec.checkpointS > 0 ? victim.spec.saveS + this.ctx.reportMs / 1000 : 0;
          if (reason === "fair" || reason === "greedy") {
            even = false;
            this.#evenedAt = now;
          }
          for (const { live, machine } of victim.tasks) {
            this.#stopLive(live, grace, reason);
            give(rooms.get(machine.id)!, victim.spec, 1);
          }
          tree.charge(victim.team, victim.size, -1);
          this.ctx.metrics.add({ kind: "preempted", team: victim.team, by: spec.team, reason });
          this.ctx.log.info(
            { task: id, team: victim.team, for: job.id, asker: spec.team, reason },
            "task preempted",
          );
        }
        for (const machine of chosen) {
          give(rooms.get(machine.id)!, spec, -1);
          const kept = machine.reserved.get(job.id);
          if (kept !== undefined) kept.tasks++;
          else machine.reserved.set(job.id, { tasks: 1, spec, until: now + this.ctx.leaseMs });
        }
        tree.charge(spec.team, size);
      }
    }
  }

  // ---- store -----------------------------------------------------------------------------

  #flush(): void {
    const now = this.ctx.clock.now();
    if (this.#saving || now < this.#retryAt) return;
    const batch = this.#collect();
    if (batch.changes.length === 0) return;
    // Users' submissions and cancellations come first: they are few.
    if (!this.ctx.store.writes.take(batch.changes.length, this.ctx.store.writes.burst / 4)) {
      this.#soon(this.ctx.reportMs / 10);
      return;
    }
    this.#saving = true;
    void this.#commit(batch);
  }

  #collect(): Batch {
    const { index, token, store, mirror, limits } = this.ctx;
    const batch: Batch = {
      when: [{ key: keys.claim(index), version: token }],
      changes: [],
      saves: [],
      headers: [],
      slices: [],
    };
    let bytes = 1024;
    const room = (n: number, size: number): boolean =>
      batch.changes.length + n <= store.limits.ops &&
      batch.when.length + n <= store.limits.conditions &&
      bytes + size <= store.limits.txnBytes;
    for (const [team, limit] of limits) {
      if (!room(1, 256)) break;
      const key = keys.quota(team);
      const row = mirror.rows.get(key);
      const record = isSliceRecord(row?.value) ? row.value : {};
      const own = sliceOf(record, index);
      const use = this.#use.get(team) ?? ZERO;
      const short = this.#short.get(team);
      let wanted = own;
      if (short !== undefined) {
        const free = freeOf(record, limit);
        if ((short.cpus > 0 && free.cpus > 0) || (short.gpus > 0 && free.gpus > 0)) {
          // As much as all that waits can use.
          wanted = add(use, this.#waiting(team));
          wanted = { cpus: Math.max(wanted.cpus, own.cpus), gpus: Math.max(wanted.gpus, own.gpus) };
        }
      } else if (this.#wantedElsewhere(team)) {
        wanted = smaller(own, add(use, this.#waiting(team)));
      }
      const next = reslice(record, index, wanted, limit);
      const after = sliceOf(next, index);
      const version = row?.version ?? 0;
      const doubt = this.#doubts.get(team);
      if (doubt !== undefined && doubt.version !== version) this.#doubts.delete(team);
      const sure = doubt?.version === version ? smaller(own, doubt.slice) : own;
      const same =
        Math.abs(after.cpus - own.cpus) < EPSILON && Math.abs(after.gpus - own.gpus) < EPSILON;
      if (same && sure === own) {
        this.#slices.set(team, own);
        continue;
      }
      // Until the answer is known, only what is ours in either case counts.
      this.#slices.set(team, smaller(sure, after));
      batch.when.push({ key, version });
      batch.changes.push({ put: key, value: next });
      batch.slices.push({ team, version, record: next });
      bytes += 64 + JSON.stringify(next).length;
    }
    for (const job of this.jobs.values()) {
      let header: Header | null = null;
      const key = keys.job(job.id);
      const version = mirror.rows.get(key)?.version ?? 0;
      let conditioned = false;
      for (const chunk of job.chunks.values()) {
        const over = job.header.status !== "open";
        const deletes = chunk.complete || (over && chunk.live.size === 0);
        if (deletes || chunk.live.size > 0) chunk.movingTo = null;
        const target = chunk.movingTo;
        if (!deletes && target === null && chunk.saved >= chunk.version) continue;
        if (!room(3, store.limits.valueBytes * 2)) {
          if (batch.changes.length > 0) break;
        }
        const value = chunk.record();
        bytes += 128 + JSON.stringify(value).length;
        if (!conditioned) {
          // A job cancelled meanwhile makes the whole transaction fail: nothing of it starts.
          batch.when.push({ key, version });
          conditioned = true;
        }
        const chunkKey = keys.chunk(index, job.id, chunk.index);
        if (deletes || target !== null) {
          if (chunk.stamp > 0) {
            batch.when.push({ key: chunkKey, version: chunk.stamp });
            batch.changes.push({ remove: chunkKey });
          }
          if (target !== null) {
            // What it has done, and the attempts it has used, go with it.
            if (chunk.attempts > 0) {
              batch.changes.push({ put: keys.chunk(target, job.id, chunk.index), value });
            }
            header = { ...(header ?? job.header) };
            header.owners = withOwner(header.owners, chunk.index, partChar(target));
            header.moves++;
          } else if (!over) {
            header = header ?? { ...job.header };
            header.owners = withOwner(header.owners, chunk.index, FINISHED);
          }
        } else {
          batch.when.push({ key: chunkKey, version: chunk.stamp });
          batch.changes.push({ put: chunkKey, value });
          if (!over && !job.header.started && chunk.index === 0) {
            header = { ...(header ?? job.header), started: true };
          }
        }
        batch.saves.push({
          chunk,
          version: chunk.version,
          deletes: deletes || target !== null,
          moves: target !== null,
        });
      }
      if (header !== null) {
        if (allFinished(header.owners)) header = finalHeader(header, "done");
        batch.changes.push({ put: key, value: header });
        batch.headers.push({ id: job.id, header });
        bytes += 64 + JSON.stringify(header).length;
      }
    }
    // Chunks of cancelled jobs that were never written leave nothing to commit.
    if (batch.changes.length === 0) {
      for (const { chunk, deletes } of batch.saves) if (deletes) this.#dropChunk(chunk);
    }
    return batch;
  }

  #waiting(team: string): Amounts {
    let sum = ZERO;
    for (const job of this.jobs.values()) {
      if (job.spec.team !== team || job.header.status !== "open") continue;
      let pending = 0;
      for (const chunk of job.chunks.values()) pending += chunk.pending;
      sum = add(sum, { cpus: pending * job.spec.cpus, gpus: pending * job.spec.gpus });
    }
    return sum;
  }

  #wantedElsewhere(team: string): boolean {
    return this.ctx.summaries
      .all()
      .some(([part, { short }]) => part !== this.ctx.index && short[team] !== undefined);
  }

  /**
   * No answer came, so a slice that was to be lowered may yet be lowered, at any time: until its
   * key has a newer version than the one that change depends on, only the smaller slice is ours.
   */
  #doubt(batch: Batch): void {
    for (const { team, version, record } of batch.slices) {
      const known = this.#doubts.get(team);
      const slice = sliceOf(record, this.ctx.index);
      this.#doubts.set(team, {
        version,
        slice: known?.version === version ? smaller(known.slice, slice) : slice,
      });
    }
  }

  async #commit(batch: Batch): Promise<void> {
    const { store, clock, log } = this.ctx;
    let late = true;
    try {
      const result = await store.transact(batch.when, batch.changes);
      if (result.ok) {
        this.tell({ kind: "committed", batch, revision: result.revision });
        return;
      }
      late = false;
      if (result.failed.includes(keys.claim(this.ctx.index))) {
        this.ctx.lost("claim changed");
        return;
      }
    } catch (error) {
      log.debug({ why: String(error) }, "commit without answer");
      if (error instanceof Refused) {
        // Not executed. The same changes are collected again later.
        await new Promise<void>((resolve) => {
          clock.after(this.ctx.reportMs / 10, resolve);
        });
        this.tell({ kind: "refused", batch, failed: [], missing: [], late: false });
        return;
      }
    }
    // Some condition failed, or no answer came. What is there now is read again. The transaction
    // may still be applied later; then the next one, which has the same conditions, fails.
    while (!this.stopped) {
      try {
        const failed: Row[] = [];
        const missing: string[] = [];
        for (const { key } of batch.when.slice(1)) {
          const row = await store.get(key);
          if (row === null) missing.push(key);
          else failed.push(row);
        }
        this.tell({ kind: "refused", batch, failed, missing, late });
        return;
      } catch {
        await new Promise<void>((resolve) => {
          clock.after(this.ctx.reportMs / 8, resolve);
        });
      }
    }
  }

  #onCommitted(batch: Batch, revision: number): void {
    this.#saving = false;
    for (const { chunk, version, deletes } of batch.saves) {
      chunk.stamp = deletes ? 0 : revision;
      chunk.saved = version;
    }
    for (const { team, record } of batch.slices) {
      this.#slices.set(team, sliceOf(record, this.ctx.index));
      this.#apply(keys.quota(team), record, revision);
    }
    for (const { id, header } of batch.headers) {
      this.#apply(keys.job(id), header, revision);
      if (header.status === "done") this.ctx.log.info({ job: id }, "job done");
    }
    for (const { chunk, deletes } of batch.saves) if (deletes) this.#dropChunk(chunk);
    for (const held of this.#held) {
      if (!this.#settled(held)) continue;
      this.#held.delete(held);
      this.#answer(held);
    }
    this.#soon(0);
  }

  /** Whether all that an answer depends on is in the store. */
  #settled({ machine, report }: Held): boolean {
    for (const live of machine.live.values()) {
      const found = this.#find(live.task);
      if (found !== null && found.chunk.saved < live.version) return false;
    }
    return report.tasks.every(({ task }) => {
      const found = this.#find(task);
      return found === null || found.chunk.saved >= found.chunk.version;
    });
  }

  #apply(key: string, value: unknown, version: number): void {
    this.ctx.mirror.apply({ key, value, version, deleted: false });
  }

  #dropChunk(chunk: Chunk): void {
    const job = this.jobs.get(chunk.job);
    if (job === undefined || !job.chunks.delete(chunk.index)) return;
    if (job.chunks.size === 0) this.jobs.delete(chunk.job);
  }

  #onRefused(batch: Batch, rows: Row[], missing: string[]): void {
    this.#saving = false;
    for (const { chunk, moves } of batch.saves) if (moves) chunk.movingTo = null;
    const versions = new Map<string, number>();
    for (const row of rows) {
      versions.set(row.key, row.version);
      if (!row.key.startsWith("c/")) this.#apply(row.key, row.value, row.version);
    }
    for (const key of missing) versions.set(key, 0);
    for (const { chunk } of batch.saves) {
      const version = versions.get(keys.chunk(this.ctx.index, chunk.job, chunk.index));
      // We alone write it, so whatever is there is ours; it is written again all the same.
      if (version !== undefined) chunk.stamp = version;
      const job = this.jobs.get(chunk.job);
      const now = job?.header.owners[chunk.index];
      if (job !== undefined && now !== partChar(this.ctx.index)) {
        // An answer was lost: the header already shows this chunk as finished.
        if (chunk.complete || chunk.live.size === 0) this.#dropChunk(chunk);
      }
    }
    this.#soon(this.ctx.reportMs / 40);
  }

  // ---- telling the others ----------------------------------------------------------------

  #summarize(): void {
    const now = this.ctx.clock.now();
    const { index, token, store, reportMs } = this.ctx;
    // The other controllers hear of changes at once, if they can be reached.
    const waiting = this.#totalWaiting();
    const state = `${waiting}/${this.#short.size}/${this.#useTotal()}`;
    const changed = state !== this.#lastState;
    if (now - this.#sentAt >= (changed ? reportMs / 8 : reportMs)) {
      this.#sentAt = now;
      this.#lastState = state;
      this.ctx.announce(this.summary());
    }
    // The store gets one every 5 s (DESIGN): for whoever is cut off from us, and the next leader.
    if (now - this.#summaryAt < 5000 || !store.writes.take(1, 2)) return;
    this.#summaryAt = now;
    store
      .transact(
        [{ key: keys.claim(index), version: token }],
        [{ put: keys.summary(index), value: this.summary() }],
      )
      .catch(() => undefined);
  }

  #useTotal(): number {
    let sum = 0;
    for (const { cpus, gpus } of this.#use.values()) sum += cpus + gpus;
    return sum;
  }

  #totalWaiting(): number {
    let sum = 0;
    for (const job of this.jobs.values()) {
      if (job.header.status !== "open") continue;
      for (const chunk of job.chunks.values()) sum += chunk.pending * job.spec.cpus;
    }
    return Math.round(sum);
  }

  summary(): Summary {
    const now = this.ctx.clock.now();
    const pairs = (map: Map<string, Amounts>): Record<string, [number, number]> =>
      Object.fromEntries([...map].map(([team, a]) => [team, [a.cpus, a.gpus]]));
    const needs = new Map<string, Need>();
    for (const job of this.jobs.values()) {
      if (job.header.status !== "open" || job.failures > 1) continue;
      let count = 0;
      for (const chunk of job.chunks.values()) count += chunk.pending;
      if (count === 0) continue;
      const { spec } = job;
      const { cpus, gpus, memGb, spot, types: allowedTypes, zone } = spec;
      const need = { cpus, gpus, memGb, spot, types: allowedTypes, zone, count };
      const key = JSON.stringify({ ...need, count: 0 });
      const known = needs.get(key);
      if (known === undefined) needs.set(key, need);
      else known.count += count;
    }
    const idle: Record<string, number> = {};
    const retired: string[] = [];
    for (const machine of this.machines.values()) {
      const silent = now - machine.lastSeen > this.ctx.leaseMs * 1.1;
      if (silent || (machine.retired !== null && machine.live.size === 0)) retired.push(machine.id);
      else if (machine.live.size === 0)
        idle[machine.id] = Math.round((now - machine.idleSince) / 1000);
    }
    return {
      use: pairs(this.#use),
      need: [...needs.values()].slice(0, 40),
      short: pairs(this.#short),
      kinds: this.#kinds([...this.machines.values()].filter((m) => this.#usable(m, now))),
      waiting: this.#totalWaiting(),
      machines: [...this.machines.keys()],
      retired,
      idle,
      token: this.ctx.token,
      seq: ++this.#summaries,
    };
  }
}

/**
 * Inside a team: priority; then jobs that can still be in time, by when they are due; then the
 * rest by age. In a backlog, going by the due time alone makes one late job after another.
 */
function byUrgency(a: Job, b: Job, now: number): number {
  if (a.spec.rank !== b.spec.rank) return b.spec.rank - a.spec.rank;
  const x = a.due - now;
  const y = b.due - now;
  const xInTime = x > a.spec.estimateS * 1000 * HOPE;
  const yInTime = y > b.spec.estimateS * 1000 * HOPE;
  if (xInTime !== yInTime) return xInTime ? -1 : 1;
  return xInTime && x !== y ? x - y : a.header.at - b.header.at;
}
