import { CorruptLeaf, decodeLeaf, END_OF_RANGES, lastIdOf } from "../archive/index.js";
import type { ChunkState } from "../jobs/chunk.js";
import { readPage } from "../jobs/chunk-page.js";
import { FINISHED, headerError, type JobHeader, partChar } from "../jobs/job-header.js";
import { isSliceRecord } from "../quota/slices.js";
import { JOB_HEADER_PREFIX, keys } from "../state/keys.js";
import { ARCHIVE_SCHEMA, KNOWN_SCHEMA } from "../state/schema.js";
import { isJobId } from "../wire/jobs.js";
import type { Image } from "./collect.js";

/** A violated invariant, and the key where it shows. */
export interface Finding {
  key: string;
  problem: string;
}

export interface CheckOptions {
  /** The teams' limits, if the settings are available. */
  limits?: ReadonlyMap<string, { cpus: number; gpus: number }>;
}

const ROUNDING_TOLERANCE = 1e-6;

/**
 * Verifies the invariants between the records of one revision (docs/design.md, "Why the rules
 * hold"): chunks and headers agree, each task is placed at most once, slices are within limits, no
 * job is both in the archive and among the headers, no token is newer than the revision. A pure
 * function; an empty list means that all invariants hold.
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
      addFinding(key, `version ${version} is greater than the image's revision ${image.revision}`);
    }
    if (!key.startsWith(JOB_HEADER_PREFIX)) continue;
    const id = key.slice(JOB_HEADER_PREFIX.length);
    const problem = !isJobId(id) ? `"${id}" is not a valid job id` : headerError(value);
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

/** Checks chunk pages and handover records against the headers. */
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
      addFinding(key, "the value is not a valid page record");
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
        if (otherPage !== undefined)
          addFinding(key, `${name}: the chunk is also in page ${otherPage}`);
        pageOfChunk.set(name, key);
      }
      for (const { index: task, machine } of state.live) {
        const taskName = `${id}/${index * header.chunkSize + task}`;
        const otherMachine = machineOfTask.get(taskName);
        // A handover record and a page may both have the chunk until the handover record is deleted.
        if (otherMachine !== undefined && match[2] === "p" && otherMachine !== machine) {
          addFinding(
            key,
            `${taskName}: the task is placed on two machines, ${machine} and ${otherMachine}`,
          );
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
  if (header === undefined) return "the chunk's job has no valid header";
  const owner = header.owners[index];
  if (owner !== partChar(part)) {
    if (header.status === "done" || owner === FINISHED)
      return "by the job header, the chunk is finished";
    if (owner === undefined) return `the job header has only ${header.owners.length} chunks`;
    return `by the job header, the chunk belongs to part ${Number.parseInt(owner, 36)}`;
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
      problems.push(`done tasks ${range} are out of range: the chunk has ${size} tasks`);
      continue;
    }
    for (let task = from; task <= to; task++) doneTasks.add(task);
  }
  const placedTasks = new Set<number>();
  for (const { index: task, attempt, machine } of state.live) {
    if (!(task >= 0 && task < size))
      problems.push(`placed task ${task} is out of range: the chunk has ${size} tasks`);
    if (placedTasks.has(task)) problems.push(`task ${task} is placed twice`);
    if (doneTasks.has(task)) problems.push(`task ${task} is done and placed`);
    if (attempt > state.attempts)
      problems.push(
        `task ${task}: attempt ${attempt} exceeds the chunk's highest attempt ${state.attempts}`,
      );
    if (typeof machine !== "string")
      problems.push(`task ${task} is placed, but its machine is missing`);
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
      `schema version ${String(schema?.version)} is not supported; expected ${ARCHIVE_SCHEMA} or ${KNOWN_SCHEMA}`,
    );
  }
  if (schema === undefined) {
    if (leaves.length > 0)
      addFinding(leaves[0]!, "archive leaf found, but the schema record is missing");
    return;
  }
  let from = "";
  for (const key of leaves) {
    try {
      const leaf = decodeLeaf({ key, ...image.rows.get(key)! });
      if (leaf.from !== from)
        addFinding(
          key,
          `the leaf begins after "${leaf.from}"; expected "${from}", the end of the leaf before`,
        );
      for (const [id] of leaf.entries) {
        if (headers.has(id))
          addFinding(keys.job(id), `the job has a header, but is also in archive leaf ${key}`);
      }
    } catch (error) {
      if (!(error instanceof CorruptLeaf)) throw error;
      addFinding(key, error.message);
    }
    from = lastIdOf(key) ?? from;
  }
  if (from !== END_OF_RANGES)
    addFinding(`${keys.archive}${END_OF_RANGES}`, "the last leaf of the archive is missing");
  if (!image.rows.has(keys.leader)) {
    addFinding(
      keys.leader,
      "the record that keeps programs without archive support from leading is missing",
    );
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
      addFinding(key, "the value is not a valid slice record");
      continue;
    }
    const knownSlices: [cpus: number, gpus: number][] = [];
    for (const [part, slice] of Object.entries(value)) {
      if (slice === null) addFinding(key, `the slice of part ${part} is unknown`);
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
        `the slices add up to ${cpus} CPUs and ${gpus} GPUs; the limit is ${limit.cpus} CPUs and ${limit.gpus} GPUs`,
      );
    }
  }
}

/**
 * A fencing token is the version of a claim, so the token in a part's fence record must not be newer
 * than the part's claim.
 */
function checkTokens(image: Image, sortedKeys: readonly string[], addFinding: AddFinding): void {
  for (const key of sortedKeys) {
    const fence = /^c\/(\d+)\/fence$/.exec(key);
    if (fence === null) continue;
    const { value } = image.rows.get(key)!;
    const token = Number(/^(\d+)\.\d+$/.exec(String(value))?.[1] ?? Number.NaN);
    if (Number.isNaN(token)) {
      addFinding(key, `expected "<fencing token>.<number>", got "${String(value)}"`);
      continue;
    }
    const claim = image.rows.get(keys.claim(Number(fence[1])));
    if (token > (claim?.version ?? image.revision)) {
      addFinding(key, `written under fencing token ${token}, which is newer than the part's claim`);
    }
  }
}
