import { EPSILON, fitsWithin } from "../fair/share.js";
import { requiresSinglePart } from "../jobs/job-header.js";
import type { MachineType } from "../wire/cloud.js";
import { type Machine, withoutReservations } from "../workers/machine.js";
import type { PartContext } from "./context.js";
import type { Job } from "./job.js";
import type { Pass } from "./placement.js";
import { type KindCapacity, type Summary, totalCapacity } from "./summary.js";

/** Room by kind of machine, as others see it. */
export function kindsOf(
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
    const room = withoutReservations(machine.freeResources(type), machine, null);
    const free = Math.max(0, room.cpus);
    kind.capacity += type.cpus;
    kind.free += free;
    kind.most = Math.max(kind.most, free);
  }
  return [...kinds.values()];
}

const NOWHERE = { capacity: 0, free: 0, most: 0 };

interface Other {
  part: number;
  kinds: KindCapacity[];
  waiting: number;
  sent: { cpus: number };
}

/** Hands waiting chunks on to other parts. */
export class Rebalancing {
  /** CPUs of chunks given to other parts since their last summary. */
  readonly #sent = new Map<number, { summary: Summary; cpus: number }>();

  constructor(readonly ctx: PartContext) {}

  /** Whether a job may use anything in a part: of teams with allowances, only where they have one. */
  #granted({ spec }: Job): (part: number) => boolean {
    const { policy: rules } = this.ctx;
    if (rules === null) return () => true;
    return (part) => {
      const allowance = rules.allowance(spec.team, part);
      return allowance === null || fitsWithin(spec, allowance.startLimit);
    };
  }

  #others(): Other[] {
    const others: Other[] = [];
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
   * Hands chunks that find no room here to parts that have some, or that are less pressed. Only
   * machines that the job may use count: chunks of a job for ordinary machines once travelled for
   * minutes between parts that had nothing but spot machines free. Says whether any is handed on.
   */
  run(blocked: readonly Job[], { machines, types, now }: Pass, waitingCpus: number): boolean {
    let moves = false;
    const own = kindsOf(machines, types);
    const others = this.#others();
    let waiting = waitingCpus;
    for (const job of blocked) {
      const { spec } = job;
      const allowedParts = spec.zone === null ? null : this.ctx.partsOf(spec.zone);
      const pinned = requiresSinglePart(spec);
      const idle = [...job.chunks.values()].filter(
        (chunk) => chunk.allocations.size === 0 && chunk.pending > 0 && chunk.movingTo === null,
      );
      if (idle.length === 0 || (pinned && idle.length < job.chunks.size)) continue;
      const usable = (kind: KindCapacity): boolean => this.ctx.constraints.allows(spec, kind);
      const granted = this.#granted(job);
      const here = granted(this.ctx.index) ? totalCapacity(own, usable) : NOWHERE;
      // A job that keeps failing finds no machine here that has not failed it yet, and would find
      // none elsewhere: it once travelled to and fro 146 times, each time counting its failures anew.
      if (job.failures > 0 && here.capacity > 0) continue;
      const rooms = others
        .filter(({ part }) => allowedParts === null || allowedParts.includes(part))
        .filter(({ part }) => granted(part))
        .map((other) => ({ other, there: totalCapacity(other.kinds, usable) }))
        .filter(({ there }) => there.capacity > 0);
      for (const group of pinned ? [idle] : idle.map((chunk) => [chunk])) {
        const cpus = group.reduce((sum, chunk) => sum + chunk.pending * spec.cpus, 0);
        if (cpus === 0) continue;
        const pressure =
          here.capacity > 0 ? (waiting - here.free) / here.capacity : Number.POSITIVE_INFINITY;
        // To a part that is full as well only when it is clearly less pressed, and not soon
        // again: summaries are a little old, and chunks would travel to and fro.
        const settled = group.every((chunk) => now - chunk.since > this.ctx.leaseMs / 2);
        let least = settled ? Math.max(0, pressure - 0.25) : 0;
        let best: Other | null = null;
        for (const { other, there } of rooms) {
          const after = (other.waiting - there.free + cpus) / there.capacity;
          // Free CPUs on many machines are no room for a large task.
          const fits = after <= 0 && there.most + EPSILON >= spec.cpus;
          if (fits ? after <= least : settled && after > 0 && after < least) {
            least = after;
            best = other;
          }
        }
        if (best === null) continue;
        for (const chunk of group) chunk.movingTo = best.part;
        moves = true;
        best.waiting += cpus;
        best.sent.cpus += cpus;
        waiting -= cpus;
        this.ctx.log.debug(
          { part: this.ctx.index, job: job.id, to: best.part, chunks: group.length },
          "chunks handed on",
        );
      }
    }
    return moves;
  }
}
