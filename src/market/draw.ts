import { createHash } from "node:crypto";

/** What a tied bid brings into the draw. All of it is in the store. */
export interface Ticket {
  /** `guest/id`. */
  bid: string;
  /** The version that the state service gave the bid when it was written. */
  stamp: number;
  /** Random, by the controller that took it. */
  salt: string;
}

const digest = (text: string): string => createHash("sha256").update(text).digest("hex");

/**
 * The order among bids that nothing else tells apart. The seed is the hash of the round's instant
 * and of all tied bids with their stamps and salts; each bid's lot is the hash of the seed and its
 * name, and the lowest goes first.
 *
 * Nobody can steer it. A bidder does not see other bids before the round, nor its own salt and
 * stamp, which the accepting controller and the state service choose; so trying names, or making
 * and withdrawing bids, shows it nothing. A leader neither chooses the instant, which is a multiple
 * of a setting, nor which bids are in, which their stamps and the close's say, nor anything that
 * goes into the hash; trying again, or another leader in its place, draws the same.
 */
export function draw(instant: number, tied: readonly Ticket[]): string[] {
  const tickets = [...tied].sort((a, b) => (a.bid < b.bid ? -1 : 1));
  const seed = digest(JSON.stringify([instant, ...tickets.map((t) => [t.bid, t.stamp, t.salt])]));
  return tickets
    .map(({ bid }) => ({ bid, lot: digest(`${seed}/${bid}`) }))
    .sort((a, b) => (a.lot < b.lot ? -1 : 1))
    .map(({ bid }) => bid);
}
