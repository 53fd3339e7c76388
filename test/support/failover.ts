import { Layout } from "../../src/membership/layout.js";
import type { Operators } from "../../src/settings/operators.js";
import { Random } from "./random.js";
import { World } from "./world.js";

export const TEAMS = [
  { name: "red", cpus: 80, max: 300 },
  { name: "blue", cpus: 80, max: 300 },
];
const A = 1;
const B = 2;

interface Trouble {
  begin(world: World): void;
  /** Whose parts should get another owner. */
  lost: number[];
}

const crash =
  (forMs: number, which: (n: number) => boolean) =>
  (world: World): void => {
    for (let n = 0; n < world.nodes; n++) if (which(n)) world.crash(n, forMs);
  };

/** Something that holds for 40 s. */
const lasting =
  (set: (world: World, on: boolean) => void, forMs = 40_000) =>
  (world: World): void => {
    set(world, true);
    world.clock.after(forMs, () => set(world, false));
  };

const freeze = (forMs: number) =>
  lasting((world, on) => (on ? world.clocks[A]!.freeze() : world.clocks[A]!.thaw()), forMs);

const deaf = (world: World, on: boolean): void => {
  if (on) world.deaf.add(A);
  else world.deaf.delete(A);
};

/** Cuts the ways that are named, from one to another: controllers by number, workers by zone. */
const cut = (ways: (world: World) => string[]) =>
  lasting((world, on) => {
    for (const way of ways(world)) {
      if (on) world.cutWays.add(way);
      else world.cutWays.delete(way);
    }
  });

const others = (world: World): number[] => world.controllers.map((_, n) => n);

/** Troubles of controllers, by name: what happens at once, and what ends them. */
export const TROUBLES: Record<string, Trouble> = {
  "crash of one": { begin: crash(20_000, (n) => n === A), lost: [A] },
  "crash of one, back at once": { begin: crash(300, (n) => n === A), lost: [A] },
  "crash of two": { begin: crash(20_000, (n) => n === A || n === B), lost: [A, B] },
  "crash of all but one": { begin: crash(30_000, (n) => n > 0), lost: [A, B] },
  "crash of all": { begin: crash(5000, () => true), lost: [A, B] },
  "restart one after the other": {
    begin: (world) => {
      for (const n of others(world)) world.clock.after(n * 6000, () => world.crash(n, 500));
    },
    lost: [0],
  },
  "frozen for 5 s": { begin: freeze(5000), lost: [A] },
  "frozen for a minute": { begin: freeze(60_000), lost: [A] },
  "cut from the network": {
    begin: lasting((world, on) => {
      deaf(world, on);
      world.stores[A]!.cut = on;
    }),
    lost: [A],
  },
  "cut from the store": {
    begin: lasting((world, on) => {
      world.stores[A]!.cut = on;
    }),
    lost: [A],
  },
  "refused by the store": {
    begin: lasting((world, on) => {
      world.stores[A]!.refused = on;
    }),
    lost: [A],
  },
  "cut from its workers": {
    begin: cut(({ zones }) => zones.map((zone) => `${zone}>${A}`)),
    lost: [A],
  },
  "cut from its workers one way": {
    begin: cut(({ zones }) => zones.map((zone) => `${A}>${zone}`)),
    lost: [A],
  },
  "reached by nobody but the store": { begin: lasting(deaf), lost: [A] },
  "cut from its peers": {
    begin: cut((world) => others(world).flatMap((n) => [`${A}>${n}`, `${n}>${A}`])),
    lost: [],
  },
  "peers all refuse each other": {
    begin: lasting((world, on) => {
      world.frameLoss = on ? 1 : 0;
    }),
    lost: [],
  },
  "frames lost, 20 in 100, others late": {
    begin: lasting((world, on) => {
      world.frameLoss = on ? 0.2 : 0;
      world.frameMs = on ? 150 : 0;
    }),
    lost: [],
  },
  "slow by 250 ms an event": {
    begin: lasting((world, on) => {
      world.clocks[A]!.lagMs = on ? 250 : 0;
    }),
    lost: [],
  },
  "a store that is slow for all": {
    begin: lasting((world, on) => {
      for (const store of world.stores) store.slowMs = on ? 600 : 0;
    }),
    lost: [],
  },
  "two zones that cannot reach each other": {
    begin: cut((world) => {
      const ends: [string | number, string][] = [
        ...others(world).map((n): [number, string] => [n, world.zoneOf(n)]),
        ...world.zones.map((zone): [string, string] => [zone, zone]),
      ];
      return ends.flatMap(([from, a]) =>
        ends.flatMap(([to, b]) => (a === b ? [] : [`${from}>${to}`])),
      );
    }),
    lost: [],
  },
  "a crash loop": {
    begin: (world) => {
      for (let i = 0; i < 5; i++) world.clock.after(i * 8000, () => world.crash(A, 1500));
    },
    lost: [A],
  },
};

export interface Options {
  nodes: number;
  seed: number;
  zones?: readonly string[];
  machines?: number;
  operators?: (node: number) => Partial<Operators>;
  /** Another controller ends shortly after, and 10% of the machines hang. */
  joined?: boolean;
}

/** What a trouble did to the parts of the controllers that it concerns; times after it began, in ms. */
export interface Seen {
  /** A new claim on the part; the first answer and the first start under a token of its owner's. */
  claimed: (number | null)[];
  answered: (number | null)[];
  started: (number | null)[];
  leasesEnded: number;
  rerun: number;
  /** How often parts changed hands. */
  moves: number;
  changes: number;
  frames: number;
  /** The longest that a part was without an answered report. */
  silentMs: number;
  /** The longest time without any claim on a part. */
  ownerlessMs: number;
  violations: string[];
  unfinished: string[];
}

/** A world that is busy, with one trouble in it; the same seed has the same luck until then. */
export async function failover(trouble: string, options: Options): Promise<Seen> {
  const { nodes, seed, zones = ["a", "b"], machines = nodes * 4, operators } = options;
  const world = new World(seed, nodes, TEAMS, machines, {}, zones, operators, 60);
  world.cloud.zoneCapacity = Math.ceil(machines / zones.length);
  const dice = new Random(seed + 77);
  let jobs = 0;
  const feed = (): void => {
    for (const team of ["red", "blue"]) {
      world.submit(`wk-${String(600_000 + jobs++)}`, {
        team,
        tasks: dice.int(4, 2 * nodes),
        cpus: dice.int(1, 2),
        runMs: dice.int(4000, 16_000),
      });
    }
  };
  for (let at = 0; at < 22; at++) world.clock.after(12_000 + at * 3000, feed);
  await world.clock.run(36_000 + dice.int(0, 3000));
  const { begin, lost } = TROUBLES[trouble]!;
  const at = world.clock.now();
  const before = { frames: world.frames, revision: world.state.revision };
  const { leasesEnded } = world;
  const starts = new Map<string, number>();
  let rerun = 0;
  const token = new Map<number, number>();
  for (let part = 0; part < nodes; part++)
    token.set(part, world.state.rows.get(`w/p/${part}`)?.version ?? 0);
  const layout = new Layout(
    Array.from({ length: nodes }, (_, n) => ({ name: `n${n}`, zone: world.zoneOf(n) })),
  );
  const used = new Set([...world.workers.values()].map(({ id, zone }) => layout.partOf(id, zone)));
  // A part without machines has nobody to answer.
  const open = lost.map((part) => (used.has(part) ? null : 0));
  const seen: Seen = {
    claimed: lost.map(() => null),
    answered: [...open],
    started: [...open],
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
  const startedIds = new Set(world.starts.keys());
  world.onAnswer = (_worker, _node, baton) => {
    const now = world.clock.now();
    for (let part = 0; part < nodes; part++) {
      if (claimOf(part) !== baton) continue;
      seen.silentMs = Math.max(seen.silentMs, now - (answeredAt.get(part) ?? at));
      answeredAt.set(part, now);
      const i = lost.indexOf(part);
      if (i >= 0 && baton > token.get(part)!) seen.answered[i] ??= now - at;
    }
  };
  world.onStart = (worker, piece) => {
    const now = world.clock.now();
    const count = (starts.get(piece) ?? (startedIds.has(piece) ? 1 : 0)) + 1;
    if (count > 1) rerun++;
    starts.set(piece, count);
    lost.forEach((part, i) => {
      if (worker.token === claimOf(part) && worker.token > token.get(part)!)
        seen.started[i] ??= now - at;
    });
  };
  const ownerless = new Map<number, number>();
  const last = new Map(token);
  const look = (): void => {
    const now = world.clock.now();
    for (let part = 0; part < nodes; part++) {
      const version = claimOf(part);
      if (version === 0) {
        const since = ownerless.get(part) ?? now;
        ownerless.set(part, since);
        seen.ownerlessMs = Math.max(seen.ownerlessMs, now - since);
        continue;
      }
      ownerless.delete(part);
      if (version === last.get(part)) continue;
      last.set(part, version);
      seen.moves++;
      const i = lost.indexOf(part);
      if (i >= 0) seen.claimed[i] ??= now - at;
    }
    if (now - at < 60_000) world.clock.after(10, look);
  };
  look();
  begin(world);
  if (options.joined === true) {
    const other = nodes - 1;
    world.clock.after(dice.int(200, 2500), () => world.crash(other, 20_000));
    for (const worker of world.workers.values()) {
      if (!dice.chance(0.1)) continue;
      worker.hung = true;
      world.clock.after(dice.int(5000, 30_000), () => {
        worker.hung = false;
      });
    }
  }
  await world.clock.run(60_000);
  seen.leasesEnded = world.leasesEnded - leasesEnded;
  seen.rerun = rerun;
  seen.frames = world.frames - before.frames;
  seen.changes = world.state.revision - before.revision;
  const busy = (): boolean =>
    [...world.jobs.values()].some(({ accepted, toldDone }) => !accepted || !toldDone);
  for (let waited = 0; waited < 240_000 && (waited < 30_000 || busy()); waited += 10_000) {
    await world.clock.run(10_000);
  }
  seen.violations = world.violations.map(({ rule, detail }) => `${rule}: ${detail}`);
  seen.unfinished = [...world.jobs.values()]
    .filter(({ accepted, toldDone }) => !accepted || !toldDone)
    .map(({ id, done, tasks }) => `${id}: ${done.size} of ${tasks}`);
  world.stop();
  return seen;
}
