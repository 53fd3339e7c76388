import type { Core } from "../extension/index.js";
import { parsePresence } from "../membership/presence.js";
import { keys } from "../state/keys.js";
import { type Case, type Cluster, type Ground, type Peer, verdict } from "./failure-decisions.js";
import type { Sensed } from "./peer-state.js";
import { type Accusation, parseAccusation } from "./records.js";
import type { Timing } from "./settings.js";

interface Standing {
  name: string;
  version: number;
  accusation: Accusation;
  /** When this controller heard of it. */
  at: number;
}

/** What the failure detector knows of a suspect. */
export type Hearing = { peer: Peer; cluster: Cluster; well: number };

/**
 * Accusations, refutations and verdicts: all of them conditional writes of the store, the one place
 * that a suspect can be heard by whoever its other connections fail with. An accusation is a key
 * that only one may create; the suspect refutes by removing it, after a report that it has answered
 * since; a verdict writes the suspect's claims for its successors, on condition that the accusation
 * is still there, that the suspect's presence is the same, and of the claims' versions. So a
 * verdict and a refutation exclude each other, whoever is late.
 */
export class Court {
  /** By suspect. */
  readonly #standing = new Map<string, Standing>();
  #busy = false;
  readonly counts = { accusations: 0, refuted: 0, verdicts: 0 };

  constructor(
    readonly core: Core,
    readonly timing: Timing,
    readonly sensed: ReadonlyMap<string, Sensed>,
    /** Something has come up that should not wait for long. */
    readonly soon: () => void,
  ) {
    const prefix = keys.accusation("");
    core.mirror.on(prefix, ({ key, version, value, deleted }) => {
      this.#heard(key.slice(prefix.length), version, deleted ? null : parseAccusation(value));
    });
  }

  /** Whether there is anything before it. */
  get sits(): boolean {
    return this.#standing.size > 0;
  }

  /** Whether an accusation stands, or a verdict was spoken of late. */
  accused(name: string): boolean {
    return this.#standing.has(name);
  }

  /** By whom it was judged, and for what; null when it was not. */
  judged(name: string): string | null {
    const one = this.#standing.get(name);
    if (one === undefined || !one.accusation.judged) return null;
    return `judged by ${one.accusation.by}: ${one.accusation.ground}`;
  }

  #heard(name: string, version: number, accusation: Accusation | null): void {
    const { clock, log, claims, settings } = this.core;
    const known = this.#standing.get(name);
    if (accusation === null) {
      this.#standing.delete(name);
      // Its accuser ended as well, or it was refuted: in both cases it is not accused at once again.
      if (known !== undefined && !known.accusation.judged) {
        this.sensed.get(name)?.refuted(clock.now());
      }
      return;
    }
    this.#standing.set(name, { name, version, accusation, at: known?.at ?? clock.now() });
    this.soon();
    const mine = name === settings.node_name && accusation.run === claims.run;
    if (!mine) return;
    log.warn(
      { by: accusation.by, ground: accusation.ground, judged: accusation.judged },
      "accused",
    );
    if (accusation.judged) {
      // The others say that we do not serve: they are believed for a while, whatever it seems like here.
      claims.relinquish(this.timing.leaseMs * 2, "judged by others").catch(() => undefined);
    }
  }

  /** Brings a suspicion that others bear out before all. */
  accuse({ name }: Sensed, ground: Ground, witnesses: string[]): void {
    const { mirror, claims, settings } = this.core;
    const key = keys.accusation(name);
    const presence = mirror.rows.get(keys.node(name));
    const run = parsePresence(presence?.value)?.run;
    const lease = claims.lease();
    if (presence === undefined || run === undefined || lease === null) return;
    const value: Accusation = { by: settings.node_name, run, ground, witnesses, judged: false };
    this.#once(async () => {
      this.core.store.writes.force(1);
      const result = await this.core.store.transact(
        [
          { key, version: 0 },
          { key: keys.node(name), version: presence.version },
        ],
        [{ put: key, value, lease }],
      );
      if (!result.ok) return;
      this.counts.accusations++;
      this.core.log.warn({ controller: name, ground, witnesses }, "controller accused");
      mirror.apply({ key, value, version: result.revision, deleted: false });
    });
  }

  /** Looks at what stands: refutes, judges, or takes back what is settled. */
  sit(now: number, hear: (name: string) => Hearing | null): void {
    const me = this.core.settings.node_name;
    for (const one of this.#standing.values()) {
      if (this.#busy) return;
      if (one.name === me) this.#answer(one);
      else if (one.accusation.by === me) this.#decide(one, now, hear(one.name));
    }
  }

  /** A refutation is proof of service: a report of each part answered since, under its own token. */
  #answer(one: Standing): void {
    const { claims } = this.core;
    if (one.accusation.run !== claims.run) {
      // About an earlier run of this controller, which has ended.
      this.#remove(one, "refutation");
      return;
    }
    if (one.accusation.judged || !claims.valid()) return;
    const proved = claims
      .served()
      .every(({ machines, servedAt }) => machines === 0 || servedAt > one.at);
    if (proved) this.#remove(one, "refutation");
  }

  #decide(one: Standing, now: number, hearing: Hearing | null): void {
    const { name, accusation } = one;
    const presence = this.core.mirror.rows.get(keys.node(name));
    const ageMs = now - one.at;
    if (presence === undefined || parsePresence(presence.value)?.run !== accusation.run) {
      this.#remove(one, "over");
      return;
    }
    if (accusation.judged) {
      if (ageMs > this.timing.leaseMs) this.#remove(one, "over");
      return;
    }
    if (hearing === null) return;
    const { peer, cluster, well } = hearing;
    const found: Case = { peer, ground: accusation.ground, ageMs, well };
    const outcome = verdict(found, cluster, this.timing);
    if (!outcome.ok) {
      this.core.log.debug({ controller: name, why: outcome.why }, "no verdict");
      return;
    }
    this.#judge(one, presence.version, outcome.by);
  }

  #judge(one: Standing, presence: number, witnesses: string[]): void {
    const { claims, log } = this.core;
    const { name, accusation } = one;
    const key = keys.accusation(name);
    const lease = claims.lease();
    if (lease === null) return;
    const value: Accusation = { ...accusation, witnesses, judged: true };
    this.#once(async () => {
      const done = await claims.reassign(
        name,
        accusation.run,
        [
          { key, version: one.version },
          { key: keys.node(name), version: presence },
        ],
        [{ put: key, value, lease }],
      );
      if (!done) return;
      this.counts.verdicts++;
      log.warn({ controller: name, ground: accusation.ground, witnesses }, "verdict");
    });
  }

  #remove(one: Standing, why: "refutation" | "over"): void {
    const key = keys.accusation(one.name);
    this.#once(async () => {
      this.core.store.writes.force(1);
      const result = await this.core.store.transact(
        [{ key, version: one.version }],
        [{ remove: key }],
      );
      if (!result.ok) return;
      if (why === "refutation") {
        this.counts.refuted++;
        this.core.log.warn({ by: one.accusation.by }, "accusation refuted");
      }
      this.core.mirror.apply({ key, value: undefined, version: result.revision, deleted: true });
    });
  }

  /** One write at a time; what became of one that was not answered shows in the watched keys. */
  #once(run: () => Promise<void>): void {
    if (this.#busy) return;
    this.#busy = true;
    run()
      .catch((error) => this.core.log.debug({ why: String(error) }, "court"))
      .finally(() => {
        this.#busy = false;
      });
  }
}
