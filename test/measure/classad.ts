/**
 * Measures the cost of expressions and of submit files on this machine. Run by
 * `npm run measure:classad`; not part of the tests.
 */
import { Ad, Expression, parseExpression, runReference } from "../../src/classad/index.js";
import { planCluster } from "../../src/submit/index.js";
import type { MachineType } from "../../src/wire/cloud.js";
import { textWorld } from "../support/submit.js";

const TEXT =
  '(Arch == "X86_64") && (OpSys == "LINUX") && (TotalMemory >= 2 * RequestMemory) && (HasAvx =!= false) && regexp("^t[0-9]+$", MachineType)';
const my = Ad.parse('[ RequestMemory = 2048; Owner = "ann" ]');
const target = Ad.parse(
  '[ Arch = "X86_64"; OpSys = "LINUX"; TotalMemory = 8 * 1024; MachineType = "t12"; Cpus = 8 ]',
);

function printRate(label: string, repetitions: number, run: () => void): void {
  for (let i = 0; i < repetitions / 4; i++) run();
  const start = process.hrtime.bigint();
  for (let i = 0; i < repetitions; i++) run();
  const seconds = Number(process.hrtime.bigint() - start) / 1e9;
  process.stdout.write(
    `${label}: ${Math.round(repetitions / seconds).toLocaleString("en")} per second\n`,
  );
}

const expression = Expression.parse(TEXT);
const node = parseExpression(TEXT);
printRate("parse, 5 clauses", 4000, () => parseExpression(TEXT));
printRate("parse and compile", 4000, () => Expression.parse(TEXT));
printRate("evaluate, compiled", 100_000, () => expression.evaluate({ my, target }));
printRate("evaluate, reference", 40_000, () => runReference(node, { my, target }));
const file = `executable = run
accounting_group = red
request_cpus = $(n)
requirements = ${TEXT}
queue 10 n from (
1
2
3
)
`;
printRate("read a file of 30 procs", 100, () =>
  planCluster({
    file: "a.sub",
    world: textWorld({ "a.sub": file }),
    cluster: 1,
    team: null,
    user: "a",
    timeZone: "Etc/UTC",
  }),
);

const { Matcher } = await import("../../src/submit/index.js");
const { plainSpec } = await import("../support/placement-bench.js");
const types = new Map(
  Array.from({ length: 6 }, (_, i) => {
    const name = `t${i}`;
    const size = { cpus: 16, gpus: 0, memGb: 64, price: 1, spotPrice: 1, bootS: 1 };
    return [name, { name, ...size, zones: ["a", "b"] }] as [string, MachineType];
  }),
);
const matcher = new Matcher(
  [],
  ["a", "b"],
  () => types,
  () => 0,
);
const specs = Array.from({ length: 2000 }, (_, i) => ({
  ...plainSpec,
  match: {
    ad: `[ ClusterId = ${i}; Owner = "ann"; Note = "job ${i}" ]`,
    requirements: TEXT,
    rank: "TotalCpus",
    atOnce: null,
  },
}));
globalThis.gc?.();
const heapBefore = process.memoryUsage().heapUsed;
for (const spec of specs) matcher.canMatch(spec);
globalThis.gc?.();
const bytesPerJob = (process.memoryUsage().heapUsed - heapBefore) / specs.length;
process.stdout.write(
  `ad of an open job, compiled and matched with 24 kinds: ${Math.round(bytesPerJob)} bytes\n`,
);
