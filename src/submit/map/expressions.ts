import { ClassAdError, type Node, parseExpression, print, reads } from "../../classad/index.js";
import type { Value } from "../file/read.js";
import { SubmitError } from "../file/text.js";

/** What `periodic_*` may read: what a controller knows of a job. */
export const JOB_STATE = new Set([
  "clusterid",
  "procid",
  "jobstatus",
  "qdate",
  "owner",
  "accountinggroup",
  "jobprio",
  "requestcpus",
  "requestmemory",
  "requestgpus",
  "requestdisk",
  "jobbatchname",
  "holdreason",
]);

/**
 * An expression of a file, checked: it parses, and all its functions exist.
 * @throws SubmitError at the place in the file
 */
export function expressionOf({ text, place, at }: Value, name: string): Node {
  let node: Node;
  try {
    node = parseExpression(text);
  } catch (error) {
    if (!(error instanceof ClassAdError)) throw error;
    throw new SubmitError(
      `${name}: ${error.reason}`,
      error.line === 1 ? at(error.column - 1) : place,
    );
  }
  const { unknown } = reads(node, null);
  const [missing] = unknown;
  if (missing !== undefined) {
    throw new SubmitError(
      `${name}: no function ${missing}`,
      at(Math.max(0, text.toLowerCase().indexOf(missing.toLowerCase()))),
      "docs/submit.md lists the functions there are",
    );
  }
  return node;
}

/** `periodic_*`: only what a controller knows, so that nothing is decided by an attribute that is never there. */
export function periodicOf(value: Value, name: string, own: ReadonlySet<string>): Node {
  const node = expressionOf(value, name);
  const { target, my } = reads(node, null);
  for (const key of [...target, ...my]) {
    if (JOB_STATE.has(key) || own.has(key)) continue;
    throw new SubmitError(
      `${name}: ${key} of a job is not known here`,
      value.at(Math.max(0, value.text.toLowerCase().indexOf(key))),
      `known are ${[...JOB_STATE].join(", ")}, time() and what the file adds`,
    );
  }
  return node;
}

/** Only a value that is the same for all jobs makes sense here: TRUE for one, FALSE for another. */
export function onlyConstant(value: Value, name: string, wanted: boolean, hint: string): void {
  const text = print(expressionOf(value, name)).toLowerCase();
  if (text === String(wanted)) return;
  throw new SubmitError(
    `${name}: only ${wanted ? "True" : "False"} is supported`,
    value.place,
    hint,
  );
}
