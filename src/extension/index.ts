/**
 * The interfaces between the core and optional packages: all that a package may watch, add and
 * decide. A package is loaded only if the operators' settings contain its message
 * (`settings/packages.ts`).
 */
import type { Clock } from "../clock.js";
import type { Amounts } from "../fair/share.js";
import type { Router } from "../http/server.js";
import type { Log } from "../log.js";
import type { Layout } from "../membership/layout.js";
import type { ControllerStability } from "../membership/stability.js";
import type { InspectionQuery, PartInspection } from "../part/inspect.js";
import type { CapacityRequest, Summaries } from "../part/summary.js";
import type { Frame } from "../peer/frames.js";
import type { Settings } from "../settings/settings.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Change, Condition, Store } from "../state/store.js";
import type { MachineType } from "../wire/cloud.js";
import type { JobSpec } from "../wire/jobs.js";
import type { MachineKind, Resources } from "../workers/machine.js";
import type { ReportPosition } from "../workers/report-classification.js";

/** The claims of this controller, and operations on the claims of others. */
export interface Claims {
  /** Identifies this run of the process. */
  readonly run: string;
  readonly stability: ControllerStability;
  /** Whether this controller's lease certainly holds. */
  valid(): boolean;
  /** Lease to attach to records that are to expire with this controller; null without a lease. */
  lease(): number | string | null;
  ownerOf(part: number): string | null;
  /** Parts loaded here, and when a worker of each last proved that it received an answer. */
  servedParts(): { part: number; machines: number; servedAt: number }[];
  /**
   * Writes all claims of another controller's run for its successors, in one transaction that is
   * conditional on their versions and on `when`. Returns false if any of them has changed, or if
   * there is no successor.
   */
  reassign(
    name: string,
    run: string,
    when: readonly Condition[],
    then: readonly Change[],
  ): Promise<boolean>;
  /** Gives up this controller's parts for `forMs`, so that others own them meanwhile. */
  relinquish(forMs: number, why: string): Promise<void>;
}

/** Sends frames to the other controllers; frames may be lost. */
export interface Peers {
  send(to: string, frame: Frame): void;
  broadcast(frame: Frame): void;
  /** When a frame was last sent to all of them. */
  sentAt(): number;
}

/** What the components of a controller and its packages share. */
export interface Core {
  readonly settings: Settings;
  readonly log: Log;
  readonly clock: Clock;
  readonly store: Store;
  readonly mirror: Mirror;
  readonly layout: Layout;
  readonly summaries: Summaries;
  readonly claims: Claims;
  readonly peers: Peers;
  types(): ReadonlyMap<string, MachineType>;
  /** Milliseconds since the last time at which this controller had certainly seen every change. */
  staleness(): number;
  /**
   * What the owners here know of one job, or of work within guarantees that makes no progress; for
   * display.
   */
  inspect(which: InspectionQuery): PartInspection[];
  /** State of machine rental; null if this controller is not the leader. */
  rental(): { booting: number; overdue: number; reachable: boolean } | null;
}

/** A team added by a package: not in the platform's list, without a guarantee, in a group. */
export interface ExtraTeam {
  name: string;
  /** The group that it belongs to; null for the root. */
  group: string | null;
  /** The most that it may ever use; a larger task can never run. */
  most: Amounts;
}

/** What a team may use in one part; replaces a slice of a limit. */
export interface Allowance {
  /** Tasks start as long as the team's use stays within this. */
  startLimit: Amounts;
  /** Tasks beyond this are stopped, with time to save a checkpoint. */
  softLimit: Amounts;
  /** Tasks beyond this are stopped at once. */
  hardLimit: Amounts;
}

/**
 * A package's placement policy. The methods are called in every placement pass, so they must be
 * cheap and free of side effects.
 */
export interface PlacementPolicy {
  /** Whether a team gives way to all others: placed after them, stopped for them at once. */
  preemptible(team: string): boolean;
  /** What a team may use in a part now; null for teams with a limit from the platform. */
  allowance(team: string, part: number): Allowance | null;
  /** Teams that have an allowance. */
  teams(): Iterable<string>;
  /** Value of a preemptible team's tasks in a part; those with the lowest are stopped first. */
  preemptionValue(team: string, part: number): number;
  /** CPUs of idle machines that are not to be returned to the cloud yet. */
  idleCpusToKeep(): number;
  /** Machines that may be rented beyond the need of the platform's teams; usually empty. */
  capacityRequests(): CapacityRequest[];
}

/**
 * Matches jobs with expressions to machines. Methods that return something must be free of side
 * effects, and give equal results for machines of one kind with equal free resources, so that
 * results can be cached.
 */
export interface JobMatcher {
  /** The rank a job gives to such a machine, higher is better; null if it may not start there. */
  rank(spec: JobSpec, machine: MachineKind, free: Resources | null): number | null;
  /** `rank` for one job, for loops over all machines. */
  rankerFor(spec: JobSpec): (machine: MachineKind, free: Resources | null) => number | null;
  /** Whether no task of a job may start now, whatever is free. */
  cannotStart(id: string, spec: JobSpec): boolean;
  /** Equal for jobs with the same results; null if these depend on free resources or on time. */
  equivalenceKey(spec: JobSpec): string | null;
  /** Why a job is held, null if it is not. A held job's tasks are stopped with time to save. */
  holdReason(id: string): string | null;
  /** The longest run time of one of its tasks, milliseconds; null for no limit. */
  maxRunMs(spec: JobSpec): number | null;
  /** How often in a row its tasks may fail; null for no limit. */
  maxRetries(spec: JobSpec): number | null;
  /** Holds a job that went beyond one of its limits. May be called repeatedly for one job. */
  hold(id: string, reason: string): void;
  /** HTTP status and reason if a submission can never be accepted, else null. */
  rejection(id: string, spec: JobSpec): { status: number; reason: string } | null;
}

/** The period in which this controller is the leader; a package's leader tasks run during it. */
export interface LeaderTerm {
  /** The fencing token. */
  token: number;
  /** The leader's claim; a write that is conditional on it succeeds only for the current leader. */
  claim: Condition;
  /** Whether this controller is certainly still the leader. */
  valid(): boolean;
}

/** A package attached to one controller. */
export interface Attachment {
  start?(): void;
  stop?(): void;
  /** Routes requests on the package's own paths; null for any other path. */
  find?: Router["find"];
  policy?: PlacementPolicy;
  matcher?: JobMatcher;
  /** Starts the package's leader tasks when this controller becomes the leader. */
  lead?(term: LeaderTerm): { stop(): void };
  /** Why a submission that needs the package cannot be accepted now, or null. */
  refusalReason?(spec: JobSpec): string | null;
  /** Whether the package still reads the header of a finished job, which is then not archived. */
  needsHeader?(id: string): boolean;
  /** Called with a frame from another controller. */
  onFrame?(from: string, frame: Frame): void;
  /** Called when another controller has closed its connection. */
  onPeerClosed?(from: string): void;
  /**
   * Called when a machine of another owner's part reports here; `token` is the highest fencing token
   * that its worker has seen.
   */
  onMisroutedReport?(part: number, machine: string, token: number, position: ReportPosition): void;
  /** Whether another controller is suspected to have failed; nothing new is assigned to it. */
  isSuspected?(name: string): boolean;
  /** For `/about/status`. */
  status?(): object;
  /** Additional metrics, in the text format of `/metrics`. */
  metrics?(): string;
}

export interface Extension {
  readonly name: string;
  readonly teams: readonly ExtraTeam[];
  attach(core: Core): Attachment;
}

/** The controllers that are present, by name, with the packages that they have. */
function packagesByController({ layout, mirror }: Core): [string, unknown[]][] {
  return layout.members.flatMap(({ name }): [string, unknown[]][] => {
    const row = mirror.rows.get(keys.node(name));
    if (row === undefined) return [];
    const { speaks } = row.value as { speaks?: unknown };
    return [[name, Array.isArray(speaks) ? speaks : []]];
  });
}

/**
 * Names of the controllers that lack a package. They would not handle jobs that need it, so such
 * jobs are not accepted while there is one.
 */
export const controllersWithoutPackage = (name: string, core: Core): string[] =>
  packagesByController(core).flatMap(([node, speaks]) => (speaks.includes(name) ? [] : [node]));

/** Whether some controller has a package. */
export const isPackagePresent = (name: string, core: Core): boolean =>
  packagesByController(core).some(([, speaks]) => speaks.includes(name));
