/**
 * Money and use as exact integers: micro-units of the operator's currency, and slot-milliseconds.
 * Products are computed with bigints, so nothing is rounded except where documented.
 */
export const MICRO_PER_UNIT = 1_000_000;
export const HOUR_MS = 3_600_000n;

/** Converts an amount to micro-units; null if it is negative or has more than six decimals. */
export function toMicro(amount: number): number | null {
  const micro = Math.round(amount * MICRO_PER_UNIT);
  const exact = Number.isSafeInteger(micro) && Math.abs(amount * MICRO_PER_UNIT - micro) < 1e-3;
  return exact && amount >= 0 ? micro : null;
}

/** Formats micro-units as decimal text. */
export function formatMicro(micro: number | bigint): string {
  const value = BigInt(micro);
  const sign = value < 0n ? "-" : "";
  const text = (value < 0n ? -value : value).toString().padStart(7, "0");
  const decimals = text.slice(-6).replace(/0{0,4}$/, "");
  return `${sign}${text.slice(0, -6)}.${decimals}`;
}

/**
 * The cost of a number of slots for a time, rounded down: a guest never pays more than its use times
 * its price. `micro` is the price of a slot-hour.
 */
export function costOf(
  micro: number,
  slots: number,
  ms: number,
): { slotMs: number; micro: number } {
  const slotMs = BigInt(slots) * BigInt(Math.max(0, ms));
  return { slotMs: Number(slotMs), micro: Number((slotMs * BigInt(micro)) / HOUR_MS) };
}

/**
 * Compares a/b with c/d exactly, for positive denominators: negative, zero or positive if a/b is
 * less than, equal to or greater than c/d.
 */
export function compareRatios(a: number, b: number, c: number, d: number): number {
  // Fast path: most ratios differ enough to compare them as floating-point numbers.
  const left = a * d;
  const right = c * b;
  if (Math.abs(left - right) > 1e-9 * (left + right)) return left < right ? -1 : 1;
  const exact = BigInt(a) * BigInt(d) - BigInt(c) * BigInt(b);
  return exact < 0n ? -1 : exact > 0n ? 1 : 0;
}
