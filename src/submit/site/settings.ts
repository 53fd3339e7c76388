import { Ad, ClassAdError, Expression } from "../../classad/index.js";
import type { PackageSchema, RejectSettings } from "../../settings/tuning.js";

/**
 * Schema of the message `submit` in the operators' settings, documented in
 * `deploy/submit.textproto`.
 */
export const schema: PackageSchema = {
  field: "submit",
  number: 101,
  message: "Submit",
  schema: `
message Submit {
  repeated MachineAd machine = 1;
  optional uint32 kept = 2;
  optional uint32 jobs = 3;
  optional double patience_s = 4;
}

message MachineAd {
  optional string type = 1;
  optional string zone = 2;
  optional bool spot = 3;
  repeated string ad = 4;
  optional string start = 5;
}
`,
};

/**
 * Ad attributes and start expression that operators set for machines of a type, zone or spot kind.
 */
export interface MachineRule {
  type: string | null;
  zone: string | null;
  spot: boolean | null;
  attributes: Ad;
  start: Expression | null;
}

export interface SubmitSettings {
  rules: MachineRule[];
  /** Most finished clusters that are kept and shown by `history`. */
  maxFinishedClusters: number;
  /** Most jobs in one cluster. */
  maxJobs: number;
  /** How long a submission may take before its cluster is removed. */
  submissionTimeoutMs: number;
}

interface RawMachine {
  type?: string;
  zone?: string;
  spot?: boolean;
  ad?: string[];
  start?: string;
}

interface RawSettings {
  machine?: RawMachine[];
  kept?: number;
  jobs?: number;
  patience_s?: number;
}

/** Attributes that the program sets for each machine; operators must not set them. */
const RESERVED_ATTRIBUTES = [
  "cpus",
  "memory",
  "gpus",
  "totalcpus",
  "totalmemory",
  "totalgpus",
  "machinetype",
  "zone",
  "spot",
];

function parseAttributes(texts: readonly string[], refuse: RejectSettings): Ad {
  const all = new Ad();
  for (const text of texts) {
    try {
      for (const { name, node, key } of Ad.parseLines(text).attributes()) {
        if (RESERVED_ATTRIBUTES.includes(key))
          refuse(`machine: ${name} is set by the program`, name);
        all.set(name, node);
      }
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      refuse(`machine ad, character ${error.column}: ${error.reason}`, text.slice(0, 40));
    }
  }
  return all;
}

function parseStart(text: string, refuse: RejectSettings): Expression {
  try {
    const start = Expression.parse(text);
    const [unknown] = start.reads().unknownFunctions;
    if (unknown !== undefined) refuse(`start: no function ${unknown}`, unknown);
    return start;
  } catch (error) {
    if (!(error instanceof ClassAdError)) throw error;
    return refuse(`start, character ${error.column}: ${error.reason}`, text.slice(0, 40));
  }
}

/** @throws SettingsError by `refuse` */
export function readSettings(
  raw: unknown,
  zones: readonly string[],
  refuse: RejectSettings,
): SubmitSettings {
  const { machine = [], kept = 500, jobs = 500, patience_s: patienceS = 600 } = raw as RawSettings;
  if (!(patienceS > 0)) refuse("patience_s must be above 0", "patience_s");
  if (jobs < 1) refuse("jobs must be at least 1", "jobs");
  const rules = machine.map(({ type, zone, spot, ad, start }) => {
    if (zone !== undefined && zones.length > 0 && !zones.includes(zone)) {
      refuse(`machine: the platform has no zone ${zone}`, zone);
    }
    return {
      type: type ?? null,
      zone: zone ?? null,
      spot: spot ?? null,
      attributes: parseAttributes(ad ?? [], refuse),
      start: start === undefined ? null : parseStart(start, refuse),
    };
  });
  return { rules, maxFinishedClusters: kept, maxJobs: jobs, submissionTimeoutMs: patienceS * 1000 };
}
