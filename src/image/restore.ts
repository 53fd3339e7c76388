import { isDeepStrictEqual } from "node:util";
import { type Clock, sleep } from "../clock.js";
import { jsonBytes } from "../jobs/chunk-page.js";
import { keys } from "../state/keys.js";
import { parseRestoreRecord, type RestoreRecord } from "../state/restore-state.js";
import type { Change, Condition, Page, Store } from "../state/store.js";
import { checkImage, type Finding } from "./check.js";
import { type Image, PREFIXES } from "./collect.js";
import { retryUnavailable } from "./retry.js";

/** The image was not, or not wholly, put into the service; the reason is one line. */
export class RestoreRefused extends Error {
  constructor(
    message: string,
    readonly findings: readonly Finding[] = [],
  ) {
    super(message);
  }
}

/**
 * Keys that stand for controllers that are up: those are not the same ones any more. Summaries are
 * hints that would be wrong.
 */
const TRANSIENT_PREFIXES = [
  keys.node(""),
  keys.accusation(""),
  keys.decision(""),
  "w/p/",
  "w/s/",
  "w/r/",
  keys.restored,
];

const isClaim = (value: unknown): boolean =>
  typeof value === "object" && value !== null && "node" in value && "run" in value;

/** What of an image is put into a new service. */
export function restorable(image: Image): [key: string, value: unknown][] {
  return [...image.rows]
    .filter(([key, { value }]) => {
      if (TRANSIENT_PREFIXES.some((prefix) => key.startsWith(prefix))) return false;
      return !((key === keys.leader || key === keys.leader2) && isClaim(value));
    })
    .map(([key, { value }]): [string, unknown] => [key, value])
    .sort(([a], [b]) => (a < b ? -1 : 1));
}

/**
 * A number above every token that a worker can have seen when the image is restored. A token is a
 * stamp, and the former service made at most `writeRps` changes a second after the image was taken;
 * twice that and an hour more, for a time of day that is off and for leases that ended.
 */
export function tokensAbove(image: Image, wallMs: number, writeRps: number): number {
  const earlierTokens = parseRestoreRecord(image.rows.get(keys.restored)?.value)?.tokens ?? 0;
  const elapsedS = (wallMs - image.takenAt) / 1000 + 3600;
  return earlierTokens + image.revision + Math.ceil(2 * writeRps * elapsedS);
}

export interface RestoreOptions {
  store: Store;
  clock: Clock;
  /** Changes a second that the former service allowed. */
  writeRps: number;
  /** The names of the controllers: none of them may be up when it begins. */
  members?: readonly string[];
  /** Hears how many of how many rows are there. */
  progress?(done: number, all: number): void;
}

/**
 * Fills an empty state service from an image. What is there says "filling" first, on which no
 * controller acts, and "settling" in the end, when every row has been read back; so whatever a crash
 * leaves is either ignored by all, and filled by the same call again, or whole.
 * @returns the rows that were put there, and the number that tokens are raised by
 * @throws RestoreRefused when the image is broken, the service is not empty, or holds another image
 */
export async function restoreImage(
  image: Image,
  { store, clock, writeRps, members = [], progress }: RestoreOptions,
): Promise<{ rows: number; tokens: number }> {
  const findings = checkImage(image);
  if (findings.length > 0) {
    throw new RestoreRefused(`the image has ${findings.length} findings`, findings);
  }
  const wallMs = clock.wall();
  if (wallMs < image.takenAt - 60_000) {
    throw new RestoreRefused("the image is from the future: this machine's time of day is wrong");
  }
  const retry = <T>(run: () => Promise<T>): Promise<T> => retryUnavailable(clock, run);
  const { revision, takenAt } = image;
  const initialRecord: RestoreRecord = {
    state: "filling",
    image: { revision, takenAt },
    tokens: tokensAbove(image, wallMs, writeRps),
  };
  const existing = await retry(() => store.get(keys.restored));
  let record = parseRestoreRecord(existing?.value);
  if (existing === null) {
    for (const prefix of PREFIXES) {
      const { rows } = await retry(() => store.page(prefix, null, 1));
      if (rows.length > 0) {
        throw new RestoreRefused(`the state service is not empty: it has ${rows[0]!.key}`);
      }
    }
    const absent = [keys.restored, ...members.map(keys.node)];
    const conditions = absent.map((key) => ({ key, version: 0 }));
    await retry(() => store.transact(conditions, [{ put: keys.restored, value: initialRecord }]));
    // Whoever was first: that is the one.
    record = parseRestoreRecord((await retry(() => store.get(keys.restored)))?.value);
  }
  if (record === null) throw new RestoreRefused("a controller is up: stop all of them first");
  if (!isDeepStrictEqual(record.image, initialRecord.image)) {
    throw new RestoreRefused("the state service is being filled from another image");
  }
  if (record.state !== "filling") {
    throw new RestoreRefused("the state service has been restored from this image already");
  }
  const rows = restorable(image);
  const marker = await retry(() => store.get(keys.restored));
  const guard = { key: keys.restored, version: marker!.version };
  for (let from = 0; from < rows.length; ) {
    const size = nextBatchSize(rows, from, store);
    const batch = rows.slice(from, from + size);
    while (!store.writes.take(size)) await sleep(clock, 20);
    await retry(() => writeBatch(store, guard, batch));
    from += size;
    progress?.(from, rows.length);
  }
  await verify(store, rows, retry);
  const finalRecord: RestoreRecord = { ...record, state: "settling" };
  const result = await retry(() =>
    store.transact([guard], [{ put: keys.restored, value: finalRecord }]),
  );
  const now = parseRestoreRecord((await retry(() => store.get(keys.restored)))?.value);
  if (!result.ok && now?.state !== "settling") {
    throw new RestoreRefused("somebody else has changed what was being restored");
  }
  return { rows: rows.length, tokens: record.tokens };
}

/** How many of the rows fit the next transaction. */
function nextBatchSize(
  rows: readonly [string, unknown][],
  from: number,
  { limits }: Store,
): number {
  let bytes = 512;
  let count = 0;
  while (from + count < rows.length && count < limits.ops) {
    const [key, value] = rows[from + count]!;
    bytes += 2 * key.length + 100 + jsonBytes(value);
    if (count > 0 && bytes > limits.txnBytes) break;
    count++;
  }
  return count;
}

async function writeBatch(
  store: Store,
  guard: Condition,
  batch: readonly [string, unknown][],
): Promise<void> {
  const when = batch.map(([key]) => ({ key, version: 0 }));
  const then = batch.map(([put, value]): Change => ({ put, value }));
  const result = await store.transact([guard, ...when], then);
  if (result.ok) return;
  if (result.failed.includes(keys.restored)) {
    throw new RestoreRefused("somebody else has changed what was being restored");
  }
  // An earlier try that was not answered, or an earlier run: then what is there is what should be.
  for (const [key, value] of batch) {
    const stored = await store.get(key);
    if (stored === null) {
      await store.transact([guard, { key, version: 0 }], [{ put: key, value }]);
    } else if (!isDeepStrictEqual(stored.value, value)) {
      throw new RestoreRefused(`${key} is there already, with another value`);
    }
  }
}

/** Reads everything back. */
async function verify(
  store: Store,
  rows: readonly [string, unknown][],
  retry: <T>(run: () => Promise<T>) => Promise<T>,
): Promise<void> {
  const expected = new Map(rows);
  for (const prefix of PREFIXES) {
    let after: string | null = null;
    for (;;) {
      const from: string | null = after;
      const page: Page = await retry(() => store.page(prefix, from, 1000));
      for (const { key, value } of page.rows) {
        // A controller that has come up too early tells of itself, and does nothing else.
        if (TRANSIENT_PREFIXES.some((passing) => key.startsWith(passing))) continue;
        if (!expected.has(key)) throw new RestoreRefused(`${key} has come from somewhere else`);
        if (!isDeepStrictEqual(expected.get(key), value)) {
          throw new RestoreRefused(`${key} is not what the image has`);
        }
        expected.delete(key);
      }
      after = page.rows.at(-1)?.key ?? null;
      if (!page.more || after === null) break;
    }
  }
  const [missing] = expected.keys();
  if (missing !== undefined) throw new RestoreRefused(`${missing} did not arrive`);
}
