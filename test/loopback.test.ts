import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../src/clock.js";
import { HttpClient } from "../src/http/client.js";
import { Platform, type PlatformOptions, StateServer, StateService } from "../src/local/index.js";
import { MarketClient } from "../src/market/index.js";
import { ControllerNode } from "../src/node.js";
import { parseOperators } from "../src/settings/operators.js";
import { quiet } from "./support/common.js";

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

interface ObservedEvent {
  kind: "started" | "ended";
  piece: string;
  host: string;
  at: number;
}

/** A platform with its controllers in this process, on real sockets and in real time. */
class LocalSite {
  readonly events: ObservedEvent[] = [];
  readonly platform: Platform;
  readonly nodes = new Map<number, ControllerNode>();
  #operators: Awaited<ReturnType<typeof parseOperators>> | null = null;

  constructor(
    options: PlatformOptions,
    readonly tuning: string,
  ) {
    this.platform = new Platform({
      reportS: 0.4,
      leaseS: 3,
      cancelS: 10,
      ...options,
      watch: (event) => this.events.push(event),
    });
  }

  async start(): Promise<void> {
    await this.platform.start();
    const { settings } = this.platform;
    this.#operators = await parseOperators([{ file: "f", text: this.tuning }], settings[0]!);
    for (const n of settings.keys()) await this.boot(n);
    assert.ok(await this.platform.ready());
  }

  async boot(n: number): Promise<void> {
    const settings = this.platform.settings[n]!;
    const node = new ControllerNode({ settings, ...this.#operators, log: quiet });
    this.nodes.set(n, node);
    await node.start();
  }

  kill(n: number): void {
    this.nodes.get(n)?.stop();
    this.nodes.delete(n);
  }

  stop(): void {
    for (const node of this.nodes.values()) node.stop();
    this.platform.stop();
  }

  get address(): string {
    return this.platform.front.address;
  }

  async waitUntil(
    condition: () => boolean | Promise<boolean>,
    failure: string,
    ms = 40_000,
  ): Promise<void> {
    for (let waited = 0; waited < ms; waited += 50) {
      if (await condition()) return;
      await sleep(50);
    }
    assert.fail(failure);
  }

  job(uid: string, owner: string, overrides: object): object {
    return {
      uid,
      eidos: "test",
      owner,
      shape: "batch",
      urgency: "normal",
      pieces: 4,
      cores: 2,
      accelerators: 0,
      memGb: 1,
      bundle: null,
      sizeGb: 0,
      together: false,
      scatter: false,
      borrowed: true,
      expectS: 0.5,
      stashEveryS: 0,
      stashS: 0,
      ...overrides,
    };
  }

  /** Tasks that started on a machine while they were running on another. */
  tasksRunTwice(): string[] {
    const hostByTask = new Map<string, string>();
    const found: string[] = [];
    for (const { kind, piece, host } of this.events) {
      if (kind === "ended") hostByTask.delete(piece);
      else if (hostByTask.has(piece))
        found.push(`${piece} on ${hostByTask.get(piece)} and ${host}`);
      else hostByTask.set(piece, host);
    }
    return found;
  }
}

async function submit(client: HttpClient, job: object): Promise<void> {
  for (let n = 0; n < 60; n++) {
    const answer = await client.call("POST", "/api/jobs", job, 5000).catch(() => null);
    if (answer !== null && answer.status < 300) return;
    assert.ok(answer === null || answer.status >= 429, JSON.stringify(answer));
    await sleep(300);
  }
  assert.fail("the job was not accepted in 60 attempts");
}

const MARKET = `market {
  every_s: 2  term_s: 8  save_s: 1  least_price: 0.001  sure: 0.5  growth: 1
  bids_a_minute: 100000  open_bids: 200
  guest { name: "visitor" most { cpus: 48 } }
  guest { name: "institute" most { cpus: 48 } }
}`;

// Guards against jobs within their team's guarantee waiting for rented slots, against tasks that run
// twice, and against grants that are charged twice or never end, when controllers are killed during
// bursts of bids. Guests' jobs fill the platform; each bulletin job needs the guests' machines.
test("loopback: the bulletin is done and books add up while bids burst and controllers are killed", async () => {
  const site = new LocalSite({ controllers: 3, machines: 4, initial: 3 }, MARKET);
  await site.start();
  const client = new HttpClient(site.address, 8);
  const market = new MarketClient(site.address);
  const isDone = async (uid: string): Promise<boolean> => {
    const answer = await client.call("GET", `/api/jobs/${uid}`, undefined, 2000).catch(() => null);
    return (answer?.body as { status?: string } | undefined)?.status === "done";
  };
  try {
    // The guests' jobs always want all of the platform, at the same price.
    for (const guest of ["visitor", "institute"]) {
      const pieces = 200;
      void submit(client, site.job(`wk-${guest}`, guest, { pieces, expectS: 4 }));
    }
    let burstCount = 0;
    const burst = async (): Promise<void> => {
      const bids = Array.from({ length: 20 }, (_, n) => ({
        id: `bid-${burstCount}-${n}`,
        guest: n % 2 === 0 ? "visitor" : "institute",
        cores: 2,
        memGb: 1,
        slots: 3,
        price: 1,
        latest: Date.now() / 1000 + 15,
      }));
      burstCount++;
      await Promise.allSettled(bids.map((bid) => market.bid(bid)));
    };
    const bulletins: string[] = [];
    await burst();
    await site.waitUntil(
      () => site.events.some(({ piece }) => /visitor|institute/.test(piece)),
      "no task of a guest started",
    );
    for (let round = 0; round < 4; round++) {
      const uid = `wk-bulletin-${round}`;
      bulletins.push(uid);
      // Needs machines that run guests' tasks.
      await submit(client, site.job(uid, "red", { pieces: 8, expectS: 0.3 }));
      if (round === 1) {
        site.kill(1);
        setTimeout(() => void site.boot(1), 1500);
      }
      if (round === 2) {
        site.kill(0);
        site.kill(2);
        setTimeout(() => void site.boot(0), 1500);
        setTimeout(() => void site.boot(2), 2000);
      }
      await Promise.all([burst(), sleep(2500)]);
    }
    for (const uid of bulletins) await site.waitUntil(() => isDone(uid), `${uid} is not done`);
    assert.deepEqual(site.tasksRunTwice(), []);
    const rows = site.platform.state.rows;
    await site.waitUntil(
      () => ![...rows.keys()].some((key) => key.startsWith("w/m/g/")),
      "some grants did not end",
      60_000,
    );
    const charges = [...rows]
      .filter(([key]) => key.startsWith("m/c/"))
      .flatMap(([, { value }]) => value as { grant: string; micro: number }[]);
    assert.equal(new Set(charges.map(({ grant }) => grant)).size, charges.length);
    assert.ok(charges.length > 0);
    for (const guest of ["visitor", "institute"]) {
      const account = rows.get(`m/a/${guest}`)?.value as { charged: number } | undefined;
      const view = await market.account(guest);
      const sum = view.charges.reduce((micro, one) => micro + one.micro, 0);
      assert.equal(account?.charged ?? 0, sum);
    }
  } finally {
    client.close();
    market.close();
    site.stop();
  }
});

// ---- stand-ins ------------------------------------------------------------------------------

test("local: the state service answers as PROTOCOL says", async () => {
  const state = new StateService(systemClock, { ops: 4, conditions: 16, valueBytes: 200 });
  const server = new StateServer(state, systemClock, { rps: 1000, writeRps: 10 }, () => 1);
  await server.start();
  const client = new HttpClient(server.address, 2);
  const call = async (method: string, path: string, body?: object): Promise<[number, unknown]> => {
    const answer = await client.call(method, path, body, 5000);
    return [answer.status, answer.body];
  };
  try {
    const write = (path: string, fields: object = {}) => ({
      write: path,
      data: { n: 1 },
      ...fields,
    });
    const [, leaseBody] = await call("POST", "/holds", { ttlMs: 60_000 });
    const { tenancy } = leaseBody as { tenancy: number };
    const cases: [string, string, object | undefined, number, object?][] = [
      [
        "POST",
        "/multi",
        { when: [], then: [write("a/1"), write("a/2", { tenancy })] },
        200,
        { ledgerRev: 1 },
      ],
      ["GET", "/kv/a/1", undefined, 200, { path: "a/1", data: { n: 1 }, stamp: 1, tenancy: null }],
      ["GET", "/kv/nothing", undefined, 404, { ledgerRev: 1 }],
      [
        "POST",
        "/multi",
        { when: [{ path: "a/1", stamp: 7 }], then: [write("a/1")] },
        409,
        { failed: ["a/1"], ledgerRev: 1 },
      ],
      [
        "POST",
        "/multi",
        { when: [], then: [write("a/3", { tenancy: 99 })] },
        400,
        { error: "no such lease" },
      ],
      ["POST", "/multi", { when: [], then: [{ write: "b", data: "x".repeat(300) }] }, 400],
      [
        "GET",
        "/kv?under=a/&after=a/1&most=5",
        undefined,
        200,
        { rows: [{ path: "a/2", data: { n: 1 }, stamp: 1 }], more: false, ledgerRev: 1 },
      ],
      ["POST", `/holds/${tenancy}/extend`, undefined, 200],
      ["POST", "/holds/77/extend", undefined, 404],
      ["DELETE", `/holds/${tenancy}`, undefined, 200],
      [
        "GET",
        "/watch?under=a/&after=1&blockMs=0",
        undefined,
        200,
        { ledgerRev: 2, log: [{ delete: "a/2", stamp: 2 }] },
      ],
      ["POST", "/multi", { when: [], then: ["1", "2", "3", "4"].map((n) => write(n)) }, 200],
      ["POST", "/multi", { when: [], then: ["1", "2", "3", "4"].map((n) => write(n)) }, 429],
    ];
    for (const [method, path, body, status, expectedBody] of cases) {
      const [actualStatus, actualBody] = await call(method, path, body);
      assert.equal(actualStatus, status, `${method} ${path}: ${JSON.stringify(actualBody)}`);
      if (expectedBody !== undefined) assert.deepEqual(actualBody, expectedBody);
    }
    const watchResponse = call("GET", "/watch?under=c/&after=3&blockMs=20000");
    state.transact([], [{ put: "c/9", value: 5 }]);
    assert.deepEqual((await watchResponse)[1], {
      ledgerRev: 4,
      log: [{ write: "c/9", data: 5, stamp: 4 }],
    });
    for (let n = 0; n < 10_001; n++) state.transact([], [{ put: "d", value: n }]);
    assert.equal((await call("GET", "/watch?under=c/&after=3&blockMs=0"))[0], 410);
    state.setOutage(true);
    assert.equal((await call("GET", "/kv/a/1"))[0], 503);
  } finally {
    client.close();
    server.stop();
    state.stop();
  }
});

test("local: a job's command is run, and its exit code decides whether the task is done", async () => {
  const site = new LocalSite(
    { controllers: 1, zones: ["a"], initial: 1, commands: true },
    "rental { headroom: 2 }",
  );
  await site.start();
  const client = new HttpClient(site.address, 2);
  try {
    const statusOf = async (uid: string): Promise<string> =>
      ((await client.call("GET", `/api/jobs/${uid}`, undefined, 2000)).body as { status: string })
        .status;
    const exitCommand = [
      process.execPath,
      "-e",
      "process.exit(process.env.PIECE === 'wk-good/0' ? 0 : 1)",
    ];
    await submit(client, site.job("wk-good", "red", { pieces: 1, command: exitCommand }));
    await submit(client, site.job("wk-bad", "red", { pieces: 1, command: exitCommand }));
    await site.waitUntil(async () => (await statusOf("wk-good")) === "done", "wk-good is not done");
    await site.waitUntil(
      () => site.events.some(({ kind, piece }) => kind === "ended" && piece === "wk-bad/0"),
      "wk-bad did not run",
    );
    assert.notEqual(await statusOf("wk-bad"), "done");
  } finally {
    client.close();
    site.stop();
  }
});
