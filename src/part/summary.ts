import { isMap } from "../wire/cbor.js";
import { expandSummary } from "./summary-truncation.js";

/** State of a part that its owner publishes: stored, and sent to the other controllers sooner. */
export interface Summary {
  /** Use by team: CPUs and GPUs of tasks placed and not proved gone. */
  use: Record<string, [number, number]>;
  /** Resources that a team's tasks of one priority use and wait for. */
  demand: { team: string; rank: number; cpus: number; gpus: number }[];
  /** Waiting tasks by shape, as machines to rent; those beyond their team's limit are marked `lent`. */
  need: CapacityRequest[];
  /** Teams whose quota slice is too small here, with what they lack. */
  short: Record<string, [number, number]>;
  /** Machines that may be given tasks, by kind. */
  kinds: KindCapacity[];
  /** CPUs of waiting tasks, over all teams. */
  waiting: number;
  /** CPU seconds of their work, by the estimates of their owners. */
  workS: number;
  machines: string[];
  /** Retired machines without tasks, and silent ones: to be returned to the cloud. */
  retired: string[];
  /** Machines without tasks, and for how long they have been idle, seconds. */
  idle: Record<string, number>;
  /** Free resources by machine, equal ones counted together; only with a package that needs them. */
  rooms?: FreeCapacity[];
  /** CPUs of waiting tasks that lack only free resources: within their slice, not preemptible. */
  starved?: number;
  token: number;
  /** Number of this summary, counted by its owner. */
  seq: number;
  /** Jobs with expressions, with tasks placed and done here; sent to the others, not stored. */
  progress?: [job: string, placed: number, done: number][];
}

/** Machines of one zone with equal free resources, and how many there are. */
export interface FreeCapacity {
  zone: string;
  cpus: number;
  gpus: number;
  memGb: number;
  count: number;
}

export interface KindCapacity {
  type: string;
  zone: string;
  spot: boolean;
  /** All CPUs, free CPUs, and the most that are free on one machine. */
  capacity: number;
  free: number;
  most: number;
}

export interface CapacityRequest {
  cpus: number;
  gpus: number;
  memGb: number;
  spot: boolean;
  types: string[] | null;
  zone: string | null;
  count: number;
  /** Highest price of a core per hour at which machines are rented for it. */
  most?: number;
  /** A job whose expressions decide which machines are suitable. */
  job?: string;
  /** Runs on lent resources, or is beyond its team's limit: no expensive machine is rented for it. */
  lent?: boolean;
}

const isPair = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && value.every(Number.isFinite);

/**
 * Checks the members that other parts compute with. They must be finite numbers: one that was not
 * made every sum that included it NaN, and so the quota slices that were written from these sums.
 */
export function isSummary(value: unknown): value is Summary {
  if (!isMap(value) || !isMap(value.use) || !isMap(value.short)) return false;
  const { use, short, demand, kinds, waiting, workS, token, seq } = value;
  return (
    [waiting, workS, token, seq].every(Number.isFinite) &&
    Object.values(use).every(isPair) &&
    Object.values(short).every(isPair) &&
    Array.isArray(demand) &&
    demand.every((one) => isMap(one) && Number.isFinite(one.cpus) && Number.isFinite(one.gpus)) &&
    Array.isArray(kinds) &&
    kinds.every(
      (kind) =>
        isMap(kind) &&
        Number.isFinite(kind.capacity) &&
        Number.isFinite(kind.free) &&
        Number.isFinite(kind.most),
    )
  );
}

/** Keeps the newest summary of every part, from the store or directly from its owner. */
export class Summaries {
  readonly #newest = new Map<number, Summary>();

  offer(part: number, summary: Summary): void {
    const known = this.#newest.get(part);
    if (
      known !== undefined &&
      (known.token > summary.token || (known.token === summary.token && known.seq >= summary.seq))
    ) {
      return;
    }
    this.#newest.set(part, expandSummary(summary, known));
  }

  of(part: number): Summary | undefined {
    return this.#newest.get(part);
  }

  all(): [number, Summary][] {
    return [...this.#newest];
  }
}

/** Sums up the capacity of all kinds of machines that pass `usable`. */
export function totalCapacity(
  kinds: readonly KindCapacity[],
  usable: (kind: KindCapacity) => boolean,
): Pick<KindCapacity, "capacity" | "free" | "most"> {
  const sum = { capacity: 0, free: 0, most: 0 };
  for (const kind of kinds) {
    if (!usable(kind)) continue;
    sum.capacity += kind.capacity;
    sum.free += kind.free;
    sum.most = Math.max(sum.most, kind.most);
  }
  return sum;
}
