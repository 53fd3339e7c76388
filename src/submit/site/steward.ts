import { Ad, print, runReference, truth } from "../../classad/index.js";
import { sleep } from "../../clock.js";
import type { Core, LeaderTerm } from "../../extension/index.js";
import type { JobHeader } from "../../jobs/job-header.js";
import { type Book, isOver, type JobState } from "./book.js";
import type { Desk } from "./desk.js";
import type { Matcher } from "./matcher.js";
import { type ClusterRecord, holdOf, keys, withHold, withRelease } from "./records.js";
import type { SubmitSettings } from "./settings.js";

/** What a job's own expressions ask for. */
export type Wish = { kind: "remove" | "hold" | "release"; reason: string } | null;

/** HTCondor's numbers of a job's state. */
const STATUS = { idle: 1n, running: 2n, held: 5n };

/**
 * What `periodic_*` and a missed moment ask for now. A pure function; evaluated whole, since a job's
 * expressions see only what a controller knows of it.
 */
export function wishOf(
  ad: Ad,
  header: Pick<JobHeader, "at" | "started">,
  hold: string | null,
  wall: number,
): Wish {
  const state = new Ad([...ad.attributes()].map(({ name, node }) => ({ name, node })));
  state.put("QDate", BigInt(Math.floor(header.at / 1000)));
  state.put(
    "JobStatus",
    hold !== null ? STATUS.held : header.started ? STATUS.running : STATUS.idle,
  );
  if (hold !== null) state.put("HoldReason", hold);
  const now = Math.floor(wall / 1000);
  const is = (name: string): boolean => {
    const node = state.get(name)?.node;
    // Once, against an ad made for it: compiling would cost more than it saves.
    return node !== undefined && truth(runReference(node, { my: state }, { now }).value) === true;
  };
  const text = (name: string): string => print(state.get(name)!.node);
  if (is("periodicremove")) {
    return { kind: "remove", reason: `periodic_remove: ${text("periodicremove")}` };
  }
  if (hold !== null) {
    // What the user holds, the user releases.
    const own = hold.startsWith("periodic_hold");
    return own && is("periodicrelease") ? { kind: "release", reason: "periodic_release" } : null;
  }
  if (is("periodichold")) {
    return { kind: "hold", reason: `periodic_hold: ${text("periodichold")}` };
  }
  const after = literal(ad, "deferraltime");
  const window = literal(ad, "deferralwindow");
  if (after !== null && window !== null && !header.started && now > after + window + GRACE_S) {
    return { kind: "hold", reason: "its moment has passed" };
  }
  return null;
}

/** A window of 0 would be missed always: a task needs a pass and a report to begin. */
const GRACE_S = 60;

function literal(ad: Ad, key: string): number | null {
  const node = ad.get(key)?.node;
  return node?.kind === "literal" && typeof node.value === "bigint" ? Number(node.value) : null;
}

/** How far a cluster's jobs may start so that at most so many procs are placed at a time. */
export function gateOf(record: ClusterRecord, jobs: readonly JobState[]): number | null {
  const { upTo, most } = record;
  if (upTo === null || most === null) return null;
  let open = 0;
  let next = 0;
  for (const { index, header } of jobs) {
    if (header === null) break;
    const live = header.status === "open";
    const size = live ? Math.min(header.tasks, most) : 0;
    // One that is larger than all that may be placed has its own limit.
    if (live && open > 0 && open + size > most) break;
    open += size;
    next = index + 1;
  }
  return Math.max(upTo, next);
}

/**
 * What the leader does for clusters, all of it from what the store has, so that the next leader goes
 * on where this one stopped: gives up hand-ins that were never finished, finishes removals, lets
 * more of a cluster start, asks jobs' own expressions, and forgets the oldest that are over.
 */
export class Steward {
  /** Clusters that time alone may change. */
  readonly #timed = new Set<number>();
  #stopped = false;
  #reachable = true;

  constructor(
    readonly core: Core,
    readonly settings: SubmitSettings,
    readonly book: Book,
    readonly desk: Desk,
    readonly matcher: Matcher,
    readonly leading: LeaderTerm,
  ) {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  get #guard(): { key: string; version: number }[] {
    return [this.leading.claim];
  }

  async #run(): Promise<void> {
    const { clock, log, mirror, settings } = this.core;
    await mirror.waitForRevision(this.leading.claim.version);
    // What an earlier leader had begun, or had not seen.
    for (const id of this.book.clusters.keys()) this.book.touched.add(id);
    while (!this.#stopped) {
      try {
        if (this.leading.valid()) await this.#step();
        this.#reachable = true;
      } catch (error) {
        // What was on its way may still come to pass: the next look decides anew.
        if (this.#reachable) log.warn({ why: String(error) }, "clusters wait");
        this.#reachable = false;
      }
      await sleep(clock, settings.params.workers.report_s * 1000);
    }
  }

  /** Only what has changed, and what changes with time: a thousand quiet clusters cost nothing. */
  async #step(): Promise<void> {
    const { touched, clusters } = this.book;
    for (const id of new Set([...touched, ...this.#timed])) {
      if (this.#stopped || !this.leading.valid()) return;
      const known = clusters.get(id);
      touched.delete(id);
      this.#timed.delete(id);
      if (known === undefined) continue;
      try {
        await this.#one(id, known.value, this.book.jobs(id, known.value));
      } catch (error) {
        touched.add(id);
        throw error;
      }
    }
    await this.#forget();
  }

  async #one(id: number, record: ClusterRecord, jobs: JobState[]): Promise<void> {
    const wall = this.core.clock.wall();
    if (record.state === "open") {
      this.#timed.add(id);
      if (wall - record.at < this.settings.patienceMs) return;
      // Its sender is gone. Nothing of it has started, and now nothing of it will.
      await this.#change(id, (now) => (now.state === "open" ? { ...now, state: "removed" } : null));
      this.core.log.info({ cluster: id, team: record.team }, "a hand-in was never finished");
      return;
    }
    if (record.state === "removed") {
      // Also once it is over: a job may have been taken by who had not heard of the removal.
      for (const { id: job, header } of jobs) {
        if (header !== null && header.status === "open") await this.#cancel(id, job);
      }
    }
    if (record.over !== undefined) return;
    if (isOver(record, jobs)) {
      await this.#change(id, (now) =>
        now.over === undefined ? { ...now, over: Math.round(wall), held: {} } : null,
      );
      return;
    }
    if (record.state !== "in") return;
    const gate = gateOf(record, jobs);
    if (gate !== null && gate !== record.upTo) {
      await this.#change(id, (now) => (now.upTo === null ? null : { ...now, upTo: gate }));
    }
    for (const job of jobs) await this.#ask(id, record, job, wall);
  }

  async #ask(id: number, record: ClusterRecord, job: JobState, wall: number): Promise<void> {
    const { header, index } = job;
    if (header === null || header.status !== "open" || header.spec?.match === undefined) return;
    const ad = this.matcher.jobAd(header.spec);
    if (!ad.watched) return;
    this.#timed.add(id);
    const wish = wishOf(ad.ad, header, holdOf(record, index), wall);
    if (wish === null) return;
    this.core.log.info({ job: job.id, ...wish }, "a job's own expression");
    if (wish.kind === "remove") await this.#cancel(id, job.id);
    else {
      await this.#change(id, (now) =>
        wish.kind === "hold" ? withHold(now, [index], wish.reason) : withRelease(now, [index]),
      );
    }
  }

  async #change(
    id: number,
    change: (record: ClusterRecord) => ClusterRecord | null,
  ): Promise<void> {
    if (!this.#mayWrite(id, 1)) return;
    await this.desk.change(id, change, this.#guard);
  }

  async #cancel(cluster: number, job: string): Promise<void> {
    if (!this.#mayWrite(cluster, 2)) return;
    await this.desk.cancel(job, true);
  }

  /** What there is no budget for now is looked at again. */
  #mayWrite(cluster: number, writes: number): boolean {
    if (this.core.store.writes.take(writes, 2)) return true;
    this.book.touched.add(cluster);
    return false;
  }

  /** The oldest of those that are over, beyond as many as are kept. */
  async #forget(): Promise<void> {
    const over = [...this.book.clusters].filter(([, { value }]) => value.over !== undefined);
    const surplus = over.length - this.settings.kept;
    if (surplus <= 0) return;
    over.sort(([a], [b]) => a - b);
    for (const [id, { value, version }] of over.slice(0, surplus)) {
      if (!this.core.store.writes.take(2, 2)) return;
      const key = keys.cluster(id);
      await this.core.store.transact(
        [...this.#guard, { key, version }],
        [{ remove: key }, { remove: keys.name(value.name) }],
      );
    }
  }
}
