import { test } from "node:test";
import { FAULTS, failover } from "./support/failover.js";
import { checkFailover, operators } from "./support/failover-checks.js";

for (const [i, trouble] of Object.keys(FAULTS).entries()) {
  if (i >= 10) continue;
  test(`failure: ${trouble}`, async () => {
    checkFailover(trouble, await failover(trouble, { nodes: 5, seed: 20 + i, operators }), true);
  });
}
