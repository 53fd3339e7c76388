/** Makes revisions: checks a change, and commits it on condition of the revision its author saw. */
import type { Core } from "../extension/index.js";
import type { Amounts } from "../fair/share.js";
import { keys } from "../state/keys.js";
import { ARCHIVE_SCHEMA, CONFIGURATION_SCHEMA, schemaOf } from "../state/schema.js";
import type { Change, Condition } from "../state/store.js";
import {
  type BaseConfiguration,
  type ConfigurationFault,
  differences,
  effectiveOf,
  faultOf,
  merge,
  warningsOf,
} from "./effective.js";
import { HISTORY_LENGTH, historyUpTo } from "./history.js";
import type { LiveConfiguration } from "./live.js";
import {
  type Authorship,
  bytesOf,
  divide,
  type Head,
  type HistoryEntry,
  isHead,
  type Overrides,
  type Piece,
} from "./records.js";

/** Bytes of a value that stay free: for what a store may add. */
const SPARE_BYTES = 128;
/** How often a commit is tried while presence or pieces change in between. */
const TRIES = 3;

export interface ChangeRequest extends Omit<Authorship, "at"> {
  /** Made by the author: a repeated request is known by it. */
  id: string;
  /** The revision that the author saw; 0 for none. */
  base: number;
  change: Overrides;
  dryRun: boolean;
}

export type ChangeResult =
  | { kind: "applied" | "planned"; revision: number; changes: string[]; warnings: string[] }
  | { kind: "invalid"; fault: ConfigurationFault }
  | { kind: "overtaken"; head: Head }
  | { kind: "not ready"; reason: string };

/** Whether revisions may be made: yes, once more since something changed, or not yet. */
type Beginning = { kind: "begun" } | { kind: "again" } | { kind: "not ready"; reason: string };

/** The members that are not there, or do not know how to follow revisions: by name. */
function notFollowing({ layout, mirror }: Core): string[] {
  return layout.members.flatMap(({ name }) => {
    const value = mirror.rows.get(keys.node(name))?.value as { schema?: unknown } | undefined;
    const knows = typeof value?.schema === "number" && value.schema >= CONFIGURATION_SCHEMA;
    return knows ? [] : [name];
  });
}

export class Author {
  constructor(
    readonly core: Core,
    readonly live: LiveConfiguration,
    readonly base: BaseConfiguration,
    /** What the machines have now; null while it is not known. */
    readonly capacity: () => Amounts | null,
  ) {}

  /** @throws when the state service does not answer: the change may have been made all the same */
  async apply(request: ChangeRequest): Promise<ChangeResult> {
    for (let attempt = 0; attempt < TRIES; attempt++) {
      await this.core.mirror.waitUntilCurrent();
      const result = await this.#try(request);
      if (result !== null) return result;
    }
    return { kind: "not ready", reason: "others change what it depends on; try again" };
  }

  async #try(request: ChangeRequest): Promise<ChangeResult | null> {
    const { live, base } = this;
    const { mirror } = this.core;
    const made = this.#madeBefore(request.id);
    if (made !== null) return made;
    const { head } = live;
    const row = mirror.rows.get(keys.configurationHead);
    if (row !== undefined && (!isHead(row.value) || !live.current))
      return { kind: "not ready", reason: "the newest revision cannot be read here" };
    if (head !== null && head.revision !== request.base) return { kind: "overtaken", head };
    if (head === null && request.base !== 0)
      return { kind: "not ready", reason: `revision ${request.base} is not known here` };
    if (live.effective.revision !== request.base)
      return { kind: "not ready", reason: "the newest revision is not in force here yet" };
    const overrides = merge(live.overrides, request.change);
    const fault = faultOf(base, overrides);
    if (fault !== null) return { kind: "invalid", fault };
    const revision = request.base + 1;
    const next = effectiveOf(base, overrides, revision);
    const changes = differences(live.effective, next);
    const warnings = warningsOf(next, this.capacity());
    if (request.dryRun) return { kind: "planned", revision, changes, warnings };
    const begun = await this.#begin();
    if (begun.kind === "again") return null;
    if (begun.kind === "not ready") return begun;
    const committed = await this.#commit(request, overrides, changes, row?.version ?? 0);
    if (committed === null) return null;
    if (typeof committed === "string") return { kind: "not ready", reason: committed };
    return { kind: "applied", revision, changes, warnings };
  }

  /** A request that was carried out before its answer was lost. */
  #madeBefore(id: string): ChangeResult | null {
    const entries = historyUpTo(this.core.mirror, this.live.head?.revision ?? 0);
    const entry = entries.find((one) => one.id === id);
    if (entry === undefined) return null;
    return { kind: "applied", revision: entry.revision, changes: entry.changes, warnings: [] };
  }

  /**
   * Before the first revision: from then on a program that does not follow revisions cannot serve,
   * so all that are there have to know how.
   */
  async #begin(): Promise<Beginning> {
    const { store, mirror, layout, log } = this.core;
    if (schemaOf(mirror).version >= CONFIGURATION_SCHEMA) return { kind: "begun" };
    const behind = notFollowing(this.core);
    if (behind.length > 0) {
      const reason = `not all controllers are there and follow revisions: ${behind.join(", ")}`;
      return { kind: "not ready", reason };
    }
    if (schemaOf(mirror).version < ARCHIVE_SCHEMA && !(await this.#beginArchive()))
      return { kind: "again" };
    const { stamp } = schemaOf(mirror);
    const presence = layout.members.map(({ name }) => {
      const key = keys.node(name);
      return { key, version: mirror.rows.get(key)!.version };
    });
    store.writes.force(1);
    const result = await store.transact(
      [{ key: keys.schema, version: stamp }, ...presence],
      [{ put: keys.schema, value: { version: CONFIGURATION_SCHEMA } }],
    );
    if (!result.ok) return { kind: "again" };
    log.info({ schema: CONFIGURATION_SCHEMA }, "configuration may change while serving");
    await mirror.waitForRevision(result.revision);
    return { kind: "begun" };
  }

  /** The third schema has all of the second: there is an archive, if an empty one. */
  async #beginArchive(): Promise<boolean> {
    const leader = this.core.mirror.rows.get(keys.leader);
    if (leader === undefined) return false;
    const { beginArchive } = await import("../archive/index.js");
    return beginArchive(this.core, { claim: { key: keys.leader, version: leader.version } });
  }

  /** True once it is made, a reason why it cannot be, or null when something it depends on changed. */
  async #commit(
    request: ChangeRequest,
    overrides: Overrides,
    changes: readonly string[],
    headVersion: number,
  ): Promise<true | string | null> {
    const { store, mirror, clock } = this.core;
    const { ops, conditions, valueBytes } = store.limits;
    const pieces = divide(overrides, valueBytes - SPARE_BYTES);
    // The head is a condition as well.
    if (pieces === null || pieces.length > conditions - 1)
      return "there is more configuration than the state service's limits hold";
    // As for submissions: a debt of one burst, so that placing is not kept from its changes for long.
    if (store.writes.level <= -store.writes.burst) return "too many changes at once; try again";
    const { id, by, why, base } = request;
    const revision = base + 1;
    const at = Math.round(clock.wall());
    const head: Head = { revision, id, pieces: pieces.length, by, why, at };
    const entry: HistoryEntry = { revision, id, by, why, at, changes: [] };
    entry.changes = shortened(changes, valueBytes - SPARE_BYTES - bytesOf(entry));
    const then: Change[] = [
      { put: keys.configurationHead, value: head },
      { put: keys.configurationEntry(revision), value: entry },
    ];
    const oldest = keys.configurationEntry(revision - HISTORY_LENGTH);
    if (mirror.rows.has(oldest)) then.push({ remove: oldest });
    const when: Condition[] = [{ key: keys.configurationHead, version: headVersion }];
    if (then.length + pieces.length <= ops) {
      then.push(...pieces.map((piece, n) => this.#put(id, piece, n)));
    } else when.push(...(await this.#putBefore(id, pieces)));
    store.writes.force(then.length);
    const result = await store.transact(when, then);
    if (result.ok) {
      await mirror.waitForRevision(result.revision);
      void this.#tidy(revision, result.revision).catch(() => undefined);
      return true;
    }
    await mirror.waitForRevision(result.revision);
    return null;
  }

  #put(id: string, piece: Piece, number: number): Change {
    return { put: keys.configurationPiece(id, number), value: piece };
  }

  /** Writes pieces that do not fit beside the head, and returns what the head depends on then. */
  async #putBefore(id: string, pieces: readonly Piece[]): Promise<Condition[]> {
    const { store } = this.core;
    const { ops } = store.limits;
    const written: Condition[] = [];
    for (let from = 0; from < pieces.length; from += ops) {
      const some = pieces.slice(from, from + ops);
      store.writes.force(some.length);
      const { revision } = await store.transact(
        [],
        some.map((piece, n) => this.#put(id, piece, from + n)),
      );
      for (const [n] of some.entries())
        written.push({ key: keys.configurationPiece(id, from + n), version: revision });
    }
    return written;
  }

  /**
   * Removes pieces of revisions that are over; of the one just overtaken they stay for late readers.
   * Only while the head is as it was: pieces that another author has written may be in force by the
   * time that a late transaction is applied.
   */
  async #tidy(revision: number, headVersion: number): Promise<void> {
    const { store, mirror } = this.core;
    const kept = new Set(
      historyUpTo(mirror, revision)
        .slice(-2)
        .map(({ id }) => id),
    );
    const old: Change[] = [];
    for (const key of mirror.rows.keys()) {
      const owner = keys.ownerOfPiece(key);
      if (owner !== null && !kept.has(owner)) old.push({ remove: key });
    }
    for (let from = 0; from < old.length; from += store.limits.ops) {
      const some = old.slice(from, from + store.limits.ops);
      // What stays goes with a later revision.
      if (!store.writes.take(some.length)) return;
      const when = [{ key: keys.configurationHead, version: headVersion }];
      if (!(await store.transact(when, some)).ok) return;
    }
  }
}

/** As many lines as fit so many bytes, and how many more there were. */
function shortened(changes: readonly string[], mostBytes: number): string[] {
  const lines: string[] = [];
  let bytes = 0;
  for (const [n, line] of changes.entries()) {
    bytes += bytesOf(line) + 1;
    // The last line takes less than what is spare.
    if (bytes > mostBytes) return [...lines, `and ${changes.length - n} more`];
    lines.push(line);
  }
  return lines;
}
