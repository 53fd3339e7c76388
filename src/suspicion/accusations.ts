import type { Core } from "../extension/index.js";
import { parsePresence } from "../membership/presence.js";
import { keys } from "../state/keys.js";
import {
  type ClusterView,
  decideVerdict,
  type Ground,
  type PeerView,
  type VerdictInput,
} from "./failure-decisions.js";
import type { PeerState } from "./peer-state.js";
import { type Accusation, parseAccusation } from "./records.js";
import type { Timing } from "./settings.js";

interface OpenAccusation {
  name: string;
  version: number;
  accusation: Accusation;
  /** When this controller first saw the accusation. */
  seenAt: number;
}

/** What the failure detector knows of a suspect when a verdict is considered. */
export type CaseEvidence = { peer: PeerView; cluster: ClusterView; reachableControllers: number };

/**
 * Accusations, refutations and verdicts: all of them conditional writes to the store, through which
 * a suspect can answer even when its connections to other controllers fail. An accusation is a key
 * that only one controller can create. The suspect refutes it by removing the key, once it has
 * answered a report after the accusation. A verdict writes the suspect's claims for other
 * controllers, on condition that the accusation still exists, that the suspect's presence record has
 * not changed, and that the claims have their known versions. So a verdict and a refutation exclude
 * each other, whichever is late.
 */
export class Accusations {
  /** By suspect. */
  readonly #open = new Map<string, OpenAccusation>();
  #writing = false;
  readonly counts = { accusations: 0, refuted: 0, verdicts: 0 };

  constructor(
    readonly core: Core,
    readonly timing: Timing,
    readonly peers: ReadonlyMap<string, PeerState>,
    /** Asks the failure detector for a tick soon. */
    readonly requestTick: () => void,
  ) {
    const prefix = keys.accusation("");
    core.mirror.on(prefix, ({ key, version, value, deleted }) => {
      this.#accusationChanged(
        key.slice(prefix.length),
        version,
        deleted ? null : parseAccusation(value),
      );
    });
  }

  /** Whether any accusation exists, a verdict included. */
  get hasOpen(): boolean {
    return this.#open.size > 0;
  }

  /** Whether an accusation against a controller exists, or a recent verdict. */
  isAccused(name: string): boolean {
    return this.#open.has(name);
  }

  /** Accuser and ground of a verdict against a controller; null if there is none. */
  verdictReason(name: string): string | null {
    const entry = this.#open.get(name);
    if (entry === undefined || !entry.accusation.judged) return null;
    return `judged by ${entry.accusation.by}: ${entry.accusation.ground}`;
  }

  #accusationChanged(name: string, version: number, accusation: Accusation | null): void {
    const { clock, log, claims, settings } = this.core;
    const known = this.#open.get(name);
    if (accusation === null) {
      this.#open.delete(name);
      // Refuted, or the accuser's lease has expired: in both cases it is not accused again at once.
      if (known !== undefined && !known.accusation.judged) {
        this.peers.get(name)?.noteRefutation(clock.now());
      }
      return;
    }
    this.#open.set(name, { name, version, accusation, seenAt: known?.seenAt ?? clock.now() });
    this.requestTick();
    const againstThisRun = name === settings.node_name && accusation.run === claims.run;
    if (!againstThisRun) return;
    log.warn(
      { by: accusation.by, ground: accusation.ground, judged: accusation.judged },
      "accused",
    );
    if (accusation.judged) {
      // After a verdict this controller declines parts for a while, even if it seems healthy locally.
      claims
        .relinquish(this.timing.leaseMs * 2, "verdict of other controllers")
        .catch(() => undefined);
    }
  }

  /** Writes an accusation of a suspicion that others have confirmed. */
  accuse({ name }: PeerState, ground: Ground, witnesses: string[]): void {
    const { mirror, claims, settings } = this.core;
    const key = keys.accusation(name);
    const presence = mirror.rows.get(keys.node(name));
    const run = parsePresence(presence?.value)?.run;
    const lease = claims.lease();
    if (presence === undefined || run === undefined || lease === null) return;
    const value: Accusation = { by: settings.node_name, run, ground, witnesses, judged: false };
    this.#runExclusively(async () => {
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

  /**
   * Processes all open accusations: refutes those of this controller, writes verdicts on those it has
   * made, and removes its own ones that no longer apply.
   */
  process(now: number, evidenceFor: (name: string) => CaseEvidence | null): void {
    const nodeName = this.core.settings.node_name;
    for (const entry of this.#open.values()) {
      if (this.#writing) return;
      if (entry.name === nodeName) this.#refuteIfServing(entry);
      else if (entry.accusation.by === nodeName)
        this.#considerVerdict(entry, now, evidenceFor(entry.name));
    }
  }

  /**
   * Refutes an accusation of this controller once service is proved: a report answered since then,
   * under its own token, in each of its parts that has machines.
   */
  #refuteIfServing(entry: OpenAccusation): void {
    const { claims } = this.core;
    if (entry.accusation.run !== claims.run) {
      // It accuses an earlier run of this controller, which has ended.
      this.#remove(entry, "refutation");
      return;
    }
    if (entry.accusation.judged || !claims.valid()) return;
    const serviceProved = claims
      .servedParts()
      .every(({ machines, servedAt }) => machines === 0 || servedAt > entry.seenAt);
    if (serviceProved) this.#remove(entry, "refutation");
  }

  #considerVerdict(entry: OpenAccusation, now: number, evidence: CaseEvidence | null): void {
    const { name, accusation } = entry;
    const presence = this.core.mirror.rows.get(keys.node(name));
    const ageMs = now - entry.seenAt;
    if (presence === undefined || parsePresence(presence.value)?.run !== accusation.run) {
      this.#remove(entry, "over");
      return;
    }
    if (accusation.judged) {
      if (ageMs > this.timing.leaseMs) this.#remove(entry, "over");
      return;
    }
    if (evidence === null) return;
    const { peer, cluster, reachableControllers } = evidence;
    const input: VerdictInput = { peer, ground: accusation.ground, ageMs, reachableControllers };
    const outcome = decideVerdict(input, cluster, this.timing);
    if (!outcome.ok) {
      this.core.log.debug(
        { controller: name, why: outcome.why },
        "no verdict against the accused controller yet",
      );
      return;
    }
    this.#writeVerdict(entry, presence.version, outcome.by);
  }

  #writeVerdict(entry: OpenAccusation, presenceVersion: number, witnesses: string[]): void {
    const { claims, log } = this.core;
    const { name, accusation } = entry;
    const key = keys.accusation(name);
    const lease = claims.lease();
    if (lease === null) return;
    const value: Accusation = { ...accusation, witnesses, judged: true };
    this.#runExclusively(async () => {
      const reassigned = await claims.reassign(
        name,
        accusation.run,
        [
          { key, version: entry.version },
          { key: keys.node(name), version: presenceVersion },
        ],
        [{ put: key, value, lease }],
      );
      if (!reassigned) return;
      this.counts.verdicts++;
      log.warn({ controller: name, ground: accusation.ground, witnesses }, "verdict");
    });
  }

  #remove(entry: OpenAccusation, why: "refutation" | "over"): void {
    const key = keys.accusation(entry.name);
    this.#runExclusively(async () => {
      this.core.store.writes.force(1);
      const result = await this.core.store.transact(
        [{ key, version: entry.version }],
        [{ remove: key }],
      );
      if (!result.ok) return;
      if (why === "refutation") {
        this.counts.refuted++;
        this.core.log.warn({ by: entry.accusation.by }, "accusation refuted");
      }
      this.core.mirror.apply({ key, value: undefined, version: result.revision, deleted: true });
    });
  }

  /** Runs one write at a time. Whether an unanswered write was applied is learned by the watch. */
  #runExclusively(run: () => Promise<void>): void {
    if (this.#writing) return;
    this.#writing = true;
    run()
      .catch((error) =>
        this.core.log.debug(
          { why: String(error) },
          "state service did not confirm the write of an accusation, refutation or verdict",
        ),
      )
      .finally(() => {
        this.#writing = false;
      });
  }
}
