import type { Clock } from "../clock.js";
import type { DecidingBy } from "../configuration/index.js";
import type { PlacementPolicy } from "../extension/index.js";
import type { Amounts, ShareTree } from "../fair/share.js";
import type { Targets } from "../jobs/due-time.js";
import type { Log } from "../log.js";
import type { Metrics } from "../metrics.js";
import type { Pipelines } from "../pipeline/index.js";
import type { Mirror } from "../state/mirror.js";
import type { Condition, Store } from "../state/store.js";
import type { MachineType } from "../wire/cloud.js";
import type * as wire from "../wire/workers.js";
import type { PlacementConstraints } from "../workers/placement-constraints.js";
import type { Summaries, Summary } from "./summary.js";

/** What the owner of a part gets from the controller it runs in. */
export interface PartContext {
  index: number;
  /** How many parts there are. */
  parts: number;
  /** The fencing token that workers go by. */
  token: number;
  /** The claim that makes us the owner: whatever is committed depends on it. */
  claim: Condition;
  /** Whether the records were restored, and do not tell of all that may be running yet. */
  reconcilingRestore(): boolean;
  /** How long such tasks may run without being heard of (`restoreReconciliationMs`). */
  restoreReconciliationMs: number;
  store: Store;
  mirror: Mirror;
  clock: Clock;
  log: Log;
  /** Whether our lease cannot have ended yet. */
  valid(): boolean;
  types(): ReadonlyMap<string, MachineType>;
  newShareTree(): ShareTree;
  /** Whether shares are evened out, and how many times a loss that takes in waiting. */
  evenOut: boolean;
  patience: number;
  /** Parts whose machines may be in a zone. */
  partsOf(zone: string): number[];
  /** Whether there is doubt that a part's owner serves: nothing is handed on to it. */
  ownerSuspected(part: number): boolean;
  /** The teams' limits under the revision that is in force here. */
  readonly limits: ReadonlyMap<string, Amounts>;
  /** The revision of the configuration that this controller decides by. */
  readonly configuration: DecidingBy;
  /** Whether a team of the platform has no guarantee: all that it runs is lent to it. */
  isBorrower(team: string): boolean;
  /** What an optional package says about placing. */
  policy: PlacementPolicy | null;
  /** Where tasks may start. */
  constraints: PlacementConstraints;
  summaries: Summaries;
  metrics: Metrics;
  /** Machines that the cloud has confirmed to be gone. */
  goneMachines: ReadonlySet<string>;
  /** Ids of the jobs of all parts that are within their team's guarantee. */
  guaranteed(): ReadonlySet<string>;
  /** Ids of the jobs of all parts that are to be in time. */
  onTime(): ReadonlySet<string>;
  targets: Targets;
  /** Whether every controller that is there reads records as this one does. */
  allReadCurrentFormat(): boolean;
  /** Which jobs wait for which. */
  pipelines: Pipelines;
  /** Sends commands straight to a worker; whether they arrive shows in its reports. */
  sendCommands(address: string, session: number, commands: wire.Command[]): void;
  /** Tells the other controllers, and our own, how this part stands. */
  publishSummary(summary: Summary): void;
  reportMs: number;
  leaseMs: number;
  /** Our claim is gone: stop at once. */
  onClaimLost(why: string): void;
}
