/**
 * What the store keeps of clusters, all of it watched. A cluster's record is written by whichever
 * controller is asked, and by the leader, always on condition of the version it was read at; jobs
 * are the core's headers, under names that begin with the cluster's number.
 */
export const keys = {
  /** The number of the last cluster. */
  last: "w/x/last",
  clusters: "w/x/c/",
  cluster: (id: number): string => `w/x/c/${id}`,
  /** The number of the cluster that a hand-in has got: asking again gives it again. */
  name: (name: string): string => `w/x/k/${encodeURIComponent(name)}`,
};

/** One submit file, from the moment that its number is given out. */
export interface ClusterRecord {
  /** What its sender calls it: the same for every try of one hand-in. */
  name: string;
  team: string;
  user: string;
  title: string | null;
  /** Milliseconds since the epoch. */
  at: number;
  jobs: number;
  procs: number;
  /**
   * Nothing of an `open` cluster may start: its jobs are still being handed in. `in`: taken as a
   * whole. `removed`: all of it goes, also what is not there yet.
   */
  state: "open" | "in" | "removed";
  /** Jobs before this one may start; null for all. */
  upTo: number | null;
  /** Procs that may be placed at a time. */
  most: number | null;
  /** Jobs that are held, with the reason: by index, or `*` for all. */
  held: Record<string, string>;
  /** When it was found to be over. */
  over?: number;
}

export function isCluster(value: unknown): value is ClusterRecord {
  return typeof value === "object" && value !== null && "state" in value && "procs" in value;
}

const JOB = /^wk-c(\d{1,15})\.(\d{1,7})$/;

/** The id of a cluster's job: any controller finds the cluster by it. */
export const jobId = (cluster: number, index: number): string => `wk-c${cluster}.${index}`;

/** The cluster and the index of a job, by its id; null for a job of no cluster. */
export function placeOf(id: string): { cluster: number; index: number } | null {
  // Asked for every job in every pass: most are of no cluster.
  if (!id.startsWith("wk-c")) return null;
  const match = JOB.exec(id);
  return match === null ? null : { cluster: Number(match[1]), index: Number(match[2]) };
}

/** Why a job is held by its cluster's record, or null. */
export const holdOf = (record: ClusterRecord, index: number): string | null =>
  record.held["*"] ?? record.held[index] ?? null;

/** Whether a cluster's job may start, as far as its record goes. */
export const mayStart = (record: ClusterRecord, index: number): boolean =>
  record.state === "in" &&
  (record.upTo === null || index < record.upTo) &&
  holdOf(record, index) === null;

/** Held jobs that a record names one by one at most: beyond that, the whole cluster is held. */
const MOST_HELD = 64;

/** The record with jobs held, or all of them without indices. */
export function withHold(
  record: ClusterRecord,
  indices: readonly number[] | null,
  reason: string,
): ClusterRecord {
  const short = reason.slice(0, 200);
  if (indices === null) return { ...record, held: { "*": short } };
  if (record.held["*"] !== undefined) return record;
  const held = { ...record.held };
  for (const index of indices) held[index] ??= short;
  // Bounded, since a record has to fit a value of the store.
  return Object.keys(held).length > MOST_HELD
    ? { ...record, held: { "*": `${short} (and others)` } }
    : { ...record, held };
}

/** The record with jobs released. Releasing some of a cluster that is held as a whole names the rest. */
export function withRelease(
  record: ClusterRecord,
  indices: readonly number[] | null,
): ClusterRecord | null {
  if (indices === null) return { ...record, held: {} };
  const all = record.held["*"];
  let held = { ...record.held };
  if (all !== undefined) {
    if (record.jobs - indices.length > MOST_HELD) return null;
    held = Object.fromEntries(
      Array.from({ length: record.jobs }, (_, index): [string, string] => [String(index), all]),
    );
  }
  for (const index of indices) delete held[index];
  return { ...record, held };
}
