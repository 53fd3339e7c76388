import type { JobInspection, PartInspection } from "../part/inspect.js";

/** What one controller says when it is asked about a job, or about everything. */
export interface View {
  node: string;
  /** Seconds since it is known to have seen every change of the state service. */
  contactS: number;
  /** Whether its own claims certainly hold. */
  valid: boolean;
  /** Whether it has read all keys once. */
  ready: boolean;
  leads: boolean;
  /** Who owns each part by the claims that it sees; null: nobody. */
  owners: (string | null)[];
  /** The job's header, as it sees it; null when it sees none, or no job was asked for. */
  job: { status: string; parts: (number | null)[]; tasks: number } | null;
  parts: PartInspection[];
  /** Machines by state in the cloud's list, and rental as the leader sees it; null: it does not lead. */
  rental: { booting: number; overdue: number; reachable: boolean } | null;
}

export type Kind =
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

/** One thing that stands still, or goes on, and why. */
export interface Obstacle {
  kind: Kind;
  /** The part that it is about; null for the whole job. */
  part: number | null;
  /** Tasks concerned; 0 when that is not known. */
  tasks: number;
  /** Since when, seconds; null when that cannot be known. */
  sinceS: number | null;
  /** What is known of it in figures, for people. */
  detail: string;
}

const whole = (kind: Kind, detail: string, tasks = 0): Obstacle => ({
  kind,
  part: null,
  tasks,
  sinceS: null,
  detail,
});

/** Why the waiting tasks of a job do not start in the part where they are. The first that holds. */
export function whyWaiting(
  job: JobInspection,
  part: PartInspection,
  rental: View["rental"],
): { kind: Kind; detail: string } {
  const { machines } = job;
  const say = (kind: Kind, detail: string) => ({ kind, detail });
  if (part.settling)
    return say("restoring", "nothing is placed before all records are vouched for");
  const [first] = job.awaits ?? [];
  if (first !== undefined) {
    const others = job.awaits!.length > 1 ? ` and ${job.awaits!.length - 1} more` : "";
    const due = job.dueS == null ? "" : `, due in ${job.dueS} s`;
    return say("awaits others", `${first}${others}; done in ${job.expectedS} s by estimates${due}`);
  }
  if (job.held !== null) return say("held", job.held);
  if (job.idle) return say("matches nothing", "its requirements are true on no machine there is");
  if (!job.fitsSome) return say("fits nowhere", `no type holds a task of ${job.cpus} CPUs`);
  if (job.failures > 1) {
    const next = job.pauseS > 0 ? `, next try in ${job.pauseS} s` : "";
    return say("failing", `${job.failures} failures in a row${next}`);
  }
  if (job.behind) {
    return say("behind a priority", `a higher priority of ${job.team} lacks quota as well`);
  }
  if (!job.fitsQuota) {
    const left = job.sliceLeft ?? 0;
    return say(
      "quota",
      `${left} CPUs are left of ${job.team}'s slice here, a task takes ${job.cpus}`,
    );
  }
  if (machines.allowed === 0) {
    if (rental !== null && rental.overdue > 0) {
      return say("boot overdue", `${rental.overdue} machines have not come up in their time`);
    }
    if (rental !== null && rental.booting > 0) return say("booting", `${rental.booting} machines`);
    return say("no machine of the kind", `${machines.usable} of others take tasks here`);
  }
  if (machines.roomy > 0) {
    if (job.lent) return say("lent room", "what is free is kept for teams with a guarantee");
    if (part.changesLeft < 0) {
      return say(
        "change budget spent",
        `${-part.changesLeft} changes are owed to the state service`,
      );
    }
    return say("about to start", `${machines.roomy} machines have room`);
  }
  if (job.reserved > 0) return say("reserved", `room is being made on ${job.reserved} machines`);
  if (rental !== null && rental.overdue > 0) {
    return say("boot overdue", `${rental.overdue} machines have not come up in their time`);
  }
  return say("no room", `${machines.allowed} machines may take it, none has ${job.cpus} CPUs free`);
}

/**
 * What becomes of a job, from what the controllers say that could be asked. Never wrong, at worst
 * "not known": what only a controller knows that did not answer is said not to be known.
 */
export function explain(
  id: string,
  views: readonly View[],
  unanswered: readonly string[],
): Obstacle[] {
  // Who has heard the state service last knows best.
  const fresh = [...views].sort((a, b) => a.contactS - b.contactS);
  const best = fresh.find(({ job }) => job !== null);
  if (best === undefined) {
    const ready = fresh.some(({ ready, contactS }) => ready && contactS < 5);
    if (!ready)
      return [
        whole("not known", "no controller that was asked has heard the state service lately"),
      ];
    return [
      whole("unknown job", `no controller knows ${id}: it was never accepted, or was archived`),
    ];
  }
  const { status, parts, tasks } = best.job!;
  if (status !== "open") return [whole("over", status, tasks)];
  const found: Obstacle[] = [];
  const rental = views.find(({ leads }) => leads)?.rental ?? null;
  for (const part of new Set(parts)) {
    if (part === null) continue;
    found.push(...inPart(id, part, fresh, best.owners[part] ?? null, unanswered, rental));
  }
  if (found.length === 0)
    return [whole("running", "all its parts have finished; its end is being written")];
  return found;
}

function inPart(
  id: string,
  part: number,
  views: readonly View[],
  owner: string | null,
  unanswered: readonly string[],
  rental: View["rental"],
): Obstacle[] {
  const about = (kind: Kind, detail: string, more: Partial<Obstacle> = {}): Obstacle => ({
    ...whole(kind, detail),
    part,
    ...more,
  });
  if (owner === null) return [about("no owner", "nobody has claimed it; the next controller will")];
  // Two may think that they own it: the higher token is right.
  const candidates = views
    .flatMap((view) => view.parts.filter((one) => one.part === part).map((one) => ({ view, one })))
    .sort((a, b) => b.one.token - a.one.token);
  const [first] = candidates;
  if (first === undefined) {
    // Only the owner itself can say that it has not read its records yet.
    if (views.some(({ node }) => node === owner)) {
      return [about("restoring", `${owner} has claimed it and is reading its records`)];
    }
    return unanswered.length > 0
      ? [about("owner silent", `${owner} owns it and has not answered, unless it was not asked`)]
      : [about("not known", `${owner} owns it and was not asked`)];
  }
  const { view, one } = first;
  if (!view.valid) {
    const why = `${view.node} heard the state service ${view.contactS} s ago`;
    return [about(view.contactS > 5 ? "cut from the store" : "claim in doubt", why)];
  }
  const job = one.jobs.find((known) => known.id === id);
  if (job === undefined)
    return [about("being handed on", `${view.node} is reading what came along`)];
  const found: Obstacle[] = [];
  if (job.placed > 0 && job.unheardS > 10) {
    found.push(
      about("machine silent", "its tasks there count until they are proved gone", {
        tasks: job.placed,
        sinceS: job.unheardS,
      }),
    );
  } else if (job.placed > 0) {
    found.push(
      about("running", `${job.running} of ${job.placed} placed run`, { tasks: job.placed }),
    );
  }
  if (job.leaving > 0) {
    found.push(about("being handed on", "to a part with room", { tasks: job.leaving }));
  }
  if (job.pending > 0) {
    const { kind, detail } = whyWaiting(job, one, rental);
    found.push(about(kind, detail, { tasks: job.pending, sinceS: job.waitedS }));
  }
  return found;
}
