import { z } from "zod";
import type { Parsed } from "../wire/jobs.js";
import { microOf } from "./money.js";

/** What one slot is. */
export interface Slot {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** What a guest wants, as the store keeps it. */
export interface Bid {
  id: string;
  guest: string;
  slot: Slot;
  count: number;
  /** The only zone that will do, or null. */
  zone: string | null;
  /** The most it pays for a slot and an hour, micro-units. */
  most: number;
  /** Times of day, milliseconds: slots are of use from the one to the other. */
  from: number;
  until: number;
  /** Shorter grants are of no use, milliseconds. */
  least: number;
  /** When a controller took it. */
  at: number;
  /** Random, by that controller: nobody can know beforehand what a draw will make of it. */
  salt: string;
  /** When it was withdrawn. The record stays until `until`, so that it cannot come back. */
  withdrawn?: number;
}

/** Slots that a guest has, in one part, until a time. */
export interface Grant {
  id: string;
  bid: string;
  guest: string;
  slot: Slot;
  slots: number;
  part: number;
  zone: string;
  /** For a slot and an hour, micro-units. */
  micro: number;
  from: number;
  until: number;
  /** Why it ends before its time. */
  cut?: string;
}

/** A round: closed, when the bids in it are settled; cleared, when who wins is; done. */
export interface Round {
  /** The instant it was for, milliseconds: rounds have no other name. */
  instant: number;
  phase: "closed" | "cleared" | "done";
  /** What has been won and is not granted yet, with the stamp that its bid had. */
  grants: [bid: string, stamp: number, grant: Grant][];
  /** The price of a core-hour as a fraction, micro-units; null when nothing was sold. */
  price: [number, number] | null;
}

/** One line of a guest's bill. */
export interface Charge {
  grant: string;
  from: number;
  until: number;
  slots: number;
  slot: Slot;
  zone: string;
  /** For a slot and an hour. */
  price: number;
  slotMs: number;
  micro: number;
  cut: string | null;
}

export interface Account {
  /** Charged and not settled. */
  owed: number;
  charged: number;
  settled: number;
  slotMs: number;
  grants: number;
  /** The first and last page of charges, and what pages before the first came to. */
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

/** What one round was like, for people. */
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
  /** Grants cut since the round before, and the longest until their room was free, ms. */
  cuts: number;
  slowestMs: number;
}

const pad = (value: number): string => String(value).padStart(9, "0");

/** Bids, grants and the round are watched; what is for the books is not. */
export const keys = {
  bids: "w/m/b/",
  bid: (guest: string, id: string): string => `w/m/b/${guest}/${id}`,
  grants: "w/m/g/",
  grant: (id: string): string => `w/m/g/${id}`,
  round: "w/m/round",
  account: (guest: string): string => `m/a/${guest}`,
  charges: (guest: string): string => `m/c/${guest}/`,
  page: (guest: string, page: number): string => `m/c/${guest}/${pad(page)}`,
  payment: (guest: string, id: string): string => `m/p/${guest}/${id}`,
  notes: "m/h/",
  note: (slot: number): string => `m/h/${pad(slot)}`,
  ties: (slot: number): string => `m/t/${pad(slot)}/`,
  tie: (slot: number, page: number): string => `m/t/${pad(slot)}/${pad(page)}`,
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
/** Bids and withdrawn bids are kept until they end, so that must be within sight. */
const MOST_AN_HOUR = 1e7;
export const MOST_AHEAD_MS = 31 * 86_400_000;

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
 * latest, leastS}`; `price` for a slot and an hour with at most six decimals, `earliest` and
 * `latest` in seconds since the epoch, `leastS` in seconds. The reason names the field.
 */
export function parseBid(body: unknown, now: number): Parsed<Omit<Bid, "salt">> {
  const no = (reason: string): Parsed<never> => ({ ok: false, reason });
  if (!isRecord(body)) return no("the body is not a map");
  const result = bidSchema.safeParse(body);
  if (!result.success) {
    const issue = result.error.issues[0];
    return no(`${issue?.path.join(".") || "body"}: ${issue?.message}`);
  }
  const bid = result.data;
  if (bid.cores + bid.accelerators <= 0) return no("cores: a slot has cores or accelerators");
  const most = microOf(bid.price);
  if (most === null || most === 0) return no("price: at most six decimals, and above 0");
  // A week of it has to be an exact integer of micro-units.
  if (bid.price * bid.slots > MOST_AN_HOUR) return no("price: times slots, above 10,000,000");
  const from = Math.round((bid.earliest ?? 0) * 1000);
  const until = Math.round(bid.latest * 1000);
  const least = Math.round(bid.leastS * 1000);
  if (until <= now) return no("latest: in the past");
  if (until - now > MOST_AHEAD_MS) return no("latest: more than 31 days ahead");
  if (until <= from) return no("latest: not after earliest");
  if (until - Math.max(from, now) < least) return no("leastS: longer than what is left");
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

/** Whether a repeated bid says what the known one said. */
export function sameBid(a: Omit<Bid, "salt">, b: Omit<Bid, "salt">): boolean {
  const said = (bid: Omit<Bid, "salt">): string => {
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
  return said(a) === said(b);
}
