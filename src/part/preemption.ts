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
import { type Job, rankOf } from "./job.js";
import type { Ledger } from "./ledger.js";
import { floorOf, lentUse } from "./lending.js";
import type { Pass } from "./placement.js";
import type { Quota } from "./quota.js";
import { type QuotaShortage, quotaShortages } from "./quota-shortage.js";
import type { Workers } from "./workers.js";

/** A task that may be stopped, or the tasks of a gang, which count whole (DESIGN). */
interface Candidate extends Victim {
  tasks: { live: Allocation; machine: Machine }[];
  spec: JobSpec;
}

/** Tasks that are stopped for one waiting task at most, and waiting tasks looked at in one go. */
const MOST_PICKS = 16;
const MOST_ASKERS = 16;

/** Makes room for jobs that have a right to it, by the rules of KEP-1714. */
export class Preemption {
  /** Room that is about to be free, and what this pass has given away of it. */
  #rooms = new Map<Machine, Resources>();
  #candidates = new Map<string, Candidate>();
  #byMachine = new Map<Machine, Candidate[]>();
  #at = Number.NEGATIVE_INFINITY;
  #evenedAt: number;

  constructor(
    readonly ctx: PartContext,
    readonly ledger: Ledger,
    readonly quota: Quota,
    readonly workers: Workers,
  ) {
    this.#evenedAt = ctx.clock.now();
  }

  run(blocked: readonly Job[], pass: Pass): void {
    const { now, machines, guaranteed } = pass;
    // Commands reach a worker once a report: looking more often than that finds little new.
    if (now - this.#at < this.ctx.reportMs / 8) return;
    this.#at = now;
    // Every part evens out by itself and sees the others' use a little late: all at once they
    // would overshoot, and the next moment the other way round.
    let even = this.ctx.evenOut && now - this.#evenedAt > this.ctx.leaseMs;
    // What is within a guarantee does not wait; anything else gives room a chance to turn up.
    const { policy: rules } = this.ctx;
    // Those who yield make room without delay, and never ask for any.
    const prompt = rules !== null && this.#any(machines, (spec) => rules.preemptible(spec.team));
    // Lent room that costs a save to have back: a report later, if none has turned up until then.
    const lent =
      this.#beyondFloor(pass) > 0 && this.#any(machines, (spec) => this.#givesBack(spec));
    const askers = blocked.filter(
      (job) =>
        rules?.preemptible(job.spec.team) !== true &&
        (prompt ||
          guaranteed.has(job.id) ||
          now - job.waitingSince >= (lent ? this.ctx.reportMs : this.ctx.leaseMs)),
    );
    const timely = this.ctx.onTime();
    const missing = quotaShortages(blocked, timely, this);
    if (askers.length === 0 && missing.size === 0) return;
    this.#collect(pass);
    this.#freeQuota(missing, pass);
    const hopeless = new Set<string>();
    let left = MOST_ASKERS;
    for (const job of askers) {
      const { spec } = job;
      let { pending } = job;
      for (const machine of machines) pending -= machine.reserved.get(job.id)?.tasks ?? 0;
      if (pending <= 0) continue;
      const together = spec.kind === "gang" ? pending : 1;
      if (!this.quota.fits(spec, together)) continue;
      const entitled = guaranteed.has(job.id);
      const rank = entitled ? spec.rank : rankOf(job, timely);
      // Asked early only for the sake of those who yield: the others are not concerned yet.
      const waited = now - job.waitingSince - this.ctx.leaseMs;
      const early = waited < 0 && now - job.waitingSince < this.ctx.reportMs;
      const patience = early && prompt ? -1 : Math.max(0, waited);
      const asker: Preemptor = {
        team: spec.team,
        rank,
        size: { cpus: spec.cpus * together, gpus: spec.gpus * together },
        withinGuarantee: entitled,
        borrower: this.ctx.isBorrower(spec.team),
        maxLoss: patience,
        // Nothing has a loss below zero.
        maxFairLoss: even && waited >= 0 ? waited / this.ctx.patience : -1,
      };
      // Another job like it, with the same rights, has just found nothing.
      const answers = this.ctx.constraints.equivalenceKey(spec);
      const like =
        entitled || waited < 0
          ? `${entitled}/${spec.team}/${rank}/${spec.cpus}/${spec.memGb}/${spec.spot}/${answers ?? job.id}`
          : "";
      if (hopeless.has(like)) continue;
      for (; pending > 0 && left > 0; pending -= together) {
        left--;
        const found =
          together === 1 ? this.#onOne(job, asker, pass) : this.#onMany(job, asker, pass);
        if (found === null) {
          if (like !== "") hopeless.add(like);
          break;
        }
        for (const { victim, reason } of found.picks) {
          if (reason === "fair" || reason === "greedy") {
            even = false;
            asker.maxFairLoss = -1;
            this.#evenedAt = now;
          }
          this.#stop(this.#candidates.get(victim.id)!, reason, job, pass);
        }
        for (const machine of found.hosts) {
          addResources(this.#rooms.get(machine)!, spec, -1);
          const kept = machine.reserved.get(job.id);
          if (kept !== undefined) kept.tasks++;
          else machine.reserved.set(job.id, { tasks: 1, spec, until: now + this.ctx.leaseMs });
        }
        pass.tree.charge(spec.team, asker.size);
      }
      if (left === 0) return;
    }
  }

  #any(machines: readonly Machine[], of: (spec: JobSpec) => boolean): boolean {
    return machines.some((machine) => {
      for (const { chunk } of machine.allocations.values()) if (of(chunk.spec)) return true;
      return false;
    });
  }

  /** Whether stopping a task gives lent room back and costs only its save. */
  #givesBack({ team, checkpointS }: JobSpec): boolean {
    return checkpointS > 0 && this.ctx.isBorrower(team);
  }

  /**
   * Where a team's limit is what its jobs wait for, other teams' tasks do not help: tasks of its
   * own make room, those of lower priority that save when they are stopped. First those that have
   * not begun, then those that have run longest, whose start has been of use.
   */
  #freeQuota(missing: ReadonlyMap<string, QuotaShortage>, pass: Pass): void {
    const begun = ({ tasks }: Candidate): number => {
      const { live } = tasks[0]!;
      return live.running ? live.since : Number.NEGATIVE_INFINITY;
    };
    for (const [team, { cpus, rank, job }] of missing) {
      const victims = [...this.#candidates.values()]
        .filter((c) => c.team === team && c.spec.checkpointS > 0 && c.rank < rank)
        .sort((a, b) => a.rank - b.rank || begun(a) - begun(b));
      let left = cpus;
      for (const victim of victims) {
        if (left <= 0) break;
        left -= victim.size.cpus;
        this.#stop(victim, "priority", job, pass);
      }
    }
  }

  /** CPUs that are lent beyond what teams without a guarantee have in any case. */
  #beyondFloor({ machines, types }: Pass): number {
    return lentUse(this) - floorOf(machines, types);
  }

  #collect(pass: Pass): void {
    const { machines, types, now } = pass;
    const { policy: rules, index } = this.ctx;
    let beyond = this.#beyondFloor(pass);
    this.#rooms = new Map();
    this.#candidates = new Map();
    this.#byMachine = new Map();
    for (const machine of machines) {
      const room = { ...machine.freeResources(types.get(machine.type)) };
      const here: Candidate[] = [];
      for (const live of machine.allocations.values()) {
        const { spec } = live.chunk;
        if (live.stopRequest !== null) {
          addResources(room, spec, 1);
          continue;
        }
        if (live.firstReportedAt === null) continue;
        const kept =
          spec.checkpointS > 0 ? (spec.saveS + spec.checkpointS) * 1000 : Number.POSITIVE_INFINITY;
        // Stopping costs more than the work: it has to be started, and its image fetched, anew.
        const loss = this.ctx.leaseMs + Math.min(now - live.since, kept);
        const id = spec.kind === "gang" ? live.chunk.job : live.task;
        let candidate = this.#candidates.get(id);
        if (candidate === undefined) {
          const { team, rank } = spec;
          const size = { cpus: 0, gpus: 0 };
          candidate = { id, team, rank, size, loss: 0, tasks: [], spec };
          if (rules?.preemptible(team) === true)
            candidate.preemptionValue = rules.preemptionValue(team, index);
          if (beyond > 0 && this.#givesBack(spec)) {
            candidate.lent = true;
            beyond -= spec.cpus;
          }
          this.#candidates.set(id, candidate);
        }
        candidate.size = addAmounts(candidate.size, spec);
        candidate.loss += loss;
        candidate.tasks.push({ live, machine });
        if (!here.includes(candidate)) here.push(candidate);
      }
      this.#rooms.set(machine, withoutReservations(room, machine, null));
      this.#byMachine.set(machine, here);
    }
  }

  /**
   * For one task: the machine where the least deserving tasks make room for it. Candidates are
   * ranked as in KEP-1714, but among those of one machine: the highest-ranked ones of the whole
   * part are on as many machines, and stopping them makes no room for a large task on any.
   */
  #onOne(
    job: Job,
    asker: Preemptor,
    { tree, machines }: Pass,
  ): { hosts: Machine[]; picks: SelectedVictim[] } | null {
    const { spec } = job;
    const concerned = new Map<string, boolean>();
    const concerns = ({
      team,
      rank,
      preemptionValue: yields,
      lent = false,
    }: Candidate): boolean => {
      if (yields !== undefined) return true;
      if (team === asker.team) return rank < asker.rank;
      const key = `${lent}/${team}`;
      let known = concerned.get(key);
      if (known === undefined) {
        known = canPreemptFrom(tree, asker, team, lent);
        concerned.set(key, known);
      }
      return known;
    };
    let best: { hosts: Machine[]; picks: SelectedVictim[] } | null = null;
    let bestCost: number[] = [];
    const { constraints: places } = this.ctx;
    // Nothing is stopped for room that the job's requirements, as they will be then, rule out.
    const takes = (machine: Machine, room: Resources): boolean =>
      fitsResources(room, spec) &&
      (spec.match === undefined || places.rank(spec, machine, room) !== null);
    for (const machine of machines) {
      if (!kindAllowed(spec, machine) || machine.failedJobs.has(job.id)) continue;
      const room = this.#rooms.get(machine)!;
      if (takes(machine, room)) return { hosts: [machine], picks: [] };
      const here = this.#byMachine.get(machine)!.filter(concerns);
      if (here.length === 0) continue;
      const after = { ...room };
      const freed = (victim: Victim, sign: 1 | -1): void => {
        for (const task of this.#candidates.get(victim.id)!.tasks) {
          if (task.machine === machine) addResources(after, task.live.chunk.spec, sign);
        }
      };
      for (const victim of here) freed(victim, 1);
      if (!fitsResources(after, spec)) continue;
      if (
        spec.match !== undefined &&
        places.equivalenceKey(spec) !== null &&
        !takes(machine, after)
      )
        continue;
      const picks = chooseVictims(
        tree,
        asker,
        here,
        (stopped) => {
          Object.assign(after, room);
          for (const id of stopped) freed(this.#candidates.get(id)!, 1);
          return takes(machine, after);
        },
        MOST_PICKS,
      );
      if (picks.length === 0) continue;
      const cost = this.#cost(picks, tree);
      const order = best === null ? -1 : cost.findIndex((value, i) => value !== bestCost[i]);
      if (best === null || (order >= 0 && cost[order]! < bestCost[order]!)) {
        best = { hosts: [machine], picks };
        bestCost = cost;
      }
    }
    return best;
  }

  /** Lower is better: the order of KEP-1714 for what has to be stopped together. */
  #cost(picks: readonly SelectedVictim[], tree: Pass["tree"]): number[] {
    const greedy = picks.some(({ reason }) => reason === "greedy") ? 1 : 0;
    const others = picks.some(({ reason }) => reason !== "yield") ? 1 : 0;
    const own = picks.some(({ victim }) => victim.lent !== true) ? 1 : 0;
    const worth = picks.reduce((sum, { victim }) => sum + (victim.preemptionValue ?? 0), 0);
    const share = Math.min(...picks.map(({ victim }) => tree.share(victim.team)));
    const rank = Math.max(...picks.map(({ victim }) => victim.rank));
    const cpus = picks.reduce((sum, { victim }) => sum + victim.size.cpus, 0);
    const loss = picks.reduce((sum, { victim }) => sum + victim.loss, 0);
    return [greedy, others, worth, own, -share, rank, cpus, loss];
  }

  /** For a gang, whose tasks may be on any machines. */
  #onMany(
    job: Job,
    asker: Preemptor,
    pass: Pass,
  ): { hosts: Machine[]; picks: SelectedVictim[] } | null {
    const { spec } = job;
    const count = Math.round(asker.size.cpus / Math.max(spec.cpus, 1e-9)) || job.pending;
    const { constraints: places } = this.ctx;
    const hosts = pass.machines.filter((machine) => kindAllowed(spec, machine));
    const place = (stopped: ReadonlySet<string>): Machine[] | null => {
      const freed = new Map<Machine, Resources>();
      const roomOf = (machine: Machine): Resources => {
        let room = freed.get(machine);
        if (room === undefined) {
          room = { ...this.#rooms.get(machine)! };
          freed.set(machine, room);
        }
        return room;
      };
      for (const id of stopped) {
        const candidate = this.#candidates.get(id)!;
        for (const { machine } of candidate.tasks) addResources(roomOf(machine), candidate.spec, 1);
      }
      const chosen: Machine[] = [];
      for (const machine of hosts) {
        while (
          chosen.length < count &&
          fitsResources(roomOf(machine), spec) &&
          (spec.match === undefined || places.rank(spec, machine, roomOf(machine)) !== null)
        ) {
          addResources(roomOf(machine), spec, -1);
          chosen.push(machine);
        }
        if (chosen.length === count) return chosen;
      }
      return null;
    };
    const picks = chooseVictims(
      pass.tree,
      asker,
      [...this.#candidates.values()],
      (stopped) => place(stopped) !== null,
      MOST_PICKS,
    );
    const chosen = place(new Set(picks.map(({ victim }) => victim.id)));
    return chosen === null ? null : { hosts: chosen, picks };
  }

  /** Stops for a job of this part, or for one of the same team elsewhere. */
  #stop(
    candidate: Candidate,
    reason: SelectedVictim["reason"],
    job: Job | null,
    { tree }: Pass,
  ): void {
    const { id, spec, team, size, tasks } = candidate;
    this.#candidates.delete(id);
    // Nobody's task queues behind the save of one that yields.
    const saves = spec.checkpointS > 0 && reason !== "yield";
    const grace = saves ? spec.saveS + this.ctx.reportMs / 1000 : 0;
    for (const { live, machine } of tasks) {
      this.workers.stop(live, grace, reason);
      addResources(this.#rooms.get(machine)!, spec, 1);
      const here = this.#byMachine.get(machine)!;
      const at = here.indexOf(candidate);
      if (at >= 0) here.splice(at, 1);
    }
    tree.charge(team, size, -1);
    const asker = job?.spec.team ?? team;
    this.ctx.metrics.add({ kind: "preempted", team, by: asker, reason });
    this.ctx.log.info({ task: id, team, for: job?.id, asker, reason }, "task preempted");
  }
}
