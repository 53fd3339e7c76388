import { TEAMS } from "./fault-day.js";
import { Random } from "./random.js";
import { World } from "./world.js";

const FAULTS_MS = 45_000;

/** Faults by the operators' names; each lasts `FAULTS_MS`. */
export const faultScenarios: {
  name: string;
  begin(world: World): void;
  end(world: World): void;
}[] = [
  {
    name: "a machine receives nothing",
    begin: (world) => {
      [...world.workers.values()][0]!.deaf = true;
    },
    end: (world) => {
      for (const worker of world.workers.values()) worker.deaf = false;
    },
  },
  {
    name: "copies of reports arrive late",
    begin: (world) => {
      world.lateReportCopyShare = 0.5;
    },
    end: (world) => {
      world.lateReportCopyShare = 0;
    },
  },
  {
    name: "a controller is cut from the store and its peers",
    begin: (world) => world.isolate(0, true),
    end: (world) => world.isolate(0, false),
  },
  {
    name: "controllers and machines restart at once, again and again",
    begin: (world) => {
      for (let ms = 0; ms < FAULTS_MS; ms += 1700) {
        world.clock.after(ms, () => {
          world.crash(Math.floor(ms / 1700) % world.nodes, 100 + (ms % 800));
          [...world.workers.values()][(ms / 100) % world.workers.size]?.reboot();
        });
      }
    },
    end: () => undefined,
  },
];

/** Plays a scenario with a constant supply of small jobs, so that every machine and part is used. */
export async function playScenario(
  scenario: (typeof faultScenarios)[number],
  nodes: number,
  joined: boolean,
): Promise<World> {
  const machines = Math.max(6, nodes * 2);
  const teams = TEAMS.map((team) => ({ ...team, cpus: machines, max: machines * 4 }));
  const world = new World(7 + nodes, nodes, teams, machines);
  const random = new Random(nodes);
  await world.clock.run(20_000);
  let jobs = 0;
  const submit = (count: number): void => {
    for (let n = 0; n < count; n++) {
      const { name: team } = random.pick(TEAMS);
      world.submit(`wk-${400_000 + jobs++}`, { team, tasks: 1, runMs: 4000 });
    }
  };
  for (let n = 0; n < 8; n++) {
    submit(machines);
    await world.clock.run(3000);
  }
  scenario.begin(world);
  world.noteFaultsFor(FAULTS_MS + 3 * world.leaseMs);
  if (joined) {
    world.crash(nodes - 1);
    const [first, ...others] = [...world.workers.values()];
    const lostWorkers = others.slice(0, Math.ceil(machines / 10));
    for (const { id } of lostWorkers) world.remove(id);
    // One more hangs, and resumes within its lease.
    if (first !== undefined) first.hung = true;
    world.clock.after(world.leaseMs * 0.8, () => {
      if (first !== undefined) first.hung = false;
    });
  }
  for (let n = 0; n < FAULTS_MS / 2000; n++) {
    submit(Math.ceil(machines / 2));
    await world.clock.run(2000);
  }
  scenario.end(world);
  await world.clock.run(120_000);
  world.stop();
  return world;
}
