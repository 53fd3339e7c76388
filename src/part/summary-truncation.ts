import { jsonBytes } from "../jobs/chunk-page.js";
import type { CapacityRequest, Summary } from "./summary.js";

/** A summary truncated to the size of a small store value: what does not fit is left out. */
interface TruncatedSummary extends Omit<Summary, "machines"> {
  machines: string[];
  /** All machine names: their common prefix, then the rest of each, separated by blanks. */
  packed: string;
  cut: true;
}

const isTruncated = (summary: Summary): summary is TruncatedSummary =>
  (summary as Partial<TruncatedSummary>).cut === true &&
  typeof (summary as Partial<TruncatedSummary>).packed === "string";

/** The longest prefix that all names share. */
function commonPrefix(names: readonly string[]): string {
  let prefix = names[0] ?? "";
  for (const name of names) while (!name.startsWith(prefix)) prefix = prefix.slice(0, -1);
  return prefix;
}

/** The first items of a list, as many as fit into the bytes as JSON. */
function takeWithinBytes<T>(items: readonly T[], bytes: number): T[] {
  const out: T[] = [];
  let bytesLeft = bytes - 2;
  for (const item of items) {
    bytesLeft -= jsonBytes(item) + 1;
    if (bytesLeft < 0) break;
    out.push(item);
  }
  return out;
}

/**
 * Truncates a summary to fit a value of the store. Kept first are use and demand, from which quotas are
 * computed; then machine names, which tell the leader that the machines exist; then the machines to be
 * returned, the largest capacity requests, and the machines that have been idle longest.
 */
export function truncatedSummary(summary: Summary, bytes: number): Summary {
  if (jsonBytes(summary) <= bytes) return summary;
  const { rooms, ...rest } = summary;
  const prefix = commonPrefix(summary.machines);
  const suffixes = summary.machines.map((name) => name.slice(prefix.length));
  const out: TruncatedSummary = {
    ...rest,
    machines: [],
    demand: [],
    need: [],
    retired: [],
    idle: {},
    packed: "",
    cut: true,
  };
  const bytesLeft = (): number => bytes - jsonBytes(out) - 16;
  const byCpus = [...summary.demand].sort((a, b) => b.cpus + b.gpus - a.cpus - a.gpus);
  out.demand = takeWithinBytes(byCpus, bytesLeft());
  out.packed = takeWithinBytes(suffixes, bytesLeft() - prefix.length).join(" ");
  if (out.packed !== "") out.packed = `${prefix} ${out.packed}`;
  out.retired = takeWithinBytes(summary.retired, bytesLeft() / 2);
  const totalCpus = (need: CapacityRequest): number => need.count * need.cpus;
  out.need = takeWithinBytes(
    [...summary.need].sort((a, b) => totalCpus(b) - totalCpus(a)),
    bytesLeft(),
  );
  const idle = Object.entries(summary.idle).sort(([, a], [, b]) => b - a);
  out.idle = Object.fromEntries(takeWithinBytes(idle, bytesLeft()));
  return out;
}

/**
 * Expands a stored summary. Members that may have been truncated are taken from the last summary known
 * of the same owner, if there is one.
 */
export function expandSummary(stored: Summary, known: Summary | undefined): Summary {
  if (!isTruncated(stored)) return stored;
  const { packed, cut: _, ...rest } = stored;
  const [prefix = "", ...suffixes] = packed === "" ? [] : packed.split(" ");
  const machines = suffixes.map((suffix) => prefix + suffix);
  if (known === undefined || known.token !== stored.token) return { ...rest, machines };
  const { need, idle, retired, demand } = known;
  return { ...rest, machines, need, idle, retired, demand };
}
