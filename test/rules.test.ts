import assert from "node:assert/strict";
import { test } from "node:test";
import { Layout } from "../src/membership/layout.js";
import { Membership } from "../src/membership/membership.js";
import { Mirror } from "../src/state/mirror.js";
import { FakeClock } from "./support/clock.js";
import { LIMITS, quiet } from "./support/common.js";
import { dayProblems, playFaultDay, TEAMS } from "./support/fault-day.js";
import { injectRandomFault } from "./support/faults.js";
import { NodeClock } from "./support/node-clock.js";
import { Random } from "./support/random.js";
import { FakeState, FakeStore } from "./support/store.js";
import { playVariedJobsDay } from "./support/varied-jobs-day.js";
import { type DisabledGuards, World } from "./support/world.js";

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`rules: a day of faults, seed ${seed}`, async () => {
    const world = await playFaultDay(seed);
    assert.deepEqual(dayProblems(world), []);
    assert.ok(world.startedTasks > 30, `${world.startedTasks} tasks started`);
  });
}

for (const [seed, nodes] of [
  [1, 4],
  [2, 4],
  [12, 4],
  [41, 5],
] as const) {
  test(`rules: a day of all kinds of jobs in two zones, seed ${seed}, ${nodes} controllers`, async () => {
    const world = await playVariedJobsDay(seed, { nodes });
    assert.deepEqual(dayProblems(world), []);
    assert.ok(world.startedTasks > 25, `${world.startedTasks} tasks started`);
  });
}

test("rules: a job that fits no machine does not block its team's limit for others", async () => {
  // Guards against a fault found with this seed: most of a team's limit was unused for two minutes.
  const world = await playFaultDay(2023, { nodes: 5 });
  assert.deepEqual(dayProblems(world), []);
});

const GUESTS = { name: "guests", cpus: 0, max: 0 };
for (const seed of [1, 2]) {
  test(`rules: guests without a guarantee run, and a team's limit survives invalid slices, seed ${seed}`, async () => {
    const world = new World(seed, 3, [...TEAMS, GUESTS], 10);
    const random = new Random(seed + 500);
    await world.clock.run(20_000);
    for (let step = 0; step < 40; step++) {
      const id = `wk-${String(300_000 + step)}`;
      const team = random.pick([...TEAMS, GUESTS]).name;
      world.submit(id, { team, tasks: random.int(1, 12), runMs: random.int(2000, 20_000) });
      if (random.chance(0.3)) {
        // As an older build may write it: NaN, which the store returns as null.
        const row = world.state.rows.get("w/q/red");
        const part = random.int(0, 2);
        const value = {
          ...(row?.value as object),
          [part]: random.pick([
            [null, null],
            [null, 0],
          ]),
        };
        world.state.transact([], [{ put: "w/q/red", value }]);
      }
      if (random.chance(0.2)) injectRandomFault(world, random);
      await world.clock.run(3000);
    }
    await world.clock.run(300_000);
    world.stop();
    assert.deepEqual(world.violations, []);
    // Users cancel some of them: that is one of the faults.
    const unfinished = [...world.jobs.values()].filter(
      ({ toldDone, toldCancelledAt }) => !toldDone && toldCancelledAt === null,
    );
    assert.deepEqual(
      unfinished.map(({ id, team, accepted }) => `${id} of ${team}: ${accepted}`),
      [],
    );
  });
}

// The checks of a day must detect each problem that they are for.
const planted: { name: string; found: RegExp; plant(world: World): void }[] = [
  {
    name: "no query about a job is answered for 75 s",
    found: /^forgotten .*no question answered/,
    plant: (world) => world.state.setOutage(true),
  },
  {
    name: "less than half of a class begins",
    found: /^class test served 0.00/,
    plant: (world) => {
      for (const worker of world.workers.values()) worker.hung = true;
      world.cloud.outage = true;
    },
  },
  {
    name: "a job waits for 90 s beside a machine with free resources",
    found: /^waiting .*wk-100000/,
    plant: (world) => {
      // Commands to start tasks have no effect.
      for (const worker of world.workers.values()) {
        worker.tasks.clear();
        worker.execute = () => undefined;
      }
    },
  },
  {
    name: "a task starts after its user was told that the job is cancelled",
    found: /^\d+ starts after/,
    plant: (world) => {
      const [worker] = world.workers.values();
      world.jobs.get("wk-100000")!.askedToCancel = true;
      world.jobs.get("wk-100000")!.toldCancelledAt = world.clock.now() - 200;
      for (const [piece, task] of worker!.tasks)
        if (task.state !== "ended") worker!.tasks.delete(piece);
      worker!.execute([{ verb: "start", piece: "wk-100000/0", try: 99 }]);
    },
  },
  {
    name: "a job is accepted that no machine can run, or that lacks a field",
    found: /^accepted_bad /,
    plant: (world) => {
      const ask = world.ask.bind(world);
      world.ask = (n, method, path, body) =>
        method === "POST" && path === "/api/jobs"
          ? Promise.resolve({ status: 201, body: { status: "pending" } })
          : ask(n, method, path, body);
      void world.users.sendInvalidRequests();
    },
  },
];
for (const { name, found, plant } of planted) {
  test(`rules: the checks detect that ${name}`, async () => {
    const world = new World(5, 3, TEAMS, 6);
    await world.clock.run(20_000);
    world.submit("wk-100000", { team: "red", tasks: 4, runMs: 60_000 });
    await world.clock.run(20_000);
    plant(world);
    await world.clock.run(100_000);
    world.stop();
    assert.ok(
      dayProblems(world).some((wrong) => found.test(wrong)),
      dayProblems(world).join("\n"),
    );
  });
}

test("rules: five controllers, and the loss of four of them, twice", async () => {
  const world = new World(11, 5, TEAMS, 8);
  await world.clock.run(20_000);
  for (let n = 0; n < 6; n++) {
    world.submit(`wk-${200_000 + n}`, { team: TEAMS[n % 2]!.name, tasks: 12, runMs: 15_000 });
  }
  for (const survivor of [2, 4]) {
    await world.clock.run(25_000);
    for (let n = 0; n < 5; n++) if (n !== survivor) world.crash(n, 30_000);
    // A worker drops its tasks when no report was answered for a lease.
    await world.clock.run(world.leaseMs);
    const owners = [0, 1, 2, 3, 4].map((part) => world.state.rows.get(`w/p/${part}`)?.value);
    assert.deepEqual(
      owners.map((owner) => (owner as { node: string } | undefined)?.node),
      Array(5).fill(`n${survivor}`),
    );
    assert.ok([...world.workers.values()].every(({ session }) => session === 1));
  }
  await world.clock.run(120_000);
  world.stop();
  assert.deepEqual(world.violations, []);
  assert.ok([...world.jobs.values()].every(({ toldDone }) => toldDone));
});

// Without a guard, the same days must violate a rule; otherwise they would prove nothing.
const guards: { name: string; sabotage: DisabledGuards }[] = [
  { name: "writes that depend on what was read", sabotage: { ignoreConditions: true } },
  { name: "reports in the order they were sent", sabotage: { freshenReports: true } },
];
for (const { name, sabotage } of guards) {
  test(`rules: are violated without the guard "${name}"`, async () => {
    const found = new Set<string>();
    // Most days do not need the second guard: the seeds begin at the first that does.
    for (let seed = 20; seed <= 60 && found.size === 0; seed++) {
      for (const { rule } of (await playFaultDay(seed, { sabotage })).violations) found.add(rule);
    }
    assert.notDeepEqual([...found], []);
  });
}

test("membership: after a common start all parts have owners and there is a leader within one lease of a claim", async () => {
  const world = new World(5, 3, TEAMS, 4);
  await world.clock.run(world.leaseMs / 8);
  const present = ["w/lead", "w/p/0", "w/p/1", "w/p/2"].map((key) => world.state.rows.has(key));
  assert.deepEqual(present, [true, true, true, true]);
  world.stop();
});

test("membership: a controller that gives a part back leaves its home controller time to claim it", async () => {
  const clock = new FakeClock();
  const state = new FakeState(clock, LIMITS);
  const store = new FakeStore(state, clock, new Random(1), LIMITS, 1000);
  const mirror = new Mirror(store, clock, quiet, 1000);
  const layout = new Layout([0, 1, 2].map((n) => ({ name: `n${n}`, zone: "a" })));
  const handlers = { gained() {}, lost() {}, leading() {}, deposed() {} };
  const member = new Membership("n2", "r", layout, store, mirror, clock, quiet, handlers, 12);
  void mirror.run();
  member.start();
  await clock.run(20_000);
  assert.deepEqual([...member.owned.keys()].sort(), [0, 1, 2], "alone, it has everything");
  state.transact([], [{ put: "w/n/n1", value: { run: "q", shy: false } }]);
  let gaveUpAfterMs: number | null = null;
  for (let ms = 0; ms < 10_000 && gaveUpAfterMs === null; ms += 50) {
    await clock.run(50);
    if (!member.owned.has(1)) gaveUpAfterMs = ms;
  }
  assert.notEqual(gaveUpAfterMs, null);
  // Guards against a fault: the owner kept the time since when the key had been free at its own
  // takeover, and so took the part again at its next step. The home controller has half of the lease;
  // after that it counts as unwilling.
  await clock.run(member.ttlMs / 2 - 100);
  assert.equal(member.owned.has(1), false);
  await clock.run(member.ttlMs);
  assert.equal(member.owned.has(1), true);
  member.stop();
  mirror.stop();
});

test("membership: a controller frozen for less than a lease does not act before the store has answered", async () => {
  const clock = new NodeClock(new FakeClock());
  const world = clock.world as FakeClock;
  const state = new FakeState(world, LIMITS);
  const store = new FakeStore(state, clock, new Random(1), LIMITS, 1000, world);
  const mirror = new Mirror(store, clock, quiet, 1000);
  const layout = new Layout([{ name: "n0", zone: "a" }]);
  const handlers = { gained() {}, lost() {}, leading() {}, deposed() {} };
  const member = new Membership("n0", "r", layout, store, mirror, clock, quiet, handlers, 12);
  void mirror.run();
  member.start();
  await world.run(10_000);
  assert.ok(member.valid());
  clock.freeze();
  await world.run(member.ttlMs * 0.6);
  // Right after the thaw, before any of its timers has fired; then before the store has answered.
  assert.equal(member.valid(), false);
  clock.thaw();
  assert.equal(member.valid(), false);
  await world.run(2500);
  assert.ok(member.valid());
  // A pause as short as a slow machine has does not count as frozen.
  clock.freeze();
  await world.run(member.ttlMs * 0.3);
  clock.thaw();
  assert.ok(member.valid());
  member.stop();
  mirror.stop();
});

for (const what of ["an outage", "a cut"] as const) {
  test(`membership: a part given up in ${what} is free for other controllers once it is over`, async () => {
    const clock = new FakeClock();
    const state = new FakeState(clock, LIMITS);
    const layout = new Layout([0, 1].map((n) => ({ name: `n${n}`, zone: "a" })));
    const handlers = { gained() {}, lost() {}, leading() {}, deposed() {} };
    const members = [0, 1].map((n) => {
      const store = new FakeStore(state, clock, new Random(n), LIMITS, 500);
      const mirror = new Mirror(store, clock, quiet, 1000);
      const member = new Membership(
        ...([`n${n}`, `r${n}`, layout, store, mirror, clock, quiet, handlers, 12] as const),
      );
      void mirror.run();
      member.start();
      return { store, member };
    });
    const [first, second] = [members[0]!.member, members[1]!.member];
    await clock.run(20_000);
    assert.deepEqual([[...first.owned.keys()], [...second.owned.keys()]], [[0], [1]]);
    const setFault = (on: boolean): void => {
      if (what === "an outage") state.setOutage(on);
      else members[0]!.store.disconnected = on;
    };
    setFault(true);
    first.relinquish([0], 60_000, "machines do not reach us").catch(() => undefined);
    // Shorter than a lease, so that the claim outlives the fault.
    await clock.run(1500);
    setFault(false);
    await clock.run(15_000);
    assert.deepEqual([...first.owned.keys()], []);
    assert.deepEqual([...second.owned.keys()].sort(), [0, 1], "a part without an owner");
    assert.notEqual(second.leaderClaimVersion, null);
  });
}
