import type { Kind, Obstacle, View } from "./obstacles.js";

/** By obstacle: what removes it, and who has to act. */
export const MEANING: Record<Kind, { removes: string; acts: string }> = {
  "unknown job": {
    removes: "submit it; a job that is over may be in the archive",
    acts: "its user",
  },
  over: { removes: "nothing: it is over", acts: "nobody" },
  "not known": { removes: "ask more controllers, or later", acts: "whoever asks" },
  "no owner": { removes: "the end of the former owner's lease", acts: "nobody" },
  "owner silent": {
    removes: "its answer, or the end of its lease",
    acts: "operators, if it lasts",
  },
  "cut from the store": {
    removes: "the state service reached again, or a new owner",
    acts: "operators",
  },
  "claim in doubt": { removes: "the next answer of the state service", acts: "nobody" },
  restoring: { removes: "records read, and each machine heard once", acts: "nobody" },
  "being handed on": { removes: "the next commit of both parts", acts: "nobody" },
  "machine silent": { removes: "its next report, or its deletion by the cloud", acts: "nobody" },
  "awaits others": { removes: "the end of the jobs before it", acts: "nobody" },
  held: { removes: "release", acts: "its user" },
  "matches nothing": { removes: "other requirements, or other machines", acts: "its user" },
  failing: {
    removes: "a job that does not fail: it is tried one task at a time",
    acts: "its user",
  },
  "fits nowhere": { removes: "smaller tasks, or a larger type", acts: "its user" },
  "behind a priority": { removes: "the end of the team's more urgent jobs", acts: "the team" },
  quota: { removes: "the end of other jobs of the team, or a higher limit", acts: "the team" },
  "change budget spent": {
    removes: "time: commits then hold more each",
    acts: "operators, if it lasts",
  },
  "no machine of the kind": {
    removes: "a machine that it may use",
    acts: "operators, if none is rented",
  },
  "boot overdue": { removes: "other machines, which are rented", acts: "operators, if it lasts" },
  booting: { removes: "machines that come up", acts: "nobody" },
  "lent room": { removes: "idle room beyond what is kept for guarantees", acts: "nobody" },
  reserved: { removes: "tasks that are being stopped for it", acts: "nobody" },
  "no room": { removes: "tasks that end, or machines that are rented", acts: "nobody" },
  "about to start": { removes: "the next pass and commit", acts: "nobody" },
  running: { removes: "nothing: it goes on", acts: "nobody" },
};

export function lineFor({ kind, part, tasks, sinceS, detail }: Obstacle): string {
  const where = part === null ? "" : `part ${part}: `;
  const count = tasks === 0 ? "" : ` (${tasks} ${tasks === 1 ? "task" : "tasks"}`;
  const since = sinceS === null || sinceS === 0 ? "" : `, for ${sinceS} s`;
  const { removes, acts } = MEANING[kind];
  const group = count === "" ? "" : `${count}${since})`;
  return `${where}${kind}${group}: ${detail}. What removes it: ${removes}. Who acts: ${acts}.`;
}

/** How the cluster stands, a line each; first what is wrong. */
export function overview(views: readonly View[], unanswered: readonly string[]): string[] {
  const lines = unanswered.map((address) => `${address} did not answer`);
  const fresh = [...views].sort((a, b) => a.contactS - b.contactS)[0];
  for (const { node, contactS, valid, ready } of views) {
    if (!ready) lines.push(`${node} has not read the state service yet`);
    else if (!valid)
      lines.push(`${node} is not sure of its claims; last contact ${contactS} s ago`);
  }
  for (const [part, owner] of (fresh?.owners ?? []).entries()) {
    if (owner === null) lines.push(`part ${part} has no owner`);
  }
  for (const { node, parts, leads, rental } of views) {
    for (const { part, machines, changesLeft, settling, jobs } of parts) {
      const { all, usable, silent, deaf, leaving } = machines;
      const odd = [
        silent > 0 ? `${silent} silent` : "",
        deaf > 0 ? `${deaf} that do not hear us` : "",
        leaving > 0 ? `${leaving} leaving` : "",
        changesLeft < 0 ? "change budget spent" : "",
        settling ? "records being vouched for" : "",
        jobs.length > 0 ? `${jobs.length} jobs within a guarantee that stand still` : "",
      ].filter((text) => text !== "");
      const rest = odd.length === 0 ? "" : `: ${odd.join(", ")}`;
      lines.push(`part ${part} (${node}): ${usable} of ${all} machines take tasks${rest}`);
    }
    if (!leads || rental === null) continue;
    const { booting, overdue, reachable } = rental;
    const cloud = reachable ? "" : "; the cloud does not answer";
    lines.push(`${node} leads: ${booting} machines boot, ${overdue} of them overdue${cloud}`);
  }
  return lines;
}
