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
  /** Jobs that it waits for; only some of them if there are many. */
  awaits?: string[];
}

/** Submits, shows, watches and withdraws jobs, with the retries of PROTOCOL. */
export class JobClient extends RequestClient {
  submit(body: unknown): Promise<JobView> {
    return this.#requestJob("POST", jobsPath, body, 5000);
  }

  show(id: string): Promise<JobView> {
    return this.#requestJob("GET", jobPath(id), undefined, 2000);
  }

  withdraw(id: string): Promise<JobView> {
    return this.#requestJob("POST", cancelPath(id), undefined, 5000);
  }

  /** The cluster's status as that controller sees it. */
  status(): Promise<unknown> {
    return this.#requestAbout("GET", statusPath, undefined);
  }

  /** Makes that controller hand over all it owns to the others, or take parts again. */
  async drain(on: boolean): Promise<{ node: string }> {
    return (await this.#requestAbout("POST", drainPath, { on })) as { node: string };
  }

  async #requestAbout(method: string, path: string, body: unknown): Promise<unknown> {
    try {
      const answer = await this.caller.call(method, path, body, 5000);
      if (answer.status === 200) return answer.body;
      throw new RequestRefused(`unexpected status ${answer.status}`);
    } catch (error) {
      if (error instanceof NoAnswer) throw new Unanswered(error.message);
      throw error;
    }
  }

  /** Calls `onChange` for every change until the job is finished. */
  async watch(id: string, onChange: (view: JobView) => void, everyMs = 5000): Promise<JobView> {
    let lastText = "";
    for (;;) {
      const view = await this.show(id);
      const text = JSON.stringify(view);
      if (text !== lastText) onChange(view);
      lastText = text;
      if (view.status === "done" || view.status === "cancelled") return view;
      await sleep(this.clock, everyMs);
    }
  }

  #requestJob(method: string, path: string, body: unknown, timeoutMs: number): Promise<JobView> {
    return this.ask({ method, path, body, timeoutMs }, parseStatus);
  }
}
