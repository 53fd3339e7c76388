import assert from "node:assert/strict";
import { test } from "node:test";
import { type DueJob, selectOnTimeJobs } from "../src/fair/on-time-jobs.js";
import { dueTime, targetsOf } from "../src/jobs/due-time.js";
import type { JobSpec } from "../src/wire/jobs.js";

const job = (id: string, leftS: number, work: number, rank = 1, taskS = 10): DueJob => ({
  id,
  rank,
  dueInS: leftS,
  taskEstimateS: taskS,
  remainingCpuSeconds: work,
});

// All cases run with ten CPUs.
const cases: { name: string; jobs: DueJob[]; want: string[] }[] = [
  { name: "all fit", jobs: [job("a", 60, 300), job("b", 100, 400)], want: ["a", "b"] },
  {
    name: "a huge job is dropped in favour of later ones",
    jobs: [job("huge", 60, 900), job("b", 70, 300), job("c", 80, 300)],
    want: ["b", "c"],
  },
  {
    name: "an earlier job is dropped in favour of two smaller ones",
    jobs: [job("a", 50, 450), job("b", 60, 200), job("c", 70, 300)],
    want: ["b", "c"],
  },
  {
    name: "a job that cannot meet its due time is dropped",
    jobs: [job("a", 4, 10), job("b", 60, 100)],
    want: ["b"],
  },
  {
    name: "low priorities come after on-time jobs of high priority",
    jobs: [job("high", 60, 500, 2), job("a", 40, 100, 1), job("b", 90, 100, 1)],
    want: ["b", "high"],
  },
  {
    name: "low priorities come before dropped jobs of high priority",
    jobs: [job("high", 20, 500, 2), job("a", 40, 100, 1), job("b", 90, 100, 1)],
    want: ["a", "b"],
  },
  {
    name: "a job without a due time is always on time",
    jobs: [job("a", Number.POSITIVE_INFINITY, 1e6), job("b", 60, 100)],
    want: ["a", "b"],
  },
];
for (const { name, jobs, want } of cases) {
  test(`on-time jobs: ${name}`, () => {
    assert.deepEqual([...selectOnTimeJobs(jobs, 10)].sort(), want);
  });
}

const targets = targetsOf([
  { kind: "finished", class: "late", within_s: 400 },
  { kind: "finished", class: "late", within_s: 250 },
  { kind: "wait", class: "both", within_s: 150 },
  { kind: "finished", class: "both", within_s: 400 },
  { kind: "guarantee", within_s: 5 },
]);
const dues = [
  { name: "a job's own deadline", class: "late", deadlineS: 900, want: 900 },
  { name: "the earliest target for its class", class: "late", deadlineS: null, want: 250 },
  {
    name: "the target for its start, and the run time of a task",
    class: "both",
    deadlineS: null,
    want: 190,
  },
  {
    name: "no deadline and no target",
    class: "other",
    deadlineS: null,
    want: Number.POSITIVE_INFINITY,
  },
];
for (const { name, class: of, deadlineS, want } of dues) {
  test(`due time: ${name}`, () => {
    const spec = { class: of, deadlineS, estimateS: 40 } as JobSpec;
    assert.equal(dueTime(spec, 0, targets), want * 1000);
  });
}
