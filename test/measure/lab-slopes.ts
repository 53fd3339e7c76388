/**
 * Tables of the sweep's results: `npm run measure:slopes -- FOLDER`. For each count that was varied,
 * the cost of one more, by least squares, and the largest deviation of a point from the line.
 */
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { LabResults } from "../../src/lab/index.js";
import { quantitiesOf, slopeOf, sweepRuns } from "../support/sweep.js";

const [folder = ""] = process.argv.slice(2);
const groups = new Map<string, { x: number; results: LabResults }[]>();
for (const { name } of sweepRuns()) {
  const file = join(folder, `${name}.json`);
  if (!existsSync(file)) continue;
  const [count, value] = name.split("-") as [string, string];
  const results = JSON.parse(readFileSync(file, "utf8")) as LabResults;
  // Arrivals differ slightly from the configured rate, so the measured rate of starts is used.
  const x = count === "starts" ? results.tasks.startsPerS : Number(value);
  groups.set(count, [...(groups.get(count) ?? []), { x, results }]);
}
const shown = (value: number): string => (Number.isFinite(value) ? value.toPrecision(3) : "-");
for (const [count, runs] of groups) {
  runs.sort((a, b) => a.x - b.x);
  console.log(`\n### ${count}: ${runs.map(({ x }) => shown(x)).join(", ")}\n`);
  console.log("| quantity | values | one more | at 0 | farthest off | power |");
  console.log("| --- | --- | --- | --- | --- | --- |");
  const all = runs.map(({ x, results }) => ({ x, quantities: quantitiesOf(results) }));
  for (const quantity of Object.keys(all[0]!.quantities)) {
    const points = all.map(({ x, quantities }): [number, number] => [x, quantities[quantity]!]);
    const values = points.map(([, y]) => shown(y)).join(", ");
    if (points.length < 2) {
      console.log(`| ${quantity} | ${values} | - | - | - | - |`);
      continue;
    }
    const { slope, at0, maxDeviation: off, powerLawExponent: power } = slopeOf(points);
    const cells = [values, shown(slope), shown(at0), `${(100 * off).toFixed(0)}%`, shown(power)];
    console.log(`| ${quantity} | ${cells.join(" | ")} |`);
  }
}
