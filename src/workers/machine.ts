import type { Allocation } from "../jobs/chunk.js";
import type { MachineType } from "../wire/cloud.js";
import type { JobSpec } from "../wire/jobs.js";
import type { ReportPosition } from "./report-classification.js";

export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** What the part's owner knows of one machine, under its own token. */
export class Machine {
  type = "";
  zone = "";
  spot = false;
  matcherCache: object | null = null;
  address = "";
  session = 0;
  seq = -1;
  /** The newest report that was taken for anything, also before it followed us; null: none. */
  latest: ReportPosition | null = null;
  /**
   * Since when answers may not reach it: its reports come, but show that none was taken for long.
   * No room, until it has taken one; null: it hears.
   */
  unreachableSince: number | null = null;
  /**
   * Whether its worker has reported with our token. Before that, an answer of an earlier owner
   * may still reach it, so its list proves nothing.
   */
  hasOurToken = false;
  lastSeen: number;
  noticeS: number | null = null;
  idleSince: number;
  /** Not to be used any more; the leader is asked to return it. */
  retired: string | null = null;
  /** Jobs that failed here since the last success. */
  readonly failedJobs = new Set<string>();
  readonly allocations = new Map<string, Allocation>();
  /** Tasks that it lists and that are not ours to count: they take room until they are gone. */
  unknownTasks: JobSpec[] = [];
  readonly images = new Set<string>();
  /**
   * Room that is being cleared for a job. Without this, smaller tasks took what was freed before
   * there was enough of it, and the same tasks were stopped for the same job again and again.
   */
  readonly reserved = new Map<string, { tasks: number; spec: JobSpec; until: number }>();
  #room: Resources | null = null;

  constructor(
    readonly id: string,
    now: number,
  ) {
    this.lastSeen = now;
    this.idleSince = now;
  }

  invalidateFreeResources(): void {
    this.#room = null;
  }

  /** `freeResources`, for searches over all machines: the type is looked up only when something has changed. */
  freeResourcesIn(types: ReadonlyMap<string, MachineType>): Resources {
    return this.#room ?? this.freeResources(types.get(this.type));
  }

  freeResources(type: MachineType | undefined): Resources {
    if (type === undefined) return { cpus: 0, gpus: 0, memGb: 0 };
    if (this.#room !== null) return this.#room;
    const room: Resources = { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb };
    for (const live of this.allocations.values()) addResources(room, live.chunk.spec, -1);
    for (const spec of this.unknownTasks) addResources(room, spec, -1);
    this.#room = room;
    return room;
  }
}

export function addResources(room: Resources, spec: JobSpec, times: number): void {
  room.cpus += times * spec.cpus;
  room.gpus += times * spec.gpus;
  room.memGb += times * spec.memGb;
}

/** `room` less what is reserved for other jobs than `job`. */
export function withoutReservations(
  room: Resources,
  machine: Machine,
  job: string | null,
): Resources {
  if (machine.reserved.size === 0) return room;
  const left = { ...room };
  for (const [id, { tasks, spec }] of machine.reserved)
    if (id !== job) addResources(left, spec, -tasks);
  return left;
}

export const fitsResources = (room: Resources, size: Resources): boolean =>
  size.cpus <= room.cpus + 1e-6 && size.gpus <= room.gpus + 1e-6 && size.memGb <= room.memGb + 1e-6;

/** Machines that do not differ in these do not differ for a job, but for their room. */
export interface MachineKind {
  type: string;
  zone: string;
  spot: boolean;
  /** What a package has found out about its kind, kept where it is asked for most. */
  matcherCache?: object | null;
}

/** Whether a machine of this kind may run the job, as far as the job names types, zone and kind. */
export const kindAllowed = (spec: JobSpec, machine: MachineKind): boolean =>
  // With expressions, it is these that say which types will do.
  (spec.match !== undefined || spec.types === null || spec.types.includes(machine.type)) &&
  (spec.zone === null || spec.zone === machine.zone) &&
  (spec.spot || !machine.spot);

export const typeFits = (spec: JobSpec, type: MachineType): boolean =>
  (spec.match !== undefined || spec.types === null || spec.types.includes(type.name)) &&
  (spec.zone === null || type.zones.length === 0 || type.zones.includes(spec.zone)) &&
  spec.cpus <= type.cpus &&
  spec.gpus <= type.gpus &&
  spec.memGb <= type.memGb;

/**
 * Whether placing one more task of a job in `zone` keeps the job's zone rules, given the zones of
 * its other tasks that are placed and not proved gone; `""` for those on machines that have not said
 * theirs since the part was taken over. These may be in any zone, so they count in each: a new owner
 * put a third task of three beside two that it took for being nowhere.
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
    const here = (perZone.get(zone) ?? 0) + (perZone.get("") ?? 0);
    return here + 1 <= Math.ceil(spec.tasks / 2);
  }
  return true;
}
