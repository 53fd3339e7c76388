import { jsonBytes } from "../jobs/chunk-page.js";
import { isFullyReleased, isHeader } from "../jobs/job-header.js";
import { outcomeOf } from "../jobs/job-outcome.js";
import { keys } from "../state/keys.js";
import type { Change, Condition, Row } from "../state/store.js";
import { type Entry, encodeLeaf, type Leaf, leafKey, placeIn } from "./leaf.js";

export interface PlanLimits {
  /** Changes that may be spent now, and that a transaction may have. */
  changes: number;
  /** How large a leaf may get. */
  leafBytes: number;
  txnBytes: number;
}

/** One transaction that moves jobs into the archive; all of it happens at once or never. */
export interface Move {
  when: Condition[];
  changes: Change[];
  /** The headers that it removes. */
  moved: Row[];
  /** Headers of jobs that the leaf has already, which must not be. */
  doubled: Row[];
  /** The leaves as they will be; only the version is not known yet. */
  leaves: Omit<Leaf, "version">[];
}

/**
 * How much of a value a leaf may take: a half leaves room for ids as long as they may be, and two
 * leaves with what goes with them fit a transaction at every size of value that is in use.
 */
export const leafBytes = (limits: { valueBytes: number; txnBytes: number }): number =>
  Math.min(limits.valueBytes / 2, limits.txnBytes / 4);

/** What a name and its place take in a transaction, beyond the value. */
const OVERHEAD = 160;

/**
 * Puts jobs that are over into their leaf. A pure function of the leaf as it was read and of the
 * headers as they were read; the move holds only if both are still so when it is carried out.
 * @param rows headers whose ids the leaf covers, in order of their ids
 * @returns null when nothing can be moved
 */
export function planMove(leaf: Leaf, rows: readonly Row[], limits: PlanLimits): Move | null {
  const doubled: Row[] = [];
  const fit: { row: Row; entry: Entry }[] = [];
  for (const row of rows) {
    const id = row.key.slice(keys.job("").length);
    const past = isHeader(row.value) && isFullyReleased(row.value) ? outcomeOf(row.value) : null;
    if (past === null) continue;
    if (placeIn(leaf.entries, id) >= 0) doubled.push(row);
    else fit.push({ row, entry: [id, past] });
  }
  // Fewer of them, until leaves and removals together fit.
  for (let count = Math.min(fit.length, limits.changes - 1); count > 0; count--) {
    const taken = fit.slice(0, count);
    const entries = merge(
      leaf.entries,
      taken.map(({ entry }) => entry),
    );
    const appends = (leaf.entries.at(-1)?.[0] ?? "") < taken[0]!.entry[0];
    const groups = split(leaf.from, entries, limits.leafBytes, appends);
    if (groups.length + count > limits.changes) continue;
    const move = moveOf(leaf, groups, taken, doubled);
    if (jsonBytes([move.when, move.changes]) + OVERHEAD <= limits.txnBytes) return move;
  }
  return doubled.length === 0 ? null : { when: [], changes: [], moved: [], doubled, leaves: [] };
}

function moveOf(
  leaf: Leaf,
  groups: readonly Entry[][],
  taken: readonly { row: Row }[],
  doubled: Row[],
): Move {
  const when: Condition[] = [{ key: leaf.key, version: leaf.version }];
  const changes: Change[] = [];
  const leaves: Move["leaves"] = [];
  let from = leaf.from;
  for (const [i, entries] of groups.entries()) {
    const last = i === groups.length - 1 ? leaf.last : entries.at(-1)![0];
    const key = leafKey(last);
    // A range that ends here has never been: ranges are only ever divided, at new places.
    if (key !== leaf.key) when.push({ key, version: 0 });
    changes.push({ put: key, value: encodeLeaf(from, entries) });
    leaves.push({ key, from, last, entries });
    from = last;
  }
  for (const { row } of taken) {
    when.push({ key: row.key, version: row.version });
    changes.push({ remove: row.key });
  }
  return { when, changes, moved: taken.map(({ row }) => row), doubled, leaves };
}

function merge(a: readonly Entry[], b: readonly Entry[]): Entry[] {
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
 * Divides what has become too large. In halves as a rule; where ids only ever grow, a half would
 * never be added to again, so the first leaf is then left nearly full.
 */
function split(from: string, entries: Entry[], most: number, appends: boolean): Entry[][] {
  if (entries.length < 2 || jsonBytes(encodeLeaf(from, entries)) <= most) return [entries];
  const share = appends ? 0.9 : 0.5;
  const at = Math.min(entries.length - 1, Math.max(1, Math.floor(entries.length * share)));
  const first = entries.slice(0, at);
  const rest = entries.slice(at);
  return [
    ...split(from, first, most, false),
    ...split(first.at(-1)![0], rest, most, appends && rest.length < entries.length / 2),
  ];
}
