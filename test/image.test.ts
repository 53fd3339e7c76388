import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { gunzipSync, gzipSync } from "node:zlib";
import { asyncBufferFromFile, parquetReadObjects } from "hyparquet";
import { END_OF_RANGES, type Entry, encodeLeaf, leafKey } from "../src/archive/index.js";
import {
  ChangesTooFast,
  checkImage,
  collect,
  exportFinished,
  type Image,
  ImageError,
  overview,
  RestoreRefused,
  readImage,
  repairImage,
  restoreImage,
  tokensAbove,
  writeImage,
} from "../src/image/index.js";
import { restorable } from "../src/image/restore.js";
import type { JobOutcome } from "../src/jobs/job-outcome.js";
import type { StateService } from "../src/local/state.js";
import { Random } from "./support/random.js";
import { fakeStateService } from "./support/store.js";

const outcomeOf = (status: JobOutcome["status"]): JobOutcome => ({
  status,
  tasks: 3,
  done: status === "done" ? 3 : 1,
  at: 1_764_000_000_000,
  over: 1_764_000_060_000,
  team: "red",
});

/** Valid rows of a small cluster: two parts, a job in both, one job done, one cancelled. */
const VALID_ROWS = `
w/schema {"version":2}
w/lead {"schema":2}
w/2/lead {"node":"n0","run":"r"}
w/p/0 {"node":"n0","run":"r"}
w/n/n0 {"run":"r"}
w/d/n0 {"run":"r","revision":1}
w/c/head {"revision":1,"id":"a","pieces":1,"by":"x","why":"","at":5}
w/c/p/a/0 {"teams":[{"name":"red","limit":{"cpus":8}}],"groups":[]}
w/a/n1 {"by":"n0","run":"q","ground":"silent","witnesses":[],"judged":false}
w/s/0 {"use":{}}
w/q/red {"0":[4,0],"1":[3.5,0]}
w/g/3-1 ["host-1"]
w/j/wk-open {"status":"open","spec":{"team":"red"},"owners":"01x","chunkSize":3,"at":5,"started":true,"moves":1,"tasks":8}
w/j/wk-done {"status":"done","owners":"","chunkSize":1,"at":5,"started":true,"moves":0,"tasks":1}
w/j/wk-gone {"status":"cancelled","spec":{"team":"red"},"owners":"0x","chunkSize":4,"at":5,"started":true,"moves":0,"tasks":8}
c/0/p/0 {"m":["host-2"],"c":{"wk-open/0":[3,"1","0.3.0"],"wk-gone/0":[1,"","2.1.0"]}}
c/1/p/0 {"m":[],"c":{"wk-open/1":[1,"0-1",""]}}
c/1/m/wk-open/1 {"m":[],"c":{"wk-open/1":[1,"0",""]}}
c/0/fence "9.4"`;

/** A valid image: these rows and an archive of two leaves. */
function validImage(): Image {
  const rows = VALID_ROWS.trim()
    .split("\n")
    .map((line): [string, unknown] => {
      const blank = line.indexOf(" ");
      return [line.slice(0, blank), JSON.parse(line.slice(blank))];
    });
  const first: Entry[] = [
    ["wk-a", outcomeOf("done")],
    ["wk-b", outcomeOf("cancelled")],
  ];
  rows.push([leafKey("wk-b"), encodeLeaf("", first)]);
  rows.push([leafKey(END_OF_RANGES), encodeLeaf("wk-b", [["wk-c", outcomeOf("done")]])]);
  return {
    revision: 100,
    takenAt: 1_764_000_100_000,
    rows: new Map(rows.map(([key, value], i) => [key, { value, version: 10 + i }])),
  };
}

const limits = new Map([["red", { cpus: 7.5, gpus: 0 }]]);

test("check: a valid image has no findings", () => {
  assert.deepEqual(checkImage(validImage(), { limits }), []);
});

/**
 * Each line damages one key: `key = value` writes it, `key + value` changes some of its fields, `key -`
 * removes it. Then the key of the expected finding, and a part of its text.
 */
const DAMAGES = `
w/j/wk-open = 7                                              | w/j/wk-open | not a job header
w/j/nonsense = {"status":"done","owners":""}                 | w/j/nonsense | "nonsense" is not a valid job id
w/j/wk-open + {"owners":"01"}                                | w/j/wk-open | 2 owners of 3
w/j/wk-open + {"owners":"0-x"}                               | w/j/wk-open | released a chunk
w/j/wk-open + {"spec":null}                                  | w/j/wk-open | without its spec
w/j/wk-open + {"tasks":0}                                    | w/j/wk-open | 0 tasks
w/j/wk-done + {"owners":"0"}                                 | w/j/wk-done | parts have chunks
c/0/p/1 = {"m":[],"c":{"wk-who/0":[1,"",""]}}                | c/0/p/1 | no valid header
c/0/p/1 = {"m":[],"c":{"wk-open/1":[1,"",""]}}               | c/0/p/1 | the chunk belongs to part 1
c/0/p/1 = {"m":[],"c":{"wk-open/2":[1,"",""]}}               | c/0/p/1 | the chunk is finished
c/0/p/1 = {"m":[],"c":{"wk-open/7":[1,"",""]}}               | c/0/p/1 | the job header has only 3 chunks
c/0/p/1 = {"m":[],"c":{"wk-open/0":[3,"1",""]}}              | c/0/p/1 | also in page c/0/p/0
c/0/p/0 = {"m":["a","b"],"c":{"wk-open/0":[3,"","0.1.0,0.2.1"]}} | c/0/p/0 | placed twice
c/0/p/0 = {"m":["a"],"c":{"wk-open/0":[3,"0","0.1.0"]}}      | c/0/p/0 | done and placed
c/0/p/0 = {"m":["a"],"c":{"wk-open/0":[3,"1-9",""]}}         | c/0/p/0 | done tasks 1-9 are out of range: the chunk has 3 tasks
c/0/p/0 = {"m":["a"],"c":{"wk-open/0":[1,"","0.2.0"]}}       | c/0/p/0 | attempt 2 exceeds the chunk's highest attempt 1
c/0/p/0 = "?"                                                | c/0/p/0 | not a valid page record
w/q/red = {"0":[4,0],"1":[3.6,0]}                            | w/q/red | limit is 7.5
w/q/red = {"0":[-1,0]}                                       | w/q/red | not a valid slice record
w/q/red = {"0":[null,null]}                                  | w/q/red | not a valid slice record
w/q/red = {"0":null}                                         | w/q/red | part 0 is unknown
w/j/wk-a = {"status":"done","owners":"","chunkSize":1,"tasks":3} | w/j/wk-a | also in archive leaf a/j/wk-b,
a/j/~ + {"c":1}                                              | a/j/~ | checksum
a/j/wk-b, -                                                  | a/j/~ | begins after "wk-b"; expected ""
a/j/~ -                                                      | a/j/~ | is missing
w/schema -                                                   | a/j/wk-b, | the schema record is missing
w/schema = {"version":4}                                     | w/schema | schema version 4
w/lead -                                                     | w/lead | from leading
c/0/fence = "14.1"                                           | c/0/fence | fencing token 14
c/0/fence = "x"                                              | c/0/fence | got "x"`;

for (const line of DAMAGES.trim().split("\n")) {
  const [damage, key, problem] = line.split("|").map((text) => text.trim()) as [
    string,
    string,
    string,
  ];
  test(`check: reports ${key} after ${damage}`, () => {
    const image = validImage();
    const [, name, how, json] = /^(\S+) ([-=+]) ?(.*)$/.exec(damage)!;
    const known = image.rows.get(name!);
    const given = json === "" ? undefined : JSON.parse(json!);
    if (how === "-") image.rows.delete(name!);
    else {
      const value = how === "=" ? given : { ...(known!.value as object), ...given };
      image.rows.set(name!, { value, version: known?.version ?? 50 });
    }
    const findings = checkImage(image, { limits });
    const found = findings.some((one) => one.key === key && one.problem.includes(problem));
    assert.ok(found, JSON.stringify(findings));
  });
}

test("check: reports a key whose version is greater than the revision", () => {
  const image = validImage();
  image.rows.set("w/types", { value: [], version: 101 });
  assert.deepEqual(
    checkImage(image).map(({ key }) => key),
    ["w/types"],
  );
});

const ONLY_CANCELLED_JOB = { m: ["host-2"], c: { "wk-gone/0": [1, "", "2.1.0"] } };
/** A damaged key, the key that is repaired, and its value after that; other keys must not change. */
const REPAIRS: [
  what: string,
  damagedKey: string,
  damagedValue: unknown,
  key: string,
  value: unknown,
][] = [
  ["an invalid page", "c/0/p/0", "?", "c/0/p/0", undefined],
  [
    "a chunk of another part",
    "c/0/p/1",
    { m: [], c: { "wk-open/1": [1, "", ""] } },
    "c/0/p/1",
    undefined,
  ],
  [
    "a chunk in two pages",
    "c/0/p/1",
    { m: [], c: { "wk-open/0": [3, "1", ""] } },
    "c/0/p/0",
    ONLY_CANCELLED_JOB,
  ],
  ["slices over the limit", "w/q/red", { 0: [4, 0], 1: [3.6, 0] }, "w/q/red", { 0: [4, 0] }],
  ["null for NaN", "w/q/red", { 0: [null, 0], 1: [2, 0] }, "w/q/red", { 0: [4, 0] }],
  ["an unknown slice", "w/q/red", { 0: null, 1: [2, 0] }, "w/q/red", { 0: [4, 0] }],
  ["an invalid slice record", "w/q/red", "all", "w/q/red", { 0: [4, 0] }],
  ["an invalid fence record", "c/0/fence", "x", "c/0/fence", undefined],
];
for (const [what, damagedKey, damagedValue, key, value] of REPAIRS) {
  test(`mend: ${what} in ${damagedKey}: ${key} is repaired, and the image can be restored`, async () => {
    const damaged = recentImage();
    const spec = { team: "red", cpus: 2, gpus: 0 };
    for (const id of ["w/j/wk-open", "w/j/wk-gone"]) {
      const row = damaged.rows.get(id)!;
      damaged.rows.set(id, { ...row, value: { ...(row.value as object), spec } });
    }
    const original = new Map(damaged.rows);
    damaged.rows.set(damagedKey, { value: damagedValue, version: 50 });
    const { image, repairs, remaining } = repairImage(damaged, { limits });
    assert.deepEqual(remaining, []);
    assert.ok(repairs.length > 0);
    assert.deepEqual(image.rows.get(key)?.value, value);
    for (const [other, { value: was }] of original) {
      if (other !== key && other !== damagedKey)
        assert.deepEqual(image.rows.get(other)?.value, was);
    }
    const target = fakeStateService(1);
    await target.clock.within(restoreTo(target, image));
  });
}

test("mend: records that cannot be reconstructed are kept and reported", () => {
  const image = validImage();
  image.rows.set("w/j/wk-open", { value: 7, version: 50 });
  image.rows.delete(leafKey("wk-b"));
  const { remaining, image: repaired } = repairImage(image);
  assert.deepEqual(
    remaining.map(({ key }) => key),
    ["w/j/wk-open", leafKey(END_OF_RANGES)],
  );
  assert.equal(repaired.rows.get("w/j/wk-open")!.value, 7);
});

test("show: counts of what an image contains", () => {
  const { jobs, leaves, parts, gone, schema } = overview(validImage());
  assert.deepEqual(jobs, { open: 1, done: 1, cancelled: 1, archived: 3 });
  assert.deepEqual([leaves, gone, schema], [2, 1, 2]);
  assert.deepEqual(parts, { 0: { chunks: 2, placed: 2 }, 1: { chunks: 2, placed: 0 } });
});

// ---- files -----------------------------------------------------------------------------------

async function inTemporaryFolder<T>(run: (folder: string) => Promise<T>): Promise<T> {
  const folder = mkdtempSync(join(tmpdir(), "birchdale-"));
  try {
    return await run(folder);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test("files: a written image is read back unchanged", () =>
  inTemporaryFolder(async (folder) => {
    const file = join(folder, "image.tgz");
    const image = validImage();
    image.rows.set("w/x/text", { value: 'Καλημέρα\n"\\', version: 7 });
    await writeImage(file, image);
    assert.deepEqual(await readImage(file), {
      ...image,
      rows: new Map(
        [...image.rows].sort().map(([key, row]) => [key, JSON.parse(JSON.stringify(row))]),
      ),
    });
    await assert.rejects(writeImage(join(folder, "no", "image"), image), { code: "ENOENT" });
  }));

const TAMPERED_FILES: [string, (bytes: Buffer) => Buffer, RegExp][] = [
  [
    "cut short",
    (bytes) => bytes.subarray(0, bytes.length - 40),
    /truncated, or not a gzipped tar file/,
  ],
  ["not gzip", () => Buffer.from("hello"), /truncated, or not a gzipped tar file/],
  [
    "one value changed",
    (bytes) => replaceInArchive(bytes, "host-2", "host-3"),
    /c\.jsonl: the checksum/,
  ],
  [
    "an invalid manifest",
    (bytes) => replaceInArchive(bytes, '"revision"', '"revisiom"'),
    /manifest/,
  ],
  [
    "an unknown format",
    (bytes) => replaceInArchive(bytes, '"format": 1', '"format": 9'),
    /format 9/,
  ],
];
const replaceInArchive = (bytes: Buffer, from: string, to: string): Buffer => {
  const text = gunzipSync(bytes).toString("latin1");
  assert.ok(text.includes(from));
  return gzipSync(Buffer.from(text.replaceAll(from, to), "latin1"));
};
for (const [what, change, reason] of TAMPERED_FILES) {
  test(`files: ${what} is refused with an error that names the file`, () =>
    inTemporaryFolder(async (folder) => {
      const file = join(folder, "image.tgz");
      await writeImage(file, validImage());
      writeFileSync(file, change(readFileSync(file)));
      await assert.rejects(readImage(file), (error: Error) => {
        assert.ok(error instanceof ImageError);
        assert.match(error.message, reason);
        assert.ok(error.message.startsWith(file));
        return true;
      });
    }));
}

test("export: every finished job once, in Parquet", () =>
  inTemporaryFolder(async (folder) => {
    const file = join(folder, "jobs.parquet");
    assert.equal(await exportFinished(validImage(), file), 5);
    const rows = await parquetReadObjects({ file: await asyncBufferFromFile(file) });
    assert.deepEqual(
      rows.map(({ id, status, tasks, done, team }) => [id, status, tasks, done, team]),
      [
        ["wk-a", "done", 3, 3, "red"],
        ["wk-b", "cancelled", 3, 1, "red"],
        ["wk-c", "done", 3, 3, "red"],
        ["wk-done", "done", 1, 1, null],
        ["wk-gone", "cancelled", 8, 4, "red"],
      ],
    );
    assert.equal((rows[0]!.over as Date).getTime(), 1_764_000_060_000);
    assert.equal(rows[3]!.over, null);
  }));

// ---- taking an image during changes ----------------------------------------------------------

for (const seed of [1, 2, 3, 4]) {
  test(`images: have the content of one revision despite concurrent changes (seed ${seed})`, async () => {
    const { clock, state, store } = fakeStateService(seed);
    const random = new Random(seed + 100);
    const history = new Map<number, string>();
    const snapshot = (): void => {
      const all = [...state.rows].map(([key, { value, version }]) => [key, value, version]).sort();
      history.set(state.revision, JSON.stringify(all));
    };
    const change = (): void => {
      // Each transaction changes all three prefixes, so that a mix of two revisions is detected.
      const at = `${random.int(0, 1500)}`;
      const then = ["w/", "c/", "a/"].map((prefix) =>
        random.chance(0.3)
          ? { remove: prefix + at }
          : { put: prefix + at, value: random.int(0, 9) },
      );
      state.transact([], then);
    };
    for (let i = 0; i < 3000; i++) change();
    snapshot();
    let stopped = false;
    const churn = (): void => {
      if (stopped) return;
      change();
      snapshot();
      clock.after(random.int(1, 6), churn);
    };
    churn();
    const image = await clock.within(collect(store, clock));
    stopped = true;
    assert.ok(image.revision > 3000);
    const taken = [...image.rows].map(([key, { value, version }]) => [key, value, version]).sort();
    assert.equal(JSON.stringify(taken), history.get(image.revision));
  });
}

test("images: collection fails when changes come faster than keys can be read", async () => {
  const { clock, state, store } = fakeStateService(1);
  for (let i = 0; i < 2500; i++) state.transact([], [{ put: `w/${i}`, value: i }]);
  const page = store.page.bind(store);
  store.page = async (...args) => {
    const found = await page(...args);
    for (let i = 0; i < 11_000; i++) state.transact([], [{ put: `w/${i % 2500}`, value: i }]);
    return found;
  };
  const pending = collect(store, clock);
  pending.catch(() => undefined);
  await assert.rejects(clock.within(pending), ChangesTooFast);
});

// ---- restoring -------------------------------------------------------------------------------

const WALL_MS = 1_700_000_000_000;
const recentImage = (): Image => ({ ...validImage(), takenAt: WALL_MS - 60_000 });

const restoreTo = (target: ReturnType<typeof fakeStateService>, image: Image) =>
  restoreImage(image, { store: target.store, clock: target.clock, writeRps: 80 });

/** The rows that are restored: all but those of running controllers, and summaries. */
const restoredRows = (image: Image): [string, unknown][] =>
  [...image.rows]
    .filter(([key]) => !/^w\/(n|p|s|a|d)\/|^w\/2\/lead$/.test(key))
    .map(([key, { value }]): [string, unknown] => [key, JSON.parse(JSON.stringify(value))])
    .sort();

const rowsOf = (state: StateService): [string, unknown][] =>
  [...state.rows]
    .filter(([key]) => key !== "w/restored")
    .map(([key, { value }]): [string, unknown] => [key, JSON.parse(JSON.stringify(value))])
    .sort();

test("restore: fills an empty service, and raises fencing tokens above all earlier ones", async () => {
  const target = fakeStateService(1);
  const image = recentImage();
  const { rows, tokens } = await target.clock.within(restoreTo(target, image));
  assert.equal(rows, restoredRows(image).length);
  assert.deepEqual(rowsOf(target.state), restoredRows(image));
  // The image is one minute old, at 80 changes per second.
  assert.ok(tokens > image.revision + 60 * 80);
  const { state } = target.state.rows.get("w/restored")!.value as { state: string };
  assert.equal(state, "settling");
  assert.deepEqual(
    checkImage({ ...image, rows: new Map([...target.state.rows]), revision: 1e9 }),
    [],
  );
});

test("restore: from an image of a restored service, fencing tokens exceed those of both former services", () => {
  const image = recentImage();
  const record = { state: "settled", image: { revision: 5, takenAt: 5 }, tokens: 1_000_000 };
  image.rows.set("w/restored", { value: record, version: 40 });
  assert.ok(tokensAbove(image, WALL_MS, 80) > 1_000_000 + image.revision);
});

const REFUSALS: [
  string,
  (target: ReturnType<typeof fakeStateService>, image: Image) => void,
  RegExp,
][] = [
  [
    "a service that is not empty",
    ({ state }) => void state.transact([], [{ put: "w/n/x", value: 1 }]),
    /not empty: it has w\/n\/x/,
  ],
  [
    "an image with findings",
    (_target, image) => void image.rows.delete(leafKey(END_OF_RANGES)),
    /findings/,
  ],
  [
    "an image from the future",
    (_target, image) => void Object.assign(image, { takenAt: WALL_MS + 100_000 }),
    /future/,
  ],
  [
    "a service that is being filled from another image",
    ({ state }) =>
      void state.transact(
        [],
        [
          {
            put: "w/restored",
            value: { state: "filling", image: { revision: 1, takenAt: 1 }, tokens: 1 },
          },
        ],
      ),
    /another image/,
  ],
];
for (const [what, prepare, reason] of REFUSALS) {
  test(`restore: refuses ${what}`, async () => {
    const target = fakeStateService(1);
    const image = recentImage();
    prepare(target, image);
    const before = rowsOf(target.state);
    const pending = restoreTo(target, image);
    pending.catch(() => undefined);
    await assert.rejects(target.clock.within(pending), (error: Error) => {
      assert.ok(error instanceof RestoreRefused);
      assert.match(error.message, reason);
      return true;
    });
    assert.deepEqual(rowsOf(target.state), before);
  });
}

test("restore: interrupted after any request and repeated, it gives the same rows; after success it is refused", async () => {
  let ends = 0;
  for (let at = 1; ; at++) {
    const target = fakeStateService(at);
    let left = at;
    const { transact, page, get } = target.store;
    const cut =
      <A extends unknown[], T>(run: (...args: A) => Promise<T>) =>
      async (...args: A): Promise<T> => {
        // The process ends after this request, which may have been applied.
        const answer = await run.apply(target.store, args);
        if (--left === 0) throw new Error("ended");
        return answer;
      };
    Object.assign(target.store, { transact: cut(transact), page: cut(page), get: cut(get) });
    const first = restoreTo(target, recentImage());
    first.catch(() => undefined);
    const whole = await target.clock.within(first).then(
      () => true,
      (error: Error) => {
        assert.equal(error.message, "ended");
        return false;
      },
    );
    const marker = target.state.rows.get("w/restored")?.value as { state: string } | undefined;
    Object.assign(target.store, { transact, page, get });
    if (whole || marker?.state === "settling") {
      const again = restoreTo(target, recentImage());
      again.catch(() => undefined);
      await assert.rejects(target.clock.within(again), /already/);
    } else {
      ends++;
      await target.clock.within(restoreTo(target, recentImage()));
    }
    assert.deepEqual(rowsOf(target.state), restoredRows(recentImage()));
    if (whole) break;
  }
  assert.ok(ends > 5, `interrupted after ${ends} requests`);
});

test("restore: transactions without an answer that are applied late do no harm", async () => {
  for (let seed = 1; seed <= 12; seed++) {
    const target = fakeStateService(seed);
    target.store.lostTransactionShare = 0.4;
    await target.clock.within(restoreTo(target, recentImage()));
    target.store.lostTransactionShare = 0;
    await target.clock.run(60_000);
    assert.deepEqual(rowsOf(target.state), restoredRows(recentImage()));
  }
});

test("restore: the stored configuration is restored, the revisions that controllers applied are not", () => {
  const restoredKeys = restorable(validImage()).map(([key]) => key);
  assert.deepEqual(
    restoredKeys.filter((key) => key.startsWith("w/c/")),
    ["w/c/head", "w/c/p/a/0"],
  );
  assert.ok(!restoredKeys.includes("w/d/n0"));
});
