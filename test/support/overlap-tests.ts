import assert from "node:assert/strict";
import { test } from "node:test";
import { dayProblems } from "./fault-day.js";
import { type OverlapScenario, playOverlap } from "./overlap.js";

/** Tests each scenario with 3 and 5 controllers, and once with its guard disabled. */
export function testScenarios(overlaps: readonly OverlapScenario[]): void {
  for (const overlap of overlaps) {
    const { name, planted, occurred = ({ users }) => users.cancelledCount > 0 } = overlap;
    for (const nodes of [3, 5]) {
      test(`overlapping faults: ${name}, ${nodes} controllers`, async () => {
        const world = await playOverlap(overlap, nodes, 3 + nodes);
        assert.deepEqual(dayProblems(world), []);
        assert.ok(occurred(world), "the situation under test did not occur");
      });
    }

    test(`overlapping faults: ${name}: a disabled guard is detected`, async () => {
      let found: string[] = [];
      for (let seed = 1; seed < 12 && found.length === 0; seed++) {
        const world = await playOverlap(overlap, 3, seed, planted);
        found = world.violations.map(({ rule }) => rule);
      }
      assert.notDeepEqual(found, []);
    });
  }
}
