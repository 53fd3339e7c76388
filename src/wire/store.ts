import { isMap } from "./cbor.js";

export interface Row {
  key: string;
  value: unknown;
  version: number;
}
export interface Condition {
  key: string;
  version: number;
}
export type Change = { put: string; value: unknown; lease?: number | string } | { remove: string };
export interface Event {
  key: string;
  /** `undefined` for a deletion. */
  value: unknown;
  version: number;
  deleted: boolean;
}

/** One page of the keys under a prefix. */
export interface Page {
  rows: Row[];
  more: boolean;
  revision: number;
}

export const paths = {
  get: (key: string): string => `/kv/${key}`,
  list: (prefix: string, after: string | null, limit: number): string =>
    `/kv?under=${prefix}${after === null ? "" : `&after=${after}`}&most=${limit}`,
  transaction: "/multi",
  leases: "/holds",
  renew: (lease: string | number): string => `/holds/${lease}/extend`,
  watch: (prefix: string, after: number, waitMs: number): string =>
    `/watch?under=${prefix}&after=${after}&blockMs=${waitMs}`,
};

export const leaseBody = (ttlMs: number): object => ({ ttlMs });

export function transactionBody(when: Condition[], then: Change[]): object {
  return {
    when: when.map(({ key, version }) => ({ path: key, stamp: version })),
    then: then.map((change) =>
      "put" in change
        ? change.lease === undefined
          ? { write: change.put, data: change.value }
          : { write: change.put, data: change.value, tenancy: change.lease }
        : { delete: change.remove },
    ),
  };
}

const asInteger = (value: unknown): number | null =>
  typeof value === "number" || typeof value === "bigint" ? Number(value) : null;

export function parseRow(body: unknown): Row | null {
  if (!isMap(body) || typeof body.path !== "string") return null;
  const version = asInteger(body.stamp);
  return version === null ? null : { key: body.path, value: body.data, version };
}

export function parsePage(body: unknown): Page | null {
  if (!isMap(body) || !Array.isArray(body.rows)) return null;
  const revision = asInteger(body.ledgerRev);
  if (revision === null) return null;
  const rows: Row[] = [];
  for (const item of body.rows) {
    const row = parseRow(item);
    if (row === null) return null;
    rows.push(row);
  }
  return { rows, more: body.more === true, revision };
}

export function parseRevision(body: unknown): number | null {
  return isMap(body) ? asInteger(body.ledgerRev) : null;
}

export function parseFailed(body: unknown): string[] {
  return isMap(body) && Array.isArray(body.failed) ? body.failed.map(String) : [];
}

export function parseLease(body: unknown): number | string | null {
  if (!isMap(body)) return null;
  const id = body.tenancy;
  if (typeof id === "bigint") return Number(id);
  return typeof id === "number" || typeof id === "string" ? id : null;
}

export function parseEvents(body: unknown): { revision: number; events: Event[] } | null {
  if (!isMap(body)) return null;
  const revision = asInteger(body.ledgerRev);
  if (revision === null) return null;
  const events: Event[] = [];
  const entries = body.log ?? [];
  if (!Array.isArray(entries)) return null;
  for (const item of entries) {
    if (!isMap(item)) return null;
    const version = asInteger(item.stamp);
    if (version === null) return null;
    if (typeof item.write === "string") {
      events.push({ key: item.write, value: item.data, version, deleted: false });
    } else if (typeof item.delete === "string") {
      events.push({ key: item.delete, value: undefined, version, deleted: true });
    } else return null;
  }
  return { revision, events };
}
