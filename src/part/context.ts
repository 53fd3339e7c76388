import type { Clock } from "../clock.js";
import type { ConfigurationInForce } from "../configuration/index.js";
import type { PlacementPolicy } from "../extension/index.js";
import type { Amounts, ShareTree } from "../fair/share.js";
import type { Targets } from "../jobs/due-time.js";
import type { Log } from "../log.js";
import type { Metrics } from "../metrics.js";
import type { DependencyTracker } from "../pipeline/index.js";
import type { Mirror } from "../state/mirror.js";
import type { Condition, Store } from "../state/store.js";
import type { MachineType } from "../wire/cloud.js";
import type * as wire from "../wire/workers.js";
import type { PlacementConstraints } from "../workers/placement-constraints.js";
import type { Summaries, Summary } from "./summary.js";

/** What a part's owner is given by the controller in which it runs. */
export interface PartContext {
  index: number;
  /** Number of parts. */
  parts: number;
  /** Fencing token under which workers accept commands. */
  token: number;
  /** This owner's claim: a condition of everything that is committed. */
  claim: Condition;
  /** Whether records were restored and tasks may be running that they do not contain. */
  reconcilingRestore(): boolean;
  /** How long such tasks may run without being reported (`restoreReconciliationMs`). */
  restoreReconciliationMs: number;
  store: Store;
  mirror: Mirror;
  clock: Clock;
  log: Log;
  /** Whether this owner's lease cannot have expired yet. */
  valid(): boolean;
  types(): ReadonlyMap<string, MachineType>;
  newShareTree(): ShareTree;
  /**
   * Setting `preemption`: whether running tasks are stopped to even out shares, and how many times the
   * work lost that way a preemptor must have waited.
   */
  evenOut: boolean;
  patience: number;
  /** Parts whose machines may be in a zone. */
  partsOf(zone: string): number[];
  /** Whether a part's owner is suspected to have failed: no chunks are handed over to it. */
  ownerSuspected(part: number): boolean;
  /** The teams' limits under the configuration revision in force in this controller. */
  readonly limits: ReadonlyMap<string, Amounts>;
  /** The configuration revision by which this controller decides. */
  readonly configuration: ConfigurationInForce;
  /** Whether a team of the platform has no guarantee: everything that it runs is lent. */
  isBorrower(team: string): boolean;
  /** Placement policy of an optional package. */
  policy: PlacementPolicy | null;
  /** Where tasks may start. */
  constraints: PlacementConstraints;
  summaries: Summaries;
  metrics: Metrics;
  /** Machines that the cloud has confirmed to be gone. */
  goneMachines: ReadonlySet<string>;
  /** Ids of the jobs of all parts that are within their team's guarantee. */
  guaranteed(): ReadonlySet<string>;
  /** Ids of the jobs of all parts that are to meet their due time. */
  onTime(): ReadonlySet<string>;
  targets: Targets;
  /** Whether all controllers that are present read the current record format. */
  allReadCurrentFormat(): boolean;
  /** Dependencies between jobs. */
  pipelines: DependencyTracker;
  /** Sends commands directly to a worker; its reports show whether they arrived. */
  sendCommands(address: string, session: number, commands: wire.Command[]): void;
  /** Sends this part's summary to all controllers, this one included. */
  publishSummary(summary: Summary): void;
  reportMs: number;
  leaseMs: number;
  /** The claim was lost: the owner must stop at once. */
  onClaimLost(why: string): void;
}
