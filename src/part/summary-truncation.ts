import { jsonBytes } from "../jobs/chunk-page.js";
import type { CapacityRequest, Summary } from "./summary.js";

/** A summary as a small value of the store holds it: what it has no room for is left out. */
interface Cut extends Omit<Summary, "machines"> {
  machines: string[];
  /** All machines: what their names begin with, and the rest of each, joined by blanks. */
  packed: string;
  cut: true;
}

const isCut = (summary: Summary): summary is Cut =>
  (summary as Partial<Cut>).cut === true && typeof (summary as Partial<Cut>).packed === "string";

/** What all names begin with. */
function prefixOf(names: readonly string[]): string {
  let prefix = names[0] ?? "";
  for (const name of names) while (!name.startsWith(prefix)) prefix = prefix.slice(0, -1);
  return prefix;
}

/** As many of a list as there are bytes for, the first ones first. */
function some<T>(items: readonly T[], bytes: number): T[] {
  const out: T[] = [];
  let left = bytes - 2;
  for (const item of items) {
    left -= jsonBytes(item) + 1;
    if (left < 0) break;
    out.push(item);
  }
  return out;
}

/**
 * The form of a summary that fits a value: use and demand first, by which quotas go, then the names of
 * machines, by which the leader knows that they are there, then what is to be returned, what is needed
 * most and what has been idle for longest.
 */
export function truncatedSummary(summary: Summary, bytes: number): Summary {
  if (jsonBytes(summary) <= bytes) return summary;
  const { rooms, ...rest } = summary;
  const prefix = prefixOf(summary.machines);
  const ends = summary.machines.map((name) => name.slice(prefix.length));
  const out: Cut = {
    ...rest,
    machines: [],
    demand: [],
    need: [],
    retired: [],
    idle: {},
    packed: "",
    cut: true,
  };
  const left = (): number => bytes - jsonBytes(out) - 16;
  const byCpus = [...summary.demand].sort((a, b) => b.cpus + b.gpus - a.cpus - a.gpus);
  out.demand = some(byCpus, left());
  out.packed = some(ends, left() - prefix.length).join(" ");
  if (out.packed !== "") out.packed = `${prefix} ${out.packed}`;
  out.retired = some(summary.retired, left() / 2);
  const most = (need: CapacityRequest): number => need.count * need.cpus;
  out.need = some(
    [...summary.need].sort((a, b) => most(b) - most(a)),
    left(),
  );
  const idle = Object.entries(summary.idle).sort(([, a], [, b]) => b - a);
  out.idle = Object.fromEntries(some(idle, left()));
  return out;
}

/**
 * A summary from the store, with what had no room in it as the same owner told it before, if it is known.
 */
export function fullSummary(stored: Summary, known: Summary | undefined): Summary {
  if (!isCut(stored)) return stored;
  const { packed, cut: _, ...rest } = stored;
  const [prefix = "", ...ends] = packed === "" ? [] : packed.split(" ");
  const machines = ends.map((end) => prefix + end);
  if (known === undefined || known.token !== stored.token) return { ...rest, machines };
  const { need, idle, retired, demand } = known;
  return { ...rest, machines, need, idle, retired, demand };
}
