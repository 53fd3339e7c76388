#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { Command, CommanderError, InvalidArgumentError } from "commander";
import { closest, distance } from "fastest-levenshtein";
import { describeErrorWithPath } from "./errors.js";
import {
  ControllerNode,
  defaultArchive,
  JobClient,
  type JobView,
  loadOperators,
  loadSettings,
  openLog,
  RequestRefused,
  SettingsError,
  Unanswered,
  withPackage,
} from "./index.js";
import type { LocalOptions } from "./local/index.js";
import { tuneV8 } from "./processor.js";
import type { SubmitFileOptions } from "./submit/index.js";

const VERSION = "0.1.0";

/** Exit code for wrong usage of the command line; errors while running exit with 1. */
const EXIT_USAGE = 2;

interface ClientOptions {
  node: string;
  json?: boolean;
}

function print(view: JobView, json: boolean | undefined): void {
  const counts = view.done === undefined ? "" : `  ${view.done} done, ${view.running ?? 0} running`;
  const awaits = view.awaits === undefined ? "" : `  waits for ${view.awaits.join(", ")}`;
  process.stdout.write(
    json ? `${JSON.stringify(view)}\n` : `${view.id}  ${view.status}${counts}${awaits}\n`,
  );
}

async function runJobRequest(
  options: ClientOptions,
  run: (client: JobClient) => Promise<JobView>,
): Promise<void> {
  const client = new JobClient(options.node);
  try {
    print(await run(client), options.json);
  } finally {
    client.close();
  }
}

interface ServeOptions {
  config?: string;
  tuning?: string[];
  archive?: boolean;
  suspicion?: boolean;
}

async function serve(options: ServeOptions): Promise<void> {
  const { config, tuning: files = [] } = options;
  if (config === undefined) {
    return program.error("error: give --config <file> or a command; see --help", {
      exitCode: EXIT_USAGE,
    });
  }
  const settings = loadSettings(config);
  tuneV8(settings.params.quota.cores);
  const operators = await loadOperators(files, settings);
  if (options.suspicion === true) await withPackage("suspicion", operators, settings);
  const log = openLog(settings.node_name);
  // An error in one request must not abort the others.
  process.on("uncaughtException", (error) => log.error({ err: error }, "unexpected"));
  process.on("unhandledRejection", (error) => log.error({ err: error }, "unexpected"));
  const archive = operators.archive ?? (options.archive === true ? defaultArchive : undefined);
  const node = new ControllerNode({
    settings,
    ...operators,
    archive,
    log,
    fatal: (why) => {
      process.stderr.write(`birchdale: ${why}\n`);
      process.exit(1);
    },
  });
  await node.start();
  // Planned shutdown: claims are handed over, so that other controllers need not wait for the lease
  // to expire. Claims that cannot be handed over in time end with the lease.
  const drainTimeoutMs = (settings.params.workers.lease_s * 1000) / 4;
  process.once("SIGTERM", () => {
    const wait = new Promise((resolve) => setTimeout(resolve, drainTimeoutMs));
    const end = (): void => {
      node.stop();
      process.exit(0);
    };
    Promise.race([node.drain().catch(() => undefined), wait]).then(end, end);
  });
}

function readJob(file: string): unknown {
  const text = readFileSync(file === "-" ? 0 : file, "utf8");
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new RequestRefused(`${file}: ${(error as Error).message}`);
  }
}

function parseCount(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0)
    throw new InvalidArgumentError("expected a whole number, 0 or more");
  return value;
}

/** Exits with an error for an unknown command; suggests a command with a similar name. */
function rejectUnknownCommand(command: string): never {
  const names = program.commands.map((one) => one.name());
  const nearest = closest(command, names);
  const near = distance(command, nearest) <= Math.max(1, command.length / 3);
  const hint = near ? `did you mean ${nearest}?` : "see --help for the available commands";
  return program.error(`error: unknown command '${command}'; ${hint}`, { exitCode: EXIT_USAGE });
}

const program = new Command("birchdale")
  .description("A cluster scheduler with fair sharing between teams.")
  .version(VERSION)
  .option(
    "--tuning <file>",
    "the operators' own settings (protobuf text format); several files are merged",
    (file: string, files: string[] = []) => [...files, file],
  )
  .option("--config <file>", "run a controller with these settings (TOML)")
  .option("--suspicion", "monitor the other controllers, as with `suspicion {}` in --tuning")
  .option("--archive", "as the leader, archive finished jobs, as with `archive {}` in --tuning")
  .argument("[command]", "what to do; without one, --config runs a controller")
  .action((command: string | undefined, options: ServeOptions) =>
    command === undefined ? serve(options) : rejectUnknownCommand(command),
  )
  .allowExcessArguments()
  .exitOverride()
  .configureOutput({ outputError: (text, write) => write(text) });

program
  .command("serve")
  .description("run a controller, as --config alone does")
  .argument("<settings>", "settings file (TOML)")
  .action((config: string) => serve({ ...program.opts(), config }));

program
  .command("check")
  .description("check a settings file, and with --tuning the operators' settings")
  .argument("<settings>", "settings file (TOML)")
  .action(async (file: string) => {
    const settings = loadSettings(file);
    await loadOperators(program.opts<{ tuning?: string[] }>().tuning ?? [], settings);
    process.stdout.write("ok\n");
  });

const clientCommand = (name: string, description: string): Command =>
  program
    .command(name)
    .description(description)
    .requiredOption("--node <host:port>", "a controller")
    .option("--json", "print JSON");

/**
 * Whether a file contains a job as JSON, which starts with a brace; otherwise it is a submit file.
 */
const isJsonJob = (file: string): boolean =>
  file === "-" || /^\s*\{/.test(readFileSync(file, "utf8").replace(/^\ufeff/, ""));

program
  .command("submit")
  .description("submit a job, or an HTCondor submit file")
  .argument("<file>", "a submit file; or a job as JSON (- for standard input)")
  .option("--node <host:port>", "a controller")
  .option("--json", "print JSON")
  .option("--dry-run", "print the jobs that a submit file describes, and submit nothing")
  .option("--team <team>", "the team of jobs without accounting_group")
  .option("--user <name>", "who is shown as the owner")
  .option("--env <names...>", "environment variables that $ENV may read")
  .option("--time-zone <zone>", "for cron_*, such as Europe/Athens")
  .option(
    "--name <name>",
    "the name of the submission: submissions of the same name are accepted once",
  )
  .option("--await <ids...>", "jobs that must be done before any task of this one starts")
  .action(async (file: string, options: SubmitFileOptions & { await?: string[] }) => {
    const { node, await: awaits } = options;
    if (!isJsonJob(file)) {
      if (awaits !== undefined) {
        const why = "error: --await applies to a job as JSON only, not to a submit file";
        return program.error(why, { exitCode: EXIT_USAGE });
      }
      const { submitFile } = await import("./submit/index.js");
      return submitFile(file, options);
    }
    if (node === undefined)
      return program.error("error: give --node <host:port>", { exitCode: EXIT_USAGE });
    const job = readJob(file);
    const body = awaits === undefined ? job : { ...(job as object), awaits };
    return runJobRequest({ ...options, node }, (jobs) => jobs.submit(body));
  });
clientCommand("show", "show a job's status and progress")
  .argument("<id>")
  .action((id: string, options: ClientOptions) => runJobRequest(options, (jobs) => jobs.show(id)));
clientCommand("watch", "show every change of a job until it is finished")
  .argument("<id>")
  .action(async (id: string, options: ClientOptions) => {
    const jobs = new JobClient(options.node);
    try {
      await jobs.watch(id, (view) => print(view, options.json));
    } finally {
      jobs.close();
    }
  });
clientCommand("withdraw", "cancel a job")
  .argument("<id>")
  .action((id: string, options: ClientOptions) =>
    runJobRequest(options, (jobs) => jobs.withdraw(id)),
  );

clientCommand(
  "drain",
  "hand a controller's parts over to the others, before maintenance of its machine",
)
  .option("--undo", "let the controller own parts again")
  .action(async (options: ClientOptions & { undo?: boolean }) => {
    const jobs = new JobClient(options.node);
    try {
      const on = options.undo !== true;
      const { node } = await jobs.drain(on);
      const message = on ? "drained: it owns nothing" : "takes parts again";
      process.stdout.write(
        options.json ? `${JSON.stringify({ node, on })}\n` : `${node} ${message}\n`,
      );
    } finally {
      jobs.close();
    }
  });

clientCommand("status", "show teams, parts and machines, as one controller sees them").action(
  async (options: ClientOptions) => {
    const jobs = new JobClient(options.node);
    try {
      const status = await jobs.status();
      process.stdout.write(`${JSON.stringify(status, null, options.json ? 0 : 2)}\n`);
    } finally {
      jobs.close();
    }
  },
);

program
  .command("market")
  .description("bid for idle machines, see accounts, write reports; see market --help")
  .argument("[words...]")
  .helpOption(false)
  .allowUnknownOption()
  .action(async (words: string[]) => {
    const { marketCommands } = await import("./market/index.js");
    await marketCommands(program).parseAsync(words, { from: "user" });
  });

program
  .command("state")
  .description("images of the state service's contents; see state --help")
  .argument("[words...]")
  .helpOption(false)
  .allowUnknownOption()
  .action(async (words: string[]) => {
    const { imageCommands } = await import("./image/index.js");
    await imageCommands(program).parseAsync(words, { from: "user" });
  });

/** Commands of optional packages; a package is loaded when one of its commands is used. */
const packageCommands: [
  load: (program: Command) => Promise<Command>,
  commands: [string, string][],
][] = [
  [
    async (own) => (await import("./diagnose/index.js")).diagnoseCommands(own),
    [
      ["why", "explain why a job makes no progress"],
      ["diagnose", "list jobs without progress in the whole cluster"],
    ],
  ],
  [
    async (own) => (await import("./submit/index.js")).submitCommands(own),
    [
      ["q", "show clusters of submit files in the queue, or the jobs of some"],
      ["history", "show finished clusters"],
      ["rm", "remove clusters, or jobs of them"],
      ["hold", "hold clusters, or jobs of them"],
      ["release", "release held clusters, or jobs of them"],
      ["analyze", "show why a job does, or does not, match machines"],
    ],
  ],
];
for (const [load, commands] of packageCommands) {
  for (const [name, description] of commands) {
    program
      .command(name)
      .description(`${description}; see ${name} --help`)
      .argument("[words...]")
      .helpOption(false)
      .allowUnknownOption()
      .action(async (words: string[]) => {
        const own = await load(new Command("birchdale").copyInheritedSettings(program));
        await own.parseAsync([name, ...words], { from: "user" });
      });
  }
}

program
  .command("lab")
  .description("run large clusters on this machine, with hollow workers; see lab --help")
  .argument("[words...]")
  .helpOption(false)
  .allowUnknownOption()
  .action(async (words: string[]) => {
    const { labCommands } = await import("./lab/index.js");
    const programFile = fileURLToPath(import.meta.url);
    await labCommands(program, programFile).parseAsync(words, { from: "user" });
  });

program
  .command("config")
  .description("change teams and groups at run time; see config --help")
  .argument("[words...]")
  .helpOption(false)
  .allowUnknownOption()
  .action(async (words: string[]) => {
    const { configurationCommands } = await import("./configuration/commands.js");
    await configurationCommands(program).parseAsync(words, { from: "user" });
  });

program
  .command("local")
  .description("run a whole platform on this machine: state service, cloud, workers, controllers")
  .option("--controllers <n>", "how many controllers", parseCount, 3)
  .option("--machines <m>", "how many machines of each type, zone and kind", parseCount, 8)
  .option("--port <port>", "port for users' requests; 0 for any free one", parseCount, 8080)
  .option("--commands", "let jobs run the command they name, on this machine")
  .option("--from <image>", "start with the contents of an image made by `state save`")
  .action(async (options: Omit<LocalOptions, "tuning" | "archive" | "program" | "write">) => {
    const { runLocal } = await import("./local/index.js");
    const stop = new AbortController();
    for (const name of ["SIGINT", "SIGTERM"] as const) process.once(name, () => stop.abort());
    await runLocal(
      {
        ...options,
        commands: options.commands === true,
        archive: program.opts<ServeOptions>().archive === true,
        tuning: program.opts<{ tuning?: string[] }>().tuning ?? [],
        program: fileURLToPath(import.meta.url),
        write: (text) => process.stdout.write(text),
      },
      stop.signal,
    );
  });

try {
  await program.parseAsync();
} catch (error) {
  if (error instanceof CommanderError) {
    // These commands set their own exit codes; other command errors are wrong usage.
    const hasOwnExitCode = /^(state|diagnose|config)\./.test(error.code);
    process.exitCode = error.exitCode === 0 ? 0 : hasOwnExitCode ? error.exitCode : EXIT_USAGE;
  } else {
    const known =
      error instanceof SettingsError ||
      error instanceof RequestRefused ||
      error instanceof Unanswered ||
      (error as Error).name === "ImageError" ||
      (error as NodeJS.ErrnoException).code !== undefined;
    process.stderr.write(`birchdale: ${known ? describeErrorWithPath(error) : String(error)}\n`);
    process.exitCode = 1;
  }
}
