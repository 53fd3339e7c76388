/** Messages between the run and its child processes, sent as JSON over Node's IPC channel. */
import type { CloudType, Host, StateUse, TaskEvent, Uploaded } from "../local/index.js";
import type { Team } from "../settings/settings.js";
import type { Priority } from "../wire/jobs.js";
import type { Region, Scenario } from "./scenario.js";

export type Role = "state" | "cloud" | "workers" | "users";

/** "Shared time": milliseconds of the monotonic clock, which all processes of a machine share. */
export const sharedNow = (): number => Number(process.hrtime.bigint()) / 1e6;

/**
 * A task's start or end on a hollow worker, at a shared time; its host is given as `region/uid`.
 */
export type TimedEvent = TaskEvent & { at: number };

/** Parameters of a child process. */
export interface Assignment {
  role: Role;
  scenario: Scenario;
  region: Region;
  zones: string[];
  /** Seed of the process's random values. */
  seed: number;
  /** Addresses of controllers, by region and name. */
  nodes: Record<string, Record<string, string>>;
  teams: Team[];
}

/** Network use of one process's hollow workers since the process started. */
export interface WorkerTraffic {
  workers: number;
  reports: number;
  /** Reports that got an answer other than 200, or none. */
  refused: number;
  bytesOut: number;
  bytesIn: number;
}

export interface UserCounts {
  submitted: number;
  accepted: number;
  done: number;
  cancelled: number;
  /** Jobs whose submission or polling failed, such as for want of an answer in PROTOCOL's time. */
  failed: number;
  open: number;
}

export const emptyUserCounts = (): UserCounts => ({
  submitted: 0,
  accepted: 0,
  done: 0,
  cancelled: 0,
  failed: 0,
  open: 0,
});

/**
 * When a configuration change was requested, and how long until all owners of parts decided by it.
 */
export interface ConfigurationDelay {
  committedAt: number;
  /** Null while some owner of a part does not decide by it yet. */
  inForceMs: number | null;
}

export type Figures =
  | { role: "state"; use: StateUse; keys: number; bytesKept: number }
  | { role: "cloud"; machines: number; heldMs: number }
  | { role: "workers"; traffic: WorkerTraffic; tasks: number }
  | { role: "users"; counts: UserCounts; configuration: ConfigurationDelay[]; failures: string[] };

export type ToProcess =
  | { kind: "begin"; assignment: Assignment }
  | { kind: "boot"; region: string; host: Host; type: CloudType }
  | { kind: "gone"; region: string; uid: string }
  | { kind: "address"; uid: string; address: string }
  | { kind: "restart"; region: string; uid: string }
  | { kind: "fail"; uids: string[] }
  | { kind: "outage"; on: boolean }
  | { kind: "job"; job: Uploaded }
  | { kind: "go" }
  | { kind: "sample" };

export type FromProcess =
  | { kind: "ready"; address: string }
  | { kind: "up"; host: Host; type: CloudType }
  | { kind: "gone"; uid: string }
  | { kind: "address"; region: string; uid: string; address: string }
  | { kind: "events"; events: TimedEvent[]; until: number }
  | { kind: "submits"; job: Uploaded; team: string; priority: Priority; at: number }
  | { kind: "cancelled"; job: string; at: number }
  | { kind: "sampled"; figures: Figures };
