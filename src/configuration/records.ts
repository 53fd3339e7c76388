/**
 * The configuration's records in the state service: a head, the pieces of its content, a history.
 */
import { isMap } from "../wire/cbor.js";

/** CPUs and GPUs as written by operators. */
export interface ConfiguredAmounts {
  cpus?: number;
  gpus?: number;
}

/**
 * Overrides for one team; absent fields are as in the platform's and the operators' settings at
 * start.
 */
export interface ConfiguredTeam {
  name: string;
  guarantee?: ConfiguredAmounts;
  limit?: ConfiguredAmounts;
  weight?: number;
  group?: string;
}

/** A group of teams; replaces one of the same name in the operators' settings at start. */
export interface ConfiguredGroup {
  name: string;
  parent?: string;
  weight?: number;
  lending?: ConfiguredAmounts;
}

/** All values that were changed at run time. */
export interface Overrides {
  teams: ConfiguredTeam[];
  groups: ConfiguredGroup[];
}

export const NO_OVERRIDES: Overrides = { teams: [], groups: [] };

/** Who made a revision, when (time of day, ms) and why. */
export interface Authorship {
  by: string;
  why: string;
  at: number;
}

/** The newest revision and the location of its content (`w/c/head`). */
export interface Head extends Authorship {
  revision: number;
  /**
   * The id of the request that made it, to recognise repeated requests. Part of the pieces' keys.
   */
  id: string;
  /** Number of pieces of its content. */
  pieces: number;
}

/** One revision in the history (`w/c/h/{revision}`). */
export interface HistoryEntry extends Authorship {
  revision: number;
  id: string;
  /** The changes, one line each, as many as fit. */
  changes: string[];
}

/** One piece of a revision's content (`w/c/p/{id}/{number}`). */
export type Piece = Overrides;

/** The revision that a controller uses (`w/d/{node}`), attached to its lease. */
export interface Decision {
  run: string;
  revision: number;
  /** A newer revision that this controller cannot use. */
  refused?: number;
}

/** Maximum size of a revision's reason, as JSON. */
export const MAX_TEXT_BYTES = 200;
/** Maximum size of an author's name, as JSON. */
export const MAX_AUTHOR_BYTES = 80;
const MAX_NAME_LENGTH = 200;

const isCount = (value: unknown): value is number =>
  typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
const isAmount = (value: unknown): value is number =>
  typeof value === "number" && Number.isFinite(value) && value >= 0;
const isName = (value: unknown): value is string =>
  typeof value === "string" && value.length > 0 && value.length <= MAX_NAME_LENGTH;
const isText = (value: unknown): value is string => typeof value === "string";
/** A request's id becomes part of keys, so it must contain neither slashes nor spaces. */
export const isRequestId = (value: unknown): value is string =>
  typeof value === "string" && /^[0-9A-Za-z_-]{1,60}$/.test(value);

function isAmounts(value: unknown): value is ConfiguredAmounts | undefined {
  if (value === undefined) return true;
  if (!isMap(value)) return false;
  return [value.cpus, value.gpus].every((one) => one === undefined || isAmount(one));
}

const isWeight = (value: unknown): boolean =>
  value === undefined || (typeof value === "number" && Number.isFinite(value) && value > 0);

const isOptionalName = (value: unknown): boolean =>
  value === undefined || value === "" || isName(value);

export const isTeam = (value: unknown): value is ConfiguredTeam =>
  isMap(value) &&
  isName(value.name) &&
  isAmounts(value.guarantee) &&
  isAmounts(value.limit) &&
  isWeight(value.weight) &&
  isOptionalName(value.group);

export const isGroup = (value: unknown): value is ConfiguredGroup =>
  isMap(value) &&
  isName(value.name) &&
  isOptionalName(value.parent) &&
  isWeight(value.weight) &&
  isAmounts(value.lending);

export const isOverrides = (value: unknown): value is Overrides =>
  isMap(value) &&
  Array.isArray(value.teams) &&
  value.teams.every(isTeam) &&
  Array.isArray(value.groups) &&
  value.groups.every(isGroup);

const hasAuthorship = (value: Record<string, unknown>): boolean =>
  isText(value.by) && isText(value.why) && isAmount(value.at);

export const isHead = (value: unknown): value is Head =>
  isMap(value) &&
  isCount(value.revision) &&
  value.revision > 0 &&
  isRequestId(value.id) &&
  isCount(value.pieces) &&
  hasAuthorship(value);

export const isHistoryEntry = (value: unknown): value is HistoryEntry =>
  isMap(value) &&
  isCount(value.revision) &&
  isRequestId(value.id) &&
  hasAuthorship(value) &&
  Array.isArray(value.changes) &&
  value.changes.every((line) => typeof line === "string");

export const isDecision = (value: unknown): value is Decision =>
  isMap(value) &&
  typeof value.run === "string" &&
  isCount(value.revision) &&
  (value.refused === undefined || isCount(value.refused));

export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Splits content into pieces of at most `mostBytes` each, as JSON. Null: one entry is larger. */
export function splitIntoPieces({ teams, groups }: Overrides, mostBytes: number): Piece[] | null {
  const pieces: Piece[] = [];
  let last: Piece = { teams: [], groups: [] };
  let bytes = jsonBytes(last);
  const add = (size: number, put: (piece: Piece) => void): boolean => {
    if (bytes + size > mostBytes) {
      pieces.push(last);
      last = { teams: [], groups: [] };
      bytes = jsonBytes(last);
      if (bytes + size > mostBytes) return false;
    }
    put(last);
    bytes += size;
    return true;
  };
  for (const group of groups) {
    if (!add(jsonBytes(group) + 1, (piece) => piece.groups.push(group))) return null;
  }
  for (const team of teams) {
    if (!add(jsonBytes(team) + 1, (piece) => piece.teams.push(team))) return null;
  }
  pieces.push(last);
  return pieces;
}

export const joinPieces = (pieces: readonly Piece[]): Overrides => ({
  teams: pieces.flatMap(({ teams }) => teams),
  groups: pieces.flatMap(({ groups }) => groups),
});
