import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { Command, CommanderError } from "commander";
import { configurationCommands } from "../src/configuration/commands.js";
import { Platform } from "../src/local/index.js";
import { ControllerNode } from "../src/node.js";
import { quiet } from "./support/common.js";

/** The output of a command and its exit code. */
interface CommandResult {
  text: string;
  errors: string;
  code: number;
}

async function run(args: string[]): Promise<CommandResult> {
  const outcome: CommandResult = { text: "", errors: "", code: 0 };
  const program = new Command("birchdale").exitOverride().configureOutput({
    writeErr: (text) => {
      outcome.errors += text;
    },
  });
  const write = (text: string): void => {
    outcome.text += text;
  };
  const before = process.exitCode;
  process.exitCode = 0;
  try {
    await configurationCommands(program, write).parseAsync(args, { from: "user" });
    outcome.code = Number(process.exitCode ?? 0);
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    outcome.code = error.exitCode;
  }
  process.exitCode = before;
  return outcome;
}

test("configuration: the commands show, plan, apply, wait and report errors", async () => {
  const platform = new Platform({ controllers: 2, reportS: 0.4, leaseS: 3, cancelS: 10 });
  const folder = mkdtempSync(join(tmpdir(), "birchdale-test-"));
  const file = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const nodes: ControllerNode[] = [];
  try {
    await platform.start();
    for (const settings of platform.settings) {
      const node = new ControllerNode({ settings, log: quiet });
      nodes.push(node);
      await node.start();
    }
    assert.ok(await platform.ready());
    const target = ["--node", platform.front.address];
    const good = file("good", 'team { name: "red" limit { cpus: 20 } weight: 2 }');
    const above = file("above", '# more\nteam { name: "red" limit { cpus: 65 } }');
    const initial = await run(["show", ...target]);
    assert.match(initial.text, /^no revision: all is as at start\n/);
    const planned = await run(["apply", good, ...target, "--dry-run"]);
    assert.match(
      planned.text,
      /red: limit 64 CPUs, any GPUs -> 20 CPUs[\s\S]*revision 1 would be made/,
    );
    assert.equal((await run(["history", ...target])).text, "no revision has been made\n");
    const refused = await run(["apply", above, ...target]);
    assert.equal(refused.code, 2);
    assert.match(refused.errors, /above:2: red: a limit of 65 CPUs is above the platform's, 64/);
    const applied = await run([
      "apply",
      good,
      ...target,
      "--wait",
      "--by",
      "ops",
      "--why",
      "a try",
    ]);
    assert.deepEqual([applied.code, applied.errors], [0, ""]);
    assert.match(applied.text, /revision 1 is made\nin force: all that hold parts decide by it\n$/);
    const outdated = await run(["apply", good, ...target, "--base", "0"]);
    assert.equal(outdated.code, 1);
    assert.match(outdated.errors, /overtaken by revision 1 of ops, 20/);
    const history = await run(["history", ...target]);
    assert.match(history.text, /^revision 1, by ops, 20.*: a try\n {2}team red: limit 64/);
    const status = await run(["status", ...target, "--json"]);
    const { revision, controllers } = JSON.parse(status.text) as {
      revision: number;
      controllers: { revision: number }[];
    };
    assert.deepEqual([revision, ...controllers.map((one) => one.revision)], [1, 1, 1]);
    const missing = await run(["apply", join(folder, "nowhere"), ...target]);
    assert.equal(missing.code, 2);
    assert.match(missing.errors, /nowhere: there is no such file/);
    const nobody = await run(["status", "--node", "127.0.0.1:9"]);
    assert.equal(nobody.code, 3);
  } finally {
    for (const node of nodes) node.stop();
    platform.stop();
    rmSync(folder, { recursive: true, force: true });
  }
});
