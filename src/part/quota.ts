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
 * What tasks of a part use is lowered for others once its slice is this much above the fair one.
 * Shares of demand change all the time; following them closely, every part gave up in one commit
 * what it took in the next, and a tenth of the limits was in nobody's hands. What nobody uses
 * (`UnusedSlices`) is given up whatever the fair slice is.
 */
const SLACK = 1.1;

/** What neither runs nor waits here is given to a part that is short after this many leases. */
const UNUSED_LEASES = 0.25;
/** So is what waiting tasks would need, when it stays unused: they wait for machines. */
const WAITING_LEASES = 2;

/** A part's view of what it should hold of one team's limit. */
interface FairSlice {
  /** Raised to this while tasks wait for quota, lowered to it from above `most`. */
  low: Amounts;
  most: Amounts;
  /** Unused for a while: not needed, and whatever waits here for machines. */
  spare: { surplus: Amounts; idle: Amounts };
  /** CPUs of the largest task that waits here; 1 where none does. */
  step: number;
  /** Whether another part is short. */
  elsewhere: boolean;
  /** The slices add up to more than the limit, since it was lowered: nothing starts. */
  over: boolean;
  own: Demand;
  rest: Demand;
  ahead: number;
}

/** One slice that is to be changed. */
export interface SliceChange {
  team: string;
  key: string;
  version: number;
  record: SliceRecord;
}

/** This part's slices of the teams' limits, and how far its tasks fit into them. */
export class Quota {
  /** Committed slices; what a lowering in flight gives up is no longer counted. */
  readonly #slices = new Map<string, Amounts>();
  readonly #fair = new Map<string, FairSlice>();
  readonly #surplus: UnusedSlices;
  readonly #idle: UnusedSlices;
  /** By team, until when its tasks here that find no machine ask for no quota. */
  readonly #givenUntil = new Map<string, number>();
  /** Shapes of such tasks that found no machine in this pass. */
  readonly #roomless = new Set<string>();
  /** By team: what its record was when it was last read, and what was in it. */
  readonly #read = new Map<string, { value: unknown; record: SliceRecord }>();
  /** Teams that could not place a task for want of quota, in the last pass. */
  readonly short = new Map<string, Amounts>();

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
  ) {
    this.#surplus = new UnusedSlices(ctx.clock, ctx.leaseMs * UNUSED_LEASES);
    this.#idle = new UnusedSlices(ctx.clock, ctx.leaseMs * WAITING_LEASES);
    for (const [team, limit] of ctx.limits) {
      this.#slices.set(team, held(this.#known(team).own, limit));
    }
  }

  /** `own` is null where this part's slice cannot be read: then it is what its tasks use. */
  #known(team: string): { key: string; version: number; record: SliceRecord; own: Amounts | null } {
    const key = keys.quota(team);
    const row = this.ctx.mirror.rows.get(key);
    const version = row?.version ?? 0;
    if (row === undefined) return { key, version, record: {}, own: ZERO };
    // The rule, as long as the row stays: it is asked for with every pass.
    let known = this.#read.get(team);
    if (known === undefined || known.value !== row.value) {
      known = { value: row.value, record: readSlices(row.value, this.ctx.parts) };
      this.#read.set(team, known);
      if (!isSliceRecord(row.value)) {
        this.ctx.log.error(
          { key, parts: Object.keys(known.record).filter((part) => known?.record[part] === null) },
          "slices that cannot be read: nobody's grow until the owners of these parts have said theirs",
        );
      }
    }
    return { key, version, record: known.record, own: sliceOf(known.record, this.ctx.index) };
  }

  /**
   * Before a pass: nothing is short yet, and what other parts should get is left to them. A part that is
   * not short of quota counts with what it uses: what waits there waits for machines. Without this the
   * demand of a job for which there was no machine kept its team's limit from all parts that had some,
   * for as long as it waited.
   */
  begin(): void {
    this.short.clear();
    this.#fair.clear();
    this.#roomless.clear();
    const { index, limits, parts, summaries } = this.ctx;
    const mine = this.ledger.demand();
    const others = new Map<string, Demand>();
    const pressing = new Map<string, Demand>();
    const elsewhere = new Set<string>();
    for (const [part, { demand, short, use }] of summaries.all()) {
      if (part === index) continue;
      for (const { team, rank, cpus, gpus } of demand) {
        count(others, team, rank, cpus, gpus);
        if (team in short) count(pressing, team, rank, cpus, gpus);
      }
      for (const [team, [cpus, gpus]] of Object.entries(use)) {
        // Of the highest priority, since nothing is to be stopped for it that it does not need.
        if (!(team in short)) count(pressing, team, PRIORITIES.length - 1, cpus, gpus);
      }
      for (const team of Object.keys(short)) elsewhere.add(team);
    }
    for (const [team, limit] of limits) {
      const own = mine.get(team) ?? noDemand();
      const rest = pressing.get(team) ?? noDemand();
      const slice = {
        cpus: targetSlice(limit.cpus, own.cpus, rest.cpus, parts),
        gpus: targetSlice(limit.gpus, own.gpus, rest.gpus, parts),
      };
      const holding = this.#slices.get(team) ?? ZERO;
      const use = this.ledger.use.get(team) ?? ZERO;
      const all = others.get(team) ?? noDemand();
      // A slice that ends in the middle of a task would leave the rest of it unused.
      const step = own.largest > 0 ? own.largest : 1;
      this.#fair.set(team, {
        low: { ...slice, cpus: Math.floor(slice.cpus / step) * step },
        most: {
          cpus: Math.ceil((slice.cpus * SLACK) / step) * step,
          gpus: Math.ceil(slice.gpus * SLACK),
        },
        step,
        spare: {
          surplus: this.#surplus.observe(team, holding, use),
          idle: this.#idle.observe(team, holding, use),
        },
        elsewhere: elsewhere.has(team),
        over: this.#over(team, limit),
        own,
        rest,
        ahead:
          Math.ceil((targetSlice(limit.cpus, own.cpus, all.cpus, parts) * SLACK) / step) * step,
      });
    }
  }

  /**
   * CPUs that tasks up to a priority use here while other parts' tasks of higher ones are short of
   * them.
   */
  excess(team: string, rank: number): number {
    const fair = this.#fair.get(team);
    const limit = this.ctx.limits.get(team);
    if (fair === undefined || limit === undefined || !fair.elsewhere) return 0;
    const higher = fair.rest.cpus.map((cpus, i) => (i > rank ? cpus : 0));
    const most = targetSlice(limit.cpus, fair.own.cpus, higher, this.ctx.parts);
    return (this.ledger.use.get(team) ?? ZERO).cpus - Math.ceil(most);
  }

  /**
   * CPUs that a team's tasks here may come to use beyond what they do, as far as its limit goes: the
   * part's fair slice, or what it has now if that is more.
   */
  ahead(team: string): number {
    const fair = this.#fair.get(team);
    const use = (this.ledger.use.get(team) ?? ZERO).cpus;
    const slice = this.#slices.get(team)?.cpus ?? Number.POSITIVE_INFINITY;
    return Math.max(0, Math.max(slice, fair?.ahead ?? 0) - use);
  }

  /** CPUs of a team's slice that its tasks here do not use. */
  left(team: string): number {
    if (this.#fair.get(team)?.over === true) return 0;
    const slice = this.#slices.get(team) ?? ZERO;
    return Math.max(0, slice.cpus - (this.ledger.use.get(team) ?? ZERO).cpus);
  }

  fits(spec: JobSpec, tasks = 1): boolean {
    const size = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks };
    const use = addAmounts(this.ledger.use.get(spec.team) ?? ZERO, size);
    // An allowance is this part's alone, so it needs no slice.
    const allowance = this.ctx.policy?.allowance(spec.team, this.ctx.index);
    if (allowance != null) return fitsWithin(use, allowance.startLimit);
    const slice = this.#slices.get(spec.team) ?? ZERO;
    const fair = this.#fair.get(spec.team);
    // Nobody is short of what there is not: nothing is stopped to make room under a lowered limit.
    if (fair?.over === true) return false;
    // Else what ends here would be replaced before the slice is lowered, again and again.
    const most = fair?.elsewhere === true ? minAmounts(slice, fair.most) : slice;
    if (fitsWithin(use, most)) return true;
    if (!this.short.has(spec.team) && !this.#waitsForMachines(spec)) {
      const { cpus, gpus } = subtractAmounts(use, slice);
      this.short.set(spec.team, { cpus: Math.max(0, cpus), gpus: Math.max(0, gpus) });
    }
    return false;
  }

  /**
   * Whether a team's tasks here still wait for machines, after the part gave up what they did not
   * use: else it would be short of that at once, and take it back before the other part had it.
   */
  #waitsForMachines(spec: JobSpec): boolean {
    const { ctx, ledger } = this;
    const until = this.#givenUntil.get(spec.team);
    if (until === undefined) return false;
    const shape = `${spec.team}/${spec.cpus}/${spec.gpus}/${spec.memGb}`;
    if (this.#roomless.has(shape)) return true;
    const fits = (machine: Machine): boolean =>
      isUsable(machine, ctx) && fitsResources(machine.freeResourcesIn(ctx.types()), spec);
    if (ctx.clock.now() < until && ![...ledger.machines.values()].some(fits)) {
      this.#roomless.add(shape);
      return true;
    }
    this.#givenUntil.delete(spec.team);
    return false;
  }

  /**
   * The slices that should change, the smaller of both values being all that counts from now on,
   * until it is known which of them is in the store. Lowered only when another part is short.
   */
  changes(): SliceChange[] {
    const changes: SliceChange[] = [];
    for (const [team, limit] of this.ctx.limits) {
      if (!isLimited(limit.cpus) && !isLimited(limit.gpus)) continue;
      const { key, version, record, own } = this.#known(team);
      const fair = this.#fair.get(team);
      const short = this.short.get(team) ?? null;
      const use = this.ledger.use.get(team) ?? ZERO;
      let wanted = own ?? use;
      if (own !== null && fair !== undefined && (short !== null || fair.elsewhere)) {
        const free = unassignedAmounts(record, limit);
        const one = (resource: keyof Amounts): number =>
          wish(
            {
              own: own[resource],
              use: use[resource],
              low: fair.low[resource],
              most: fair.most[resource],
              spare: spareOf(fair, own[resource], limit[resource], resource),
            },
            free[resource],
            short?.[resource],
            fair.elsewhere,
          );
        wanted = { cpus: one("cpus"), gpus: one("gpus") };
        const { idle } = fair.spare;
        if (
          (idle.cpus > EPSILON && wanted.cpus < own.cpus) ||
          (idle.gpus > EPSILON && wanted.gpus < own.gpus)
        ) {
          this.#givenUntil.set(team, this.ctx.clock.now() + this.#idle.windowMs);
        }
      }
      if (own !== null) wanted = this.#bounded(wanted, own, use, unassignedAmounts(record, limit));
      const next = resizeSlice(record, this.ctx.index, wanted, limit);
      const after = sliceOf(next, this.ctx.index) ?? ZERO;
      // Until the answer is known, only what is ours in either case counts.
      this.#slices.set(team, held(minAmounts(own ?? ZERO, after), limit));
      const same =
        own !== null &&
        Math.abs(after.cpus - own.cpus) < EPSILON &&
        Math.abs(after.gpus - own.gpus) < EPSILON;
      if (!same) changes.push({ team, key, version, record: next });
    }
    return changes;
  }

  /**
   * The slice to ask for while a limit moves: what is beyond a lowered limit goes as far as tasks do
   * not use it, and nothing grows by a revision that is not the newest.
   */
  #bounded(wanted: Amounts, own: Amounts, use: Amounts, free: Amounts): Amounts {
    const one = (resource: keyof Amounts): number => {
      const lack = free[resource];
      if (lack < -EPSILON && this.ctx.configuration.revised)
        return Math.min(own[resource], Math.max(use[resource], own[resource] + lack));
      return this.ctx.configuration.current
        ? wanted[resource]
        : Math.min(wanted[resource], own[resource]);
    };
    return { cpus: one("cpus"), gpus: one("gpus") };
  }

  /** Teams whose slices add up to more than their limit. */
  beyond(): ReadonlySet<string> {
    const teams = new Set<string>();
    if (!this.ctx.configuration.revised) return teams;
    for (const [team, limit] of this.ctx.limits) if (this.#over(team, limit)) teams.add(team);
    return teams;
  }

  /** Limits that nobody changes while serving are never below the slices. */
  #over(team: string, limit: Amounts): boolean {
    if (!this.ctx.configuration.revised) return false;
    const { cpus, gpus } = unassignedAmounts(this.#known(team).record, limit);
    return cpus < -EPSILON || gpus < -EPSILON;
  }

  committed({ team, record }: SliceChange): void {
    const limit = this.ctx.limits.get(team);
    if (limit !== undefined) this.#slices.set(team, held(sliceOf(record, this.ctx.index), limit));
  }
}

/** Adds to what a team asks for; a priority that only a later program knows is left out. */
function count(
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

/** What tasks may use by a slice: of a resource without a limit, any amount. */
const held = (slice: Amounts | null, limit: Amounts): Amounts => ({
  cpus: isLimited(limit.cpus) ? (slice?.cpus ?? 0) : NO_LIMIT,
  gpus: isLimited(limit.gpus) ? (slice?.gpus ?? 0) : NO_LIMIT,
});

/** What a part can give up of one resource without stopping anything. */
function spareOf(
  { spare, own, rest, step }: FairSlice,
  slice: number,
  limit: number,
  resource: keyof Amounts,
): number {
  const surplus = spare.surplus[resource];
  if (surplus <= EPSILON) return spare.idle[resource];
  // What the tasks here that run and wait would need of the limit: nothing of what is left over.
  const share = targetSlice(limit, own[resource], rest[resource], Number.POSITIVE_INFINITY);
  const needed = resource === "cpus" ? Math.floor(share / step) * step : share;
  return Math.max(spare.idle[resource], Math.min(surplus, Math.max(0, slice - needed)));
}

/** One resource of a slice: what it is, what of it is used and spare, and its fair bounds. */
interface SliceState {
  own: number;
  use: number;
  low: number;
  most: number;
  spare: number;
}

/** The slice to ask for, in one resource; `missing` for the next task, if anything is. */
function wish(
  { own, use, low, most, spare }: SliceState,
  free: number,
  missing: number | undefined,
  elsewhere: boolean,
): number {
  if (elsewhere && own > most) return Math.max(use, low);
  if (missing !== undefined && free + EPSILON >= missing && free > EPSILON) {
    // Beyond its fair slice a part takes only what holds another task.
    const more = own + missing;
    return Math.max(own, low, elsewhere ? Math.min(more, most) : more);
  }
  if (missing !== undefined && free > EPSILON && low > own) return low;
  if (elsewhere && spare > EPSILON) return Math.max(use, own - spare);
  return own;
}
