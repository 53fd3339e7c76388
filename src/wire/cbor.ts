import { Encoder } from "cbor-x";

// Plain maps only: no records, no shared structures, nothing that other CBOR readers lack.
const coder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  variableMapSize: true,
});

export function encode(value: unknown): Buffer {
  return Buffer.from(coder.encode(value));
}

/** Throws on anything that is not exactly one CBOR value. */
export function decode(body: Uint8Array): unknown {
  return coder.decode(body);
}

export function isMap(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === "object" &&
    value !== null &&
    !Array.isArray(value) &&
    (Object.getPrototypeOf(value) === Object.prototype || Object.getPrototypeOf(value) === null)
  );
}
