import type { ChunkState } from "../jobs/chunk.js";
import { readPage } from "../jobs/chunk-page.js";
import { keys } from "../state/keys.js";
import type { Row } from "../state/store.js";
import type { Committer } from "./committer.js";
import type { Quarantine } from "./quarantine.js";

/** Chunk state left in the store by an earlier owner, or by the part that the chunk came from. */
export interface StoredChunk {
  state: ChunkState;
  pages: readonly number[];
  handoverVersion: number;
  /** Version of the record that contains it. */
  version: number;
}

const mergePieces = (a: StoredChunk, b: StoredChunk): StoredChunk => ({
  ...a,
  state: {
    attempts: Math.max(a.state.attempts, b.state.attempts),
    done: [a.state.done, b.state.done].filter((done) => done !== "").join(","),
    live: [...a.state.live, ...b.state.live],
  },
  pages: [...a.pages, ...b.pages],
});

/** Reads a part's records: the stored state by chunk name. Unreadable records are quarantined. */
export function readRecords(
  records: readonly Row[],
  index: number,
  committer: Committer,
  quarantine: Quarantine,
): Map<string, StoredChunk> {
  const storedChunks = new Map<string, StoredChunk>();
  for (const { key, value, version } of records) {
    if (key === keys.fence(index)) {
      committer.setVersion(key, version);
      continue;
    }
    const isHandover = key.startsWith(`${keys.records(index)}m/`);
    if (!isHandover && !key.startsWith(keys.pages(index))) continue;
    const states = readPage(value);
    // A handover record has to contain the chunk that its key names.
    const isReadable =
      states !== null && (!isHandover || states.has(key.split("/").slice(3).join("/")));
    if (!isReadable) {
      quarantine.add(key);
      committer.markUnreadable(key);
      continue;
    }
    committer.setVersion(key, version, value);
    const inPage = key.startsWith(keys.pages(index));
    const pages = inPage ? [Number(key.slice(keys.pages(index).length))] : [];
    for (const [name, state] of states) {
      const storedChunk = { state, pages, handoverVersion: inPage ? 0 : version, version };
      const existing = storedChunks.get(name);
      // An oversized page still contains states that were later written to newer records. Records of
      // the same version are pieces of one state that spans several pages.
      if (existing === undefined || existing.version < version) storedChunks.set(name, storedChunk);
      else if (existing.version === version)
        storedChunks.set(name, mergePieces(existing, storedChunk));
    }
  }
  return storedChunks;
}
