import type { Reply } from "../http/server.js";
import type { JobHeader } from "../jobs/job-header.js";
import type { JobOutcome } from "../jobs/job-outcome.js";
import type { After } from "../wire/jobs.js";

/**
 * What is left to await of the jobs that a submission names, or why it may not name them. Only one that
 * was never accepted anywhere is a reason, which a request of its own or the archive has to say; and a
 * service, which never ends. What is done needs no place in the record, but for when it was.
 * `cancelled`: one of them is, so this job is as well from the beginning.
 * @param look what is known of a job; null: it was never accepted. Throws while that cannot be said
 */
export async function resolveDependencies(
  id: string,
  named: readonly string[],
  look: (id: string) => Promise<{ header: JobHeader } | { past: JobOutcome } | null>,
): Promise<Reply | { after: After; cancelled: boolean }> {
  const after: After = { jobs: [] };
  let cancelled = false;
  for (const other of named) {
    const found = await look(other);
    const service = found !== null && "header" in found && found.header.spec?.kind === "service";
    if (found !== null && !service) {
      const { status, over } = "past" in found ? found.past : found.header;
      if (status === "done") after.since = Math.max(after.since ?? 0, over ?? 0);
      else after.jobs.push(other);
      cancelled ||= status === "cancelled";
      continue;
    }
    // Only a job that was never accepted itself may be refused.
    if ((await look(id)) !== null) return { after, cancelled };
    const reason = service ? "is a service, which never ends" : "was never accepted";
    return { status: 422, body: { error: `awaits ${other}, which ${reason}` } };
  }
  return { after, cancelled };
}
