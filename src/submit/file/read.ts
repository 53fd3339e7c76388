import { blockOf, listOf } from "./blocks.js";
import { aliases, commandOf, commands } from "./commands.js";
import { Branches, holds } from "./conditions.js";
import { expand, NotAlike, referred, type Scope, type Written } from "./macros.js";
import { fillVars, opensList, parseQueue, type Queue } from "./queue.js";
import { decodeText, type Line, linesOf, nearest, type Place, SubmitError } from "./text.js";
import type { FileWorld } from "./world.js";

export interface ReadOptions {
  file: string;
  world: FileWorld;
  /** The number of the cluster, for `$(ClusterId)`. */
  cluster: number;
  /** Variables of the environment that `$ENV` may read. */
  environment?: readonly string[];
  /** The most procs that a file may make, and bytes of all files that are read. */
  maxProcs?: number;
  maxBytes?: number;
  /** Told of each `warning :`. */
  warn?(text: string, place: Place): void;
}

/** One proc of the cluster: the values of commands as they are for it. */
export interface Proc {
  id: number;
  /** The queue statement that makes it. */
  queue: Place;
  /** The value of a command, by its name in lower case; null where the file does not set it. */
  value(name: string): Value | null;
  /** The same, but text that holds the proc's number has `$(ProcId)` there, if that is possible. */
  alike(name: string): Value | null;
  /** Attributes that the file adds by `+Name` and `MY.Name`. */
  attributes(): (Value & { name: string })[];
}

/** Text with the place of the command, and of the value's beginning. */
export interface Value {
  text: string;
  place: Place;
  /** Where a character of the text stands; the beginning, where macros made the text. */
  at(offset: number): Place;
}

const MOST_PROCS = 100_000;
const MOST_BYTES = 8 * 1024 * 1024;
const DEEPEST_INCLUDE = 10;

interface Setting extends Written {
  name: string;
  place: Place;
}

const ASSIGN = /^\s*(\+\s*)?([A-Za-z_][\w.]*)\s*(@?)=/;
/** Names that the language itself sets. */
const GIVEN = [
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
 * Reads a submit file with all that it includes. The procs come one after another, so that a large
 * cluster does not have to be held whole.
 * @throws SubmitError with file, line, column, reason and hint, at whatever proc it is found
 */
export function* readSubmit(options: ReadOptions): Generator<Proc> {
  yield* new Reader(options).run();
}

class Reader {
  readonly #settings = new Map<string, Setting>();
  readonly #used = new Set<string>();
  /** Commands since the last queue, which have no effect unless another one follows. */
  #since: Setting[] = [];
  #queues = 0;
  #procs = 0;
  #bytes = 0;
  readonly #world: FileWorld;
  readonly #environment: ReadonlySet<string>;
  readonly #startedAt: number;

  constructor(readonly options: ReadOptions) {
    this.#world = options.world;
    this.#environment = new Set(options.environment ?? []);
    this.#startedAt = options.world.now();
  }

  *run(): Generator<Proc> {
    const { file } = this.options;
    yield* this.#file(file, null, 0);
    const end: Place = { file, line: 1, column: 1 };
    if (this.#queues === 0) throw new SubmitError("no queue statement", end, "end with queue");
    const [late] = this.#since;
    if (late !== undefined) {
      throw new SubmitError(`${late.name} stands after the last queue`, late.place, "move it up");
    }
    this.#checkNames();
    if (this.#procs === 0) throw new SubmitError("no proc at all: every queue is empty", end);
  }

  /** What is set and neither a command nor used by name is a command written wrongly. */
  #checkNames(): void {
    for (const [key, { name, place }] of this.#settings) {
      if (commandOf(key) !== null || this.#used.has(key) || key.startsWith("my.")) continue;
      const meant = nearest(key, [...commands.keys(), ...aliases.keys()]);
      throw new SubmitError(
        `unknown command '${name}', and no $(${name}) uses it`,
        place,
        meant === null ? "docs/submit.md lists all commands" : `is ${meant} meant?`,
      );
    }
  }

  *#file(path: string, from: Place | null, depth: number): Generator<Proc> {
    let bytes: Uint8Array;
    try {
      bytes = this.#world.read(path);
    } catch (error) {
      const why = (error as NodeJS.ErrnoException).code ?? "cannot be read";
      throw new SubmitError(`${path}: ${why}`, from ?? { file: path, line: 1, column: 1 });
    }
    this.#bytes += bytes.length;
    const most = this.options.maxBytes ?? MOST_BYTES;
    if (this.#bytes > most) {
      throw new SubmitError(`more than ${most} bytes`, from ?? { file: path, line: 1, column: 1 });
    }
    const lines = linesOf(decodeText(bytes, path), path);
    for (const { text } of lines) for (const name of referred(text)) this.#used.add(name);
    yield* this.#lines(lines, depth);
  }

  *#lines(lines: readonly Line[], depth: number): Generator<Proc> {
    const branches = new Branches();
    for (let i = 0; i < lines.length; i++) {
      const line = lines[i]!;
      const { text } = line;
      const start = text.search(/\S/);
      const place = line.at(start);
      const control = /^\s*(if|elif|else|endif)\b(?!\s*=)\s*([\s\S]*)$/i.exec(text);
      if (control !== null) {
        branches.control(control[1]!.toLowerCase(), place, () => this.#holds(control[2]!, place));
        continue;
      }
      if (!branches.active) {
        // What is left out may hold a list over several lines.
        if (/^\s*queue\b/i.test(text) && opensList(text)) i = listOf(lines, i).last;
        const block = ASSIGN.exec(text);
        if (block !== null && block[3] === "@") i = blockOf(lines, i).last;
        continue;
      }
      const include = /^\s*include\b(?!\s*=)\s*([\s\S]*)$/i.exec(text);
      if (include !== null) {
        yield* this.#include(include[1]!, line, depth);
        continue;
      }
      const spoken = /^\s*(warning|error)\s*:\s*([\s\S]*)$/i.exec(text);
      if (spoken !== null) {
        const said = `the file says: ${this.#expand(spoken[2]!, place)}`;
        if (spoken[1]!.toLowerCase() === "error") throw new SubmitError(said, place);
        this.options.warn?.(said, place);
        continue;
      }
      if (/^\s*use\b(?!\s*=)/i.test(text)) {
        throw new SubmitError("templates of a pool are not here", place, "write out what it sets");
      }
      const queue = /^\s*queue\b(?!\s*=)([\s\S]*)$/i.exec(text);
      if (queue !== null) {
        const list = opensList(text) ? listOf(lines, i) : null;
        if (list !== null) i = list.last;
        yield* this.#queue(queue[1]!, list?.rows ?? null, place);
        continue;
      }
      i = this.#assign(lines, i);
    }
    branches.end();
  }

  #holds(condition: string, place: Place): boolean {
    return holds(
      condition,
      (name) => this.#settings.has(name) || GIVEN.includes(name),
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
    if (depth + 1 > DEEPEST_INCLUDE) {
      throw new SubmitError(`files include files more than ${DEEPEST_INCLUDE} deep`, place);
    }
    if (match[1] !== undefined) {
      try {
        this.#world.read(path);
      } catch {
        return;
      }
    }
    yield* this.#file(path, place, depth + 1);
  }

  #assign(lines: readonly Line[], from: number): number {
    const line = lines[from]!;
    const { text } = line;
    const place = line.at(text.search(/\S/));
    const match = ASSIGN.exec(text);
    if (match === null) {
      const [word = ""] = text.trim().split(/\s/);
      const meant = nearest(word.toLowerCase(), ["queue", "include", "if", "else", "endif"]);
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
    if (GIVEN.includes(key)) {
      throw new SubmitError(`${name} is set by the program`, place, "choose another name");
    }
    const info = commandOf(key);
    if (info?.standing === "refused") {
      throw new SubmitError(`${info.name} is not supported here`, place, info.note);
    }
    let value: Written;
    let last = from;
    if (match[3] === "@") {
      const block = blockOf(lines, from);
      last = block.last;
      value = { text: block.rows.map((row) => row.text.trim()).join(" "), at: () => place };
    } else {
      const begin = match[0].length + /^\s*/.exec(text.slice(match[0].length))![0].length;
      value = { text: text.slice(begin).trimEnd(), at: (offset) => line.at(begin + offset) };
    }
    const canonical = info === null ? key : info.name;
    value = this.#withBefore(value, name, canonical, place);
    this.#settings.set(canonical, { ...value, name, place });
    if (info !== null || key.startsWith("my.")) this.#since.push(this.#settings.get(canonical)!);
    return last;
  }

  /** `x = $(x) more` means the value before, or what stands after the colon. */
  #withBefore(value: Written, name: string, canonical: string, place: Place): Written {
    const own = new RegExp(`\\$\\(\\s*${name.replace(".", "\\.")}\\s*(?::([^()$]*))?\\)`, "gi");
    if (!own.test(value.text)) return value;
    const before = this.#settings.get(canonical)?.text;
    const text = value.text.replace(own, (_, otherwise?: string) => {
      const old = before ?? otherwise;
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
    given: ReadonlyMap<string, string>,
    alike: boolean,
    settings: ReadonlyMap<string, Setting> = this.#settings,
  ): Scope {
    const setting = (name: string): Written | null =>
      settings.get(commandOf(name)?.name ?? name) ?? null;
    return {
      get: (name) => given.get(name) ?? this.#given(name) ?? setting(name),
      names: () => [...given.keys(), ...settings.keys()],
      world: this.#world,
      environment: this.#environment,
      alike,
    };
  }

  /** What the language sets by itself. */
  #given(name: string): string | null {
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
    this.#queues++;
    this.#since = [];
    const queue = parseQueue({
      text: this.#expand(rest, place),
      place,
      list,
      world: this.#world,
      most: this.options.maxProcs ?? MOST_PROCS,
    });
    for (const name of queue.vars) this.#used.add(name.toLowerCase());
    const total = queue.count * (queue.items?.length ?? 1);
    const most = this.options.maxProcs ?? MOST_PROCS;
    if (this.#procs + total > most) {
      throw new SubmitError(`${this.#procs + total} procs; at most ${most}`, place);
    }
    // What the file sets now: a later queue may set it anew.
    const settings = new Map(this.#settings);
    for (const [row, item] of (queue.items ?? [null]).entries()) {
      for (let step = 0; step < queue.count; step++) {
        yield this.#proc(queue, this.#procs++, row, step, item, settings);
      }
    }
  }

  #proc(
    queue: Queue,
    id: number,
    row: number,
    step: number,
    item: string | null,
    settings: ReadonlyMap<string, Setting>,
  ): Proc {
    const given = new Map<string, string>();
    for (const name of ["procid", "process"]) given.set(name, String(id));
    given.set("node", "0");
    given.set("step", String(step));
    for (const name of ["row", "itemindex"]) given.set(name, String(row));
    if (item !== null) {
      for (const [name, value] of fillVars(queue.vars, item)) given.set(name.toLowerCase(), value);
    }
    const scope = this.#scope(given, false, settings);
    const free = this.#scope(given, true, settings);
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
      alike: (name) => {
        const setting = settings.get(name);
        if (setting === undefined) return null;
        try {
          return textOf(setting, free);
        } catch (error) {
          if (error instanceof NotAlike) return textOf(setting, scope);
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
