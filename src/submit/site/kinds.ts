import { Ad, build, Expression, type Node } from "../../classad/index.js";
import type { MachineType } from "../../wire/cloud.js";
import type { MachineKind, Resources } from "../../workers/machine.js";
import type { MachineRule } from "./settings.js";

/** Attributes that change with what runs on a machine. */
export const CHANGING: ReadonlySet<string> = new Set(["cpus", "memory", "gpus"]);

const MB_PER_GB = 1024;

/** All machines of one type, zone and kind, which differ only in their room. */
export interface KindAd {
  ad: Ad;
  start: Expression | null;
}

const whole = (value: number): bigint => BigInt(Math.floor(value + 1e-6));

/** CPUs may be parts of one; HTCondor has whole ones, so a whole number is an integer. */
const amount = (value: number): bigint | number =>
  Math.abs(value - Math.round(value)) < 1e-6 ? BigInt(Math.round(value)) : value;

/** Writes what is free there into a machine's ad. */
export function putRoom(ad: Ad, room: Resources): void {
  ad.put("Cpus", amount(room.cpus));
  ad.put("Memory", whole(room.memGb * MB_PER_GB));
  ad.put("GPUs", amount(room.gpus));
}

/** Without what is free: expressions that need it are UNDEFINED. */
export function dropRoom(ad: Ad): void {
  for (const key of CHANGING) ad.delete(key);
}

/** The ad of machines of a kind: what the program knows, then what operators say, later rules last. */
export function kindAd(
  kind: MachineKind,
  type: MachineType,
  rules: readonly MachineRule[],
): KindAd {
  const ad = new Ad()
    .put("MyType", "Machine")
    .put("MachineType", kind.type)
    .put("Zone", kind.zone)
    .put("Spot", kind.spot)
    .put("TotalCpus", amount(type.cpus))
    .put("TotalMemory", whole(type.memGb * MB_PER_GB))
    .put("TotalGPUs", amount(type.gpus));
  const starts: Node[] = [];
  for (const rule of rules) {
    if (rule.type !== null && rule.type !== kind.type) continue;
    if (rule.zone !== null && rule.zone !== kind.zone) continue;
    if (rule.spot !== null && rule.spot !== kind.spot) continue;
    for (const { name, node } of rule.attributes.attributes()) ad.set(name, node);
    if (rule.start !== null) starts.push(rule.start.node);
  }
  const [first, ...rest] = starts;
  if (first === undefined) return { ad, start: null };
  const start = rest.reduce((left, right) => build.binary(left, "&&", right), first);
  return { ad, start: new Expression(start) };
}

/** Every kind of machine that there may be, as the catalogue says. */
export function* kindsOf(
  types: ReadonlyMap<string, MachineType>,
  zones: readonly string[],
): Generator<{ kind: MachineKind; type: MachineType }> {
  for (const type of types.values()) {
    for (const zone of type.zones.length > 0 ? type.zones : zones) {
      for (const spot of [false, true]) yield { kind: { type: type.name, zone, spot }, type };
    }
  }
}
