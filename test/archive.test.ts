import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CoalescedReads } from "../src/archive/coalesced-reads.js";
import {
  CorruptLeaf,
  covers,
  decodeLeaf,
  END_OF_RANGES,
  type Entry,
  encodeLeaf,
  findOutcome,
  type Leaf,
  Lookups,
  leafKey,
  listingStartOf,
  maxLeafBytes,
  planMove,
} from "../src/archive/index.js";
import { GoneMachines } from "../src/controller/gone-machines.js";
import { jsonBytes } from "../src/jobs/chunk-page.js";
import {
  doneHeader,
  isFullyReleased,
  type JobHeader,
  withPartReleased,
} from "../src/jobs/job-header.js";
import type { JobOutcome } from "../src/jobs/job-outcome.js";
import type { StateService } from "../src/local/state.js";
import { keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import { Refused, type Row } from "../src/state/store.js";
import { LIMITS, quiet } from "./support/common.js";
import { Random } from "./support/random.js";
import { fakeStateService } from "./support/store.js";
import { Year } from "./support/year.js";

const ID = fc.stringMatching(/^wk-[0-9A-Za-z][0-9A-Za-z_.-]{0,12}$/);
const OUTCOME: fc.Arbitrary<JobOutcome> = fc
  .record({
    status: fc.constantFrom("done" as const, "cancelled" as const),
    tasks: fc.integer({ min: 1, max: 100_000 }),
    part: fc.integer({ min: 0, max: 100 }),
    at: fc.integer({ min: 1_500_000_000, max: 1_900_000_000 }),
    lasted: fc.option(fc.integer({ min: 0, max: 1_000_000 })),
    team: fc.option(fc.constantFrom("red", "blue", "Ομάδα", 'a "b"')),
  })
  .map(({ status, tasks, part, at, lasted, team }) => ({
    status,
    tasks,
    done: status === "done" ? tasks : Math.floor((tasks * part) / 100),
    at: at * 1000,
    over: lasted === null ? null : (at + lasted) * 1000,
    team,
  }));
const ENTRIES = fc
  .uniqueArray(fc.tuple(ID, OUTCOME), { selector: ([id]) => id, maxLength: 40 })
  .map((list) => list.sort(([a], [b]) => (a < b ? -1 : 1)) as Entry[]);

const doneOutcome = (tasks: number, at: number, over: number | null): JobOutcome => ({
  ...{ status: "done", tasks, done: tasks },
  ...{ at, over, team: "red" },
});

const row = (key: string, value: unknown, version = 1): Row => ({ key, value, version });

test("leaves: decoding returns the encoded entries", () => {
  fc.assert(
    fc.property(ENTRIES, (entries) => {
      const leaf = decodeLeaf(row(leafKey(END_OF_RANGES), encodeLeaf("", entries)));
      assert.deepEqual(leaf.entries, entries);
      for (const [id, past] of entries) assert.deepEqual(findOutcome(leaf.entries, id), past);
    }),
  );
});

test("leaves: about 16 bytes per job with sequential ids", () => {
  const random = new Random(1);
  const entries = Array.from({ length: 200 }, (_, i): Entry => {
    const at = 1_764_000_000_000 + random.int(0, 86_400_000);
    const tasks = random.int(1, 60);
    const over = at + random.int(20_000, 900_000);
    const team = random.pick(["telemetria", "oceanografia", "costero"]);
    return [
      `wk-${String(i * 3).padStart(6, "0")}`,
      { status: "done", tasks, done: tasks, at, over, team },
    ];
  });
  const bytes = jsonBytes(encodeLeaf("", entries)) / entries.length;
  assert.ok(bytes < 19, `${bytes} bytes a job`);
});

test("leaves: any single changed character is detected", () => {
  fc.assert(
    fc.property(
      ENTRIES,
      fc.nat(),
      fc.constantFrom("0", "d", "~", " ", ":"),
      (entries, at, other) => {
        fc.pre(entries.length > 0);
        const record = encodeLeaf("", entries);
        const place = at % record.d.length;
        fc.pre(record.d[place] !== other);
        const d = record.d.slice(0, place) + other + record.d.slice(place + 1);
        assert.throws(() => decodeLeaf(row(leafKey(END_OF_RANGES), { ...record, d })), CorruptLeaf);
      },
    ),
  );
});

const validRecord = encodeLeaf("wk-3", [
  ["wk-5", { status: "done", tasks: 1, done: 1, at: 0, over: null, team: null }],
]);
const INVALID_ROWS: [string, Row][] = [
  ["a value that is not a record", row(leafKey(END_OF_RANGES), 7)],
  ["a missing field", row(leafKey(END_OF_RANGES), { ...validRecord, b: undefined })],
  ["a wrong count", row(leafKey(END_OF_RANGES), { ...validRecord, n: 2 })],
  ["an id outside the range", row(leafKey("wk-4"), validRecord)],
  ["a key that is not a leaf key", row("a/j/wk-5", validRecord)],
];
for (const [name, bad] of INVALID_ROWS) {
  test(`leaves: refuses ${name}`, () => assert.throws(() => decodeLeaf(bad), CorruptLeaf));
}

test("leaves: the first key after an id is its leaf, also if ids are prefixes of one another", () => {
  fc.assert(
    fc.property(fc.uniqueArray(ID, { minLength: 1, maxLength: 20 }), ID, (ends, id) => {
      const lasts = [...ends.sort(), END_OF_RANGES];
      const listed = lasts.map(leafKey).sort();
      assert.deepEqual(listed, lasts.map(leafKey), "keys sort as the ids do");
      const found = listed.findIndex((key) => key > listingStartOf(id));
      assert.equal(
        found,
        lasts.findIndex((last) => last === END_OF_RANGES || last >= id),
      );
    }),
  );
});

const headerOf = ({ status, tasks, at, over, team }: JobOutcome): JobHeader => ({
  ...{ status, owners: "", chunkSize: 1, at, started: true, moves: 0, tasks },
  ...(over === null ? {} : { over }),
  ...(team === null ? {} : { team }),
});

test("moves: no job is lost or duplicated, ranges have no gaps, and all limits are respected", () => {
  fc.assert(
    fc.property(
      ENTRIES,
      ENTRIES,
      fc.integer({ min: 3, max: 30 }),
      fc.constantFrom(300, 700, 2000),
      (existing, added, changes, maxBytes) => {
        const known = new Set(existing.map(([id]) => id));
        const leaf: Leaf = {
          key: leafKey(END_OF_RANGES),
          version: 9,
          from: "",
          last: END_OF_RANGES,
          entries: existing,
        };
        const rows = added.map(([id, past]) => row(keys.job(id), headerOf(past), 3));
        const limits = { changes, leafBytes: maxBytes, txnBytes: 48 * 1024 };
        const move = planMove(leaf, rows, limits);
        // A leaf within the size limit always accepts a job: it is split into at most two.
        const full = jsonBytes(encodeLeaf("", existing)) > maxBytes;
        if (move === null) return assert.ok(added.length === 0 || full);
        assert.deepEqual(
          move.alreadyArchived.map(({ key }) => key.slice(4)),
          added.map(([id]) => id).filter((id) => known.has(id)),
        );
        if (move.moved.length === 0) return;
        assert.ok(move.changes.length <= changes);
        let from = "";
        const all: Entry[] = [];
        for (const { key, from: begins, last, entries } of move.leaves) {
          assert.equal(begins, from);
          assert.equal(key, leafKey(last));
          for (const [id] of entries) assert.ok(covers({ from, last }, id));
          if (entries.length > 1) assert.ok(jsonBytes(encodeLeaf(from, entries)) <= maxBytes);
          all.push(...entries);
          from = last;
        }
        assert.equal(from, END_OF_RANGES);
        const moved = new Set(move.moved.map(({ key }) => key.slice(4)));
        assert.equal(all.length, existing.length + moved.size);
        for (const id of moved) assert.ok(all.some(([name]) => name === id));
        // Every changed key is also a condition.
        for (const change of move.changes) {
          const key = "put" in change ? change.put : change.remove;
          assert.ok(
            move.conditions.some((condition) => condition.key === key),
            key,
          );
        }
      },
    ),
  );
});

test("moves: with increasing ids, split leaves are left nearly full", () => {
  const limits = { changes: 12, leafBytes: maxLeafBytes(LIMITS), txnBytes: LIMITS.txnBytes };
  let leaves: Leaf[] = [
    { key: leafKey(END_OF_RANGES), version: 1, from: "", last: END_OF_RANGES, entries: [] },
  ];
  for (let i = 0; i < 3000; i += 10) {
    const rows = Array.from({ length: 10 }, (_, j) => {
      const id = `wk-${String(i + j).padStart(6, "0")}`;
      return row(keys.job(id), headerOf(doneOutcome(4, i * 1000, i * 1000 + 60_000)));
    });
    const move = planMove(leaves.at(-1)!, rows, limits)!;
    assert.equal(move.moved.length, 10);
    leaves = [...leaves.slice(0, -1), ...move.leaves.map((leaf) => ({ ...leaf, version: i }))];
  }
  const sizes = leaves
    .slice(0, -1)
    .map(({ from, entries }) => jsonBytes(encodeLeaf(from, entries)));
  const mean = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
  assert.ok(mean > limits.leafBytes * 0.8, `${mean} of ${limits.leafBytes}`);
});

test("cancelled jobs: fully released once no part has any state of them", () => {
  const spec = { team: "red" } as JobHeader["spec"];
  const header: JobHeader = {
    ...headerOf({ status: "cancelled", tasks: 3, done: 0, at: 0, over: 5, team: null }),
    owners: "0x1",
    spec,
  };
  assert.ok(!isFullyReleased(header));
  const half = withPartReleased(header, 1);
  assert.equal(half.owners, "0x-");
  assert.ok(!isFullyReleased(half) && half.spec !== undefined, "part 0 may still run tasks of it");
  const all = withPartReleased(half, 0);
  assert.ok(isFullyReleased(all));
  assert.deepEqual([all.spec, all.team], [undefined, "red"]);
  assert.ok(isFullyReleased(doneHeader(header, 7)));
});

test("archive: jobs archived in random order are all found later", async () => {
  const year = new Year({ ...LIMITS, ops: 24, conditions: 96, rps: 1e9 });
  const random = new Random(11);
  const ids = Array.from({ length: 12_000 }, (_, i) => `wk-${String(i * 7).padStart(6, "0")}`);
  for (let i = ids.length - 1; i > 0; i--) {
    const j = random.int(0, i);
    [ids[i], ids[j]] = [ids[j]!, ids[i]!];
  }
  for (let i = 0; i < ids.length; i += 50) {
    await year.archive(
      ids.slice(i, i + 50).map((id) => {
        return [id, headerOf(doneOutcome(1 + (Number(id.slice(3)) % 40), i * 1000, null))];
      }),
    );
    const id = ids[random.int(0, i + 49)]!;
    assert.equal((await year.lookups.find(id))?.tasks, 1 + (Number(id.slice(3)) % 40));
    assert.equal(await year.lookups.find(`${id}x`), null);
  }
  const { jobs, leaves } = year.count();
  assert.equal(jobs, ids.length);
  assert.ok(jobs / leaves > 100, `${jobs / leaves} jobs a leaf`);
  assert.equal([...year.state.rows.keys()].filter((key) => key.startsWith("w/")).length, 0);
});

// ---- lookups --------------------------------------------------------------------------------

function filledArchive(count: number) {
  const { clock, state, store } = fakeStateService(1, { ...LIMITS, rps: 200 });
  const entries = Array.from({ length: count }, (_, i): Entry => {
    const id = `wk-${String(i).padStart(6, "0")}`;
    return [id, doneOutcome(2, 0, 1000)];
  });
  let from = "";
  for (let i = 0; i < count; i += 100) {
    const part = entries.slice(i, i + 100);
    const last = i + 100 >= count ? END_OF_RANGES : part.at(-1)![0];
    state.transact([], [{ put: leafKey(last), value: encodeLeaf(from, part) }]);
    from = last;
  }
  return { clock, state, store, lookups: new Lookups(store, clock, quiet, 5) };
}

test("lookups: a thousand polls per second for unknown ids stay within the rate limit", async () => {
  const { clock, store, lookups } = filledArchive(5000);
  let requests = 0;
  const page = store.page.bind(store);
  store.page = (...args) => {
    requests++;
    return page(...args);
  };
  const outcomes = { none: 0, refused: 0 };
  for (let second = 0; second < 10; second++) {
    for (let i = 0; i < 1000; i++) {
      lookups.find(`wk-x${(second * 1000 + i) % 300}`).then(
        (past) => {
          assert.equal(past, null);
          outcomes.none++;
        },
        (error) => {
          assert.ok(error instanceof Refused);
          outcomes.refused++;
        },
      );
      await clock.run(1);
    }
  }
  await clock.run(5000);
  assert.equal(outcomes.none + outcomes.refused, 10_000);
  // 200 requests per second for five controllers; a quarter of one share is 10 per second, and the
  // initial burst is as large.
  assert.ok(requests <= 10 * 10 + 10, `${requests} requests`);
  assert.ok(outcomes.none > requests, "one read answers many lookups");
});

test("lookups: a caller during a read gets the result of a read that begins later", async () => {
  const shared = new CoalescedReads<number>();
  const gates: (() => void)[] = [];
  let begun = 0;
  const read = (): Promise<number> => {
    const number = ++begun;
    return new Promise((resolve) => gates.push(() => resolve(number)));
  };
  const first = shared.run("a", read);
  const [second, third] = [shared.run("a", read), shared.run("a", read)];
  const other = shared.run("b", read);
  assert.equal(begun, 2, "the second read of a waits");
  gates[0]!();
  assert.equal(await first, 1);
  await new Promise((resolve) => setImmediate(resolve));
  gates[2]!();
  assert.deepEqual(await Promise.all([second, third]), [3, 3]);
  gates[1]!();
  assert.equal(await other, 2);
});

test("lookups: a failed read fails its callers only; the next read succeeds", async () => {
  const shared = new CoalescedReads<number>();
  const first = shared.run("a", () => Promise.reject(new Error("no")));
  const second = shared.run("a", () => Promise.resolve(2));
  await assert.rejects(first, /no/);
  assert.equal(await second, 2);
});

const DAMAGED_LEAVES: [string, (state: StateService) => void, string][] = [
  [
    "a wrong checksum in its leaf",
    (state) => {
      const key = leafKey("wk-000199");
      state.transact(
        [],
        [{ put: key, value: { ...(state.rows.get(key)!.value as object), c: 1 } }],
      );
    },
    "wk-000150",
  ],
  [
    "its leaf missing",
    (state) => {
      state.transact([], [{ remove: leafKey("wk-000199") }]);
    },
    "wk-000150",
  ],
  [
    "the last leaf missing",
    (state) => {
      state.transact([], [{ remove: leafKey(END_OF_RANGES) }]);
    },
    "wk-000950",
  ],
];
for (const [name, damage, id] of DAMAGED_LEAVES) {
  test(`lookups: fail for a job with ${name}; other leaves are served`, async () => {
    const { clock, state, lookups } = filledArchive(1000);
    damage(state);
    const pending = lookups.find(id);
    pending.catch(() => undefined);
    const guard = lookups.guard(id);
    guard.catch(() => undefined);
    await clock.run(1000);
    await assert.rejects(pending, CorruptLeaf);
    await assert.rejects(guard, CorruptLeaf);
    const other = lookups.find("wk-000042");
    await clock.run(1000);
    assert.equal((await other)?.status, "done");
  });
}

// ---- the watched keys ------------------------------------------------------------------------

function mirrorOf(rows: number) {
  const { clock, state, store } = fakeStateService(3);
  for (let i = 0; i < rows; i++)
    state.transact([], [{ put: `w/k/${String(i).padStart(5, "0")}`, value: i }]);
  const mirror = new Mirror(store, clock, quiet, 1000);
  return { clock, state, store, mirror };
}

const assertSameRows = (mirror: Mirror, state: StateService): void => {
  assert.deepEqual(
    [...mirror.rows].map(([key, { value, version }]) => [key, value, version]).sort(),
    [...state.rows]
      .filter(([key]) => key.startsWith("w/"))
      .map(([key, { value, version }]) => [key, value, version])
      .sort(),
  );
};

test("mirror: a listing is not restarted when more changes occur during it than the service keeps", async () => {
  const { clock, state, store, mirror } = mirrorOf(4500);
  const random = new Random(4);
  const page = store.page.bind(store);
  let pages = 0;
  store.page = async (...args) => {
    pages++;
    const found = await page(...args);
    // Between two pages, 8,000 changes of the 10,000 that the service keeps.
    for (let i = 0; i < 8000; i++) {
      const key = `w/k/${String(random.int(0, 6000)).padStart(5, "0")}`;
      state.transact([], [random.chance(0.3) ? { remove: key } : { put: key, value: -i }]);
    }
    return found;
  };
  void mirror.run();
  await clock.run(3000);
  assert.ok(mirror.ready);
  assert.ok(pages <= 8, `${pages} pages: the listing was restarted`);
  assertSameRows(mirror, state);
  mirror.stop();
});

test("mirror: after changes were missed twice in a row, it lists again and is complete", async () => {
  const { clock, state, store, mirror } = mirrorOf(2500);
  let floods = 2;
  const watch = store.watch.bind(store);
  store.watch = async (prefix, after, waitMs) => {
    if (floods > 0 && waitMs === 0) {
      floods--;
      for (let i = 0; i < 12_000; i++)
        state.transact([], [{ put: `w/k/${String(i % 3000).padStart(5, "0")}`, value: i }]);
      for (let i = 0; i < 50; i++)
        state.transact([], [{ remove: `w/k/${String(i * 7).padStart(5, "0")}` }]);
    }
    return watch(prefix, after, waitMs);
  };
  void mirror.run();
  await clock.run(5000);
  assert.equal(floods, 0);
  assert.ok(mirror.ready);
  assertSameRows(mirror, state);
  mirror.stop();
});

test("mirror: a refused page is requested again without restarting the listing", async () => {
  const { clock, state, store, mirror } = mirrorOf(3500);
  const page = store.page.bind(store);
  const requestedAfter: (string | null)[] = [];
  store.page = (prefix, after, limit) => {
    requestedAfter.push(after);
    if (requestedAfter.length === 3) throw new Refused("503");
    return page(prefix, after, limit);
  };
  void mirror.run();
  await clock.run(5000);
  assert.equal(requestedAfter.filter((after) => after === null).length, 1);
  assertSameRows(mirror, state);
  mirror.stop();
});

test("mirror: deletions are remembered only while a late answer may restore the key", async () => {
  const { clock, state, mirror } = mirrorOf(0);
  void mirror.run();
  await clock.run(1000);
  for (let i = 0; i < 3000; i++) {
    state.transact([], [{ put: `w/k/${i}`, value: i }]);
    state.transact([], [{ remove: `w/k/${i}` }]);
    if (i % 10 === 0) await clock.run(100);
  }
  const version = state.revision - 1;
  await clock.run(1500);
  // The row was read before its deletion, and the answer arrives after it.
  mirror.applyIfNotRelisted(
    { key: "w/k/2999", value: 2999, version, deleted: false },
    mirror.listingEpoch(),
  );
  assert.equal(mirror.rows.size, 0, "a deleted key is in the mirror again");
  await clock.run(300_000);
  assert.equal(mirror.removedVersionCount, 0);
  mirror.stop();
});

test("mirror: an answer from before a listing does not restore a row that the listing skipped", async () => {
  const { clock, state, mirror } = mirrorOf(0);
  state.transact([], [{ put: "w/j/x", value: "open" }]);
  const early = { key: "w/j/x", value: "open", version: state.revision, deleted: false };
  const mark = mirror.listingEpoch();
  state.transact([], [{ put: "w/j/x", value: "done" }]);
  mirror.skipsRow = ({ value }) => value === "done";
  void mirror.run();
  await clock.run(1000);
  mirror.applyIfNotRelisted(early, mark);
  assert.equal(mirror.rows.get("w/j/x"), undefined, "the mirror has an older state of the row");
  mirror.stop();
});

test("gone machines: known while their record exists", () => {
  const { mirror } = mirrorOf(0);
  const told: string[] = [];
  const gone = new GoneMachines(mirror, (machines) => told.push(...machines));
  mirror.apply({ key: "w/g/1-1", value: ["a", "b"], version: 1, deleted: false });
  mirror.apply({ key: "w/g/1-2", value: ["c"], version: 2, deleted: false });
  assert.deepEqual([...gone.machines], ["a", "b", "c"]);
  mirror.apply({ key: "w/g/1-1", value: undefined, version: 3, deleted: true });
  assert.deepEqual([...gone.machines], ["c"]);
  assert.deepEqual(told, ["a", "b", "c"]);
});
