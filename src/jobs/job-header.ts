import type { JobSpec, JobStatus } from "../wire/jobs.js";

/**
 * One per job, in the store. `owners` has one character a chunk of tasks: the part that runs it
 * (base 36), or `x` when all its tasks have completed. Any controller may change a header, always
 * on condition of the version it has read; so the first of `done` and `cancelled` wins.
 */
export interface JobHeader {
  status: "open" | "done" | "cancelled";
  /** Absent once the job is over. */
  spec?: JobSpec;
  owners: string;
  chunkSize: number;
  /** Time of day of acceptance, milliseconds. */
  at: number;
  started: boolean;
  /** How often chunks of it have changed parts. */
  moves: number;
  tasks: number;
  /** Once it is over: whose it was, and the time of day. Absent in records of 0.1.0. */
  team?: string;
  over?: number;
}

export const FINISHED = "x";
/** In place of a part that has nothing more to do with a chunk of a cancelled job. */
export const RELEASED = "-";
export const partChar = (part: number): string => part.toString(36);

export function withOwner(owners: string, chunk: number, owner: string): string {
  return owners.slice(0, chunk) + owner + owners.slice(chunk + 1);
}

export const allFinished = (owners: string): boolean => /^x*$/.test(owners);

/** How many chunks are not finished. */
export function unfinishedChunks(owners: string): number {
  let left = 0;
  for (const owner of owners) if (owner !== FINISHED) left++;
  return left;
}

export function doneHeader(header: JobHeader, wall: number): JobHeader {
  const { spec, ...rest } = header;
  const team = spec === undefined ? {} : { team: spec.team };
  return { ...rest, ...team, status: "done", owners: "", over: Math.round(wall) };
}

/** A cancelled job keeps its owners: they still have tasks to stop and records to delete. */
export const cancelledHeader = (header: JobHeader, wall: number): JobHeader => ({
  ...header,
  status: "cancelled",
  over: Math.round(wall),
});

/** A cancelled job of which a part has nothing left; once no part has, nothing is run by its spec. */
export function withPartReleased(header: JobHeader, part: number): JobHeader {
  const owners = header.owners.replaceAll(partChar(part), RELEASED);
  if (!isFullyReleased({ ...header, owners })) return { ...header, owners };
  const { spec, ...rest } = header;
  return { ...rest, owners, ...(spec === undefined ? {} : { team: spec.team }) };
}

/** Whether a job is over and no part has anything of it any more. */
export const isFullyReleased = ({ status, owners }: JobHeader): boolean =>
  status !== "open" && /^[x-]*$/.test(owners);

/** Tasks in the chunks that are finished. */
export function finishedTasks({ status, owners, chunkSize, tasks }: JobHeader): number {
  if (status === "done") return tasks;
  let done = 0;
  for (let i = 0; i < owners.length; i++) {
    if (owners[i] === FINISHED) done += Math.min(chunkSize, tasks - i * chunkSize);
  }
  return done;
}

export function shownStatus(header: JobHeader): JobStatus {
  if (header.status !== "open") return header.status;
  return header.started ? "running" : "pending";
}

/** Whether all tasks have to be in one part: gangs, and rules about all tasks of a job. */
export const requiresSinglePart = (spec: JobSpec): boolean =>
  spec.kind === "gang" || spec.oneZone || spec.spread || (spec.match?.atOnce ?? null) !== null;

export function isHeader(value: unknown): value is JobHeader {
  return typeof value === "object" && value !== null && "status" in value && "owners" in value;
}

/** Why a value cannot be a header, or null; `isHeader` only tells it from other records. */
export function headerError(value: unknown): string | null {
  if (!isHeader(value)) return "not a header";
  const { status, owners, tasks, chunkSize, spec } = value;
  if (status !== "open" && status !== "done" && status !== "cancelled") return "an unknown status";
  if (!Number.isInteger(tasks) || tasks < 1) return `${tasks} tasks`;
  if (!Number.isInteger(chunkSize) || chunkSize < 1) return `chunks of ${chunkSize} tasks`;
  if (status === "done") return owners === "" ? null : "done, and yet parts have chunks of it";
  if (!/^[0-9a-z-]*$/.test(owners)) return `owners that are no parts: ${owners}`;
  const chunks = Math.ceil(tasks / chunkSize);
  if (owners.length !== chunks) return `${owners.length} owners of ${chunks} chunks`;
  if (status === "open" && spec == null) return "open without its specification";
  if (status === "open" && owners.includes("-")) return "open, and yet a part has given it up";
  return null;
}

/** How many tasks one chunk holds: few chunks, each of which fits a value of the store. */
export function chooseChunkSize(tasks: number, parts: number, valueBytes: number): number {
  // A live task takes up to 32 bytes of its record, which leaves a quarter for the rest.
  const whole = Math.floor((valueBytes * 0.75) / 32);
  // Small values: several tasks share a machine's name, and those that do not fit wait (`Ledger.holds`).
  const shared = Math.min(96, Math.floor((valueBytes - 512) / 16));
  const most = Math.max(1, whole, shared);
  return Math.min(most, Math.max(1, Math.ceil(tasks / (2 * parts))));
}
