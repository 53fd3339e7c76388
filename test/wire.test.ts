import assert from "node:assert/strict";
import { test } from "node:test";
import type { Summary } from "../src/part/summary.js";
import {
  decodeFrame,
  encodeFrame,
  FrameError,
  FrameSplitter,
  MAX_FRAME,
} from "../src/peer/frames.js";
import { parseSettings, SettingsError } from "../src/settings/settings.js";
import { decode, encode } from "../src/wire/cbor.js";
import { parseSubmission } from "../src/wire/jobs.js";
import { parseReport } from "../src/wire/workers.js";

const job = {
  uid: "wk-000412",
  eidos: "train",
  owner: "vision",
  shape: "batch",
  urgency: "urgent",
  pieces: 16,
  cores: 8.0,
  accelerators: 1.0,
  memGb: 64.0,
  bundle: "img-07",
  sizeGb: 6.2,
  builds: ["g8"],
  berth: null,
  together: true,
  scatter: false,
  borrowed: true,
  expectS: 240.0,
  stashEveryS: 30.0,
  stashS: 4.0,
  dueS: 900.0,
};

test("cbor: integers below 2^64 are exact", () => {
  const largest = 2n ** 64n - 1n;
  assert.deepEqual(decode(encode({ baton: largest })), { baton: largest });
  assert.deepEqual(decode(encode({ a: 1, b: 2.5, c: null, d: [true, "x"] })), {
    a: 1,
    b: 2.5,
    c: null,
    d: [true, "x"],
  });
});

const invalidCbor = [
  { name: "nothing", bytes: [] },
  { name: "a truncated map", bytes: [0xa2, 0x61, 0x61, 0x01] },
  { name: "text that is not CBOR", bytes: [...Buffer.from('{"uid":1}')] },
  { name: "two values", bytes: [0x01, 0x02] },
  { name: "a text longer than the body", bytes: [0x7a, 0x7f, 0xff, 0xff, 0xff, 0x61] },
];
for (const { name, bytes } of invalidCbor) {
  test(`cbor: refuses ${name}`, () => {
    assert.throws(() => decode(Buffer.from(bytes)));
  });
}

test("submission: parses the example of the protocol, and ignores unknown fields", () => {
  const parsed = parseSubmission({ ...job, colour: "blue" });
  assert.ok(parsed.ok);
  assert.equal(parsed.value.id, "wk-000412");
  assert.equal(parsed.value.spec.rank, 2);
  const { berth: _zone, dueS: _due, builds: _types, ...rest } = job;
  const withoutNullable = parseSubmission(rest);
  assert.ok(withoutNullable.ok, "fields that may be null may be omitted");
  assert.equal(withoutNullable.value.spec.deadlineS, null);
});

const invalidJobs: { name: string; body: unknown }[] = [
  { name: "not a map", body: [job] },
  { name: "null", body: null },
  { name: "no id", body: { ...job, uid: undefined } },
  { name: "an id with another prefix", body: { ...job, uid: "job-1" } },
  { name: "an id with a slash", body: { ...job, uid: "wk-1/2" } },
  { name: "an unknown shape", body: { ...job, shape: "swarm" } },
  { name: "an unknown urgency", body: { ...job, urgency: "now" } },
  { name: "no tasks", body: { ...job, pieces: 0 } },
  { name: "a fractional number of tasks", body: { ...job, pieces: 1.5 } },
  { name: "too many tasks", body: { ...job, pieces: 100_001 } },
  { name: "a number of CPUs as text", body: { ...job, cores: "8" } },
  { name: "negative CPUs", body: { ...job, cores: -1 } },
  { name: "infinite memory", body: { ...job, memGb: Number.POSITIVE_INFINITY } },
  { name: "NaN as the estimate", body: { ...job, expectS: Number.NaN } },
  { name: "machine types that are not a list", body: { ...job, builds: "g8" } },
  { name: "a flag as a number", body: { ...job, borrowed: 1 } },
  { name: "no team", body: { ...job, owner: null } },
];
for (const { name, body } of invalidJobs) {
  test(`submission: refuses ${name}`, () => {
    const parsed = parseSubmission(body);
    assert.equal(parsed.ok, false);
    assert.ok(!parsed.ok && parsed.reason.length > 0 && parsed.reason.length < 200);
  });
}

const report = {
  host: "host-000231",
  address: "10.1.0.232:9000",
  build: "g8",
  berth: "a",
  borrowed: true,
  shift: 1,
  tally: 88,
  baton: 41,
  warningS: null,
  pieces: [{ piece: "wk-000412/3", try: 2, status: "running" }],
};
const reports: { name: string; body: unknown; ok: boolean }[] = [
  { name: "the example of the protocol", body: report, ok: true },
  { name: "no tasks at all", body: { ...report, pieces: null }, ok: true },
  {
    name: "an unknown task state",
    body: { ...report, pieces: [{ piece: "wk-1/1", try: 1, status: "dreaming" }] },
    ok: true,
  },
  { name: "no machine", body: { ...report, host: undefined }, ok: false },
  { name: "a negative token", body: { ...report, baton: -1 }, ok: false },
  { name: "tasks that are not a list", body: { ...report, pieces: {} }, ok: false },
  { name: "a task without attempt", body: { ...report, pieces: [{ piece: "wk-1/1" }] }, ok: false },
  { name: "rubbish", body: "report", ok: false },
];
for (const { name, body, ok } of reports) {
  test(`report: ${name}: ${ok ? "accepted" : "refused"}`, () => {
    assert.equal(parseReport(body).ok, ok);
  });
}

const summary: Summary = {
  use: { red: [3.5, 0], blå: [0, 2] },
  demand: [{ team: "red", rank: 1, cpus: 15, gpus: 0 }],
  need: [
    { cpus: 2, gpus: 0, memGb: 4, spot: true, types: null, zone: null, count: 7 },
    { cpus: 1, gpus: 1, memGb: 4, spot: false, types: ["g8", "c4"], zone: "a", count: 1 },
  ],
  short: { red: [1, 0] },
  kinds: [{ type: "c4", zone: "a", spot: true, capacity: 12, free: 3, most: 2 }],
  waiting: 15,
  workS: 600,
  machines: ["host-000001"],
  retired: [],
  idle: { "host-000001": 12 },
  token: 2 ** 40,
  seq: 3,
};

const withFreeCapacity: Summary = {
  ...summary,
  starved: 12,
  rooms: [{ zone: "a", cpus: 2.5, gpus: 0, memGb: 8, count: 3 }],
};

test("frames: decoded as sent, whatever the chunks received", () => {
  const frames = [
    { kind: "hello" as const, version: 1, node: "kombos-1" },
    { kind: "cancelled" as const, job: "wk-000412", version: 2 ** 41 },
    { kind: "summary" as const, part: 2, summary },
    // Without `rooms` in frames, leaders got free capacity only from the store, and sold it by old figures.
    { kind: "summary" as const, part: 3, summary: withFreeCapacity },
  ];
  const bytes = Buffer.concat(frames.map(encodeFrame));
  for (const step of [1, 7, bytes.length]) {
    const cutter = new FrameSplitter();
    const received: unknown[] = [];
    for (let at = 0; at < bytes.length; at += step) {
      for (const payload of cutter.push(bytes.subarray(at, at + step))) {
        received.push(decodeFrame(payload));
      }
    }
    assert.deepEqual(received, frames);
  }
});

const invalidFrames = [
  { name: "a length of zero", bytes: Buffer.from([0, 0, 0, 0]) },
  { name: "a length over the limit", bytes: Buffer.from([0xff, 0xff, 0xff, 0xff]) },
  { name: "a truncated hello", bytes: Buffer.from([0, 0, 0, 2, 1, 0]) },
  {
    name: "a list longer than the frame",
    bytes: Buffer.from("0000000802000000000000000000", "hex"),
  },
];
for (const { name, bytes } of invalidFrames) {
  test(`frames: refuses ${name}`, () => {
    assert.throws(() => {
      for (const payload of new FrameSplitter().push(bytes)) decodeFrame(payload);
    }, FrameError);
  });
}

test("frames: a summary truncated at any byte is refused", () => {
  const complete = encodeFrame({ kind: "summary", part: 0, summary: withFreeCapacity }).subarray(4);
  for (const payload of [
    complete,
    encodeFrame({ kind: "summary", part: 0, summary }).subarray(4),
  ]) {
    for (let size = 0; size < payload.length; size++) {
      assert.throws(() => decodeFrame(payload.subarray(0, size)), FrameError);
    }
  }
  assert.equal(
    decodeFrame(Buffer.from([200, 1, 2])),
    null,
    "a kind that only a newer version knows",
  );
  assert.ok(complete.length < MAX_FRAME);
});

const settings = `
node_name = "n0"
site = "a"
listen = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
colour = "unknown fields are ignored"
[services]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[params]
size = 1
teams = [{ name = "red", cpus = 1.0, cpus_max = 2.0 }]
workers = { report_s = 2.0, lease_s = 12.0, cancel_s = 36.0 }
state = { rps = 1.0, write_rps = 1.0, value_kb = 8.0, txn_ops = 8 }
cloud = { rps = 1.0, list_lag_s = 1.0 }
quota = { cores = 1.0, ram_mb = 100.0, max_sockets = 100 }
`;
test("settings: parsed, with unknown fields ignored", () => {
  assert.equal(parseSettings(settings, "f").node_name, "n0");
});
const invalidSettings = [
  { name: "invalid TOML", text: "node_name = ", messagePattern: /^f:\d+: / },
  {
    name: "a missing field",
    text: settings.replace('site = "a"', ""),
    messagePattern: /^f: site: /,
  },
  {
    name: "a wrong type",
    text: settings.replace("size = 1", 'size = "1"'),
    messagePattern: /params\.size/,
  },
  {
    name: "an address without a port",
    text: settings.replace("10.2.0.1:1", "10.2.0.1"),
    messagePattern: /services\.state/,
  },
  {
    name: "a lease longer than a cancellation",
    text: settings.replace("cancel_s = 36.0", "cancel_s = 10.0"),
    messagePattern: /cancel_s/,
  },
];
for (const { name, text, messagePattern } of invalidSettings) {
  test(`settings: refuses ${name} with a one-line message`, () => {
    assert.throws(
      () => parseSettings(text, "f"),
      (error) =>
        error instanceof SettingsError &&
        messagePattern.test(error.message) &&
        !/\n/.test(error.message),
    );
  });
}
