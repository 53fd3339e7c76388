/**
 * How long a pass of the scheduler takes with jobs that carry expressions (this machine). Run by
 * `npm run measure:pass`; not part of the tests.
 */
import { parseOperators } from "../../src/settings/operators.js";
import { RecordValidator } from "../../src/state/record-validator.js";
import { BY_REQUIREMENTS, type JobSpec } from "../../src/wire/jobs.js";
import { PlacingBench } from "../support/placement-bench.js";
import { settingsFor } from "../support/platform-settings.js";
import { Random } from "../support/random.js";

const TYPES = new Map(
  Array.from({ length: 6 }, (_, i) => {
    const name = `t${i}`;
    const cpus = 16 + 8 * i;
    const type = {
      name,
      cpus,
      gpus: 0,
      memGb: 4 * cpus,
      price: 1,
      spotPrice: 1,
      bootS: 1,
      zones: ["a", "b"],
    };
    return [name, type] as const;
  }),
);

async function matchingOf(): Promise<unknown> {
  const text = `submit { machine { ad: "Arch = \\"X86_64\\"" ad: "KFlops = 1000 + TotalCpus" } }`;
  const settings = settingsFor(0, 1, [{ name: "red", cpus: 1, max: 1 }], ["a", "b"]);
  const { extensions } = await parseOperators([{ file: "m", text }], settings);
  const rows = new Map();
  const core = {
    settings,
    mirror: { rows, on: () => undefined },
    clock: { wall: () => 0, now: () => 0 },
    store: { limits: { valueBytes: 8192 }, writable: new RecordValidator() },
    layout: { members: [] },
    types: () => TYPES,
  };
  return extensions[0]?.attach(core as never).matcher;
}

/** What a job needs follows from its size. */
const match = (cpus: number): Partial<JobSpec> => ({
  types: [BY_REQUIREMENTS],
  match: {
    ad: `[ Needs = ${2 * cpus} ]`,
    requirements: 'Arch == "X86_64" && TotalCpus >= Needs && regexp("^t[0-9]", MachineType)',
    rank: "KFlops",
    atOnce: null,
  },
});

/** Milliseconds a pass: machines nearly full, several hundred jobs waiting for what is left. */
function measure(matching: unknown, machines: number, jobs: number, share: number): number {
  const random = new Random(7);
  const teams = Array.from({ length: 8 }, (_, i) => `team${i}`);
  const bench = new PlacingBench(TYPES, matching as never, teams);
  for (let i = 0; i < machines; i++) {
    bench.machine(`m${i}`, `t${i % 6}`, i % 2 === 0 ? "a" : "b", i % 3 !== 0);
  }
  const ids: string[] = [];
  // Fillers leave a few CPUs on each machine.
  for (let i = 0; i < 6; i++) {
    const cpus = 16 + 8 * i - 3;
    bench.job({ team: teams[i % 8], cpus, tasks: Math.ceil(machines / 6), types: [`t${i}`] });
  }
  bench.pass();
  for (let i = 0; i < jobs; i++) {
    const picky = random.int(0, 99) < share * 100;
    const cpus = random.int(1, 8);
    ids.push(
      bench.job({
        team: teams[random.int(0, 7)],
        cpus,
        // Each job is of a shape of its own: what one has found out spares no other one its search.
        memGb: 1 + i / 100,
        tasks: random.int(1, 20),
        ...(picky ? match(cpus) : {}),
      }),
    );
  }
  const passes = machines > 1000 ? 4 : 40;
  let best = Number.POSITIVE_INFINITY;
  const all: number[] = [];
  for (let i = 0; i < passes; i++) {
    for (const id of ids) bench.clear(id);
    const start = process.hrtime.bigint();
    bench.pass();
    const ms = Number(process.hrtime.bigint() - start) / 1e6;
    best = Math.min(best, ms);
    all.push(ms);
  }
  all.sort((a, b) => a - b);
  return best;
}

const matching = process.argv.includes("--none") ? null : await matchingOf();
// One share a process: what one has made the compiler of the engine do would be in the other's way.
const share = Number(/^--share=(.*)$/m.exec(process.argv.join("\n"))?.[1] ?? 0);
const sizes = process.argv.filter((arg) => /^\d+$/.test(arg)).map(Number);
for (const machines of sizes.length > 0 ? sizes : [450, 5000]) {
  const ms = measure(matching, machines, 300, share);
  const what = `${machines} machines, ${share * 100}% with expressions`;
  process.stdout.write(`${what}: ${ms.toFixed(2)} ms a pass\n`);
}
