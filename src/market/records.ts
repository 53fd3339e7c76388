import { z } from "zod";
import type { Parsed } from "../wire/jobs.js";
import { toMicro } from "./money.js";

/** The resources of one slot. */
export interface Slot {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** A guest's bid, as stored. */
export interface Bid {
  id: string;
  guest: string;
  slot: Slot;
  count: number;
  /** The zone it is restricted to; null for any. */
  zone: string | null;
  /** The most it pays for a slot-hour, micro-units. */
  most: number;
  /** Slots are wanted from `from` to `until`: wall clock times, milliseconds since the epoch. */
  from: number;
  until: number;
  /** The shortest grant it accepts, milliseconds. */
  least: number;
  /** When a controller accepted it. */
  at: number;
  /**
   * Random, chosen by that controller, so that nobody can predict the result of a tie-break draw.
   */
  salt: string;
  /**
   * When it was withdrawn. The record is kept until `until`, so that the bid cannot be made again.
   */
  withdrawn?: number;
}

/** Slots that a guest may use in one part until a time. */
export interface Grant {
  id: string;
  bid: string;
  guest: string;
  slot: Slot;
  slots: number;
  part: number;
  zone: string;
  /** Price of a slot-hour, micro-units. */
  micro: number;
  from: number;
  until: number;
  /** Why it was cut short. */
  cut?: string;
}

/**
 * A round of bidding. closed: the set of bids is fixed; cleared: the winners are fixed; done: all
 * grants are written.
 */
export interface Round {
  /** The time of the round, milliseconds since the epoch; it identifies the round. */
  instant: number;
  phase: "closed" | "cleared" | "done";
  /** Won slots whose grants are not written yet, with the version of their bid at clearing. */
  grants: [bid: string, stamp: number, grant: Grant][];
  /** The price of a core-hour as a fraction, micro-units; null when nothing was sold. */
  price: [number, number] | null;
}

/** One charge to a guest: what a grant has cost. */
export interface Charge {
  grant: string;
  from: number;
  until: number;
  slots: number;
  slot: Slot;
  zone: string;
  /** Price of a slot-hour, micro-units. */
  price: number;
  slotMs: number;
  micro: number;
  cut: string | null;
}

export interface Account {
  /** Charged and not paid yet, micro-units. */
  owed: number;
  charged: number;
  settled: number;
  slotMs: number;
  grants: number;
  /** The first and last page of charges; `folded` holds the sums of the pages before the first. */
  first: number;
  last: number;
  folded: { micro: number; slotMs: number; grants: number };
}

export const emptyAccount = (): Account => ({
  owed: 0,
  charged: 0,
  settled: 0,
  slotMs: 0,
  grants: 0,
  first: 0,
  last: 0,
  folded: { micro: 0, slotMs: 0, grants: 0 },
});

/** Summary of one round, for reports. */
export interface RoundNote {
  instant: number;
  price: number;
  bids: number;
  sold: number;
  /** By zone, CPUs. */
  zones: Record<
    string,
    { free: number; reserve: number; demand: number; sold: number; guests: number }
  >;
  /** Grants cut short since the previous round, and the longest time until one was released, ms. */
  cuts: number;
  slowestMs: number;
}

const padNumber = (value: number): string => String(value).padStart(9, "0");

/** Bids, grants and the round have watched keys; accounts, notes and recorded demand do not. */
export const keys = {
  bids: "w/m/b/",
  bid: (guest: string, id: string): string => `w/m/b/${guest}/${id}`,
  grants: "w/m/g/",
  grant: (id: string): string => `w/m/g/${id}`,
  round: "w/m/round",
  account: (guest: string): string => `m/a/${guest}`,
  charges: (guest: string): string => `m/c/${guest}/`,
  page: (guest: string, page: number): string => `m/c/${guest}/${padNumber(page)}`,
  payment: (guest: string, id: string): string => `m/p/${guest}/${id}`,
  notes: "m/h/",
  note: (slot: number): string => `m/h/${padNumber(slot)}`,
  ties: (slot: number): string => `m/t/${padNumber(slot)}/`,
  tie: (slot: number, page: number): string => `m/t/${padNumber(slot)}/${padNumber(page)}`,
  demand: "m/f/",
  hour: (zone: string, hour: number): string => `m/f/${encodeURIComponent(zone)}/${hour}`,
};

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === "object" && value !== null && !Array.isArray(value);
export const isBid = (value: unknown): value is Bid =>
  isRecord(value) && typeof value.salt === "string" && isRecord(value.slot);
export const isGrant = (value: unknown): value is Grant =>
  isRecord(value) && typeof value.bid === "string" && isRecord(value.slot);
export const isRound = (value: unknown): value is Round =>
  isRecord(value) && typeof value.instant === "number" && Array.isArray(value.grants);
export const isAccount = (value: unknown): value is Account =>
  isRecord(value) && typeof value.owed === "number" && typeof value.last === "number";

export const BID_ID = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,59}$/;
const MAX_PRICE_TIMES_SLOTS = 1e7;
/** Bids, also withdrawn ones, are stored until they end, so their end must not be far ahead. */
export const MAX_LATEST_AHEAD_MS = 31 * 86_400_000;

const amount = z.number().finite().nonnegative().max(1e6);
const bidSchema = z.strictObject({
  id: z.string().regex(BID_ID, "1 to 60 of A-Z, a-z, 0-9, _ . and -"),
  guest: z.string().min(1).max(60),
  cores: amount.default(0),
  accelerators: amount.default(0),
  memGb: amount.default(0),
  slots: z.number().int().min(1).max(100_000),
  zone: z.string().min(1).max(100).nullish(),
  price: z.number().finite().positive().max(1e6),
  earliest: z.number().finite().nonnegative().nullish(),
  latest: z.number().finite().positive(),
  leastS: z.number().finite().nonnegative().default(0),
});

/**
 * A bid as a guest sends it: `{id, guest, cores, accelerators, memGb, slots, zone, price, earliest,
 * latest, leastS}`. `price` is for a slot-hour, with at most six decimals; `earliest` and `latest`
 * are in seconds since the epoch; `leastS` is in seconds. The reason for a rejection names the field.
 */
export function parseBid(body: unknown, now: number): Parsed<Omit<Bid, "salt">> {
  const invalid = (reason: string): Parsed<never> => ({ ok: false, reason });
  if (!isRecord(body)) return invalid("the body must be a map");
  const result = bidSchema.safeParse(body);
  if (!result.success) {
    const issue = result.error.issues[0];
    return invalid(`${issue?.path.join(".") || "body"}: ${issue?.message}`);
  }
  const bid = result.data;
  if (bid.cores + bid.accelerators <= 0)
    return invalid("cores: a slot needs cores or accelerators");
  const most = toMicro(bid.price);
  if (most === null || most === 0)
    return invalid("price: must be above 0, with at most six decimals");
  // The cost of a week must be exact as an integer of micro-units.
  if (bid.price * bid.slots > MAX_PRICE_TIMES_SLOTS)
    return invalid("price: price times slots must be at most 10,000,000");
  const from = Math.round((bid.earliest ?? 0) * 1000);
  const until = Math.round(bid.latest * 1000);
  const least = Math.round(bid.leastS * 1000);
  if (until <= now) return invalid("latest: in the past");
  if (until - now > MAX_LATEST_AHEAD_MS) return invalid("latest: more than 31 days ahead");
  if (until <= from) return invalid("latest: must be after earliest");
  if (until - Math.max(from, now) < least)
    return invalid("leastS: longer than the time that is left until latest");
  return {
    ok: true,
    value: {
      id: bid.id,
      guest: bid.guest,
      slot: { cpus: bid.cores, gpus: bid.accelerators, memGb: bid.memGb },
      count: bid.slots,
      zone: bid.zone ?? null,
      most,
      from,
      until,
      least,
      at: now,
    },
  };
}

/** Whether a repeated bid has the same content as the stored one. */
export function isSameBid(a: Omit<Bid, "salt">, b: Omit<Bid, "salt">): boolean {
  const contentOf = (bid: Omit<Bid, "salt">): string => {
    const { slot, count, zone, most, from, until, least } = bid;
    return JSON.stringify([
      slot.cpus,
      slot.gpus,
      slot.memGb,
      count,
      zone,
      most,
      from,
      until,
      least,
    ]);
  };
  return contentOf(a) === contentOf(b);
}
