import { encode, isMap } from "./cbor.js";
import type { Parsed } from "./jobs.js";

export type TaskState = "fetching" | "running" | "saving" | "exited";

export interface ReportedTask {
  /** `job/index`, in the form of the protocol. */
  task: string;
  attempt: number;
  state: TaskState;
  /** Only for exited tasks: done, stopped, error, full, in_use, no_such or a value added later. */
  why: string;
}

export interface Report {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: ReportedTask[];
}

export type Command =
  | { verb: "start"; piece: string; try: number }
  | { verb: "stop"; piece: string; try: number; windDownS: number }
  | { verb: "clear"; piece: string; try: number };

export const startTask = (task: string, attempt: number): Command => ({
  verb: "start",
  piece: task,
  try: attempt,
});
export const stopTask = (task: string, attempt: number, graceS: number): Command => ({
  verb: "stop",
  piece: task,
  try: attempt,
  windDownS: graceS,
});
export const clearTask = (task: string, attempt: number): Command => ({
  verb: "clear",
  piece: task,
  try: attempt,
});

const STATE_BY_STATUS: Record<string, TaskState> = {
  pulling: "fetching",
  running: "running",
  waiting: "running",
  saving: "saving",
  ended: "exited",
};

const isCount = (value: unknown): value is number =>
  (typeof value === "number" && Number.isInteger(value) && value >= 0) ||
  (typeof value === "bigint" && value >= 0n && value < 2n ** 64n);
const isName = (value: unknown): value is string =>
  typeof value === "string" && value.length > 0 && value.length <= 200;

/** Parsed by hand instead of with a schema: reports are by far the most frequent request. */
export function parseReport(body: unknown): Parsed<Report> {
  const invalid = (field: string): Parsed<Report> => ({ ok: false, reason: `${field}: invalid` });
  if (!isMap(body)) return { ok: false, reason: "the body is not a map" };
  if (!isName(body.host)) return invalid("host");
  if (!isName(body.build)) return invalid("build");
  if (!isName(body.berth)) return invalid("berth");
  if (!isCount(body.shift)) return invalid("shift");
  if (!isCount(body.tally)) return invalid("tally");
  if (!isCount(body.baton)) return invalid("baton");
  const notice = body.warningS ?? null;
  if (notice !== null && typeof notice !== "number") return invalid("warningS");
  const pieces = body.pieces ?? [];
  if (!Array.isArray(pieces)) return invalid("pieces");
  const tasks: ReportedTask[] = [];
  for (const item of pieces) {
    if (!isMap(item) || !isName(item.piece) || !isCount(item.try)) return invalid("pieces");
    const state = STATE_BY_STATUS[String(item.status)];
    // A task in a state unknown to this version still uses the machine, so it counts as running.
    tasks.push({
      task: item.piece,
      attempt: Number(item.try),
      state: state ?? "running",
      why: typeof item.cause === "string" ? item.cause : "",
    });
  }
  return {
    ok: true,
    value: {
      machine: body.host,
      address: typeof body.address === "string" ? body.address : "",
      type: body.build,
      zone: body.berth,
      spot: body.borrowed === true,
      session: Number(body.shift),
      seq: Number(body.tally),
      token: Number(body.baton),
      noticeS: notice,
      tasks,
    },
  };
}

export const reportAnswer = (token: number, commands: Command[]): object => ({
  baton: token,
  orders: commands,
});
/** Most answers carry no commands and are identical, so this one is encoded once. */
export const emptyAnswer = (token: number): Buffer => encode(reportAnswer(token, []));
/** Path of requests to a worker. Only stop commands are sent there: harmless if they arrive late. */
export const ordersPath = "/orders";
export const ordersBody = (token: number, session: number, commands: Command[]): object => ({
  baton: token,
  shift: session,
  orders: commands,
});
export const redirectAnswer = (node: string | null): object =>
  node === null ? {} : { answerTo: node };
