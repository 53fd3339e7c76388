import { test } from "node:test";
import { FAULTS, failover } from "./support/failover.js";
import { checkFailover, operators } from "./support/failover-checks.js";

for (const [i, trouble] of Object.keys(FAULTS).entries()) {
  // Every second fault only; `npm run measure:failure -- --joined` runs all of them.
  if (i % 2 === 1) continue;
  test(`failure: ${trouble}, with a second controller and a tenth of the machines`, async () => {
    const joined = { nodes: 5, seed: 60 + i, operators, joined: true };
    checkFailover(trouble, await failover(trouble, joined), false);
  });
}
