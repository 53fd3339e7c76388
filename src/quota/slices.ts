import { type Amounts, add, minus } from "../fair/share.js";

/**
 * A team's limit, split between parts: one key a team holds every part's slice, and their sum
 * never exceeds the limit. What no part holds is free to take. A part changes its own slice only,
 * so lowering one and raising another are always two commits, in this order.
 */
export type SliceRecord = Record<string, [cpus: number, gpus: number]>;

export const sliceOf = (record: SliceRecord, part: number): Amounts => {
  const slice = record[part] ?? [0, 0];
  return { cpus: slice[0], gpus: slice[1] };
};

export function freeOf(record: SliceRecord, limit: Amounts): Amounts {
  let taken: Amounts = { cpus: 0, gpus: 0 };
  for (const [cpus, gpus] of Object.values(record)) taken = add(taken, { cpus, gpus });
  return minus(limit, taken);
}

export const smaller = (a: Amounts, b: Amounts): Amounts => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
});

/**
 * The slice that a part should have, in one resource, by what it and the other parts use and ask
 * for, by priority from the lowest. Higher priorities come first; where the limit does not hold all
 * of one, it is shared out by demand; and what is left at the end is spread evenly, so that the
 * next job need not wait for a slice. Before this, whoever asked first took all it could use, and
 * the other parts' tasks of the same team waited behind it.
 */
export function target(
  limit: number,
  mine: readonly number[],
  others: readonly number[],
  parts: number,
): number {
  let left = limit;
  let sum = 0;
  for (let rank = mine.length - 1; rank >= 0; rank--) {
    const total = mine[rank]! + others[rank]!;
    const share = total <= left ? 1 : left / total;
    sum += mine[rank]! * share;
    left -= total * share;
  }
  return sum + left / parts;
}

/** The record with this part's slice moved towards `wanted` as far as the limit allows. */
export function reslice(
  record: SliceRecord,
  part: number,
  wanted: Amounts,
  limit: Amounts,
): SliceRecord {
  const own = sliceOf(record, part);
  const free = freeOf(record, limit);
  const cpus = Math.max(0, Math.min(wanted.cpus, own.cpus + Math.max(0, free.cpus)));
  const gpus = Math.max(0, Math.min(wanted.gpus, own.gpus + Math.max(0, free.gpus)));
  return { ...record, [part]: [cpus, gpus] };
}

export const isSliceRecord = (value: unknown): value is SliceRecord =>
  typeof value === "object" &&
  value !== null &&
  !Array.isArray(value) &&
  Object.values(value).every(
    (slice) => Array.isArray(slice) && slice.length === 2 && slice.every((one) => one >= 0),
  );
