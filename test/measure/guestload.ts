/**
 * Guests with one huge job, some checkpointing jobs and many small ones beside a busy day's own work:
 * prints every 30 s what runs, what waits, and what the store's changes are used for
 * (`npm run measure:guests`).
 */
import { Random } from "../support/random.js";
import { World } from "../support/world.js";

const teams = [
  { name: "a", cpus: 125, max: 250 },
  { name: "b", cpus: 200, max: 600 },
  { name: "c", cpus: 75, max: 200 },
  { name: "d", cpus: 200, max: 600 },
  { name: "e", cpus: 150, max: 500 },
  { name: "f", cpus: 75, max: 200 },
  { name: "guests", cpus: 0, max: 0 },
];
const checkpointing = { rank: "best_effort", body: { stashEveryS: 30, stashS: 2, expectS: 70 } };
const due = (dueS: number, expectS: number) => ({ body: { dueS, expectS } });
/** Class, jobs a second, teams, minimum and maximum count of tasks, and other fields of a job. */
const ownJobs = [
  ["arrays", 0.0243, "abcdef", 30, 200, { runMs: 60_000, ...due(175, 55) }],
  ["wide", 0.0263, "acf", 10, 70, { cpus: 4, runMs: 70_000, ...checkpointing }],
  ["short", 0.0273, "cf", 50, 700, { runMs: 20_000, ...due(55, 18) }],
] as const;
const rank = "best_effort";
const guestJobs = [
  ["huge", 60, 1, { tasks: 10_000, runMs: 20_000, rank, body: { expectS: 20 } }],
  ["saving", 60, 3, { tasks: 240, runMs: 300_000, ...checkpointing }],
  ["small", 120, 245, { tasks: 1, cpus: 0.25, runMs: 150_000, rank, body: { expectS: 150 } }],
] as const;

const world = new World(3, 5, teams, 225, {}, ["a"], () => ({}), 15);
const { clock } = world;
const random = new Random(5);
let ids = 0;
const next = (): string => `wk-${100_000 + ids++}`;
await clock.run(10_000);
for (const [eidos, rate, names, from, to, job] of ownJobs) {
  const pauseMs = (): number => (-Math.log(1 - random.int(0, 999) / 1000) * 1000) / rate;
  const arrive = (): void => {
    const team = random.pick([...names]);
    world.submit(next(), { eidos, team, tasks: random.int(from, to), ...job });
    clock.after(pauseMs(), arrive);
  };
  clock.after(pauseMs(), arrive);
}
for (const [eidos, atS, count, job] of guestJobs) {
  for (let n = 0; n < count; n++) {
    const submit = () => world.submit(next(), { eidos, team: "guests", ...job });
    clock.after(atS * 1000 + n * 100, submit);
  }
}
const add = (sums: Map<string, number>, name: string, n: number): unknown =>
  sums.set(name, (sums.get(name) ?? 0) + n);
const text = (sums: Map<string, number>): string =>
  [...sums].map(([name, n]) => `${name} ${n.toFixed(1)}`).join(", ");
let lastVersion = 0;
for (let s = 0; s < 420; s += 30) {
  const changes = new Map<string, number>();
  for (let n = 0; n < 30; n++) {
    await clock.run(1000);
    for (const { key, version } of world.state.log) {
      if (version <= lastVersion) continue;
      lastVersion = version;
      add(changes, key.split("/", key.startsWith("c/") ? 3 : 2).at(-1)!, 1 / 30);
    }
  }
  const cpus = new Map<string, number>();
  for (const { tasks } of world.workers.values()) {
    for (const { piece, state } of tasks.values()) {
      if (state !== "ended") add(cpus, world.jobOf(piece).eidos, world.jobOf(piece).cpus);
    }
  }
  const jobs = [...world.jobs.values()].filter(({ accepted }) => accepted);
  const open = jobs.filter(({ toldDone, eidos }) => !toldDone && eidos !== "huge").length;
  const done = jobs.reduce((sum, job) => sum + job.done.size, 0);
  console.log(`${s} s: changes a second ${text(changes)}; ${done} tasks done, ${open} jobs open`);
  console.log(`  CPUs of ${world.workers.size * 4}: ${text(cpus)}`);
}
world.stop();
process.exit(0);
