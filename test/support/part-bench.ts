import assert from "node:assert/strict";
import type { ConfigurationInForce } from "../../src/configuration/index.js";
import type { PlacementPolicy } from "../../src/extension/index.js";
import { type Amounts, ShareTree } from "../../src/fair/share.js";
import type { Reply } from "../../src/http/server.js";
import { decodePage, type PageRecord } from "../../src/jobs/chunk-page.js";
import { Metrics } from "../../src/metrics.js";
import { Part } from "../../src/part/part.js";
import { Summaries, type Summary } from "../../src/part/summary.js";
import { DependencyTracker } from "../../src/pipeline/index.js";
import { defaultTuning } from "../../src/settings/tuning.js";
import { Mirror } from "../../src/state/mirror.js";
import type { Change, Row } from "../../src/state/store.js";
import type { Command, Report } from "../../src/wire/workers.js";
import { PlacementConstraints } from "../../src/workers/placement-constraints.js";
import { FakeClock } from "./clock.js";
import { bodyOf, INITIAL_CONFIGURATION, LIMITS, quiet } from "./common.js";
import { plainSpec } from "./placement-bench.js";
import { Random } from "./random.js";
import { FakeState, FakeStore } from "./store.js";

export const team = { name: "red", cpus: 8, gpus: 0, cpus_max: 8, gpus_max: 0 };
export const spec = plainSpec;

/** One part with fakes of all that it depends on, from the moment its owner takes it over. */
export class Bench {
  readonly clock = new FakeClock();
  readonly state: FakeState;
  readonly store: FakeStore;
  readonly mirror: Mirror;
  readonly goneMachines = new Set<string>();
  readonly onTimeJobs = new Set<string>();
  readonly borrowers = new Set<string>();
  token = 0;
  claimLost = false;
  allReadCurrentFormat = true;
  /** Number of passes over the jobs. */
  passCount = 0;
  reconcilingRestore = false;
  /** Summaries that the part has published. */
  readonly publishedSummaries: Summary[] = [];
  part!: Part;
  policy: PlacementPolicy | null = null;
  readonly limits = new Map<string, Amounts>([["red", { cpus: 8, gpus: 0 }]]);
  configuration: ConfigurationInForce = INITIAL_CONFIGURATION;

  constructor(limits = LIMITS) {
    this.state = new FakeState(this.clock, limits);
    this.store = new FakeStore(this.state, this.clock, new Random(7), limits, 1000);
    this.mirror = new Mirror(this.store, this.clock, quiet, 1000);
  }

  put(...changes: Change[]): void {
    assert.ok(this.state.transact([], changes).ok);
  }

  async takeOver(): Promise<void> {
    this.put({ put: "w/p/0", value: { node: "n0", run: "r" } });
    this.token = this.state.revision;
    void this.mirror.run();
    await this.clock.run(100);
    const records: Row[] = [...this.state.rows]
      .filter(([key]) => key.startsWith("c/0/"))
      .map(([key, { value, version }]) => ({ key, value, version }));
    const type = { cpus: 4, gpus: 0, memGb: 16, price: 1, spotPrice: 1, bootS: 10, zones: ["a"] };
    this.part = new Part(
      {
        index: 0,
        claim: { key: "w/p/0", version: this.token },
        ownerSuspected: () => false,
        allReadCurrentFormat: () => this.allReadCurrentFormat,
        pipelines: new DependencyTracker(
          this.mirror,
          this.store,
          this.clock,
          quiet,
          2000,
          async () => null,
        ),
        reconcilingRestore: () => this.reconcilingRestore,
        restoreReconciliationMs: 30_000,
        token: this.token,
        store: this.store,
        mirror: this.mirror,
        clock: this.clock,
        log: quiet,
        valid: () => true,
        constraints: new PlacementConstraints(null),
        types: () => new Map([["m4", { name: "m4", ...type }]]),
        newShareTree: () => {
          this.passCount++;
          return new ShareTree(defaultTuning([team]).groups);
        },
        evenOut: true,
        patience: 4,
        parts: 1,
        partsOf: () => [0],
        limits: this.limits,
        configuration: this.configuration,
        isBorrower: (team) => this.borrowers.has(team),
        policy: this.policy,
        targets: new Map(),
        goneMachines: this.goneMachines,
        metrics: new Metrics(this.clock, 1e9),
        summaries: new Summaries(),
        guaranteed: () => new Set(),
        onTime: () => this.onTimeJobs,
        sendCommands: () => undefined,
        publishSummary: (summary) => this.publishedSummaries.push(summary),
        reportMs: 2000,
        leaseMs: 12_000,
        onClaimLost: () => {
          this.claimLost = true;
        },
      },
      records,
    );
    this.mirror.on("w/j/", ({ key, value }) =>
      this.part.tell({ kind: "header", id: key.slice(4), header: value as never }),
    );
    this.mirror.on("w/g/", ({ value }) =>
      this.part.tell({ kind: "gone", machines: value as string[] }),
    );
  }

  async report(machine: string, given: Partial<Report>): Promise<Command[]> {
    let answer: Reply | null = null;
    const report: Report = {
      machine,
      address: "",
      type: "m4",
      zone: "a",
      spot: true,
      session: 1,
      seq: 1,
      token: this.token,
      noticeS: null,
      tasks: [],
      ...given,
    };
    this.part.tell({
      kind: "report",
      report,
      reply: (reply) => {
        answer = reply;
      },
    });
    // Some answers are delayed for a commit, for a bounded time.
    if (answer === null) await this.clock.run(250);
    const reply = answer as Reply | null;
    assert.ok(reply !== null);
    return reply.status === 200 ? (bodyOf(reply) as { orders: Command[] }).orders : [];
  }

  /** Attempt and machine of the task `wk-000001/0` according to the store, or null. */
  storedPlacement(): [number, string] | null {
    for (const [key, { value }] of this.state.rows) {
      if (!key.startsWith("c/0/p/")) continue;
      const live = decodePage(value as PageRecord).get("wk-000001/0")?.live[0];
      if (live !== undefined) return [live.attempt, live.machine];
    }
    return null;
  }
}

export const header = (more: object = {}): object => ({
  status: "open",
  spec,
  owners: "0",
  chunkSize: 1,
  at: 0,
  started: true,
  moves: 0,
  tasks: 1,
  ...more,
});
/** Record of job `wk-000001` with its only task placed on `old`. */
export const PLACED: Change = {
  put: "c/0/p/0",
  value: { m: ["old"], c: { "wk-000001/0": [1, "", "0.1.0"] } },
};
export const running = { task: "wk-000001/0", attempt: 1, state: "running" as const, why: "" };
export const exited = (why: string) => ({ ...running, state: "exited" as const, why });
