import { CorruptLeaf, decodeLeaf, LAST, lastOf } from "../archive/index.js";
import type { ChunkState } from "../jobs/chunk.js";
import { readPage } from "../jobs/chunk-page.js";
import { FINISHED, headerError, type JobHeader, partChar } from "../jobs/job-header.js";
import { isSliceRecord } from "../quota/slices.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import { ARCHIVE_SCHEMA, KNOWN_SCHEMA } from "../state/schema.js";
import { isJobId } from "../wire/jobs.js";
import type { Image } from "./collect.js";

/** Something that must not be, and the key that shows it. */
export interface Finding {
  key: string;
  problem: string;
}

export interface CheckOptions {
  /** The teams' limits, where the settings are at hand. */
  limits?: ReadonlyMap<string, { cpus: number; gpus: number }>;
}

const ROUNDING_TOLERANCE = 1e-6;

/**
 * Verifies what must hold between the records of one revision (docs/design.md, "Why the rules
 * hold"): chunks and headers agree, each task is placed at most once, slices are within limits,
 * archive and headers have no job in common, no token is newer than the revision. A pure function;
 * an empty list means that all of it holds.
 */
export function checkImage(image: Image, { limits }: CheckOptions = {}): Finding[] {
  const findings: Finding[] = [];
  const addFinding = (key: string, problem: string): void => {
    findings.push({ key, problem });
  };
  const headers = new Map<string, JobHeader>();
  const sortedKeys = [...image.rows.keys()].sort();
  for (const key of sortedKeys) {
    const { value, version } = image.rows.get(key)!;
    if (version > image.revision) {
      addFinding(key, `its stamp ${version} is beyond the revision ${image.revision}`);
    }
    if (!key.startsWith(JOB_HEADER_PREFIX)) continue;
    const id = key.slice(JOB_HEADER_PREFIX.length);
    const problem = !isJobId(id) ? "not a job's id" : headerError(value);
    if (problem !== null) addFinding(key, problem);
    else headers.set(id, value as JobHeader);
  }
  checkChunkRecords(image, sortedKeys, headers, addFinding);
  checkArchive(image, sortedKeys, headers, addFinding);
  checkSlices(image, sortedKeys, limits, addFinding);
  checkTokens(image, sortedKeys, addFinding);
  return findings;
}

type AddFinding = (key: string, problem: string) => void;

/** Pages and handovers against the headers. */
function checkChunkRecords(
  image: Image,
  sortedKeys: readonly string[],
  headers: ReadonlyMap<string, JobHeader>,
  addFinding: AddFinding,
): void {
  const pattern = /^c\/(\d+)\/(p|m)\/(.+)$/;
  const pageOfChunk = new Map<string, string>();
  const machineOfTask = new Map<string, string>();
  for (const key of sortedKeys) {
    const match = pattern.exec(key);
    if (match === null) continue;
    const { value } = image.rows.get(key)!;
    const part = Number(match[1]);
    const states = readPage(value);
    if (states === null) {
      addFinding(key, "not a page");
      continue;
    }
    for (const [name, state] of states) {
      const { id, index } = parseChunkName(name);
      const header = headers.get(id);
      const fault = chunkFault(headers, part, name, state);
      if (fault !== null) addFinding(key, `${name}: ${fault}`);
      if (header === undefined) continue;
      const otherPage = pageOfChunk.get(name);
      if (match[2] === "p") {
        if (otherPage !== undefined) addFinding(key, `${name}: is in ${otherPage} as well`);
        pageOfChunk.set(name, key);
      }
      for (const { index: task, machine } of state.live) {
        const taskName = `${id}/${index * header.chunkSize + task}`;
        const otherMachine = machineOfTask.get(taskName);
        // What came along from another part is in a page as well until it is deleted.
        if (otherMachine !== undefined && match[2] === "p" && otherMachine !== machine) {
          addFinding(key, `${taskName}: placed on ${machine} and on ${otherMachine}`);
        }
        machineOfTask.set(taskName, machine);
      }
    }
  }
}

const parseChunkName = (name: string): { id: string; index: number } => {
  const slash = name.lastIndexOf("/");
  return { id: name.slice(0, slash), index: Number(name.slice(slash + 1)) };
};

/** What is wrong with a chunk's state in a record of a part, or null. */
export function chunkFault(
  headers: ReadonlyMap<string, JobHeader>,
  part: number,
  name: string,
  state: ChunkState,
): string | null {
  const { id, index } = parseChunkName(name);
  const header = headers.get(id);
  if (header === undefined) return "a chunk without a header";
  const owner = header.owners[index];
  if (owner !== partChar(part)) {
    if (header.status === "done" || owner === FINISHED) return "by its header it is finished";
    if (owner === undefined) return "by its header it does not exist";
    return `by its header it belongs to part ${Number.parseInt(owner, 36)}`;
  }
  return chunkProblems(header, index, state)[0] ?? null;
}

function chunkProblems(header: JobHeader, index: number, state: ChunkState): string[] {
  const problems: string[] = [];
  const size = Math.min(header.chunkSize, header.tasks - index * header.chunkSize);
  const doneTasks = new Set<number>();
  for (const range of state.done === "" ? [] : state.done.split(",")) {
    const [from, to = from] = range.split("-").map(Number) as [number, number?];
    if (!(from >= 0 && to >= from && to < size)) {
      problems.push(`tasks ${range} of ${size} are done`);
      continue;
    }
    for (let task = from; task <= to; task++) doneTasks.add(task);
  }
  const placedTasks = new Set<number>();
  for (const { index: task, attempt, machine } of state.live) {
    if (!(task >= 0 && task < size)) problems.push(`task ${task} of ${size} is placed`);
    if (placedTasks.has(task)) problems.push(`task ${task} is placed twice`);
    if (doneTasks.has(task)) problems.push(`task ${task} is done and placed`);
    if (attempt > state.attempts) problems.push(`attempt ${attempt} of ${state.attempts}`);
    if (typeof machine !== "string") problems.push(`task ${task} is on no machine`);
    placedTasks.add(task);
  }
  return problems;
}

function checkArchive(
  image: Image,
  sortedKeys: readonly string[],
  headers: ReadonlyMap<string, JobHeader>,
  addFinding: AddFinding,
): void {
  const leaves = sortedKeys.filter((key) => key.startsWith(keys.archive));
  const schema = image.rows.get(keys.schema)?.value as { version?: unknown } | undefined;
  const knownSchemas: unknown[] = [ARCHIVE_SCHEMA, KNOWN_SCHEMA];
  if (schema !== undefined && !knownSchemas.includes(schema?.version)) {
    addFinding(
      keys.schema,
      `schema ${String(schema?.version)}; this program knows ${KNOWN_SCHEMA}`,
    );
  }
  if (schema === undefined) {
    if (leaves.length > 0) addFinding(leaves[0]!, "an archive that no schema tells of");
    return;
  }
  let from = "";
  for (const key of leaves) {
    try {
      const leaf = decodeLeaf({ key, ...image.rows.get(key)! });
      if (leaf.from !== from)
        addFinding(key, `begins behind "${leaf.from}" and not behind "${from}"`);
      for (const [id] of leaf.entries) {
        if (headers.has(id)) addFinding(keys.job(id), `is in the archive as well (${key})`);
      }
    } catch (error) {
      if (!(error instanceof CorruptLeaf)) throw error;
      addFinding(key, error.message);
    }
    from = lastOf(key) ?? from;
  }
  if (from !== LAST)
    addFinding(`${keys.archive}${LAST}`, "the last leaf of the archive is missing");
  if (!image.rows.has(keys.leader)) {
    addFinding(keys.leader, "nothing keeps programs that do not know the archive from leading");
  }
}

function checkSlices(
  image: Image,
  sortedKeys: readonly string[],
  limits: CheckOptions["limits"],
  addFinding: AddFinding,
): void {
  const prefix = keys.quota("");
  for (const key of sortedKeys) {
    if (!key.startsWith(prefix)) continue;
    const { value } = image.rows.get(key)!;
    if (!isSliceRecord(value)) {
      addFinding(key, "not slices of a limit");
      continue;
    }
    const knownSlices: [cpus: number, gpus: number][] = [];
    for (const [part, slice] of Object.entries(value)) {
      if (slice === null) addFinding(key, `the slice of part ${part} is not known`);
      else knownSlices.push(slice);
    }
    const team = decodeURIComponent(key.slice(prefix.length));
    const limit = limits?.get(team);
    if (limit === undefined) continue;
    const cpus = knownSlices.reduce((sum, slice) => sum + slice[0], 0);
    const gpus = knownSlices.reduce((sum, slice) => sum + slice[1], 0);
    if (cpus > limit.cpus + ROUNDING_TOLERANCE || gpus > limit.gpus + ROUNDING_TOLERANCE) {
      addFinding(
        key,
        `slices of ${cpus} CPUs and ${gpus} GPUs; the limit is ${limit.cpus}, ${limit.gpus}`,
      );
    }
  }
}

/** A token is the stamp of a claim; what an owner wrote under it is not older than the claim. */
function checkTokens(image: Image, sortedKeys: readonly string[], addFinding: AddFinding): void {
  for (const key of sortedKeys) {
    const fence = /^c\/(\d+)\/fence$/.exec(key);
    if (fence === null) continue;
    const { value } = image.rows.get(key)!;
    const token = Number(/^(\d+)\.\d+$/.exec(String(value))?.[1] ?? Number.NaN);
    if (Number.isNaN(token)) {
      addFinding(key, `not an owner's mark: ${String(value)}`);
      continue;
    }
    const claim = image.rows.get(keys.claim(Number(fence[1])));
    if (token > (claim?.version ?? image.revision)) {
      addFinding(key, `written under token ${token}, which is newer than the part's claim`);
    }
  }
}
