import { Ad, build, type Node, print } from "../../classad/index.js";
import { BY_REQUIREMENTS, MAX_TASKS } from "../../wire/jobs.js";
import type { Proc, Value } from "../file/read.js";
import { SubmitError } from "../file/text.js";
import { parseCheckedExpression, parsePeriodicExpression, requireConstant } from "./expressions.js";
import { parseTiming, type Timing } from "./timing.js";
import {
  parseArguments,
  parseBoolean,
  parseBytes,
  parseEnvironment,
  parseInteger,
  parseNumber,
} from "./units.js";

/** Values that are the same for the whole submission. */
export interface PlanDefaults {
  cluster: number;
  /** The team of jobs without accounting_group; null: accounting_group is required. */
  team: string | null;
  user: string;
  /** Time zone of cron_* if the file has no MY.CronTimeZone. */
  timeZone: string;
  /** Milliseconds since the epoch. */
  now: number;
}

/** What one proc asks for. Consecutive procs with equal plans become the tasks of one job. */
export interface Plan {
  team: string;
  urgency: "best_effort" | "normal" | "urgent";
  cores: number;
  accelerators: number;
  memGb: number;
  bundle: string | null;
  spot: boolean;
  expectS: number;
  stashEveryS: number;
  stashS: number;
  dueS: number | null;
  eidos: string;
  command: string[] | null;
  environment: Record<string, string> | null;
  /** The ad's text. */
  ad: string;
  requirements: string;
  rank: string;
  held: boolean;
  name: string | null;
  /** Procs of the cluster that may be placed at the same time; null: any number. */
  most: number | null;
}

const MB = 2 ** 20;
const GB = 2 ** 30;
const DEFAULT_MEMORY_MB = 128;
/** Expected run time of a proc without an estimate and a time limit: an hour. */
const DEFAULT_RUN_S = 3600;
/** Time to save for a task that checkpoints without saying how long saving takes. */
const DEFAULT_SAVE_S = 10;

/** Attributes (lower case) that the program sets; a file must not set them. */
const RESERVED_ATTRIBUTES = new Set([
  "team",
  "clusterid",
  "procid",
  "requestcpus",
  "requestmemory",
  "requestgpus",
  "jobstatus",
  "qdate",
  "accountinggroup",
  "mytype",
  "targettype",
  "requirements",
  "rank",
]);

/** Attributes that the program interprets; all others are only read by expressions. */
export const SPECIAL_ATTRIBUTES: Record<string, string> = {
  CheckpointEveryS: "how often a task saves its progress by itself, seconds",
  CheckpointSaveS: "how long a task needs to save when it is stopped, seconds",
  CronTimeZone: "the time zone of cron_*, such as Europe/Athens",
  DueS: "when the job should be complete, seconds after it was handed in",
  ExpectedRunS: "about how long a task runs, seconds",
  JobClass: "the class of jobs that objectives name",
  Spot: "False: no machine that the cloud may take back",
};

/** Derives the plan of one proc from its commands. @throws SubmitError */
export function planProc(proc: Proc, defaults: PlanDefaults): Plan {
  const commandValue = (name: string): Value | null => {
    const value = proc.value(name);
    return value === null || value.text === "" ? null : value;
  };
  const universe = commandValue("universe");
  if (universe !== null && !/^(vanilla|5)$/i.test(universe.text)) {
    throw new SubmitError(
      `universe ${universe.text} is not supported`,
      universe.place,
      "vanilla, with container_image where there is one",
    );
  }
  const team = teamFor(proc, commandValue("accounting_group"), defaults);
  const attributes = new Map<string, Value & { name: string }>();
  for (const attribute of proc.attributes()) {
    const key = attribute.name.toLowerCase();
    if (RESERVED_ATTRIBUTES.has(key)) {
      throw new SubmitError(`${attribute.name} is set by birchdale`, attribute.place);
    }
    attributes.set(key, attribute);
  }
  const special = (name: string): Value | null => attributes.get(name.toLowerCase()) ?? null;
  const number = (name: string, least: number): number | null => {
    const value = special(name);
    return value === null ? null : parseNumber(value, `MY.${name}`, least);
  };
  const text = (name: string): string | null => {
    const value = special(name);
    return value === null ? null : value.text.replace(/^"(.*)"$/s, "$1");
  };
  const cpus = commandValue("request_cpus");
  const memory = commandValue("request_memory");
  const gpus = commandValue("request_gpus");
  const memoryMb =
    memory === null ? DEFAULT_MEMORY_MB : Math.ceil(parseBytes(memory, "request_memory", MB) / MB);
  const limit = commandValue("allowed_execute_duration");
  const limitS = limit === null ? null : parseInteger(limit, "allowed_execute_duration", 1);
  const everyS = number("CheckpointEveryS", 0) ?? 0;
  const command = commandLine(proc, commandValue);
  const image = commandValue("container_image") ?? commandValue("docker_image");
  const spot = special("Spot");
  const environment = proc.valueKeepingProcId("environment");
  const most = commandValue("max_materialize");
  const name = commandValue("batch_name") ?? commandValue("jobbatchname");
  const timing = parseTiming(proc, text("CronTimeZone") ?? defaults.timeZone, defaults.now);
  const requested = commandValue("requirements");
  const rank = commandValue("rank");
  const disk = commandValue("request_disk");
  return {
    team,
    urgency: urgencyFor(commandValue("priority"), commandValue("nice_user")),
    cores: cpus === null ? 1 : parseNumber(cpus, "request_cpus", 0),
    accelerators: gpus === null ? 0 : parseInteger(gpus, "request_gpus", 0),
    memGb: (memoryMb * MB) / GB,
    bundle: image?.text ?? null,
    spot: spot === null || parseBoolean(spot, "MY.Spot"),
    expectS: number("ExpectedRunS", 0) ?? limitS ?? DEFAULT_RUN_S,
    stashEveryS: everyS,
    stashS: number("CheckpointSaveS", 0) ?? (everyS > 0 ? DEFAULT_SAVE_S : 0),
    dueS: number("DueS", 0),
    eidos: text("JobClass") ?? "condor",
    command,
    environment:
      environment === null || environment.text === "" ? null : parseEnvironment(environment),
    ad: String(buildAd(proc, defaults, { attributes, timing, limitS, commandValue, disk, name })),
    requirements: requirementsText(requested, disk !== null),
    rank: rank === null ? "" : print(parseCheckedExpression(rank, "rank")),
    held: commandValue("hold") !== null && parseBoolean(commandValue("hold")!, "hold"),
    name: name?.text ?? null,
    most: most === null ? null : Math.min(MAX_TASKS, parseInteger(most, "max_materialize", 1)),
  };
}

function teamFor(proc: Proc, group: Value | null, { team }: PlanDefaults): string {
  const named = group?.text.split(".")[0] ?? team;
  if (named === null || named === "") {
    throw new SubmitError(
      "no team",
      group?.place ?? proc.queue,
      "write accounting_group = TEAM, or submit --team TEAM",
    );
  }
  return named;
}

function urgencyFor(priority: Value | null, nice: Value | null): Plan["urgency"] {
  if (nice !== null && parseBoolean(nice, "nice_user")) return "best_effort";
  if (priority === null) return "normal";
  const value = parseInteger(priority, "priority", Number.NEGATIVE_INFINITY);
  return value < 0 ? "best_effort" : value > 0 ? "urgent" : "normal";
}

function commandLine(proc: Proc, commandValue: (name: string) => Value | null): string[] | null {
  const executable = proc.valueKeepingProcId("executable");
  if (executable === null || executable.text === "") {
    if (commandValue("container_image") !== null || commandValue("docker_image") !== null)
      return null;
    throw new SubmitError(
      "no executable",
      proc.queue,
      "write executable = PROGRAM, or container_image",
    );
  }
  const words = proc.valueKeepingProcId("arguments");
  return [executable.text, ...(words === null ? [] : parseArguments(words))];
}

/** The requirements, with the disk request added for machines whose ad has a disk size. */
function requirementsText(value: Value | null, disk: boolean): string {
  if (value === null) return disk ? print(DISK_REQUIREMENT) : "";
  const node = parseCheckedExpression(value, "requirements");
  return print(disk ? build.binary(node, "&&", DISK_REQUIREMENT) : node);
}

const DISK_REQUIREMENT: Node = build.binary(
  build.condition(build.attribute("Disk", "target"), null, build.attribute("RequestDisk", "my")),
  ">=",
  build.attribute("RequestDisk", "my"),
);

interface AdInput {
  attributes: ReadonlyMap<string, Value & { name: string }>;
  timing: Timing;
  limitS: number | null;
  commandValue: (name: string) => Value | null;
  disk: Value | null;
  name: Value | null;
}

/**
 * The ad that expressions and controllers read. It has nothing that differs between procs, unless
 * an expression reads ProcId.
 */
function buildAd(proc: Proc, defaults: PlanDefaults, input: AdInput): Ad {
  const { attributes, timing, limitS, commandValue, disk, name } = input;
  const ad = new Ad().put("ClusterId", BigInt(defaults.cluster));
  ad.put("Owner", commandValue("accounting_group_user")?.text ?? defaults.user);
  const group = commandValue("accounting_group");
  if (group !== null) ad.put("AccountingGroup", group.text);
  const priority = commandValue("priority");
  if (priority !== null)
    ad.put("JobPrio", BigInt(parseInteger(priority, "priority", Number.NEGATIVE_INFINITY)));
  if (name !== null) ad.put("JobBatchName", name.text);
  if (disk !== null)
    ad.put("RequestDisk", BigInt(Math.ceil(parseBytes(disk, "request_disk", 1024) / 1024)));
  const image = commandValue("image_size");
  if (image !== null)
    ad.put("ImageSize", BigInt(Math.ceil(parseBytes(image, "image_size", 1024) / 1024)));
  const retries = commandValue("max_retries");
  if (retries !== null) ad.put("JobMaxRetries", BigInt(parseInteger(retries, "max_retries", 0)));
  if (limitS !== null) ad.put("AllowedExecuteDuration", BigInt(limitS));
  if (timing.deferredUntilS !== null) ad.put("DeferralTime", BigInt(timing.deferredUntilS));
  if (timing.windowS !== null) ad.put("DeferralWindow", BigInt(timing.windowS));
  for (const attribute of attributes.values()) {
    ad.set(attribute.name, parseCheckedExpression(attribute, attribute.name));
  }
  const own = new Set(attributes.keys());
  for (const [command, attribute] of PERIODIC_COMMANDS) {
    const value = commandValue(command);
    if (value !== null) ad.set(attribute, parsePeriodicExpression(value, command, own));
  }
  for (const [command, wanted, hint] of CONSTANT_COMMANDS) {
    const value = commandValue(command);
    if (value !== null) requireConstant(value, command, wanted, hint);
  }
  if (readsProc(ad, commandValue)) ad.put("ProcId", BigInt(proc.id));
  return ad;
}

const EXIT_HINT = "how a task ended is known as done or failed only; max_retries counts failures";

/** Commands of which only the value that describes the actual behaviour is supported. */
const CONSTANT_COMMANDS = [
  ["on_exit_remove", true, EXIT_HINT],
  ["on_exit_hold", false, EXIT_HINT],
  ["getenv", false, "name what a task needs in environment"],
  ["leave_in_queue", false, "jobs that are over are in history"],
] as const;

const PERIODIC_COMMANDS = [
  ["periodic_remove", "PeriodicRemove"],
  ["periodic_hold", "PeriodicHold"],
  ["periodic_release", "PeriodicRelease"],
] as const;

/**
 * Whether an expression reads ProcId. Only then is it in the ad, since procs with different ads
 * cannot be tasks of one job.
 */
function readsProc(ad: Ad, commandValue: (name: string) => Value | null): boolean {
  const texts = [commandValue("requirements")?.text, commandValue("rank")?.text, String(ad)];
  return texts.some((text) => text !== undefined && /\bProcId\b/i.test(text));
}

/** The body of POST /api/jobs for procs with the same plan. */
export function submissionBody(
  id: string,
  plan: Plan,
  first: number,
  tasks: number,
): Record<string, unknown> {
  return {
    uid: id,
    eidos: plan.eidos,
    owner: plan.team,
    shape: "batch",
    urgency: plan.urgency,
    pieces: tasks,
    cores: plan.cores,
    accelerators: plan.accelerators,
    memGb: plan.memGb,
    bundle: plan.bundle,
    sizeGb: 0,
    builds: [BY_REQUIREMENTS],
    berth: null,
    together: false,
    scatter: false,
    borrowed: plan.spot,
    expectS: plan.expectS,
    stashEveryS: plan.stashEveryS,
    stashS: plan.stashS,
    dueS: plan.dueS,
    ad: plan.ad,
    ...(plan.requirements === "" ? {} : { requirements: plan.requirements }),
    ...(plan.rank === "" ? {} : { rank: plan.rank }),
    ...(plan.most === null ? {} : { atOnce: plan.most }),
    // Run by workers of `birchdale local`; controllers do not read it.
    ...(plan.command === null ? {} : { command: plan.command, firstProc: first }),
    ...(plan.environment === null ? {} : { environment: plan.environment }),
  };
}
