import { type Clock, sleep, systemClock } from "../clock.js";
import { type Answer, type Caller, HttpClient, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import {
  cancelPath,
  type JobStatus,
  jobPath,
  jobsPath,
  parseStatus,
  statusPath,
} from "../wire/jobs.js";

export interface JobView {
  id: string;
  status: JobStatus;
  done?: number;
  running?: number;
}

/** The answer is final, and it is no. */
export class RequestRefused extends Error {}
/** Nobody answered, or nobody could, in the time that PROTOCOL gives a request. */
export class Unanswered extends Error {}

const PATIENCE_MS = 60_000;
const MOST_RETRY_S = 30;
const FINAL = new Set([400, 404, 405, 413, 422]);

/** What a user does: submit, show, watch and withdraw jobs, with the retries of PROTOCOL. */
export class JobClient {
  readonly #caller: Caller;

  constructor(
    address: string,
    readonly clock: Clock = systemClock,
    caller?: Caller,
    readonly patienceMs = PATIENCE_MS,
  ) {
    this.#caller = caller ?? new HttpClient(address, 1, clock);
  }

  submit(body: unknown): Promise<JobView> {
    return this.#ask("POST", jobsPath, body, 5000);
  }

  show(id: string): Promise<JobView> {
    return this.#ask("GET", jobPath(id), undefined, 2000);
  }

  withdraw(id: string): Promise<JobView> {
    return this.#ask("POST", cancelPath(id), undefined, 5000);
  }

  /** How the cluster stands, as that controller sees it. */
  async status(): Promise<unknown> {
    try {
      const { status, body } = await this.#caller.call("GET", statusPath, undefined, 5000);
      if (status === 200) return body;
      throw new RequestRefused(`status ${status}`);
    } catch (error) {
      if (error instanceof NoAnswer) throw new Unanswered(error.message);
      throw error;
    }
  }

  /** Tells every change until the job is over. */
  async watch(id: string, seen: (view: JobView) => void, everyMs = 5000): Promise<JobView> {
    let last = "";
    for (;;) {
      const view = await this.show(id);
      const text = JSON.stringify(view);
      if (text !== last) seen(view);
      last = text;
      if (view.status === "done" || view.status === "cancelled") return view;
      await sleep(this.clock, everyMs);
    }
  }

  close(): void {
    if (this.#caller instanceof HttpClient) this.#caller.close();
  }

  async #ask(method: string, path: string, body: unknown, timeoutMs: number): Promise<JobView> {
    const until = this.clock.now() + this.patienceMs;
    for (;;) {
      let answer: Answer | null = null;
      let why = "";
      try {
        answer = await this.#caller.call(method, path, body, timeoutMs);
        why = `status ${answer.status}`;
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
        why = error.message;
      }
      const view = answer === null || answer.status >= 300 ? null : parseStatus(answer.body);
      if (view !== null) return view;
      const reason = isMap(answer?.body) ? String(answer.body.error ?? "") : "";
      if (answer !== null && FINAL.has(answer.status)) {
        throw new RequestRefused(reason === "" ? why : `${reason} (${why})`);
      }
      const pause = Math.max(1, Math.min(MOST_RETRY_S, answer?.retryAfterS ?? 0)) * 1000;
      if (this.clock.now() + pause > until) {
        throw new Unanswered(reason === "" ? why : `${reason} (${why})`);
      }
      await sleep(this.clock, pause);
    }
  }
}
