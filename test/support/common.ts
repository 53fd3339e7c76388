import type { Reply } from "../../src/http/server.js";
import type { Log } from "../../src/log.js";
import type { StoreLimits } from "../../src/state/store.js";
import { decode, encode } from "../../src/wire/cbor.js";

export const quiet: Log = { debug() {}, info() {}, warn() {}, error() {} };

/** A state service that is in nobody's way. */
export const LIMITS: StoreLimits = {
  rps: 1000,
  writeRps: 1000,
  ops: 12,
  conditions: 48,
  valueBytes: 8192,
  txnBytes: 48 * 1024,
};

/** What the receiver of a reply reads. */
export const bodyOf = ({ encoded, body }: Reply): unknown =>
  encoded === undefined ? (body === undefined ? undefined : decode(encode(body))) : decode(encoded);
