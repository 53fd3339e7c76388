import assert from "node:assert/strict";
import { test } from "node:test";
import { LiveConfiguration } from "../src/configuration/index.js";
import { keys } from "../src/state/keys.js";
import { Mirror } from "../src/state/mirror.js";
import { FakeClock } from "./support/clock.js";
import { LIMITS, quiet } from "./support/common.js";
import { Random } from "./support/random.js";
import { FakeState, FakeStore } from "./support/store.js";

const teams = [{ name: "red", cpus: 8, cpus_max: 20, gpus: 0, gpus_max: 0 }];
const base = { teams, packageTeams: [], groups: [] };

/** A `LiveConfiguration` without a controller; tests apply rows directly. */
class Follower {
  readonly clock = new FakeClock();
  readonly mirror: Mirror;
  readonly live: LiveConfiguration;
  #version = 0;

  constructor() {
    const state = new FakeState(this.clock, LIMITS);
    const store = new FakeStore(state, this.clock, new Random(1), LIMITS, 1000);
    this.mirror = new Mirror(store, this.clock, quiet, 1000);
    this.live = new LiveConfiguration({
      base,
      mirror: this.mirror,
      store,
      clock: this.clock,
      log: quiet,
      node: "n0",
      run: "r",
      lease: () => null,
      missingPiecesTimeoutMs: 12_000,
      publishIntervalMs: 500,
      onChange: () => undefined,
    });
    this.mirror.ready = true;
    this.live.start();
  }

  apply(key: string, value: unknown): void {
    this.mirror.apply({ key, value, version: ++this.#version, deleted: false });
  }

  head(revision: number, pieces: number): void {
    const id = `r${revision}`;
    this.apply(keys.configurationHead, { revision, id, pieces, by: "x", why: "", at: 0 });
  }

  piece(revision: number, number: number, cpus: number): void {
    const value = { teams: [{ name: "red", limit: { cpus } }], groups: [] };
    this.apply(keys.configurationPiece(`r${revision}`, number), value);
  }
}

test("configuration: a revision read during a listing comes into force only after the listing", async () => {
  const follower = new Follower();
  follower.mirror.ready = false;
  follower.head(1, 1);
  follower.piece(1, 0, 9);
  await follower.clock.run(2000);
  assert.equal(follower.live.effective.revision, 0);
  assert.equal(follower.live.condition().version, 0);
  follower.mirror.ready = true;
  await follower.clock.run(600);
  assert.equal(follower.live.effective.revision, 1);
  assert.equal(follower.live.limits.get("red")?.cpus, 9);
});

test("configuration: while pieces are missing the old condition stays, for a lease; then the revision is refused", async () => {
  for (const arrivalMs of [2000, 20_000]) {
    const follower = new Follower();
    follower.head(1, 2);
    follower.piece(1, 1, 9);
    await follower.clock.run(arrivalMs);
    const refused = arrivalMs > 12_000;
    assert.equal(follower.live.condition().version, refused ? 1 : 0);
    assert.equal(follower.live.isCurrent, !refused);
    follower.piece(1, 0, 8);
    await follower.clock.run(1000);
    assert.equal(follower.live.effective.revision, refused ? 0 : 1);
    // The next revision comes into force in both cases.
    follower.piece(2, 0, 7);
    follower.head(2, 1);
    assert.equal(follower.live.effective.revision, 2);
    assert.ok(follower.live.isCurrent);
  }
});
