import type { JobInspection, PartInspection } from "../part/inspect.js";

/** What one controller answers when it is queried about one job, or about all stuck jobs. */
export interface ControllerView {
  node: string;
  /**
   * Seconds since this controller was last known to have seen every change of the state service.
   */
  contactS: number;
  /** Whether its own claims are certainly still valid. */
  valid: boolean;
  /** Whether it has read all watched keys once. */
  ready: boolean;
  leads: boolean;
  /** Owner of each part according to the claims this controller sees; null: no owner. */
  owners: (string | null)[];
  /** The job's header as this controller sees it; null if it has none, or no job was queried. */
  job: { status: string; parts: (number | null)[]; tasks: number } | null;
  parts: PartInspection[];
  /**
   * Machine rental as the leader sees it: machines of the cloud's list by state; null: not the
   * leader.
   */
  rental: { booting: number; overdue: number; reachable: boolean } | null;
}

export type ObstacleKind =
  | "unknown job"
  | "over"
  | "not known"
  | "no owner"
  | "owner silent"
  | "cut from the store"
  | "claim in doubt"
  | "restoring"
  | "being handed on"
  | "machine silent"
  | "awaits others"
  | "held"
  | "matches nothing"
  | "failing"
  | "fits nowhere"
  | "behind a priority"
  | "quota"
  | "change budget spent"
  | "no machine of the kind"
  | "boot overdue"
  | "booting"
  | "lent room"
  | "reserved"
  | "no room"
  | "about to start"
  | "running";

/** The state of a job, or of its tasks in one part, and the reason for it. */
export interface Obstacle {
  kind: ObstacleKind;
  /** The part concerned; null for the whole job. */
  part: number | null;
  /** Number of tasks concerned; 0 if not known. */
  tasks: number;
  /** For how long, seconds; null if that cannot be known. */
  sinceS: number | null;
  /** Details with figures, for people. */
  detail: string;
}

const jobObstacle = (kind: ObstacleKind, detail: string, tasks = 0): Obstacle => ({
  kind,
  part: null,
  tasks,
  sinceS: null,
  detail,
});

/** Why the pending tasks of a job do not start in their part: the first reason that applies. */
export function waitReason(
  job: JobInspection,
  part: PartInspection,
  rental: ControllerView["rental"],
): { kind: ObstacleKind; detail: string } {
  const { machines } = job;
  const reason = (kind: ObstacleKind, detail: string) => ({ kind, detail });
  if (part.settling)
    return reason(
      "restoring",
      "nothing is placed until restore reconciliation has found all running tasks",
    );
  const [first] = job.awaits ?? [];
  if (first !== undefined) {
    const othersText = job.awaits!.length > 1 ? ` and ${job.awaits!.length - 1} more` : "";
    const dueText = job.dueS == null ? "" : `, due in ${job.dueS} s`;
    return reason(
      "awaits others",
      `${first}${othersText}; expected to be done in ${job.expectedS} s${dueText}`,
    );
  }
  if (job.held !== null) return reason("held", job.held);
  if (job.idle) return reason("matches nothing", "no machine satisfies its requirements");
  if (!job.fitsSome)
    return reason("fits nowhere", `no machine type is large enough for a task of ${job.cpus} CPUs`);
  if (job.failures > 1) {
    const nextTryText = job.pauseS > 0 ? `, next try in ${job.pauseS} s` : "";
    return reason("failing", `${job.failures} failures in a row${nextTryText}`);
  }
  if (job.behind) {
    return reason(
      "behind a priority",
      `jobs of ${job.team} with a higher priority lack quota as well`,
    );
  }
  if (!job.fitsQuota) {
    const left = job.sliceLeft ?? 0;
    return reason(
      "quota",
      `${job.team}'s quota slice in this part has ${left} CPUs left, a task needs ${job.cpus}`,
    );
  }
  if (machines.allowed === 0) {
    if (rental !== null && rental.overdue > 0) {
      return reason("boot overdue", `${rental.overdue} machines have not come up in their time`);
    }
    if (rental !== null && rental.booting > 0)
      return reason("booting", `${rental.booting} machines`);
    return reason(
      "no machine of the kind",
      `${machines.usable} machines of other kinds accept tasks here`,
    );
  }
  if (machines.roomy > 0) {
    if (job.lent)
      return reason("lent room", "the free resources are kept for teams with a guarantee");
    if (part.changesLeft < 0) {
      return reason(
        "change budget spent",
        `the write rate limit is exceeded by ${-part.changesLeft} changes`,
      );
    }
    return reason("about to start", `${machines.roomy} machines have free resources for it`);
  }
  if (job.reserved > 0)
    return reason("reserved", `tasks are being stopped for it on ${job.reserved} machines`);
  if (rental !== null && rental.overdue > 0) {
    return reason("boot overdue", `${rental.overdue} machines have not come up in their time`);
  }
  return reason(
    "no room",
    `${machines.allowed} machines may run it, none has enough free resources for a task of ${job.cpus} CPUs`,
  );
}

/**
 * Explains the state of a job from the answers of the controllers that could be queried. It never
 * guesses: what only a controller knows that did not answer is reported as "not known".
 */
export function explainJob(
  id: string,
  views: readonly ControllerView[],
  unanswered: readonly string[],
): Obstacle[] {
  // Prefer the controller with the most recent contact with the state service.
  const byContact = [...views].sort((a, b) => a.contactS - b.contactS);
  const latestWithJob = byContact.find(({ job }) => job !== null);
  if (latestWithJob === undefined) {
    const ready = byContact.some(({ ready, contactS }) => ready && contactS < 5);
    if (!ready)
      return [
        jobObstacle(
          "not known",
          "none of the queried controllers has had recent contact with the state service",
        ),
      ];
    return [
      jobObstacle(
        "unknown job",
        `no controller knows ${id}: it was never accepted, or it has been archived`,
      ),
    ];
  }
  const { status, parts, tasks } = latestWithJob.job!;
  if (status !== "open") return [jobObstacle("over", status, tasks)];
  const found: Obstacle[] = [];
  const rental = views.find(({ leads }) => leads)?.rental ?? null;
  for (const part of new Set(parts)) {
    if (part === null) continue;
    found.push(
      ...obstaclesInPart(
        id,
        part,
        byContact,
        latestWithJob.owners[part] ?? null,
        unanswered,
        rental,
      ),
    );
  }
  if (found.length === 0)
    return [
      jobObstacle("running", "all its parts have finished; its final status is being written"),
    ];
  return found;
}

function obstaclesInPart(
  id: string,
  part: number,
  views: readonly ControllerView[],
  owner: string | null,
  unanswered: readonly string[],
  rental: ControllerView["rental"],
): Obstacle[] {
  const partObstacle = (
    kind: ObstacleKind,
    detail: string,
    more: Partial<Obstacle> = {},
  ): Obstacle => ({
    ...jobObstacle(kind, detail),
    part,
    ...more,
  });
  if (owner === null)
    return [
      partObstacle(
        "no owner",
        "no controller has claimed this part; another controller will claim it",
      ),
    ];
  // Two controllers may both believe that they own the part: the higher fencing token is right.
  const candidates = views
    .flatMap((view) => view.parts.filter((one) => one.part === part).map((one) => ({ view, one })))
    .sort((a, b) => b.one.token - a.one.token);
  const [first] = candidates;
  if (first === undefined) {
    // Only the owner itself can tell that it has not loaded its records yet.
    if (views.some(({ node }) => node === owner)) {
      return [
        partObstacle("restoring", `${owner} has claimed this part and is loading its records`),
      ];
    }
    return unanswered.length > 0
      ? [
          partObstacle(
            "owner silent",
            `${owner} owns this part and did not answer, or was not queried`,
          ),
        ]
      : [partObstacle("not known", `${owner} owns this part and was not queried`)];
  }
  const { view, one: inspection } = first;
  if (!view.valid) {
    const why = `last contact of ${view.node} with the state service was ${view.contactS} s ago`;
    return [partObstacle(view.contactS > 5 ? "cut from the store" : "claim in doubt", why)];
  }
  const job = inspection.jobs.find((known) => known.id === id);
  if (job === undefined)
    return [
      partObstacle("being handed on", `${view.node} is loading the chunk that was handed over`),
    ];
  const found: Obstacle[] = [];
  if (job.placed > 0 && job.unheardS > 10) {
    found.push(
      partObstacle(
        "machine silent",
        "its tasks there count as placed until they are proved to be gone",
        {
          tasks: job.placed,
          sinceS: job.unheardS,
        },
      ),
    );
  } else if (job.placed > 0) {
    found.push(
      partObstacle("running", `${job.running} of ${job.placed} placed tasks are running`, {
        tasks: job.placed,
      }),
    );
  }
  if (job.leaving > 0) {
    found.push(
      partObstacle("being handed on", "to a part with free resources", { tasks: job.leaving }),
    );
  }
  if (job.pending > 0) {
    const { kind, detail } = waitReason(job, inspection, rental);
    found.push(partObstacle(kind, detail, { tasks: job.pending, sinceS: job.waitedS }));
  }
  return found;
}
