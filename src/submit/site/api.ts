import { z } from "zod";
import type { Attachment, Core } from "../../extension/index.js";
import { type Reply, type Route, retryLater } from "../../http/server.js";
import { type JobSpec, MAX_TASKS } from "../../wire/jobs.js";
import { analyze } from "./analyze.js";
import { type ClusterIndex, isClusterFinished } from "./cluster-index.js";
import type { ClusterStore } from "./cluster-store.js";
import type { Matcher } from "./matcher.js";
import {
  type ClusterRecord,
  holdReason,
  jobId,
  keys,
  parseJobId,
  withHold,
  withRelease,
} from "./records.js";
import type { SubmitSettings } from "./settings.js";
import { clusterCounts, type JobView, jobView, progressOf } from "./views.js";

/** Clusters or jobs per page of a response. */
const PAGE_SIZE = 100;

const name = z.string().min(1).max(200);
const openRequest = z.object({
  name,
  team: name,
  user: name,
  title: z.string().max(200).nullish(),
  jobs: z.number().int().min(1).max(1_000_000),
  procs: z.number().int().min(1).max(MAX_TASKS),
  most: z.number().int().min(1).max(MAX_TASKS).nullish(),
  held: z.boolean().nullish(),
});
const jobSelection = z.object({
  /** Indices of jobs of the cluster; null for all jobs. */
  jobs: z.array(z.number().int().nonnegative()).max(10_000).nullish(),
  reason: z.string().max(200).nullish(),
});

const badRequest = (reason: string): Reply => ({ status: 400, body: { error: reason } });
const noSuchJob = badRequest("no such job of the cluster");
/** Whether a selected index is beyond the cluster's jobs. */
const hasUnknownJobs = (jobs: readonly number[] | null, { jobs: count }: ClusterRecord): boolean =>
  jobs?.some((index) => index >= count) === true;
const noSuchCluster: Reply = { status: 404, body: { error: "no such cluster" } };

/** HTTP API of clusters. All requests are idempotent and may be repeated. */
export class SubmitApi {
  constructor(
    readonly core: Core,
    readonly settings: SubmitSettings,
    readonly clusterIndex: ClusterIndex,
    readonly clusterStore: ClusterStore,
    readonly matcher: Matcher,
    /** Why no cluster can be accepted now, or null. */
    readonly unavailableReason: () => string | null,
  ) {}

  readonly find: NonNullable<Attachment["find"]> = (path) => {
    if (!path.startsWith("/submit/")) return null;
    const steps = path.split("/").slice(2).map(decode);
    const route = (method: Route["method"], run: (body: unknown) => Reply | Promise<Reply>) => ({
      routes: [
        { method, run: ({ body }: { body: unknown }) => this.#orUnavailable(() => run(body)) },
      ],
      params: [],
    });
    const [resource = "", id = "", verb = ""] = steps;
    const number = /^\d{1,15}$/.test(id) ? Number(id) : null;
    if (resource === "clusters" && steps.length === 1)
      return route("POST", (body) => this.#open(body));
    if (resource === "clusters" && number !== null) {
      if (verb === "commit") return route("POST", () => this.#commit(number));
      if (verb === "remove") return route("POST", (body) => this.#remove(number, body));
      if (verb === "hold") return route("POST", (body) => this.#hold(number, body));
      if (verb === "release") return route("POST", (body) => this.#release(number, body));
      if (verb === "jobs") return route("GET", () => this.#jobs(number, Number(steps[3] ?? 0)));
    }
    if (resource === "queue") return route("GET", () => this.#list(id, Number(verb || 0), false));
    if (resource === "history") {
      return route("GET", () =>
        this.#list(id, verb === "" ? Number.POSITIVE_INFINITY : Number(verb), true),
      );
    }
    if (resource === "analyze") return route("GET", () => this.#analyze(id));
    return null;
  };

  async #orUnavailable(run: () => Reply | Promise<Reply>): Promise<Reply> {
    try {
      return await run();
    } catch (error) {
      this.core.log.debug({ error: String(error) }, "request on clusters failed; answering 503");
      return retryLater(503, "state service not available");
    }
  }

  /**
   * Creates a cluster and returns its number; repeated requests with the same name return the same
   * number.
   */
  async #open(body: unknown): Promise<Reply> {
    const parsed = openRequest.safeParse(body);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      return badRequest(`${issue?.path.join(".") || "body"}: ${issue?.message}`);
    }
    const request = parsed.data;
    const { store, mirror, clock } = this.core;
    const known = this.clusterIndex.idByName(request.name);
    if (known !== null) return this.#replyForExisting(known, request);
    if (request.jobs > this.settings.maxJobs) {
      return {
        status: 422,
        body: { error: `${request.jobs} jobs; at most ${this.settings.maxJobs}` },
      };
    }
    const reason = this.unavailableReason();
    if (reason !== null) return retryLater(503, reason);
    const row = await store.get(keys.name(request.name));
    if (row !== null) return this.#replyForExisting(Number(row.value), request);
    const last = await store.get(keys.lastId);
    const id = (typeof last?.value === "number" ? last.value : 0) + 1;
    const record: ClusterRecord = {
      name: request.name,
      team: request.team,
      user: request.user,
      title: request.title ?? null,
      at: Math.round(clock.wall()),
      jobs: request.jobs,
      procs: request.procs,
      state: "open",
      upTo: request.most == null || request.jobs === 1 ? null : 0,
      most: request.most ?? null,
      held: request.held === true ? { "*": "handed in as held" } : {},
    };
    store.writes.force(3);
    const result = await store.transact(
      [
        { key: keys.name(request.name), version: 0 },
        { key: keys.lastId, version: last?.version ?? 0 },
      ],
      [
        { put: keys.name(request.name), value: id },
        { put: keys.lastId, value: id },
        { put: keys.cluster(id), value: record },
      ],
    );
    // A concurrent submission got the number, or an earlier attempt of this one succeeded.
    if (!result.ok) return retryLater(503, "try again");
    const { revision: version } = result;
    mirror.apply({ key: keys.cluster(id), value: record, version, deleted: false });
    return { status: 201, body: { cluster: id, state: record.state } };
  }

  async #replyForExisting(id: number, expected: z.infer<typeof openRequest>): Promise<Reply> {
    const record = (await this.clusterStore.read(id))?.value;
    if (record === undefined)
      return { status: 404, body: { error: "that cluster is finished and its record deleted" } };
    const same =
      record.team === expected.team &&
      record.jobs === expected.jobs &&
      record.procs === expected.procs;
    if (!same)
      return {
        status: 409,
        body: {
          error: `cluster ${id} was submitted under this name with a different team or number of jobs or procs`,
        },
      };
    return { status: 200, body: { cluster: id, state: record.state } };
  }

  /** Commits a cluster once all its jobs are submitted. One write lets all of them start. */
  async #commit(id: number): Promise<Reply> {
    const known = await this.clusterStore.read(id);
    if (known === null) return noSuchCluster;
    const { value: record } = known;
    if (record.state === "open") {
      for (let index = 0; index < record.jobs; index++) {
        if (!(await this.clusterStore.isSubmitted(jobId(id, index)))) {
          return {
            status: 409,
            body: { error: `job ${index} of the cluster has not been submitted` },
          };
        }
      }
    }
    const next = await this.clusterStore.update(id, (now) =>
      now.state === "open" ? { ...now, state: "in" } : null,
    );
    if (next === null) return noSuchCluster;
    if (next.state === "removed") {
      return {
        status: 409,
        body: { error: "the cluster was removed, or its submission timed out" },
      };
    }
    return { status: 200, body: { cluster: id, state: next.state } };
  }

  #parseSelection(body: unknown): { jobs: number[] | null; reason: string } | null {
    const parsed = jobSelection.safeParse(body ?? {});
    if (!parsed.success) return null;
    return { jobs: parsed.data.jobs ?? null, reason: parsed.data.reason ?? "by the user" };
  }

  async #remove(id: number, body: unknown): Promise<Reply> {
    const selection = this.#parseSelection(body);
    if (selection === null) return badRequest("jobs: a list of numbers");
    const known = await this.clusterStore.read(id);
    if (known === null) return noSuchCluster;
    const { jobs } = selection;
    const { value } = known;
    if (hasUnknownJobs(jobs, value)) return noSuchJob;
    if (jobs === null) {
      // The record first, so that the leader or a retried request can finish the removal.
      const next = await this.clusterStore.update(id, (now) =>
        now.state === "removed" ? null : { ...now, state: "removed" },
      );
      if (next === null) return noSuchCluster;
    } else if (value.state === "open") {
      return {
        status: 409,
        body: { error: "the cluster is still being submitted; remove it as a whole" },
      };
    }
    for (const index of jobs ?? Array.from({ length: value.jobs }, (_, i) => i)) {
      await this.clusterStore.cancel(jobId(id, index));
    }
    return { status: 200, body: { cluster: id } };
  }

  async #hold(id: number, body: unknown): Promise<Reply> {
    const selection = this.#parseSelection(body);
    if (selection === null) return badRequest("jobs: a list of numbers");
    const { jobs, reason } = selection;
    const next = await this.clusterStore.update(id, (now) => {
      if (hasUnknownJobs(jobs, now)) return null;
      const held = withHold(now, jobs, reason);
      return JSON.stringify(held) === JSON.stringify(now) ? null : held;
    });
    if (next !== null && hasUnknownJobs(jobs, next)) return noSuchJob;
    return next === null ? noSuchCluster : { status: 200, body: { cluster: id, held: next.held } };
  }

  async #release(id: number, body: unknown): Promise<Reply> {
    const selection = this.#parseSelection(body);
    if (selection === null) return badRequest("jobs: a list of numbers");
    let tooManyToName = false;
    const next = await this.clusterStore.update(id, (now) => {
      const released = withRelease(now, selection.jobs);
      tooManyToName = released === null;
      return released === null || JSON.stringify(released) === JSON.stringify(now)
        ? null
        : released;
    });
    if (tooManyToName)
      return badRequest(
        "the cluster is held as a whole and has too many jobs to release some: release all of it",
      );
    return next === null ? noSuchCluster : { status: 200, body: { cluster: id, held: next.held } };
  }

  // ---- queries ---------------------------------------------------------------------------

  /** Clusters in the queue, oldest first, or finished clusters, newest first. */
  #list(team: string, after: number, over: boolean): Reply {
    if (!this.core.mirror.ready) return retryLater(503, "not ready");
    const ids = [...this.clusterIndex.clusters.keys()].sort((a, b) => (over ? b - a : a - b));
    const progress = progressOf(this.core.summaries);
    const shown: object[] = [];
    let next: number | null = null;
    for (const id of ids) {
      if (over ? id >= after : id <= after) continue;
      const { value: record } = this.clusterIndex.clusters.get(id)!;
      if (team !== "*" && record.team !== team) continue;
      const jobs = this.clusterIndex.jobs(id, record);
      if (isClusterFinished(record, jobs) !== over) continue;
      if (shown.length === PAGE_SIZE) {
        next = Number((shown.at(-1) as { cluster: number }).cluster);
        break;
      }
      const { title, user, at, procs, state } = record;
      const counts = clusterCounts(record, jobs, progress);
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
    const record = this.clusterIndex.clusters.get(id)?.value;
    if (record === undefined) return noSuchCluster;
    const all = this.clusterIndex.jobs(id, record);
    const progress = progressOf(this.core.summaries);
    const jobs: JobView[] = all
      .slice(from, from + PAGE_SIZE)
      .map((job) => jobView(record, job, progress));
    const next = from + PAGE_SIZE < all.length ? from + PAGE_SIZE : null;
    return {
      status: 200,
      body: { cluster: id, team: record.team, user: record.user, at: record.at, jobs, next },
    };
  }

  #analyze(id: string): Reply {
    const header = this.clusterIndex.header(id);
    if (header === null) return { status: 404, body: { error: "no such job" } };
    const { spec, status } = header;
    if (spec === undefined || spec.match === undefined) {
      return {
        status: 422,
        body: { error: `job ${id} is ${status === "open" ? "without expressions" : status}` },
      };
    }
    const jobRef = parseJobId(id);
    const record =
      jobRef === null ? undefined : this.clusterIndex.clusters.get(jobRef.cluster)?.value;
    const capacities = this.core.summaries.all().flatMap(([, { kinds }]) => kinds);
    const analysis = analyze(spec, this.matcher, capacities, this.core.types(), this.matcher.zones);
    const held = record === undefined || jobRef === null ? null : holdReason(record, jobRef.index);
    return {
      status: 200,
      body: {
        job: id,
        status,
        started: header.started,
        held,
        handedIn: record === undefined ? true : record.state !== "open",
        waits: deferredUntilS(this.matcher, spec, this.core.clock.wall()),
        ...analysis,
      },
    };
  }
}

/** When a deferred job may start, seconds since the epoch; null if it need not wait. */
function deferredUntilS(matcher: Matcher, spec: JobSpec, wallMs: number): number | null {
  const value = matcher.jobAd(spec).deferredUntilS;
  return value !== null && value * 1000 > wallMs ? value : null;
}

function decode(step: string): string {
  try {
    return decodeURIComponent(step);
  } catch {
    return step;
  }
}
