/**
 * Pipelines of four stages beside other work, at low limits of the store: time from the end of a job's
 * last dependency to its own first and last start, and what the store's changes are used for
 * (`npm run measure:pipelines`).
 */
import { Random } from "../support/random.js";
import { World } from "../support/world.js";

const teams = [
  { name: "a", cpus: 125, max: 250 },
  { name: "b", cpus: 200, max: 1000 },
  { name: "c", cpus: 75, max: 200 },
];
const LIMITS = { rps: 250, writeRps: 21, ops: 4, conditions: 16, valueBytes: 2048 };
const world = new World(3, 5, teams, 180, {}, ["a"], () => ({}), 21);
world.state.limits = LIMITS;
for (const store of world.stores) {
  store.limits = { ...LIMITS, txnBytes: 48 * 1024 };
  store.writes.change(21 * 0.27, 21 * 0.27);
}
const { clock } = world;
const random = new Random(5);
let ids = 0;
const next = (): string => `wk-${100_000 + ids++}`;
const every = (rate: number, run: () => void): void => {
  const pauseMs = (): number => (-Math.log(1 - random.int(0, 999) / 1000) * 1000) / rate;
  const again = (): void => {
    run();
    clock.after(pauseMs(), again);
  };
  clock.after(pauseMs(), again);
};
const ownJobs = [
  ["arrays", 0.0207, "abc", 30, 200, { runMs: 50_000, body: { dueS: 160, expectS: 50 } }],
  ["wide", 0.0223, "ac", 10, 50, { cpus: 4, runMs: 60_000, rank: "best_effort" }],
  ["short", 0.0231, "ac", 60, 500, { runMs: 18_000, body: { dueS: 55, expectS: 18 } }],
] as const;
const stages = [
  ["first", 6, 15_000, 1, "best_effort"],
  ["second", 16, 25_000, 2, "best_effort"],
  ["third", 3, 20_000, 2, "normal"],
  ["last", 3, 8000, 1, "urgent"],
] as const;
await clock.run(10_000);
for (const [eidos, rate, names, from, to, job] of ownJobs) {
  every(rate, () => {
    const team = random.pick([...names]);
    world.submit(next(), { eidos, team, tasks: random.int(from, to), ...job });
  });
}
/** When all tasks of a job were done, by job. */
const ended = new Map<string, number>();
const originalHook = world.users.onAllTasksDone.bind(world.users);
world.users.onAllTasksDone = (job) => {
  ended.set(job.id, clock.now());
  originalHook(job);
};
const gaps = new Map<string, { first: number[]; whole: number[] }>();
const firstStart = new Map<string, number>();
const lastStart = new Map<string, number>();
world.onStart = (_on, piece) => {
  const id = piece.slice(0, piece.lastIndexOf("/"));
  if (!firstStart.has(id)) firstStart.set(id, clock.now());
  lastStart.set(id, clock.now());
};
const pipelines: string[][][] = [];
every(0.065, () => {
  const jobs: string[][] = [];
  for (const [eidos, tasks, runMs, cpus, rank] of stages) {
    const awaits = jobs.at(-1) ?? [];
    const count = eidos === "second" ? 3 : 1;
    const stageIds = Array.from({ length: count }, next);
    for (const id of stageIds) {
      const body = { awaits, expectS: runMs / 1000, ...(eidos === "last" ? { dueS: 115 } : {}) };
      world.submit(id, { eidos, team: "b", tasks, cpus, runMs, rank, spot: true, body });
    }
    jobs.push(stageIds);
  }
  pipelines.push(jobs);
});
let lastVersion = 0;
const changes = new Map<string, number>();
let seconds = 0;
for (; seconds < Number(process.argv[2] ?? 300); seconds++) {
  await clock.run(1000);
  for (const { key, version } of world.state.log) {
    if (version <= lastVersion) continue;
    lastVersion = version;
    const kind = key.split("/", key.startsWith("c/") ? 3 : 2).at(-1)!;
    changes.set(kind, (changes.get(kind) ?? 0) + 1);
  }
}
let inTime = 0;
let completeCount = 0;
for (const jobs of pipelines) {
  jobs.forEach((stageIds, i) => {
    const name = stages[i]![0];
    const before = jobs[i - 1]?.map((id) => ended.get(id) ?? Number.NaN) ?? [
      world.jobs.get(stageIds[0]!)!.submittedAt,
    ];
    const from = Math.max(...before);
    for (const id of stageIds) {
      if (!ended.has(id) || Number.isNaN(from)) continue;
      const gap = gaps.get(name) ?? { first: [], whole: [] };
      gap.first.push(firstStart.get(id)! - from);
      gap.whole.push(lastStart.get(id)! - from);
      gaps.set(name, gap);
    }
  });
  const last = jobs.at(-1)![0]!;
  const end = ended.get(last);
  if (end === undefined) continue;
  completeCount++;
  if (end - world.jobs.get(last)!.submittedAt <= 115_000) inTime++;
}
const at = (list: number[], share: number): string =>
  (
    (list.sort((a, b) => a - b)[Math.floor(share * (list.length - 1))] ?? Number.NaN) / 1000
  ).toFixed(1);
for (const [name, { first, whole: all }] of gaps) {
  console.log(
    `${name} (${first.length}): first start p50 ${at(first, 0.5)} p90 ${at(first, 0.9)} s, last start p50 ${at(all, 0.5)} p90 ${at(all, 0.9)} s`,
  );
}
console.log(`pipelines: ${inTime} of ${completeCount} ended in time, ${pipelines.length} begun`);
const sum = [...changes.values()].reduce((a, b) => a + b, 0);
console.log(
  `changes a second: ${(sum / seconds).toFixed(1)}: ${[...changes].map(([kind, n]) => `${kind} ${(n / seconds).toFixed(1)}`).join(", ")}`,
);
world.stop();
process.exit(0);
