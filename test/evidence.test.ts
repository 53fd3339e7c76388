import assert from "node:assert/strict";
import { test } from "node:test";
import { parseReport } from "../src/wire/workers.js";
import {
  classifyReport,
  type MachineReportState,
  type ReportClass,
} from "../src/workers/report-classification.js";

const LEASE = 12_000;
const TOKEN = 7;
const NOW = 100_000;

/** The machine's newest report came `ago` before, under our token or not. */
const known = (ago: number, more: Partial<MachineReportState> = {}): MachineReportState => ({
  latest: { session: 2, seq: 40 },
  hasOurToken: true,
  lastSeen: NOW - ago,
  ...more,
});
const proof = (hears: boolean, misses = false): ReportClass => ({ kind: "proof", hears, misses });

const cases: {
  name: string;
  known: MachineReportState;
  report: [session: number, seq: number, token?: number];
  weight: ReportClass;
}[] = [
  { name: "the next report in its time", known: known(2000), report: [2, 41], weight: proof(true) },
  { name: "the same once more", known: known(100), report: [2, 40], weight: { kind: "old" } },
  {
    name: "a copy from well over a lease ago",
    known: known(100),
    report: [2, 3],
    weight: { kind: "old" },
  },
  {
    name: "a copy of an earlier session, with a higher number",
    known: known(100),
    report: [1, 99],
    weight: { kind: "old" },
  },
  {
    name: "a copy under an earlier owner's token, after the machine has come",
    known: known(100, { hasOurToken: false }),
    report: [2, 39, 5],
    weight: { kind: "old" },
  },
  {
    name: "a copy that reaches a new owner before the machine does: it proves nothing",
    known: { latest: null, hasOurToken: false, lastSeen: 0 },
    report: [2, 39, 5],
    weight: { kind: "unaware" },
  },
  {
    name: "the first under our token",
    known: known(1000, { hasOurToken: false }),
    report: [2, 41],
    weight: proof(true),
  },
  {
    name: "a later owner has spoken to it",
    known: known(1000),
    report: [2, 41, 8],
    weight: { kind: "foreign" },
  },
  {
    name: "the next number, but later than it waits for an answer",
    known: known(4900),
    report: [2, 41],
    weight: proof(false),
  },
  { name: "away for a moment", known: known(3000), report: [2, 43], weight: proof(false) },
  {
    name: "round all others once",
    known: known(LEASE / 2 + 1),
    report: [2, 43],
    weight: proof(false, true),
  },
  { name: "a new session", known: known(300), report: [3, 1], weight: proof(false, true) },
  {
    name: "after a cut, a wide gap is an ordinary report",
    known: known(3000),
    report: [2, 40_000],
    weight: proof(false),
  },
];
for (const { name, known, report, weight } of cases) {
  test(`evidence: ${name}`, () => {
    const [session, seq, token = TOKEN] = report;
    const times = { leaseMs: LEASE, reportMs: 2000 };
    assert.deepEqual(classifyReport({ session, seq, token }, known, TOKEN, NOW, times), weight);
  });
}

for (const field of ["shift", "tally", "baton"]) {
  test(`evidence: a report whose ${field} is no integer below 2^64 is refused`, () => {
    const body = { host: "m", build: "m4", berth: "a", shift: 1, tally: 1, baton: 1, pieces: [] };
    assert.ok(parseReport({ ...body, [field]: 0 }).ok);
    assert.ok(parseReport({ ...body, [field]: 2n ** 64n - 1n }).ok);
    for (const bad of [1.5, -1, "1", null, Number.NaN, 2n ** 64n, -1n]) {
      assert.equal(parseReport({ ...body, [field]: bad }).ok, false, String(bad));
    }
  });
}
