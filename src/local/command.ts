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
  /** Files of the operators' own settings, for all controllers. */
  tuning: readonly string[];
  /** Whether jobs may run commands on this machine. */
  commands: boolean;
  /** Whether controllers archive jobs that are over. */
  archive: boolean;
  /** An image that the state service is filled from before controllers start. */
  from?: string;
  /** The program that controllers run: this one. */
  program: string;
  write(text: string): void;
}

/**
 * A whole platform with its controllers, each a process of its own, until the signal. Whatever ends
 * it, the processes it has started end as well.
 * @throws SettingsError when the operators' settings are wrong, before any controller starts
 */
export async function runLocal(options: LocalOptions, signal: AbortSignal): Promise<void> {
  const { controllers, machines, port, tuning, commands, program, write, archive, from } = options;
  const platform = new Platform({ controllers, machines, commands });
  const folder = mkdtempSync(join(tmpdir(), "birchdale-"));
  const children = new Map<number, ChildProcess>();
  const ended = new Promise<void>((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
  const launch = (n: number, file: string): void => {
    const more = [
      ...tuning.flatMap((name) => ["--tuning", name]),
      ...(archive ? ["--archive"] : []),
    ];
    const args = [program, ...more, "--config", file];
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "ignore", "inherit"],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "error" },
    });
    children.set(n, child);
    child.once("exit", () => {
      children.delete(n);
      // As on a real platform: it is back some seconds after an end.
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
    // After a restore they first find out what may still be running.
    if (!(await platform.ready(from === undefined ? 30_000 : 120_000)))
      throw new Error("no controller is ready in time");
    const teams = platform.settings[0]!.params.teams.map(({ name }) => name).join(", ");
    write(`settings of the first controller: ${files[0]!}\n`);
    write(`ready: submit to ${platform.front.address}, teams ${teams}; end with ctrl-c\n`);
    await ended;
  } finally {
    const gone = [...children.values()].map(
      (child) => new Promise((resolve) => child.once("exit", resolve)),
    );
    for (const child of children.values()) child.kill("SIGKILL");
    platform.stop();
    await Promise.all(gone);
    rmSync(folder, { recursive: true, force: true });
  }
}
