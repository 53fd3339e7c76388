import { isMap } from "../wire/cbor.js";
import type { ChunkState } from "./chunk.js";

/**
 * A stored record with the states of many chunks, so that one change saves all of them. `m` lists
 * the names of machines, each once per page; `l` lists allocations as `task.attempt.machine`, where
 * machine is an index into `m`, joined by commas.
 */
export interface PageRecord {
  m: string[];
  c: Record<string, [attempts: number, done: string, l: string]>;
}

export const chunkName = (job: string, index: number): string => `${job}/${index}`;

export function encodePage(states: Iterable<[name: string, state: ChunkState]>): PageRecord {
  const machineNumbers = new Map<string, number>();
  const c: PageRecord["c"] = {};
  for (const [name, { attempts, done, live }] of states) {
    const items: string[] = [];
    for (const { index, attempt, machine } of live) {
      let machineNumber = machineNumbers.get(machine);
      if (machineNumber === undefined) {
        machineNumber = machineNumbers.size;
        machineNumbers.set(machine, machineNumber);
      }
      items.push(`${index}.${attempt}.${machineNumber}`);
    }
    c[name] = [attempts, done, items.join(",")];
  }
  return { m: [...machineNumbers.keys()], c };
}

/** @throws Error if the record is not a valid page */
export function decodePage({ m, c }: PageRecord): Map<string, ChunkState> {
  const states = new Map<string, ChunkState>();
  for (const [name, [attempts, done, l]] of Object.entries(c)) {
    const live = (l === "" ? [] : l.split(",")).map((item) => {
      const [index, attempt, machineNumber] = item.split(".").map(Number) as [
        number,
        number,
        number,
      ];
      return { index, attempt, machine: m[machineNumber]! };
    });
    states.set(name, { attempts, done, live });
  }
  return states;
}

/** The chunk states in a page; null if any part of the value is invalid. */
export function readPage(value: unknown): Map<string, ChunkState> | null {
  if (!isPage(value) || !Array.isArray(value.m) || !isMap(value.c)) return null;
  try {
    const states = decodePage(value);
    for (const [name, { attempts, done, live }] of states) {
      const validAllocations = live.every(
        ({ index, attempt, machine }) =>
          Number.isInteger(index) && Number.isInteger(attempt) && typeof machine === "string",
      );
      if (!/^.+\/\d+$/.test(name) || !Number.isInteger(attempts) || !validAllocations) return null;
      if (!/^(\d+(-\d+)?(,\d+(-\d+)?)*)?$/.test(done)) return null;
    }
    return states;
  } catch {
    return null;
  }
}

/** The largest page: two pages, and the other changes made with them, fit one transaction. */
export const maxPageBytes = (limits: { valueBytes: number; txnBytes: number }): number =>
  Math.min(limits.valueBytes, limits.txnBytes / 3);

/** Size of a value as the state service counts it. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

export const isPage = (value: unknown): value is PageRecord =>
  typeof value === "object" && value !== null && "m" in value && "c" in value;
