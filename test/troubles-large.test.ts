import assert from "node:assert/strict";
import { test } from "node:test";
import { dayProblems } from "./support/fault-day.js";
import { faultScenarios, playScenario } from "./support/fault-scenarios.js";

// A file of its own because test files run in parallel, and these tests take longest.
for (const scenario of faultScenarios) {
  test(`faults: ${scenario.name}, 15 controllers, another crashes and a tenth of the machines is lost`, async () => {
    assert.deepEqual(dayProblems(await playScenario(scenario, 15, true)), []);
  });
}
