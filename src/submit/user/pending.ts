import { createHash, randomUUID } from "node:crypto";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { homedir } from "node:os";
import { join } from "node:path";

/**
 * The name of a submission, kept in a file until its result is known. A client that is cut off or
 * ends and submits the same file again then uses the same name, and gets the same cluster.
 */
export interface PendingSubmission {
  name: string;
  /**
   * Deletes the name, since the result is known: the next submission of the same file is a new one.
   */
  complete(): void;
}

const pendingFolder = (env: NodeJS.ProcessEnv): string =>
  join(env.XDG_STATE_HOME ?? join(homedir(), ".local", "state"), "birchdale", "submits");

/** Digest of what is the same for every retry: the file's inputs and the controller's address. */
export const submissionDigest = (node: string, inputs: unknown): string =>
  createHash("sha256")
    .update(JSON.stringify([node, inputs]))
    .digest("hex")
    .slice(0, 32);

export function openPendingSubmission(
  digest: string,
  env: NodeJS.ProcessEnv = process.env,
): PendingSubmission {
  const directory = pendingFolder(env);
  const file = join(directory, digest);
  const complete = (): void => rmSync(file, { force: true });
  try {
    const name = readFileSync(file, "utf8").trim();
    if (/^[\w-]{8,64}$/.test(name)) return { name, complete };
  } catch {
    // No submission of this file is pending.
  }
  const name = randomUUID();
  mkdirSync(directory, { recursive: true });
  // Written before anything is sent: a submission whose name is not kept could be sent twice.
  writeFileSync(file, `${name}\n`, { mode: 0o600 });
  return { name, complete };
}
