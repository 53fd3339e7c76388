import type { ConfigurationInForce } from "../../src/configuration/index.js";
import type { Core } from "../../src/extension/index.js";
import type { Reply } from "../../src/http/server.js";
import type { Log } from "../../src/log.js";
import { keys } from "../../src/state/keys.js";
import type { StoreLimits } from "../../src/state/store.js";
import { decode, encode } from "../../src/wire/cbor.js";

export const quiet: Log = { debug() {}, info() {}, warn() {}, error() {} };

/** Limits of a state service that tests do not reach. */
export const LIMITS: StoreLimits = {
  rps: 1000,
  writeRps: 1000,
  ops: 12,
  conditions: 48,
  valueBytes: 8192,
  txnBytes: 48 * 1024,
};

/** The configuration before its first revision. */
export const INITIAL_CONFIGURATION: ConfigurationInForce = {
  limits: new Map(),
  hasRevision: false,
  isCurrent: true,
  condition: () => ({ key: keys.configurationHead, version: 0 }),
};

/** The body of a reply as its receiver decodes it. */
export const bodyOf = ({ encoded, body }: Reply): unknown =>
  encoded === undefined ? (body === undefined ? undefined : decode(encode(body))) : decode(encoded);

/** Claims and peers of a controller without parts and peers, for packages that need neither. */
export const WITHOUT_CLAIMS_OR_PEERS: Pick<Core, "claims" | "peers"> = {
  claims: {
    run: "r",
    get stability(): never {
      throw new Error("stability is not available in this test");
    },
    valid: () => true,
    lease: () => null,
    ownerOf: () => null,
    servedParts: () => [],
    reassign: () => Promise.resolve(false),
    relinquish: () => Promise.resolve(),
  },
  peers: { send() {}, broadcast() {}, sentAt: () => 0 },
};

/** Limits of a platform before its state service reduces them, and after. */
export const LIMITS_BEFORE: StoreLimits = { ...LIMITS, rps: 200, writeRps: 60 };
export const LIMITS_AFTER: StoreLimits = {
  ...LIMITS_BEFORE,
  ops: 4,
  conditions: 16,
  valueBytes: 1024,
  wideBytes: LIMITS_BEFORE.valueBytes,
};
