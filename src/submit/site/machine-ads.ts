import { Ad, build, Expression, type Node } from "../../classad/index.js";
import type { MachineType } from "../../wire/cloud.js";
import type { MachineKind, Resources } from "../../workers/machine.js";
import type { MachineRule } from "./settings.js";

/** Attributes (lower case) that depend on what runs on a machine. */
export const FREE_RESOURCE_ATTRIBUTES: ReadonlySet<string> = new Set(["cpus", "memory", "gpus"]);

const MB_PER_GB = 1024;

/**
 * The ad shared by all machines of one type, zone and spot kind, which differ only in their free
 * resources.
 */
export interface MachineKindAd {
  ad: Ad;
  start: Expression | null;
}

const floorToInteger = (value: number): bigint => BigInt(Math.floor(value + 1e-6));

/** CPU counts may be fractions. HTCondor's are integers, so whole numbers become integers. */
const adNumber = (value: number): bigint | number =>
  Math.abs(value - Math.round(value)) < 1e-6 ? BigInt(Math.round(value)) : value;

/** Sets a machine's free resources in its ad. */
export function putFreeResources(ad: Ad, free: Resources): void {
  ad.put("Cpus", adNumber(free.cpus));
  ad.put("Memory", floorToInteger(free.memGb * MB_PER_GB));
  ad.put("GPUs", adNumber(free.gpus));
}

/** Deletes the free resources, so that expressions that need them are UNDEFINED. */
export function deleteFreeResources(ad: Ad): void {
  for (const key of FREE_RESOURCE_ATTRIBUTES) ad.delete(key);
}

/**
 * The ad of a machine kind: the program's attributes, then operators' rules in order; later ones
 * override.
 */
export function machineKindAd(
  kind: MachineKind,
  type: MachineType,
  rules: readonly MachineRule[],
): MachineKindAd {
  const ad = new Ad()
    .put("MyType", "Machine")
    .put("MachineType", kind.type)
    .put("Zone", kind.zone)
    .put("Spot", kind.spot)
    .put("TotalCpus", adNumber(type.cpus))
    .put("TotalMemory", floorToInteger(type.memGb * MB_PER_GB))
    .put("TotalGPUs", adNumber(type.gpus));
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

/** Every kind of machine that the catalogue allows. */
export function* catalogueKinds(
  types: ReadonlyMap<string, MachineType>,
  zones: readonly string[],
): Generator<{ kind: MachineKind; type: MachineType }> {
  for (const type of types.values()) {
    for (const zone of type.zones.length > 0 ? type.zones : zones) {
      for (const spot of [false, true]) yield { kind: { type: type.name, zone, spot }, type };
    }
  }
}
