/** `birchdale lab`: runs on this machine at the size that a file says. */
import { writeFileSync } from "node:fs";
import { Command } from "commander";
import { serveRun } from "./process.js";
import { tableOf } from "./results.js";
import { runScenario } from "./run.js";
import { loadScenario, ScenarioError } from "./scenario.js";

/** Wrong file or use of the command line. */
const USAGE = 2;
/** A rule was broken, or the run could not be brought to its end. */
const FAILED = 1;

interface RunCommandOptions {
  json?: string;
  set?: string[];
  check?: boolean;
}

export function labCommands(parent: Command, program: string): Command {
  const lab = new Command("lab")
    .copyInheritedSettings(parent)
    .description("runs at scale on this machine, with hollow workers");
  lab
    .command("run")
    .description("play a scenario, print what it took; progress goes to standard error")
    .argument("<file>", "the scenario (TOML), such as deploy/small.lab.toml")
    .option("--json <file>", "write the results as JSON, too")
    .option("--set <path=value...>", "change fields of the file, such as teams.count=20")
    .option("--check", "only check the file")
    .action(async (file: string, options: RunCommandOptions) => {
      try {
        await run(file, options, program);
      } catch (error) {
        if (!(error instanceof ScenarioError)) throw error;
        lab.error(`birchdale: ${error.message}`, { exitCode: USAGE, code: "lab.scenario" });
      }
    });
  lab.command("process", { hidden: true }).action(() => {
    serveRun();
    // For as long as the run that started it: it never returns.
    return new Promise(() => undefined);
  });
  return lab;
}

async function run(file: string, options: RunCommandOptions, program: string): Promise<void> {
  const scenario = loadScenario(file, options.set);
  if (options.check === true) {
    process.stdout.write("ok\n");
    return;
  }
  const stop = new AbortController();
  for (const name of ["SIGINT", "SIGTERM"] as const) process.once(name, () => stop.abort());
  const say = (text: string): void => {
    process.stderr.write(`${text}\n`);
  };
  const results = await runScenario({ scenario, program, say }, stop.signal);
  if (options.json !== undefined)
    writeFileSync(options.json, `${JSON.stringify(results, null, 1)}\n`);
  process.stdout.write(tableOf(results));
  if (!results.complete) process.stdout.write("interrupted: what was measured until then\n");
  if (results.violations.length > 0 || !results.complete) process.exitCode = FAILED;
}
