import assert from "node:assert/strict";
import { test } from "node:test";
import {
  beginArchive,
  type Candidates,
  decodeLeaf,
  END_OF_RANGES,
  encodeLeaf,
  Lookups,
  leafKey,
  Mover,
} from "../src/archive/index.js";
import { History } from "../src/controller/history.js";
import { JobApi } from "../src/controller/job-api.js";
import { Refusals } from "../src/controller/refusals.js";
import type { Core } from "../src/extension/index.js";
import type { Reply } from "../src/http/server.js";
import {
  doneHeader,
  isJobHeader,
  type JobHeader,
  withPartReleased,
} from "../src/jobs/job-header.js";
import type { JobOutcome } from "../src/jobs/job-outcome.js";
import { StateService } from "../src/local/state.js";
import { Layout } from "../src/membership/layout.js";
import { Metrics } from "../src/metrics.js";
import { Summaries } from "../src/part/summary.js";
import { DependencyTracker } from "../src/pipeline/index.js";
import { JOB_HEADER_PREFIX, keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import type { Change, Condition, Row } from "../src/state/store.js";
import { PlacementConstraints } from "../src/workers/placement-constraints.js";
import { FakeClock } from "./support/clock.js";
import { bodyOf, LIMITS, quiet, WITHOUT_CLAIMS_OR_PEERS } from "./support/common.js";
import {
  type Choices,
  ChosenStore,
  explore,
  RequestScheduler,
  type Scene,
} from "./support/model-checker.js";
import { plainSpec } from "./support/placement-bench.js";
import { settingsFor } from "./support/platform-settings.js";

const TEAMS = [{ name: "red", cpus: 8, max: 8 }];
/** Leaves are so small that a move of two jobs splits them. */
const SMALL_LIMITS = { ...LIMITS, valueBytes: 1000, txnBytes: 520 };
const DONE_JOB = "wk-0005";
const NEW_JOB = "wk-0006";
const WALL = 1_700_000_000_000;

const archivedOutcome: JobOutcome = {
  status: "done",
  tasks: 1,
  done: 1,
  at: WALL,
  over: WALL,
  team: "red",
};

const submission = (id: string): object => ({
  ...{ uid: id, eidos: "t", owner: "red", shape: "batch", urgency: "normal", pieces: 1, cores: 1 },
  ...{ accelerators: 0, memGb: 1, together: false, scatter: false, borrowed: true, expectS: 1 },
  ...{ stashEveryS: 0, stashS: 0 },
});

const open: JobHeader = {
  ...{ status: "open", spec: plainSpec, owners: "0", chunkSize: 1, at: WALL, started: true },
  ...{ moves: 0, tasks: 1 },
};
const done = doneHeader({ ...open, owners: "x" }, WALL);

interface Options {
  faults: number;
  /** Selects conditions to omit from all transactions, as if the code lacked them. */
  omit?: (condition: Condition, changes: readonly Change[]) => boolean;
  archive?: boolean;
}

/** A store, with or without an archive, and controllers that each have their own view of it. */
class ArchiveModel {
  readonly clock = new FakeClock();
  readonly state: StateService;
  readonly wire: RequestScheduler;
  /** Finished jobs with their final status, which must not change. */
  readonly finalStatus = new Map<string, string>();
  readonly accepted = new Set<string>();
  /** Requests to make before the actors start. */
  prepare: (() => Promise<unknown>) | null = null;

  constructor(choices: Choices, { faults, omit, archive = true }: Options) {
    this.state = new StateService(this.clock, SMALL_LIMITS);
    this.wire = new RequestScheduler(this.state, choices, faults, () => this.check());
    if (archive) {
      const entries = ["wk-0001", "wk-0004", "wk-0009"].map((id) => [id, archivedOutcome] as const);
      this.put(leafKey(END_OF_RANGES), encodeLeaf("", entries));
      this.put(keys.schema, { version: 2 });
      for (const [id] of entries) this.finalStatus.set(id, "done");
    }
    const transact = this.state.transact.bind(this.state);
    if (omit !== undefined) {
      this.state.transact = (when, then) =>
        transact(
          when.filter((one) => !omit(one, then)),
          then,
        );
    }
  }

  put(key: string, value: unknown): void {
    this.state.transact([], [{ put: key, value }]);
  }

  header(id: string, value: JobHeader): void {
    this.put(keys.job(id), value);
    this.accepted.add(id);
    if (value.status !== "open") this.finalStatus.set(id, value.status);
  }

  /** A controller whose mirror has all current rows and receives no later changes. */
  controller(who: string): { core: Core; users: JobApi; lookups: Lookups; history: History } {
    const store = new ChosenStore(this.wire, who, SMALL_LIMITS, this.clock);
    const mirror = new Mirror(store, this.clock, quiet, 1000);
    const machineType = {
      cpus: 4,
      gpus: 0,
      memGb: 8,
      bootS: 1,
      zones: ["a"],
      price: 1,
      spotPrice: 1,
    };
    const types = new Map([["m", { name: "m", ...machineType }]]);
    const core: Core = {
      settings: settingsFor(0, 1, TEAMS),
      log: quiet,
      clock: this.clock,
      store,
      mirror,
      layout: new Layout([{ name: "n0", zone: "a" }]),
      summaries: new Summaries(),
      ...WITHOUT_CLAIMS_OR_PEERS,
      types: () => types,
      staleness: () => 0,
      inspect: () => [],
      rental: () => null,
    };
    const history = new History(
      core,
      { keep: 0, ageMs: 0 },
      () => false,
      () => false,
    );
    for (const [key, { value, version }] of this.state.rows) {
      if (key.startsWith("w/") && !key.startsWith("w/j/"))
        mirror.apply({ key, value, version, deleted: false });
    }
    mirror.ready = true;
    // Waiting for a revision delivers the schema row, and nothing else.
    mirror.waitForRevision = async () => {
      const row = this.state.rows.get(keys.schema);
      if (row !== undefined) mirror.apply({ key: keys.schema, ...row, deleted: false });
    };
    mirror.waitUntilCurrent = async () => {
      // One listing, which shows every change made before it is executed.
      const { rows, revision } = await store.list(JOB_HEADER_PREFIX);
      const present = new Set(rows.map(({ key }) => key));
      for (const row of rows) mirror.apply({ ...row, deleted: false });
      for (const key of mirror.rows.keys()) {
        const gone = key.startsWith(JOB_HEADER_PREFIX) && !present.has(key);
        if (gone) mirror.apply({ key, value: undefined, version: revision, deleted: true });
      }
    };
    const teamLimits = new Map([["red", { cpus: 8, gpus: 0 }]]);
    const metrics = new Metrics(this.clock, 1e9);
    const refusals = new Refusals(new Set(teamLimits.keys()), this.clock, quiet, metrics, 1000);
    const constraints = new PlacementConstraints(null);
    const findArchived = (id: string) => history.find(id);
    const pipelines = new DependencyTracker(mirror, store, this.clock, quiet, 1000, findArchived);
    const users = new JobApi(
      core,
      (team) => teamLimits.get(team),
      new Map(),
      [],
      constraints,
      history,
      refusals,
      () => true,
      pipelines,
    );
    return { core, users, lookups: new Lookups(store, this.clock, quiet, 1), history };
  }

  /** A leader that archives finished jobs, with headers as its watch delivered them at some moment. */
  mover(who: string, seen: readonly Row[], steps: number): () => Promise<void> {
    const { core, lookups } = this.controller(who);
    let left = [...seen].sort((a, b) => (a.key < b.key ? -1 : 1));
    const drop = (rows: readonly Row[]): void => {
      left = left.filter(({ key }) => !rows.some((row) => row.key === key));
    };
    const candidates: Candidates = { take: async () => left, gone: drop, setAside: drop };
    const leading = { token: 1, claim: { key: keys.leader2, version: 1 }, valid: () => true };
    const mover = new Mover(core, lookups, candidates, leading);
    return async () => {
      // Like the leader's loop, it retries a step that failed.
      for (let step = 0; step < steps; step++) await mover.step().catch(() => undefined);
    };
  }

  rows(...ids: string[]): Row[] {
    return ids.map((id) => {
      const key = keys.job(id);
      return { key, ...this.state.rows.get(key)! };
    });
  }

  get archived(): Map<string, JobOutcome> {
    const found = new Map<string, JobOutcome>();
    let from = "";
    for (const key of [...this.state.rows.keys()].filter((k) => k.startsWith("a/j/")).sort()) {
      const leaf = decodeLeaf({ key, ...this.state.rows.get(key)! });
      assert.equal(leaf.from, from, "leaves follow each other without a gap");
      from = leaf.last;
      for (const [id, past] of leaf.entries) {
        assert.ok(!found.has(id), `${id} is in two leaves`);
        found.set(id, past);
      }
    }
    return found;
  }

  check(): void {
    const archived = this.archived;
    const ids = new Set([...this.accepted, ...this.finalStatus.keys()]);
    for (const [key, { value }] of this.state.rows) {
      if (!key.startsWith("w/j/") || !isJobHeader(value)) continue;
      const id = key.slice(4);
      ids.add(id);
      assert.ok(!archived.has(id), `${id} is archived and has a header: ${value.status}`);
      const was = this.finalStatus.get(id);
      if (was !== undefined) assert.equal(value.status, was, `${id} changed its final status`);
      if (value.status !== "open") this.finalStatus.set(id, value.status);
    }
    for (const id of ids) {
      const has = archived.has(id) || this.state.rows.has(keys.job(id));
      assert.ok(has, `${id} is neither archived nor has a header`);
    }
    for (const [id, status] of this.finalStatus) {
      const past = archived.get(id);
      if (past !== undefined) assert.equal(past.status, status);
    }
  }
}

/** Verifies that an answer to a user is among those allowed; 503 is always allowed. */
function assertAnswer(reply: Reply, ...allowed: [status: number, state?: string][]): void {
  const given = bodyOf(reply) as { status?: string };
  if (reply.status === 503) return;
  const fits = allowed.some(([status, state]) => status === reply.status && state === given.status);
  assert.ok(fits, `answered ${reply.status} ${given.status}`);
}

type Actor = () => Promise<void>;

interface Scenario {
  faults: number;
  /** Whether an archive exists from the start. */
  archive?: boolean;
  /** Prepares the store and returns the actors that run concurrently. */
  actors(model: ArchiveModel): Actor[];
}

/** Two finished jobs, and one leaf that is split when both are added. */
const twoDoneJobs = (model: ArchiveModel): Row[] => {
  for (const id of [DONE_JOB, "wk-0007"]) model.header(id, done);
  return model.rows(DONE_JOB, "wk-0007");
};

const SCENARIOS: Record<string, Scenario> = {
  "a submission is retried while its job is archived and the leaf split": {
    faults: 1,
    actors: (model) => {
      const mover = model.mover("leader", twoDoneJobs(model), 2);
      const { users, history } = model.controller("user");
      // Its cached leaf is from before the move.
      model.prepare = () => history.find(DONE_JOB);
      return [
        mover,
        async () => assertAnswer(await users.submit(submission(DONE_JOB)), [200, "done"]),
      ];
    },
  },
  "two controllers that both believe to be leader archive the same jobs": {
    faults: 1,
    actors: (model) => {
      const seen = twoDoneJobs(model);
      return [model.mover("old", seen, 2), model.mover("new", seen, 2)];
    },
  },
  "two controllers that both believe to be leader archive different jobs into one leaf": {
    faults: 1,
    actors: (model) => {
      const [first, second] = twoDoneJobs(model);
      return [model.mover("old", [first!], 2), model.mover("new", [second!], 2)];
    },
  },
  "a new job is submitted while its leaf is split": {
    faults: 1,
    actors: (model) => {
      const mover = model.mover("leader", twoDoneJobs(model), 2);
      const { users } = model.controller("user");
      const submit = async (): Promise<void> => {
        const reply = await users.submit(submission(NEW_JOB));
        assertAnswer(reply, [201, "pending"], [200, "pending"]);
        if (reply.status !== 503) model.accepted.add(NEW_JOB);
      };
      return [mover, submit];
    },
  },
  "polls and a cancellation are concurrent with archiving": {
    faults: 0,
    actors: (model) => {
      model.header(DONE_JOB, done);
      const [a, b, c] = ["poll", "withdraw", "stranger"].map((who) => model.controller(who).users);
      return [
        model.mover("leader", model.rows(DONE_JOB), 1),
        async () => assertAnswer(await a!.show(DONE_JOB), [200, "done"]),
        async () => assertAnswer(await b!.cancel(DONE_JOB), [200, "done"]),
        async () => assertAnswer(await c!.show("wk-0008"), [404]),
      ];
    },
  },
  "a job is cancelled, released by its part and archived while the cancellation is repeated": {
    faults: 1,
    actors: (model) => {
      model.header(DONE_JOB, open);
      const [a, b] = ["first", "second"].map((who) => model.controller(who).users);
      const { store } = model.controller("part").core;
      const key = keys.job(DONE_JOB);
      const part = async (): Promise<void> => {
        const row = await store.get(key);
        if (row === null || !isJobHeader(row.value) || row.value.status !== "cancelled") return;
        // The part has nothing left of the job and writes that into the header.
        const change = [{ put: key, value: withPartReleased(row.value, 0) }];
        await store.transact([{ key, version: row.version }], change).catch(() => undefined);
        if (model.state.rows.has(key)) await model.mover("leader", model.rows(DONE_JOB), 1)();
      };
      return [
        async () => assertAnswer(await a!.cancel(DONE_JOB), [200, "cancelled"]),
        async () => assertAnswer(await b!.cancel(DONE_JOB), [200, "cancelled"]),
        part,
      ];
    },
  },
  "a submission from before the archive existed is applied after its job was archived": {
    faults: 1,
    archive: false,
    actors: (model) => {
      model.put(keys.leader, { node: "n0", run: "r" });
      const version = model.state.rows.get(keys.leader)!.version;
      model.put(keys.types, []);
      model.put(keys.node("n0"), { run: "r", schema: 2 });
      const [early, later] = ["early", "later"].map((who) => model.controller(who).users);
      const answers: [number, string][] = [
        [201, "pending"],
        [200, "pending"],
        [200, "done"],
      ];
      const run = async (): Promise<void> => {
        // Without an answer it may be applied at any later time; the user retries at another controller.
        assertAnswer(await early!.submit(submission(NEW_JOB)), ...answers);
        const { core } = model.controller("leader");
        const claim = { key: keys.leader, version };
        const leading = { token: version, claim, valid: () => true };
        for (let i = 0; i < 2; i++) await beginArchive(core, leading).catch(() => undefined);
        const second = await later!.submit(submission(NEW_JOB));
        assertAnswer(second, ...answers);
        if (second.status === 503) return;
        model.accepted.add(NEW_JOB);
        const row = model.state.rows.get(keys.job(NEW_JOB));
        if (row === undefined || !isJobHeader(row.value) || row.value.status !== "open") return;
        model.header(NEW_JOB, doneHeader({ ...row.value, owners: "x" }, WALL));
        if (model.state.rows.has(keys.schema))
          await model.mover("leader", model.rows(NEW_JOB), 1)();
      };
      return [run];
    },
  },
};

function exploredScene(scenario: Scenario, choices: Choices, omit?: Options["omit"]): Scene {
  const model = new ArchiveModel(choices, {
    faults: scenario.faults,
    archive: scenario.archive,
    omit,
  });
  const actors = scenario.actors(model);
  return {
    wire: model.wire,
    prepare: async () => {
      await model.prepare?.();
    },
    actors,
    end: () => model.check(),
  };
}

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  test(`archive, all interleavings: ${name}`, async () => {
    const { ways, failure } = await explore((choices) => exploredScene(scenario, choices));
    const shown = failure === null ? "" : `${failure.error.stack}\n  ${failure.trace.join("\n  ")}`;
    assert.equal(failure, null, shown);
    assert.ok(ways > 20, `${ways} interleavings`);
  });
}

const isLeaf = ({ key }: Condition): boolean => key.startsWith("a/j/");
const puts = (changes: readonly Change[], prefix: string): boolean =>
  changes.some((one) => "put" in one && one.put.startsWith(prefix));

/** Each condition omitted once: some interleaving must then fail. */
const REQUIRED_CONDITIONS: [string, string, NonNullable<Options["omit"]>][] = [
  [
    "of a new job on its leaf",
    "a submission is retried while its job is archived and the leaf split",
    (condition, changes) => isLeaf(condition) && puts(changes, "w/j/"),
  ],
  [
    "of a move on the leaf",
    "two controllers that both believe to be leader archive different jobs into one leaf",
    (condition, changes) => isLeaf(condition) && puts(changes, "a/j/"),
  ],
  [
    "of a new job on the schema",
    "a submission from before the archive existed is applied after its job was archived",
    ({ key }, changes) => key === keys.schema && puts(changes, "w/j/"),
  ],
];

for (const [condition, scenario, omit] of REQUIRED_CONDITIONS) {
  test(`archive, all interleavings: without the condition ${condition}, an interleaving fails`, async () => {
    const { failure } = await explore((choices) =>
      exploredScene(SCENARIOS[scenario]!, choices, omit),
    );
    assert.notEqual(failure, null, "no interleaving failed");
  });
}
