import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const GATE = fileURLToPath(new URL("../../.ci/gate.mjs", import.meta.url));
const line = (name: string): string => `${name} | a cause | issue 1`;
const ok = (...names: string[]): string[] => names.map((name, i) => `ok ${i + 1} - ${name}`);
const red = (...names: string[]): string[] => names.map((name) => `not ok 9 - ${name}`);

const cases: { name: string; list: string[]; tap: string[]; status: number; says: RegExp }[] = [
  {
    name: "the listed test fails",
    list: ["b"],
    tap: [...ok("a"), ...red("b")],
    status: 0,
    says: /known red: b/,
  },
  {
    name: "another test fails",
    list: ["b"],
    tap: [...ok("a"), ...red("b", "c")],
    status: 1,
    says: /fails: c/,
  },
  {
    name: "a listed test passes",
    list: ["a"],
    tap: ok("a"),
    status: 1,
    says: /listed, and passes: a/,
  },
  {
    name: "a listed test is gone",
    list: ["b"],
    tap: ok("a"),
    status: 1,
    says: /listed, and is gone: b/,
  },
  {
    name: "a listed test is skipped",
    list: ["b"],
    tap: [...ok("a"), "ok 2 - b # SKIP"],
    status: 1,
    says: /is gone: b/,
  },
  {
    name: "four tests are listed",
    list: ["a", "b", "c", "d"],
    tap: red("a", "b", "c", "d"),
    status: 2,
    says: /three|3 at most/,
  },
  {
    name: "a test is listed twice",
    list: ["b", "b"],
    tap: red("b"),
    status: 2,
    says: /:2: b is listed twice/,
  },
  { name: "no test has passed", list: ["b"], tap: red("b"), status: 1, says: /no test has passed/ },
  {
    name: "a nested test fails",
    list: ["b"],
    tap: [...ok("a"), "    not ok 1 - c", ...red("b")],
    status: 1,
    says: /fails: c/,
  },
];
for (const { name, list, tap, status, says } of cases) {
  test(`gate: ${name}`, () => {
    const folder = mkdtempSync(join(tmpdir(), "gate-"));
    try {
      writeFileSync(join(folder, "list"), list.map(line).join("\n"));
      writeFileSync(join(folder, "tap"), tap.join("\n"));
      const exit = tap.some((one) => /not ok/.test(one)) ? "1" : "0";
      const args = [GATE, join(folder, "list"), join(folder, "tap"), exit];
      const run = spawnSync(process.execPath, args, { encoding: "utf8" });
      assert.equal(run.status, status, run.stderr);
      assert.match(run.stdout + run.stderr, says);
    } finally {
      rmSync(folder, { recursive: true });
    }
  });
}

test("gate: a line without cause or issue is refused with its place", () => {
  const folder = mkdtempSync(join(tmpdir(), "gate-"));
  try {
    writeFileSync(join(folder, "list"), "a test");
    writeFileSync(join(folder, "tap"), "");
    const run = spawnSync(process.execPath, [GATE, join(folder, "list"), join(folder, "tap"), "1"]);
    assert.equal(run.status, 2);
    assert.match(String(run.stderr), /list:1: expected/);
  } finally {
    rmSync(folder, { recursive: true });
  }
});
