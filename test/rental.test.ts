import assert from "node:assert/strict";
import { test } from "node:test";
import { demandOf } from "../src/cloud/demand.js";
import { Announcing } from "../src/part/announcing.js";
import { Quota } from "../src/part/quota.js";
import { PlacingBench } from "./support/placing.js";

const none = Number.POSITIVE_INFINITY;
const demand = (team: string, cpus: number, rank = 1) => ({ team, rank, cpus, gpus: 0 });

const demands: { name: string; summaries: Parameters<typeof demandOf>[0]; sum: number }[] = [
  { name: "nothing", summaries: [], sum: 0 },
  {
    name: "within limits, over parts and priorities",
    summaries: [
      { demand: [demand("red", 30), demand("red", 10, 0)], use: { red: [12, 0] } },
      { demand: [demand("red", 20), demand("guests", 300)], use: {} },
    ],
    sum: 360,
  },
  {
    name: "no more than a team's limit",
    summaries: [
      { demand: [demand("red", 900)], use: { red: [50, 0] } },
      { demand: [demand("red", 900), demand("blue", 7)], use: {} },
    ],
    sum: 107,
  },
  {
    name: "what is only used counts, and what yields does not",
    summaries: [{ demand: [demand("bidders", 50)], use: { blue: [5, 0], bidders: [9, 0] } }],
    sum: 5,
  },
];
for (const { name, summaries, sum } of demands) {
  test(`rental: what keeps machines: ${name}`, () => {
    const mostOf = (team: string): number => (team === "red" ? 100 : none);
    assert.equal(
      demandOf(summaries, mostOf, (team) => team === "bidders"),
      sum,
    );
  });
}

// Inc-dbf5 and inc-8d22: machines were rented for whatever waited, and stood idle.
test("rental: no machine is asked for what a team's limit does not let run", () => {
  const type = { cpus: 4, gpus: 0, memGb: 64, price: 1, spotPrice: 1, bootS: 10, zones: ["a"] };
  const bench = new PlacingBench(new Map([["m4", { name: "m4", ...type }]]), null, ["red"]);
  Object.assign(bench.ctx, { parts: 2, limits: new Map([["red", { cpus: 20, gpus: 0 }]]) });
  const quota = new Quota(bench.ctx, bench.ledger);
  bench.job({ rank: 0, tasks: 1000 });
  bench.job({ rank: 2, tasks: 3, cpus: 4 });
  quota.begin();
  const { need, waiting } = new Announcing(bench.ctx, bench.ledger, quota).summary();
  assert.deepEqual(
    need.map(({ cpus, count }) => [cpus, count]),
    [
      [4, 3],
      [1, 12], // A tenth more than the limit: slices follow demand with some slack.
    ],
  );
  assert.equal(waiting, 1012);
});
