import type { ChunkState } from "../jobs/chunk.js";
import { encodePage, readPage } from "../jobs/chunk-page.js";
import { isJobHeader, type JobHeader } from "../jobs/job-header.js";
import type { SliceRecord } from "../quota/slices.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import { type CheckOptions, checkImage, chunkFault, type Finding } from "./check.js";
import type { Image } from "./collect.js";

export interface RepairResult {
  image: Image;
  /** What was repaired, by key. */
  repairs: Finding[];
  /** Findings not repairable without guessing; the image can be restored only if there are none. */
  remaining: Finding[];
}

/**
 * Repairs an image so that it can be restored: removes invalid chunk states and recomputes invalid
 * slices. A chunk without a state starts from the beginning. That is safe: after a restore nothing is
 * placed until every task without a record is gone, and the platform keeps the results of completed
 * tasks. Headers, archive leaves and the schema are not changed, because their content cannot be
 * reconstructed. A pure function.
 */
export function repairImage(image: Image, options: CheckOptions = {}): RepairResult {
  const rows: Image["rows"] = new Map(image.rows);
  const repairs: Finding[] = [];
  const addRepair = (key: string, problem: string): void => {
    repairs.push({ key, problem });
  };
  const headers = headersOf(rows);
  const records = chunkRecordsOf(rows, addRepair);
  const faultOf = ({ part }: ChunkRecord, name: string, state: ChunkState): string | null =>
    chunkFault(headers, part, name, state);
  const duplicates = duplicateChunksOf(records, faultOf);
  for (const record of records) {
    const { key, states } = record;
    const valid = [...states].filter(([name, state]) => {
      const duplicate = record.isPage && duplicates.has(name);
      const fault =
        faultOf(record, name, state) ?? (duplicate ? "the chunk is in two pages" : null);
      if (fault !== null) addRepair(key, `${name}: ${fault}; removed the chunk's state`);
      return fault === null;
    });
    if (valid.length === states.size) continue;
    if (valid.length === 0) rows.delete(key);
    else rows.set(key, { value: encodePage(valid), version: rows.get(key)!.version });
  }
  for (const key of rows.keys()) {
    const fence = /^c\/\d+\/fence$/.test(key);
    if (!fence || /^\d+\.\d+$/.test(String(rows.get(key)!.value))) continue;
    // The part's owner writes a new one with its first commit.
    rows.delete(key);
    addRepair(key, "not a valid fence record; removed the key");
  }
  repairSlices(image, rows, headers, options, addRepair);
  const repaired = { ...image, rows };
  return { image: repaired, repairs, remaining: checkImage(repaired, options) };
}

type AddRepair = (key: string, problem: string) => void;

function headersOf(rows: Image["rows"]): Map<string, JobHeader> {
  const headers = new Map<string, JobHeader>();
  for (const [key, { value }] of rows) {
    if (key.startsWith(JOB_HEADER_PREFIX) && isJobHeader(value))
      headers.set(key.slice(JOB_HEADER_PREFIX.length), value);
  }
  return headers;
}

interface ChunkRecord {
  key: string;
  part: number;
  /** Whether it is a page; otherwise a handover record, which came with a chunk from another part. */
  isPage: boolean;
  states: Map<string, ChunkState>;
}

function chunkRecordsOf(rows: Image["rows"], addRepair: AddRepair): ChunkRecord[] {
  const records: ChunkRecord[] = [];
  for (const [key, { value }] of rows) {
    const match = /^c\/(\d+)\/([pm])\//.exec(key);
    if (match === null) continue;
    const states = readPage(value);
    if (states === null) {
      rows.delete(key);
      addRepair(key, "not a valid page record; removed the key");
    } else records.push({ key, part: Number(match[1]), isPage: match[2] === "p", states });
  }
  return records;
}

/** Chunks that are in more than one page: which state is right cannot be determined. */
function duplicateChunksOf(
  records: readonly ChunkRecord[],
  faultOf: (record: ChunkRecord, name: string, state: ChunkState) => string | null,
): Set<string> {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const record of records) {
    for (const [name, state] of record.isPage ? record.states : []) {
      if (faultOf(record, name, state) !== null) continue;
      if (seen.has(name)) duplicates.add(name);
      seen.add(name);
    }
  }
  return duplicates;
}

/**
 * Replaces invalid slices by what each part's placed tasks use, and no more: their sum was within the
 * limit, and parts can acquire the rest of the limit again.
 */
function repairSlices(
  image: Image,
  rows: Image["rows"],
  headers: ReadonlyMap<string, JobHeader>,
  options: CheckOptions,
  addRepair: AddRepair,
): void {
  const prefix = keys.quota("");
  const sliceFindings = checkImage(image, options).filter(({ key }) => key.startsWith(prefix));
  for (const key of new Set(sliceFindings.map((finding) => finding.key))) {
    const team = decodeURIComponent(key.slice(prefix.length));
    const slices: SliceRecord = {};
    for (const [name, { value }] of rows) {
      const part = /^c\/(\d+)\/[pm]\//.exec(name)?.[1];
      if (part === undefined) continue;
      for (const [chunk, { live }] of readPage(value) ?? []) {
        const spec = headers.get(chunk.slice(0, chunk.lastIndexOf("/")))?.spec;
        if (spec?.team !== team || live.length === 0) continue;
        const [cpus, gpus] = slices[Number(part)] ?? [0, 0];
        const { cpus: c = 0, gpus: g = 0 } = spec;
        slices[Number(part)] = [cpus + live.length * c, gpus + live.length * g];
      }
    }
    rows.set(key, { value: slices, version: rows.get(key)!.version });
    addRepair(key, "invalid slices; replaced them by the resources that placed tasks use");
  }
}
