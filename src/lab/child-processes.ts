/**
 * Child processes of a run: controllers, with the deployment's flags, and the lab's own processes.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { parse } from "smol-toml";
import type { Assignment, Figures, FromProcess, ToProcess } from "./messages.js";
import { ProcessUsage } from "./process-usage.js";
import { ScenarioError } from "./scenario.js";

const START_TIMEOUT_MS = 20_000;
const SAMPLE_TIMEOUT_MS = 5000;
const SERVICE_FILE = join("deploy", "service.toml");

/** Flags in `deploy/service.toml` before (Node's) and after (the program's) the program's name. */
export interface ControllerCommand {
  nodeFlags: string[];
  programFlags: string[];
}

/** @param command such as `node --flag target/bin/main.js --archive --config` */
export function splitCommand(command: string): ControllerCommand {
  const words = command.split(/\s+/).filter((word) => word !== "");
  const program = words.findIndex((word) => word.endsWith(".js"));
  if (program < 0)
    throw new ScenarioError(
      `${SERVICE_FILE}: run: expected a command with a program that ends in .js`,
    );
  return {
    nodeFlags: words.slice(1, program),
    programFlags: words.slice(program + 1).filter((word) => word !== "--config"),
  };
}

/**
 * Reads the deployment's flags for controllers from the nearest `deploy/service.toml` above the
 * program.
 */
export function controllerCommand(program: string): ControllerCommand {
  for (let folder = dirname(program); ; folder = dirname(folder)) {
    const file = join(folder, SERVICE_FILE);
    if (existsSync(file)) return splitCommand(String(parse(readFileSync(file, "utf8")).run ?? ""));
    if (dirname(folder) === folder)
      throw new ScenarioError(`${SERVICE_FILE}: not found in any folder above ${program}`);
  }
}

/** A child process with one role in the run: state service, cloud, workers or users. */
export class LabProcess {
  readonly usage = new ProcessUsage();
  readonly #child: ChildProcess;
  #onSample: ((figures: Figures) => void) | null = null;
  #onReady: ((address: string) => void) | null = null;
  lastFigures: Figures | null = null;

  constructor(
    program: string,
    readonly assignment: Assignment,
    readonly onMessage: (message: FromProcess) => void,
  ) {
    this.#child = spawn(process.execPath, [program, "lab", "process"], {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    this.usage.track(this.#child.pid);
    this.#child.on("error", () => undefined);
    this.#child.on("message", (message: FromProcess) => {
      if (message.kind === "sampled") {
        this.lastFigures = message.figures;
        this.#onSample?.(message.figures);
      } else if (message.kind === "ready") this.#onReady?.(message.address);
      else this.onMessage(message);
    });
  }

  /** @returns the address that the process serves on, "" if it does not serve */
  start(): Promise<string> {
    const { role, region } = this.assignment;
    return new Promise((resolve, reject) => {
      const timeout = setTimeout(
        () => reject(new Error(`process "${role}" of region ${region.name} did not start in time`)),
        START_TIMEOUT_MS,
      );
      this.#onReady = (address) => {
        clearTimeout(timeout);
        resolve(address);
      };
      this.send({ kind: "begin", assignment: this.assignment });
    });
  }

  send(message: ToProcess): void {
    if (this.#child.connected) this.#child.send(message);
  }

  /** Requests current figures; resolves with the last known ones if there is no answer in time. */
  sample(): Promise<Figures | null> {
    return new Promise((resolve) => {
      const sampleTimeout = setTimeout(() => resolve(this.lastFigures), SAMPLE_TIMEOUT_MS);
      this.#onSample = (figures) => {
        clearTimeout(sampleTimeout);
        resolve(figures);
      };
      this.send({ kind: "sample" });
    });
  }

  kill(): Promise<void> {
    return killChild(this.#child);
  }
}

/** A controller process, which may be killed and started again. */
export class ControllerProcess {
  readonly usage = new ProcessUsage();
  #child: ChildProcess | null = null;
  #restartTimer: NodeJS.Timeout | null = null;
  /**
   * One entry for each time it exited without being killed by the run: its name and exit code or
   * signal.
   */
  readonly unexpectedExits: string[] = [];

  constructor(
    readonly name: string,
    readonly listen: string,
    readonly program: string,
    readonly command: ControllerCommand,
    /** Files: the controller's settings, and the operators' settings if any. */
    readonly settings: string,
    readonly tuning: string | null,
    /** Delay before it is restarted after an unexpected exit, milliseconds. */
    readonly restartDelayMs: number,
  ) {}

  start(): void {
    const { nodeFlags, programFlags } = this.command;
    const tuning = this.tuning === null ? [] : ["--tuning", this.tuning];
    const args = [
      ...nodeFlags,
      this.program,
      ...tuning,
      ...programFlags,
      "--config",
      this.settings,
    ];
    this.#child = spawn(process.execPath, args, {
      stdio: ["ignore", "ignore", "inherit"],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "error" },
    });
    const child = this.#child;
    child.on("error", () => undefined);
    child.once("exit", (code, signal) => {
      if (this.#child !== child) return;
      this.unexpectedExits.push(`${this.name} ended with ${signal ?? code}`);
      this.usage.sample();
      // As on a real platform, a controller that exits is restarted some seconds later.
      this.#restartTimer = setTimeout(() => this.start(), this.restartDelayMs);
    });
    this.usage.track(child.pid);
  }

  /** Kills the process with SIGKILL, which it cannot handle, and does not restart it. */
  kill(): Promise<void> {
    this.usage.sample();
    if (this.#restartTimer !== null) clearTimeout(this.#restartTimer);
    const child = this.#child;
    this.#child = null;
    return child === null ? Promise.resolve() : killChild(child);
  }
}

function killChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null || child.pid === undefined)
    return Promise.resolve();
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGKILL");
  });
}
