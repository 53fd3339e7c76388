import {
  decodeLeaf,
  END_OF_RANGES,
  encodeLeaf,
  Lookups,
  leafKey,
  Mover,
} from "../../src/archive/index.js";
import type { Core, LeaderTerm } from "../../src/extension/index.js";
import type { JobHeader } from "../../src/jobs/job-header.js";
import { StateService } from "../../src/local/state.js";
import { keys } from "../../src/state/keys.js";
import { Mirror } from "../../src/state/mirror.js";
import { RateLimiter } from "../../src/state/rate-limiter.js";
import type { Row, Store, StoreLimits } from "../../src/state/store.js";
import { FakeClock } from "./clock.js";
import { quiet } from "./common.js";

/** A state service that answers at once, and a leader that archives all jobs passed to it. */
export class Year {
  readonly clock = new FakeClock();
  readonly state: StateService;
  readonly lookups: Lookups;
  #finishedHeaders: Row[] = [];
  readonly #mover: Mover;

  constructor(limits: StoreLimits) {
    this.state = new StateService(this.clock, limits);
    const { state, clock } = this;
    const store = {
      limits,
      writes: new RateLimiter(1e9, 1e9, clock),
      page: async (prefix: string, after: string | null, most: number) => {
        const { rows, more } = state.list(prefix, after ?? "", most);
        const listed = rows.map(([key, { value, version }]) => ({ key, value, version }));
        return { rows: listed, more, revision: state.revision };
      },
      transact: async (...asked: Parameters<StateService["transact"]>) => state.transact(...asked),
    } as unknown as Store;
    state.transact([], [{ put: leafKey(END_OF_RANGES), value: encodeLeaf("", []) }]);
    this.lookups = new Lookups(store, clock, quiet, 1);
    const mirror = new Mirror(store, clock, quiet, 1000);
    mirror.waitForRevision = async () => undefined;
    const core = { store, clock, log: quiet, mirror } as unknown as Core;
    const leading: LeaderTerm = { token: 1, claim: { key: "x", version: 1 }, valid: () => true };
    const drop = (rows: readonly Row[]): void => {
      const names = new Set(rows.map(({ key }) => key));
      this.#finishedHeaders = this.#finishedHeaders.filter(({ key }) => !names.has(key));
    };
    const candidates = { take: async () => this.#finishedHeaders, gone: drop, setAside: drop };
    this.#mover = new Mover(core, this.lookups, candidates, leading);
  }

  /** Writes the headers of finished jobs and archives all of them. */
  async archive(jobs: readonly (readonly [id: string, header: JobHeader])[]): Promise<void> {
    for (const [id, value] of jobs) {
      this.state.transact([], [{ put: keys.job(id), value }]);
      this.#finishedHeaders.push({ key: keys.job(id), value, version: this.state.revision });
    }
    this.#finishedHeaders.sort((a, b) => (a.key < b.key ? -1 : 1));
    while (this.#finishedHeaders.length > 0) await this.#mover.step();
  }

  /** Counts archived jobs and leaves; verifies that there are no gaps between leaves. */
  count(): { jobs: number; leaves: number } {
    let jobs = 0;
    let leaves = 0;
    let from = "";
    const all = [...this.state.rows.keys()].filter((key) => key.startsWith(keys.archive)).sort();
    for (const key of all) {
      const leaf = decodeLeaf({ key, ...this.state.rows.get(key)! });
      if (leaf.from !== from)
        throw new Error(`gap before ${key}: the leaf begins after ${leaf.from}, expected ${from}`);
      from = leaf.last;
      jobs += leaf.entries.length;
      leaves++;
    }
    return { jobs, leaves };
  }
}
