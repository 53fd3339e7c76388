import { Actor } from "../actor.js";
import { sleep } from "../clock.js";
import type { Reply } from "../http/server.js";
import { type Header, isHeader, partChar } from "../jobs/header.js";
import { chunkName, readPage } from "../jobs/page.js";
import { HEADERS, keys } from "../state/keys.js";
import type { Row } from "../state/store.js";
import type * as wire from "../wire/workers.js";
import { Announcing } from "./announcing.js";
import { Balancing } from "./balancing.js";
import { Commits, ONLY_WATCHED, type Outcome } from "./commits.js";
import type { PartContext } from "./context.js";
import { enforce } from "./holding.js";
import { type Inspected, Inspector, type PartInspection } from "./inspect.js";
import type { Job } from "./job.js";
import { type Kept, readRecords } from "./kept.js";
import { Ledger } from "./ledger.js";
import { beginPass, Placing } from "./placing.js";
import { Preempting } from "./preempting.js";
import { Quarantine } from "./quarantine.js";
import { Quota } from "./quota.js";
import { Settling } from "./settling.js";
import { Sweep } from "./sweep.js";
import { Tidying } from "./tidying.js";
import { Workers } from "./workers.js";
import { starvedOf, withdrawAllowances } from "./yielding.js";

export type { PartContext } from "./context.js";

export type PartMessage =
  | { kind: "report"; report: wire.Report; reply(answer: Reply): void }
  | { kind: "header"; id: string; header: Header }
  | { kind: "called off"; id: string; version: number }
  | { kind: "gone"; machines: readonly string[] }
  | { kind: "moved"; job: string; chunk: number; row: Row | null }
  | { kind: "tick" }
  | { kind: "settled"; outcome: Outcome }
  | { kind: "stop" };

/**
 * Owns one part: the machines hashed into it and the chunks of jobs given to it. Everything it
 * decides is committed on condition of its claim's version before it takes effect.
 */
export class Part extends Actor<PartMessage> {
  readonly #ledger: Ledger;
  readonly #quota: Quota;
  readonly #workers: Workers;
  readonly #placing: Placing;
  readonly #balancing: Balancing;
  readonly #preempting: Preempting;
  readonly #commits: Commits;
  readonly #tidying: Tidying;
  readonly #sweep: Sweep;
  readonly #inspector: Inspector;
  readonly #settling: Settling;
  readonly #quarantine: Quarantine;
  readonly #announcing: Announcing;
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
    this.#placing = new Placing(ctx, this.#ledger, this.#quota);
    this.#balancing = new Balancing(ctx);
    this.#preempting = new Preempting(ctx, this.#ledger, this.#quota, this.#workers);
    this.#commits = new Commits(
      ctx,
      this.#ledger,
      this.#quota,
      (outcome) => this.tell({ kind: "settled", outcome }),
      () => this.stopped,
    );
    this.#quarantine = new Quarantine(ctx);
    this.#announcing = new Announcing(ctx, this.#ledger, this.#quota);
    this.#settling = new Settling(ctx, this.#ledger);
    this.#inspector = new Inspector(ctx, this.#ledger, this.#quota, () => this.#placing.holds);
    this.#sweep = new Sweep(
      ctx,
      (id, chunk) => {
        if (this.jobs.get(id)?.chunks.has(chunk) === true) return "here";
        if (this.#loading.has(keys.handover(ctx.index, id, chunk))) return "on its way";
        return this.#quarantine.doubtful(chunkName(id, chunk)) ? "left alone" : null;
      },
      (id, header) => this.#onHeader(id, header),
    );
    this.#tidying = new Tidying(ctx, this.#ledger, (id) => this.#awaits(id));
    const kept = readRecords(records, ctx.index, this.#commits, this.#quarantine);
    for (const [key, row] of ctx.mirror.rows) {
      if (key.startsWith(HEADERS) && isHeader(row.value))
        this.#takeIn(key.slice(HEADERS.length), row.value, kept);
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
    for (const machine of ctx.gone) this.#workers.gone(machine);
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
  cutOff(): boolean {
    return this.#workers.cutOff();
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

  #onHeader(id: string, header: Header): void {
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
  #takeIn(id: string, header: Header, records: Map<string, Kept> | null): void {
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

  #adopt(job: Job, index: number, kept: Kept | null): void {
    const chunk = this.#ledger.adopt(job, index, kept?.state ?? null);
    const { limits, rules } = this.ctx;
    if (!limits.has(job.spec.team) && rules?.yields(job.spec.team) !== true) {
      // A guest of a package that has been switched off: nobody would ever end its tasks.
      for (const live of chunk.live.values()) this.#workers.stop(live, job.spec.saveS, "no team");
    }
    if (kept === null) return;
    const [page = null, ...more] = kept.pages;
    chunk.page = page;
    chunk.more = more;
    chunk.handover = kept.handover;
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
    const { rules, places } = this.ctx;
    // Allowances end by the clock, also while the store or the other controllers are out of reach:
    // an owner that is no longer sure of its claim may still stop what has no right to run.
    if (rules !== null) withdrawAllowances(rules, this.ctx, this.#ledger, this.#workers);
    if (!this.ctx.valid()) {
      this.#workers.sendOrders();
      return;
    }
    if (places.matching !== null) {
      enforce(
        places.matching,
        this.ctx.clock.now(),
        this.#ledger,
        this.#workers,
        this.ctx.reportMs,
      );
    }
    this.#ledger.follow();
    this.#quota.begin();
    if (this.ctx.settling()) {
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

  #onSettled(outcome: Outcome): void {
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
