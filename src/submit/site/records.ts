/**
 * Records of clusters in the state service, all of them watched. A cluster's record is written by
 * the controller that handles a request and by the leader, always on condition of the version that
 * was read. Jobs are headers of the core, with ids that begin with the cluster's number.
 */
export const keys = {
  /** The highest cluster number given out. */
  lastId: "w/x/last",
  clusters: "w/x/c/",
  cluster: (id: number): string => `w/x/c/${id}`,
  /** The cluster number of a submission by its name, so that a retry gets the same number. */
  name: (name: string): string => `w/x/k/${encodeURIComponent(name)}`,
};

/** The cluster of one submit file, created when its number is given out. */
export interface ClusterRecord {
  /** The submission's name, chosen by the client: the same for all its retries. */
  name: string;
  team: string;
  user: string;
  title: string | null;
  /** Milliseconds since the epoch. */
  at: number;
  jobs: number;
  procs: number;
  /**
   * `open`: its jobs are still being submitted and none may start. `in`: committed as a whole.
   * `removed`: all its jobs are cancelled, also those that are submitted later.
   */
  state: "open" | "in" | "removed";
  /** Jobs with a lower index may start; null: all may. */
  upTo: number | null;
  /** Procs that may be placed at the same time; null: any number. */
  most: number | null;
  /** Hold reasons of held jobs by index; `*` holds all jobs. */
  held: Record<string, string>;
  /** When the leader found that no job of it can run any more, milliseconds since the epoch. */
  over?: number;
}

export function isClusterRecord(value: unknown): value is ClusterRecord {
  return typeof value === "object" && value !== null && "state" in value && "procs" in value;
}

const JOB_ID = /^wk-c(\d{1,15})\.(\d{1,7})$/;

/** The id of a cluster's job; any controller can derive the cluster from it. */
export const jobId = (cluster: number, index: number): string => `wk-c${cluster}.${index}`;

/** The cluster number and job index in a job id; null if the job belongs to no cluster. */
export function parseJobId(id: string): { cluster: number; index: number } | null {
  // Called for every job in every scheduling pass, and most jobs belong to no cluster.
  if (!id.startsWith("wk-c")) return null;
  const match = JOB_ID.exec(id);
  return match === null ? null : { cluster: Number(match[1]), index: Number(match[2]) };
}

/** Why a job is held by its cluster's record, or null. */
export const holdReason = (record: ClusterRecord, index: number): string | null =>
  record.held["*"] ?? record.held[index] ?? null;

/** Whether the cluster's record lets a job start. */
export const mayStart = (record: ClusterRecord, index: number): boolean =>
  record.state === "in" &&
  (record.upTo === null || index < record.upTo) &&
  holdReason(record, index) === null;

/** Most jobs a record holds individually; beyond that the whole cluster is held. */
const MAX_HELD_ENTRIES = 64;

/** The record with the given jobs held; null holds all jobs. */
export function withHold(
  record: ClusterRecord,
  indices: readonly number[] | null,
  reason: string,
): ClusterRecord {
  const shortReason = reason.slice(0, 200);
  if (indices === null) return { ...record, held: { "*": shortReason } };
  if (record.held["*"] !== undefined) return record;
  const held = { ...record.held };
  for (const index of indices) held[index] ??= shortReason;
  // Bounded, since the record must fit into a value of the state service.
  return Object.keys(held).length > MAX_HELD_ENTRIES
    ? { ...record, held: { "*": `${shortReason} (and others)` } }
    : { ...record, held };
}

/**
 * The record with the given jobs released; null releases all jobs. If the cluster is held as a
 * whole, the other jobs are then held individually; returns null if those are too many.
 */
export function withRelease(
  record: ClusterRecord,
  indices: readonly number[] | null,
): ClusterRecord | null {
  if (indices === null) return { ...record, held: {} };
  const clusterReason = record.held["*"];
  let held = { ...record.held };
  if (clusterReason !== undefined) {
    if (record.jobs - indices.length > MAX_HELD_ENTRIES) return null;
    held = Object.fromEntries(
      Array.from({ length: record.jobs }, (_, index): [string, string] => [
        String(index),
        clusterReason,
      ]),
    );
  }
  for (const index of indices) delete held[index];
  return { ...record, held };
}
