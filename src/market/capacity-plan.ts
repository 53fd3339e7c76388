import type { Window } from "./calendar.js";
import type { SpareCapacity } from "./clearing.js";
import type { Grant } from "./records.js";

/** Free and used capacity of one zone, in CPUs. */
export interface ZoneView {
  zone: string;
  /** Free on machines that accept tasks, including what is granted and not in use. */
  free: number;
  /** What the platform's own teams use, and what their waiting tasks need. */
  own: number;
  waiting: number;
  /** What guests' tasks use. */
  guests: number;
}

export interface ZonePlan {
  /** Reserve: CPUs that the own teams may come to need beyond what they use. */
  reserve: number;
  /** CPUs that may be sold; CPUs to reclaim from guests, and CPUs to reclaim at once. */
  sellable: number;
  reclaim: number;
  reclaimNow: number;
}

/**
 * By zone, CPUs granted and not in use by their guest: they are free, but must not be sold again.
 */
export function unusedGrantedCpus(
  grants: Iterable<Grant>,
  usedCpus: (guest: string, part: number) => number,
): Map<string, number> {
  const granted = new Map<string, { zone: string; part: number; guest: string; cpus: number }>();
  for (const { guest, part, zone, slot, slots } of grants) {
    const key = `${guest}/${part}`;
    const known = granted.get(key);
    if (known === undefined) granted.set(key, { zone, part, guest, cpus: slot.cpus * slots });
    else known.cpus += slot.cpus * slots;
  }
  const unused = new Map<string, number>();
  for (const { zone, part, guest, cpus } of granted.values()) {
    unused.set(zone, (unused.get(zone) ?? 0) + Math.max(0, cpus - usedCpus(guest, part)));
  }
  return unused;
}

/**
 * What may be sold in a zone, and what has to be reclaimed. The own teams may need `forecast` CPUs in
 * all, and in each of `windows` the CPUs reserved there, or everything. A pure function.
 */
export function planZone(
  { zone, free, own, waiting }: ZoneView,
  unused: number,
  forecast: number,
  windows: readonly Window[],
): ZonePlan {
  let reserve = Math.max(0, forecast - own - waiting);
  for (const window of windows) {
    if (window.zone === null || window.zone === zone)
      reserve = Math.max(reserve, window.keepCpus - own);
  }
  // Waiting tasks get free capacity first. They still wait as it was missing, or not enough, when
  // the
  // summary was made.
  const available = free - unused - waiting;
  const reclaim = Math.max(0, reserve - available);
  return {
    reserve,
    sellable: Math.max(0, available - reserve),
    reclaim,
    reclaimNow: Math.max(0, waiting - Math.max(0, free - unused)),
  };
}

/**
 * Selects grants of a zone to cut short so that `cpus` become free: first those that their guests do
 * not use, then those with the lowest price per core, then the newest. A pure function.
 */
export function selectGrantsToCut(
  grants: readonly Grant[],
  cpus: number,
  usedCpus: (guest: string, part: number) => number,
): Grant[] {
  const idleCpus = new Map<string, number>();
  const keyOf = (grant: Grant): string => `${grant.guest}/${grant.part}`;
  for (const grant of grants) {
    const known = idleCpus.get(keyOf(grant)) ?? -usedCpus(grant.guest, grant.part);
    idleCpus.set(keyOf(grant), known + grant.slot.cpus * grant.slots);
  }
  const pricePerCore = ({ micro, slot }: Grant): number => micro / Math.max(slot.cpus, 1e-3);
  const cutOrder = [...grants].sort(
    (a, b) => pricePerCore(a) - pricePerCore(b) || b.from - a.from || (a.id < b.id ? -1 : 1),
  );
  const chosen = new Set<Grant>();
  let cpusToFree = cpus;
  const take = (grant: Grant): void => {
    chosen.add(grant);
    cpusToFree -= grant.slot.cpus * grant.slots;
  };
  for (const grant of cutOrder) {
    if (cpusToFree <= 1e-6) break;
    const size = grant.slot.cpus * grant.slots;
    const unused = idleCpus.get(keyOf(grant))!;
    if (unused + 1e-6 < size) continue;
    idleCpus.set(keyOf(grant), unused - size);
    take(grant);
  }
  for (const grant of cutOrder) {
    if (cpusToFree <= 1e-6) break;
    if (!chosen.has(grant)) take(grant);
  }
  return cutOrder.filter((grant) => chosen.has(grant));
}

/** Free capacity minus what is granted and not in use, so that it is not sold a second time. */
export function excludeUnusedGrants(
  rooms: readonly SpareCapacity[],
  grants: Iterable<Grant>,
  usedCpus: (guest: string, part: number) => number,
): SpareCapacity[] {
  const remaining = rooms.map((room) => ({ ...room }));
  const uncoveredUse = new Map<string, number>();
  for (const grant of grants) {
    const key = `${grant.guest}/${grant.part}`;
    let used = uncoveredUse.get(key) ?? usedCpus(grant.guest, grant.part);
    for (let n = 0; n < grant.slots; n++) {
      if (used + 1e-6 >= grant.slot.cpus) {
        used -= grant.slot.cpus;
        continue;
      }
      const machines = remaining
        .filter(
          (room) =>
            room.part === grant.part &&
            room.count > 0 &&
            room.cpus + 1e-6 >= grant.slot.cpus &&
            room.gpus + 1e-6 >= grant.slot.gpus &&
            room.memGb + 1e-6 >= grant.slot.memGb,
        )
        .sort((a, b) => a.cpus - b.cpus)[0];
      if (machines === undefined) continue;
      machines.count--;
      remaining.push({
        ...machines,
        count: 1,
        cpus: machines.cpus - grant.slot.cpus,
        gpus: machines.gpus - grant.slot.gpus,
        memGb: machines.memGb - grant.slot.memGb,
      });
    }
    uncoveredUse.set(key, used);
  }
  return remaining.filter(({ count }) => count > 0);
}
