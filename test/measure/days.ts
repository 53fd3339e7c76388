/**
 * Plays days with random faults of the operators' lists, for the seeds FROM to TO:
 * `npm run measure:days -- FROM TO [CONTROLLERS] [suspicion|plain] [varied]`. Prints the problems of
 * each day that had any, and the count of such days. About 1.5 s of processor time a day.
 */
import { loadOperators, withPackage } from "../../src/settings/operators.js";
import { dayProblems, playFaultDay, TEAMS } from "../support/fault-day.js";
import { settingsFor } from "../support/platform-settings.js";
import { playVariedJobsDay } from "../support/varied-jobs-day.js";

const [from = "1", to = "100", nodes = "3", suspicion = "plain", kind] = process.argv.slice(2);
const operators = await loadOperators([], settingsFor(0, 3, TEAMS));
if (suspicion === "suspicion") await withPackage("suspicion", operators, settingsFor(0, 3, TEAMS));
let bad = 0;
for (let seed = Number(from); seed <= Number(to); seed++) {
  const play = kind === "varied" ? playVariedJobsDay : playFaultDay;
  const found = dayProblems(await play(seed, { nodes: Number(nodes), operators }));
  if (found.length === 0) continue;
  bad++;
  console.log(`seed ${seed}: ${found.slice(0, 4).join("; ")}`);
}
console.log(
  `${Number(to) - Number(from) + 1} days from seed ${from}, ${nodes} controllers: ${bad} wrong`,
);
