import type { ControllerView, Obstacle, ObstacleKind } from "./obstacles.js";

/** By obstacle: what resolves it, and who has to act. */
export const REMEDIES: Record<ObstacleKind, { resolvedBy: string; responsible: string }> = {
  "unknown job": {
    resolvedBy: "submitting it; a finished job may be in the archive",
    responsible: "its user",
  },
  over: { resolvedBy: "nothing: the job has finished", responsible: "nobody" },
  "not known": {
    resolvedBy: "querying more controllers, or querying again later",
    responsible: "whoever runs this command",
  },
  "no owner": { resolvedBy: "the expiry of the former owner's lease", responsible: "nobody" },
  "owner silent": {
    resolvedBy: "the owner's answer, or the expiry of its lease",
    responsible: "operators, if it lasts",
  },
  "cut from the store": {
    resolvedBy: "contact with the state service, or a new owner",
    responsible: "operators",
  },
  "claim in doubt": { resolvedBy: "the next answer of the state service", responsible: "nobody" },
  restoring: {
    resolvedBy: "loading the records, and one report of each machine",
    responsible: "nobody",
  },
  "being handed on": { resolvedBy: "the next write batch of both parts", responsible: "nobody" },
  "machine silent": {
    resolvedBy: "the machine's next report, or its deletion by the cloud",
    responsible: "nobody",
  },
  "awaits others": { resolvedBy: "the end of the jobs that it awaits", responsible: "nobody" },
  held: { resolvedBy: "release", responsible: "its user" },
  "matches nothing": {
    resolvedBy: "other requirements, or other machines",
    responsible: "its user",
  },
  failing: {
    resolvedBy: "fixing the job; until then one task at a time is retried",
    responsible: "its user",
  },
  "fits nowhere": {
    resolvedBy: "smaller tasks, or a larger machine type",
    responsible: "its user",
  },
  "behind a priority": {
    resolvedBy: "the end of the team's jobs with a higher priority",
    responsible: "the team",
  },
  quota: {
    resolvedBy: "the end of other jobs of the team, or a higher limit",
    responsible: "the team",
  },
  "change budget spent": {
    resolvedBy: "waiting: write batches then grow larger",
    responsible: "operators, if it lasts",
  },
  "no machine of the kind": {
    resolvedBy: "a machine that the job may use",
    responsible: "operators, if none is rented",
  },
  "boot overdue": {
    resolvedBy: "renting other machines, which is under way",
    responsible: "operators, if it lasts",
  },
  booting: { resolvedBy: "the machines finishing their boot", responsible: "nobody" },
  "lent room": {
    resolvedBy: "free resources beyond what is kept for guarantees",
    responsible: "nobody",
  },
  reserved: {
    resolvedBy: "the end of the tasks that are being stopped for it",
    responsible: "nobody",
  },
  "no room": { resolvedBy: "tasks that end, or newly rented machines", responsible: "nobody" },
  "about to start": { resolvedBy: "the next placement pass and its commit", responsible: "nobody" },
  running: { resolvedBy: "nothing: the job is running", responsible: "nobody" },
};

export function formatObstacle({ kind, part, tasks, sinceS, detail }: Obstacle): string {
  const where = part === null ? "" : `part ${part}: `;
  const count = tasks === 0 ? "" : ` (${tasks} ${tasks === 1 ? "task" : "tasks"}`;
  const since = sinceS === null || sinceS === 0 ? "" : `, for ${sinceS} s`;
  const { resolvedBy, responsible } = REMEDIES[kind];
  const group = count === "" ? "" : `${count}${since})`;
  return `${where}${kind}${group}: ${detail}. Resolved by: ${resolvedBy}. Who acts: ${responsible}.`;
}

/** The state of the cluster, one line per finding; problems come first. */
export function formatOverview(
  views: readonly ControllerView[],
  unanswered: readonly string[],
): string[] {
  const lines = unanswered.map((address) => `${address} did not answer`);
  const latest = [...views].sort((a, b) => a.contactS - b.contactS)[0];
  for (const { node, contactS, valid, ready } of views) {
    if (!ready) lines.push(`${node} has not read the records of the state service yet`);
    else if (!valid)
      lines.push(
        `${node} cannot confirm its claims; last contact with the state service ${contactS} s ago`,
      );
  }
  for (const [part, owner] of (latest?.owners ?? []).entries()) {
    if (owner === null) lines.push(`part ${part} has no owner`);
  }
  for (const { node, parts, leads, rental } of views) {
    for (const { part, machines, changesLeft, settling, jobs } of parts) {
      const { all, usable, silent, deaf, leaving } = machines;
      const problems = [
        silent > 0 ? `${silent} silent` : "",
        deaf > 0 ? `${deaf} unreachable` : "",
        leaving > 0 ? `${leaving} leaving` : "",
        changesLeft < 0 ? "change budget spent" : "",
        settling ? "restore reconciliation in progress" : "",
        jobs.length > 0 ? `${jobs.length} jobs within a guarantee are stuck` : "",
      ].filter((text) => text !== "");
      const problemText = problems.length === 0 ? "" : `: ${problems.join(", ")}`;
      lines.push(`part ${part} (${node}): ${usable} of ${all} machines accept tasks${problemText}`);
    }
    if (!leads || rental === null) continue;
    const { booting, overdue, reachable } = rental;
    const cloud = reachable ? "" : "; the cloud API does not answer";
    lines.push(
      `${node} is the leader: ${booting} machines are booting, ${overdue} of them overdue${cloud}`,
    );
  }
  return lines;
}
