/** What the run and its processes tell each other, as JSON over Node's channel to a child. */
import type { CloudType, Host, StateUse, TaskEvent, Uploaded } from "../local/index.js";
import type { Team } from "../settings/settings.js";
import type { Priority } from "../wire/jobs.js";
import type { Region, Scenario } from "./scenario.js";

export type Role = "state" | "cloud" | "workers" | "users";

/** Milliseconds of a clock that all processes of one machine share. */
export const sharedNow = (): number => Number(process.hrtime.bigint()) / 1e6;

/** A task's start or end on a hollow worker, with the shared time; its host as `region/name`. */
export type TimedEvent = TaskEvent & { at: number };

/** What a process of the lab begins with. */
export interface Assignment {
  role: Role;
  scenario: Scenario;
  region: Region;
  zones: string[];
  /** Seeds the process's own draws. */
  seed: number;
  /** Addresses of controllers by name; of this region, or for workers by region. */
  nodes: Record<string, Record<string, string>>;
  teams: Team[];
}

/** Use of the network by one process's hollow workers, since it began. */
export interface WorkerTraffic {
  workers: number;
  reports: number;
  /** Reports answered by something other than 200. */
  refused: number;
  bytesOut: number;
  bytesIn: number;
}

export interface UserCounts {
  submitted: number;
  accepted: number;
  done: number;
  cancelled: number;
  /** Submissions without an answer in the time that PROTOCOL gives them. */
  failed: number;
  open: number;
}

export const noCounts = (): UserCounts => ({
  submitted: 0,
  accepted: 0,
  done: 0,
  cancelled: 0,
  failed: 0,
  open: 0,
});

/** When a change of configuration was asked for, and how long until all decided by it. */
export interface ConfigurationDelay {
  committedAt: number;
  /** Null: not all do yet. */
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
