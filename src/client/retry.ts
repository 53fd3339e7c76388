import { type Clock, sleep, systemClock } from "../clock.js";
import { type Answer, type Caller, HttpClient, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";

/** The answer is final, and it is no. */
export class RequestRefused extends Error {}
/** Nobody answered, or nobody could, in the time that PROTOCOL gives a request. */
export class Unanswered extends Error {}

const PATIENCE_MS = 60_000;
const MOST_RETRY_S = 30;
/** By PROTOCOL any other status is tried again. */
const FINAL: ReadonlySet<number> = new Set([400, 404, 405, 413, 422]);
/** What packages answer besides: that something else stands under that name. */
const CONFLICT = 409;

export interface Asking {
  method: string;
  path: string;
  body?: unknown;
  timeoutMs?: number;
  /** An optional package's path: a controller that does not know it may have a neighbour that does. */
  optional?: string;
}

/** One controller, or a front of several, that is asked with the retries of PROTOCOL. */
export class RequestClient {
  protected readonly caller: Caller;

  constructor(
    address: string,
    readonly clock: Clock = systemClock,
    caller?: Caller,
    readonly patienceMs = PATIENCE_MS,
  ) {
    this.caller = caller ?? new HttpClient(address, 1, clock);
  }

  close(): void {
    if (this.caller instanceof HttpClient) this.caller.close();
  }

  /** `read` returns null for an answer that makes no sense. @throws RequestRefused, Unanswered */
  protected ask<T>(asking: Asking, read: (body: unknown) => T | null): Promise<T> {
    return askUntilFinal(this.caller, this.clock, this.patienceMs, asking, read);
  }
}

/** Asks until there is a final answer, after a second or as `Retry-After` says: all may be repeated. */
async function askUntilFinal<T>(
  caller: Caller,
  clock: Clock,
  patienceMs: number,
  { method, path, body, timeoutMs = 5000, optional }: Asking,
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
    if (answer !== null && !unknown) {
      const { status } = answer;
      const final = FINAL.has(status) || (optional !== undefined && status === CONFLICT);
      if (final) throw new RequestRefused(why);
    }
    const pause = Math.max(1, Math.min(MOST_RETRY_S, answer?.retryAfterS ?? 0)) * 1000;
    if (clock.now() + pause > until) throw new Unanswered(why);
    await sleep(clock, pause);
  }
}
