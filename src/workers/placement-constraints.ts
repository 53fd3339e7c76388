import type { JobMatcher } from "../extension/index.js";
import type { JobSpec } from "../wire/jobs.js";
import { kindAllowed, type MachineKind, type Resources } from "./machine.js";

/**
 * Decides on which machines a job's tasks may start. Placement, preemption, rebalancing and machine
 * rental all use it. Without a matcher, jobs with expressions may start nowhere.
 */
export class PlacementConstraints {
  constructor(
    readonly matcher: JobMatcher | null,
    /** Whether a job waits for other jobs to be done. */
    readonly waitsForJobs: (id: string) => boolean = () => false,
  ) {}

  /** Whether a job may start on a machine with these free resources; null for an empty machine. */
  allows(spec: JobSpec, machine: MachineKind, free: Resources | null = null): boolean {
    if (!kindAllowed(spec, machine)) return false;
    return spec.match === undefined || this.rank(spec, machine, free) !== null;
  }

  /**
   * The rank that a job with expressions gives to a machine whose type, zone and spot flag it
   * allows: higher is better. Null if it may not start there.
   */
  rank(spec: JobSpec, machine: MachineKind, free: Resources | null): number | null {
    return this.matcher === null ? null : this.matcher.rank(spec, machine, free);
  }

  /** `rank` for one job, for loops over all machines. */
  rankerFor(spec: JobSpec): (machine: MachineKind, free: Resources | null) => number | null {
    return this.matcher === null ? () => null : this.matcher.rankerFor(spec);
  }

  /**
   * Whether a job cannot start anywhere for now, whatever is free: it waits for other jobs, it is
   * held, or no machine would match. Such a job needs no resources, no quota and no machines.
   */
  cannotStart(id: string, spec: JobSpec): boolean {
    if (spec.after !== undefined && this.waitsForJobs(id)) return true;
    return spec.match !== undefined && this.matcher?.cannotStart(id, spec) !== false;
  }

  /**
   * Equal for jobs whose expressions match all machines alike; null if the result depends on a
   * machine's free resources or on time.
   */
  equivalenceKey(spec: JobSpec): string | null {
    if (spec.match === undefined) return "";
    return this.matcher?.equivalenceKey(spec) ?? null;
  }
}
