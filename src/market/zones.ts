import type { Core } from "../extension/index.js";
import type { ZoneView } from "./capacity-plan.js";
import type { SpareCapacity } from "./clearing.js";

/**
 * Capacity of all zones from the parts' summaries, with guests and own teams counted separately.
 */
export interface ClusterCapacity {
  zones: Map<string, ZoneView>;
  rooms: SpareCapacity[];
  /** CPUs that a guest's tasks use in a part. */
  usedCpus(guest: string, part: number): number;
  /** Parts without a summary that lists free capacity: their owner has not enabled the market. */
  unknownParts: number[];
}

/**
 * A part belongs to the zone of its home controller. Its machines in another zone (one without a
 * controller) are not sold: the part's figures are not split by zone.
 */
export function clusterCapacityOf(core: Core, guests: ReadonlySet<string>): ClusterCapacity {
  const zones = new Map<string, ZoneView>();
  const rooms: SpareCapacity[] = [];
  const unknownParts: number[] = [];
  for (let part = 0; part < core.layout.parts; part++) {
    const { zone } = core.layout.home(part);
    const summary = core.summaries.of(part);
    let view = zones.get(zone);
    if (view === undefined) {
      view = { zone, free: 0, own: 0, waiting: 0, guests: 0 };
      zones.set(zone, view);
    }
    if (summary?.rooms === undefined) {
      unknownParts.push(part);
      continue;
    }
    view.waiting += summary.starved ?? 0;
    for (const [team, [cpus]] of Object.entries(summary.use)) {
      if (guests.has(team)) view.guests += cpus;
      else view.own += cpus;
    }
    for (const room of summary.rooms) {
      if (room.zone !== zone) continue;
      view.free += room.cpus * room.count;
      rooms.push({ ...room, part });
    }
  }
  return {
    zones,
    rooms,
    unknownParts,
    usedCpus: (guest, part) => core.summaries.of(part)?.use[guest]?.[0] ?? 0,
  };
}

/** How many cores machines have for each GPU and for each GB of memory, over all types. */
export function coreEquivalents(core: Core): { gpus: number; memGb: number } {
  let cpus = 0;
  let gpus = 0;
  let memGb = 0;
  for (const type of core.types().values()) {
    cpus += type.cpus;
    gpus += type.gpus;
    memGb += type.memGb;
  }
  return { gpus: gpus > 0 ? cpus / gpus : 0, memGb: memGb > 0 ? cpus / memGb : 0 };
}
