import { type Clock, sleep } from "../clock.js";
import { type Answer, type Caller, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";

/** The answer is final, and it is no. */
export class RequestRefused extends Error {
  constructor(
    message: string,
    readonly status = 0,
  ) {
    super(message);
  }
}
/** Nobody answered, or nobody could, in the time that PROTOCOL gives a request. */
export class Unanswered extends Error {}

export const PATIENCE_MS = 60_000;
const MOST_RETRY_S = 30;

export interface Asking {
  method: string;
  path: string;
  body?: unknown;
  timeoutMs?: number;
  patienceMs?: number;
  /** An optional package's path: a controller that does not know it may have a neighbour that does. */
  optional?: string;
}

/** Whether a status will not change by asking again. */
const isFinal = (status: number): boolean => status >= 400 && status < 500 && status !== 429;

/**
 * Asks until there is a final answer, after a second or as `Retry-After` says: every request may be
 * repeated. `read` returns null for an answer that makes no sense.
 * @throws RequestRefused, Unanswered
 */
export async function askUntilFinal<T>(
  caller: Caller,
  clock: Clock,
  { method, path, body, timeoutMs = 5000, patienceMs = PATIENCE_MS, optional }: Asking,
  read: (body: unknown) => T | null,
): Promise<T> {
  const until = clock.now() + patienceMs;
  for (;;) {
    let answer: Answer | null = null;
    let why = "";
    let unknown = false;
    try {
      answer = await caller.call(method, path, body, timeoutMs);
      const said = isMap(answer.body) ? String(answer.body.error ?? "") : "";
      unknown = optional !== undefined && answer.status === 404 && said === "";
      if (unknown) why = `${optional} are not switched on there (status 404)`;
      else why = said === "" ? `status ${answer.status}` : `${said} (status ${answer.status})`;
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      why = error.message;
    }
    const value = answer === null || answer.status >= 300 ? null : read(answer.body);
    if (value !== null) return value;
    if (answer !== null && !unknown && isFinal(answer.status))
      throw new RequestRefused(why, answer.status);
    const pause = Math.max(1, Math.min(MOST_RETRY_S, answer?.retryAfterS ?? 0)) * 1000;
    if (clock.now() + pause > until) throw new Unanswered(why);
    await sleep(clock, pause);
  }
}
