import { type Reply, retryLater } from "../http/server.js";
import type { Allocation } from "../jobs/chunk.js";
import type { JobSpec } from "../wire/jobs.js";
import * as wire from "../wire/workers.js";
import type { Machine } from "../workers/machine.js";
import { classifyReport, type MachineReportState } from "../workers/report-classification.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Found, Ledger } from "./ledger.js";

/** A machine that nothing is known of. */
const UNKNOWN: MachineReportState = { latest: null, hasOurToken: false, lastSeen: 0 };

/** A report whose answer waits for a commit. */
interface Held {
  machine: Machine;
  report: wire.Report;
  listed: Set<string>;
  reply(answer: Reply): void;
}

/**
 * Speaks with the workers: takes in their reports, decides from them which tasks are proved gone,
 * and answers with commands that depend on nothing that is not in the store.
 */
export class Workers {
  readonly #held = new Set<Held>();
  readonly #orders = new Map<Machine, wire.Command[]>();
  readonly #nothing: Reply;
  /**
   * When a worker last showed that it had taken an answer: it reported here again with its very next
   * report. One that had heard nothing would have gone to another controller in between. That a
   * report was answered is no proof of service: answers alone may not get through.
   */
  servedAt = Number.NEGATIVE_INFINITY;
  #stopped = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    /** Something has changed that the next pass should see: soon, or at once. */
    readonly wake: (urgent: boolean) => void,
  ) {
    this.#nothing = { status: 200, encoded: wire.emptyAnswer(ctx.token) };
  }

  close(): void {
    this.#stopped = true;
    for (const held of this.#held) this.#answer(held);
    this.#held.clear();
  }

  gone(id: string): void {
    const machine = this.ledger.machines.get(id);
    if (machine === undefined) return;
    this.ledger.machines.delete(id);
    for (const live of [...machine.allocations.values()]) this.#release(live, false);
    const { log, index } = this.ctx;
    log.info({ part: index, machine: id, tasks: machine.allocations.size }, "machine gone");
  }

  cancel(job: Job): void {
    for (const chunk of job.chunks.values()) {
      for (const live of [...chunk.allocations.values()]) {
        // Placed by us and never told to the worker: it cannot have started. A loaded one may.
        if (live.version > 0 && live.startSentIn === null) this.#release(live, false);
        else this.stop(live, 0, "cancelled");
      }
    }
  }

  stop(live: Allocation, graceS: number, reason: string): void {
    if (live.stopRequest !== null && live.stopRequest.graceS <= graceS) return;
    live.stopRequest = { graceS, reason, askedAt: this.ctx.clock.now() };
    const machine = this.ledger.machines.get(live.machine);
    // Its next answer says so in any case; this is only faster.
    if (machine?.hasOurToken && live.firstReportedAt !== null && machine.address !== "") {
      const stop = wire.stopTask(live.task, live.attempt, graceS);
      const queued = this.#orders.get(machine);
      if (queued === undefined) this.#orders.set(machine, [stop]);
      else queued.push(stop);
      this.wake(true);
    }
  }

  /** Sends what has been said since the last time straight to the workers. */
  sendOrders(): void {
    for (const [machine, commands] of this.#orders) {
      this.ctx.sendCommands(machine.address, machine.session, commands);
    }
    this.#orders.clear();
  }

  /** After a commit: answers whatever depended on nothing else. */
  answerSettled(): void {
    for (const held of this.#held) {
      if (!this.#settled(held)) continue;
      this.#held.delete(held);
      this.#answer(held);
    }
  }

  #release(live: Allocation, completed: boolean): void {
    if (!this.ledger.release(live, completed) || completed) return;
    const { spec } = live.chunk;
    const job = this.ledger.jobs.get(live.chunk.job);
    // A gang runs whole or not at all: without this task the others only hold their room.
    if (spec.kind !== "gang" || job === undefined) return;
    for (const other of job.chunks.values()) {
      for (const mate of other.allocations.values()) this.stop(mate, spec.saveS, "gang");
    }
  }

  onReport(report: wire.Report, reply: (answer: Reply) => void): void {
    const { token, index, clock, goneMachines: gone } = this.ctx;
    const nothing = (): void => reply(this.#nothing);
    const known = this.ledger.machines.get(report.machine);
    const now = clock.now();
    const weight = classifyReport(report, known ?? UNKNOWN, token, now, this.ctx);
    // A newer owner has spoken to it: an answer of ours would be dropped and would hold it here.
    if (weight.kind === "foreign") {
      reply({ status: 421, body: wire.redirectAnswer(null) });
      return;
    }
    // A copy of what came before, or what a machine that is gone has left behind on its way.
    if (weight.kind === "old" || gone.has(report.machine)) {
      this.ctx.metrics.add({ kind: "event", what: "report copied" });
      nothing();
      return;
    }
    const machine = this.ledger.machine(report.machine);
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    machine.address = report.address;
    machine.lastSeen = now;
    machine.noticeS = report.noticeS;
    machine.latest = { session: report.session, seq: report.seq };
    if (weight.kind === "unaware") {
      // A start by the previous owner may still be on its way to it. This answer gives it our
      // token, after which only we can start anything.
      nothing();
      return;
    }
    if (!machine.hasOurToken) {
      machine.hasOurToken = true;
      this.ctx.log.debug({ part: index, machine: machine.id }, "machine follows us");
    }
    this.#hearing(machine, weight, now);
    machine.session = report.session;
    machine.seq = report.seq;
    const before = machine.allocations.size;
    const listed = new Set<string>();
    machine.unknownTasks = [];
    for (const task of report.tasks) this.#onTask(machine, task, listed, now);
    for (const live of [...machine.allocations.values()]) {
      if (!listed.has(live.task)) this.#onAbsent(machine, live);
    }
    const proved = this.ctx.reconcilingRestore() && this.#prove(report);
    machine.invalidateFreeResources();
    if (machine.noticeS !== null) this.#drain(machine);
    const answer = { machine, report, listed, reply };
    if (machine.allocations.size === before && !proved) {
      this.#answer(answer);
      // Also for what says nothing new: on a quiet part, waiting for the regular pass made jobs late.
      this.wake(false);
      return;
    }
    // Tasks have ended. The answer waits a moment for the commit of their ends, which also
    // places what follows them: the worker may then forget and start at once, not a report later.
    this.#held.add(answer);
    clock.after(this.ctx.reportMs / 8, () => {
      if (this.#held.delete(answer)) this.#answer(answer);
    });
    this.wake(true);
  }

  /** Whether it takes our answers: what it does not hear is no use to it, and its room none to us. */
  #hearing(machine: Machine, { hears, misses }: { hears: boolean; misses: boolean }, now: number) {
    // That it has just come to follow us is no answer of ours that a passing fault could have kept.
    if (hears && machine.seq >= 0) this.servedAt = now;
    const was = machine.unreachableSince !== null;
    if (was ? !hears : !misses) return;
    machine.unreachableSince = was ? null : now;
    this.ledger.changes++;
    const { log, index, metrics } = this.ctx;
    if (!was) metrics.add({ kind: "event", what: "machine deaf" });
    const what = was ? "machine hears us again" : "machine does not hear us";
    log.info({ part: index, machine: machine.id }, what);
  }

  /**
   * After a restore: tasks that the records have as not begun, and that a worker can show to be
   * done. A result is kept whatever attempt it is of. Says whether there are any.
   */
  #prove(report: wire.Report): boolean {
    let proved = false;
    for (const { task, state, why } of report.tasks) {
      const found = state === "exited" && why === "done" ? this.ledger.find(task) : null;
      if (found === null || found.job.spec.kind === "service") continue;
      if (!found.chunk.markDone(found.index)) continue;
      this.ledger.changes++;
      proved = true;
    }
    return proved;
  }

  /** What a worker is told, by what is in the store now. */
  #answer({ machine, report, listed, reply }: Held): void {
    const { token } = this.ctx;
    if (this.#stopped) {
      reply(retryLater(503, "part has no owner yet"));
      return;
    }
    const commands: wire.Command[] = [];
    // Nothing starts in an answer to a report that is not the newest: the worker has given it up.
    const newest = machine.session === report.session && machine.seq === report.seq;
    for (const task of newest ? report.tasks : []) {
      const found = this.ledger.find(task.task);
      const live = this.#liveOf(found, machine, task);
      if (live !== undefined) {
        if (
          live.stopRequest !== null &&
          !(task.state === "saving" && live.stopRequest.graceS > 0)
        ) {
          commands.push(wire.stopTask(live.task, live.attempt, live.stopRequest.graceS));
        }
      } else if (task.state !== "exited") {
        // After a restore it may have begun without a record; what it can save is not lost.
        const graceS = this.ctx.reconcilingRestore() ? (found?.job.spec.saveS ?? 0) : 0;
        if (graceS > 0 && task.state === "saving") continue;
        commands.push(wire.stopTask(task.task, task.attempt, graceS));
      } else if (found === null || found.chunk.savedVersion >= found.chunk.version) {
        // Its end must be in the store before the worker may forget it.
        commands.push(wire.forgetTask(task.task, task.attempt));
      }
    }
    for (const live of newest ? machine.allocations.values() : []) {
      if (
        listed.has(live.task) ||
        live.chunk.savedVersion < live.version ||
        live.stopRequest !== null
      )
        continue;
      const job = this.ledger.jobs.get(live.chunk.job);
      if (job === undefined || !job.wanted || machine.noticeS !== null) continue;
      if (!this.ctx.valid()) continue;
      live.startSentIn = { session: machine.session, seq: machine.seq };
      commands.push(wire.startTask(live.task, live.attempt));
      this.ctx.log.debug({ task: live.task, machine: machine.id }, "start");
    }
    reply(
      commands.length === 0
        ? this.#nothing
        : { status: 200, body: wire.reportAnswer(token, commands) },
    );
  }

  /** Whether all that an answer depends on is in the store. */
  #settled({ machine, report }: Held): boolean {
    for (const live of machine.allocations.values())
      if (live.chunk.savedVersion < live.version) return false;
    return report.tasks.every(({ task }) => {
      const found = this.ledger.find(task);
      return found === null || found.chunk.savedVersion >= found.chunk.version;
    });
  }

  #liveOf(found: Found | null, machine: Machine, task: wire.ReportedTask): Allocation | undefined {
    const live = found?.chunk.allocations.get(found.index);
    return live?.machine === machine.id && live.attempt === task.attempt ? live : undefined;
  }

  #onTask(machine: Machine, task: wire.ReportedTask, listed: Set<string>, now: number): void {
    const found = this.ledger.find(task.task);
    const live = this.#liveOf(found, machine, task);
    if (found === null || live === undefined) {
      if (task.state !== "exited") {
        machine.unknownTasks.push(found?.job.spec ?? ({ cpus: 0, gpus: 0, memGb: 0 } as JobSpec));
      }
      return;
    }
    listed.add(live.task);
    const { job } = found;
    if (live.firstReportedAt === null) live.firstReportedAt = now;
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
    this.#release(live, completed);
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
  #onAbsent(machine: Machine, live: Allocation): void {
    // Not in the store yet, so its start has not been sent.
    if (live.chunk.savedVersion < live.version) return;
    const job = this.ledger.jobs.get(live.chunk.job);
    const over = live.stopRequest !== null || job?.open !== true || machine.noticeS !== null;
    // Placed by us and never told: it cannot have started, and this machine would not hear of it.
    const unheard =
      machine.unreachableSince !== null && live.version > 0 && live.startSentIn === null;
    const lost = live.startSentIn !== null && live.startSentIn.session < machine.session;
    // This worker has taken our token, and every answer that carried the start is older than this
    // report: the task is gone, or never began. If it is still wanted here it is started again.
    if (live.version === 0 || live.firstReportedAt !== null || lost || over || unheard) {
      this.#release(live, false);
    }
  }

  /** The cloud will take the machine: what can save does so now, the rest runs as long as it may. */
  #drain(machine: Machine): void {
    for (const live of machine.allocations.values()) {
      const { spec } = live.chunk;
      if (spec.checkpointS > 0 && live.running) {
        this.stop(live, Math.max(spec.saveS, 0.1), "notice");
      }
    }
  }

  /** Whether most machines that followed us have fallen silent together. */
  mostMachinesSilent(): boolean {
    const now = this.ctx.clock.now();
    let followed = 0;
    let silent = 0;
    for (const machine of this.ledger.machines.values()) {
      // Longer than a lease: that machine has failed by itself, and is dealt with as one.
      const quiet = now - machine.lastSeen;
      // Nor is one that does not hear us: it comes by once a round of all controllers.
      if (
        !machine.hasOurToken ||
        machine.unreachableSince !== null ||
        quiet > this.ctx.leaseMs * 1.5
      )
        continue;
      followed++;
      if (quiet > this.ctx.leaseMs / 3) silent++;
    }
    return followed >= 3 && silent > followed * 0.7;
  }
}
