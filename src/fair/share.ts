/** Amounts of what teams share. */
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

/** A team, or a group of teams and groups. The root has no parent and stands for everything. */
export interface Group {
  name: string;
  parent: string | null;
  weight: number;
  /** A team's guarantee; for a group the sum over its members. */
  nominal: Amounts;
  /** What it lends to others at most; without it, all of its guarantee. */
  lending?: Amounts;
}

export const ROOT = "";
const NOTHING: Amounts = { cpus: 0, gpus: 0 };

/** The tree of teams with their use. Use is counted at every level from a team to the root. */
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

  /** From the team up to the root. */
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

  borrows(group: string, extra: Amounts = NOTHING): boolean {
    const { nominal } = this.#groups.get(group)!;
    const use = this.use(group);
    return (
      use.cpus + extra.cpus > nominal.cpus + EPSILON ||
      use.gpus + extra.gpus > nominal.gpus + EPSILON
    );
  }

  /**
   * The largest ratio, over the resources, of what a group uses above its guarantee and what its
   * parent's members guarantee (or lend) together, divided by its weight. KEP-1714, "Share value
   * function and weights".
   */
  share(group: string, extra: Amounts = { cpus: 0, gpus: 0 }): number {
    const own = this.#groups.get(group)!;
    if (own.parent === null) return 0;
    const parent = this.#groups.get(own.parent)!;
    const pool = parent.lending ?? parent.nominal;
    const over = subtractAmounts(addAmounts(this.use(group), extra), own.nominal);
    const ratio = (above: number, of: number): number =>
      above <= EPSILON ? 0 : of > 0 ? above / of : Number.POSITIVE_INFINITY;
    return Math.max(ratio(over.cpus, pool.cpus), ratio(over.gpus, pool.gpus)) / own.weight;
  }

  /** How much of its guarantee a team uses, by the resource it uses most of. */
  guaranteeUse(team: string): number {
    // A team that this controller does not know may have jobs: another controller took them.
    const nominal = this.#groups.get(team)?.nominal ?? NOTHING;
    const use = this.use(team);
    const ratio = (used: number, of: number): number => (of > 0 ? used / of : used > 0 ? 1 : 0);
    return Math.max(ratio(use.cpus, nominal.cpus), ratio(use.gpus, nominal.gpus));
  }

  /** Shares from below the root down to the team: compared level by level. */
  shares(team: string): number[] {
    return this.path(team)
      .slice(0, -1)
      .reverse()
      .map((group) => this.share(group));
  }

  /** The sibling groups, below the lowest common ancestor, that hold `x` and `y`. */
  siblings(x: string, y: string): { x: string; y: string } | null {
    let known = this.#siblings.get(x);
    if (known === undefined) {
      known = new Map();
      this.#siblings.set(x, known);
    }
    let pair = known.get(y);
    if (pair === undefined) {
      pair = this.#findSiblings(x, y);
      known.set(y, pair);
    }
    return pair;
  }

  #findSiblings(x: string, y: string): { x: string; y: string } | null {
    const ancestors = new Set(this.path(x));
    const path = this.path(y);
    const at = path.findIndex((group) => ancestors.has(group));
    if (at <= 0) return null;
    const common = path[at]!;
    const mine = this.path(x);
    const below = mine.indexOf(common) - 1;
    return below < 0 ? null : { x: mine[below]!, y: path[at - 1]! };
  }
}

export function compareShares(a: number[], b: number[]): number {
  for (let i = 0; i < Math.max(a.length, b.length); i++) {
    const difference = (a[i] ?? 0) - (b[i] ?? 0);
    if (Math.abs(difference) > EPSILON) return difference;
  }
  return 0;
}
