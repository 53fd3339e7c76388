import { Ad, ClassAdError, Expression, type Reads, reads } from "../../classad/index.js";
import type { JobSpec, Match } from "../../wire/jobs.js";
import { CHANGING } from "./kinds.js";
import type { MachineRule } from "./settings.js";

/** A job's side of matching, compiled once for all jobs that are alike in it. */
export interface JobAd {
  ad: Ad;
  requirements: Expression | null;
  rank: Expression | null;
  /** Whether answers change with what is free on a machine, or with time. */
  byRoom: boolean;
  byTime: boolean;
  /** By the kind's number. Emptied when what it was found from changes. */
  answers: (number | null | undefined)[];
  /** The same by kind and room, where answers depend on it. Emptied when it is full. */
  readonly byRoomAnswers: Map<string, number | null>;
  answersAt: number;
  /** Whether some kind of machine could take it; null when that has to be found. */
  prospect: boolean | null;
  /** Not before this moment, seconds since the epoch; for how long a task may run; failures. */
  readonly after: number | null;
  readonly mostMs: number | null;
  readonly retries: number | null;
  /** Whether the leader has to look at it now and then. */
  readonly watched: boolean;
  /** Short, since it becomes part of many keys. Never given to another one. */
  readonly name: string;
}

interface Changing {
  names: ReadonlySet<string>;
  /** Whether machines' own expressions change with their room. */
  start: boolean;
  time: boolean;
}

/**
 * Ads and expressions that are kept for the next job that is alike; live jobs keep their own. One that
 * is compiled anew has another name, which only tells alike jobs apart.
 */
const MOST_KEPT = 512;
const MB_PER_GB = 1024;

/** The ads of jobs, compiled, each kept as long as its job lives. */
export class JobAds {
  readonly #bySpec = new WeakMap<JobSpec, JobAd>();
  readonly #ads = new Map<string, JobAd>();
  readonly #expressions = new Map<string, Expression>();
  #named = 0;
  #found: Changing | null = null;

  constructor(readonly rules: readonly MachineRule[]) {}

  /** @throws ClassAdError for text that does not parse */
  of(spec: JobSpec): JobAd {
    let known = this.#bySpec.get(spec);
    if (known !== undefined) return known;
    const match = spec.match!;
    // All that machines' answers depend on: their own expressions read the job's as well.
    const { cpus, gpus, memGb, team, spot, zone } = spec;
    const key = JSON.stringify([match, cpus, gpus, memGb, team, spot, zone]);
    known = this.#ads.get(key);
    if (known === undefined) {
      known = this.#compile(match, spec);
      if (this.#ads.size >= MOST_KEPT) this.#ads.delete(this.#ads.keys().next().value!);
      this.#ads.set(key, known);
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
    const changing = this.#changing();
    let byRoom = changing.start;
    let byTime = false;
    for (const expression of [requirements, rank]) {
      if (expression === null) continue;
      const { target, time, anything } = expression.reads(ad);
      byTime ||= time || anything;
      byRoom ||= anything || [...target].some((name) => changing.names.has(name));
    }
    return {
      ad,
      requirements,
      rank,
      byRoom,
      byTime: byTime || changing.time,
      answers: [],
      byRoomAnswers: new Map(),
      answersAt: 0,
      prospect: null,
      after: wholeIn(ad, "deferraltime"),
      mostMs: scaled(wholeIn(ad, "allowedexecuteduration"), 1000),
      retries: wholeIn(ad, "jobmaxretries"),
      watched: WATCHED.some((name) => ad.has(name)),
      name: `a${++this.#named}`,
    };
  }

  /** Compiled once for all jobs with the text, of whatever cluster. */
  #expression(text: string): Expression | null {
    if (text === "") return null;
    let known = this.#expressions.get(text);
    if (known === undefined) {
      known = Expression.parse(text);
      if (this.#expressions.size >= MOST_KEPT) {
        this.#expressions.delete(this.#expressions.keys().next().value!);
      }
      this.#expressions.set(text, known);
    }
    return known;
  }

  /**
   * Attributes of machines that change with their room, also through what operators say of them, in
   * whatever rule: found once, since rules do not change.
   */
  #changing(): Changing {
    if (this.#found !== null) return this.#found;
    const names = new Set(CHANGING);
    const said = this.rules.flatMap((rule) =>
      [...rule.attributes.attributes()].map(({ key, node }) => ({ key, ...reads(node, null) })),
    );
    const changes = ({ target, anything }: Pick<Reads, "target" | "anything">): boolean =>
      anything || [...target].some((name) => names.has(name));
    for (let before = 0; before < names.size; ) {
      before = names.size;
      for (const one of said) if (changes(one)) names.add(one.key);
    }
    const starts = this.rules.flatMap(({ start }) =>
      start === null ? [] : [reads(start.node, null)],
    );
    this.#found = {
      names,
      start: starts.some(changes),
      time: [...said, ...starts].some(({ time }) => time),
    };
    return this.#found;
  }
}

/** Attributes of a job that the leader acts on. */
const WATCHED = ["PeriodicRemove", "PeriodicHold", "PeriodicRelease", "DeferralWindow"];

function wholeIn(ad: Ad, key: string): number | null {
  const node = ad.get(key)?.node;
  return node?.kind === "literal" && typeof node.value === "bigint" ? Number(node.value) : null;
}

const scaled = (value: number | null, by: number): number | null =>
  value === null ? null : value * by;

/** What is wrong with a job's texts; null when all of them parse and all functions exist. */
export function faultOf(match: Match): string | null {
  const texts = { ad: match.ad, requirements: match.requirements, rank: match.rank };
  for (const [field, text] of Object.entries(texts)) {
    if (text === "") continue;
    try {
      const nodes =
        field === "ad"
          ? [...Ad.parse(text).attributes()].map(({ node }) => new Expression(node))
          : [Expression.parse(text)];
      for (const node of nodes) {
        const [unknown] = node.reads().unknown;
        if (unknown !== undefined) return `${field}: no function ${unknown}`;
      }
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      return `${field}: ${error.message}`;
    }
  }
  return null;
}
