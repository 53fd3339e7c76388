import type { Timing } from "./settings.js";

/** What a controller knows of its own state that makes it a worse witness about others. */
export interface Own {
  /** How late its own timers were, at worst in the time that a suspect has, milliseconds. */
  lateMs: number;
  /** Age of its last proof of contact with the state service. */
  contactMs: number;
  /** Whether its lease certainly holds. */
  valid: boolean;
  /** Whether it answered a report lately, or has no machines to answer. */
  answers: boolean;
}

/**
 * How far a controller's word about others counts (local health, after Dadgar et al., "Lifeguard",
 * 2017): 0 well, each point stretches its patience with others by once more. From 2 on it accuses
 * nobody: what it takes for another's silence may be its own deafness.
 */
export function ailing(own: Own, timing: Timing): number {
  let points = 0;
  if (own.lateMs > timing.beatMs / 2) points++;
  if (own.lateMs > timing.beatMs * 2) points += 2;
  if (own.contactMs > timing.reportMs) points += 2;
  if (!own.valid) points += 2;
  if (!own.answers) points++;
  return points;
}

export const fitToAccuse = (points: number): boolean => points < 2;

/** How late this process's own timers are: the worst over a while, in slots of a fourth of it. */
export class Lateness {
  readonly #worst: number[] = [0, 0, 0, 0];
  #slot = 0;

  constructor(readonly overMs: number) {}

  /** A timer that was due came this late. */
  note(now: number, lateMs: number): void {
    const slot = Math.floor(now / (this.overMs / 4));
    for (let at = this.#slot + 1; at <= slot && at <= this.#slot + 4; at++) this.#worst[at % 4] = 0;
    this.#slot = slot;
    this.#worst[slot % 4] = Math.max(this.#worst[slot % 4]!, lateMs);
  }

  worst(): number {
    return Math.max(...this.#worst);
  }
}
