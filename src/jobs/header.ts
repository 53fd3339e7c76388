import type { JobSpec, JobStatus } from "../wire/jobs.js";

/**
 * One per job, in the store. `owners` has one character a chunk of tasks: the part that runs it
 * (base 36), or `x` when all its tasks have completed. Any controller may change a header, always
 * on condition of the version it has read; so the first of `done` and `cancelled` wins.
 */
export interface Header {
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
}

export const FINISHED = "x";
export const partChar = (part: number): string => part.toString(36);

export function withOwner(owners: string, chunk: number, owner: string): string {
  return owners.slice(0, chunk) + owner + owners.slice(chunk + 1);
}

export const allFinished = (owners: string): boolean => /^x*$/.test(owners);

/** How many chunks are not finished. */
export function chunksLeft(owners: string): number {
  let left = 0;
  for (const owner of owners) if (owner !== FINISHED) left++;
  return left;
}

export function finalHeader(header: Header, status: "done" | "cancelled"): Header {
  // A cancelled job keeps its owners: they still have tasks to stop and records to delete.
  const { spec: _spec, ...rest } = header;
  return status === "done" ? { ...rest, status, owners: "" } : { ...header, status };
}

export function shownStatus(header: Header): JobStatus {
  if (header.status !== "open") return header.status;
  return header.started ? "running" : "pending";
}

/** Whether all tasks have to be in one part: gangs, and rules about all tasks of a job. */
export const undivided = (spec: JobSpec): boolean =>
  spec.kind === "gang" || spec.oneZone || spec.spread || (spec.match?.atOnce ?? null) !== null;

export function isHeader(value: unknown): value is Header {
  return typeof value === "object" && value !== null && "status" in value && "owners" in value;
}

/** How many tasks one chunk holds: few chunks, each of which fits a value of the store. */
export function chunkSizeFor(tasks: number, parts: number, valueBytes: number): number {
  // A live task takes up to 32 bytes of its record, which leaves a quarter for the rest.
  const most = Math.max(1, Math.floor((valueBytes * 0.75) / 32));
  return Math.min(most, Math.max(1, Math.ceil(tasks / (2 * parts))));
}
