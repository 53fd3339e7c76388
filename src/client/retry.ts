import { type Clock, sleep, systemClock } from "../clock.js";
import { type Answer, type Caller, HttpClient, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";

/** The request was refused with a status that is not retried. */
export class RequestRefused extends Error {}
/** No final answer within the time that PROTOCOL gives a request. */
export class Unanswered extends Error {}

const GIVE_UP_AFTER_MS = 60_000;
const MAX_RETRY_DELAY_S = 30;
/** Statuses that are final; by PROTOCOL any other one is retried. */
const FINAL_STATUSES: ReadonlySet<number> = new Set([400, 404, 405, 413, 422]);
/**
 * Also final for the path of an optional package (such as the market): the name in the request is
 * already used for something else.
 */
const CONFLICT_STATUS = 409;

export interface RetriedRequest {
  method: string;
  path: string;
  body?: unknown;
  timeoutMs?: number;
  /** Name of the optional package that serves the path: another controller may have it enabled. */
  optional?: string;
}

/** Sends requests to one controller, or to a proxy of several, with the retries of PROTOCOL. */
export class RequestClient {
  protected readonly caller: Caller;

  constructor(
    address: string,
    readonly clock: Clock = systemClock,
    caller?: Caller,
    readonly giveUpAfterMs = GIVE_UP_AFTER_MS,
  ) {
    this.caller = caller ?? new HttpClient(address, 1, clock);
  }

  close(): void {
    if (this.caller instanceof HttpClient) this.caller.close();
  }

  /** `parse` returns null for an invalid answer. @throws RequestRefused, Unanswered */
  protected ask<T>(request: RetriedRequest, parse: (body: unknown) => T | null): Promise<T> {
    return requestUntilFinal(this.caller, this.clock, this.giveUpAfterMs, request, parse);
  }
}

/** Retries until a final answer, after 1 s or the `Retry-After` time: all requests may be repeated. */
async function requestUntilFinal<T>(
  caller: Caller,
  clock: Clock,
  patienceMs: number,
  { method, path, body, timeoutMs = 5000, optional }: RetriedRequest,
  parse: (body: unknown) => T | null,
): Promise<T> {
  const giveUpAt = clock.now() + patienceMs;
  for (;;) {
    let answer: Answer | null = null;
    let reason = "";
    let pathUnknown = false;
    try {
      answer = await caller.call(method, path, body, timeoutMs);
      const errorText = isMap(answer.body) ? String(answer.body.error ?? "") : "";
      pathUnknown = optional !== undefined && answer.status === 404 && errorText === "";
      if (pathUnknown) reason = `${optional} are not enabled on this controller (status 404)`;
      else
        reason =
          errorText === "" ? `status ${answer.status}` : `${errorText} (status ${answer.status})`;
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      reason = error.message;
    }
    const value = answer === null || answer.status >= 300 ? null : parse(answer.body);
    if (value !== null) return value;
    if (answer !== null && !pathUnknown) {
      const { status } = answer;
      const isFinal =
        FINAL_STATUSES.has(status) || (optional !== undefined && status === CONFLICT_STATUS);
      if (isFinal) throw new RequestRefused(reason);
    }
    const delayMs = Math.max(1, Math.min(MAX_RETRY_DELAY_S, answer?.retryAfterS ?? 0)) * 1000;
    if (clock.now() + delayMs > giveUpAt) throw new Unanswered(reason);
    await sleep(clock, delayMs);
  }
}
