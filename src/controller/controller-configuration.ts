/** The configuration of one controller: follows published revisions and creates new ones. */
import {
  Author,
  type BaseConfiguration,
  configurationRouter,
  type EffectiveConfiguration,
  LiveConfiguration,
} from "../configuration/index.js";
import type { Core, Extension } from "../extension/index.js";
import type { Amounts } from "../fair/share.js";
import type { Router } from "../http/server.js";
import type { Tuning } from "../settings/tuning.js";

export class ControllerConfiguration {
  readonly live: LiveConfiguration;
  readonly find: Router["find"];
  /**
   * Teams that packages define, with the most they may use; the configuration sets no limit for
   * them.
   */
  readonly #packageTeams: ReadonlyMap<string, Amounts>;

  constructor(
    core: Core,
    tuning: Tuning,
    extensions: readonly Extension[],
    changed: (effective: EffectiveConfiguration) => void,
  ) {
    const { settings, mirror, store, clock, log, claims } = core;
    const { teams, workers } = settings.params;
    const reportMs = workers.report_s * 1000;
    this.#packageTeams = new Map(
      extensions.flatMap((extension) => extension.teams.map(({ name, most }) => [name, most])),
    );
    const guests = [...this.#packageTeams.keys()];
    const base: BaseConfiguration = { teams, packageTeams: guests, groups: tuning.groups };
    this.live = new LiveConfiguration({
      base,
      mirror,
      store,
      clock,
      log,
      node: settings.node_name,
      run: claims.run,
      lease: () => claims.lease(),
      missingPiecesTimeoutMs: workers.lease_s * 1000,
      publishIntervalMs: reportMs / 4,
      onChange: changed,
    });
    const author = new Author(core, this.live, base, () => totalCpuCapacity(core));
    this.find = configurationRouter(core, this.live, author);
  }

  /** The most that a team may use; undefined for an unknown team. */
  maxUse(team: string): Amounts | undefined {
    return this.live.limits.get(team) ?? this.#packageTeams.get(team);
  }

  /** Names of all teams, those of packages included. */
  get teams(): ReadonlySet<string> {
    return new Set([...this.live.limits.keys(), ...this.#packageTeams.keys()]);
  }

  hasGuarantee(team: string): boolean {
    const { cpus, gpus } = this.live.effective.guarantees.get(team) ?? { cpus: 0, gpus: 0 };
    return cpus + gpus > 0;
  }
}

/**
 * CPUs of all machines that take tasks; null while no part has reported any. Summaries do not
 * contain the number of GPUs, so GPUs are taken as unlimited.
 */
function totalCpuCapacity({ summaries }: Core): Amounts | null {
  let cpus = 0;
  for (const [, { kinds }] of summaries.all()) for (const { capacity } of kinds) cpus += capacity;
  return cpus === 0 ? null : { cpus, gpus: Number.POSITIVE_INFINITY };
}
