import { decodeLeaf } from "../archive/index.js";
import { decodePage, isPage } from "../jobs/chunk-page.js";
import { isJobHeader } from "../jobs/job-header.js";
import { type JobOutcome, outcomeOf } from "../jobs/job-outcome.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import type { Image } from "./collect.js";

export interface Overview {
  revision: number;
  takenAt: string;
  schema: number;
  keys: number;
  /** Jobs by status; finished jobs in the archive are counted as `archived` only. */
  jobs: { open: number; done: number; cancelled: number; archived: number };
  leaves: number;
  /** By part: the number of chunks that have a state, and of placed tasks. */
  parts: Record<string, { chunks: number; placed: number }>;
  /** Number of machines that the cloud has confirmed to be gone. */
  gone: number;
}

/** Counts what an image contains. Unreadable records are not counted; see `checkImage`. */
export function overview(image: Image): Overview {
  const jobs = { open: 0, done: 0, cancelled: 0, archived: 0 };
  const parts: Overview["parts"] = {};
  let leaves = 0;
  let gone = 0;
  for (const [key, { value, version }] of image.rows) {
    if (key.startsWith(JOB_HEADER_PREFIX)) {
      if (isJobHeader(value)) jobs[value.status]++;
    } else if (key.startsWith(keys.archive)) {
      leaves++;
      jobs.archived += entriesOf(key, value, version).length;
    } else if (key.startsWith(keys.goneMachines("")) && Array.isArray(value)) gone += value.length;
    else if (key.startsWith("c/") && isPage(value)) {
      const part = key.split("/")[1]!;
      parts[part] ??= { chunks: 0, placed: 0 };
      for (const { live } of decodePage(value).values()) {
        parts[part].chunks++;
        parts[part].placed += live.length;
      }
    }
  }
  const schema = image.rows.get(keys.schema)?.value as { version?: number } | undefined;
  return {
    revision: image.revision,
    takenAt: new Date(image.takenAt).toISOString(),
    schema: schema?.version ?? 1,
    keys: image.rows.size,
    jobs,
    leaves,
    parts,
    gone,
  };
}

function entriesOf(
  key: string,
  value: unknown,
  version: number,
): (readonly [string, JobOutcome])[] {
  try {
    return decodeLeaf({ key, value, version }).entries;
  } catch {
    return [];
  }
}

/** Every finished job of an image with its final state, in order of id. */
export function* finishedJobs(image: Image): Generator<readonly [id: string, outcome: JobOutcome]> {
  const leaves: string[] = [];
  const unarchived: (readonly [id: string, outcome: JobOutcome])[] = [];
  for (const [key, { value }] of image.rows) {
    if (key.startsWith(keys.archive)) leaves.push(key);
    else if (key.startsWith(JOB_HEADER_PREFIX) && isJobHeader(value)) {
      const outcome = outcomeOf(value);
      if (outcome !== null) unarchived.push([key.slice(JOB_HEADER_PREFIX.length), outcome]);
    }
  }
  unarchived.sort(([a], [b]) => (a < b ? -1 : 1));
  let next = 0;
  // One leaf at a time, because there may be millions of jobs.
  for (const key of leaves.sort()) {
    const { value, version } = image.rows.get(key)!;
    for (const entry of entriesOf(key, value, version)) {
      while (next < unarchived.length && unarchived[next]![0] < entry[0]) yield unarchived[next++]!;
      yield entry;
    }
  }
  yield* unarchived.slice(next);
}
