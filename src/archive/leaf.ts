/**
 * A leaf holds the final states of all archived jobs whose ids lie in a range. Its key is made of
 * the last id of the range; so the first key at or after an id is the leaf that the id belongs to,
 * and the service finds it by itself: there is no directory to keep, to read or to lose.
 */

import type { JobOutcome } from "../jobs/job-outcome.js";
import { hash } from "../membership/layout.js";
import { keys } from "../state/keys.js";
import type { Row } from "../state/store.js";
import { isMap } from "../wire/cbor.js";

/** Beyond every id: the end of the last range. */
export const LAST = "~";

/**
 * The key of the range that ends with an id. "," sorts before all that an id consists of: without
 * it an id would not sort behind a key made of its own beginning.
 */
export const leafKey = (last: string): string =>
  last === LAST ? `${keys.archive}${LAST}` : `${keys.archive}${last},`;

/** The key after which the leaf of an id is the first one. */
export const beforeLeaf = (id: string): string => `${keys.archive}${id}`;

/** The last id of a leaf, by its key; null for a key that is none. */
export function lastOf(key: string): string | null {
  const name = key.slice(keys.archive.length);
  if (name === LAST) return LAST;
  return name.endsWith(",") ? name.slice(0, -1) : null;
}

/** As the store has it. Texts only, and short names: it is counted as JSON. */
export interface LeafRecord {
  /** The range begins behind this id; "" is the very beginning. */
  f: string;
  /** How many jobs. */
  n: number;
  /** Seconds since the epoch from which the times in `d` count. */
  b: number;
  /** Teams, named by their place in this list. */
  t: string[];
  /** The jobs in order of their ids; see `encodeLeaf`. */
  d: string;
  /** Checksum over the rest. */
  c: number;
}

export type Entry = readonly [id: string, past: JobOutcome];

export interface Leaf {
  key: string;
  version: number;
  /** Ids behind `from`, up to and with `last`. */
  from: string;
  last: string;
  entries: Entry[];
}

/** A leaf that is missing, cannot be read or does not add up: nothing is known of its range. */
export class CorruptLeaf extends Error {
  constructor(
    readonly key: string,
    reason: string,
  ) {
    super(`archive ${key}: ${reason}`);
  }
}

const DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
const MOST_SHARED = DIGITS.length - 1;

const sumOf = ({ f, n, b, t, d }: Omit<LeafRecord, "c">): number =>
  hash(`${f} ${n} ${b} ${t.join(" ")} ${d}`);

const seconds = (ms: number): number => Math.round(ms / 1000);
const base36 = (value: number): string => (value === 0 ? "" : value.toString(36));

/**
 * Jobs are separated by blanks. Of each: how much of the id it shares with the one before (one
 * digit of base 62), the rest of the id, then after colons: `d` or `c` and the number of tasks; of
 * cancelled jobs the number done; when it was accepted; how long after that it was over (`-`:
 * unknown); its team's place. Numbers in base 36, 0 as nothing, and what is empty at the end is
 * left out. About 16 bytes a job.
 */
export function encodeLeaf(from: string, entries: readonly Entry[]): LeafRecord {
  const b = entries.reduce((least, [, { at }]) => Math.min(least, seconds(at)), Infinity);
  const base = Number.isFinite(b) ? b : 0;
  const t: string[] = [];
  const places = new Map<string, number>();
  const items: string[] = [];
  let before = "";
  for (const [id, { status, tasks, done, at, over, team }] of entries) {
    let shared = 0;
    while (shared < MOST_SHARED && shared < before.length && before[shared] === id[shared]) {
      shared++;
    }
    before = id;
    let place = "";
    if (team !== null) {
      let known = places.get(team);
      if (known === undefined) {
        known = t.push(team);
        places.set(team, known);
      }
      place = base36(known);
    }
    const fields = [
      `${DIGITS[shared]}${id.slice(shared)}`,
      `${status === "done" ? "d" : "c"}${base36(tasks)}`,
      status === "done" ? "" : base36(done),
      base36(seconds(at) - base),
      over === null ? "-" : base36(Math.max(0, seconds(over) - seconds(at))),
      place,
    ];
    items.push(fields.join(":").replace(/:+$/, ""));
  }
  const body = { f: from, n: entries.length, b: base, t, d: items.join(" ") };
  return { ...body, c: sumOf(body) };
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
 * Reads a leaf and checks all of it: its sum, the order of its ids and that they lie in its range.
 * @throws CorruptLeaf
 */
export function decodeLeaf({ key, value, version }: Row): Leaf {
  const corrupt = (reason: string): never => {
    throw new CorruptLeaf(key, reason);
  };
  const last = lastOf(key) ?? corrupt("not the key of a leaf");
  if (!isRecord(value)) return corrupt("not a leaf");
  if (sumOf(value) !== value.c) corrupt("the checksum is wrong");
  const { f, n, b, t, d } = value;
  const entries: Entry[] = [];
  let before = "";
  const number = (text: string | undefined): number => {
    if (text === undefined || text === "") return 0;
    const parsed = Number.parseInt(text, 36);
    if (!Number.isFinite(parsed)) corrupt(`not a number: ${text}`);
    return parsed;
  };
  for (const item of d === "" ? [] : d.split(" ")) {
    const [name = "", state = "", done, at, over, place] = item.split(":");
    const shared = DIGITS.indexOf(name[0] ?? "!");
    if (shared < 0 || shared > before.length) corrupt("an id that continues nothing");
    const id = before.slice(0, shared) + name.slice(1);
    const behind = before === "" ? f : before;
    if (id <= behind || (last !== LAST && id > last)) corrupt(`${id} is out of order`);
    before = id;
    const status = state[0] === "d" ? "done" : state[0] === "c" ? "cancelled" : null;
    if (status === null) return corrupt(`${id}: neither done nor cancelled`);
    const tasks = number(state.slice(1));
    const start = (b + number(at)) * 1000;
    const team = number(place);
    if (team > t.length) corrupt(`${id}: no such team`);
    entries.push([
      id,
      {
        status,
        tasks,
        done: status === "done" ? tasks : number(done),
        at: start,
        over: over === "-" ? null : start + number(over) * 1000,
        team: team === 0 ? null : t[team - 1]!,
      },
    ]);
  }
  if (entries.length !== n) corrupt(`${entries.length} jobs where ${n} should be`);
  return { key, version, from: f, last, entries };
}

/** Whether an id belongs to a leaf. */
export const covers = (leaf: Pick<Leaf, "from" | "last">, id: string): boolean =>
  id > leaf.from && (leaf.last === LAST || id <= leaf.last);

/** @returns the place of an id, or that where it would have to be put, as `-place - 1` */
export function placeIn(entries: readonly Entry[], id: string): number {
  let from = 0;
  let to = entries.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    const at = entries[middle]![0];
    if (at === id) return middle;
    if (at < id) from = middle + 1;
    else to = middle;
  }
  return -from - 1;
}

export function findIn(entries: readonly Entry[], id: string): JobOutcome | null {
  const place = placeIn(entries, id);
  return place < 0 ? null : entries[place]![1];
}
