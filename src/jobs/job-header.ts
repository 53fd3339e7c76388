import type { JobSpec, JobStatus } from "../wire/jobs.js";

/**
 * The stored record of a job. `owners` has one character per chunk of tasks: the part that runs it
 * (base 36), `x` when all its tasks have completed, or `-` when the job is cancelled and the part
 * has released it. Any controller may change a header, but only on condition that its version is
 * still the one that was read, so the first of `done` and `cancelled` is final.
 */
export interface JobHeader {
  status: "open" | "done" | "cancelled";
  /** Absent once the job is done, or cancelled and fully released. */
  spec?: JobSpec;
  owners: string;
  chunkSize: number;
  /** Wall clock time of acceptance, milliseconds. */
  at: number;
  started: boolean;
  /** How often one of its chunks was handed over to another part. */
  moves: number;
  tasks: number;
  /** Set once the job is finished: its team, and when it finished. Absent in records of 0.1.0. */
  team?: string;
  over?: number;
}

export const FINISHED = "x";
/** Owner character of a chunk of a cancelled job that its part has released. */
export const RELEASED = "-";
export const partChar = (part: number): string => part.toString(36);

export function withOwner(owners: string, chunk: number, owner: string): string {
  return owners.slice(0, chunk) + owner + owners.slice(chunk + 1);
}

export const allFinished = (owners: string): boolean => /^x*$/.test(owners);

/** Number of chunks that are not finished. */
export function unfinishedChunks(owners: string): number {
  let unfinished = 0;
  for (const owner of owners) if (owner !== FINISHED) unfinished++;
  return unfinished;
}

export function doneHeader(header: JobHeader, now: number): JobHeader {
  const { spec, ...rest } = header;
  const team = spec === undefined ? {} : { team: spec.team };
  return { ...rest, ...team, status: "done", owners: "", over: Math.round(now) };
}

/** A cancelled job keeps its owners, which still have tasks to stop and records to delete. */
export const cancelledHeader = (header: JobHeader, now: number): JobHeader => ({
  ...header,
  status: "cancelled",
  over: Math.round(now),
});

/**
 * The header after a part has released a cancelled job. Once all parts have released it, no task
 * needs the specification any more, and it is removed.
 */
export function withPartReleased(header: JobHeader, part: number): JobHeader {
  const owners = header.owners.replaceAll(partChar(part), RELEASED);
  if (!isFullyReleased({ ...header, owners })) return { ...header, owners };
  const { spec, ...rest } = header;
  return { ...rest, owners, ...(spec === undefined ? {} : { team: spec.team }) };
}

/** Whether a job is finished and all parts have released it. */
export const isFullyReleased = ({ status, owners }: JobHeader): boolean =>
  status !== "open" && /^[x-]*$/.test(owners);

/** Number of tasks in finished chunks. */
export function finishedTasks({ status, owners, chunkSize, tasks }: JobHeader): number {
  if (status === "done") return tasks;
  let done = 0;
  for (let i = 0; i < owners.length; i++) {
    if (owners[i] === FINISHED) done += Math.min(chunkSize, tasks - i * chunkSize);
  }
  return done;
}

export function statusForUsers(header: JobHeader): JobStatus {
  if (header.status !== "open") return header.status;
  return header.started ? "running" : "pending";
}

/** Whether all tasks must be in one part: gangs, and jobs with rules about all of their tasks. */
export const requiresSinglePart = (spec: JobSpec): boolean =>
  spec.kind === "gang" || spec.oneZone || spec.spread || (spec.match?.atOnce ?? null) !== null;

export function isJobHeader(value: unknown): value is JobHeader {
  return typeof value === "object" && value !== null && "status" in value && "owners" in value;
}

/** Why a value is not a valid header, or null. The type guard above only checks that it is a header. */
export function headerError(value: unknown): string | null {
  if (!isJobHeader(value)) return "not a job header";
  const { status, owners, tasks, chunkSize, spec } = value;
  if (status !== "open" && status !== "done" && status !== "cancelled")
    return "status is not open, done or cancelled";
  if (!Number.isInteger(tasks) || tasks < 1) return `${tasks} tasks, expected a positive integer`;
  if (!Number.isInteger(chunkSize) || chunkSize < 1)
    return `chunk size of ${chunkSize} tasks, expected a positive integer`;
  if (status === "done") return owners === "" ? null : "job is done, but parts have chunks of it";
  if (!/^[0-9a-z-]*$/.test(owners))
    return `owners contain a character that is not 0-9, a-z or -: ${owners}`;
  const chunks = Math.ceil(tasks / chunkSize);
  if (owners.length !== chunks)
    return `${owners.length} owners of ${chunks} chunks, expected one per chunk`;
  if (status === "open" && spec == null) return "job is open, but without its specification";
  if (status === "open" && owners.includes("-"))
    return "job is open, but a part has released a chunk of it";
  return null;
}

/** Chooses the number of tasks per chunk: few chunks, each small enough for one stored value. */
export function chooseChunkSize(tasks: number, parts: number, valueBytes: number): number {
  // An allocation takes up to 32 bytes of the record. A quarter is left for the rest.
  const maxByAllocationBytes = Math.floor((valueBytes * 0.75) / 32);
  // If values are small: several tasks share a machine name (16 bytes per task, 512 for the rest),
  // and tasks that do not fit wait to be placed (`Ledger.holds`).
  const maxWithSharedPages = Math.min(96, Math.floor((valueBytes - 512) / 16));
  const maxTasks = Math.max(1, maxByAllocationBytes, maxWithSharedPages);
  return Math.min(maxTasks, Math.max(1, Math.ceil(tasks / (2 * parts))));
}
