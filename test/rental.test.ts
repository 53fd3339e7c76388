import assert from "node:assert/strict";
import { test } from "node:test";
import { Quota } from "../src/part/quota.js";
import { SummaryPublisher } from "../src/part/summary-publisher.js";
import { PlacementBench } from "./support/placement-bench.js";

// Guards against inc-dbf5 and inc-8d22: machines were rented for all waiting tasks, also those over
// their team's limit, and stayed idle. Tasks over the limit are marked as lent.
test("rental: capacity requests for tasks over a team's limit are marked as lent", () => {
  const type = { cpus: 4, gpus: 0, memGb: 64, price: 1, spotPrice: 1, bootS: 10, zones: ["a"] };
  const bench = new PlacementBench(new Map([["m4", { name: "m4", ...type }]]), null, ["red"]);
  Object.assign(bench.ctx, { parts: 2, limits: new Map([["red", { cpus: 20, gpus: 0 }]]) });
  const quota = new Quota(bench.ctx, bench.ledger);
  bench.job({ rank: 0, tasks: 1000 });
  bench.job({ rank: 2, tasks: 3, cpus: 4 });
  quota.beginPass();
  const { need, waiting } = new SummaryPublisher(bench.ctx, bench.ledger, quota).summary();
  assert.deepEqual(
    need.map(({ cpus, count, lent }) => [cpus, count, lent === true]),
    [
      [4, 3, false],
      [1, 12, false], // A tenth more than the limit: slices follow demand with some slack.
      [1, 988, true],
    ],
  );
  assert.equal(waiting, 1012);
});
