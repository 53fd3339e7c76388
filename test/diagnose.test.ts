import assert from "node:assert/strict";
import { test } from "node:test";
import { Command } from "commander";
import {
  type ControllerView,
  diagnoseCommands,
  explainJob,
  formatObstacle,
  type ObstacleKind,
} from "../src/diagnose/index.js";
import { Platform } from "../src/local/index.js";
import { parseOperators } from "../src/settings/operators.js";
import { settingsFor } from "./support/platform-settings.js";
import { World } from "./support/world.js";

const TEAMS = [
  { name: "red", cpus: 8, max: 12 },
  { name: "guests", cpus: 0, max: 0 },
];
const ID = "wk-000001";
const { extensions } = await parseOperators(
  [{ file: "t", text: "diagnose { stuck: 1 }" }],
  settingsFor(0, 3, TEAMS),
);

/** For each obstacle: `cause` brings it about for the job; 25 s later the controllers are queried. */
const causes: { name: ObstacleKind; cause(world: World): void | Promise<void>; deaf?: number[] }[] =
  [
    { name: "unknown job", cause: () => undefined },
    { name: "running", cause: (w) => void w.submit(ID, { team: "red", tasks: 2, runMs: 90_000 }) },
    { name: "over", cause: (w) => void w.submit(ID, { team: "red", tasks: 1, runMs: 500 }) },
    {
      name: "quota",
      cause: async (w) => {
        w.submit("wk-000002", { team: "red", tasks: 40, runMs: 200_000 });
        await w.clock.run(60_000);
        w.submit(ID, { team: "red", tasks: 3, cpus: 4 });
      },
    },
    {
      name: "failing",
      cause: async (w) => {
        w.submit(ID, { team: "red", tasks: 1, runMs: 500, fails: true });
        await w.clock.run(60_000);
      },
    },
    {
      name: "no machine of the kind",
      cause: (w) => {
        w.cloud.outage = true;
        w.submit(ID, { team: "red", tasks: 1, spot: false });
      },
    },
    {
      name: "no room",
      cause: async (w) => {
        w.submit("wk-000002", { team: "guests", tasks: 400, runMs: 300_000 });
        await w.clock.run(40_000);
        w.submit(ID, { team: "guests", tasks: 4, cpus: 4 });
      },
    },
    {
      name: "machine silent",
      cause: async (w) => {
        w.submit(ID, { team: "red", tasks: 1, runMs: 300_000 });
        await w.clock.run(25_000);
        for (const worker of w.workers.values()) worker.cut = true;
        w.cloud.outage = true;
      },
    },
    {
      name: "cut from the store",
      cause: async (w) => {
        w.submit(ID, { team: "red", tasks: 1, runMs: 300_000 });
        await w.clock.run(25_000);
        w.state.setOutage(true);
      },
    },
    {
      name: "owner silent",
      deaf: [0, 1, 2],
      cause: (w) => void w.submit(ID, { team: "red", tasks: 1, runMs: 300_000 }),
    },
  ];
for (const { name, cause, deaf = [] } of causes) {
  test(`why: ${name} is reported when it occurs`, async () => {
    const world = new World(3, 3, TEAMS, 6, {}, ["a"], () => ({ extensions }));
    await world.clock.run(20_000);
    await cause(world);
    await world.clock.run(25_000);
    const asked = [0, 1, 2].map((n) => world.clock.within(world.ask(n, "GET", `/about/why/${ID}`)));
    let views = (await Promise.all(asked)).flatMap((answer) =>
      answer?.status === 200 ? [answer.body as ControllerView] : [],
    );
    const unanswered: string[] = [];
    // Keep only one answer, of a controller that does not own the job's parts.
    if (deaf.length > 0) {
      unanswered.push("10.0.0.9:8080");
      views = views.filter(({ parts }) => parts.every(({ jobs }) => jobs.length === 0)).slice(0, 1);
    }
    const found = explainJob(ID, views, unanswered);
    assert.ok(
      found.some(({ kind }) => kind === name),
      found.map(formatObstacle).join("\n"),
    );
    world.stop();
  });
}

test("why: what only the owner knows is reported as not known if the owner was not queried", () => {
  const view: ControllerView = {
    node: "n1",
    contactS: 0.1,
    valid: true,
    ready: true,
    leads: false,
    owners: ["n0", "n1"],
    job: { status: "open", parts: [0, 1], tasks: 9 },
    parts: [],
    rental: null,
  };
  const kinds = (unanswered: string[]) =>
    explainJob(ID, [view], unanswered).map(({ kind }) => kind);
  assert.deepEqual(kinds([]), ["not known", "restoring"]);
  assert.deepEqual(kinds(["a:1"]), ["owner silent", "restoring"]);
});

test("why: without any answer the job is reported as not known", () => {
  const [found] = explainJob(ID, [], ["a:1"]);
  assert.equal(found?.kind, "not known");
});

test("why and diagnose on a local platform: text output, JSON output, errors and exit codes", async () => {
  const platform = new Platform({ controllers: 1, machines: 2, zones: ["a"], initial: 1 });
  await platform.start();
  const { ControllerNode } = await import("../src/node.js");
  const settings = platform.settings[0]!;
  const node = new ControllerNode({
    settings,
    extensions,
    log: (await import("./support/common.js")).quiet,
  });
  const run = async (...words: string[]): Promise<[string, unknown]> => {
    const out: string[] = [];
    const write = (text: string): void => {
      out.push(text);
    };
    const program = new Command("birchdale").exitOverride().configureOutput({ writeErr: write });
    const commands = diagnoseCommands(program, write);
    for (const command of commands.commands) command.exitOverride().copyInheritedSettings(program);
    const code = await commands.parseAsync(words, { from: "user" }).then(
      () => process.exitCode ?? 0,
      (error: { exitCode?: number }) => error.exitCode,
    );
    process.exitCode = 0;
    return [out.join(""), code];
  };
  try {
    await node.start();
    assert.ok(await platform.ready());
    const at = ["--node", settings.listen];
    assert.match((await run("diagnose", ...at))[0], /^part 0 \(node-0\): /m);
    const [text, code] = await run("why", "wk-999999", ...at);
    assert.match(text, /^unknown job: /);
    assert.equal(code, 1);
    const [json] = await run("why", "wk-999999", "--json", ...at);
    assert.equal((JSON.parse(json) as { found: unknown[] }).found.length, 1);
    assert.deepEqual(await run("why", "nonsense", ...at), ["error: invalid job id nonsense\n", 2]);
    assert.equal((await run("why", ID, "--node", "nowhere"))[1], 2);
    assert.equal((await run("why", ID, "--node", "127.0.0.1:1"))[1], 3);
  } finally {
    node.stop();
    platform.stop();
  }
});
