import assert from "node:assert/strict";
import { test } from "node:test";
import { dayProblems } from "./support/fault-day.js";
import { faultScenarios, playScenario } from "./support/fault-scenarios.js";

for (const scenario of faultScenarios) {
  for (const nodes of [3, 5]) {
    for (const joined of [false, true]) {
      const also = joined ? ", another controller crashes and a tenth of the machines is lost" : "";
      test(`faults: ${scenario.name}, ${nodes} controllers${also}`, async () => {
        assert.deepEqual(dayProblems(await playScenario(scenario, nodes, joined)), []);
      });
    }
  }
}
