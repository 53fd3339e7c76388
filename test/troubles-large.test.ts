import assert from "node:assert/strict";
import { test } from "node:test";
import { play, rows } from "./support/trouble-rows.js";
import { wrongs } from "./support/troubled.js";

// Apart from the others, since tests run file by file: these take longest.
for (const row of rows) {
  test(`troubles: ${row.name}, 15 controllers, another ends and a tenth of the machines`, async () => {
    assert.deepEqual(wrongs(await play(row, 15, true)), []);
  });
}
