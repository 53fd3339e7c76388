import { sleep } from "../clock.js";
import { NoAnswer } from "../http/client.js";
import {
  cancelPath,
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
  async status(): Promise<unknown> {
    try {
      const { status, body } = await this.caller.call("GET", statusPath, undefined, 5000);
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

  #ask(method: string, path: string, body: unknown, timeoutMs: number): Promise<JobView> {
    return this.ask({ method, path, body, timeoutMs }, parseStatus);
  }
}
