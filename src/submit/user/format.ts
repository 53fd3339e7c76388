import type { PlannedCluster } from "../map/cluster.js";
import type { AnalysisView, ClusterJobs, ClusterView } from "./client.js";

/**
 * Formats a table with columns as wide as their widest cell. The first `left` columns are
 * left-aligned.
 */
export function table(
  head: readonly string[],
  rows: readonly (readonly string[])[],
  left: number,
): string {
  const widths = head.map((title, i) =>
    Math.max(title.length, ...rows.map((row) => row[i]!.length)),
  );
  const line = (cells: readonly string[]): string =>
    cells
      .map((cell, i) => (i < left ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!)))
      .join("  ")
      .trimEnd();
  return [head, ...rows].map(line).join("\n");
}

const twoDigits = (value: number): string => String(value).padStart(2, "0");

/** `12/1 16:40`, as condor_q has it. */
export function shortTime(ms: number): string {
  const at = new Date(ms);
  return `${at.getMonth() + 1}/${at.getDate()} ${twoDigits(at.getHours())}:${twoDigits(at.getMinutes())}`;
}

const countOrUnderscore = (value: number): string => (value === 0 ? "_" : String(value));

/** One line per cluster. */
export function queueText(clusters: readonly ClusterView[]): string {
  const rows = clusters.map((one) => [
    one.user,
    (one.title ?? `ID: ${one.cluster}`) + (one.state === "open" ? " (being handed in)" : ""),
    shortTime(one.at),
    one.team,
    countOrUnderscore(one.done),
    countOrUnderscore(one.running),
    countOrUnderscore(one.idle),
    countOrUnderscore(one.held),
    String(one.procs),
    one.procs === 1 ? `${one.cluster}.0` : `${one.cluster}.0-${one.procs - 1}`,
  ]);
  const head = [
    "OWNER",
    "BATCH_NAME",
    "SUBMITTED",
    "TEAM",
    "DONE",
    "RUN",
    "IDLE",
    "HOLD",
    "TOTAL",
    "JOB_IDS",
  ];
  const sum = (of: (one: ClusterView) => number): number =>
    clusters.reduce((all, one) => all + of(one), 0);
  const totals = `Total for query: ${sum((one) => one.procs)} jobs; ${sum((one) => one.done)} completed, ${sum((one) => one.removed)} removed, ${sum((one) => one.idle)} idle, ${sum((one) => one.running)} running, ${sum((one) => one.held)} held`;
  return `${table(head, rows, 4)}\n\n${totals}\n`;
}

/** One line per job of a cluster; procs with the same plan are one job. */
export function jobsText({ cluster, user, at, jobs }: ClusterJobs): string {
  const rows = jobs.map((job) => [
    `${cluster}.${job.index}`,
    job.id,
    user,
    shortTime(at),
    job.letter,
    String(job.urgency === undefined ? "" : job.urgency - 1),
    job.cpus === undefined ? "" : String(job.cpus),
    job.memGb === undefined ? "" : String(Math.round(job.memGb * 1024)),
    `${job.done}/${job.procs}`,
    job.reason ?? "",
  ]);
  return `${table(["ID", "JOB", "OWNER", "SUBMITTED", "ST", "PRI", "CPUS", "MEMORY", "DONE", "REASON"], rows, 5)}\n`;
}

export function historyText(clusters: readonly ClusterView[]): string {
  const rows = clusters.map((one) => [
    String(one.cluster),
    one.user,
    one.title ?? "",
    shortTime(one.at),
    one.removed > 0 || one.state === "removed" ? "X" : "C",
    one.over === null ? "" : shortTime(one.over),
    String(one.done),
    String(one.removed),
    String(one.procs),
  ]);
  return `${table(["ID", "OWNER", "BATCH_NAME", "SUBMITTED", "ST", "COMPLETED", "DONE", "REMOVED", "TOTAL"], rows, 6)}\n`;
}

/** The output of `analyze`, which corresponds to condor_q -better-analyze. */
export function analysisText(found: AnalysisView): string {
  const lines: string[] = [`${found.job}: ${found.status}${found.started ? ", has started" : ""}`];
  if (!found.handedIn) lines.push("Its cluster is still being handed in.");
  if (found.held !== null) lines.push(`Held: ${found.held}`);
  if (found.waits !== null)
    lines.push(`Waits for its moment: ${new Date(found.waits * 1000).toISOString()}`);
  lines.push(
    "",
    `${found.machines} machines; ${found.fitting} are large enough and of a kind that the job may use.`,
  );
  if (found.clauses.length > 0) {
    const rows = found.clauses.map((clause, i) => [
      `[${i}]`,
      String(clause.alone),
      String(clause.together),
      String(clause.excludes),
      clause.text +
        (clause.unknown.length > 0 ? `   (no machine has ${clause.unknown.join(", ")})` : ""),
    ]);
    // The clause is the last column and of any length, so it is not padded.
    const widths = [4, 6, 9, 9];
    const line = (cells: readonly string[]): string =>
      cells.map((cell, i) => (i < 4 ? cell.padStart(widths[i]!) : cell)).join("  ");
    lines.push("", line(["", "alone", "together", "excludes", "clause"]), ...rows.map(line));
  }
  lines.push("");
  if (found.refusing > 0)
    lines.push(`${found.refusing} machines refuse the job by their own start expression.`);
  lines.push(
    `${found.matching} machines match. Of the ${found.kinds.all} kinds in the catalogue ${found.kinds.matching} would.`,
  );
  if (found.worst !== null) lines.push(`The clause that excludes the most: ${found.worst}`);
  return `${lines.join("\n")}\n`;
}

/** What `--dry-run` prints: the jobs that a file asks for. */
export function clusterText(cluster: PlannedCluster): string {
  const { procs, jobs, team } = cluster;
  const head = `${procs} proc${procs === 1 ? "" : "s"} in ${jobs.length} job${jobs.length === 1 ? "" : "s"} of team ${team}`;
  const parts = jobs.map(({ index, firstProc, procs: size, plan }) => {
    const range = size === 1 ? `proc ${firstProc}` : `procs ${firstProc}-${firstProc + size - 1}`;
    return [
      `job ${index}: ${range}, ${plan.urgency}, ${plan.cores} CPUs, ${Math.round(plan.memGb * 1024)} MB, ${plan.accelerators} GPUs each${plan.spot ? "" : ", no spot machines"}`,
      ...(plan.bundle === null ? [] : [`  image ${plan.bundle}`]),
      ...(plan.command === null ? [] : [`  runs ${plan.command.join(" ")}`]),
      ...(plan.requirements === "" ? [] : [`  requirements = ${plan.requirements}`]),
      ...(plan.rank === "" ? [] : [`  rank = ${plan.rank}`]),
      `  ad ${plan.ad}`,
    ].join("\n");
  });
  return `${[head, ...parts].join("\n")}\n`;
}
