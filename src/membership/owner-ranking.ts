import { hash, type Member } from "./layout.js";

export interface Vacancy {
  /** A part, or null for leadership, which has no home. */
  part: number | null;
  home: Member | null;
}

export interface Candidate extends Member {
  /** Parts that it owns. */
  load: number;
}

const MIX = 0x9e3779b1;

/** Spreads the parts of one lost controller, and of each of several, differently (rendezvous). */
const weight = (name: string, part: number | null): number =>
  Math.imul(hash(`${name}/${part ?? "lead"}`), MIX) >>> 0;

/**
 * Who should own what nobody owns, the best first: its home, then those of its zone, who reach its
 * machines, then who has least, then by a draw that is the same for everybody. What is given out is
 * counted, so the parts of two controllers that end together go to two others. Everybody who has
 * the same keys before him comes to the same answer, and nobody has to wait to see who comes.
 */
export function rankOwners(
  vacancies: readonly Vacancy[],
  candidates: readonly Candidate[],
): Map<number | null, string[]> {
  const load = new Map(candidates.map((one) => [one.name, one.load]));
  const ranked = new Map<number | null, string[]>();
  for (const { part, home } of vacancies) {
    const order = candidates
      .map(({ name, zone }) => ({
        name,
        rank: [
          home !== null && name === home.name ? 0 : 1,
          home !== null && zone !== home.zone ? 1 : 0,
          // Who leads has to look after the whole; one part more or less does not decide.
          part === null ? 0 : load.get(name)!,
          weight(name, part),
        ],
      }))
      .sort((a, b) => {
        const at = a.rank.findIndex((value, i) => value !== b.rank[i]);
        return at < 0 ? 0 : a.rank[at]! - b.rank[at]!;
      })
      .map(({ name }) => name);
    ranked.set(part, order);
    const first = order[0];
    if (part !== null && first !== undefined) load.set(first, load.get(first)! + 1);
  }
  return ranked;
}

/**
 * How long a controller has to have stood before parts go back to it: a while, and twice as long
 * with every end among the last ones, as flapping routes are damped. One that ends every 20 s
 * would have its part moved twice a time, and be given it again just before the next end.
 */
export function requiredStableMs(ends: number, onceMs: number): number {
  return onceMs * 2 ** Math.min(ends, 6);
}
