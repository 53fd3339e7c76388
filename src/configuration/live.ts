/** Follows the revisions in the watched keys, and publishes which one this controller uses. */
import type { Clock } from "../clock.js";
import type { Log } from "../log.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Condition, Store } from "../state/store.js";
import {
  type BaseConfiguration,
  configurationProblem,
  differences,
  type EffectiveConfiguration,
  effectiveConfiguration,
} from "./effective.js";
import {
  type Decision,
  type Head,
  isDecision,
  isHead,
  isOverrides,
  joinPieces,
  NO_OVERRIDES,
  type Overrides,
  type Piece,
} from "./records.js";

/** Most lines of a change that are logged. */
const MAX_LOGGED_CHANGES = 20;

/** The configuration on which a part's decisions are based. */
export interface ConfigurationInForce {
  /** Current limits; each revision creates a new map. */
  readonly limits: EffectiveConfiguration["limits"];
  /** Condition for commits that place tasks or change slices: the revision in use is the newest. */
  condition(): Condition;
  /** Whether any revision has been made. */
  readonly hasRevision: boolean;
  /**
   * False while there is a newer revision that this controller cannot use: no use may grow then.
   */
  readonly isCurrent: boolean;
}

export interface LiveOptions {
  base: BaseConfiguration;
  mirror: Mirror;
  store: Store;
  clock: Clock;
  log: Log;
  node: string;
  run: string;
  /** This controller's lease; the published decision is attached to it. */
  lease(): number | string | null;
  /** How long a head's pieces may be missing before the revision is refused. */
  missingPiecesTimeoutMs: number;
  /** Interval at which the head and the published decision are checked. */
  publishIntervalMs: number;
  /** Called when a revision comes into force. */
  onChange(effective: EffectiveConfiguration): void;
}

export class LiveConfiguration implements ConfigurationInForce {
  #effective: EffectiveConfiguration;
  #overrides: Overrides = NO_OVERRIDES;
  /** Version of the head record that is in force or was refused; 0: none yet. */
  #headVersion = 0;
  #refusedRevision: number | null = null;
  #missingSince: number | null = null;
  #head: Head | null = null;
  #publishing = false;
  #stopped = false;

  constructor(readonly options: LiveOptions) {
    this.#effective = effectiveConfiguration(options.base, NO_OVERRIDES, 0);
    // Pieces are written before their head, but a listing may return them in any order.
    options.mirror.on(keys.configuration(""), () => this.#update());
  }

  get effective(): EffectiveConfiguration {
    return this.#effective;
  }

  get overrides(): Overrides {
    return this.#overrides;
  }

  /** The head of the newest known revision; null: none was made. */
  get head(): Head | null {
    return this.#head;
  }

  get limits(): EffectiveConfiguration["limits"] {
    return this.#effective.limits;
  }

  get hasRevision(): boolean {
    return this.#headVersion > 0;
  }

  get isCurrent(): boolean {
    return this.#refusedRevision === null;
  }

  condition(): Condition {
    return { key: keys.configurationHead, version: this.#headVersion };
  }

  start(): void {
    const { clock, publishIntervalMs: sayMs } = this.options;
    const tick = (): void => {
      if (this.#stopped) return;
      this.#update();
      void this.#publishDecision();
      clock.after(sayMs, tick);
    };
    clock.after(sayMs, tick);
    void this.options.mirror.waitForRevision(0).then(() => this.#update());
  }

  stop(): void {
    this.#stopped = true;
  }

  #update(): void {
    const { mirror, clock, missingPiecesTimeoutMs: patienceMs } = this.options;
    // During a listing, slices in memory may be older than a revision already read.
    if (!mirror.ready) return;
    const row = mirror.rows.get(keys.configurationHead);
    if (row === undefined || row.version === this.#headVersion) return;
    if (!isHead(row.value)) {
      this.#refuse(row.version, null, "the head record is not readable");
      return;
    }
    this.#head = row.value;
    const overrides = this.#readOverrides(row.value);
    if (overrides === "missing") {
      // Until the pieces arrive, commits keep the old condition, which the store refuses: nothing
      // is placed.
      this.#missingSince ??= clock.now();
      if (clock.now() - this.#missingSince < patienceMs) return;
      this.#refuse(row.version, row.value, "pieces of the revision are missing");
      return;
    }
    if (overrides === "unreadable") {
      this.#refuse(row.version, row.value, "pieces of the revision are not readable");
      return;
    }
    const fault = configurationProblem(this.options.base, overrides);
    if (fault !== null) this.#refuse(row.version, row.value, fault.reason);
    else this.#activate(row.version, row.value, overrides);
  }

  #readOverrides({ id, pieces }: Head): Overrides | "missing" | "unreadable" {
    const found: Piece[] = [];
    for (let number = 0; number < pieces; number++) {
      const row = this.options.mirror.rows.get(keys.configurationPiece(id, number));
      if (row === undefined) return "missing";
      if (!isOverrides(row.value)) return "unreadable";
      found.push(row.value);
    }
    return joinPieces(found);
  }

  #activate(stamp: number, head: Head, overrides: Overrides): void {
    const { base, log, onChange: changed } = this.options;
    const before = this.#effective;
    this.#effective = effectiveConfiguration(base, overrides, head.revision);
    this.#overrides = overrides;
    this.#headVersion = stamp;
    this.#refusedRevision = null;
    this.#missingSince = null;
    const { revision, by, why } = head;
    const changes = differences(before, this.#effective);
    log.info(
      { revision, by, why, changes: changes.slice(0, MAX_LOGGED_CHANGES), all: changes.length },
      "configuration in force",
    );
    changed(this.#effective);
  }

  /** Refuses a revision: this controller keeps the former configuration, and no use may grow. */
  #refuse(stamp: number, head: Head | null, why: string): void {
    this.#headVersion = stamp;
    this.#refusedRevision = head?.revision ?? this.#effective.revision + 1;
    this.#missingSince = null;
    this.options.log.error({ revision: this.#refusedRevision, why }, "configuration refused");
  }

  get #decision(): Decision {
    const { revision } = this.#effective;
    const refused = this.#refusedRevision;
    return { run: this.options.run, revision, ...(refused === null ? {} : { refused }) };
  }

  /** Publishes which revision this controller uses, once a revision has been made. */
  async #publishDecision(): Promise<void> {
    const { mirror, store, node, lease: leaseOf, log } = this.options;
    const lease = leaseOf();
    if (this.#publishing || lease === null || !mirror.ready || this.#headVersion === 0) return;
    const key = keys.decision(node);
    const value = this.#decision;
    const published = mirror.rows.get(key)?.value;
    if (isDecision(published) && JSON.stringify(published) === JSON.stringify(value)) return;
    // May overdraw the rate limiter, ahead of placement, so that a revision is soon known to be in
    // force; only one such write is in flight at a time.
    if (store.writes.level <= -store.writes.burst) return;
    store.writes.force(1);
    this.#publishing = true;
    try {
      const { revision } = await store.transact([], [{ put: key, value, lease }]);
      mirror.apply({ key, value, version: revision, deleted: false });
    } catch (error) {
      log.debug({ why: String(error) }, "could not publish the revision in use; will be retried");
    } finally {
      this.#publishing = false;
    }
  }
}
