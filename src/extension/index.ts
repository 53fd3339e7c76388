/**
 * The seam for optional packages: what they may watch, add and decide, and nothing else. The core
 * knows these interfaces; a package is loaded only when the operators' settings hold its message
 * (`settings/packages.ts`).
 */
import type { Clock } from "../clock.js";
import type { Amounts } from "../fair/share.js";
import type { Router } from "../http/server.js";
import type { Log } from "../log.js";
import type { Layout } from "../membership/layout.js";
import type { ControllerStability } from "../membership/stability.js";
import type { Inspected, PartInspection } from "../part/inspect.js";
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

/** What this controller has claimed, and what may be said of the claims of others. */
export interface Claims {
  /** This run of the process. */
  readonly run: string;
  readonly stability: ControllerStability;
  /** Whether this controller's lease certainly holds. */
  valid(): boolean;
  /** What a record has to be attached to that ends with this controller; null without a lease. */
  lease(): number | string | null;
  ownerOf(part: number): string | null;
  /** Parts that this controller has loaded, and when a worker of each last showed that it took an answer. */
  served(): { part: number; machines: number; servedAt: number }[];
  /**
   * Writes all claims of another controller's run for its successors, in one transaction on
   * condition of their versions and of `when`. False when any of it has changed, or nobody is there.
   */
  reassign(
    name: string,
    run: string,
    when: readonly Condition[],
    then: readonly Change[],
  ): Promise<boolean>;
  /** Others should own what this controller has, for a while. */
  relinquish(forMs: number, why: string): Promise<void>;
}

/** The other controllers, by frames that may or may not arrive. */
export interface Peers {
  send(to: string, frame: Frame): void;
  broadcast(frame: Frame): void;
  /** When anything was last sent to all of them. */
  sentAt(): number;
}

/** What every side of a controller, and every package in it, shares. */
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
  /** Milliseconds since this controller is known to have seen every change. */
  staleness(): number;
  /** What the owners here know of one job, or of work within guarantees that stands still. For people. */
  inspect(which: Inspected): PartInspection[];
  /** How rental stands; null: this controller does not lead. */
  rental(): { booting: number; overdue: number; reachable: boolean } | null;
}

/** A team that the platform does not list: without a guarantee, in a group of the tree. */
export interface ExtraTeam {
  name: string;
  /** The group it belongs to; null for the root. */
  group: string | null;
  /** The most that it may ever use: a task beyond that can never run. */
  most: Amounts;
}

/** What a team may use in one part, in place of a slice of a limit. */
export interface Allowance {
  /** Tasks start as long as they fit into this. */
  startLimit: Amounts;
  /** What runs beyond this is stopped, with time to save. */
  softLimit: Amounts;
  /** What is there beyond this is stopped at once. */
  hardLimit: Amounts;
}

/**
 * What a package says about placing. Pure questions on what it has seen, asked in every pass: they
 * have to be cheap.
 */
export interface PlacementPolicy {
  /** Whether a team stands behind the others: placed after them, stopped for them at once. */
  preemptible(team: string): boolean;
  /** What such a team may use in a part now; null for teams with a limit of the platform's. */
  allowance(team: string, part: number): Allowance | null;
  /** Teams that have an allowance. */
  teams(): Iterable<string>;
  /** Of those that yield, the one worth least is stopped first. */
  preemptionValue(team: string, part: number): number;
  /** CPUs of idle machines that should not go back to the cloud yet. */
  idleCpusToKeep(): number;
  /** What machines may be rented for, beyond the own teams' need; empty as a rule. */
  capacityRequests(): CapacityRequest[];
}

/**
 * Which machines jobs with expressions may use. Pure questions as well: machines of one kind with
 * the same room have to be answered alike, so that an answer can be kept.
 */
export interface JobMatcher {
  /** How much a job prefers such a machine; null: its tasks may not start there. */
  rank(spec: JobSpec, on: MachineKind, room: Resources | null): number | null;
  /** The same question about one job, for whoever goes through all machines. */
  rankerFor(spec: JobSpec): (on: MachineKind, room: Resources | null) => number | null;
  /** Whether nothing of a job may start now, whatever room there is. */
  cannotStart(id: string, spec: JobSpec): boolean;
  /** Alike for jobs that get the same answers; null when answers change with room or time. */
  equivalenceKey(spec: JobSpec): string | null;
  /** Why a job is held: its tasks are stopped, with time to save; null when it is not. */
  holdReason(id: string): string | null;
  /** How long one of its tasks may run, milliseconds; null for any time. */
  maxRunMs(spec: JobSpec): number | null;
  /** How often in a row its tasks may fail; null for any number. */
  maxRetries(spec: JobSpec): number | null;
  /** Tells that a job went beyond what it may: it is to be held. May be told again and again. */
  hold(id: string, reason: string): void;
  /** Why a submission can never be taken: the status and the reason; null when it can. */
  rejection(id: string, spec: JobSpec): { status: number; reason: string } | null;
}

/** What a package does for the leader, as long as a leader's claim holds. */
export interface LeaderTerm {
  /** The fencing token. */
  token: number;
  /** The leader's claim: what is written on condition of it is written by the leader. */
  claim: Condition;
  /** Whether we are certainly still the leader. */
  valid(): boolean;
}

/** A package at work in one controller. */
export interface Attachment {
  start?(): void;
  stop?(): void;
  /** Requests beside the protocol's paths; null for paths that are not its own. */
  find?: Router["find"];
  policy?: PlacementPolicy;
  matcher?: JobMatcher;
  lead?(leading: LeaderTerm): { stop(): void };
  /** Why a submission that needs the package cannot be taken now, or null. */
  refusalReason?(spec: JobSpec): string | null;
  /** Whether the header of a job that is over has to stay where it is for now. */
  needsHeader?(id: string): boolean;
  /** A frame of another controller, and that its connection was closed from there. */
  onFrame?(from: string, frame: Frame): void;
  onPeerClosed?(from: string): void;
  /** A machine of another's part came here with a report, under the highest token it has seen. */
  onMisroutedReport?(part: number, machine: string, token: number, mark: ReportPosition): void;
  /** Whether there is doubt that another controller serves: nothing new is given to it. */
  isSuspected?(name: string): boolean;
  /** For `/about/status`. */
  status?(): object;
  /** Figures in the text format of `/metrics`, beside the core's. */
  metrics?(): string;
}

export interface Extension {
  readonly name: string;
  readonly teams: readonly ExtraTeam[];
  attach(core: Core): Attachment;
}

/** The controllers that serve, by name, with the packages that they have. */
function serving({ layout, mirror }: Core): [string, unknown[]][] {
  return layout.members.flatMap(({ name }): [string, unknown[]][] => {
    const row = mirror.rows.get(keys.node(name));
    if (row === undefined) return [];
    const { speaks } = row.value as { speaks?: unknown };
    return [[name, Array.isArray(speaks) ? speaks : []]];
  });
}

/**
 * The controllers that serve without a package, by name: they would not do for its jobs what it
 * promises. While there is one, such jobs are not taken.
 */
export const controllersWithoutPackage = (name: string, core: Core): string[] =>
  serving(core).flatMap(([node, speaks]) => (speaks.includes(name) ? [] : [node]));

/** Whether some controller has a package. */
export const isPackagePresent = (name: string, core: Core): boolean =>
  serving(core).some(([, speaks]) => speaks.includes(name));
