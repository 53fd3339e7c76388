import { ailing, fitToAccuse, type Own } from "./local-health.js";
import type { Timing } from "./settings.js";

/**
 * What the controllers think of each other, as pure functions on plain data: the same for the
 * daemon, tests and simulation. Nothing here decides who owns what; that is a conditional write
 * (`accusations.ts`), and it breaks no rule whatever these functions say (`docs/design.md`).
 */

/** Another controller, as one sees it. */
export interface Peer {
  name: string;
  zone: string;
  /** Whether it shows its presence, and has this package: one that has not cannot refute. */
  present: boolean;
  able: boolean;
  /** Since its last frame, milliseconds; infinity when there never was one. */
  silentMs: number;
  /** Silence that its intervals make unlikely (`Intervals.silence`); 0 while that is not known. */
  unlikelyMs: number;
  /** Its connection was closed from its side, and nothing came since. */
  closed: boolean;
  /** Machines in its parts, as it last said. */
  machines: number;
  /** Machines that followed it under its present token and came here of late. */
  strays: number;
  /** What others said of it since it was last asked about. */
  testimonies: readonly Testimony[];
}

export interface Testimony {
  from: string;
  zone: string;
  /** Since its last frame there. */
  silentMs: number;
  closed: boolean;
  strays: number;
  /** Whether the witness trusts its own senses. */
  fit: boolean;
  /** Since it was said, milliseconds. */
  ageMs: number;
}

export type Ground = "closed" | "silent" | "workers";

export interface Cluster {
  /** This controller's zone, and all zones that have controllers. */
  zone: string;
  zones: readonly string[];
  /** All members, this one included. */
  size: number;
  own: Own;
}

/** Silence from which on one is suspected, given how well this controller is itself. */
export function patienceMs(peer: Peer, points: number, timing: Timing): number {
  const unlikely = Math.min(peer.unlikelyMs, timing.silenceMostMs);
  const least = peer.closed ? timing.closedMs : Math.max(timing.silenceMs, unlikely);
  return least * (1 + points);
}

/** Testimonies are asked for again and again while there is doubt; an older one is about the past. */
const fresh = ({ ageMs }: Testimony, timing: Timing): boolean => ageMs < timing.beatMs * 3;

/** Machines that have to have come away for it to mean something, over all who were asked. */
export const strayQuorum = (machines: number): number =>
  Math.max(Math.min(machines, 3), Math.ceil(machines / 2));

/** How many machines came away, here and at those who have said so; one may be counted twice. */
function straysOf({ strays, testimonies }: Peer, timing: Timing): number {
  const said = testimonies.filter((one) => one.fit && fresh(one, timing));
  return said.reduce((sum, one) => sum + one.strays, strays);
}

/** Whether so many have come here that, if it is the same elsewhere, it means something. */
export const straysMatter = ({ strays, machines }: Peer, size: number): boolean =>
  machines > 0 && strays > 0 && strays * (size - 1) >= strayQuorum(machines);

/** Whether its machines have left it. */
const left = (peer: Peer, timing: Timing): boolean =>
  peer.machines > 0 && peer.strays > 0 && straysOf(peer, timing) >= strayQuorum(peer.machines);

/** Why there is suspicion, by this controller's own senses; null for none. */
export function suspicious(peer: Peer, cluster: Cluster, timing: Timing): Ground | null {
  if (!peer.present) return null;
  const points = ailing(cluster.own, timing);
  if (!fitToAccuse(points)) return null;
  // Frames may come all the same: it renews and talks, but does not serve.
  if (left(peer, timing)) return "workers";
  if (peer.silentMs < patienceMs(peer, points, timing)) return null;
  return peer.closed ? "closed" : "silent";
}

/**
 * Whether others bear out what this controller senses. Peers that refuse me are no evidence of
 * anything: nobody who still hears the suspect may be among those who answered, and at least one
 * must have answered who does not. Where there is more than one zone, one witness must be outside
 * mine: the suspect's own machines, which come to me, are in its zone.
 */
export function borneOut(
  peer: Peer,
  ground: Ground,
  cluster: Cluster,
  timing: Timing,
): { ok: true; by: string[] } | { ok: false; why: string } {
  const heard = peer.testimonies.filter((one) => one.fit && fresh(one, timing));
  // One who is well says something once a beat. Where both have seen its connection closed, less will do.
  const silent = ({ silentMs, closed }: Testimony): boolean =>
    silentMs >= timing.beatMs * (closed && ground === "closed" ? 0.5 : 1.5);
  const hears = heard.find((one) => !silent(one));
  if (ground !== "workers" && hears !== undefined) {
    return { ok: false, why: `${hears.from} hears it` };
  }
  const agreeing = heard.filter((one) => (ground === "workers" ? one.strays > 0 : silent(one)));
  const zones = new Set([cluster.zone, ...agreeing.map(({ zone }) => zone)]);
  if (peer.strays > 0) zones.add(peer.zone);
  // Machines that followed it, came here and are no faults of this controller's are witnesses enough:
  // they try the controllers in turn, so it may be that they all come to one.
  const machines = ground === "workers" && peer.strays >= strayQuorum(peer.machines);
  if (agreeing.length === 0 && !machines) return { ok: false, why: "nobody else says so" };
  const zonesNeeded = Math.min(2, cluster.zones.length);
  if (zones.size < zonesNeeded) return { ok: false, why: "all witnesses are in one zone" };
  return { ok: true, by: [...agreeing.map(({ from }) => from), ...(machines ? ["machines"] : [])] };
}

/** A standing accusation, as the accuser sees it when it might become a verdict. */
export interface Case {
  peer: Peer;
  ground: Ground;
  ageMs: number;
  /** Members that this controller hears, itself included. */
  well: number;
}

/**
 * How long a suspect has: half when its connections were closed as well, which a process that is
 * there and not well does not do; longer when it has so few machines that proof of service is rare.
 */
export function refuteMs(machines: number, ground: Ground, timing: Timing): number {
  const share = ground === "closed" ? 1 / 2 : 1;
  // Half of its machines have left it already: what is left would be no proof of much.
  const enough = ground === "workers" ? 2 : 4;
  const rare = machines === 0 ? 0 : timing.reportMs * 1.25 * Math.min(1, enough / machines);
  return share * Math.max(timing.refuteMs, rare);
}

/** Whether a case is a verdict now, and if not, why. */
export function verdict(
  { peer, ground, ageMs, well }: Case,
  cluster: Cluster,
  timing: Timing,
): { ok: true; by: string[] } | { ok: false; why: string } {
  const no = (why: string) => ({ ok: false as const, why });
  if (!timing.verdicts) return no("verdicts are switched off");
  if (ailing(cluster.own, timing) > 0) return no("this controller is not well itself");
  if (ageMs < refuteMs(peer.machines, ground, timing)) return no("it still has time to refute");
  // It is likelier that I am the one cut off than that half of all others have failed.
  if (well * 2 <= cluster.size) return no(`only ${well} of ${cluster.size} are heard`);
  const still =
    ground === "workers" ? left(peer, timing) : peer.silentMs >= Math.max(ageMs, timing.closedMs);
  if (!still) return no("it has been heard since");
  return borneOut(peer, ground, cluster, timing);
}
