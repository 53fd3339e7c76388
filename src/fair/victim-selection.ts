import { type Amounts, compareShares, EPSILON, type ShareTree } from "./share.js";

/** A candidate for preemption: one task of an array, or all tasks that must stop together. */
export interface Victim {
  id: string;
  team: string;
  /** The job's priority; lower ones are stopped first. */
  rank: number;
  size: Amounts;
  /** Work lost by stopping it; among otherwise equal victims, the smallest loss is stopped first. */
  loss: number;
  /**
   * Its team has no guarantee, so all that it runs is lent, and stopping it costs no more than
   * saving a checkpoint. Lent resources are taken back after a shorter wait than those of others.
   */
  lent?: boolean;
  /**
   * Set for a task of a preemptible team, which may be stopped whatever the shares are. The lowest
   * value is stopped first.
   */
  preemptionValue?: number;
}

/** A waiting job for which others may be stopped. */
export interface Preemptor {
  team: string;
  rank: number;
  size: Amounts;
  /** It fits into its team's guarantee; preemption by priority and guarantee is then immediate. */
  withinGuarantee: boolean;
  /** Its team has no guarantee: it uses idle resources only and preempts no other team. */
  borrower?: boolean;
  /**
   * The most work that one victim may lose when the preemptor is not within its guarantee, in the
   * unit of `Victim.loss`. `maxFairLoss` is the same bound where shares are evened out (S2).
   * KEP-1714 asks for a minimum run time and a delay against churn ("Risks and Mitigations");
   * these bounds provide both.
   */
  maxLoss: number;
  maxFairLoss: number;
}

export type PreemptionReason = "priority" | "reclaim" | "lent" | "fair" | "greedy" | "yield";

/** A victim, and why it may be stopped. */
export interface SelectedVictim {
  victim: Victim;
  reason: PreemptionReason;
}

/**
 * The sibling groups of preemptor and victim to compare, or null if the victim may not be stopped:
 * each group from the victim's team up to its sibling group must use more than its guarantee.
 */
function borrowingSiblings(
  tree: ShareTree,
  preemptorTeam: string,
  victimTeam: string,
): { x: string; y: string } | null {
  const groups = tree.siblings(preemptorTeam, victimTeam);
  if (groups === null) return null;
  // A victim below any group that stays within its guarantee is protected.
  for (const group of tree.path(victimTeam)) {
    if (!tree.borrows(group)) return null;
    if (group === groups.y) break;
  }
  return groups;
}

/**
 * Why `victim` may be stopped for `preemptor`, or null. `reclaim` is rule S1 of KEP-1714, `fair` is
 * S2-a and `greedy` is S2-b; `priority` is what PROTOCOL allows inside a team.
 */
export function preemptionReason(
  tree: ShareTree,
  preemptor: Preemptor,
  victim: Victim,
): PreemptionReason | null {
  if (victim.preemptionValue !== undefined) return "yield";
  const affordable = preemptor.withinGuarantee || victim.loss <= preemptor.maxLoss;
  if (victim.team === preemptor.team) {
    return affordable && victim.rank < preemptor.rank ? "priority" : null;
  }
  if (preemptor.borrower === true) return null;
  const groups = borrowingSiblings(tree, preemptor.team, victim.team);
  if (groups === null) return null;
  if (!tree.borrows(groups.x, preemptor.size)) return affordable ? "reclaim" : null;
  const exceedsFairLoss = victim.loss > preemptor.maxFairLoss;
  if (exceedsFairLoss && (victim.lent !== true || preemptor.maxLoss < 0)) return null;
  const preemptorShare = tree.share(groups.x, preemptor.size);
  const shareAfterStop = tree.share(groups.y, {
    cpus: -victim.size.cpus,
    gpus: -victim.size.gpus,
  });
  if (shareAfterStop >= preemptorShare - EPSILON && victim.rank <= preemptor.rank)
    return exceedsFairLoss ? "lent" : "fair";
  if (exceedsFairLoss) return null;
  if (tree.share(groups.y) > preemptorShare + EPSILON && victim.rank <= preemptor.rank)
    return "greedy";
  return null;
}

/**
 * Whether any task of `team`, another team than the preemptor's, could be stopped for `preemptor`:
 * a quick check before single victims are examined.
 */
export function canPreemptFrom(
  tree: ShareTree,
  preemptor: Preemptor,
  team: string,
  lent: boolean,
): boolean {
  if (preemptor.borrower === true) return false;
  const groups = borrowingSiblings(tree, preemptor.team, team);
  if (groups === null) return false;
  if (!tree.borrows(groups.x, preemptor.size) || preemptor.maxFairLoss >= 0) return true;
  return lent && preemptor.maxLoss >= 0;
}

/**
 * Selects victims until `fits` returns true: from the highest share (C1), then the lowest priority
 * (C2), then the smallest size (C3). Victims by S2-b are selected only when no others remain.
 * Victims that turn out not to be needed are removed again. Returns none if `fits` stays false.
 */
export function chooseVictims(
  tree: ShareTree,
  preemptor: Preemptor,
  victims: readonly Victim[],
  fits: (stopped: ReadonlySet<string>) => boolean,
  maxVictims: number,
): SelectedVictim[] {
  const selected: SelectedVictim[] = [];
  const stopped = new Set<string>();
  const remaining = new Set(victims);
  while (!fits(stopped) && selected.length < maxVictims) {
    let best: SelectedVictim | null = null;
    let bestShares: number[] = [];
    for (const victim of remaining) {
      const reason = preemptionReason(tree, preemptor, victim);
      if (reason === null) continue;
      const shares = tree.shares(victim.team);
      if (best === null || isPreferred(victim, reason, shares, best, bestShares)) {
        best = { victim, reason };
        bestShares = shares;
      }
    }
    if (best === null) break;
    remaining.delete(best.victim);
    stopped.add(best.victim.id);
    tree.charge(best.victim.team, best.victim.size, -1);
    selected.push(best);
  }
  const sufficient = fits(stopped);
  const needed: SelectedVictim[] = [];
  for (const selection of selected) {
    // Drop the victim if the preemptor fits without it.
    stopped.delete(selection.victim.id);
    if (sufficient && !fits(stopped)) {
      stopped.add(selection.victim.id);
      needed.push(selection);
    }
  }
  for (const selection of selected) tree.charge(selection.victim.team, selection.victim.size, 1);
  return sufficient ? needed : [];
}

/** Whether `victim` is to be stopped rather than `best`. */
function isPreferred(
  victim: Victim,
  reason: PreemptionReason,
  shares: number[],
  best: SelectedVictim,
  bestShares: number[],
): boolean {
  if ((reason === "greedy") !== (best.reason === "greedy")) return best.reason === "greedy";
  if ((reason === "yield") !== (best.reason === "yield")) return reason === "yield";
  const other = best.victim;
  // Lent tasks, whose stop costs no more than a checkpoint, come first. By shares alone, a team
  // with a low weight lost tasks that save no checkpoints while tasks of guests kept running.
  if ((victim.lent === true) !== (other.lent === true)) return victim.lent === true;
  if (victim.preemptionValue !== other.preemptionValue)
    return (victim.preemptionValue ?? 0) < (other.preemptionValue ?? 0);
  const byShare = compareShares(shares, bestShares);
  if (byShare !== 0) return byShare > 0;
  if (victim.rank !== other.rank) return victim.rank < other.rank;
  if (victim.size.cpus !== other.size.cpus) return victim.size.cpus < other.size.cpus;
  return victim.loss < other.loss;
}
