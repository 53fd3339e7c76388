import { ClassAdError, type Node, parseExpression, print, reads } from "../../classad/index.js";
import type { Value } from "../file/read.js";
import { SubmitError } from "../file/text.js";

/** Attributes that `periodic_*` may read (lower case): those a controller knows of a job. */
export const PERIODIC_ATTRIBUTES = new Set([
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
 * Parses an expression of a file and checks that all its functions exist.
 * @throws SubmitError at the place in the file
 */
export function parseCheckedExpression({ text, place, at }: Value, name: string): Node {
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
  const { unknownFunctions: unknown } = reads(node, null);
  const [unknownFunction] = unknown;
  if (unknownFunction !== undefined) {
    throw new SubmitError(
      `${name}: no function ${unknownFunction}`,
      at(Math.max(0, text.toLowerCase().indexOf(unknownFunction.toLowerCase()))),
      "docs/submit.md lists the functions there are",
    );
  }
  return node;
}

/**
 * Parses a `periodic_*` expression. It may read only attributes that a controller knows, so that an
 * attribute that is never defined decides nothing.
 */
export function parsePeriodicExpression(
  value: Value,
  name: string,
  fileAttributes: ReadonlySet<string>,
): Node {
  const node = parseCheckedExpression(value, name);
  const { target, my } = reads(node, null);
  for (const key of [...target, ...my]) {
    if (PERIODIC_ATTRIBUTES.has(key) || fileAttributes.has(key)) continue;
    throw new SubmitError(
      `${name}: ${key} of a job is not known here`,
      value.at(Math.max(0, value.text.toLowerCase().indexOf(key))),
      `known are ${[...PERIODIC_ATTRIBUTES].join(", ")}, time() and what the file adds`,
    );
  }
  return node;
}

/**
 * Checks that a command of which only one value is supported (`required`: TRUE for some commands,
 * FALSE for others) has this value, and has it as a constant that is the same for all jobs.
 */
export function requireConstant(value: Value, name: string, required: boolean, hint: string): void {
  const text = print(parseCheckedExpression(value, name)).toLowerCase();
  if (text === String(required)) return;
  throw new SubmitError(
    `${name}: only ${required ? "True" : "False"} is supported`,
    value.place,
    hint,
  );
}
