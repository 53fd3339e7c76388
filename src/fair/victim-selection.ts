import { type Amounts, compareShares, EPSILON, type ShareTree } from "./share.js";

/** Something that may be stopped: one task of an array, or all that must stop together. */
export interface Victim {
  id: string;
  team: string;
  /** Lower is stopped first. */
  rank: number;
  size: Amounts;
  /** Saved work first, among otherwise equal ones. */
  loss: number;
  /**
   * Its team has no guarantee, so all that it runs is lent to it, and stopping it costs no more than
   * its save: such room is given back without waiting for as long as another's would have to be.
   */
  lent?: boolean;
  /** Stands behind the asker whatever the shares: what it is worth, the least is stopped first. */
  preemptionValue?: number;
}

export interface Preemptor {
  team: string;
  rank: number;
  size: Amounts;
  /** It fits into its team's guarantee: priorities and guarantees then work without delay. */
  withinGuarantee: boolean;
  /** Its team has no guarantee: it borrows what is idle, and has no other team's task stopped. */
  borrower?: boolean;
  /**
   * Otherwise one victim may lose this much work at most, in the unit of its `loss`, and
   * `maxFairLoss` where shares are evened out (S2). KEP-1714 asks for a minimum run time and a
   * delay against churn ("Risks and Mitigations"); this is both in one.
   */
  maxLoss: number;
  maxFairLoss: number;
}

export type PreemptionReason = "priority" | "reclaim" | "lent" | "fair" | "greedy" | "yield";

export interface SelectedVictim {
  victim: Victim;
  reason: PreemptionReason;
}

/** The groups to compare, when the victim's team borrows on all of its way up to them. */
function blamed(tree: ShareTree, asker: string, victim: string): { x: string; y: string } | null {
  const groups = tree.siblings(asker, victim);
  if (groups === null) return null;
  // Someone who uses only what is guaranteed, anywhere on the way up, is not to blame.
  for (const group of tree.path(victim)) {
    if (!tree.borrows(group)) return null;
    if (group === groups.y) break;
  }
  return groups;
}

/**
 * Why `victim` may be stopped for `asker`, or null. `reclaim` is S1 of KEP-1714, `fair` S2-a and
 * `greedy` S2-b; `priority` is what PROTOCOL allows inside a team.
 */
export function preemptionReason(
  tree: ShareTree,
  asker: Preemptor,
  victim: Victim,
): PreemptionReason | null {
  if (victim.preemptionValue !== undefined) return "yield";
  const affordable = asker.withinGuarantee || victim.loss <= asker.maxLoss;
  if (victim.team === asker.team) {
    return affordable && victim.rank < asker.rank ? "priority" : null;
  }
  if (asker.borrower === true) return null;
  const groups = blamed(tree, asker.team, victim.team);
  if (groups === null) return null;
  if (!tree.borrows(groups.x, asker.size)) return affordable ? "reclaim" : null;
  const late = victim.loss > asker.maxFairLoss;
  if (late && (victim.lent !== true || asker.maxLoss < 0)) return null;
  const mine = tree.share(groups.x, asker.size);
  const without = tree.share(groups.y, {
    cpus: -victim.size.cpus,
    gpus: -victim.size.gpus,
  });
  if (without >= mine - EPSILON && victim.rank <= asker.rank) return late ? "lent" : "fair";
  if (late) return null;
  if (tree.share(groups.y) > mine + EPSILON && victim.rank <= asker.rank) return "greedy";
  return null;
}

/** Whether any task of another team can be stopped for `asker` at all: a quick look before others. */
export function canPreemptFrom(
  tree: ShareTree,
  asker: Preemptor,
  team: string,
  lent: boolean,
): boolean {
  if (asker.borrower === true) return false;
  const groups = blamed(tree, asker.team, team);
  if (groups === null) return false;
  if (!tree.borrows(groups.x, asker.size) || asker.maxFairLoss >= 0) return true;
  return lent && asker.maxLoss >= 0;
}

/**
 * Picks what to stop so that `fits` becomes true: from the highest share (C1), then the lowest
 * priority (C2), then the smallest (C3). S2-b is used only when nothing else is left. Picks that
 * turn out not to be needed are put back.
 */
export function chooseVictims(
  tree: ShareTree,
  asker: Preemptor,
  victims: readonly Victim[],
  fits: (stopped: ReadonlySet<string>) => boolean,
  most: number,
): SelectedVictim[] {
  const picked: SelectedVictim[] = [];
  const stopped = new Set<string>();
  const left = new Set(victims);
  while (!fits(stopped) && picked.length < most) {
    let best: SelectedVictim | null = null;
    let bestShares: number[] = [];
    for (const victim of left) {
      const reason = preemptionReason(tree, asker, victim);
      if (reason === null) continue;
      const shares = tree.shares(victim.team);
      if (best === null || before(victim, reason, shares, best, bestShares)) {
        best = { victim, reason };
        bestShares = shares;
      }
    }
    if (best === null) break;
    left.delete(best.victim);
    stopped.add(best.victim.id);
    tree.charge(best.victim.team, best.victim.size, -1);
    picked.push(best);
  }
  const enough = fits(stopped);
  const kept: SelectedVictim[] = [];
  for (const pick of picked) {
    // Put back what frees nothing that is needed.
    stopped.delete(pick.victim.id);
    if (enough && !fits(stopped)) {
      stopped.add(pick.victim.id);
      kept.push(pick);
    }
  }
  for (const pick of picked) tree.charge(pick.victim.team, pick.victim.size, 1);
  return enough ? kept : [];
}

function before(
  victim: Victim,
  reason: PreemptionReason,
  shares: number[],
  best: SelectedVictim,
  bestShares: number[],
): boolean {
  if ((reason === "greedy") !== (best.reason === "greedy")) return best.reason === "greedy";
  if ((reason === "yield") !== (best.reason === "yield")) return reason === "yield";
  const other = best.victim;
  // What is lent, and costs no more than a save, goes before what others lose: by shares alone, a
  // team with little weight lost tasks that do not save while guests' tasks ran on.
  if ((victim.lent === true) !== (other.lent === true)) return victim.lent === true;
  if (victim.preemptionValue !== other.preemptionValue)
    return (victim.preemptionValue ?? 0) < (other.preemptionValue ?? 0);
  const byShare = compareShares(shares, bestShares);
  if (byShare !== 0) return byShare > 0;
  if (victim.rank !== other.rank) return victim.rank < other.rank;
  if (victim.size.cpus !== other.size.cpus) return victim.size.cpus < other.size.cpus;
  return victim.loss < other.loss;
}
