import { decode as decodeOne, encode as encodeOne } from "cborg";

// Receivers know maps keyed by text, lists, text, numbers, booleans and null, nothing else.
const ENCODE = { ignoreUndefinedProperties: true };
const DECODE = { allowUndefined: false, allowNaN: false, allowInfinity: false };

export function encode(value: unknown): Buffer {
  const bytes = encodeOne(value, ENCODE);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Throws on anything that is not exactly one CBOR value. Integers beyond 2^53 become bigints. */
export function decode(body: Uint8Array): unknown {
  return decodeOne(body, DECODE);
}

export function isMap(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === "object" &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}
