import { aliases, commandOf, commands } from "./commands.js";
import { ConditionStack, evaluateCondition } from "./conditions.js";
import type { HostEnvironment } from "./host-environment.js";
import { expand, type LocatedText, NeedsProcId, referencedNames, type Scope } from "./macros.js";
import { readBlock, readList } from "./multiline.js";
import { parseQueue, type QueueStatement, splitItem, startsList } from "./queue.js";
import { closestWord, decodeText, type Line, type Place, SubmitError, splitLines } from "./text.js";

export interface ReadOptions {
  file: string;
  world: HostEnvironment;
  /** The number of the cluster, for `$(ClusterId)`. */
  cluster: number;
  /** Variables of the environment that `$ENV` may read. */
  environment?: readonly string[];
  /** Most procs of a file, and most bytes of all files that are read. */
  maxProcs?: number;
  maxBytes?: number;
  /** Called for each `warning :` statement. */
  warn?(text: string, place: Place): void;
}

/** One proc of the cluster, with the values that its commands have. */
export interface Proc {
  id: number;
  /** Position of the queue statement that creates it. */
  queue: Place;
  /** The value of a command by its name in lower case; null if the file does not set it. */
  value(name: string): Value | null;
  /** The same, but with `$(ProcId)` left in place of the proc's number where that is possible. */
  valueKeepingProcId(name: string): Value | null;
  /** Attributes that the file adds by `+Name` and `MY.Name`. */
  attributes(): (Value & { name: string })[];
}

/** The text of a value and the position where it begins. */
export interface Value {
  text: string;
  place: Place;
  /** Position of a character of the text; of the beginning, if macros were expanded in it. */
  at(offset: number): Place;
}

const MAX_PROCS = 100_000;
const MAX_TOTAL_BYTES = 8 * 1024 * 1024;
const MAX_INCLUDE_DEPTH = 10;

interface Setting extends LocatedText {
  name: string;
  place: Place;
}

const ASSIGNMENT = /^\s*(\+\s*)?([A-Za-z_][\w.]*)\s*(@?)=/;
/** Names that the language predefines. */
const PREDEFINED_NAMES = [
  "clusterid",
  "cluster",
  "procid",
  "process",
  "step",
  "row",
  "itemindex",
  "item",
  "node",
];

/**
 * Reads a submit file and the files it includes. Yields the procs one by one, so that a large
 * cluster need not be held in memory.
 * @throws SubmitError with file, line, column, reason and hint, at any proc
 */
export function* readSubmit(options: ReadOptions): Generator<Proc> {
  yield* new SubmitFileReader(options).run();
}

class SubmitFileReader {
  readonly #settings = new Map<string, Setting>();
  readonly #usedNames = new Set<string>();
  /** Commands since the last queue statement; without effect unless another one follows. */
  #unqueued: Setting[] = [];
  #queueCount = 0;
  #procCount = 0;
  #bytesRead = 0;
  readonly #host: HostEnvironment;
  readonly #environment: ReadonlySet<string>;
  readonly #startedAt: number;

  constructor(readonly options: ReadOptions) {
    this.#host = options.world;
    this.#environment = new Set(options.environment ?? []);
    this.#startedAt = options.world.now();
  }

  *run(): Generator<Proc> {
    const { file } = this.options;
    yield* this.#readFile(file, null, 0);
    const end: Place = { file, line: 1, column: 1 };
    if (this.#queueCount === 0) throw new SubmitError("no queue statement", end, "end with queue");
    const [late] = this.#unqueued;
    if (late !== undefined) {
      throw new SubmitError(`${late.name} stands after the last queue`, late.place, "move it up");
    }
    this.#checkNames();
    if (this.#procCount === 0) throw new SubmitError("no proc at all: every queue is empty", end);
  }

  /** Refuses a name that is set but neither a command nor used: a misspelt command. */
  #checkNames(): void {
    for (const [key, { name, place }] of this.#settings) {
      if (commandOf(key) !== null || this.#usedNames.has(key) || key.startsWith("my.")) continue;
      const meant = closestWord(key, [...commands.keys(), ...aliases.keys()]);
      throw new SubmitError(
        `unknown command '${name}', and no $(${name}) uses it`,
        place,
        meant === null ? "docs/submit.md lists all commands" : `is ${meant} meant?`,
      );
    }
  }

  *#readFile(path: string, from: Place | null, depth: number): Generator<Proc> {
    let bytes: Uint8Array;
    try {
      bytes = this.#host.read(path);
    } catch (error) {
      const why = (error as NodeJS.ErrnoException).code ?? "cannot be read";
      throw new SubmitError(`${path}: ${why}`, from ?? { file: path, line: 1, column: 1 });
    }
    this.#bytesRead += bytes.length;
    const limit = this.options.maxBytes ?? MAX_TOTAL_BYTES;
    if (this.#bytesRead > limit) {
      throw new SubmitError(`more than ${limit} bytes`, from ?? { file: path, line: 1, column: 1 });
    }
    const lines = splitLines(decodeText(bytes, path), path);
    for (const { text } of lines)
      for (const name of referencedNames(text)) this.#usedNames.add(name);
    yield* this.#readLines(lines, depth);
  }

  *#readLines(lines: readonly Line[], depth: number): Generator<Proc> {
    const branches = new ConditionStack();
    for (let i = 0; i < lines.length; i++) {
      const line = lines[i]!;
      const { text } = line;
      const start = text.search(/\S/);
      const place = line.at(start);
      const control = /^\s*(if|elif|else|endif)\b(?!\s*=)\s*([\s\S]*)$/i.exec(text);
      if (control !== null) {
        branches.control(control[1]!.toLowerCase(), place, () => this.#isTrue(control[2]!, place));
        continue;
      }
      if (!branches.active) {
        // The skipped branch may have lists and blocks over several lines.
        if (/^\s*queue\b/i.test(text) && startsList(text)) i = readList(lines, i).last;
        const block = ASSIGNMENT.exec(text);
        if (block !== null && block[3] === "@") i = readBlock(lines, i).last;
        continue;
      }
      const include = /^\s*include\b(?!\s*=)\s*([\s\S]*)$/i.exec(text);
      if (include !== null) {
        yield* this.#include(include[1]!, line, depth);
        continue;
      }
      const message = /^\s*(warning|error)\s*:\s*([\s\S]*)$/i.exec(text);
      if (message !== null) {
        const said = `the file says: ${this.#expand(message[2]!, place)}`;
        if (message[1]!.toLowerCase() === "error") throw new SubmitError(said, place);
        this.options.warn?.(said, place);
        continue;
      }
      if (/^\s*use\b(?!\s*=)/i.test(text)) {
        throw new SubmitError("templates of a pool are not here", place, "write out what it sets");
      }
      const queue = /^\s*queue\b(?!\s*=)([\s\S]*)$/i.exec(text);
      if (queue !== null) {
        const list = startsList(text) ? readList(lines, i) : null;
        if (list !== null) i = list.last;
        yield* this.#queue(queue[1]!, list?.rows ?? null, place);
        continue;
      }
      i = this.#assign(lines, i);
    }
    branches.end();
  }

  #isTrue(condition: string, place: Place): boolean {
    return evaluateCondition(
      condition,
      (name) => this.#settings.has(name) || PREDEFINED_NAMES.includes(name),
      (text) => this.#expand(text, place),
      place,
    );
  }

  *#include(rest: string, line: Line, depth: number): Generator<Proc> {
    const place = line.at(line.text.search(/\S/));
    const match = /^(ifexist\s*)?(command\b.*|)\s*:\s*([\s\S]*)$/i.exec(rest);
    if (match === null)
      throw new SubmitError("include needs a file", place, "write include : FILE");
    const path = this.#expand(match[3]!, place).trim();
    if (match[2] !== "" || path.endsWith("|")) {
      throw new SubmitError(
        "an include of a command's output would run the command here",
        place,
        "run it yourself and include its file",
      );
    }
    if (path === "") throw new SubmitError("include needs a file", place);
    if (depth + 1 > MAX_INCLUDE_DEPTH) {
      throw new SubmitError(`files include files more than ${MAX_INCLUDE_DEPTH} deep`, place);
    }
    if (match[1] !== undefined) {
      try {
        this.#host.read(path);
      } catch {
        return;
      }
    }
    yield* this.#readFile(path, place, depth + 1);
  }

  #assign(lines: readonly Line[], from: number): number {
    const line = lines[from]!;
    const { text } = line;
    const place = line.at(text.search(/\S/));
    const match = ASSIGNMENT.exec(text);
    if (match === null) {
      const [word = ""] = text.trim().split(/\s/);
      const meant = closestWord(word.toLowerCase(), ["queue", "include", "if", "else", "endif"]);
      throw new SubmitError(
        "this is neither name = value nor a statement",
        place,
        meant === null ? null : `is ${meant} meant?`,
      );
    }
    const name = match[1] === undefined ? match[2]! : `MY.${match[2]!}`;
    const key = name.toLowerCase();
    if (key.includes(".") && !key.startsWith("my.")) {
      throw new SubmitError(`'${name}' is no name`, place, "attributes are MY.Name or +Name");
    }
    if (PREDEFINED_NAMES.includes(key)) {
      throw new SubmitError(`${name} is set by birchdale`, place, "choose another name");
    }
    const info = commandOf(key);
    if (info?.support === "refused") {
      throw new SubmitError(`${info.name} is not supported here`, place, info.note);
    }
    let value: LocatedText;
    let last = from;
    if (match[3] === "@") {
      const block = readBlock(lines, from);
      last = block.last;
      value = { text: block.rows.map((row) => row.text.trim()).join(" "), at: () => place };
    } else {
      const begin = match[0].length + /^\s*/.exec(text.slice(match[0].length))![0].length;
      value = { text: text.slice(begin).trimEnd(), at: (offset) => line.at(begin + offset) };
    }
    const canonical = info === null ? key : info.name;
    value = this.#withPrevious(value, name, canonical, place);
    this.#settings.set(canonical, { ...value, name, place });
    if (info !== null || key.startsWith("my.")) this.#unqueued.push(this.#settings.get(canonical)!);
    return last;
  }

  /** Replaces `$(x)` in `x = $(x) more` by the previous value, or by the default after `:`. */
  #withPrevious(value: LocatedText, name: string, canonical: string, place: Place): LocatedText {
    const self = new RegExp(`\\$\\(\\s*${name.replace(".", "\\.")}\\s*(?::([^()$]*))?\\)`, "gi");
    if (!self.test(value.text)) return value;
    const previous = this.#settings.get(canonical)?.text;
    const text = value.text.replace(self, (_, fallback?: string) => {
      const old = previous ?? fallback;
      if (old !== undefined) return old;
      throw new SubmitError(
        `nothing sets $(${name}) before`,
        place,
        `write $(${name}:) for nothing`,
      );
    });
    return { text, at: () => place };
  }

  // ---- values ------------------------------------------------------------------------------

  #scope(
    values: ReadonlyMap<string, string>,
    keepProcId: boolean,
    settings: ReadonlyMap<string, Setting> = this.#settings,
  ): Scope {
    const setting = (name: string): LocatedText | null =>
      settings.get(commandOf(name)?.name ?? name) ?? null;
    return {
      get: (name) => values.get(name) ?? this.#predefined(name) ?? setting(name),
      names: () => [...values.keys(), ...settings.keys()],
      host: this.#host,
      environment: this.#environment,
      keepProcId,
    };
  }

  /** Values of predefined names that are the same for all procs. */
  #predefined(name: string): string | null {
    const at = new Date(this.#startedAt);
    const two = (value: number): string => String(value).padStart(2, "0");
    switch (name) {
      case "clusterid":
      case "cluster":
        return String(this.options.cluster);
      case "submit_file":
        return this.options.file;
      case "submit_time":
        return String(Math.floor(this.#startedAt / 1000));
      case "year":
        return String(at.getUTCFullYear());
      case "month":
        return two(at.getUTCMonth() + 1);
      case "day":
        return two(at.getUTCDate());
      default:
        return null;
    }
  }

  #expand(text: string, place: Place): string {
    return expand({ text, at: () => place }, this.#scope(new Map(), false));
  }

  // ---- queues ------------------------------------------------------------------------------

  *#queue(rest: string, list: string[] | null, place: Place): Generator<Proc> {
    this.#queueCount++;
    this.#unqueued = [];
    const queue = parseQueue({
      text: this.#expand(rest, place),
      place,
      list,
      host: this.#host,
      maxItems: this.options.maxProcs ?? MAX_PROCS,
    });
    for (const name of queue.vars) this.#usedNames.add(name.toLowerCase());
    const total = queue.count * (queue.items?.length ?? 1);
    const limit = this.options.maxProcs ?? MAX_PROCS;
    if (this.#procCount + total > limit) {
      throw new SubmitError(`${this.#procCount + total} procs; at most ${limit}`, place);
    }
    // A copy, since the file may change settings after this queue statement.
    const settings = new Map(this.#settings);
    for (const [row, item] of (queue.items ?? [null]).entries()) {
      for (let step = 0; step < queue.count; step++) {
        yield this.#proc(queue, this.#procCount++, row, step, item, settings);
      }
    }
  }

  #proc(
    queue: QueueStatement,
    id: number,
    row: number,
    step: number,
    item: string | null,
    settings: ReadonlyMap<string, Setting>,
  ): Proc {
    const values = new Map<string, string>();
    for (const name of ["procid", "process"]) values.set(name, String(id));
    values.set("node", "0");
    values.set("step", String(step));
    for (const name of ["row", "itemindex"]) values.set(name, String(row));
    if (item !== null) {
      for (const [name, value] of splitItem(queue.vars, item))
        values.set(name.toLowerCase(), value);
    }
    const scope = this.#scope(values, false, settings);
    const scopeKeepingProcId = this.#scope(values, true, settings);
    const textOf = (setting: Setting, within: Scope): Value => {
      const text = expand(setting, within).trim();
      const place = setting.at(0);
      return { text, place, at: text === setting.text ? setting.at : () => place };
    };
    return {
      id,
      queue: queue.place,
      value: (name) => {
        const setting = settings.get(name);
        return setting === undefined ? null : textOf(setting, scope);
      },
      valueKeepingProcId: (name) => {
        const setting = settings.get(name);
        if (setting === undefined) return null;
        try {
          return textOf(setting, scopeKeepingProcId);
        } catch (error) {
          if (error instanceof NeedsProcId) return textOf(setting, scope);
          throw error;
        }
      },
      attributes: () =>
        [...settings]
          .filter(([key]) => key.startsWith("my."))
          .map(([, setting]) => ({ ...textOf(setting, scope), name: setting.name.slice(3) })),
    };
  }
}
