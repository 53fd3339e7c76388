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
import { byUrgency, type Job, neglectedOf } from "./job.js";
import type { Ledger } from "./ledger.js";
import { Lending } from "./lending.js";
import type { Quota } from "./quota.js";
import { priorityFloors } from "./quota-shortage.js";
import { isUsable } from "./usable-machine.js";

/** What one pass over the waiting jobs works with. */
export interface Pass {
  now: number;
  types: ReadonlyMap<string, MachineType>;
  /** The machines that take tasks. */
  machines: Machine[];
  /** All teams' use, in all parts. */
  tree: ShareTree;
  guaranteed: ReadonlySet<string>;
}

export function beginPass(ctx: PartContext, ledger: Ledger): Pass {
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

/** Gives waiting tasks to machines that have room: the team with the lowest share first. */
export class Placement {
  /** Shapes of tasks that found no machine in this pass: room only shrinks while it lasts. */
  readonly #hopeless = new Set<string>();
  readonly #lending: Lending;
  /** By team, below which priority jobs that save started nothing in the last pass. */
  priorityFloors: ReadonlyMap<string, number> = new Map();
  #last: { job: Job; machine: Machine } | null = null;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
  ) {
    this.#lending = new Lending(ctx, ledger);
  }

  /** Places what fits, and returns the jobs that are still waiting, the most urgent first. */
  run(pass: Pass): Job[] {
    const { now, machines, tree, guaranteed } = pass;
    this.#hopeless.clear();
    this.#last = null;
    this.#lending.begin();
    const queues = new Map<string, Job[]>();
    for (const job of this.ledger.jobs.values()) {
      if (job.notBefore > now || !job.wanted || job.pending === 0) continue;
      if (this.ctx.constraints.cannotStart(job.id, job.spec)) continue;
      const queue = queues.get(job.spec.team);
      if (queue === undefined) queues.set(job.spec.team, [job]);
      else queue.push(job);
    }
    for (const machine of machines) {
      for (const [id, { until }] of machine.reserved) {
        const job = this.ledger.jobs.get(id);
        if (until < now || job === undefined || job.pending === 0) machine.reserved.delete(id);
      }
    }
    const timely = this.ctx.onTime();
    const { policy: rules } = this.ctx;
    const neglected = neglectedOf(this.ledger.jobs.values(), now, this.ctx.leaseMs);
    const order = (queue: Job[]): void => {
      queue.sort((a, b) => {
        const x = guaranteed.has(a.id);
        return x === guaranteed.has(b.id) ? byUrgency(a, b, timely, neglected) : x ? -1 : 1;
      });
    };
    for (const queue of queues.values()) order(queue);
    const holds = priorityFloors(queues, timely, this.quota);
    this.priorityFloors = holds;
    const blocked: Job[] = [];
    while (queues.size > 0) {
      // The lowest share starts first.
      let team = "";
      let shares: number[] = [];
      let filled = 0;
      let behind = true;
      for (const name of queues.keys()) {
        // Who yields comes when nobody else has anything left that fits.
        const yields = rules?.preemptible(name) === true;
        if (yields && !behind) continue;
        if (behind && !yields) team = "";
        behind = yields;
        // The first task of a job that was passed over for long: after those within a guarantee,
        // before all who borrow.
        const first = neglected.has(queues.get(name)![0]!.id);
        const own = first ? [] : tree.shares(name);
        // Below their guarantees all shares are zero: then the one with the least of it.
        const less = team === "" ? -1 : compareShares(own, shares);
        const full = first ? Math.min(1, tree.guaranteeUse(name)) : tree.guaranteeUse(name);
        if (less < 0 || (less === 0 && full < filled)) {
          team = name;
          shares = own;
          filled = full;
        }
      }
      const queue = queues.get(team)!;
      const job = queue[0]!;
      // It asks for nothing either: neither for room nor for another part's.
      const held = job.spec.checkpointS > 0 && job.spec.rank < (holds.get(team) ?? 0);
      const start = (): boolean =>
        job.spec.kind === "gang" ? this.#gang(job, pass) : this.#one(job, pass);
      if (!held && start()) {
        // It has begun, and is one of the others again.
        if (neglected.delete(job.id)) order(queue);
        continue;
      }
      if (job.pending > 0 && !held) {
        blocked.push(job);
        if (!this.ctx.isBorrower(team) && !this.quota.short.has(team)) this.#lending.missedAt = now;
      }
      queue.shift();
      if (queue.length === 0) queues.delete(team);
    }
    return blocked;
  }

  #place(job: Job, chunk: Chunk, index: number, machine: Machine, { tree }: Pass): void {
    this.ledger.place(job, chunk, index, machine);
    tree.charge(job.spec.team, job.spec);
  }

  /** All waiting tasks of a gang, or none. */
  #gang(job: Job, pass: Pass): boolean {
    // The former attempt has to be over on all machines before all start once more.
    if (job.hasAllocations) return false;
    const hosts = this.#gangHosts(job, pass);
    if (hosts === null) return false;
    for (const chunk of job.chunks.values()) {
      for (let index = chunk.nextPending(); index !== null; index = chunk.nextPending()) {
        this.#place(job, chunk, index, hosts.pop()!, pass);
        this.#lending.taken(job.spec);
      }
    }
    return true;
  }

  /** A machine for every waiting task of a gang, or null when not all of them fit at once. */
  #gangHosts(job: Job, pass: Pass): Machine[] | null {
    const { machines, types } = pass;
    const { spec, pending: count } = job;
    if (count === 0 || !this.quota.fits(spec, count)) return null;
    if (this.ctx.isBorrower(spec.team) && spec.cpus * count > this.#lending.lends(pass))
      return null;
    const zones = spec.oneZone ? [...new Set(machines.map(({ zone }) => zone))] : [null];
    const rankOn = spec.match === undefined ? null : this.ctx.constraints.rankerFor(spec);
    const preferred = rankOn === null ? machines : ranked(machines, types, rankOn);
    for (const zone of zones) {
      const hosts: Machine[] = [];
      const perZone = new Map<string, number>();
      for (const machine of preferred) {
        if (!kindAllowed(spec, machine) || (zone !== null && machine.zone !== zone)) continue;
        const room = { ...withoutReservations(machine.freeResourcesIn(types), machine, job.id) };
        while (
          hosts.length < count &&
          fitsResources(room, spec) &&
          (rankOn === null || rankOn(machine, room) !== null) &&
          zoneAllowed(spec, machine.zone, perZone)
        ) {
          addResources(room, spec, -1);
          hosts.push(machine);
          perZone.set(machine.zone, (perZone.get(machine.zone) ?? 0) + 1);
        }
      }
      if (hosts.length === count) return hosts;
    }
    return null;
  }

  /** The zones of a job's tasks that are placed. */
  #zones(job: Job): Map<string, number> {
    const zones = new Map<string, number>();
    for (const chunk of job.chunks.values()) {
      for (const live of chunk.allocations.values()) {
        const zone = this.ledger.machines.get(live.machine)?.zone ?? "";
        zones.set(zone, (zones.get(zone) ?? 0) + 1);
      }
    }
    return zones;
  }

  #one(job: Job, pass: Pass): boolean {
    const { spec } = job;
    if (!this.quota.fits(spec)) return false;
    const lent = this.ctx.isBorrower(spec.team);
    if (lent && spec.cpus > this.#lending.lends(pass)) return false;
    // Its tasks may be placed only so many at a time.
    if (spec.match !== undefined && job.pending === 0) return false;
    // A job that keeps failing is tried with one task at a time.
    if (job.failures > 1 && job.hasAllocations) return false;
    const machine = this.#again(job, pass) ?? this.#best(job, pass);
    if (machine === null) return false;
    for (const chunk of job.chunks.values()) {
      if (chunk.movingTo !== null || !this.ledger.holds(chunk, machine.id)) continue;
      const index = chunk.nextPending();
      if (index === null) continue;
      this.#place(job, chunk, index, machine, pass);
      this.#lending.taken(spec);
      this.#last = { job, machine };
      return true;
    }
    return false;
  }

  /** The machine of the task before, which is the fullest of its kind and fuller now. */
  #again(job: Job, { types }: Pass): Machine | null {
    const { spec } = job;
    if (this.#last?.job !== job || spec.oneZone || spec.spread) return null;
    // What changes with a machine's room has to be asked anew of all machines.
    if (spec.match !== undefined && this.ctx.constraints.equivalenceKey(spec) === null) return null;
    const { machine } = this.#last;
    const room = withoutReservations(
      machine.freeResources(types.get(machine.type)),
      machine,
      job.id,
    );
    return fitsResources(room, spec) ? machine : null;
  }

  #best(job: Job, pass: Pass): Machine | null {
    const { spec } = job;
    const { machines, guaranteed } = pass;
    const like = this.ctx.constraints.equivalenceKey(spec);
    const shape = shapeOf(spec, like);
    const plain = like !== null && !spec.oneZone && !spec.spread && job.failures === 0;
    if (plain && this.#hopeless.has(shape)) {
      if (!machines.some(({ reserved }) => reserved.has(job.id))) return null;
    }
    const best = this.#search(job, pass, guaranteed.has(job.id));
    if (best === null && plain) this.#hopeless.add(shape);
    return best;
  }

  /** What a job with expressions ranks highest; among equals, and for all others, what costs least. */
  #search(job: Job, { machines, types, now }: Pass, entitled: boolean): Machine | null {
    const { spec } = job;
    const size = sizeOf(spec);
    const zones = spec.oneZone || spec.spread ? this.#zones(job) : null;
    const rankOn = spec.match === undefined ? null : this.ctx.constraints.rankerFor(spec);
    let best: Machine | null = null;
    let bestCost = Number.POSITIVE_INFINITY;
    let bestRank = Number.NEGATIVE_INFINITY;
    for (const machine of machines) {
      const free = machine.freeResourcesIn(types);
      if (!fitsResources(free, size)) continue;
      if (!kindAllowed(spec, machine) || machine.failedJobs.has(job.id)) continue;
      const room = withoutReservations(free, machine, job.id);
      if (room !== free && !fitsResources(room, size)) continue;
      if (zones !== null && !zoneAllowed(spec, machine.zone, zones)) continue;
      const cost = this.#cost(job, machine, room, entitled, now);
      if (rankOn !== null) {
        const wish = rankOn(machine, room);
        if (wish === null) continue;
        // Room that others made for this job comes first: what was stopped for it must be of use.
        const kept = machine.reserved.size > 0 && machine.reserved.has(job.id);
        const rank = kept ? Number.POSITIVE_INFINITY : wish;
        if (rank < bestRank) continue;
        if (rank > bestRank) bestCost = Number.POSITIVE_INFINITY;
        bestRank = rank;
      }
      // The first of them, where all else is equal.
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * The fullest cheap machine that has the image: keeps others free, to be used whole or returned,
   * the dear ones first.
   */
  #cost(job: Job, machine: Machine, room: Resources, entitled: boolean, now: number): number {
    const { image } = job.spec;
    return (
      room.cpus +
      (machine.reserved.size > 0 && machine.reserved.has(job.id) ? -10_000 : 0) +
      // Starts travel in answers to reports: what must not wait goes where one is due.
      (entitled ? 100 * (1 - Math.min(1, (now - machine.lastSeen) / this.ctx.reportMs)) : 0) +
      (machine.spot ? 0 : 1000) +
      (image === null || machine.images.has(image) ? 0 : 2000)
    );
  }
}

/** The machines that a job likes best first; the others in the order in which they are. */
function ranked(
  machines: readonly Machine[],
  types: Pass["types"],
  rankOn: ReturnType<PlacementConstraints["rankerFor"]>,
): Machine[] {
  return machines
    .map((machine) => {
      const rank = rankOn(machine, machine.freeResourcesIn(types)) ?? Number.NEGATIVE_INFINITY;
      return { machine, rank };
    })
    .sort((a, b) => (a.rank === b.rank ? 0 : b.rank - a.rank))
    .map(({ machine }) => machine);
}

/** Always of the same form, unlike jobs, some of which have expressions: for the innermost loops. */
const sizeOf = ({ cpus, gpus, memGb }: JobSpec): Resources => ({ cpus, gpus, memGb });

const shapeOf = ({ cpus, gpus, memGb, spot, types, zone }: JobSpec, like: string | null): string =>
  `${cpus}/${gpus}/${memGb}/${spot}/${types?.join() ?? ""}/${zone ?? ""}/${like}`;
