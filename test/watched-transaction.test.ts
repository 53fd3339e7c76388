import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../src/clock.js";
import { NoAnswer } from "../src/http/client.js";
import { Mirror } from "../src/state/mirror.js";
import { transactConfirmedByWatch } from "../src/state/watched-transaction.js";
import { quiet } from "./support/common.js";
import { fakeStateService } from "./support/store.js";

const KEY = "w/x/1";
const VALUE = { status: "open", spec: undefined, at: 5 };
// The answer to a transaction is lost: whether it was applied, and what others write meanwhile.
const cases: {
  name: string;
  applied: boolean;
  otherValue?: unknown;
  lag?: boolean;
  confirmed: boolean;
}[] = [
  { name: "transaction applied at once", applied: true, confirmed: true },
  { name: "transaction never applied", applied: false, confirmed: false },
  {
    name: "another value is written to the key",
    applied: false,
    otherValue: { at: 6 },
    confirmed: false,
  },
  {
    name: "an earlier write of the same value is seen late",
    applied: false,
    lag: true,
    confirmed: false,
  },
];
for (const { name, applied, otherValue, lag = false, confirmed } of cases) {
  test(`watched transaction: answer lost, ${name}: ${confirmed ? "confirmed by watch" : "not confirmed"}`, async () => {
    const { clock, state, store } = fakeStateService();
    const mirror = new Mirror(store, clock, quiet, 1000);
    void mirror.run();
    await clock.run(100);
    // A value that was there before does not confirm this transaction.
    if (lag) state.transact([], [{ put: KEY, value: VALUE }]);
    const version = state.rows.get(KEY)?.version ?? 0;
    if (applied) store.lostAnswerShare = 1;
    else {
      store.transact = async () => {
        await sleep(clock, store.timeoutMs);
        throw new NoAnswer("lost");
      };
    }
    const when = [{ key: KEY, version }];
    let result: unknown = null;
    transactConfirmedByWatch(store, mirror, KEY, when, [{ put: KEY, value: VALUE }]).then(
      (committed) => {
        result = committed;
      },
      () => {
        result = "no answer";
      },
    );
    await clock.run(20);
    if (otherValue !== undefined) state.transact([], [{ put: KEY, value: otherValue }]);
    await clock.run(100);
    assert.deepEqual(result, confirmed ? { ok: true, revision: state.revision } : null);
    await clock.run(5000);
    if (!confirmed) assert.equal(result, "no answer");
    mirror.stop();
  });
}

test("watched transaction: answer and watch agree, for a commit and for a failed condition", async () => {
  const { clock, state, store } = fakeStateService();
  const mirror = new Mirror(store, clock, quiet, 1000);
  void mirror.run();
  await clock.run(100);
  const transactOnce = () =>
    clock.within(
      transactConfirmedByWatch(
        store,
        mirror,
        KEY,
        [{ key: KEY, version: 0 }],
        [{ put: KEY, value: VALUE }],
      ),
    );
  assert.deepEqual(await transactOnce(), { ok: true, revision: state.revision });
  // Fails by its condition, though the key has the same value: this call did not write it.
  assert.deepEqual(await transactOnce(), { ok: false, failed: [KEY], revision: state.revision });
  mirror.stop();
});
