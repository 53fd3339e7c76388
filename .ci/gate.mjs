// Judges a run of the tests by KNOWN-RED.txt: `node .ci/gate.mjs KNOWN-RED.txt RESULTS.tap EXIT`.
//
// Each line of that file is `test | cause | issue`: a test that fails for a real fault which is not
// mended yet. Exactly these may fail. A listed test that passes, or is not there any more, fails the
// run as well, and so do more than three of them, so the list cannot grow old.
import { readFileSync } from "node:fs";

const MOST = 3;

/** @returns {{test: string, cause: string, issue: string}[]} @throws Error with file and line */
function readList(text, file) {
  const listed = [];
  for (const [i, line] of text.split("\n").entries()) {
    if (line.trim() === "") continue;
    const [test = "", cause = "", issue = "", more] = line.split("|").map((field) => field.trim());
    if (test === "" || cause === "" || issue === "" || more !== undefined) {
      throw new Error(`${file}:${i + 1}: expected "test | cause | issue"`);
    }
    if (listed.some((other) => other.test === test)) {
      throw new Error(`${file}:${i + 1}: ${test} is listed twice`);
    }
    listed.push({ test, cause, issue });
  }
  if (listed.length > MOST) {
    throw new Error(`${file}: ${listed.length} tests are listed, ${MOST} at most may be`);
  }
  return listed;
}

/** Names of the tests of a TAP report, in it or nested, by whether they passed. */
function readResults(text) {
  const passed = new Set();
  const failed = new Set();
  for (const line of text.split("\n")) {
    const found = /^\s*(not )?ok \d+ - (.*)$/.exec(line);
    if (found === null) continue;
    const skipped = /(?<!\\)# (SKIP|TODO)\b/.test(found[2]);
    const name = found[2].replace(/ (?<!\\)# (SKIP|TODO)\b.*$/, "").replaceAll("\\#", "#").trim();
    if (!skipped) (found[1] === undefined ? passed : failed).add(name);
  }
  return { passed, failed };
}

/** What is wrong with a run; nothing when exactly the listed tests fail. */
function judge(listed, { passed, failed }, exit) {
  const wrong = [];
  const known = new Set(listed.map(({ test }) => test));
  for (const name of failed) if (!known.has(name)) wrong.push(`fails: ${name}`);
  for (const { test } of listed) {
    if (failed.has(test)) continue;
    wrong.push(passed.has(test) ? `listed, and passes: ${test}` : `listed, and is gone: ${test}`);
  }
  if (passed.size === 0) wrong.push("no test has passed");
  // A crash of the runner, a file that cannot be loaded: something failed that has no name here.
  if (exit !== 0 && failed.size === 0) wrong.push(`the run ended with ${exit}, and no test says why`);
  return wrong;
}

const [file, results, exit] = process.argv.slice(2);
try {
  const listed = readList(readFileSync(file, "utf8"), file);
  for (const { test, cause, issue } of listed) console.log(`known red: ${test} (${cause}; ${issue})`);
  const wrong = judge(listed, readResults(readFileSync(results, "utf8")), Number(exit));
  for (const line of wrong) console.error(line);
  process.exitCode = wrong.length === 0 ? 0 : 1;
} catch (error) {
  console.error(error.message);
  process.exitCode = 2;
}
