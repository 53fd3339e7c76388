/** Changes of configuration in a run: one author, and how long until each is in force everywhere. */
import { randomUUID } from "node:crypto";
import { type Clock, sleep } from "../clock.js";
import { ConfigurationClient, type ConfiguredTeam, Overtaken } from "../configuration/index.js";
import type { HttpClient } from "../http/client.js";
import type { Team } from "../settings/settings.js";
import type { Draw } from "./draw.js";
import { type ConfigurationDelay, sharedNow } from "./messages.js";

const DAY_S = 86_400;
const POLL_MS = 100;
/** Limits are drawn between this share of the platform's and all of it. */
const LEAST_LIMIT = 0.7;
const MOST_WEIGHT = 4;

export class ConfigurationAuthor {
  readonly delays: ConfigurationDelay[] = [];
  /** Why changes were not made, as far as this author was told. */
  readonly failures: string[] = [];
  readonly #client: ConfigurationClient;
  /** Made, and not known to be in force yet: by revision. */
  readonly #pending = new Map<number, ConfigurationDelay>();
  #base = 0;

  constructor(
    caller: HttpClient,
    readonly clock: Clock,
    readonly draw: Draw,
    readonly teams: readonly Team[],
    readonly setting: { changes_per_day: number; speed: number },
  ) {
    this.#client = new ConfigurationClient("", clock, caller);
  }

  start(): void {
    void this.#changes();
    void this.#polls();
  }

  async #changes(): Promise<void> {
    const perS = (this.setting.changes_per_day * this.setting.speed) / DAY_S;
    for (;;) {
      await sleep(this.clock, this.draw.waitMs(perS));
      await this.#change().catch((error: unknown) => this.#failed(error));
    }
  }

  #failed(error: unknown): void {
    this.failures.push((error as Error).message);
    // An earlier change whose answer was lost has been made.
    if (error instanceof Overtaken) this.#base = error.revision;
  }

  async #change(): Promise<void> {
    const team = this.teams[this.draw.index(this.teams.length)]!;
    const committedAt = sharedNow();
    const { revision } = await this.#client.apply({
      id: randomUUID(),
      base: this.#base,
      by: "lab",
      why: "",
      change: { teams: [this.#drawn(team)], groups: [] },
      dryRun: false,
    });
    this.#base = revision;
    const delay: ConfigurationDelay = { committedAt, inForceMs: null };
    this.delays.push(delay);
    this.#pending.set(revision, delay);
  }

  #drawn({ name, cpus, cpus_max }: Team): ConfiguredTeam {
    const share = LEAST_LIMIT + (1 - LEAST_LIMIT) * this.draw.random();
    return {
      name,
      limit: { cpus: Math.max(1, Math.floor(cpus_max * share)) },
      guarantee: { cpus: Math.floor(cpus * share) },
      weight: 1 + Math.floor(this.draw.random() * MOST_WEIGHT),
    };
  }

  async #polls(): Promise<void> {
    for (;;) {
      await sleep(this.clock, POLL_MS);
      if (this.#pending.size === 0) continue;
      const view = await this.#client.view().catch(() => null);
      if (view === null) continue;
      const holders = view.controllers.filter(({ parts }) => parts > 0);
      const decided = Math.min(...holders.map(({ revision }) => revision ?? 0));
      const now = sharedNow();
      for (const [revision, delay] of this.#pending) {
        if (revision > decided) continue;
        delay.inForceMs = now - delay.committedAt;
        this.#pending.delete(revision);
      }
    }
  }
}
