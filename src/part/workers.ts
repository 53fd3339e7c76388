import { type Reply, retryLater } from "../http/server.js";
import type { Allocation } from "../jobs/chunk.js";
import type { JobSpec } from "../wire/jobs.js";
import * as wire from "../wire/workers.js";
import type { Machine } from "../workers/machine.js";
import { classifyReport, type MachineReportState } from "../workers/report-classification.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { FoundTask, Ledger } from "./ledger.js";

/** State of a machine that has not reported to this owner yet. */
const UNKNOWN_MACHINE: MachineReportState = { latestReport: null, hasOurToken: false, lastSeen: 0 };

/** An answer to a report that is delayed until a commit. */
interface PendingAnswer {
  machine: Machine;
  report: wire.Report;
  listed: Set<string>;
  reply(answer: Reply): void;
}

/**
 * Communicates with the workers: receives their reports, decides from them which tasks are proved
 * gone, and answers with commands that depend only on committed state.
 */
export class Workers {
  readonly #pendingAnswers = new Set<PendingAnswer>();
  readonly #queuedCommands = new Map<Machine, wire.Command[]>();
  readonly #emptyReply: Reply;
  /**
   * When a worker last showed that it had received an answer: its very next report came here too.
   * Without an answer it would have tried another controller in between. That a report was answered
   * is no proof, since answers alone may be lost.
   */
  servedAt = Number.NEGATIVE_INFINITY;
  #stopped = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    /** Requests a pass after a change, at once or with the usual delay. */
    readonly requestPass: (urgent: boolean) => void,
  ) {
    this.#emptyReply = { status: 200, encoded: wire.emptyAnswer(ctx.token) };
  }

  close(): void {
    this.#stopped = true;
    for (const pending of this.#pendingAnswers) this.#answer(pending);
    this.#pendingAnswers.clear();
  }

  onMachineGone(id: string): void {
    const machine = this.ledger.machines.get(id);
    if (machine === undefined) return;
    this.ledger.machines.delete(id);
    for (const allocation of [...machine.allocations.values()]) this.#release(allocation, false);
    const { log, index } = this.ctx;
    log.info({ part: index, machine: id, tasks: machine.allocations.size }, "machine gone");
  }

  cancel(job: Job): void {
    for (const chunk of job.chunks.values()) {
      for (const allocation of [...chunk.allocations.values()]) {
        // Placed by this owner and its start never sent: it cannot run. One loaded from records may.
        if (allocation.version > 0 && allocation.startSentIn === null)
          this.#release(allocation, false);
        else this.stop(allocation, 0, "cancelled");
      }
    }
  }

  stop(allocation: Allocation, graceS: number, reason: string): void {
    if (allocation.stopRequest !== null && allocation.stopRequest.graceS <= graceS) return;
    allocation.stopRequest = { graceS, reason, askedAt: this.ctx.clock.now() };
    const machine = this.ledger.machines.get(allocation.machine);
    // The answer to its next report also contains the stop; sending it now is only faster.
    if (machine?.hasOurToken && allocation.firstReportedAt !== null && machine.address !== "") {
      const stop = wire.stopTask(allocation.task, allocation.attempt, graceS);
      const queued = this.#queuedCommands.get(machine);
      if (queued === undefined) this.#queuedCommands.set(machine, [stop]);
      else queued.push(stop);
      this.requestPass(true);
    }
  }

  /** Sends the commands queued since the last call directly to the workers. */
  sendQueuedCommands(): void {
    for (const [machine, commands] of this.#queuedCommands) {
      this.ctx.sendCommands(machine.address, machine.session, commands);
    }
    this.#queuedCommands.clear();
  }

  /** After a commit: sends the delayed answers that depend on nothing uncommitted any more. */
  answerCommitted(): void {
    for (const pending of this.#pendingAnswers) {
      if (!this.#isCommitted(pending)) continue;
      this.#pendingAnswers.delete(pending);
      this.#answer(pending);
    }
  }

  #release(allocation: Allocation, completed: boolean): void {
    if (!this.ledger.release(allocation, completed) || completed) return;
    const { spec } = allocation.chunk;
    const job = this.ledger.jobs.get(allocation.chunk.job);
    // A gang runs as a whole or not at all: the other tasks would only occupy resources.
    if (spec.kind !== "gang" || job === undefined) return;
    for (const otherChunk of job.chunks.values()) {
      for (const other of otherChunk.allocations.values()) this.stop(other, spec.saveS, "gang");
    }
  }

  onReport(report: wire.Report, reply: (answer: Reply) => void): void {
    const { token, index, clock, goneMachines } = this.ctx;
    const replyEmpty = (): void => reply(this.#emptyReply);
    const known = this.ledger.machines.get(report.machine);
    const now = clock.now();
    const reportClass = classifyReport(report, known ?? UNKNOWN_MACHINE, token, now, this.ctx);
    // The worker has a newer owner's token: it would discard this answer, yet keep reporting here.
    if (reportClass.kind === "foreign") {
      reply({ status: 421, body: wire.redirectAnswer(null) });
      return;
    }
    // A duplicate or reordered report, or a delayed one of a machine that is gone.
    if (reportClass.kind === "old" || goneMachines.has(report.machine)) {
      this.ctx.metrics.add({ kind: "event", what: "report copied" });
      replyEmpty();
      return;
    }
    const machine = this.ledger.machine(report.machine);
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    machine.address = report.address;
    machine.lastSeen = now;
    machine.terminationNoticeS = report.noticeS;
    machine.latestReport = { session: report.session, seq: report.seq };
    if (reportClass.kind === "unaware") {
      // A start sent by the previous owner may still be in flight. This answer gives the worker this
      // owner's token; from then on it accepts starts only from this owner.
      replyEmpty();
      return;
    }
    if (!machine.hasOurToken) {
      machine.hasOurToken = true;
      this.ctx.log.debug({ part: index, machine: machine.id }, "worker has our token");
    }
    this.#updateReachability(machine, reportClass, now);
    machine.session = report.session;
    machine.seq = report.seq;
    const allocationsBefore = machine.allocations.size;
    const listed = new Set<string>();
    machine.unknownTasks = [];
    for (const task of report.tasks) this.#onTask(machine, task, listed, now);
    for (const allocation of [...machine.allocations.values()]) {
      if (!listed.has(allocation.task)) this.#onAbsent(machine, allocation);
    }
    const markedDone = this.ctx.reconcilingRestore() && this.#markDoneTasks(report);
    machine.invalidateFreeResources();
    if (machine.terminationNoticeS !== null) this.#stopBeforeReclaim(machine);
    const pendingAnswer = { machine, report, listed, reply };
    if (machine.allocations.size === allocationsBefore && !markedDone) {
      this.#answer(pendingAnswer);
      // A pass even if nothing changed: waiting for the periodic one delayed jobs where reports are few.
      this.requestPass(false);
      return;
    }
    // Tasks have ended. The answer is delayed shortly for the commit of their ends, which also places
    // the next tasks. It can then tell the worker to forget and start at once, not a report later.
    this.#pendingAnswers.add(pendingAnswer);
    clock.after(this.ctx.reportMs / 8, () => {
      if (this.#pendingAnswers.delete(pendingAnswer)) this.#answer(pendingAnswer);
    });
    this.requestPass(true);
  }

  /** Notes whether answers reach a worker: nothing can be started on one that they do not reach. */
  #updateReachability(
    machine: Machine,
    { hears, misses }: { hears: boolean; misses: boolean },
    now: number,
  ) {
    // The first report under this owner's token is no proof that answers get through a current fault.
    if (hears && machine.seq >= 0) this.servedAt = now;
    const wasUnreachable = machine.unreachableSince !== null;
    if (wasUnreachable ? !hears : !misses) return;
    machine.unreachableSince = wasUnreachable ? null : now;
    this.ledger.changeCount++;
    const { log, index, metrics } = this.ctx;
    if (!wasUnreachable) metrics.add({ kind: "event", what: "machine deaf" });
    const message = wasUnreachable ? "answers reach machine again" : "answers do not reach machine";
    log.info({ part: index, machine: machine.id }, message);
  }

  /**
   * After a restore: marks tasks as done that are not placed according to the records but that a worker
   * reports as completed. The attempt number does not matter. Returns whether there were any.
   */
  #markDoneTasks(report: wire.Report): boolean {
    let markedDone = false;
    for (const { task, state, why } of report.tasks) {
      const found = state === "exited" && why === "done" ? this.ledger.find(task) : null;
      if (found === null || found.job.spec.kind === "service") continue;
      if (!found.chunk.markDone(found.index)) continue;
      this.ledger.changeCount++;
      markedDone = true;
    }
    return markedDone;
  }

  /** Answers a report with the commands that follow from committed state. */
  #answer({ machine, report, listed, reply }: PendingAnswer): void {
    const { token } = this.ctx;
    if (this.#stopped) {
      reply(retryLater(503, "part has no owner yet"));
      return;
    }
    const commands: wire.Command[] = [];
    // The worker no longer waits for the answer to an older report, so it gets no commands.
    const isNewest = machine.session === report.session && machine.seq === report.seq;
    for (const task of isNewest ? report.tasks : []) {
      const found = this.ledger.find(task.task);
      const allocation = this.#allocationOf(found, machine, task);
      if (allocation !== undefined) {
        if (
          allocation.stopRequest !== null &&
          !(task.state === "saving" && allocation.stopRequest.graceS > 0)
        ) {
          commands.push(
            wire.stopTask(allocation.task, allocation.attempt, allocation.stopRequest.graceS),
          );
        }
      } else if (task.state !== "exited") {
        // After a restore an unknown task may be valid work started after the image: let it save.
        const graceS = this.ctx.reconcilingRestore() ? (found?.job.spec.saveS ?? 0) : 0;
        if (graceS > 0 && task.state === "saving") continue;
        commands.push(wire.stopTask(task.task, task.attempt, graceS));
      } else if (found === null || found.chunk.savedVersion >= found.chunk.version) {
        // The end must be committed before the worker may forget the task.
        commands.push(wire.clearTask(task.task, task.attempt));
      }
    }
    for (const allocation of isNewest ? machine.allocations.values() : []) {
      if (
        listed.has(allocation.task) ||
        allocation.chunk.savedVersion < allocation.version ||
        allocation.stopRequest !== null
      )
        continue;
      const job = this.ledger.jobs.get(allocation.chunk.job);
      if (job === undefined || !job.mayStartTasks || machine.terminationNoticeS !== null) continue;
      if (!this.ctx.valid()) continue;
      allocation.startSentIn = { session: machine.session, seq: machine.seq };
      commands.push(wire.startTask(allocation.task, allocation.attempt));
      this.ctx.log.debug({ task: allocation.task, machine: machine.id }, "start");
    }
    reply(
      commands.length === 0
        ? this.#emptyReply
        : { status: 200, body: wire.reportAnswer(token, commands) },
    );
  }

  /** Whether everything that an answer depends on is committed. */
  #isCommitted({ machine, report }: PendingAnswer): boolean {
    for (const allocation of machine.allocations.values())
      if (allocation.chunk.savedVersion < allocation.version) return false;
    return report.tasks.every(({ task }) => {
      const found = this.ledger.find(task);
      return found === null || found.chunk.savedVersion >= found.chunk.version;
    });
  }

  #allocationOf(
    found: FoundTask | null,
    machine: Machine,
    task: wire.ReportedTask,
  ): Allocation | undefined {
    const allocation = found?.chunk.allocations.get(found.index);
    return allocation?.machine === machine.id && allocation.attempt === task.attempt
      ? allocation
      : undefined;
  }

  #onTask(machine: Machine, task: wire.ReportedTask, listed: Set<string>, now: number): void {
    const found = this.ledger.find(task.task);
    const allocation = this.#allocationOf(found, machine, task);
    if (found === null || allocation === undefined) {
      if (task.state !== "exited") {
        machine.unknownTasks.push(found?.job.spec ?? ({ cpus: 0, gpus: 0, memGb: 0 } as JobSpec));
      }
      return;
    }
    listed.add(allocation.task);
    const { job } = found;
    if (allocation.firstReportedAt === null) allocation.firstReportedAt = now;
    if (task.state !== "exited") {
      if (task.state === "running" && !allocation.running) {
        allocation.running = true;
        if (allocation.version > 0) {
          const waitedS = (now - allocation.since) / 1000;
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
      this.#onTaskFailed(job, machine, now);
    } else if (task.why !== "stopped") {
      this.ctx.log.info(
        { task: allocation.task, machine: machine.id, why: task.why },
        "worker refused task",
      );
      if (task.why === "no_such") job.notBefore = now + this.ctx.reportMs;
    }
    this.#release(allocation, completed);
  }

  #onTaskFailed(job: Job, machine: Machine, now: number): void {
    job.failures++;
    machine.failedJobs.add(job.id);
    // The pause doubles with each consecutive failure. Else a job that cannot succeed would keep
    // its team's share low and displace the team's other jobs.
    const pauseMs = Math.min(
      this.ctx.reportMs * 2 ** Math.min(job.failures, 10),
      this.ctx.leaseMs * 10,
    );
    job.notBefore = now + (job.failures > 1 ? pauseMs : 0);
    // Tasks of different jobs failed in succession: the machine is the likely cause.
    if (machine.failedJobs.size >= 2 && machine.retirementReason === null) {
      machine.retirementReason = "faulty";
      this.ctx.log.warn({ machine: machine.id }, "machine retired: different jobs fail on it");
    }
  }

  /** An allocation that a worker with this owner's token does not list in its report. */
  #onAbsent(machine: Machine, allocation: Allocation): void {
    // Not committed yet, so its start has not been sent.
    if (allocation.chunk.savedVersion < allocation.version) return;
    const job = this.ledger.jobs.get(allocation.chunk.job);
    const noLongerWanted =
      allocation.stopRequest !== null || job?.open !== true || machine.terminationNoticeS !== null;
    // Placed by this owner and its start never sent: it cannot run, and a start would not arrive.
    const neverSent =
      machine.unreachableSince !== null &&
      allocation.version > 0 &&
      allocation.startSentIn === null;
    const sentInEarlierSession =
      allocation.startSentIn !== null && allocation.startSentIn.session < machine.session;
    // The worker has this owner's token, and every answer with the start precedes this report: the
    // task is gone, or never began. If it is still wanted it is placed again.
    if (
      allocation.version === 0 ||
      allocation.firstReportedAt !== null ||
      sentInEarlierSession ||
      noLongerWanted ||
      neverSent
    ) {
      this.#release(allocation, false);
    }
  }

  /** The cloud will reclaim the machine: tasks that can save stop now, the others run on. */
  #stopBeforeReclaim(machine: Machine): void {
    for (const allocation of machine.allocations.values()) {
      const { spec } = allocation.chunk;
      if (spec.checkpointS > 0 && allocation.running) {
        this.stop(allocation, Math.max(spec.saveS, 0.1), "notice");
      }
    }
  }

  /** Whether most machines that report under this owner's token fell silent together. */
  mostMachinesSilent(): boolean {
    const now = this.ctx.clock.now();
    let reachable = 0;
    let silent = 0;
    for (const machine of this.ledger.machines.values()) {
      // A machine silent for well over a lease has failed by itself, and is handled separately.
      const silenceMs = now - machine.lastSeen;
      // An unreachable worker does not count: it only reports here once per round of all controllers.
      if (
        !machine.hasOurToken ||
        machine.unreachableSince !== null ||
        silenceMs > this.ctx.leaseMs * 1.5
      )
        continue;
      reachable++;
      if (silenceMs > this.ctx.leaseMs / 3) silent++;
    }
    return reachable >= 3 && silent > reachable * 0.7;
  }
}
