import assert from "node:assert/strict";
import { test } from "node:test";
import {
  beginArchive,
  type Candidates,
  decodeLeaf,
  encodeLeaf,
  LAST,
  Lookups,
  leafKey,
  Mover,
} from "../src/archive/index.js";
import { History } from "../src/controller/history.js";
import { JobApi } from "../src/controller/job-api.js";
import { Refusals } from "../src/controller/refusals.js";
import type { Core } from "../src/extension/index.js";
import type { Reply } from "../src/http/server.js";
import { doneHeader, isHeader, type JobHeader, withPartReleased } from "../src/jobs/job-header.js";
import type { JobOutcome } from "../src/jobs/job-outcome.js";
import { StateService } from "../src/local/state.js";
import { Layout } from "../src/membership/layout.js";
import { Metrics } from "../src/metrics.js";
import { Summaries } from "../src/part/summary.js";
import { Pipelines } from "../src/pipeline/index.js";
import { JOB_HEADER_PREFIX, keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import type { Change, Condition, Row } from "../src/state/store.js";
import { PlacementConstraints } from "../src/workers/placement-constraints.js";
import { FakeClock } from "./support/clock.js";
import { ALONE, bodyOf, LIMITS, quiet } from "./support/common.js";
import { type Choices, ChosenStore, explore, type Scene, Wire } from "./support/model-checker.js";
import { plainSpec } from "./support/placement-bench.js";
import { settingsFor } from "./support/platform-settings.js";

const TEAMS = [{ name: "red", cpus: 8, max: 8 }];
/** Leaves so small that a move of two jobs divides them. */
const SMALL = { ...LIMITS, valueBytes: 1000, txnBytes: 520 };
const X = "wk-0005";
const NEW = "wk-0006";
const WALL = 1_700_000_000_000;

const over: JobOutcome = { status: "done", tasks: 1, done: 1, at: WALL, over: WALL, team: "red" };

const body = (id: string): object => ({
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
  /** Conditions that are left out of all transactions, as if the code did not have them. */
  without?: (condition: Condition, changes: readonly Change[]) => boolean;
  archive?: boolean;
}

/** A store with an archive, and as many controllers as are asked for, each with what it has heard. */
class Stage {
  readonly clock = new FakeClock();
  readonly state: StateService;
  readonly wire: Wire;
  /** Jobs that are over: they must stay so. */
  readonly final = new Map<string, string>();
  readonly accepted = new Set<string>();
  /** Whatever has to be asked before all begins. */
  before: (() => Promise<unknown>) | null = null;

  constructor(choices: Choices, { faults, without, archive = true }: Options) {
    this.state = new StateService(this.clock, SMALL);
    this.wire = new Wire(this.state, choices, faults, () => this.check());
    if (archive) {
      const entries = ["wk-0001", "wk-0004", "wk-0009"].map((id) => [id, over] as const);
      this.put(leafKey(LAST), encodeLeaf("", entries));
      this.put(keys.schema, { version: 2 });
      for (const [id] of entries) this.final.set(id, "done");
    }
    const real = this.state.transact.bind(this.state);
    if (without !== undefined) {
      this.state.transact = (when, then) =>
        real(
          when.filter((one) => !without(one, then)),
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
    if (value.status !== "open") this.final.set(id, value.status);
  }

  /** A controller that has heard all there is now, and hears nothing more. */
  controller(who: string): { core: Core; users: JobApi; lookups: Lookups; history: History } {
    const store = new ChosenStore(this.wire, who, SMALL, this.clock);
    const mirror = new Mirror(store, this.clock, quiet, 1000);
    const room = { cpus: 4, gpus: 0, memGb: 8, bootS: 1, zones: ["a"], price: 1, spotPrice: 1 };
    const types = new Map([["m", { name: "m", ...room }]]);
    const core: Core = {
      settings: settingsFor(0, 1, TEAMS),
      log: quiet,
      clock: this.clock,
      store,
      mirror,
      layout: new Layout([{ name: "n0", zone: "a" }]),
      summaries: new Summaries(),
      ...ALONE,
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
    // What it waits to hear it does hear, though nothing else of it.
    mirror.waitForRevision = async () => {
      const row = this.state.rows.get(keys.schema);
      if (row !== undefined) mirror.apply({ key: keys.schema, ...row, deleted: false });
    };
    mirror.waitUntilCurrent = async () => {
      // One request that tells of every change until it is executed.
      const { rows, revision } = await store.list(JOB_HEADER_PREFIX);
      const present = new Set(rows.map(({ key }) => key));
      for (const row of rows) mirror.apply({ ...row, deleted: false });
      for (const key of mirror.rows.keys()) {
        const gone = key.startsWith(JOB_HEADER_PREFIX) && !present.has(key);
        if (gone) mirror.apply({ key, value: undefined, version: revision, deleted: true });
      }
    };
    const most = new Map([["red", { cpus: 8, gpus: 0 }]]);
    const metrics = new Metrics(this.clock, 1e9);
    const refusals = new Refusals(new Set(most.keys()), this.clock, quiet, metrics, 1000);
    const places = new PlacementConstraints(null);
    const lookUp = (id: string) => history.find(id);
    const pipelines = new Pipelines(mirror, store, this.clock, quiet, 1000, lookUp);
    const users = new JobApi(
      core,
      (team) => most.get(team),
      new Map(),
      [],
      places,
      history,
      refusals,
      () => true,
      pipelines,
    );
    return { core, users, lookups: new Lookups(store, this.clock, quiet, 1), history };
  }

  /** A leader that moves whatever is over, as its watch told it at some moment. */
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
      // As the leader's loop does: what was not answered is tried again.
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
    const ids = new Set([...this.accepted, ...this.final.keys()]);
    for (const [key, { value }] of this.state.rows) {
      if (!key.startsWith("w/j/") || !isHeader(value)) continue;
      const id = key.slice(4);
      ids.add(id);
      assert.ok(!archived.has(id), `${id} is archived and has a header: ${value.status}`);
      const was = this.final.get(id);
      if (was !== undefined) assert.equal(value.status, was, `${id} went back`);
      if (value.status !== "open") this.final.set(id, value.status);
    }
    for (const id of ids) {
      const has = archived.has(id) || this.state.rows.has(keys.job(id));
      assert.ok(has, `${id} is neither archived nor has a header`);
    }
    for (const [id, status] of this.final) {
      const past = archived.get(id);
      if (past !== undefined) assert.equal(past.status, status);
    }
  }
}

/** An answer that a user may be given; 503 may come whenever something went wrong. */
function told(reply: Reply, ...allowed: [status: number, state?: string][]): void {
  const given = bodyOf(reply) as { status?: string };
  if (reply.status === 503) return;
  const fits = allowed.some(([status, state]) => status === reply.status && state === given.status);
  assert.ok(fits, `answered ${reply.status} ${given.status}`);
}

type Act = () => Promise<void>;

interface Plot {
  faults: number;
  /** Whether there is an archive already. */
  archive?: boolean;
  /** What happens side by side, and before that what each has heard. */
  acts(stage: Stage): Act[];
}

/** Two jobs that are over, and one leaf that both of them divide. */
const both = (stage: Stage): Row[] => {
  for (const id of [X, "wk-0007"]) stage.header(id, done);
  return stage.rows(X, "wk-0007");
};

const PLOTS: Record<string, Plot> = {
  "a submission is retried while its job is archived and the leaf divided": {
    faults: 1,
    acts: (stage) => {
      const mover = stage.mover("leader", both(stage), 2);
      const { users, history } = stage.controller("user");
      // What it remembers of the archive is from before.
      stage.before = () => history.find(X);
      return [mover, async () => told(await users.submit(body(X)), [200, "done"])];
    },
  },
  "two that both think they lead move the same jobs": {
    faults: 1,
    acts: (stage) => {
      const seen = both(stage);
      return [stage.mover("old", seen, 2), stage.mover("new", seen, 2)];
    },
  },
  "two that both think they lead move different jobs into one leaf": {
    faults: 1,
    acts: (stage) => {
      const [first, second] = both(stage);
      return [stage.mover("old", [first!], 2), stage.mover("new", [second!], 2)];
    },
  },
  "a new job is submitted where a leaf is being divided": {
    faults: 1,
    acts: (stage) => {
      const mover = stage.mover("leader", both(stage), 2);
      const { users } = stage.controller("user");
      const submit = async (): Promise<void> => {
        const reply = await users.submit(body(NEW));
        told(reply, [201, "pending"], [200, "pending"]);
        if (reply.status !== 503) stage.accepted.add(NEW);
      };
      return [mover, submit];
    },
  },
  "polls and a withdrawal race with archiving": {
    faults: 0,
    acts: (stage) => {
      stage.header(X, done);
      const [a, b, c] = ["poll", "withdraw", "stranger"].map((who) => stage.controller(who).users);
      return [
        stage.mover("leader", stage.rows(X), 1),
        async () => told(await a!.show(X), [200, "done"]),
        async () => told(await b!.cancel(X), [200, "done"]),
        async () => told(await c!.show("wk-0008"), [404]),
      ];
    },
  },
  "a job is withdrawn, given up by its part and archived while its withdrawal is repeated": {
    faults: 1,
    acts: (stage) => {
      stage.header(X, open);
      const [a, b] = ["first", "second"].map((who) => stage.controller(who).users);
      const { store } = stage.controller("part").core;
      const key = keys.job(X);
      const part = async (): Promise<void> => {
        const row = await store.get(key);
        if (row === null || !isHeader(row.value) || row.value.status !== "cancelled") return;
        // It has nothing left of it, and says so.
        const change = [{ put: key, value: withPartReleased(row.value, 0) }];
        await store.transact([{ key, version: row.version }], change).catch(() => undefined);
        if (stage.state.rows.has(key)) await stage.mover("leader", stage.rows(X), 1)();
      };
      return [
        async () => told(await a!.cancel(X), [200, "cancelled"]),
        async () => told(await b!.cancel(X), [200, "cancelled"]),
        part,
      ];
    },
  },
  "a submission from before there was an archive is applied after its job went into it": {
    faults: 1,
    archive: false,
    acts: (stage) => {
      stage.put(keys.leader, { node: "n0", run: "r" });
      const version = stage.state.rows.get(keys.leader)!.version;
      stage.put(keys.types, []);
      stage.put(keys.node("n0"), { run: "r", schema: 2 });
      const [early, later] = ["early", "later"].map((who) => stage.controller(who).users);
      const answers: [number, string][] = [
        [201, "pending"],
        [200, "pending"],
        [200, "done"],
      ];
      const story = async (): Promise<void> => {
        // Not answered, it may be applied at any time from now on; its sender tries elsewhere.
        told(await early!.submit(body(NEW)), ...answers);
        const { core } = stage.controller("leader");
        const claim = { key: keys.leader, version };
        const leading = { token: version, claim, valid: () => true };
        for (let i = 0; i < 2; i++) await beginArchive(core, leading).catch(() => undefined);
        const second = await later!.submit(body(NEW));
        told(second, ...answers);
        if (second.status === 503) return;
        stage.accepted.add(NEW);
        const row = stage.state.rows.get(keys.job(NEW));
        if (row === undefined || !isHeader(row.value) || row.value.status !== "open") return;
        stage.header(NEW, doneHeader({ ...row.value, owners: "x" }, WALL));
        if (stage.state.rows.has(keys.schema)) await stage.mover("leader", stage.rows(NEW), 1)();
      };
      return [story];
    },
  },
};

function sceneOf(plot: Plot, choices: Choices, without?: Options["without"]): Scene {
  const stage = new Stage(choices, { faults: plot.faults, archive: plot.archive, without });
  const actors = plot.acts(stage);
  return {
    wire: stage.wire,
    prepare: async () => {
      await stage.before?.();
    },
    actors,
    end: () => stage.check(),
  };
}

for (const [name, plot] of Object.entries(PLOTS)) {
  test(`archive, all ways: ${name}`, async () => {
    const { ways, failure } = await explore((choices) => sceneOf(plot, choices));
    const shown = failure === null ? "" : `${failure.error.stack}\n  ${failure.trace.join("\n  ")}`;
    assert.equal(failure, null, shown);
    assert.ok(ways > 20, `${ways} ways`);
  });
}

const isLeaf = ({ key }: Condition): boolean => key.startsWith("a/j/");
const puts = (changes: readonly Change[], prefix: string): boolean =>
  changes.some((one) => "put" in one && one.put.startsWith(prefix));

/** Each guard taken out once: some way must go wrong. */
const GUARDS: [string, string, NonNullable<Options["without"]>][] = [
  [
    "that a new job depends on its leaf",
    "a submission is retried while its job is archived and the leaf divided",
    (condition, changes) => isLeaf(condition) && puts(changes, "w/j/"),
  ],
  [
    "that a move depends on the leaf",
    "two that both think they lead move different jobs into one leaf",
    (condition, changes) => isLeaf(condition) && puts(changes, "a/j/"),
  ],
  [
    "that a new job depends on the schema",
    "a submission from before there was an archive is applied after its job went into it",
    ({ key }, changes) => key === keys.schema && puts(changes, "w/j/"),
  ],
];

for (const [guard, scene, without] of GUARDS) {
  test(`archive, all ways: without the guard ${guard}, something goes wrong`, async () => {
    const { failure } = await explore((choices) => sceneOf(PLOTS[scene]!, choices, without));
    assert.notEqual(failure, null, "no way went wrong");
  });
}
