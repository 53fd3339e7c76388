/** Amounts of the resources that teams share. */
export interface Amounts {
  cpus: number;
  gpus: number;
}

export const addAmounts = (a: Amounts, b: Amounts): Amounts => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
});
export const subtractAmounts = (a: Amounts, b: Amounts): Amounts => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
});
export const EPSILON = 1e-6;
export const fitsWithin = (a: Amounts, limit: Amounts): boolean =>
  a.cpus <= limit.cpus + EPSILON && a.gpus <= limit.gpus + EPSILON;

/** A team, or a group of teams and groups. The root has no parent and contains all of them. */
export interface Group {
  name: string;
  parent: string | null;
  weight: number;
  /** The guarantee of a team; for a group, the sum over its members. */
  nominal: Amounts;
  /** The most that the group lends to others; if absent, its whole guarantee. */
  lending?: Amounts;
}

export const ROOT = "";
const NOTHING: Amounts = { cpus: 0, gpus: 0 };

/** The tree of teams and groups with their use. Use is counted at each level from team to root. */
export class ShareTree {
  readonly #groups = new Map<string, Group>();
  readonly #paths = new Map<string, string[]>();
  readonly #use = new Map<string, Amounts>();
  readonly #siblings = new Map<string, Map<string, { x: string; y: string } | null>>();

  constructor(groups: Group[]) {
    for (const group of groups) this.#groups.set(group.name, group);
    for (const group of groups) {
      const path: string[] = [];
      for (
        let at: Group | undefined = group;
        at !== undefined;
        at = at.parent === null ? undefined : this.#groups.get(at.parent)
      ) {
        path.push(at.name);
      }
      this.#paths.set(group.name, path);
      this.#use.set(group.name, { cpus: 0, gpus: 0 });
    }
  }

  /** Names from the team up to the root. */
  path(team: string): string[] {
    return this.#paths.get(team) ?? [];
  }

  use(group: string): Amounts {
    return this.#use.get(group) ?? NOTHING;
  }

  charge(team: string, amounts: Amounts, sign: 1 | -1 = 1): void {
    for (const group of this.path(team)) {
      const use = this.#use.get(group)!;
      use.cpus += sign * amounts.cpus;
      use.gpus += sign * amounts.gpus;
    }
  }

  /** Whether the group's use, plus `extra`, is above its guarantee in any resource. */
  borrows(group: string, extra: Amounts = NOTHING): boolean {
    const { nominal } = this.#groups.get(group)!;
    const use = this.use(group);
    return (
      use.cpus + extra.cpus > nominal.cpus + EPSILON ||
      use.gpus + extra.gpus > nominal.gpus + EPSILON
    );
  }

  /**
   * The group's use above its guarantee, divided by what its parent lends or else guarantees as a
   * whole, and by the group's weight; of the resources, the one with the largest ratio counts. See
   * KEP-1714, "Share value function and weights".
   */
  share(group: string, extra: Amounts = { cpus: 0, gpus: 0 }): number {
    const ownGroup = this.#groups.get(group)!;
    if (ownGroup.parent === null) return 0;
    const parent = this.#groups.get(ownGroup.parent)!;
    const pool = parent.lending ?? parent.nominal;
    const over = subtractAmounts(addAmounts(this.use(group), extra), ownGroup.nominal);
    const ratio = (above: number, of: number): number =>
      above <= EPSILON ? 0 : of > 0 ? above / of : Number.POSITIVE_INFINITY;
    return Math.max(ratio(over.cpus, pool.cpus), ratio(over.gpus, pool.gpus)) / ownGroup.weight;
  }

  /** The fraction of its guarantee that a team uses; the largest over the resources. */
  guaranteeUse(team: string): number {
    // A team that is unknown here may have jobs, which another controller has accepted.
    const nominal = this.#groups.get(team)?.nominal ?? NOTHING;
    const use = this.use(team);
    const ratio = (used: number, of: number): number => (of > 0 ? used / of : used > 0 ? 1 : 0);
    return Math.max(ratio(use.cpus, nominal.cpus), ratio(use.gpus, nominal.gpus));
  }

  /** Shares from the level below the root down to the team, for `compareShares`. */
  shares(team: string): number[] {
    return this.path(team)
      .slice(0, -1)
      .reverse()
      .map((group) => this.share(group));
  }

  /** The groups directly below the lowest common ancestor of `x` and `y` that contain them. */
  siblings(x: string, y: string): { x: string; y: string } | null {
    let pairsOfX = this.#siblings.get(x);
    if (pairsOfX === undefined) {
      pairsOfX = new Map();
      this.#siblings.set(x, pairsOfX);
    }
    let pair = pairsOfX.get(y);
    if (pair === undefined) {
      pair = this.#findSiblings(x, y);
      pairsOfX.set(y, pair);
    }
    return pair;
  }

  #findSiblings(x: string, y: string): { x: string; y: string } | null {
    const ancestors = new Set(this.path(x));
    const pathOfY = this.path(y);
    const indexInY = pathOfY.findIndex((group) => ancestors.has(group));
    if (indexInY <= 0) return null;
    const common = pathOfY[indexInY]!;
    const pathOfX = this.path(x);
    const indexInX = pathOfX.indexOf(common) - 1;
    return indexInX < 0 ? null : { x: pathOfX[indexInX]!, y: pathOfY[indexInY - 1]! };
  }
}

/** Compares shares level by level, from the root down. */
export function compareShares(a: number[], b: number[]): number {
  for (let i = 0; i < Math.max(a.length, b.length); i++) {
    const difference = (a[i] ?? 0) - (b[i] ?? 0);
    if (Math.abs(difference) > EPSILON) return difference;
  }
  return 0;
}
