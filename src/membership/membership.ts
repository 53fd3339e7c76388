import { type Clock, MAX_CLOCK_DRIFT_RATIO, sleep } from "../clock.js";
import type { Log } from "../log.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { restoreStateOf } from "../state/restore-state.js";
import { leaderKey } from "../state/schema.js";
import { NoLease, type Store } from "../state/store.js";
import { type Claim, Handover, isClaim } from "./handover.js";
import type { Layout } from "./layout.js";
import { type Candidate, rankOwners, type Vacancy } from "./owner-ranking.js";
import { matchesPublished, type Presence, presenceRecord } from "./presence.js";
import { ControllerStability } from "./stability.js";

export interface Handlers {
  gained(part: number, token: number): void;
  lost(part: number, why: string): void;
  leading(token: number): void;
  deposed(): void;
}

/**
 * Holds this controller's lease at the state service and, attached to it, its claims on parts and
 * on leadership. The fencing token is made from the claim's version (`fencingTokenOf`): versions only
 * grow, and no two changes of a key have the same version.
 */
export class Membership {
  readonly owned = new Map<number, number>();
  leaderClaimVersion: number | null = null;
  /** Key of the leader claim whose version this is. */
  leaderKey: string = keys.leader;
  readonly ttlMs: number;
  #lease: number | string | null = null;
  #validUntil = Number.NEGATIVE_INFINITY;
  #startedAt: number;
  /** When a timer of this process last ran, and when the process last resumed after a stall. */
  #aliveAt: number;
  #resumedAt = Number.NEGATIVE_INFINITY;
  #unclaimedSince = new Map<string, number>();
  readonly stability: ControllerStability;
  /** Transfers claims to others: own ones or, after a verdict, those of a failed controller. */
  readonly handover: Handover;
  readonly #offerAt = new Map<string, number>();
  #declineUntil = Number.NEGATIVE_INFINITY;
  #drained = false;
  #stopped = false;
  #wakeClaimLoop: () => void = () => undefined;

  constructor(
    readonly node: string,
    readonly run: string,
    readonly layout: Layout,
    readonly store: Store,
    readonly mirror: Mirror,
    readonly clock: Clock,
    readonly log: Log,
    readonly handlers: Handlers,
    leaseS: number,
    /** Names of the optional packages that this controller has loaded. */
    readonly loadedPackages: readonly string[] = [],
    /** Whether another controller is suspected to have failed: it is given no claims then. */
    readonly isSuspected: (name: string) => boolean = () => false,
  ) {
    // A quarter of the workers' lease: after a crash there is time for another controller to take
    // over, load the records and answer reports before the workers give up their tasks.
    this.ttlMs = (leaseS * 1000) / 4;
    this.#startedAt = clock.now();
    this.#aliveAt = this.#startedAt;
    this.stability = new ControllerStability(mirror, clock, this.ttlMs);
    this.handover = new Handover(this, {
      own: () => this.#ownPresence(),
      candidates: () => this.#candidates(),
    });
    mirror.on("w/p/", (event) => this.#claimChanged(event.key, event.version, event.value));
    for (const key of [keys.leader, keys.leader2]) {
      mirror.on(key, (event) => {
        if (event.key === key) this.#leaderChanged(key, event.version, event.value);
      });
    }
  }

  /**
   * Whether this controller may act as an owner: its lease cannot have expired, by the slowest clock
   * allowed, and it has not stalled since it last heard from the store. After a stall shorter than a
   * lease, a verdict may have moved its claims, and waiting messages are handled before any timer.
   */
  valid(): boolean {
    const now = this.clock.now();
    if (now >= this.#validUntil || now - this.#aliveAt > this.ttlMs / 2) return false;
    return this.mirror.freshAsOf >= this.#resumedAt;
  }

  /** Called by timers that are late only if the whole process stalled or is overloaded. */
  noteProcessAlive(): void {
    const now = this.clock.now();
    if (now - this.#aliveAt > this.ttlMs / 2) {
      this.#resumedAt = now;
      this.log.warn({ stalledMs: Math.round(now - this.#aliveAt) }, "process stalled; resyncing");
    }
    this.#aliveAt = now;
  }

  ownerOf(part: number): string | null {
    const row = this.mirror.rows.get(keys.claim(part));
    return row !== undefined && isClaim(row.value) ? row.value.node : null;
  }

  start(): void {
    this.#aliveAt = this.clock.now();
    void this.#loop(
      () => this.#renew(),
      () => sleep(this.clock, this.ttlMs / 4),
    );
    void this.#loop(
      () => this.#claimVacantKeys(),
      () =>
        new Promise((resolve) => {
          this.#wakeClaimLoop = resolve;
          this.clock.after(this.ttlMs / 8, () => {
            this.noteProcessAlive();
            resolve();
          });
        }),
    );
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Gives parts and leadership to others and declines parts for a while: workers or users do not
   * reach this controller, but it reaches the state service. No effect without another controller.
   */
  async relinquish(parts: number[], forMs: number, why: string): Promise<void> {
    if (this.#candidates().every(({ name }) => name === this.node)) return;
    this.#declineUntil = this.clock.now() + forMs;
    await this.#handOverOrRelease(parts, why);
  }

  /**
   * Hands over all claims and accepts no new ones until called with `on` false: before this program
   * ends, or during maintenance of its machine. Resolves once this controller owns nothing; the
   * others need not wait for a lease to expire, and no part is without an owner.
   * @throws when the state service does not answer: the claims then last until the lease expires
   */
  async drain(on = true): Promise<void> {
    this.#drained = on;
    if (!on) return this.#wakeClaimLoop();
    await this.#handOverOrRelease([...this.owned.keys()], "drained");
    await this.#publishPresence();
  }

  /** Hands parts and leadership over to others, or releases them if that fails. */
  async #handOverOrRelease(parts: number[], why: string): Promise<void> {
    const lead = this.leaderClaimVersion !== null;
    const handedOver = await this.handover.handOver(parts, lead, why).catch(() => false);
    if (handedOver) return;
    // Stop acting as owner of all of them at once, whether or not the claims can be removed.
    if (this.leaderClaimVersion !== null) {
      this.leaderClaimVersion = null;
      this.handlers.deposed();
    }
    for (const part of parts) this.#drop(part, why);
    await this.#finishRelease();
  }

  /** This controller's lease, for records that are to be removed when it expires. */
  get lease(): number | string | null {
    return this.#lease;
  }

  #ownPresence(): Presence | null {
    const { run, loadedPackages: speaks } = this;
    return this.#lease === null ? null : { run, speaks, lease: this.#lease, shy: this.#declines() };
  }

  #drop(part: number, why: string): void {
    if (!this.owned.delete(part)) return;
    this.handlers.lost(part, why);
  }

  #dropAll(why: string): void {
    for (const part of [...this.owned.keys()]) this.#drop(part, why);
    if (this.leaderClaimVersion !== null) {
      this.leaderClaimVersion = null;
      this.handlers.deposed();
    }
  }

  async #loop(step: () => Promise<void>, pause: () => Promise<void>): Promise<void> {
    while (!this.#stopped) {
      try {
        await step();
      } catch (error) {
        this.log.debug({ why: String(error) }, "lease or claim step failed; will be retried");
      }
      await pause();
    }
  }

  async #renew(): Promise<void> {
    const sentAt = this.clock.now();
    if (this.#lease === null) {
      this.#lease = await this.store.openLease(this.ttlMs);
    } else {
      try {
        await this.store.renewLease(this.#lease, this.ttlMs / 2);
      } catch (error) {
        if (error instanceof NoLease) {
          this.#lease = null;
          this.#validUntil = Number.NEGATIVE_INFINITY;
          this.log.warn({}, "lease expired; releasing all parts and leadership");
          this.#dropAll("lease expired");
        }
        throw error;
      }
    }
    this.#validUntil = sentAt + this.ttlMs * (1 - MAX_CLOCK_DRIFT_RATIO);
    await this.#publishPresence();
  }

  /** Publishes this controller's presence once the mirror is read: others then return its parts. */
  async #publishPresence(): Promise<void> {
    const own = this.#ownPresence();
    if (own === null || !this.mirror.ready) return;
    const key = keys.node(this.node);
    if (matchesPublished(this.mirror.rows.get(key)?.value, own)) return;
    const value = presenceRecord(own);
    const { revision } = await this.store.transact([], [{ put: key, value, lease: own.lease! }]);
    this.mirror.apply({ key, value, version: revision, deleted: false });
  }

  #declines(): boolean {
    return this.#drained || this.clock.now() < this.#declineUntil;
  }

  #canServe(name: string): boolean {
    return this.stability.presenceOf(name)?.shy === false && !this.isSuspected(name);
  }

  /** Controllers that may own parts, this one included, with the number of parts they own. */
  #candidates(): Candidate[] {
    const load = new Map<string, number>();
    for (let part = 0; part < this.layout.parts; part++) {
      const owner = this.ownerOf(part);
      if (owner !== null) load.set(owner, (load.get(owner) ?? 0) + 1);
    }
    return this.layout.members
      .filter(({ name }) => (name === this.node ? !this.#declines() : this.#canServe(name)))
      .map((member) => ({ ...member, load: load.get(member.name) ?? 0 }));
  }

  /**
   * Removes claims of this run that it no longer acts on. If a part was given up while the state
   * service did not answer, its claim is still stored, and the lease, which is still being renewed,
   * would keep it: nobody would act as the owner, and no other controller could claim the part.
   */
  async #finishRelease(): Promise<void> {
    const claims: [key: string, held: boolean][] = [];
    for (let part = 0; part < this.layout.parts; part++) {
      claims.push([keys.claim(part), this.owned.has(part)]);
    }
    claims.push([leaderKey(this.mirror), this.leaderClaimVersion !== null]);
    for (const [key, held] of claims) {
      const row = held ? undefined : this.mirror.rows.get(key);
      if (row === undefined || !this.#isOwn(row.value)) continue;
      this.log.info({ key }, "removing a claim of this controller that it no longer acts on");
      await this.store.transact([{ key, version: row.version }], [{ remove: key }]);
    }
  }

  async #claimVacantKeys(): Promise<void> {
    if (this.#lease === null || !this.valid() || !this.mirror.ready) return;
    const now = this.clock.now();
    if (now - this.mirror.freshAsOf > this.ttlMs) return;
    // A restore is still writing records: a record not yet restored would look as if it never existed.
    if (restoreStateOf(this.mirror).state === "filling") return;
    await this.#publishPresence();
    await this.#finishRelease();
    const vacancies: Vacancy[] = [];
    const leader = leaderKey(this.mirror);
    if (!this.mirror.rows.has(leader)) vacancies.push({ part: null, home: null });
    for (let part = 0; part < this.layout.parts; part++) {
      if (this.mirror.rows.has(keys.claim(part))) continue;
      vacancies.push({ part, home: this.layout.home(part) });
    }
    const ranked = rankOwners(vacancies, this.#candidates());
    const delayMs = (part: number | null): number =>
      this.#claimDelayMs(part, ranked.get(part) ?? [], now);
    await this.#claimKey(leader, delayMs(null));
    for (let part = 0; part < this.layout.parts; part++) {
      const home = this.layout.home(part).name;
      if (this.owned.has(part)) {
        // Otherwise the part, once given up, would count as unclaimed since before it was taken here.
        this.#unclaimedSince.delete(keys.claim(part));
        // One part at a time, and only to a controller that has been present for a while.
        if (home === this.node || !this.#canServe(home) || !this.stability.isStable(home)) continue;
        if (await this.#returnToHome(part, home)) return;
      } else await this.#claimKey(keys.claim(part), delayMs(part));
    }
  }

  async #returnToHome(part: number, home: string): Promise<boolean> {
    const version = this.owned.get(part)!;
    const why = `returned to its home controller ${home}`;
    if (this.stability.presenceOf(home)?.lease !== null) {
      return this.handover.transfer([{ key: keys.claim(part), version, to: home }], [], [], why);
    }
    // The home runs a version that offers no lease: the part is released for it to claim. If it does
    // not, this is not repeated for a while: else the part would have no owner half of the time.
    const now = this.clock.now();
    if (now - (this.#offerAt.get(home) ?? Number.NEGATIVE_INFINITY) < this.ttlMs * 8) return false;
    this.#offerAt.set(home, now);
    this.#drop(part, why);
    await this.#finishRelease();
    return true;
  }

  /** How long a key must be unclaimed before this controller claims it; infinity: never. */
  #claimDelayMs(part: number | null, ranked: readonly string[], now: number): number {
    if (this.#drained) return Number.POSITIVE_INFINITY;
    // Leadership has no home. When all controllers start together, the home of part 0 claims it without
    // a delay: until there is a leader, no machines are rented and submissions cannot be checked.
    const startingUp = now - this.#startedAt < this.ttlMs;
    const home = part !== null || startingUp ? this.layout.home(part ?? 0).name : null;
    if (home === this.node && !this.#declines()) return 0;
    // When all controllers start together, each has time to claim its own home part.
    if (startingUp) return Number.POSITIVE_INFINITY;
    if (this.#declines()) return ranked.length > 0 ? this.ttlMs * 4 : 0;
    // The first in the ranking claims it at once. Each following one waits one step longer: those
    // before it may have failed as well, with leases that have not expired yet.
    return ranked.indexOf(this.node) * (this.ttlMs / 2);
  }

  async #claimKey(key: string, delayMs: number): Promise<void> {
    const row = this.mirror.rows.get(key);
    const now = this.clock.now();
    if (row !== undefined) {
      this.#unclaimedSince.delete(key);
      // Claimed by an earlier run of this controller, which must have ended. Only for a while after
      // the start: two processes with one name by mistake would take it from each other for ever.
      const earlier = isClaim(row.value) && row.value.node === this.node && !this.#isOwn(row.value);
      if (!earlier || now - this.#startedAt > this.ttlMs * 1.5) return;
      await this.handover.transfer(
        [{ key, version: row.version, to: this.node }],
        [],
        [],
        "claimed by an earlier run of this controller",
      );
      return;
    }
    const since = this.#unclaimedSince.get(key) ?? now;
    this.#unclaimedSince.set(key, since);
    if (now - since < delayMs || this.#lease === null) return;
    const value: Claim = { node: this.node, run: this.run };
    const result = await this.store.transact(
      [{ key, version: 0 }],
      [{ put: key, value, lease: this.#lease }],
    );
    // The mirror's listeners react to the claim. If the write is not answered, the watch shows whether
    // it was applied: the claim contains this run's id.
    if (result.ok) this.mirror.apply({ key, value, version: result.revision, deleted: false });
  }

  #isOwn(value: unknown): boolean {
    return isClaim(value) && value.node === this.node && value.run === this.run;
  }

  #claimChanged(key: string, version: number, value: unknown): void {
    const part = Number(key.slice("w/p/".length));
    if (value === undefined) this.#wakeClaimLoop();
    const token = this.owned.get(part);
    if (this.#isOwn(value)) {
      if (token === version) return;
      if (token !== undefined) this.#drop(part, "claim was written again with a new version");
      // A claim of this run: its answer was lost, or the watch was faster than the answer.
      this.owned.set(part, version);
      this.handlers.gained(part, version);
    } else if (token !== undefined && version > token) {
      this.#drop(part, "claim was removed or taken by another controller");
    }
  }

  #leaderChanged(key: string, version: number, value: unknown): void {
    if (this.#isOwn(value)) {
      if (this.leaderClaimVersion === version) return;
      this.leaderClaimVersion = version;
      this.leaderKey = key;
      this.handlers.leading(version);
    } else if (
      this.leaderClaimVersion !== null &&
      key === this.leaderKey &&
      version > this.leaderClaimVersion
    ) {
      this.leaderClaimVersion = null;
      this.handlers.deposed();
    }
  }
}
