import { type Amounts, addAmounts, subtractAmounts } from "../fair/share.js";
import { isMap } from "../wire/cbor.js";
import { isLimited } from "./limits.js";

type Slice = [cpus: number, gpus: number];

/**
 * A team's limit, divided between the parts. One key per team holds the slices of all parts, and
 * their sum never exceeds the limit; any part may take what is unassigned. A part changes only its
 * own slice, so moving quota takes two commits: first one slice is lowered, then another is raised.
 * A resource without a limit has no slices, and its amounts stay 0.
 *
 * Null is a slice of unknown size: only the owner of its part knows what it uses. While a record
 * has such a slice, nothing of the limit counts as unassigned.
 */
export type SliceRecord = Record<string, Slice | null>;

const isAmount = (value: unknown): value is number =>
  typeof value === "number" && Number.isFinite(value) && value >= 0;

const isSlice = (value: unknown): value is Slice =>
  Array.isArray(value) && value.length === 2 && value.every(isAmount);

/** Whether the value is a record that may be written: stricter than what `readSlices` accepts. */
export const isSliceRecord = (value: unknown): value is SliceRecord =>
  isMap(value) &&
  Object.entries(value).every(
    ([part, slice]) => /^\d+$/.test(part) && (slice === null || isSlice(slice)),
  );

/**
 * Reads the slices from any value. An invalid slice becomes null (unknown), and an invalid record
 * makes the slices of all parts unknown. An earlier version wrote NaN, which some state services
 * return as null; because `null >= 0` is true, it was taken for an empty slice, and other parts
 * could take over that quota.
 */
export function readSlices(value: unknown, parts: number): SliceRecord {
  const allUnknown = Array.from({ length: parts }, (_, part): [string, null] => [`${part}`, null]);
  if (!isMap(value)) return Object.fromEntries(allUnknown);
  return Object.fromEntries(
    Object.entries(value).flatMap(([part, slice]): [string, Slice | null][] =>
      /^\d+$/.test(part) ? [[part, isSlice(slice) ? slice : null]] : allUnknown,
    ),
  );
}

/** The slice of one part, zero if it has none; null if its size is unknown. */
export function sliceOf(record: SliceRecord, part: number): Amounts | null {
  const slice = record[part];
  if (slice === null) return null;
  const [cpus, gpus] = slice ?? [0, 0];
  return { cpus, gpus };
}

/** What of the limit no slice holds; zero while any slice is unknown. */
export function unassignedAmounts(record: SliceRecord, limit: Amounts): Amounts {
  let assigned: Amounts = { cpus: 0, gpus: 0 };
  for (const slice of Object.values(record)) {
    if (slice === null) return { cpus: 0, gpus: 0 };
    assigned = addAmounts(assigned, { cpus: slice[0], gpus: slice[1] });
  }
  return subtractAmounts(limit, assigned);
}

export const minAmounts = (a: Amounts, b: Amounts): Amounts => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
});

/**
 * The slice that a part should have of one resource. `ownDemand` and `otherDemand` are what this
 * part and the other parts use and ask for, by priority from the lowest. Higher priorities are
 * served first; a priority that does not fit as a whole is divided in proportion to demand. What
 * remains is spread evenly, so that the next job need not wait for a slice. Without this division,
 * the first part to ask took all it could use, and tasks of the same team in other parts waited.
 *
 * `remaining` is kept at 0 or above: when rounding made it slightly negative, a priority without
 * demand resulted in 0 times infinity.
 */
export function targetSlice(
  limit: number,
  ownDemand: readonly number[],
  otherDemand: readonly number[],
  parts: number,
): number {
  if (!isLimited(limit)) return limit;
  let remaining = Math.max(0, limit);
  let allotted = 0;
  for (let rank = ownDemand.length - 1; rank >= 0; rank--) {
    const total = ownDemand[rank]! + otherDemand[rank]!;
    // Also true for NaN, which counts as no demand.
    if (!(total > 0)) continue;
    const share = Math.min(1, remaining / total);
    allotted += ownDemand[rank]! * share;
    remaining = share < 1 ? 0 : Math.max(0, remaining - total);
  }
  return Math.min(Math.max(0, limit), allotted + remaining / parts);
}

/** The record with this part's slice changed towards `wanted`, as far as the limit allows. */
export function resizeSlice(
  record: SliceRecord,
  part: number,
  wanted: Amounts,
  limit: Amounts,
): SliceRecord {
  const ownSlice = sliceOf(record, part);
  const unassigned = unassignedAmounts(record, limit);
  const resized = (resource: keyof Amounts): number => {
    if (!isLimited(limit[resource])) return ownSlice?.[resource] ?? 0;
    // The size was unknown: the caller passes what the part's tasks use. They are running already,
    // so this applies even if it exceeds the limit.
    if (ownSlice === null) return Math.max(0, wanted[resource]);
    const maxAmount = ownSlice[resource] + Math.max(0, unassigned[resource]);
    return Math.max(0, Math.min(wanted[resource], maxAmount));
  };
  return { ...record, [part]: [resized("cpus"), resized("gpus")] };
}
