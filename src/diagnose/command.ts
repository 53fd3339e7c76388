import type { Command } from "commander";
import { HttpClient } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import { isJobId } from "../wire/jobs.js";
import { explain, type View } from "./obstacles.js";
import { lineFor, overview } from "./words.js";

/** Exit codes: something stands still, or could not be asked; wrong use; nobody answered. */
const STILL = 1;
const USAGE = 2;
const NOBODY = 3;

/** Whoever has not answered by then does not count on being heard by a worker either. */
const PATIENCE_MS = 4000;

interface Options {
  node: string[];
  json?: boolean;
}

/** A view as it comes over the wire; what is none is not guessed at. */
export const isView = (body: unknown): body is View =>
  isMap(body) &&
  typeof body.node === "string" &&
  Number.isFinite(body.contactS) &&
  Array.isArray(body.owners) &&
  Array.isArray(body.parts);

/** Asks all at once. An address whose answer is no view is unanswered, with the reason. */
export async function askAll(
  addresses: readonly string[],
  path: string,
): Promise<{ views: View[]; unanswered: string[] }> {
  const views: View[] = [];
  const unanswered: string[] = [];
  const ask = async (address: string): Promise<void> => {
    const client = new HttpClient(address, 1);
    try {
      const { status, body } = await client.call("GET", path, undefined, PATIENCE_MS);
      if (status === 200 && isView(body)) views.push(body);
      else if (status === 404) unanswered.push(`${address} (diagnose is not switched on there)`);
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

/** `why` and `diagnose`, for the program and for tests. */
export function diagnoseCommands(
  program: Command,
  write: (text: string) => void = (text) => process.stdout.write(text),
): Command {
  const node = (command: Command): Command =>
    command
      .requiredOption(
        "--node <host:port...>",
        "controllers to ask; the more of them, the more is known",
      )
      .option("--json", "print JSON");
  const check = (command: Command, addresses: readonly string[]): void => {
    const wrong = addresses.find((address) => !isAddress(address));
    if (wrong !== undefined) {
      command.error(`error: ${wrong}: not host:port`, { exitCode: USAGE });
    }
  };
  const nobody = (command: Command, unanswered: readonly string[]): never =>
    command.error(`error: nobody answered: ${unanswered.join(", ")}`, {
      exitCode: NOBODY,
      code: "diagnose.nobody",
    });
  const why = node(program.command("why"))
    .description("say why a job stands still, in plain words")
    .argument("<job>")
    .action(async (id: string, options: Options) => {
      check(why, options.node);
      if (!isJobId(id)) why.error(`error: ${id}: no job has such an id`, { exitCode: USAGE });
      const { views, unanswered } = await askAll(options.node, `/about/why/${id}`);
      if (views.length === 0) nobody(why, unanswered);
      const found = explain(id, views, unanswered);
      const lines = found.map(lineFor);
      for (const address of unanswered) lines.push(`not known: what ${address} would say`);
      write(
        options.json ? `${JSON.stringify({ id, found, unanswered })}\n` : `${lines.join("\n")}\n`,
      );
      const well = found.every(({ kind }) => ["running", "over", "about to start"].includes(kind));
      process.exitCode = well && unanswered.length === 0 ? 0 : STILL;
    });
  const all = node(program.command("diagnose"))
    .description("say what stands still in the whole cluster")
    .action(async (options: Options) => {
      check(all, options.node);
      const { views, unanswered } = await askAll(options.node, "/about/diagnose");
      if (views.length === 0) nobody(all, unanswered);
      const text = overview(views, unanswered).join("\n");
      write(options.json ? `${JSON.stringify({ views, unanswered })}\n` : `${text}\n`);
      const still = views.some(({ parts }) => parts.some(({ jobs }) => jobs.length > 0));
      process.exitCode = still || unanswered.length > 0 ? STILL : 0;
    });
  return program;
}
