import { hash, type Member } from "./layout.js";

export interface Vacancy {
  /** A part, or null for leadership, which has no home controller. */
  part: number | null;
  home: Member | null;
}

export interface Candidate extends Member {
  /** Number of parts it owns. */
  load: number;
}

const HASH_MULTIPLIER = 0x9e3779b1;

/** Rendezvous hashing: the parts of a failed controller are spread, differently for each controller. */
const rendezvousWeight = (name: string, part: number | null): number =>
  Math.imul(hash(`${name}/${part ?? "lead"}`), HASH_MULTIPLIER) >>> 0;

/**
 * Ranks the candidates for each unowned part and for leadership, best first: the home controller,
 * then controllers in the home's zone, which reach its machines, then those that own the fewest
 * parts, then by a hash that is the same on every controller. A part counts towards the load of its
 * first candidate, so the parts of two controllers that fail together go to two others. Controllers
 * that have read the same keys compute the same ranking, so none has to wait for other claims.
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
          // The leader's work covers the whole cluster; one part more or less does not matter.
          part === null ? 0 : load.get(name)!,
          rendezvousWeight(name, part),
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
 * How long a controller must have been present before parts are returned to it: `baseMs`, doubled
 * for each recent restart up to a bound, like route flap damping. Otherwise a controller that
 * restarts every 20 s would have its part moved twice per restart, and would get it back just
 * before the next one.
 */
export function requiredStableMs(recentRestarts: number, baseMs: number): number {
  return baseMs * 2 ** Math.min(recentRestarts, 6);
}
