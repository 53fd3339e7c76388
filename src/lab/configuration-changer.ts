/**
 * Changes the configuration during a run and measures how long until each change is in force
 * everywhere.
 */
import { randomUUID } from "node:crypto";
import { type Clock, sleep } from "../clock.js";
import {
  ConfigurationClient,
  type ConfiguredTeam,
  RevisionConflict,
} from "../configuration/index.js";
import type { HttpClient } from "../http/client.js";
import type { Team } from "../settings/settings.js";
import { type ConfigurationDelay, sharedNow } from "./messages.js";
import type { RandomSource } from "./random-source.js";

const DAY_S = 86_400;
const POLL_INTERVAL_MS = 100;
/** Limits and guarantees are drawn between this share of the team's settings and all of it. */
const MIN_LIMIT_SHARE = 0.7;
const MAX_WEIGHT = 4;

export class ConfigurationChanger {
  readonly delays: ConfigurationDelay[] = [];
  /**
   * Errors of changes that failed. A change whose answer was lost may have been applied
   * nevertheless.
   */
  readonly failures: string[] = [];
  readonly #client: ConfigurationClient;
  /** Applied changes that are not known to be in force everywhere yet, by revision. */
  readonly #notInForce = new Map<number, ConfigurationDelay>();
  #baseRevision = 0;

  constructor(
    http: HttpClient,
    readonly clock: Clock,
    readonly randomSource: RandomSource,
    readonly teams: readonly Team[],
    readonly options: { changes_per_day: number; speed: number },
  ) {
    this.#client = new ConfigurationClient("", clock, http);
  }

  start(): void {
    void this.#changeLoop();
    void this.#pollLoop();
  }

  async #changeLoop(): Promise<void> {
    const ratePerS = (this.options.changes_per_day * this.options.speed) / DAY_S;
    for (;;) {
      await sleep(this.clock, this.randomSource.interArrivalMs(ratePerS));
      await this.#changeTeam().catch((error: unknown) => this.#recordFailure(error));
    }
  }

  #recordFailure(error: unknown): void {
    this.failures.push((error as Error).message);
    // An earlier change whose answer was lost has been applied: continue from its revision.
    if (error instanceof RevisionConflict) this.#baseRevision = error.revision;
  }

  async #changeTeam(): Promise<void> {
    const team = this.teams[this.randomSource.index(this.teams.length)]!;
    const committedAt = sharedNow();
    const { revision } = await this.#client.apply({
      id: randomUUID(),
      base: this.#baseRevision,
      by: "lab",
      why: "",
      change: { teams: [this.#randomConfiguration(team)], groups: [] },
      dryRun: false,
    });
    this.#baseRevision = revision;
    const delay: ConfigurationDelay = { committedAt, inForceMs: null };
    this.delays.push(delay);
    this.#notInForce.set(revision, delay);
  }

  #randomConfiguration({ name, cpus, cpus_max }: Team): ConfiguredTeam {
    const share = MIN_LIMIT_SHARE + (1 - MIN_LIMIT_SHARE) * this.randomSource.random();
    return {
      name,
      limit: { cpus: Math.max(1, Math.floor(cpus_max * share)) },
      guarantee: { cpus: Math.floor(cpus * share) },
      weight: 1 + Math.floor(this.randomSource.random() * MAX_WEIGHT),
    };
  }

  async #pollLoop(): Promise<void> {
    for (;;) {
      await sleep(this.clock, POLL_INTERVAL_MS);
      if (this.#notInForce.size === 0) continue;
      const view = await this.#client.view().catch(() => null);
      if (view === null) continue;
      const owners = view.controllers.filter(({ parts }) => parts > 0);
      const revisionInForce = Math.min(...owners.map(({ revision }) => revision ?? 0));
      const now = sharedNow();
      for (const [revision, delay] of this.#notInForce) {
        if (revision > revisionInForce) continue;
        delay.inForceMs = now - delay.committedAt;
        this.#notInForce.delete(revision);
      }
    }
  }
}
