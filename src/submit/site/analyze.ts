import { clauses, Expression, print, truth } from "../../classad/index.js";
import type { KindCapacity } from "../../part/summary.js";
import type { MachineType } from "../../wire/cloud.js";
import type { JobSpec } from "../../wire/jobs.js";
import { kindAllowed, typeFits } from "../../workers/machine.js";
import { kindsOf, putRoom } from "./kinds.js";
import type { Matcher } from "./matcher.js";

/** One clause of a job's requirements against the machines there are. */
export interface ClauseView {
  text: string;
  /** Machines for which it is TRUE by itself. */
  alone: number;
  /** Machines for which it and all clauses before it are TRUE. */
  together: number;
  /** Machines that would match if only this clause were not there, and that do not match now. */
  excludes: number;
  /** Attributes that it reads and that no machine, nor the job, has. */
  unknown: string[];
}

export interface Analysis {
  machines: number;
  /** Machines that type, zone, kind and size leave. */
  fitting: number;
  matching: number;
  /** Kinds of the catalogue that would match if there were one, and all that there are. */
  kinds: { matching: number; all: number };
  /** Machines whose own `start` is not TRUE for the job. */
  refusing: number;
  clauses: ClauseView[];
  /** The clause that excludes the most machines; null when there is none. */
  worst: string | null;
}

/**
 * Why a job does, or does not, match: each clause of its requirements against empty machines of
 * each kind, by how many machines there are of it. A pure function of what it is given.
 */
export function analyze(
  spec: JobSpec,
  matcher: Matcher,
  rooms: readonly KindCapacity[],
  types: ReadonlyMap<string, MachineType>,
  zones: readonly string[],
): Analysis {
  const job = matcher.jobAd(spec);
  const parts =
    job.requirements === null
      ? []
      : clauses(job.requirements.node).map((node) => new Expression(node));
  const views: ClauseView[] = parts.map((part) => ({
    text: print(part.node),
    alone: 0,
    together: 0,
    excludes: 0,
    unknown: [],
  }));
  const seen = parts.map((part) => [...part.reads(job.ad).target]);
  const known = new Set<string>();
  const counts = new Map<string, number>();
  for (const { type, zone, spot, capacity } of rooms) {
    const size = types.get(type)?.cpus ?? 0;
    if (size <= 0) continue;
    const key = `${type}/${zone}/${spot}`;
    counts.set(key, (counts.get(key) ?? 0) + Math.round(capacity / size));
  }
  const out: Analysis = {
    machines: 0,
    fitting: 0,
    matching: 0,
    kinds: { matching: 0, all: 0 },
    refusing: 0,
    clauses: views,
    worst: null,
  };
  for (const { kind, type } of kindsOf(types, zones)) {
    const count = counts.get(`${kind.type}/${kind.zone}/${kind.spot}`) ?? 0;
    out.machines += count;
    out.kinds.all++;
    const { ad, start } = matcher.kind(kind)!;
    putRoom(ad, type);
    for (const { key } of ad.attributes()) known.add(key);
    if (!kindAllowed(spec, kind) || !typeFits(spec, type)) continue;
    out.fitting += count;
    const now = { now: matcher.now() };
    const is = parts.map(
      (part) => truth(part.evaluate({ my: job.ad, target: ad }, now).value) === true,
    );
    const starts =
      start === null || truth(start.evaluate({ my: ad, target: job.ad }, now).value) === true;
    if (!starts) out.refusing += count;
    const missing = is.filter((one) => !one).length;
    for (const [i, view] of views.entries()) {
      if (is[i]) view.alone += count;
      if (is.slice(0, i + 1).every(Boolean)) view.together += count;
      if (!is[i] && missing === 1) view.excludes += count;
    }
    if (missing === 0 && starts) {
      out.matching += count;
      out.kinds.matching++;
    }
  }
  for (const [i, view] of views.entries()) {
    view.unknown = seen[i]!.filter((name) => !known.has(name));
  }
  const [worst] = [...views].sort((a, b) => a.alone - b.alone);
  if (worst !== undefined && worst.alone < out.fitting) out.worst = worst.text;
  else if (worst !== undefined && out.fitting === 0 && worst.unknown.length > 0)
    out.worst = worst.text;
  return out;
}
