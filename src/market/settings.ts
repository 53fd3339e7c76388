import type { Amounts } from "../fair/share.js";
import type { PackageSchema, RejectSettings } from "../settings/tuning.js";
import { type Hours, validateHours } from "./calendar.js";
import { MICRO_PER_UNIT, toMicro } from "./money.js";

/** The message `market` of the operators' settings; `deploy/market.textproto` documents it. */
export const schema: PackageSchema = {
  field: "market",
  number: 100,
  message: "Market",
  schema: `
message Market {
  optional double every_s = 1;
  optional double term_s = 2;
  optional double save_s = 3;
  optional double least_price = 4;
  optional double sure = 5;
  optional double growth = 6;
  optional string time_zone = 7;
  optional uint32 open_bids = 8;
  optional double bids_a_minute = 9;
  repeated Guest guest = 10;
  repeated Hours hours = 11;
  optional bool rent = 12;
}

message Guest {
  string name = 1;
  optional string group = 2;
  optional Resources most = 3;
  optional double may_owe = 4;
}

message Hours {
  string name = 1;
  string starts = 2;
  optional string ends = 3;
  optional double lasts_s = 4;
  optional string time_zone = 5;
  optional string zone = 6;
  optional double keep = 7;
}
`,
};

export interface Guest {
  name: string;
  group: string | null;
  /** The most that it may use at any time. */
  most: Amounts;
  /** The most that it may owe, including the cost of its current grants, micro-units. */
  mayOwe: number;
}

export interface MarketSettings {
  /** Rounds are held at multiples of this since the epoch. */
  roundIntervalMs: number;
  /** The longest that a grant may last. */
  maxGrantMs: number;
  /** Time that a guest's tasks get to save their work before the end of a grant. */
  saveMs: number;
  /** The minimum price of a core-hour, micro-units. */
  minPriceMicro: number;
  /** The quantile of recorded demand that the reserve has to cover, below 1. */
  demandQuantile: number;
  /**
   * Used where too little demand is recorded: the forecast is this many times the highest recent
   * demand.
   */
  recentPeakFactor: number;
  /** Time zone of the hours of the day by which demand is recorded. */
  timeZone: string;
  /** Whether to rent machines for bids that pay at least the price of their cores. */
  rent: boolean;
  maxOpenBids: number;
  bidsPerMinute: number;
  guests: Guest[];
  hours: Hours[];
}

interface RawHours {
  name?: string;
  starts?: string;
  ends?: string;
  lasts_s?: number;
  time_zone?: string;
  zone?: string;
  keep?: number;
}

interface RawSettings {
  every_s?: number;
  term_s?: number;
  save_s?: number;
  least_price?: number;
  sure?: number;
  growth?: number;
  time_zone?: string;
  rent?: boolean;
  open_bids?: number;
  bids_a_minute?: number;
  guest?: { name?: string; group?: string; most?: Partial<Amounts>; may_owe?: number }[];
  hours?: RawHours[];
}

const DAY_S = 86_400;
/** Names of guests are used in keys and paths. */
const GUEST_NAME = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,59}$/;

/**
 * Validates the message. `reportS` and `leaseS` are the workers' report interval and lease: a round
 * takes several reports, and a grant shorter than a lease would end before its tasks have started.
 */
export function readSettings(
  given: unknown,
  { reportS, leaseS, zones }: { reportS: number; leaseS: number; zones: readonly string[] },
  refuse: RejectSettings,
): MarketSettings {
  const raw = given as RawSettings;
  const number = (
    name: keyof RawSettings & string,
    fallback: number,
    min: number,
    max: number,
  ): number => {
    const value = raw[name] === undefined ? fallback : Number(raw[name]);
    if (!(value >= min && value <= max)) {
      refuse(`${name}: ${value} is not between ${min} and ${max}`, name);
    }
    return value;
  };
  const saveS = number("save_s", 5 * reportS, 0, DAY_S);
  const everyS = number("every_s", 60, 5 * reportS, DAY_S);
  const termS = number("term_s", Math.max(600, 4 * leaseS), saveS + 2 * leaseS, 7 * DAY_S);
  const timeZone = raw.time_zone ?? "UTC";
  const guests: Guest[] = [];
  for (const { name = "", group, most, may_owe } of raw.guest ?? []) {
    if (!GUEST_NAME.test(name)) {
      refuse(`guest "${name}": a name has 1 to 60 of A-Z, a-z, 0-9, "_", "." and "-"`, name);
    }
    if (guests.some((guest) => guest.name === name)) refuse(`guest ${name} is listed twice`, name);
    const cpus = most?.cpus ?? 0;
    const gpus = most?.gpus ?? 0;
    if (!(cpus >= 0 && gpus >= 0 && cpus + gpus > 0 && cpus < 1e7 && gpus < 1e7)) {
      refuse(`guest ${name}: most: cpus or gpus must be above 0`, name);
    }
    const mayOwe = may_owe === undefined ? Number.MAX_SAFE_INTEGER : toMicro(may_owe);
    if (mayOwe === null) {
      refuse(`guest ${name}: may_owe: must be an amount of at most six decimals`, name);
    }
    guests.push({ name, group: group ?? null, most: { cpus, gpus }, mayOwe: mayOwe! });
  }
  if (guests.length === 0) refuse("market: no guest is configured", "market");
  const hours = (raw.hours ?? []).map((one): Hours => {
    const { name = "", starts = "", ends, lasts_s, zone, keep } = one;
    const refuseHours = (reason: string, near: string): never =>
      refuse(`hours ${name}: ${reason}`, near);
    if (name === "") refuse("hours: a name is required", "hours");
    if (zone !== undefined && zones.length > 0 && !zones.includes(zone)) {
      refuseHours(`the platform has no zone ${zone}`, zone);
    }
    if (keep !== undefined && !(keep >= 0)) refuseHours("keep must not be negative", name);
    if ((ends === undefined) === (lasts_s === undefined))
      refuseHours("either ends or lasts_s is required, not both", name);
    if (lasts_s !== undefined && !(lasts_s > 0 && lasts_s <= 7 * DAY_S)) {
      refuseHours("lasts_s must be above 0 and at most a week", name);
    }
    const checked: Hours = {
      name,
      starts,
      ends: ends ?? null,
      lastsMs: lasts_s === undefined ? null : lasts_s * 1000,
      timeZone: one.time_zone ?? timeZone,
      zone: zone ?? null,
      keepCpus: keep ?? null,
    };
    const hoursError = validateHours(checked);
    if (hoursError !== null) refuseHours(hoursError.reason, hoursError.near);
    return checked;
  });
  const timeZoneError = validateHours({
    name: "",
    starts: "0 0 * * *",
    ends: null,
    lastsMs: 1000,
    timeZone,
  });
  if (timeZoneError !== null) refuse(`market: ${timeZoneError.reason}`, timeZoneError.near);
  return {
    roundIntervalMs: everyS * 1000,
    maxGrantMs: termS * 1000,
    saveMs: saveS * 1000,
    minPriceMicro: Math.ceil(number("least_price", 0, 0, 1e6) * MICRO_PER_UNIT),
    demandQuantile: number("sure", 0.99, 0.5, 0.9999),
    recentPeakFactor: number("growth", 2, 1, 100),
    timeZone,
    rent: raw.rent ?? false,
    maxOpenBids: number("open_bids", 20, 1, 10_000),
    bidsPerMinute: number("bids_a_minute", 30, 0.1, 100_000),
    guests,
    hours,
  };
}
