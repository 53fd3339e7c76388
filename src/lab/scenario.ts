/** Reads scenario files of lab runs (TOML); errors name file, field and reason. */
import { readFileSync } from "node:fs";
import { parse, TomlError } from "smol-toml";
import { z } from "zod";
import { describeError } from "../errors.js";
import { PRIORITIES } from "../wire/jobs.js";

/** Error in a scenario file or in `--set`: one line with file, field and reason. */
export class ScenarioError extends Error {}

const positive = z.number().finite().positive();
const amount = z.number().finite().nonnegative();
const count = z.number().int().positive();
const share = z.number().min(0).max(1);
const name = z.string().min(1).max(60);

/** A lognormal distribution; larger values are replaced by `max`. */
const distribution = z.strictObject({ median: positive, p95: positive, max: positive });

const jobClass = z.strictObject({
  name,
  priority: z.enum(PRIORITIES),
  /** Share of all jobs; the shares of all classes add up to 1. */
  share,
  tasks: distribution,
  run_s: distribution,
  cpus: positive,
  memory_gb: amount,
  /** Time between checkpoints; 0 if its tasks do not save checkpoints. */
  checkpoint_s: amount.default(0),
  /** Share of its jobs that their users cancel before they are finished. */
  cancelled: share.default(0),
  zone: name.optional(),
});

const schema = z.strictObject({
  name,
  seed: z.number().int().nonnegative(),
  warmup_s: amount,
  /** Length of the measured window, which starts after the warm-up. */
  length_s: positive,
  workers: z.strictObject({
    report_s: positive,
    lease_s: positive,
    cancel_s: positive,
    /** Number of processes that the hollow workers of all regions share. */
    processes: count,
  }),
  controllers: z.strictObject({
    /** Operators' settings for all controllers, as protobuf text. */
    tuning: z.string().default(""),
    cores: positive.default(1),
    ram_mb: positive.default(178),
    max_sockets: count.default(1500),
  }),
  state: z.strictObject({
    rps: positive,
    write_rps: positive,
    value_kb: positive,
    txn_ops: z.number().int().min(2),
    latency_ms: amount,
  }),
  cloud: z.strictObject({ rps: positive, list_lag_s: amount, latency_ms: amount }),
  machine: z.strictObject({
    type: name,
    cpus: positive,
    memory_gb: positive,
    price: positive,
    boot_s: positive,
  }),
  teams: z.strictObject({
    count,
    /** CPUs for each team over all regions. */
    guarantee_cpus: amount,
    limit_cpus: positive,
  }),
  regions: z
    .array(
      z.strictObject({
        name,
        controllers: count,
        /** Machines that are up at the start. */
        machines: count,
        /** Further machines that may be rented. */
        spare_machines: z.number().int().nonnegative().default(0),
      }),
    )
    .min(1),
  zones: z.array(z.strictObject({ name, region: name })).min(1),
  jobs: z.array(jobClass).min(1),
  arrivals: z.strictObject({
    jobs_per_s: positive,
    /** Jobs submitted at the start. */
    initial_jobs: z.number().int().nonnegative(),
    peak: z.strictObject({ at_s: amount, length_s: positive, factor: positive }).optional(),
  }),
  faults: z
    .strictObject({
      /** Seconds from the start of the run, as for all fields that end in `at_s`. */
      controller_killed_at_s: amount.optional(),
      controller_back_after_s: positive.default(5),
      /**
       * A controller is drained: it hands over all it owns, and only answers users from then on.
       */
      controller_drained_at_s: amount.optional(),
      machines_lost: z.strictObject({ at_s: amount, count }).optional(),
      state_out: z.strictObject({ at_s: amount, length_s: positive }).optional(),
      machine_failures_per_day: amount.default(0),
      machine_restarts_per_day: amount.default(0),
      /** Factor by which machine failures and restarts are more frequent than given per day. */
      speed: positive.default(1),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      changes_per_day: amount,
      /** Factor by which changes are more frequent than given per day. */
      speed: positive.default(1),
    })
    .optional(),
});

export type Scenario = z.infer<typeof schema>;
export type JobClass = z.infer<typeof jobClass>;
export type Distribution = z.infer<typeof distribution>;
export type Region = Scenario["regions"][number];

export const teamNames = ({ teams }: Scenario): string[] => {
  const width = String(teams.count).length;
  return Array.from(
    { length: teams.count },
    (_, n) => `team-${String(n + 1).padStart(width, "0")}`,
  );
};

/** Most processes that one run may start. */
const MAX_PROCESSES = 40;
/** Processes of a region besides its controllers: state service, cloud, users. */
export const SERVICES_PER_REGION = 3;

/** Number of processes in a run, including the run itself. */
export const processesOf = ({ regions, workers }: Scenario): number =>
  1 +
  workers.processes +
  regions.reduce((sum, { controllers }) => sum + controllers + SERVICES_PER_REGION, 0);

/**
 * @returns field and reason of the first inconsistency between fields, or null if there is none.
 */
function findInconsistency(scenario: Scenario): { field: string; reason: string } | null {
  const regions = new Set<string>();
  for (const [i, { name: region }] of scenario.regions.entries()) {
    if (regions.has(region))
      return { field: `regions.${i}.name`, reason: `${region} is defined twice` };
    regions.add(region);
  }
  const zones = new Map<string, string>();
  for (const [i, { name: zone, region }] of scenario.zones.entries()) {
    if (zones.has(zone)) return { field: `zones.${i}.name`, reason: `${zone} is defined twice` };
    if (!regions.has(region))
      return { field: `zones.${i}.region`, reason: `there is no region ${region}` };
    zones.set(zone, region);
  }
  for (const [i, { name: region }] of scenario.regions.entries()) {
    if (![...zones.values()].includes(region))
      return { field: `regions.${i}.name`, reason: `${region} has no zone` };
  }
  for (const [i, { zone }] of scenario.jobs.entries()) {
    if (zone !== undefined && !zones.has(zone))
      return { field: `jobs.${i}.zone`, reason: `there is no zone ${zone}` };
  }
  for (const [i, { cpus }] of scenario.jobs.entries()) {
    if (cpus > scenario.machine.cpus)
      return { field: `jobs.${i}.cpus`, reason: "more CPUs than a machine has" };
  }
  const shares = scenario.jobs.reduce((sum, one) => sum + one.share, 0);
  if (Math.abs(shares - 1) > 1e-6)
    return { field: "jobs", reason: `the shares add up to ${shares}, expected 1` };
  const { guarantee_cpus, limit_cpus } = scenario.teams;
  if (guarantee_cpus > limit_cpus)
    return { field: "teams.guarantee_cpus", reason: "is above limit_cpus" };
  if (scenario.workers.cancel_s <= scenario.workers.lease_s)
    return { field: "workers.cancel_s", reason: "must be longer than lease_s" };
  const processes = processesOf(scenario);
  if (processes > MAX_PROCESSES)
    return {
      field: "workers.processes",
      reason: `${processes} processes, at most ${MAX_PROCESSES}`,
    };
  return null;
}

/** Applies `--set path=value`, which overrides one field of the file before validation. */
function applyOverride(raw: Record<string, unknown>, setting: string): void {
  const at = setting.indexOf("=");
  if (at < 0) throw new ScenarioError(`--set ${setting}: expected path=value`);
  const path = setting.slice(0, at).split(".");
  const text = setting.slice(at + 1);
  const last = path.pop()!;
  let inner: Record<string, unknown> = raw;
  for (const step of path) {
    const next = inner[step];
    if (typeof next !== "object" || next === null)
      throw new ScenarioError(`--set ${setting}: there is no ${step}`);
    inner = next as Record<string, unknown>;
  }
  const value = Number(text);
  inner[last] = text !== "" && Number.isFinite(value) ? value : text;
}

/** @throws ScenarioError with one line */
export function parseScenario(
  text: string,
  file: string,
  settings: readonly string[] = [],
): Scenario {
  let raw: Record<string, unknown>;
  try {
    raw = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    throw new ScenarioError(`${file}:${error.line}: ${error.message.split("\n")[0]}`);
  }
  for (const setting of settings) applyOverride(raw, setting);
  const result = schema.safeParse(raw);
  if (!result.success) {
    const issue = result.error.issues[0]!;
    const unknown = issue.code === "unrecognized_keys" ? [issue.keys[0] ?? ""] : [];
    const field = [...issue.path, ...unknown].join(".") || "file";
    const reason = unknown.length > 0 ? "is not a known field" : issue.message;
    throw new ScenarioError(`${file}: ${field}: ${reason}`);
  }
  const inconsistency = findInconsistency(result.data);
  if (inconsistency !== null)
    throw new ScenarioError(`${file}: ${inconsistency.field}: ${inconsistency.reason}`);
  return result.data;
}

/** @throws ScenarioError with one line */
export function loadScenario(file: string, settings: readonly string[] = []): Scenario {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new ScenarioError(`${file}: ${describeError(error)}`);
  }
  return parseScenario(text, file, settings);
}
