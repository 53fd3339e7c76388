import { type Entry, literal, type Node } from "./ast.js";
import { ClassAdError } from "./errors.js";
import type { Frame } from "./evaluation.js";
import { defaultLimits, type Limits } from "./limits.js";
import { parseExpression, parseRecord } from "./parser.js";
import { print, printEntries, printName } from "./print.js";
import type { Value } from "./values.js";

export interface Attribute {
  readonly name: string;
  readonly key: string;
  readonly node: Node;
  /** The compiled expression; null until the attribute is first evaluated. */
  compiled: ((frame: Frame) => Value) | null;
}

/**
 * A map from attribute names to expressions. Look-ups ignore case; names keep the case they were
 * set with.
 */
export class Ad {
  readonly #attributes = new Map<string, Attribute>();

  constructor(entries: Iterable<Entry> = []) {
    for (const { name, node } of entries) this.set(name, node);
  }

  /** @throws ClassAdError */
  static parse(text: string, limits: Limits = defaultLimits): Ad {
    return new Ad(parseRecord(text, limits).entries);
  }

  /**
   * Parses one `Name = expression` per line, as `condor_q -long` prints it. Empty lines and lines
   * that begin with `#` are skipped.
   * @throws ClassAdError
   */
  static parseLines(text: string, limits: Limits = defaultLimits): Ad {
    const ad = new Ad();
    for (const [index, line] of text.split(/\r?\n/).entries()) {
      if (/^\s*(#|$)/.test(line)) continue;
      const match = /^(\s*([A-Za-z_][A-Za-z0-9_]*)\s*=)(?![=?!])(.*)$/.exec(line);
      if (match === null) throw new ClassAdError("expected Name = expression", index + 1, 1);
      const [, head, name, rest] = match as unknown as [string, string, string, string];
      try {
        ad.set(name, parseExpression(rest, limits));
      } catch (error) {
        throw error instanceof ClassAdError ? error.at(index + 1, head.length + 1) : error;
      }
    }
    return ad;
  }

  get size(): number {
    return this.#attributes.size;
  }

  /** @param key the attribute's name in lower case */
  get(key: string): Attribute | undefined {
    return this.#attributes.get(key);
  }

  has(name: string): boolean {
    return this.#attributes.has(name.toLowerCase());
  }

  set(name: string, node: Node): this {
    const key = name.toLowerCase();
    this.#attributes.set(key, { name, key, node, compiled: null });
    return this;
  }

  put(name: string, value: Value): this {
    return this.set(name, literal(value));
  }

  delete(name: string): boolean {
    return this.#attributes.delete(name.toLowerCase());
  }

  attributes(): IterableIterator<Attribute> {
    return this.#attributes.values();
  }

  /** The ad on one line; parsing the text gives the same ad. */
  toString(): string {
    return printEntries([...this.#attributes.values()]);
  }

  /** One `Name = expression` per line, sorted by name. */
  toLines(): string {
    return [...this.#attributes.values()]
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map(({ name, node }) => `${printName(name)} = ${print(node)}\n`)
      .join("");
  }
}
