import type { Clock } from "../clock.js";
import type { Event, Row, Store } from "../state/store.js";
import { keepNewestChunkStates } from "./chunk-deduplication.js";
import { retryUnavailable } from "./retry.js";

/** All keys as they were at one revision. */
export interface Image {
  revision: number;
  /** Wall-clock time in milliseconds when reading was complete. */
  takenAt: number;
  rows: Map<string, { value: unknown; version: number }>;
}

/** All keys of birchdale: the watched keys, the records of parts, the archive. */
export const PREFIXES = ["w/", "c/", "a/"] as const;

/** The keys changed faster than they could be read. */
export class ChangesTooFast extends Error {}

const PAGE_ROWS = 1000;
/**
 * Pages read between two reads of the changes. The service keeps 10,000 changes; far fewer occur in
 * that time.
 */
const PAGES_PER_FOLLOW = 5;
/** Attempts to read one prefix before the collection fails. */
const MAX_ATTEMPTS = 5;

interface PrefixScan {
  prefix: string;
  rows: Row[];
  events: Event[];
  /** Revision up to which events have been read; null before the first page. */
  seenRevision: number | null;
  after: string | null;
  complete: boolean;
  attempts: number;
}

/**
 * Reads all keys while the service runs. Pages are read at different revisions, so changes are
 * followed from the first page on and applied on top. The image is the content at one revision,
 * which is not lower than that of any page. Pages are read one after the other without a delay; the
 * caller limits the rate.
 * @throws ChangesTooFast if repeatedly more changes occur between two reads of the changes than the
 * service keeps
 */
export async function collect(store: Pick<Store, "page" | "watch">, clock: Clock): Promise<Image> {
  const scans = PREFIXES.map(
    (prefix): PrefixScan => ({
      prefix,
      rows: [],
      events: [],
      seenRevision: null,
      after: null,
      complete: false,
      attempts: 0,
    }),
  );
  const restartScan = (scan: PrefixScan): void => {
    if (++scan.attempts >= MAX_ATTEMPTS) {
      throw new ChangesTooFast(`${scan.prefix}: changes come faster than keys can be read`);
    }
    Object.assign(scan, { rows: [], events: [], seenRevision: null, after: null, complete: false });
  };
  const followChanges = async (scan: PrefixScan): Promise<number | null> => {
    const changes = await retryUnavailable(clock, () =>
      store.watch(scan.prefix, scan.seenRevision!, 0),
    );
    if (changes === null) {
      restartScan(scan);
      return null;
    }
    scan.events.push(...changes.events);
    scan.seenRevision = Math.max(scan.seenRevision!, changes.revision);
    return changes.revision;
  };
  let pages = 0;
  for (;;) {
    let next = scans.find(({ complete }) => !complete);
    while (next !== undefined) {
      const { prefix, after } = next;
      const page = await retryUnavailable(clock, () => store.page(prefix, after, PAGE_ROWS));
      next.seenRevision ??= page.revision;
      next.rows.push(...page.rows);
      const last = page.rows.at(-1)?.key;
      if (page.more && last !== undefined) next.after = last;
      else next.complete = true;
      if (++pages % PAGES_PER_FOLLOW === 0) {
        for (const started of scans)
          if (started.seenRevision !== null) await followChanges(started);
      }
      next = scans.find(({ complete }) => !complete);
    }
    // All pages have been read: the image is of the lowest revision that all prefixes have reached.
    let revision = Number.POSITIVE_INFINITY;
    for (const scan of scans) {
      const seenRevision = await followChanges(scan);
      if (seenRevision === null) break;
      revision = Math.min(revision, seenRevision);
    }
    if (scans.every(({ complete }) => complete)) {
      return {
        revision,
        takenAt: Math.round(clock.wall()),
        rows: keepNewestChunkStates(mergeChanges(scans, revision)),
      };
    }
  }
}

function mergeChanges(scans: readonly PrefixScan[], revision: number): Image["rows"] {
  const rows: Image["rows"] = new Map();
  for (const scan of scans) {
    for (const { key, value, version } of scan.rows) rows.set(key, { value, version });
    for (const { key, value, version, deleted } of scan.events) {
      if (version > revision) continue;
      if (version <= (rows.get(key)?.version ?? 0)) continue;
      if (deleted) rows.delete(key);
      else rows.set(key, { value, version });
    }
  }
  return rows;
}
