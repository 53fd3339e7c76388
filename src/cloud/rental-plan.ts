import type { CapacityRequest } from "../part/summary.js";
import type { ListedMachine, MachineType } from "../wire/cloud.js";

export interface Offer {
  type: MachineType;
  zone: string;
  spot: boolean;
  price: number;
}

export interface RentalRequest {
  offer: Offer;
  count: number;
}

interface FreeMachine {
  cpus: number;
  gpus: number;
  memGb: number;
  type: string;
  zone: string;
  spot: boolean;
  /** The offer that the machine is rented under. */
  offer: Offer;
}

/** Whether a machine of an offer satisfies the expressions of a job. */
export type JobMatchesOffer = (job: string, offer: Offer) => boolean;

const fits = (machine: FreeMachine, need: CapacityRequest, matchesJob: JobMatchesOffer): boolean =>
  machine.cpus >= need.cpus &&
  machine.gpus >= need.gpus &&
  machine.memGb >= need.memGb &&
  (need.spot || !machine.spot) &&
  (need.zone === null || need.zone === machine.zone) &&
  (need.job === undefined
    ? need.types === null || need.types.includes(machine.type)
    : matchesJob(need.job, machine.offer));

const emptyMachine = (offer: Offer): FreeMachine => ({
  cpus: offer.type.cpus,
  gpus: offer.type.gpus,
  memGb: offer.type.memGb,
  type: offer.type.name,
  zone: offer.zone,
  spot: offer.spot,
  offer,
});

const reserve = (machine: FreeMachine, need: CapacityRequest): void => {
  machine.cpus -= need.cpus;
  machine.gpus -= need.gpus;
  machine.memGb -= need.memGb;
};

const withinPrice = ({ price, type }: Offer, { most }: CapacityRequest): boolean =>
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
 * Plans which machines to rent for the waiting tasks that do not fit on machines already booting:
 * for each task shape, the offers that are cheapest per task. At most `most` machines of one offer,
 * the limit of one request; the next-cheapest offers are requested at the same time, since the
 * available number of each is unknown.
 */
export function planRentals(
  needs: readonly CapacityRequest[],
  booting: readonly ListedMachine[],
  types: ReadonlyMap<string, MachineType>,
  offers: readonly Offer[],
  most: number,
  matchesJob: JobMatchesOffer = () => false,
): RentalRequest[] {
  let freeMachines: FreeMachine[] = [];
  for (const machine of booting) {
    const type = types.get(machine.type);
    const { zone, spot } = machine;
    if (type !== undefined) freeMachines.push(emptyMachine({ type, zone, spot, price: 0 }));
  }
  const counts = new Map<Offer, number>();
  // Large tasks first: small ones fill the remaining space.
  for (const need of [...needs].sort((a, b) => b.cpus - a.cpus || b.memGb - a.memGb)) {
    let left = need.count;
    for (const machine of freeMachines) {
      while (left > 0 && fits(machine, need, matchesJob)) {
        reserve(machine, need);
        left--;
      }
    }
    freeMachines = freeMachines.filter(({ cpus, gpus }) => cpus > 0 || gpus > 0);
    const usable = offers
      .filter((offer) => fits(emptyMachine(offer), need, matchesJob) && withinPrice(offer, need))
      .map((offer) => ({ offer, price: offer.price / Math.min(tasksPer(offer.type, need), left) }))
      .sort((a, b) => a.price - b.price);
    for (const { offer } of usable) {
      for (let n = counts.get(offer) ?? 0; left > 0 && n < most; n++) {
        const machine = emptyMachine(offer);
        freeMachines.push(machine);
        counts.set(offer, n + 1);
        while (left > 0 && fits(machine, need, matchesJob)) {
          reserve(machine, need);
          left--;
        }
      }
    }
  }
  return [...counts].map(([offer, count]) => ({ offer, count }));
}
