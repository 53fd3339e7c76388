/**
 * A leaf holds the final states of all archived jobs whose ids lie in a range. Its key contains the
 * last id of the range, so the first key at or after an id is the leaf that the id belongs to. The
 * state service finds it with one listing; no separate index has to be stored or read, or can be lost.
 */

import type { JobOutcome } from "../jobs/job-outcome.js";
import { hash } from "../membership/layout.js";
import { keys } from "../state/keys.js";
import type { Row } from "../state/store.js";
import { isMap } from "../wire/cbor.js";

/** Sorts after every id: the end of the last range. */
export const END_OF_RANGES = "~";

/**
 * The key of the range that ends with an id. "," sorts before all characters of an id: without it,
 * an id would not sort after the key of an id that is its prefix.
 */
export const leafKey = (last: string): string =>
  last === END_OF_RANGES ? `${keys.archive}${END_OF_RANGES}` : `${keys.archive}${last},`;

/** The key to list from: the first key after it is the leaf of the id. */
export const listingStartOf = (id: string): string => `${keys.archive}${id}`;

/** The last id of a leaf's range, from its key; null if it is not the key of a leaf. */
export function lastIdOf(key: string): string | null {
  const name = key.slice(keys.archive.length);
  if (name === END_OF_RANGES) return END_OF_RANGES;
  return name.endsWith(",") ? name.slice(0, -1) : null;
}

/** A leaf as stored. Text and short names, because the service limits the size of the JSON. */
export interface LeafRecord {
  /** The range begins after this id; "" for the first range. */
  f: string;
  /** Number of jobs. */
  n: number;
  /** Base of the times in `d`: seconds since the epoch. */
  b: number;
  /** Teams; `d` refers to them by position, from 1. */
  t: string[];
  /** The jobs in order of id; see `encodeLeaf`. */
  d: string;
  /** Checksum of the other fields. */
  c: number;
}

export type Entry = readonly [id: string, outcome: JobOutcome];

export interface Leaf {
  key: string;
  version: number;
  /** The range: ids greater than `from`, up to and including `last`. */
  from: string;
  last: string;
  entries: Entry[];
}

/** A leaf is missing, unreadable or inconsistent: the jobs in its range are unknown. */
export class CorruptLeaf extends Error {
  constructor(
    readonly key: string,
    reason: string,
  ) {
    super(`archive leaf ${key}: ${reason}`);
  }
}

const BASE62_DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
const MAX_SHARED_PREFIX = BASE62_DIGITS.length - 1;

const checksumOf = ({ f, n, b, t, d }: Omit<LeafRecord, "c">): number =>
  hash(`${f} ${n} ${b} ${t.join(" ")} ${d}`);

const toSeconds = (ms: number): number => Math.round(ms / 1000);
const base36 = (value: number): string => (value === 0 ? "" : value.toString(36));

/**
 * Jobs are separated by spaces. Each begins with the length of the prefix that its id shares with
 * the id before (one base-62 digit) and the rest of the id. Then, separated by colons: `d` (done) or
 * `c` (cancelled) and the number of tasks; for cancelled jobs the number of tasks done; the time of
 * acceptance; the time from acceptance to the end (`-`: unknown); the team's position. Numbers are in
 * base 36, 0 is an empty field, and empty fields at the end are omitted. About 16 bytes per job.
 */
export function encodeLeaf(from: string, entries: readonly Entry[]): LeafRecord {
  const earliest = entries.reduce((least, [, { at }]) => Math.min(least, toSeconds(at)), Infinity);
  const base = Number.isFinite(earliest) ? earliest : 0;
  const t: string[] = [];
  const teamNumbers = new Map<string, number>();
  const items: string[] = [];
  let previousId = "";
  for (const [id, { status, tasks, done, at, over, team }] of entries) {
    let shared = 0;
    while (
      shared < MAX_SHARED_PREFIX &&
      shared < previousId.length &&
      previousId[shared] === id[shared]
    ) {
      shared++;
    }
    previousId = id;
    let teamField = "";
    if (team !== null) {
      let teamNumber = teamNumbers.get(team);
      if (teamNumber === undefined) {
        teamNumber = t.push(team);
        teamNumbers.set(team, teamNumber);
      }
      teamField = base36(teamNumber);
    }
    const fields = [
      `${BASE62_DIGITS[shared]}${id.slice(shared)}`,
      `${status === "done" ? "d" : "c"}${base36(tasks)}`,
      status === "done" ? "" : base36(done),
      base36(toSeconds(at) - base),
      over === null ? "-" : base36(Math.max(0, toSeconds(over) - toSeconds(at))),
      teamField,
    ];
    items.push(fields.join(":").replace(/:+$/, ""));
  }
  const body = { f: from, n: entries.length, b: base, t, d: items.join(" ") };
  return { ...body, c: checksumOf(body) };
}

const isRecord = (value: unknown): value is LeafRecord =>
  isMap(value) &&
  typeof value.f === "string" &&
  typeof value.n === "number" &&
  typeof value.b === "number" &&
  typeof value.c === "number" &&
  typeof value.d === "string" &&
  Array.isArray(value.t) &&
  value.t.every((team) => typeof team === "string");

/**
 * Decodes a leaf and verifies its checksum, the order of its ids and that they lie in its range.
 * @throws CorruptLeaf
 */
export function decodeLeaf({ key, value, version }: Row): Leaf {
  const corrupt = (reason: string): never => {
    throw new CorruptLeaf(key, reason);
  };
  const last = lastIdOf(key) ?? corrupt('the key does not end in "," or "~"');
  if (!isRecord(value)) return corrupt("the value is not a leaf record");
  if (checksumOf(value) !== value.c) corrupt(`checksum mismatch: expected ${value.c}`);
  const { f, n, b, t, d } = value;
  const entries: Entry[] = [];
  let previousId = "";
  const parseNumber = (text: string | undefined): number => {
    if (text === undefined || text === "") return 0;
    const parsed = Number.parseInt(text, 36);
    if (!Number.isFinite(parsed)) corrupt(`expected a base-36 number, got "${text}"`);
    return parsed;
  };
  for (const item of d === "" ? [] : d.split(" ")) {
    const [idField = "", statusField = "", done, at, over, teamField] = item.split(":");
    const shared = BASE62_DIGITS.indexOf(idField[0] ?? "!");
    if (shared < 0 || shared > previousId.length)
      corrupt(`job "${item}" shares a prefix with "${previousId}" that is longer than it`);
    const id = previousId.slice(0, shared) + idField.slice(1);
    const lowerBound = previousId === "" ? f : previousId;
    if (id <= lowerBound || (last !== END_OF_RANGES && id > last))
      corrupt(`job ${id} is out of order or outside the range`);
    previousId = id;
    const status = statusField[0] === "d" ? "done" : statusField[0] === "c" ? "cancelled" : null;
    if (status === null)
      return corrupt(`job ${id}: expected status "d" or "c", got "${statusField}"`);
    const tasks = parseNumber(statusField.slice(1));
    const acceptedMs = (b + parseNumber(at)) * 1000;
    const teamNumber = parseNumber(teamField);
    if (teamNumber > t.length) corrupt(`job ${id}: team ${teamNumber} of ${t.length}`);
    entries.push([
      id,
      {
        status,
        tasks,
        done: status === "done" ? tasks : parseNumber(done),
        at: acceptedMs,
        over: over === "-" ? null : acceptedMs + parseNumber(over) * 1000,
        team: teamNumber === 0 ? null : t[teamNumber - 1]!,
      },
    ]);
  }
  if (entries.length !== n) corrupt(`expected ${n} jobs, got ${entries.length}`);
  return { key, version, from: f, last, entries };
}

/** Whether an id lies in a leaf's range. */
export const covers = (leaf: Pick<Leaf, "from" | "last">, id: string): boolean =>
  id > leaf.from && (leaf.last === END_OF_RANGES || id <= leaf.last);

/** @returns the index of an id, or `-index - 1` with the index where it would be inserted */
export function searchEntries(entries: readonly Entry[], id: string): number {
  let from = 0;
  let to = entries.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    const middleId = entries[middle]![0];
    if (middleId === id) return middle;
    if (middleId < id) from = middle + 1;
    else to = middle;
  }
  return -from - 1;
}

export function findOutcome(entries: readonly Entry[], id: string): JobOutcome | null {
  const index = searchEntries(entries, id);
  return index < 0 ? null : entries[index]![1];
}
