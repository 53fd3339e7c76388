import { createHash, randomUUID } from "node:crypto";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { homedir } from "node:os";
import { join } from "node:path";

/**
 * The name of a hand-in, kept until it is known what became of it. A sender that is cut off, or
 * ends, and hands the same file in again then asks under the same name, and gets the same cluster.
 */
export interface Pending {
  name: string;
  /** It is answered: the next hand-in of the same file is another one. */
  settle(): void;
}

const folderOf = (env: NodeJS.ProcessEnv): string =>
  join(env.XDG_STATE_HOME ?? join(homedir(), ".local", "state"), "birchdale", "submits");

/** What is the same for every try: the file's meaning, and where it goes. */
export const digestOf = (node: string, meaning: unknown): string =>
  createHash("sha256")
    .update(JSON.stringify([node, meaning]))
    .digest("hex")
    .slice(0, 32);

export function pendingOf(digest: string, env: NodeJS.ProcessEnv = process.env): Pending {
  const folder = folderOf(env);
  const file = join(folder, digest);
  const settle = (): void => rmSync(file, { force: true });
  try {
    const name = readFileSync(file, "utf8").trim();
    if (/^[\w-]{8,64}$/.test(name)) return { name, settle };
  } catch {
    // None is open.
  }
  const name = randomUUID();
  mkdirSync(folder, { recursive: true });
  // Before anything is sent: what is sent under a name that is not kept could be sent twice.
  writeFileSync(file, `${name}\n`, { mode: 0o600 });
  return { name, settle };
}
