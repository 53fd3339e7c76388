import { type Amounts, addAmounts, EPSILON, fitsWithin, subtractAmounts } from "../fair/share.js";
import { isLimited, NO_LIMIT } from "../quota/limits.js";
import {
  isSliceRecord,
  minAmounts,
  readSlices,
  resizeSlice,
  type SliceRecord,
  sliceOf,
  targetSlice,
  unassignedAmounts,
} from "../quota/slices.js";
import { keys } from "../state/keys.js";
import { type JobSpec, PRIORITIES } from "../wire/jobs.js";
import { fitsResources, type Machine } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import { type Demand, type Ledger, noDemand, ZERO } from "./ledger.js";
import { UnusedSlices } from "./unused-slices.js";
import { isUsable } from "./usable-machine.js";

/**
 * A slice whose quota tasks use is lowered for other parts only when it exceeds the fair slice by this
 * factor. Shares of demand change all the time: when slices followed them closely, every part gave up
 * in one commit what it took in the next, and a tenth of the limits was in no part's slice. Unused
 * quota (`UnusedSlices`) is given up whatever the fair slice is.
 */
const SLICE_SLACK = 1.1;

/** Number of leases after which quota that no task here uses or waits for goes to a part lacking it. */
const UNUSED_LEASES = 0.25;
/** Number of leases after which unused quota is given up though tasks here wait (for machines). */
const UNUSED_WHILE_WAITING_LEASES = 2;

/** What this part should hold of one team's limit, as it sees it. */
interface FairSlice {
  /** The slice is raised to this while tasks wait for quota, and lowered to it if above `upperBound`. */
  lowerBound: Amounts;
  upperBound: Amounts;
  /** Unused for `UNUSED_LEASES` (`surplus`), and for `UNUSED_WHILE_WAITING_LEASES` (`idle`). */
  spare: { surplus: Amounts; idle: Amounts };
  /** CPUs of the largest task that waits here; 1 when none waits. */
  taskCpus: number;
  /** Whether another part lacks quota of the team. */
  shortElsewhere: boolean;
  /** The limit was lowered and the slices add up to more than it: no task starts. */
  overLimit: boolean;
  /** Demand in this part, and competing demand of the others (see `begin`). */
  own: Demand;
  other: Demand;
  attainableCpus: number;
}

/** A change to this part's slice of one team's limit. */
export interface SliceChange {
  team: string;
  key: string;
  version: number;
  record: SliceRecord;
}

/** This part's slices of the teams' limits, and whether tasks fit into them. */
export class Quota {
  /** Committed slices, without what a lowering that is being committed gives up. */
  readonly #slices = new Map<string, Amounts>();
  readonly #fairSlices = new Map<string, FairSlice>();
  readonly #surplus: UnusedSlices;
  readonly #idle: UnusedSlices;
  /** By team, the time until which its tasks that find no machine here request no quota. */
  readonly #noRequestUntil = new Map<string, number>();
  /** Shapes of such tasks for which no machine was found in this pass. */
  readonly #shapesWithoutMachine = new Set<string>();
  /** By team: the stored record when it was last parsed, and the result. */
  readonly #readCache = new Map<string, { value: unknown; record: SliceRecord }>();
  /** By team, the quota that was missing for a task that could not be placed in the last pass. */
  readonly shortages = new Map<string, Amounts>();

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
  ) {
    this.#surplus = new UnusedSlices(ctx.clock, ctx.leaseMs * UNUSED_LEASES);
    this.#idle = new UnusedSlices(ctx.clock, ctx.leaseMs * UNUSED_WHILE_WAITING_LEASES);
    for (const [team, limit] of ctx.limits) {
      this.#slices.set(team, usableSlice(this.#read(team).own, limit));
    }
  }

  /** `own` is null where this part's slice is unreadable: it is then set to what its tasks use. */
  #read(team: string): {
    key: string;
    version: number;
    record: SliceRecord;
    own: Amounts | null;
  } {
    const key = keys.quota(team);
    const row = this.ctx.mirror.rows.get(key);
    const version = row?.version ?? 0;
    if (row === undefined) return { key, version, record: {}, own: ZERO };
    // Parsed only when the row has changed: this is called in every pass.
    let known = this.#readCache.get(team);
    if (known === undefined || known.value !== row.value) {
      known = { value: row.value, record: readSlices(row.value, this.ctx.parts) };
      this.#readCache.set(team, known);
      if (!isSliceRecord(row.value)) {
        this.ctx.log.error(
          { key, parts: Object.keys(known.record).filter((part) => known?.record[part] === null) },
          "unreadable quota slices: no part's slice grows until the owners of these parts have rewritten theirs",
        );
      }
    }
    return { key, version, record: known.record, own: sliceOf(known.record, this.ctx.index) };
  }

  /**
   * To be called before each pass: clears the shortages and computes the fair slices. A part that does
   * not lack quota counts with its use only, since its waiting tasks wait for machines. Otherwise the
   * demand of a job for which there is no machine would withhold its team's limit from all parts that
   * have machines, for as long as it waits.
   */
  beginPass(): void {
    this.shortages.clear();
    this.#fairSlices.clear();
    this.#shapesWithoutMachine.clear();
    const { index, limits, parts, summaries } = this.ctx;
    const demandHere = this.ledger.demand();
    const demandElsewhere = new Map<string, Demand>();
    const competingDemand = new Map<string, Demand>();
    const teamsShortElsewhere = new Set<string>();
    for (const [part, { demand, short, use }] of summaries.all()) {
      if (part === index) continue;
      for (const { team, rank, cpus, gpus } of demand) {
        addDemand(demandElsewhere, team, rank, cpus, gpus);
        if (team in short) addDemand(competingDemand, team, rank, cpus, gpus);
      }
      for (const [team, [cpus, gpus]] of Object.entries(use)) {
        // Use counts at the highest priority: no part is to stop tasks for quota it does not need.
        if (!(team in short)) addDemand(competingDemand, team, PRIORITIES.length - 1, cpus, gpus);
      }
      for (const team of Object.keys(short)) teamsShortElsewhere.add(team);
    }
    for (const [team, limit] of limits) {
      const own = demandHere.get(team) ?? noDemand();
      const other = competingDemand.get(team) ?? noDemand();
      const fairSlice = {
        cpus: targetSlice(limit.cpus, own.cpus, other.cpus, parts),
        gpus: targetSlice(limit.gpus, own.gpus, other.gpus, parts),
      };
      const heldSlice = this.#slices.get(team) ?? ZERO;
      const use = this.ledger.use.get(team) ?? ZERO;
      const elsewhere = demandElsewhere.get(team) ?? noDemand();
      // Slices are multiples of a task's size: a remainder smaller than a task would stay unused.
      const taskCpus = own.largestTaskCpus > 0 ? own.largestTaskCpus : 1;
      this.#fairSlices.set(team, {
        lowerBound: { ...fairSlice, cpus: Math.floor(fairSlice.cpus / taskCpus) * taskCpus },
        upperBound: {
          cpus: Math.ceil((fairSlice.cpus * SLICE_SLACK) / taskCpus) * taskCpus,
          gpus: Math.ceil(fairSlice.gpus * SLICE_SLACK),
        },
        taskCpus,
        spare: {
          surplus: this.#surplus.observe(team, heldSlice, use),
          idle: this.#idle.observe(team, heldSlice, use),
        },
        shortElsewhere: teamsShortElsewhere.has(team),
        overLimit: this.#isOverLimit(team, limit),
        own,
        other,
        attainableCpus:
          Math.ceil(
            (targetSlice(limit.cpus, own.cpus, elsewhere.cpus, parts) * SLICE_SLACK) / taskCpus,
          ) * taskCpus,
      });
    }
  }

  /**
   * CPUs used here beyond the slice that demand above a priority in other parts leaves to this one; 0
   * unless another part lacks quota.
   */
  excessCpus(team: string, rank: number): number {
    const fair = this.#fairSlices.get(team);
    const limit = this.ctx.limits.get(team);
    if (fair === undefined || limit === undefined || !fair.shortElsewhere) return 0;
    const higher = fair.other.cpus.map((cpus, i) => (i > rank ? cpus : 0));
    const fairCpus = targetSlice(limit.cpus, fair.own.cpus, higher, this.ctx.parts);
    return (this.ledger.use.get(team) ?? ZERO).cpus - Math.ceil(fairCpus);
  }

  /**
   * CPUs by which a team's use here may grow within its limit: up to the part's fair slice, or up to
   * its present slice if that is larger.
   */
  attainableCpus(team: string): number {
    const fair = this.#fairSlices.get(team);
    const use = (this.ledger.use.get(team) ?? ZERO).cpus;
    const slice = this.#slices.get(team)?.cpus ?? Number.POSITIVE_INFINITY;
    return Math.max(0, Math.max(slice, fair?.attainableCpus ?? 0) - use);
  }

  /** CPUs of a team's slice that its tasks here do not use; 0 while the slices exceed the limit. */
  unusedCpus(team: string): number {
    if (this.#fairSlices.get(team)?.overLimit === true) return 0;
    const slice = this.#slices.get(team) ?? ZERO;
    return Math.max(0, slice.cpus - (this.ledger.use.get(team) ?? ZERO).cpus);
  }

  fits(spec: JobSpec, tasks = 1): boolean {
    const requested = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks };
    const use = addAmounts(this.ledger.use.get(spec.team) ?? ZERO, requested);
    // An allowance applies to this part alone, so no slice is needed.
    const allowance = this.ctx.policy?.allowance(spec.team, this.ctx.index);
    if (allowance != null) return fitsWithin(use, allowance.startLimit);
    const slice = this.#slices.get(spec.team) ?? ZERO;
    const fair = this.#fairSlices.get(spec.team);
    // No shortage is recorded under a lowered limit: stopping tasks would free no quota for others.
    if (fair?.overLimit === true) return false;
    // While another part lacks quota, tasks start only up to the upper bound: otherwise each task that
    // ends here would be replaced before the slice can be lowered.
    const usable = fair?.shortElsewhere === true ? minAmounts(slice, fair.upperBound) : slice;
    if (fitsWithin(use, usable)) return true;
    if (!this.shortages.has(spec.team) && !this.#waitsForMachines(spec)) {
      const { cpus, gpus } = subtractAmounts(use, slice);
      this.shortages.set(spec.team, { cpus: Math.max(0, cpus), gpus: Math.max(0, gpus) });
    }
    return false;
  }

  /**
   * Whether a team's tasks here still wait for machines after the part gave up the quota that they did
   * not use. Then no shortage is recorded: the part would take the quota back before another had it.
   */
  #waitsForMachines(spec: JobSpec): boolean {
    const { ctx, ledger } = this;
    const until = this.#noRequestUntil.get(spec.team);
    if (until === undefined) return false;
    const shape = `${spec.team}/${spec.cpus}/${spec.gpus}/${spec.memGb}`;
    if (this.#shapesWithoutMachine.has(shape)) return true;
    const fits = (machine: Machine): boolean =>
      isUsable(machine, ctx) && fitsResources(machine.freeResourcesIn(ctx.types()), spec);
    if (ctx.clock.now() < until && ![...ledger.machines.values()].some(fits)) {
      this.#shapesWithoutMachine.add(shape);
      return true;
    }
    this.#noRequestUntil.delete(spec.team);
    return false;
  }

  /**
   * The slices that should change. From now on only the smaller of the old and the new value counts,
   * until it is known which one is stored. A slice is lowered only when another part lacks quota.
   */
  sliceChanges(): SliceChange[] {
    const changed: SliceChange[] = [];
    for (const [team, limit] of this.ctx.limits) {
      if (!isLimited(limit.cpus) && !isLimited(limit.gpus)) continue;
      const { key, version, record, own } = this.#read(team);
      const fair = this.#fairSlices.get(team);
      const shortage = this.shortages.get(team) ?? null;
      const use = this.ledger.use.get(team) ?? ZERO;
      let wanted = own ?? use;
      if (own !== null && fair !== undefined && (shortage !== null || fair.shortElsewhere)) {
        const free = unassignedAmounts(record, limit);
        const desired = (resource: keyof Amounts): number =>
          desiredSlice(
            {
              own: own[resource],
              use: use[resource],
              lowerBound: fair.lowerBound[resource],
              upperBound: fair.upperBound[resource],
              spare: reclaimable(fair, own[resource], limit[resource], resource),
            },
            free[resource],
            shortage?.[resource],
            fair.shortElsewhere,
          );
        wanted = { cpus: desired("cpus"), gpus: desired("gpus") };
        const { idle } = fair.spare;
        if (
          (idle.cpus > EPSILON && wanted.cpus < own.cpus) ||
          (idle.gpus > EPSILON && wanted.gpus < own.gpus)
        ) {
          this.#noRequestUntil.set(team, this.ctx.clock.now() + this.#idle.windowMs);
        }
      }
      if (own !== null) wanted = this.#bounded(wanted, own, use, unassignedAmounts(record, limit));
      const next = resizeSlice(record, this.ctx.index, wanted, limit);
      const after = sliceOf(next, this.ctx.index) ?? ZERO;
      // Until the commit result is known, only what this part holds in either case counts.
      this.#slices.set(team, usableSlice(minAmounts(own ?? ZERO, after), limit));
      const unchanged =
        own !== null &&
        Math.abs(after.cpus - own.cpus) < EPSILON &&
        Math.abs(after.gpus - own.gpus) < EPSILON;
      if (!unchanged) changed.push({ team, key, version, record: next });
    }
    return changed;
  }

  /**
   * Bounds the desired slice while a limit changes: unused quota beyond a lowered limit is given up,
   * and no slice grows under a configuration revision that is not the newest.
   */
  #bounded(wanted: Amounts, own: Amounts, use: Amounts, free: Amounts): Amounts {
    const bound = (resource: keyof Amounts): number => {
      const unassigned = free[resource];
      if (unassigned < -EPSILON && this.ctx.configuration.hasRevision)
        return Math.min(own[resource], Math.max(use[resource], own[resource] + unassigned));
      return this.ctx.configuration.isCurrent
        ? wanted[resource]
        : Math.min(wanted[resource], own[resource]);
    };
    return { cpus: bound("cpus"), gpus: bound("gpus") };
  }

  /** Teams whose slices add up to more than their limit. */
  teamsOverLimit(): ReadonlySet<string> {
    const teams = new Set<string>();
    if (!this.ctx.configuration.hasRevision) return teams;
    for (const [team, limit] of this.ctx.limits)
      if (this.#isOverLimit(team, limit)) teams.add(team);
    return teams;
  }

  /** Whether the slices exceed the limit: only possible when limits have been revised while serving. */
  #isOverLimit(team: string, limit: Amounts): boolean {
    if (!this.ctx.configuration.hasRevision) return false;
    const { cpus, gpus } = unassignedAmounts(this.#read(team).record, limit);
    return cpus < -EPSILON || gpus < -EPSILON;
  }

  onCommitted({ team, record }: SliceChange): void {
    const limit = this.ctx.limits.get(team);
    if (limit !== undefined)
      this.#slices.set(team, usableSlice(sliceOf(record, this.ctx.index), limit));
  }
}

/** Adds to a team's demand; a priority that only a later build knows is ignored. */
function addDemand(
  sums: Map<string, Demand>,
  team: string,
  rank: number,
  cpus: number,
  gpus: number,
): void {
  const sum = sums.get(team) ?? noDemand();
  sums.set(team, sum);
  if (rank >= sum.cpus.length) return;
  sum.cpus[rank]! += cpus;
  sum.gpus[rank]! += gpus;
}

/** What a slice lets tasks use: any amount of a resource without a limit. */
const usableSlice = (slice: Amounts | null, limit: Amounts): Amounts => ({
  cpus: isLimited(limit.cpus) ? (slice?.cpus ?? 0) : NO_LIMIT,
  gpus: isLimited(limit.gpus) ? (slice?.gpus ?? 0) : NO_LIMIT,
});

/** How much of one resource a part can give up without stopping anything. */
function reclaimable(
  { spare, own, other, taskCpus }: FairSlice,
  slice: number,
  limit: number,
  resource: keyof Amounts,
): number {
  const surplus = spare.surplus[resource];
  if (surplus <= EPSILON) return spare.idle[resource];
  // What the running and waiting tasks here need of the limit, without a share of what is left over.
  const share = targetSlice(limit, own[resource], other[resource], Number.POSITIVE_INFINITY);
  const needed = resource === "cpus" ? Math.floor(share / taskCpus) * taskCpus : share;
  return Math.max(spare.idle[resource], Math.min(surplus, Math.max(0, slice - needed)));
}

/** One resource of a slice: its present value, what of it is used and spare, and its fair bounds. */
interface SliceState {
  own: number;
  use: number;
  lowerBound: number;
  upperBound: number;
  spare: number;
}

/** The slice that this part should have of one resource; `shortage`: what the next task lacks. */
function desiredSlice(
  { own, use, lowerBound, upperBound, spare }: SliceState,
  free: number,
  shortage: number | undefined,
  shortElsewhere: boolean,
): number {
  if (shortElsewhere && own > upperBound) return Math.max(use, lowerBound);
  if (shortage !== undefined && free + EPSILON >= shortage && free > EPSILON) {
    // Beyond its fair slice, a part takes only enough for one more task.
    const grown = own + shortage;
    return Math.max(own, lowerBound, shortElsewhere ? Math.min(grown, upperBound) : grown);
  }
  if (shortage !== undefined && free > EPSILON && lowerBound > own) return lowerBound;
  if (shortElsewhere && spare > EPSILON) return Math.max(use, own - spare);
  return own;
}
