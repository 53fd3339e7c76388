import type { Timing } from "./settings.js";

/** Aspects of a controller's own state that make its observations of others less reliable. */
export interface LocalHealth {
  /** Worst delay of its own timers over about the time that a suspect has to refute, milliseconds. */
  timerDelayMs: number;
  /** Time since its last confirmed contact with the state service, milliseconds. */
  storeContactAgeMs: number;
  /** Whether its lease certainly has not expired. */
  leaseValid: boolean;
  /** Whether it has answered a report recently in each part that has machines. */
  answersReports: boolean;
}

/**
 * Local health score (after Dadgar et al., "Lifeguard", 2017): 0 is healthy, and each point adds the
 * base silence timeout once more. From 2 points on a controller accuses nobody: another's apparent
 * silence may be caused by its own failure to receive.
 */
export function localHealthScore(own: LocalHealth, timing: Timing): number {
  let score = 0;
  if (own.timerDelayMs > timing.heartbeatMs / 2) score++;
  if (own.timerDelayMs > timing.heartbeatMs * 2) score += 2;
  if (own.storeContactAgeMs > timing.reportIntervalMs) score += 2;
  if (!own.leaseValid) score += 2;
  if (!own.answersReports) score++;
  return score;
}

export const canAccuse = (healthScore: number): boolean => healthScore < 2;

/** The worst delay of this process's timers over a time window, kept in slots of a quarter of it. */
export class WorstTimerDelay {
  readonly #worst: number[] = [0, 0, 0, 0];
  #slot = 0;

  constructor(readonly windowMs: number) {}

  /** Records that a timer fired this late. */
  record(now: number, lateMs: number): void {
    const slot = Math.floor(now / (this.windowMs / 4));
    for (let at = this.#slot + 1; at <= slot && at <= this.#slot + 4; at++) this.#worst[at % 4] = 0;
    this.#slot = slot;
    this.#worst[slot % 4] = Math.max(this.#worst[slot % 4]!, lateMs);
  }

  worst(): number {
    return Math.max(...this.#worst);
  }
}
