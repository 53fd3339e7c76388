/** What the store's changes are spent on while guests have one huge job and many small ones. */
import { Random } from "../support/random.js";
import { World } from "../support/world.js";

const guests = process.argv[2] !== "none";
const machines = 225;
const teams = [
  { name: "ploia", cpus: 125, max: 250 },
  { name: "aero", cpus: 200, max: 600 },
  { name: "leo", cpus: 75, max: 200 },
  { name: "taxi", cpus: 200, max: 600 },
  { name: "treno", cpus: 150, max: 500 },
  { name: "grafeio", cpus: 75, max: 200 },
  { name: "dimos", cpus: 0, max: 0 },
];
const world = new World(3, 5, teams, machines, {}, ["a"], () => ({}), 15);
const dice = new Random(5);
let ids = 0;
const next = (): string => `wk-${String(100000 + ids++)}`;
const exp = (mean: number): number => -Math.log(1 - dice.int(0, 999) / 1000) * mean;
const arrive = (rate: number, make: () => void): void => {
  const go = (): void => {
    make();
    world.clock.after(exp(1000 / rate), go);
  };
  world.clock.after(exp(1000 / rate), go);
};
await world.clock.run(10_000);
const due = (f: number, s: number) => ({ dueS: f * s + 10, expectS: s });
arrive(0.0243, () =>
  world.submit(next(), {
    eidos: "anti",
    team: dice.pick(["ploia", "aero", "leo", "taxi", "treno", "grafeio"]),
    tasks: dice.int(30, 200),
    runMs: 60_000,
    body: due(3, 55),
  }),
);
arrive(0.0263, () =>
  world.submit(next(), {
    eidos: "archeio",
    team: dice.pick(["ploia", "leo", "grafeio"]),
    tasks: dice.int(10, 70),
    cpus: 4,
    runMs: 70_000,
    rank: "best_effort",
    body: { expectS: 70, stashEveryS: 30, stashS: 2 },
  }),
);
arrive(0.0273, () =>
  world.submit(next(), {
    eidos: "meta",
    team: dice.pick(["leo", "grafeio"]),
    tasks: dice.int(50, 700),
    runMs: 20_000,
    body: due(2.5, 18),
  }),
);
const counts = new Map<string, number>();
let seen = 0;
const tally = (): void => {
  for (const { key, version } of world.state.log) {
    if (version <= seen) continue;
    seen = version;
    const kind = key.startsWith("w/j/")
      ? "header"
      : key.startsWith("c/")
        ? `part/${key.split("/")[2]}`
        : key.split("/").slice(0, 2).join("/");
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  world.clock.after(1000, tally);
};
tally();
const busy = (): string => {
  let used = 0;
  const by = new Map<string, number>();
  for (const w of world.workers.values())
    for (const t of w.tasks.values())
      if (t.state !== "ended") {
        const j = world.jobOf(t.piece);
        used += j.cpus;
        by.set(j.eidos, (by.get(j.eidos) ?? 0) + j.cpus);
      }
  return `${used} of ${world.workers.size * 4}: ${[...by].map(([k, v]) => `${k} ${v}`).join(", ")}`;
};
for (let s = 0; s < 420; s += 30) {
  if (s === 60 && guests) {
    world.submit(next(), {
      eidos: "palia",
      team: "dimos",
      tasks: 10_000,
      runMs: 20_000,
      rank: "best_effort",
      body: { expectS: 20 },
    });
    for (let n = 0; n < 3; n++)
      world.submit(next(), {
        eidos: "stat",
        team: "dimos",
        tasks: 240,
        runMs: 300_000,
        rank: "best_effort",
        body: { expectS: 300, stashEveryS: 30, stashS: 3 },
      });
  }
  if (s === 120 && guests)
    for (let n = 0; n < 245; n++)
      world.clock.after(n * 100, () =>
        world.submit(next(), {
          eidos: "aiti",
          team: "dimos",
          tasks: 1,
          cpus: 0.25,
          runMs: 150_000,
          rank: "best_effort",
          body: { expectS: 150 },
        }),
      );
  counts.clear();
  const started = world.startedTasks;
  await world.clock.run(30_000);
  let done = 0;
  let waiting = 0;
  for (const j of world.jobs.values()) {
    done += j.done.size;
    if (j.eidos !== "palia") waiting += j.accepted && !j.toldDone ? 1 : 0;
  }
  console.log(
    s,
    `writes ${[...counts]
      .sort((a, b) => b[1] - a[1])
      .map(([k, v]) => `${k} ${(v / 30).toFixed(1)}`)
      .join(
        ", ",
      )}; starts ${((world.startedTasks - started) / 30).toFixed(1)}/s done ${done}; open ${waiting}; ${busy()}`,
  );
}
world.stop();
process.exit(0);
