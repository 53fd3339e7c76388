import { JobClient } from "../../client/client.js";
import { RequestClient, RequestRefused } from "../../client/retry.js";
import { bodiesOf, type Cluster } from "../map/cluster.js";
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

/** What partners do with clusters. Every request may be repeated, and is until it is answered. */
export class SubmitClient extends RequestClient {
  /** Jobs go the way that all jobs go. */
  readonly #jobs = new JobClient("", this.clock, this.caller, this.patienceMs);

  /** The cluster's number, the same for every try under one name. */
  async open(
    name: string,
    user: string,
    cluster: Cluster,
  ): Promise<{ cluster: number; state: string }> {
    const { team, procs, most, held, name: title, jobs } = cluster;
    const body = { name, team, user, title, jobs: jobs.length, procs, most, held };
    return this.#ask("POST", "/submit/clusters", body);
  }

  /**
   * Hands a cluster in: its number, then its jobs, of which nothing may start, then the one write
   * that takes it as a whole. After an error the same name may be handed in again; what has been
   * taken already is not taken twice.
   * `plan` is asked for the cluster once its number is known, since a file may contain it.
   */
  async submit(
    name: string,
    user: string,
    first: Cluster,
    plan: (id: number) => Cluster,
  ): Promise<{ cluster: number; taken: Cluster }> {
    const { cluster: id, state } = await this.open(name, user, first);
    const cluster = plan(id);
    if (state === "removed") throw new RequestRefused(`cluster ${id} was given up, or removed`);
    if (state === "in") return { cluster: id, taken: cluster };
    if (cluster.jobs.length !== first.jobs.length || cluster.procs !== first.procs) {
      await this.remove(id, null).catch(() => undefined);
      throw new RequestRefused("which procs there are must not depend on $(ClusterId)");
    }
    try {
      for (const body of bodiesOf(cluster, id)) await this.#jobs.submit(body);
    } catch (error) {
      // One job that can never run: nothing of the cluster shall. The sender is told why.
      if (error instanceof RequestRefused) await this.remove(id, null).catch(() => undefined);
      throw error;
    }
    await this.#ask("POST", `/submit/clusters/${id}/commit`);
    return { cluster: id, taken: cluster };
  }

  remove(cluster: number, jobs: readonly number[] | null): Promise<unknown> {
    return this.#ask("POST", `/submit/clusters/${cluster}/remove`, { jobs });
  }

  hold(cluster: number, jobs: readonly number[] | null, reason: string): Promise<unknown> {
    return this.#ask("POST", `/submit/clusters/${cluster}/hold`, { jobs, reason });
  }

  release(cluster: number, jobs: readonly number[] | null): Promise<unknown> {
    return this.#ask("POST", `/submit/clusters/${cluster}/release`, { jobs });
  }

  queue(team: string | null): Promise<ClusterView[]> {
    return this.#pages<ClusterView>(
      "clusters",
      (after) => `/submit/queue/${teamOf(team)}/${after ?? 0}`,
    );
  }

  /** The newest first; `most` of them. */
  async history(team: string | null, most: number): Promise<ClusterView[]> {
    const found = await this.#pages<ClusterView>(
      "clusters",
      (after) => `/submit/history/${teamOf(team)}${after === null ? "" : `/${after}`}`,
      most,
    );
    return found.slice(0, most);
  }

  async jobs(cluster: number): Promise<ClusterJobs> {
    const path = (after: number): string => `/submit/clusters/${cluster}/jobs/${after}`;
    const all = await this.#ask<ClusterJobs & Page>("GET", path(0));
    for (let { next } = all; next !== null; ) {
      const page = await this.#ask<ClusterJobs & Page>("GET", path(next));
      all.jobs.push(...page.jobs);
      next = page.next;
    }
    return all;
  }

  analyze(job: string): Promise<AnalysisView> {
    return this.#ask("GET", `/submit/analyze/${encodeURIComponent(job)}`);
  }

  async #pages<T>(
    field: string,
    path: (after: number | null) => string,
    most = Number.POSITIVE_INFINITY,
  ): Promise<T[]> {
    const all: T[] = [];
    let after: number | null = null;
    do {
      const page: Page = await this.#ask("GET", path(after));
      all.push(...(page[field] as T[]));
      after = page.next;
    } while (after !== null && all.length < most);
    return all;
  }

  #ask<T>(method: string, path: string, body?: unknown): Promise<T> {
    return this.ask({ method, path, body, optional: "submit files" }, (answer) => answer as T);
  }
}

interface Page {
  next: number | null;
  [field: string]: unknown;
}

const teamOf = (team: string | null): string => (team === null ? "*" : encodeURIComponent(team));
