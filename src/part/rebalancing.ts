import { EPSILON, fitsWithin } from "../fair/share.js";
import { requiresSinglePart } from "../jobs/job-header.js";
import type { MachineType } from "../wire/cloud.js";
import { type Machine, withoutReservations } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { PlacementPass } from "./placement.js";
import { type KindCapacity, type Summary, totalCapacity } from "./summary.js";

/** Capacity and free CPUs by kind of machine, as published to other parts. */
export function capacityByKind(
  machines: Iterable<Machine>,
  types: ReadonlyMap<string, MachineType>,
): KindCapacity[] {
  const kinds = new Map<string, KindCapacity>();
  for (const machine of machines) {
    const type = types.get(machine.type);
    if (type === undefined) continue;
    const { zone, spot } = machine;
    const key = `${machine.type}/${zone}/${spot}`;
    let kind = kinds.get(key);
    if (kind === undefined) {
      kind = { type: machine.type, zone, spot, capacity: 0, free: 0, most: 0 };
      kinds.set(key, kind);
    }
    const available = withoutReservations(machine.freeResources(type), machine, null);
    const free = Math.max(0, available.cpus);
    kind.capacity += type.cpus;
    kind.free += free;
    kind.most = Math.max(kind.most, free);
  }
  return [...kinds.values()];
}

const NO_CAPACITY = { capacity: 0, free: 0, most: 0 };

interface OtherPart {
  part: number;
  kinds: KindCapacity[];
  waiting: number;
  sent: { cpus: number };
}

/** Hands waiting chunks over to other parts. */
export class Rebalancing {
  /** By part, CPUs of the chunks handed over to it since its last summary. */
  readonly #sent = new Map<number, { summary: Summary; cpus: number }>();

  constructor(readonly ctx: PartContext) {}

  /** Whether a job may run in a part: jobs of teams with allowances only where these allow a task. */
  #allowanceFilter({ spec }: Job): (part: number) => boolean {
    const { policy } = this.ctx;
    if (policy === null) return () => true;
    return (part) => {
      const allowance = policy.allowance(spec.team, part);
      return allowance === null || fitsWithin(spec, allowance.startLimit);
    };
  }

  #others(): OtherPart[] {
    const others: OtherPart[] = [];
    for (const [part, summary] of this.ctx.summaries.all()) {
      if (part === this.ctx.index || this.ctx.ownerSuspected(part)) continue;
      let sent = this.#sent.get(part);
      if (sent === undefined || sent.summary !== summary) {
        sent = { summary, cpus: 0 };
        this.#sent.set(part, sent);
      }
      others.push({ part, kinds: summary.kinds, waiting: summary.waiting + sent.cpus, sent });
    }
    return others;
  }

  /**
   * Selects chunks that find no free resources here for handover to parts that have some or whose
   * load is lower. Only machines that the job may use count: chunks of a job for on-demand machines
   * were once handed back and forth for minutes between parts that had only spot machines free.
   * Returns whether any chunk is to be handed over.
   */
  run(
    blocked: readonly Job[],
    { machines, types, now }: PlacementPass,
    waitingCpus: number,
  ): boolean {
    let anyHandedOver = false;
    const ownKinds = capacityByKind(machines, types);
    const others = this.#others();
    let waiting = waitingCpus;
    for (const job of blocked) {
      const { spec } = job;
      const allowedParts = spec.zone === null ? null : this.ctx.partsOf(spec.zone);
      const singlePart = requiresSinglePart(spec);
      const waitingChunks = [...job.chunks.values()].filter(
        (chunk) =>
          chunk.allocations.size === 0 && chunk.pending > 0 && chunk.handoverTarget === null,
      );
      if (waitingChunks.length === 0 || (singlePart && waitingChunks.length < job.chunks.size))
        continue;
      const isAllowedKind = (kind: KindCapacity): boolean =>
        this.ctx.constraints.allows(spec, kind);
      const mayRunIn = this.#allowanceFilter(job);
      const here = mayRunIn(this.ctx.index) ? totalCapacity(ownKinds, isAllowedKind) : NO_CAPACITY;
      // A failing job has failed on all machines here that it may use, and would fail elsewhere as well:
      // one was handed back and forth 146 times, and its failures were counted from zero each time.
      if (job.failures > 0 && here.capacity > 0) continue;
      const candidates = others
        .filter(({ part }) => allowedParts === null || allowedParts.includes(part))
        .filter(({ part }) => mayRunIn(part))
        .map((other) => ({ other, capacity: totalCapacity(other.kinds, isAllowedKind) }))
        .filter(({ capacity }) => capacity.capacity > 0);
      for (const group of singlePart ? [waitingChunks] : waitingChunks.map((chunk) => [chunk])) {
        const cpus = group.reduce((sum, chunk) => sum + chunk.pending * spec.cpus, 0);
        if (cpus === 0) continue;
        const pressure =
          here.capacity > 0 ? (waiting - here.free) / here.capacity : Number.POSITIVE_INFINITY;
        // A part that is full as well must have a clearly lower load, and the chunk must not have moved
        // recently: summaries are slightly stale, and chunks would be handed back and forth.
        const mayGoToFullPart = group.every((chunk) => now - chunk.since > this.ctx.leaseMs / 2);
        let lowestPressure = mayGoToFullPart ? Math.max(0, pressure - 0.25) : 0;
        let best: OtherPart | null = null;
        for (const { other, capacity } of candidates) {
          const pressureAfter = (other.waiting - capacity.free + cpus) / capacity.capacity;
          // Free CPUs that are spread over many machines do not fit a large task.
          const fits = pressureAfter <= 0 && capacity.most + EPSILON >= spec.cpus;
          if (
            fits
              ? pressureAfter <= lowestPressure
              : mayGoToFullPart && pressureAfter > 0 && pressureAfter < lowestPressure
          ) {
            lowestPressure = pressureAfter;
            best = other;
          }
        }
        if (best === null) continue;
        for (const chunk of group) chunk.handoverTarget = best.part;
        anyHandedOver = true;
        best.waiting += cpus;
        best.sent.cpus += cpus;
        waiting -= cpus;
        this.ctx.log.debug(
          { part: this.ctx.index, job: job.id, to: best.part, chunks: group.length },
          "chunks to be handed over to another part",
        );
      }
    }
    return anyHandedOver;
  }
}
