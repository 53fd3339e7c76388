import type { Timer } from "../clock.js";
import type { Attachment, Core } from "../extension/index.js";
import { hash } from "../membership/layout.js";
import { parsePresence } from "../membership/presence.js";
import type { Frame } from "../peer/frames.js";
import { keys } from "../state/keys.js";
import { fencingTokenOf } from "../state/restore-state.js";
import type { ReportPosition } from "../workers/report-classification.js";
import { Court } from "./accusations.js";
import {
  borneOut,
  type Cluster,
  type Peer,
  patienceMs,
  straysMatter,
  suspicious,
} from "./failure-decisions.js";
import { ailing, fitToAccuse, Lateness, type Own } from "./local-health.js";
import { Sensed } from "./peer-state.js";
import type { Timing } from "./settings.js";

/** A silence that is said of somebody who was never heard. */
const LONG_MS = 1e9;

/**
 * Watches the other controllers: takes in what is sensed, asks others about it, and brings it
 * before the court. Owns what it has sensed; everything that counts is a record of the store.
 */
export class FailureDetector {
  readonly #sensed = new Map<string, Sensed>();
  /** The run of each that was seen last. */
  readonly #runs = new Map<string, string>();
  readonly #lateness: Lateness;
  readonly #court: Court;
  readonly #zones: readonly string[];
  readonly #me: string;
  #own: Own = { lateMs: 0, contactMs: 0, valid: false, answers: true };
  #dueAt = 0;
  #timer: Timer | null = null;
  #asked = 0;
  #stopped = false;
  readonly counts = { suspected: 0, frames: 0 };

  constructor(
    readonly core: Core,
    readonly timing: Timing,
    /** Whether another can answer for itself: it has this package. */
    readonly able: (name: string) => boolean,
  ) {
    this.#me = core.settings.node_name;
    for (const { name, zone } of core.layout.members) {
      if (name !== this.#me) this.#sensed.set(name, new Sensed(name, zone, timing));
    }
    this.#zones = [...new Set(core.layout.members.map(({ zone }) => zone))];
    this.#lateness = new Lateness(timing.refuteMs * 2);
    this.#court = new Court(core, timing, this.#sensed, () => this.#soon());
    core.mirror.on(keys.node(""), ({ key, value, deleted }) => {
      const name = key.slice(keys.node("").length);
      const run = deleted ? null : (parsePresence(value)?.run ?? null);
      if (run === null || run === this.#runs.get(name)) return;
      this.#runs.set(name, run);
      this.#sensed.get(name)?.anew(core.clock.now());
    });
  }

  get attachment(): Attachment {
    return {
      start: () => this.#begin(),
      stop: () => {
        this.#stopped = true;
      },
      onFrame: (from, frame) => this.#hear(from, frame),
      onPeerClosed: (from) => {
        const peer = this.#sensed.get(from);
        if (peer !== undefined) peer.closed = true;
        this.#soon();
      },
      onMisroutedReport: (...args) => this.#strayed(...args),
      isSuspected: (name) => this.doubts(name),
      status: () => ({ controllers: this.status() }),
      metrics: () => this.metrics(),
    };
  }

  /** Whether nothing new should be given to another. */
  doubts(name: string): boolean {
    const peer = this.#sensed.get(name);
    return peer !== undefined && (peer.ground !== null || this.#court.accused(name));
  }

  #begin(): void {
    const now = this.core.clock.now();
    this.#dueAt = now;
    for (const peer of this.#sensed.values()) peer.anew(now);
    this.#tick();
  }

  #tick(): void {
    if (this.#stopped) return;
    const { clock, peers } = this.core;
    const now = clock.now();
    this.#lateness.note(now, Math.max(0, now - this.#dueAt));
    this.#own = this.#look(now);
    if (now - peers.sentAt() > this.timing.beatMs * 0.75) {
      this.counts.frames += this.#sensed.size;
      peers.broadcast({ kind: "beat" });
    }
    for (const peer of this.#sensed.values()) this.#consider(peer, now);
    this.#court.sit(now, (name) => this.#caseOf(name, now));
    // On a quiet day one tick a beat, when the next beat is due: four times as many took a tenth
    // more processor time of a controller's whole day. While there is doubt, steps follow by ticks.
    const doubt =
      this.#court.sits ||
      [...this.#sensed.values()].some(({ state, closed }) => closed || state !== "well");
    const quietMs = peers.sentAt() + this.timing.beatMs * 0.9 - now;
    this.#again(doubt ? 0 : quietMs);
  }

  #again(inMs: number): void {
    const { clock } = this.core;
    const everyMs = Math.max(inMs, this.timing.beatMs / 4);
    this.#timer?.cancel();
    this.#dueAt = clock.now() + everyMs;
    this.#timer = clock.after(everyMs, () => this.#tick());
  }

  /** Something has happened that a tick should see soon. */
  #soon(): void {
    if (!this.#stopped && this.#dueAt - this.core.clock.now() > this.timing.beatMs / 4)
      this.#again(0);
  }

  #look(now: number): Own {
    const { claims, staleness } = this.core;
    const patience = this.timing.reportMs * 1.5;
    const answers = claims
      .served()
      .every(({ machines, servedAt }) => machines === 0 || now - servedAt < patience);
    const lateMs = this.#lateness.worst();
    return { lateMs, contactMs: staleness(), valid: claims.valid(), answers };
  }

  #cluster(): Cluster {
    const { layout, settings } = this.core;
    return { zone: settings.site, zones: this.#zones, size: layout.members.length, own: this.#own };
  }

  #peer(sensed: Sensed, now: number): Peer {
    const { mirror, layout, summaries } = this.core;
    const presence = parsePresence(mirror.rows.get(keys.node(sensed.name))?.value);
    let machines = 0;
    for (let part = 0; part < layout.parts; part++) {
      if (this.core.claims.ownerOf(part) !== sensed.name) continue;
      machines += summaries.of(part)?.machines.length ?? 0;
    }
    return {
      name: sensed.name,
      zone: sensed.zone,
      present: presence !== null,
      able: presence !== null && this.able(sensed.name),
      silentMs: now - sensed.heardAt,
      unlikelyMs: sensed.intervals.silence(this.timing.phi),
      closed: sensed.closed,
      machines,
      strays: sensed.strays(now),
      testimonies: sensed.testimonies(now),
    };
  }

  /** What is to be thought of one, whom to ask about it, and whether to accuse it. */
  #consider(sensed: Sensed, now: number): void {
    const { timing } = this;
    // Most of the time, of most of them, nothing but this has to be known.
    const quick = now - sensed.heardAt < timing.beatMs * 1.5 && sensed.strays(now) === 0;
    const accused = this.#court.accused(sensed.name);
    if (quick && !accused && sensed.state === "well") return;
    const peer = this.#peer(sensed, now);
    const cluster = this.#cluster();
    const ground = suspicious(peer, cluster, timing);
    if (ground === null) sensed.groundAt = Number.POSITIVE_INFINITY;
    else sensed.groundAt = Math.min(sensed.groundAt, now);
    sensed.ground = ground;
    this.#enter(sensed, peer, now);
    const points = ailing(this.#own, timing);
    const nearly = peer.silentMs > patienceMs(peer, points, timing) * 0.6;
    const soon = peer.present && (nearly || straysMatter(peer, cluster.size));
    if ((ground !== null || soon || accused) && fitToAccuse(points)) this.#ask(sensed, now);
    if (ground === null || accused || !peer.able || now < sensed.notBefore) return;
    // One speaks for all: the others wait a little for whom everybody would choose.
    if (now - sensed.groundAt < this.#rank(sensed.name, now) * (timing.beatMs / 4)) return;
    const borne = borneOut(peer, ground, cluster, timing);
    if (borne.ok) this.#court.accuse(sensed, ground, borne.by);
  }

  #enter(sensed: Sensed, peer: Peer, now: number): void {
    const { timing } = this;
    const judged = this.#court.judged(sensed.name);
    const slowMs = Math.max(timing.beatMs * 2, timing.silenceMs / 2);
    const news = ((): boolean => {
      if (judged) return sensed.enter("failed", judged, now);
      if (sensed.ground !== null) {
        const why =
          sensed.ground === "workers"
            ? `${peer.strays} of ${peer.machines} machines came from it`
            : `${sensed.ground}, nothing heard for ${Math.round(peer.silentMs)} ms`;
        return sensed.enter("suspected", why, now);
      }
      if (!peer.present) return sensed.enter("absent", "its lease has ended", now);
      if (now - sensed.refutedAt < timing.leaseMs) {
        return sensed.enter("refuted", "it proved that it serves", now);
      }
      if (peer.silentMs > slowMs) {
        return sensed.enter("slow", `nothing heard for ${Math.round(peer.silentMs)} ms`, now);
      }
      return sensed.enter("well", "", now);
    })();
    if (!news) return;
    const { name, state, why } = sensed;
    if (state === "suspected") this.counts.suspected++;
    const level = state === "suspected" || state === "failed" ? "warn" : "debug";
    this.core.log[level]({ controller: name, state, why }, "controller judged");
  }

  /** The place of this controller among those who would accuse another, the same for everybody. */
  #rank(name: string, now: number): number {
    const mine = hash(`${name}/${this.#me}`);
    let rank = 0;
    for (const other of this.#sensed.values()) {
      if (other.name === name || now - other.heardAt > this.timing.silenceMs) continue;
      if (hash(`${name}/${other.name}`) < mine) rank++;
    }
    return rank;
  }

  /** Asks two others, in the suspect's zone first, others each time. */
  #ask(sensed: Sensed, now: number): void {
    const { name, zone } = sensed;
    // What nobody has borne out for long is asked about less and less often.
    const lasting = Math.max(0, now - sensed.groundAt);
    const every = Number.isFinite(lasting) ? lasting / 8 : 0;
    if (now - sensed.askedAt < Math.max(every, this.timing.beatMs / 4)) return;
    sensed.askedAt = now;
    const others = [...this.#sensed.values()].filter((other) => other.name !== name);
    if (others.length === 0) return;
    const there = others.filter((other) => other.zone === zone);
    const elsewhere = others.filter((other) => other.zone !== zone);
    const n = this.#asked++;
    const chosen = new Set(
      [there, elsewhere, others].flatMap((list) => list[n % Math.max(1, list.length)] ?? []),
    );
    for (const other of [...chosen].slice(0, 3)) {
      this.counts.frames++;
      this.core.peers.send(other.name, { kind: "ask", about: name });
    }
  }

  #hear(from: string, frame: Frame): void {
    const peer = this.#sensed.get(from);
    if (peer === undefined) return;
    const now = this.core.clock.now();
    peer.heard(now);
    if (frame.kind === "ask") {
      const about = this.#sensed.get(frame.about);
      if (about === undefined) return;
      const fit =
        fitToAccuse(ailing(this.#own, this.timing)) && now - this.#dueAt < this.timing.beatMs;
      const silentMs = Math.min(LONG_MS, now - about.heardAt);
      const { closed } = about;
      const say: Frame = {
        kind: "say",
        about: about.name,
        silentMs,
        closed,
        strays: about.strays(now),
        fit,
      };
      this.counts.frames++;
      this.core.peers.send(from, say);
    } else if (frame.kind === "say") {
      const { silentMs, closed, strays, fit } = frame;
      const said = { zone: peer.zone, silentMs, closed, strays, fit, at: now };
      this.#sensed.get(frame.about)?.said(from, said);
    }
  }

  /** A machine that had followed the owner of a part, under its present claim, came here. */
  #strayed(part: number, machine: string, token: number, mark: ReportPosition): void {
    const { mirror, claims, clock } = this.core;
    const owner = claims.ownerOf(part);
    const claim = mirror.rows.get(keys.claim(part));
    if (owner === null || claim === undefined || token !== fencingTokenOf(mirror, claim.version))
      return;
    this.#sensed.get(owner)?.strayed(machine, mark, clock.now());
  }

  #caseOf(name: string, now: number) {
    const sensed = this.#sensed.get(name);
    if (sensed === undefined) return null;
    let well = 1;
    for (const other of this.#sensed.values()) {
      if (other.name !== name && now - other.heardAt < this.timing.silenceMs) well++;
    }
    return { peer: this.#peer(sensed, now), cluster: this.#cluster(), well };
  }

  status(): object[] {
    const now = this.core.clock.now();
    return [...this.#sensed.values()].map((sensed) => {
      const { name, zone, state, why, since, refutals } = sensed;
      const silentMs = Number.isFinite(sensed.heardAt) ? Math.round(now - sensed.heardAt) : null;
      return { name, zone, state, why, forMs: Math.round(now - since), silentMs, refutals };
    });
  }

  metrics(): string {
    const lines = [
      "# HELP birchdale_controller_state Another controller as this one sees it (1: is in that state)",
      "# TYPE birchdale_controller_state gauge",
    ];
    for (const { name, state } of this.#sensed.values()) {
      lines.push(`birchdale_controller_state{controller="${name}",state="${state}"} 1`);
    }
    const { suspected, frames } = this.counts;
    const { accusations, refuted, verdicts } = this.#court.counts;
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
