import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../src/clock.js";
import { HttpClient } from "../src/http/client.js";
import {
  Cloud,
  freePort,
  type Host,
  StateServer,
  StateService,
  settingsText,
  Worker,
} from "../src/local/index.js";
import { parseSettings } from "../src/settings/settings.js";
import { FakeClock } from "./support/clock.js";

const TYPE = {
  name: "m4",
  cores: 4,
  accelerators: 0,
  memGb: 16,
  cacheGb: 10,
  fetchGbPerS: 1,
  rate: 1,
  spotPrice: 0.5,
  bootS: 10,
  berths: ["a"],
};

/** A cloud on a fake clock, with the events it reported. */
function cloudOf(capacity: number): { cloud: Cloud; clock: FakeClock; reported: string[] } {
  const clock = new FakeClock();
  const reported: string[] = [];
  const events = {
    up: ({ uid }: Host) => void reported.push(`up ${uid}`),
    terminationNotice: () => undefined,
    gone: (uid: string) => void reported.push(`gone ${uid}`),
  };
  const limits = { rps: 100, listLagMs: 1000 };
  return { cloud: new Cloud(clock, [TYPE], capacity, limits, events, () => 0.5), clock, reported };
}

test("stand-ins: a machine added as ready is up at once, a rented one after its boot time", async () => {
  const { cloud, clock, reported } = cloudOf(10);
  const [readyHost, rentedHost] = [cloud.add(TYPE, "a", false, true), cloud.add(TYPE, "a", false)];
  await clock.run(1);
  assert.deepEqual(reported, [`up ${readyHost.uid}`]);
  await clock.run(11_000);
  assert.deepEqual(reported, [`up ${readyHost.uid}`, `up ${rentedHost.uid}`]);
  cloud.stop();
});

test("stand-ins: a failed machine is gone at once and is listed as running for 30 s more", async () => {
  const { cloud, clock, reported } = cloudOf(10);
  const host = cloud.add(TYPE, "a", false, true);
  await clock.run(1);
  cloud.fail(host.uid);
  cloud.fail("host-999999");
  assert.deepEqual(reported, [`up ${host.uid}`, `gone ${host.uid}`]);
  await clock.run(29_000);
  assert.equal(cloud.hosts.get(host.uid)?.status, "running");
  await clock.run(2000);
  assert.equal(cloud.hosts.get(host.uid)?.status, "failed");
  cloud.stop();
});

const rentals: { maxMachines: number; requested: number; status: number; granted: number }[] = [
  { maxMachines: Number.POSITIVE_INFINITY, requested: 4, status: 200, granted: 4 },
  { maxMachines: 3, requested: 4, status: 200, granted: 2 },
  { maxMachines: 1, requested: 4, status: 503, granted: 0 },
];
for (const { maxMachines, requested, status, granted } of rentals) {
  test(`stand-ins: cloud with one machine and at most ${maxMachines}: renting ${requested} gives ${granted}, status ${status}`, async () => {
    const { cloud } = cloudOf(10);
    cloud.maxMachines = maxMachines;
    cloud.add(TYPE, "a", false);
    const client = new HttpClient(await cloud.start(), 1, systemClock);
    try {
      const body = { charter: "r-1", build: "m4", berth: "a", borrowed: true, howMany: requested };
      const answer = await client.call("POST", "/hosts", body, 5000);
      assert.equal(answer.status, status);
      assert.equal((answer.body as { hosts?: string[] }).hosts?.length ?? 0, granted);
    } finally {
      client.close();
      cloud.stop();
    }
  });
}

test("stand-ins: the state service counts requests and changes by their result", async () => {
  const clock = new FakeClock();
  const state = new StateService(clock, { ops: 4, conditions: 16, valueBytes: 100 });
  const server = new StateServer(state, clock, { rps: 5, writeRps: 3 }, () => 0.5);
  const client = new HttpClient(await server.start(), 1, systemClock);
  const put = (path: string, stamp: number) => ({
    when: [{ path, stamp }],
    then: [{ write: path, data: "abc" }],
  });
  const transact = (body: object) => client.call("POST", "/multi", body, 5000);
  try {
    assert.equal((await transact(put("a", 0))).status, 200);
    assert.equal((await transact(put("a", 0))).status, 409);
    assert.equal((await transact(put("b", 0))).status, 200);
    // The limit of three changes a second includes transactions whose conditions failed.
    assert.equal((await transact(put("c", 0))).status, 429);
    assert.equal((await client.call("GET", "/kv/a", undefined, 5000)).status, 200);
    assert.equal((await client.call("GET", "/kv/a", undefined, 5000)).status, 429);
    assert.deepEqual(server.use, {
      requests: 6,
      changes: 2,
      bytesWritten: 2 * '"abc"'.length,
      refusedRequests: 1,
      refusedChanges: 1,
      conflicts: 1,
    });
  } finally {
    client.close();
    server.stop();
    state.stop();
  }
});

test("stand-ins: only changes after the given revision are returned, in their order", () => {
  const state = new StateService(new FakeClock(), { ops: 4, conditions: 16, valueBytes: 100 });
  for (let n = 1; n <= 6; n++)
    state.transact([], [{ put: n % 2 === 0 ? `w/${n}` : `c/${n}`, value: n }]);
  const keysAfter = (after: number) => state.changes("w/", after)?.map(({ key }) => key);
  assert.deepEqual(keysAfter(0), ["w/2", "w/4", "w/6"]);
  assert.deepEqual(keysAfter(2), ["w/4", "w/6"]);
  assert.deepEqual(keysAfter(6), []);
  state.stop();
});

test("stand-ins: a restarted worker has no tasks and a new session", async () => {
  const host: Host = {
    uid: "host-1",
    build: "m4",
    berth: "a",
    borrowed: false,
    status: "running",
    rentedAt: 0,
  };
  const taskEvents: string[] = [];
  const worker = new Worker({
    clock: systemClock,
    host,
    type: TYPE,
    nodes: new Map([["n0", `127.0.0.1:${await freePort()}`]]),
    reportMs: 60_000,
    leaseMs: 60_000,
    commands: false,
    jobOf: (uid) => ({
      uid,
      shape: "batch",
      cores: 1,
      accelerators: 0,
      memGb: 1,
      bundle: null,
      sizeGb: 0,
      expectS: 100,
      stashEveryS: 0,
      stashS: 0,
    }),
    savedProgress: new Map(),
    onTaskEvent: ({ kind, piece }) => taskEvents.push(`${kind} ${piece}`),
    random: () => 0.5,
  });
  const client = new HttpClient(await worker.start(), 1, systemClock);
  try {
    const orders = [{ verb: "start", piece: "wk-1/0", try: 1 }];
    await client.call("POST", "/orders", { baton: 1, shift: 1, orders }, 5000);
    while (taskEvents.length === 0) await new Promise((go) => setTimeout(go, 5));
    worker.restart();
    assert.deepEqual(taskEvents, ["started wk-1/0", "ended wk-1/0"]);
    assert.equal(worker.tasks.size, 0);
    assert.equal(worker.session, 2);
    const staleResponse = await client.call(
      "POST",
      "/orders",
      { baton: 2, shift: 1, orders },
      5000,
    );
    assert.equal(staleResponse.status, 409);
  } finally {
    client.close();
    worker.stop();
  }
});

test("stand-ins: a generated settings file is parsed back to the same values", () => {
  const node = { name: "n0", zone: "a", listen: "127.0.0.1:1", peer: "127.0.0.1:2" };
  const other = { name: "n1", zone: "b", listen: "127.0.0.1:3", peer: "127.0.0.1:4" };
  const teams = [{ name: "red", cpus: 1.5, cpus_max: 8, gpus: 0, gpus_max: 2 }];
  const text = settingsText(
    node,
    [node, other],
    { state: "127.0.0.1:5", cloud: "127.0.0.1:6" },
    {
      zones: ["a", "b"],
      teams,
      workers: { reportS: 2, leaseS: 14, cancelS: 34 },
      state: { rps: 350, writeRps: 40, valueKb: 32, txnOps: 12 },
      cloud: { rps: 6, listLagS: 10 },
      quota: { cores: 0.119, ramMb: 210, maxSockets: 1499 },
    },
  );
  const { node_name, known, services, params } = parseSettings(text, "t");
  assert.equal(node_name, "n0");
  assert.deepEqual(known, [{ node_name: "n1", site: "b", addr: "127.0.0.1:4" }]);
  assert.deepEqual(services, { state: "127.0.0.1:5", cloud: "127.0.0.1:6" });
  assert.deepEqual(params.teams, teams);
  assert.deepEqual(params.workers, { report_s: 2, lease_s: 14, cancel_s: 34 });
  assert.deepEqual(params.state, { rps: 350, write_rps: 40, value_kb: 32, txn_ops: 12 });
  assert.deepEqual(params.quota, { cores: 0.119, ram_mb: 210, max_sockets: 1499 });
});
