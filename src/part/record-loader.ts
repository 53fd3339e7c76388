import type { ChunkState } from "../jobs/chunk.js";
import { readPage } from "../jobs/chunk-page.js";
import { keys } from "../state/keys.js";
import type { Row } from "../state/store.js";
import type { Committer } from "./committer.js";
import type { Quarantine } from "./quarantine.js";

/** What an earlier owner, or the part that a chunk came from, has left of it. */
export interface StoredChunk {
  state: ChunkState;
  pages: readonly number[];
  handover: number;
  /** Of the record that it is in. */
  version: number;
}

const joined = (a: StoredChunk, b: StoredChunk): StoredChunk => ({
  ...a,
  state: {
    attempts: Math.max(a.state.attempts, b.state.attempts),
    done: [a.state.done, b.state.done].filter((done) => done !== "").join(","),
    live: [...a.state.live, ...b.state.live],
  },
  pages: [...a.pages, ...b.pages],
});

/** What the records of a part say of each chunk; those that cannot be read are set aside. */
export function readRecords(
  records: readonly Row[],
  index: number,
  commits: Committer,
  quarantine: Quarantine,
): Map<string, StoredChunk> {
  const kept = new Map<string, StoredChunk>();
  for (const { key, value, version } of records) {
    if (key === keys.fence(index)) {
      commits.known(key, version);
      continue;
    }
    const handed = key.startsWith(`${keys.records(index)}m/`);
    if (!handed && !key.startsWith(keys.pages(index))) continue;
    const states = readPage(value);
    // What came along has its chunk's name.
    const whole = states !== null && (!handed || states.has(key.split("/").slice(3).join("/")));
    if (!whole) {
      quarantine.record(key);
      commits.reserve(key);
      continue;
    }
    commits.known(key, version, value);
    const inPage = key.startsWith(keys.pages(index));
    const pages = inPage ? [Number(key.slice(keys.pages(index).length))] : [];
    for (const [name, state] of states) {
      const one = { state, pages, handover: inPage ? 0 : version, version };
      const other = kept.get(name);
      // A page that cannot be written any more keeps what has gone to newer records since; and what
      // was written at once in several pages is one state in pieces.
      if (other === undefined || other.version < version) kept.set(name, one);
      else if (other.version === version) kept.set(name, joined(other, one));
    }
  }
  return kept;
}
