/**
 * Effect of controller failures on a deployment, in the simulated world: one row per fault, medians
 * over the seeds. `npm run measure:failure`, with `--nodes=5,9`, `--seeds=3`, `--only=crash`,
 * `--joined`, `--tuning='suspicion {}'`; `--json=FILE` saves the results, `--before=FILE` compares with
 * saved results, seed by seed, and `--plot=FILE.svg` plots both.
 */
import { readFileSync, writeFileSync } from "node:fs";
import * as echarts from "echarts";
import { mean, quantile } from "simple-statistics";
import { type Operators, parseOperators } from "../../src/settings/operators.js";
import { FAULTS, type FailoverResult, failover, TEAMS } from "../support/failover.js";
import { settingsFor } from "../support/platform-settings.js";

const arg = (name: string, fallback: string): string =>
  process.argv.find((one) => one.startsWith(`--${name}=`))?.slice(name.length + 3) ?? fallback;

const sizes = arg("nodes", "5").split(",").map(Number);
const seeds = Number(arg("seeds", "3"));
const only = arg("only", "");
const joined = process.argv.includes("--joined");
const tuning = arg("tuning", "");
const settings = settingsFor(0, 1, TEAMS);
const operators = async (): Promise<Partial<Operators>> =>
  tuning === "" ? {} : parseOperators([{ file: "--tuning", text: tuning }], settings);
const loaded = await operators();

type SavedResults = Record<string, FailoverResult[]>;
type Column = (seen: FailoverResult) => (number | null)[];

const seconds = (ms: number | null): number => (ms === null ? Number.POSITIVE_INFINITY : ms / 1000);
const times: Record<string, Column> = {
  claimed: ({ claimed }) => claimed,
  answered: ({ answered }) => answered,
  started: ({ started }) => started,
  silent: ({ silentMs }) => [silentMs],
  ownerless: ({ ownerlessMs }) => [ownerlessMs],
};
const counts: Record<string, (seen: FailoverResult) => number> = {
  leases: ({ leasesEnded }) => leasesEnded,
  rerun: ({ rerun }) => rerun,
  moves: ({ moves }) => moves,
  changes: ({ changes }) => changes,
  frames: ({ frames }) => frames,
  rules: ({ violations }) => violations.length,
  left: ({ unfinished }) => unfinished.length,
};

function median(rows: FailoverResult[], column: Column): number | null {
  const values = rows.flatMap(column).map(seconds);
  return values.length === 0 ? null : quantile(values, 0.5);
}

const shown = (value: number | null): string =>
  value === null ? "-" : Number.isFinite(value) ? value.toFixed(2) : "never";

const all: SavedResults = {};
const before: SavedResults =
  arg("before", "") === ""
    ? {}
    : (JSON.parse(readFileSync(arg("before", ""), "utf8")) as SavedResults);
for (const nodes of sizes) {
  const names = [...Object.keys(times), ...Object.keys(counts)];
  process.stdout.write(`\n| ${nodes} controllers | ${names.join(" | ")} |\n`);
  process.stdout.write(`|${" --- |".repeat(names.length + 1)}\n`);
  for (const fault of Object.keys(FAULTS)) {
    if (!fault.includes(only)) continue;
    const rows: FailoverResult[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
      rows.push(await failover(fault, { nodes, seed, joined, operators: () => loaded }));
    }
    const key = `${nodes}/${fault}`;
    all[key] = rows;
    const earlier = before[key] ?? null;
    const cell = (now: string, then: string | null): string =>
      then === null || then === now ? now : `${then} -> ${now}`;
    const cells = [
      ...Object.values(times).map((column) =>
        cell(shown(median(rows, column)), earlier && shown(median(earlier, column))),
      ),
      ...Object.values(counts).map((count) =>
        cell(mean(rows.map(count)).toFixed(1), earlier && mean(earlier.map(count)).toFixed(1)),
      ),
    ];
    process.stdout.write(`| ${fault} | ${cells.join(" | ")} |\n`);
  }
}
if (arg("json", "") !== "") writeFileSync(arg("json", ""), JSON.stringify(all));
if (arg("plot", "") !== "") {
  const keys = Object.keys(all).filter((key) =>
    all[key]!.some(({ claimed }) => claimed.length > 0),
  );
  const chart = echarts.init(null, null, { renderer: "svg", ssr: true, width: 980, height: 620 });
  const bars = (name: string, from: SavedResults) => ({
    name,
    type: "bar" as const,
    data: keys.map((key) => {
      const value = from[key] === undefined ? null : median(from[key], times.answered!);
      return value !== null && Number.isFinite(value) ? value : null;
    }),
  });
  chart.setOption({
    animation: false,
    title: { text: "Seconds until the new owner answers its first report (simulated, lease 12 s)" },
    legend: { top: 28 },
    grid: { left: 270, right: 30, top: 60, bottom: 40 },
    xAxis: { type: "value", name: "s" },
    yAxis: { type: "category", inverse: true, data: keys },
    series: [bars("before", before), bars("now", all)],
  });
  writeFileSync(arg("plot", ""), chart.renderToSVGString());
  chart.dispose();
}
