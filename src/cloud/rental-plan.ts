import type { CapacityRequest } from "../part/summary.js";
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
  /** What it is a machine of. */
  offer: Offer;
}

/** Whether a machine would do for a job whose expressions say so. */
export type Suits = (job: string, offer: Offer) => boolean;

const fits = (bin: Bin, need: CapacityRequest, suits: Suits): boolean =>
  bin.cpus >= need.cpus &&
  bin.gpus >= need.gpus &&
  bin.memGb >= need.memGb &&
  (need.spot || !bin.spot) &&
  (need.zone === null || need.zone === bin.zone) &&
  (need.job === undefined
    ? need.types === null || need.types.includes(bin.type)
    : suits(need.job, bin.offer));

const binOf = (offer: Offer): Bin => ({
  cpus: offer.type.cpus,
  gpus: offer.type.gpus,
  memGb: offer.type.memGb,
  type: offer.type.name,
  zone: offer.zone,
  spot: offer.spot,
  offer,
});

const take = (bin: Bin, need: CapacityRequest): void => {
  bin.cpus -= need.cpus;
  bin.gpus -= need.gpus;
  bin.memGb -= need.memGb;
};

const covered = ({ price, type }: Offer, { most }: CapacityRequest): boolean =>
  most === undefined || price <= most * type.cpus;

const tasksPer = (type: MachineType, need: CapacityRequest): number =>
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
 * find room: for each shape the offer that is cheapest per task. Of one offer no more than `most`,
 * which is what one request may ask for: the next-cheapest offers are asked at the same time, since
 * nobody knows how much of each there is.
 */
export function plan(
  needs: readonly CapacityRequest[],
  booting: readonly ListedMachine[],
  types: ReadonlyMap<string, MachineType>,
  offers: readonly Offer[],
  most: number,
  suits: Suits = () => false,
): Wish[] {
  let bins: Bin[] = [];
  for (const machine of booting) {
    const type = types.get(machine.type);
    const { zone, spot } = machine;
    if (type !== undefined) bins.push(binOf({ type, zone, spot, price: 0 }));
  }
  const wishes = new Map<Offer, number>();
  // Large tasks first: small ones fill what is left.
  for (const need of [...needs].sort((a, b) => b.cpus - a.cpus || b.memGb - a.memGb)) {
    let left = need.count;
    for (const bin of bins) {
      while (left > 0 && fits(bin, need, suits)) {
        take(bin, need);
        left--;
      }
    }
    bins = bins.filter(({ cpus, gpus }) => cpus > 0 || gpus > 0);
    const usable = offers
      .filter((offer) => fits(binOf(offer), need, suits) && covered(offer, need))
      .map((offer) => ({ offer, price: offer.price / Math.min(tasksPer(offer.type, need), left) }))
      .sort((a, b) => a.price - b.price);
    for (const { offer } of usable) {
      for (let n = wishes.get(offer) ?? 0; left > 0 && n < most; n++) {
        const bin = binOf(offer);
        bins.push(bin);
        wishes.set(offer, n + 1);
        while (left > 0 && fits(bin, need, suits)) {
          take(bin, need);
          left--;
        }
      }
    }
  }
  return [...wishes].map(([offer, count]) => ({ offer, count }));
}
