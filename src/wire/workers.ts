import { encode, isMap } from "./cbor.js";
import type { Parsed } from "./jobs.js";

export type TaskState = "fetching" | "running" | "saving" | "exited";

export interface ReportedTask {
  /** `job/index`, as on the wire. */
  task: string;
  attempt: number;
  state: TaskState;
  /** Only for exited tasks: done, stopped, error, full, in_use, no_such or something newer. */
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
export const forgetTask = (task: string, attempt: number): Command => ({
  verb: "clear",
  piece: task,
  try: attempt,
});

const STATES: Record<string, TaskState> = {
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

/** Written by hand rather than with a schema: reports are by far the most frequent request. */
export function parseReport(body: unknown): Parsed<Report> {
  const bad = (field: string): Parsed<Report> => ({ ok: false, reason: `${field}: invalid` });
  if (!isMap(body)) return { ok: false, reason: "the body is not a map" };
  if (!isName(body.host)) return bad("host");
  if (!isName(body.build)) return bad("build");
  if (!isName(body.berth)) return bad("berth");
  if (!isCount(body.shift)) return bad("shift");
  if (!isCount(body.tally)) return bad("tally");
  if (!isCount(body.baton)) return bad("baton");
  const notice = body.warningS ?? null;
  if (notice !== null && typeof notice !== "number") return bad("warningS");
  const listed = body.pieces ?? [];
  if (!Array.isArray(listed)) return bad("pieces");
  const tasks: ReportedTask[] = [];
  for (const item of listed) {
    if (!isMap(item) || !isName(item.piece) || !isCount(item.try)) return bad("pieces");
    const state = STATES[String(item.status)];
    // A state this version does not know still occupies the machine.
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
/** Most answers carry no commands: all of these are the same. */
export const emptyAnswer = (token: number): Buffer => encode(reportAnswer(token, []));
/** Straight to a worker: only ever stops, which do no harm when they arrive late. */
export const ordersPath = "/orders";
export const ordersBody = (token: number, session: number, commands: Command[]): object => ({
  baton: token,
  shift: session,
  orders: commands,
});
export const redirectAnswer = (node: string | null): object =>
  node === null ? {} : { answerTo: node };
