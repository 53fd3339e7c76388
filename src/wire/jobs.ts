import { z } from "zod";
import { isMap } from "./cbor.js";

/** In ascending order: tasks of a lower rank are stopped first. */
export const PRIORITIES = ["best_effort", "normal", "urgent", "prod"] as const;
export type Priority = (typeof PRIORITIES)[number];
export const MAX_TASKS = 100_000;

/** Independent tasks; replicas that run until cancelled; or tasks that run only all together. */
export type Kind = "array" | "service" | "gang";
const KIND_BY_SHAPE: Record<"batch" | "service" | "ensemble", Kind> = {
  batch: "array",
  service: "service",
  ensemble: "gang",
};

/** A job as submitted, in the terms of this code. Stored in this form. */
export interface JobSpec {
  class: string;
  team: string;
  kind: Kind;
  /** Index into PRIORITIES. */
  rank: number;
  tasks: number;
  cpus: number;
  gpus: number;
  memGb: number;
  image: string | null;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Set only by the package for submit files; absent for all other jobs. */
  match?: Match;
  /** Jobs that have to be done before any task of this one starts; absent if there are none. */
  after?: After;
}

export interface After {
  jobs: string[];
  /** When the last of the jobs already done was done, wall clock ms. */
  since?: number;
  /** In the store: the machine types that the job allows, as its `types` names one no machine has. */
  types?: string[] | null;
}

/** A job's expressions about machines. Only the package parses these texts; "" means none. */
export interface Match {
  ad: string;
  requirements: string;
  rank: string;
  /** How many of its tasks may be placed at the same time; null for no limit. */
  atOnce: number | null;
}

/**
 * The only machine type that a job with expressions names. No machine has it, so a controller without
 * support for expressions refuses such a job, and starts none of its tasks if it takes the job over.
 */
export const BY_REQUIREMENTS = "(requirements)";

const JOB_ID_PATTERN = /^wk-[0-9A-Za-z][0-9A-Za-z_.-]{0,99}$/;

export function isJobId(text: string): boolean {
  return JOB_ID_PATTERN.test(text);
}

const amount = z.number().finite().nonnegative();
const count = z
  .union([z.number().int(), z.bigint()])
  .transform((value) => Number(value))
  .pipe(z.number().int().min(1).max(MAX_TASKS));
const name = z.string().min(1).max(200);

const submission = z.object({
  uid: z.string().regex(JOB_ID_PATTERN, "not a job id"),
  eidos: name,
  owner: name,
  shape: z.enum(["batch", "service", "ensemble"]),
  urgency: z.enum(PRIORITIES),
  pieces: count,
  cores: amount,
  accelerators: amount,
  memGb: amount,
  bundle: name.nullish(),
  sizeGb: amount.nullish(),
  builds: z.array(name).nullish(),
  berth: name.nullish(),
  together: z.boolean(),
  scatter: z.boolean(),
  borrowed: z.boolean(),
  expectS: amount,
  stashEveryS: amount,
  stashS: amount,
  dueS: amount.nullish(),
  ad: z.string().nullish(),
  requirements: z.string().nullish(),
  rank: z.string().nullish(),
  atOnce: count.nullish(),
  awaits: z.array(z.string().regex(JOB_ID_PATTERN, "not a job id")).nullish(),
});

export type Parsed<T> = { ok: true; value: T } | { ok: false; reason: string };

/** The job id in a body that may otherwise be invalid; null if it has none. */
export const submittedId = (body: unknown): string | null =>
  isMap(body) && typeof body.uid === "string" && isJobId(body.uid) ? body.uid : null;

export function parseSubmission(body: unknown): Parsed<{ id: string; spec: JobSpec }> {
  if (!isMap(body)) return { ok: false, reason: "the body is not a map" };
  const result = submission.safeParse(body);
  if (!result.success) {
    const issue = result.error.issues[0];
    return { ok: false, reason: `${issue?.path.join(".") ?? "body"}: ${issue?.message}` };
  }
  const job = result.data;
  const match = parseMatch(job);
  const dependencies = [...new Set(job.awaits ?? [])];
  const hasExpressionType = job.builds?.length === 1 && job.builds[0] === BY_REQUIREMENTS;
  if ((match !== null) !== hasExpressionType) {
    const reason = `must be ["${BY_REQUIREMENTS}"] for a job with expressions, and only for such a job`;
    return { ok: false, reason: `builds: ${reason}` };
  }
  return {
    ok: true,
    value: {
      id: job.uid,
      spec: {
        class: job.eidos,
        team: job.owner,
        kind: KIND_BY_SHAPE[job.shape],
        rank: PRIORITIES.indexOf(job.urgency),
        tasks: job.pieces,
        cpus: job.cores,
        gpus: job.accelerators,
        memGb: job.memGb,
        image: job.bundle ?? null,
        types: job.builds ?? null,
        zone: job.berth ?? null,
        oneZone: job.together,
        spread: job.scatter,
        spot: job.borrowed,
        estimateS: job.expectS,
        checkpointS: job.stashEveryS,
        saveS: job.stashS,
        deadlineS: job.dueS ?? null,
        ...(match === null ? {} : { match }),
        ...(dependencies.length === 0 ? {} : { after: { jobs: dependencies } }),
      },
    },
  };
}

type MatchFields = Pick<z.infer<typeof submission>, "ad" | "requirements" | "rank" | "atOnce">;

function parseMatch({ ad, requirements, rank, atOnce }: MatchFields): Match | null {
  if (ad == null && requirements == null && rank == null && atOnce == null) return null;
  return {
    ad: ad ?? "",
    requirements: requirements ?? "",
    rank: rank ?? "",
    atOnce: atOnce ?? null,
  };
}

export type JobStatus = "pending" | "running" | "done" | "cancelled";

export function statusBody(
  id: string,
  status: JobStatus,
  counts?: { done: number; running: number; awaits?: readonly string[] },
): object {
  return counts === undefined ? { uid: id, status } : { uid: id, status, ...counts };
}

/** Status for people; not part of the protocol. */
export const statusPath = "/about/status";
/** `POST` with `{"on": true}`: the controller hands its parts and leadership over to others. */
export const drainPath = "/about/drain";
export const jobsPath = "/api/jobs";
export const jobPath = (id: string): string => `${jobsPath}/${encodeURIComponent(id)}`;
export const cancelPath = (id: string): string => `${jobPath(id)}/withdraw`;

const STATUSES: readonly string[] = ["pending", "running", "done", "cancelled"];

export function parseStatus(
  body: unknown,
): { id: string; status: JobStatus; done?: number; running?: number; awaits?: string[] } | null {
  if (!isMap(body) || typeof body.uid !== "string") return null;
  if (typeof body.status !== "string" || !STATUSES.includes(body.status)) return null;
  const { uid: id, done, running, awaits } = body;
  return {
    id,
    status: body.status as JobStatus,
    ...(typeof done === "number" ? { done } : {}),
    ...(typeof running === "number" ? { running } : {}),
    ...(Array.isArray(awaits) ? { awaits: awaits.filter((item) => typeof item === "string") } : {}),
  };
}
