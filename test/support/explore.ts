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
 * A small model checker over the real code: every request to the state service waits until it is
 * chosen, and what becomes of it is chosen too. All choices are gone through, one run for each way.
 */

/** The choices of one run: those that are prescribed, then always the first. */
export class Choices {
  readonly taken: { chosen: number; of: number }[] = [];

  constructor(readonly script: readonly number[]) {}

  pick(of: number): number {
    const chosen = this.script[this.taken.length] ?? 0;
    this.taken.push({ chosen, of });
    return chosen;
  }

  /** The script of the next way, or null when all have been gone. */
  next(): number[] | null {
    const script = this.taken.map(({ chosen }) => chosen);
    for (let i = this.taken.length - 1; i >= 0; i--) {
      if (this.taken[i]!.chosen + 1 < this.taken[i]!.of) {
        return [...script.slice(0, i), script[i]! + 1];
      }
    }
    return null;
  }
}

interface Pending {
  who: string;
  what: string;
  /** Carries it out on the state. */
  run(): unknown;
  answer(value: unknown): void;
  lose(): void;
  isTransaction: boolean;
}

/** Late transactions, and what is still to be answered. */
export class Wire {
  pending: Pending[] = [];
  late: { what: string; run(): unknown }[] = [];
  readonly trace: string[] = [];
  /** Whether requests are answered at once. */
  instant = false;

  constructor(
    readonly state: StateService,
    readonly choices: Choices,
    /** How many transactions may go wrong. */
    public faults: number,
    /** Looks at the state after whatever has changed it. */
    readonly check: () => void,
  ) {}

  /** One thing happens; false when nothing can. */
  step(): boolean {
    const options: (() => void)[] = [];
    const act = (what: string, run: () => void) => (): void => {
      this.trace.push(what);
      run();
      this.check();
    };
    for (const one of this.pending) {
      const done = (then: () => void) => () => {
        this.pending.splice(this.pending.indexOf(one), 1);
        then();
      };
      const name = `${one.who} ${one.what}`;
      options.push(
        act(
          name,
          done(() => one.answer(one.run())),
        ),
      );
      if (!one.isTransaction || this.faults === 0) continue;
      const faults: [what: string, applied: boolean, answered: boolean, late: boolean][] = [
        ["applied and not answered", true, false, false],
        ["neither applied nor answered", false, false, false],
        ["not answered and applied late", false, false, true],
        ["answered and applied once more", true, true, true],
      ];
      for (const [what, applied, answered, late] of faults) {
        const happen = (): void => {
          this.faults--;
          const result = applied ? one.run() : undefined;
          if (answered) one.answer(result);
          else one.lose();
          if (late) this.late.push({ what: name, run: one.run });
        };
        options.push(act(`${name}, ${what}`, done(happen)));
      }
    }
    for (const one of this.late) {
      options.push(
        act(`late: ${one.what}`, () => {
          this.late.splice(this.late.indexOf(one), 1);
          one.run();
        }),
      );
    }
    if (options.length === 0) return false;
    options[this.choices.pick(options.length)]!();
    return true;
  }
}

/** One controller's connection, all of whose requests wait to be chosen. */
export class ChosenStore implements Store {
  readonly writes: RateLimiter;
  readonly writable = coreRecordValidator((key, why) => {
    throw new Error(`${key}: ${why}`);
  });

  constructor(
    readonly wire: Wire,
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
    throw new Error("not here");
  }

  renewLease(): Promise<void> {
    throw new Error("not here");
  }

  watch(): Promise<{ revision: number; events: Event[] } | null> {
    return new Promise(() => undefined);
  }
}

const settle = async (): Promise<void> => {
  for (let i = 0; i < 3; i++) await new Promise((resolve) => setImmediate(resolve));
};

/** What one run is made of; a fresh one for each way. */
export interface Scene {
  wire: Wire;
  /** Before they begin; whatever is asked here is answered at once. */
  prepare?(): Promise<void>;
  /** They run side by side. */
  actors: (() => Promise<void>)[];
  /** When all is over. */
  end(): void;
}

export interface Explored {
  ways: number;
  /** The first way that went wrong. */
  failure: { error: Error; trace: string[] } | null;
}

/** Goes through all ways, at most so many; a failure ends it. */
export async function explore(make: (choices: Choices) => Scene, most = 50_000): Promise<Explored> {
  let script: number[] | null = [];
  for (let ways = 0; script !== null; ways++) {
    if (ways >= most) throw new Error(`more than ${most} ways`);
    const choices: Choices = new Choices(script);
    const scene = make(choices);
    try {
      scene.wire.instant = true;
      await scene.prepare?.();
      scene.wire.instant = false;
      const running = scene.actors.map((run) => run());
      let over = false;
      let failed: unknown = null;
      Promise.all(running).then(
        () => {
          over = true;
        },
        (error: unknown) => {
          failed = error;
        },
      );
      await settle();
      while (failed === null && (scene.wire.step() || !over)) {
        await settle();
        if (!over && scene.wire.pending.length === 0 && scene.wire.late.length === 0) {
          await settle();
          if (!over && scene.wire.pending.length === 0 && failed === null)
            throw new Error("somebody waits for ever");
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
