import {
  Ad,
  ClassAdError,
  clauses,
  Expression,
  isNumber,
  truth,
  UNDEFINED,
  type Value,
} from "../../classad/index.js";
import type { MachineType } from "../../wire/cloud.js";
import type { JobSpec, Match } from "../../wire/jobs.js";
import { allowed, type MachineKind, type Room, typeFits } from "../../workers/machine.js";
import { CHANGING, dropRoom, type KindAd, kindAd, kindsOf, putRoom } from "./kinds.js";
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
}

/** A kind's ad, with a number that is its place in what is kept for each job. */
class Kind implements KindAd {
  readonly ad: Ad;
  readonly start: Expression | null;
  readonly #type: string;
  readonly #zone: string;
  readonly #spot: boolean;

  constructor(
    { type: name, zone, spot }: MachineKind,
    readonly type: MachineType,
    { ad, start }: KindAd,
    readonly number: number,
    readonly epoch: number,
  ) {
    this.ad = ad;
    this.start = start;
    this.#type = name;
    this.#zone = zone;
    this.#spot = spot;
  }

  is({ type, zone, spot }: MachineKind): boolean {
    return type === this.#type && zone === this.#zone && spot === this.#spot;
  }
}

const NOWHERE: MachineKind = { type: "", zone: "", spot: false };

/** Answers kept for one job's ad: kinds, times the rooms that their machines have at a time. */
const MOST_ANSWERS = 4096;
/** Ads and expressions that are kept for the next job that is alike; live jobs keep their own. */
const MOST_KEPT = 512;
const MB_PER_GB = 1024;

/**
 * Says which machines a job with expressions may use and how much it likes them. Pure but for what
 * it keeps: an expression is evaluated once for all machines of a type, zone and kind, and again
 * only for what changes.
 */
export class Matcher {
  readonly #bySpec = new WeakMap<JobSpec, JobAd>();
  readonly #ads = new Map<string, JobAd>();
  readonly #expressions = new Map<string, Expression>();
  /** By type and zone: of machines that stay, and of those that the cloud may take. */
  readonly #kinds = new Map<string, Map<string, [Kind | null, Kind | null]>>();
  #numbers = 0;
  #types: ReadonlyMap<string, MachineType> | null = null;
  #epoch = 0;
  readonly #likes = new WeakMap<Match, string | null>();
  readonly #names = new Map<string, string>();
  #named = 0;
  /** How many expressions have been evaluated. */
  evaluations = 0;

  constructor(
    readonly rules: readonly MachineRule[],
    readonly zones: readonly string[],
    readonly types: () => ReadonlyMap<string, MachineType>,
    /** Seconds since the epoch, as `time()` says it. */
    readonly now: () => number,
  ) {}

  /** @throws ClassAdError for text that does not parse */
  jobAd(spec: JobSpec): JobAd {
    let known = this.#bySpec.get(spec);
    if (known !== undefined) return known;
    const match = spec.match!;
    const key = JSON.stringify([
      match,
      spec.cpus,
      spec.gpus,
      spec.memGb,
      spec.team,
      spec.spot,
      spec.zone,
    ]);
    known = this.#ads.get(key);
    if (known === undefined) {
      known = this.#compile(match, spec);
      if (this.#ads.size >= MOST_KEPT) this.#ads.delete(this.#ads.keys().next().value!);
      this.#ads.set(key, known);
    }
    this.#bySpec.set(spec, known);
    return known;
  }

  /**
   * The same for jobs that all machines answer alike; null when the answer changes. What a job asks
   * of a machine's size is compared beside it.
   */
  likeOf(match: Match): string | null {
    let like = this.#likes.get(match);
    if (like === undefined) {
      const probe = this.#probe(match);
      const text = JSON.stringify([match.ad, match.requirements, match.rank]);
      // A short name, since it becomes part of many keys.
      like = probe.byRoom || probe.byTime ? null : this.#nameOf(text);
      this.#likes.set(match, like);
    }
    return like;
  }

  #nameOf(text: string): string {
    let name = this.#names.get(text);
    if (name === undefined) {
      // Names are never given out twice, so forgetting some only tells alike jobs apart.
      if (this.#names.size >= MOST_KEPT) this.#names.delete(this.#names.keys().next().value!);
      name = `m${++this.#named}`;
      this.#names.set(text, name);
    }
    return name;
  }

  #probe(match: Match): JobAd {
    return this.#compile(match, { cpus: 0, gpus: 0, memGb: 0, team: "" } as JobSpec);
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

  /** Attributes of machines that change with their room, also through what operators say. */
  #changing(): { names: ReadonlySet<string>; start: boolean; time: boolean } {
    const names = new Set(CHANGING);
    let start = false;
    let time = false;
    for (const rule of this.rules) {
      for (const { key, node } of rule.attributes.attributes()) {
        const found = new Expression(node).reads(rule.attributes);
        // What asks the job about itself is the job's, and does not change.
        if (found.anything || [...found.target].some((name) => CHANGING.has(name))) names.add(key);
        time ||= found.time;
      }
    }
    for (const rule of this.rules) {
      if (rule.start === null) continue;
      const found = rule.start.reads(rule.attributes);
      start ||= found.anything || [...found.target, ...found.my].some((name) => names.has(name));
      time ||= found.time;
    }
    return { names, start, time };
  }

  /** The ad of a kind of machine; null for a type that the catalogue does not have. */
  kind(on: MachineKind): Kind | null {
    const types = this.types();
    if (types !== this.#types) {
      this.#types = types;
      this.#kinds.clear();
      this.#numbers = 0;
      this.#epoch++;
    }
    // Asked for every machine in a pass.
    const { slot } = on;
    if (slot instanceof Kind && slot.epoch === this.#epoch && slot.is(on)) return slot;
    const known = this.#kinds.get(on.type)?.get(on.zone)?.[on.spot ? 1 : 0];
    const kind = known ?? this.#newKind(on, types.get(on.type));
    if (slot !== undefined) on.slot = kind;
    return kind;
  }

  #newKind(on: MachineKind, type: MachineType | undefined): Kind | null {
    if (type === undefined) return null;
    const kind = new Kind(on, type, kindAd(on, type, this.rules), this.#numbers++, this.#epoch);
    const zones = this.#kinds.get(on.type) ?? new Map<string, [Kind | null, Kind | null]>();
    this.#kinds.set(on.type, zones);
    const pair = zones.get(on.zone) ?? [null, null];
    zones.set(on.zone, pair);
    pair[on.spot ? 1 : 0] = kind;
    return kind;
  }

  /** The machine's whole room when `room` is null. Null: not there; else the rank. */
  rank(spec: JobSpec, on: MachineKind, room: Room | null): number | null {
    return this.ranking(spec)(on, room);
  }

  /** For all machines of a pass: what does not depend on the machine is found once. */
  ranking(spec: JobSpec): (on: MachineKind, room: Room | null) => number | null {
    const job = this.jobAd(spec);
    // Notices when the catalogue has changed.
    this.kind(NOWHERE);
    this.#refresh(job);
    const { answers } = job;
    const epoch = this.#epoch;
    return (on, room) => {
      const { slot } = on;
      const here = slot instanceof Kind && slot.epoch === epoch && slot.is(on);
      const kind = here ? slot : this.kind(on);
      if (kind === null) return null;
      const known = answers[kind.number];
      return known === undefined ? this.#ask(job, kind, room ?? kind.type) : known;
    };
  }

  #ask(job: JobAd, kind: Kind, free: Room): number | null {
    if (!job.byRoom) {
      putRoom(kind.ad, free);
      const answer = this.#evaluate(job, kind);
      job.answers[kind.number] = answer;
      return answer;
    }
    const key = `${kind.number}/${free.cpus}/${free.gpus}/${free.memGb}`;
    let answer = job.byRoomAnswers.get(key);
    if (answer === undefined) {
      if (job.byRoomAnswers.size >= MOST_ANSWERS) job.byRoomAnswers.clear();
      putRoom(kind.ad, free);
      answer = this.#evaluate(job, kind);
      job.byRoomAnswers.set(key, answer);
    }
    return answer;
  }

  /** What was found from other types, or in another second, is found anew. */
  #refresh(job: JobAd): void {
    const at = this.#epoch + (job.byTime ? this.now() : 0);
    if (at === job.answersAt) return;
    job.answersAt = at;
    job.answers = [];
    job.byRoomAnswers.clear();
    job.prospect = null;
  }

  #value(expression: Expression, my: Ad, target: Ad): Value {
    this.evaluations++;
    return expression.evaluate({ my, target }, { now: this.now() }).value;
  }

  #evaluate(job: JobAd, { ad, start }: KindAd): number | null {
    if (job.requirements !== null && truth(this.#value(job.requirements, job.ad, ad)) !== true) {
      return null;
    }
    if (start !== null && truth(this.#value(start, ad, job.ad)) !== true) return null;
    if (job.rank === null) return 0;
    const rank = this.#value(job.rank, job.ad, ad);
    if (typeof rank === "boolean") return rank ? 1 : 0;
    // What is not a number counts 0, as HTCondor has it.
    if (!isNumber(rank) || Number.isNaN(Number(rank))) return 0;
    return Number(rank);
  }

  /**
   * Whether some machine of the catalogue could take a task: as it comes, or with some other room,
   * that is, where it is not certain that the expressions are FALSE or ERROR whatever is free.
   */
  prospect(spec: JobSpec): boolean {
    const job = this.jobAd(spec);
    this.kind(NOWHERE);
    this.#refresh(job);
    job.prospect ??= this.#prospect(spec, job);
    return job.prospect;
  }

  #prospect(spec: JobSpec, job: JobAd): boolean {
    for (const { kind, type } of kindsOf(this.types(), this.zones)) {
      if (!allowed(spec, kind) || !typeFits(spec, type)) continue;
      if (this.rank(spec, kind, null) !== null) return true;
      if (job.byRoom && this.#open(job, this.kind(kind)!)) return true;
    }
    return false;
  }

  /** For whoever handed in a job without prospect: the first clause that no machine fulfils. */
  whyNever(spec: JobSpec): string {
    const job = this.jobAd(spec);
    const kinds = [...kindsOf(this.types(), this.zones)]
      .filter(({ kind, type }) => allowed(spec, kind) && typeFits(spec, type))
      .map(({ kind, type }) => ({ ...this.kind(kind)!, type }));
    const parts = job.requirements === null ? [] : clauses(job.requirements.node);
    for (const part of parts.map((node) => new Expression(node))) {
      const met = kinds.some(({ ad, type }) => {
        putRoom(ad, type);
        return truth(this.#value(part, job.ad, ad)) === true;
      });
      if (!met) return `no machine could ever match the requirements: ${part}`;
    }
    return parts.length === 0
      ? "all machines refuse it by their own start expression"
      : "no machine could ever match the requirements as a whole";
  }

  /** Whether the answer may become TRUE with another room. */
  #open(job: JobAd, kind: KindAd): boolean {
    dropRoom(kind.ad);
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
