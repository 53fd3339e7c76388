/**
 * The archive of finished jobs: keeps their final states permanently, in packed records outside the
 * watched keys. Loaded when a deployment has an archive, or has enough finished jobs to create one.
 * `docs/state.md` explains how it works, why its rules hold and which alternatives were considered.
 */
import type { Core } from "../extension/index.js";
import { decodeLeaf } from "./leaf.js";
import { Lookups } from "./lookups.js";

export { beginArchive, controllersWithoutArchiveSupport } from "./begin-archive.js";
export { type Candidates, Mover } from "./job-mover.js";
export {
  CorruptLeaf,
  covers,
  decodeLeaf,
  END_OF_RANGES,
  type Entry,
  encodeLeaf,
  findOutcome,
  type Leaf,
  type LeafRecord,
  lastIdOf,
  leafKey,
  listingStartOf,
} from "./leaf.js";
export { type Guard, Lookups } from "./lookups.js";
export { type Move, maxLeafBytes, type PlanLimits, planMove } from "./move-plan.js";

export function openArchive({ store, clock, log, layout }: Core): Lookups {
  store.writable.add(/^a\/j\//, (value, key) => {
    try {
      decodeLeaf({ key, value, version: 0 });
      return true;
    } catch {
      return false;
    }
  });
  return new Lookups(store, clock, log, layout.parts);
}
