import { compareRatios, costOf } from "./money.js";
import type { Slot } from "./records.js";
import { type DrawEntry, tieBreakOrder } from "./tie-break.js";

/** The fields of a bid that clearing needs. */
export interface ClearingBid extends DrawEntry {
  guest: string;
  slot: Slot;
  /** Slots requested and not granted yet. */
  want: number;
  zone: string | null;
  /** The bid's maximum price of a slot-hour, micro-units. */
  most: number;
}

/** Free resources of each of `count` machines that have the same ones free, in one part. */
export interface SpareCapacity extends Slot {
  zone: string;
  part: number;
  count: number;
}

export interface ClearingInput {
  instant: number;
  /** The longest that grants last, milliseconds. */
  lengthMs: number;
  bids: readonly ClearingBid[];
  spareCapacity: readonly SpareCapacity[];
  /** By zone, the CPUs that may be sold. */
  sellable: ReadonlyMap<string, number>;
  /** By guest: resources that it may still use, and how much more it may owe, micro-units. */
  guests: ReadonlyMap<string, { cpus: number; gpus: number; credit: number }>;
  /** How many cores a GPU and a GB of memory count as: the cores that machines have for each. */
  coreEquivalents: { gpus: number; memGb: number };
  /** The minimum price of a core-hour, micro-units. */
  minPriceMicro: number;
  /** Limit on winning bids: the record of a cleared round must fit the store's value size. */
  maxWinners: number;
}

export interface SoldSlots {
  bid: string;
  guest: string;
  slot: Slot;
  zone: string;
  part: number;
  slots: number;
  /** Price of a slot-hour, micro-units. */
  micro: number;
}

export interface ClearingResult {
  sold: SoldSlots[];
  /** Price of a core-hour as a fraction, micro-units; null when nothing is sold. */
  price: [number, number] | null;
  /**
   * Bids that did not get all their slots for lack of capacity, and bids below the minimum price.
   */
  lost: string[];
  /**
   * Bids at the price of the last winner, if some of them lost: the entries of the tie-break draw.
   */
  tied: DrawEntry[];
}

/** Size of a slot in thousandths of a core, by the resource of which it takes the largest share. */
export function slotSize(slot: Slot, worth: { gpus: number; memGb: number }): number {
  const cores = Math.max(slot.cpus, slot.gpus * worth.gpus, slot.memGb * worth.memGb);
  return Math.max(1, Math.ceil(cores * 1000 - 1e-6));
}

interface RankedBid {
  bid: ClearingBid;
  size: number;
}

/**
 * Machines with equal free resources. A machine moves to another class when a slot is placed on it.
 */
interface CapacityClass extends Slot {
  key: string;
  zone: string;
  part: number;
  count: number;
}

const EPSILON = 1e-6;
const fits = (slot: Slot, room: Slot): boolean =>
  slot.cpus <= room.cpus + EPSILON &&
  slot.gpus <= room.gpus + EPSILON &&
  slot.memGb <= room.memGb + EPSILON;
const shapeKey = ({ cpus, gpus, memGb }: Slot): string => `${cpus}/${gpus}/${memGb}`;

/** Free capacity of one zone, from which slots are taken. */
class ZoneCapacity {
  readonly #classes = new Map<string, CapacityClass>();
  /**
   * By shape, the class that took the last slot: searching all classes per slot took most of the
   * time.
   */
  readonly #lastUsedByShape = new Map<string, CapacityClass>();

  constructor(rooms: readonly SpareCapacity[], zone: string) {
    for (const room of rooms) if (room.zone === zone) this.#add(room, room.count);
  }

  #add(
    { zone, part, cpus, gpus, memGb }: Omit<SpareCapacity, "count">,
    count: number,
  ): CapacityClass {
    const key = `${part}/${cpus.toFixed(3)}/${gpus.toFixed(3)}/${memGb.toFixed(3)}`;
    let known = this.#classes.get(key);
    if (known === undefined) {
      known = { key, zone, part, cpus, gpus, memGb, count: 0 };
      this.#classes.set(key, known);
    }
    known.count += count;
    return known;
  }

  /**
   * The class for a slot: that of the machine that took the last slot of this shape, else the one
   * with the fewest free CPUs that fits it (best fit), so that other machines stay empty.
   */
  find(slot: Slot): CapacityClass | null {
    const last = this.#lastUsedByShape.get(shapeKey(slot));
    if (last !== undefined && last.count > 0 && fits(slot, last)) return last;
    let best: CapacityClass | null = null;
    for (const one of this.#classes.values()) {
      if (!fits(slot, one)) continue;
      if (
        best === null ||
        one.cpus < best.cpus - EPSILON ||
        (one.cpus < best.cpus + EPSILON &&
          (one.part < best.part || (one.part === best.part && one.key < best.key)))
      ) {
        best = one;
      }
    }
    if (best !== null) this.#lastUsedByShape.set(shapeKey(slot), best);
    return best;
  }

  take(room: CapacityClass, slot: Slot): void {
    const { zone, part, cpus, gpus, memGb } = room;
    if (--room.count === 0) this.#classes.delete(room.key);
    const rest = {
      zone,
      part,
      cpus: cpus - slot.cpus,
      gpus: gpus - slot.gpus,
      memGb: memGb - slot.memGb,
    };
    this.#lastUsedByShape.set(shapeKey(slot), this.#add(rest, 1));
  }
}

/** Sorts bids by price per core, highest first; a tie-break draw orders equal ones. */
function rankBids({ bids, coreEquivalents: worth, instant }: ClearingInput): RankedBid[] {
  const ranked = bids
    .map((bid) => ({ bid, size: slotSize(bid.slot, worth) }))
    .sort(
      (a, b) =>
        -compareRatios(a.bid.most, a.size, b.bid.most, b.size) || (a.bid.bid < b.bid.bid ? -1 : 1),
    );
  for (let from = 0; from < ranked.length; ) {
    let to = from + 1;
    while (to < ranked.length && hasSamePrice(ranked[from]!, ranked[to]!)) to++;
    if (to - from > 1) {
      const tiedBids = new Map(ranked.slice(from, to).map((one) => [one.bid.bid, one]));
      const order = tieBreakOrder(
        instant,
        [...tiedBids.values()].map(({ bid }) => bid),
      );
      ranked.splice(from, to - from, ...order.map((name) => tiedBids.get(name)!));
    }
    from = to;
  }
  return ranked;
}

const hasSamePrice = (a: RankedBid, b: RankedBid): boolean =>
  compareRatios(a.bid.most, a.size, b.bid.most, b.size) === 0;

interface PlacedSlot {
  ranked: RankedBid;
  zone: string;
  part: number;
}

/**
 * Clears a round: determines the winners and the price. A pure function whose result does not
 * depend on the order of the bids.
 *
 * Bids are served in order of their price per core-hour. Each gets as many slots as the free
 * capacity, the guest's credit and the guest's limit allow. The price of a core-hour is uniform: that
 * of the highest bid that lacked capacity, or of the last winner if that is lower, and at least the
 * operator's minimum. A slot costs that price times its size, rounded down. A bid without a zone is
 * placed in the zone with the fewest granted slots. Slots are moved afterwards so that no zone holds
 * more than half of them, rounded up, as long as another zone has capacity.
 */
export function clearRound(input: ClearingInput): ClearingResult {
  const { spareCapacity: rooms, guests, lengthMs, minPriceMicro: leastMicro } = input;
  const zones = [...new Set(rooms.map(({ zone }) => zone))].sort();
  const free = new Map(zones.map((zone) => [zone, new ZoneCapacity(rooms, zone)]));
  const unsold = new Map(zones.map((zone) => [zone, input.sellable.get(zone) ?? 0]));
  const granted = new Map(zones.map((zone) => [zone, 0]));
  const budgets = new Map([...guests].map(([name, own]) => [name, { ...own }]));
  const minPrice: [number, number] = [leastMicro, 1000];
  const placed: PlacedSlot[] = [];
  const winners = new Set<string>();
  const lost: string[] = [];
  const shapesWithoutCapacity = new Set<string>();
  let lastWinner: RankedBid | null = null;
  let highestLoser: RankedBid | null = null;
  const ranking = rankBids(input);

  for (const ranked of ranking) {
    const { bid, size } = ranked;
    if (compareRatios(bid.most, size, minPrice[0], minPrice[1]) < 0) {
      lost.push(bid.bid);
      continue;
    }
    const guestBudget = budgets.get(bid.guest);
    if (guestBudget === undefined) continue;
    const { slot } = bid;
    const shape = `${shapeKey(slot)}/${bid.zone ?? ""}`;
    const maxCost = costOf(bid.most, 1, lengthMs).micro + 1;
    let lacksCapacity =
      shapesWithoutCapacity.has(shape) || (winners.size >= input.maxWinners && bid.want > 0);
    for (let n = 0; n < bid.want && !lacksCapacity; n++) {
      // Credit is checked with the bid's own maximum, as the price is not known yet.
      if (
        slot.cpus > guestBudget.cpus + EPSILON ||
        slot.gpus > guestBudget.gpus + EPSILON ||
        maxCost > guestBudget.credit
      )
        break;
      const zone = zoneWithFewestSlots(zones, granted, (name) => {
        if (bid.zone !== null && bid.zone !== name) return false;
        return unsold.get(name)! + EPSILON >= size / 1000 && free.get(name)!.find(slot) !== null;
      });
      if (zone === null) {
        shapesWithoutCapacity.add(shape);
        lacksCapacity = true;
        break;
      }
      const machines = free.get(zone)!.find(slot)!;
      free.get(zone)!.take(machines, slot);
      unsold.set(zone, unsold.get(zone)! - size / 1000);
      granted.set(zone, granted.get(zone)! + 1);
      guestBudget.cpus -= slot.cpus;
      guestBudget.gpus -= slot.gpus;
      guestBudget.credit -= maxCost;
      placed.push({ ranked, zone, part: machines.part });
      winners.add(bid.bid);
      lastWinner = ranked;
    }
    if (lacksCapacity) {
      lost.push(bid.bid);
      highestLoser ??= ranked;
    }
  }
  balanceZones(placed, zones, granted, unsold, free);

  let price: [number, number] | null = null;
  if (lastWinner !== null) {
    price = [lastWinner.bid.most, lastWinner.size];
    const highestLosingPrice: [number, number] =
      highestLoser === null ? minPrice : [highestLoser.bid.most, highestLoser.size];
    if (compareRatios(highestLosingPrice[0], highestLosingPrice[1], price[0], price[1]) < 0)
      price = highestLosingPrice;
    if (compareRatios(price[0], price[1], minPrice[0], minPrice[1]) < 0) price = minPrice;
  }
  const tied =
    lastWinner === null
      ? []
      : ranking.filter((one) => hasSamePrice(one, lastWinner)).map(({ bid }) => bid);
  const someTiedLost = tied.some(({ bid }) => lost.includes(bid));
  return {
    sold: mergeSlots(placed, price),
    price,
    lost,
    tied: someTiedLost ? tied.map(({ bid, stamp, salt }) => ({ bid, stamp, salt })) : [],
  };
}

function zoneWithFewestSlots(
  zones: readonly string[],
  granted: ReadonlyMap<string, number>,
  usable: (zone: string) => boolean,
): string | null {
  let best: string | null = null;
  for (const zone of zones) {
    if (best !== null && granted.get(zone)! >= granted.get(best)!) continue;
    if (usable(zone)) best = zone;
  }
  return best;
}

/** Moves slots of bids without a zone out of a zone that holds more than half of all slots. */
function balanceZones(
  placed: PlacedSlot[],
  zones: readonly string[],
  granted: Map<string, number>,
  unsold: Map<string, number>,
  free: ReadonlyMap<string, ZoneCapacity>,
): void {
  const half = Math.ceil(placed.length / 2);
  for (const from of zones) {
    for (const one of placed) {
      if (granted.get(from)! <= half) break;
      if (one.zone !== from || one.ranked.bid.zone !== null) continue;
      const { slot } = one.ranked.bid;
      const cores = one.ranked.size / 1000;
      const to = zoneWithFewestSlots(zones, granted, (name) => {
        if (name === from || granted.get(name)! >= half) return false;
        return unsold.get(name)! + EPSILON >= cores && free.get(name)!.find(slot) !== null;
      });
      if (to === null) continue;
      const machines = free.get(to)!.find(slot)!;
      free.get(to)!.take(machines, slot);
      unsold.set(to, unsold.get(to)! - cores);
      unsold.set(from, unsold.get(from)! + cores);
      granted.set(from, granted.get(from)! - 1);
      granted.set(to, granted.get(to)! + 1);
      one.zone = to;
      one.part = machines.part;
    }
  }
}

function mergeSlots(placed: readonly PlacedSlot[], price: [number, number] | null): SoldSlots[] {
  const sold = new Map<string, SoldSlots>();
  for (const { ranked, zone, part } of placed) {
    const { bid, guest, slot } = ranked.bid;
    const key = `${bid}/${part}`;
    const known = sold.get(key);
    if (known !== undefined) {
      known.slots++;
      continue;
    }
    const micro = Number((BigInt(price![0]) * BigInt(ranked.size)) / BigInt(price![1]));
    sold.set(key, { bid, guest, slot, zone, part, slots: 1, micro });
  }
  return [...sold.values()].sort((a, b) =>
    a.bid < b.bid ? -1 : a.bid > b.bid ? 1 : a.part - b.part,
  );
}
