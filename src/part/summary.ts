import { isMap } from "../wire/cbor.js";
import { fullSummary } from "./summary-truncation.js";

/** What a part's owner tells the others: written to the store, and sent when it is urgent. */
export interface Summary {
  /** Use by team: CPUs and GPUs of tasks placed and not proved gone. */
  use: Record<string, [number, number]>;
  /** What the tasks of a team at one priority use and wait for. */
  demand: { team: string; rank: number; cpus: number; gpus: number }[];
  /** Waiting tasks by shape, those that their team's limit allows. */
  need: CapacityRequest[];
  /** Teams whose slice is too small here, with what is missing. */
  short: Record<string, [number, number]>;
  /** The machines that take tasks, by kind. */
  kinds: KindCapacity[];
  /** CPUs of tasks that wait, over all teams. */
  waiting: number;
  /** How long one CPU would work on them, by the estimates of their owners, in seconds. */
  workS: number;
  machines: string[];
  /** Machines no longer used here, and silent ones: to be returned. */
  retired: string[];
  /** Machines without tasks, with seconds idle. */
  idle: Record<string, number>;
  /** Free room machine by machine, alike ones together; only with a package that asks for it. */
  rooms?: FreeCapacity[];
  /** CPUs of waiting tasks that only lack room: within their team's slice, and not yielding. */
  starved?: number;
  token: number;
  /** Counts the summaries of one owner. */
  seq: number;
  /** Jobs with expressions, with tasks placed and done here; told to the others, not stored. */
  progress?: [job: string, placed: number, done: number][];
}

/** Machines of one zone with the same free room, and how many there are. */
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
  /** All CPUs, those that are free, and the most that are free on one machine. */
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
  /** Only machines whose cores cost at most this an hour are worth renting for it. */
  most?: number;
  /** A job whose expressions say which machines will do. */
  job?: string;
  /** Of a team without a guarantee: it borrows what is there, and has nothing dear rented for it. */
  lent?: boolean;
}

const isPair = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && value.every(Number.isFinite);

/**
 * Numbers that others add up have to be some: one that was not made every sum that it went into
 * none either, and with them the slices that were written by it.
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

/** The newest summary of every part, from the store or from its owner directly. */
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
    this.#newest.set(part, fullSummary(summary, known));
  }

  of(part: number): Summary | undefined {
    return this.#newest.get(part);
  }

  all(): [number, Summary][] {
    return [...this.#newest];
  }
}

/** What machines of the kinds that pass `usable` have, together. */
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
