import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Admission } from "../src/state/admission.js";
import { FakeClock } from "./support/clock.js";
import { Random } from "./support/random.js";

/** Everybody asks every 5 s or so until the end; the longest that one of them went without passing, ms. */
async function longest(rate: number, names: number, seed: number, strangers = 0) {
  const clock = new FakeClock();
  const dice = new Random(seed);
  const admission = new Admission(rate, clock);
  const passedAt = new Map<string, number>();
  let worst = 0;
  let passed = 0;
  const ask = (name: string): void => {
    if (admission.admit(name)) {
      passed++;
      worst = Math.max(worst, clock.now() - (passedAt.get(name) ?? 0));
      passedAt.set(name, clock.now());
    }
    clock.after(dice.int(4000, 6000), () => ask(name));
  };
  for (let n = 0; n < names; n++) {
    passedAt.set(`j${n}`, 0);
    clock.after(dice.int(0, 5000), () => ask(`j${n}`));
  }
  // Others ask once for something else each time, and never come back.
  let others = 0;
  const once = (): void => {
    admission.admit(`x${others++}`);
    clock.after(1000 / strangers, once);
  };
  if (strangers > 0) once();
  await clock.run(120_000);
  for (const at of passedAt.values()) worst = Math.max(worst, 120_000 - at);
  return { worst, passed, waiting: admission.waiting };
}

const loads = [
  { name: "within the budget", rate: 12, names: 50, strangers: 0, most: 6500 },
  { name: "four times the budget", rate: 12, names: 240, strangers: 0, most: 40_000 },
  { name: "eight times the budget", rate: 12, names: 480, strangers: 0, most: 60_000 },
  {
    name: "with a flood of questions asked once",
    rate: 12,
    names: 100,
    strangers: 300,
    most: 30_000,
  },
];
for (const { name, rate, names, strangers, most } of loads) {
  test(`admission: nobody is refused again and again, ${name}`, async () => {
    const { worst, passed, waiting } = await longest(rate, names, 3, strangers);
    assert.ok(worst <= most, `one went without an answer for ${worst} ms`);
    // What there is budget for is used, and no more.
    const asked = (names * 120) / 5;
    assert.ok(passed >= Math.min(asked * 0.9, rate * 120 * 0.45), `${passed} passed`);
    assert.ok(passed <= rate * 122, `${passed} passed`);
    assert.ok(waiting <= 4096);
  });
}

test("admission: of two who ask equally often, the one refused first passes first", () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 30 }), fc.integer({ min: 1, max: 5 }), (count, rate) => {
      const clock = new FakeClock();
      const admission = new Admission(rate, clock);
      while (admission.admit("first to empty it"));
      const names = Array.from({ length: count }, (_, n) => `j${n}`);
      const passed: string[] = [];
      for (let round = 0; round < 200 && passed.length < count; round++) {
        for (const name of names) {
          if (!passed.includes(name) && admission.admit(name)) passed.push(name);
        }
        void clock.run(100);
      }
      for (const [place, name] of passed.entries()) {
        assert.ok(place >= names.indexOf(name) - Math.max(1, 2 * rate), `${name} at ${place}`);
      }
    }),
    { numRuns: 30 },
  );
});
