import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Store } from "../state/store.js";
import { transactConfirmedByWatch } from "../state/watched-transaction.js";
import { cancelledHeader, type JobHeader } from "./job-header.js";

/**
 * Cancels an open job whose header was read at `version`. Returns the new version of the header, or
 * null if it has changed since it was read. After an error the write may still have been applied:
 * read the header again before continuing.
 */
export async function tryCancel(
  store: Store,
  mirror: Mirror,
  id: string,
  { header, version }: { header: JobHeader; version: number },
): Promise<number | null> {
  const cancelled = cancelledHeader(header, mirror.clock.wall());
  const epoch = mirror.listingEpoch();
  const result = await transactConfirmedByWatch(
    store,
    mirror,
    keys.job(id),
    [{ key: keys.job(id), version }],
    [
      { put: keys.job(id), value: cancelled },
      // Write batches with placements are conditional on this key's version: one that does not
      // take this cancellation into account fails.
      { put: keys.cancels, value: id },
    ],
  );
  if (!result.ok) return null;
  mirror.applyIfNotRelisted(
    { key: keys.job(id), value: cancelled, version: result.revision, deleted: false },
    epoch,
  );
  return result.revision;
}
