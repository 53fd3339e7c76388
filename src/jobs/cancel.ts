import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Store } from "../state/store.js";
import { transactConfirmedByWatch } from "../state/watched-transaction.js";
import { cancelledHeader, type JobHeader } from "./job-header.js";

/**
 * Cancels an open job whose header was read at a version. The version that it has then, or null when
 * it has changed since. After
 * an error it may have come to pass all the same: read the header again before going on.
 */
export async function tryCancel(
  store: Store,
  mirror: Mirror,
  id: string,
  { header, version }: { header: JobHeader; version: number },
): Promise<number | null> {
  const next = cancelledHeader(header, mirror.clock.wall());
  const mark = mirror.listingEpoch();
  const result = await transactConfirmedByWatch(
    store,
    mirror,
    keys.job(id),
    [{ key: keys.job(id), version }],
    [
      { put: keys.job(id), value: next },
      // Placements that do not know of it yet depend on this key's former version.
      { put: keys.cancels, value: id },
    ],
  );
  if (!result.ok) return null;
  mirror.applyIfNotRelisted(
    { key: keys.job(id), value: next, version: result.revision, deleted: false },
    mark,
  );
  return result.revision;
}
