import { sleep } from "../clock.js";
import type { Core, LeaderTerm } from "../extension/index.js";
import { isFullyReleased, isHeader } from "../jobs/job-header.js";
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

/** Whether and when jobs that are over leave the watched keys. */
export interface ArchiveOptions {
  /** So many stay there, the latest, since they are asked for most. */
  keep: number;
  /**
   * And each for at least so long. Also how long nothing is archived after the archive has begun:
   * a submission that a program of 0.1.0 had sent before does not depend on the archive, and must
   * not be applied later than that.
   */
  ageMs: number;
}

/** Headers that one look takes from the store, and that one batch is made of. */
const PAGE = 200;

/** What a new job of an id has to depend on; or its state, if it has been over for long. */
export type Guard = { past: JobOutcome } | { when: Condition[] };

/**
 * Jobs that are over: which of them this controller keeps in memory, which the leader moves into
 * the archive, and what has become of one that is in neither. The archive itself is a package that
 * is loaded once there is one.
 */
export class History {
  /** Jobs that are over, in the order in which that was learned, and when it was. */
  readonly #over = new Map<string, number>();
  /** Those of them that a package still reads. */
  readonly #kept = new Map<string, number>();
  readonly #setAside = new Set<string>();
  readonly #options: ArchiveOptions;
  readonly #strangers: Admission;
  /** Since when there has been an archive, as far as this controller has heard. */
  #begunAt = Number.POSITIVE_INFINITY;
  /** Since when the store has had headers of such jobs that are not in memory; null: it has none. */
  #backlogSince: number | null = null;
  #cursor: string | null = null;
  #foundInWalk = 0;
  #moved = 0;
  #batch: Row[] = [];
  #loading: Promise<ArchivePackage> | null = null;
  #lookups: Lookups | null = null;

  constructor(
    readonly core: Core,
    /** The operators have switched the archive on; null: one that is there is used, none is begun. */
    readonly begins: ArchiveOptions | null,
    /** Whether a part of this controller still has something of a job. */
    readonly inUse: (id: string) => boolean,
    /** Whether a package still reads a job's header. */
    readonly wanted: (id: string) => boolean,
  ) {
    this.#options = begins ?? defaultArchive;
    this.#strangers = new Admission(core.store.limits.rps / (4 * core.layout.parts), core.clock);
    core.mirror.on(JOB_HEADER_PREFIX, ({ key, value, deleted }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      if (deleted) {
        this.#over.delete(id);
        this.#kept.delete(id);
      } else if (!isHeader(value)) {
        // Nothing is guessed: who asks for it hears 503 until somebody has looked at it.
        core.log.error({ key }, "header set aside: it cannot be read");
      } else if (isFullyReleased(value) && !this.#over.has(id) && !this.#kept.has(id)) {
        (wanted(id) ? this.#kept : this.#over).set(id, core.clock.now());
        this.#review();
        this.#fade();
      }
    });
    core.mirror.on(keys.schema, ({ deleted }) => {
      if (!deleted) this.#begunAt = Math.min(this.#begunAt, core.clock.now());
    });
    core.mirror.skipsRow = (row) => this.#passes(row);
  }

  figures(): HistoryFigures {
    const over = this.#over.size + this.#kept.size;
    return {
      over,
      moved: this.#moved,
      reads: this.#lookups?.reads ?? 0,
      refused: this.#strangers.refused,
    };
  }

  /** For people: the schema, how many jobs that are over are in memory, and what was read and moved. */
  status(): object {
    return {
      schema: schemaOf(this.core.mirror).version,
      backlog: this.#backlogSince !== null,
      ...this.figures(),
    };
  }

  /** Looks again at some of those that a package had read: they are many, and change rarely. */
  #review(): void {
    let looks = 4;
    for (const [id, since] of this.#kept) {
      if (looks-- === 0) return;
      this.#kept.delete(id);
      (this.wanted(id) ? this.#kept : this.#over).set(id, since);
    }
  }

  get #leaseMs(): number {
    return this.core.settings.params.workers.lease_s * 1000;
  }

  /** Twice what should stay in the watched keys: the leader has time to move the rest. */
  get #most(): number {
    return 2 * this.#options.keep;
  }

  /** Rows that a reading of all keys need not keep. */
  #passes({ key, value }: Row): boolean {
    if (!key.startsWith(JOB_HEADER_PREFIX) || this.#over.size < this.#most) return false;
    if (
      !isHeader(value) ||
      !isFullyReleased(value) ||
      this.wanted(key.slice(JOB_HEADER_PREFIX.length))
    )
      return false;
    this.#backlogSince ??= this.core.clock.now();
    return true;
  }

  /** Takes the oldest out of memory; whoever asks for one finds it in the store. */
  #fade(): void {
    const { mirror, clock, settings } = this.core;
    // Answers that were on their way when it was over have arrived since, or never will.
    const before = clock.now() - settings.params.workers.report_s * 30_000;
    let looks = this.#over.size - this.#most;
    for (const [id, since] of this.#over) {
      if (looks-- <= 0 || since > before) return;
      this.#over.delete(id);
      if (this.inUse(id)) {
        this.#over.set(id, clock.now());
        continue;
      }
      this.#backlogSince ??= clock.now();
      mirror.evict(keys.job(id));
    }
  }

  // ---- what has become of a job ----------------------------------------------------------

  async #open(): Promise<Lookups> {
    const { openArchive } = await this.#load();
    this.#lookups ??= openArchive(this.core);
    return this.#lookups;
  }

  #load(): Promise<ArchivePackage> {
    this.#loading ??= import("../archive/index.js");
    return this.#loading;
  }

  /**
   * Before the store is asked for a job that this controller has not heard of: whoever polls for
   * jobs that never were leaves three quarters of the requests to the work.
   * @throws Refused beyond that
   */
  admit(id: string): void {
    if (!this.#strangers.admit(id)) throw new Refused("too many questions about unknown jobs");
  }

  /** The final state of an archived job that is remembered. */
  recall(id: string): JobOutcome | null {
    return this.#lookups?.recall(id) ?? null;
  }

  /**
   * While a restore is putting records there, what is missing may only not be there yet. Asked last
   * and not first: a controller that has just started hears of it while a question is on its way.
   */
  #whole(): void {
    if (restoreStateOf(this.core.mirror).state === "filling") throw new Refused("being restored");
  }

  /**
   * The final state of an archived job; null when there is none. To be asked after the store had no
   * header for it: a job is in one of both at every moment.
   * @throws Refused while it cannot be said
   */
  async find(id: string): Promise<JobOutcome | null> {
    this.#whole();
    if (schemaOf(this.core.mirror).version > 1) return (await this.#open()).find(id);
    // Nothing is archived for a while after the archive has begun. So whoever heard of no archive
    // lately enough knows that there is nothing in it.
    if (this.core.staleness() < this.#leaseMs) return null;
    throw new Refused("out of touch");
  }

  /** @throws Refused while it cannot be said */
  async guard(id: string): Promise<Guard> {
    this.#whole();
    const { version, stamp } = schemaOf(this.core.mirror);
    // Also while there is no archive: a transaction that is applied late, after one has begun and
    // the job has gone into it, must fail.
    const when = [{ key: keys.schema, version: stamp }];
    if (version === 1) return { when };
    const guard = await (await this.#open()).guard(id);
    return "past" in guard ? guard : { when: [...when, ...guard.when] };
  }

  /** Conditions that did not hold: what was remembered of them is wrong. */
  changed(failed: readonly string[]): void {
    for (const key of failed) this.#lookups?.changed(key);
  }

  // ---- moving ------------------------------------------------------------------------------

  /** What the leader does: begins the archive when there is enough for it, and fills it. */
  lead(leading: LeaderTerm): { stop(): void } {
    let stopped = false;
    const run = async (): Promise<void> => {
      const { clock, log, settings } = this.core;
      const everyMs = settings.params.workers.report_s * 1000;
      let reachable = true;
      const mover = await this.#whenNeeded(leading, everyMs, () => stopped);
      while (!stopped) {
        try {
          while (!stopped && mover !== null && (await mover.step()))
            await sleep(clock, everyMs / 20);
          reachable = true;
        } catch (error) {
          // What was on its way may still come to pass: the next look reads what is there.
          if (reachable) log.warn({ why: String(error) }, "archiving waits");
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

  /** Waits until there is an archive and something to put into it; nothing is loaded before. */
  async #whenNeeded(
    leading: LeaderTerm,
    everyMs: number,
    stopped: () => boolean,
  ): Promise<InstanceType<ArchivePackage["Mover"]> | null> {
    const { mirror, clock, log } = this.core;
    while (!stopped()) {
      const surplus = this.#over.size > this.#options.keep || this.#backlogSince !== null;
      const begun = schemaOf(mirror).version > 1;
      if (surplus && leading.valid() && (begun || this.begins !== null)) {
        const { Mover, beginArchive } = await this.#load();
        try {
          if (begun) return new Mover(this.core, await this.#open(), this.#candidates(), leading);
          await beginArchive(this.core, leading);
        } catch (error) {
          log.warn({ why: String(error) }, "the archive cannot begin yet");
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
      const names = new Set(rows.map(({ key }) => key));
      this.#batch = this.#batch.filter(({ key }) => !names.has(key));
    };
    this.#batch = [];
    return {
      take: async () => {
        const { ageMs } = this.#options;
        const now = this.core.clock.now();
        // Who has not heard yet that there is an archive answers for one lease that a job that is
        // nowhere else never was (`find`).
        this.#review();
        if (now - this.#begunAt < Math.max(ageMs, 4 * this.#leaseMs)) return [];
        if (this.#batch.length === 0) this.#batch = this.#aged(now - ageMs);
        if (this.#batch.length === 0) this.#batch = await this.#walk(now - ageMs);
        return this.#batch;
      },
      gone: (rows, revision) => {
        drop(rows);
        this.#moved += rows.length;
        for (const { key } of rows) {
          this.core.mirror.apply({ key, value: undefined, version: revision, deleted: true });
        }
      },
      setAside: (rows) => {
        drop(rows);
        for (const { key } of rows) this.#setAside.add(key);
      },
    };
  }

  /** Of those in memory the oldest, as many as are too many, in order of their ids. */
  #aged(before: number): Row[] {
    const { mirror } = this.core;
    const rows: Row[] = [];
    let surplus = Math.min(PAGE, this.#over.size - this.#options.keep);
    for (const [id, since] of this.#over) {
      if (surplus <= 0 || since > before) break;
      const key = keys.job(id);
      const row = mirror.rows.get(key);
      if (row === undefined || this.#setAside.has(key)) continue;
      if (this.inUse(id)) continue;
      rows.push({ key, ...row });
      surplus--;
    }
    return rows.sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Those that only the store has: it is walked through, a page at a time, in order of their ids. */
  async #walk(before: number): Promise<Row[]> {
    if (this.#backlogSince === null || this.#backlogSince > before) return [];
    const page = await this.core.store.page(JOB_HEADER_PREFIX, this.#cursor, PAGE);
    const rows = page.rows.filter(({ key, value }) => {
      const id = key.slice(JOB_HEADER_PREFIX.length);
      if (this.#over.has(id) || this.#setAside.has(key) || !isHeader(value)) return false;
      return isFullyReleased(value) && !this.inUse(id) && !this.wanted(id);
    });
    this.#foundInWalk += rows.length;
    this.#cursor = page.more ? (page.rows.at(-1)?.key ?? null) : null;
    if (this.#cursor === null) {
      if (this.#foundInWalk === 0) this.#backlogSince = null;
      this.#foundInWalk = 0;
    }
    return rows;
  }
}
