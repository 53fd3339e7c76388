import { isDeepStrictEqual } from "node:util";
import type { Mirror } from "./mirror.js";
import type { Change, Condition, Store, TxnResult } from "./store.js";

/** As values are in the store: fields that are not set are not there. */
const plain = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/**
 * Carries out a transaction that writes a watched key, and knows that it has been as soon as the answer
 * or the watch tells, whichever is first. An answer alone may be lost: whoever waited for it to its
 * deadline had users submit and cancel again seconds later.
 *
 * What the watch shows counts if it is the very value, at a version that the condition on the key had
 * not met before: it was written after the call.
 *
 * @throws what `transact` throws, if the watch has told nothing by then
 */
export async function transactConfirmedByWatch(
  store: Store,
  mirror: Mirror,
  key: string,
  when: Condition[],
  then: Change[],
): Promise<TxnResult> {
  const put = then.find((change) => "put" in change && change.put === key);
  const value = put !== undefined && "put" in put ? plain(put.value) : undefined;
  const before = when.find((condition) => condition.key === key)?.version ?? 0;
  let stop = (): void => undefined;
  const seen = new Promise<TxnResult>((resolve) => {
    stop = mirror.onKey(key, (event) => {
      if (event.deleted || event.version <= before) return;
      if (isDeepStrictEqual(plain(event.value), value))
        resolve({ ok: true, revision: event.version });
    });
  });
  const told = store.transact(when, then);
  try {
    return await Promise.race([told, seen]);
  } finally {
    stop();
    // Nobody waits for it any more.
    told.catch(() => undefined);
  }
}
