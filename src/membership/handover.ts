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

/** A claim and its next owner. */
export interface Transfer {
  key: string;
  version: number;
  to: string;
}

/** The part of `Membership` that a handover needs. */
interface MembershipView {
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
 * Transfers claims between controllers without a moment in which they have no owner. Each transfer
 * is one conditional write, attached to the lease that the new owner offers in its presence record.
 * After a crash before the write the old owner still has the claim, after it the new one. If the
 * write is not answered, the watch shows which of the two holds.
 */
export class Handover {
  constructor(
    readonly membership: MembershipView,
    readonly callbacks: {
      /** This controller's presence; null without a lease. */
      own(): Presence | null;
      /** Controllers that may own parts, with the number of parts they own. */
      candidates(): Candidate[];
    },
  ) {}

  /**
   * Transfers this controller's claims to their best candidates, each attached to the lease that the
   * new owner offers: there is no moment without an owner, and workers are redirected at once. False
   * when there is no candidate or a claim has changed.
   */
  async handOver(parts: readonly number[], lead: boolean, why: string): Promise<boolean> {
    const { layout, owned, leaderClaimVersion: leaderVersion, leaderKey: leader } = this.membership;
    const others = this.callbacks.candidates().filter(({ name }) => name !== this.membership.node);
    const vacancies: Vacancy[] = parts.map((part) => ({ part, home: layout.home(part) }));
    if (lead) vacancies.push({ part: null, home: null });
    const ranked = rankOwners(vacancies, others);
    const transfers: Transfer[] = [];
    for (const [part, [to]] of ranked) {
      const version = part === null ? leaderVersion : owned.get(part);
      if (to === undefined || version === undefined || version === null) return false;
      transfers.push({ key: part === null ? leader : keys.claim(part), version, to });
    }
    const own = this.callbacks.own();
    if (transfers.length === 0 || own === null || own.lease === null) return false;
    // The same write publishes that this controller accepts no parts. Otherwise the new owner of its
    // home part would return the part at once, and this controller would keep it, although the
    // machines do not reach it.
    const value = presenceRecord(own);
    const presenceChange = { put: keys.node(this.membership.node), value, lease: own.lease };
    // In several transactions if one cannot hold all: if the connection fails in between, the first
    // transfers are already done.
    const maxTransfers = this.membership.store.limits.ops - 1;
    for (let from = 0; from < transfers.length; from += maxTransfers) {
      const batch = transfers.slice(from, from + maxTransfers);
      if (!(await this.transfer(batch, [], [presenceChange], why))) return false;
    }
    return true;
  }

  /**
   * After a verdict: writes the claims of a failed controller for their best candidates, as many as
   * one transaction holds. The candidates are ranked as after the expiry of its lease, so that the
   * claims go to different controllers.
   */
  async reassign(
    name: string,
    run: string,
    when: readonly Condition[],
    then: readonly Change[],
  ): Promise<boolean> {
    const transfers: Transfer[] = [];
    const vacancies: Vacancy[] = [];
    const { mirror, layout, store } = this.membership;
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
    const candidates = this.callbacks.candidates().filter((one) => one.name !== name);
    for (const [part, [to]] of rankOwners(vacancies, candidates)) {
      const key = part === null ? leader : keys.claim(part);
      if (to === undefined) return false;
      transfers.push({ key, version: versionOf(key)!, to });
    }
    const maxTransfers = store.limits.ops - then.length;
    return this.transfer(transfers.slice(0, maxTransfers), when, then, `verdict against ${name}`);
  }

  /**
   * Writes claims for other controllers, on condition that the claims still have the given versions:
   * either this controller's own claims or, after a verdict, those of a failed controller
   * (`docs/failure.md`). False when a claim has changed meanwhile, or a lease offered has expired.
   */
  async transfer(
    transfers: readonly Transfer[],
    when: readonly Condition[],
    then: readonly Change[],
    why: string,
  ): Promise<boolean> {
    const { node, stability, store, mirror, log } = this.membership;
    const changes: Change[] = [...then];
    const written: { key: string; value: Claim }[] = [];
    for (const { key, to } of transfers) {
      const presence = to === node ? this.callbacks.own() : stability.presenceOf(to);
      if (presence === null || presence.lease === null) return false;
      const value: Claim = { node: to, run: presence.run };
      changes.push({ put: key, value, lease: presence.lease });
      written.push({ key, value });
    }
    const conditions = transfers.map(({ key, version }) => ({ key, version }));
    try {
      const result = await store.transact([...conditions, ...when], changes);
      if (!result.ok) return false;
      for (const { key, to } of transfers) log.info({ key, to, why }, "claim handed over");
      // The mirror's listeners react to this as to any other change of a claim.
      for (const { key, value } of written) {
        mirror.apply({ key, value, version: result.revision, deleted: false });
      }
      return true;
    } catch (error) {
      // The new owner's lease has expired since it was offered; nothing was changed.
      if (error instanceof NoLease) return false;
      throw error;
    }
  }
}
