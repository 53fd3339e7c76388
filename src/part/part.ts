import { Actor } from "../actor.js";
import { sleep } from "../clock.js";
import type { Reply } from "../http/server.js";
import { chunkName, readPage } from "../jobs/chunk-page.js";
import { isJobHeader, type JobHeader, partChar } from "../jobs/job-header.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import type { Row } from "../state/store.js";
import type * as wire from "../wire/workers.js";
import { starvedCpusOf, stopTasksOverAllowances } from "./allowances.js";
import { CancelledJobCleanup } from "./cancelled-job-cleanup.js";
import { type CommitResult, Committer, WATCH_ORDERED_KEYS } from "./committer.js";
import type { PartContext } from "./context.js";
import { type InspectionQuery, Inspector, type PartInspection } from "./inspect.js";
import type { Job } from "./job.js";
import { enforceHoldsAndRunLimits } from "./job-holds.js";
import { Ledger } from "./ledger.js";
import { OrphanSweep } from "./orphan-sweep.js";
import { beginPass, Placement } from "./placement.js";
import { Preemption } from "./preemption.js";
import { Quarantine } from "./quarantine.js";
import { Quota } from "./quota.js";
import { Rebalancing } from "./rebalancing.js";
import { readRecords, type StoredChunk } from "./record-loader.js";
import { RestoreReconciliation } from "./restore-reconciliation.js";
import { SummaryPublisher } from "./summary-publisher.js";
import { Workers } from "./workers.js";

export type { PartContext } from "./context.js";

export type PartMessage =
  | { kind: "report"; report: wire.Report; reply(answer: Reply): void }
  | { kind: "header"; id: string; header: JobHeader }
  | { kind: "called off"; id: string; version: number }
  | { kind: "gone"; machines: readonly string[] }
  | { kind: "moved"; job: string; chunk: number; row: Row | null }
  | { kind: "tick" }
  | { kind: "settled"; result: CommitResult }
  | { kind: "stop" };

/**
 * Owner of one part: of the machines hashed into it and the chunks of jobs assigned to it. Each
 * decision is committed, on condition of the claim's version, before it takes effect.
 */
export class Part extends Actor<PartMessage> {
  readonly #ledger: Ledger;
  readonly #quota: Quota;
  readonly #workers: Workers;
  readonly #placement: Placement;
  readonly #rebalancing: Rebalancing;
  readonly #preemption: Preemption;
  readonly #committer: Committer;
  readonly #cancelledJobCleanup: CancelledJobCleanup;
  readonly #orphanSweep: OrphanSweep;
  readonly #inspector: Inspector;
  readonly #restoreReconciliation: RestoreReconciliation;
  readonly #quarantine: Quarantine;
  readonly #summaryPublisher: SummaryPublisher;
  readonly #loadingHandovers = new Set<string>();
  #nextTickAt = 0;
  #tickScheduled = false;
  #lastTickAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly ctx: PartContext,
    records: Row[],
  ) {
    super();
    this.#ledger = new Ledger(ctx);
    this.#quota = new Quota(ctx, this.#ledger);
    this.#workers = new Workers(ctx, this.#ledger, (urgent) =>
      this.#scheduleTick(urgent ? 0 : ctx.reportMs / 10),
    );
    this.#placement = new Placement(ctx, this.#ledger, this.#quota);
    this.#rebalancing = new Rebalancing(ctx);
    this.#preemption = new Preemption(ctx, this.#ledger, this.#quota, this.#workers);
    this.#committer = new Committer(
      ctx,
      this.#ledger,
      this.#quota,
      (result) => this.tell({ kind: "settled", result }),
      () => this.stopped,
    );
    this.#quarantine = new Quarantine(ctx);
    this.#summaryPublisher = new SummaryPublisher(ctx, this.#ledger, this.#quota);
    this.#restoreReconciliation = new RestoreReconciliation(ctx, this.#ledger);
    this.#inspector = new Inspector(
      ctx,
      this.#ledger,
      this.#quota,
      () => this.#placement.priorityFloors,
    );
    this.#orphanSweep = new OrphanSweep(
      ctx,
      (id, chunk) => {
        if (this.jobs.get(id)?.chunks.has(chunk) === true) return "here";
        if (this.#loadingHandovers.has(keys.handover(ctx.index, id, chunk))) return "being loaded";
        return this.#quarantine.mayAffect(chunkName(id, chunk)) ? "in quarantine" : null;
      },
      (id, header) => this.#onHeader(id, header),
    );
    this.#cancelledJobCleanup = new CancelledJobCleanup(ctx, this.#ledger, (id) =>
      this.#isLoading(id),
    );
    const storedChunks = readRecords(records, ctx.index, this.#committer, this.#quarantine);
    for (const [key, row] of ctx.mirror.rows) {
      if (key.startsWith(JOB_HEADER_PREFIX) && isJobHeader(row.value))
        this.#adoptMissing(key.slice(JOB_HEADER_PREFIX.length), row.value, storedChunks);
    }
    this.#quarantine.finishLoading();
    for (const [name, { state, pages }] of storedChunks) {
      const [page] = pages;
      if (page === undefined || this.#isAdopted(name)) continue;
      // An oversized page is not rewritten, so it still contains chunks that have left this part.
      if (this.#committer.isOversized(page) && this.#isNotOwnedHere(name)) continue;
      this.#committer.keepUnowned(page, name, state);
    }
    // Machines returned to the cloud under an earlier owner: nothing runs there any more.
    for (const machine of ctx.goneMachines) this.#workers.onMachineGone(machine);
    ctx.log.info(
      { part: ctx.index, token: ctx.token, jobs: this.jobs.size, machines: this.machines },
      "part taken over",
    );
    this.#scheduleTick(0);
  }

  get jobs(): ReadonlyMap<string, Job> {
    return this.#ledger.jobs;
  }

  get machines(): number {
    return this.#ledger.machines.size;
  }

  /** When a worker last showed that it had received an answer from this owner. */
  get servedAt(): number {
    return this.#workers.servedAt;
  }

  /** For users and operators: the state here of one job, or of all that make no progress. */
  inspect(query: InspectionQuery): PartInspection {
    return this.#inspector.part(query);
  }

  /** Whether most machines that report under this owner's token fell silent together. */
  mostMachinesSilent(): boolean {
    return this.#workers.mostMachinesSilent();
  }

  protected receive(message: PartMessage): void {
    switch (message.kind) {
      case "report":
        this.#workers.onReport(message.report, message.reply);
        break;
      case "header":
        this.#onHeader(message.id, message.header);
        break;
      case "called off":
        this.#onCancellationHint(message.id, message.version);
        break;
      case "gone":
        for (const machine of message.machines) this.#workers.onMachineGone(machine);
        this.#scheduleTick();
        break;
      case "moved":
        this.#onHandover(message.job, message.chunk, message.row);
        break;
      case "tick":
        this.#tickScheduled = false;
        this.#tick();
        break;
      case "settled":
        this.#onCommitResult(message.result);
        break;
      case "stop":
        this.halt();
        this.#workers.close();
        break;
    }
  }

  // ---- jobs ------------------------------------------------------------------------------

  #onHeader(id: string, header: JobHeader): void {
    const job = this.jobs.get(id);
    if (job !== undefined) this.#ledger.changeCount++;
    this.#adoptMissing(id, header, null);
    if (header.status === "cancelled" && job !== undefined) this.#workers.cancel(job);
    this.#scheduleTick();
  }

  /**
   * Another controller reports a cancellation: stops the job's tasks at once, also while the watch
   * brings nothing. This is only an acceleration. That nothing runs for longer than `cancel_s`
   * follows from the limit on time without contact alone; messages of peers never extend that limit.
   */
  #onCancellationHint(id: string, version: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || !job.noteCancellation(version)) return;
    this.#workers.cancel(job);
    this.#scheduleTick();
  }

  /** Adopts the chunks of a job that its header gives to this part and that are not loaded yet. */
  #adoptMissing(
    id: string,
    header: JobHeader,
    storedChunks: Map<string, StoredChunk> | null,
  ): void {
    const missing = this.#ledger.missingChunks(id, header);
    if (missing === null) return;
    if (header.status === "cancelled") this.#cancelledJobCleanup.add(id);
    const { job, chunks } = missing;
    for (const i of chunks) {
      const key = keys.handover(this.ctx.index, id, i);
      const name = chunkName(id, i);
      const storedChunk = storedChunks?.get(name) ?? null;
      if (storedChunk === null && this.#quarantine.mayAffect(name)) continue;
      if (storedChunk !== null || header.moves === 0) this.#adopt(job, i, storedChunk);
      else if (!this.#loadingHandovers.has(key)) {
        // The chunk may come from another part that left a handover record with its completed tasks.
        this.#loadingHandovers.add(key);
        void this.#fetchHandover(id, i, key);
      }
    }
    if (header.status === "cancelled") this.#workers.cancel(job);
  }

  /** Whether the handover record of a chunk of the job is being read. */
  #isLoading(id: string): boolean {
    const prefix = `${keys.records(this.ctx.index)}m/${id}/`;
    for (const key of this.#loadingHandovers) if (key.startsWith(prefix)) return true;
    return false;
  }

  /** Whether a header says that a chunk is finished, or belongs to another part. */
  #isNotOwnedHere(name: string): boolean {
    const slash = name.lastIndexOf("/");
    const header = this.ctx.mirror.rows.get(keys.job(name.slice(0, slash)))?.value;
    const owner = isJobHeader(header) ? header.owners[Number(name.slice(slash + 1))] : undefined;
    return isJobHeader(header) && owner !== partChar(this.ctx.index);
  }

  #isAdopted(name: string): boolean {
    const slash = name.lastIndexOf("/");
    return this.jobs.get(name.slice(0, slash))?.chunks.has(Number(name.slice(slash + 1))) === true;
  }

  #adopt(job: Job, index: number, storedChunk: StoredChunk | null): void {
    const chunk = this.#ledger.adopt(job, index, storedChunk?.state ?? null);
    const { limits, policy } = this.ctx;
    if (!limits.has(job.spec.team) && policy?.preemptible(job.spec.team) !== true) {
      // A guest team of a package that has been disabled: nothing else would end its tasks.
      for (const allocation of chunk.allocations.values())
        this.#workers.stop(allocation, job.spec.saveS, "no team");
    }
    if (storedChunk === null) return;
    const [page = null, ...extraPages] = storedChunk.pages;
    chunk.page = page;
    chunk.extraPages = extraPages;
    chunk.handoverVersion = storedChunk.handoverVersion;
  }

  async #fetchHandover(job: string, chunk: number, key: string): Promise<void> {
    while (!this.stopped) {
      try {
        const row = await this.ctx.store.get(key);
        this.tell({ kind: "moved", job, chunk, row });
        return;
      } catch {
        await sleep(this.ctx.clock, this.ctx.reportMs / 4);
      }
    }
  }

  #onHandover(id: string, index: number, row: Row | null): void {
    this.#loadingHandovers.delete(keys.handover(this.ctx.index, id, index));
    const job = this.jobs.get(id);
    if (job === undefined || job.chunks.has(index)) return;
    if (job.header.owners[index] !== partChar(this.ctx.index)) return;
    const states = row === null ? null : readPage(row.value);
    const state = states?.get(chunkName(id, index));
    if (row !== null && state === undefined) {
      // The handover record cannot be read: tasks of the chunk may be running.
      this.#quarantine.add(row.key);
      return;
    }
    const storedChunk =
      row === null || state === undefined
        ? null
        : { state, pages: [], handoverVersion: row.version, version: row.version };
    this.#adopt(job, index, storedChunk);
    if (!job.open) this.#workers.cancel(job);
    this.#scheduleTick();
  }

  // ---- periodic pass ---------------------------------------------------------------------

  /**
   * Schedules a tick. Changes in close succession share one, and there is a minimum interval between
   * passes over all jobs, however many reports arrive.
   */
  #scheduleTick(inMs = this.ctx.reportMs / 40): void {
    if (this.stopped) return;
    const now = this.ctx.clock.now();
    const dueAt = Math.max(now + inMs, this.#lastTickAt + this.ctx.reportMs / 25);
    if (this.#tickScheduled && this.#nextTickAt <= dueAt) return;
    this.#tickScheduled = true;
    this.#nextTickAt = dueAt;
    this.ctx.clock.after(dueAt - now, () => {
      if (this.#tickScheduled && this.#nextTickAt === dueAt) this.tell({ kind: "tick" });
    });
  }

  #tick(): void {
    this.#lastTickAt = this.ctx.clock.now();
    this.#scheduleTick(this.ctx.reportMs / 4);
    const { policy, constraints } = this.ctx;
    // Allowances expire by the clock, also while the store or other controllers are unreachable: an
    // owner whose lease may have ended may still stop tasks that exceed their team's allowance.
    if (policy !== null) stopTasksOverAllowances(policy, this.ctx, this.#ledger, this.#workers);
    if (!this.ctx.valid()) {
      this.#workers.sendQueuedCommands();
      return;
    }
    if (constraints.matcher !== null) {
      enforceHoldsAndRunLimits(
        constraints.matcher,
        this.ctx.clock.now(),
        this.#ledger,
        this.#workers,
        this.ctx.reportMs,
      );
    }
    this.#ledger.updateFromPipelines();
    this.#quota.beginPass();
    if (this.ctx.reconcilingRestore()) {
      this.#workers.sendQueuedCommands();
      this.#summaryPublisher.run();
      if (!this.#committer.flush()) this.#scheduleTick(this.ctx.reportMs / 10);
      this.#restoreReconciliation.run();
      return;
    }
    const pass = beginPass(this.ctx, this.#ledger);
    const blocked = this.#placement.run(pass);
    if (policy !== null)
      this.#summaryPublisher.starvedCpus = starvedCpusOf(
        blocked,
        this.#quota,
        { rules: policy, places: constraints },
        pass,
      );
    if (blocked.length > 0) {
      // Chunks that fit into another part need no preemption here.
      if (this.#rebalancing.run(blocked, pass, this.#ledger.waitingCpus))
        this.#ledger.changeCount++;
      this.#preemption.run(blocked, pass);
    }
    this.#workers.sendQueuedCommands();
    this.#summaryPublisher.run();
    if (!this.#committer.flush()) this.#scheduleTick(this.ctx.reportMs / 10);
    this.#cancelledJobCleanup.run();
    this.#orphanSweep.run();
  }

  #onCommitResult(result: CommitResult): void {
    const { batch, revision, rows } = result;
    const { mirror, log } = this.ctx;
    this.#committer.applyResult(result);
    if (revision === null) {
      for (const row of rows) {
        if (row.key.startsWith("w/") && !WATCH_ORDERED_KEYS.has(row.key)) {
          mirror.apply({ ...row, deleted: false });
        }
      }
      this.#scheduleTick(this.ctx.reportMs / 40);
      return;
    }
    for (const { key, record } of batch.slices) {
      mirror.apply({ key, value: record, version: revision, deleted: false });
    }
    for (const { chunk, page } of batch.saves) if (page === null) this.#ledger.drop(chunk);
    for (const { id, header } of batch.headers) {
      mirror.apply({ key: keys.job(id), value: header, version: revision, deleted: false });
      if (header.status === "done") log.info({ job: id }, "job done");
    }
    for (const { chunk, page } of batch.saves) if (page === null) this.#adoptReturned(chunk.job);
    this.#workers.answerCommitted();
    this.#scheduleTick();
  }

  /**
   * Adopts a chunk that left and came back before this owner knew that it had left: the answer to the
   * commit was lost, so it was still in the ledger when its return was reported. Else nobody places it.
   */
  #adoptReturned(id: string): void {
    const header = this.ctx.mirror.rows.get(keys.job(id))?.value;
    if (isJobHeader(header)) this.#adoptMissing(id, header, null);
  }
}
