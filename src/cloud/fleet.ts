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
import { type Offer, planRentals } from "./rental-plan.js";
import { ReturnedMachineCleanup } from "./returned-machine-cleanup.js";
import { lowestCpuPrice, SurplusMachines, totalCpus } from "./surplus-machines.js";

export interface FleetContext {
  token: number;
  /** The leader's claim: a condition of the leader's writes. */
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
  /** Settings of the rental policy. */
  dear: number;
  headroom: number;
  /** Whether a team is preemptible: what it uses is no reason to keep machines. */
  isPreemptible(team: string): boolean;
  /** CPUs of idle machines to keep beyond the teams' own demand. */
  idleCpusToKeep(): number;
  /** Capacity requests to rent for beyond the teams' own need, once that is met. */
  capacityRequests(): CapacityRequest[];
  /** Whether a machine of an offer matches a job with expressions. */
  jobMatchesOffer(job: string, offer: Offer): boolean;
  /** Whether records were restored and owners place nothing yet (restore reconciliation). */
  reconcilingRestore(): boolean;
  /** Whether this controller is certainly still the leader. */
  valid(): boolean;
}

const offerKey = ({ type, zone, spot }: Offer): string => `${type.name}/${zone}/${spot}`;

/** PROTOCOL: machines boot in 0.6 to 1.5 times their type's boot time, some in several times that. */
const OVERDUE_FACTOR = 1.5;

/** Rents and returns machines. Only the leader has a running instance. */
export class Fleet {
  readonly #rateLimiter: RateLimiter;
  readonly #listed = new Map<string, wire.ListedMachine & { seenAt: number }>();
  /** Machines rented by this leader and not listed yet. */
  readonly #rentedUnlisted = new Map<string, wire.ListedMachine & { at: number }>();
  /** Since when more machines have been needed than there are, booting ones included. */
  #shortageSince: number;
  /** By offer, until when no more machines are requested: its capacity was used up. */
  readonly #unavailableUntil = new Map<string, number>();
  /** By machine, CPUs that a summary may still count of a machine that was returned while idle. */
  readonly #returnedCpus = new Map<string, number>();
  /** When a part's summary last named a machine. */
  readonly #lastNamedAt = new Map<string, number>();
  readonly #startedAt: number;
  readonly #cleanup: ReturnedMachineCleanup;
  #lastCleanupAt = 0;
  #types = new Map<string, wire.MachineType>();
  #rentRequestCount = 0;
  #returnRecordCount = 0;
  readonly #surplus: SurplusMachines;
  #listReadAt = Number.NEGATIVE_INFINITY;
  #typesReadAt = Number.NEGATIVE_INFINITY;
  #stopped = false;
  #reachable = true;
  #pendingRequest: { offer: Offer; id: string; count: number } | null = null;

  constructor(readonly ctx: FleetContext) {
    this.#rateLimiter = new RateLimiter(ctx.rps * 0.8, ctx.rps, ctx.clock);
    this.#startedAt = ctx.clock.now();
    this.#surplus = new SurplusMachines(ctx);
    this.#shortageSince = this.#startedAt;
    const { store, mirror, clock, claim } = ctx;
    const keepMs = Math.max(50 * ctx.leaseMs, 10 * ctx.listLagMs);
    this.#cleanup = new ReturnedMachineCleanup(store, mirror, clock, claim, keepMs);
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  /** For /about/status: machines that are booting, and how many of them are overdue. */
  rentalStatus(): { booting: number; overdue: number; reachable: boolean } {
    let booting = 0;
    let overdue = 0;
    for (const { id, type, state, ageS } of this.#listed.values()) {
      if (state !== "booting" || this.#lastNamedAt.has(id) || this.#returnedCpus.has(id)) continue;
      booting++;
      if (ageS > OVERDUE_FACTOR * (this.#types.get(type)?.bootS ?? Number.POSITIVE_INFINITY))
        overdue++;
    }
    return { booting: booting + this.#rentedUnlisted.size, overdue, reachable: this.#reachable };
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        if (this.ctx.valid()) await this.#step();
        if (!this.#reachable) this.ctx.log.info("cloud API reachable again");
        this.#reachable = true;
      } catch (error) {
        if (this.#reachable)
          this.ctx.log.warn({ why: String(error) }, "cloud API call failed; will be retried");
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
    while (!this.#rateLimiter.take(1)) await sleep(this.ctx.clock, 1000 / this.ctx.rps);
    const answer = await this.ctx.cloud.call(method, path, body, 5000);
    if (answer.status === 429) throw new Error("cloud API answered 429: rate limit exceeded");
    return answer;
  }

  async #step(): Promise<void> {
    const now = this.ctx.clock.now();
    if (this.#types.size === 0 || now - this.#typesReadAt > 30_000) await this.#readTypes();
    if (now - this.#listReadAt > this.ctx.listLagMs / 4) await this.#readList();
    const summaries = this.ctx.summaries.all().map(([, summary]) => summary);
    for (const { machines } of summaries) for (const id of machines) this.#lastNamedAt.set(id, now);
    await this.#returnMachines(summaries);
    await this.#rentForDemand(summaries);
    if (now - this.#lastCleanupAt > this.ctx.leaseMs) await this.#cleanUp(now);
  }

  /** Removes what is remembered of machines that were returned long ago. */
  async #cleanUp(now: number): Promise<void> {
    this.#lastCleanupAt = now;
    for (const id of this.#cleanup.takeExpired()) this.#returnedCpus.delete(id);
    for (const [id, at] of this.#lastNamedAt) {
      if (now - at > this.#cleanup.keepMs) this.#lastNamedAt.delete(id);
    }
    await this.#cleanup.step();
  }

  async #readTypes(): Promise<void> {
    const answer = await this.#call("GET", wire.paths.types);
    const types = answer.status === 200 ? wire.parseTypes(answer.body) : null;
    if (types === null)
      throw new Error(`cloud API returned no valid machine types: status ${answer.status}`);
    this.#types = new Map(types.map((type) => [type.name, type]));
    this.#typesReadAt = this.ctx.clock.now();
    // The other controllers need sizes and zones, which do not change; only the leader uses prices.
    const publishedTypes = types.map(({ name, cpus, gpus, memGb, bootS, zones }) => ({
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
    if (JSON.stringify(row?.value) === JSON.stringify(publishedTypes)) return;
    await this.ctx.store.transact([this.ctx.claim], [{ put: key, value: publishedTypes }]);
  }

  async #readList(): Promise<void> {
    const found: wire.ListedMachine[] = [];
    let after = "";
    for (;;) {
      const answer = await this.#call("GET", wire.paths.list(after));
      const page = answer.status === 200 ? wire.parseMachines(answer.body) : null;
      if (page === null)
        throw new Error(`cloud API returned no valid machine list: status ${answer.status}`);
      found.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) break;
      after = last.id;
    }
    const now = this.ctx.clock.now();
    this.#listReadAt = now;
    for (const machine of found) {
      this.#listed.set(machine.id, { ...machine, seenAt: now });
      this.#rentedUnlisted.delete(machine.id);
    }
    // A list lags and may be older than the previous one, so one missing entry proves nothing.
    for (const [id, machine] of this.#listed) {
      if (now - machine.seenAt > 3 * this.ctx.listLagMs) this.#listed.delete(id);
    }
    for (const [id, machine] of this.#rentedUnlisted) {
      if (now - machine.at > 6 * this.ctx.listLagMs) this.#rentedUnlisted.delete(id);
    }
  }

  async #returnMachines(summaries: Summary[]): Promise<void> {
    const now = this.ctx.clock.now();
    const toReturn = new Set<string>();
    for (const { retired } of summaries) for (const id of retired) toReturn.add(id);
    const idle = this.#surplus.select(summaries, this.#listed, this.#types, this.#returnedCpus);
    for (const id of idle.keys()) toReturn.add(id);
    for (const machine of this.#listed.values()) {
      const type = this.#types.get(machine.type);
      if (machine.state === "failed") toReturn.add(machine.id);
      const bootingS = machine.ageS;
      if (machine.state === "booting" && type !== undefined && bootingS > 5 * type.bootS + 30) {
        toReturn.add(machine.id);
      }
    }
    const names = [...toReturn]
      .filter((id) => !this.#returnedCpus.has(id))
      .slice(0, wire.MAX_RETURNED_PER_CALL);
    if (names.length === 0 || now - this.#startedAt < this.ctx.leaseMs / 4) return;
    const answer = await this.#call("POST", wire.paths.giveBack, wire.returnBody(names));
    if (answer.status !== 200)
      throw new Error(`cloud API did not take back machines: status ${answer.status}`);
    this.ctx.log.info({ machines: names }, "machines returned");
    for (const id of names) {
      this.#returnedCpus.set(id, idle.get(id) ?? 0);
      this.#cleanup.noteReturned(id);
      this.#listed.delete(id);
      this.#rentedUnlisted.delete(id);
    }
    // The cloud confirmed that the machines are gone, and their tasks with them. The owners of the
    // parts learn it from this record.
    for (const batch of splitBySize(names, this.ctx.store.limits.valueBytes)) {
      const key = keys.goneMachines(`${this.ctx.token}-${++this.#returnRecordCount}`);
      this.ctx.store.writes.force(1);
      await this.#retryUntilDone(() => this.ctx.store.transact([], [{ put: key, value: batch }]));
    }
  }

  /** Repeats a write until it succeeds; applying it twice does no harm. */
  async #retryUntilDone(run: () => Promise<unknown>): Promise<void> {
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
          if ((this.#unavailableUntil.get(offerKey(offer)) ?? 0) <= now) offers.push(offer);
        }
      }
    }
    return offers;
  }

  async #rentForDemand(summaries: Summary[]): Promise<void> {
    if (summaries.length === 0) return;
    const maxCpuPrice = this.ctx.dear * lowestCpuPrice(this.#types);
    const needs = summaries.flatMap(({ need }) =>
      need.map((one): CapacityRequest => (one.lent === true ? { ...one, most: maxCpuPrice } : one)),
    );
    const booting = [...this.#rentedUnlisted.values(), ...this.#listed.values()].filter(
      ({ id }) => !this.#lastNamedAt.has(id) && !this.#returnedCpus.has(id),
    );
    const now = this.ctx.clock.now();
    const offers = this.#offers();
    const requests = planRentals(
      needs,
      booting,
      this.#types,
      offers,
      wire.MAX_RENTED_PER_CALL,
      this.ctx.jobMatchesOffer,
    );
    if (requests.length === 0) this.#shortageSince = now;
    // How long the waiting work takes on all machines, booting ones included.
    let cpus = totalCpus(summaries);
    for (const { type } of booting) cpus += this.#types.get(type)?.cpus ?? 0;
    const backlogS = summaries.reduce((sum, { workS }) => sum + workS, 0) / Math.max(1, cpus);
    for (const { offer, count } of requests) {
      if (!this.ctx.valid()) return;
      if (
        this.ctx.dear * lowestCpuPrice(this.#types) <
        offer.price / Math.max(1, offer.type.cpus)
      ) {
        // An expensive machine: before it has booted, work may be done or cheaper machines free.
        const shortageS = Math.max(backlogS, (now - this.#shortageSince) / 1000);
        if (shortageS < offer.type.bootS) continue;
      }
      await this.#rentMachines(offer, count);
    }
    // The teams' own need comes first: the cloud's capacity may not suffice for both.
    if (requests.length > 0) return;
    for (const { offer, count } of planRentals(
      this.ctx.capacityRequests(),
      booting,
      this.#types,
      offers,
      1,
      this.ctx.jobMatchesOffer,
    )) {
      if (this.ctx.valid()) await this.#rentMachines(offer, count);
    }
  }

  async #rentMachines(offer: Offer, count: number): Promise<void> {
    // An id is used for one request only. It contains this leader's token, so it is unique.
    if (this.#pendingRequest === null) {
      this.#rentRequestCount++;
      this.#pendingRequest = {
        offer,
        count,
        id: `r-${this.ctx.token}-${this.#rentRequestCount}`,
      };
    }
    const request = this.#pendingRequest;
    const answer = await this.#call(
      "POST",
      wire.paths.rent,
      wire.rentBody(
        request.id,
        request.offer.type.name,
        request.offer.zone,
        request.offer.spot,
        request.count,
      ),
    );
    const key = offerKey(request.offer);
    if (answer.status === 503) {
      this.#pendingRequest = null;
      const unexpected = (answer.body as { error?: string } | undefined)?.error !== "no capacity";
      if (unexpected) throw new Error("cloud API refused to rent machines: status 503");
      this.#unavailableUntil.set(key, this.ctx.clock.now() + 15_000);
      return;
    }
    const machines = answer.status === 200 ? wire.parseRented(answer.body) : null;
    this.#pendingRequest = null;
    if (machines === null)
      throw new Error(`cloud API gave no valid answer to a rent request: status ${answer.status}`);
    const now = this.ctx.clock.now();
    for (const id of machines) {
      this.#rentedUnlisted.set(id, {
        id,
        type: request.offer.type.name,
        zone: request.offer.zone,
        spot: request.offer.spot,
        state: "booting",
        ageS: 0,
        at: now,
      });
    }
    if (machines.length < request.count) this.#unavailableUntil.set(key, now + 15_000);
    this.ctx.log.info(
      {
        request: request.id,
        type: request.offer.type.name,
        zone: request.offer.zone,
        spot: request.offer.spot,
        machines,
      },
      "machines rented",
    );
  }
}

/** Splits names into lists whose JSON fits into `bytes` each, in order. */
function splitBySize(names: readonly string[], bytes: number): string[][] {
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
