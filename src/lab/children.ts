/** The processes of a run: controllers with the deployment's flags, and the lab's own. */
import { type ChildProcess, spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { parse } from "smol-toml";
import type { Assignment, Figures, FromProcess, ToProcess } from "./messages.js";
import { ProcessUse } from "./resources.js";
import { ScenarioError } from "./scenario.js";

const START_MS = 20_000;
const SAMPLE_MS = 5000;
const SERVICE_FILE = join("deploy", "service.toml");

/** What stands in `deploy/service.toml` before and after the program's name. */
export interface ControllerCommand {
  nodeFlags: string[];
  programFlags: string[];
}

/** @param command such as `node --flag target/bin/main.js --archive --config` */
export function splitCommand(command: string): ControllerCommand {
  const words = command.split(/\s+/).filter((word) => word !== "");
  const program = words.findIndex((word) => word.endsWith(".js"));
  if (program < 0) throw new ScenarioError(`${SERVICE_FILE}: run: names no program`);
  return {
    nodeFlags: words.slice(1, program),
    programFlags: words.slice(program + 1).filter((word) => word !== "--config"),
  };
}

/** The flags by which a deployment runs controllers; the file stands above the program. */
export function controllerCommand(program: string): ControllerCommand {
  for (let folder = dirname(program); ; folder = dirname(folder)) {
    const file = join(folder, SERVICE_FILE);
    if (existsSync(file)) return splitCommand(String(parse(readFileSync(file, "utf8")).run ?? ""));
    if (dirname(folder) === folder)
      throw new ScenarioError(`${SERVICE_FILE}: there is no such file above ${program}`);
  }
}

/** One process of the lab's own. */
export class LabProcess {
  readonly use = new ProcessUse();
  readonly #child: ChildProcess;
  #sampled: ((figures: Figures) => void) | null = null;
  #ready: ((address: string) => void) | null = null;
  figures: Figures | null = null;

  constructor(
    program: string,
    readonly assignment: Assignment,
    readonly hear: (message: FromProcess) => void,
  ) {
    this.#child = spawn(process.execPath, [program, "lab", "process"], {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    this.use.follow(this.#child.pid);
    this.#child.on("error", () => undefined);
    this.#child.on("message", (message: FromProcess) => {
      if (message.kind === "sampled") {
        this.figures = message.figures;
        this.#sampled?.(message.figures);
      } else if (message.kind === "ready") this.#ready?.(message.address);
      else this.hear(message);
    });
  }

  /** @returns its address */
  begin(): Promise<string> {
    const { role, region } = this.assignment;
    return new Promise((resolve, reject) => {
      const late = setTimeout(
        () => reject(new Error(`${role} of ${region.name} did not start in time`)),
        START_MS,
      );
      this.#ready = (address) => {
        clearTimeout(late);
        resolve(address);
      };
      this.send({ kind: "begin", assignment: this.assignment });
    });
  }

  send(message: ToProcess): void {
    if (this.#child.connected) this.#child.send(message);
  }

  /** Its figures now; those before, if it does not answer. */
  sample(): Promise<Figures | null> {
    return new Promise((resolve) => {
      const late = setTimeout(() => resolve(this.figures), SAMPLE_MS);
      this.#sampled = (figures) => {
        clearTimeout(late);
        resolve(figures);
      };
      this.send({ kind: "sample" });
    });
  }

  end(): Promise<void> {
    return endChild(this.#child);
  }
}

/** One controller, which may be killed and started again. */
export class ControllerProcess {
  readonly use = new ProcessUse();
  #child: ChildProcess | null = null;
  #again: NodeJS.Timeout | null = null;
  /** Why it ended by itself, each time that it did. */
  readonly ends: string[] = [];

  constructor(
    readonly name: string,
    readonly listen: string,
    readonly program: string,
    readonly command: ControllerCommand,
    /** Files: its settings, and the operators' own. */
    readonly settings: string,
    readonly tuning: string | null,
    /** After it has ended by itself, milliseconds. */
    readonly backAfterMs: number,
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
      this.ends.push(`${this.name} ended with ${signal ?? code}`);
      this.use.sample();
      // As on a real platform, it is back some seconds later.
      this.#again = setTimeout(() => this.start(), this.backAfterMs);
    });
    this.use.follow(child.pid);
  }

  /** Ends without a signal that it could act on. */
  kill(): Promise<void> {
    this.use.sample();
    if (this.#again !== null) clearTimeout(this.#again);
    const child = this.#child;
    this.#child = null;
    return child === null ? Promise.resolve() : endChild(child);
  }
}

function endChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null || child.pid === undefined)
    return Promise.resolve();
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGKILL");
  });
}
