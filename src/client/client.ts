import { sleep } from "../clock.js";
import { NoAnswer } from "../http/client.js";
import {
  cancelPath,
  drainPath,
  type JobStatus,
  jobPath,
  jobsPath,
  parseStatus,
  statusPath,
} from "../wire/jobs.js";
import { RequestClient, RequestRefused, Unanswered } from "./retry.js";

export { RequestRefused, Unanswered } from "./retry.js";

export interface JobView {
  id: string;
  status: JobStatus;
  done?: number;
  running?: number;
  /** Jobs that it waits for, some of them if they are many. */
  awaits?: string[];
}

/** What a user does: submit, show, watch and withdraw jobs, with the retries of PROTOCOL. */
export class JobClient extends RequestClient {
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
  status(): Promise<unknown> {
    return this.#about("GET", statusPath, undefined);
  }

  /** Tells that controller to give all it owns to the others, or to take parts again. */
  async drain(on: boolean): Promise<{ node: string }> {
    return (await this.#about("POST", drainPath, { on })) as { node: string };
  }

  async #about(method: string, path: string, body: unknown): Promise<unknown> {
    try {
      const answer = await this.caller.call(method, path, body, 5000);
      if (answer.status === 200) return answer.body;
      throw new RequestRefused(`status ${answer.status}`);
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

  #ask(method: string, path: string, body: unknown, timeoutMs: number): Promise<JobView> {
    return this.ask({ method, path, body, timeoutMs }, parseStatus);
  }
}
