import type { JobMatcher } from "../../src/extension/index.js";
import { ShareTree } from "../../src/fair/share.js";
import type { JobHeader } from "../../src/jobs/job-header.js";
import type { PartContext } from "../../src/part/context.js";
import { Ledger } from "../../src/part/ledger.js";
import { beginPass, Placement } from "../../src/part/placement.js";
import type { Quota } from "../../src/part/quota.js";
import { Summaries } from "../../src/part/summary.js";
import { defaultTuning } from "../../src/settings/tuning.js";
import { Mirror } from "../../src/state/mirror.js";
import type { MachineType } from "../../src/wire/cloud.js";
import type { JobSpec } from "../../src/wire/jobs.js";
import { PlacementConstraints } from "../../src/workers/placement-constraints.js";
import { FakeClock } from "./clock.js";
import { INITIAL_CONFIGURATION, LIMITS, quiet } from "./common.js";
import { Random } from "./random.js";
import { FakeState, FakeStore } from "./store.js";

export const plainSpec: JobSpec = {
  class: "test",
  team: "red",
  kind: "array",
  rank: 1,
  tasks: 1,
  cpus: 1,
  gpus: 0,
  memGb: 1,
  image: null,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

/** Runs the core's placement on given machines, without a store, workers or limits. */
export class PlacementBench {
  readonly clock = new FakeClock();
  readonly mirror: Mirror;
  readonly ledger: Ledger;
  readonly placement: Placement;
  readonly ctx: PartContext;
  #jobs = 0;

  constructor(
    readonly types: ReadonlyMap<string, MachineType>,
    matcher: JobMatcher | null,
    teams: readonly string[] = ["red"],
  ) {
    const state = new FakeState(this.clock, LIMITS);
    const store = new FakeStore(state, this.clock, new Random(1), LIMITS, 1000);
    this.mirror = new Mirror(store, this.clock, quiet, 1000);
    const teamSettings = teams.map((name) => ({
      name,
      cpus: 2,
      gpus: 0,
      cpus_max: 1e6,
      gpus_max: 1e6,
    }));
    const { groups } = defaultTuning(teamSettings);
    this.ctx = {
      index: 0,
      store,
      mirror: this.mirror,
      clock: this.clock,
      log: quiet,
      policy: null,
      configuration: INITIAL_CONFIGURATION,
      constraints: new PlacementConstraints(matcher),
      isBorrower: () => false,
      types: () => types,
      newShareTree: () => new ShareTree(groups),
      summaries: new Summaries(),
      targets: new Map(),
      guaranteed: () => new Set<string>(),
      onTime: () => new Set<string>(),
      reportMs: 2000,
      leaseMs: 12_000,
    } as unknown as PartContext;
    this.ledger = new Ledger(this.ctx);
    this.placement = new Placement(this.ctx, this.ledger, {
      fits: () => true,
      excessCpus: () => 0,
      shortages: new Map(),
    } as unknown as Quota);
  }

  machine(id: string, type: string, zone: string, spot: boolean): void {
    const machine = this.ledger.machine(id);
    Object.assign(machine, { type, zone, spot, hasOurToken: true });
  }

  job(spec: Partial<JobSpec>, id = `wk-${++this.#jobs}`): string {
    const fullSpec = { ...plainSpec, ...spec };
    const header: JobHeader = {
      status: "open",
      spec: fullSpec,
      owners: "0",
      chunkSize: fullSpec.tasks,
      at: this.#jobs,
      started: false,
      moves: 0,
      tasks: fullSpec.tasks,
    };
    this.mirror.apply({ key: `w/j/${id}`, value: header, version: ++this.#jobs, deleted: false });
    const { job, chunks } = this.ledger.missingChunks(id, header)!;
    for (const index of chunks) this.ledger.adopt(job, index, null);
    return id;
  }

  pass(): void {
    const pass = beginPass(this.ctx, this.ledger);
    // Every machine has just reported.
    for (const machine of this.ledger.machines.values()) machine.lastSeen = this.clock.now();
    this.placement.run(pass);
  }

  /** The machines of a job's tasks, by task number. */
  where(id: string): string[] {
    const job = this.ledger.jobs.get(id);
    return [...(job?.chunks.values() ?? [])].flatMap((chunk) =>
      [...chunk.allocations.values()]
        .sort((a, b) => a.index - b.index)
        .map(({ machine }) => machine),
    );
  }

  /** Releases all allocations of a job. */
  clear(id: string): void {
    for (const chunk of this.ledger.jobs.get(id)?.chunks.values() ?? []) {
      for (const allocation of [...chunk.allocations.values()])
        this.ledger.release(allocation, false);
    }
  }
}
