/** `birchdale lab`: simulates deployments on this machine as described by scenario files. */
import { writeFileSync } from "node:fs";
import { Command } from "commander";
import { tableOf } from "./results.js";
import { runRoleProcess } from "./role-process.js";
import { runScenario } from "./run.js";
import { loadScenario, ScenarioError } from "./scenario.js";

/** Invalid scenario file or command line. */
const USAGE_EXIT_CODE = 2;
/** A rule was violated, or the run did not complete. */
const FAILURE_EXIT_CODE = 1;

interface RunCommandOptions {
  json?: string;
  set?: string[];
  check?: boolean;
}

export function labCommands(parent: Command, program: string): Command {
  const lab = new Command("lab")
    .copyInheritedSettings(parent)
    .description("simulate a deployment at scale on this machine, with hollow workers");
  lab
    .command("run")
    .description("run a scenario and print its measurements; progress goes to standard error")
    .argument("<file>", "the scenario (TOML), such as deploy/small.lab.toml")
    .option("--json <file>", "also write the results as JSON")
    .option("--set <path=value...>", "override fields of the file, such as teams.count=20")
    .option("--check", "only check the file")
    .action(async (file: string, options: RunCommandOptions) => {
      try {
        await run(file, options, program);
      } catch (error) {
        if (!(error instanceof ScenarioError)) throw error;
        lab.error(`birchdale: ${error.message}`, {
          exitCode: USAGE_EXIT_CODE,
          code: "lab.scenario",
        });
      }
    });
  lab.command("process", { hidden: true }).action(() => {
    runRoleProcess();
    // Never resolves: the process exits when the run that started it disconnects.
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
  const interrupt = new AbortController();
  for (const name of ["SIGINT", "SIGTERM"] as const) process.once(name, () => interrupt.abort());
  const onProgress = (text: string): void => {
    process.stderr.write(`${text}\n`);
  };
  const results = await runScenario({ scenario, program, onProgress }, interrupt.signal);
  if (options.json !== undefined)
    writeFileSync(options.json, `${JSON.stringify(results, null, 1)}\n`);
  process.stdout.write(tableOf(results));
  if (!results.complete)
    process.stdout.write("interrupted: the figures cover only the time until then\n");
  if (results.violations.length > 0 || !results.complete) process.exitCode = FAILURE_EXIT_CODE;
}
