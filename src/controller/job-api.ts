import { sleep } from "../clock.js";
import { type Attachment, type Core, isPackagePresent } from "../extension/index.js";
import { type Amounts, fitsWithin } from "../fair/share.js";
import { type Reply, retryLater } from "../http/server.js";
import { tryCancel } from "../jobs/cancel.js";
import { jsonBytes } from "../jobs/chunk-page.js";
import { finishedTasks, isHeader, type JobHeader, shownStatus } from "../jobs/job-header.js";
import type { JobOutcome } from "../jobs/job-outcome.js";
import type { Part } from "../part/part.js";
import type { Ended, Pipelines } from "../pipeline/index.js";
import { keys } from "../state/keys.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { restoreStateOf } from "../state/restore-state.js";
import { RetryAfterQueue } from "../state/retry-after.js";
import { Busy, Refused } from "../state/store.js";
import { transactConfirmedByWatch } from "../state/watched-transaction.js";
import {
  isJobId,
  type JobSpec,
  type JobStatus,
  parseSubmission,
  statusBody,
  submittedId,
} from "../wire/jobs.js";
import { typeFits } from "../workers/machine.js";
import type { PlacementConstraints } from "../workers/placement-constraints.js";
import { resolveDependencies } from "./dependencies.js";
import type { History } from "./history.js";
import { newJobHeader } from "./new-job-header.js";
import type { RefusalReason, Refusals } from "./refusals.js";

/** A job by its header, or by what the archive has of it. */
type Found = { header: JobHeader; version: number } | { past: JobOutcome };

/** How often something is tried while others change what it depends on. */
const TRIES = 4;

const RESTORING = "restored records are being completed";

/** Answers users: takes, shows and cancels jobs, whoever owns the parts that run them. */
export class JobApi {
  /** Changes that submissions of teams without a guarantee may take. */
  readonly #borrowers: RateLimiter;
  readonly #others: RetryAfterQueue;
  readonly #first: RetryAfterQueue;

  constructor(
    readonly core: Core,
    /** The most that a team may ever use. */
    readonly most: (team: string) => Amounts | undefined,
    readonly parts: ReadonlyMap<number, Part>,
    readonly attached: readonly Attachment[],
    readonly places: PlacementConstraints,
    readonly history: History,
    readonly refusals: Refusals,
    /** Whether a team has a guarantee. */
    readonly guaranteed: (team: string) => boolean,
    readonly pipelines: Pipelines,
  ) {
    const { store, clock, layout } = core;
    const share = store.limits.writeRps / layout.parts;
    this.#borrowers = new RateLimiter(share / 2, Math.max(1, share / 2), clock);
    // Others come at the same time: what is added is more than those who come back may count on.
    this.#others = new RetryAfterQueue(() => share / 4, clock);
    this.#first = new RetryAfterQueue(() => share / 2, clock);
  }

  #known(id: string): JobHeader | null {
    const row = this.core.mirror.rows.get(keys.job(id));
    return row !== undefined && isHeader(row.value) ? row.value : null;
  }

  /**
   * What its user is told. A job that one before it has cancelled is cancelled at once, whatever its
   * header says yet; and as nothing before it can become anything else, that stays so.
   * @throws Refused while it is not known what became of a job before it
   */
  #stateOf(id: string, found: Found): JobStatus {
    if ("past" in found) return found.past.status;
    const { status, spec } = found.header;
    if (status !== "open" || spec?.after === undefined) return shownStatus(found.header);
    const fate = this.pipelines.fate(id);
    if (fate === "unknown") throw new Refused("a job before it has not been looked up");
    if (fate === "cancelled") return "cancelled";
    return fate === "waits" ? "pending" : shownStatus(found.header);
  }

  /** What became of a job that is awaited. @throws while that cannot be said */
  async ended(id: string): Promise<Ended> {
    const row = await this.core.store.get(keys.job(id));
    if (row === null) return this.history.find(id);
    if (!isHeader(row.value)) throw new Error(`job ${id}: not a header`);
    return { status: row.value.status, over: row.value.over ?? null };
  }

  /** Whether the records were restored and do not tell of everything yet. */
  #closed(): boolean {
    const { state } = restoreStateOf(this.core.mirror);
    return state === "filling" || state === "settling";
  }

  /**
   * The newest state of a job, wherever it is kept. Final states are safe to remember; others are
   * read anew. What is in the archive was over before its header went.
   */
  async #current(id: string): Promise<Found | null> {
    const { mirror, store } = this.core;
    const known = mirror.rows.get(keys.job(id));
    if (known !== undefined && isHeader(known.value) && known.value.status !== "open") {
      return { header: known.value, version: known.version };
    }
    const remembered = this.history.recall(id);
    if (remembered !== null) return { past: remembered };
    if (known !== undefined && mirror.ready) {
      // Somebody else may have told its end already: what is here counts once it is known to be
      // current, for all who ask at the same time.
      await mirror.waitUntilCurrent();
      const row = mirror.rows.get(keys.job(id));
      if (row !== undefined && isHeader(row.value)) {
        return { header: row.value, version: row.version };
      }
    } else if (known === undefined) this.history.admit(id);
    const row = await store.get(keys.job(id));
    if (row === null) {
      const past = await this.history.find(id);
      return past === null ? null : { past };
    }
    if (!isHeader(row.value)) throw new Error(`job ${id}: not a header`);
    if (row.value.status === "open" && row.value.spec?.after !== undefined) {
      // What it waits for is known from the watched copy alone.
      await mirror.waitUntilCurrent();
      const seen = mirror.rows.get(keys.job(id));
      if (seen === undefined || !isHeader(seen.value)) throw new Refused("not heard of yet");
      return { header: seen.value, version: seen.version };
    }
    return { header: row.value, version: row.version };
  }

  /** For questions to which any header is an answer: it needs to be no newer than it is. */
  async #look(id: string): Promise<Found | null> {
    const row = this.core.mirror.rows.get(keys.job(id));
    if (row !== undefined && isHeader(row.value))
      return { header: row.value, version: row.version };
    return this.#current(id);
  }

  #unavailable(error: unknown): Reply {
    this.core.log.debug({ why: String(error) }, "store not available");
    return retryLater(503, "state service not available", error instanceof Refused ? 2 : 1);
  }

  async submit(body: unknown): Promise<Reply> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) return this.#malformed(submittedId(body), parsed.reason);
    const { id, spec } = parsed.value;
    if (this.#closed()) return retryLater(503, RESTORING);
    try {
      if (this.#known(id) === null) {
        if (this.core.types().size === 0) return retryLater(503, "machine types not known yet");
        const never = this.#refusal(id, spec);
        if (never !== null) {
          // Only a job that was never accepted may be refused.
          const known = await this.#current(id);
          if (known === null) {
            if (never.status === 503) return retryLater(503, never.reason);
            this.refusals.note(id, spec.team, never.why, never.reason);
            return { status: never.status, body: { error: never.reason } };
          }
        } else {
          const notNow = this.#notNow(spec);
          if (notNow !== null && (await this.#current(id)) === null) return retryLater(503, notNow);
          const asked =
            spec.after === undefined
              ? null
              : await resolveDependencies(id, spec.after.jobs, (one) => this.#look(one));
          if (asked !== null && "status" in asked) return asked;
          const header = newJobHeader(
            this.core,
            this.attached,
            this.places,
            asked === null ? spec : { ...spec, after: asked.after },
          );
          if (jsonBytes(header) > this.core.store.limits.valueBytes) {
            return retryLater(503, "more jobs are awaited that are not over than a record holds");
          }
          const taken = await this.#take(id, header, asked?.cancelled ?? false);
          if (taken !== null) return taken;
        }
      }
      const known = await this.#current(id);
      if (known === null) return retryLater(503, "try again");
      return { status: 200, body: statusBody(id, this.#stateOf(id, known)) };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  /** A submission that is none: of a job that was accepted before, it is a repeated one all the same. */
  async #malformed(id: string | null, reason: string): Promise<Reply> {
    const refused = { status: 400, body: { error: reason } };
    if (id === null) return refused;
    if (this.#closed()) return retryLater(503, RESTORING);
    try {
      const known = await this.#current(id);
      if (known === null) return refused;
      return { status: 200, body: statusBody(id, this.#stateOf(id, known)) };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  /**
   * Accepts a job that nobody has a header of, unless it is in the archive: retried long after it
   * was over, or applied late, a submission must not give it a second life. Null when it turns out
   * to be known already.
   */
  async #take(id: string, header: JobHeader, doomed: boolean): Promise<Reply | null> {
    const { store, mirror, log } = this.core;
    const key = keys.job(id);
    for (let attempt = 0; attempt < TRIES; attempt++) {
      const guard = await this.history.guard(id);
      if ("past" in guard) {
        return { status: 200, body: statusBody(id, guard.past.status) };
      }
      const turn = this.#turn(header.spec!.team);
      if (turn !== null) return turn;
      const mark = mirror.listingEpoch();
      const result = await this.#patiently(() =>
        transactConfirmedByWatch(
          store,
          mirror,
          key,
          [{ key, version: 0 }, ...guard.when],
          [{ put: key, value: header }],
        ),
      );
      if (result.ok) {
        log.debug({ job: id, owners: header.owners }, "job accepted");
        mirror.applyIfNotRelisted(
          { key, value: header, version: result.revision, deleted: false },
          mark,
        );
        // One before it may have been cancelled so long ago that this may not be called pending at all.
        const cancelled = doomed || this.pipelines.fate(id) === "cancelled";
        return { status: 201, body: statusBody(id, cancelled ? "cancelled" : "pending") };
      }
      if (result.failed.includes(key)) return null;
      // The archive has changed where this job would be in it, or has only just begun.
      this.history.changed(result.failed);
      if (result.failed.includes(keys.schema)) await mirror.waitForRevision(result.revision);
    }
    return retryLater(503, "try again");
  }

  /** Once more after a moment, where the state service had too much to do: sent away, a user comes back a second later. */
  async #patiently<T>(run: () => Promise<T>): Promise<T> {
    try {
      return await run();
    } catch (error) {
      if (!(error instanceof Busy)) throw error;
      await sleep(this.core.clock, this.core.settings.params.workers.report_s * 50);
      this.core.store.writes.force(1);
      return run();
    }
  }

  /**
   * Takes one change for a submission, or says when to come back. Submissions come before placing and
   * ending, which can wait and then hold more each: those of teams with a guarantee up to a debt of a
   * burst, those of all others together up to half of what is added, since their jobs are only worth
   * taking if there are changes left to place and end them.
   */
  #turn(team: string): Reply | null {
    const { writes } = this.core.store;
    const guaranteed = this.guaranteed(team);
    this.#borrowers.change(writes.rate / 2, Math.max(1, writes.burst / 2));
    if (writes.level > -writes.burst && (guaranteed || this.#borrowers.take(1))) {
      writes.force(1);
      return null;
    }
    const turns = guaranteed ? this.#first : this.#others;
    return retryLater(guaranteed ? 503 : 429, "too many submissions at once", turns.nextDelayS());
  }

  /** Why a job can never be taken. */
  #refusal(
    id: string,
    spec: JobSpec,
  ): { status: number; why: RefusalReason; reason: string } | null {
    if (spec.match !== undefined && this.places.matcher === null) {
      const reason = "jobs with expressions are not switched on here";
      // On the way from off to on, or back: another controller may take it.
      const status = isPackagePresent("submit", this.core) ? 503 : 400;
      return { status, why: "no expressions here", reason };
    }
    const never = this.#neverRuns(spec);
    if (never !== null) return { status: 422, ...never };
    if (spec.match === undefined) return null;
    const refused = this.places.matcher!.rejection(id, spec);
    return refused === null ? null : { ...refused, why: "expressions" };
  }

  #neverRuns(spec: JobSpec): { why: RefusalReason; reason: string } | null {
    const limit = this.most(spec.team);
    if (limit === undefined) return { why: "unknown team", reason: "unknown team" };
    if (![...this.core.types().values()].some((type) => typeFits(spec, type))) {
      return { why: "fits no machine type", reason: "a task fits no allowed machine type" };
    }
    const times = spec.kind === "array" ? 1 : spec.tasks;
    if (!fitsWithin({ cpus: spec.cpus * times, gpus: spec.gpus * times }, limit)) {
      return { why: "over the team's limit", reason: "more than the team's limit" };
    }
    return null;
  }

  #notNow(spec: JobSpec): string | null {
    for (const { refusalReason: refuses } of this.attached) {
      const reason = refuses?.(spec) ?? null;
      if (reason !== null) return reason;
    }
    return null;
  }

  async show(id: string): Promise<Reply> {
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    try {
      const known = await this.#current(id);
      if (known === null) return { status: 404, body: { error: "no such job" } };
      // A worker may still prove that it is done.
      const status = this.#stateOf(id, known);
      if (this.#closed() && ["pending", "running"].includes(status)) {
        return retryLater(503, RESTORING);
      }
      const counts =
        "past" in known ? { done: known.past.done, running: 0 } : this.#counts(id, known.header);
      // For people; the list may be long.
      const left = status === "pending" ? this.pipelines.waitsFor(id).slice(0, 20) : [];
      const more = left.length === 0 ? counts : { ...counts, awaits: left };
      return { status: 200, body: statusBody(id, status, more) };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  /** For display: what the finished chunks and our own parts say. */
  #counts(id: string, header: JobHeader): { done: number; running: number } {
    if (header.status === "done") return { done: header.tasks, running: 0 };
    let done = finishedTasks(header);
    let running = 0;
    for (const part of this.parts.values()) {
      for (const chunk of part.jobs.get(id)?.chunks.values() ?? []) {
        if (header.owners[chunk.index] !== "x") done += chunk.doneCount;
        for (const live of chunk.allocations.values()) if (live.running) running++;
      }
    }
    return { done, running };
  }

  async cancel(id: string): Promise<Reply> {
    const { store, mirror, log, peers } = this.core;
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    if (this.#closed()) return retryLater(503, RESTORING);
    try {
      for (let attempt = 0; attempt < TRIES; attempt++) {
        const known = await this.#current(id);
        if (known === null) return { status: 404, body: { error: "no such job" } };
        if ("past" in known) return { status: 200, body: statusBody(id, known.past.status) };
        if (known.header.status !== "open") {
          return { status: 200, body: statusBody(id, known.header.status) };
        }
        store.writes.force(2);
        const version = await this.#patiently(() => tryCancel(store, mirror, id, known));
        if (version !== null) {
          log.info({ job: id }, "job cancelled");
          // Owners hear of it by the watch; one that the store refuses hears of it so.
          peers.broadcast({ kind: "cancelled", job: id, version });
          return { status: 200, body: statusBody(id, "cancelled") };
        }
      }
      return retryLater(503, "try again");
    } catch (error) {
      return this.#unavailable(error);
    }
  }
}
