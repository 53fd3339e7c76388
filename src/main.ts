#!/usr/bin/env node
import { Command } from "commander";
import { ControllerNode, loadSettings, openLog, SettingsError } from "./index.js";

const program = new Command("birchdale")
  .description("A cluster scheduler with fair sharing between teams.")
  .version("0.1.0")
  .option("--config <file>", "run a controller with this settings file")
  .action(async (options: { config?: string }) => {
    if (options.config === undefined) program.help({ error: true });
    const settings = loadSettings(options.config!);
    const log = openLog(settings.node_name);
    process.on("uncaughtException", (error) => log.error({ err: error }, "unexpected"));
    process.on("unhandledRejection", (error) => log.error({ err: error }, "unexpected"));
    await new ControllerNode({ settings, log }).start();
  });

try {
  await program.parseAsync();
} catch (error) {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(`${error.message}\n`);
  process.exitCode = 1;
}
