import assert from "node:assert/strict";
import { test } from "node:test";
import { UnusedSlices } from "../src/part/unused-slices.js";
import { NO_LIMIT } from "../src/quota/limits.js";
import { FakeClock } from "./support/clock.js";

const WINDOW_MS = 3000;
const cpus = (n: number) => ({ cpus: n, gpus: 0 });

const cases: { name: string; slice?: number; use: number[]; unused: number }[] = [
  { name: "no amount counts before a window has passed", use: [2, 2, 2], unused: 0 },
  { name: "an amount unused for a window counts", use: [2, 2, 2, 2], unused: 8 },
  { name: "the highest use in the window counts", use: [2, 9, 2, 2], unused: 1 },
  { name: "use that rises again reduces it at once", use: [2, 2, 2, 2, 10], unused: 0 },
  { name: "use that ends later counts a window later", use: [9, 9, 9, 2, 2, 2, 2], unused: 8 },
  { name: "use above the slice leaves nothing unused", use: [12, 12, 12, 12], unused: 0 },
  {
    name: "a resource without a limit has no slice",
    slice: NO_LIMIT,
    use: [2, 2, 2, 2],
    unused: 0,
  },
];
for (const { name, slice = 10, use, unused } of cases) {
  test(`unused slices: ${name}`, async () => {
    const clock = new FakeClock();
    const slices = new UnusedSlices(clock, WINDOW_MS);
    let last = cpus(0);
    for (const used of use) {
      last = slices.observe("red", cpus(slice), cpus(used));
      await clock.run(1000);
    }
    assert.deepEqual(last, cpus(unused));
  });
}
