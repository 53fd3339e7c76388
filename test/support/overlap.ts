import { TEAMS } from "./fault-day.js";
import { Random } from "./random.js";
import { type DisabledGuards, World } from "./world.js";

/** How long the faults last: longer than a cancellation may take. */
export const FAULTS_MS = 50_000;

/** What a scenario may use of the day that it is played on. */
export interface OverlapDay {
  world: World;
  /** The controller that leads as the faults begin. */
  leader: number;
  random: Random;
  /** Submits a job of a random team, and returns its id. */
  submit(
    runMs: number,
    tasks: number,
    more?: { extraRunMsPerTask?: number; rank?: string; body?: Record<string, unknown> },
  ): string;
}

/** A scenario of overlapping faults. */
export interface OverlapScenario {
  name: string;
  begin(world: World, leader: number, day: OverlapDay): void;
  /** A disabled guard that the checks must detect in this scenario. */
  planted: DisabledGuards;
  /** Whether the situation under test occurred; by default, whether users cancelled jobs. */
  occurred?(world: World): boolean;
  zones?: string[];
  /** Team limits add up to less than the capacity of the machines, and there is more work than that. */
  overcommitted?: boolean;
  /** Minimum and maximum boot time of machines. */
  bootMs?: [number, number];
}

export const forEachStore = (world: World, set: (store: World["stores"][number]) => void): void => {
  for (const store of world.stores) set(store);
};

/** Crashes all controllers: the leader restarts at once and crashes again, others restart one by one. */
export const crashAll = (world: World, leader: number): void => {
  for (let n = 0; n < world.nodes; n++) world.crash(n, n === leader ? 300 : 4000 + 900 * n);
  world.clock.after(900, () => world.crash(leader, 200));
};

/** The leader by its record in the store; 0 while there is none. */
export const currentLeader = (world: World): number => {
  const row = world.state.rows.get("w/lead")?.value as { node: string } | undefined;
  return row === undefined ? 0 : Number(row.node.slice(1));
};

/** Plays a scenario on small jobs whose tasks end far apart, and long ones that are cancelled meanwhile. */
export async function playOverlap(
  { begin, zones = ["a"], overcommitted = false, bootMs }: OverlapScenario,
  nodes: number,
  seed: number,
  sabotage: DisabledGuards = {},
): Promise<World> {
  const machines = nodes * 3;
  const maxCpus = overcommitted ? Math.floor((machines * 4 * 0.8) / TEAMS.length) : machines * 4;
  const teams = TEAMS.map((team) => ({ ...team, cpus: Math.min(machines, maxCpus), max: maxCpus }));
  const world = new World(seed, nodes, teams, machines, sabotage, zones, undefined, 60);
  if (bootMs !== undefined) world.cloud.bootMs = bootMs;
  // Otherwise all machines would be rented in the zone of the first ones.
  world.cloud.zoneCapacity = Math.ceil(machines / zones.length);
  const random = new Random(seed + 40);
  let jobs = 0;
  const submit: OverlapDay["submit"] = (runMs, tasks, more = {}) => {
    const id = `wk-${500_000 + jobs++}`;
    world.submit(id, { team: random.pick(TEAMS).name, tasks, runMs, eidos: `${runMs}`, ...more });
    return id;
  };
  await world.clock.run(20_000);
  const long = Array.from({ length: nodes * 2 }, () => submit(110_000, random.int(2, 4)));
  for (let n = 0; n < nodes * 2; n++) submit(3000, random.int(2, 3), { extraRunMsPerTask: 20_000 });
  // Both teams always request more than their limits.
  if (overcommitted) for (let n = 0; n < nodes * 4; n++) submit(12_000, random.int(3, 6));
  await world.clock.run(12_000);
  const leader = currentLeader(world);
  begin(world, leader, { world, leader, random, submit });
  world.noteFaultsFor(FAULTS_MS + 4 * world.leaseMs);
  for (const [i, id] of long.entries()) {
    // Half of them within 2.4 s, the others at any time while the faults last.
    const at = i % 2 === 0 ? random.int(200, 2400) : random.int(0, FAULTS_MS);
    world.clock.after(at, () => world.cancel(id));
  }
  for (let n = 0; n < FAULTS_MS / 5000; n++) {
    submit(4000, random.int(2, 3), { extraRunMsPerTask: 15_000 });
    await world.clock.run(5000);
  }
  world.maxCommandDelayMs = 0;
  world.lateAnswerShare = 0;
  world.replayToNewLeaderShare = 0;
  world.users.cancelAtEndShare = 0;
  await world.clock.run(150_000);
  world.stop();
  return world;
}
