import { Actor } from "../actor.js";
import { sleep } from "../clock.js";
import type { Reply } from "../http/server.js";
import { chunkName, readPage } from "../jobs/chunk-page.js";
import { isHeader, type JobHeader, partChar } from "../jobs/job-header.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import type { Row } from "../state/store.js";
import type * as wire from "../wire/workers.js";
import { starvedOf, withdrawAllowances } from "./allowances.js";
import { CancelledJobCleanup } from "./cancelled-job-cleanup.js";
import { type CommitResult, Committer, ONLY_WATCHED } from "./committer.js";
import type { PartContext } from "./context.js";
import { type Inspected, Inspector, type PartInspection } from "./inspect.js";
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
  | { kind: "settled"; outcome: CommitResult }
  | { kind: "stop" };

/**
 * Owns one part: the machines hashed into it and the chunks of jobs given to it. Everything it
 * decides is committed on condition of its claim's version before it takes effect.
 */
export class Part extends Actor<PartMessage> {
  readonly #ledger: Ledger;
  readonly #quota: Quota;
  readonly #workers: Workers;
  readonly #placing: Placement;
  readonly #balancing: Rebalancing;
  readonly #preempting: Preemption;
  readonly #commits: Committer;
  readonly #tidying: CancelledJobCleanup;
  readonly #sweep: OrphanSweep;
  readonly #inspector: Inspector;
  readonly #settling: RestoreReconciliation;
  readonly #quarantine: Quarantine;
  readonly #announcing: SummaryPublisher;
  readonly #loading = new Set<string>();
  #tickAt = 0;
  #timerSet = false;
  #lastTick = Number.NEGATIVE_INFINITY;

  constructor(
    readonly ctx: PartContext,
    records: Row[],
  ) {
    super();
    this.#ledger = new Ledger(ctx);
    this.#quota = new Quota(ctx, this.#ledger);
    this.#workers = new Workers(ctx, this.#ledger, (urgent) =>
      this.#soon(urgent ? 0 : ctx.reportMs / 10),
    );
    this.#placing = new Placement(ctx, this.#ledger, this.#quota);
    this.#balancing = new Rebalancing(ctx);
    this.#preempting = new Preemption(ctx, this.#ledger, this.#quota, this.#workers);
    this.#commits = new Committer(
      ctx,
      this.#ledger,
      this.#quota,
      (outcome) => this.tell({ kind: "settled", outcome }),
      () => this.stopped,
    );
    this.#quarantine = new Quarantine(ctx);
    this.#announcing = new SummaryPublisher(ctx, this.#ledger, this.#quota);
    this.#settling = new RestoreReconciliation(ctx, this.#ledger);
    this.#inspector = new Inspector(
      ctx,
      this.#ledger,
      this.#quota,
      () => this.#placing.priorityFloors,
    );
    this.#sweep = new OrphanSweep(
      ctx,
      (id, chunk) => {
        if (this.jobs.get(id)?.chunks.has(chunk) === true) return "here";
        if (this.#loading.has(keys.handover(ctx.index, id, chunk))) return "on its way";
        return this.#quarantine.doubtful(chunkName(id, chunk)) ? "left alone" : null;
      },
      (id, header) => this.#onHeader(id, header),
    );
    this.#tidying = new CancelledJobCleanup(ctx, this.#ledger, (id) => this.#awaits(id));
    const kept = readRecords(records, ctx.index, this.#commits, this.#quarantine);
    for (const [key, row] of ctx.mirror.rows) {
      if (key.startsWith(JOB_HEADER_PREFIX) && isHeader(row.value))
        this.#takeIn(key.slice(JOB_HEADER_PREFIX.length), row.value, kept);
    }
    this.#quarantine.loaded();
    for (const [name, { state, pages }] of kept) {
      const [page] = pages;
      if (page === undefined || this.#adopted(name)) continue;
      // A page that is too large to be written still has what has gone from here since.
      if (this.#commits.isLarge(page) && this.#elsewhere(name)) continue;
      this.#commits.keepRaw(page, name, state);
    }
    // Machines returned before our time: nothing of theirs is left.
    for (const machine of ctx.goneMachines) this.#workers.gone(machine);
    ctx.log.info(
      { part: ctx.index, token: ctx.token, jobs: this.jobs.size, machines: this.machines },
      "part taken over",
    );
    this.#soon(0);
  }

  get jobs(): ReadonlyMap<string, Job> {
    return this.#ledger.jobs;
  }

  get machines(): number {
    return this.#ledger.machines.size;
  }

  /** When a worker last showed that it had taken an answer of ours. */
  get servedAt(): number {
    return this.#workers.servedAt;
  }

  /** For people: how one job, or what stands still, is doing here. */
  inspect(which: Inspected): PartInspection {
    return this.#inspector.part(which);
  }

  /** Whether most machines that followed us have fallen silent together. */
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
        this.#calledOff(message.id, message.version);
        break;
      case "gone":
        for (const machine of message.machines) this.#workers.gone(machine);
        this.#soon();
        break;
      case "moved":
        this.#onMoved(message.job, message.chunk, message.row);
        break;
      case "tick":
        this.#timerSet = false;
        this.#tick();
        break;
      case "settled":
        this.#onSettled(message.outcome);
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
    if (job !== undefined) this.#ledger.changes++;
    this.#takeIn(id, header, null);
    if (header.status === "cancelled" && job !== undefined) this.#workers.cancel(job);
    this.#soon();
  }

  /**
   * Stops at once what its user has called off, also while the store tells us nothing. This only makes
   * it sooner: that nothing runs for longer than `cancel_s` rests on the bound on contact alone, which
   * hearing from other controllers never lengthens.
   */
  #calledOff(id: string, version: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || !job.calledOff(version)) return;
    this.#workers.cancel(job);
    this.#soon();
  }

  /** Adopts the chunks of a job that are ours and that we do not have yet. */
  #takeIn(id: string, header: JobHeader, records: Map<string, StoredChunk> | null): void {
    const missing = this.#ledger.missing(id, header);
    if (missing === null) return;
    if (header.status === "cancelled") this.#tidying.add(id);
    const { job, chunks } = missing;
    for (const i of chunks) {
      const key = keys.handover(this.ctx.index, id, i);
      const name = chunkName(id, i);
      const kept = records?.get(name) ?? null;
      if (kept === null && this.#quarantine.doubtful(name)) continue;
      if (kept !== null || header.moves === 0) this.#adopt(job, i, kept);
      else if (!this.#loading.has(key)) {
        // It came from another part, which may have left a record of what is done already.
        this.#loading.add(key);
        void this.#fetchMoved(id, i, key);
      }
    }
    if (header.status === "cancelled") this.#workers.cancel(job);
  }

  /** Whether a chunk of a job is on its way here from another part. */
  #awaits(id: string): boolean {
    const prefix = `${keys.records(this.ctx.index)}m/${id}/`;
    for (const key of this.#loading) if (key.startsWith(prefix)) return true;
    return false;
  }

  /** Whether a header says that a chunk is over, or another part's. */
  #elsewhere(name: string): boolean {
    const slash = name.lastIndexOf("/");
    const header = this.ctx.mirror.rows.get(keys.job(name.slice(0, slash)))?.value;
    const owner = isHeader(header) ? header.owners[Number(name.slice(slash + 1))] : undefined;
    return isHeader(header) && owner !== partChar(this.ctx.index);
  }

  #adopted(name: string): boolean {
    const slash = name.lastIndexOf("/");
    return this.jobs.get(name.slice(0, slash))?.chunks.has(Number(name.slice(slash + 1))) === true;
  }

  #adopt(job: Job, index: number, kept: StoredChunk | null): void {
    const chunk = this.#ledger.adopt(job, index, kept?.state ?? null);
    const { limits, policy: rules } = this.ctx;
    if (!limits.has(job.spec.team) && rules?.preemptible(job.spec.team) !== true) {
      // A guest of a package that has been switched off: nobody would ever end its tasks.
      for (const live of chunk.allocations.values())
        this.#workers.stop(live, job.spec.saveS, "no team");
    }
    if (kept === null) return;
    const [page = null, ...more] = kept.pages;
    chunk.page = page;
    chunk.extraPages = more;
    chunk.handoverVersion = kept.handover;
  }

  async #fetchMoved(job: string, chunk: number, key: string): Promise<void> {
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

  #onMoved(id: string, index: number, row: Row | null): void {
    this.#loading.delete(keys.handover(this.ctx.index, id, index));
    const job = this.jobs.get(id);
    if (job === undefined || job.chunks.has(index)) return;
    if (job.header.owners[index] !== partChar(this.ctx.index)) return;
    const states = row === null ? null : readPage(row.value);
    const state = states?.get(chunkName(id, index));
    if (row !== null && state === undefined) {
      // What it brought along cannot be read: it may be running somewhere.
      this.#quarantine.record(row.key);
      return;
    }
    const kept =
      row === null || state === undefined
        ? null
        : { state, pages: [], handover: row.version, version: row.version };
    this.#adopt(job, index, kept);
    if (!job.open) this.#workers.cancel(job);
    this.#soon();
  }

  // ---- the regular work ------------------------------------------------------------------

  /**
   * A tick soon: changes that come close together are handled as one, and however many reports
   * come in, a pass over all jobs follows the one before only after a while.
   */
  #soon(inMs = this.ctx.reportMs / 40): void {
    if (this.stopped) return;
    const now = this.ctx.clock.now();
    const due = Math.max(now + inMs, this.#lastTick + this.ctx.reportMs / 25);
    if (this.#timerSet && this.#tickAt <= due) return;
    this.#timerSet = true;
    this.#tickAt = due;
    this.ctx.clock.after(due - now, () => {
      if (this.#timerSet && this.#tickAt === due) this.tell({ kind: "tick" });
    });
  }

  #tick(): void {
    this.#lastTick = this.ctx.clock.now();
    this.#soon(this.ctx.reportMs / 4);
    const { policy: rules, constraints: places } = this.ctx;
    // Allowances end by the clock, also while the store or the other controllers are out of reach:
    // an owner that is no longer sure of its claim may still stop what has no right to run.
    if (rules !== null) withdrawAllowances(rules, this.ctx, this.#ledger, this.#workers);
    if (!this.ctx.valid()) {
      this.#workers.sendOrders();
      return;
    }
    if (places.matcher !== null) {
      enforceHoldsAndRunLimits(
        places.matcher,
        this.ctx.clock.now(),
        this.#ledger,
        this.#workers,
        this.ctx.reportMs,
      );
    }
    this.#ledger.follow();
    this.#quota.begin();
    if (this.ctx.reconcilingRestore()) {
      this.#workers.sendOrders();
      this.#announcing.run();
      if (!this.#commits.flush()) this.#soon(this.ctx.reportMs / 10);
      this.#settling.run();
      return;
    }
    const pass = beginPass(this.ctx, this.#ledger);
    const blocked = this.#placing.run(pass);
    if (rules !== null)
      this.#announcing.starved = starvedOf(blocked, this.#quota, { rules, places }, pass);
    if (blocked.length > 0) {
      // Where there is room elsewhere, nothing has to be stopped here.
      if (this.#balancing.run(blocked, pass, this.#ledger.waitingCpus)) this.#ledger.changes++;
      this.#preempting.run(blocked, pass);
    }
    this.#workers.sendOrders();
    this.#announcing.run();
    if (!this.#commits.flush()) this.#soon(this.ctx.reportMs / 10);
    this.#tidying.run();
    this.#sweep.run();
  }

  #onSettled(outcome: CommitResult): void {
    const { batch, revision, rows } = outcome;
    const { mirror, log } = this.ctx;
    this.#commits.settled(outcome);
    if (revision === null) {
      for (const row of rows) {
        if (row.key.startsWith("w/") && !ONLY_WATCHED.has(row.key)) {
          mirror.apply({ ...row, deleted: false });
        }
      }
      this.#soon(this.ctx.reportMs / 40);
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
    for (const { chunk, page } of batch.saves) if (page === null) this.#returned(chunk.job);
    this.#workers.answerSettled();
    this.#soon();
  }

  /**
   * Takes in what has left here and come back before this owner knew that it had left: the answer was
   * lost, and the news of its return found it still here. Without this nobody placed it any more.
   */
  #returned(id: string): void {
    const header = this.ctx.mirror.rows.get(keys.job(id))?.value;
    if (isHeader(header)) this.#takeIn(id, header, null);
  }
}
