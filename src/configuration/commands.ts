/** `birchdale config`: show, apply, history, status. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { Command, InvalidArgumentError } from "commander";
import { RequestRefused, Unanswered } from "../client/retry.js";
import { lineOf } from "../errors.js";
import { SettingsError } from "../settings/settings.js";
import type { ConfigurationView, ControllerRevision } from "./api.js";
import { ChangeRefused, ConfigurationClient, lagging, Overtaken } from "./client.js";
import { type ChangeFile, readChange } from "./file.js";

/** Exit codes: a change that is not made or not in force; wrong use or file; nobody answered. */
const FAILED = 1;
const USAGE = 2;
const NOBODY = 3;
/** Seconds that `--wait` gives a revision. */
const WITHIN_S = 14;

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

function positive(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError("not above 0");
  return value;
}

function revision(text: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 0) throw new InvalidArgumentError("not a revision");
  return value;
}

const timeOf = (at: number): string => new Date(at).toISOString();

function describe({ node, parts, revision: by, refused, present }: ControllerRevision): string {
  const decides = by === null ? "has said no revision" : `decides by revision ${by}`;
  const why = refused === null ? "" : `, refuses ${refused}`;
  return `${node}: ${decides}${why}, holds ${parts} parts${present ? "" : ", is not there"}`;
}

/** Runs with a client; errors become one line and an exit code. */
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
    if (error instanceof SettingsError) fail(error.message, USAGE);
    if (error instanceof Overtaken || error instanceof ChangeRefused) fail(error.message, FAILED);
    if (error instanceof Unanswered) fail(`${node}: ${error.message}`, NOBODY);
    if (error instanceof RequestRefused) fail(`${node}: ${error.message}`, FAILED);
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
      lineOf(error).includes(file) ? lineOf(error) : `${file}: ${lineOf(error)}`,
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
    // What only the platform's settings show to be wrong stands in the file all the same.
    if (error instanceof ChangeRefused && error.about !== "") refuse(error.message, error.about);
    throw error;
  });
  const late =
    options.wait === true && answer.kind === "applied"
      ? await client.inForce(answer.revision, options.within * 1000)
      : [];
  const since = late.length === 0 ? null : ((await client.view()).head?.at ?? null);
  if (options.json === true) write(`${JSON.stringify({ ...answer, lagging: late, since })}\n`);
  else {
    const made = answer.kind === "applied" ? "is made" : "would be made";
    for (const line of answer.changes) write(`${line}\n`);
    for (const line of answer.warnings) write(`warning: ${line}\n`);
    write(`revision ${answer.revision} ${made}\n`);
    if (options.wait === true && answer.kind === "applied" && late.length === 0)
      write("in force: all that hold parts decide by it\n");
    for (const one of late)
      write(`not in force: ${describe(one)}${since === null ? "" : `, since ${timeOf(since)}`}\n`);
  }
  if (late.length > 0) process.exitCode = FAILED;
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

/** @param parent the program's command, whose output settings it shares */
export function configurationCommands(
  parent: Command,
  write: Write = (text) => process.stdout.write(text),
): Command {
  const config = new Command("config")
    .copyInheritedSettings(parent)
    .description("teams' guarantees, limits and weights, and groups, changed while serving");
  const command = (name: string, description: string): Command =>
    config
      .command(name)
      .description(description)
      .requiredOption("--node <host:port>", "a controller")
      .option("--json", "print JSON");
  const show = command("show", "what is in force, as one controller sees it").action(
    (options: CommonOptions) =>
      withClient(show, options, async (client) => {
        const view = await client.view();
        write(options.json === true ? `${JSON.stringify(view)}\n` : `${shownTeams(view)}\n`);
      }),
  );
  const change = command("apply", "make a revision; what the file does not name stays as it is")
    .argument("<file>", "teams and groups as protobuf text (- for standard input)")
    .option("--wait", "until all controllers that hold parts decide by it")
    .option("--within <seconds>", "how long --wait waits", positive, WITHIN_S)
    .option("--dry-run", "print what would change, and change nothing")
    .option("--why <text>", "kept in the history", "")
    .option("--by <name>", "who makes it; without it, the user of this machine")
    .option("--base <revision>", "only if this is still the newest one", revision)
    .action((file: string, options: ApplyOptions) =>
      withClient(change, options, (client) => apply(client, file, options, write)),
    );
  const history = command("history", "who set what, when and why").action(
    (options: CommonOptions) =>
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
  const status = command("status", "by which revision each controller decides").action(
    (options: CommonOptions) =>
      withClient(status, options, async (client) => {
        const view = await client.view();
        const newest = view.head?.revision ?? 0;
        const late = lagging(view, newest);
        if (options.json === true)
          write(`${JSON.stringify({ revision: newest, controllers: view.controllers })}\n`);
        else {
          write(`revision ${newest}\n`);
          for (const one of view.controllers) write(`${describe(one)}\n`);
        }
        if (late.length > 0) process.exitCode = FAILED;
      }),
  );
  return config;
}
