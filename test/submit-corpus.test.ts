import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { Ad, parseExpression, print } from "../src/classad/index.js";
import { planCluster, SubmitError, submissionBodies } from "../src/submit/index.js";
import { parseSubmission } from "../src/wire/jobs.js";
import { PlacementBench } from "./support/placement-bench.js";
import { corpusWorld, createMatcher, machineType } from "./support/submit.js";

const BASE = join(import.meta.dirname, "../../test/corpus/submit");
const TYPES = new Map(
  [
    machineType("small", 4, 8),
    machineType("big", 32, 128),
    machineType("gpu", 16, 64, 4, ["north"]),
    machineType("arm", 8, 16, 0, ["south"]),
  ].map((type) => [type.name, type]),
);
/** Name, type, zone, spot; in the order in which they are added to the placement bench. */
const MACHINES: [string, string, string, boolean][] = [
  ["small-1", "small", "north", false],
  ["small-2", "small", "south", true],
  ["big-1", "big", "north", true],
  ["big-2", "big", "south", false],
  ["gpu-1", "gpu", "north", false],
  ["arm-1", "arm", "south", false],
];

interface ExpectedJob {
  /** The machine where its first task is placed when all are empty; null: it waits. */
  at: string | null;
  [field: string]: unknown;
}

interface Expected {
  procs: number;
  jobs: ExpectedJob[];
  most?: number;
  held?: boolean;
}

const corpusMatcher = await createMatcher(
  readFileSync(join(BASE, "site.textproto"), "utf8"),
  TYPES,
);

const planFile = (name: string) =>
  planCluster({
    file: name,
    world: corpusWorld(BASE),
    cluster: 41,
    team: null,
    user: "ann",
    timeZone: "Etc/UTC",
    environment: ["HOME_SITE", "NOWHERE"],
  });

const expectationOf = (name: string, mark: string): string => {
  const text = readFileSync(join(BASE, name), "utf8");
  return text
    .split(/\r\n|\r|\n/)
    .find((line) => line.startsWith(mark))!
    .slice(mark.length);
};

for (const file of readdirSync(join(BASE, "taken")).sort()) {
  const name = `taken/${file}`;
  test(`submit file: ${file}`, () => {
    const expected = JSON.parse(expectationOf(name, "#= ")) as Expected;
    const cluster = planFile(name);
    assert.equal(cluster.procs, expected.procs);
    assert.equal(cluster.jobs.length, expected.jobs.length);
    assert.equal(cluster.most, expected.most ?? null);
    assert.equal(cluster.held, expected.held ?? false);
    for (const [i, body] of submissionBodies(cluster, 41).entries()) {
      const { at, ad: attributes, ...wanted } = expected.jobs[i]!;
      const { plan, procs } = cluster.jobs[i]!;
      const seen: Record<string, unknown> = {
        procs,
        team: plan.team,
        cpus: plan.cores,
        gpus: plan.accelerators,
        mb: plan.memGb * 1024,
        cmd: plan.command,
        env: plan.environment,
        req: plan.requirements,
        rank: plan.rank,
        urgency: plan.urgency,
        spot: plan.spot,
        bundle: plan.bundle,
        name: plan.name,
        expect: plan.expectS,
        every: plan.stashEveryS,
        save: plan.stashS,
        due: plan.dueS,
        eidos: plan.eidos,
      };
      for (const [field, value] of Object.entries(wanted)) {
        assert.deepEqual(seen[field], value, `job ${i}: ${field}`);
      }
      const ad = Ad.parse(plan.ad);
      for (const [attribute, text] of Object.entries((attributes ?? {}) as object)) {
        assert.equal(print(ad.get(attribute.toLowerCase())!.node), text);
      }
      // A controller parses the submission body, and its expressions are in canonical form.
      const parsed = parseSubmission(body);
      assert.ok(parsed.ok, parsed.ok ? "" : parsed.reason);
      if (plan.requirements !== "") {
        assert.equal(print(parseExpression(plan.requirements)), plan.requirements);
      }
      const bench = new PlacementBench(TYPES, { ...matcherWithoutHolds, cannotStart: () => false });
      for (const machine of MACHINES) bench.machine(...machine);
      const id = bench.job({ ...parsed.value.spec, team: "red", tasks: 1 });
      bench.pass();
      assert.equal(bench.where(id)[0] ?? null, at, `job ${i}: machine`);
    }
  });
}

/** The matcher without holds and limits: these tests check only where tasks are placed. */
const matcherWithoutHolds = {
  rank: corpusMatcher.rank.bind(corpusMatcher),
  rankerFor: corpusMatcher.rankerFor.bind(corpusMatcher),
  equivalenceKey: corpusMatcher.equivalenceKey.bind(corpusMatcher),
  holdReason: () => null,
  maxRunMs: () => null,
  maxRetries: () => null,
  hold: () => undefined,
  rejection: () => null,
};

for (const file of readdirSync(join(BASE, "refused")).sort()) {
  if (file === "self.sub") continue;
  const name = `refused/${file}`;
  test(`submit file refused: ${file}`, () => {
    const expected = expectationOf(name, "#! ");
    assert.throws(
      () => planFile(name),
      (error) => {
        assert.ok(error instanceof SubmitError, String(error));
        const { line, column } = error.place;
        const hint = error.hint === null ? "" : `; ${error.hint}`;
        const said = `${line}:${column}: ${error.reason}${hint}`;
        assert.ok(said.startsWith(expected), `\n said     ${said}\n expected ${expected}`);
        return true;
      },
    );
  });
}

test("submit corpus: at least 80 accepted and 40 refused files", () => {
  assert.ok(readdirSync(join(BASE, "taken")).length >= 80);
  assert.ok(readdirSync(join(BASE, "refused")).length >= 40);
});
