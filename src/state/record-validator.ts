/** What reads records of one kind; false for what it would refuse. */
export type RecordReader = (value: unknown, key: string) => boolean;

/** Where in a value something is that would not be given back as it is, or null. */
function lossy(value: unknown, at = ""): string | null {
  switch (typeof value) {
    case "string":
    case "boolean":
      return null;
    case "number":
      return Number.isFinite(value) ? null : `${at || "the value"} is ${value}`;
    case "object":
      break;
    default:
      return `${at || "the value"} is ${value === undefined ? "missing" : `a ${typeof value}`}`;
  }
  if (value === null) return null;
  for (const [name, inner] of Object.entries(value)) {
    // A field of a map that is undefined is left out, as in JSON; an item of a list is not.
    if (inner === undefined && !Array.isArray(value)) continue;
    const fault = lossy(inner, at === "" ? name : `${at}.${name}`);
    if (fault !== null) return fault;
  }
  return null;
}

/**
 * The one place that every write passes: nothing is written that its own reader would refuse. A
 * slice that was not a number once was, and a team had no slice until it was taken for 0.
 *
 * Whoever writes several records at once asks before (`fault`) and leaves out the one that is
 * refused; what is written all the same is refused by the client of the store (`Unwritable`).
 */
export class RecordValidator {
  readonly #kinds: { pattern: RegExp; reads: RecordReader }[] = [];
  /** Values that have passed: they are asked about twice, and are not changed in between. */
  readonly #passed = new WeakSet<object>();
  /** Keys that have been refused, until they pass. */
  readonly #told = new Set<string>();

  constructor(
    /** Told once, until a value for the key passes. */
    readonly refused: (key: string, why: string) => void = () => undefined,
  ) {}

  /** Records whose key matches are read by `reads`; of others only what a store keeps is checked. */
  add(pattern: RegExp, reads: RecordReader): this {
    this.#kinds.push({ pattern, reads });
    return this;
  }

  /** Why a record may not be written, or null. */
  fault(key: string, value: unknown): string | null {
    const known = typeof value === "object" && value !== null;
    if (known && this.#passed.has(value)) return null;
    const why = lossy(value) ?? this.#unread(key, value);
    if (why === null) {
      if (known) this.#passed.add(value);
      this.#told.delete(key);
      return null;
    }
    if (!this.#told.has(key)) {
      this.#told.add(key);
      this.refused(key, why);
    }
    return why;
  }

  #unread(key: string, value: unknown): string | null {
    for (const { pattern, reads } of this.#kinds) {
      if (pattern.test(key) && !reads(value, key)) return "its own reader would refuse it";
    }
    return null;
  }
}
