import { jsonBytes } from "../jobs/chunk-page.js";
import { isFullyReleased, isJobHeader } from "../jobs/job-header.js";
import { outcomeOf } from "../jobs/job-outcome.js";
import { keys } from "../state/keys.js";
import type { Change, Condition, Row } from "../state/store.js";
import { type Entry, encodeLeaf, type Leaf, leafKey, searchEntries } from "./leaf.js";

export interface PlanLimits {
  /** Maximum number of changes in the transaction. */
  changes: number;
  /** Maximum size of a leaf. */
  leafBytes: number;
  txnBytes: number;
}

/** One atomic transaction that moves jobs into the archive. */
export interface Move {
  conditions: Condition[];
  changes: Change[];
  /** The headers that it removes. */
  moved: Row[];
  /** Headers of jobs that are already in the leaf, which should not exist. */
  alreadyArchived: Row[];
  /** The leaves as they will be, without the version, which is not known yet. */
  leaves: Omit<Leaf, "version">[];
}

/**
 * Maximum size of a leaf: half the size of a value leaves room for ids of the maximum length, and two
 * leaves with the other changes fit a transaction at every value size in use.
 */
export const maxLeafBytes = (limits: { valueBytes: number; txnBytes: number }): number =>
  Math.min(limits.valueBytes / 2, limits.txnBytes / 4);

/** Bytes of a transaction beyond its conditions and changes. */
const TRANSACTION_OVERHEAD_BYTES = 160;

/**
 * Plans how finished jobs are added to their leaf. A pure function of the leaf and the headers as
 * they were read; the transaction is conditional on both being unchanged.
 * @param rows headers whose ids the leaf covers, in order of their ids
 * @returns null when nothing can be moved
 */
export function planMove(leaf: Leaf, rows: readonly Row[], limits: PlanLimits): Move | null {
  const alreadyArchived: Row[] = [];
  const candidates: { row: Row; entry: Entry }[] = [];
  for (const row of rows) {
    const id = row.key.slice(keys.job("").length);
    const outcome =
      isJobHeader(row.value) && isFullyReleased(row.value) ? outcomeOf(row.value) : null;
    if (outcome === null) continue;
    if (searchEntries(leaf.entries, id) >= 0) alreadyArchived.push(row);
    else candidates.push({ row, entry: [id, outcome] });
  }
  // Tries fewer headers until leaves and removals fit one transaction.
  for (let count = Math.min(candidates.length, limits.changes - 1); count > 0; count--) {
    const selected = candidates.slice(0, count);
    const entries = mergeById(
      leaf.entries,
      selected.map(({ entry }) => entry),
    );
    const appended = (leaf.entries.at(-1)?.[0] ?? "") < selected[0]!.entry[0];
    const groups = splitLeaf(leaf.from, entries, limits.leafBytes, appended);
    if (groups.length + count > limits.changes) continue;
    const move = buildMove(leaf, groups, selected, alreadyArchived);
    if (jsonBytes([move.conditions, move.changes]) + TRANSACTION_OVERHEAD_BYTES <= limits.txnBytes)
      return move;
  }
  return alreadyArchived.length === 0
    ? null
    : { conditions: [], changes: [], moved: [], alreadyArchived, leaves: [] };
}

function buildMove(
  leaf: Leaf,
  groups: readonly Entry[][],
  selected: readonly { row: Row }[],
  alreadyArchived: Row[],
): Move {
  const conditions: Condition[] = [{ key: leaf.key, version: leaf.version }];
  const changes: Change[] = [];
  const leaves: Move["leaves"] = [];
  let from = leaf.from;
  for (const [i, entries] of groups.entries()) {
    const last = i === groups.length - 1 ? leaf.last : entries.at(-1)![0];
    const key = leafKey(last);
    // No leaf with this last id has ever existed: ranges are only split, each time at a new id.
    if (key !== leaf.key) conditions.push({ key, version: 0 });
    changes.push({ put: key, value: encodeLeaf(from, entries) });
    leaves.push({ key, from, last, entries });
    from = last;
  }
  for (const { row } of selected) {
    conditions.push({ key: row.key, version: row.version });
    changes.push({ remove: row.key });
  }
  return { conditions, changes, moved: selected.map(({ row }) => row), alreadyArchived, leaves };
}

function mergeById(a: readonly Entry[], b: readonly Entry[]): Entry[] {
  const out: Entry[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length) {
    const first = j >= b.length || (i < a.length && a[i]![0] < b[j]![0]);
    out.push(first ? a[i++]! : b[j++]!);
  }
  return out;
}

/**
 * Splits a leaf that has become too large. Normally into halves. If ids only increase, nothing would
 * be added to the first half again, so the first leaf is then left nearly full.
 */
function splitLeaf(from: string, entries: Entry[], maxBytes: number, appended: boolean): Entry[][] {
  if (entries.length < 2 || jsonBytes(encodeLeaf(from, entries)) <= maxBytes) return [entries];
  const share = appended ? 0.9 : 0.5;
  const at = Math.min(entries.length - 1, Math.max(1, Math.floor(entries.length * share)));
  const first = entries.slice(0, at);
  const rest = entries.slice(at);
  return [
    ...splitLeaf(from, first, maxBytes, false),
    ...splitLeaf(first.at(-1)![0], rest, maxBytes, appended && rest.length < entries.length / 2),
  ];
}
