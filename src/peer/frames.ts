import type { CapacityRequest, Summary } from "../part/summary.js";

/**
 * Frames between controllers, in this binary layout:
 *
 *   u32 length of what follows | u8 kind | payload
 *
 * Numbers are big-endian; a text is a u16 length and UTF-8; a list is a u32 count and its items.
 */
export const MAX_FRAME = 1024 * 1024;
export const VERSION = 2;
/** Tells the sender's protocol version; a different one ends the connection. */
const KIND_HELLO = 1;
const KIND_SUMMARY = 2;
/** A summary with free resources by machine. A version that does not know it reads the store's summary. */
const KIND_FREE_SUMMARY = 3;
/** A summary with capacity requests and progress of jobs with expressions, and free resources if given. */
const KIND_JOBS_SUMMARY = 4;
/** Failure detection (`src/suspicion`); a version that does not know these kinds ignores them. */
const KIND_BEAT = 5;
const KIND_ASK = 6;
const KIND_SAY = 7;
/** A job is cancelled. A version that does not know it learns of the cancellation by the watch. */
const KIND_CANCELLED = 8;

export type Frame =
  | { kind: "hello"; version: number; node: string }
  /** Heartbeat: the sender is running. */
  | { kind: "beat" }
  /** Asks what the receiver has observed of another controller. */
  | { kind: "ask"; about: string }
  /** Answer: ms since its last frame, connection closed, its machines seen here, sender healthy. */
  | {
      kind: "say";
      about: string;
      silentMs: number;
      closed: boolean;
      strays: number;
      fit: boolean;
    }
  /** A user has cancelled a job: it is cancelled from this version of its header on. */
  | { kind: "cancelled"; job: string; version: number }
  | { kind: "summary"; part: number; summary: Summary };

export class FrameError extends Error {}

class Writer {
  #buffer = Buffer.allocUnsafe(1024);
  #offset = 4;

  #reserve(n: number): number {
    const at = this.#offset;
    if (at + n > this.#buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(at + n, this.#buffer.length * 2));
      this.#buffer.copy(larger, 0, 0, at);
      this.#buffer = larger;
    }
    this.#offset = at + n;
    return at;
  }

  u8(value: number): void {
    const at = this.#reserve(1);
    this.#buffer.writeUInt8(value, at);
  }

  u32(value: number): void {
    const at = this.#reserve(4);
    this.#buffer.writeUInt32BE(value, at);
  }

  f64(value: number): void {
    const at = this.#reserve(8);
    this.#buffer.writeDoubleBE(value, at);
  }

  text(value: string): void {
    const size = Buffer.byteLength(value);
    if (size > 0xffff) throw new FrameError("text longer than 65535 bytes");
    const at = this.#reserve(2 + size);
    this.#buffer.writeUInt16BE(size, at);
    this.#buffer.write(value, at + 2);
  }

  list<T>(items: readonly T[], write: (item: T) => void): void {
    this.u32(items.length);
    for (const item of items) write(item);
  }

  finish(): Buffer {
    this.#buffer.writeUInt32BE(this.#offset - 4, 0);
    return this.#buffer.subarray(0, this.#offset);
  }
}

class Reader {
  #offset = 0;

  constructor(readonly buffer: Buffer) {}

  #advance(n: number): number {
    const at = this.#offset;
    if (at + n > this.buffer.length) throw new FrameError("frame ends within a field");
    this.#offset = at + n;
    return at;
  }

  u8(): number {
    return this.buffer.readUInt8(this.#advance(1));
  }

  u32(): number {
    return this.buffer.readUInt32BE(this.#advance(4));
  }

  f64(): number {
    const value = this.buffer.readDoubleBE(this.#advance(8));
    if (!Number.isFinite(value)) throw new FrameError("number is not finite");
    return value;
  }

  text(): string {
    const size = this.buffer.readUInt16BE(this.#advance(2));
    const at = this.#advance(size);
    return this.buffer.toString("utf8", at, at + size);
  }

  list<T>(read: () => T): T[] {
    const count = this.u32();
    // An item takes at least one byte, so a forged count cannot cause a large allocation.
    if (count > this.buffer.length) throw new FrameError("list count exceeds frame length");
    const items: T[] = [];
    for (let i = 0; i < count; i++) items.push(read());
    return items;
  }

  end(): void {
    if (this.#offset !== this.buffer.length)
      throw new FrameError("bytes left after the last field");
  }
}

const FLAG_CLOSED = 1;
const FLAG_FIT = 2;

const FLAG_SPOT = 1;
const FLAG_HAS_TYPES = 2;
const FLAG_HAS_ZONE = 4;
const FLAG_HAS_JOB = 8;
/** A version that does not know this flag treats the capacity request as any other. */
const FLAG_LENT = 16;

function writeRequest(out: Writer, need: CapacityRequest): void {
  out.f64(need.cpus);
  out.f64(need.gpus);
  out.f64(need.memGb);
  out.u8(
    (need.spot ? FLAG_SPOT : 0) |
      (need.types === null ? 0 : FLAG_HAS_TYPES) |
      (need.zone === null ? 0 : FLAG_HAS_ZONE) |
      (need.job === undefined ? 0 : FLAG_HAS_JOB) |
      (need.lent === true ? FLAG_LENT : 0),
  );
  if (need.types !== null) out.list(need.types, (type) => out.text(type));
  if (need.zone !== null) out.text(need.zone);
  if (need.job !== undefined) out.text(need.job);
  out.u32(need.count);
}

function readRequest(from: Reader): CapacityRequest {
  const cpus = from.f64();
  const gpus = from.f64();
  const memGb = from.f64();
  const flags = from.u8();
  const types = (flags & FLAG_HAS_TYPES) === 0 ? null : from.list(() => from.text());
  const zone = (flags & FLAG_HAS_ZONE) === 0 ? null : from.text();
  const job = (flags & FLAG_HAS_JOB) === 0 ? {} : { job: from.text() };
  const lent = (flags & FLAG_LENT) === 0 ? {} : { lent: true };
  const spot = (flags & FLAG_SPOT) !== 0;
  return { cpus, gpus, memGb, spot, types, zone, ...job, ...lent, count: from.u32() };
}

const writeAmountsByTeam = (out: Writer, pairs: Record<string, [number, number]>): void =>
  out.list(Object.entries(pairs), ([name, [cpus, gpus]]) => {
    out.text(name);
    out.f64(cpus);
    out.f64(gpus);
  });

function readAmountsByTeam(from: Reader): Record<string, [number, number]> {
  const read = (): [string, [number, number]] => [from.text(), [from.f64(), from.f64()]];
  return Object.fromEntries(from.list(read));
}

export function encodeFrame(frame: Frame): Buffer {
  const out = new Writer();
  if (frame.kind === "hello") {
    out.u8(KIND_HELLO);
    out.u32(frame.version);
    out.text(frame.node);
    return out.finish();
  }
  if (frame.kind === "beat") {
    out.u8(KIND_BEAT);
    return out.finish();
  }
  if (frame.kind === "ask") {
    out.u8(KIND_ASK);
    out.text(frame.about);
    return out.finish();
  }
  if (frame.kind === "say") {
    out.u8(KIND_SAY);
    out.text(frame.about);
    out.f64(frame.silentMs);
    out.u32(frame.strays);
    out.u8((frame.closed ? FLAG_CLOSED : 0) | (frame.fit ? FLAG_FIT : 0));
    return out.finish();
  }
  if (frame.kind === "cancelled") {
    out.u8(KIND_CANCELLED);
    out.text(frame.job);
    out.f64(frame.version);
    return out.finish();
  }
  const { part, summary } = frame;
  // An older version ignores a kind that it does not know and reads the store's summary instead.
  const hasJobs =
    summary.progress !== undefined || summary.need.some(({ job }) => job !== undefined);
  out.u8(
    hasJobs ? KIND_JOBS_SUMMARY : summary.rooms === undefined ? KIND_SUMMARY : KIND_FREE_SUMMARY,
  );
  out.u32(part);
  out.f64(summary.token);
  out.f64(summary.seq);
  out.f64(summary.waiting);
  out.f64(summary.workS);
  out.list(summary.kinds, (kind) => {
    out.text(kind.type);
    out.text(kind.zone);
    out.u8(kind.spot ? FLAG_SPOT : 0);
    out.f64(kind.capacity);
    out.f64(kind.free);
    out.f64(kind.most);
  });
  writeAmountsByTeam(out, summary.use);
  out.list(summary.demand, ({ team, rank, cpus, gpus }) => {
    out.text(team);
    out.u8(rank);
    out.f64(cpus);
    out.f64(gpus);
  });
  writeAmountsByTeam(out, summary.short);
  out.list(summary.need, (need) => writeRequest(out, need));
  out.list(summary.machines, (id) => out.text(id));
  out.list(summary.retired, (id) => out.text(id));
  out.list(Object.entries(summary.idle), ([id, seconds]) => {
    out.text(id);
    out.f64(seconds);
  });
  if (hasJobs) {
    out.u8(summary.rooms === undefined ? 0 : 1);
    out.list(summary.progress ?? [], ([job, placed, done]) => {
      out.text(job);
      out.u32(placed);
      out.u32(done);
    });
  }
  if (summary.rooms !== undefined) {
    out.f64(summary.starved ?? 0);
    out.list(summary.rooms, ({ zone, cpus, gpus, memGb, count }) => {
      out.text(zone);
      out.f64(cpus);
      out.f64(gpus);
      out.f64(memGb);
      out.u32(count);
    });
  }
  return out.finish();
}

/**
 * Decodes one frame, without its length; null for a kind that only a newer version knows. Throws
 * FrameError on anything else that is unexpected.
 */
export function decodeFrame(payload: Buffer): Frame | null {
  const from = new Reader(payload);
  const kind = from.u8();
  if (kind === KIND_HELLO) {
    const frame: Frame = { kind: "hello", version: from.u32(), node: from.text() };
    from.end();
    return frame;
  }
  if (kind === KIND_BEAT) {
    from.end();
    return { kind: "beat" };
  }
  if (kind === KIND_ASK) {
    const frame: Frame = { kind: "ask", about: from.text() };
    from.end();
    return frame;
  }
  if (kind === KIND_SAY) {
    const [about, silentMs, strays, flags] = [from.text(), from.f64(), from.u32(), from.u8()];
    from.end();
    const [closed, fit] = [(flags & FLAG_CLOSED) !== 0, (flags & FLAG_FIT) !== 0];
    return { kind: "say", about, silentMs, strays, closed, fit };
  }
  if (kind === KIND_CANCELLED) {
    const cancelled = { kind: "cancelled", job: from.text(), version: from.f64() } as const;
    from.end();
    return cancelled;
  }
  if (kind !== KIND_SUMMARY && kind !== KIND_FREE_SUMMARY && kind !== KIND_JOBS_SUMMARY)
    return null;
  const part = from.u32();
  const token = from.f64();
  const seq = from.f64();
  const waiting = from.f64();
  const workS = from.f64();
  const kinds = from.list(() => ({
    type: from.text(),
    zone: from.text(),
    spot: (from.u8() & FLAG_SPOT) !== 0,
    capacity: from.f64(),
    free: from.f64(),
    most: from.f64(),
  }));
  const use = readAmountsByTeam(from);
  const demand = from.list(() => ({
    team: from.text(),
    rank: from.u8(),
    cpus: from.f64(),
    gpus: from.f64(),
  }));
  const short = readAmountsByTeam(from);
  const need = from.list(() => readRequest(from));
  const machines = from.list(() => from.text());
  const retired = from.list(() => from.text());
  const idle = Object.fromEntries(from.list((): [string, number] => [from.text(), from.f64()]));
  const hasFreeResources =
    kind === KIND_JOBS_SUMMARY ? from.u8() === 1 : kind === KIND_FREE_SUMMARY;
  const progress =
    kind === KIND_JOBS_SUMMARY
      ? from.list((): [string, number, number] => [from.text(), from.u32(), from.u32()])
      : [];
  const freeResources = !hasFreeResources
    ? {}
    : {
        starved: from.f64(),
        rooms: from.list(() => ({
          zone: from.text(),
          cpus: from.f64(),
          gpus: from.f64(),
          memGb: from.f64(),
          count: from.u32(),
        })),
      };
  from.end();
  return {
    kind: "summary",
    part,
    summary: {
      ...freeResources,
      ...(progress.length === 0 ? {} : { progress }),
      token,
      seq,
      kinds,
      waiting,
      workS,
      use,
      demand,
      short,
      need,
      machines,
      retired,
      idle,
    },
  };
}

/** Splits a stream of bytes into frames, without their lengths. */
export class FrameSplitter {
  #buffered: Buffer = Buffer.alloc(0);

  push(bytes: Buffer): Buffer[] {
    this.#buffered = this.#buffered.length === 0 ? bytes : Buffer.concat([this.#buffered, bytes]);
    const frames: Buffer[] = [];
    while (this.#buffered.length >= 4) {
      const size = this.#buffered.readUInt32BE(0);
      if (size === 0 || size > MAX_FRAME)
        throw new FrameError(`frame of ${size} bytes: expected 1 byte to 1 MiB`);
      if (this.#buffered.length < 4 + size) break;
      frames.push(this.#buffered.subarray(4, 4 + size));
      this.#buffered = this.#buffered.subarray(4 + size);
    }
    return frames;
  }
}
