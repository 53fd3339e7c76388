import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../src/clock.js";
import { NoAnswer } from "../src/http/client.js";
import { Mirror } from "../src/state/mirror.js";
import { transactConfirmedByWatch } from "../src/state/watched-transaction.js";
import { quiet } from "./support/common.js";
import { service } from "./support/store.js";

const KEY = "w/x/1";
const VALUE = { status: "open", spec: undefined, at: 5 };
// What becomes of a transaction whose answer never comes, and what others write meanwhile.
const cases: { name: string; applied: boolean; others?: unknown; lag?: boolean; known: boolean }[] =
  [
    { name: "carried out at once", applied: true, known: true },
    { name: "never carried out", applied: false, known: false },
    {
      name: "somebody writes something else there",
      applied: false,
      others: { at: 6 },
      known: false,
    },
    { name: "news of the same from before comes late", applied: false, lag: true, known: false },
  ];
for (const { name, applied, others, lag = false, known } of cases) {
  test(`an answer is lost, ${name}: ${known ? "known by the watch" : "not known"}`, async () => {
    const { clock, state, store } = service();
    const mirror = new Mirror(store, clock, quiet, 1000);
    void mirror.run();
    await clock.run(100);
    // What is there already is no sign of this transaction.
    if (lag) state.transact([], [{ put: KEY, value: VALUE }]);
    const version = state.rows.get(KEY)?.version ?? 0;
    if (applied) store.unheard = 1;
    else {
      store.transact = async () => {
        await sleep(clock, store.timeoutMs);
        throw new NoAnswer("lost");
      };
    }
    const when = [{ key: KEY, version }];
    let result: unknown = null;
    transactConfirmedByWatch(store, mirror, KEY, when, [{ put: KEY, value: VALUE }]).then(
      (found) => {
        result = found;
      },
      () => {
        result = "no answer";
      },
    );
    await clock.run(20);
    if (others !== undefined) state.transact([], [{ put: KEY, value: others }]);
    await clock.run(100);
    assert.deepEqual(result, known ? { ok: true, revision: state.revision } : null);
    await clock.run(5000);
    if (!known) assert.equal(result, "no answer");
    mirror.stop();
  });
}

test("what is told and what is seen say the same, and nobody waits afterwards", async () => {
  const { clock, state, store } = service();
  const mirror = new Mirror(store, clock, quiet, 1000);
  void mirror.run();
  await clock.run(100);
  const once = () =>
    clock.within(
      transactConfirmedByWatch(
        store,
        mirror,
        KEY,
        [{ key: KEY, version: 0 }],
        [{ put: KEY, value: VALUE }],
      ),
    );
  assert.deepEqual(await once(), { ok: true, revision: state.revision });
  // Refused by its condition: what is there is not what this one wrote.
  assert.deepEqual(await once(), { ok: false, failed: [KEY], revision: state.revision });
  mirror.stop();
});
