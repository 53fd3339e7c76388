import { createHash } from "node:crypto";

/** The inputs of one tied bid to the draw. All of them are in the store. */
export interface DrawEntry {
  /** `guest/id`. */
  bid: string;
  /** The version that the state service assigned to the bid when it was written. */
  stamp: number;
  /** Random, chosen by the controller that accepted the bid. */
  salt: string;
}

const sha256Hex = (text: string): string => createHash("sha256").update(text).digest("hex");

/**
 * Orders bids of equal price by a verifiable random draw. The seed is the hash of the round's instant
 * and of all tied bids with their stamps and salts. Each bid's lot is the hash of the seed and the
 * bid's name; the lowest lot comes first.
 *
 * Neither bidders nor leaders can influence the result. Before the round a bidder sees neither other
 * bids nor its own salt and stamp, which the accepting controller and the state service choose, so
 * trying names, or making and withdrawing bids, reveals nothing. A leader does not choose the
 * instant, which is a multiple of a setting; nor which bids take part, which is decided by their
 * stamps and the version of the round's close; nor any other input of the hash. Repeating the draw,
 * also by another leader, gives the same order.
 */
export function tieBreakOrder(instant: number, tied: readonly DrawEntry[]): string[] {
  const tickets = [...tied].sort((a, b) => (a.bid < b.bid ? -1 : 1));
  const seed = sha256Hex(
    JSON.stringify([instant, ...tickets.map((t) => [t.bid, t.stamp, t.salt])]),
  );
  return tickets
    .map(({ bid }) => ({ bid, lot: sha256Hex(`${seed}/${bid}`) }))
    .sort((a, b) => (a.lot < b.lot ? -1 : 1))
    .map(({ bid }) => bid);
}
