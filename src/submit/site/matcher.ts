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
import { dropRoom, type KindAd, kindAd, kindsOf, putRoom } from "./kinds.js";
import type { MachineRule } from "./settings.js";

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

/**
 * Says which machines a job with expressions may use and how much it likes them. Pure but for what
 * it keeps: an expression is evaluated once for all machines of a type, zone and kind, and again
 * only for what changes.
 */
export class Matcher {
  readonly #jobs: JobAds;
  /** By type and zone: of machines that stay, and of those that the cloud may take. */
  readonly #kinds = new Map<string, Map<string, [Kind | null, Kind | null]>>();
  #numbers = 0;
  #types: ReadonlyMap<string, MachineType> | null = null;
  #epoch = 0;
  /** How many expressions have been evaluated. */
  evaluations = 0;

  constructor(
    readonly rules: readonly MachineRule[],
    readonly zones: readonly string[],
    readonly types: () => ReadonlyMap<string, MachineType>,
    /** Seconds since the epoch, as `time()` says it. */
    readonly now: () => number,
  ) {
    this.#jobs = new JobAds(rules);
  }

  /** @throws ClassAdError for text that does not parse */
  jobAd(spec: JobSpec): JobAd {
    return this.#jobs.of(spec);
  }

  /** The same for jobs that all machines answer alike; null when the answer changes. */
  likeOf(spec: JobSpec): string | null {
    const { byRoom, byTime, name } = this.jobAd(spec);
    return byRoom || byTime ? null : name;
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
    const { matcherCache: slot } = on;
    if (slot instanceof Kind && slot.epoch === this.#epoch && slot.is(on)) return slot;
    const known = this.#kinds.get(on.type)?.get(on.zone)?.[on.spot ? 1 : 0];
    const kind = known ?? this.#newKind(on, types.get(on.type));
    if (slot !== undefined) on.matcherCache = kind;
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
  rank(spec: JobSpec, on: MachineKind, room: Resources | null): number | null {
    return this.ranking(spec)(on, room);
  }

  /** For all machines of a pass: what does not depend on the machine is found once. */
  ranking(spec: JobSpec): (on: MachineKind, room: Resources | null) => number | null {
    const job = this.jobAd(spec);
    // Notices when the catalogue has changed.
    this.kind(NOWHERE);
    this.#refresh(job);
    const { answers } = job;
    const epoch = this.#epoch;
    return (on, room) => {
      const { matcherCache: slot } = on;
      const here = slot instanceof Kind && slot.epoch === epoch && slot.is(on);
      const kind = here ? slot : this.kind(on);
      if (kind === null) return null;
      const known = answers[kind.number];
      return known === undefined ? this.#ask(job, kind, room ?? kind.type) : known;
    };
  }

  #ask(job: JobAd, kind: Kind, free: Resources): number | null {
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
    const at = this.#epoch * 2 ** 40 + (job.byTime ? this.now() : 0);
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
      if (!kindAllowed(spec, kind) || !typeFits(spec, type)) continue;
      if (this.rank(spec, kind, null) !== null) return true;
      if (job.byRoom && this.#open(job, this.kind(kind)!)) return true;
    }
    return false;
  }

  /** For whoever handed in a job without prospect: the first clause that no machine fulfils. */
  whyNever(spec: JobSpec): string {
    const job = this.jobAd(spec);
    const kinds = [...kindsOf(this.types(), this.zones)]
      .filter(({ kind, type }) => kindAllowed(spec, kind) && typeFits(spec, type))
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
