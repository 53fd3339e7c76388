import { BY_REQUIREMENTS, type JobSpec } from "../wire/jobs.js";

/**
 * The specification that is stored for a job that awaits others. Its machine types are moved to
 * `after.types` and replaced by one that no machine has. A version from before pipelines ignores
 * `after` and would not wait; this way it starts none of the job's tasks, whichever controller
 * owns the job and whenever that version is run again.
 */
export function storedSpec(spec: JobSpec): JobSpec {
  const { after } = spec;
  if (after === undefined) return spec;
  return { ...spec, types: [BY_REQUIREMENTS], after: { ...after, types: spec.types } };
}

/** The specification used for placement; a copy, since its priority may be raised by dependents. */
export function placedSpec(spec: JobSpec): JobSpec {
  const { after } = spec;
  if (after?.types === undefined) return { ...spec };
  return { ...spec, types: after.types };
}
