/**
 * The sweep of docs/CAPACITY.md: one count varied at a time, and the whole target at four sizes.
 * `npm run measure:sweep -- FOLDER [NAME]` runs those whose name begins with NAME, or all of them, two
 * at a time, and writes the results of each as JSON to FOLDER. A minute and a quarter each;
 * `npm run measure:slopes -- FOLDER` prints the tables.
 */
import { spawn } from "node:child_process";
import { existsSync, mkdirSync } from "node:fs";
import { join } from "node:path";
import { sweepRuns } from "../support/sweep.js";

const [folder = "", name = "", atOnce = "2"] = process.argv.slice(2);
if (folder === "")
  throw new Error("no folder given; expected: npm run measure:sweep -- FOLDER [NAME]");
mkdirSync(folder, { recursive: true });
const left = sweepRuns().filter((run) => run.name.startsWith(name));

async function play(): Promise<void> {
  for (let run = left.shift(); run !== undefined; run = left.shift()) {
    const file = join(folder, `${run.name}.json`);
    if (existsSync(file)) continue;
    const set = run.set.flatMap((one) => ["--set", one]);
    const args = ["target/bin/main.js", "lab", "run", run.file, "--json", file, ...set];
    const child = spawn(process.execPath, args, { stdio: "ignore" });
    const code = await new Promise((resolve) => child.once("exit", resolve));
    console.log(`${run.name}: ${code === 0 ? "done" : `ended with ${code}`}`);
  }
}

await Promise.all(Array.from({ length: Number(atOnce) }, play));
