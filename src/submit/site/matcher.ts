import {
  type Ad,
  clauses,
  Expression,
  isNumber,
  truth,
  UNDEFINED,
  type Value,
} from "../../classad/index.js";
import type { MachineType } from "../../wire/cloud.js";
import type { JobSpec } from "../../wire/jobs.js";
import { kindAllowed, type MachineKind, type Resources, typeFits } from "../../workers/machine.js";
import { type JobAd, JobAds } from "./job-ads.js";
import {
  catalogueKinds,
  deleteFreeResources,
  type MachineKindAd,
  machineKindAd,
  putFreeResources,
} from "./machine-ads.js";
import type { MachineRule } from "./settings.js";

/** The ad of a machine kind, with the kind's index in each job's `rankByKind`. */
class CachedKind implements MachineKindAd {
  readonly ad: Ad;
  readonly start: Expression | null;
  readonly #type: string;
  readonly #zone: string;
  readonly #spot: boolean;

  constructor(
    { type: name, zone, spot }: MachineKind,
    readonly type: MachineType,
    { ad, start }: MachineKindAd,
    readonly index: number,
    readonly epoch: number,
  ) {
    this.ad = ad;
    this.start = start;
    this.#type = name;
    this.#zone = zone;
    this.#spot = spot;
  }

  describes({ type, zone, spot }: MachineKind): boolean {
    return type === this.#type && zone === this.#zone && spot === this.#spot;
  }
}

const NO_KIND: MachineKind = { type: "", zone: "", spot: false };

/**
 * Most ranks cached for one job ad: machine kinds times the different free resources of their
 * machines.
 */
const MAX_CACHED_RANKS = 4096;

/**
 * Decides which machines a job with expressions may use, and ranks them. Pure except for its caches:
 * an expression is evaluated once for all machines of a type, zone and spot kind, and again only
 * when something that it depends on changes.
 */
export class Matcher {
  readonly #jobAds: JobAds;
  /** By type and zone: the kinds of on-demand and of spot machines. */
  readonly #kinds = new Map<string, Map<string, [CachedKind | null, CachedKind | null]>>();
  #kindCount = 0;
  #types: ReadonlyMap<string, MachineType> | null = null;
  #epoch = 0;
  /** Number of expressions evaluated so far. */
  evaluations = 0;

  constructor(
    readonly rules: readonly MachineRule[],
    readonly zones: readonly string[],
    readonly types: () => ReadonlyMap<string, MachineType>,
    /** The value of `time()`: seconds since the epoch. */
    readonly nowS: () => number,
  ) {
    this.#jobAds = new JobAds(rules);
  }

  /** @throws ClassAdError for text that does not parse */
  jobAd(spec: JobSpec): JobAd {
    return this.#jobAds.of(spec);
  }

  /** Equal for jobs with the same match results on all machines; null if the results change. */
  equivalenceKey(spec: JobSpec): string | null {
    const { dependsOnFreeResources, dependsOnTime, equivalenceKey: name } = this.jobAd(spec);
    return dependsOnFreeResources || dependsOnTime ? null : name;
  }

  /** The cached ad of a machine kind; null if the catalogue does not have its type. */
  kind(on: MachineKind): CachedKind | null {
    const types = this.types();
    if (types !== this.#types) {
      this.#types = types;
      this.#kinds.clear();
      this.#kindCount = 0;
      this.#epoch++;
    }
    // Called for every machine in a scheduling pass.
    const { matcherCache: cached } = on;
    if (cached instanceof CachedKind && cached.epoch === this.#epoch && cached.describes(on))
      return cached;
    const known = this.#kinds.get(on.type)?.get(on.zone)?.[on.spot ? 1 : 0];
    const kind = known ?? this.#newKind(on, types.get(on.type));
    if (cached !== undefined) on.matcherCache = kind;
    return kind;
  }

  #newKind(on: MachineKind, type: MachineType | undefined): CachedKind | null {
    if (type === undefined) return null;
    const kind = new CachedKind(
      on,
      type,
      machineKindAd(on, type, this.rules),
      this.#kindCount++,
      this.#epoch,
    );
    const zones =
      this.#kinds.get(on.type) ?? new Map<string, [CachedKind | null, CachedKind | null]>();
    this.#kinds.set(on.type, zones);
    const pair = zones.get(on.zone) ?? [null, null];
    zones.set(on.zone, pair);
    pair[on.spot ? 1 : 0] = kind;
    return kind;
  }

  /**
   * The job's rank of a machine, or null if it does not match. `free` null: as on an empty machine.
   */
  rank(spec: JobSpec, on: MachineKind, free: Resources | null): number | null {
    return this.rankerFor(spec)(on, free);
  }

  /**
   * A rank function for all machines of a pass, so that work independent of the machine is done
   * once.
   */
  rankerFor(spec: JobSpec): (on: MachineKind, free: Resources | null) => number | null {
    const job = this.jobAd(spec);
    // Detects a changed catalogue.
    this.kind(NO_KIND);
    this.#invalidateIfChanged(job);
    const { rankByKind } = job;
    const epoch = this.#epoch;
    return (on, free) => {
      const { matcherCache: cached } = on;
      const isCurrent =
        cached instanceof CachedKind && cached.epoch === epoch && cached.describes(on);
      const kind = isCurrent ? cached : this.kind(on);
      if (kind === null) return null;
      const known = rankByKind[kind.index];
      return known === undefined ? this.#cachedRank(job, kind, free ?? kind.type) : known;
    };
  }

  #cachedRank(job: JobAd, kind: CachedKind, free: Resources): number | null {
    if (!job.dependsOnFreeResources) {
      putFreeResources(kind.ad, free);
      const kindRank = this.#evaluate(job, kind);
      job.rankByKind[kind.index] = kindRank;
      return kindRank;
    }
    const key = `${kind.index}/${free.cpus}/${free.gpus}/${free.memGb}`;
    let kindRank = job.rankByFreeResources.get(key);
    if (kindRank === undefined) {
      if (job.rankByFreeResources.size >= MAX_CACHED_RANKS) job.rankByFreeResources.clear();
      putFreeResources(kind.ad, free);
      kindRank = this.#evaluate(job, kind);
      job.rankByFreeResources.set(key, kindRank);
    }
    return kindRank;
  }

  /**
   * Clears cached results if the catalogue has changed or, for a job that depends on time, the
   * second.
   */
  #invalidateIfChanged(job: JobAd): void {
    const version = this.#epoch * 2 ** 40 + (job.dependsOnTime ? this.nowS() : 0);
    if (version === job.cacheVersion) return;
    job.cacheVersion = version;
    job.rankByKind = [];
    job.rankByFreeResources.clear();
    job.canMatch = null;
  }

  #value(expression: Expression, my: Ad, target: Ad): Value {
    this.evaluations++;
    return expression.evaluate({ my, target }, { now: this.nowS() }).value;
  }

  #evaluate(job: JobAd, { ad, start }: MachineKindAd): number | null {
    if (job.requirements !== null && truth(this.#value(job.requirements, job.ad, ad)) !== true) {
      return null;
    }
    if (start !== null && truth(this.#value(start, ad, job.ad)) !== true) return null;
    if (job.rank === null) return 0;
    const rank = this.#value(job.rank, job.ad, ad);
    if (typeof rank === "boolean") return rank ? 1 : 0;
    // A rank that is not a number counts as 0, as in HTCondor.
    if (!isNumber(rank) || Number.isNaN(Number(rank))) return 0;
    return Number(rank);
  }

  /**
   * Whether some machine of the catalogue could run a task: when empty, or with other free
   * resources, unless the expressions are certainly FALSE or ERROR whatever is free.
   */
  canMatch(spec: JobSpec): boolean {
    const job = this.jobAd(spec);
    this.kind(NO_KIND);
    this.#invalidateIfChanged(job);
    job.canMatch ??= this.#findMatch(spec, job);
    return job.canMatch;
  }

  #findMatch(spec: JobSpec, job: JobAd): boolean {
    for (const { kind, type } of catalogueKinds(this.types(), this.zones)) {
      if (!kindAllowed(spec, kind) || !typeFits(spec, type)) continue;
      if (this.rank(spec, kind, null) !== null) return true;
      if (job.dependsOnFreeResources && this.#mayMatchWhenPartlyFree(job, this.kind(kind)!))
        return true;
    }
    return false;
  }

  /** Why a job can never match, for its user: the first clause that no machine fulfils. */
  mismatchReason(spec: JobSpec): string {
    const job = this.jobAd(spec);
    const kinds = [...catalogueKinds(this.types(), this.zones)]
      .filter(({ kind, type }) => kindAllowed(spec, kind) && typeFits(spec, type))
      .map(({ kind, type }) => ({ ...this.kind(kind)!, type }));
    const requirementClauses = job.requirements === null ? [] : clauses(job.requirements.node);
    for (const clause of requirementClauses.map((node) => new Expression(node))) {
      const satisfiable = kinds.some(({ ad, type }) => {
        putFreeResources(ad, type);
        return truth(this.#value(clause, job.ad, ad)) === true;
      });
      if (!satisfiable) return `no machine could ever match the requirements: ${clause}`;
    }
    return requirementClauses.length === 0
      ? "all machines refuse it by their own start expression"
      : "no machine could ever match the requirements as a whole";
  }

  /** Whether the expressions may become TRUE with other free resources. */
  #mayMatchWhenPartlyFree(job: JobAd, kind: MachineKindAd): boolean {
    deleteFreeResources(kind.ad);
    const sides: [Expression | null, Ad, Ad][] = [
      [job.requirements, job.ad, kind.ad],
      [kind.start, kind.ad, job.ad],
    ];
    return sides.every(([expression, my, target]) => {
      if (expression === null) return true;
      const value = this.#value(expression, my, target);
      return value === UNDEFINED || truth(value) === true;
    });
  }
}
