import { Layout } from "../../src/membership/layout.js";
import type { Operators } from "../../src/settings/operators.js";
import { Random } from "./random.js";
import { World } from "./world.js";

export const TEAMS = [
  { name: "red", cpus: 80, max: 300 },
  { name: "blue", cpus: 80, max: 300 },
];
const TARGET = 1;
const SECOND_TARGET = 2;

interface Fault {
  begin(world: World): void;
  /** Parts that should get another owner. */
  affectedParts: number[];
}

const crash =
  (forMs: number, which: (n: number) => boolean) =>
  (world: World): void => {
    for (let n = 0; n < world.nodes; n++) if (which(n)) world.crash(n, forMs);
  };

/** A condition that holds for a time, 40 s by default. */
const forDuration =
  (set: (world: World, on: boolean) => void, forMs = 40_000) =>
  (world: World): void => {
    set(world, true);
    world.clock.after(forMs, () => set(world, false));
  };

const freeze = (forMs: number) =>
  forDuration(
    (world, on) => (on ? world.clocks[TARGET]!.freeze() : world.clocks[TARGET]!.thaw()),
    forMs,
  );

const setUnreachable = (world: World, on: boolean): void => {
  if (on) world.unreachableControllers.add(TARGET);
  else world.unreachableControllers.delete(TARGET);
};

/** Blocks routes from one end to another: controllers by number, workers by zone. */
const blockRoutes = (routes: (world: World) => string[]) =>
  forDuration((world, on) => {
    for (const route of routes(world)) {
      if (on) world.blockedRoutes.add(route);
      else world.blockedRoutes.delete(route);
    }
  });

const allNodes = (world: World): number[] => world.controllers.map((_, n) => n);

/** Faults of controllers, by name: how each begins and ends, and which parts it affects. */
export const FAULTS: Record<string, Fault> = {
  "crash of one": { begin: crash(20_000, (n) => n === TARGET), affectedParts: [TARGET] },
  "crash of one, back at once": { begin: crash(300, (n) => n === TARGET), affectedParts: [TARGET] },
  "crash of two": {
    begin: crash(20_000, (n) => n === TARGET || n === SECOND_TARGET),
    affectedParts: [TARGET, SECOND_TARGET],
  },
  "crash of all but one": {
    begin: crash(30_000, (n) => n > 0),
    affectedParts: [TARGET, SECOND_TARGET],
  },
  "crash of all": { begin: crash(5000, () => true), affectedParts: [TARGET, SECOND_TARGET] },
  "restart one after the other": {
    begin: (world) => {
      for (const n of allNodes(world)) world.clock.after(n * 6000, () => world.crash(n, 500));
    },
    affectedParts: [0],
  },
  "frozen for 5 s": { begin: freeze(5000), affectedParts: [TARGET] },
  "frozen for a minute": { begin: freeze(60_000), affectedParts: [TARGET] },
  "cut from the network": {
    begin: forDuration((world, on) => {
      setUnreachable(world, on);
      world.stores[TARGET]!.disconnected = on;
    }),
    affectedParts: [TARGET],
  },
  "cut from the store": {
    begin: forDuration((world, on) => {
      world.stores[TARGET]!.disconnected = on;
    }),
    affectedParts: [TARGET],
  },
  "refused by the store": {
    begin: forDuration((world, on) => {
      world.stores[TARGET]!.unavailable = on;
    }),
    affectedParts: [TARGET],
  },
  "cut from its workers": {
    begin: blockRoutes(({ zones }) => zones.map((zone) => `${zone}>${TARGET}`)),
    affectedParts: [TARGET],
  },
  "cut from its workers one way": {
    begin: blockRoutes(({ zones }) => zones.map((zone) => `${TARGET}>${zone}`)),
    affectedParts: [TARGET],
  },
  "reached by nobody but the store": {
    begin: forDuration(setUnreachable),
    affectedParts: [TARGET],
  },
  "cut from its peers": {
    begin: blockRoutes((world) =>
      allNodes(world).flatMap((n) => [`${TARGET}>${n}`, `${n}>${TARGET}`]),
    ),
    affectedParts: [],
  },
  "peers all refuse each other": {
    begin: forDuration((world, on) => {
      world.frameLossShare = on ? 1 : 0;
    }),
    affectedParts: [],
  },
  "frames lost, 20 in 100, others late": {
    begin: forDuration((world, on) => {
      world.frameLossShare = on ? 0.2 : 0;
      world.medianFrameDelayMs = on ? 150 : 0;
    }),
    affectedParts: [],
  },
  "slow by 250 ms an event": {
    begin: forDuration((world, on) => {
      world.clocks[TARGET]!.lagMs = on ? 250 : 0;
    }),
    affectedParts: [],
  },
  "a store that is slow for all": {
    begin: forDuration((world, on) => {
      for (const store of world.stores) store.maxExtraDelayMs = on ? 600 : 0;
    }),
    affectedParts: [],
  },
  "two zones that cannot reach each other": {
    begin: blockRoutes((world) => {
      const ends: [string | number, string][] = [
        ...allNodes(world).map((n): [number, string] => [n, world.zoneOf(n)]),
        ...world.zones.map((zone): [string, string] => [zone, zone]),
      ];
      return ends.flatMap(([from, a]) =>
        ends.flatMap(([to, b]) => (a === b ? [] : [`${from}>${to}`])),
      );
    }),
    affectedParts: [],
  },
  "a crash loop": {
    begin: (world) => {
      for (let i = 0; i < 5; i++) world.clock.after(i * 8000, () => world.crash(TARGET, 1500));
    },
    affectedParts: [TARGET],
  },
};

export interface FailoverOptions {
  nodes: number;
  seed: number;
  zones?: readonly string[];
  machines?: number;
  operators?: (node: number) => Partial<Operators>;
  /** Another controller crashes shortly after, and 10% of the machines hang. */
  joined?: boolean;
}

/** The effect of a fault on the affected parts; times are ms since the fault began. */
export interface FailoverResult {
  /** Time of a new claim on the part, and of the first answer and start under its owner's token. */
  claimed: (number | null)[];
  answered: (number | null)[];
  started: (number | null)[];
  leasesEnded: number;
  rerun: number;
  /** How many times a part got another owner. */
  moves: number;
  changes: number;
  frames: number;
  /** The longest time without an answered report of a part. */
  silentMs: number;
  /** The longest time without a claim on a part. */
  ownerlessMs: number;
  violations: string[];
  unfinished: string[];
}

/** Plays one fault in a busy world; runs with the same seed are the same until the fault begins. */
export async function failover(fault: string, options: FailoverOptions): Promise<FailoverResult> {
  const { nodes, seed, zones = ["a", "b"], machines = nodes * 4, operators } = options;
  const world = new World(seed, nodes, TEAMS, machines, {}, zones, operators, 60);
  world.cloud.zoneCapacity = Math.ceil(machines / zones.length);
  const random = new Random(seed + 77);
  let jobs = 0;
  const submitJobs = (): void => {
    for (const team of ["red", "blue"]) {
      world.submit(`wk-${String(600_000 + jobs++)}`, {
        team,
        tasks: random.int(4, 2 * nodes),
        cpus: random.int(1, 2),
        runMs: random.int(4000, 16_000),
      });
    }
  };
  for (let at = 0; at < 22; at++) world.clock.after(12_000 + at * 3000, submitJobs);
  await world.clock.run(36_000 + random.int(0, 3000));
  const { begin, affectedParts } = FAULTS[fault]!;
  const at = world.clock.now();
  const before = { frames: world.frames, revision: world.state.revision };
  const { leasesEnded } = world;
  const startCounts = new Map<string, number>();
  let rerun = 0;
  const tokensBefore = new Map<number, number>();
  for (let part = 0; part < nodes; part++)
    tokensBefore.set(part, world.state.rows.get(`w/p/${part}`)?.version ?? 0);
  const layout = new Layout(
    Array.from({ length: nodes }, (_, n) => ({ name: `n${n}`, zone: world.zoneOf(n) })),
  );
  const partsWithMachines = new Set(
    [...world.workers.values()].map(({ id, zone }) => layout.partOf(id, zone)),
  );
  // A part without machines has no reports to answer.
  const initial = affectedParts.map((part) => (partsWithMachines.has(part) ? null : 0));
  const result: FailoverResult = {
    claimed: affectedParts.map(() => null),
    answered: [...initial],
    started: [...initial],
    leasesEnded: 0,
    rerun: 0,
    moves: 0,
    changes: 0,
    frames: 0,
    silentMs: 0,
    ownerlessMs: 0,
    violations: [],
    unfinished: [],
  };
  const claimOf = (part: number): number => world.state.rows.get(`w/p/${part}`)?.version ?? 0;
  const answeredAt = new Map<number, number>();
  const startedBefore = new Set(world.starts.keys());
  world.onAnswer = (_worker, _node, baton) => {
    const now = world.clock.now();
    for (let part = 0; part < nodes; part++) {
      if (claimOf(part) !== baton) continue;
      result.silentMs = Math.max(result.silentMs, now - (answeredAt.get(part) ?? at));
      answeredAt.set(part, now);
      const i = affectedParts.indexOf(part);
      if (i >= 0 && baton > tokensBefore.get(part)!) result.answered[i] ??= now - at;
    }
  };
  world.onStart = (worker, piece) => {
    const now = world.clock.now();
    const count = (startCounts.get(piece) ?? (startedBefore.has(piece) ? 1 : 0)) + 1;
    if (count > 1) rerun++;
    startCounts.set(piece, count);
    affectedParts.forEach((part, i) => {
      if (worker.token === claimOf(part) && worker.token > tokensBefore.get(part)!)
        result.started[i] ??= now - at;
    });
  };
  const ownerlessSince = new Map<number, number>();
  const lastVersion = new Map(tokensBefore);
  const watchClaims = (): void => {
    const now = world.clock.now();
    for (let part = 0; part < nodes; part++) {
      const version = claimOf(part);
      if (version === 0) {
        const since = ownerlessSince.get(part) ?? now;
        ownerlessSince.set(part, since);
        result.ownerlessMs = Math.max(result.ownerlessMs, now - since);
        continue;
      }
      ownerlessSince.delete(part);
      if (version === lastVersion.get(part)) continue;
      lastVersion.set(part, version);
      result.moves++;
      const i = affectedParts.indexOf(part);
      if (i >= 0) result.claimed[i] ??= now - at;
    }
    if (now - at < 60_000) world.clock.after(10, watchClaims);
  };
  watchClaims();
  begin(world);
  if (options.joined === true) {
    const other = nodes - 1;
    world.clock.after(random.int(200, 2500), () => world.crash(other, 20_000));
    for (const worker of world.workers.values()) {
      if (!random.chance(0.1)) continue;
      worker.hung = true;
      world.clock.after(random.int(5000, 30_000), () => {
        worker.hung = false;
      });
    }
  }
  await world.clock.run(60_000);
  result.leasesEnded = world.leasesEnded - leasesEnded;
  result.rerun = rerun;
  result.frames = world.frames - before.frames;
  result.changes = world.state.revision - before.revision;
  const busy = (): boolean =>
    [...world.jobs.values()].some(({ accepted, toldDone }) => !accepted || !toldDone);
  for (let waited = 0; waited < 240_000 && (waited < 30_000 || busy()); waited += 10_000) {
    await world.clock.run(10_000);
  }
  result.violations = world.violations.map(({ rule, detail }) => `${rule}: ${detail}`);
  result.unfinished = [...world.jobs.values()]
    .filter(({ accepted, toldDone }) => !accepted || !toldDone)
    .map(({ id, done, tasks }) => `${id}: ${done.size} of ${tasks}`);
  world.stop();
  return result;
}
