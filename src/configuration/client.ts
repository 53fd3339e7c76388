/** Client of the configuration's HTTP interface. */
import { RequestRefused, Unanswered } from "../client/retry.js";
import { type Clock, sleep, systemClock } from "../clock.js";
import { type Answer, type Caller, HttpClient, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import {
  type ConfigurationView,
  type ControllerRevision,
  configurationPath,
  historyPath,
} from "./api.js";
import type { ChangeRequest } from "./author.js";
import type { HistoryEntry } from "./records.js";

const REQUEST_TIMEOUT_MS = 5000;
const RETRY_INTERVAL_MS = 1000;
const RETRY_PERIOD_MS = 30_000;
const POLL_INTERVAL_MS = 250;

/** The change is based on an old revision: another author made a newer one. */
export class RevisionConflict extends Error {
  constructor(
    readonly revision: number,
    readonly by: string,
    readonly at: number,
  ) {
    super(`overtaken by revision ${revision} of ${by}, ${new Date(at).toISOString()}`);
  }
}

/** The controller rejected the change as invalid. */
export class ChangeRefused extends Error {
  constructor(
    /** The team or group with the error; empty if it concerns neither. */
    readonly subject: string,
    reason: string,
  ) {
    super(reason);
  }
}

export interface ChangeAnswer {
  kind: "applied" | "planned";
  revision: number;
  changes: string[];
  warnings: string[];
}

/** Controllers that own parts and use a revision older than the given one. */
export const lagging = (view: ConfigurationView, revision: number): ControllerRevision[] =>
  view.controllers.filter(({ parts, revision: by }) => parts > 0 && (by ?? 0) < revision);

export class ConfigurationClient {
  readonly #caller: Caller;

  constructor(
    address: string,
    readonly clock: Clock = systemClock,
    caller?: Caller,
  ) {
    this.#caller = caller ?? new HttpClient(address, 1, clock);
  }

  close(): void {
    if (this.#caller instanceof HttpClient) this.#caller.close();
  }

  /** @throws RequestRefused, Unanswered */
  async view(): Promise<ConfigurationView> {
    return (await this.#get(configurationPath)) as ConfigurationView;
  }

  /** @throws RequestRefused, Unanswered */
  async history(): Promise<HistoryEntry[]> {
    return ((await this.#get(historyPath)) as { history: HistoryEntry[] }).history;
  }

  async #get(path: string): Promise<unknown> {
    let answer: Answer;
    try {
      answer = await this.#caller.call("GET", path, undefined, REQUEST_TIMEOUT_MS);
    } catch (error) {
      if (error instanceof NoAnswer) throw new Unanswered(error.message);
      throw error;
    }
    if (answer.status === 200) return answer.body;
    throw new RequestRefused(`status ${answer.status}`);
  }

  /**
   * Applies a change; retries with the same id until there is a final answer, so that the change is
   * made at most once.
   * @throws Overtaken, ChangeRefused, Unanswered
   */
  async apply(request: ChangeRequest): Promise<ChangeAnswer> {
    const deadline = this.clock.now() + RETRY_PERIOD_MS;
    for (;;) {
      const { status, body } = await this.#caller
        .call("POST", configurationPath, request, REQUEST_TIMEOUT_MS)
        .catch((error: unknown): Answer => {
          if (!(error instanceof NoAnswer)) throw error;
          return { status: 0, body: { error: error.message } };
        });
      const fields = isMap(body) ? body : {};
      if (status === 200) return fields as unknown as ChangeAnswer;
      if (status === 409)
        throw new RevisionConflict(Number(fields.revision), String(fields.by), Number(fields.at));
      if (status === 422) throw new ChangeRefused(String(fields.name), String(fields.error));
      const why = String(fields.error ?? `status ${status}`);
      if (status === 400 || status === 404) throw new ChangeRefused("", why);
      if (this.clock.now() + RETRY_INTERVAL_MS > deadline) throw new Unanswered(why);
      await sleep(this.clock, RETRY_INTERVAL_MS);
    }
  }

  /**
   * Waits until all controllers that own parts use a revision; resolves with an empty list then, or
   * with those that do not after `withinMs`.
   */
  async waitUntilInForce(revision: number, withinMs: number): Promise<ControllerRevision[]> {
    const deadline = this.clock.now() + withinMs;
    for (;;) {
      const view = await this.view();
      const behind = lagging(view, revision);
      if (behind.length === 0 || this.clock.now() >= deadline) return behind;
      await sleep(this.clock, POLL_INTERVAL_MS);
    }
  }
}
