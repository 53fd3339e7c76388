import type { Core } from "../extension/index.js";
import type { SpareRoom } from "./clearing.js";
import type { ZoneView } from "./reserve.js";

/** What the parts' summaries say of all zones, with guests and own teams told apart. */
export interface Cluster {
  zones: Map<string, ZoneView>;
  rooms: SpareRoom[];
  /** CPUs that a guest uses in a part. */
  use(guest: string, part: number): number;
  /** Parts that have said nothing with room by machine: their owner does not know the market. */
  mute: number[];
}

/**
 * A part belongs to the zone of its home. Machines of another zone (one without a controller) are
 * not sold: their part's figures could not be told apart by zone.
 */
export function clusterOf(core: Core, guests: ReadonlySet<string>): Cluster {
  const zones = new Map<string, ZoneView>();
  const rooms: SpareRoom[] = [];
  const mute: number[] = [];
  for (let part = 0; part < core.layout.parts; part++) {
    const { zone } = core.layout.home(part);
    const summary = core.summaries.of(part);
    let view = zones.get(zone);
    if (view === undefined) {
      view = { zone, free: 0, own: 0, waiting: 0, guests: 0 };
      zones.set(zone, view);
    }
    if (summary?.rooms === undefined) {
      mute.push(part);
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
    mute,
    use: (guest, part) => core.summaries.of(part)?.use[guest]?.[0] ?? 0,
  };
}

/** How many cores of a machine go with one of its GPUs, and with a GB, over all types. */
export function worthOf(core: Core): { gpus: number; memGb: number } {
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
