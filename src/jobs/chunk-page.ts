import { isMap } from "../wire/cbor.js";
import type { ChunkState } from "./chunk.js";

/**
 * One value of the store with the states of many chunks, so that one change saves them all.
 * Machines are named once a page: `l` lists `task.attempt.machine`, joined by commas.
 */
export interface PageRecord {
  m: string[];
  c: Record<string, [attempts: number, done: string, l: string]>;
}

export const chunkName = (job: string, index: number): string => `${job}/${index}`;

export function encodePage(states: Iterable<[name: string, state: ChunkState]>): PageRecord {
  const numbers = new Map<string, number>();
  const c: PageRecord["c"] = {};
  for (const [name, { attempts, done, live }] of states) {
    const items: string[] = [];
    for (const { index, attempt, machine } of live) {
      let number = numbers.get(machine);
      if (number === undefined) {
        number = numbers.size;
        numbers.set(machine, number);
      }
      items.push(`${index}.${attempt}.${number}`);
    }
    c[name] = [attempts, done, items.join(",")];
  }
  return { m: [...numbers.keys()], c };
}

/** @throws Error for what is not a page */
export function decodePage({ m, c }: PageRecord): Map<string, ChunkState> {
  const states = new Map<string, ChunkState>();
  for (const [name, [attempts, done, l]] of Object.entries(c)) {
    const live = (l === "" ? [] : l.split(",")).map((item) => {
      const [index, attempt, number] = item.split(".").map(Number) as [number, number, number];
      return { index, attempt, machine: m[number]! };
    });
    states.set(name, { attempts, done, live });
  }
  return states;
}

/** The states in a page; null when any of it is not what a page has. */
export function readPage(value: unknown): Map<string, ChunkState> | null {
  if (!isPage(value) || !Array.isArray(value.m) || !isMap(value.c)) return null;
  try {
    const states = decodePage(value);
    for (const [name, { attempts, done, live }] of states) {
      const whole = live.every(
        ({ index, attempt, machine }) =>
          Number.isInteger(index) && Number.isInteger(attempt) && typeof machine === "string",
      );
      if (!/^.+\/\d+$/.test(name) || !Number.isInteger(attempts) || !whole) return null;
      if (!/^(\d+(-\d+)?(,\d+(-\d+)?)*)?$/.test(done)) return null;
    }
    return states;
  } catch {
    return null;
  }
}

/** How large a page may be: two, and what goes with them, fit a transaction. */
export const maxPageBytes = (limits: { valueBytes: number; txnBytes: number }): number =>
  Math.min(limits.valueBytes, limits.txnBytes / 3);

/** What the state service counts for a value. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

export const isPage = (value: unknown): value is PageRecord =>
  typeof value === "object" && value !== null && "m" in value && "c" in value;
