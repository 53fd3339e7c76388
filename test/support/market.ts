import type { Answer } from "../../src/http/client.js";
import { type Operators, parseOperators } from "../../src/settings/operators.js";
import { settingsFor, type TeamSettings } from "./platform-settings.js";
import { World } from "./world.js";

export const ZONES = ["a", "b"];
export const TEAMS: TeamSettings[] = [
  { name: "red", cpus: 24, max: 40 },
  { name: "blue", cpus: 16, max: 32 },
];

export const MARKET_SETTINGS = `
market {
  every_s: 20
  term_s: 60
  save_s: 6
  least_price: 0.01
  sure: 0.5
  growth: 1
  bids_a_minute: 600
  open_bids: 40
  guest { name: "visitor" most { cpus: 24 } may_owe: 1000 }
  guest { name: "institute" most { cpus: 24 } }
}`;

export const operatorsOf = (text: string, teams = TEAMS, nodes = 3): Promise<Operators> =>
  parseOperators([{ file: "market", text }], settingsFor(0, nodes, teams, ZONES));

interface StoredGrant {
  guest: string;
  part: number;
  slots: number;
  slot: { cpus: number };
  from: number;
  until: number;
  micro: number;
}

/**
 * A simulated platform with a market: guests' requests, and checks of grants and charges every 100
 * ms.
 */
export class MarketWorld {
  readonly world: World;
  readonly ruleViolations: string[] = [];
  /** Every grant ever seen in the store, with its last value. */
  readonly grants = new Map<string, StoredGrant>();
  #revision = 0;

  constructor(
    operators: (n: number) => Partial<Operators>,
    { seed = 1, capacity = 14, teams = TEAMS, nodes = 3 } = {},
  ) {
    this.world = new World(seed, nodes, teams, capacity, {}, ZONES, operators, 60);
    this.#checkGrants();
  }

  get now(): number {
    return this.world.clock.wall() / 1000;
  }

  bid(id: string, more: object = {}): Promise<Answer | null> {
    return this.ask("POST", "/market/bids", this.bidOf(id, more));
  }

  bidOf(id: string, more: object = {}): object {
    return {
      id,
      guest: "visitor",
      cores: 2,
      memGb: 2,
      slots: 4,
      price: 1,
      latest: Math.floor(this.now) + 600,
      ...more,
    };
  }

  /**
   * Sends the request to the controllers in turn until one gives a final answer (not 5xx or 429).
   */
  async ask(method: string, path: string, body?: object, tries = 40): Promise<Answer | null> {
    let last: Answer | null = null;
    for (let n = 0; n < tries; n++) {
      last = await this.world.ask(n % this.world.nodes, method, path, body);
      if (last !== null && last.status < 500 && last.status !== 429) return last;
      await this.world.sleep(500);
    }
    return last;
  }

  async #runUntilSettled<T>(asked: Promise<T>, ms = 30_000): Promise<T> {
    let found: { value: T } | null = null;
    void asked.then((value) => {
      found = { value };
    });
    for (let waited = 0; waited < ms && found === null; waited += 100) {
      await this.world.clock.run(100);
    }
    if (found === null) throw new Error("no answer in simulated time");
    return (found as { value: T }).value;
  }

  /** Tasks of a job that are on machines and have not ended. */
  running(job: string): number {
    return [...this.world.workers.values()]
      .flatMap((worker) => [...worker.tasks.values()])
      .filter(({ piece, state }) => piece.startsWith(`${job}/`) && state !== "ended").length;
  }

  /** Sends the request and runs the clock until there is an answer. */
  async answer(method: string, path: string, body?: object): Promise<Answer> {
    const answer = await this.#runUntilSettled(this.ask(method, path, body), 60_000);
    if (answer === null) throw new Error(`${method} ${path}: no answer`);
    return answer;
  }

  /** Checks that no grant is ever extended and that no guest uses more than it was granted. */
  #checkGrants(): void {
    const { world } = this;
    for (const { key, value, version, deleted } of world.state.log) {
      if (version <= this.#revision) continue;
      if (!key.startsWith("w/m/g/")) continue;
      const id = key.slice(6);
      if (deleted) continue;
      const known = this.grants.get(id);
      const grant = value as StoredGrant;
      if (known !== undefined && grant.until > known.until)
        this.ruleViolations.push(`grant ${id} was extended`);
      this.grants.set(id, grant);
    }
    this.#revision = world.state.revision;
    const allowed = new Map<string, number>();
    for (const [key, { value }] of world.state.rows) {
      if (!key.startsWith("w/m/g/")) continue;
      const { guest, slots, slot } = value as StoredGrant;
      allowed.set(guest, (allowed.get(guest) ?? 0) + slots * slot.cpus);
    }
    const use = new Map<string, number>();
    for (const worker of world.workers.values()) {
      for (const task of worker.tasks.values()) {
        const job = world.jobOf(task.piece);
        if (task.state === "ended" || world.teams.some(({ name }) => name === job.team)) continue;
        use.set(job.team, (use.get(job.team) ?? 0) + job.cpus);
      }
    }
    for (const [guest, cpus] of use) {
      if (cpus > (allowed.get(guest) ?? 0)) {
        this.ruleViolations.push(`${guest} uses ${cpus} at ${world.clock.now()}`);
      }
    }
    world.clock.after(100, () => this.#checkGrants());
  }

  /** All charges in the store, of all pages of all guests. */
  charges(): { grant: string; micro: number; slotMs: number; cut: string | null }[] {
    return [...this.world.state.rows]
      .filter(([key]) => key.startsWith("m/c/"))
      .flatMap(([, { value }]) => value as ReturnType<MarketWorld["charges"]>);
  }

  /**
   * Errors found so far, plus those of the final accounting: exactly one correct charge per ended
   * grant, none for others, and accounts that equal the sum of their charges.
   */
  accountingErrors(): string[] {
    const found = [...this.ruleViolations];
    const seen = new Map<string, number>();
    for (const { grant, micro, slotMs } of this.charges()) {
      seen.set(grant, (seen.get(grant) ?? 0) + 1);
      const { slots, from, until, micro: price } = this.grants.get(grant)!;
      const exact = BigInt(slots) * BigInt(until - from);
      if (BigInt(slotMs) !== exact) found.push(`${grant}: ${slotMs} slot-ms`);
      if (BigInt(micro) !== (exact * BigInt(price)) / 3_600_000n) found.push(`${grant}: ${micro}`);
    }
    for (const id of this.grants.keys()) {
      const open = this.world.state.rows.has(`w/m/g/${id}`);
      const times = seen.get(id) ?? 0;
      if (times !== (open ? 0 : 1)) found.push(`${id}: charged ${times} times, open: ${open}`);
    }
    for (const [key, { value }] of this.world.state.rows) {
      if (!key.startsWith("m/a/")) continue;
      const { charged, grants } = value as { charged: number; grants: number };
      const own = this.charges().filter(
        ({ grant }) => `m/a/${this.grants.get(grant)!.guest}` === key,
      );
      const sum = own.reduce((micro, one) => micro + one.micro, 0);
      if (charged !== sum || grants !== own.length) found.push(`${key}: ${charged}, ${sum}`);
    }
    return found;
  }
}
