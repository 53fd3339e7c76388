import type { Timer } from "../clock.js";
import type { Attachment, Core } from "../extension/index.js";
import { hash } from "../membership/layout.js";
import { parsePresence } from "../membership/presence.js";
import type { Frame } from "../peer/frames.js";
import { keys } from "../state/keys.js";
import { fencingTokenOf } from "../state/restore-state.js";
import type { ReportPosition } from "../workers/report-classification.js";
import { Accusations } from "./accusations.js";
import {
  type ClusterView,
  corroboration,
  misroutedMayReachQuorum,
  type PeerView,
  silenceTimeoutMs,
  suspicionGround,
} from "./failure-decisions.js";
import { canAccuse, type LocalHealth, localHealthScore, WorstTimerDelay } from "./local-health.js";
import { PeerState } from "./peer-state.js";
import type { Timing } from "./settings.js";

/** Silence that is reported of a controller that was never heard. */
const NEVER_HEARD_SILENCE_MS = 1e9;

/**
 * Watches the other controllers: collects observations of them, asks other controllers about
 * suspects, and writes accusations (`Accusations`). The observations are kept only in memory; every
 * decision that takes effect is a record in the store.
 */
export class FailureDetector {
  readonly #peers = new Map<string, PeerState>();
  /** By controller, the run that its presence record last showed. */
  readonly #lastRuns = new Map<string, string>();
  readonly #timerDelay: WorstTimerDelay;
  readonly #accusations: Accusations;
  readonly #zones: readonly string[];
  readonly #nodeName: string;
  #localHealth: LocalHealth = {
    timerDelayMs: 0,
    storeContactAgeMs: 0,
    leaseValid: false,
    answersReports: true,
  };
  #nextTickAt = 0;
  #timer: Timer | null = null;
  #queryCount = 0;
  #stopped = false;
  readonly counts = { suspected: 0, frames: 0 };

  constructor(
    readonly core: Core,
    readonly timing: Timing,
    /** Whether another controller has this package, so that it can refute an accusation. */
    readonly hasPackage: (name: string) => boolean,
  ) {
    this.#nodeName = core.settings.node_name;
    for (const { name, zone } of core.layout.members) {
      if (name !== this.#nodeName) this.#peers.set(name, new PeerState(name, zone, timing));
    }
    this.#zones = [...new Set(core.layout.members.map(({ zone }) => zone))];
    this.#timerDelay = new WorstTimerDelay(timing.minRefutationMs * 2);
    this.#accusations = new Accusations(core, timing, this.#peers, () => this.#tickSoon());
    core.mirror.on(keys.node(""), ({ key, value, deleted }) => {
      const name = key.slice(keys.node("").length);
      const run = deleted ? null : (parsePresence(value)?.run ?? null);
      if (run === null || run === this.#lastRuns.get(name)) return;
      this.#lastRuns.set(name, run);
      this.#peers.get(name)?.resetForNewRun(core.clock.now());
    });
  }

  get attachment(): Attachment {
    return {
      start: () => this.#start(),
      stop: () => {
        this.#stopped = true;
      },
      onFrame: (from, frame) => this.#receive(from, frame),
      onPeerClosed: (from) => {
        const peer = this.#peers.get(from);
        if (peer !== undefined) peer.closed = true;
        this.#tickSoon();
      },
      onMisroutedReport: (...args) => this.#receiveMisroutedReport(...args),
      isSuspected: (name) => this.isSuspected(name),
      status: () => ({ controllers: this.status() }),
      metrics: () => this.metrics(),
    };
  }

  /** Whether a controller is suspected or accused, so that it is given nothing new. */
  isSuspected(name: string): boolean {
    const peer = this.#peers.get(name);
    return peer !== undefined && (peer.ground !== null || this.#accusations.isAccused(name));
  }

  #start(): void {
    const now = this.core.clock.now();
    this.#nextTickAt = now;
    for (const peer of this.#peers.values()) peer.resetForNewRun(now);
    this.#tick();
  }

  #tick(): void {
    if (this.#stopped) return;
    const { clock, peers } = this.core;
    const now = clock.now();
    this.#timerDelay.record(now, Math.max(0, now - this.#nextTickAt));
    this.#localHealth = this.#measureLocalHealth(now);
    if (now - peers.sentAt() > this.timing.heartbeatMs * 0.75) {
      this.counts.frames += this.#peers.size;
      peers.broadcast({ kind: "beat" });
    }
    for (const peer of this.#peers.values()) this.#evaluate(peer, now);
    this.#accusations.process(now, (name) => this.#evidenceFor(name, now));
    // Without any suspicion, one tick per heartbeat interval, when the next heartbeat is due: four
    // times as many took a tenth more of a controller's processor time over a whole day. While there
    // is suspicion, ticks follow each other four times as fast.
    const anySuspicion =
      this.#accusations.hasOpen ||
      [...this.#peers.values()].some(({ status: state, closed }) => closed || state !== "well");
    const untilHeartbeatMs = peers.sentAt() + this.timing.heartbeatMs * 0.9 - now;
    this.#scheduleTick(anySuspicion ? 0 : untilHeartbeatMs);
  }

  #scheduleTick(delayMs: number): void {
    const { clock } = this.core;
    const tickMs = Math.max(delayMs, this.timing.heartbeatMs / 4);
    this.#timer?.cancel();
    this.#nextTickAt = clock.now() + tickMs;
    this.#timer = clock.after(tickMs, () => this.#tick());
  }

  /** Moves the next tick forward after an event that should be processed soon. */
  #tickSoon(): void {
    if (!this.#stopped && this.#nextTickAt - this.core.clock.now() > this.timing.heartbeatMs / 4)
      this.#scheduleTick(0);
  }

  #measureLocalHealth(now: number): LocalHealth {
    const { claims, staleness } = this.core;
    const maxAgeMs = this.timing.reportIntervalMs * 1.5;
    const answers = claims
      .servedParts()
      .every(({ machines, servedAt }) => machines === 0 || now - servedAt < maxAgeMs);
    const lateMs = this.#timerDelay.worst();
    return {
      timerDelayMs: lateMs,
      storeContactAgeMs: staleness(),
      leaseValid: claims.valid(),
      answersReports: answers,
    };
  }

  #clusterView(): ClusterView {
    const { layout, settings } = this.core;
    return {
      zone: settings.site,
      zones: this.#zones,
      size: layout.members.length,
      localHealth: this.#localHealth,
    };
  }

  #peerView(peerState: PeerState, now: number): PeerView {
    const { mirror, layout, summaries } = this.core;
    const presence = parsePresence(mirror.rows.get(keys.node(peerState.name))?.value);
    let machines = 0;
    for (let part = 0; part < layout.parts; part++) {
      if (this.core.claims.ownerOf(part) !== peerState.name) continue;
      machines += summaries.of(part)?.machines.length ?? 0;
    }
    return {
      name: peerState.name,
      zone: peerState.zone,
      present: presence !== null,
      canRefute: presence !== null && this.hasPackage(peerState.name),
      silentMs: now - peerState.lastFrameAt,
      unlikelySilenceMs: peerState.intervals.silenceForPhi(this.timing.phi),
      closed: peerState.closed,
      machines,
      misroutedMachines: peerState.misroutedMachines(now),
      observations: peerState.observations(now),
    };
  }

  /** Updates the status of a controller, asks others about it if needed, and accuses it if confirmed. */
  #evaluate(peerState: PeerState, now: number): void {
    const { timing } = this;
    // The usual case, checked cheaply: heard recently, and no machine has left it.
    const seemsHealthy =
      now - peerState.lastFrameAt < timing.heartbeatMs * 1.5 &&
      peerState.misroutedMachines(now) === 0;
    const accused = this.#accusations.isAccused(peerState.name);
    if (seemsHealthy && !accused && peerState.status === "well") return;
    const peer = this.#peerView(peerState, now);
    const cluster = this.#clusterView();
    const ground = suspicionGround(peer, cluster, timing);
    if (ground === null) peerState.groundSince = Number.POSITIVE_INFINITY;
    else peerState.groundSince = Math.min(peerState.groundSince, now);
    peerState.ground = ground;
    this.#updateStatus(peerState, peer, now);
    const healthScore = localHealthScore(this.#localHealth, timing);
    const nearTimeout = peer.silentMs > silenceTimeoutMs(peer, healthScore, timing) * 0.6;
    const mayBecomeSuspect =
      peer.present && (nearTimeout || misroutedMayReachQuorum(peer, cluster.size));
    if ((ground !== null || mayBecomeSuspect || accused) && canAccuse(healthScore))
      this.#queryOthers(peerState, now);
    if (ground === null || accused || !peer.canRefute || now < peerState.accusableFrom) return;
    // One accuser is enough: each controller waits according to its rank, the same on all controllers.
    if (
      now - peerState.groundSince <
      this.#accuserRank(peerState.name, now) * (timing.heartbeatMs / 4)
    )
      return;
    const confirmation = corroboration(peer, ground, cluster, timing);
    if (confirmation.ok) this.#accusations.accuse(peerState, ground, confirmation.by);
  }

  #updateStatus(peerState: PeerState, peer: PeerView, now: number): void {
    const { timing } = this;
    const verdictReason = this.#accusations.verdictReason(peerState.name);
    const slowMs = Math.max(timing.heartbeatMs * 2, timing.minSilenceMs / 2);
    const changed = ((): boolean => {
      if (verdictReason) return peerState.transitionTo("failed", verdictReason, now);
      if (peerState.ground !== null) {
        const why =
          peerState.ground === "workers"
            ? `${peer.misroutedMachines} of ${peer.machines} machines came from it`
            : `${peerState.ground}, nothing heard for ${Math.round(peer.silentMs)} ms`;
        return peerState.transitionTo("suspected", why, now);
      }
      if (!peer.present) return peerState.transitionTo("absent", "its lease has ended", now);
      if (now - peerState.refutedAt < timing.leaseMs) {
        return peerState.transitionTo("refuted", "it proved that it serves", now);
      }
      if (peer.silentMs > slowMs) {
        return peerState.transitionTo(
          "slow",
          `nothing heard for ${Math.round(peer.silentMs)} ms`,
          now,
        );
      }
      return peerState.transitionTo("well", "", now);
    })();
    if (!changed) return;
    const { name, status: state, why } = peerState;
    if (state === "suspected") this.counts.suspected++;
    const level = state === "suspected" || state === "failed" ? "warn" : "debug";
    this.core.log[level]({ controller: name, state, why }, "controller judged");
  }

  /** Rank of this controller among the possible accusers of another, by a hash known to all. */
  #accuserRank(name: string, now: number): number {
    const ownHash = hash(`${name}/${this.#nodeName}`);
    let rank = 0;
    for (const other of this.#peers.values()) {
      if (other.name === name || now - other.lastFrameAt > this.timing.minSilenceMs) continue;
      if (hash(`${name}/${other.name}`) < ownHash) rank++;
    }
    return rank;
  }

  /** Asks up to three others in turn: one in the suspect's zone, one in another zone, and any other. */
  #queryOthers(peerState: PeerState, now: number): void {
    const { name, zone } = peerState;
    // The longer a suspicion has not been confirmed, the less often others are asked about it.
    const suspectedMs = Math.max(0, now - peerState.groundSince);
    const intervalMs = Number.isFinite(suspectedMs) ? suspectedMs / 8 : 0;
    if (now - peerState.lastQueryAt < Math.max(intervalMs, this.timing.heartbeatMs / 4)) return;
    peerState.lastQueryAt = now;
    const others = [...this.#peers.values()].filter((other) => other.name !== name);
    if (others.length === 0) return;
    const sameZone = others.filter((other) => other.zone === zone);
    const otherZones = others.filter((other) => other.zone !== zone);
    const turn = this.#queryCount++;
    const chosen = new Set(
      [sameZone, otherZones, others].flatMap((list) => list[turn % Math.max(1, list.length)] ?? []),
    );
    for (const other of [...chosen].slice(0, 3)) {
      this.counts.frames++;
      this.core.peers.send(other.name, { kind: "ask", about: name });
    }
  }

  #receive(from: string, frame: Frame): void {
    const peer = this.#peers.get(from);
    if (peer === undefined) return;
    const now = this.core.clock.now();
    peer.noteFrame(now);
    if (frame.kind === "ask") {
      const about = this.#peers.get(frame.about);
      if (about === undefined) return;
      const fit =
        canAccuse(localHealthScore(this.#localHealth, this.timing)) &&
        now - this.#nextTickAt < this.timing.heartbeatMs;
      const silentMs = Math.min(NEVER_HEARD_SILENCE_MS, now - about.lastFrameAt);
      const { closed } = about;
      const answer: Frame = {
        kind: "say",
        about: about.name,
        silentMs,
        closed,
        strays: about.misroutedMachines(now),
        fit,
      };
      this.counts.frames++;
      this.core.peers.send(from, answer);
    } else if (frame.kind === "say") {
      const { silentMs, closed, strays: misroutedMachines, fit: witnessHealthy } = frame;
      const observation = {
        zone: peer.zone,
        silentMs,
        closed,
        misroutedMachines,
        witnessHealthy,
        at: now,
      };
      this.#peers.get(frame.about)?.recordObservation(from, observation);
    }
  }

  /** A machine that had the token of the owner of a part, for its current claim, reported here. */
  #receiveMisroutedReport(
    part: number,
    machine: string,
    token: number,
    position: ReportPosition,
  ): void {
    const { mirror, claims, clock } = this.core;
    const owner = claims.ownerOf(part);
    const claim = mirror.rows.get(keys.claim(part));
    if (owner === null || claim === undefined || token !== fencingTokenOf(mirror, claim.version))
      return;
    this.#peers.get(owner)?.noteMisroutedReport(machine, position, clock.now());
  }

  #evidenceFor(name: string, now: number) {
    const peerState = this.#peers.get(name);
    if (peerState === undefined) return null;
    let reachableControllers = 1;
    for (const other of this.#peers.values()) {
      if (other.name !== name && now - other.lastFrameAt < this.timing.minSilenceMs)
        reachableControllers++;
    }
    return {
      peer: this.#peerView(peerState, now),
      cluster: this.#clusterView(),
      reachableControllers,
    };
  }

  status(): object[] {
    const now = this.core.clock.now();
    return [...this.#peers.values()].map((peerState) => {
      const { name, zone, status: state, why, since, refutationCount: refutals } = peerState;
      const silentMs = Number.isFinite(peerState.lastFrameAt)
        ? Math.round(now - peerState.lastFrameAt)
        : null;
      return { name, zone, state, why, forMs: Math.round(now - since), silentMs, refutals };
    });
  }

  metrics(): string {
    const lines = [
      "# HELP birchdale_controller_state Another controller as this one sees it (1: is in that state)",
      "# TYPE birchdale_controller_state gauge",
    ];
    for (const { name, status: state } of this.#peers.values()) {
      lines.push(`birchdale_controller_state{controller="${name}",state="${state}"} 1`);
    }
    const { suspected, frames } = this.counts;
    const { accusations, refuted, verdicts } = this.#accusations.counts;
    const counters: [name: string, help: string, value: number][] = [
      ["suspicions", "Times that another controller became suspected here", suspected],
      ["accusations", "Accusations that this controller has written", accusations],
      ["refutations", "Accusations of itself that this controller has refuted", refuted],
      ["verdicts", "Verdicts that this controller has written", verdicts],
      ["suspicion_frames", "Frames sent to watch the others", frames],
    ];
    for (const [name, help, value] of counters) {
      lines.push(
        `# HELP birchdale_${name}_total ${help}`,
        `# TYPE birchdale_${name}_total counter`,
      );
      lines.push(`birchdale_${name}_total ${value}`);
    }
    return `${lines.join("\n")}\n`;
  }
}
