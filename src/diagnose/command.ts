import type { Command } from "commander";
import { HttpClient } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import { isJobId } from "../wire/jobs.js";
import { type ControllerView, explainJob } from "./obstacles.js";
import { formatObstacle, formatOverview } from "./text-output.js";

/**
 * Exit codes: a job is stuck or a controller could not be queried; wrong usage; no controller
 * answered.
 */
const EXIT_STUCK = 1;
const EXIT_USAGE = 2;
const EXIT_NO_ANSWER = 3;

/** A controller that takes longer than this to answer is too slow to serve workers either. */
const ANSWER_TIMEOUT_MS = 4000;

interface Options {
  node: string[];
  json?: boolean;
}

/** Whether a response body has the shape of a view. Any other body counts as no answer. */
export const isView = (body: unknown): body is ControllerView =>
  isMap(body) &&
  typeof body.node === "string" &&
  Number.isFinite(body.contactS) &&
  Array.isArray(body.owners) &&
  Array.isArray(body.parts);

/**
 * Queries all addresses at the same time. An address whose answer is not a view is listed as
 * unanswered, with the reason.
 */
export async function queryControllers(
  addresses: readonly string[],
  path: string,
): Promise<{ views: ControllerView[]; unanswered: string[] }> {
  const views: ControllerView[] = [];
  const unanswered: string[] = [];
  const ask = async (address: string): Promise<void> => {
    const client = new HttpClient(address, 1);
    try {
      const { status, body } = await client.call("GET", path, undefined, ANSWER_TIMEOUT_MS);
      if (status === 200 && isView(body)) views.push(body);
      else if (status === 404) unanswered.push(`${address} (diagnose is not enabled there)`);
      else unanswered.push(`${address} (status ${status})`);
    } catch {
      unanswered.push(address);
    } finally {
      client.close();
    }
  };
  await Promise.all(addresses.map(ask));
  views.sort((a, b) => (a.node < b.node ? -1 : 1));
  return { views, unanswered: unanswered.sort() };
}

const isAddress = (text: string): boolean => /^[^\s:]+:\d{1,5}$/.test(text);

/** Adds the commands `why` and `diagnose` to `program`. Tests pass their own `write`. */
export function diagnoseCommands(
  program: Command,
  write: (text: string) => void = (text) => process.stdout.write(text),
): Command {
  const withNodeOptions = (command: Command): Command =>
    command
      .requiredOption(
        "--node <host:port...>",
        "addresses of controllers to query; list all of them for a complete answer",
      )
      .option("--json", "print JSON");
  const checkAddresses = (command: Command, addresses: readonly string[]): void => {
    const invalid = addresses.find((address) => !isAddress(address));
    if (invalid !== undefined) {
      command.error(`error: invalid address ${invalid}: expected host:port`, {
        exitCode: EXIT_USAGE,
      });
    }
  };
  const failWithoutAnswer = (command: Command, unanswered: readonly string[]): never =>
    command.error(`error: no controller answered: ${unanswered.join(", ")}`, {
      exitCode: EXIT_NO_ANSWER,
      code: "diagnose.nobody",
    });
  const whyCommand = withNodeOptions(program.command("why"))
    .description("explain why a job is not progressing")
    .argument("<job>")
    .action(async (id: string, options: Options) => {
      checkAddresses(whyCommand, options.node);
      if (!isJobId(id)) whyCommand.error(`error: invalid job id ${id}`, { exitCode: EXIT_USAGE });
      const { views, unanswered } = await queryControllers(options.node, `/about/why/${id}`);
      if (views.length === 0) failWithoutAnswer(whyCommand, unanswered);
      const obstacles = explainJob(id, views, unanswered);
      const lines = obstacles.map(formatObstacle);
      for (const address of unanswered) lines.push(`not known: no answer from ${address}`);
      write(
        options.json
          ? `${JSON.stringify({ id, found: obstacles, unanswered })}\n`
          : `${lines.join("\n")}\n`,
      );
      const isHealthy = obstacles.every(({ kind }) =>
        ["running", "over", "about to start"].includes(kind),
      );
      process.exitCode = isHealthy && unanswered.length === 0 ? 0 : EXIT_STUCK;
    });
  const diagnoseCommand = withNodeOptions(program.command("diagnose"))
    .description("list what is stuck in the whole cluster")
    .action(async (options: Options) => {
      checkAddresses(diagnoseCommand, options.node);
      const { views, unanswered } = await queryControllers(options.node, "/about/diagnose");
      if (views.length === 0) failWithoutAnswer(diagnoseCommand, unanswered);
      const text = formatOverview(views, unanswered).join("\n");
      write(options.json ? `${JSON.stringify({ views, unanswered })}\n` : `${text}\n`);
      const isAnyStuck = views.some(({ parts }) => parts.some(({ jobs }) => jobs.length > 0));
      process.exitCode = isAnyStuck || unanswered.length > 0 ? EXIT_STUCK : 0;
    });
  return program;
}
