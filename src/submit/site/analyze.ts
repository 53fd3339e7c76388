import { clauses, Expression, print, truth } from "../../classad/index.js";
import type { KindCapacity } from "../../part/summary.js";
import type { MachineType } from "../../wire/cloud.js";
import type { JobSpec } from "../../wire/jobs.js";
import { kindAllowed, typeFits } from "../../workers/machine.js";
import { catalogueKinds, putFreeResources } from "./machine-ads.js";
import type { Matcher } from "./matcher.js";

/** How many of the present machines one clause of a job's requirements matches. */
export interface ClauseView {
  text: string;
  /** Machines for which it is TRUE by itself. */
  alone: number;
  /** Machines for which it and all clauses before it are TRUE. */
  together: number;
  /** Machines that do not match, but would without this clause. */
  excludes: number;
  /** Attributes that it reads and that no machine, nor the job, has. */
  unknown: string[];
}

export interface Analysis {
  machines: number;
  /** Machines whose type, zone, spot kind and size the job allows. */
  fitting: number;
  matching: number;
  /** Machine kinds of the catalogue: those whose machines would match, and all. */
  kinds: { matching: number; all: number };
  /** Machines whose own `start` is not TRUE for the job. */
  refusing: number;
  clauses: ClauseView[];
  /** The clause that excludes the most machines; null when there is none. */
  worst: string | null;
}

/**
 * Why a job does, or does not, match: evaluates each clause of its requirements against an empty
 * machine of each kind, counted by the present machines of the kind. A pure function.
 */
export function analyze(
  spec: JobSpec,
  matcher: Matcher,
  capacities: readonly KindCapacity[],
  types: ReadonlyMap<string, MachineType>,
  zones: readonly string[],
): Analysis {
  const job = matcher.jobAd(spec);
  const clauseExpressions =
    job.requirements === null
      ? []
      : clauses(job.requirements.node).map((node) => new Expression(node));
  const views: ClauseView[] = clauseExpressions.map((part) => ({
    text: print(part.node),
    alone: 0,
    together: 0,
    excludes: 0,
    unknown: [],
  }));
  const attributesRead = clauseExpressions.map((part) => [...part.reads(job.ad).target]);
  const knownAttributes = new Set<string>();
  const counts = new Map<string, number>();
  for (const { type, zone, spot, capacity } of capacities) {
    const size = types.get(type)?.cpus ?? 0;
    if (size <= 0) continue;
    const key = `${type}/${zone}/${spot}`;
    counts.set(key, (counts.get(key) ?? 0) + Math.round(capacity / size));
  }
  const analysis: Analysis = {
    machines: 0,
    fitting: 0,
    matching: 0,
    kinds: { matching: 0, all: 0 },
    refusing: 0,
    clauses: views,
    worst: null,
  };
  for (const { kind, type } of catalogueKinds(types, zones)) {
    const count = counts.get(`${kind.type}/${kind.zone}/${kind.spot}`) ?? 0;
    analysis.machines += count;
    analysis.kinds.all++;
    const { ad, start } = matcher.kind(kind)!;
    putFreeResources(ad, type);
    for (const { key } of ad.attributes()) knownAttributes.add(key);
    if (!kindAllowed(spec, kind) || !typeFits(spec, type)) continue;
    analysis.fitting += count;
    const now = { now: matcher.nowS() };
    const satisfied = clauseExpressions.map(
      (part) => truth(part.evaluate({ my: job.ad, target: ad }, now).value) === true,
    );
    const starts =
      start === null || truth(start.evaluate({ my: ad, target: job.ad }, now).value) === true;
    if (!starts) analysis.refusing += count;
    const unsatisfied = satisfied.filter((one) => !one).length;
    for (const [i, view] of views.entries()) {
      if (satisfied[i]) view.alone += count;
      if (satisfied.slice(0, i + 1).every(Boolean)) view.together += count;
      if (!satisfied[i] && unsatisfied === 1) view.excludes += count;
    }
    if (unsatisfied === 0 && starts) {
      analysis.matching += count;
      analysis.kinds.matching++;
    }
  }
  for (const [i, view] of views.entries()) {
    view.unknown = attributesRead[i]!.filter((name) => !knownAttributes.has(name));
  }
  const [worst] = [...views].sort((a, b) => a.alone - b.alone);
  if (worst !== undefined && worst.alone < analysis.fitting) analysis.worst = worst.text;
  else if (worst !== undefined && analysis.fitting === 0 && worst.unknown.length > 0)
    analysis.worst = worst.text;
  return analysis;
}
