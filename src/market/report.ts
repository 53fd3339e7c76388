import * as echarts from "echarts";
import type { AccountView } from "./client.js";
import { formatMicro, MICRO_PER_UNIT } from "./money.js";
import type { RoundNote } from "./records.js";

export interface ReportInput {
  title: string;
  rounds: readonly RoundNote[];
  accounts: readonly AccountView[];
}

const escapes: Record<string, string> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", '"': "&quot;" };
const html = (text: string): string => text.replace(/[&<>"]/g, (sign) => escapes[sign]!);

const WIDTH = 960;
const HEIGHT = 300;

interface Line {
  name: string;
  points: [number, number][];
  /** Drawn as steps, for values that hold for a whole round. */
  steps?: boolean;
  /** Lines with the same `stack` are drawn as stacked filled areas. */
  stack?: string;
}

/** A chart as SVG text, rendered without a browser and without references to external resources. */
function chart(title: string, unit: string, lines: readonly Line[]): string {
  const canvas = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  canvas.setOption({
    animation: false,
    title: { text: `${title} (${unit})`, left: 0, top: 0, textStyle: { fontSize: 15 } },
    legend: { top: 36, left: 0 },
    grid: { left: 60, right: 20, top: 72, bottom: 30 },
    xAxis: { type: "time" },
    yAxis: { type: "value", min: 0 },
    series: lines.map(({ name, points, steps, stack }) => ({
      type: "line",
      name,
      data: points,
      showSymbol: points.length < 40,
      symbolSize: 4,
      ...(steps === true ? { step: "end" } : {}),
      ...(stack === undefined ? {} : { stack, areaStyle: {} }),
    })),
  });
  const svg = canvas.renderToSVGString();
  canvas.dispose();
  return svg;
}

function bars(title: string, unit: string, items: readonly [string, number][]): string {
  const canvas = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH,
    height: Math.max(160, 60 + 30 * items.length),
  });
  canvas.setOption({
    animation: false,
    title: { text: title, left: 0, textStyle: { fontSize: 15 } },
    grid: { left: 140, right: 60, top: 40, bottom: 30 },
    xAxis: { type: "value", name: unit, min: 0 },
    yAxis: { type: "category", data: items.map(([name]) => name) },
    series: [
      {
        type: "bar",
        data: items.map(([, value]) => value),
        label: { show: true, position: "right" },
      },
    ],
  });
  const svg = canvas.renderToSVGString();
  canvas.dispose();
  return svg;
}

const isoMinute = (ms: number): string => new Date(ms).toISOString().slice(0, 16).replace("T", " ");

/** The report as one HTML file without references to external resources. */
export function reportHtml({ title, rounds, accounts }: ReportInput): string {
  const zones = [...new Set(rounds.flatMap((round) => Object.keys(round.zones)))].sort();
  const over = (value: (round: RoundNote) => number | undefined): [number, number][] =>
    rounds.flatMap((round): [number, number][] => {
      const found = value(round);
      return found === undefined ? [] : [[round.instant, found]];
    });
  const cleared = rounds.filter(({ price }) => price > 0);
  const charts = [
    chart("Price of a core-hour, rounds that sold something", "per hour", [
      {
        name: "clearing price",
        points: cleared.map(({ instant, price }) => [instant, price / MICRO_PER_UNIT]),
        steps: true,
      },
    ]),
    ...zones.map((zone) =>
      chart(`Zone ${zone}: capacity`, "CPUs", [
        { name: "free", points: over((r) => r.zones[zone]?.free), stack: "room" },
        { name: "used by guests", points: over((r) => r.zones[zone]?.guests), stack: "room" },
        { name: "sold in the round", points: over((r) => r.zones[zone]?.sold), steps: true },
      ]),
    ),
    ...zones.map((zone) =>
      chart(`Zone ${zone}: reserve against demand of the own teams`, "CPUs", [
        { name: "own demand", points: over((r) => r.zones[zone]?.demand) },
        { name: "demand and reserve", points: over((r) => r.zones[zone]?.reserve), steps: true },
      ]),
    ),
    chart("Grants cut short", "grants, seconds", [
      { name: "grants cut short", points: over((r) => r.cuts), steps: true },
      { name: "longest until released, s", points: over((r) => r.slowestMs / 1000) },
    ]),
    bars(
      "Charged, by guest",
      "units",
      accounts.map(({ guest, charged }): [string, number] => [guest, Number(charged)]),
    ),
  ];
  const rows = accounts.flatMap(({ guest, charges }) =>
    charges.map(
      (one) =>
        `<tr><td>${html(guest)}</td><td>${html(one.grant)}</td><td>${html(one.zone)}</td>` +
        `<td>${one.slots}</td><td>${isoMinute(one.from)}</td><td>${one.slotMs}</td>` +
        `<td>${formatMicro(one.micro)}</td><td>${html(one.cut ?? "")}</td></tr>`,
    ),
  );
  const sums = accounts.map(
    ({ guest, grants, charged, settled, owed }) =>
      `<tr><td>${html(guest)}</td><td>${grants}</td><td>${charged}</td><td>${settled}</td>` +
      `<td>${owed}</td></tr>`,
  );
  const span =
    rounds.length === 0
      ? "no rounds yet"
      : `${rounds.length} rounds, ${isoMinute(rounds[0]!.instant)} to ` +
        `${isoMinute(rounds.at(-1)!.instant)} UTC`;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${html(title)}</title>
<style>body{font:14px/1.4 sans-serif;max-width:${WIDTH}px;margin:2em auto;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}
td:first-child,th:first-child{text-align:left}svg{display:block;margin:1.5em 0}</style></head><body>
<h1>${html(title)}</h1><p>${span}</p>
<table><tr><th>guest</th><th>grants</th><th>charged</th><th>settled</th><th>owed</th></tr>
${sums.join("\n")}</table>
${charts.join("\n")}
<h2>Charges</h2>
<table><tr><th>guest</th><th>grant</th><th>zone</th><th>slots</th><th>from (UTC)</th>
<th>slot-ms</th><th>amount</th><th>cut short</th></tr>
${rows.join("\n")}</table></body></html>
`;
}
