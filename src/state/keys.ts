/** Everything under `w/` is watched by every controller; task records under `c/` are not. */
export const WATCHED_PREFIX = "w/";
/** Headers of open jobs and of recently finished ones. */
export const JOB_HEADER_PREFIX = "w/j/";
/** Revisions are zero-padded to this width so that the history's keys sort by revision. */
const REVISION_DIGITS = 9;
export const keys = {
  claim: (part: number): string => `w/p/${part}`,
  /** The leader claim in schema 1, like `types`; see `schema.ts`. */
  leader: "w/lead",
  node: (name: string): string => `w/n/${name}`,
  /** Suspicions of other controllers against this one (`src/suspicion`). */
  accusation: (name: string): string => `w/a/${name}`,
  job: (id: string): string => `w/j/${id}`,
  quota: (team: string): string => `w/q/${encodeURIComponent(team)}`,
  summary: (part: number): string => `w/s/${part}`,
  /** Machines that the cloud has confirmed to be gone, by the call that returned them to it. */
  goneMachines: (call: string): string => `w/g/${call}`,
  types: "w/types",
  schema: "w/schema",
  /** Leader claim and machine types from schema 2 on. */
  leader2: "w/2/lead",
  types2: "w/2/types",
  /** Present if the records were restored from an image; says how far that has come (`restore-state.ts`). */
  restored: "w/restored",
  /** The owner of a part that has found out all that runs there since the restore. */
  reconciled: (part: number): string => `w/r/${part}`,
  /** Prefix of the configuration that can change at run time (`src/configuration`). */
  configuration: (rest: string): string => `w/c/${rest}`,
  /** Names the newest revision. A commit based on a revision is conditional on this key's version. */
  configurationHead: "w/c/head",
  configurationEntry: (revision: number): string =>
    `w/c/h/${String(revision).padStart(REVISION_DIGITS, "0")}`,
  configurationPiece: (id: string, number: number): string => `w/c/p/${id}/${number}`,
  /** The id of the content that a piece belongs to; null for any other key. */
  ownerOfPiece: (key: string): string | null => /^w\/c\/p\/([^/]+)\/\d+$/.exec(key)?.[1] ?? null,
  /** The configuration revision that a controller uses. */
  decision: (name: string): string => `w/d/${name}`,
  /** Archived jobs, in leaves keyed by their last id (`src/archive`); not watched. */
  archive: "a/j/",
  /**
   * Written with every cancellation, so that a placement is conditional on this one key and not on
   * the header of every job. It sorts before the headers: a page-by-page listing that has read it
   * and then all headers has every cancellation up to its version.
   */
  cancels: "w/cancels",
  /** Prefix of all records of a part that only its owner reads. */
  records: (part: number): string => `c/${part}/`,
  pages: (part: number): string => `c/${part}/p/`,
  page: (part: number, number: number): string => `c/${part}/p/${number}`,
  /** The state of a chunk at its handover, written by the part that handed it over. */
  handover: (part: number, job: string, index: number): string => `c/${part}/m/${job}/${index}`,
  fence: (part: number): string => `c/${part}/fence`,
};
