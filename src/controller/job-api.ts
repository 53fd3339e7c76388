import { sleep } from "../clock.js";
import { type Attachment, type Core, isPackagePresent } from "../extension/index.js";
import { type Amounts, fitsWithin } from "../fair/share.js";
import { type Reply, retryLater } from "../http/server.js";
import { tryCancel } from "../jobs/cancel.js";
import { jsonBytes } from "../jobs/chunk-page.js";
import { finishedTasks, isJobHeader, type JobHeader, statusForUsers } from "../jobs/job-header.js";
import type { JobOutcome } from "../jobs/job-outcome.js";
import type { Part } from "../part/part.js";
import type { DependencyTracker, JobLookupResult } from "../pipeline/index.js";
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

/** A job that was found: by its header, or by its outcome in the archive. */
type Found = { header: JobHeader; version: number } | { past: JobOutcome };

/** Attempts of a transaction whose conditions fail because other controllers change the records. */
const MAX_ATTEMPTS = 4;

const RESTORE_INCOMPLETE = "a restore of the state service is not complete yet; try again later";

/** Handles users' requests: accepts, shows and cancels jobs in all parts. */
export class JobApi {
  /** Limits the writes for submissions of teams without a guarantee. */
  readonly #borrowerLimiter: RateLimiter;
  readonly #borrowerRetries: RetryAfterQueue;
  readonly #guaranteedRetries: RetryAfterQueue;

  constructor(
    readonly core: Core,
    /** The most that a team may ever use. */
    readonly maxUse: (team: string) => Amounts | undefined,
    readonly parts: ReadonlyMap<number, Part>,
    readonly attachments: readonly Attachment[],
    readonly constraints: PlacementConstraints,
    readonly history: History,
    readonly refusals: Refusals,
    /** Whether a team has a guarantee. */
    readonly hasGuarantee: (team: string) => boolean,
    readonly pipelines: DependencyTracker,
  ) {
    const { store, clock, layout } = core;
    const share = store.limits.writeRps / layout.parts;
    this.#borrowerLimiter = new RateLimiter(share / 2, Math.max(1, share / 2), clock);
    // Retries are spread at half the accepted rate, since new submissions arrive at the same time.
    this.#borrowerRetries = new RetryAfterQueue(() => share / 4, clock);
    this.#guaranteedRetries = new RetryAfterQueue(() => share / 2, clock);
  }

  #watchedHeader(id: string): JobHeader | null {
    const row = this.core.mirror.rows.get(keys.job(id));
    return row !== undefined && isJobHeader(row.value) ? row.value : null;
  }

  /**
   * The status shown to the user. A job that awaits a cancelled job counts as cancelled at once,
   * even while its header still says otherwise. That status is final, since a cancelled job stays
   * cancelled.
   * @throws Refused while the outcome of an awaited job is not known
   */
  #statusOf(id: string, found: Found): JobStatus {
    if ("past" in found) return found.past.status;
    const { status, spec } = found.header;
    if (status !== "open" || spec?.after === undefined) return statusForUsers(found.header);
    const fate = this.pipelines.dependencyState(id);
    if (fate === "unknown") throw new Refused("an awaited job has not been looked up yet");
    if (fate === "cancelled") return "cancelled";
    return fate === "waits" ? "pending" : statusForUsers(found.header);
  }

  /** The outcome of an awaited job. @throws while it is not known */
  async awaitedOutcome(id: string): Promise<JobLookupResult> {
    const row = await this.core.store.get(keys.job(id));
    if (row === null) return this.history.find(id);
    if (!isJobHeader(row.value)) throw new Error(`job ${id}: unreadable job header`);
    return { status: row.value.status, over: row.value.over ?? null };
  }

  /** Whether a restore is in progress or has not been reconciled with the running tasks yet. */
  #restoreIncomplete(): boolean {
    const { state } = restoreStateOf(this.core.mirror);
    return state === "filling" || state === "settling";
  }

  /**
   * The current state of a job, from the watched copy, the store or the archive. Final states never
   * change, so remembered ones are used; others are read anew. Headers are deleted only after the
   * job's outcome is in the archive, so a missing header is looked up there.
   */
  async #findCurrent(id: string): Promise<Found | null> {
    const { mirror, store } = this.core;
    const known = mirror.rows.get(keys.job(id));
    if (known !== undefined && isJobHeader(known.value) && known.value.status !== "open") {
      return { header: known.value, version: known.version };
    }
    const remembered = this.history.cachedOutcome(id);
    if (remembered !== null) return { past: remembered };
    if (known !== undefined && mirror.ready) {
      // Another controller may already have reported the job's end. The watched copy is used once
      // it is known to be current; concurrent requests share that check.
      await mirror.waitUntilCurrent();
      const row = mirror.rows.get(keys.job(id));
      if (row !== undefined && isJobHeader(row.value)) {
        return { header: row.value, version: row.version };
      }
    } else if (known === undefined) this.history.admitLookup(id);
    const row = await store.get(keys.job(id));
    if (row === null) {
      const past = await this.history.find(id);
      return past === null ? null : { past };
    }
    if (!isJobHeader(row.value)) throw new Error(`job ${id}: unreadable job header`);
    if (row.value.status === "open" && row.value.spec?.after !== undefined) {
      // The state of the awaited jobs is known only from the watched copy.
      await mirror.waitUntilCurrent();
      const seen = mirror.rows.get(keys.job(id));
      if (seen === undefined || !isJobHeader(seen.value))
        throw new Refused("the job's header is not watched yet");
      return { header: seen.value, version: seen.version };
    }
    return { header: row.value, version: row.version };
  }

  /** Finds a job where any version of its header will do: the watched copy need not be current. */
  async #findAnyVersion(id: string): Promise<Found | null> {
    const row = this.core.mirror.rows.get(keys.job(id));
    if (row !== undefined && isJobHeader(row.value))
      return { header: row.value, version: row.version };
    return this.#findCurrent(id);
  }

  #unavailable(error: unknown): Reply {
    this.core.log.debug({ why: String(error) }, "state service not available; answering 503");
    return retryLater(503, "state service not available", error instanceof Refused ? 2 : 1);
  }

  async submit(body: unknown): Promise<Reply> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) return this.#malformed(submittedId(body), parsed.reason);
    const { id, spec } = parsed.value;
    if (this.#restoreIncomplete()) return retryLater(503, RESTORE_INCOMPLETE);
    try {
      if (this.#watchedHeader(id) === null) {
        if (this.core.types().size === 0) return retryLater(503, "machine types are not known yet");
        const refusal = this.#permanentRefusal(id, spec);
        if (refusal !== null) {
          // A repeated submission of an accepted job must not be refused.
          const known = await this.#findCurrent(id);
          if (known === null) {
            if (refusal.status === 503) return retryLater(503, refusal.reason);
            this.refusals.record(id, spec.team, refusal.why, refusal.reason);
            return { status: refusal.status, body: { error: refusal.reason } };
          }
        } else {
          const waitReason = this.#temporaryRefusal(spec);
          if (waitReason !== null && (await this.#findCurrent(id)) === null)
            return retryLater(503, waitReason);
          const dependencies =
            spec.after === undefined
              ? null
              : await resolveDependencies(id, spec.after.jobs, (one) => this.#findAnyVersion(one));
          if (dependencies !== null && "status" in dependencies) return dependencies;
          const header = newJobHeader(
            this.core,
            this.attachments,
            this.constraints,
            dependencies === null ? spec : { ...spec, after: dependencies.after },
          );
          if (jsonBytes(header) > this.core.store.limits.valueBytes) {
            return retryLater(503, "too many awaited jobs are unfinished to fit into one record");
          }
          const reply = await this.#accept(id, header, dependencies?.cancelled ?? false);
          if (reply !== null) return reply;
        }
      }
      const known = await this.#findCurrent(id);
      if (known === null) return retryLater(503, "try again");
      return { status: 200, body: statusBody(id, this.#statusOf(id, known)) };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  /** Answers an invalid submission; with the job's status if its id was accepted before. */
  async #malformed(id: string | null, reason: string): Promise<Reply> {
    const refused = { status: 400, body: { error: reason } };
    if (id === null) return refused;
    if (this.#restoreIncomplete()) return retryLater(503, RESTORE_INCOMPLETE);
    try {
      const known = await this.#findCurrent(id);
      if (known === null) return refused;
      return { status: 200, body: statusBody(id, this.#statusOf(id, known)) };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  /**
   * Accepts a job that has no header, unless it is in the archive: a submission that is retried or
   * applied long after the job finished must not run it again. Returns null if the job turns out to
   * have a header already.
   */
  async #accept(id: string, header: JobHeader, awaitsCancelled: boolean): Promise<Reply | null> {
    const { store, mirror, log } = this.core;
    const key = keys.job(id);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const guard = await this.history.guard(id);
      if ("past" in guard) {
        return { status: 200, body: statusBody(id, guard.past.status) };
      }
      const limited = this.#limitRate(header.spec!.team);
      if (limited !== null) return limited;
      const epoch = mirror.listingEpoch();
      const result = await this.#retryOnceIfBusy(() =>
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
          epoch,
        );
        // If an awaited job was cancelled long ago, this job must never be shown as pending.
        const cancelled = awaitsCancelled || this.pipelines.dependencyState(id) === "cancelled";
        return { status: 201, body: statusBody(id, cancelled ? "cancelled" : "pending") };
      }
      if (result.failed.includes(key)) return null;
      // The archive was just created, or the leaf of it that would contain this job has changed.
      this.history.discardCached(result.failed);
      if (result.failed.includes(keys.schema)) await mirror.waitForRevision(result.revision);
    }
    return retryLater(503, "try again");
  }

  /** Retries once after a short delay if the store is busy: users retry only after a second. */
  async #retryOnceIfBusy<T>(run: () => Promise<T>): Promise<T> {
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
   * Takes one write from the rate limiter for a submission, or returns a reply with Retry-After.
   * Submissions take precedence over writes that place or end tasks, which can wait and then
   * contain more changes each. Submissions of teams with a guarantee may overdraw the limiter by
   * one burst. Those of all other teams together get up to half of the rate: accepting their jobs
   * is useful only if writes are left to place and end their tasks.
   */
  #limitRate(team: string): Reply | null {
    const { writes } = this.core.store;
    const guaranteed = this.hasGuarantee(team);
    this.#borrowerLimiter.change(writes.rate / 2, Math.max(1, writes.burst / 2));
    if (writes.level > -writes.burst && (guaranteed || this.#borrowerLimiter.take(1))) {
      writes.force(1);
      return null;
    }
    const retries = guaranteed ? this.#guaranteedRetries : this.#borrowerRetries;
    return retryLater(guaranteed ? 503 : 429, "too many submissions at once", retries.nextDelayS());
  }

  /** Why a submission is refused, or null; status 503 if another controller may accept it. */
  #permanentRefusal(
    id: string,
    spec: JobSpec,
  ): { status: number; why: RefusalReason; reason: string } | null {
    if (spec.match !== undefined && this.constraints.matcher === null) {
      const reason = "jobs with expressions are not enabled here";
      // While the package is being enabled or disabled, another controller may accept the job.
      const status = isPackagePresent("submit", this.core) ? 503 : 400;
      return { status, why: "no expressions here", reason };
    }
    const impossible = this.#impossibleToRun(spec);
    if (impossible !== null) return { status: 422, ...impossible };
    if (spec.match === undefined) return null;
    const rejection = this.constraints.matcher!.rejection(id, spec);
    return rejection === null ? null : { ...rejection, why: "expressions" };
  }

  #impossibleToRun(spec: JobSpec): { why: RefusalReason; reason: string } | null {
    const limit = this.maxUse(spec.team);
    if (limit === undefined) return { why: "unknown team", reason: "unknown team" };
    if (![...this.core.types().values()].some((type) => typeFits(spec, type))) {
      return { why: "fits no machine type", reason: "a task fits no allowed machine type" };
    }
    const tasksAtOnce = spec.kind === "array" ? 1 : spec.tasks;
    if (!fitsWithin({ cpus: spec.cpus * tasksAtOnce, gpus: spec.gpus * tasksAtOnce }, limit)) {
      return { why: "over the team's limit", reason: "more than the team's limit" };
    }
    return null;
  }

  #temporaryRefusal(spec: JobSpec): string | null {
    for (const { refusalReason } of this.attachments) {
      const reason = refusalReason?.(spec) ?? null;
      if (reason !== null) return reason;
    }
    return null;
  }

  async show(id: string): Promise<Reply> {
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    try {
      const known = await this.#findCurrent(id);
      if (known === null) return { status: 404, body: { error: "no such job" } };
      // During restore reconciliation, a worker's report may still show that the job is done.
      const status = this.#statusOf(id, known);
      if (this.#restoreIncomplete() && ["pending", "running"].includes(status)) {
        return retryLater(503, RESTORE_INCOMPLETE);
      }
      const counts =
        "past" in known ? { done: known.past.done, running: 0 } : this.#counts(id, known.header);
      // For display only; limited because the list may be long.
      const awaitedJobs =
        status === "pending" ? this.pipelines.pendingDependencies(id).slice(0, 20) : [];
      const details = awaitedJobs.length === 0 ? counts : { ...counts, awaits: awaitedJobs };
      return { status: 200, body: statusBody(id, status, details) };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  /** Task counts for display, from finished chunks and from the parts of this controller. */
  #counts(id: string, header: JobHeader): { done: number; running: number } {
    if (header.status === "done") return { done: header.tasks, running: 0 };
    let done = finishedTasks(header);
    let running = 0;
    for (const part of this.parts.values()) {
      for (const chunk of part.jobs.get(id)?.chunks.values() ?? []) {
        if (header.owners[chunk.index] !== "x") done += chunk.doneCount;
        for (const allocation of chunk.allocations.values()) if (allocation.running) running++;
      }
    }
    return { done, running };
  }

  async cancel(id: string): Promise<Reply> {
    const { store, mirror, log, peers } = this.core;
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    if (this.#restoreIncomplete()) return retryLater(503, RESTORE_INCOMPLETE);
    try {
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const known = await this.#findCurrent(id);
        if (known === null) return { status: 404, body: { error: "no such job" } };
        if ("past" in known) return { status: 200, body: statusBody(id, known.past.status) };
        if (known.header.status !== "open") {
          return { status: 200, body: statusBody(id, known.header.status) };
        }
        store.writes.force(2);
        const version = await this.#retryOnceIfBusy(() => tryCancel(store, mirror, id, known));
        if (version !== null) {
          log.info({ job: id }, "job cancelled");
          // Owners learn of it from the watch, or from this frame if the store refuses them.
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
