import { type Amounts, EPSILON } from "../fair/share.js";
import { keys } from "../state/keys.js";
import { Rejected } from "../state/store.js";
import { freeCapacityOf } from "./allowances.js";
import type { PartContext } from "./context.js";
import { progressOf } from "./job-holds.js";
import type { Ledger } from "./ledger.js";
import type { Quota } from "./quota.js";
import { kindsOf } from "./rebalancing.js";
import type { CapacityRequest, Summary } from "./summary.js";
import { truncatedSummary } from "./summary-truncation.js";
import { isUsable } from "./usable-machine.js";

/** Tells the other controllers, the store and the leader how a part stands. */
export class SummaryPublisher {
  /** CPUs that teams which yield would need for others to start. */
  starved = 0;
  #summaryAt = 0;
  #sentAt = 0;
  #lastState = "";
  #summaries = 0;
  /** The service's limits have fallen. */
  #narrow = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
  ) {}

  /** Says what has changed since the last time, if it is time to. */
  run(): void {
    const now = this.ctx.clock.now();
    const { index, claim, store, reportMs } = this.ctx;
    // The other controllers hear of changes soon, if they can be reached.
    const used = [...this.ledger.use.values()].reduce((sum, { cpus }) => sum + cpus, 0);
    const state = `${this.ledger.waitingCpus}/${this.quota.short.size}/${used}`;
    const changed = state !== this.#lastState;
    if (now - this.#sentAt >= (changed ? reportMs / 4 : reportMs)) {
      this.#sentAt = now;
      this.#lastState = state;
      this.ctx.publishSummary(this.summary(true));
    }
    // The store gets one every 5 s (DESIGN): for whoever is cut off from us, and the next leader.
    if (now - this.#summaryAt < 5000 || !store.writes.take(1, 2)) return;
    this.#summaryAt = now;
    // A program from before reads whole ones only.
    const { valueBytes, wideBytes = valueBytes } = store.limits;
    const most =
      this.#narrow || this.ctx.allReadCurrentFormat()
        ? valueBytes
        : Math.max(valueBytes, wideBytes);
    const value = truncatedSummary(this.summary(), most);
    store.transact([claim], [{ put: keys.summary(index), value }]).catch((error) => {
      if (error instanceof Rejected) this.#narrow = true;
    });
  }

  /** `progress` is for those who are told at once: a record of the store has no room for it. */
  summary(progress = false): Summary {
    const now = this.ctx.clock.now();
    const pairs = (map: ReadonlyMap<string, Amounts>): Record<string, [number, number]> =>
      Object.fromEntries([...map].map(([team, a]) => [team, [a.cpus, a.gpus]]));
    const needs = new Map<string, CapacityRequest>();
    let workS = 0;
    const { policy: rules, constraints: places } = this.ctx;
    // What its team's limit does not let run has nothing dear rented for it: that would stand idle
    // (inc-dbf5: 0.27 of the money was useful). What is cheap it may have: with less kept for the next
    // job of another team, half of the work within guarantees began in 5 s where three quarters did.
    const ahead = new Map<string, number>();
    const jobs = [...this.ledger.jobs.values()].sort((a, b) => b.spec.rank - a.spec.rank);
    for (const job of jobs) {
      // No machine is rented for those who yield.
      if (!job.open || job.failures > 1 || rules?.preemptible(job.spec.team) === true) continue;
      const { waiting } = job;
      if (waiting === 0 || places.cannotStart(job.id, job.spec)) continue;
      const { team, cpus, gpus, memGb, spot, types, zone, estimateS } = job.spec;
      const left = Math.max(0, ahead.get(team) ?? this.quota.ahead(team));
      const within = Math.min(waiting, Math.ceil(left / Math.max(cpus, EPSILON)));
      ahead.set(team, left - within * cpus);
      // How long the work of borrowers lasts is no reason to rent anything dear.
      const lends = this.ctx.isBorrower(team);
      if (!lends) workS += within * cpus * estimateS;
      for (const [count, lent] of [
        [within, lends],
        [waiting - within, true],
      ] as const) {
        if (count === 0) continue;
        const need: CapacityRequest = { cpus, gpus, memGb, spot, types, zone, count };
        if (lent) need.lent = true;
        const like = places.equivalenceKey(job.spec) ?? job.id;
        const key = JSON.stringify({ ...need, count: 0, like });
        // The leader finds the expressions in that job's header.
        if (job.spec.match !== undefined) need.job = job.id;
        const known = needs.get(key);
        if (known === undefined) needs.set(key, need);
        else known.count += count;
      }
    }
    const demand: Summary["demand"] = [];
    for (const [team, { cpus, gpus }] of this.ledger.demand()) {
      for (const rank of cpus.keys()) {
        if (cpus[rank]! + gpus[rank]! === 0) continue;
        demand.push({ team, rank, cpus: cpus[rank]!, gpus: gpus[rank]! });
      }
    }
    const idle: Record<string, number> = {};
    const retired: string[] = [];
    const machines = [...this.ledger.machines.values()];
    for (const machine of machines) {
      // Its reports may come while nothing reaches it: by now its lease has ended all the same.
      const since = Math.min(machine.lastSeen, machine.unreachableSince ?? now);
      const silent = now - since > this.ctx.leaseMs * 1.1;
      if (silent || (machine.retired !== null && machine.allocations.size === 0))
        retired.push(machine.id);
      else if (machine.allocations.size === 0)
        idle[machine.id] = Math.round((now - machine.idleSince) / 1000);
    }
    const picky = progress && places.matcher !== null ? progressOf(this.ledger.jobs.values()) : [];
    return {
      ...(picky.length === 0 ? {} : { progress: picky }),
      ...(rules === null
        ? {}
        : { rooms: freeCapacityOf(machines, this.ctx), starved: Math.round(this.starved) }),
      use: pairs(this.ledger.use),
      demand,
      need: [...needs.values()].slice(0, 40),
      short: pairs(this.quota.short),
      kinds: kindsOf(
        machines.filter((machine) => isUsable(machine, this.ctx)),
        this.ctx.types(),
      ),
      waiting: this.ledger.waitingCpus,
      workS: Math.round(workS),
      machines: machines.map(({ id }) => id),
      retired,
      idle,
      token: this.ctx.token,
      seq: ++this.#summaries,
    };
  }
}
