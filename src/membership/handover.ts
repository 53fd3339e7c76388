import type { Log } from "../log.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { leaderKey } from "../state/schema.js";
import { type Change, type Condition, NoLease, type Store } from "../state/store.js";
import type { Layout } from "./layout.js";
import { type Candidate, rankOwners, type Vacancy } from "./owner-ranking.js";
import { type Presence, presenceRecord } from "./presence.js";
import type { ControllerStability } from "./stability.js";

export interface Claim {
  node: string;
  /** Distinguishes this run of the process from an earlier one under the same name. */
  run: string;
}

export const isClaim = (value: unknown): value is Claim =>
  typeof value === "object" && value !== null && "node" in value && "run" in value;

/** A claim and who is to have it. */
export interface Transfer {
  key: string;
  version: number;
  to: string;
}

/** What a membership holds, as far as handing over needs it. */
interface Held {
  readonly node: string;
  readonly layout: Layout;
  readonly store: Store;
  readonly mirror: Mirror;
  readonly log: Log;
  readonly stability: ControllerStability;
  readonly owned: ReadonlyMap<number, number>;
  readonly leaderClaimVersion: number | null;
  readonly leaderKey: string;
}

/**
 * Claims that change hands while nobody waits: each is one conditional write, attached to the lease
 * that its new owner has offered in its presence. A crash before it leaves the old owner, one after
 * it the new one; without an answer the watch tells which.
 */
export class Handover {
  constructor(
    readonly held: Held,
    readonly asked: {
      /** What this controller shows of itself; null without a lease. */
      own(): Presence | null;
      /** Those who may own something, with what they have. */
      candidates(): Candidate[];
    },
  ) {}

  /**
   * Claims change from this controller to their successors in one write, each attached to the lease
   * that its new owner has offered: there is no moment without an owner, and workers are sent on at
   * once. False when there is nobody to hand over to.
   */
  async handOver(parts: readonly number[], lead: boolean, why: string): Promise<boolean> {
    const { layout, owned, leaderClaimVersion: leaderStamp, leaderKey: leader } = this.held;
    const others = this.asked.candidates().filter(({ name }) => name !== this.held.node);
    const vacancies: Vacancy[] = parts.map((part) => ({ part, home: layout.home(part) }));
    if (lead) vacancies.push({ part: null, home: null });
    const ranked = rankOwners(vacancies, others);
    const transfers: Transfer[] = [];
    for (const [part, [to]] of ranked) {
      const version = part === null ? leaderStamp : owned.get(part);
      if (to === undefined || version === undefined || version === null) return false;
      transfers.push({ key: part === null ? leader : keys.claim(part), version, to });
    }
    const own = this.asked.own();
    if (transfers.length === 0 || own === null || own.lease === null) return false;
    // That we want nothing is said in the same write: the new owner of our home would have given it
    // back to us at once, and we would have kept it, unreached by its machines, until the end.
    const value = presenceRecord(own);
    const show = { put: keys.node(this.held.node), value, lease: own.lease };
    // Small transactions: the rest follows, and whoever is cut off in between has given a part of it.
    const most = this.held.store.limits.ops - 1;
    for (let from = 0; from < transfers.length; from += most) {
      const some = transfers.slice(from, from + most);
      if (!(await this.transfer(some, [], [show], why))) return false;
    }
    return true;
  }

  /**
   * After a verdict: all claims of a controller that does not serve are written for its successors,
   * as many as one transaction holds. They are on different ones, as after the end of its lease.
   */
  async reassign(
    name: string,
    run: string,
    when: readonly Condition[],
    then: readonly Change[],
  ): Promise<boolean> {
    const transfers: Transfer[] = [];
    const vacancies: Vacancy[] = [];
    const { mirror, layout, store } = this.held;
    const versionOf = (key: string): number | null => {
      const row = mirror.rows.get(key);
      if (row === undefined || !isClaim(row.value)) return null;
      return row.value.node === name && row.value.run === run ? row.version : null;
    };
    const leader = leaderKey(mirror);
    if (versionOf(leader) !== null) vacancies.push({ part: null, home: null });
    for (let part = 0; part < layout.parts; part++) {
      if (versionOf(keys.claim(part)) !== null) vacancies.push({ part, home: layout.home(part) });
    }
    const candidates = this.asked.candidates().filter((one) => one.name !== name);
    for (const [part, [to]] of rankOwners(vacancies, candidates)) {
      const key = part === null ? leader : keys.claim(part);
      if (to === undefined) return false;
      transfers.push({ key, version: versionOf(key)!, to });
    }
    const most = store.limits.ops - then.length;
    return this.transfer(transfers.slice(0, most), when, then, `${name} was judged`);
  }

  /**
   * Writes claims for others, on condition of the versions that they have: the owner's own to give
   * away, or, after a verdict, those of a controller that does not serve (`docs/failure.md`). False
   * when a claim has changed meanwhile, or a lease that was offered has ended.
   */
  async transfer(
    transfers: readonly Transfer[],
    when: readonly Condition[],
    then: readonly Change[],
    why: string,
  ): Promise<boolean> {
    const { node, stability: standings, store, mirror, log } = this.held;
    const changes: Change[] = [...then];
    const given: { key: string; value: Claim }[] = [];
    for (const { key, to } of transfers) {
      const presence = to === node ? this.asked.own() : standings.presenceOf(to);
      if (presence === null || presence.lease === null) return false;
      const value: Claim = { node: to, run: presence.run };
      changes.push({ put: key, value, lease: presence.lease });
      given.push({ key, value });
    }
    const conditions = transfers.map(({ key, version }) => ({ key, version }));
    try {
      const result = await store.transact([...conditions, ...when], changes);
      if (!result.ok) return false;
      for (const { key, to } of transfers) log.info({ key, to, why }, "claim handed over");
      // Our own listeners take it from here, as after any other change of a claim.
      for (const { key, value } of given) {
        mirror.apply({ key, value, version: result.revision, deleted: false });
      }
      return true;
    } catch (error) {
      // The other's lease has ended since it was offered; nothing was changed.
      if (error instanceof NoLease) return false;
      throw error;
    }
  }
}
