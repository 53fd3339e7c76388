import {
  crashAll,
  currentLeader,
  FAULTS_MS,
  forEachStore,
  type OverlapScenario,
} from "./overlap.js";
import type { Worker } from "./worker.js";
import type { World } from "./world.js";

type WorkerFault = "cut" | "hung" | "deaf" | "mute";

/** Sets a fault on the selected machines for `forMs`. */
const setOnWorkers = (
  world: World,
  fault: WorkerFault,
  isSelected: (i: number, on: Worker) => boolean,
  forMs: number,
) => {
  [...world.workers.values()].forEach((worker, i) => {
    if (!isSelected(i, worker)) return;
    worker[fault] = true;
    world.clock.after(forMs, () => {
      worker[fault] = false;
    });
  });
};

const hasTasks = ({ tasks }: Worker): boolean => tasks.size > 0;

const setZoneCut = (world: World, zone: string, on: boolean): void => {
  const update = on ? "add" : "delete";
  if (on) world.zoneCutAt.set(zone, world.clock.now());
  else world.zoneCutAt.delete(zone);
  for (let n = 0; n < world.nodes; n++) {
    const inside = world.zoneOf(n) === zone;
    if (inside) world.stores[n]!.disconnected = on;
    for (const to of world.zones) {
      if ((to === zone) === inside) continue;
      world.blockedRoutes[update](`${n}>${to}`);
      world.blockedRoutes[update](`${to}>${n}`);
    }
    for (let other = 0; other < world.nodes; other++) {
      if ((world.zoneOf(other) === zone) !== inside) world.blockedRoutes[update](`${n}>${other}`);
    }
  }
};

/** Overlapping faults of machines, zones and several controllers. */
export const machineScenarios: OverlapScenario[] = [
  {
    name: "every team at its limit, cancelled jobs on machines that are cut off or hang, the leader changes",
    overcommitted: true,
    begin: (world, leader) => {
      setOnWorkers(world, "cut", (i, on) => i % 3 === 0 && hasTasks(on), 30_000);
      setOnWorkers(world, "hung", (i, on) => i % 3 === 1 && hasTasks(on), world.leaseMs * 0.8);
      world.users.cancelRunningJobs(6);
      world.crash(leader, 8000);
      world.clock.after(14_000, () => {
        world.users.cancelRunningJobs(4, world.leaseMs * 0.7);
        world.crash(currentLeader(world), 600);
      });
    },
    planted: { silenceIsGone: true },
    occurred: ({ users, leaderTerms }) => users.cancelledCount > 6 && leaderTerms > 1,
  },
  {
    name: "a team at its limit, the leader changes, some of its machines cannot be reached, one cancellation",
    overcommitted: true,
    begin: (world, leader) => {
      setOnWorkers(world, "deaf", (i, on) => i % 4 === 0 && hasTasks(on), 20_000);
      setOnWorkers(world, "cut", (i, on) => i % 4 === 1 && hasTasks(on), 20_000);
      world.crash(leader, 300);
      world.clock.after(1500, () => world.users.cancelRunningJobs(1));
    },
    planted: { silenceIsGone: true },
    occurred: ({ users, leaderTerms }) => users.cancelledCount > 0 && leaderTerms > 1,
  },
  {
    name: "machines boot within two seconds and get work at once while writes are slow, and the leader crashes",
    bootMs: [300, 2000],
    begin: (world, leader, { submit }) => {
      forEachStore(world, (store) => {
        store.maxExtraDelayMs = 1500;
        store.lostTransactionShare = 0.2;
      });
      for (const id of [...world.workers.keys()].slice(0, world.nodes)) world.remove(id);
      for (let at = 0; at < FAULTS_MS; at += 10_000) {
        world.clock.after(at, () => {
          for (let n = 0; n < world.nodes; n++) submit(3000, 4);
          world.crash(at === 0 ? leader : currentLeader(world), at % 20_000 === 0 ? 700 : 4000);
        });
      }
      world.clock.after(FAULTS_MS, () =>
        forEachStore(world, (store) => {
          store.maxExtraDelayMs = 0;
          store.lostTransactionShare = 0;
        }),
      );
    },
    planted: { ignoreConditions: true },
    occurred: ({ leaderTerms }) => leaderTerms > 2,
  },
  {
    name: "old reports reach every controller just as a new leader begins",
    begin: (world, leader) => {
      world.replayToNewLeaderShare = 0.5;
      for (let at = 6000; at < FAULTS_MS; at += 12_000) {
        world.clock.after(at, () => {
          // Some of the kept reports are then of an earlier session.
          [...world.workers.values()][(at / 6000) % world.workers.size]?.reboot();
          world.crash(
            at === 6000 ? leader : currentLeader(world),
            at % 24_000 === 6000 ? 400 : 5000,
          );
        });
      }
    },
    planted: { freshenReports: true },
    occurred: ({ leaderTerms }) => leaderTerms > 3,
  },
  {
    name: "machines reach no controller, commands reach them, jobs are cancelled, the leader crashes",
    begin: (world, leader) => {
      setOnWorkers(world, "mute", (i) => i % 3 === 0, 8000);
      setOnWorkers(world, "mute", (i) => i % 3 === 1, 40_000);
      world.users.cancelRunningJobs(4);
      world.clock.after(5000, () => world.crash(leader, 5000));
    },
    planted: { silenceIsGone: true },
  },
  {
    name: "the leader changes ten times in two minutes, also during an outage",
    begin: (world) => {
      forEachStore(world, (store) => {
        store.lostTransactionShare = 0.15;
      });
      world.clock.after(FAULTS_MS, () =>
        forEachStore(world, (store) => {
          store.lostTransactionShare = 0;
        }),
      );
      for (let n = 0; n < 10; n++) {
        world.clock.after(n * 5000, () =>
          world.crash(currentLeader(world), n % 2 === 0 ? 500 : 4500),
        );
      }
      world.clock.after(18_000, () => world.state.setOutage(true));
      world.clock.after(27_000, () => world.state.setOutage(false));
    },
    planted: { ignoreConditions: true },
    occurred: ({ leaderTerms }) => leaderTerms >= 8,
  },
  {
    name: "jobs bound to a zone, also array jobs, lose machines while a controller crashes",
    zones: ["a", "b"],
    begin: (world, leader, { submit, random }) => {
      const zoneConstraints = [
        { berth: "a" },
        { berth: "b" },
        { together: true },
        { scatter: true },
      ];
      for (let at = 0; at < FAULTS_MS; at += 4000) {
        world.clock.after(at, () => {
          submit(6000, random.int(2, 5), {
            body: zoneConstraints[(at / 4000) % zoneConstraints.length]!,
          });
          if (at % 8000 !== 0) return;
          const ids = [...world.workers.keys()];
          if (ids.length > 0) world.remove(random.pick(ids));
        });
      }
      world.clock.after(9000, () => world.crash(leader, 5000));
    },
    planted: { loseZones: true },
    occurred: ({ starts, users }) =>
      users.cancelledCount > 0 && [...starts.values()].some(({ zone }) => zone === "b"),
  },
  {
    name: "a zone with workers and controllers is cut off for longer than a lease",
    zones: ["a", "b"],
    begin: (world, _leader, { submit }) => {
      for (let n = 0; n < world.nodes; n++) submit(45_000, 4);
      world.clock.after(6000, () => setZoneCut(world, "b", true));
      world.clock.after(6000 + 2.5 * world.leaseMs, () => setZoneCut(world, "b", false));
    },
    planted: { silenceIsGone: true },
    occurred: ({ starts }) => [...starts.values()].some(({ zone }) => zone === "b"),
  },
  {
    name: "all controllers are down for longer than a lease, with old reports in flight",
    begin: (world) => {
      world.lateReportCopyShare = 0.6;
      world.clock.after(6000, () => {
        for (let n = 0; n < world.nodes; n++) world.crash(n, 1.6 * world.leaseMs + 700 * n);
      });
      world.clock.after(FAULTS_MS, () => {
        world.lateReportCopyShare = 0;
      });
    },
    planted: { freshenReports: true },
    occurred: ({ leasesEnded, leaderTerms }) => leasesEnded > 2 && leaderTerms > 1,
  },
  {
    name: "more work than capacity, urgent and not, over slow links, all controllers crash",
    overcommitted: true,
    begin: (world, leader, { submit, random }) => {
      world.medianFrameDelayMs = 400;
      world.maxCommandDelayMs = 1500;
      for (let at = 0; at < 30_000; at += 3000) {
        world.clock.after(at, () => {
          submit(8000, random.int(2, 6), { rank: random.pick(["best_effort", "urgent", "prod"]) });
        });
      }
      world.clock.after(12_000, () => crashAll(world, leader));
      world.clock.after(FAULTS_MS, () => {
        world.medianFrameDelayMs = 0;
      });
    },
    planted: { ignoreConditions: /^w\/q\// },
  },
];
