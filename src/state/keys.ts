/** Everything under `w/` is watched by every controller; task records under `c/` are not. */
export const WATCHED_PREFIX = "w/";
/** Headers of jobs, open ones and those that were over lately. */
export const JOB_HEADER_PREFIX = "w/j/";
/** So that the history's keys are in order. */
const REVISION_DIGITS = 9;
export const keys = {
  claim: (part: number): string => `w/p/${part}`,
  /** Leadership and machine types as the first schema has them; see `schema.ts`. */
  leader: "w/lead",
  node: (name: string): string => `w/n/${name}`,
  /** That others doubt that a controller serves (`src/suspicion`). */
  accusation: (name: string): string => `w/a/${name}`,
  job: (id: string): string => `w/j/${id}`,
  quota: (team: string): string => `w/q/${encodeURIComponent(team)}`,
  summary: (part: number): string => `w/s/${part}`,
  /** Machines that the cloud has confirmed to be gone, by the call that returned them. */
  goneMachines: (call: string): string => `w/g/${call}`,
  types: "w/types",
  schema: "w/schema",
  /** The same two from the second schema on. */
  leader2: "w/2/lead",
  types2: "w/2/types",
  /** That all of this was restored from an image, and what goes for it (`restore-state.ts`). */
  restored: "w/restored",
  /** Which owner of a part has found out all that runs there since. */
  reconciled: (part: number): string => `w/r/${part}`,
  /** All of the configuration that changes while serving (`src/configuration`). */
  configuration: (rest: string): string => `w/c/${rest}`,
  /** Names the newest revision; commits that decide by one depend on its version. */
  configurationHead: "w/c/head",
  configurationEntry: (revision: number): string =>
    `w/c/h/${String(revision).padStart(REVISION_DIGITS, "0")}`,
  configurationPiece: (id: string, number: number): string => `w/c/p/${id}/${number}`,
  /** Whose content a piece belongs to; null for any other key. */
  ownerOfPiece: (key: string): string | null => /^w\/c\/p\/([^/]+)\/\d+$/.exec(key)?.[1] ?? null,
  /** By which revision a controller decides. */
  decision: (name: string): string => `w/d/${name}`,
  /** Archived jobs, in leaves by their last id (`src/archive`); nobody watches them. */
  archive: "a/j/",
  /**
   * Changes with every cancellation, so that a placement depends on one key and not on the header
   * of every job. It sorts before the headers: whoever lists the keys page by page knows every
   * cancellation that its version stands for.
   */
  cancels: "w/cancels",
  /** All that is kept for a part's owner. */
  records: (part: number): string => `c/${part}/`,
  pages: (part: number): string => `c/${part}/p/`,
  page: (part: number, number: number): string => `c/${part}/p/${number}`,
  /** What a chunk brings along from the part that handed it over. */
  handover: (part: number, job: string, index: number): string => `c/${part}/m/${job}/${index}`,
  fence: (part: number): string => `c/${part}/fence`,
};
