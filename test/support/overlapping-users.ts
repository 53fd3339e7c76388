import { crashAll, FAULTS_MS, forEachStore, type OverlapScenario } from "./overlap.js";
import type { World } from "./world.js";

const every = (ms: number, run: (nth: number) => void, world: World) => {
  for (let at = 0, nth = 0; at < FAULTS_MS; at += ms, nth++) world.clock.after(at, () => run(nth));
};

/** Overlapping faults while users query all controllers, cancel, and submit again. */
export const userScenarios: OverlapScenario[] = [
  {
    name: "users query all controllers at once after each lasting answer, submit again, and some cancel at once",
    begin: (world, leader) => {
      world.users.recheckShare = 1;
      every(
        9000,
        (nth) => world.crash((leader + nth) % world.nodes, nth % 2 === 0 ? 400 : 4000),
        world,
      );
      world.clock.after(20_000, () => world.state.setOutage(true));
      world.clock.after(24_000, () => world.state.setOutage(false));
    },
    planted: { staleReads: true },
    occurred: ({ users }) => users.recheckCount > 100 && users.cancelledCount > 3,
  },
  {
    name: "transactions are applied at once, only their answers are lost, and other controllers read them",
    begin: (world, leader) => {
      world.users.recheckShare = 0.5;
      forEachStore(world, (store) => {
        store.lostAnswerShare = 0.4;
      });
      world.clock.after(15_000, () => world.crash(leader, 500));
      world.clock.after(30_000, () => world.crash((leader + 1) % world.nodes, 5000));
      world.clock.after(FAULTS_MS, () =>
        forEachStore(world, (store) => {
          store.lostAnswerShare = 0;
        }),
      );
    },
    planted: { ignoreConditions: /^w\/j\// },
    occurred: ({ users }) => users.recheckCount > 50 && users.cancelledCount > 5,
  },
  {
    name: "cancellations while the parts of one controller get another owner",
    begin: (world, leader) => {
      world.users.recheckShare = 0.3;
      every(
        8000,
        (nth) => {
          const n = (leader + nth) % world.nodes;
          // By a drain, by a crash, and by a restart within a second.
          if (nth % 3 === 0) {
            void world.controllers[n]?.drain().catch(() => undefined);
            world.clock.after(5000, () => void world.controllers[n]?.drain(false));
          } else world.crash(n, nth % 3 === 1 ? 6000 : 300);
          for (const at of [0, 600, 1500, 3000]) {
            world.clock.after(at, () => world.users.cancelRunningJobs(1));
          }
        },
        world,
      );
    },
    planted: { ignoreConditions: /^w\/j\// },
    occurred: ({ users, leaderTerms }) => users.cancelledCount > 10 && leaderTerms > 1,
  },
  {
    name: "four one-task jobs a second, a quarter of them cancelled",
    begin: (world, leader, { submit, random }) => {
      every(
        250,
        () => {
          const id = submit(2000, 1);
          if (random.chance(0.25)) {
            world.clock.after(random.int(50, 4000), () => world.cancel(id));
          }
        },
        world,
      );
      world.clock.after(20_000, () => world.crash(leader, 5000));
    },
    planted: { ignoreConditions: /^w\/j\// },
    occurred: ({ users }) => users.cancelledCount > 30,
  },
  {
    name: "cancellations, queries and repeated submissions at the end of the last task",
    begin: (world) => {
      world.users.recheckShare = 0.5;
      world.users.cancelAtEndShare = 0.7;
    },
    planted: { ignoreConditions: /^w\/j\// },
    occurred: ({ users }) => users.recheckCount > 100 && users.cancelledCount > 5,
  },
  {
    name: "cancellations at the moment at which the store refuses the leader, then all controllers",
    begin: (world, leader) => {
      world.stores[leader]!.unavailable = true;
      world.users.cancelRunningJobs(4);
      world.clock.after(1000, () => world.state.setOutage(true));
      world.clock.after(FAULTS_MS - 6000, () => {
        world.stores[leader]!.unavailable = false;
        world.state.setOutage(false);
      });
    },
    planted: { emptyWatches: true },
  },
  {
    name: "submissions that every controller must reject, while all of them crash in turns",
    begin: (world, leader) => {
      every(700, () => void world.users.sendInvalidRequests(), world);
      world.clock.after(10_000, () => crashAll(world, leader));
      world.clock.after(30_000, () => world.crash(leader, 3000));
    },
    planted: { ignoreConditions: /^w\/j\// },
  },
];
