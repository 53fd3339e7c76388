import type { Random } from "./random.js";
import type { Worker } from "./worker.js";
import type { World } from "./world.js";

type Fault = (world: World, random: Random, forMs: number) => number | undefined;

const randomWorker = (world: World, random: Random): Worker | undefined =>
  world.workers.size === 0 ? undefined : random.pick([...world.workers.values()]);

/** Sets a condition, and clears it after `forMs`. */
const forDuration = (world: World, forMs: number, set: (on: boolean) => void): undefined => {
  set(true);
  world.clock.after(forMs, () => set(false));
};

const workerFault =
  (what: "cut" | "hung" | "deaf" | "mute"): Fault =>
  (world, random, forMs) => {
    const worker = randomWorker(world, random);
    if (worker === undefined) return undefined;
    return forDuration(world, forMs, (on) => {
      worker[what] = on;
    });
  };

const storeFault =
  (set: (store: World["stores"][number], on: boolean) => void): Fault =>
  (world, random, forMs) => {
    const store = world.stores[random.int(0, world.nodes - 1)]!;
    return forDuration(world, forMs, (on) => set(store, on));
  };

/** Faults of a platform, by name. Each returns how long it lasts, if not `forMs`. */
export const FAULTS: Record<string, Fault> = {
  "crash of one": (world, random) => {
    world.crash(random.int(0, world.nodes - 1));
    return 5000;
  },
  "crash of all": (world) => {
    for (let n = 0; n < world.nodes; n++) world.crash(n);
    return 5000;
  },
  "cut from the store": storeFault((store, on) => {
    store.disconnected = on;
  }),
  "refused by the store": storeFault((store, on) => {
    store.unavailable = on;
  }),
  "store down": (world, _random, forMs) => {
    const outageMs = Math.min(forMs, 15_000);
    forDuration(world, outageMs, (on) => world.state.setOutage(on));
    return outageMs;
  },
  "answers of the store lost": storeFault((store, on) => {
    store.lostTransactionShare = on ? 0.3 : 0;
  }),
  unreached: (world, random, forMs) => {
    const n = random.int(0, world.nodes - 1);
    return forDuration(world, forMs, (on) => {
      if (on) world.unreachableControllers.add(n);
      else world.unreachableControllers.delete(n);
    });
  },
  "machine disconnected": workerFault("cut"),
  "machine hangs": workerFault("hung"),
  "machine gone": (world, random) => {
    const worker = randomWorker(world, random);
    if (worker !== undefined) world.remove(worker.id);
    return 0;
  },
  "machine receives nothing": workerFault("deaf"),
  "machine reaches no controller": workerFault("mute"),
  "answers of the store lost, nothing else": storeFault((store, on) => {
    store.lostAnswerShare = on ? 0.3 : 0;
  }),
  "the store answers slowly": storeFault((store, on) => {
    store.maxExtraDelayMs = on ? 1000 : 0;
  }),
  "old reports repeated to a new leader": (world, random, forMs) =>
    forDuration(world, forMs, (on) => {
      world.replayToNewLeaderShare = on ? 0.3 : 0;
      if (!on) world.crash(random.int(0, world.nodes - 1), 600);
    }),
  "machines boot within two seconds": (world, _random, forMs) =>
    forDuration(world, forMs, (on) => {
      world.cloud.bootMs = on ? [300, 2000] : [5000, 15_000];
    }),
  "all controllers queried after lasting answers": (world, _random, forMs) =>
    forDuration(world, forMs, (on) => {
      world.users.recheckShare = on ? 0.5 : 0;
    }),
  "cancellations as the last task ends": (world, _random, forMs) =>
    forDuration(world, forMs, (on) => {
      world.users.cancelAtEndShare = on ? 0.3 : 0;
    }),
  "running jobs cancelled, machines hang": (world, random) => {
    world.users.cancelRunningJobs(random.int(1, 4), random.chance(0.5) ? world.leaseMs * 0.8 : 0);
    return world.leaseMs;
  },
  "invalid requests": (world, _random, forMs) => {
    for (let ms = 0; ms < forMs; ms += 2000)
      world.clock.after(ms, () => void world.users.sendInvalidRequests());
    return 0;
  },
  "late copies of reports": (world, _random, forMs) => {
    forDuration(world, forMs, (on) => {
      world.lateReportCopyShare = on ? 0.3 : 0;
    });
    // The last copies arrive up to three leases later.
    return forMs + 3 * world.leaseMs;
  },
  "cut from the store and its peers": (world, random, forMs) => {
    const n = random.int(0, world.nodes - 1);
    return forDuration(world, forMs, (on) => world.isolate(n, on));
  },
  "restarted at once": (world, random) => {
    const n = random.int(0, world.nodes - 1);
    world.crash(n, random.int(50, 900));
    // Often it crashes again while its first restart is still being handled.
    if (random.chance(0.5)) {
      world.clock.after(random.int(1000, 4000), () => world.crash(n, random.int(50, 900)));
    }
    return 5000;
  },
  "all restarted at once": (world, random) => {
    for (let n = 0; n < world.nodes; n++) world.crash(n, random.int(50, 900));
    return 1000;
  },
  "machine rebooted": (world, random) => {
    randomWorker(world, random)?.reboot();
    return 0;
  },
};

/** Begins a random fault of `FAULTS` that lasts for a random time. */
export function injectRandomFault(world: World, random: Random): void {
  const forMs = random.int(3000, 40_000);
  const begin = FAULTS[random.pick(Object.keys(FAULTS))]!;
  world.noteFaultsFor(begin(world, random, forMs) ?? forMs);
}
