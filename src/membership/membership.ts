import { type Clock, DRIFT, sleep } from "../clock.js";
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
 * on leadership. A claim's version makes the fencing token (`fencingTokenOf`): versions only grow, and no
 * two changes of a key share one.
 */
export class Membership {
  readonly owned = new Map<number, number>();
  leaderClaimVersion: number | null = null;
  /** The key of the claim that it is the version of. */
  leaderKey: string = keys.leader;
  readonly ttlMs: number;
  #lease: number | string | null = null;
  #validUntil = Number.NEGATIVE_INFINITY;
  #startedAt: number;
  /** When this process last showed that it runs, and when it last woke after it had not. */
  #beatAt: number;
  #awakeAt = Number.NEGATIVE_INFINITY;
  #freeSince = new Map<string, number>();
  readonly stability: ControllerStability;
  /** Gives claims to others: own ones, or after a verdict those of one that does not serve. */
  readonly handover: Handover;
  readonly #offered = new Map<string, number>();
  #shyUntil = Number.NEGATIVE_INFINITY;
  #drained = false;
  #stopped = false;
  #wakeClaims: () => void = () => undefined;

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
    /** Optional packages that this controller has loaded. */
    readonly speaks: readonly string[] = [],
    /** Whether there is doubt that another serves: nothing is given to it then. */
    readonly doubted: (name: string) => boolean = () => false,
  ) {
    // A quarter of the workers' lease: after a crash there is time to take over, load and answer
    // before the workers give up their tasks.
    this.ttlMs = (leaseS * 1000) / 4;
    this.#startedAt = clock.now();
    this.#beatAt = this.#startedAt;
    this.stability = new ControllerStability(mirror, clock, this.ttlMs);
    this.handover = new Handover(this, {
      own: () => this.#own(),
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
   * Whether this controller may act as an owner: its lease cannot have ended yet, by the slowest
   * clock allowed, and it has not stood still since it last heard the store: one that froze for less
   * than a lease may have been judged meanwhile, and what waited for it comes in before any timer fires.
   */
  valid(): boolean {
    const now = this.clock.now();
    if (now >= this.#validUntil || now - this.#beatAt > this.ttlMs / 2) return false;
    return this.mirror.freshAsOf >= this.#awakeAt;
  }

  /** Called by timers that only the whole process standing still, or very late, delays. */
  noteProcessAlive(): void {
    const now = this.clock.now();
    if (now - this.#beatAt > this.ttlMs / 2) {
      this.#awakeAt = now;
      this.log.warn({ forMs: Math.round(now - this.#beatAt) }, "stood still");
    }
    this.#beatAt = now;
  }

  ownerOf(part: number): string | null {
    const row = this.mirror.rows.get(keys.claim(part));
    return row !== undefined && isClaim(row.value) ? row.value.node : null;
  }

  start(): void {
    this.#beatAt = this.clock.now();
    void this.#loop(
      () => this.#renew(),
      () => sleep(this.clock, this.ttlMs / 4),
    );
    void this.#loop(
      () => this.#claim(),
      () =>
        new Promise((resolve) => {
          this.#wakeClaims = resolve;
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
   * This controller reaches the state service, but workers or users do not reach it: others
   * should own the parts for a while. Does nothing when there is no one else.
   */
  async relinquish(parts: number[], forMs: number, why: string): Promise<void> {
    if (this.#candidates().every(({ name }) => name === this.node)) return;
    this.#shyUntil = this.clock.now() + forMs;
    await this.#leave(parts, why);
  }

  /**
   * Gives all that it has to others, and takes nothing any more, until `on` is false: before this
   * program ends, or while its machine is worked on. Resolves once nothing is its own; the others
   * need not wait for a lease to end, and no part is without an owner.
   * @throws when the state service does not answer: the claims are left to the lease then
   */
  async drain(on = true): Promise<void> {
    this.#drained = on;
    if (!on) return this.#wakeClaims();
    await this.#leave([...this.owned.keys()], "drained");
    await this.#show();
  }

  /** Hands parts, and leadership, to their successors; what nobody can be given is dropped. */
  async #leave(parts: number[], why: string): Promise<void> {
    const lead = this.leaderClaimVersion !== null;
    const given = await this.handover.handOver(parts, lead, why).catch(() => false);
    if (given) return;
    // All of it at once, whatever becomes of the claims.
    if (this.leaderClaimVersion !== null) {
      this.leaderClaimVersion = null;
      this.handlers.deposed();
    }
    for (const part of parts) this.#drop(part, why);
    await this.#finishRelease();
  }

  /** This controller's lease, for records that are to end with it. */
  get lease(): number | string | null {
    return this.#lease;
  }

  #own(): Presence | null {
    const { run, speaks } = this;
    return this.#lease === null ? null : { run, speaks, lease: this.#lease, shy: this.#shy() };
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
        this.log.debug({ why: String(error) }, "membership step failed");
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
          this.log.warn({}, "lease lost");
          this.#dropAll("lease lost");
        }
        throw error;
      }
    }
    this.#validUntil = sentAt + this.ttlMs * (1 - DRIFT);
    await this.#show();
  }

  /** Tells the others that we are here. They hand our parts back then: so not before we can read. */
  async #show(): Promise<void> {
    const own = this.#own();
    if (own === null || !this.mirror.ready) return;
    const key = keys.node(this.node);
    if (matchesPublished(this.mirror.rows.get(key)?.value, own)) return;
    const value = presenceRecord(own);
    const { revision } = await this.store.transact([], [{ put: key, value, lease: own.lease! }]);
    this.mirror.apply({ key, value, version: revision, deleted: false });
  }

  #shy(): boolean {
    return this.#drained || this.clock.now() < this.#shyUntil;
  }

  #serving(name: string): boolean {
    return this.stability.presenceOf(name)?.shy === false && !this.doubted(name);
  }

  /** Those who may own something, this controller included, with what they have. */
  #candidates(): Candidate[] {
    const load = new Map<string, number>();
    for (let part = 0; part < this.layout.parts; part++) {
      const owner = this.ownerOf(part);
      if (owner !== null) load.set(owner, (load.get(owner) ?? 0) + 1);
    }
    return this.layout.members
      .filter(({ name }) => (name === this.node ? !this.#shy() : this.#serving(name)))
      .map((member) => ({ ...member, load: load.get(member.name) ?? 0 }));
  }

  /**
   * Removes a claim of ours that we no longer act on. Giving a part up while the state service does
   * not answer leaves the claim there, and the lease that we go on renewing kept it: nobody owned
   * the part any more, and nobody else could take it.
   */
  async #finishRelease(): Promise<void> {
    const left: [key: string, held: boolean][] = [];
    for (let part = 0; part < this.layout.parts; part++) {
      left.push([keys.claim(part), this.owned.has(part)]);
    }
    left.push([leaderKey(this.mirror), this.leaderClaimVersion !== null]);
    for (const [key, held] of left) {
      const row = held ? undefined : this.mirror.rows.get(key);
      if (row === undefined || !this.#mine(row.value)) continue;
      this.log.info({ key }, "claim removed that is not acted on");
      await this.store.transact([{ key, version: row.version }], [{ remove: key }]);
    }
  }

  async #claim(): Promise<void> {
    if (this.#lease === null || !this.valid() || !this.mirror.ready) return;
    const now = this.clock.now();
    if (now - this.mirror.freshAsOf > this.ttlMs) return;
    // Records are being put there by a restore: what is missing yet would look as if it had never been.
    if (restoreStateOf(this.mirror).state === "filling") return;
    await this.#show();
    await this.#finishRelease();
    const vacancies: Vacancy[] = [];
    const leader = leaderKey(this.mirror);
    if (!this.mirror.rows.has(leader)) vacancies.push({ part: null, home: null });
    for (let part = 0; part < this.layout.parts; part++) {
      if (this.mirror.rows.has(keys.claim(part))) continue;
      vacancies.push({ part, home: this.layout.home(part) });
    }
    const ranked = rankOwners(vacancies, this.#candidates());
    const patience = (part: number | null): number =>
      this.#patience(part, ranked.get(part) ?? [], now);
    await this.#claimKey(leader, patience(null));
    for (let part = 0; part < this.layout.parts; part++) {
      const home = this.layout.home(part).name;
      if (this.owned.has(part)) {
        // Else, once given up, it would seem to have been free since we took it.
        this.#freeSince.delete(keys.claim(part));
        // Gently: one part at a time, and only to a controller that has been up for a while.
        if (home === this.node || !this.#serving(home) || !this.stability.isStable(home)) continue;
        if (await this.#goHome(part, home)) return;
      } else await this.#claimKey(keys.claim(part), patience(part));
    }
  }

  async #goHome(part: number, home: string): Promise<boolean> {
    const version = this.owned.get(part)!;
    const why = `back to ${home}`;
    if (this.stability.presenceOf(home)?.lease !== null) {
      return this.handover.transfer([{ key: keys.claim(part), version, to: home }], [], [], why);
    }
    // A version that offers no lease: it finds the part free. If it does not want it, it is not
    // asked again for a while; the part would be without an owner for half of the time.
    const now = this.clock.now();
    if (now - (this.#offered.get(home) ?? Number.NEGATIVE_INFINITY) < this.ttlMs * 8) return false;
    this.#offered.set(home, now);
    this.#drop(part, why);
    await this.#finishRelease();
    return true;
  }

  /** How long a key has to be free before this controller takes it; infinity: never. */
  #patience(part: number | null, ranked: readonly string[], now: number): number {
    if (this.#drained) return Number.POSITIVE_INFINITY;
    // Leadership has no home, but at a common start somebody should take it without waiting: until
    // there is a leader nobody rents machines, and submissions cannot be judged.
    const young = now - this.#startedAt < this.ttlMs;
    const home = part !== null || young ? this.layout.home(part ?? 0).name : null;
    if (home === this.node && !this.#shy()) return 0;
    // After a common start everyone is given time to take what is theirs.
    if (young) return Number.POSITIVE_INFINITY;
    if (this.#shy()) return ranked.length > 0 ? this.ttlMs * 4 : 0;
    // The first of those whom everybody would choose takes it at once. The next one waits, for a
    // step: the first may have ended as well, before its lease has.
    return ranked.indexOf(this.node) * (this.ttlMs / 2);
  }

  async #claimKey(key: string, patienceMs: number): Promise<void> {
    const row = this.mirror.rows.get(key);
    const now = this.clock.now();
    if (row !== undefined) {
      this.#freeSince.delete(key);
      // An earlier run of this very controller: it has ended, or this one would not be there. Only
      // for a while after the start, so that two under one name by mistake do not take turns for ever.
      const earlier = isClaim(row.value) && row.value.node === this.node && !this.#mine(row.value);
      if (!earlier || now - this.#startedAt > this.ttlMs * 1.5) return;
      await this.handover.transfer(
        [{ key, version: row.version, to: this.node }],
        [],
        [],
        "an earlier run's",
      );
      return;
    }
    const since = this.#freeSince.get(key) ?? now;
    this.#freeSince.set(key, since);
    if (now - since < patienceMs || this.#lease === null) return;
    const value: Claim = { node: this.node, run: this.run };
    const result = await this.store.transact(
      [{ key, version: 0 }],
      [{ put: key, value, lease: this.#lease }],
    );
    // Our own listeners take it from here. Without an answer the watch tells: the claim carries
    // the name of this run.
    if (result.ok) this.mirror.apply({ key, value, version: result.revision, deleted: false });
  }

  #mine(value: unknown): boolean {
    return isClaim(value) && value.node === this.node && value.run === this.run;
  }

  #claimChanged(key: string, version: number, value: unknown): void {
    const part = Number(key.slice("w/p/".length));
    if (value === undefined) this.#wakeClaims();
    const token = this.owned.get(part);
    if (this.#mine(value)) {
      if (token === version) return;
      if (token !== undefined) this.#drop(part, "claimed anew");
      // Our own claim whose answer was lost; or simply the watch being faster than the answer.
      this.owned.set(part, version);
      this.handlers.gained(part, version);
    } else if (token !== undefined && version > token) {
      this.#drop(part, "claim ended");
    }
  }

  #leaderChanged(key: string, version: number, value: unknown): void {
    if (this.#mine(value)) {
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
