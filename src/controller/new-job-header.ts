import type { Attachment, Core } from "../extension/index.js";
import {
  chooseChunkSize,
  type JobHeader,
  partChar,
  requiresSinglePart,
} from "../jobs/job-header.js";
import { totalCapacity } from "../part/summary.js";
import { storedSpec } from "../pipeline/index.js";
import type { JobSpec } from "../wire/jobs.js";
import type { PlacementConstraints } from "../workers/placement-constraints.js";

/** Creates the header of a new job, with its chunks divided among the parts by their free CPUs. */
export function newJobHeader(
  { layout, summaries, store, clock }: Core,
  attachments: readonly Attachment[],
  places: PlacementConstraints,
  spec: JobSpec,
): JobHeader {
  const { parts } = layout;
  const chunkSize = chooseChunkSize(spec.tasks, parts, store.limits.valueBytes);
  const count = Math.ceil(spec.tasks / chunkSize);
  const policy = attachments.find((one) => one.policy?.preemptible(spec.team))?.policy;
  const freeCpus = Array.from({ length: parts }, (_, part) => {
    const summary = summaries.of(part);
    // A team with an allowance can use no more than that, whatever is free.
    const allowance = policy?.allowance(spec.team, part);
    if (allowance != null) return allowance.startLimit.cpus - (summary?.use[spec.team]?.[0] ?? 0);
    if (summary === undefined) return 0;
    return totalCapacity(summary.kinds, (kind) => places.allows(spec, kind)).free - summary.waiting;
  });
  let owners = "";
  const eligible = spec.zone === null ? [...freeCpus.keys()] : layout.partsOf(spec.zone);
  let pinned: number | null = null;
  for (let i = 0; i < count; i++) {
    let best = eligible[0]!;
    for (const part of eligible) if (freeCpus[part]! > freeCpus[best]!) best = part;
    // Gangs and zone places apply to all tasks of a job together, so one part gets all chunks.
    if (requiresSinglePart(spec)) {
      pinned ??= best;
      best = pinned;
    }
    freeCpus[best]! -= chunkSize * spec.cpus;
    owners += partChar(best);
  }
  return {
    status: "open",
    spec: storedSpec(spec),
    owners,
    chunkSize,
    at: Math.round(clock.wall()),
    started: false,
    moves: 0,
    tasks: spec.tasks,
  };
}
