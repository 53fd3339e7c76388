import { Ad, ClassAdError, Expression } from "../../classad/index.js";
import type { PackageSchema, Refuse } from "../../settings/tuning.js";

/** The message `submit` in the operators' settings; `deploy/submit.textproto` explains it. */
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

/** What operators say of machines of some types, zones and kinds. */
export interface MachineRule {
  type: string | null;
  zone: string | null;
  spot: boolean | null;
  attributes: Ad;
  start: Expression | null;
}

export interface SubmitSettings {
  rules: MachineRule[];
  /** Clusters that are over and still shown by history. */
  kept: number;
  /** Jobs that one cluster may have. */
  jobs: number;
  /** How long a hand-in may take before what has come of it is given up. */
  patienceMs: number;
}

interface RawMachine {
  type?: string;
  zone?: string;
  spot?: boolean;
  ad?: string[];
  start?: string;
}

interface Raw {
  machine?: RawMachine[];
  kept?: number;
  jobs?: number;
  patience_s?: number;
}

/** Set for each machine by the program, so operators may not. */
const OWN = [
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

function attributesOf(texts: readonly string[], refuse: Refuse): Ad {
  const all = new Ad();
  for (const text of texts) {
    try {
      for (const { name, node, key } of Ad.parseLines(text).attributes()) {
        if (OWN.includes(key)) refuse(`machine: ${name} is set by the program`, name);
        all.set(name, node);
      }
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      refuse(`machine ad, character ${error.column}: ${error.reason}`, text.slice(0, 40));
    }
  }
  return all;
}

function startOf(text: string, refuse: Refuse): Expression {
  try {
    const start = Expression.parse(text);
    const [unknown] = start.reads().unknown;
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
  refuse: Refuse,
): SubmitSettings {
  const { machine = [], kept = 500, jobs = 500, patience_s: patienceS = 600 } = raw as Raw;
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
      attributes: attributesOf(ad ?? [], refuse),
      start: start === undefined ? null : startOf(start, refuse),
    };
  });
  return { rules, kept, jobs, patienceMs: patienceS * 1000 };
}
