import { type Amounts, addAmounts, subtractAmounts } from "../fair/share.js";
import { isMap } from "../wire/cbor.js";
import { isLimited } from "./limits.js";

type Slice = [cpus: number, gpus: number];

/**
 * A team's limit, split between parts: one key a team holds every part's slice, and their sum
 * never exceeds the limit. What no part holds is free to take. A part changes its own slice only,
 * so lowering one and raising another are always two commits, in this order. A resource without a
 * limit has no slices: its numbers stay 0.
 *
 * Null stands for a slice of which nobody but its part's owner knows how large it was: as long as
 * there is one, nothing is free.
 */
export type SliceRecord = Record<string, Slice | null>;

const isAmount = (value: unknown): value is number =>
  typeof value === "number" && Number.isFinite(value) && value >= 0;

const isSlice = (value: unknown): value is Slice =>
  Array.isArray(value) && value.length === 2 && value.every(isAmount);

/** Whether it is what a program may write. */
export const isSliceRecord = (value: unknown): value is SliceRecord =>
  isMap(value) &&
  Object.entries(value).every(
    ([part, slice]) => /^\d+$/.test(part) && (slice === null || isSlice(slice)),
  );

/**
 * The slices in a record, whatever it is. What cannot be read in it is not known, and of what
 * cannot be read at all no slice is: a program once wrote NaN, which some stores give back as null,
 * and `null >= 0` had it pass for a slice of nothing that others could take over.
 */
export function readSlices(value: unknown, parts: number): SliceRecord {
  const unknown = Array.from({ length: parts }, (_, part): [string, null] => [`${part}`, null]);
  if (!isMap(value)) return Object.fromEntries(unknown);
  return Object.fromEntries(
    Object.entries(value).flatMap(([part, slice]): [string, Slice | null][] =>
      /^\d+$/.test(part) ? [[part, isSlice(slice) ? slice : null]] : unknown,
    ),
  );
}

/** Null when it is not known. */
export function sliceOf(record: SliceRecord, part: number): Amounts | null {
  const slice = record[part];
  if (slice === null) return null;
  const [cpus, gpus] = slice ?? [0, 0];
  return { cpus, gpus };
}

/** Nothing, as long as somebody's slice is not known. */
export function unassignedAmounts(record: SliceRecord, limit: Amounts): Amounts {
  let taken: Amounts = { cpus: 0, gpus: 0 };
  for (const slice of Object.values(record)) {
    if (slice === null) return { cpus: 0, gpus: 0 };
    taken = addAmounts(taken, { cpus: slice[0], gpus: slice[1] });
  }
  return subtractAmounts(limit, taken);
}

export const minAmounts = (a: Amounts, b: Amounts): Amounts => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
});

/**
 * The slice that a part should have, in one resource, by what it and the other parts use and ask
 * for, by priority from the lowest. Higher priorities come first; where the limit does not hold all
 * of one, it is shared out by demand; and what is left at the end is spread evenly, so that the
 * next job need not wait for a slice. Before this, whoever asked first took all it could use, and
 * the other parts' tasks of the same team waited behind it.
 *
 * What is left never is below zero: a hair below it, by rounding, a rank that nobody asks for came
 * to 0 times infinity.
 */
export function targetSlice(
  limit: number,
  mine: readonly number[],
  others: readonly number[],
  parts: number,
): number {
  if (!isLimited(limit)) return limit;
  let left = Math.max(0, limit);
  let sum = 0;
  for (let rank = mine.length - 1; rank >= 0; rank--) {
    const total = mine[rank]! + others[rank]!;
    // Also for what is no number: nothing is asked for.
    if (!(total > 0)) continue;
    const share = Math.min(1, left / total);
    sum += mine[rank]! * share;
    left = share < 1 ? 0 : Math.max(0, left - total);
  }
  return Math.min(Math.max(0, limit), sum + left / parts);
}

/** The record with this part's slice moved towards `wanted` as far as the limit allows. */
export function resizeSlice(
  record: SliceRecord,
  part: number,
  wanted: Amounts,
  limit: Amounts,
): SliceRecord {
  const own = sliceOf(record, part);
  const free = unassignedAmounts(record, limit);
  const one = (resource: keyof Amounts): number => {
    if (!isLimited(limit[resource])) return own?.[resource] ?? 0;
    // Its owner says what its tasks use: they are there, whether that fits the limit or not.
    if (own === null) return Math.max(0, wanted[resource]);
    const most = own[resource] + Math.max(0, free[resource]);
    return Math.max(0, Math.min(wanted[resource], most));
  };
  return { ...record, [part]: [one("cpus"), one("gpus")] };
}
