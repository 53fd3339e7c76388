import { Command, CommanderError } from "commander";
import { systemClock } from "../clock.js";
import { HttpClient } from "../http/client.js";
import { limitsByTeam } from "../quota/limits.js";
import { clusterOf, loadSettings, type Settings } from "../settings/settings.js";
import { StoreClient, storeLimits } from "../state/store.js";
import { checkImage, type Finding } from "./check.js";
import { collect } from "./collect.js";
import { readImage, writeImage } from "./image-file.js";
import { overview } from "./overview.js";
import { exportFinished } from "./parquet-export.js";
import { repairImage } from "./repair.js";
import { RestoreRefused, restoreImage } from "./restore.js";

/** Runs a function with a state service client that may use a share of the allowed request rate. */
async function withStore<T>(
  settings: Settings,
  rateShare: number,
  run: (store: StoreClient) => Promise<T>,
): Promise<T> {
  const { services, params } = settings;
  const http = new HttpClient(services.state, 4, systemClock);
  const limits = storeLimits(params.state);
  const store = new StoreClient(
    http,
    { ...limits, rps: limits.rps * rateShare, writeRps: limits.writeRps * rateShare },
    systemClock,
    10_000,
  );
  try {
    return await run(store);
  } finally {
    http.close();
  }
}

/**
 * Fills the state service named in the settings from an image file.
 * @throws ImageError, RestoreRefused
 */
export async function restoreFile(
  file: string,
  settings: Settings,
  progress?: (done: number, all: number) => void,
): Promise<{ rows: number; tokens: number }> {
  const image = await readImage(file);
  return withStore(settings, 0.9, (store) =>
    restoreImage(image, {
      store,
      clock: systemClock,
      writeRps: storeLimits(settings.params.state).writeRps,
      members: clusterOf(settings).map(({ name }) => name),
      progress,
    }),
  );
}

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

function printFindings(file: string, findings: readonly Finding[]): void {
  for (const { key, problem } of findings) process.stderr.write(`${file}: ${key}: ${problem}\n`);
}

/** `birchdale state ...`: images of all data in the state service. */
export function imageCommands(parent: Command): Command {
  const state = new Command("state")
    .copyInheritedSettings(parent)
    .description("save, show, check, mend, export and restore images of the state service's data");
  // The program's global option, which may be anywhere on the command line.
  const configFile = (): string | undefined => parent.opts<{ config?: string }>().config;
  const requiredSettings = (): Settings => {
    const file = configFile();
    if (file === undefined) {
      return parent.error("error: give --config <file>, the platform's settings", { exitCode: 2 });
    }
    return loadSettings(file);
  };
  state.addHelpText(
    "after",
    "\nsave and restore require --config <file>; check and mend use it to check the teams' limits",
  );
  state
    .command("save")
    .description("write a consistent image of the running state service")
    .argument("<file>", "the image: a gzipped tar file")
    .action(async (file: string) => {
      // A quarter of the allowed request rate, so that the controllers keep the rest.
      const image = await withStore(requiredSettings(), 0.25, (store) =>
        collect(store, systemClock),
      );
      await writeImage(file, image);
      printLine(`${file}: ${image.rows.size} keys at revision ${image.revision}`);
    });
  state
    .command("show")
    .description("print counts of what an image contains")
    .argument("<file>")
    .option("--json", "print JSON")
    .action(async (file: string, { json }: { json?: boolean }) => {
      printLine(JSON.stringify(overview(await readImage(file)), null, json ? 0 : 2));
    });
  state
    .command("check")
    .description("check the invariants between the records of an image")
    .argument("<file>")
    .action(async (file: string) => {
      const image = await readImage(file);
      const limits =
        configFile() === undefined ? undefined : limitsByTeam(requiredSettings().params.teams);
      const findings = checkImage(image, { limits });
      printFindings(file, findings);
      if (findings.length > 0) throw new CommanderError(1, "state.check", "findings");
      printLine(`${file}: ${image.rows.size} keys, no findings`);
    });
  state
    .command("mend")
    .description("remove or recompute invalid records of an image, so that it can be restored")
    .argument("<file>", "an image with findings")
    .argument("<mended>", "the image to write")
    .action(async (file: string, mended: string) => {
      const limits =
        configFile() === undefined ? undefined : limitsByTeam(requiredSettings().params.teams);
      const { image, repairs, remaining } = repairImage(await readImage(file), { limits });
      printFindings(file, repairs);
      await writeImage(mended, image);
      printLine(`${mended}: ${repairs.length} repaired, ${remaining.length} findings left`);
      printFindings(mended, remaining);
      if (remaining.length > 0) throw new CommanderError(1, "state.mend", "findings");
    });
  state
    .command("export")
    .description("write the finished jobs as a Parquet file")
    .argument("<file>", "an image")
    .argument("<parquet>", "the file to write")
    .action(async (file: string, parquet: string) => {
      const count = await exportFinished(await readImage(file), parquet);
      printLine(`${parquet}: ${count} jobs`);
    });
  state
    .command("restore")
    .description("fill an empty state service from an image (stop all controllers first)")
    .argument("<file>", "an image")
    .action(async (file: string) => {
      let lastShown = 0;
      try {
        const { rows, tokens } = await restoreFile(file, requiredSettings(), (done, all) => {
          if (done < all && done - lastShown < 1000) return;
          lastShown = done;
          process.stderr.write(`${done} of ${all} keys\n`);
        });
        printLine(
          `${rows} keys restored; fencing tokens are raised by ${tokens}. Start the controllers now.`,
        );
      } catch (error) {
        if (!(error instanceof RestoreRefused)) throw error;
        printFindings(file, error.findings);
        process.stderr.write(`birchdale: not restored: ${error.message}\n`);
        throw new CommanderError(1, "state.restore", error.message);
      }
    });
  return state;
}
