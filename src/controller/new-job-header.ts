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

/** The header of a new job: its tasks are split between the parts, by the room they have. */
export function newJobHeader(
  { layout, summaries, store, clock }: Core,
  attached: readonly Attachment[],
  places: PlacementConstraints,
  spec: JobSpec,
): JobHeader {
  const { parts } = layout;
  const chunkSize = chooseChunkSize(spec.tasks, parts, store.limits.valueBytes);
  const count = Math.ceil(spec.tasks / chunkSize);
  const rules = attached.find((one) => one.policy?.preemptible(spec.team))?.policy;
  const room = Array.from({ length: parts }, (_, part) => {
    const summary = summaries.of(part);
    // Where a team has an allowance, that is all the room there is for it.
    const allowance = rules?.allowance(spec.team, part);
    if (allowance != null) return allowance.startLimit.cpus - (summary?.use[spec.team]?.[0] ?? 0);
    if (summary === undefined) return 0;
    return totalCapacity(summary.kinds, (kind) => places.allows(spec, kind)).free - summary.waiting;
  });
  let owners = "";
  const eligible = spec.zone === null ? [...room.keys()] : layout.partsOf(spec.zone);
  let pinned: number | null = null;
  for (let i = 0; i < count; i++) {
    let best = eligible[0]!;
    for (const part of eligible) if (room[part]! > room[best]!) best = part;
    // Gangs and zone rules concern all tasks of a job at once, so one part has all of them.
    if (requiresSinglePart(spec)) {
      pinned ??= best;
      best = pinned;
    }
    room[best]! -= chunkSize * spec.cpus;
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
