import { sleep } from "../clock.js";
import type { Core } from "../extension/index.js";
import { type Reply, retryLater } from "../http/server.js";
import type { Membership } from "../membership/membership.js";
import { Part, type PartContext } from "../part/part.js";
import { keys } from "../state/keys.js";
import { parseReport, type Report, redirectAnswer } from "../wire/workers.js";
import { REPORT_TIMEOUT_MS, type ReportPosition } from "../workers/report-classification.js";

/** The owner of the parts that are claimed by this controller: loads them and gives them up. */
export class OwnedParts {
  readonly parts = new Map<number, Part>();
  /** Parts that are claimed and being read, with who waits for that. */
  readonly #loading = new Map<number, (() => void)[]>();

  constructor(
    readonly core: Core,
    readonly membership: () => Membership,
    /** What a part's owner works with. */
    readonly context: (index: number, token: number, lost: (why: string) => void) => PartContext,
    /** A machine of another's part came here, under the highest token that it has seen. */
    readonly strayed: (
      part: number,
      machine: string,
      token: number,
      mark: ReportPosition,
    ) => void = () => undefined,
    /** A report was none by PROTOCOL. */
    readonly malformed: () => void = () => undefined,
    /** Whether there are doubts that a controller serves. */
    readonly doubted: (name: string) => boolean = () => false,
  ) {}

  /** What proves that this controller serves: its parts, and when a worker last took an answer. */
  served(): { part: number; machines: number; servedAt: number }[] {
    return [...this.parts].map(([part, { machines, servedAt }]) => ({ part, machines, servedAt }));
  }

  async gained(index: number, token: number): Promise<void> {
    const { settings, store, mirror, clock, log } = this.core;
    const { owned } = this.membership();
    const held = (): boolean => owned.get(index) === token;
    log.info({ part: index, token }, "part claimed");
    this.#loading.set(index, []);
    while (held()) {
      try {
        const { rows } = await store.list(keys.records(index));
        await mirror.waitForRevision(token);
        if (!held()) return;
        const context = this.context(index, token, (why) => {
          if (!held()) return;
          owned.delete(index);
          this.lost(index, why);
        });
        this.parts.set(index, new Part(context, rows));
        this.#loaded(index);
        return;
      } catch (error) {
        log.debug({ part: index, why: String(error) }, "part not loaded yet");
        await sleep(clock, (settings.params.workers.report_s * 1000) / 8);
      }
    }
  }

  #loaded(index: number): void {
    const waiting = this.#loading.get(index) ?? [];
    this.#loading.delete(index);
    for (const go of waiting) go();
  }

  lost(index: number, why: string): void {
    this.#loaded(index);
    this.core.log.info({ part: index, why }, "part given up");
    this.parts.get(index)?.tell({ kind: "stop" });
    this.parts.delete(index);
  }

  /** Another controller has cancelled a job. */
  calledOff(id: string, version: number): void {
    for (const part of this.parts.values()) part.tell({ kind: "called off", id, version });
  }

  /** A worker's report: for the part that its machine is in, whoever owns that. */
  report(body: unknown): Reply | Promise<Reply> {
    const parsed = parseReport(body);
    if (!parsed.ok) {
      this.malformed();
      return { status: 400, body: { error: parsed.reason } };
    }
    const report = parsed.value;
    return this.#route(report, this.core.layout.partOf(report.machine, report.zone));
  }

  #route(report: Report, index: number): Reply | Promise<Reply> {
    const waiting = this.#loading.get(index);
    if (waiting === undefined) return this.#answer(report, index);
    // The records are read within a moment. Turned away, its worker would come back only after
    // having been to others first, a second or two later.
    return new Promise((resolve) => {
      let gone = false;
      const go = (): void => {
        if (!gone) resolve(this.#answer(report, index));
        gone = true;
      };
      waiting.push(go);
      this.core.clock.after((this.core.settings.params.workers.report_s * 1000) / 8, go);
    });
  }

  /**
   * Keeps a machine whose owner is doubted until its part has another one, for a sixth of a lease at
   * the most. Sent back, it would wait for its owner in vain once more, 5 s, and look for the new one
   * only then: leases ended meanwhile.
   */
  #hold(report: Report, index: number, owner: string): Promise<Reply> {
    const { clock, settings } = this.core;
    const { node_name, params } = settings;
    const { lease_s, report_s } = params.workers;
    const until = clock.now() + Math.min((lease_s * 1000) / 6, REPORT_TIMEOUT_MS * 0.75);
    return new Promise((resolve) => {
      const look = (): void => {
        const now = this.membership().ownerOf(index);
        const moved = now !== null && now !== owner;
        if (moved && now === node_name) resolve(this.#route(report, index));
        else if (moved || clock.now() >= until)
          resolve({ status: 421, body: redirectAnswer(moved ? now : owner) });
        else clock.after((report_s * 1000) / 32, look);
      };
      look();
    });
  }

  #answer(report: Report, index: number): Reply | Promise<Reply> {
    const { settings, mirror } = this.core;
    const part = this.parts.get(index);
    if (part === undefined) {
      const owner = this.membership().ownerOf(index);
      if (owner === null || owner === settings.node_name || !mirror.ready) {
        return retryLater(503, "part has no owner yet");
      }
      this.strayed(index, report.machine, report.token, report);
      if (this.doubted(owner)) return this.#hold(report, index, owner);
      return { status: 421, body: redirectAnswer(owner) };
    }
    // A job may be cancelled elsewhere without us hearing of it. Its tasks are gone in time only
    // if the workers' leases end before that: so we stop answering early enough.
    const { lease_s, cancel_s } = settings.params.workers;
    if (this.core.staleness() > (cancel_s - lease_s * 1.15) * 1000) {
      return retryLater(503, "out of touch");
    }
    // Most reports are answered at once.
    let answer: Reply | null = null;
    let later: ((reply: Reply) => void) | null = null;
    const reply = (given: Reply): void => {
      if (later === null) answer = given;
      else later(given);
    };
    part.tell({ kind: "report", report, reply });
    return (
      answer ??
      new Promise((resolve) => {
        later = resolve;
      })
    );
  }
}
