import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { loadOperators, loadSettings } from "../index.js";
import { Platform } from "./platform.js";

export interface LocalOptions {
  controllers: number;
  machines: number;
  port: number;
  /** Files with the operators' settings, for all controllers. */
  tuning: readonly string[];
  /** Whether jobs may run commands on this machine. */
  commands: boolean;
  /** Whether controllers archive finished jobs. */
  archive: boolean;
  /** Image to restore the state service from before controllers start. */
  from?: string;
  /** Path of this program, which controllers run too. */
  program: string;
  write(text: string): void;
}

/**
 * Runs a platform and its controllers, each in a process of its own, until the signal is aborted.
 * The controller processes are killed however this function ends.
 * @throws SettingsError when the operators' settings are wrong, before any controller starts
 */
export async function runLocal(options: LocalOptions, signal: AbortSignal): Promise<void> {
  const { controllers, machines, port, tuning, commands, program, write, archive, from } = options;
  const platform = new Platform({ controllers, machines, commands });
  const folder = mkdtempSync(join(tmpdir(), "birchdale-"));
  const children = new Map<number, ChildProcess>();
  const interrupted = new Promise<void>((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
  const launch = (n: number, file: string): void => {
    const flags = [
      ...tuning.flatMap((name) => ["--tuning", name]),
      ...(archive ? ["--archive"] : []),
    ];
    const args = [program, ...flags, "--config", file];
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "ignore", "inherit"],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "error" },
    });
    children.set(n, child);
    child.once("exit", () => {
      children.delete(n);
      // As on a real platform, a controller that exits is restarted some seconds later.
      if (!signal.aborted) setTimeout(() => !signal.aborted && launch(n, file), 2000).unref();
    });
  };
  try {
    await platform.start(port);
    const files = platform.files.map((text, n) => {
      const file = join(folder, `node-${n}.toml`);
      writeFileSync(file, text);
      return file;
    });
    await loadOperators(tuning, loadSettings(files[0]!));
    if (from !== undefined) {
      const { restoreFile } = await import("../image/index.js");
      const { rows } = await restoreFile(from, loadSettings(files[0]!));
      write(`${rows} keys restored from ${from}\n`);
    }
    for (const [n, file] of files.entries()) launch(n, file);
    // After a restore, controllers first find out which tasks may still be running.
    if (!(await platform.ready(from === undefined ? 30_000 : 120_000)))
      throw new Error("no controller became healthy in time");
    const teams = platform.settings[0]!.params.teams.map(({ name }) => name).join(", ");
    write(`settings of the first controller: ${files[0]!}\n`);
    write(`ready: submit to ${platform.front.address}, teams ${teams}; end with ctrl-c\n`);
    await interrupted;
  } finally {
    const exits = [...children.values()].map(
      (child) => new Promise((resolve) => child.once("exit", resolve)),
    );
    for (const child of children.values()) child.kill("SIGKILL");
    platform.stop();
    await Promise.all(exits);
    rmSync(folder, { recursive: true, force: true });
  }
}
