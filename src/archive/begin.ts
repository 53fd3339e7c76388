import type { Core, Leading } from "../extension/index.js";
import { keys } from "../state/keys.js";
import { KNOWN_SCHEMA, schemaOf } from "../state/schema.js";
import { encodeLeaf, LAST, leafKey } from "./leaf.js";

/** The controllers that do not say that they know the schema, or are not there: by name. */
export function behind({ layout, mirror }: Pick<Core, "layout" | "mirror">): string[] {
  return layout.members.flatMap(({ name }) => {
    const value = mirror.rows.get(keys.node(name))?.value as { schema?: unknown } | undefined;
    const knows = typeof value?.schema === "number" && value.schema >= KNOWN_SCHEMA;
    return knows ? [] : [name];
  });
}

/**
 * Begins the second schema, in one transaction: from then on there is an archive, still empty, and
 * leadership and machine types have keys that older programs do not know. It depends on every
 * controller's presence as it was read, so none can have been replaced by an older one meanwhile.
 * Whoever leads now is deposed by it, and leads again a moment later under the new key.
 * @returns whether it has begun; an unanswered attempt may be repeated
 */
export async function beginArchive(core: Core, leading: Leading): Promise<boolean> {
  const { store, mirror, layout, log } = core;
  if (schemaOf(mirror).version !== 1 || behind(core).length > 0) return false;
  const types = mirror.rows.get(keys.types);
  const presence = layout.members.map(({ name }) => {
    const key = keys.node(name);
    return { key, version: mirror.rows.get(key)!.version };
  });
  const last = leafKey(LAST);
  store.writes.force(5);
  const result = await store.transact(
    [
      { key: keys.schema, version: 0 },
      leading.claim,
      { key: keys.types, version: types?.version ?? 0 },
      { key: last, version: 0 },
      ...presence,
    ],
    [
      { put: keys.schema, value: { version: KNOWN_SCHEMA } },
      { put: keys.leader, value: { schema: KNOWN_SCHEMA } },
      { put: last, value: encodeLeaf("", []) },
      ...(types === undefined
        ? []
        : [{ remove: keys.types }, { put: keys.types2, value: types.value }]),
    ],
  );
  if (!result.ok) return false;
  log.info({ schema: KNOWN_SCHEMA }, "the archive begins");
  await mirror.reached(result.revision);
  return true;
}
