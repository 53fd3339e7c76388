import type { ChunkState } from "../jobs/chunk.js";
import { encodePage, readPage } from "../jobs/chunk-page.js";
import type { Image } from "./collect.js";

interface StoredState {
  key: string;
  version: number;
  state: ChunkState;
}

/**
 * Keeps one state of each chunk of a part: the newest. A page that has become too large to be
 * rewritten keeps states of chunks that have newer records, and a chunk may be split into pieces that
 * were written in one transaction (`docs/state.md`). A restore writes all records anew, so their
 * versions would no longer tell which is newest.
 */
export function keepNewestChunkStates(rows: Image["rows"]): Image["rows"] {
  const storedStates = new Map<string, StoredState[]>();
  const pages = new Map<string, Map<string, ChunkState>>();
  for (const [key, { value, version }] of rows) {
    const part = /^c\/(\d+)\/[pm]\//.exec(key)?.[1];
    const states = part === undefined ? null : readPage(value);
    if (states === null) continue;
    pages.set(key, states);
    for (const [name, state] of states) {
      const id = `${part} ${name}`;
      const known = storedStates.get(id);
      if (known === undefined) storedStates.set(id, [{ key, version, state }]);
      else known.push({ key, version, state });
    }
  }
  const changedKeys = new Set<string>();
  for (const [id, all] of storedStates) {
    if (all.length === 1) continue;
    const name = id.slice(id.indexOf(" ") + 1);
    const newest = Math.max(...all.map(({ version }) => version));
    const newestStates = all.filter(({ version }) => version === newest);
    for (const { key } of all) {
      pages.get(key)!.delete(name);
      changedKeys.add(key);
    }
    pages.get(newestStates[0]!.key)!.set(name, {
      attempts: Math.max(...newestStates.map(({ state }) => state.attempts)),
      done: newestStates.flatMap(({ state: { done } }) => (done === "" ? [] : [done])).join(","),
      live: newestStates.flatMap(({ state }) => state.live),
    });
  }
  if (changedKeys.size === 0) return rows;
  const out = new Map(rows);
  for (const key of changedKeys) {
    const states = pages.get(key)!;
    if (states.size === 0) out.delete(key);
    else out.set(key, { value: encodePage(states), version: rows.get(key)!.version });
  }
  return out;
}
