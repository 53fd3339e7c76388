import { canAccuse, type LocalHealth, localHealthScore } from "./local-health.js";
import type { Timing } from "./settings.js";

/**
 * The decisions of the failure detector, as pure functions on plain data: the same in the daemon, in
 * tests and in simulations. Nothing here decides who owns a part: ownership changes by a conditional
 * write (`accusations.ts`), which keeps it exclusive whatever these functions return
 * (`docs/design.md`).
 */

/** Another controller, as this one sees it. */
export interface PeerView {
  name: string;
  zone: string;
  /** Whether its presence record exists. */
  present: boolean;
  /** Whether it also has this package loaded: without it, it cannot refute an accusation. */
  canRefute: boolean;
  /** Time since its last frame, milliseconds; infinity if there was none. */
  silentMs: number;
  /** Silence that its frame intervals make unlikely (`FrameIntervals.silenceForPhi`); 0 while unknown. */
  unlikelySilenceMs: number;
  /** Its connection was closed from its side, and no frame has come since. */
  closed: boolean;
  /** Number of machines in its parts, by its last summaries. */
  machines: number;
  /** Machines that had its current fencing token and reported here recently. */
  misroutedMachines: number;
  /** What other controllers have recently answered when asked about it. */
  observations: readonly PeerObservation[];
}

/** What a witness, another controller, has observed of a peer. */
export interface PeerObservation {
  from: string;
  zone: string;
  /** Time since its last frame reached the witness, milliseconds. */
  silentMs: number;
  closed: boolean;
  misroutedMachines: number;
  /** Whether the witness's own health allows it to accuse. */
  witnessHealthy: boolean;
  /** Time since the answer arrived, milliseconds. */
  ageMs: number;
}

/** Why a controller is suspected: connection closed, silent, or left by its workers. */
export type Ground = "closed" | "silent" | "workers";

export interface ClusterView {
  /** This controller's zone, and all zones that have controllers. */
  zone: string;
  zones: readonly string[];
  /** Number of all members, this one included. */
  size: number;
  localHealth: LocalHealth;
}

/** Silence from which on a peer is suspected, given this controller's own health score. */
export function silenceTimeoutMs(peer: PeerView, healthScore: number, timing: Timing): number {
  const unlikely = Math.min(peer.unlikelySilenceMs, timing.maxSilenceMs);
  const least = peer.closed ? timing.closedSilenceMs : Math.max(timing.minSilenceMs, unlikely);
  return least * (1 + healthScore);
}

/** Others are asked repeatedly while there is suspicion, so an older observation is out of date. */
const isRecent = ({ ageMs }: PeerObservation, timing: Timing): boolean =>
  ageMs < timing.heartbeatMs * 3;

/** Number of machines, over all controllers asked, that must have left a peer for it to be a ground. */
export const misroutedQuorum = (machines: number): number =>
  Math.max(Math.min(machines, 3), Math.ceil(machines / 2));

/** Machines that left the peer, as seen here and by healthy witnesses; one may be counted twice. */
function totalMisrouted({ misroutedMachines, observations }: PeerView, timing: Timing): number {
  const usable = observations.filter((one) => one.witnessHealthy && isRecent(one, timing));
  return usable.reduce((sum, one) => sum + one.misroutedMachines, misroutedMachines);
}

/** Whether the quorum would be reached if as many machines had come to every other controller. */
export const misroutedMayReachQuorum = (
  { misroutedMachines, machines }: PeerView,
  size: number,
): boolean =>
  machines > 0 &&
  misroutedMachines > 0 &&
  misroutedMachines * (size - 1) >= misroutedQuorum(machines);

/** Whether enough of its machines have left it. */
const machinesHaveLeft = (peer: PeerView, timing: Timing): boolean =>
  peer.machines > 0 &&
  peer.misroutedMachines > 0 &&
  totalMisrouted(peer, timing) >= misroutedQuorum(peer.machines);

/** Ground for suspicion by this controller's own observations; null if there is none. */
export function suspicionGround(
  peer: PeerView,
  cluster: ClusterView,
  timing: Timing,
): Ground | null {
  if (!peer.present) return null;
  const healthScore = localHealthScore(cluster.localHealth, timing);
  if (!canAccuse(healthScore)) return null;
  // Checked before silence: it may renew its lease and send frames although it does not serve.
  if (machinesHaveLeft(peer, timing)) return "workers";
  if (peer.silentMs < silenceTimeoutMs(peer, healthScore, timing)) return null;
  return peer.closed ? "closed" : "silent";
}

/**
 * Whether other controllers confirm this controller's suspicion. Controllers that do not answer are
 * no evidence. Of those that answered, none may still hear the suspect, and at least one must not
 * hear it. If there are several zones, one witness must be outside this controller's zone; machines
 * of the suspect that report here count as a witness in the suspect's zone.
 */
export function corroboration(
  peer: PeerView,
  ground: Ground,
  cluster: ClusterView,
  timing: Timing,
): { ok: true; by: string[] } | { ok: false; why: string } {
  const usable = peer.observations.filter((one) => one.witnessHealthy && isRecent(one, timing));
  // A healthy controller sends a frame every heartbeat interval. If both have seen its connection
  // closed, a shorter silence is enough.
  const silent = ({ silentMs, closed }: PeerObservation): boolean =>
    silentMs >= timing.heartbeatMs * (closed && ground === "closed" ? 0.5 : 1.5);
  const hearing = usable.find((one) => !silent(one));
  if (ground !== "workers" && hearing !== undefined) {
    return { ok: false, why: `${hearing.from} still receives its frames` };
  }
  const agreeing = usable.filter((one) =>
    ground === "workers" ? one.misroutedMachines > 0 : silent(one),
  );
  const zones = new Set([cluster.zone, ...agreeing.map(({ zone }) => zone)]);
  if (peer.misroutedMachines > 0) zones.add(peer.zone);
  // A quorum of the suspect's machines reporting here is enough without another controller: this
  // controller cannot have caused that, and all of them may come to one controller, because they try
  // the controllers in turn.
  const machinesConfirm =
    ground === "workers" && peer.misroutedMachines >= misroutedQuorum(peer.machines);
  if (agreeing.length === 0 && !machinesConfirm)
    return { ok: false, why: "no other controller confirms it" };
  const zonesNeeded = Math.min(2, cluster.zones.length);
  if (zones.size < zonesNeeded) return { ok: false, why: "all witnesses are in one zone" };
  return {
    ok: true,
    by: [...agreeing.map(({ from }) => from), ...(machinesConfirm ? ["machines"] : [])],
  };
}

/** An open accusation, as the accuser sees it when it decides on a verdict. */
export interface VerdictInput {
  peer: PeerView;
  ground: Ground;
  ageMs: number;
  /** Number of members that this controller hears, itself included. */
  reachableControllers: number;
}

/**
 * How long a suspect has to refute. Half if its connections were closed as well, which a running but
 * impaired process does not do; longer if it has so few machines that reports, its proof of service,
 * are rare.
 */
export function refutationTimeMs(machines: number, ground: Ground, timing: Timing): number {
  const share = ground === "closed" ? 1 / 2 : 1;
  // Half of its machines have left it already: reports of the others would prove little.
  const frequentFrom = ground === "workers" ? 2 : 4;
  const rareReportMs =
    machines === 0 ? 0 : timing.reportIntervalMs * 1.25 * Math.min(1, frequentFrom / machines);
  return share * Math.max(timing.minRefutationMs, rareReportMs);
}

/** Whether an accusation may become a verdict now, and if not, why. */
export function decideVerdict(
  { peer, ground, ageMs, reachableControllers }: VerdictInput,
  cluster: ClusterView,
  timing: Timing,
): { ok: true; by: string[] } | { ok: false; why: string } {
  const refuse = (why: string) => ({ ok: false as const, why });
  if (!timing.verdictsEnabled) return refuse("verdicts are switched off");
  if (localHealthScore(cluster.localHealth, timing) > 0)
    return refuse("this controller is impaired itself");
  if (ageMs < refutationTimeMs(peer.machines, ground, timing))
    return refuse("time to refute has not passed");
  // That this controller is cut off is more likely than that half of all others have failed.
  if (reachableControllers * 2 <= cluster.size)
    return refuse(`only ${reachableControllers} of ${cluster.size} controllers are heard`);
  const groundHolds =
    ground === "workers"
      ? machinesHaveLeft(peer, timing)
      : peer.silentMs >= Math.max(ageMs, timing.closedSilenceMs);
  if (!groundHolds) return refuse("the ground for suspicion no longer holds");
  return corroboration(peer, ground, cluster, timing);
}
