import { coreRecordValidator } from "../../src/controller/record-kinds.js";
import { NoAnswer } from "../../src/http/client.js";
import type { StateService } from "../../src/local/state.js";
import { RateLimiter } from "../../src/state/rate-limiter.js";
import type {
  Change,
  Condition,
  Event,
  Page,
  Row,
  Store,
  StoreLimits,
  TxnResult,
} from "../../src/state/store.js";
import type { FakeClock } from "./clock.js";

/**
 * A small model checker over the real code: each request to the state service waits until the checker
 * selects it together with its result. All sequences of choices are explored, one run for each.
 */

/** The choices of one run: first those of the script, then always the first option. */
export class Choices {
  readonly decisions: { chosen: number; of: number }[] = [];

  constructor(readonly script: readonly number[]) {}

  pick(of: number): number {
    const chosen = this.script[this.decisions.length] ?? 0;
    this.decisions.push({ chosen, of });
    return chosen;
  }

  /** The script of the next sequence, or null when all have been explored. */
  next(): number[] | null {
    const script = this.decisions.map(({ chosen }) => chosen);
    for (let i = this.decisions.length - 1; i >= 0; i--) {
      if (this.decisions[i]!.chosen + 1 < this.decisions[i]!.of) {
        return [...script.slice(0, i), script[i]! + 1];
      }
    }
    return null;
  }
}

interface PendingRequest {
  who: string;
  what: string;
  /** Applies it to the state. */
  run(): unknown;
  answer(value: unknown): void;
  lose(): void;
  isTransaction: boolean;
}

/** Requests that are not answered yet, and transactions that will be applied late. */
export class RequestScheduler {
  pending: PendingRequest[] = [];
  late: { what: string; run(): unknown }[] = [];
  readonly trace: string[] = [];
  /** Whether requests are answered immediately, without a choice. */
  instant = false;

  constructor(
    readonly state: StateService,
    readonly choices: Choices,
    /** How many transactions may still fail. */
    public faults: number,
    /** Checks the state after each step. */
    readonly check: () => void,
  ) {}

  /** Performs one chosen step; false when none is possible. */
  step(): boolean {
    const options: (() => void)[] = [];
    const option = (what: string, run: () => void) => (): void => {
      this.trace.push(what);
      run();
      this.check();
    };
    for (const request of this.pending) {
      const done = (then: () => void) => () => {
        this.pending.splice(this.pending.indexOf(request), 1);
        then();
      };
      const name = `${request.who} ${request.what}`;
      options.push(
        option(
          name,
          done(() => request.answer(request.run())),
        ),
      );
      if (!request.isTransaction || this.faults === 0) continue;
      const faults: [what: string, applied: boolean, answered: boolean, late: boolean][] = [
        ["applied and not answered", true, false, false],
        ["neither applied nor answered", false, false, false],
        ["not answered and applied late", false, false, true],
        ["answered and applied once more", true, true, true],
      ];
      for (const [what, applied, answered, late] of faults) {
        const happen = (): void => {
          this.faults--;
          const result = applied ? request.run() : undefined;
          if (answered) request.answer(result);
          else request.lose();
          if (late) this.late.push({ what: name, run: request.run });
        };
        options.push(option(`${name}, ${what}`, done(happen)));
      }
    }
    for (const transaction of this.late) {
      options.push(
        option(`late: ${transaction.what}`, () => {
          this.late.splice(this.late.indexOf(transaction), 1);
          transaction.run();
        }),
      );
    }
    if (options.length === 0) return false;
    options[this.choices.pick(options.length)]!();
    return true;
  }
}

/** One controller's connection; its requests wait until the checker selects them. */
export class ChosenStore implements Store {
  readonly writes: RateLimiter;
  readonly writable = coreRecordValidator((key, why) => {
    throw new Error(`${key}: ${why}`);
  });

  constructor(
    readonly wire: RequestScheduler,
    readonly who: string,
    readonly limits: StoreLimits,
    clock: FakeClock,
  ) {
    this.writes = new RateLimiter(1e9, 1e9, clock);
  }

  divide(): void {}

  #ask<T>(what: string, run: () => T, isTransaction = false): Promise<T> {
    if (this.wire.instant) return Promise.resolve(run());
    return new Promise((resolve, reject) => {
      this.wire.pending.push({
        who: this.who,
        what,
        run,
        answer: (value) => resolve(value as T),
        lose: () => reject(new NoAnswer("lost")),
        isTransaction,
      });
    });
  }

  get(key: string): Promise<Row | null> {
    return this.#ask(`get ${key}`, () => {
      const row = this.wire.state.rows.get(key);
      return row === undefined ? null : { key, value: row.value, version: row.version };
    });
  }

  async list(prefix: string): Promise<{ rows: Row[]; revision: number }> {
    return this.page(prefix, null, 1000);
  }

  page(prefix: string, after: string | null, most: number): Promise<Page> {
    return this.#ask(`list ${prefix} after ${after}`, () => {
      const { rows, more } = this.wire.state.list(prefix, after ?? "", most);
      return {
        rows: rows.map(([key, { value, version }]) => ({ key, value, version })),
        more,
        revision: this.wire.state.revision,
      };
    });
  }

  transact(when: Condition[], then: Change[]): Promise<TxnResult> {
    const what = then.map((one) => ("put" in one ? `put ${one.put}` : `remove ${one.remove}`));
    return this.#ask(what.join(", "), () => this.wire.state.transact(when, then), true);
  }

  openLease(): Promise<number> {
    throw new Error("not supported by ChosenStore");
  }

  renewLease(): Promise<void> {
    throw new Error("not supported by ChosenStore");
  }

  watch(): Promise<{ revision: number; events: Event[] } | null> {
    return new Promise(() => undefined);
  }
}

const settlePromises = async (): Promise<void> => {
  for (let i = 0; i < 3; i++) await new Promise((resolve) => setImmediate(resolve));
};

/** The setup of one run; created anew for each run. */
export interface Scene {
  wire: RequestScheduler;
  /** Runs before the actors; its requests are answered immediately. */
  prepare?(): Promise<void>;
  /** They run concurrently. */
  actors: (() => Promise<void>)[];
  /** Called when all actors have finished: final checks. */
  end(): void;
}

export interface Explored {
  /** Count of explored runs. */
  ways: number;
  /** The first run that failed. */
  failure: { error: Error; trace: string[] } | null;
}

/** Explores all sequences of choices until one fails; throws if there are more than `most`. */
export async function explore(make: (choices: Choices) => Scene, most = 50_000): Promise<Explored> {
  let script: number[] | null = [];
  for (let ways = 0; script !== null; ways++) {
    if (ways >= most) throw new Error(`more than ${most} sequences of choices; expected fewer`);
    const choices: Choices = new Choices(script);
    const scene = make(choices);
    try {
      scene.wire.instant = true;
      await scene.prepare?.();
      scene.wire.instant = false;
      const running = scene.actors.map((run) => run());
      let allDone = false;
      let failed: unknown = null;
      Promise.all(running).then(
        () => {
          allDone = true;
        },
        (error: unknown) => {
          failed = error;
        },
      );
      await settlePromises();
      while (failed === null && (scene.wire.step() || !allDone)) {
        await settlePromises();
        if (!allDone && scene.wire.pending.length === 0 && scene.wire.late.length === 0) {
          await settlePromises();
          if (!allDone && scene.wire.pending.length === 0 && failed === null)
            throw new Error("deadlock: an actor waits, and no request is pending");
        }
      }
      if (failed !== null) throw failed;
      scene.end();
    } catch (error) {
      return { ways: ways + 1, failure: { error: error as Error, trace: scene.wire.trace } };
    }
    script = choices.next();
    if (script === null) return { ways: ways + 1, failure: null };
  }
  throw new Error("unreachable");
}
