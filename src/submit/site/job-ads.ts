import { Ad, ClassAdError, Expression, type Reads, reads } from "../../classad/index.js";
import type { JobSpec, Match } from "../../wire/jobs.js";
import { FREE_RESOURCE_ATTRIBUTES } from "./machine-ads.js";
import type { MachineRule } from "./settings.js";

/** A job's ad and expressions, compiled once for all equivalent jobs, with cached match results. */
export interface JobAd {
  ad: Ad;
  requirements: Expression | null;
  rank: Expression | null;
  /** Whether match results depend on a machine's free resources, or on time. */
  dependsOnFreeResources: boolean;
  dependsOnTime: boolean;
  /** Rank by index of machine kind; null: no match. Cleared when `cacheVersion` changes. */
  rankByKind: (number | null | undefined)[];
  /** The same by kind and free resources, for jobs that depend on them. Also cleared when full. */
  readonly rankByFreeResources: Map<string, number | null>;
  cacheVersion: number;
  /** Whether some kind of machine could match; null: not computed yet. */
  canMatch: boolean | null;
  /** Earliest start, seconds since the epoch; longest run of a task; failures in a row allowed. */
  readonly deferredUntilS: number | null;
  readonly maxRunMs: number | null;
  readonly maxRetries: number | null;
  /** Whether the leader must evaluate it periodically. */
  readonly hasPeriodicChecks: boolean;
  /** Equal for equivalent jobs. Short, since it is part of many keys; never reused. */
  readonly equivalenceKey: string;
}

interface ChangingAttributes {
  attributes: ReadonlySet<string>;
  /** Whether machines' `start` expressions depend on free resources. */
  startDependsOnThem: boolean;
  dependsOnTime: boolean;
}

/**
 * Most ads and expressions cached for later equivalent jobs; the specs of open jobs keep their own.
 * An evicted ad that is compiled again gets another `equivalenceKey`; the only effect is that
 * equivalent jobs are then treated as different.
 */
const MAX_CACHED = 512;
const MB_PER_GB = 1024;

/** Compiled ads of jobs, each kept at least as long as its job's spec is referenced. */
export class JobAds {
  readonly #bySpec = new WeakMap<JobSpec, JobAd>();
  readonly #cache = new Map<string, JobAd>();
  readonly #expressionCache = new Map<string, Expression>();
  #compiledCount = 0;
  #changingAttributes: ChangingAttributes | null = null;

  constructor(readonly rules: readonly MachineRule[]) {}

  /** @throws ClassAdError for text that does not parse */
  of(spec: JobSpec): JobAd {
    let known = this.#bySpec.get(spec);
    if (known !== undefined) return known;
    const match = spec.match!;
    // Everything that match results depend on: machines' `start` expressions read the job's
    // attributes too.
    const { cpus, gpus, memGb, team, spot, zone } = spec;
    const key = JSON.stringify([match, cpus, gpus, memGb, team, spot, zone]);
    known = this.#cache.get(key);
    if (known === undefined) {
      known = this.#compile(match, spec);
      if (this.#cache.size >= MAX_CACHED) this.#cache.delete(this.#cache.keys().next().value!);
      this.#cache.set(key, known);
    }
    this.#bySpec.set(spec, known);
    return known;
  }

  #compile(match: Match, spec: JobSpec): JobAd {
    const ad = match.ad === "" ? new Ad() : Ad.parse(match.ad);
    ad.put("RequestCpus", Number.isInteger(spec.cpus) ? BigInt(spec.cpus) : spec.cpus)
      .put("RequestGPUs", BigInt(Math.round(spec.gpus)))
      .put("RequestMemory", BigInt(Math.round(spec.memGb * MB_PER_GB)))
      .put("Team", spec.team)
      .put("MyType", "Job");
    const requirements = this.#expression(match.requirements);
    const rank = this.#expression(match.rank);
    const changing = this.#findChangingAttributes();
    let dependsOnFreeResources = changing.startDependsOnThem;
    let dependsOnTime = false;
    for (const expression of [requirements, rank]) {
      if (expression === null) continue;
      const { target, time, anything } = expression.reads(ad);
      dependsOnTime ||= time || anything;
      dependsOnFreeResources ||=
        anything || [...target].some((name) => changing.attributes.has(name));
    }
    return {
      ad,
      requirements,
      rank,
      dependsOnFreeResources,
      dependsOnTime: dependsOnTime || changing.dependsOnTime,
      rankByKind: [],
      rankByFreeResources: new Map(),
      cacheVersion: 0,
      canMatch: null,
      deferredUntilS: integerAttribute(ad, "deferraltime"),
      maxRunMs: scaled(integerAttribute(ad, "allowedexecuteduration"), 1000),
      maxRetries: integerAttribute(ad, "jobmaxretries"),
      hasPeriodicChecks: PERIODIC_ATTRIBUTES.some((name) => ad.has(name)),
      equivalenceKey: `a${++this.#compiledCount}`,
    };
  }

  /** Compiles a text once for all jobs of all clusters that have it. */
  #expression(text: string): Expression | null {
    if (text === "") return null;
    let known = this.#expressionCache.get(text);
    if (known === undefined) {
      known = Expression.parse(text);
      if (this.#expressionCache.size >= MAX_CACHED) {
        this.#expressionCache.delete(this.#expressionCache.keys().next().value!);
      }
      this.#expressionCache.set(text, known);
    }
    return known;
  }

  /**
   * Machine attributes that depend on free resources, directly or through operators' attributes in
   * any rule. Computed once, since rules do not change.
   */
  #findChangingAttributes(): ChangingAttributes {
    if (this.#changingAttributes !== null) return this.#changingAttributes;
    const names = new Set(FREE_RESOURCE_ATTRIBUTES);
    const operatorAttributes = this.rules.flatMap((rule) =>
      [...rule.attributes.attributes()].map(({ key, node }) => ({ key, ...reads(node, null) })),
    );
    const isChanging = ({ target, anything }: Pick<Reads, "target" | "anything">): boolean =>
      anything || [...target].some((name) => names.has(name));
    for (let previousSize = 0; previousSize < names.size; ) {
      previousSize = names.size;
      for (const one of operatorAttributes) if (isChanging(one)) names.add(one.key);
    }
    const startReads = this.rules.flatMap(({ start }) =>
      start === null ? [] : [reads(start.node, null)],
    );
    this.#changingAttributes = {
      attributes: names,
      startDependsOnThem: startReads.some(isChanging),
      dependsOnTime: [...operatorAttributes, ...startReads].some(({ time }) => time),
    };
    return this.#changingAttributes;
  }
}

/** Attributes of a job that the leader evaluates periodically. */
const PERIODIC_ATTRIBUTES = ["PeriodicRemove", "PeriodicHold", "PeriodicRelease", "DeferralWindow"];

function integerAttribute(ad: Ad, key: string): number | null {
  const node = ad.get(key)?.node;
  return node?.kind === "literal" && typeof node.value === "bigint" ? Number(node.value) : null;
}

const scaled = (value: number | null, by: number): number | null =>
  value === null ? null : value * by;

/** The first error in a job's ad or expressions; null if all parse and all functions exist. */
export function matchError(match: Match): string | null {
  const texts = { ad: match.ad, requirements: match.requirements, rank: match.rank };
  for (const [field, text] of Object.entries(texts)) {
    if (text === "") continue;
    try {
      const nodes =
        field === "ad"
          ? [...Ad.parse(text).attributes()].map(({ node }) => new Expression(node))
          : [Expression.parse(text)];
      for (const node of nodes) {
        const [unknown] = node.reads().unknownFunctions;
        if (unknown !== undefined) return `${field}: no function ${unknown}`;
      }
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      return `${field}: ${error.message}`;
    }
  }
  return null;
}
