import type { Core } from "../../extension/index.js";
import { isJobHeader, type JobHeader } from "../../jobs/job-header.js";
import { keys as coreKeys } from "../../state/keys.js";
import { type ClusterRecord, isClusterRecord, jobId, keys, parseJobId } from "./records.js";

export interface Versioned<T> {
  value: T;
  version: number;
}

/** One job of a cluster, with its header if the job has been submitted. */
export interface JobState {
  index: number;
  id: string;
  header: JobHeader | null;
}

/** In-memory index of all clusters, kept up to date only by the watch on the state service. */
export class ClusterIndex {
  readonly clusters = new Map<number, Versioned<ClusterRecord>>();
  /** Clusters whose record or jobs changed since the leader last reconciled them. */
  readonly changed = new Set<number>();
  readonly #idByName = new Map<string, number>();

  constructor(readonly core: Core) {
    core.mirror.on(keys.clusters, ({ key, value, version }) => {
      const id = Number(key.slice(keys.clusters.length));
      if (isClusterRecord(value)) {
        this.changed.add(id);
        this.clusters.set(id, { value, version });
        this.#idByName.set(value.name, id);
        return;
      }
      const known = this.clusters.get(id);
      if (known !== undefined) this.#idByName.delete(known.value.name);
      this.clusters.delete(id);
      this.changed.delete(id);
    });
    core.mirror.on(coreKeys.job("wk-c"), ({ key }) => {
      const jobRef = parseJobId(key.slice(coreKeys.job("").length));
      if (jobRef !== null && this.clusters.has(jobRef.cluster)) this.changed.add(jobRef.cluster);
    });
  }

  idByName(name: string): number | null {
    return this.#idByName.get(name) ?? null;
  }

  /** A job's header as this controller's mirror has it; null if it has none. */
  header(id: string): JobHeader | null {
    const row = this.core.mirror.rows.get(coreKeys.job(id));
    return row !== undefined && isJobHeader(row.value) ? row.value : null;
  }

  jobs(cluster: number, record: ClusterRecord): JobState[] {
    return Array.from({ length: record.jobs }, (_, index) => {
      const id = jobId(cluster, index);
      return { index, id, header: this.header(id) };
    });
  }
}

/** Whether no job of the cluster can run any more. */
export const isClusterFinished = (record: ClusterRecord, jobs: readonly JobState[]): boolean =>
  record.state !== "open" &&
  jobs.every(({ header }) =>
    header === null ? record.state === "removed" : header.status !== "open",
  );
