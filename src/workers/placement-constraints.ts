import type { JobMatcher } from "../extension/index.js";
import type { JobSpec } from "../wire/jobs.js";
import { kindAllowed, type MachineKind, type Resources } from "./machine.js";

/**
 * Where tasks may start: the one question that is asked when a task is placed, when room is made
 * for it, when a chunk is handed on, and for what is rented. Without the package that reads them,
 * jobs with expressions may start nowhere.
 */
export class PlacementConstraints {
  constructor(
    readonly matcher: JobMatcher | null,
    /** Whether a job waits for others to be done. */
    readonly waits: (id: string) => boolean = () => false,
  ) {}

  /** `room` is what is free there; null for a machine with nothing on it. */
  allows(spec: JobSpec, on: MachineKind, room: Resources | null = null): boolean {
    if (!kindAllowed(spec, on)) return false;
    return spec.match === undefined || this.rank(spec, on, room) !== null;
  }

  /**
   * How much a job with expressions prefers a machine of a type, zone and kind that it may use: more
   * is better. Null: it may not start there.
   */
  rank(spec: JobSpec, on: MachineKind, room: Resources | null): number | null {
    return this.matcher === null ? null : this.matcher.rank(spec, on, room);
  }

  /** `rank` of one job, for whoever goes through all machines. */
  rankerFor(spec: JobSpec): (on: MachineKind, room: Resources | null) => number | null {
    return this.matcher === null ? () => null : this.matcher.rankerFor(spec);
  }

  /**
   * Whether a job cannot start anywhere for the time being, whatever room there is: it waits for other
   * jobs, it is held, or no machine would match. It then wants no room, no quota and no machines.
   */
  cannotStart(id: string, spec: JobSpec): boolean {
    if (spec.after !== undefined && this.waits(id)) return true;
    return spec.match !== undefined && this.matcher?.cannotStart(id, spec) !== false;
  }

  /**
   * The same text for jobs that all machines answer alike, as far as expressions go; null when the
   * answer changes with a machine's room or with time.
   */
  equivalenceKey(spec: JobSpec): string | null {
    if (spec.match === undefined) return "";
    return this.matcher?.equivalenceKey(spec) ?? null;
  }
}
