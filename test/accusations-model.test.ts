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
import { type Choices, ChosenStore, explore, type Scene, Wire } from "./support/explore.js";
import { FakeState } from "./support/store.js";

/**
 * An accuser judges a controller that may be alive: it commits, refutes, hands its part over by
 * itself, or ends. Every order of their writes is gone through, with answers lost and transactions
 * applied late, or twice. The accuser's write is the real one (`Handover.reassign`).
 */
interface Guards {
  /** Conditions that the verdict leaves out. */
  without?: "accusation" | "presence";
  suspect: "refutes" | "hands over" | "ends" | "begins anew" | "begins anew twice";
}

const ACCUSATION = keys.accusation("x");
const CLAIM = keys.claim(0);
const PAGE = keys.page(0, 0);

function scene(choices: Choices, { without, suspect }: Guards): Scene {
  const clock = new FakeClock();
  const state = new FakeState(clock, LIMITS);
  const written: string[] = [];
  let judgedAt: number | null = null;
  let refutedAt: number | null = null;
  const version = (key: string): number => state.rows.get(key)?.version ?? 0;
  const owner = (): string =>
    (state.rows.get(CLAIM)?.value as { run: string } | undefined)?.run ?? "";
  const leases = new Map<string, number>();
  const wire = new Wire(state, choices, 1, () => {
    const page = state.rows.get(PAGE);
    const last = page === undefined ? null : `${page.value as string}@${page.version}`;
    if (last !== null && written.at(-1) !== last) {
      written.push(last);
      // Whoever's commit holds is the owner at that moment, by the only claim that there is.
      assert.equal(page!.value, owner(), "a commit of somebody who is not the owner");
    }
    const accusation = state.rows.get(ACCUSATION)?.value as { judged: boolean } | undefined;
    if (accusation?.judged === true) judgedAt ??= state.revision;
    if (accusation === undefined) refutedAt ??= state.revision;
    assert.ok(judgedAt === null || refutedAt === null, "judged and refuted");
  });
  const store = (who: string): ChosenStore => new ChosenStore(wire, who, LIMITS, clock);
  const transact = store("prepare");
  const layout = new Layout(["s", "x", "y"].map((name) => ({ name, zone: "a" })));
  const mirror = new Mirror(store("s"), clock, quiet, 1000);
  const put = async (name: string, run: string): Promise<void> => {
    const lease = state.openLease(600_000);
    leases.set(run, lease);
    await transact.transact(
      [],
      [{ put: keys.node(name), value: { run, shy: false, lease }, lease }],
    );
  };
  const commit = async (who: string, run: string, stamp: number): Promise<void> => {
    const mine = store(who);
    await mine
      .transact([{ key: CLAIM, version: stamp }], [{ put: PAGE, value: run }])
      .catch(() => undefined);
  };
  let stamps = { claim: 0, accusation: 0, presence: 0 };
  return {
    wire,
    prepare: async () => {
      for (const name of ["s", "x", "y"]) await put(name, `${name}1`);
      await transact.transact(
        [],
        [{ put: CLAIM, value: { node: "x", run: "x1" }, lease: leases.get("x1")! }],
      );
      const value = { by: "s", run: "x1", ground: "silent", witnesses: ["y"], judged: false };
      await transact.transact([], [{ put: ACCUSATION, value, lease: leases.get("s1")! }]);
      for (const [key, row] of state.rows) mirror.apply({ key, ...row, deleted: false });
      stamps = {
        claim: version(CLAIM),
        accusation: version(ACCUSATION),
        presence: version(keys.node("x")),
      };
    },
    actors: [
      async () => {
        const ours = store("s");
        const handover = new Handover(
          {
            node: "s",
            layout,
            store: ours,
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
        if (without !== "accusation") when.push({ key: ACCUSATION, version: stamps.accusation });
        if (without !== "presence") when.push({ key: keys.node("x"), version: stamps.presence });
        const lease = leases.get("s1")!;
        await handover
          .reassign("x", "x1", when, [{ put: ACCUSATION, value, lease }])
          .catch(() => false);
        // Its own claim, once it has heard of it: then it commits, as the owner.
        const row = await ours.get(CLAIM);
        if (row !== null && (row.value as { run: string }).run === "s1")
          await commit("s", "s1", row.version);
      },
      async () => {
        await commit("x", "x1", stamps.claim);
        const mine = store("x");
        if (suspect === "refutes") {
          await mine
            .transact([{ key: ACCUSATION, version: stamps.accusation }], [{ remove: ACCUSATION }])
            .catch(() => undefined);
        } else if (suspect === "hands over") {
          const value = { node: "y", run: "y1" };
          await mine
            .transact(
              [{ key: CLAIM, version: stamps.claim }],
              [{ put: CLAIM, value, lease: leases.get("y1")! }],
            )
            .catch(() => undefined);
        } else if (suspect.startsWith("begins anew")) {
          // Back within a fraction of a second, or, twice in a row, in the middle of that.
          for (const run of suspect === "begins anew" ? ["x2"] : ["x2", "x3"]) {
            const value = { run, shy: false };
            await mine
              .transact([], [{ put: keys.node("x"), value, lease: leases.get("x1")! }])
              .catch(() => undefined);
          }
        } else state.endLease(leases.get("x1")!);
        await commit("x", "x1", stamps.claim);
      },
    ],
    end: () => {
      // A part that nobody can take would be one whose claim has an owner without a lease.
      const claim = state.rows.get(CLAIM);
      if (claim !== undefined) assert.ok(state.leases.has(claim.lease!), "a claim that never ends");
      const shown = version(keys.node("x"));
      if (suspect.startsWith("begins anew") && judgedAt !== null && shown !== stamps.presence) {
        assert.ok(judgedAt < shown, "a new run was judged for the one before");
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
  test(`court: a suspect that ${suspect}: one owner whose commits hold, in every order`, async () => {
    const { ways, failure } = await explore((choices) => scene(choices, { suspect }));
    assert.equal(
      failure,
      null,
      failure === null ? "" : `${failure.error.message}\n${failure.trace.join("\n")}`,
    );
    assert.ok(ways > 50, `${ways} ways`);
  });
}

const gone: [Guards, RegExp][] = [
  [{ without: "accusation", suspect: "refutes" }, /judged and refuted/],
  [{ without: "presence", suspect: "begins anew" }, /a new run was judged/],
];
for (const [guards, message] of gone) {
  test(`court: breaks without the condition on the ${guards.without}`, async () => {
    const { failure } = await explore((choices) => scene(choices, guards));
    assert.match(failure?.error.message ?? "", message);
  });
}
