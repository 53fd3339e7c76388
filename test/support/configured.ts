import {
  effectiveConfiguration,
  isHead,
  isOverrides,
  joinPieces,
  type Overrides,
} from "../../src/configuration/index.js";
import type { Answer } from "../../src/http/client.js";
import { readPage } from "../../src/jobs/chunk-page.js";
import { isJobHeader } from "../../src/jobs/job-header.js";
import { readSlices } from "../../src/quota/slices.js";
import { defaultTuning } from "../../src/settings/tuning.js";
import { keys } from "../../src/state/keys.js";
import type { StoreLimits } from "../../src/state/store.js";
import { settingsFor } from "./platform-settings.js";
import { type DisabledGuards, World } from "./world.js";

export const TEAMS = [
  { name: "red", cpus: 12, max: 24 },
  { name: "blue", cpus: 8, max: 24 },
];
const CHUNK_PAGE_KEY = /^c\/\d+\/p\//;
const EPSILON = 1e-6;

/** CPUs by team. */
type TeamAmounts = Map<string, { placed: number; slices: number }>;

/** A limit and the time at which it came into force. */
interface LimitChange {
  at: number;
  limit: number;
}

/**
 * A `World` whose configuration changes, with a checker: neither committed placements nor slices
 * rise above the limit in force, and no task starts under a revision that was replaced longer ago
 * than the bound.
 */
export class ConfiguredWorld extends World {
  /** The limits of each team since the start, oldest first. */
  readonly limits = new Map<string, LimitChange[]>();
  revision = 0;
  /** Revisions that were confirmed to their author. */
  readonly appliedRevisions = new Set<number>();
  #requestCount = 0;

  constructor(
    seed: number,
    nodes: number,
    sabotage: DisabledGuards = {},
    teams = TEAMS,
    limits: Partial<StoreLimits> = {},
  ) {
    super(seed, nodes, teams, 10, sabotage, ["a"], () => ({ archive: { keep: 3, ageMs: 1000 } }));
    for (const { name, max } of teams) this.limits.set(name, [{ at: 0, limit: max }]);
    this.state.limits = { ...this.state.limits, ...limits };
    for (const store of this.stores) Object.assign(store.limits, limits);
    const transact = this.state.transact.bind(this.state);
    this.state.transact = (when, then) => {
      const before = this.#usedAmounts();
      const result = transact(when, then);
      if (result.ok && then.length > 0) {
        // A revision that comes into force with this transaction applies to later ones only.
        this.#checkRise(before);
        this.#recordRevision();
      }
      return result;
    };
    this.onStart = (_worker, piece) => this.#checkStart(piece);
  }

  /** CPUs of committed placements and of all slices, by team. */
  #usedAmounts(): TeamAmounts {
    const amounts = new Map(this.teams.map(({ name }) => [name, { placed: 0, slices: 0 }]));
    for (const [key, { value }] of this.state.rows) {
      if (!CHUNK_PAGE_KEY.test(key)) continue;
      for (const [name, { live }] of readPage(value) ?? []) {
        const id = name.slice(0, name.lastIndexOf("/"));
        const header = this.state.rows.get(keys.job(id))?.value;
        const spec = isJobHeader(header) ? header.spec : undefined;
        if (spec !== undefined) amounts.get(spec.team)!.placed += live.length * spec.cpus;
      }
    }
    for (const [team, amount] of amounts) {
      const row = this.state.rows.get(keys.quota(team));
      if (row === undefined) continue;
      for (const slice of Object.values(readSlices(row.value, this.nodes)))
        amount.slices += slice?.[0] ?? 0;
    }
    return amounts;
  }

  #checkRise(before: TeamAmounts): void {
    for (const [team, current] of this.#usedAmounts()) {
      const limit = this.limits.get(team)!.at(-1)!.limit;
      const earlier = before.get(team)!;
      for (const what of ["placed", "slices"] as const) {
        if (current[what] > limit + EPSILON && current[what] > earlier[what] + EPSILON)
          this.recordViolation(
            "limit in force",
            `${team} ${what} ${earlier[what]} -> ${current[what]} of ${limit}`,
          );
      }
    }
  }

  #recordRevision(): void {
    const row = this.state.rows.get(keys.configurationHead);
    if (row === undefined || !isHead(row.value) || row.value.revision === this.revision) return;
    const { id, pieces, revision } = row.value;
    this.revision = revision;
    const found = Array.from({ length: pieces }, (_, n) => {
      const value = this.state.rows.get(keys.configurationPiece(id, n))?.value;
      if (!isOverrides(value)) throw new Error(`revision ${revision}: piece ${n} is missing`);
      return value;
    });
    const { teams } = settingsFor(0, this.nodes, this.teams).params;
    const base = { teams, packageTeams: [], groups: defaultTuning(teams).groups };
    for (const [team, { cpus }] of effectiveConfiguration(base, joinPieces(found), revision).limits)
      this.limits.get(team)!.push({ at: this.clock.now(), limit: cpus });
  }

  /** After a start, a team's use on machines may not exceed the highest limit within the bound. */
  #checkStart(piece: string): void {
    const { team } = this.jobOf(piece);
    let use = 0;
    for (const worker of this.workers.values()) {
      for (const task of worker.tasks.values()) {
        const job = this.jobOf(task.piece);
        if (task.state !== "ended" && job.team === team) use += job.cpus;
      }
    }
    const since = this.clock.now() - this.boundMs;
    const history = this.limits.get(team)!;
    const bounds = history.filter(
      ({ at }, i) => at >= since || (history[i + 1]?.at ?? Infinity) > since,
    );
    const highestLimit = Math.max(...bounds.map(({ limit }) => limit));
    if (use > highestLimit + EPSILON)
      this.recordViolation(
        "overtaken revision",
        `${piece}: ${team} uses ${use} of ${highestLimit}`,
      );
  }

  /** Longest time from a commit until no task starts under an older revision: a lease. */
  get boundMs(): number {
    return this.leaseMs;
  }

  /** Waits until revisions may be made. */
  async ready(): Promise<void> {
    for (let n = 0; n < 100; n++) {
      if (this.state.rows.has(keys.leader) && this.revisionsInUse().size === this.nodes) return;
      await this.clock.run(500);
    }
    throw new Error("not all parts have an owner");
  }

  change(
    n: number,
    change: Overrides,
    base: number,
    id = `r${++this.#requestCount}`,
  ): Promise<Answer | null> {
    const body = { id, base, by: "test", why: "", change };
    return this.ask(n, "POST", "/about/configuration", body);
  }

  /**
   * Sets a team's limit; retries, with the newest base, until it is made. Null: 60 attempts failed.
   */
  async limit(team: string, cpus: number, author = 0): Promise<number | null> {
    const id = `a${++this.#requestCount}`;
    const change = { teams: [{ name: team, limit: { cpus } }], groups: [] };
    for (let attempt = 0; attempt < 60; attempt++) {
      const n = (author + attempt) % this.nodes;
      const answer = await this.change(n, change, this.revision, id);
      if (answer?.status === 200) {
        const { revision } = answer.body as { revision: number };
        this.appliedRevisions.add(revision);
        return revision;
      }
      await this.sleep(answer?.status === 409 ? 50 : 1000);
    }
    return null;
  }

  /** The revision that each controller with a part has published. */
  revisionsInUse(): Map<string, number | null> {
    const found = new Map<string, number | null>();
    for (let part = 0; part < this.nodes; part++) {
      const claim = this.state.rows.get(keys.claim(part))?.value as { node?: string } | undefined;
      if (claim?.node === undefined) continue;
      const decision = this.state.rows.get(keys.decision(claim.node))?.value as
        | { revision?: number }
        | undefined;
      found.set(claim.node, decision?.revision ?? null);
    }
    return found;
  }

  /** Submits enough small tasks to keep both teams at their limits for some time. */
  submitLoad(jobs: number): void {
    for (let n = 0; n < jobs; n++) {
      const team = TEAMS[n % TEAMS.length]!.name;
      this.submit(`wk-${String(n).padStart(4, "0")}`, {
        team,
        tasks: 6 + (n % 7),
        runMs: 3000 + 500 * (n % 9),
      });
    }
  }
}
