/**
 * Duration of a placement pass with jobs that have expressions, on this machine. Run by
 * `npm run measure:pass`; not part of the tests.
 */
import { parseOperators } from "../../src/settings/operators.js";
import { RecordValidator } from "../../src/state/record-validator.js";
import { BY_REQUIREMENTS, type JobSpec } from "../../src/wire/jobs.js";
import { PlacementBench } from "../support/placement-bench.js";
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

async function createMatcher(): Promise<unknown> {
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

/** Fields of a job whose requirements depend on its size. */
const match = (cpus: number): Partial<JobSpec> => ({
  types: [BY_REQUIREMENTS],
  match: {
    ad: `[ Needs = ${2 * cpus} ]`,
    requirements: 'Arch == "X86_64" && TotalCpus >= Needs && regexp("^t[0-9]", MachineType)',
    rank: "KFlops",
    atOnce: null,
  },
});

/** Shortest pass, ms: machines nearly full, several hundred jobs waiting for the rest. */
function measure(matcher: unknown, machines: number, jobs: number, share: number): number {
  const random = new Random(7);
  const teams = Array.from({ length: 8 }, (_, i) => `team${i}`);
  const bench = new PlacementBench(TYPES, matcher as never, teams);
  for (let i = 0; i < machines; i++) {
    bench.machine(`m${i}`, `t${i % 6}`, i % 2 === 0 ? "a" : "b", i % 3 !== 0);
  }
  const ids: string[] = [];
  // These jobs leave three CPUs free on each machine.
  for (let i = 0; i < 6; i++) {
    const cpus = 16 + 8 * i - 3;
    bench.job({ team: teams[i % 8], cpus, tasks: Math.ceil(machines / 6), types: [`t${i}`] });
  }
  bench.pass();
  for (let i = 0; i < jobs; i++) {
    const hasExpressions = random.int(0, 99) < share * 100;
    const cpus = random.int(1, 8);
    ids.push(
      bench.job({
        team: teams[random.int(0, 7)],
        cpus,
        // Each job has its own shape, so that no cached result of another job is reused.
        memGb: 1 + i / 100,
        tasks: random.int(1, 20),
        ...(hasExpressions ? match(cpus) : {}),
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

const matcher = process.argv.includes("--none") ? null : await createMatcher();
// One share per process: code that the engine optimized for one share would distort the next.
const share = Number(/^--share=(.*)$/m.exec(process.argv.join("\n"))?.[1] ?? 0);
const sizes = process.argv.filter((arg) => /^\d+$/.test(arg)).map(Number);
for (const machines of sizes.length > 0 ? sizes : [450, 5000]) {
  const ms = measure(matcher, machines, 300, share);
  const what = `${machines} machines, ${share * 100}% with expressions`;
  process.stdout.write(`${what}: ${ms.toFixed(2)} ms a pass\n`);
}
