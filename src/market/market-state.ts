import type { Allowance, Core, PlacementPolicy } from "../extension/index.js";
import type { Amounts } from "../fair/share.js";
import type { CapacityRequest } from "../part/summary.js";
import { slotSize } from "./clearing.js";
import { compareRatios, MICRO_PER_UNIT } from "./money.js";
import { type Bid, type Grant, isBid, isGrant, isRound, keys, type Round } from "./records.js";
import type { MarketSettings } from "./settings.js";
import { clusterCapacityOf, coreEquivalents } from "./zones.js";

export interface Versioned<T> {
  value: T;
  version: number;
}

const zeroAmounts = (): Amounts => ({ cpus: 0, gpus: 0 });

/**
 * Bids, grants and the current round as seen through the watched keys, and the guests' allowances
 * derived from them. Only the watch changes this state, so all controllers that have seen the same
 * changes have the same state.
 */
export class MarketState implements PlacementPolicy {
  readonly bids = new Map<string, Versioned<Bid>>();
  readonly grants = new Map<string, Versioned<Grant>>();
  round: Versioned<Round> | null = null;
  readonly #grantIdsByGuestAndPart = new Map<string, Set<string>>();
  readonly #guests: ReadonlySet<string>;

  constructor(
    readonly core: Core,
    readonly settings: MarketSettings,
  ) {
    this.#guests = new Set(settings.guests.map(({ name }) => name));
    const { mirror } = core;
    mirror.on(keys.bids, ({ key, value, version }) => {
      const name = key.slice(keys.bids.length);
      if (isBid(value)) this.bids.set(name, { value, version });
      else this.bids.delete(name);
    });
    mirror.on(keys.grants, ({ key, value, version }) => {
      const id = key.slice(keys.grants.length);
      const known = this.grants.get(id);
      if (known !== undefined)
        this.#grantIdsByGuestAndPart.get(guestAndPartOf(known.value))?.delete(id);
      if (!isGrant(value)) {
        this.grants.delete(id);
        return;
      }
      this.grants.set(id, { value, version });
      const guestAndPart = guestAndPartOf(value);
      const ids = this.#grantIdsByGuestAndPart.get(guestAndPart);
      if (ids === undefined) this.#grantIdsByGuestAndPart.set(guestAndPart, new Set([id]));
      else ids.add(id);
    });
    mirror.on(keys.round, ({ value, version }) => {
      this.round = isRound(value) ? { value, version } : null;
    });
  }

  /** The number of a guest's open bids, and of all its stored bids. */
  bidsOf(guest: string): { open: number; kept: number } {
    let open = 0;
    let kept = 0;
    const now = this.core.clock.wall();
    for (const { value } of this.bids.values()) {
      if (value.guest !== guest) continue;
      kept++;
      if (value.withdrawn === undefined && value.until > now) open++;
    }
    return { open, kept };
  }

  /** The grants of a bid that still have a record. */
  grantsOf(bid: string): Grant[] {
    return [...this.grants.values()].map(({ value }) => value).filter((one) => one.bid === bid);
  }

  // ---- placement policy, queried by part owners ---------------------------------------------

  teams(): Iterable<string> {
    return this.#guests;
  }

  preemptible(team: string): boolean {
    return this.#guests.has(team);
  }

  /**
   * Grants start and end by the times in their records, without further messages: an owner in a zone
   * that is cut off, or while the state service is down, still ends them on time. The resources of a
   * grant may be used until `saveMs` before its end. Then its tasks get time to save, and they are
   * stopped at its end.
   */
  allowance(team: string, part: number): Allowance | null {
    if (!this.#guests.has(team)) return null;
    const untilSaveTime = zeroAmounts();
    const untilEnd = zeroAmounts();
    const now = this.core.clock.wall();
    for (const id of this.#grantIdsByGuestAndPart.get(`${team}/${part}`) ?? []) {
      const { slot, slots, until } = this.grants.get(id)!.value;
      if (now >= until) continue;
      untilEnd.cpus += slot.cpus * slots;
      untilEnd.gpus += slot.gpus * slots;
      if (now >= until - this.settings.saveMs) continue;
      untilSaveTime.cpus += slot.cpus * slots;
      untilSaveTime.gpus += slot.gpus * slots;
    }
    return { startLimit: untilSaveTime, softLimit: untilSaveTime, hardLimit: untilEnd };
  }

  /**
   * Idle machines are kept for bids that pay at least the operator's minimum price. Bids with grants
   * are included: granted machines must not be returned to the cloud before they are used.
   */
  idleCpusToKeep(): number {
    const now = this.core.clock.wall();
    const worth = coreEquivalents(this.core);
    const byGuest = new Map<string, number>();
    const addDemand = (guest: string, cpus: number): void => {
      byGuest.set(guest, (byGuest.get(guest) ?? 0) + cpus);
    };
    for (const { value } of this.bids.values()) {
      const { guest, slot, count, most, from, until, withdrawn } = value;
      const size = slotSize(slot, worth);
      // A bid that starts after the next round keeps no machines yet.
      if (withdrawn !== undefined || until <= now || from > now + this.settings.roundIntervalMs)
        continue;
      if (compareRatios(most, size, this.settings.minPriceMicro, 1000) < 0) continue;
      addDemand(guest, (size / 1000) * count);
    }
    let cpus = 0;
    for (const { name, most } of this.settings.guests) {
      cpus += Math.min(most.cpus, byGuest.get(name) ?? 0);
    }
    return cpus;
  }

  /**
   * Capacity to rent for bids, if the operator allows it: what the bids request beyond the free
   * capacity, on machines whose price per core is at most what the bid pays for a core.
   */
  capacityRequests(): CapacityRequest[] {
    if (!this.settings.rent) return [];
    const worth = coreEquivalents(this.core);
    let free = 0;
    for (const { free: here } of clusterCapacityOf(this.core, this.#guests).zones.values())
      free += here;
    const now = this.core.clock.wall();
    const remainingCpus = new Map(this.settings.guests.map(({ name, most }) => [name, most.cpus]));
    const requests: CapacityRequest[] = [];
    for (const [name, { value }] of this.bids) {
      const { guest, slot, count, zone, most, from, until, withdrawn } = value;
      // Skip bids that end within a round: a machine could finish booting only after their end.
      if (withdrawn !== undefined || from > now || until - now < this.settings.roundIntervalMs)
        continue;
      let slotsWanted = count;
      for (const grant of this.grantsOf(name)) if (grant.until > now) slotsWanted -= grant.slots;
      slotsWanted = Math.min(
        slotsWanted,
        Math.floor((remainingCpus.get(guest) ?? 0) / Math.max(slot.cpus, 1e-3)),
      );
      if (slotsWanted <= 0) continue;
      remainingCpus.set(guest, remainingCpus.get(guest)! - slotsWanted * slot.cpus);
      const covered = Math.min(slotsWanted, Math.floor(free / Math.max(slot.cpus, 1e-3)));
      free -= covered * slot.cpus;
      if (slotsWanted === covered) continue;
      const price = most / MICRO_PER_UNIT / (slotSize(slot, worth) / 1000);
      requests.push({
        ...slot,
        spot: true,
        types: null,
        zone,
        count: slotsWanted - covered,
        most: price,
      });
    }
    return requests;
  }

  /**
   * The lowest price of a core, micro-units, among a guest's grants in a part; 0 without grants.
   */
  preemptionValue(team: string, part: number): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (const id of this.#grantIdsByGuestAndPart.get(`${team}/${part}`) ?? []) {
      const { micro, slot } = this.grants.get(id)!.value;
      lowest = Math.min(lowest, micro / Math.max(slot.cpus, 1e-3));
    }
    return lowest === Number.POSITIVE_INFINITY ? 0 : lowest;
  }
}

const guestAndPartOf = ({ guest, part }: Grant): string => `${guest}/${part}`;
