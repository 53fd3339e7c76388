import assert from "node:assert/strict";
import { test } from "node:test";
import { Layout } from "../src/membership/layout.js";
import { Membership } from "../src/membership/membership.js";
import { Mirror } from "../src/state/mirror.js";
import { quiet } from "./support/common.js";
import { fakeStateService } from "./support/store.js";

test("contact: keys read before an outage do not count as read during it", async () => {
  const { clock, state, store } = fakeStateService();
  // More than one page, so that reading can stop in the middle.
  for (let n = 0; n < 1500; n++) {
    state.transact([], [{ put: `w/x/${String(n).padStart(5, "0")}`, value: n }]);
  }
  const mirror = new Mirror(store, clock, quiet, 1000);
  const readPage = store.page.bind(store);
  let pages = 0;
  let changedAt = Number.POSITIVE_INFINITY;
  store.page = (...args) => {
    if (++pages === 2) {
      // A job that was already read is cancelled; then the store stops answering.
      state.transact([], [{ put: "w/x/00001", value: "cancelled" }]);
      changedAt = clock.now();
      state.setOutage(true);
      clock.after(40_000, () => state.setOutage(false));
    }
    return readPage(...args);
  };
  void mirror.run();
  for (let ms = 0; ms < 50_000; ms += 5) {
    await clock.run(5);
    const seesChange = mirror.rows.get("w/x/00001")?.value === "cancelled";
    assert.ok(
      seesChange || mirror.freshAsOf <= changedAt,
      `counts as current at ${clock.now()} ms without the change`,
    );
  }
  assert.ok(mirror.ready && mirror.freshAsOf > changedAt);
  mirror.stop();
});

for (const late of ["of an earlier run", "of this run"] as const) {
  test(`contact: a presence record is written again if an older write ${late} is applied late`, async () => {
    const { clock, state, store } = fakeStateService();
    const mirror = new Mirror(store, clock, quiet, 1000);
    const layout = new Layout(["n0", "n1"].map((name) => ({ name, zone: "a" })));
    const handlers = { gained() {}, lost() {}, leading() {}, deposed() {} };
    const member = new Membership("n0", "r1", layout, store, mirror, clock, quiet, handlers, 12);
    void mirror.run();
    member.start();
    await clock.run(10_000);
    const storedPresence = (): object => state.rows.get("w/n/n0")?.value as object;
    const before = storedPresence();
    const value = late === "of this run" ? { ...before, shy: true } : { run: "r0", shy: false };
    // A write of this run is attached to its current lease; one of an earlier run to a lease that expires.
    const lease = late === "of this run" ? Number(member.lease) : state.openLease(1000);
    state.transact([], [{ put: "w/n/n0", value, lease }]);
    await clock.run(10_000);
    assert.deepEqual(storedPresence(), before);
    member.stop();
    mirror.stop();
  });
}
