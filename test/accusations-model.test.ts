import assert from "node:assert/strict";
import { test } from "node:test";
import { Handover } from "../src/membership/handover.js";
import { Layout } from "../src/membership/layout.js";
import { ControllerStability } from "../src/membership/stability.js";
import { keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import type { Condition } from "../src/state/store.js";
import { FakeClock } from "./support/clock.js";
import { LIMITS, quiet } from "./support/common.js";
import {
  type Choices,
  ChosenStore,
  explore,
  RequestScheduler,
  type Scene,
} from "./support/model-checker.js";
import { FakeState } from "./support/store.js";

/**
 * An accuser writes a verdict against a controller that may be running: the suspect commits, refutes,
 * hands its part over, fails, or restarts. Every order of their writes is tried, with answers lost
 * and transactions applied late or twice. Guards against two owners of a part, a verdict together
 * with a refutation, and a verdict against a new run. The verdict is written by `Handover.reassign`.
 */
interface Guards {
  /** The condition that the verdict is written without. */
  without?: "accusation" | "presence";
  suspect: "refutes" | "hands over" | "ends" | "begins anew" | "begins anew twice";
}

const ACCUSATION = keys.accusation("x");
const CLAIM = keys.claim(0);
const PAGE = keys.page(0, 0);

function scene(choices: Choices, { without, suspect }: Guards): Scene {
  const clock = new FakeClock();
  const state = new FakeState(clock, LIMITS);
  const commits: string[] = [];
  let verdictAt: number | null = null;
  let refutedAt: number | null = null;
  const version = (key: string): number => state.rows.get(key)?.version ?? 0;
  const owner = (): string =>
    (state.rows.get(CLAIM)?.value as { run: string } | undefined)?.run ?? "";
  const leases = new Map<string, number>();
  const wire = new RequestScheduler(state, choices, 1, () => {
    const page = state.rows.get(PAGE);
    const last = page === undefined ? null : `${page.value as string}@${page.version}`;
    if (last !== null && commits.at(-1) !== last) {
      commits.push(last);
      // The author of an applied commit must be the owner at that moment, by the stored claim.
      assert.equal(page!.value, owner(), "a commit of a controller that is not the owner");
    }
    const accusation = state.rows.get(ACCUSATION)?.value as { judged: boolean } | undefined;
    if (accusation?.judged === true) verdictAt ??= state.revision;
    if (accusation === undefined) refutedAt ??= state.revision;
    assert.ok(verdictAt === null || refutedAt === null, "judged and refuted");
  });
  const storeFor = (actor: string): ChosenStore => new ChosenStore(wire, actor, LIMITS, clock);
  const preparing = storeFor("prepare");
  const layout = new Layout(["s", "x", "y"].map((name) => ({ name, zone: "a" })));
  const mirror = new Mirror(storeFor("s"), clock, quiet, 1000);
  const publishPresence = async (name: string, run: string): Promise<void> => {
    const lease = state.openLease(600_000);
    leases.set(run, lease);
    await preparing.transact(
      [],
      [{ put: keys.node(name), value: { run, shy: false, lease }, lease }],
    );
  };
  const commit = async (actor: string, run: string, claimVersion: number): Promise<void> => {
    const actorStore = storeFor(actor);
    await actorStore
      .transact([{ key: CLAIM, version: claimVersion }], [{ put: PAGE, value: run }])
      .catch(() => undefined);
  };
  let versions = { claim: 0, accusation: 0, presence: 0 };
  return {
    wire,
    prepare: async () => {
      for (const name of ["s", "x", "y"]) await publishPresence(name, `${name}1`);
      await preparing.transact(
        [],
        [{ put: CLAIM, value: { node: "x", run: "x1" }, lease: leases.get("x1")! }],
      );
      const value = { by: "s", run: "x1", ground: "silent", witnesses: ["y"], judged: false };
      await preparing.transact([], [{ put: ACCUSATION, value, lease: leases.get("s1")! }]);
      for (const [key, row] of state.rows) mirror.apply({ key, ...row, deleted: false });
      versions = {
        claim: version(CLAIM),
        accusation: version(ACCUSATION),
        presence: version(keys.node("x")),
      };
    },
    actors: [
      async () => {
        const accuserStore = storeFor("s");
        const handover = new Handover(
          {
            node: "s",
            layout,
            store: accuserStore,
            mirror,
            log: quiet,
            stability: new ControllerStability(mirror, clock, 1000),
            owned: new Map(),
            leaderClaimVersion: null,
            leaderKey: keys.leader,
          },
          {
            own: () => ({ run: "s1", shy: false, lease: leases.get("s1")!, speaks: [] }),
            candidates: () => [{ name: "s", zone: "a", load: 0 }],
          },
        );
        const value = { by: "s", run: "x1", ground: "silent", witnesses: ["y"], judged: true };
        const when: Condition[] = [];
        if (without !== "accusation") when.push({ key: ACCUSATION, version: versions.accusation });
        if (without !== "presence") when.push({ key: keys.node("x"), version: versions.presence });
        const lease = leases.get("s1")!;
        await handover
          .reassign("x", "x1", when, [{ put: ACCUSATION, value, lease }])
          .catch(() => false);
        // Once the accuser sees that it has the claim, it commits as the owner.
        const row = await accuserStore.get(CLAIM);
        if (row !== null && (row.value as { run: string }).run === "s1")
          await commit("s", "s1", row.version);
      },
      async () => {
        await commit("x", "x1", versions.claim);
        const suspectStore = storeFor("x");
        if (suspect === "refutes") {
          await suspectStore
            .transact([{ key: ACCUSATION, version: versions.accusation }], [{ remove: ACCUSATION }])
            .catch(() => undefined);
        } else if (suspect === "hands over") {
          const value = { node: "y", run: "y1" };
          await suspectStore
            .transact(
              [{ key: CLAIM, version: versions.claim }],
              [{ put: CLAIM, value, lease: leases.get("y1")! }],
            )
            .catch(() => undefined);
        } else if (suspect.startsWith("begins anew")) {
          // A restart within a fraction of a second, or two of them in a row.
          for (const run of suspect === "begins anew" ? ["x2"] : ["x2", "x3"]) {
            const value = { run, shy: false };
            await suspectStore
              .transact([], [{ put: keys.node("x"), value, lease: leases.get("x1")! }])
              .catch(() => undefined);
          }
        } else state.endLease(leases.get("x1")!);
        await commit("x", "x1", versions.claim);
      },
    ],
    end: () => {
      // A claim attached to no lease would never be removed, and no controller could take the part.
      const claim = state.rows.get(CLAIM);
      if (claim !== undefined)
        assert.ok(state.leases.has(claim.lease!), "a claim that is never removed");
      const presenceVersion = version(keys.node("x"));
      if (
        suspect.startsWith("begins anew") &&
        verdictAt !== null &&
        presenceVersion !== versions.presence
      ) {
        assert.ok(verdictAt < presenceVersion, "a new run was judged for the one before");
      }
    },
  };
}

for (const suspect of [
  "refutes",
  "hands over",
  "ends",
  "begins anew",
  "begins anew twice",
] as const) {
  test(`accusations: a suspect that ${suspect}: only the owner's commits are applied, in every order`, async () => {
    const { ways, failure } = await explore((choices) => scene(choices, { suspect }));
    assert.equal(
      failure,
      null,
      failure === null ? "" : `${failure.error.message}\n${failure.trace.join("\n")}`,
    );
    assert.ok(ways > 50, `${ways} ways`);
  });
}

const withoutCondition: [Guards, RegExp][] = [
  [{ without: "accusation", suspect: "refutes" }, /judged and refuted/],
  [{ without: "presence", suspect: "begins anew" }, /a new run was judged/],
];
for (const [guards, message] of withoutCondition) {
  test(`accusations: the model fails without the condition on the ${guards.without}`, async () => {
    const { failure } = await explore((choices) => scene(choices, guards));
    assert.match(failure?.error.message ?? "", message);
  });
}
