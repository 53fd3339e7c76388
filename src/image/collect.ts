import type { Clock } from "../clock.js";
import type { Event, Row, Store } from "../state/store.js";
import { newestOnly } from "./newest.js";
import { patiently } from "./patient.js";

/** All keys as they were at one revision. */
export interface Image {
  revision: number;
  /** Time of day, milliseconds, when reading had come to an end. */
  takenAt: number;
  rows: Map<string, { value: unknown; version: number }>;
}

/** Everything that birchdale keeps: what all watch, what owners of parts keep, the archive. */
export const PREFIXES = ["w/", "c/", "a/"] as const;

/** Changes came faster than the keys could be read. */
export class TooFast extends Error {}

const PAGE = 1000;
/** Pages between two looks at what has changed: of 10,000 changes that are remembered few pass. */
const FOLLOW = 5;
/** How often reading of one prefix begins anew before it is given up. */
const TRIES = 5;

interface Walk {
  prefix: string;
  rows: Row[];
  events: Event[];
  /** Events up to here are known; null before the first page. */
  seen: number | null;
  after: string | null;
  complete: boolean;
  tries: number;
}

/**
 * Reads all keys while the service runs. Pages come at different revisions, so changes are followed
 * from the first page on and put on top: the image is what was there at one revision, which is not
 * before any page was read. Pages are read as the service answers; who calls it limits the rate.
 * @throws TooFast when more changes pass between two pages than the service remembers, again and
 * again
 */
export async function collect(store: Pick<Store, "page" | "watch">, clock: Clock): Promise<Image> {
  const walks = PREFIXES.map(
    (prefix): Walk => ({
      prefix,
      rows: [],
      events: [],
      seen: null,
      after: null,
      complete: false,
      tries: 0,
    }),
  );
  const again = (walk: Walk): void => {
    if (++walk.tries >= TRIES) {
      throw new TooFast(`${walk.prefix}: changes come faster than keys can be read`);
    }
    Object.assign(walk, { rows: [], events: [], seen: null, after: null, complete: false });
  };
  const follow = async (walk: Walk): Promise<number | null> => {
    const heard = await patiently(clock, () => store.watch(walk.prefix, walk.seen!, 0));
    if (heard === null) {
      again(walk);
      return null;
    }
    walk.events.push(...heard.events);
    walk.seen = Math.max(walk.seen!, heard.revision);
    return heard.revision;
  };
  let pages = 0;
  for (;;) {
    let next = walks.find(({ complete }) => !complete);
    while (next !== undefined) {
      const { prefix, after } = next;
      const page = await patiently(clock, () => store.page(prefix, after, PAGE));
      next.seen ??= page.revision;
      next.rows.push(...page.rows);
      const last = page.rows.at(-1)?.key;
      if (page.more && last !== undefined) next.after = last;
      else next.complete = true;
      if (++pages % FOLLOW === 0) {
        for (const walk of walks) if (walk.seen !== null) await follow(walk);
      }
      next = walks.find(({ complete }) => !complete);
    }
    // All pages have been read: what the least of these has seen, all have.
    let revision = Number.POSITIVE_INFINITY;
    for (const walk of walks) {
      const seen = await follow(walk);
      if (seen === null) break;
      revision = Math.min(revision, seen);
    }
    if (walks.every(({ complete }) => complete)) {
      return {
        revision,
        takenAt: Math.round(clock.wall()),
        rows: newestOnly(foldAll(walks, revision)),
      };
    }
  }
}

function foldAll(walks: readonly Walk[], revision: number): Image["rows"] {
  const rows: Image["rows"] = new Map();
  for (const walk of walks) {
    for (const { key, value, version } of walk.rows) rows.set(key, { value, version });
    for (const { key, value, version, deleted } of walk.events) {
      if (version > revision) continue;
      if (version <= (rows.get(key)?.version ?? 0)) continue;
      if (deleted) rows.delete(key);
      else rows.set(key, { value, version });
    }
  }
  return rows;
}
