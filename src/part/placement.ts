import { compareShares, type ShareTree } from "../fair/share.js";
import type { Chunk } from "../jobs/chunk.js";
import type { MachineType } from "../wire/cloud.js";
import type { JobSpec } from "../wire/jobs.js";
import {
  addResources,
  fitsResources,
  kindAllowed,
  type Machine,
  type Resources,
  withoutReservations,
  zoneAllowed,
} from "../workers/machine.js";
import type { PlacementConstraints } from "../workers/placement-constraints.js";
import type { PartContext } from "./context.js";
import { compareWithinTeam, type Job, longUnstartedJobs } from "./job.js";
import type { Ledger } from "./ledger.js";
import { Lending } from "./lending.js";
import type { Quota } from "./quota.js";
import { priorityFloors } from "./quota-shortage.js";
import { isUsable } from "./usable-machine.js";

/** Input of one placement pass over the waiting jobs. */
export interface PlacementPass {
  now: number;
  types: ReadonlyMap<string, MachineType>;
  /** Machines that may be given tasks. */
  machines: Machine[];
  /** Share tree charged with the use of all teams in all parts. */
  tree: ShareTree;
  guaranteed: ReadonlySet<string>;
}

export function beginPass(ctx: PartContext, ledger: Ledger): PlacementPass {
  const tree = ctx.newShareTree();
  for (const [part, summary] of ctx.summaries.all()) {
    if (part === ctx.index) continue;
    for (const [team, [cpus, gpus]] of Object.entries(summary.use)) {
      tree.charge(team, { cpus, gpus });
    }
  }
  for (const [team, use] of ledger.use) tree.charge(team, use);
  return {
    now: ctx.clock.now(),
    types: ctx.types(),
    machines: [...ledger.machines.values()].filter((machine) => isUsable(machine, ctx)),
    tree,
    guaranteed: ctx.guaranteed(),
  };
}

/** Places waiting tasks on machines with free resources, the team with the lowest share first. */
export class Placement {
  /**
   * Shapes of tasks that found no machine in this pass. They are not searched for again: free
   * resources only shrink during a pass.
   */
  readonly #unplaceableShapes = new Set<string>();
  readonly #lending: Lending;
  /** By team, the priority below which checkpointing jobs started nothing in the last pass. */
  priorityFloors: ReadonlyMap<string, number> = new Map();
  #lastPlaced: { job: Job; machine: Machine } | null = null;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
  ) {
    this.#lending = new Lending(ctx, ledger);
  }

  /** Places what fits and returns the jobs that still wait, the most urgent first. */
  run(pass: PlacementPass): Job[] {
    const { now, machines, tree, guaranteed } = pass;
    this.#unplaceableShapes.clear();
    this.#lastPlaced = null;
    this.#lending.beginPass();
    const queues = new Map<string, Job[]>();
    for (const job of this.ledger.jobs.values()) {
      if (job.notBefore > now || !job.mayStartTasks || job.pending === 0) continue;
      if (this.ctx.constraints.cannotStart(job.id, job.spec)) continue;
      const queue = queues.get(job.spec.team);
      if (queue === undefined) queues.set(job.spec.team, [job]);
      else queue.push(job);
    }
    for (const machine of machines) {
      for (const [id, { until }] of machine.reservations) {
        const job = this.ledger.jobs.get(id);
        if (until < now || job === undefined || job.pending === 0) machine.reservations.delete(id);
      }
    }
    const onTime = this.ctx.onTime();
    const { policy } = this.ctx;
    const neglected = longUnstartedJobs(this.ledger.jobs.values(), now, this.ctx.leaseMs);
    const sortQueue = (queue: Job[]): void => {
      queue.sort((a, b) => {
        const aGuaranteed = guaranteed.has(a.id);
        return aGuaranteed === guaranteed.has(b.id)
          ? compareWithinTeam(a, b, onTime, neglected)
          : aGuaranteed
            ? -1
            : 1;
      });
    };
    for (const queue of queues.values()) sortQueue(queue);
    const floors = priorityFloors(queues, onTime, this.quota);
    this.priorityFloors = floors;
    const blocked: Job[] = [];
    while (queues.size > 0) {
      // The team with the lowest share is served first.
      let team = "";
      let shares: number[] = [];
      let guaranteeUse = 0;
      let onlyPreemptible = true;
      for (const name of queues.keys()) {
        // Preemptible teams are served only when no other team has a job left that fits.
        const preemptible = policy?.preemptible(name) === true;
        if (preemptible && !onlyPreemptible) continue;
        if (onlyPreemptible && !preemptible) team = "";
        onlyPreemptible = preemptible;
        // The first task of a neglected job is served after jobs within a guarantee and before all
        // that run beyond one.
        const isNeglected = neglected.has(queues.get(name)![0]!.id);
        const teamShares = isNeglected ? [] : tree.shares(name);
        // Teams below their guarantees all have share zero: then the least used guarantee goes first.
        const shareOrder = team === "" ? -1 : compareShares(teamShares, shares);
        const teamGuaranteeUse = isNeglected
          ? Math.min(1, tree.guaranteeUse(name))
          : tree.guaranteeUse(name);
        if (shareOrder < 0 || (shareOrder === 0 && teamGuaranteeUse < guaranteeUse)) {
          team = name;
          shares = teamShares;
          guaranteeUse = teamGuaranteeUse;
        }
      }
      const queue = queues.get(team)!;
      const job = queue[0]!;
      // Below the floor, a job requests nothing either: no preemption and no other part's resources.
      const belowFloor = job.spec.checkpointS > 0 && job.spec.rank < (floors.get(team) ?? 0);
      const tryStart = (): boolean =>
        job.spec.kind === "gang" ? this.#placeGang(job, pass) : this.#placeOne(job, pass);
      if (!belowFloor && tryStart()) {
        // A task of it has been placed, so the job is not neglected any more.
        if (neglected.delete(job.id)) sortQueue(queue);
        continue;
      }
      if (job.pending > 0 && !belowFloor) {
        blocked.push(job);
        if (!this.ctx.isBorrower(team) && !this.quota.shortages.has(team))
          this.#lending.lastShortageAt = now;
      }
      queue.shift();
      if (queue.length === 0) queues.delete(team);
    }
    return blocked;
  }

  #place(job: Job, chunk: Chunk, index: number, machine: Machine, { tree }: PlacementPass): void {
    this.ledger.place(job, chunk, index, machine);
    tree.charge(job.spec.team, job.spec);
  }

  /** Places all waiting tasks of a gang, or none. */
  #placeGang(job: Job, pass: PlacementPass): boolean {
    // The previous attempt must have ended on all machines before the gang starts again.
    if (job.hasAllocations) return false;
    const hosts = this.#findGangMachines(job, pass);
    if (hosts === null) return false;
    for (const chunk of job.chunks.values()) {
      for (let index = chunk.nextPending(); index !== null; index = chunk.nextPending()) {
        this.#place(job, chunk, index, hosts.pop()!, pass);
        this.#lending.onPlaced(job.spec);
      }
    }
    return true;
  }

  /** Finds a machine for every waiting task of a gang, or null when they do not all fit at once. */
  #findGangMachines(job: Job, pass: PlacementPass): Machine[] | null {
    const { machines, types } = pass;
    const { spec, pending: count } = job;
    if (count === 0 || !this.quota.fits(spec, count)) return null;
    if (this.ctx.isBorrower(spec.team) && spec.cpus * count > this.#lending.lendableCpus(pass))
      return null;
    const zones = spec.oneZone ? [...new Set(machines.map(({ zone }) => zone))] : [null];
    const rankMachine = spec.match === undefined ? null : this.ctx.constraints.rankerFor(spec);
    const preferred = rankMachine === null ? machines : sortByRank(machines, types, rankMachine);
    for (const zone of zones) {
      const hosts: Machine[] = [];
      const perZone = new Map<string, number>();
      for (const machine of preferred) {
        if (!kindAllowed(spec, machine) || (zone !== null && machine.zone !== zone)) continue;
        const available = {
          ...withoutReservations(machine.freeResourcesIn(types), machine, job.id),
        };
        while (
          hosts.length < count &&
          fitsResources(available, spec) &&
          (rankMachine === null || rankMachine(machine, available) !== null) &&
          zoneAllowed(spec, machine.zone, perZone)
        ) {
          addResources(available, spec, -1);
          hosts.push(machine);
          perZone.set(machine.zone, (perZone.get(machine.zone) ?? 0) + 1);
        }
      }
      if (hosts.length === count) return hosts;
    }
    return null;
  }

  /** Counts a job's placed tasks by zone. */
  #tasksByZone(job: Job): Map<string, number> {
    const zones = new Map<string, number>();
    for (const chunk of job.chunks.values()) {
      for (const allocation of chunk.allocations.values()) {
        const zone = this.ledger.machines.get(allocation.machine)?.zone ?? "";
        zones.set(zone, (zones.get(zone) ?? 0) + 1);
      }
    }
    return zones;
  }

  #placeOne(job: Job, pass: PlacementPass): boolean {
    const { spec } = job;
    if (!this.quota.fits(spec)) return false;
    const borrower = this.ctx.isBorrower(spec.team);
    if (borrower && spec.cpus > this.#lending.lendableCpus(pass)) return false;
    // The job limits how many of its tasks are placed at a time, and has reached that limit.
    if (spec.match !== undefined && job.pending === 0) return false;
    // A job that fails repeatedly runs one task at a time.
    if (job.failures > 1 && job.hasAllocations) return false;
    const machine = this.#lastMachineIfFits(job, pass) ?? this.#bestMachine(job, pass);
    if (machine === null) return false;
    for (const chunk of job.chunks.values()) {
      if (chunk.handoverTarget !== null || !this.ledger.fitsPage(chunk, machine.id)) continue;
      const index = chunk.nextPending();
      if (index === null) continue;
      this.#place(job, chunk, index, machine, pass);
      this.#lending.onPlaced(spec);
      this.#lastPlaced = { job, machine };
      return true;
    }
    return false;
  }

  /**
   * The machine that took the job's previous task, if one more fits. It had the lowest cost of its
   * kind and has even fewer free resources now, so no search is needed.
   */
  #lastMachineIfFits(job: Job, { types }: PlacementPass): Machine | null {
    const { spec } = job;
    if (this.#lastPlaced?.job !== job || spec.oneZone || spec.spread) return null;
    // Where the rank depends on a machine's free resources, all machines must be evaluated again.
    if (spec.match !== undefined && this.ctx.constraints.equivalenceKey(spec) === null) return null;
    const { machine } = this.#lastPlaced;
    const available = withoutReservations(
      machine.freeResources(types.get(machine.type)),
      machine,
      job.id,
    );
    return fitsResources(available, spec) ? machine : null;
  }

  #bestMachine(job: Job, pass: PlacementPass): Machine | null {
    const { spec } = job;
    const { machines, guaranteed } = pass;
    const equivalenceKey = this.ctx.constraints.equivalenceKey(spec);
    const shape = shapeOf(spec, equivalenceKey);
    const cacheable =
      equivalenceKey !== null && !spec.oneZone && !spec.spread && job.failures === 0;
    if (cacheable && this.#unplaceableShapes.has(shape)) {
      if (!machines.some(({ reservations: reserved }) => reserved.has(job.id))) return null;
    }
    const best = this.#searchMachines(job, pass, guaranteed.has(job.id));
    if (best === null && cacheable) this.#unplaceableShapes.add(shape);
    return best;
  }

  /** The cheapest machine; for a job with expressions, the cheapest of those it ranks highest. */
  #searchMachines(
    job: Job,
    { machines, types, now }: PlacementPass,
    withinGuarantee: boolean,
  ): Machine | null {
    const { spec } = job;
    const size = resourcesOf(spec);
    const zones = spec.oneZone || spec.spread ? this.#tasksByZone(job) : null;
    const rankMachine = spec.match === undefined ? null : this.ctx.constraints.rankerFor(spec);
    let best: Machine | null = null;
    let bestCost = Number.POSITIVE_INFINITY;
    let bestRank = Number.NEGATIVE_INFINITY;
    for (const machine of machines) {
      const free = machine.freeResourcesIn(types);
      if (!fitsResources(free, size)) continue;
      if (!kindAllowed(spec, machine) || machine.failedJobs.has(job.id)) continue;
      const available = withoutReservations(free, machine, job.id);
      if (available !== free && !fitsResources(available, size)) continue;
      if (zones !== null && !zoneAllowed(spec, machine.zone, zones)) continue;
      const cost = this.#cost(job, machine, available, withinGuarantee, now);
      if (rankMachine !== null) {
        const jobRank = rankMachine(machine, available);
        if (jobRank === null) continue;
        // Resources reserved for this job come first: tasks were stopped to free them.
        const reservedForJob = machine.reservations.size > 0 && machine.reservations.has(job.id);
        const rank = reservedForJob ? Number.POSITIVE_INFINITY : jobRank;
        if (rank < bestRank) continue;
        if (rank > bestRank) bestCost = Number.POSITIVE_INFINITY;
        bestRank = rank;
      }
      // Among equal machines, the first one.
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Cost of placing a task of the job on a machine: lowest for a machine that is cheap, has the image
   * and has the fewest free resources. The other machines stay free for large tasks or to be returned
   * to the cloud, expensive ones first.
   */
  #cost(
    job: Job,
    machine: Machine,
    available: Resources,
    withinGuarantee: boolean,
    now: number,
  ): number {
    const { image } = job.spec;
    return (
      available.cpus +
      (machine.reservations.size > 0 && machine.reservations.has(job.id) ? -10_000 : 0) +
      // Start commands are sent in answers to reports, so a job within its guarantee prefers machines
      // whose next report is due soon.
      (withinGuarantee
        ? 100 * (1 - Math.min(1, (now - machine.lastSeen) / this.ctx.reportMs))
        : 0) +
      (machine.spot ? 0 : 1000) +
      (image === null || machine.images.has(image) ? 0 : 2000)
    );
  }
}

/** Sorts machines by the job's rank, highest first; equal ones keep their order. */
function sortByRank(
  machines: readonly Machine[],
  types: PlacementPass["types"],
  rankMachine: ReturnType<PlacementConstraints["rankerFor"]>,
): Machine[] {
  return machines
    .map((machine) => {
      const rank = rankMachine(machine, machine.freeResourcesIn(types)) ?? Number.NEGATIVE_INFINITY;
      return { machine, rank };
    })
    .sort((a, b) => (a.rank === b.rank ? 0 : b.rank - a.rank))
    .map(({ machine }) => machine);
}

/**
 * A job's size as an object that always has the same members, unlike job specs, some of which have
 * expressions: keeps property access in the innermost loops fast.
 */
const resourcesOf = ({ cpus, gpus, memGb }: JobSpec): Resources => ({ cpus, gpus, memGb });

const shapeOf = (
  { cpus, gpus, memGb, spot, types, zone }: JobSpec,
  equivalenceKey: string | null,
): string =>
  `${cpus}/${gpus}/${memGb}/${spot}/${types?.join() ?? ""}/${zone ?? ""}/${equivalenceKey}`;
