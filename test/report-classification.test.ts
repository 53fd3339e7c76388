import assert from "node:assert/strict";
import { test } from "node:test";
import { parseReport } from "../src/wire/workers.js";
import {
  classifyReport,
  type MachineReportState,
  type ReportClass,
} from "../src/workers/report-classification.js";

const LEASE_MS = 12_000;
const TOKEN = 7;
const NOW = 100_000;

/** A machine whose newest report came `agoMs` ago, by default under our token. */
const known = (agoMs: number, more: Partial<MachineReportState> = {}): MachineReportState => ({
  latestReport: { session: 2, seq: 40 },
  hasOurToken: true,
  lastSeen: NOW - agoMs,
  ...more,
});
const proof = (hears: boolean, misses = false): ReportClass => ({ kind: "proof", hears, misses });

const cases: {
  name: string;
  known: MachineReportState;
  report: [session: number, seq: number, token?: number];
  expected: ReportClass;
}[] = [
  { name: "the next report, on time", known: known(2000), report: [2, 41], expected: proof(true) },
  {
    name: "a copy of the newest report",
    known: known(100),
    report: [2, 40],
    expected: { kind: "old" },
  },
  {
    name: "a copy of a report from more than a lease ago",
    known: known(100),
    report: [2, 3],
    expected: { kind: "old" },
  },
  {
    name: "a copy from an earlier session, with a higher sequence number",
    known: known(100),
    report: [1, 99],
    expected: { kind: "old" },
  },
  {
    name: "a copy under an earlier owner's token, after a newer report",
    known: known(100, { hasOurToken: false }),
    report: [2, 39, 5],
    expected: { kind: "old" },
  },
  {
    name: "a copy that reaches a new owner before any other report: it proves nothing",
    known: { latestReport: null, hasOurToken: false, lastSeen: 0 },
    report: [2, 39, 5],
    expected: { kind: "unaware" },
  },
  {
    name: "the first report under our token",
    known: known(1000, { hasOurToken: false }),
    report: [2, 41],
    expected: proof(true),
  },
  {
    name: "the worker has a later owner's token",
    known: known(1000),
    report: [2, 41, 8],
    expected: { kind: "foreign" },
  },
  {
    name: "the next sequence number, but after the report timeout",
    known: known(4900),
    report: [2, 41],
    expected: proof(false),
  },
  { name: "a short gap", known: known(3000), report: [2, 43], expected: proof(false) },
  {
    name: "a gap of more than half a lease",
    known: known(LEASE_MS / 2 + 1),
    report: [2, 43],
    expected: proof(false, true),
  },
  { name: "a new session", known: known(300), report: [3, 1], expected: proof(false, true) },
  {
    name: "a large gap in sequence numbers after a short gap in time",
    known: known(3000),
    report: [2, 40_000],
    expected: proof(false),
  },
];
for (const { name, known, report, expected } of cases) {
  test(`report classification: ${name}`, () => {
    const [session, seq, token = TOKEN] = report;
    const times = { leaseMs: LEASE_MS, reportMs: 2000 };
    assert.deepEqual(classifyReport({ session, seq, token }, known, TOKEN, NOW, times), expected);
  });
}

for (const field of ["shift", "tally", "baton"]) {
  test(`report parsing: a report whose ${field} is no integer below 2^64 is refused`, () => {
    const body = { host: "m", build: "m4", berth: "a", shift: 1, tally: 1, baton: 1, pieces: [] };
    assert.ok(parseReport({ ...body, [field]: 0 }).ok);
    assert.ok(parseReport({ ...body, [field]: 2n ** 64n - 1n }).ok);
    for (const bad of [1.5, -1, "1", null, Number.NaN, 2n ** 64n, -1n]) {
      assert.equal(parseReport({ ...body, [field]: bad }).ok, false, String(bad));
    }
  });
}
