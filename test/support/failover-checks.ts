import assert from "node:assert/strict";
import { parseOperators } from "../../src/settings/operators.js";
import { type FailoverResult, TEAMS } from "./failover.js";
import { settingsFor } from "./platform-settings.js";

export const LEASE_MS = 12_000;
const loaded = await parseOperators(
  [{ file: "f", text: "suspicion {}" }],
  settingsFor(0, 1, TEAMS),
);
export const operators = () => loaded;

interface FailoverBounds {
  /** Time until a new claim, as a share of the workers' lease. */
  claim: number;
  /** Time until the new owner answers its first report, as a share of the workers' lease. */
  answer: number;
  /** Count of workers whose lease may end nevertheless; 0 by default. */
  ended?: number;
}

const CRASH = { claim: 1 / 6, answer: 1 / 4 };
// Workers wait 4 s for an answer and 1 s more before they turn to another controller.
const SILENCE = { claim: 1 / 4 + 1 / 24, answer: 1 / 4 + 1 / 24 + 5000 / LEASE_MS };
const NO_TAKEOVER: FailoverBounds = { claim: 0, answer: 0 };
const BOUNDS: Record<string, FailoverBounds> = {
  "crash of one": CRASH,
  "crash of one, back at once": { claim: 1 / 8, answer: 1 / 6 },
  "crash of two": { claim: 1 / 4, answer: 1 / 3 },
  "crash of all but one": SILENCE,
  "crash of all": { claim: 1 / 2, answer: 1 / 2 + 1 / 6 },
  "restart one after the other": CRASH,
  "frozen for 5 s": SILENCE,
  "frozen for a minute": SILENCE,
  "cut from the network": SILENCE,
  "cut from the store": SILENCE,
  "refused by the store": SILENCE,
  "cut from its workers": { claim: 1 / 2, answer: 1 / 2 + 1 / 24 },
  // Its workers get no answer, and other controllers redirect them to it. Only then do they count as
  // witnesses, and each waits for it once more before it finds the new owner.
  "cut from its workers one way": { claim: 2 / 3, answer: 1, ended: 1 },
  "reached by nobody but the store": { claim: 1 / 2, answer: 1 / 2 + 1 / 24 },
  "a crash loop": { claim: 1 / 4, answer: 1 / 3 },
};

/**
 * Checks the result of a fault, and with `alone` also how soon the affected parts are served again.
 * `searchMs`: extra time for workers to find the only controller left: they try the others first, a
 * second each.
 */
export function checkFailover(
  fault: string,
  result: FailoverResult,
  alone: boolean,
  searchMs = 0,
): void {
  assert.deepEqual(result.violations, []);
  assert.deepEqual(result.unfinished, []);
  if (!alone) return;
  const { claim, answer, ended = 0 } = BOUNDS[fault] ?? NO_TAKEOVER;
  for (const ms of result.claimed)
    assert.ok(ms !== null && ms <= claim * LEASE_MS, `claimed after ${ms}`);
  for (const ms of result.answered)
    assert.ok(ms !== null && ms <= answer * LEASE_MS + searchMs, `answered after ${ms}`);
  if (searchMs === 0)
    assert.ok(result.leasesEnded <= ended, `${result.leasesEnded} workers' leases ended`);
  // The successor learns from the watch that a part is unowned, and knows that it ranks first.
  if (!fault.startsWith("crash of all")) {
    assert.ok(result.ownerlessMs < LEASE_MS / 64, `no owner for ${result.ownerlessMs} ms`);
  }
  // A controller that serves is not judged failed: a fault that affects no service moves no part.
  if (result.claimed.length === 0) assert.equal(result.moves, 0, "a part moved");
}
