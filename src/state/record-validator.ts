/** Whether the reader of a kind of record accepts a value. */
export type RecordReader = (value: unknown, key: string) => boolean;

/** Describes the first part of a value that the store would not return unchanged, or null. */
function findUnstorable(value: unknown, path = ""): string | null {
  switch (typeof value) {
    case "string":
    case "boolean":
      return null;
    case "number":
      return Number.isFinite(value)
        ? null
        : `${path || "the value"} is ${value}, not a finite number`;
    case "object":
      break;
    default:
      return `${path || "the value"} is ${value === undefined ? "missing" : `a ${typeof value}`}`;
  }
  if (value === null) return null;
  for (const [name, inner] of Object.entries(value)) {
    // An undefined field of a map is left out, as in JSON; an undefined item of a list is not.
    if (inner === undefined && !Array.isArray(value)) continue;
    const fault = findUnstorable(inner, path === "" ? name : `${path}.${name}`);
    if (fault !== null) return fault;
  }
  return null;
}

/**
 * Validates every record before it is written: nothing is written that its own reader would reject.
 * Once a slice was written that was not a number, and a team had no slice until it was read as 0.
 *
 * Code that writes several records at once checks each one first (`fault`) and leaves invalid ones
 * out; the client of the store rejects a transaction that still has one (`Unwritable`).
 */
export class RecordValidator {
  readonly #readers: { pattern: RegExp; accepts: RecordReader }[] = [];
  /** Values found valid: each is checked twice, and is not changed in between. */
  readonly #validated = new WeakSet<object>();
  /** Keys whose last value was invalid, so that each is reported once. */
  readonly #reportedKeys = new Set<string>();

  constructor(
    /** Called once per key with an invalid value, and again only after a valid one. */
    readonly onInvalid: (key: string, reason: string) => void = () => undefined,
  ) {}

  /** `accepts` checks records whose key matches; all others are only checked to be storable. */
  add(pattern: RegExp, accepts: RecordReader): this {
    this.#readers.push({ pattern, accepts });
    return this;
  }

  /** Why a record may not be written, or null. */
  fault(key: string, value: unknown): string | null {
    const isObject = typeof value === "object" && value !== null;
    if (isObject && this.#validated.has(value)) return null;
    const reason = findUnstorable(value) ?? this.#readerRejection(key, value);
    if (reason === null) {
      if (isObject) this.#validated.add(value);
      this.#reportedKeys.delete(key);
      return null;
    }
    if (!this.#reportedKeys.has(key)) {
      this.#reportedKeys.add(key);
      this.onInvalid(key, reason);
    }
    return reason;
  }

  #readerRejection(key: string, value: unknown): string | null {
    for (const { pattern, accepts } of this.#readers) {
      if (pattern.test(key) && !accepts(value, key)) return "its own reader would reject the value";
    }
    return null;
  }
}
