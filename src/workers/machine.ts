import type { Allocation } from "../jobs/chunk.js";
import type { MachineType } from "../wire/cloud.js";
import type { JobSpec } from "../wire/jobs.js";
import type { ReportPosition } from "./report-classification.js";

/** Amounts of a machine or a task. */
export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** What the part's owner knows of one machine since it claimed the part. */
export class Machine {
  type = "";
  zone = "";
  spot = false;
  matcherCache: object | null = null;
  address = "";
  session = 0;
  seq = -1;
  /** The newest report that was used for anything, also one without our token; null for none. */
  latestReport: ReportPosition | null = null;
  /**
   * Since when our answers may not reach it: its reports arrive, but show that it has received no
   * answer for long. Nothing is placed on it until it receives one. Null if answers arrive.
   */
  unreachableSince: number | null = null;
  /**
   * Whether its worker has reported with our fencing token. Before that, an answer of an earlier
   * owner may still reach it, so the tasks it reports prove nothing.
   */
  hasOurToken = false;
  lastSeen: number;
  terminationNoticeS: number | null = null;
  idleSince: number;
  /** Why it is retired; null if it is not. The leader is asked to return it to the cloud. */
  retirementReason: string | null = null;
  /** Jobs that failed here since the last success. */
  readonly failedJobs = new Set<string>();
  readonly allocations = new Map<string, Allocation>();
  /** Unknown tasks that it reports: they use its resources until they are gone. */
  unknownTasks: JobSpec[] = [];
  readonly images = new Set<string>();
  /**
   * Resources being freed for a job, by job. Without reservations, smaller tasks took the freed
   * resources before there were enough, and the same tasks were stopped repeatedly for one job.
   */
  readonly reservations = new Map<string, { tasks: number; spec: JobSpec; until: number }>();
  #freeResources: Resources | null = null;

  constructor(
    readonly id: string,
    now: number,
  ) {
    this.lastSeen = now;
    this.idleSince = now;
  }

  invalidateFreeResources(): void {
    this.#freeResources = null;
  }

  /** As `freeResources`, for searches over all machines: the type is looked up only if needed. */
  freeResourcesIn(types: ReadonlyMap<string, MachineType>): Resources {
    return this.#freeResources ?? this.freeResources(types.get(this.type));
  }

  /** What is free on the machine; cached until `invalidateFreeResources`. Zero for an unknown type. */
  freeResources(type: MachineType | undefined): Resources {
    if (type === undefined) return { cpus: 0, gpus: 0, memGb: 0 };
    if (this.#freeResources !== null) return this.#freeResources;
    const free: Resources = { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb };
    for (const allocation of this.allocations.values())
      addResources(free, allocation.chunk.spec, -1);
    for (const spec of this.unknownTasks) addResources(free, spec, -1);
    this.#freeResources = free;
    return free;
  }
}

/** Adds the resources of `times` tasks of a job; negative `times` subtracts. */
export function addResources(resources: Resources, spec: JobSpec, times: number): void {
  resources.cpus += times * spec.cpus;
  resources.gpus += times * spec.gpus;
  resources.memGb += times * spec.memGb;
}

/** `free` without what is reserved for jobs other than `job`. */
export function withoutReservations(
  free: Resources,
  machine: Machine,
  job: string | null,
): Resources {
  if (machine.reservations.size === 0) return free;
  const unreserved = { ...free };
  for (const [id, { tasks, spec }] of machine.reservations)
    if (id !== job) addResources(unreserved, spec, -tasks);
  return unreserved;
}

export const fitsResources = (free: Resources, size: Resources): boolean =>
  size.cpus <= free.cpus + 1e-6 && size.gpus <= free.gpus + 1e-6 && size.memGb <= free.memGb + 1e-6;

/** Machines that are equal in these differ for a job only in their free resources. */
export interface MachineKind {
  type: string;
  zone: string;
  spot: boolean;
  /** What the matcher keeps for this kind, stored here for fast access. */
  matcherCache?: object | null;
}

/** Whether the machine's type, zone and spot flag are allowed by the job. */
export const kindAllowed = (spec: JobSpec, machine: MachineKind): boolean =>
  // A job with expressions selects machine types by its expressions.
  (spec.match !== undefined || spec.types === null || spec.types.includes(machine.type)) &&
  (spec.zone === null || spec.zone === machine.zone) &&
  (spec.spot || !machine.spot);

/** Whether a machine of this type could run a task of the job, if it were empty. */
export const typeFits = (spec: JobSpec, type: MachineType): boolean =>
  (spec.match !== undefined || spec.types === null || spec.types.includes(type.name)) &&
  (spec.zone === null || type.zones.length === 0 || type.zones.includes(spec.zone)) &&
  spec.cpus <= type.cpus &&
  spec.gpus <= type.gpus &&
  spec.memGb <= type.memGb;

/**
 * Whether placing one more task of a job in `zone` keeps the job's zone rules. `perZone` counts the
 * job's other allocations by zone; `""` is for machines that have not reported their zone since the
 * part was taken over. Those may be in any zone, so they count in each: otherwise a new owner placed
 * the third of three tasks in the zone of the other two, which it counted in no zone.
 */
export function zoneAllowed(
  spec: JobSpec,
  zone: string,
  perZone: ReadonlyMap<string, number>,
): boolean {
  if (spec.oneZone) {
    for (const [other, count] of perZone) if (other !== zone && count > 0) return false;
  }
  if (spec.spread) {
    const inZone = (perZone.get(zone) ?? 0) + (perZone.get("") ?? 0);
    return inZone + 1 <= Math.ceil(spec.tasks / 2);
  }
  return true;
}
