import type { Reply } from "../http/server.js";
import type { JobHeader } from "../jobs/job-header.js";
import type { JobOutcome } from "../jobs/job-outcome.js";
import type { After } from "../wire/jobs.js";

/**
 * Resolves the jobs that a submission awaits: returns those not done yet, or a refusal. A
 * submission is refused if an awaited job was never accepted, which a lookup in the store or the
 * archive has to confirm, or is a service, which never ends. Jobs that are done are not recorded;
 * only the time at which the last of them ended is. `cancelled`: an awaited job is cancelled, so
 * this job is cancelled from the beginning.
 * @param look finds a job; null: it was never accepted. Throws while that is not known
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
    // A repeated submission of an accepted job must not be refused.
    if ((await look(id)) !== null) return { after, cancelled };
    const reason = service ? "is a service, which never ends" : "was never accepted";
    return { status: 422, body: { error: `awaits ${other}, which ${reason}` } };
  }
  return { after, cancelled };
}
