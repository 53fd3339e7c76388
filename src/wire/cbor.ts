import { decode as decodeOne, encode as encodeOne } from "cborg";

// Receivers accept only maps with text keys, lists, text, numbers, booleans and null.
const ENCODE_OPTIONS = { ignoreUndefinedProperties: true };
const DECODE_OPTIONS = { allowUndefined: false, allowNaN: false, allowInfinity: false };

export function encode(value: unknown): Buffer {
  const bytes = encodeOne(value, ENCODE_OPTIONS);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Throws on anything that is not exactly one CBOR value. Integers beyond 2^53 become bigints. */
export function decode(body: Uint8Array): unknown {
  return decodeOne(body, DECODE_OPTIONS);
}

export function isMap(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === "object" &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}
