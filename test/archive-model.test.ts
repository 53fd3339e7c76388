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
import { Users } from "../src/controller/users.js";
import type { Core } from "../src/extension/index.js";
import type { Reply } from "../src/http/server.js";
import { doneHeader, type Header, isHeader, tidied } from "../src/jobs/header.js";
import type { Past } from "../src/jobs/past.js";
import { StateService } from "../src/local/state.js";
import { Layout } from "../src/membership/layout.js";
import { Summaries } from "../src/part/summary.js";
import { keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import type { Change, Condition, Row } from "../src/state/store.js";
import { Places } from "../src/workers/places.js";
import { FakeClock } from "./support/clock.js";
import { bodyOf, LIMITS, quiet } from "./support/common.js";
import { type Choices, ChosenStore, explore, type Scene, Wire } from "./support/explore.js";
import { plainSpec } from "./support/placing.js";
import { settingsFor } from "./support/world.js";

const TEAMS = [{ name: "red", cpus: 8, max: 8 }];
/** Leaves so small that a move of two jobs divides them. */
const SMALL = { ...LIMITS, valueBytes: 1000, txnBytes: 520 };
const X = "wk-0005";
const NEW = "wk-0006";
const WALL = 1_700_000_000_000;

const over: Past = { status: "done", tasks: 1, done: 1, at: WALL, over: WALL, team: "red" };

const body = (id: string): object => ({
  ...{ uid: id, eidos: "t", owner: "red", shape: "batch", urgency: "normal", pieces: 1, cores: 1 },
  ...{ accelerators: 0, memGb: 1, together: false, scatter: false, borrowed: true, expectS: 1 },
  ...{ stashEveryS: 0, stashS: 0 },
});

const open: Header = {
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

  header(id: string, value: Header): void {
    this.put(keys.job(id), value);
    this.accepted.add(id);
    if (value.status !== "open") this.final.set(id, value.status);
  }

  /** A controller that has heard all there is now, and hears nothing more. */
  controller(who: string): { core: Core; users: Users; lookups: Lookups; history: History } {
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
      types: () => types,
      contactAge: () => 0,
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
    mirror.reached = async () => {
      const row = this.state.rows.get(keys.schema);
      if (row !== undefined) mirror.apply({ key: keys.schema, ...row, deleted: false });
    };
    const most = new Map([["red", { cpus: 8, gpus: 0 }]]);
    const users = new Users(core, most, new Map(), [], new Places(null), history);
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

  get archived(): Map<string, Past> {
    const found = new Map<string, Past>();
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

type Make = (choices: Choices, without?: Options["without"]) => Scene;

const SCENES: Record<string, Make> = {
  "a submission is retried while its job is archived and the leaf divided": (choices, without) => {
    const stage = new Stage(choices, { faults: 1, without });
    stage.header(X, done);
    stage.header("wk-0007", done);
    const user = stage.controller("user");
    return {
      wire: stage.wire,
      // What it remembers of the archive is from before.
      prepare: async () => {
        await user.history.find(X);
      },
      actors: [
        stage.mover("leader", stage.rows(X, "wk-0007"), 2),
        async () => {
          told(await user.users.submit(body(X)), [200, "done"]);
        },
      ],
      end: () => stage.check(),
    };
  },
  "two that both think they lead move the same jobs": (choices, without) => {
    const stage = new Stage(choices, { faults: 1, without });
    stage.header(X, done);
    stage.header("wk-0007", done);
    const seen = stage.rows(X, "wk-0007");
    return {
      wire: stage.wire,
      actors: [stage.mover("old", seen, 2), stage.mover("new", seen, 2)],
      end: () => stage.check(),
    };
  },
  "two that both think they lead move different jobs into one leaf": (choices, without) => {
    const stage = new Stage(choices, { faults: 1, without });
    stage.header(X, done);
    stage.header("wk-0007", done);
    return {
      wire: stage.wire,
      actors: [stage.mover("old", stage.rows(X), 2), stage.mover("new", stage.rows("wk-0007"), 2)],
      end: () => stage.check(),
    };
  },
  "a new job is submitted where a leaf is being divided": (choices, without) => {
    const stage = new Stage(choices, { faults: 1, without });
    stage.header(X, done);
    stage.header("wk-0007", done);
    const user = stage.controller("user");
    return {
      wire: stage.wire,
      actors: [
        stage.mover("leader", stage.rows(X, "wk-0007"), 2),
        async () => {
          const reply = await user.users.submit(body(NEW));
          told(reply, [201, "pending"], [200, "pending"]);
          if (reply.status !== 503) stage.accepted.add(NEW);
        },
      ],
      end: () => stage.check(),
    };
  },
  "polls and a withdrawal race with archiving": (choices, without) => {
    const stage = new Stage(choices, { faults: 0, without });
    stage.header(X, done);
    const [a, b, c] = ["poll", "withdraw", "stranger"].map((who) => stage.controller(who));
    return {
      wire: stage.wire,
      actors: [
        stage.mover("leader", stage.rows(X), 1),
        async () => told(await a!.users.show(X), [200, "done"]),
        async () => told(await b!.users.cancel(X), [200, "done"]),
        async () => told(await c!.users.show("wk-0008"), [404]),
      ],
      end: () => stage.check(),
    };
  },
  "a job is withdrawn, given up by its part and archived while its withdrawal is repeated": (
    choices,
    without,
  ) => {
    const stage = new Stage(choices, { faults: 1, without });
    stage.header(X, open);
    const [a, b] = ["first", "second"].map((who) => stage.controller(who));
    return {
      wire: stage.wire,
      actors: [
        async () => told(await a!.users.cancel(X), [200, "cancelled"]),
        async () => told(await b!.users.cancel(X), [200, "cancelled"]),
        async () => {
          // The part: once it has heard of it, it has nothing left, and says so.
          const row = stage.state.rows.get(keys.job(X));
          if (row === undefined || !isHeader(row.value) || row.value.status !== "cancelled") return;
          const { core } = stage.controller("part");
          const next = tidied(row.value, 0);
          await core.store
            .transact(
              [{ key: keys.job(X), version: row.version }],
              [{ put: keys.job(X), value: next }],
            )
            .catch(() => undefined);
          const now = stage.state.rows.get(keys.job(X));
          if (now !== undefined) await stage.mover("leader", stage.rows(X), 1)();
        },
      ],
      end: () => stage.check(),
    };
  },
  "a submission from before there was an archive is applied after its job went into it": (
    choices,
    without,
  ) => {
    const stage = new Stage(choices, { faults: 1, without, archive: false });
    stage.put(keys.leader, { node: "n0", run: "r" });
    const claim = stage.state.rows.get(keys.leader)!.version;
    stage.put(keys.types, []);
    stage.put(keys.node("n0"), { run: "r", schema: 2 });
    const early = stage.controller("early");
    const later = stage.controller("later");
    return {
      wire: stage.wire,
      actors: [
        async () => {
          // Not answered, it may be applied at any time from now on; its sender tries elsewhere.
          const first = await early.users.submit(body(NEW));
          told(first, [201, "pending"], [200, "pending"], [200, "done"]);
          const { core } = stage.controller("leader");
          const leading = {
            token: claim,
            claim: { key: keys.leader, version: claim },
            valid: () => true,
          };
          await beginArchive(core, leading).catch(() => undefined);
          await beginArchive(core, leading).catch(() => undefined);
          const second = await later.users.submit(body(NEW));
          told(second, [201, "pending"], [200, "pending"], [200, "done"]);
          if (second.status === 503) return;
          stage.accepted.add(NEW);
          const row = stage.state.rows.get(keys.job(NEW));
          if (row === undefined || !isHeader(row.value) || row.value.status !== "open") return;
          stage.header(NEW, doneHeader({ ...row.value, owners: "x" }, WALL));
          if (stage.state.rows.has(keys.schema)) await stage.mover("leader", stage.rows(NEW), 1)();
        },
      ],
      end: () => stage.check(),
    };
  },
};

for (const [name, make] of Object.entries(SCENES)) {
  test(`archive, all ways: ${name}`, async () => {
    const { ways, failure } = await explore((choices) => make(choices));
    const shown = failure === null ? "" : `${failure.error.stack}\n  ${failure.trace.join("\n  ")}`;
    assert.equal(failure, null, shown);
    assert.ok(ways > 20, `${ways} ways`);
  });
}

const isLeaf = ({ key }: Condition): boolean => key.startsWith("a/j/");
const puts = (changes: readonly Change[], prefix: string): boolean =>
  changes.some((one) => "put" in one && one.put.startsWith(prefix));

/** Each guard taken out once: some way must go wrong. */
const GUARDS: [string, keyof typeof SCENES & string, NonNullable<Options["without"]>][] = [
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
    const { failure } = await explore((choices) => SCENES[scene]!(choices, without));
    assert.notEqual(failure, null, "no way went wrong");
  });
}
