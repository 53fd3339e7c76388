import { addAmounts } from "../fair/share.js";
import {
  canPreemptFrom,
  chooseVictims,
  type Preemptor,
  type SelectedVictim,
  type Victim,
} from "../fair/victim-selection.js";
import type { Allocation } from "../jobs/chunk.js";
import type { JobSpec } from "../wire/jobs.js";
import {
  addResources,
  fitsResources,
  kindAllowed,
  type Machine,
  type Resources,
  withoutReservations,
} from "../workers/machine.js";
import type { PartContext } from "./context.js";
import { effectivePriority, type Job } from "./job.js";
import type { Ledger } from "./ledger.js";
import { borrowerMinimumCpus, lentCpus } from "./lending.js";
import type { PlacementPass } from "./placement.js";
import type { Quota } from "./quota.js";
import { type QuotaShortage, quotaShortages } from "./quota-shortage.js";
import type { Workers } from "./workers.js";

/** A task that may be stopped, or all tasks of a gang, which are stopped together (DESIGN). */
interface Candidate extends Victim {
  tasks: { allocation: Allocation; machine: Machine }[];
  spec: JobSpec;
}

/** Most tasks that are stopped for one waiting task, and most waiting tasks handled in one run. */
const MAX_VICTIMS_PER_TASK = 16;
const MAX_TASKS_PER_RUN = 16;

/** Stops tasks to free resources for jobs that may preempt them, by the rules of KEP-1714. */
export class Preemption {
  /** Free resources, including those of tasks being stopped, less what this run has reserved. */
  #freeResources = new Map<Machine, Resources>();
  #candidates = new Map<string, Candidate>();
  #candidatesByMachine = new Map<Machine, Candidate[]>();
  #lastRunAt = Number.NEGATIVE_INFINITY;
  #lastFairPreemptionAt: number;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    readonly workers: Workers,
  ) {
    this.#lastFairPreemptionAt = ctx.clock.now();
  }

  run(blocked: readonly Job[], pass: PlacementPass): void {
    const { now, machines, guaranteed } = pass;
    // Commands reach a worker once per report, so a more frequent run would find little new.
    if (now - this.#lastRunAt < this.ctx.reportMs / 8) return;
    this.#lastRunAt = now;
    // Each part evens out shares on its own and sees the use of the others with a delay. All parts at
    // once would overshoot, and then overshoot in the other direction.
    let allowFair = this.ctx.evenOut && now - this.#lastFairPreemptionAt > this.ctx.leaseMs;
    // Jobs within a guarantee preempt at once; others first wait for resources to become free.
    const { policy } = this.ctx;
    // Preemptible teams are preempted without delay, and never preempt.
    const preemptibleRunning =
      policy !== null && this.#anyRunning(machines, (spec) => policy.preemptible(spec.team));
    // Lent resources whose reclaim costs only a save are reclaimed for jobs that have waited for one
    // report interval, unless resources have become free by then.
    const lentReclaimable =
      this.#cpusLentBeyondMinimum(pass) > 0 &&
      this.#anyRunning(machines, (spec) => this.#isLentAndCheckpointed(spec));
    const preemptors = blocked.filter(
      (job) =>
        policy?.preemptible(job.spec.team) !== true &&
        (preemptibleRunning ||
          guaranteed.has(job.id) ||
          now - job.waitingSince >= (lentReclaimable ? this.ctx.reportMs : this.ctx.leaseMs)),
    );
    const onTime = this.ctx.onTime();
    const shortages = quotaShortages(blocked, onTime, this);
    if (preemptors.length === 0 && shortages.size === 0) return;
    this.#collectCandidates(pass);
    this.#preemptForQuota(shortages, pass);
    const unsatisfiable = new Set<string>();
    let tasksLeft = MAX_TASKS_PER_RUN;
    for (const job of preemptors) {
      const { spec } = job;
      let { pending } = job;
      for (const machine of machines) pending -= machine.reservations.get(job.id)?.tasks ?? 0;
      if (pending <= 0) continue;
      const taskCount = spec.kind === "gang" ? pending : 1;
      if (!this.quota.fits(spec, taskCount)) continue;
      const withinGuarantee = guaranteed.has(job.id);
      const rank = withinGuarantee ? spec.rank : effectivePriority(job, onTime);
      // Unless within a guarantee, a job that has waited for less than a report interval is here only
      // because preemptible tasks run: no other tasks may be stopped for it yet.
      const waitedBeyondLeaseMs = now - job.waitingSince - this.ctx.leaseMs;
      const early = waitedBeyondLeaseMs < 0 && now - job.waitingSince < this.ctx.reportMs;
      const lossLimitMs = early && preemptibleRunning ? -1 : Math.max(0, waitedBeyondLeaseMs);
      const preemptor: Preemptor = {
        team: spec.team,
        rank,
        size: { cpus: spec.cpus * taskCount, gpus: spec.gpus * taskCount },
        withinGuarantee,
        borrower: this.ctx.isBorrower(spec.team),
        maxLoss: lossLimitMs,
        // A loss is never negative, so -1 rules out all victims.
        maxFairLoss:
          allowFair && waitedBeyondLeaseMs >= 0 ? waitedBeyondLeaseMs / this.ctx.patience : -1,
      };
      // If an equivalent job with the same rights found no victims in this run, this one is skipped.
      const equivalenceKey = this.ctx.constraints.equivalenceKey(spec);
      const searchKey =
        withinGuarantee || waitedBeyondLeaseMs < 0
          ? `${withinGuarantee}/${spec.team}/${rank}/${spec.cpus}/${spec.memGb}/${spec.spot}/${equivalenceKey ?? job.id}`
          : "";
      if (unsatisfiable.has(searchKey)) continue;
      for (; pending > 0 && tasksLeft > 0; pending -= taskCount) {
        tasksLeft--;
        const plan =
          taskCount === 1
            ? this.#planOnOneMachine(job, preemptor, pass)
            : this.#planOnManyMachines(job, preemptor, pass);
        if (plan === null) {
          if (searchKey !== "") unsatisfiable.add(searchKey);
          break;
        }
        for (const { victim, reason } of plan.victims) {
          if (reason === "fair" || reason === "greedy") {
            allowFair = false;
            preemptor.maxFairLoss = -1;
            this.#lastFairPreemptionAt = now;
          }
          this.#stopVictim(this.#candidates.get(victim.id)!, reason, job, pass);
        }
        for (const machine of plan.hosts) {
          addResources(this.#freeResources.get(machine)!, spec, -1);
          const reservation = machine.reservations.get(job.id);
          if (reservation !== undefined) reservation.tasks++;
          else machine.reservations.set(job.id, { tasks: 1, spec, until: now + this.ctx.leaseMs });
        }
        pass.tree.charge(spec.team, preemptor.size);
      }
      if (tasksLeft === 0) return;
    }
  }

  #anyRunning(machines: readonly Machine[], predicate: (spec: JobSpec) => boolean): boolean {
    return machines.some((machine) => {
      for (const { chunk } of machine.allocations.values()) if (predicate(chunk.spec)) return true;
      return false;
    });
  }

  /** Whether stopping a job's task reclaims lent resources and costs no more than its save. */
  #isLentAndCheckpointed({ team, checkpointS }: JobSpec): boolean {
    return checkpointS > 0 && this.ctx.isBorrower(team);
  }

  /**
   * Frees quota for jobs that wait because of their team's limit. Stopping other teams' tasks would
   * not help, so checkpointing tasks of the same team with a lower priority are stopped: first those
   * that have not started, then those that have run longest, whose start-up cost has paid off.
   */
  #preemptForQuota(shortages: ReadonlyMap<string, QuotaShortage>, pass: PlacementPass): void {
    const startedAt = ({ tasks }: Candidate): number => {
      const { allocation } = tasks[0]!;
      return allocation.running ? allocation.since : Number.NEGATIVE_INFINITY;
    };
    for (const [team, { cpus, rank, job }] of shortages) {
      const victims = [...this.#candidates.values()]
        .filter((c) => c.team === team && c.spec.checkpointS > 0 && c.rank < rank)
        .sort((a, b) => a.rank - b.rank || startedAt(a) - startedAt(b));
      let left = cpus;
      for (const victim of victims) {
        if (left <= 0) break;
        left -= victim.size.cpus;
        this.#stopVictim(victim, "priority", job, pass);
      }
    }
  }

  /** CPUs lent to teams without a guarantee beyond the minimum that these always keep. */
  #cpusLentBeyondMinimum({ machines, types }: PlacementPass): number {
    return lentCpus(this) - borrowerMinimumCpus(machines, types);
  }

  #collectCandidates(pass: PlacementPass): void {
    const { machines, types, now } = pass;
    const { policy, index } = this.ctx;
    let reclaimableCpus = this.#cpusLentBeyondMinimum(pass);
    this.#freeResources = new Map();
    this.#candidates = new Map();
    this.#candidatesByMachine = new Map();
    for (const machine of machines) {
      const free = { ...machine.freeResources(types.get(machine.type)) };
      const onMachine: Candidate[] = [];
      for (const allocation of machine.allocations.values()) {
        const { spec } = allocation.chunk;
        if (allocation.stopRequest !== null) {
          addResources(free, spec, 1);
          continue;
        }
        if (allocation.firstReportedAt === null) continue;
        const maxLossMs =
          spec.checkpointS > 0 ? (spec.saveS + spec.checkpointS) * 1000 : Number.POSITIVE_INFINITY;
        // Stopping costs more than the lost work: the task must start again and fetch its image again.
        const loss = this.ctx.leaseMs + Math.min(now - allocation.since, maxLossMs);
        const id = spec.kind === "gang" ? allocation.chunk.job : allocation.task;
        let candidate = this.#candidates.get(id);
        if (candidate === undefined) {
          const { team, rank } = spec;
          const size = { cpus: 0, gpus: 0 };
          candidate = { id, team, rank, size, loss: 0, tasks: [], spec };
          if (policy?.preemptible(team) === true)
            candidate.preemptionValue = policy.preemptionValue(team, index);
          if (reclaimableCpus > 0 && this.#isLentAndCheckpointed(spec)) {
            candidate.lent = true;
            reclaimableCpus -= spec.cpus;
          }
          this.#candidates.set(id, candidate);
        }
        candidate.size = addAmounts(candidate.size, spec);
        candidate.loss += loss;
        candidate.tasks.push({ allocation, machine });
        if (!onMachine.includes(candidate)) onMachine.push(candidate);
      }
      this.#freeResources.set(machine, withoutReservations(free, machine, null));
      this.#candidatesByMachine.set(machine, onMachine);
    }
  }

  /**
   * For one task: finds the machine on which the cheapest set of victims frees enough for it.
   * Candidates are ranked as in KEP-1714, but only among those of one machine: the highest-ranked ones
   * of the whole part are spread over as many machines, and stopping them would not free enough for a
   * large task on any of them.
   */
  #planOnOneMachine(
    job: Job,
    preemptor: Preemptor,
    { tree, machines }: PlacementPass,
  ): { hosts: Machine[]; victims: SelectedVictim[] } | null {
    const { spec } = job;
    const canPreemptByTeam = new Map<string, boolean>();
    const canPreempt = ({ team, rank, preemptionValue, lent = false }: Candidate): boolean => {
      if (preemptionValue !== undefined) return true;
      if (team === preemptor.team) return rank < preemptor.rank;
      const key = `${lent}/${team}`;
      let cached = canPreemptByTeam.get(key);
      if (cached === undefined) {
        cached = canPreemptFrom(tree, preemptor, team, lent);
        canPreemptByTeam.set(key, cached);
      }
      return cached;
    };
    let best: { hosts: Machine[]; victims: SelectedVictim[] } | null = null;
    let bestCost: number[] = [];
    const { constraints } = this.ctx;
    // Requirements are evaluated for the resources free after the stops: nothing is stopped on a
    // machine that the job could not use then.
    const canStartOn = (machine: Machine, free: Resources): boolean =>
      fitsResources(free, spec) &&
      (spec.match === undefined || constraints.rank(spec, machine, free) !== null);
    for (const machine of machines) {
      if (!kindAllowed(spec, machine) || machine.failedJobs.has(job.id)) continue;
      const free = this.#freeResources.get(machine)!;
      if (canStartOn(machine, free)) return { hosts: [machine], victims: [] };
      const candidates = this.#candidatesByMachine.get(machine)!.filter(canPreempt);
      if (candidates.length === 0) continue;
      const freeAfter = { ...free };
      const addFreed = (victim: Victim, sign: 1 | -1): void => {
        for (const task of this.#candidates.get(victim.id)!.tasks) {
          if (task.machine === machine) addResources(freeAfter, task.allocation.chunk.spec, sign);
        }
      };
      for (const victim of candidates) addFreed(victim, 1);
      if (!fitsResources(freeAfter, spec)) continue;
      if (
        spec.match !== undefined &&
        constraints.equivalenceKey(spec) !== null &&
        !canStartOn(machine, freeAfter)
      )
        continue;
      const victims = chooseVictims(
        tree,
        preemptor,
        candidates,
        (stopped) => {
          Object.assign(freeAfter, free);
          for (const id of stopped) addFreed(this.#candidates.get(id)!, 1);
          return canStartOn(machine, freeAfter);
        },
        MAX_VICTIMS_PER_TASK,
      );
      if (victims.length === 0) continue;
      const cost = this.#cost(victims, tree);
      const order = best === null ? -1 : cost.findIndex((value, i) => value !== bestCost[i]);
      if (best === null || (order >= 0 && cost[order]! < bestCost[order]!)) {
        best = { hosts: [machine], victims };
        bestCost = cost;
      }
    }
    return best;
  }

  /** Cost of victims that must be stopped together, in the order of KEP-1714; lower is better. */
  #cost(victims: readonly SelectedVictim[], tree: PlacementPass["tree"]): number[] {
    const greedy = victims.some(({ reason }) => reason === "greedy") ? 1 : 0;
    const notPreemptible = victims.some(({ reason }) => reason !== "yield") ? 1 : 0;
    const notLent = victims.some(({ victim }) => victim.lent !== true) ? 1 : 0;
    const preemptionValue = victims.reduce(
      (sum, { victim }) => sum + (victim.preemptionValue ?? 0),
      0,
    );
    const share = Math.min(...victims.map(({ victim }) => tree.share(victim.team)));
    const rank = Math.max(...victims.map(({ victim }) => victim.rank));
    const cpus = victims.reduce((sum, { victim }) => sum + victim.size.cpus, 0);
    const loss = victims.reduce((sum, { victim }) => sum + victim.loss, 0);
    return [greedy, notPreemptible, preemptionValue, notLent, -share, rank, cpus, loss];
  }

  /** For a gang: finds victims on any machines so that all its waiting tasks fit. */
  #planOnManyMachines(
    job: Job,
    preemptor: Preemptor,
    pass: PlacementPass,
  ): { hosts: Machine[]; victims: SelectedVictim[] } | null {
    const { spec } = job;
    const count = Math.round(preemptor.size.cpus / Math.max(spec.cpus, 1e-9)) || job.pending;
    const { constraints } = this.ctx;
    const hosts = pass.machines.filter((machine) => kindAllowed(spec, machine));
    const tryPlace = (stopped: ReadonlySet<string>): Machine[] | null => {
      const freeAfter = new Map<Machine, Resources>();
      const freeOn = (machine: Machine): Resources => {
        let free = freeAfter.get(machine);
        if (free === undefined) {
          free = { ...this.#freeResources.get(machine)! };
          freeAfter.set(machine, free);
        }
        return free;
      };
      for (const id of stopped) {
        const candidate = this.#candidates.get(id)!;
        for (const { machine } of candidate.tasks) addResources(freeOn(machine), candidate.spec, 1);
      }
      const chosen: Machine[] = [];
      for (const machine of hosts) {
        while (
          chosen.length < count &&
          fitsResources(freeOn(machine), spec) &&
          (spec.match === undefined || constraints.rank(spec, machine, freeOn(machine)) !== null)
        ) {
          addResources(freeOn(machine), spec, -1);
          chosen.push(machine);
        }
        if (chosen.length === count) return chosen;
      }
      return null;
    };
    const victims = chooseVictims(
      pass.tree,
      preemptor,
      [...this.#candidates.values()],
      (stopped) => tryPlace(stopped) !== null,
      MAX_VICTIMS_PER_TASK,
    );
    const chosen = tryPlace(new Set(victims.map(({ victim }) => victim.id)));
    return chosen === null ? null : { hosts: chosen, victims };
  }

  /** Stops a candidate's tasks, for a job of this part or (null) for the same team elsewhere. */
  #stopVictim(
    candidate: Candidate,
    reason: SelectedVictim["reason"],
    job: Job | null,
    { tree }: PlacementPass,
  ): void {
    const { id, spec, team, size, tasks } = candidate;
    this.#candidates.delete(id);
    // Preemptible tasks get no time to save: no other team's task is to wait for that.
    const saves = spec.checkpointS > 0 && reason !== "yield";
    const graceS = saves ? spec.saveS + this.ctx.reportMs / 1000 : 0;
    for (const { allocation, machine } of tasks) {
      this.workers.stop(allocation, graceS, reason);
      addResources(this.#freeResources.get(machine)!, spec, 1);
      const onMachine = this.#candidatesByMachine.get(machine)!;
      const position = onMachine.indexOf(candidate);
      if (position >= 0) onMachine.splice(position, 1);
    }
    tree.charge(team, size, -1);
    const preemptorTeam = job?.spec.team ?? team;
    this.ctx.metrics.add({ kind: "preempted", team, by: preemptorTeam, reason });
    this.ctx.log.info({ task: id, team, for: job?.id, preemptorTeam, reason }, "task preempted");
  }
}
