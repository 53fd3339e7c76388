import { z } from "zod";
import type { Attachment, Core } from "../../extension/index.js";
import { type Reply, type Route, retryLater } from "../../http/server.js";
import { type JobSpec, MAX_TASKS } from "../../wire/jobs.js";
import { analyze } from "./analyze.js";
import { type Book, isOver } from "./book.js";
import type { Desk } from "./desk.js";
import type { Matcher } from "./matcher.js";
import {
  type ClusterRecord,
  holdOf,
  jobId,
  keys,
  placeOf,
  withHold,
  withRelease,
} from "./records.js";
import type { SubmitSettings } from "./settings.js";
import { countsOf, type JobView, progressOf, viewOf } from "./views.js";

/** Clusters, or jobs, on one page of an answer. */
const PAGE = 100;

const name = z.string().min(1).max(200);
const opening = z.object({
  name,
  team: name,
  user: name,
  title: z.string().max(200).nullish(),
  jobs: z.number().int().min(1).max(1_000_000),
  procs: z.number().int().min(1).max(MAX_TASKS),
  most: z.number().int().min(1).max(MAX_TASKS).nullish(),
  held: z.boolean().nullish(),
});
const some = z.object({
  /** Jobs of the cluster; null for all. */
  jobs: z.array(z.number().int().nonnegative()).max(10_000).nullish(),
  reason: z.string().max(200).nullish(),
});

const bad = (reason: string): Reply => ({ status: 400, body: { error: reason } });
const noJob = bad("no such job of the cluster");
/** Whether some of the jobs are none of the cluster's. */
const strays = (jobs: readonly number[] | null, { jobs: count }: ClusterRecord): boolean =>
  jobs?.some((index) => index >= count) === true;
const missing: Reply = { status: 404, body: { error: "no such cluster" } };

/** What users ask of clusters. Requests may be repeated: each says what should be, not what to do. */
export class SubmitApi {
  constructor(
    readonly core: Core,
    readonly settings: SubmitSettings,
    readonly book: Book,
    readonly desk: Desk,
    readonly matcher: Matcher,
    /** Why no cluster can be taken now, or null. */
    readonly notNow: () => string | null,
  ) {}

  readonly find: NonNullable<Attachment["find"]> = (path) => {
    if (!path.startsWith("/submit/")) return null;
    const steps = path.split("/").slice(2).map(decode);
    const route = (method: Route["method"], run: (body: unknown) => Reply | Promise<Reply>) => ({
      routes: [{ method, run: ({ body }: { body: unknown }) => this.#safely(() => run(body)) }],
      params: [],
    });
    const [what = "", id = "", verb = ""] = steps;
    const number = /^\d{1,15}$/.test(id) ? Number(id) : null;
    if (what === "clusters" && steps.length === 1) return route("POST", (body) => this.#open(body));
    if (what === "clusters" && number !== null) {
      if (verb === "commit") return route("POST", () => this.#commit(number));
      if (verb === "remove") return route("POST", (body) => this.#remove(number, body));
      if (verb === "hold") return route("POST", (body) => this.#hold(number, body));
      if (verb === "release") return route("POST", (body) => this.#release(number, body));
      if (verb === "jobs") return route("GET", () => this.#jobs(number, Number(steps[3] ?? 0)));
    }
    if (what === "queue") return route("GET", () => this.#list(id, Number(verb || 0), false));
    if (what === "history") {
      return route("GET", () =>
        this.#list(id, verb === "" ? Number.POSITIVE_INFINITY : Number(verb), true),
      );
    }
    if (what === "analyze") return route("GET", () => this.#analyze(id));
    return null;
  };

  async #safely(run: () => Reply | Promise<Reply>): Promise<Reply> {
    try {
      return await run();
    } catch (error) {
      this.core.log.debug({ why: String(error) }, "cluster not available");
      return retryLater(503, "state service not available");
    }
  }

  /** Gives out a cluster's number, the same one however often it is asked for under one name. */
  async #open(body: unknown): Promise<Reply> {
    const parsed = opening.safeParse(body);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      return bad(`${issue?.path.join(".") || "body"}: ${issue?.message}`);
    }
    const asked = parsed.data;
    const { store, mirror, clock } = this.core;
    const known = this.book.byName(asked.name);
    if (known !== null) return this.#opened(known, asked);
    if (asked.jobs > this.settings.jobs) {
      return { status: 422, body: { error: `${asked.jobs} jobs; at most ${this.settings.jobs}` } };
    }
    const reason = this.notNow();
    if (reason !== null) return retryLater(503, reason);
    const row = await store.get(keys.name(asked.name));
    if (row !== null) return this.#opened(Number(row.value), asked);
    const last = await store.get(keys.last);
    const id = (typeof last?.value === "number" ? last.value : 0) + 1;
    const record: ClusterRecord = {
      name: asked.name,
      team: asked.team,
      user: asked.user,
      title: asked.title ?? null,
      at: Math.round(clock.wall()),
      jobs: asked.jobs,
      procs: asked.procs,
      state: "open",
      upTo: asked.most == null || asked.jobs === 1 ? null : 0,
      most: asked.most ?? null,
      held: asked.held === true ? { "*": "handed in as held" } : {},
    };
    store.writes.force(3);
    const result = await store.transact(
      [
        { key: keys.name(asked.name), version: 0 },
        { key: keys.last, version: last?.version ?? 0 },
      ],
      [
        { put: keys.name(asked.name), value: id },
        { put: keys.last, value: id },
        { put: keys.cluster(id), value: record },
      ],
    );
    // Another hand-in was faster, or an earlier try of this one came to pass after all.
    if (!result.ok) return retryLater(503, "try again");
    const { revision: version } = result;
    mirror.apply({ key: keys.cluster(id), value: record, version, deleted: false });
    return { status: 201, body: { cluster: id, state: record.state } };
  }

  async #opened(id: number, asked: z.infer<typeof opening>): Promise<Reply> {
    const record = (await this.desk.read(id))?.value;
    if (record === undefined) return { status: 404, body: { error: "that cluster is forgotten" } };
    const same =
      record.team === asked.team && record.jobs === asked.jobs && record.procs === asked.procs;
    if (!same)
      return { status: 409, body: { error: `cluster ${id} was handed in with other jobs` } };
    return { status: 200, body: { cluster: id, state: record.state } };
  }

  /** Takes a cluster whose jobs are all there: one write, after which all of them may start. */
  async #commit(id: number): Promise<Reply> {
    const known = await this.desk.read(id);
    if (known === null) return missing;
    const { value: record } = known;
    if (record.state === "open") {
      for (let index = 0; index < record.jobs; index++) {
        if (!(await this.desk.taken(jobId(id, index)))) {
          return { status: 409, body: { error: `job ${index} of the cluster is not there` } };
        }
      }
    }
    const next = await this.desk.change(id, (now) =>
      now.state === "open" ? { ...now, state: "in" } : null,
    );
    if (next === null) return missing;
    if (next.state === "removed") {
      return { status: 409, body: { error: "the cluster was given up, or removed" } };
    }
    return { status: 200, body: { cluster: id, state: next.state } };
  }

  #wanted(body: unknown): { jobs: number[] | null; reason: string } | null {
    const parsed = some.safeParse(body ?? {});
    if (!parsed.success) return null;
    return { jobs: parsed.data.jobs ?? null, reason: parsed.data.reason ?? "by the user" };
  }

  async #remove(id: number, body: unknown): Promise<Reply> {
    const wanted = this.#wanted(body);
    if (wanted === null) return bad("jobs: a list of numbers");
    const known = await this.desk.read(id);
    if (known === null) return missing;
    const { jobs } = wanted;
    const { value } = known;
    if (strays(jobs, value)) return noJob;
    if (jobs === null) {
      // First the record: whoever finishes this after us, the leader as well, knows it then.
      const next = await this.desk.change(id, (now) =>
        now.state === "removed" ? null : { ...now, state: "removed" },
      );
      if (next === null) return missing;
    } else if (value.state === "open") {
      return { status: 409, body: { error: "the cluster is still being handed in" } };
    }
    for (const index of jobs ?? Array.from({ length: value.jobs }, (_, i) => i)) {
      await this.desk.cancel(jobId(id, index));
    }
    return { status: 200, body: { cluster: id } };
  }

  async #hold(id: number, body: unknown): Promise<Reply> {
    const wanted = this.#wanted(body);
    if (wanted === null) return bad("jobs: a list of numbers");
    const { jobs, reason } = wanted;
    const next = await this.desk.change(id, (now) => {
      if (strays(jobs, now)) return null;
      const held = withHold(now, jobs, reason);
      return JSON.stringify(held) === JSON.stringify(now) ? null : held;
    });
    if (next !== null && strays(jobs, next)) return noJob;
    return next === null ? missing : { status: 200, body: { cluster: id, held: next.held } };
  }

  async #release(id: number, body: unknown): Promise<Reply> {
    const wanted = this.#wanted(body);
    if (wanted === null) return bad("jobs: a list of numbers");
    let refused = false;
    const next = await this.desk.change(id, (now) => {
      const free = withRelease(now, wanted.jobs);
      refused = free === null;
      return free === null || JSON.stringify(free) === JSON.stringify(now) ? null : free;
    });
    if (refused) return bad("held as a whole: release all of it");
    return next === null ? missing : { status: 200, body: { cluster: id, held: next.held } };
  }

  // ---- looking ---------------------------------------------------------------------------

  /** Clusters in the queue from the oldest, or those that are over from the newest. */
  #list(team: string, after: number, over: boolean): Reply {
    if (!this.core.mirror.ready) return retryLater(503, "not ready");
    const ids = [...this.book.clusters.keys()].sort((a, b) => (over ? b - a : a - b));
    const progress = progressOf(this.core.summaries);
    const shown: object[] = [];
    let next: number | null = null;
    for (const id of ids) {
      if (over ? id >= after : id <= after) continue;
      const { value: record } = this.book.clusters.get(id)!;
      if (team !== "*" && record.team !== team) continue;
      const jobs = this.book.jobs(id, record);
      if (isOver(record, jobs) !== over) continue;
      if (shown.length === PAGE) {
        next = Number((shown.at(-1) as { cluster: number }).cluster);
        break;
      }
      const { title, user, at, procs, state } = record;
      const counts = countsOf(record, jobs, progress);
      shown.push({
        cluster: id,
        team: record.team,
        user,
        title,
        at,
        procs,
        state,
        ...counts,
        over: record.over ?? null,
      });
    }
    return { status: 200, body: { clusters: shown, next } };
  }

  #jobs(id: number, from: number): Reply {
    const record = this.book.clusters.get(id)?.value;
    if (record === undefined) return missing;
    const all = this.book.jobs(id, record);
    const progress = progressOf(this.core.summaries);
    const jobs: JobView[] = all
      .slice(from, from + PAGE)
      .map((job) => viewOf(record, job, progress));
    const next = from + PAGE < all.length ? from + PAGE : null;
    return {
      status: 200,
      body: { cluster: id, team: record.team, user: record.user, at: record.at, jobs, next },
    };
  }

  #analyze(id: string): Reply {
    const header = this.book.header(id);
    if (header === null) return { status: 404, body: { error: "no such job" } };
    const { spec, status } = header;
    if (spec === undefined || spec.match === undefined) {
      return {
        status: 422,
        body: { error: `job ${id} is ${status === "open" ? "without expressions" : status}` },
      };
    }
    const place = placeOf(id);
    const record = place === null ? undefined : this.book.clusters.get(place.cluster)?.value;
    const rooms = this.core.summaries.all().flatMap(([, { kinds }]) => kinds);
    const found = analyze(spec, this.matcher, rooms, this.core.types(), this.matcher.zones);
    const held = record === undefined || place === null ? null : holdOf(record, place.index);
    return {
      status: 200,
      body: {
        job: id,
        status,
        started: header.started,
        held,
        handedIn: record === undefined ? true : record.state !== "open",
        waits: waitsFor(this.matcher, spec, this.core.clock.wall()),
        ...found,
      },
    };
  }
}

/** Until when a job's own moment keeps it waiting, seconds since the epoch; null when it does not. */
function waitsFor(matcher: Matcher, spec: JobSpec, wall: number): number | null {
  const value = matcher.jobAd(spec).after;
  return value !== null && value * 1000 > wall ? value : null;
}

function decode(step: string): string {
  try {
    return decodeURIComponent(step);
  } catch {
    return step;
  }
}
