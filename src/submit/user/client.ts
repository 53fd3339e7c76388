import { JobClient } from "../../client/client.js";
import { RequestClient, RequestRefused } from "../../client/retry.js";
import { type PlannedCluster, submissionBodies } from "../map/cluster.js";
import type { Analysis } from "../site/analyze.js";
import type { JobView, ProcCounts } from "../site/views.js";

export interface ClusterView extends ProcCounts {
  cluster: number;
  team: string;
  user: string;
  title: string | null;
  at: number;
  procs: number;
  state: "open" | "in" | "removed";
  over: number | null;
}

export interface ClusterJobs {
  cluster: number;
  team: string;
  user: string;
  at: number;
  jobs: JobView[];
}

export interface AnalysisView extends Analysis {
  job: string;
  status: string;
  started: boolean;
  held: string | null;
  handedIn: boolean;
  waits: number | null;
}

/** Client of the clusters API. Requests are idempotent and are retried until they are answered. */
export class SubmitClient extends RequestClient {
  /** Jobs of clusters are submitted through the general jobs API. */
  readonly #jobClient = new JobClient("", this.clock, this.caller, this.giveUpAfterMs);

  /**
   * Creates the cluster and returns its number, which is the same for every retry with one name.
   */
  async open(
    name: string,
    user: string,
    cluster: PlannedCluster,
  ): Promise<{ cluster: number; state: string }> {
    const { team, procs, most, held, name: title, jobs } = cluster;
    const body = { name, team, user, title, jobs: jobs.length, procs, most, held };
    return this.#call("POST", "/submit/clusters", body);
  }

  /**
   * Submits a cluster: gets its number, submits its jobs, none of which may start yet, and commits it
   * as a whole with one write. After an error the same name may be submitted again; jobs that were
   * accepted already are not accepted twice.
   * `plan` plans the cluster again once its number is known, since the file may use the number.
   */
  async submit(
    name: string,
    user: string,
    first: PlannedCluster,
    plan: (id: number) => PlannedCluster,
  ): Promise<{ cluster: number; taken: PlannedCluster }> {
    const { cluster: id, state } = await this.open(name, user, first);
    const cluster = plan(id);
    if (state === "removed")
      throw new RequestRefused(`cluster ${id} was removed, or its submission timed out`);
    if (state === "in") return { cluster: id, taken: cluster };
    if (cluster.jobs.length !== first.jobs.length || cluster.procs !== first.procs) {
      await this.remove(id, null).catch(() => undefined);
      throw new RequestRefused("the number of procs or jobs must not depend on $(ClusterId)");
    }
    try {
      for (const body of submissionBodies(cluster, id)) await this.#jobClient.submit(body);
    } catch (error) {
      // A job that can never run: the whole cluster is removed, and the user gets the reason.
      if (error instanceof RequestRefused) await this.remove(id, null).catch(() => undefined);
      throw error;
    }
    await this.#call("POST", `/submit/clusters/${id}/commit`);
    return { cluster: id, taken: cluster };
  }

  remove(cluster: number, jobs: readonly number[] | null): Promise<unknown> {
    return this.#call("POST", `/submit/clusters/${cluster}/remove`, { jobs });
  }

  hold(cluster: number, jobs: readonly number[] | null, reason: string): Promise<unknown> {
    return this.#call("POST", `/submit/clusters/${cluster}/hold`, { jobs, reason });
  }

  release(cluster: number, jobs: readonly number[] | null): Promise<unknown> {
    return this.#call("POST", `/submit/clusters/${cluster}/release`, { jobs });
  }

  queue(team: string | null): Promise<ClusterView[]> {
    return this.#allPages<ClusterView>(
      "clusters",
      (after) => `/submit/queue/${teamPath(team)}/${after ?? 0}`,
    );
  }

  /** At most `most` finished clusters, newest first. */
  async history(team: string | null, most: number): Promise<ClusterView[]> {
    const found = await this.#allPages<ClusterView>(
      "clusters",
      (after) => `/submit/history/${teamPath(team)}${after === null ? "" : `/${after}`}`,
      most,
    );
    return found.slice(0, most);
  }

  async jobs(cluster: number): Promise<ClusterJobs> {
    const path = (after: number): string => `/submit/clusters/${cluster}/jobs/${after}`;
    const all = await this.#call<ClusterJobs & Page>("GET", path(0));
    for (let { next } = all; next !== null; ) {
      const page = await this.#call<ClusterJobs & Page>("GET", path(next));
      all.jobs.push(...page.jobs);
      next = page.next;
    }
    return all;
  }

  analyze(job: string): Promise<AnalysisView> {
    return this.#call("GET", `/submit/analyze/${encodeURIComponent(job)}`);
  }

  async #allPages<T>(
    field: string,
    path: (after: number | null) => string,
    most = Number.POSITIVE_INFINITY,
  ): Promise<T[]> {
    const all: T[] = [];
    let after: number | null = null;
    do {
      const page: Page = await this.#call("GET", path(after));
      all.push(...(page[field] as T[]));
      after = page.next;
    } while (after !== null && all.length < most);
    return all;
  }

  #call<T>(method: string, path: string, body?: unknown): Promise<T> {
    return this.ask({ method, path, body, optional: "submit files" }, (answer) => answer as T);
  }
}

interface Page {
  next: number | null;
  [field: string]: unknown;
}

const teamPath = (team: string | null): string => (team === null ? "*" : encodeURIComponent(team));
