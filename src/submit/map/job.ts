import { Ad, build, type Node, print } from "../../classad/index.js";
import { BY_REQUIREMENTS, MAX_TASKS } from "../../wire/jobs.js";
import type { Proc, Value } from "../file/read.js";
import { SubmitError } from "../file/text.js";
import { expressionOf, onlyConstant, periodicOf } from "./expressions.js";
import { type Timing, timingOf } from "./timing.js";
import { argumentsOf, bytesOf, environmentOf, flagOf, numberOf, wholeOf } from "./units.js";

/** What is the same for the whole hand-in. */
export interface Defaults {
  cluster: number;
  /** The team of jobs without an accounting_group; null when there has to be one. */
  team: string | null;
  user: string;
  /** For cron_*, where the file has no MY.CronTimeZone. */
  timeZone: string;
  /** Milliseconds since the epoch. */
  now: number;
}

/** What one proc asks for. Procs whose plans are alike become the tasks of one job. */
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
  /** Procs of the cluster that may be placed at a time. */
  most: number | null;
}

const MB = 2 ** 20;
const GB = 2 ** 30;
const DEFAULT_MEMORY_MB = 128;
/** Without an estimate, and without a limit of time: an hour. */
const DEFAULT_RUN_S = 3600;
/** A task that says how often it saves and not how long that takes. */
const DEFAULT_SAVE_S = 10;

/** Attributes that the program sets, and that a file therefore may not. */
const OWN = new Set([
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

/** Attributes with a meaning of their own here; all others are for expressions. */
export const SPECIAL: Record<string, string> = {
  CheckpointEveryS: "how often a task saves its progress by itself, seconds",
  CheckpointSaveS: "how long a task needs to save when it is stopped, seconds",
  CronTimeZone: "the time zone of cron_*, such as Europe/Athens",
  DueS: "when the job should be complete, seconds after it was handed in",
  ExpectedRunS: "about how long a task runs, seconds",
  JobClass: "the class of jobs that objectives name",
  Spot: "False: no machine that the cloud may take back",
};

/** Reads the commands of one proc. @throws SubmitError */
export function planOf(proc: Proc, defaults: Defaults): Plan {
  const ask = (name: string): Value | null => {
    const value = proc.value(name);
    return value === null || value.text === "" ? null : value;
  };
  const universe = ask("universe");
  if (universe !== null && !/^(vanilla|5)$/i.test(universe.text)) {
    throw new SubmitError(
      `universe ${universe.text} is not supported`,
      universe.place,
      "vanilla, with container_image where there is one",
    );
  }
  const team = teamOf(proc, ask("accounting_group"), defaults);
  const attributes = new Map<string, Value & { name: string }>();
  for (const attribute of proc.attributes()) {
    const key = attribute.name.toLowerCase();
    if (OWN.has(key)) {
      throw new SubmitError(`${attribute.name} is set by the program`, attribute.place);
    }
    attributes.set(key, attribute);
  }
  const special = (name: string): Value | null => attributes.get(name.toLowerCase()) ?? null;
  const number = (name: string, least: number): number | null => {
    const value = special(name);
    return value === null ? null : numberOf(value, `MY.${name}`, least);
  };
  const text = (name: string): string | null => {
    const value = special(name);
    return value === null ? null : value.text.replace(/^"(.*)"$/s, "$1");
  };
  const cpus = ask("request_cpus");
  const memory = ask("request_memory");
  const gpus = ask("request_gpus");
  const memoryMb =
    memory === null ? DEFAULT_MEMORY_MB : Math.ceil(bytesOf(memory, "request_memory", MB) / MB);
  const limit = ask("allowed_execute_duration");
  const limitS = limit === null ? null : wholeOf(limit, "allowed_execute_duration", 1);
  const everyS = number("CheckpointEveryS", 0) ?? 0;
  const command = commandOf(proc, ask);
  const image = ask("container_image") ?? ask("docker_image");
  const spot = special("Spot");
  const environment = proc.alike("environment");
  const most = ask("max_materialize");
  const name = ask("batch_name") ?? ask("jobbatchname");
  const timing = timingOf(proc, text("CronTimeZone") ?? defaults.timeZone, defaults.now);
  const requested = ask("requirements");
  const rank = ask("rank");
  const disk = ask("request_disk");
  return {
    team,
    urgency: urgencyOf(ask("priority"), ask("nice_user")),
    cores: cpus === null ? 1 : numberOf(cpus, "request_cpus", 0),
    accelerators: gpus === null ? 0 : wholeOf(gpus, "request_gpus", 0),
    memGb: (memoryMb * MB) / GB,
    bundle: image?.text ?? null,
    spot: spot === null || flagOf(spot, "MY.Spot"),
    expectS: number("ExpectedRunS", 0) ?? limitS ?? DEFAULT_RUN_S,
    stashEveryS: everyS,
    stashS: number("CheckpointSaveS", 0) ?? (everyS > 0 ? DEFAULT_SAVE_S : 0),
    dueS: number("DueS", 0),
    eidos: text("JobClass") ?? "condor",
    command,
    environment:
      environment === null || environment.text === "" ? null : environmentOf(environment),
    ad: String(adOf(proc, defaults, { attributes, timing, limitS, ask, disk, name })),
    requirements: requirementsOf(requested, disk !== null),
    rank: rank === null ? "" : print(expressionOf(rank, "rank")),
    held: ask("hold") !== null && flagOf(ask("hold")!, "hold"),
    name: name?.text ?? null,
    most: most === null ? null : Math.min(MAX_TASKS, wholeOf(most, "max_materialize", 1)),
  };
}

function teamOf(proc: Proc, group: Value | null, { team }: Defaults): string {
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

function urgencyOf(priority: Value | null, nice: Value | null): Plan["urgency"] {
  if (nice !== null && flagOf(nice, "nice_user")) return "best_effort";
  if (priority === null) return "normal";
  const value = wholeOf(priority, "priority", Number.NEGATIVE_INFINITY);
  return value < 0 ? "best_effort" : value > 0 ? "urgent" : "normal";
}

function commandOf(proc: Proc, ask: (name: string) => Value | null): string[] | null {
  const executable = proc.alike("executable");
  if (executable === null || executable.text === "") {
    if (ask("container_image") !== null || ask("docker_image") !== null) return null;
    throw new SubmitError(
      "no executable",
      proc.queue,
      "write executable = PROGRAM, or container_image",
    );
  }
  const words = proc.alike("arguments");
  return [executable.text, ...(words === null ? [] : argumentsOf(words))];
}

/** With what the file asks of a machine's disk, where machines say how large theirs is. */
function requirementsOf(value: Value | null, disk: boolean): string {
  if (value === null) return disk ? print(DISK) : "";
  const node = expressionOf(value, "requirements");
  return print(disk ? build.binary(node, "&&", DISK) : node);
}

const DISK: Node = build.binary(
  build.condition(build.attribute("Disk", "target"), null, build.attribute("RequestDisk", "my")),
  ">=",
  build.attribute("RequestDisk", "my"),
);

interface AdInput {
  attributes: ReadonlyMap<string, Value & { name: string }>;
  timing: Timing;
  limitS: number | null;
  ask: (name: string) => Value | null;
  disk: Value | null;
  name: Value | null;
}

/** What expressions, and the controllers, read of a job. What differs from proc to proc is not in it. */
function adOf(proc: Proc, defaults: Defaults, input: AdInput): Ad {
  const { attributes, timing, limitS, ask, disk, name } = input;
  const ad = new Ad().put("ClusterId", BigInt(defaults.cluster));
  ad.put("Owner", ask("accounting_group_user")?.text ?? defaults.user);
  const group = ask("accounting_group");
  if (group !== null) ad.put("AccountingGroup", group.text);
  const priority = ask("priority");
  if (priority !== null)
    ad.put("JobPrio", BigInt(wholeOf(priority, "priority", Number.NEGATIVE_INFINITY)));
  if (name !== null) ad.put("JobBatchName", name.text);
  if (disk !== null)
    ad.put("RequestDisk", BigInt(Math.ceil(bytesOf(disk, "request_disk", 1024) / 1024)));
  const image = ask("image_size");
  if (image !== null)
    ad.put("ImageSize", BigInt(Math.ceil(bytesOf(image, "image_size", 1024) / 1024)));
  const retries = ask("max_retries");
  if (retries !== null) ad.put("JobMaxRetries", BigInt(wholeOf(retries, "max_retries", 0)));
  if (limitS !== null) ad.put("AllowedExecuteDuration", BigInt(limitS));
  if (timing.after !== null) ad.put("DeferralTime", BigInt(timing.after));
  if (timing.windowS !== null) ad.put("DeferralWindow", BigInt(timing.windowS));
  for (const attribute of attributes.values()) {
    ad.set(attribute.name, expressionOf(attribute, attribute.name));
  }
  const own = new Set(attributes.keys());
  for (const [command, attribute] of PERIODIC) {
    const value = ask(command);
    if (value !== null) ad.set(attribute, periodicOf(value, command, own));
  }
  for (const [command, wanted, hint] of CONSTANT) {
    const value = ask(command);
    if (value !== null) onlyConstant(value, command, wanted, hint);
  }
  if (readsProc(ad, ask)) ad.put("ProcId", BigInt(proc.id));
  return ad;
}

const EXITS = "how a task ended is known as done or failed only; max_retries counts failures";

/** Commands of which only the value is supported that says what happens anyway. */
const CONSTANT = [
  ["on_exit_remove", true, EXITS],
  ["on_exit_hold", false, EXITS],
  ["getenv", false, "name what a task needs in environment"],
  ["leave_in_queue", false, "jobs that are over are in history"],
] as const;

const PERIODIC = [
  ["periodic_remove", "PeriodicRemove"],
  ["periodic_hold", "PeriodicHold"],
  ["periodic_release", "PeriodicRelease"],
] as const;

/** Only where something reads it: procs are tasks of one job as long as nothing tells them apart. */
function readsProc(ad: Ad, ask: (name: string) => Value | null): boolean {
  const texts = [ask("requirements")?.text, ask("rank")?.text, String(ad)];
  return texts.some((text) => text !== undefined && /\bProcId\b/i.test(text));
}

/** The body of POST /api/jobs for procs with the same plan. */
export function bodyOf(
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
    // What a worker of `birchdale local` runs; controllers do not read it.
    ...(plan.command === null ? {} : { command: plan.command, firstProc: first }),
    ...(plan.environment === null ? {} : { environment: plan.environment }),
  };
}
