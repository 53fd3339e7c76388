import type { Core } from "../../extension/index.js";
import { isHeader, type JobHeader } from "../../jobs/job-header.js";
import { keys as coreKeys } from "../../state/keys.js";
import { type ClusterRecord, isCluster, jobId, keys, placeOf } from "./records.js";

export interface Versioned<T> {
  value: T;
  version: number;
}

/** What can be seen of one job of a cluster. */
export interface JobState {
  index: number;
  id: string;
  header: JobHeader | null;
}

/** All clusters, as the watch tells of them; nothing else writes here. */
export class Book {
  readonly clusters = new Map<number, Versioned<ClusterRecord>>();
  /** Clusters of which something has changed since the leader last looked at them. */
  readonly touched = new Set<number>();
  readonly #byName = new Map<string, number>();

  constructor(readonly core: Core) {
    core.mirror.on(keys.clusters, ({ key, value, version }) => {
      const id = Number(key.slice(keys.clusters.length));
      if (isCluster(value)) {
        this.touched.add(id);
        this.clusters.set(id, { value, version });
        this.#byName.set(value.name, id);
        return;
      }
      const known = this.clusters.get(id);
      if (known !== undefined) this.#byName.delete(known.value.name);
      this.clusters.delete(id);
      this.touched.delete(id);
    });
    core.mirror.on(coreKeys.job("wk-c"), ({ key }) => {
      const place = placeOf(key.slice(coreKeys.job("").length));
      if (place !== null && this.clusters.has(place.cluster)) this.touched.add(place.cluster);
    });
  }

  byName(name: string): number | null {
    return this.#byName.get(name) ?? null;
  }

  /** A job's header, as far as this controller has heard. */
  header(id: string): JobHeader | null {
    const row = this.core.mirror.rows.get(coreKeys.job(id));
    return row !== undefined && isHeader(row.value) ? row.value : null;
  }

  jobs(cluster: number, record: ClusterRecord): JobState[] {
    return Array.from({ length: record.jobs }, (_, index) => {
      const id = jobId(cluster, index);
      return { index, id, header: this.header(id) };
    });
  }
}

/** Whether nothing of a cluster can run any more. */
export const isOver = (record: ClusterRecord, jobs: readonly JobState[]): boolean =>
  record.state !== "open" &&
  jobs.every(({ header }) =>
    header === null ? record.state === "removed" : header.status !== "open",
  );
