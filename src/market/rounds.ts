import type { Change } from "../state/store.js";
import type { Versioned } from "./book.js";
import { type Asking, type ClearingResult, clear } from "./clearing.js";
import type { Desk } from "./desk.js";
import type { Giving } from "./giving.js";
import { costOf } from "./money.js";
import { type Grant, keys, type Round, type RoundNote } from "./records.js";
import { withoutUnused, type ZonePlan } from "./reserve.js";
import { type Cluster, worthOf } from "./zones.js";

/** Rounds that are remembered for reports: a ring of keys, so it never grows. */
const NOTES = 512;
const TICKETS_A_PAGE = 64;

type Note = Omit<RoundNote, "cuts" | "slowestMs">;

/**
 * A round goes through the store in three: *closed* settles which bids are in, *cleared* says who
 * has won, and then the grants follow. Whoever leads next takes it up where it stands.
 */
export class Rounds {
  #note: Note | null = null;

  constructor(
    readonly desk: Desk,
    readonly giving: Giving,
    /** What may be sold now, by zone, for as long as a grant may last. */
    readonly plans: (cluster: Cluster, wall: number) => ReadonlyMap<string, ZonePlan>,
  ) {}

  async step(cluster: Cluster, wall: number): Promise<void> {
    const { round } = this.desk.book;
    const { everyMs } = this.desk.settings;
    const instant = Math.floor(wall / everyMs) * everyMs;
    if (round !== null && round.value.phase === "closed") {
      await this.#clear(round, cluster, wall);
    } else if (round !== null && round.value.phase === "cleared") {
      await this.#grant(round, wall);
    } else if (round === null || round.value.instant < instant) {
      // Bids of a controller whose clock is late may still be before the instant.
      if (wall < instant + 2 * this.desk.core.settings.params.clock_error_ms) return;
      await this.#close(instant, round?.version ?? 0);
    }
  }

  async #put(round: Round, version: number, more: Change[] = []): Promise<number | null> {
    const { store, mirror } = this.desk.core;
    const result = await store.transact(
      [...this.desk.guard, { key: keys.round, version }],
      [{ put: keys.round, value: round }, ...more],
    );
    if (!result.ok) return null;
    mirror.apply({ key: keys.round, value: round, version: result.revision, deleted: false });
    return result.revision;
  }

  async #close(instant: number, version: number): Promise<void> {
    if (!this.desk.mayWrite(1)) return;
    await this.#put({ instant, phase: "closed", grants: [], price: null }, version);
  }

  /** Bids that are in a round: taken by its instant, and in the store before its close. */
  #asking(round: Versioned<Round>, wall: number): Asking[] {
    const { instant } = round.value;
    const held = new Map<string, number>();
    for (const { value } of this.desk.book.grants.values()) {
      held.set(value.bid, (held.get(value.bid) ?? 0) + value.slots);
    }
    const asking: Asking[] = [];
    for (const [name, { value, version }] of this.desk.book.bids) {
      if (value.withdrawn !== undefined || value.at > instant || version > round.version) continue;
      if (value.from > wall || value.until <= wall) continue;
      const length = Math.min(value.until - wall, this.desk.settings.termMs);
      if (length < value.least || length <= this.desk.settings.saveMs) continue;
      const want = value.count - (held.get(name) ?? 0);
      if (want <= 0) continue;
      const { guest, slot, zone, most, salt } = value;
      asking.push({ bid: name, stamp: version, salt, guest, slot, want, zone, most });
    }
    return asking;
  }

  async #credit(
    wall: number,
  ): Promise<Map<string, { cpus: number; gpus: number; credit: number }>> {
    const guests = new Map<string, { cpus: number; gpus: number; credit: number }>();
    for (const { name, most, mayOwe } of this.desk.settings.guests) {
      const asks = [...this.desk.book.bids.values()].some(({ value }) => value.guest === name);
      if (!asks) continue;
      // A payment may have been noted by another controller.
      this.desk.accounts.forget(name);
      const { account } = await this.desk.accounts.read(name);
      const left = { ...most, credit: mayOwe - account.owed };
      for (const { value } of this.desk.book.grants.values()) {
        if (value.guest !== name) continue;
        left.credit -= costOf(value.micro, value.slots, value.until - value.from).micro;
        if (value.until <= wall) continue;
        left.cpus -= value.slot.cpus * value.slots;
        left.gpus -= value.slot.gpus * value.slots;
      }
      guests.set(name, left);
    }
    return guests;
  }

  async #clear(round: Versioned<Round>, cluster: Cluster, wall: number): Promise<void> {
    const { store, mirror, log } = this.desk.core;
    const { instant } = round.value;
    const { termMs, leastMicro, everyMs } = this.desk.settings;
    // Every bid that is in has come by the watch once the close has.
    await mirror.waitForRevision(round.version);
    if (wall - instant > everyMs || cluster.mute.length > 0) {
      // Too late to be of use, or an owner that would not end grants: nothing was told to anyone.
      if (!this.desk.mayWrite(1)) return;
      const why = cluster.mute.length > 0 ? "a part says nothing of its room" : "too late";
      log.info({ instant, why }, "round without grants");
      await this.#put({ ...round.value, phase: "done" }, round.version);
      return;
    }
    const grants = [...this.desk.book.grants.values()].map(({ value }) => value);
    const live = grants.filter(({ until }) => until > wall);
    const plans = this.plans(cluster, wall);
    const bids = this.#asking(round, wall);
    const guests = await this.#credit(wall);
    const rooms = withoutUnused(cluster.rooms, live, cluster.use);
    const sellable = new Map([...plans].map(([zone, plan]) => [zone, plan.sellable]));
    const worth = worthOf(this.desk.core);
    let mostWinners = bids.length;
    let result: ClearingResult;
    let next: Round;
    do {
      result = clear({
        instant,
        lengthMs: termMs,
        bids,
        rooms,
        sellable,
        guests,
        worth,
        leastMicro,
        mostWinners,
      });
      next = { instant, phase: "cleared", price: result.price, grants: [] };
      for (const [n, sold] of result.sold.entries()) {
        const bid = this.desk.book.bids.get(sold.bid)!;
        const until = Math.min(wall + termMs, bid.value.until);
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
    const ties = this.#ties(instant, result);
    if (!this.desk.mayWrite(1 + ties.length)) return;
    if ((await this.#put(next, round.version, ties)) === null) return;
    this.#note = noteOf(instant, result, bids.length, cluster, plans);
    log.info({ instant, bids: bids.length, grants: next.grants.length }, "round cleared");
  }

  /** What a draw was between, so that anyone can draw again; as much as one transaction holds. */
  #ties(instant: number, { tied }: ClearingResult): Change[] {
    const slot = this.#slot(instant);
    const pages: Change[] = [];
    const most = Math.max(1, this.desk.core.store.limits.ops - 2);
    for (let at = 0; at < tied.length && pages.length < most; at += TICKETS_A_PAGE) {
      const tickets = tied.slice(at, at + TICKETS_A_PAGE);
      pages.push({
        put: keys.tie(slot, pages.length),
        value: { instant, of: tied.length, tickets },
      });
    }
    return pages;
  }

  #slot(instant: number): number {
    return (instant / this.desk.settings.everyMs) % NOTES;
  }

  /** Turns what was cleared into grants, as many as a transaction holds at a time. */
  async #grant(round: Versioned<Round>, wall: number): Promise<void> {
    const { store, mirror, log } = this.desk.core;
    const { instant, grants } = round.value;
    const open = grants.filter(([, , { id, until }]) => !this.#made(id) && until > wall);
    const batch = open.slice(0, Math.max(1, store.limits.ops - 2));
    if (batch.length === 0) {
      const note = { ...(this.#note ?? emptyNote(instant)), ...this.giving.sinceLast() };
      if (!this.desk.mayWrite(2)) return;
      await this.#put({ ...round.value, phase: "done" }, round.version, [
        { put: keys.note(this.#slot(instant)), value: note },
      ]);
      this.#note = null;
      return;
    }
    if (!this.desk.mayWrite(batch.length + 1)) return;
    // A bid that was withdrawn, or changed in any way, since the round was cleared gets nothing.
    const still = batch.filter(([bid, stamp]) => this.desk.book.bids.get(bid)?.version === stamp);
    const left = new Set(batch.filter((one) => !still.includes(one)).map(([, , { id }]) => id));
    const bids = new Map(still.map(([bid, stamp]) => [bid, stamp]));
    const rest = grants.filter(
      ([, , { id }]) => !left.has(id) && !still.some(([, , grant]) => grant.id === id),
    );
    // It is charged from when it can be used: clearing may be some time ago.
    const made = still.map(([, , grant]): Grant => ({ ...grant, from: wall }));
    // What is granted leaves the round in the same transaction: it cannot be granted again.
    const next: Round = { ...round.value, grants: rest };
    const result = await store.transact(
      [
        ...this.desk.guard,
        { key: keys.round, version: round.version },
        ...[...bids].map(([bid, version]) => ({ key: `${keys.bids}${bid}`, version })),
        ...still.map(([, , { id }]) => ({ key: keys.grant(id), version: 0 })),
      ],
      [
        { put: keys.round, value: next },
        ...made.map((grant) => ({ put: keys.grant(grant.id), value: grant })),
      ],
    );
    if (!result.ok) {
      // A withdrawal that the watch has not brought yet: read it, and go on without that bid.
      for (const key of result.failed) {
        const row = await store.get(key);
        const event = { key, value: row?.value, version: row?.version ?? result.revision };
        mirror.apply({ ...event, deleted: row === null });
      }
      return;
    }
    const version = result.revision;
    mirror.apply({ key: keys.round, value: next, version, deleted: false });
    for (const grant of made) {
      mirror.apply({ key: keys.grant(grant.id), value: grant, version, deleted: false });
      log.info({ grant: grant.id, guest: grant.guest, slots: grant.slots }, "slots granted");
    }
  }

  #made(id: string): boolean {
    return this.desk.book.grants.has(id);
  }
}

function noteOf(
  instant: number,
  { sold, price }: ClearingResult,
  bids: number,
  cluster: Cluster,
  plans: ReadonlyMap<string, ZonePlan>,
): Note {
  const zones: RoundNote["zones"] = {};
  for (const [zone, { free, own, waiting, guests }] of cluster.zones) {
    const gap = plans.get(zone)?.gap ?? 0;
    zones[zone] = {
      free: Math.round(free),
      // All of a zone is kept when the calendar says so.
      reserve: Math.round(Math.min(gap, free) + own + waiting),
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
