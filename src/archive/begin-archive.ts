import type { Core, LeaderTerm } from "../extension/index.js";
import { keys } from "../state/keys.js";
import { ARCHIVE_SCHEMA, schemaOf } from "../state/schema.js";
import { END_OF_RANGES, encodeLeaf, leafKey } from "./leaf.js";

/** Names of the controllers that are absent or do not announce support for the archive's schema. */
export function controllersWithoutArchiveSupport({
  layout,
  mirror,
}: Pick<Core, "layout" | "mirror">): string[] {
  return layout.members.flatMap(({ name }) => {
    const value = mirror.rows.get(keys.node(name))?.value as { schema?: unknown } | undefined;
    const knowsSchema = typeof value?.schema === "number" && value.schema >= ARCHIVE_SCHEMA;
    return knowsSchema ? [] : [name];
  });
}

/**
 * Changes of the transaction that creates the archive. If the service allows fewer, the first leaf is
 * written in advance.
 */
const BEGIN_TRANSACTION_OPS = 5;

/**
 * Writes the archive's first leaf in advance if it does not fit the transaction that creates the
 * archive.
 * @returns the version of the leaf; 0 if it is to be written in that transaction
 */
async function prepareFirstLeaf({ store }: Core, key: string): Promise<number> {
  if (store.limits.ops >= BEGIN_TRANSACTION_OPS) return 0;
  const found = await store.get(key);
  if (found !== null) return found.version;
  store.writes.force(1);
  const result = await store.transact(
    [{ key, version: 0 }],
    [{ put: key, value: encodeLeaf("", []) }],
  );
  if (!result.ok)
    throw new Error(`${key} was just written: another controller is creating the archive`);
  return result.revision;
}

/**
 * Changes the store to schema 2 in one transaction: creates an empty archive, and moves leadership
 * and machine types to keys that older programs do not know. The transaction is conditional on the
 * presence records of all controllers as they were read, so no controller can have been replaced by
 * an older program meanwhile. The current leader loses its claim and claims leadership again under
 * the new key.
 * @returns whether the archive was created; an attempt that got no answer may be repeated
 */
export async function beginArchive(
  core: Core,
  leaderTerm: Pick<LeaderTerm, "claim"> & Partial<LeaderTerm>,
): Promise<boolean> {
  const { store, mirror, layout, log } = core;
  if (schemaOf(mirror).version !== 1 || controllersWithoutArchiveSupport(core).length > 0)
    return false;
  const types = mirror.rows.get(keys.types);
  const presence = layout.members.map(({ name }) => {
    const key = keys.node(name);
    return { key, version: mirror.rows.get(key)!.version };
  });
  const firstLeafKey = leafKey(END_OF_RANGES);
  const firstLeafVersion = await prepareFirstLeaf(core, firstLeafKey);
  store.writes.force(BEGIN_TRANSACTION_OPS);
  const result = await store.transact(
    [
      { key: keys.schema, version: 0 },
      leaderTerm.claim,
      { key: keys.types, version: types?.version ?? 0 },
      { key: firstLeafKey, version: firstLeafVersion },
      ...presence,
    ],
    [
      { put: keys.schema, value: { version: ARCHIVE_SCHEMA } },
      { put: keys.leader, value: { schema: ARCHIVE_SCHEMA } },
      ...(firstLeafVersion > 0 ? [] : [{ put: firstLeafKey, value: encodeLeaf("", []) }]),
      ...(types === undefined
        ? []
        : [{ remove: keys.types }, { put: keys.types2, value: types.value }]),
    ],
  );
  if (!result.ok) return false;
  log.info({ schema: ARCHIVE_SCHEMA }, "archive created");
  await mirror.waitForRevision(result.revision);
  return true;
}
