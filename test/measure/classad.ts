/**
 * What expressions and files cost (this machine). Run by `npm run measure:classad`; not part of the
 * tests.
 */
import { Ad, Expression, parseExpression, runReference } from "../../src/classad/index.js";
import { planCluster } from "../../src/submit/index.js";
import { textWorld } from "../support/submit.js";

const TEXT =
  '(Arch == "X86_64") && (OpSys == "LINUX") && (TotalMemory >= 2 * RequestMemory) && (HasAvx =!= false) && regexp("^t[0-9]+$", MachineType)';
const my = Ad.parse('[ RequestMemory = 2048; Owner = "ann" ]');
const target = Ad.parse(
  '[ Arch = "X86_64"; OpSys = "LINUX"; TotalMemory = 8 * 1024; MachineType = "t12"; Cpus = 8 ]',
);

function rate(what: string, times: number, run: () => void): void {
  for (let i = 0; i < times / 4; i++) run();
  const start = process.hrtime.bigint();
  for (let i = 0; i < times; i++) run();
  const seconds = Number(process.hrtime.bigint() - start) / 1e9;
  process.stdout.write(`${what}: ${Math.round(times / seconds).toLocaleString("en")} a second\n`);
}

const expression = Expression.parse(TEXT);
const node = parseExpression(TEXT);
rate("parse, 5 clauses", 4000, () => parseExpression(TEXT));
rate("parse and compile", 4000, () => Expression.parse(TEXT));
rate("evaluate, compiled", 100_000, () => expression.evaluate({ my, target }));
rate("evaluate, reference", 40_000, () => runReference(node, { my, target }));
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
rate("read a file of 30 procs", 100, () =>
  planCluster({
    file: "a.sub",
    world: textWorld({ "a.sub": file }),
    cluster: 1,
    team: null,
    user: "a",
    timeZone: "Etc/UTC",
  }),
);
