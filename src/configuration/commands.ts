/** `birchdale config`: show, apply, history, status. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { Command, InvalidArgumentError } from "commander";
import { RequestRefused, Unanswered } from "../client/retry.js";
import { describeErrorWithPath } from "../errors.js";
import { SettingsError } from "../settings/settings.js";
import type { ConfigurationView, ControllerRevision } from "./api.js";
import { ChangeRefused, ConfigurationClient, lagging, RevisionConflict } from "./client.js";
import { type ChangeFile, readChange } from "./file.js";

/** Exit codes: change not made or not in force; wrong usage or file; no controller answered. */
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const EXIT_NO_ANSWER = 3;
/** Default of `--within`: how long `--wait` waits for a revision to be in force, in seconds. */
const DEFAULT_WAIT_S = 14;

interface CommonOptions {
  node: string;
  json?: boolean;
}

interface ApplyOptions extends CommonOptions {
  wait?: boolean;
  within: number;
  dryRun?: boolean;
  why: string;
  by?: string;
  base?: number;
}

type Write = (text: string) => void;

function parsePositive(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0)
    throw new InvalidArgumentError("expected a number above 0");
  return value;
}

function parseRevision(text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 0)
    throw new InvalidArgumentError("expected a revision number, 0 or more");
  return value;
}

const timeOf = (at: number): string => new Date(at).toISOString();

function describe({ node, parts, revision: by, refused, present }: ControllerRevision): string {
  const decides = by === null ? "has said no revision" : `decides by revision ${by}`;
  const why = refused === null ? "" : `, refuses ${refused}`;
  return `${node}: ${decides}${why}, holds ${parts} parts${present ? "" : ", is not there"}`;
}

/** Runs a command with a client; reports an error as one line and an exit code. */
async function withClient(
  command: Command,
  { node }: CommonOptions,
  run: (client: ConfigurationClient) => Promise<void>,
): Promise<void> {
  const client = new ConfigurationClient(node);
  const fail = (message: string, exitCode: number): never =>
    command.error(`birchdale: ${message}`, { exitCode, code: "config.failed" });
  try {
    await run(client);
  } catch (error) {
    if (error instanceof SettingsError) fail(error.message, EXIT_USAGE);
    if (error instanceof RevisionConflict || error instanceof ChangeRefused)
      fail(error.message, EXIT_FAILED);
    if (error instanceof Unanswered) fail(`${node}: ${error.message}`, EXIT_NO_ANSWER);
    if (error instanceof RequestRefused) fail(`${node}: ${error.message}`, EXIT_FAILED);
    throw error;
  } finally {
    client.close();
  }
}

function readFile(file: string): ChangeFile {
  let text: string;
  try {
    text = readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (error) {
    throw new SettingsError(
      describeErrorWithPath(error).includes(file)
        ? describeErrorWithPath(error)
        : `${file}: ${describeErrorWithPath(error)}`,
    );
  }
  return readChange({ file, text });
}

async function apply(
  client: ConfigurationClient,
  file: string,
  options: ApplyOptions,
  write: Write,
): Promise<void> {
  const { change, refuse } = readFile(file);
  const view = await client.view();
  const base = options.base ?? view.head?.revision ?? 0;
  const request = {
    id: randomUUID(),
    base,
    by: options.by ?? userInfo().username,
    why: options.why,
    change,
    dryRun: options.dryRun === true,
  };
  const answer = await client.apply(request).catch((error: unknown) => {
    // Errors that only the controller can detect are reported with file and line as well.
    if (error instanceof ChangeRefused && error.subject !== "")
      refuse(error.message, error.subject);
    throw error;
  });
  const behind =
    options.wait === true && answer.kind === "applied"
      ? await client.waitUntilInForce(answer.revision, options.within * 1000)
      : [];
  const since = behind.length === 0 ? null : ((await client.view()).head?.at ?? null);
  if (options.json === true) write(`${JSON.stringify({ ...answer, lagging: behind, since })}\n`);
  else {
    const outcome = answer.kind === "applied" ? "is made" : "would be made";
    for (const line of answer.changes) write(`${line}\n`);
    for (const line of answer.warnings) write(`warning: ${line}\n`);
    write(`revision ${answer.revision} ${outcome}\n`);
    if (options.wait === true && answer.kind === "applied" && behind.length === 0)
      write("in force: all that hold parts decide by it\n");
    for (const one of behind)
      write(`not in force: ${describe(one)}${since === null ? "" : `, since ${timeOf(since)}`}\n`);
  }
  if (behind.length > 0) process.exitCode = EXIT_FAILED;
}

function shownTeams({ revision: by, head, teams, groups }: ConfigurationView): string {
  const lines = [
    head === null
      ? "no revision: all is as at start"
      : `revision ${by}, by ${head.by}, ${timeOf(head.at)}: ${head.why}`,
  ];
  for (const one of [...groups, ...teams]) lines.push(JSON.stringify(one));
  return lines.join("\n");
}

/** @param parent the program's command, whose output settings are inherited */
export function configurationCommands(
  parent: Command,
  write: Write = (text) => process.stdout.write(text),
): Command {
  const config = new Command("config")
    .copyInheritedSettings(parent)
    .description("read and change teams' guarantees, limits and weights, and groups, at run time");
  const command = (name: string, description: string): Command =>
    config
      .command(name)
      .description(description)
      .requiredOption("--node <host:port>", "a controller")
      .option("--json", "print JSON");
  const show = command("show", "show the configuration in force at one controller").action(
    (options: CommonOptions) =>
      withClient(show, options, async (client) => {
        const view = await client.view();
        write(options.json === true ? `${JSON.stringify(view)}\n` : `${shownTeams(view)}\n`);
      }),
  );
  const change = command(
    "apply",
    "make a revision; fields that the file does not name stay unchanged",
  )
    .argument("<file>", "teams and groups as protobuf text (- for standard input)")
    .option("--wait", "wait until all controllers that own parts use it")
    .option("--within <seconds>", "how long --wait waits", parsePositive, DEFAULT_WAIT_S)
    .option("--dry-run", "print what would change, and change nothing")
    .option("--why <text>", "the reason, kept in the history", "")
    .option("--by <name>", "author in the history; by default the user of this machine")
    .option("--base <revision>", "apply only if this is still the newest revision", parseRevision)
    .action((file: string, options: ApplyOptions) =>
      withClient(change, options, (client) => apply(client, file, options, write)),
    );
  const history = command(
    "history",
    "show past revisions: author, time, reason and changes",
  ).action((options: CommonOptions) =>
    withClient(history, options, async (client) => {
      const entries = await client.history();
      if (options.json === true) return write(`${JSON.stringify(entries)}\n`);
      if (entries.length === 0) write("no revision has been made\n");
      for (const { revision: number, by, at, why, changes } of entries) {
        write(`revision ${number}, by ${by}, ${timeOf(at)}: ${why}\n`);
        for (const line of changes) write(`  ${line}\n`);
      }
    }),
  );
  const status = command("status", "show which revision each controller uses").action(
    (options: CommonOptions) =>
      withClient(status, options, async (client) => {
        const view = await client.view();
        const newest = view.head?.revision ?? 0;
        const behind = lagging(view, newest);
        if (options.json === true)
          write(`${JSON.stringify({ revision: newest, controllers: view.controllers })}\n`);
        else {
          write(`revision ${newest}\n`);
          for (const one of view.controllers) write(`${describe(one)}\n`);
        }
        if (behind.length > 0) process.exitCode = EXIT_FAILED;
      }),
  );
  return config;
}
