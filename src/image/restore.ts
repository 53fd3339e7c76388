import { isDeepStrictEqual } from "node:util";
import { type Clock, sleep } from "../clock.js";
import { jsonBytes } from "../jobs/chunk-page.js";
import { keys } from "../state/keys.js";
import { parseRestoreRecord, type RestoreRecord } from "../state/restore-state.js";
import type { Change, Condition, Page, Store } from "../state/store.js";
import { checkImage, type Finding } from "./check.js";
import { type Image, PREFIXES } from "./collect.js";
import { retryUnavailable } from "./retry.js";

/** The image was not restored, or only in part; the message gives the reason in one line. */
export class RestoreRefused extends Error {
  constructor(
    message: string,
    readonly findings: readonly Finding[] = [],
  ) {
    super(message);
  }
}

/**
 * Keys that are not restored. Most describe running controllers, which are other processes after a
 * restore. Summaries are hints that would be outdated.
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

/** The rows of an image that are restored, in order of key. */
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
 * A number above every fencing token that a worker can have seen when the image is restored. A token
 * is a version, and after the image was taken the former service made at most `writeRps` changes a
 * second. The result allows for twice that rate and one more hour, because clocks may be wrong and
 * because leases expired.
 */
export function tokensAbove(image: Image, wallMs: number, writeRps: number): number {
  const earlierTokens = parseRestoreRecord(image.rows.get(keys.restored)?.value)?.tokens ?? 0;
  const elapsedS = (wallMs - image.takenAt) / 1000 + 3600;
  return earlierTokens + image.revision + Math.ceil(2 * writeRps * elapsedS);
}

export interface RestoreOptions {
  store: Store;
  clock: Clock;
  /** Changes per second that the former service allowed. */
  writeRps: number;
  /** The names of the controllers: none of them may be running when the restore begins. */
  members?: readonly string[];
  /** Called with the number of rows written so far and in all. */
  progress?(done: number, all: number): void;
}

/**
 * Fills an empty state service from an image. The restore record is in state "filling" first, in
 * which no controller acts, and in state "settling" at the end, once every row has been read back. So
 * after a crash the content is either complete, or ignored by all controllers and completed by
 * calling this again.
 * @returns the number of rows written, and the number by which fencing tokens are raised
 * @throws RestoreRefused if the image has findings, or the service is not empty or has another image
 */
export async function restoreImage(
  image: Image,
  { store, clock, writeRps, members = [], progress }: RestoreOptions,
): Promise<{ rows: number; tokens: number }> {
  const findings = checkImage(image);
  if (findings.length > 0) {
    throw new RestoreRefused(
      `the image has ${findings.length} findings; run "state mend" first`,
      findings,
    );
  }
  const wallMs = clock.wall();
  if (wallMs < image.takenAt - 60_000) {
    throw new RestoreRefused("the image was taken in the future: this machine's clock is wrong");
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
    // If several restores start at once, the first record written counts.
    record = parseRestoreRecord((await retry(() => store.get(keys.restored)))?.value);
  }
  if (record === null)
    throw new RestoreRefused("a controller is running: stop all controllers first");
  if (!isDeepStrictEqual(record.image, initialRecord.image)) {
    throw new RestoreRefused("the state service is being filled from another image");
  }
  if (record.state !== "filling") {
    throw new RestoreRefused("the state service has been restored from this image already");
  }
  const rows = restorable(image);
  const restoreRow = await retry(() => store.get(keys.restored));
  const guard = { key: keys.restored, version: restoreRow!.version };
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
  const currentRecord = parseRestoreRecord((await retry(() => store.get(keys.restored)))?.value);
  if (!result.ok && currentRecord?.state !== "settling") {
    throw new RestoreRefused("another process changed the restore record (w/restored)");
  }
  return { rows: rows.length, tokens: record.tokens };
}

/** The number of rows that fit the next transaction. */
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
    throw new RestoreRefused("another process changed the restore record (w/restored)");
  }
  // Rows of an earlier attempt without an answer, or of an earlier run, have the same values.
  for (const [key, value] of batch) {
    const stored = await store.get(key);
    if (stored === null) {
      await store.transact([guard, { key, version: 0 }], [{ put: key, value }]);
    } else if (!isDeepStrictEqual(stored.value, value)) {
      throw new RestoreRefused(`${key} already exists with another value`);
    }
  }
}

/** Reads all rows back and compares them with the image. */
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
        // A controller that was started too early writes its presence, and nothing else.
        if (TRANSIENT_PREFIXES.some((transient) => key.startsWith(transient))) continue;
        if (!expected.has(key))
          throw new RestoreRefused(`${key} is not in the image: another process wrote it`);
        if (!isDeepStrictEqual(expected.get(key), value)) {
          throw new RestoreRefused(`${key} differs from the image`);
        }
        expected.delete(key);
      }
      after = page.rows.at(-1)?.key ?? null;
      if (!page.more || after === null) break;
    }
  }
  const [missing] = expected.keys();
  if (missing !== undefined) throw new RestoreRefused(`${missing} is missing after the restore`);
}
