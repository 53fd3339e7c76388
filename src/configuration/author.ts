/**
 * Creates revisions: checks a change and commits it if the revision that its author saw is still
 * the newest.
 */
import type { Core } from "../extension/index.js";
import type { Amounts } from "../fair/share.js";
import { keys } from "../state/keys.js";
import { ARCHIVE_SCHEMA, CONFIGURATION_SCHEMA, schemaOf } from "../state/schema.js";
import type { Change, Condition } from "../state/store.js";
import {
  type BaseConfiguration,
  type ConfigurationProblem,
  configurationProblem,
  differences,
  effectiveConfiguration,
  merge,
  warningsOf,
} from "./effective.js";
import { HISTORY_LENGTH, historyUpTo } from "./history.js";
import type { LiveConfiguration } from "./live.js";
import {
  type Authorship,
  type Head,
  type HistoryEntry,
  isHead,
  jsonBytes,
  type Overrides,
  type Piece,
  splitIntoPieces,
} from "./records.js";

/** Bytes of a value that are left free for what a store may add. */
const RESERVED_BYTES = 128;
/** Attempts of a change that fails because other controllers change the records it depends on. */
const MAX_ATTEMPTS = 3;

export interface ChangeRequest extends Omit<Authorship, "at"> {
  /** Chosen by the requester; identifies repeated requests. */
  id: string;
  /** The revision on which the change is based; 0 for none. */
  base: number;
  change: Overrides;
  dryRun: boolean;
}

export type ChangeResult =
  | { kind: "applied" | "planned"; revision: number; changes: string[]; warnings: string[] }
  | { kind: "invalid"; fault: ConfigurationProblem }
  | { kind: "overtaken"; head: Head }
  | { kind: "not ready"; reason: string };

/** Whether the schema allows revisions: it does; try again, since a record changed; or not yet. */
type SchemaUpgradeResult =
  | { kind: "begun" }
  | { kind: "again" }
  | { kind: "not ready"; reason: string };

/** Names of the members that are absent or whose program does not support revisions. */
function membersNotFollowing({ layout, mirror }: Core): string[] {
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
    /** Total resources of the present machines; null while not known. */
    readonly capacity: () => Amounts | null,
  ) {}

  /** @throws when the state service does not answer; the change may have been made nevertheless */
  async apply(request: ChangeRequest): Promise<ChangeResult> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      await this.core.mirror.waitUntilCurrent();
      const result = await this.#attempt(request);
      if (result !== null) return result;
    }
    return {
      kind: "not ready",
      reason: "records that the change depends on were changed at the same time; try again",
    };
  }

  async #attempt(request: ChangeRequest): Promise<ChangeResult | null> {
    const { live, base } = this;
    const { mirror } = this.core;
    const earlierResult = this.#alreadyApplied(request.id);
    if (earlierResult !== null) return earlierResult;
    const { head } = live;
    const row = mirror.rows.get(keys.configurationHead);
    if (row !== undefined && (!isHead(row.value) || !live.isCurrent))
      return {
        kind: "not ready",
        reason: "this controller cannot read or use the newest revision",
      };
    if (head !== null && head.revision !== request.base) return { kind: "overtaken", head };
    if (head === null && request.base !== 0)
      return {
        kind: "not ready",
        reason: `revision ${request.base} is not known to this controller`,
      };
    if (live.effective.revision !== request.base)
      return {
        kind: "not ready",
        reason: "the newest revision is not in force at this controller yet",
      };
    const overrides = merge(live.overrides, request.change);
    const fault = configurationProblem(base, overrides);
    if (fault !== null) return { kind: "invalid", fault };
    const revision = request.base + 1;
    const next = effectiveConfiguration(base, overrides, revision);
    const changes = differences(live.effective, next);
    const warnings = warningsOf(next, this.capacity());
    if (request.dryRun) return { kind: "planned", revision, changes, warnings };
    const schemaResult = await this.#ensureSchema();
    if (schemaResult.kind === "again") return null;
    if (schemaResult.kind === "not ready") return schemaResult;
    const committed = await this.#commit(request, overrides, changes, row?.version ?? 0);
    if (committed === null) return null;
    if (typeof committed === "string") return { kind: "not ready", reason: committed };
    return { kind: "applied", revision, changes, warnings };
  }

  /**
   * The result of an earlier request with the same id that was applied; its answer may have been
   * lost.
   */
  #alreadyApplied(id: string): ChangeResult | null {
    const entries = historyUpTo(this.core.mirror, this.live.head?.revision ?? 0);
    const entry = entries.find((one) => one.id === id);
    if (entry === undefined) return null;
    return { kind: "applied", revision: entry.revision, changes: entry.changes, warnings: [] };
  }

  /**
   * Upgrades the schema before the first revision. From then on programs that do not support
   * revisions refuse to run, so all members must be present and support them.
   */
  async #ensureSchema(): Promise<SchemaUpgradeResult> {
    const { store, mirror, layout, log } = this.core;
    if (schemaOf(mirror).version >= CONFIGURATION_SCHEMA) return { kind: "begun" };
    const missing = membersNotFollowing(this.core);
    if (missing.length > 0) {
      const reason = `these controllers are absent or do not follow revisions: ${missing.join(", ")}`;
      return { kind: "not ready", reason };
    }
    if (schemaOf(mirror).version < ARCHIVE_SCHEMA && !(await this.#createArchive()))
      return { kind: "again" };
    const { rowVersion: stamp } = schemaOf(mirror);
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
    log.info(
      { schema: CONFIGURATION_SCHEMA },
      "schema upgraded; configuration can now be changed at run time",
    );
    await mirror.waitForRevision(result.revision);
    return { kind: "begun" };
  }

  /** Creates an archive, which may stay empty: the third schema version includes the second. */
  async #createArchive(): Promise<boolean> {
    const leader = this.core.mirror.rows.get(keys.leader);
    if (leader === undefined) return false;
    const { beginArchive } = await import("../archive/index.js");
    return beginArchive(this.core, { claim: { key: keys.leader, version: leader.version } });
  }

  /** True once committed; a reason why it cannot be; null when a condition of it failed. */
  async #commit(
    request: ChangeRequest,
    overrides: Overrides,
    changes: readonly string[],
    headVersion: number,
  ): Promise<true | string | null> {
    const { store, mirror, clock } = this.core;
    const { ops, conditions, valueBytes } = store.limits;
    const pieces = splitIntoPieces(overrides, valueBytes - RESERVED_BYTES);
    // One condition is needed for the head.
    if (pieces === null || pieces.length > conditions - 1)
      return "the configuration is too large for the limits of the state service";
    // As for submissions, the rate limiter may be overdrawn by one burst at most, so that placement
    // is not kept from writing for long.
    if (store.writes.level <= -store.writes.burst) return "too many writes at once; try again";
    const { id, by, why, base } = request;
    const revision = base + 1;
    const at = Math.round(clock.wall());
    const head: Head = { revision, id, pieces: pieces.length, by, why, at };
    const entry: HistoryEntry = { revision, id, by, why, at, changes: [] };
    entry.changes = truncatedChanges(changes, valueBytes - RESERVED_BYTES - jsonBytes(entry));
    const then: Change[] = [
      { put: keys.configurationHead, value: head },
      { put: keys.configurationEntry(revision), value: entry },
    ];
    const oldest = keys.configurationEntry(revision - HISTORY_LENGTH);
    if (mirror.rows.has(oldest)) then.push({ remove: oldest });
    const when: Condition[] = [{ key: keys.configurationHead, version: headVersion }];
    if (then.length + pieces.length <= ops) {
      then.push(...pieces.map((piece, n) => this.#putPiece(id, piece, n)));
    } else when.push(...(await this.#writePiecesFirst(id, pieces)));
    store.writes.force(then.length);
    const result = await store.transact(when, then);
    if (result.ok) {
      await mirror.waitForRevision(result.revision);
      void this.#deleteOldPieces(revision, result.revision).catch(() => undefined);
      return true;
    }
    await mirror.waitForRevision(result.revision);
    return null;
  }

  #putPiece(id: string, piece: Piece, number: number): Change {
    return { put: keys.configurationPiece(id, number), value: piece };
  }

  /** Writes pieces that do not fit into the head's transaction; returns conditions for that one. */
  async #writePiecesFirst(id: string, pieces: readonly Piece[]): Promise<Condition[]> {
    const { store } = this.core;
    const { ops } = store.limits;
    const written: Condition[] = [];
    for (let from = 0; from < pieces.length; from += ops) {
      const batch = pieces.slice(from, from + ops);
      store.writes.force(batch.length);
      const { revision } = await store.transact(
        [],
        batch.map((piece, n) => this.#putPiece(id, piece, from + n)),
      );
      for (const [n] of batch.entries())
        written.push({ key: keys.configurationPiece(id, from + n), version: revision });
    }
    return written;
  }

  /**
   * Removes pieces of old revisions; those of the previous revision stay for controllers that read
   * late. Conditional on the head being unchanged: by the time that a delayed transaction is
   * applied, pieces that another author wrote may be in force.
   */
  async #deleteOldPieces(revision: number, headVersion: number): Promise<void> {
    const { store, mirror } = this.core;
    const recentIds = new Set(
      historyUpTo(mirror, revision)
        .slice(-2)
        .map(({ id }) => id),
    );
    const removals: Change[] = [];
    for (const key of mirror.rows.keys()) {
      const owner = keys.ownerOfPiece(key);
      if (owner !== null && !recentIds.has(owner)) removals.push({ remove: key });
    }
    for (let from = 0; from < removals.length; from += store.limits.ops) {
      const batch = removals.slice(from, from + store.limits.ops);
      // Pieces that remain are removed after a later revision.
      if (!store.writes.take(batch.length)) return;
      const when = [{ key: keys.configurationHead, version: headVersion }];
      if (!(await store.transact(when, batch)).ok) return;
    }
  }
}

/** The first lines that fit into `mostBytes`; the last line then says how many were left out. */
function truncatedChanges(changes: readonly string[], mostBytes: number): string[] {
  const lines: string[] = [];
  let bytes = 0;
  for (const [n, line] of changes.entries()) {
    bytes += jsonBytes(line) + 1;
    // The last line is shorter than the reserved bytes.
    if (bytes > mostBytes) return [...lines, `and ${changes.length - n} more`];
    lines.push(line);
  }
  return lines;
}
