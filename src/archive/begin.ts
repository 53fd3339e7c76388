import type { Core, LeaderTerm } from "../extension/index.js";
import { keys } from "../state/keys.js";
import { ARCHIVE_SCHEMA, schemaOf } from "../state/schema.js";
import { encodeLeaf, LAST, leafKey } from "./leaf.js";

/** The controllers that do not say that they know the schema, or are not there: by name. */
export function behind({ layout, mirror }: Pick<Core, "layout" | "mirror">): string[] {
  return layout.members.flatMap(({ name }) => {
    const value = mirror.rows.get(keys.node(name))?.value as { schema?: unknown } | undefined;
    const knows = typeof value?.schema === "number" && value.schema >= ARCHIVE_SCHEMA;
    return knows ? [] : [name];
  });
}

/** What begins the schema in one transaction: where fewer are allowed, the leaf is written before. */
const BEGINNING_CHANGES = 5;

/** The version of the archive's first leaf; 0 where it can be written with all else. */
async function emptyLeaf({ store }: Core, key: string): Promise<number> {
  if (store.limits.ops >= BEGINNING_CHANGES) return 0;
  const found = await store.get(key);
  if (found !== null) return found.version;
  store.writes.force(1);
  const result = await store.transact(
    [{ key, version: 0 }],
    [{ put: key, value: encodeLeaf("", []) }],
  );
  if (!result.ok) throw new Error("another controller begins the archive");
  return result.revision;
}

/**
 * Begins the second schema, in one transaction: from then on there is an archive, still empty, and
 * leadership and machine types have keys that older programs do not know. It depends on every
 * controller's presence as it was read, so none can have been replaced by an older one meanwhile.
 * Whoever leads now is deposed by it, and leads again a moment later under the new key.
 * @returns whether it has begun; an unanswered attempt may be repeated
 */
export async function beginArchive(
  core: Core,
  leading: Pick<LeaderTerm, "claim"> & Partial<LeaderTerm>,
): Promise<boolean> {
  const { store, mirror, layout, log } = core;
  if (schemaOf(mirror).version !== 1 || behind(core).length > 0) return false;
  const types = mirror.rows.get(keys.types);
  const presence = layout.members.map(({ name }) => {
    const key = keys.node(name);
    return { key, version: mirror.rows.get(key)!.version };
  });
  const last = leafKey(LAST);
  const empty = await emptyLeaf(core, last);
  store.writes.force(BEGINNING_CHANGES);
  const result = await store.transact(
    [
      { key: keys.schema, version: 0 },
      leading.claim,
      { key: keys.types, version: types?.version ?? 0 },
      { key: last, version: empty },
      ...presence,
    ],
    [
      { put: keys.schema, value: { version: ARCHIVE_SCHEMA } },
      { put: keys.leader, value: { schema: ARCHIVE_SCHEMA } },
      ...(empty > 0 ? [] : [{ put: last, value: encodeLeaf("", []) }]),
      ...(types === undefined
        ? []
        : [{ remove: keys.types }, { put: keys.types2, value: types.value }]),
    ],
  );
  if (!result.ok) return false;
  log.info({ schema: ARCHIVE_SCHEMA }, "the archive begins");
  await mirror.waitForRevision(result.revision);
  return true;
}
