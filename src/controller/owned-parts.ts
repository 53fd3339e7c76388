import { sleep } from "../clock.js";
import type { Core } from "../extension/index.js";
import { type Reply, retryLater } from "../http/server.js";
import type { Membership } from "../membership/membership.js";
import { Part, type PartContext } from "../part/part.js";
import { keys } from "../state/keys.js";
import { parseReport, type Report, redirectAnswer } from "../wire/workers.js";
import { REPORT_TIMEOUT_MS, type ReportPosition } from "../workers/report-classification.js";

/** The parts claimed by this controller: loads them and releases them. */
export class OwnedParts {
  readonly parts = new Map<number, Part>();
  /** Parts claimed whose records are being read, with the callbacks to run once that is done. */
  readonly #loading = new Map<number, (() => void)[]>();

  constructor(
    readonly core: Core,
    readonly membership: () => Membership,
    /** Creates the context of a part. */
    readonly context: (index: number, token: number, lost: (why: string) => void) => PartContext,
    /**
     * A machine in another controller's part reported here; `token` is the highest that it has
     * seen.
     */
    readonly onMisroutedReport: (
      part: number,
      machine: string,
      token: number,
      position: ReportPosition,
    ) => void = () => undefined,
    /** A report was not valid according to PROTOCOL. */
    readonly onMalformedReport: () => void = () => undefined,
    /** Whether a controller is suspected to have failed. */
    readonly isSuspected: (name: string) => boolean = () => false,
  ) {}

  /**
   * Evidence that this controller works: by part, its machines and when a worker last accepted an
   * answer.
   */
  served(): { part: number; machines: number; servedAt: number }[] {
    return [...this.parts].map(([part, { machines, servedAt }]) => ({ part, machines, servedAt }));
  }

  async onClaimed(index: number, token: number): Promise<void> {
    const { settings, store, mirror, clock, log } = this.core;
    const { owned } = this.membership();
    const stillOwned = (): boolean => owned.get(index) === token;
    log.info({ part: index, token }, "part claimed");
    this.#loading.set(index, []);
    while (stillOwned()) {
      try {
        const { rows } = await store.list(keys.records(index));
        await mirror.waitForRevision(token);
        if (!stillOwned()) return;
        const context = this.context(index, token, (why) => {
          if (!stillOwned()) return;
          owned.delete(index);
          this.onLost(index, why);
        });
        this.parts.set(index, new Part(context, rows));
        this.#loaded(index);
        return;
      } catch (error) {
        log.debug(
          { part: index, why: String(error) },
          "could not load the part's records; retrying",
        );
        await sleep(clock, (settings.params.workers.report_s * 1000) / 8);
      }
    }
  }

  #loaded(index: number): void {
    const waiting = this.#loading.get(index) ?? [];
    this.#loading.delete(index);
    for (const resume of waiting) resume();
  }

  onLost(index: number, why: string): void {
    this.#loaded(index);
    this.core.log.info({ part: index, why }, "part no longer owned by this controller");
    this.parts.get(index)?.tell({ kind: "stop" });
    this.parts.delete(index);
  }

  /** Handles the cancellation of a job by another controller. */
  onJobCancelled(id: string, version: number): void {
    for (const part of this.parts.values()) part.tell({ kind: "called off", id, version });
  }

  /** Answers a worker's report, or redirects it to the owner of the machine's part. */
  report(body: unknown): Reply | Promise<Reply> {
    const parsed = parseReport(body);
    if (!parsed.ok) {
      this.onMalformedReport();
      return { status: 400, body: { error: parsed.reason } };
    }
    const report = parsed.value;
    return this.#route(report, this.core.layout.partOf(report.machine, report.zone));
  }

  #route(report: Report, index: number): Reply | Promise<Reply> {
    const waiting = this.#loading.get(index);
    if (waiting === undefined) return this.#answer(report, index);
    // Reading the records takes only a moment, so the report waits for it. A rejected worker would
    // try other controllers first and return only after one or two seconds.
    return new Promise((resolve) => {
      let answered = false;
      const answerOnce = (): void => {
        if (!answered) resolve(this.#answer(report, index));
        answered = true;
      };
      waiting.push(answerOnce);
      this.core.clock.after((this.core.settings.params.workers.report_s * 1000) / 8, answerOnce);
    });
  }

  /**
   * Holds the report of a machine whose part's owner is suspected until the part has another owner,
   * for a sixth of a lease at the most. If redirected, the worker would wait another 5 s for the
   * failed owner and look for the new one only then; leases expired in that time.
   */
  #holdUntilReassigned(report: Report, index: number, owner: string): Promise<Reply> {
    const { clock, settings } = this.core;
    const { node_name, params } = settings;
    const { lease_s, report_s } = params.workers;
    const deadline = clock.now() + Math.min((lease_s * 1000) / 6, REPORT_TIMEOUT_MS * 0.75);
    return new Promise((resolve) => {
      const checkOwner = (): void => {
        const currentOwner = this.membership().ownerOf(index);
        const reassigned = currentOwner !== null && currentOwner !== owner;
        if (reassigned && currentOwner === node_name) resolve(this.#route(report, index));
        else if (reassigned || clock.now() >= deadline)
          resolve({ status: 421, body: redirectAnswer(reassigned ? currentOwner : owner) });
        else clock.after((report_s * 1000) / 32, checkOwner);
      };
      checkOwner();
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
      this.onMisroutedReport(index, report.machine, report.token, report);
      if (this.isSuspected(owner)) return this.#holdUntilReassigned(report, index, owner);
      return { status: 421, body: redirectAnswer(owner) };
    }
    // Another controller may cancel a job without this one seeing it. Its tasks must end within
    // `cancel_s`, which then only the expiry of the workers' leases ensures. So reports are not
    // answered once the watched copy is too old for the leases to expire in time.
    const { lease_s, cancel_s } = settings.params.workers;
    if (this.core.staleness() > (cancel_s - lease_s * 1.15) * 1000) {
      return retryLater(503, "this controller's copy of the state is too old");
    }
    // The part answers most reports synchronously.
    let answer: Reply | null = null;
    let resolveLater: ((reply: Reply) => void) | null = null;
    const reply = (given: Reply): void => {
      if (resolveLater === null) answer = given;
      else resolveLater(given);
    };
    part.tell({ kind: "report", report, reply });
    return (
      answer ??
      new Promise((resolve) => {
        resolveLater = resolve;
      })
    );
  }
}
