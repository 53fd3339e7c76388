import { sleep } from "../clock.js";
import type { Core, LeaderTerm } from "../extension/index.js";
import { isFullyReleased, isJobHeader } from "../jobs/job-header.js";
import type { JobOutcome } from "../jobs/job-outcome.js";
import type { HistoryFigures } from "../metrics.js";
import { defaultArchive } from "../settings/tuning.js";
import { Admission } from "../state/admission.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import { restoreStateOf } from "../state/restore-state.js";
import { schemaOf } from "../state/schema.js";
import { type Condition, Refused, type Row } from "../state/store.js";

type ArchivePackage = typeof import("../archive/index.js");
type Lookups = ReturnType<ArchivePackage["openArchive"]>;

/** When finished jobs are moved from the watched keys to the archive. */
export interface ArchiveOptions {
  /**
   * Number of finished jobs that stay in the watched keys: the latest, which are requested most.
   */
  keep: number;
  /**
   * Minimum time for which a finished job stays there. Also how long nothing is archived after the
   * archive was created: a submission that a program of version 0.1.0 sent before has no condition
   * on the archive, and must have been applied by then.
   */
  ageMs: number;
}

/** Headers per page that is read from the store, and per batch that is archived. */
const BATCH_SIZE = 200;

/** The conditions of the transaction that accepts a job, or the job's outcome if it is archived. */
export type Guard = { past: JobOutcome } | { when: Condition[] };

/**
 * Finished jobs: decides which of them this controller keeps in memory and which the leader moves
 * to the archive, and looks up the outcome of archived ones. The archive package is loaded only
 * once an archive exists or is to be created.
 */
export class History {
  /**
   * Finished jobs in memory by the time at which this controller learned that they finished, oldest
   * first.
   */
  readonly #finished = new Map<string, number>();
  /** Finished jobs whose headers a package still reads, with the same time. */
  readonly #finishedStillRead = new Map<string, number>();
  readonly #quarantined = new Set<string>();
  readonly #options: ArchiveOptions;
  readonly #unknownJobAdmission: Admission;
  /** When this controller learned that the archive exists. */
  #archiveKnownSince = Number.POSITIVE_INFINITY;
  /**
   * Since when the store has had headers of finished jobs that are not in memory; null: it has
   * none.
   */
  #backlogSince: number | null = null;
  #scanCursor: string | null = null;
  #foundInScan = 0;
  #movedCount = 0;
  #batch: Row[] = [];
  #loading: Promise<ArchivePackage> | null = null;
  #lookups: Lookups | null = null;

  constructor(
    readonly core: Core,
    /**
     * Set if the operators have enabled the archive; null: an existing archive is used, none is
     * created.
     */
    readonly archiveOptions: ArchiveOptions | null,
    /** Whether a part of this controller still has state of a job. */
    readonly isInUse: (id: string) => boolean,
    /** Whether a package still reads a job's header. */
    readonly needsHeader: (id: string) => boolean,
  ) {
    this.#options = archiveOptions ?? defaultArchive;
    this.#unknownJobAdmission = new Admission(
      core.store.limits.rps / (4 * core.layout.parts),
      core.clock,
    );
    core.mirror.on(JOB_HEADER_PREFIX, ({ key, value, deleted }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      if (deleted) {
        this.#finished.delete(id);
        this.#finishedStillRead.delete(id);
      } else if (!isJobHeader(value)) {
        // Its state is unknown: requests for the job are answered with 503 until an operator
        // repairs it.
        core.log.error(
          { key },
          "job header is not readable; requests for this job are answered with 503",
        );
      } else if (
        isFullyReleased(value) &&
        !this.#finished.has(id) &&
        !this.#finishedStillRead.has(id)
      ) {
        (needsHeader(id) ? this.#finishedStillRead : this.#finished).set(id, core.clock.now());
        this.#recheckStillRead();
        this.#evictOldest();
      }
    });
    core.mirror.on(keys.schema, ({ deleted }) => {
      if (!deleted) this.#archiveKnownSince = Math.min(this.#archiveKnownSince, core.clock.now());
    });
    core.mirror.skipsRow = (row) => this.#skipsRow(row);
  }

  figures(): HistoryFigures {
    const over = this.#finished.size + this.#finishedStillRead.size;
    return {
      over,
      moved: this.#movedCount,
      reads: this.#lookups?.reads ?? 0,
      refused: this.#unknownJobAdmission.refused,
    };
  }

  /**
   * For `/about/status`: the schema, the number of finished jobs in memory, and counts of reads and
   * moves.
   */
  status(): object {
    return {
      schema: schemaOf(this.core.mirror).version,
      backlog: this.#backlogSince !== null,
      ...this.figures(),
    };
  }

  /**
   * Checks whether packages still read the oldest few headers: only some per call, as there are
   * many and they rarely change.
   */
  #recheckStillRead(): void {
    let remainingChecks = 4;
    for (const [id, since] of this.#finishedStillRead) {
      if (remainingChecks-- === 0) return;
      this.#finishedStillRead.delete(id);
      (this.needsHeader(id) ? this.#finishedStillRead : this.#finished).set(id, since);
    }
  }

  get #leaseMs(): number {
    return this.core.settings.params.workers.lease_s * 1000;
  }

  /**
   * Twice the number that should stay in the watched keys, so that the leader has time to move the
   * rest.
   */
  get #maxInMemory(): number {
    return 2 * this.#options.keep;
  }

  /** Whether a row of a listing of all keys need not be kept in memory. */
  #skipsRow({ key, value }: Row): boolean {
    if (!key.startsWith(JOB_HEADER_PREFIX) || this.#finished.size < this.#maxInMemory) return false;
    if (
      !isJobHeader(value) ||
      !isFullyReleased(value) ||
      this.needsHeader(key.slice(JOB_HEADER_PREFIX.length))
    )
      return false;
    this.#backlogSince ??= this.core.clock.now();
    return true;
  }

  /** Evicts the oldest finished jobs from memory; requests for them are answered from the store. */
  #evictOldest(): void {
    const { mirror, clock, settings } = this.core;
    // Answers that were in flight when the job finished have arrived by then or never will.
    const before = clock.now() - settings.params.workers.report_s * 30_000;
    let excess = this.#finished.size - this.#maxInMemory;
    for (const [id, since] of this.#finished) {
      if (excess-- <= 0 || since > before) return;
      this.#finished.delete(id);
      if (this.isInUse(id)) {
        this.#finished.set(id, clock.now());
        continue;
      }
      this.#backlogSince ??= clock.now();
      mirror.evict(keys.job(id));
    }
  }

  // ---- lookups of archived jobs ----------------------------------------------------------

  async #openLookups(): Promise<Lookups> {
    const { openArchive } = await this.#loadPackage();
    this.#lookups ??= openArchive(this.core);
    return this.#lookups;
  }

  #loadPackage(): Promise<ArchivePackage> {
    this.#loading ??= import("../archive/index.js");
    return this.#loading;
  }

  /**
   * Limits store requests for jobs unknown to this controller to a quarter of its requests, so that
   * polling for jobs that never existed leaves three quarters for other work.
   * @throws Refused beyond that
   */
  admitLookup(id: string): void {
    if (!this.#unknownJobAdmission.admit(id))
      throw new Refused("too many requests for unknown jobs");
  }

  /** The cached outcome of an archived job, or null. */
  cachedOutcome(id: string): JobOutcome | null {
    return this.#lookups?.findCached(id) ?? null;
  }

  /**
   * Throws while a restore is writing records, as a missing record may then not be written yet.
   * Call it after the request to the store, not before: a controller that has just started may
   * learn of the restore while that request is in flight.
   */
  #requireCompleteRecords(): void {
    if (restoreStateOf(this.core.mirror).state === "filling")
      throw new Refused("a restore is writing the records");
  }

  /**
   * The outcome of an archived job; null if there is none. Call it after the store had no header
   * for the job: every accepted job is at all times in the watched keys or in the archive.
   * @throws Refused while it is not known
   */
  async find(id: string): Promise<JobOutcome | null> {
    this.#requireCompleteRecords();
    if (schemaOf(this.core.mirror).version > 1) return (await this.#openLookups()).find(id);
    // Nothing is archived for some time after the archive was created. So if the watched copy was
    // current less than a lease ago and shows no archive, no job is archived yet.
    if (this.core.staleness() < this.#leaseMs) return null;
    throw new Refused(
      "the watched copy is older than a lease: whether an archive exists is not known",
    );
  }

  /**
   * The conditions under which a job may be accepted, or its outcome if it is archived.
   * @throws Refused while that is not known
   */
  async guard(id: string): Promise<Guard> {
    this.#requireCompleteRecords();
    const { version, rowVersion: stamp } = schemaOf(this.core.mirror);
    // Required also while there is no archive: a transaction that is applied late, after an archive
    // was created and the job moved into it, must fail.
    const when = [{ key: keys.schema, version: stamp }];
    if (version === 1) return { when };
    const guard = await (await this.#openLookups()).guard(id);
    return "past" in guard ? guard : { when: [...when, ...guard.when] };
  }

  /** Discards what is cached for keys whose conditions failed. */
  discardCached(failed: readonly string[]): void {
    for (const key of failed) this.#lookups?.invalidate(key);
  }

  // ---- moving jobs to the archive ------------------------------------------------------------

  /**
   * Starts the leader's task: creates the archive once there are enough finished jobs, and moves
   * them there.
   */
  lead(leading: LeaderTerm): { stop(): void } {
    let stopped = false;
    const run = async (): Promise<void> => {
      const { clock, log, settings } = this.core;
      const everyMs = settings.params.workers.report_s * 1000;
      let reachable = true;
      const mover = await this.#createMoverWhenNeeded(leading, everyMs, () => stopped);
      while (!stopped) {
        try {
          while (!stopped && mover !== null && (await mover.step()))
            await sleep(clock, everyMs / 20);
          reachable = true;
        } catch (error) {
          // A transaction in flight may still be applied: the next attempt reads the current
          // records.
          if (reachable) log.warn({ why: String(error) }, "archiving failed; will be retried");
          reachable = false;
        }
        await sleep(clock, everyMs);
      }
    };
    void run();
    return {
      stop: () => {
        stopped = true;
      },
    };
  }

  /**
   * Waits until there are jobs to archive and an archive, which it creates if needed; loads the
   * package only then.
   */
  async #createMoverWhenNeeded(
    leading: LeaderTerm,
    everyMs: number,
    stopped: () => boolean,
  ): Promise<InstanceType<ArchivePackage["Mover"]> | null> {
    const { mirror, clock, log } = this.core;
    while (!stopped()) {
      const surplus = this.#finished.size > this.#options.keep || this.#backlogSince !== null;
      const begun = schemaOf(mirror).version > 1;
      if (surplus && leading.valid() && (begun || this.archiveOptions !== null)) {
        const { Mover, beginArchive } = await this.#loadPackage();
        try {
          if (begun)
            return new Mover(this.core, await this.#openLookups(), this.#candidates(), leading);
          await beginArchive(this.core, leading);
        } catch (error) {
          log.warn({ why: String(error) }, "could not open or create the archive; will be retried");
        }
      }
      await sleep(clock, everyMs);
    }
    return null;
  }

  #candidates(): {
    take(): Promise<readonly Row[]>;
    gone(rows: readonly Row[], revision: number): void;
    setAside(rows: readonly Row[]): void;
  } {
    const drop = (rows: readonly Row[]): void => {
      const keysToDrop = new Set(rows.map(({ key }) => key));
      this.#batch = this.#batch.filter(({ key }) => !keysToDrop.has(key));
    };
    this.#batch = [];
    return {
      take: async () => {
        const { ageMs } = this.#options;
        const now = this.core.clock.now();
        // A controller that has not seen the archive yet answers, for one lease, that a job without
        // header never existed (`find`). So nothing is moved during the first leases.
        this.#recheckStillRead();
        if (now - this.#archiveKnownSince < Math.max(ageMs, 4 * this.#leaseMs)) return [];
        if (this.#batch.length === 0) this.#batch = this.#oldestInMemory(now - ageMs);
        if (this.#batch.length === 0) this.#batch = await this.#scanStore(now - ageMs);
        return this.#batch;
      },
      gone: (rows, revision) => {
        drop(rows);
        this.#movedCount += rows.length;
        for (const { key } of rows) {
          this.core.mirror.apply({ key, value: undefined, version: revision, deleted: true });
        }
      },
      setAside: (rows) => {
        drop(rows);
        for (const { key } of rows) this.#quarantined.add(key);
      },
    };
  }

  /** The oldest finished jobs in memory beyond the number to keep, in order of their ids. */
  #oldestInMemory(before: number): Row[] {
    const { mirror } = this.core;
    const rows: Row[] = [];
    let surplus = Math.min(BATCH_SIZE, this.#finished.size - this.#options.keep);
    for (const [id, since] of this.#finished) {
      if (surplus <= 0 || since > before) break;
      const key = keys.job(id);
      const row = mirror.rows.get(key);
      if (row === undefined || this.#quarantined.has(key)) continue;
      if (this.isInUse(id)) continue;
      rows.push({ key, ...row });
      surplus--;
    }
    return rows.sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Finished jobs that only the store has, not memory: the next page of a scan in order of ids. */
  async #scanStore(before: number): Promise<Row[]> {
    if (this.#backlogSince === null || this.#backlogSince > before) return [];
    const page = await this.core.store.page(JOB_HEADER_PREFIX, this.#scanCursor, BATCH_SIZE);
    const rows = page.rows.filter(({ key, value }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      if (this.#finished.has(id) || this.#quarantined.has(key) || !isJobHeader(value)) return false;
      return isFullyReleased(value) && !this.isInUse(id) && !this.needsHeader(id);
    });
    this.#foundInScan += rows.length;
    this.#scanCursor = page.more ? (page.rows.at(-1)?.key ?? null) : null;
    if (this.#scanCursor === null) {
      if (this.#foundInScan === 0) this.#backlogSince = null;
      this.#foundInScan = 0;
    }
    return rows;
  }
}
