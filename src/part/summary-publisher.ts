import { type Amounts, EPSILON } from "../fair/share.js";
import { keys } from "../state/keys.js";
import { Rejected } from "../state/store.js";
import { freeCapacityOf } from "./allowances.js";
import type { PartContext } from "./context.js";
import { taskProgress } from "./job-holds.js";
import type { Ledger } from "./ledger.js";
import type { Quota } from "./quota.js";
import { capacityByKind } from "./rebalancing.js";
import type { CapacityRequest, Summary } from "./summary.js";
import { truncatedSummary } from "./summary-truncation.js";
import { isUsable } from "./usable-machine.js";

/** Publishes a part's summary to the other controllers and to the store, where the leader reads it. */
export class SummaryPublisher {
  /** CPUs that preemptible teams would have to free so that waiting tasks of others start. */
  starvedCpus = 0;
  #storedAt = 0;
  #publishedAt = 0;
  #lastPublishedState = "";
  #lastSeq = 0;
  /** A stored summary was rejected: the store's limits have been lowered. */
  #valueLimitLowered = false;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
  ) {}

  /** Publishes the summary if the interval for it has passed. */
  run(): void {
    const now = this.ctx.clock.now();
    const { index, claim, store, reportMs } = this.ctx;
    // Changes are sent to the reachable controllers after a quarter of the report interval.
    const usedCpus = [...this.ledger.use.values()].reduce((sum, { cpus }) => sum + cpus, 0);
    const loadState = `${this.ledger.waitingCpus}/${this.quota.shortages.size}/${usedCpus}`;
    const changed = loadState !== this.#lastPublishedState;
    if (now - this.#publishedAt >= (changed ? reportMs / 4 : reportMs)) {
      this.#publishedAt = now;
      this.#lastPublishedState = loadState;
      this.ctx.publishSummary(this.summary(true));
    }
    // One is stored every 5 s (DESIGN), for controllers cut off from this one and for the next leader.
    if (now - this.#storedAt < 5000 || !store.writes.take(1, 2)) return;
    this.#storedAt = now;
    // An earlier build reads only summaries that are not truncated.
    const { valueBytes, wideBytes = valueBytes } = store.limits;
    const maxBytes =
      this.#valueLimitLowered || this.ctx.allReadCurrentFormat()
        ? valueBytes
        : Math.max(valueBytes, wideBytes);
    const value = truncatedSummary(this.summary(), maxBytes);
    store.transact([claim], [{ put: keys.summary(index), value }]).catch((error) => {
      if (error instanceof Rejected) this.#valueLimitLowered = true;
    });
  }

  /** With `progress` for summaries that are sent; it is too large for a stored record. */
  summary(progress = false): Summary {
    const now = this.ctx.clock.now();
    const toPairs = (map: ReadonlyMap<string, Amounts>): Record<string, [number, number]> =>
      Object.fromEntries([...map].map(([team, a]) => [team, [a.cpus, a.gpus]]));
    const requests = new Map<string, CapacityRequest>();
    let workS = 0;
    const { policy, constraints } = this.ctx;
    // No expensive machine is rented for tasks beyond their team's limit: it would stand idle
    // (inc-dbf5: only 0.27 of the money spent was useful). Cheap machines may be rented for them: when
    // fewer were kept for the next job of another team, only half of the work within guarantees
    // started within 5 s instead of three quarters.
    const cpusLeftByTeam = new Map<string, number>();
    const jobs = [...this.ledger.jobs.values()].sort((a, b) => b.spec.rank - a.spec.rank);
    for (const job of jobs) {
      // No machine is rented for preemptible teams.
      if (!job.open || job.failures > 1 || policy?.preemptible(job.spec.team) === true) continue;
      const { waiting } = job;
      if (waiting === 0 || constraints.cannotStart(job.id, job.spec)) continue;
      const { team, cpus, gpus, memGb, spot, types, zone, estimateS } = job.spec;
      const cpusLeft = Math.max(0, cpusLeftByTeam.get(team) ?? this.quota.attainableCpus(team));
      const withinLimit = Math.min(waiting, Math.ceil(cpusLeft / Math.max(cpus, EPSILON)));
      cpusLeftByTeam.set(team, cpusLeft - withinLimit * cpus);
      // Work of borrowers does not count: it does not justify renting expensive machines.
      const borrower = this.ctx.isBorrower(team);
      if (!borrower) workS += withinLimit * cpus * estimateS;
      for (const [count, lent] of [
        [withinLimit, borrower],
        [waiting - withinLimit, true],
      ] as const) {
        if (count === 0) continue;
        const request: CapacityRequest = { cpus, gpus, memGb, spot, types, zone, count };
        if (lent) request.lent = true;
        const equivalenceKey = constraints.equivalenceKey(job.spec) ?? job.id;
        const key = JSON.stringify({ ...request, count: 0, like: equivalenceKey });
        // The leader reads the expressions from that job's header.
        if (job.spec.match !== undefined) request.job = job.id;
        const known = requests.get(key);
        if (known === undefined) requests.set(key, request);
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
      // A machine may report while no answer reaches it; its lease expires in that case as well.
      const since = Math.min(machine.lastSeen, machine.unreachableSince ?? now);
      const silent = now - since > this.ctx.leaseMs * 1.1;
      if (silent || (machine.retirementReason !== null && machine.allocations.size === 0))
        retired.push(machine.id);
      else if (machine.allocations.size === 0)
        idle[machine.id] = Math.round((now - machine.idleSince) / 1000);
    }
    const jobProgress =
      progress && constraints.matcher !== null ? taskProgress(this.ledger.jobs.values()) : [];
    return {
      ...(jobProgress.length === 0 ? {} : { progress: jobProgress }),
      ...(policy === null
        ? {}
        : { rooms: freeCapacityOf(machines, this.ctx), starved: Math.round(this.starvedCpus) }),
      use: toPairs(this.ledger.use),
      demand,
      need: [...requests.values()].slice(0, 40),
      short: toPairs(this.quota.shortages),
      kinds: capacityByKind(
        machines.filter((machine) => isUsable(machine, this.ctx)),
        this.ctx.types(),
      ),
      waiting: this.ledger.waitingCpus,
      workS: Math.round(workS),
      machines: machines.map(({ id }) => id),
      retired,
      idle,
      token: this.ctx.token,
      seq: ++this.#lastSeq,
    };
  }
}
