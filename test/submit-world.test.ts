import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestRefused, Unanswered } from "../src/client/retry.js";
import type { Operators } from "../src/settings/operators.js";
import { parseOperators } from "../src/settings/operators.js";
import { ClusterWorld, TEAMS, ZONES } from "./support/clusters.js";
import { MARKET_SETTINGS } from "./support/market.js";
import { settingsFor } from "./support/platform-settings.js";
import { Random } from "./support/random.js";
import type { World } from "./support/world.js";

const OPERATOR_SETTINGS = `submit {
  machine { ad: "Arch = \\"X86_64\\"" }
  machine { type: "big" ad: "Fast = true" }
  machine { type: "small" ad: "Fast = false" }
  patience_s: 60
}`;
const operators: Operators = await parseOperators(
  [{ file: "site", text: OPERATOR_SETTINGS }],
  settingsFor(0, 3, TEAMS, ZONES),
);
const operatorsOfAll = (): Operators => operators;
const FILE_HEAD = "executable = run\naccounting_group = red\n+ExpectedRunS = 6\n";

async function startWorld(more: { seed?: number; capacity?: number } = {}): Promise<ClusterWorld> {
  const clusters = new ClusterWorld(operatorsOfAll, more);
  await clusters.world.clock.run(20_000);
  return clusters;
}

function stopAndCheck({ world }: ClusterWorld): void {
  world.stop();
  assert.deepEqual(world.violations, []);
}

const machineTypes = (world: World): Set<string> =>
  new Set([...world.workers.values()].map(({ build }) => build.name));

test("clusters: a file runs where its requirements are TRUE, and only what can match is rented", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const text = `${FILE_HEAD}requirements = Fast && Zone == "b"\nrank = TotalCpus\nqueue 6\n`;
  const { cluster } = await clusters.runUntilSettled(clusters.submit("first", text));
  assert.ok(await clusters.runUntil(() => world.jobs.get(`wk-c${cluster}.0`)!.done.size === 6));
  assert.deepEqual([...machineTypes(world)], ["big"]);
  assert.deepEqual(new Set([...world.workers.values()].map(({ zone }) => zone)), new Set(["b"]));
  await world.clock.run(20_000);
  assert.equal((await clusters.queuedClusters()).length, 0);
  const [over] = await clusters.runUntilSettled(clusters.client().history("red", 5));
  assert.equal(over!.done, 6);
  stopAndCheck(clusters);
});

test("clusters: when a submission is cut off, no job starts and the cluster is removed after the time-out", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const file = `${FILE_HEAD}arguments = $(x)\nqueue x in (1 2 3)\n`;
  // The client fails after it has submitted the second job.
  clusters.losesAnswer = (path) => path === "/api/jobs" && world.state.rows.has("w/j/wk-c1.1");
  await assert.rejects(clusters.runUntilSettled(clusters.submit("cut", file, 5000)), Unanswered);
  const commit = await clusters.runUntilSettled(
    world.ask(0, "POST", "/submit/clusters/1/commit", {}),
  );
  assert.equal(commit?.status, 409, "not all jobs are submitted");
  for (const job of world.jobs.values()) job.askedToCancel = true;
  assert.ok(
    await clusters.runUntil(() => clusters.storedCluster({ uid: "wk-c1.0" })?.state === "removed"),
  );
  await world.clock.run(20_000);
  assert.equal(world.startedTasks, 0);
  const { rows } = world.state;
  assert.deepEqual(
    [0, 1].map((i) => (rows.get(`w/j/wk-c1.${i}`)!.value as { status: string }).status),
    ["cancelled", "cancelled"],
  );
  // A job that a controller accepts late, before it learns of the removal, is cancelled too.
  const late = { ...(rows.get("w/j/wk-c1.1")!.value as object), status: "open" };
  world.state.transact([], [{ put: "w/j/wk-c1.2", value: late }]);
  await world.clock.run(20_000);
  assert.equal((rows.get("w/j/wk-c1.2")!.value as { status: string }).status, "cancelled");
  // A later retry is refused and starts nothing either.
  clusters.losesAnswer = () => false;
  await assert.rejects(clusters.runUntilSettled(clusters.submit("cut", file)), RequestRefused);
  assert.equal(world.startedTasks, 0);
  stopAndCheck(clusters);
});

test("clusters: a submission retried after a lost answer is accepted once and as a whole", async () => {
  for (const lost of ["/submit/clusters", "/api/jobs", "/submit/clusters/1/commit"]) {
    const clusters = await startWorld();
    const { world } = clusters;
    const file = `${FILE_HEAD}arguments = $(x)\nqueue 2 x in (1 2 3)\n`;
    clusters.losesAnswer = (path) => path === lost;
    await assert.rejects(
      clusters.runUntilSettled(clusters.submit("again", file, 3000)),
      Unanswered,
      lost,
    );
    clusters.losesAnswer = () => false;
    const { cluster } = await clusters.runUntilSettled(clusters.submit("again", file));
    assert.equal(cluster, 1);
    const third = await clusters.runUntilSettled(clusters.submit("again", file));
    assert.equal(third.cluster, 1);
    assert.ok(
      await clusters.runUntil(() => [...world.jobs.values()].every(({ done }) => done.size === 2)),
    );
    await world.clock.run(20_000);
    assert.equal([...world.state.rows.keys()].filter((key) => key.startsWith("w/x/c/")).length, 1);
    assert.equal([...world.state.rows.keys()].filter((key) => key.startsWith("w/j/")).length, 3);
    stopAndCheck(clusters);
  }
});

test("clusters: a file submitted at the same time to three controllers gets one cluster number", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const body = { name: "twin", team: "red", user: "ann", jobs: 1, procs: 1 };
  const open = (n: number) => world.ask(n, "POST", "/submit/clusters", body);
  const answers = await clusters.runUntilSettled(Promise.all([open(0), open(1), open(2)]));
  const again = await clusters.runUntilSettled(open(1));
  assert.equal((again!.body as { cluster: number }).cluster, 1);
  for (const answer of answers) assert.ok([200, 201, 503].includes(answer!.status));
  assert.equal([...world.state.rows.keys()].filter((key) => key.startsWith("w/x/c/")).length, 1);
  const other = await clusters.runUntilSettled(
    world.ask(0, "POST", "/submit/clusters", { ...body, jobs: 2 }),
  );
  assert.equal(other?.status, 409, "another file under the same name");
  stopAndCheck(clusters);
});

test("clusters: a file is accepted as a whole although all controllers crash between two of its jobs", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const file = `${FILE_HEAD}arguments = $(x)\nqueue x in (1 2 3 4)\n`;
  let posted = 0;
  clusters.losesAnswer = (path) => {
    if (path === "/api/jobs" && ++posted === 2) for (let n = 0; n < 3; n++) world.crash(n);
    return false;
  };
  const { cluster } = await clusters.runUntilSettled(clusters.submit("crash", file));
  assert.ok(
    await clusters.runUntil(() => [...world.jobs.values()].every(({ done }) => done.size === 1)),
  );
  assert.equal(world.jobs.size, 4);
  assert.equal(cluster, 1);
  await world.clock.run(20_000);
  stopAndCheck(clusters);
});

test("clusters: held jobs are stopped, and start again when they are released", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const file = `${FILE_HEAD}+ExpectedRunS = 60\nqueue 3\n`;
  const { cluster } = await clusters.runUntilSettled(clusters.submit("held", file));
  assert.ok(await clusters.runUntil(() => clusters.runningTasks("wk-c1.") === 3));
  await assert.rejects(
    clusters.runUntilSettled(clusters.client().hold(cluster, [7], "not there")),
    /no such job/,
  );
  await clusters.runUntilSettled(clusters.client().hold(cluster, null, "for a while"));
  assert.ok(await clusters.runUntil(() => clusters.runningTasks("wk-c1.") === 0, 15_000));
  const before = world.startedTasks;
  await world.clock.run(30_000);
  assert.equal(world.startedTasks, before);
  const [view] = await clusters.queuedClusters();
  assert.equal(view!.held, 3);
  // The next leader keeps the hold.
  for (let n = 0; n < 3; n++) world.crash(n);
  await world.clock.run(40_000);
  assert.equal(world.startedTasks, before);
  await clusters.runUntilSettled(clusters.client().release(cluster, null));
  assert.ok(await clusters.runUntil(() => clusters.runningTasks("wk-c1.") === 3));
  assert.ok(await clusters.runUntil(() => world.jobs.get("wk-c1.0")!.done.size === 3));
  stopAndCheck(clusters);
});

test("clusters: all jobs of a cluster are removed although all controllers crash during the removal", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const file = `${FILE_HEAD}+ExpectedRunS = 500\narguments = $(x)\nqueue x in (1 2 3 4 5)\n`;
  const { cluster } = await clusters.runUntilSettled(clusters.submit("gone", file));
  assert.ok(await clusters.runUntil(() => clusters.runningTasks("wk-c1.") === 5));
  for (const job of world.jobs.values()) job.askedToCancel = true;
  const asked = clusters.client(500).remove(cluster, null);
  asked.catch(() => undefined);
  await clusters.runUntil(
    () => clusters.storedCluster({ uid: "wk-c1.0" })?.state === "removed",
    10_000,
  );
  for (let n = 0; n < 3; n++) world.crash(n);
  assert.ok(await clusters.runUntil(() => clusters.runningTasks("wk-c1.") === 0, 60_000));
  await clusters.runUntilSettled(asked.catch(() => undefined));
  assert.equal((await clusters.queuedClusters()).length, 0);
  stopAndCheck(clusters);
});

test("clusters: deferral, periodic_remove, allowed_execute_duration and max_materialize take effect", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const at = Math.floor(world.clock.wall() / 1000) + 40;
  const submit = (name: string, more: string) =>
    clusters.runUntilSettled(clusters.submit(name, `${FILE_HEAD}${more}\nqueue\n`));
  await submit("later", `deferral_time = ${at}`);
  await submit("removed", "+ExpectedRunS = 500\nperiodic_remove = time() - QDate > 30");
  await submit("long", "+ExpectedRunS = 500\nallowed_execute_duration = 20");
  await submit("several", "max_materialize = 2\n+ExpectedRunS = 30\nqueue 4");
  for (const id of ["wk-c2.0"]) world.jobs.get(id)!.askedToCancel = true;
  let most = 0;
  await clusters.runUntil(() => {
    most = Math.max(most, clusters.runningTasks("wk-c4."));
    return world.clock.wall() / 1000 >= at - 1;
  });
  assert.equal(world.starts.has("wk-c1.0/0"), false, "started before its deferral time");
  await clusters.runUntil(() => {
    most = Math.max(most, clusters.runningTasks("wk-c4."));
    return world.jobs.get("wk-c4.0")!.done.size === 5 && world.jobs.get("wk-c1.0")!.done.size === 1;
  });
  assert.equal(world.jobs.get("wk-c1.0")!.done.size, 1);
  assert.equal(most, 2);
  const status = (id: string): string =>
    (world.state.rows.get(`w/j/${id}`)!.value as { status: string }).status;
  assert.equal(status("wk-c2.0"), "cancelled");
  assert.match(
    clusters.storedCluster({ uid: "wk-c3.0" })!.held["0"] ?? "",
    /allowed_execute_duration/,
  );
  assert.equal(clusters.runningTasks("wk-c3."), 0);
  stopAndCheck(clusters);
});

test("clusters: a job that keeps failing is held after max_retries", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const asked = clusters.submit("fails", `${FILE_HEAD}max_retries = 2\nqueue\n`);
  await clusters.runUntil(() => world.jobs.has("wk-c1.0"), 20_000);
  world.jobs.get("wk-c1.0")!.fails = true;
  await clusters.runUntilSettled(asked);
  let starts = 0;
  world.findStartViolation = (piece) => {
    if (piece === "wk-c1.0/0") starts++;
    return null;
  };
  // A failed task is retried on another machine; the other job makes the cloud provide some.
  world.submit("wk-others", { team: "blue", tasks: 24, cpus: 1, runMs: 60_000 });
  const held = (): boolean => clusters.storedCluster({ uid: "wk-c1.0" })?.held["0"] !== undefined;
  assert.ok(await clusters.runUntil(held));
  const before = starts;
  assert.ok(before <= 3, `${before} starts`);
  await world.clock.run(60_000);
  assert.equal(starts, before);
  stopAndCheck(clusters);
});

test("clusters: no task is stopped and no machine rented for a job whose requirements no available machine meets", async () => {
  const clusters = await startWorld({ capacity: 6 });
  const { world } = clusters;
  world.cloud.soldOut.add("big");
  // All machines that can be rented run another team's tasks, half of them beyond its guarantee.
  world.submit("wk-fill", { team: "blue", tasks: 24, cpus: 1, runMs: 150_000 });
  assert.ok(await clusters.runUntil(() => clusters.runningTasks("wk-fill") === 24));
  const { cluster } = await clusters.runUntilSettled(
    clusters.submit(
      "wants-big",
      `${FILE_HEAD}request_cpus = 2\nrequirements = MachineType == "big"\nqueue 2\n`,
    ),
  );
  await world.clock.run(60_000);
  assert.equal(clusters.runningTasks("wk-fill"), 24, "tasks were stopped");
  assert.deepEqual([...machineTypes(world)], ["small"]);
  const found = await clusters.runUntilSettled(clusters.client().analyze(`wk-c${cluster}.0`));
  assert.equal(found.matching, 0);
  assert.equal(found.clauses[0]!.text, 'MachineType == "big"');
  // The same job without the requirement is within its guarantee, and gets the resources.
  const plain = world.submit("wk-plain", { team: "red", tasks: 2, cpus: 2, runMs: 5000 });
  assert.ok(await clusters.runUntil(() => plain.done.size === 2, 60_000));
  world.cloud.soldOut.clear();
  assert.ok(await clusters.runUntil(() => world.jobs.get("wk-c1.0")!.done.size === 2));
  stopAndCheck(clusters);
});

test("clusters: a controller without the package does not touch jobs with expressions in parts it takes over", async () => {
  const clusters = await startWorld();
  const { world } = clusters;
  const file = `${FILE_HEAD}+ExpectedRunS = 20\nrequirements = Fast\narguments = $(x)\nqueue 3 x in (1 2 3 4 5 6)\n`;
  await clusters.runUntilSettled(clusters.submit("mixed", file));
  world.operators = (n) => (n === 2 ? operators : {});
  world.crash(0);
  world.crash(1);
  await world.clock.run(30_000);
  // Two of three controllers now lack the package: no cluster is accepted while they run.
  await assert.rejects(clusters.runUntilSettled(clusters.submit("more", file, 5000)), Unanswered);
  const plain = world.submit("wk-plain", { team: "blue", tasks: 4, cpus: 1, runMs: 3000 });
  assert.ok(await clusters.runUntil(() => plain.done.size === 4));
  const done = (): number =>
    [...world.jobs.values()]
      .filter(({ id }) => id.startsWith("wk-c"))
      .reduce((sum, job) => sum + job.done.size, 0);
  world.operators = operatorsOfAll;
  world.crash(0);
  world.crash(1);
  assert.ok(await clusters.runUntil(() => done() === 18));
  stopAndCheck(clusters);
});

test("clusters: a submission that can never match or is too large for a record is refused", async () => {
  const clusters = await startWorld();
  const refused = (name: string, more: string) =>
    clusters.runUntilSettled(clusters.submit(name, `${FILE_HEAD}${more}\nqueue\n`)).then(
      () => "taken",
      (error: Error) => error.message,
    );
  assert.match(
    await refused("a", 'requirements = Arch == "ARM"'),
    /could ever match.*Arch == "ARM"/,
  );
  assert.match(await refused("b", "requirements = NoSuch"), /NoSuch/);
  assert.match(await refused("c", "request_cpus = 100"), /fits no allowed machine type/);
  assert.match(await refused("d", `+Note = "${"x".repeat(6000)}"`), /of \d+ bytes; at most/);
  assert.equal(
    await refused("e", "requirements = Cpus < 2"),
    "taken",
    "other free resources could match",
  );
  // Refused submissions leave no cluster in the queue.
  const queue = await clusters.queuedClusters();
  assert.deepEqual(
    queue.map(({ cluster }) => cluster),
    [5],
  );
  clusters.world.stop();
});

test("clusters: the oldest finished clusters beyond the setting `kept` are deleted", async () => {
  const settings = await parseOperators(
    [{ file: "site", text: OPERATOR_SETTINGS.replace("patience_s: 60", "kept: 2") }],
    settingsFor(0, 3, TEAMS, ZONES),
  );
  const clusters = new ClusterWorld(() => settings);
  const { world } = clusters;
  await world.clock.run(20_000);
  for (let i = 0; i < 4; i++) {
    const { cluster } = await clusters.runUntilSettled(
      clusters.submit(`n${i}`, `${FILE_HEAD}queue\n`),
    );
    assert.equal(cluster, i + 1);
    assert.ok(await clusters.runUntil(() => world.jobs.get(`wk-c${cluster}.0`)!.done.size === 1));
  }
  const left = (prefix: string): string[] =>
    [...world.state.rows.keys()].filter((key) => key.startsWith(prefix)).sort();
  assert.ok(await clusters.runUntil(() => left("w/x/c/").length === 2, 60_000));
  assert.deepEqual(left("w/x/c/"), ["w/x/c/3", "w/x/c/4"]);
  assert.equal(left("w/x/k/").length, 2);
  const next = await clusters.runUntilSettled(clusters.submit("n0", `${FILE_HEAD}queue\n`));
  assert.equal(next.cluster, 5, "cluster numbers are not reused");
  stopAndCheck(clusters);
});

test("clusters: with a market, guests submit files too, and their tasks wait for a grant", async () => {
  const both = await parseOperators(
    [
      { file: "site", text: OPERATOR_SETTINGS },
      { file: "market", text: MARKET_SETTINGS },
    ],
    settingsFor(0, 3, TEAMS, ZONES),
  );
  const clusters = new ClusterWorld(() => both);
  const { world } = clusters;
  await world.clock.run(20_000);
  const team = await clusters.runUntilSettled(clusters.submit("team", `${FILE_HEAD}queue 4\n`));
  const guest = await clusters.runUntilSettled(
    clusters.submit("guest", `${FILE_HEAD.replace("red", "visitor")}queue 2\n`),
  );
  const nobody = clusters.submit("nobody", `${FILE_HEAD.replace("red", "stranger")}queue 2\n`);
  await assert.rejects(clusters.runUntilSettled(nobody), /unknown team/);
  assert.ok(
    await clusters.runUntil(() => world.jobs.get(`wk-c${team.cluster}.0`)!.done.size === 4),
  );
  // A guest's tasks do not start without a grant.
  assert.equal(clusters.runningTasks(`wk-c${guest.cluster}.`), 0);
  assert.equal(world.jobs.get(`wk-c${guest.cluster}.0`)!.done.size, 0);
  stopAndCheck(clusters);
});

/**
 * Submit files, faults and plain jobs in random order for about three minutes, then no more faults.
 */
async function randomizedRun(seed: number): Promise<ClusterWorld> {
  const clusters = new ClusterWorld(operatorsOfAll, { seed, capacity: 10 });
  const { world } = clusters;
  const random = new Random(seed + 500);
  await world.clock.run(20_000);
  const open: Promise<unknown>[] = [];
  const requirements = [
    "Fast",
    'Zone == "a"',
    "Spot == false",
    "TotalCpus < 8 || Spot",
    "Fast =!= true",
    "NoSuch ?: true",
  ];
  for (let step = 0; step < 40; step++) {
    if (random.chance(0.4)) {
      const file = `executable = run
accounting_group = ${random.pick(TEAMS).name}
+ExpectedRunS = ${random.int(2, 20)}
request_cpus = ${random.int(1, 2)}
requirements = ${random.pick(requirements)} && ${random.pick(requirements)}
rank = ${random.pick(["TotalCpus", "-TotalCpus", "Spot", "NoSuch"])}
${random.chance(0.3) ? "max_materialize = 2" : ""}
arguments = $(x)
queue ${random.int(1, 4)} x in (${random.pick(["a", "a b", "a b c"])})
`;
      const asked = clusters.submit(`day-${step}`, file).catch((error: unknown) => {
        // Some pairs of requirements can never be met.
        if (!(error instanceof RequestRefused)) throw error;
        for (const job of world.jobs.values()) {
          const record = clusters.storedCluster(job.body as { uid?: unknown });
          if (record?.state === "removed") job.askedToCancel = true;
        }
      });
      open.push(asked);
    }
    if (random.chance(0.2)) {
      world.submit(`wk-p${step}`, {
        team: random.pick(TEAMS).name,
        tasks: random.int(1, 6),
        cpus: 1,
        runMs: 5000,
      });
    }
    if (random.chance(0.15)) world.crash(random.int(0, 2), random.int(2000, 10_000));
    if (random.chance(0.1)) {
      const store = world.stores[random.int(0, 2)]!;
      store.lostTransactionShare = 0.3;
      world.clock.after(random.int(3000, 20_000), () => {
        store.lostTransactionShare = 0;
      });
    }
    if (random.chance(0.06)) {
      world.state.setOutage(true);
      world.clock.after(random.int(2000, 10_000), () => world.state.setOutage(false));
    }
    if (random.chance(0.1) && world.workers.size > 0)
      world.remove(random.pick([...world.workers.keys()]));
    await world.clock.run(4000);
  }
  await clusters.runUntilSettled(Promise.all(open));
  await clusters.runUntil(() => {
    const left = [...world.jobs.values()].some(
      (job) => !job.askedToCancel && job.done.size < job.tasks,
    );
    return !left;
  }, 400_000);
  await world.clock.run(15_000);
  world.stop();
  return clusters;
}

for (const seed of [1, 2, 3, 4]) {
  test(`clusters: under random faults no task starts where its requirements are not TRUE (seed ${seed})`, async () => {
    const { world } = await randomizedRun(seed);
    assert.deepEqual(world.violations, []);
    const waiting = [...world.jobs.values()].filter(
      (job) => !job.askedToCancel && job.done.size < job.tasks,
    );
    assert.deepEqual(
      waiting.map(({ id, done, tasks }) => `${id}: ${done.size} of ${tasks}`),
      [],
    );
    const startedOfClusters = [...world.starts.keys()].filter((piece) => piece.startsWith("wk-c"));
    assert.ok(
      startedOfClusters.length > 10,
      `only ${startedOfClusters.length} tasks of submit files started`,
    );
  });
}
