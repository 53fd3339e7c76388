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
  typeof value === "object" && value !== null && !Array.isArray(value);
