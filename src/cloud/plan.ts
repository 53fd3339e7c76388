import type { Need } from "../part/summary.js";
import type { ListedMachine, MachineType } from "../wire/cloud.js";

export interface Offer {
  type: MachineType;
  zone: string;
  spot: boolean;
  price: number;
}

export interface Wish {
  offer: Offer;
  count: number;
}

interface Bin {
  cpus: number;
  gpus: number;
  memGb: number;
  type: string;
  zone: string;
  spot: boolean;
}

const fits = (bin: Bin, need: Need): boolean =>
  bin.cpus >= need.cpus &&
  bin.gpus >= need.gpus &&
  bin.memGb >= need.memGb &&
  (need.spot || !bin.spot) &&
  (need.zone === null || need.zone === bin.zone) &&
  (need.types === null || need.types.includes(bin.type));

const take = (bin: Bin, need: Need): void => {
  bin.cpus -= need.cpus;
  bin.gpus -= need.gpus;
  bin.memGb -= need.memGb;
};

const tasksPer = (type: MachineType, need: Need): number =>
  Math.floor(
    Math.min(
      need.cpus > 0 ? type.cpus / need.cpus : Number.POSITIVE_INFINITY,
      need.gpus > 0 ? type.gpus / need.gpus : Number.POSITIVE_INFINITY,
      need.memGb > 0 ? type.memGb / need.memGb : Number.POSITIVE_INFINITY,
      10_000,
    ) + 1e-9,
  );

/**
 * What to rent so that the waiting tasks, beyond those that machines already booting will take,
 * find room: for each shape the offer that is cheapest per task.
 */
export function plan(
  needs: readonly Need[],
  booting: readonly ListedMachine[],
  types: ReadonlyMap<string, MachineType>,
  offers: readonly Offer[],
): Wish[] {
  const bins: Bin[] = [];
  for (const machine of booting) {
    const type = types.get(machine.type);
    if (type !== undefined) {
      bins.push({ ...type, type: machine.type, zone: machine.zone, spot: machine.spot });
    }
  }
  const wishes = new Map<Offer, number>();
  // Large tasks first: small ones fill what is left.
  for (const need of [...needs].sort((a, b) => b.cpus - a.cpus || b.memGb - a.memGb)) {
    let left = need.count;
    for (const bin of bins)
      while (left > 0 && fits(bin, need)) {
        take(bin, need);
        left--;
      }
    if (left === 0) continue;
    let best: Offer | null = null;
    let bestPrice = Number.POSITIVE_INFINITY;
    for (const offer of offers) {
      const probe: Bin = {
        ...offer.type,
        type: offer.type.name,
        zone: offer.zone,
        spot: offer.spot,
      };
      if (!fits(probe, need)) continue;
      const price = offer.price / Math.min(tasksPer(offer.type, need), left);
      if (price < bestPrice) {
        best = offer;
        bestPrice = price;
      }
    }
    if (best === null) continue;
    while (left > 0) {
      const bin: Bin = { ...best.type, type: best.type.name, zone: best.zone, spot: best.spot };
      bins.push(bin);
      wishes.set(best, (wishes.get(best) ?? 0) + 1);
      while (left > 0 && fits(bin, need)) {
        take(bin, need);
        left--;
      }
    }
  }
  return [...wishes].map(([offer, count]) => ({ offer, count }));
}
