import { BY_REQUIREMENTS, type JobSpec } from "../wire/jobs.js";

/**
 * The form in which a job that awaits others is kept. Its machine types are put aside, and the only one
 * named is one that no machine has: a program from before pipelines, which would not wait, starts none
 * of it, whoever owns it and whenever it comes back.
 */
export function storedSpec(spec: JobSpec): JobSpec {
  const { after } = spec;
  if (after === undefined) return spec;
  return { ...spec, types: [BY_REQUIREMENTS], after: { ...after, types: spec.types } };
}

/** A job's specification as it is placed by; a copy, since priorities flow back to it. */
export function placedSpec(spec: JobSpec): JobSpec {
  const { after } = spec;
  if (after?.types === undefined) return { ...spec };
  return { ...spec, types: after.types };
}
