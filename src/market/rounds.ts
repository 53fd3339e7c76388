import type { Change } from "../state/store.js";
import { excludeUnusedGrants, type ZonePlan } from "./capacity-plan.js";
import { type ClearingBid, type ClearingResult, clearRound } from "./clearing.js";
import type { GrantTermination } from "./grant-termination.js";
import type { LeaderContext } from "./leader-context.js";
import type { Versioned } from "./market-state.js";
import { costOf } from "./money.js";
import { type Grant, keys, type Round, type RoundNote } from "./records.js";
import { type ClusterCapacity, coreEquivalents } from "./zones.js";

/** Rounds whose notes are kept for reports; their keys are a ring, so the number is bounded. */
const KEPT_ROUND_NOTES = 512;
const DRAW_ENTRIES_PER_PAGE = 64;

type Note = Omit<RoundNote, "cuts" | "slowestMs">;

/**
 * Runs rounds. Each goes through three phases that are stored: *closed* fixes which bids take part,
 * *cleared* fixes the winners, and *done* follows when the grants are written. A new leader resumes a
 * round in the phase where it is.
 */
export class Rounds {
  #note: Note | null = null;

  constructor(
    readonly context: LeaderContext,
    readonly grantTermination: GrantTermination,
    /** By zone, what may be sold now for the longest that a grant may last. */
    readonly planZones: (cluster: ClusterCapacity, wall: number) => ReadonlyMap<string, ZonePlan>,
  ) {}

  async step(cluster: ClusterCapacity, wall: number): Promise<void> {
    const { round } = this.context.marketState;
    const { roundIntervalMs } = this.context.settings;
    const instant = Math.floor(wall / roundIntervalMs) * roundIntervalMs;
    if (round !== null && round.value.phase === "closed") {
      await this.#clearRound(round, cluster, wall);
    } else if (round !== null && round.value.phase === "cleared") {
      await this.#writeGrants(round, wall);
    } else if (round === null || round.value.instant < instant) {
      // A controller whose clock is behind may still accept bids with times before the instant.
      if (wall < instant + 2 * this.context.core.settings.params.clock_error_ms) return;
      await this.#closeRound(instant, round?.version ?? 0);
    }
  }

  async #writeRound(round: Round, version: number, more: Change[] = []): Promise<number | null> {
    const { store, mirror } = this.context.core;
    const result = await store.transact(
      [...this.context.leaderCondition, { key: keys.round, version }],
      [{ put: keys.round, value: round }, ...more],
    );
    if (!result.ok) return null;
    mirror.apply({ key: keys.round, value: round, version: result.revision, deleted: false });
    return result.revision;
  }

  async #closeRound(instant: number, version: number): Promise<void> {
    if (!this.context.takeWrites(1)) return;
    await this.#writeRound({ instant, phase: "closed", grants: [], price: null }, version);
  }

  /** The bids in a round: accepted by its instant, and stored before it was closed. */
  #eligibleBids(round: Versioned<Round>, wall: number): ClearingBid[] {
    const { instant } = round.value;
    const slotsHeld = new Map<string, number>();
    for (const { value } of this.context.marketState.grants.values()) {
      slotsHeld.set(value.bid, (slotsHeld.get(value.bid) ?? 0) + value.slots);
    }
    const eligible: ClearingBid[] = [];
    for (const [name, { value, version }] of this.context.marketState.bids) {
      if (value.withdrawn !== undefined || value.at > instant || version > round.version) continue;
      if (value.from > wall || value.until <= wall) continue;
      const grantMs = Math.min(value.until - wall, this.context.settings.maxGrantMs);
      if (grantMs < value.least || grantMs <= this.context.settings.saveMs) continue;
      const want = value.count - (slotsHeld.get(name) ?? 0);
      if (want <= 0) continue;
      const { guest, slot, zone, most, salt } = value;
      eligible.push({ bid: name, stamp: version, salt, guest, slot, want, zone, most });
    }
    return eligible;
  }

  async #guestBudgets(
    wall: number,
  ): Promise<Map<string, { cpus: number; gpus: number; credit: number }>> {
    const guests = new Map<string, { cpus: number; gpus: number; credit: number }>();
    for (const { name, most, mayOwe } of this.context.settings.guests) {
      const hasBid = [...this.context.marketState.bids.values()].some(
        ({ value }) => value.guest === name,
      );
      if (!hasBid) continue;
      // Another controller may have recorded a payment.
      this.context.accounts.invalidate(name);
      const { account } = await this.context.accounts.read(name);
      const budget = { ...most, credit: mayOwe - account.owed };
      for (const { value } of this.context.marketState.grants.values()) {
        if (value.guest !== name) continue;
        budget.credit -= costOf(value.micro, value.slots, value.until - value.from).micro;
        if (value.until <= wall) continue;
        budget.cpus -= value.slot.cpus * value.slots;
        budget.gpus -= value.slot.gpus * value.slots;
      }
      guests.set(name, budget);
    }
    return guests;
  }

  async #clearRound(
    round: Versioned<Round>,
    cluster: ClusterCapacity,
    wall: number,
  ): Promise<void> {
    const { store, mirror, log } = this.context.core;
    const { instant } = round.value;
    const { maxGrantMs, minPriceMicro, roundIntervalMs } = this.context.settings;
    // Once the watch has delivered the close, it has delivered every bid of the round.
    await mirror.waitForRevision(round.version);
    if (wall - instant > roundIntervalMs || cluster.unknownParts.length > 0) {
      // Too late, or a part's owner may not end grants. Dropping the round is safe: no result of it
      // has been published.
      if (!this.context.takeWrites(1)) return;
      const why =
        cluster.unknownParts.length > 0
          ? "a part has no summary that lists free capacity"
          : "too late: more than a round interval has passed";
      log.info({ instant, why }, "market round ended without grants");
      await this.#writeRound({ ...round.value, phase: "done" }, round.version);
      return;
    }
    const grants = [...this.context.marketState.grants.values()].map(({ value }) => value);
    const currentGrants = grants.filter(({ until }) => until > wall);
    const plans = this.planZones(cluster, wall);
    const bids = this.#eligibleBids(round, wall);
    const guests = await this.#guestBudgets(wall);
    const rooms = excludeUnusedGrants(cluster.rooms, currentGrants, cluster.usedCpus);
    const sellable = new Map([...plans].map(([zone, plan]) => [zone, plan.sellable]));
    const worth = coreEquivalents(this.context.core);
    let mostWinners = bids.length;
    let result: ClearingResult;
    let next: Round;
    do {
      result = clearRound({
        instant,
        lengthMs: maxGrantMs,
        bids,
        spareCapacity: rooms,
        sellable,
        guests,
        coreEquivalents: worth,
        minPriceMicro: minPriceMicro,
        maxWinners: mostWinners,
      });
      next = { instant, phase: "cleared", price: result.price, grants: [] };
      for (const [n, sold] of result.sold.entries()) {
        const bid = this.context.marketState.bids.get(sold.bid)!;
        const until = Math.min(wall + maxGrantMs, bid.value.until);
        const grant: Grant = {
          id: `${instant.toString(36)}-${n}`,
          bid: sold.bid,
          guest: sold.guest,
          slot: sold.slot,
          slots: sold.slots,
          part: sold.part,
          zone: sold.zone,
          micro: sold.micro,
          from: wall,
          until,
        };
        next.grants.push([sold.bid, bid.version, grant]);
      }
      mostWinners = Math.floor(Math.min(mostWinners, result.sold.length) / 2);
    } while (JSON.stringify(next).length > store.limits.valueBytes * 0.9 && mostWinners > 0);
    const ties = this.#tieRecords(instant, result);
    if (!this.context.takeWrites(1 + ties.length)) return;
    if ((await this.#writeRound(next, round.version, ties)) === null) return;
    this.#note = buildNote(instant, result, bids.length, cluster, plans);
    log.info(
      { instant, bids: bids.length, grants: next.grants.length },
      "market round cleared, grants written",
    );
  }

  /**
   * Entries of a tie-break draw, stored so that anyone can repeat it; as many as fit one
   * transaction.
   */
  #tieRecords(instant: number, { tied }: ClearingResult): Change[] {
    const slot = this.#ringSlot(instant);
    const pages: Change[] = [];
    const maxPages = Math.max(1, this.context.core.store.limits.ops - 2);
    for (let at = 0; at < tied.length && pages.length < maxPages; at += DRAW_ENTRIES_PER_PAGE) {
      const tickets = tied.slice(at, at + DRAW_ENTRIES_PER_PAGE);
      pages.push({
        put: keys.tie(slot, pages.length),
        value: { instant, of: tied.length, tickets },
      });
    }
    return pages;
  }

  #ringSlot(instant: number): number {
    return (instant / this.context.settings.roundIntervalMs) % KEPT_ROUND_NOTES;
  }

  /** Writes the grants of a cleared round, as many per step as fit one transaction. */
  async #writeGrants(round: Versioned<Round>, wall: number): Promise<void> {
    const { store, mirror, log } = this.context.core;
    const { instant, grants } = round.value;
    const unwritten = grants.filter(([, , { id, until }]) => !this.#isGranted(id) && until > wall);
    const batch = unwritten.slice(0, Math.max(1, store.limits.ops - 2));
    if (batch.length === 0) {
      const note = {
        ...(this.#note ?? emptyNote(instant)),
        ...this.grantTermination.takeStatistics(),
      };
      if (!this.context.takeWrites(2)) return;
      await this.#writeRound({ ...round.value, phase: "done" }, round.version, [
        { put: keys.note(this.#ringSlot(instant)), value: note },
      ]);
      this.#note = null;
      return;
    }
    if (!this.context.takeWrites(batch.length + 1)) return;
    // A bid that was withdrawn or changed since the round was cleared gets nothing.
    const valid = batch.filter(
      ([bid, stamp]) => this.context.marketState.bids.get(bid)?.version === stamp,
    );
    const dropped = new Set(batch.filter((one) => !valid.includes(one)).map(([, , { id }]) => id));
    const bids = new Map(valid.map(([bid, stamp]) => [bid, stamp]));
    const remaining = grants.filter(
      ([, , { id }]) => !dropped.has(id) && !valid.some(([, , grant]) => grant.id === id),
    );
    // A grant is charged from when it can be used, which may be some time after clearing.
    const written = valid.map(([, , grant]): Grant => ({ ...grant, from: wall }));
    // The same transaction removes the grants from the round, so they cannot be granted again.
    const next: Round = { ...round.value, grants: remaining };
    const result = await store.transact(
      [
        ...this.context.leaderCondition,
        { key: keys.round, version: round.version },
        ...[...bids].map(([bid, version]) => ({ key: `${keys.bids}${bid}`, version })),
        ...valid.map(([, , { id }]) => ({ key: keys.grant(id), version: 0 })),
      ],
      [
        { put: keys.round, value: next },
        ...written.map((grant) => ({ put: keys.grant(grant.id), value: grant })),
      ],
    );
    if (!result.ok) {
      // A withdrawal that the watch has not delivered yet: read it; the next step skips that bid.
      for (const key of result.failed) {
        const row = await store.get(key);
        const event = { key, value: row?.value, version: row?.version ?? result.revision };
        mirror.apply({ ...event, deleted: row === null });
      }
      return;
    }
    const version = result.revision;
    mirror.apply({ key: keys.round, value: next, version, deleted: false });
    for (const grant of written) {
      mirror.apply({ key: keys.grant(grant.id), value: grant, version, deleted: false });
      log.info({ grant: grant.id, guest: grant.guest, slots: grant.slots }, "slots granted");
    }
  }

  #isGranted(id: string): boolean {
    return this.context.marketState.grants.has(id);
  }
}

function buildNote(
  instant: number,
  { sold, price }: ClearingResult,
  bids: number,
  cluster: ClusterCapacity,
  plans: ReadonlyMap<string, ZonePlan>,
): Note {
  const zones: RoundNote["zones"] = {};
  for (const [zone, { free, own, waiting, guests }] of cluster.zones) {
    const zoneReserve = plans.get(zone)?.reserve ?? 0;
    zones[zone] = {
      free: Math.round(free),
      // At most the free CPUs: a calendar window that reserves a whole zone has an infinite reserve.
      reserve: Math.round(Math.min(zoneReserve, free) + own + waiting),
      demand: Math.round(own + waiting),
      sold: 0,
      guests: Math.round(guests),
    };
  }
  let slots = 0;
  for (const one of sold) {
    slots += one.slots;
    const zone = zones[one.zone];
    if (zone !== undefined) zone.sold += one.slot.cpus * one.slots;
  }
  const micro = price === null ? 0 : Math.floor((price[0] * 1000) / price[1]);
  return { instant, price: micro, bids, sold: slots, zones };
}

const emptyNote = (instant: number): Note => ({
  instant,
  price: 0,
  bids: 0,
  sold: 0,
  zones: {},
});
