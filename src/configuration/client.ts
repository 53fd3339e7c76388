/** Asks a controller about the configuration, and tells it changes. */
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

const TIMEOUT_MS = 5000;
const RETRY_MS = 1000;
const PATIENCE_MS = 30_000;
const POLL_MS = 250;

/** A change was overtaken by another author's. */
export class Overtaken extends Error {
  constructor(
    readonly revision: number,
    readonly by: string,
    readonly at: number,
  ) {
    super(`overtaken by revision ${revision} of ${by}, ${new Date(at).toISOString()}`);
  }
}

/** A change that the controller finds something wrong with. */
export class ChangeRefused extends Error {
  constructor(
    /** The team or group that it is about. */
    readonly about: string,
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

/** Those that hold a part and do not decide by a revision yet. */
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
      answer = await this.#caller.call("GET", path, undefined, TIMEOUT_MS);
    } catch (error) {
      if (error instanceof NoAnswer) throw new Unanswered(error.message);
      throw error;
    }
    if (answer.status === 200) return answer.body;
    throw new RequestRefused(`status ${answer.status}`);
  }

  /**
   * Asked again with the same id until there is a final answer, so it is made once at the most.
   * @throws Overtaken, ChangeRefused, Unanswered
   */
  async apply(request: ChangeRequest): Promise<ChangeAnswer> {
    const until = this.clock.now() + PATIENCE_MS;
    for (;;) {
      const { status, body } = await this.#caller
        .call("POST", configurationPath, request, TIMEOUT_MS)
        .catch((error: unknown): Answer => {
          if (!(error instanceof NoAnswer)) throw error;
          return { status: 0, body: { error: error.message } };
        });
      const said = isMap(body) ? body : {};
      if (status === 200) return said as unknown as ChangeAnswer;
      if (status === 409)
        throw new Overtaken(Number(said.revision), String(said.by), Number(said.at));
      if (status === 422) throw new ChangeRefused(String(said.name), String(said.error));
      const why = String(said.error ?? `status ${status}`);
      if (status === 400 || status === 404) throw new ChangeRefused("", why);
      if (this.clock.now() + RETRY_MS > until) throw new Unanswered(why);
      await sleep(this.clock, RETRY_MS);
    }
  }

  /** Resolves with nobody once all that hold parts decide by a revision, else after a time with who does not. */
  async inForce(revision: number, withinMs: number): Promise<ControllerRevision[]> {
    const until = this.clock.now() + withinMs;
    for (;;) {
      const view = await this.view();
      const late = lagging(view, revision);
      if (late.length === 0 || this.clock.now() >= until) return late;
      await sleep(this.clock, POLL_MS);
    }
  }
}
