/** Follows the revisions in the watched keys, and says which one this controller decides by. */
import type { Clock } from "../clock.js";
import type { Log } from "../log.js";
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import type { Condition, Store } from "../state/store.js";
import {
  type BaseConfiguration,
  differences,
  type EffectiveConfiguration,
  effectiveOf,
  faultOf,
} from "./effective.js";
import {
  type Decision,
  type Head,
  isDecision,
  isHead,
  isOverrides,
  join,
  NO_OVERRIDES,
  type Overrides,
  type Piece,
} from "./records.js";

/** Lines of a change that are logged. */
const LOGGED = 20;

/** What decisions of an owner depend on. */
export interface DecidingBy {
  /** Current limits; a new map with each revision. */
  readonly limits: EffectiveConfiguration["limits"];
  /** What a commit that places tasks or changes slices depends on: the revision decided by. */
  condition(): Condition;
  /** Whether there has been a revision at all. */
  readonly revised: boolean;
  /** False while there is a newer revision that this controller cannot use: nothing grows then. */
  readonly current: boolean;
}

export interface LiveOptions {
  base: BaseConfiguration;
  mirror: Mirror;
  store: Store;
  clock: Clock;
  log: Log;
  node: string;
  run: string;
  /** Of this controller; what it says of itself ends with it. */
  lease(): number | string | null;
  /** Milliseconds that a head's pieces may be missing before the revision is refused. */
  patienceMs: number;
  /** How often what this controller says of itself is looked at. */
  sayMs: number;
  /** A revision is in force here. */
  changed(effective: EffectiveConfiguration): void;
}

export class LiveConfiguration implements DecidingBy {
  #effective: EffectiveConfiguration;
  #overrides: Overrides = NO_OVERRIDES;
  /** Version of the head that is decided by, or that was refused. */
  #stamp = 0;
  #refused: number | null = null;
  #missingSince: number | null = null;
  #head: Head | null = null;
  #saying = false;
  #stopped = false;

  constructor(readonly options: LiveOptions) {
    this.#effective = effectiveOf(options.base, NO_OVERRIDES, 0);
    // Pieces come before their head, but a listing may find them in any order.
    options.mirror.on(keys.configuration(""), () => this.#follow());
  }

  get effective(): EffectiveConfiguration {
    return this.#effective;
  }

  get overrides(): Overrides {
    return this.#overrides;
  }

  /** The newest revision that was heard of; null: none was ever made. */
  get head(): Head | null {
    return this.#head;
  }

  get limits(): EffectiveConfiguration["limits"] {
    return this.#effective.limits;
  }

  get revised(): boolean {
    return this.#stamp > 0;
  }

  get current(): boolean {
    return this.#refused === null;
  }

  condition(): Condition {
    return { key: keys.configurationHead, version: this.#stamp };
  }

  start(): void {
    const { clock, sayMs } = this.options;
    const look = (): void => {
      if (this.#stopped) return;
      this.#follow();
      void this.#say();
      clock.after(sayMs, look);
    };
    clock.after(sayMs, look);
    void this.options.mirror.waitForRevision(0).then(() => this.#follow());
  }

  stop(): void {
    this.#stopped = true;
  }

  #follow(): void {
    const { mirror, clock, patienceMs } = this.options;
    // In the middle of a listing, slices may still be as they were before a revision that is here.
    if (!mirror.ready) return;
    const row = mirror.rows.get(keys.configurationHead);
    if (row === undefined || row.version === this.#stamp) return;
    if (!isHead(row.value)) {
      this.#refuse(row.version, null, "it cannot be read");
      return;
    }
    this.#head = row.value;
    const overrides = this.#contentOf(row.value);
    if (overrides === "missing") {
      // Until they are here the old condition holds, which the store refuses: nothing is placed.
      this.#missingSince ??= clock.now();
      if (clock.now() - this.#missingSince < patienceMs) return;
      this.#refuse(row.version, row.value, "pieces of it are missing");
      return;
    }
    if (overrides === "unreadable") {
      this.#refuse(row.version, row.value, "pieces of it cannot be read");
      return;
    }
    const fault = faultOf(this.options.base, overrides);
    if (fault !== null) this.#refuse(row.version, row.value, fault.reason);
    else this.#use(row.version, row.value, overrides);
  }

  #contentOf({ id, pieces }: Head): Overrides | "missing" | "unreadable" {
    const found: Piece[] = [];
    for (let number = 0; number < pieces; number++) {
      const row = this.options.mirror.rows.get(keys.configurationPiece(id, number));
      if (row === undefined) return "missing";
      if (!isOverrides(row.value)) return "unreadable";
      found.push(row.value);
    }
    return join(found);
  }

  #use(stamp: number, head: Head, overrides: Overrides): void {
    const { base, log, changed } = this.options;
    const before = this.#effective;
    this.#effective = effectiveOf(base, overrides, head.revision);
    this.#overrides = overrides;
    this.#stamp = stamp;
    this.#refused = null;
    this.#missingSince = null;
    const { revision, by, why } = head;
    const changes = differences(before, this.#effective);
    log.info(
      { revision, by, why, changes: changes.slice(0, LOGGED), all: changes.length },
      "configuration in force",
    );
    changed(this.#effective);
  }

  /** Changes nothing: this controller goes on by what it had, and nothing grows. */
  #refuse(stamp: number, head: Head | null, why: string): void {
    this.#stamp = stamp;
    this.#refused = head?.revision ?? this.#effective.revision + 1;
    this.#missingSince = null;
    this.options.log.error({ revision: this.#refused, why }, "configuration refused");
  }

  get #decision(): Decision {
    const { revision } = this.#effective;
    const refused = this.#refused;
    return { run: this.options.run, revision, ...(refused === null ? {} : { refused }) };
  }

  /** Tells the others by which revision this controller decides, once there is one. */
  async #say(): Promise<void> {
    const { mirror, store, node, lease: leaseOf, log } = this.options;
    const lease = leaseOf();
    if (this.#saying || lease === null || !mirror.ready || this.#stamp === 0) return;
    const key = keys.decision(node);
    const value = this.#decision;
    const said = mirror.rows.get(key)?.value;
    if (isDecision(said) && JSON.stringify(said) === JSON.stringify(value)) return;
    // Before placing, so that a revision is known to be in force soon; it is one change at a time.
    if (store.writes.level <= -store.writes.burst) return;
    store.writes.force(1);
    this.#saying = true;
    try {
      const { revision } = await store.transact([], [{ put: key, value, lease }]);
      mirror.apply({ key, value, version: revision, deleted: false });
    } catch (error) {
      log.debug({ why: String(error) }, "revision not said");
    } finally {
      this.#saying = false;
    }
  }
}
