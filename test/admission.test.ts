import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Admission } from "../src/state/admission.js";
import { FakeClock } from "./support/clock.js";
import { Random } from "./support/random.js";

/** Every name retries about every 5 s until the end. Gives the longest time one was not admitted, ms. */
async function longestWait(rate: number, names: number, seed: number, oneTimeRate = 0) {
  const clock = new FakeClock();
  const random = new Random(seed);
  const admission = new Admission(rate, clock);
  const admittedAt = new Map<string, number>();
  let longestMs = 0;
  let admitted = 0;
  const ask = (name: string): void => {
    if (admission.admit(name)) {
      admitted++;
      longestMs = Math.max(longestMs, clock.now() - (admittedAt.get(name) ?? 0));
      admittedAt.set(name, clock.now());
    }
    clock.after(random.int(4000, 6000), () => ask(name));
  };
  for (let n = 0; n < names; n++) {
    admittedAt.set(`j${n}`, 0);
    clock.after(random.int(0, 5000), () => ask(`j${n}`));
  }
  // Other requests each use a new name once and are never retried.
  let oneTimeNames = 0;
  const requestOnce = (): void => {
    admission.admit(`x${oneTimeNames++}`);
    clock.after(1000 / oneTimeRate, requestOnce);
  };
  if (oneTimeRate > 0) requestOnce();
  await clock.run(120_000);
  for (const at of admittedAt.values()) longestMs = Math.max(longestMs, 120_000 - at);
  return { longestMs, admitted, waiting: admission.waiting };
}

const loads = [
  { name: "within the rate limit", rate: 12, names: 50, oneTimeRate: 0, maxMs: 6500 },
  { name: "four times the rate limit", rate: 12, names: 240, oneTimeRate: 0, maxMs: 40_000 },
  { name: "eight times the rate limit", rate: 12, names: 480, oneTimeRate: 0, maxMs: 60_000 },
  {
    name: "with a flood of requests that are not retried",
    rate: 12,
    names: 100,
    oneTimeRate: 300,
    maxMs: 30_000,
  },
];
for (const { name, rate, names, oneTimeRate, maxMs } of loads) {
  test(`admission: no name waits longer than its bound, ${name}`, async () => {
    const { longestMs, admitted, waiting } = await longestWait(rate, names, 3, oneTimeRate);
    assert.ok(longestMs <= maxMs, `one name was not admitted for ${longestMs} ms`);
    // The rate limit is used, and not exceeded.
    const requested = (names * 120) / 5;
    assert.ok(admitted >= Math.min(requested * 0.9, rate * 120 * 0.45), `${admitted} admitted`);
    assert.ok(admitted <= rate * 122, `${admitted} admitted`);
    assert.ok(waiting <= 4096);
  });
}

test("admission: of two names that retry equally often, the one refused first is admitted first", () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 30 }), fc.integer({ min: 1, max: 5 }), (count, rate) => {
      const clock = new FakeClock();
      const admission = new Admission(rate, clock);
      while (admission.admit("uses up the burst"));
      const names = Array.from({ length: count }, (_, n) => `j${n}`);
      const admitted: string[] = [];
      for (let round = 0; round < 200 && admitted.length < count; round++) {
        for (const name of names) {
          if (!admitted.includes(name) && admission.admit(name)) admitted.push(name);
        }
        void clock.run(100);
      }
      for (const [place, name] of admitted.entries()) {
        assert.ok(place >= names.indexOf(name) - Math.max(1, 2 * rate), `${name} at ${place}`);
      }
    }),
    { numRuns: 30 },
  );
});
