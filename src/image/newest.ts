import type { ChunkState } from "../jobs/chunk.js";
import { encodePage, readPage } from "../jobs/chunk-page.js";
import type { Image } from "./collect.js";

interface Place {
  key: string;
  version: number;
  state: ChunkState;
}

/**
 * One record for each chunk of a part. A page that has become too large to be written keeps what has
 * gone to newer records since, and a chunk may be in pieces that were written at once (`docs/state.md`).
 * A restore writes all records anew, which would make the order between them another one.
 */
export function newestOnly(rows: Image["rows"]): Image["rows"] {
  const places = new Map<string, Place[]>();
  const read = new Map<string, Map<string, ChunkState>>();
  for (const [key, { value, version }] of rows) {
    const part = /^c\/(\d+)\/[pm]\//.exec(key)?.[1];
    const states = part === undefined ? null : readPage(value);
    if (states === null) continue;
    read.set(key, states);
    for (const [name, state] of states) {
      const id = `${part} ${name}`;
      const known = places.get(id);
      if (known === undefined) places.set(id, [{ key, version, state }]);
      else known.push({ key, version, state });
    }
  }
  const changed = new Set<string>();
  for (const [id, all] of places) {
    if (all.length === 1) continue;
    const name = id.slice(id.indexOf(" ") + 1);
    const newest = Math.max(...all.map(({ version }) => version));
    const pieces = all.filter(({ version }) => version === newest);
    for (const { key } of all) {
      read.get(key)!.delete(name);
      changed.add(key);
    }
    read.get(pieces[0]!.key)!.set(name, {
      attempts: Math.max(...pieces.map(({ state }) => state.attempts)),
      done: pieces.flatMap(({ state: { done } }) => (done === "" ? [] : [done])).join(","),
      live: pieces.flatMap(({ state }) => state.live),
    });
  }
  if (changed.size === 0) return rows;
  const out = new Map(rows);
  for (const key of changed) {
    const states = read.get(key)!;
    if (states.size === 0) out.delete(key);
    else out.set(key, { value: encodePage(states), version: rows.get(key)!.version });
  }
  return out;
}
