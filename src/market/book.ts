import type { Allowance, Core, PlacementPolicy } from "../extension/index.js";
import type { Amounts } from "../fair/share.js";
import type { CapacityRequest } from "../part/summary.js";
import { sizeOf } from "./clearing.js";
import { compareRatios, MICRO } from "./money.js";
import { type Bid, type Grant, isBid, isGrant, isRound, keys, type Round } from "./records.js";
import type { MarketSettings } from "./settings.js";
import { clusterOf, worthOf } from "./zones.js";

export interface Versioned<T> {
  value: T;
  version: number;
}

const none = (): Amounts => ({ cpus: 0, gpus: 0 });

/**
 * All that is known of bids, grants and the round: a view of the watched keys, and from it what
 * each guest may use in each part. Nothing in it is written by anyone but the watch, so every
 * controller has the same once it has seen the same changes.
 */
export class Book implements PlacementPolicy {
  readonly bids = new Map<string, Versioned<Bid>>();
  readonly grants = new Map<string, Versioned<Grant>>();
  round: Versioned<Round> | null = null;
  readonly #byPlace = new Map<string, Set<string>>();
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
      if (known !== undefined) this.#byPlace.get(placeOf(known.value))?.delete(id);
      if (!isGrant(value)) {
        this.grants.delete(id);
        return;
      }
      this.grants.set(id, { value, version });
      const place = placeOf(value);
      const there = this.#byPlace.get(place);
      if (there === undefined) this.#byPlace.set(place, new Set([id]));
      else there.add(id);
    });
    mirror.on(keys.round, ({ value, version }) => {
      this.round = isRound(value) ? { value, version } : null;
    });
  }

  /** Open bids and all bids that are kept, of one guest. */
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

  /** The grants of a bid that are still in the book. */
  grantsOf(bid: string): Grant[] {
    return [...this.grants.values()].map(({ value }) => value).filter((one) => one.bid === bid);
  }

  // ---- what the owners of parts ask ---------------------------------------------------------

  teams(): Iterable<string> {
    return this.#guests;
  }

  preemptible(team: string): boolean {
    return this.#guests.has(team);
  }

  /**
   * Grants count by the times they carry, not by messages: an owner that hears nothing more, in a
   * zone that is cut off or with the state service down, ends them all the same. The room of a
   * grant may be used until `saveMs` before its end; then its tasks save, and at its end they go.
   */
  allowance(team: string, part: number): Allowance | null {
    if (!this.#guests.has(team)) return null;
    const keep = none();
    const hold = none();
    const now = this.core.clock.wall();
    for (const id of this.#byPlace.get(`${team}/${part}`) ?? []) {
      const { slot, slots, until } = this.grants.get(id)!.value;
      if (now >= until) continue;
      hold.cpus += slot.cpus * slots;
      hold.gpus += slot.gpus * slots;
      if (now >= until - this.settings.saveMs) continue;
      keep.cpus += slot.cpus * slots;
      keep.gpus += slot.gpus * slots;
    }
    return { startLimit: keep, softLimit: keep, hardLimit: hold };
  }

  /**
   * Idle machines are worth keeping for bids that pay the operator's least price or more, those
   * with grants included: what is sold must not go back before it is used.
   */
  idleCpusToKeep(): number {
    const now = this.core.clock.wall();
    const worth = worthOf(this.core);
    const byGuest = new Map<string, number>();
    const want = (guest: string, cpus: number): void => {
      byGuest.set(guest, (byGuest.get(guest) ?? 0) + cpus);
    };
    for (const { value } of this.bids.values()) {
      const { guest, slot, count, most, from, until, withdrawn } = value;
      const size = sizeOf(slot, worth);
      // A bid for later keeps nothing now.
      if (withdrawn !== undefined || until <= now || from > now + this.settings.everyMs) continue;
      if (compareRatios(most, size, this.settings.leastMicro, 1000) < 0) continue;
      want(guest, (size / 1000) * count);
    }
    let cpus = 0;
    for (const { name, most } of this.settings.guests) {
      cpus += Math.min(most.cpus, byGuest.get(name) ?? 0);
    }
    return cpus;
  }

  /**
   * Room to be rented for bids, if the operator allows it: what they ask for beyond all that is
   * free now, on machines whose cores cost no more than the bid pays for one.
   */
  capacityRequests(): CapacityRequest[] {
    if (!this.settings.rent) return [];
    const worth = worthOf(this.core);
    let free = 0;
    for (const { free: here } of clusterOf(this.core, this.#guests).zones.values()) free += here;
    const now = this.core.clock.wall();
    const left = new Map(this.settings.guests.map(({ name, most }) => [name, most.cpus]));
    const needs: CapacityRequest[] = [];
    for (const [name, { value }] of this.bids) {
      const { guest, slot, count, zone, most, from, until, withdrawn } = value;
      // A machine that has booted when the bid is over would have been rented for nothing.
      if (withdrawn !== undefined || from > now || until - now < this.settings.everyMs) continue;
      let want = count;
      for (const grant of this.grantsOf(name)) if (grant.until > now) want -= grant.slots;
      want = Math.min(want, Math.floor((left.get(guest) ?? 0) / Math.max(slot.cpus, 1e-3)));
      if (want <= 0) continue;
      left.set(guest, left.get(guest)! - want * slot.cpus);
      const covered = Math.min(want, Math.floor(free / Math.max(slot.cpus, 1e-3)));
      free -= covered * slot.cpus;
      if (want === covered) continue;
      const price = most / MICRO / (sizeOf(slot, worth) / 1000);
      needs.push({ ...slot, spot: true, types: null, zone, count: want - covered, most: price });
    }
    return needs;
  }

  /** What the cheapest of a guest's grants in a part pays for a core. */
  preemptionValue(team: string, part: number): number {
    let least = Number.POSITIVE_INFINITY;
    for (const id of this.#byPlace.get(`${team}/${part}`) ?? []) {
      const { micro, slot } = this.grants.get(id)!.value;
      least = Math.min(least, micro / Math.max(slot.cpus, 1e-3));
    }
    return least === Number.POSITIVE_INFINITY ? 0 : least;
  }
}

const placeOf = ({ guest, part }: Grant): string => `${guest}/${part}`;
