import type { Window } from "./calendar.js";
import type { SpareRoom } from "./clearing.js";
import type { Grant } from "./records.js";

/** How one zone stands, in CPUs. */
export interface ZoneView {
  zone: string;
  /** Free on machines that take tasks, room sold and not used included. */
  free: number;
  /** What the platform's own teams use, and what they wait for. */
  own: number;
  waiting: number;
  /** What guests use. */
  guests: number;
}

export interface ZonePlan {
  /** CPUs that the own teams may come to need beyond what they use. */
  gap: number;
  /** What may be sold, and what has to be given back, of which `now` at once. */
  sellable: number;
  back: number;
  now: number;
}

/** By zone, CPUs granted and not in use by their guest: they are free, and not to be sold twice. */
export function unusedOf(
  grants: Iterable<Grant>,
  use: (guest: string, part: number) => number,
): Map<string, number> {
  const held = new Map<string, { zone: string; part: number; guest: string; cpus: number }>();
  for (const { guest, part, zone, slot, slots } of grants) {
    const key = `${guest}/${part}`;
    const known = held.get(key);
    if (known === undefined) held.set(key, { zone, part, guest, cpus: slot.cpus * slots });
    else known.cpus += slot.cpus * slots;
  }
  const unused = new Map<string, number>();
  for (const { zone, part, guest, cpus } of held.values()) {
    unused.set(zone, (unused.get(zone) ?? 0) + Math.max(0, cpus - use(guest, part)));
  }
  return unused;
}

/**
 * What may be sold in a zone for a time, or has to come back. The own teams may need `forecast`
 * CPUs in all, and in the hours that the calendar gives them what it keeps, or everything. A pure
 * function.
 */
export function planZone(
  { zone, free, own, waiting }: ZoneView,
  unused: number,
  forecast: number,
  windows: readonly Window[],
): ZonePlan {
  let gap = Math.max(0, forecast - own - waiting);
  for (const window of windows) {
    if (window.zone === null || window.zone === zone) gap = Math.max(gap, window.keepCpus - own);
  }
  // What waits takes free room first; it was not there when the summary was made, or not enough.
  const left = free - unused - waiting;
  const back = Math.max(0, gap - left);
  return {
    gap,
    sellable: Math.max(0, left - gap),
    back,
    now: Math.max(0, waiting - Math.max(0, free - unused)),
  };
}

/**
 * Which grants of a zone end early so that `cpus` come back: first those that their guests do not
 * use, then the cheapest for a core, then the youngest. A pure function.
 */
export function grantsToCut(
  grants: readonly Grant[],
  cpus: number,
  use: (guest: string, part: number) => number,
): Grant[] {
  const idle = new Map<string, number>();
  const of = (grant: Grant): string => `${grant.guest}/${grant.part}`;
  for (const grant of grants) {
    const known = idle.get(of(grant)) ?? -use(grant.guest, grant.part);
    idle.set(of(grant), known + grant.slot.cpus * grant.slots);
  }
  const price = ({ micro, slot }: Grant): number => micro / Math.max(slot.cpus, 1e-3);
  const order = [...grants].sort(
    (a, b) => price(a) - price(b) || b.from - a.from || (a.id < b.id ? -1 : 1),
  );
  const chosen = new Set<Grant>();
  let left = cpus;
  const take = (grant: Grant): void => {
    chosen.add(grant);
    left -= grant.slot.cpus * grant.slots;
  };
  for (const grant of order) {
    if (left <= 1e-6) break;
    const size = grant.slot.cpus * grant.slots;
    const unused = idle.get(of(grant))!;
    if (unused + 1e-6 < size) continue;
    idle.set(of(grant), unused - size);
    take(grant);
  }
  for (const grant of order) {
    if (left <= 1e-6) break;
    if (!chosen.has(grant)) take(grant);
  }
  return order.filter((grant) => chosen.has(grant));
}

/** Free room less what is sold and not used there, so that it is not sold a second time. */
export function withoutUnused(
  rooms: readonly SpareRoom[],
  grants: Iterable<Grant>,
  use: (guest: string, part: number) => number,
): SpareRoom[] {
  const left = rooms.map((room) => ({ ...room }));
  const taken = new Map<string, number>();
  for (const grant of grants) {
    const key = `${grant.guest}/${grant.part}`;
    let used = taken.get(key) ?? use(grant.guest, grant.part);
    for (let n = 0; n < grant.slots; n++) {
      if (used + 1e-6 >= grant.slot.cpus) {
        used -= grant.slot.cpus;
        continue;
      }
      const host = left
        .filter(
          (room) =>
            room.part === grant.part &&
            room.count > 0 &&
            room.cpus + 1e-6 >= grant.slot.cpus &&
            room.gpus + 1e-6 >= grant.slot.gpus &&
            room.memGb + 1e-6 >= grant.slot.memGb,
        )
        .sort((a, b) => a.cpus - b.cpus)[0];
      if (host === undefined) continue;
      host.count--;
      left.push({
        ...host,
        count: 1,
        cpus: host.cpus - grant.slot.cpus,
        gpus: host.gpus - grant.slot.gpus,
        memGb: host.memGb - grant.slot.memGb,
      });
    }
    taken.set(key, used);
  }
  return left.filter(({ count }) => count > 0);
}
