import { type Clock, sleep } from "../clock.js";
import type { Caller } from "../http/client.js";
import type { Log } from "../log.js";
import type { CapacityRequest, Summaries, Summary } from "../part/summary.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { RateLimiter } from "../state/rate-limiter.js";
import { typesKey } from "../state/schema.js";
import type { Condition, Store } from "../state/store.js";
import * as wire from "../wire/cloud.js";
import { type Offer, plan } from "./rental-plan.js";
import { Forgetting } from "./returned-machine-cleanup.js";
import { cheapestOf, roomIn, Surplus } from "./surplus-machines.js";

export interface FleetContext {
  token: number;
  /** The leader's claim. */
  claim: Condition;
  summaries: Summaries;
  cloud: Caller;
  store: Store;
  mirror: Mirror;
  clock: Clock;
  log: Log;
  rps: number;
  listLagMs: number;
  leaseMs: number;
  /** Tuning of the rental policy. */
  dear: number;
  headroom: number;
  /** Whether a team's use keeps no machines. */
  yields(team: string): boolean;
  /** CPUs of idle machines that are kept beyond the own demand. */
  kept(): number;
  /** What machines may be rented for beyond the own need, once that is met. */
  wanted(): CapacityRequest[];
  /** Whether a machine would do for a job with expressions. */
  suits(job: string, offer: Offer): boolean;
  /** Whether records were restored, and owners do not place anything yet. */
  settling(): boolean;
  /** Whether we are certainly still the leader. */
  valid(): boolean;
}

const offerKey = ({ type, zone, spot }: Offer): string => `${type.name}/${zone}/${spot}`;

/** PROTOCOL: machines boot in 0.6 to 1.5 times their time, some in several times that. */
const OVERDUE = 1.5;

/** Rents and returns machines. Only the leader runs one. */
export class Fleet {
  readonly #budget: RateLimiter;
  readonly #listed = new Map<string, wire.ListedMachine & { seenAt: number }>();
  /** Rented by us and not listed yet. */
  readonly #rented = new Map<string, wire.ListedMachine & { at: number }>();
  /** Since when there has been more need than machines, booting ones included. */
  #shortSince: number;
  readonly #refused = new Map<string, number>();
  /** By name: CPUs that a summary may still count, of a machine that was returned while idle. */
  readonly #returned = new Map<string, number>();
  /** When a machine was last named by a part, and since when one has been asked to go. */
  readonly #heard = new Map<string, number>();
  readonly #startedAt: number;
  readonly #forgetting: Forgetting;
  #forgetAt = 0;
  #types = new Map<string, wire.MachineType>();
  #requests = 0;
  #returns = 0;
  readonly #surplus: Surplus;
  #listAt = Number.NEGATIVE_INFINITY;
  #typesAt = Number.NEGATIVE_INFINITY;
  #stopped = false;
  #reachable = true;
  #open: { offer: Offer; request: string; count: number } | null = null;

  constructor(readonly ctx: FleetContext) {
    this.#budget = new RateLimiter(ctx.rps * 0.8, ctx.rps, ctx.clock);
    this.#startedAt = ctx.clock.now();
    this.#surplus = new Surplus(ctx);
    this.#shortSince = this.#startedAt;
    const { store, mirror, clock, claim } = ctx;
    const keepMs = Math.max(50 * ctx.leaseMs, 10 * ctx.listLagMs);
    this.#forgetting = new Forgetting(store, mirror, clock, claim, keepMs);
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** For people: machines that boot, those of them that take several times as long as they should. */
  standing(): { booting: number; overdue: number; reachable: boolean } {
    let booting = 0;
    let overdue = 0;
    for (const { id, type, state, ageS } of this.#listed.values()) {
      if (state !== "booting" || this.#heard.has(id) || this.#returned.has(id)) continue;
      booting++;
      if (ageS > OVERDUE * (this.#types.get(type)?.bootS ?? Number.POSITIVE_INFINITY)) overdue++;
    }
    return { booting: booting + this.#rented.size, overdue, reachable: this.#reachable };
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        if (this.ctx.valid()) await this.#step();
        if (!this.#reachable) this.ctx.log.info("cloud answers again");
        this.#reachable = true;
      } catch (error) {
        if (this.#reachable) this.ctx.log.warn({ why: String(error) }, "cloud does not answer");
        this.#reachable = false;
      }
      await sleep(this.ctx.clock, 500);
    }
  }

  async #call(
    method: string,
    path: string,
    body?: object,
  ): Promise<{ status: number; body: unknown }> {
    while (!this.#budget.take(1)) await sleep(this.ctx.clock, 1000 / this.ctx.rps);
    const answer = await this.ctx.cloud.call(method, path, body, 5000);
    if (answer.status === 429) throw new Error("429");
    return answer;
  }

  async #step(): Promise<void> {
    const now = this.ctx.clock.now();
    if (this.#types.size === 0 || now - this.#typesAt > 30_000) await this.#readTypes();
    if (now - this.#listAt > this.ctx.listLagMs / 4) await this.#readList();
    const summaries = this.ctx.summaries.all().map(([, summary]) => summary);
    for (const { machines } of summaries) for (const id of machines) this.#heard.set(id, now);
    await this.#giveBack(summaries);
    await this.#rent(summaries);
    if (now - this.#forgetAt > this.ctx.leaseMs) await this.#forget(now);
  }

  /** What this leader remembers of machines ends with them, not with its claim. */
  async #forget(now: number): Promise<void> {
    this.#forgetAt = now;
    for (const id of this.#forgetting.expired()) this.#returned.delete(id);
    for (const [id, at] of this.#heard) {
      if (now - at > this.#forgetting.keepMs) this.#heard.delete(id);
    }
    await this.#forgetting.step();
  }

  async #readTypes(): Promise<void> {
    const answer = await this.#call("GET", wire.paths.types);
    const types = answer.status === 200 ? wire.parseTypes(answer.body) : null;
    if (types === null) throw new Error(`machine types: ${answer.status}`);
    this.#types = new Map(types.map((type) => [type.name, type]));
    this.#typesAt = this.ctx.clock.now();
    // The others need sizes and zones, which do not change; prices are the leader's business.
    const shown = types.map(({ name, cpus, gpus, memGb, bootS, zones }) => ({
      name,
      cpus,
      gpus,
      memGb,
      bootS,
      zones,
      price: 0,
      spotPrice: 0,
    }));
    const key = typesKey(this.ctx.mirror);
    const row = this.ctx.mirror.rows.get(key);
    if (JSON.stringify(row?.value) === JSON.stringify(shown)) return;
    await this.ctx.store.transact([this.ctx.claim], [{ put: key, value: shown }]);
  }

  async #readList(): Promise<void> {
    const found: wire.ListedMachine[] = [];
    let after = "";
    for (;;) {
      const answer = await this.#call("GET", wire.paths.list(after));
      const page = answer.status === 200 ? wire.parseMachines(answer.body) : null;
      if (page === null) throw new Error(`machine list: ${answer.status}`);
      found.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) break;
      after = last.id;
    }
    const now = this.ctx.clock.now();
    this.#listAt = now;
    for (const machine of found) {
      this.#listed.set(machine.id, { ...machine, seenAt: now });
      this.#rented.delete(machine.id);
    }
    // Lists lag and may be older than the one before, so one missing entry says little.
    for (const [id, machine] of this.#listed) {
      if (now - machine.seenAt > 3 * this.ctx.listLagMs) this.#listed.delete(id);
    }
    for (const [id, machine] of this.#rented) {
      if (now - machine.at > 6 * this.ctx.listLagMs) this.#rented.delete(id);
    }
  }

  async #giveBack(summaries: Summary[]): Promise<void> {
    const now = this.ctx.clock.now();
    const gone = new Set<string>();
    for (const { retired } of summaries) for (const id of retired) gone.add(id);
    const idle = this.#surplus.idle(summaries, this.#listed, this.#types, this.#returned);
    for (const id of idle.keys()) gone.add(id);
    for (const machine of this.#listed.values()) {
      const type = this.#types.get(machine.type);
      if (machine.state === "failed") gone.add(machine.id);
      const since = machine.ageS;
      if (machine.state === "booting" && type !== undefined && since > 5 * type.bootS + 30) {
        gone.add(machine.id);
      }
    }
    const names = [...gone].filter((id) => !this.#returned.has(id)).slice(0, wire.MAX_RETURN);
    if (names.length === 0 || now - this.#startedAt < this.ctx.leaseMs / 4) return;
    const answer = await this.#call("POST", wire.paths.giveBack, wire.returnBody(names));
    if (answer.status !== 200) throw new Error(`return: ${answer.status}`);
    this.ctx.log.info({ machines: names }, "machines returned");
    for (const id of names) {
      this.#returned.set(id, idle.get(id) ?? 0);
      this.#forgetting.returned(id);
      this.#listed.delete(id);
      this.#rented.delete(id);
    }
    // The cloud confirmed it: everything on these machines is gone. The parts' owners read it here.
    for (const some of portions(names, this.ctx.store.limits.valueBytes)) {
      const key = keys.goneMachines(`${this.ctx.token}-${++this.#returns}`);
      this.ctx.store.writes.force(1);
      await this.#until(() => this.ctx.store.transact([], [{ put: key, value: some }]));
    }
  }

  /** Repeats what must be said; saying it twice does no harm. */
  async #until(run: () => Promise<unknown>): Promise<void> {
    for (;;) {
      try {
        await run();
        return;
      } catch {
        if (this.#stopped) return;
        await sleep(this.ctx.clock, 1000);
      }
    }
  }

  #offers(): Offer[] {
    const now = this.ctx.clock.now();
    const offers: Offer[] = [];
    for (const type of this.#types.values()) {
      for (const zone of type.zones) {
        for (const spot of [true, false]) {
          const offer = { type, zone, spot, price: spot ? type.spotPrice : type.price };
          if ((this.#refused.get(offerKey(offer)) ?? 0) <= now) offers.push(offer);
        }
      }
    }
    return offers;
  }

  async #rent(summaries: Summary[]): Promise<void> {
    if (summaries.length === 0) return;
    const cheap = this.ctx.dear * cheapestOf(this.#types);
    const needs = summaries.flatMap(({ need }) =>
      need.map((one): CapacityRequest => (one.lent === true ? { ...one, most: cheap } : one)),
    );
    const booting = [...this.#rented.values(), ...this.#listed.values()].filter(
      ({ id }) => !this.#heard.has(id) && !this.#returned.has(id),
    );
    const now = this.ctx.clock.now();
    const offers = this.#offers();
    const wishes = plan(needs, booting, this.#types, offers, wire.MAX_RENT, this.ctx.suits);
    if (wishes.length === 0) this.#shortSince = now;
    // How long all that there will be in a moment works on what waits.
    let cpus = roomIn(summaries);
    for (const { type } of booting) cpus += this.#types.get(type)?.cpus ?? 0;
    const backlogS = summaries.reduce((sum, { workS }) => sum + workS, 0) / Math.max(1, cpus);
    for (const { offer, count } of wishes) {
      if (!this.ctx.valid()) return;
      if (this.ctx.dear * cheapestOf(this.#types) < offer.price / Math.max(1, offer.type.cpus)) {
        // Work may be done by the time it has booted, or cheaper machines become free.
        const lastsS = Math.max(backlogS, (now - this.#shortSince) / 1000);
        if (lastsS < offer.type.bootS) continue;
      }
      await this.#rentSome(offer, count);
    }
    // Own need first: what is there in a moment may be all that there is.
    if (wishes.length > 0) return;
    for (const { offer, count } of plan(
      this.ctx.wanted(),
      booting,
      this.#types,
      offers,
      1,
      this.ctx.suits,
    )) {
      if (this.ctx.valid()) await this.#rentSome(offer, count);
    }
  }

  async #rentSome(offer: Offer, count: number): Promise<void> {
    // A name is used for one request only. It carries our token, so no other leader uses it.
    if (this.#open === null) {
      this.#requests++;
      this.#open = { offer, count, request: `r-${this.ctx.token}-${this.#requests}` };
    }
    const open = this.#open;
    const answer = await this.#call(
      "POST",
      wire.paths.rent,
      wire.rentBody(
        open.request,
        open.offer.type.name,
        open.offer.zone,
        open.offer.spot,
        open.count,
      ),
    );
    const key = offerKey(open.offer);
    if (answer.status === 503) {
      this.#open = null;
      const trouble = (answer.body as { error?: string } | undefined)?.error !== "no capacity";
      if (trouble) throw new Error("cloud refuses");
      this.#refused.set(key, this.ctx.clock.now() + 15_000);
      return;
    }
    const machines = answer.status === 200 ? wire.parseRented(answer.body) : null;
    this.#open = null;
    if (machines === null) throw new Error(`rent: ${answer.status}`);
    const now = this.ctx.clock.now();
    for (const id of machines) {
      this.#rented.set(id, {
        id,
        type: open.offer.type.name,
        zone: open.offer.zone,
        spot: open.offer.spot,
        state: "booting",
        ageS: 0,
        at: now,
      });
    }
    if (machines.length < open.count) this.#refused.set(key, now + 15_000);
    this.ctx.log.info(
      {
        request: open.request,
        type: open.offer.type.name,
        zone: open.offer.zone,
        spot: open.offer.spot,
        machines,
      },
      "machines rented",
    );
  }
}

/** Names in lists that each fit a value, in order. */
function portions(names: readonly string[], bytes: number): string[][] {
  const lists: string[][] = [[]];
  let size = 2;
  for (const name of names) {
    const more = Buffer.byteLength(JSON.stringify(name)) + 1;
    if (size + more > bytes && lists.at(-1)!.length > 0) {
      lists.push([]);
      size = 2;
    }
    lists.at(-1)!.push(name);
    size += more;
  }
  return lists;
}
