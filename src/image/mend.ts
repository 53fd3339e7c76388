import type { ChunkState } from "../jobs/chunk.js";
import { encodePage, readPage } from "../jobs/chunk-page.js";
import { isHeader, type JobHeader } from "../jobs/job-header.js";
import type { SliceRecord } from "../quota/slices.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import { type CheckOptions, checkImage, chunkFault, type Finding } from "./check.js";
import type { Image } from "./collect.js";

export interface Mended {
  image: Image;
  /** What was done, by key. */
  done: Finding[];
  /** What cannot be mended without guessing; the image can be restored once this is empty. */
  left: Finding[];
}

/**
 * Takes out of an image what can be done without, so that the rest can be restored: states of chunks
 * that cannot be right, and slices that cannot be read. A chunk without a state is begun anew; that
 * is safe since after a restore nothing is placed before every task without a record is gone, and
 * results of tasks that had completed are kept by the platform. Headers, leaves of the archive and the
 * schema are left as they are: what they said cannot be known. A pure function.
 */
export function mendImage(image: Image, options: CheckOptions = {}): Mended {
  const rows: Image["rows"] = new Map(image.rows);
  const done: Finding[] = [];
  const say = (key: string, problem: string): void => {
    done.push({ key, problem });
  };
  const headers = headersOf(rows);
  const pages = pagesOf(rows, say);
  const faultOf = ({ part }: Page, name: string, state: ChunkState): string | null =>
    chunkFault(headers, part, name, state);
  const doubled = doubledOf(pages, faultOf);
  for (const page of pages) {
    const { key, states } = page;
    const good = [...states].filter(([name, state]) => {
      const twice = page.page && doubled.has(name);
      const fault = faultOf(page, name, state) ?? (twice ? "is in two pages" : null);
      if (fault !== null) say(key, `${name}: ${fault}; its state is left out`);
      return fault === null;
    });
    if (good.length === states.size) continue;
    if (good.length === 0) rows.delete(key);
    else rows.set(key, { value: encodePage(good), version: rows.get(key)!.version });
  }
  for (const key of rows.keys()) {
    const fence = /^c\/\d+\/fence$/.test(key);
    if (!fence || /^\d+\.\d+$/.test(String(rows.get(key)!.value))) continue;
    // Its owner writes another one with its first commit.
    rows.delete(key);
    say(key, "left out");
  }
  mendSlices(image, rows, headers, options, say);
  const mended = { ...image, rows };
  return { image: mended, done, left: checkImage(mended, options) };
}

type Say = (key: string, problem: string) => void;

function headersOf(rows: Image["rows"]): Map<string, JobHeader> {
  const headers = new Map<string, JobHeader>();
  for (const [key, { value }] of rows) {
    if (key.startsWith(JOB_HEADER_PREFIX) && isHeader(value))
      headers.set(key.slice(JOB_HEADER_PREFIX.length), value);
  }
  return headers;
}

interface Page {
  key: string;
  part: number;
  /** A page; else what a chunk brought along. */
  page: boolean;
  states: Map<string, ChunkState>;
}

function pagesOf(rows: Image["rows"], say: Say): Page[] {
  const pages: Page[] = [];
  for (const [key, { value }] of rows) {
    const match = /^c\/(\d+)\/([pm])\//.exec(key);
    if (match === null) continue;
    const states = readPage(value);
    if (states === null) {
      rows.delete(key);
      say(key, "cannot be read; all of it is left out");
    } else pages.push({ key, part: Number(match[1]), page: match[2] === "p", states });
  }
  return pages;
}

/** Chunks that are in more than one page: nothing says which of them is right. */
function doubledOf(
  pages: readonly Page[],
  faultOf: (page: Page, name: string, state: ChunkState) => string | null,
): Set<string> {
  const seen = new Set<string>();
  const doubled = new Set<string>();
  for (const page of pages) {
    for (const [name, state] of page.page ? page.states : []) {
      if (faultOf(page, name, state) !== null) continue;
      if (seen.has(name)) doubled.add(name);
      seen.add(name);
    }
  }
  return doubled;
}

/**
 * Slices that cannot be right become what each part's placed tasks use, and no more: those were
 * within the limit together, and the rest of it is free to take.
 */
function mendSlices(
  image: Image,
  rows: Image["rows"],
  headers: ReadonlyMap<string, JobHeader>,
  options: CheckOptions,
  say: Say,
): void {
  const prefix = keys.quota("");
  const bad = checkImage(image, options).filter(({ key }) => key.startsWith(prefix));
  for (const key of new Set(bad.map((finding) => finding.key))) {
    const team = decodeURIComponent(key.slice(prefix.length));
    const record: SliceRecord = {};
    for (const [name, { value }] of rows) {
      const part = /^c\/(\d+)\/[pm]\//.exec(name)?.[1];
      if (part === undefined) continue;
      for (const [chunk, { live }] of readPage(value) ?? []) {
        const spec = headers.get(chunk.slice(0, chunk.lastIndexOf("/")))?.spec;
        if (spec?.team !== team || live.length === 0) continue;
        const [cpus, gpus] = record[Number(part)] ?? [0, 0];
        const { cpus: c = 0, gpus: g = 0 } = spec;
        record[Number(part)] = [cpus + live.length * c, gpus + live.length * g];
      }
    }
    rows.set(key, { value: record, version: rows.get(key)!.version });
    say(key, "slices are now what is in use");
  }
}
