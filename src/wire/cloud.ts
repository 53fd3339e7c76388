import { isMap } from "./cbor.js";

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memGb: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface ListedMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  state: "booting" | "running" | "failed";
  ageS: number;
}

export const PAGE_SIZE = 500;
export const MAX_RENTED_PER_CALL = 50;
export const MAX_RETURNED_PER_CALL = 100;
export const paths = {
  types: "/catalog",
  rent: "/hosts",
  giveBack: "/hosts/return",
  list: (after: string): string =>
    `/hosts?most=${PAGE_SIZE}${after === "" ? "" : `&after=${encodeURIComponent(after)}`}`,
};

const finiteOr = (value: unknown, fallback = 0): number =>
  typeof value === "number" && Number.isFinite(value) ? value : fallback;

export function parseTypes(body: unknown): MachineType[] | null {
  if (!isMap(body) || !Array.isArray(body.builds)) return null;
  const types: MachineType[] = [];
  for (const item of body.builds) {
    if (!isMap(item) || typeof item.name !== "string") return null;
    types.push({
      name: item.name,
      cpus: finiteOr(item.cores),
      gpus: finiteOr(item.accelerators),
      memGb: finiteOr(item.memGb),
      price: finiteOr(item.rate),
      spotPrice: finiteOr(item.spotPrice, finiteOr(item.rate)),
      bootS: finiteOr(item.bootS),
      zones: Array.isArray(item.berths)
        ? item.berths.filter((zone) => typeof zone === "string")
        : [],
    });
  }
  return types;
}

export function parseMachines(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  if (!isMap(body) || !Array.isArray(body.hosts)) return null;
  const machines: ListedMachine[] = [];
  for (const item of body.hosts) {
    if (!isMap(item) || typeof item.uid !== "string") return null;
    machines.push({
      id: item.uid,
      type: String(item.build),
      zone: String(item.berth),
      spot: item.borrowed === true,
      state:
        item.status === "failed" ? "failed" : item.status === "starting" ? "booting" : "running",
      ageS: finiteOr(item.heldS),
    });
  }
  return { machines, more: body.more === true };
}

export const rentBody = (
  requestId: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): object => ({ charter: requestId, build: type, berth: zone, borrowed: spot, howMany: count });

export const returnBody = (machines: string[]): object => ({ hosts: machines });

export function parseRented(body: unknown): string[] | null {
  if (!isMap(body) || !Array.isArray(body.hosts)) return null;
  return body.hosts.filter((host): host is string => typeof host === "string");
}
