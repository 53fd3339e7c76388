import { isDeepStrictEqual } from "node:util";
import type { Mirror } from "./mirror.js";
import type { Change, Condition, Store, TxnResult } from "./store.js";

/** The value as the store returns it: without undefined fields. */
const asStored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/**
 * Executes a transaction that writes a watched key. It is confirmed by the answer or by the watch,
 * whichever comes first. The answer alone may be lost: callers that waited for it until its deadline
 * made users submit and cancel again seconds later.
 *
 * An event of the watch counts if it has exactly the written value, at a version above the one in the
 * condition on the key: then it was written after the call.
 *
 * @throws what `transact` throws, if the watch has not confirmed the transaction by then
 */
export async function transactConfirmedByWatch(
  store: Store,
  mirror: Mirror,
  key: string,
  when: Condition[],
  then: Change[],
): Promise<TxnResult> {
  const put = then.find((change) => "put" in change && change.put === key);
  const expected = put !== undefined && "put" in put ? asStored(put.value) : undefined;
  const versionBefore = when.find((condition) => condition.key === key)?.version ?? 0;
  let stopListening = (): void => undefined;
  const confirmed = new Promise<TxnResult>((resolve) => {
    stopListening = mirror.onKey(key, (event) => {
      if (event.deleted || event.version <= versionBefore) return;
      if (isDeepStrictEqual(asStored(event.value), expected))
        resolve({ ok: true, revision: event.version });
    });
  });
  const answered = store.transact(when, then);
  try {
    return await Promise.race([answered, confirmed]);
  } finally {
    stopListening();
    // A later failure of the request has no caller any more.
    answered.catch(() => undefined);
  }
}
