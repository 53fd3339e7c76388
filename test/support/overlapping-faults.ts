import { crashAll, FAULTS_MS, forEachStore, type OverlapScenario } from "./overlap.js";

/** Overlapping faults from the operators' list, mostly of the store. Users cancel jobs all the time. */
export const storeScenarios: OverlapScenario[] = [
  {
    name: "the store refuses the leader, then all controllers for longer than cancel_s",
    begin: (world, leader) => {
      world.stores[leader]!.unavailable = true;
      world.clock.after(2500, () => world.state.setOutage(true));
      world.clock.after(14_000, () => {
        world.stores[leader]!.unavailable = false;
      });
      world.clock.after(FAULTS_MS - 4000, () => world.state.setOutage(false));
    },
    planted: { emptyWatches: true },
  },
  {
    name: "the same, with a second outage before the cancellations of the first are known",
    begin: (world, leader) => {
      world.stores[leader]!.unavailable = true;
      for (const at of [2500, 28_100]) {
        world.clock.after(at, () => world.state.setOutage(true));
        world.clock.after(at + 25_000, () => world.state.setOutage(false));
      }
      world.clock.after(60_000, () => {
        world.stores[leader]!.unavailable = false;
      });
    },
    planted: { emptyWatches: true },
  },
  {
    name: "the store answers slowly",
    begin: (world) => {
      forEachStore(world, (store) => {
        store.maxExtraDelayMs = 1500;
      });
      world.clock.after(FAULTS_MS, () =>
        forEachStore(world, (store) => {
          store.maxExtraDelayMs = 0;
        }),
      );
    },
    planted: { ignoreConditions: true },
  },
  {
    name: "parts are handed over and back, all controllers crash, one restarts",
    begin: (world, leader) => {
      void world.controllers[leader]?.drain().catch(() => undefined);
      world.clock.after(400, () => void world.controllers[leader]?.drain(false));
      for (const at of [1500, 12_000, 13_100]) world.clock.after(at, () => crashAll(world, leader));
    },
    planted: { ignoreConditions: true },
  },
  {
    name: "a leader is cut from the store and its peers, not from workers and users",
    begin: (world, leader) => {
      world.isolate(leader, true);
      world.clock.after(FAULTS_MS, () => world.isolate(leader, false));
    },
    planted: { emptyWatches: true },
  },
  {
    name: "transactions without an answer are applied late, after newer ones",
    begin: (world) => {
      const set = (share: number): void =>
        forEachStore(world, (store) => {
          store.lostTransactionShare = share;
        });
      set(0.4);
      world.clock.after(FAULTS_MS, () => set(0));
    },
    planted: { ignoreConditions: true },
  },
  {
    name: "commands and answers are delayed by seconds, and machines hang and resume",
    begin: (world) => {
      world.maxCommandDelayMs = 9000;
      world.lateAnswerShare = 0.2;
      for (let at = 0; at < FAULTS_MS; at += 6000) {
        world.clock.after(at, () => {
          const worker = [...world.workers.values()][(at / 1000) % world.workers.size];
          if (worker === undefined) return;
          worker.hung = true;
          world.clock.after(world.leaseMs * 0.7, () => {
            worker.hung = false;
          });
        });
      }
    },
    planted: { lateAnswers: true },
  },
  {
    name: "a leader crashes while machines cannot be reached, or receive nothing from the new one",
    begin: (world, leader) => {
      const workers = [...world.workers.values()];
      workers.forEach((worker, i) => {
        if (i % 3 === 0) worker.cut = true;
        if (i % 3 === 1) worker.deaf = true;
        world.clock.after(world.leaseMs * (i % 2 === 0 ? 0.6 : 2), () => {
          worker.cut = false;
          worker.deaf = false;
        });
      });
      world.crash(leader, 15_000);
    },
    planted: { freshenReports: true },
  },
  {
    name: "old reports of earlier sessions and attempts arrive after newer ones",
    begin: (world, leader) => {
      world.lateReportCopyShare = 0.6;
      for (let at = 0; at < FAULTS_MS; at += 4000) {
        world.clock.after(at, () => {
          [...world.workers.values()][(at / 1000) % world.workers.size]?.reboot();
          if (at % 12_000 === 0) world.crash(leader, 600);
        });
      }
      world.clock.after(FAULTS_MS, () => {
        world.lateReportCopyShare = 0;
      });
    },
    planted: { freshenReports: true },
  },
];
