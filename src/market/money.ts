/**
 * Money and use, as exact integers: micro-units of whatever the operator counts in, and
 * slot-milliseconds. Products go through bigints, so nothing is rounded but where it says so.
 */
export const MICRO = 1_000_000;
export const HOUR_MS = 3_600_000n;

/** An amount with at most six decimals as micro-units; null when it is not one. */
export function microOf(amount: number): number | null {
  const micro = Math.round(amount * MICRO);
  const exact = Number.isSafeInteger(micro) && Math.abs(amount * MICRO - micro) < 1e-3;
  return exact && amount >= 0 ? micro : null;
}

/** Micro-units for people, as decimal text. */
export function unitsOf(micro: number | bigint): string {
  const value = BigInt(micro);
  const sign = value < 0n ? "-" : "";
  const text = (value < 0n ? -value : value).toString().padStart(7, "0");
  const decimals = text.slice(-6).replace(/0{0,4}$/, "");
  return `${sign}${text.slice(0, -6)}.${decimals}`;
}

/**
 * What a number of slots cost for a time, rounded down: a guest never pays more than its use times
 * its price. `micro` is for a slot and an hour.
 */
export function costOf(
  micro: number,
  slots: number,
  ms: number,
): { slotMs: number; micro: number } {
  const slotMs = BigInt(slots) * BigInt(Math.max(0, ms));
  return { slotMs: Number(slotMs), micro: Number((slotMs * BigInt(micro)) / HOUR_MS) };
}

/** Compares a/b with c/d for positive denominators, exactly: below, at or above zero. */
export function compareRatios(a: number, b: number, c: number, d: number): number {
  // Most are far from each other: plain numbers tell those apart without bigints.
  const left = a * d;
  const right = c * b;
  if (Math.abs(left - right) > 1e-9 * (left + right)) return left < right ? -1 : 1;
  const exact = BigInt(a) * BigInt(d) - BigInt(c) * BigInt(b);
  return exact < 0n ? -1 : exact > 0n ? 1 : 0;
}
