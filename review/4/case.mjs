// Jobs whose tasks must all be in one zone wait for room. Their owner hands them over to parts with
// room in another zone. A transaction holds a few dozen changes, and one that is full ends in the
// middle of a job; the rest of that job follows with the next. The owner is killed in between: from
// then on, the job is in parts of two zones, whose owners do not know of each other's tasks.
import { boyas, job, pause, runCase } from "../harness-2.mjs";

const JOBS = 15;
const TASKS = 5;
// CPUs of the machines: seven of 16 in valparaiso, five in coquimbo.
const VALPARAISO = 112;
const COQUIMBO = 80;

await runCase(process.env.RECORD, { ...boyas, maxMachines: 12 }, async (it, record, trouble) => {
  const broken = [];
  const together = Array.from({ length: JOBS }, (_, n) => `wk-0010${String(n).padStart(2, "0")}`);
  // The rule: a task of such a job starts while others of it are on machines in another zone.
  it.onTask = ({ kind, piece, host, berth }) => {
    const uid = piece.slice(0, piece.lastIndexOf("/"));
    if (kind !== "started" || !together.includes(uid)) return;
    const apart = it.others(uid, piece).filter(([, on]) => on.berth !== berth);
    if (apart.length === 0) return;
    const [[other, on]] = apart;
    broken.push(`wrong_place: ${piece} starts on ${host} in ${berth} while ${other} is on ${on.host} in ${on.berth}`);
  };
  const grande = it.cloud.types.find(({ name }) => name === "grande");
  for (let n = 0; n < VALPARAISO / 16; n++) it.cloud.add(grande, "valparaiso", true, true);
  for (let n = 0; n < COQUIMBO / 16; n++) it.cloud.add(grande, "coquimbo", true, true);
  if (!(await it.until(() => it.front.healthy.length === 3, 30_000)))
    throw new Error("the controllers are not healthy");
  const running = (uids) =>
    [...it.onMachine.keys()].filter((piece) => uids.includes(piece.slice(0, piece.lastIndexOf("/")))).length;
  // For the reader only, not for the check: to which parts the chunks of these jobs belong.
  let seen = 0;
  const trace = setInterval(() => {
    for (const { key, value, version } of it.state.log)
      if (version > seen && key.startsWith("w/j/wk-0010") && value !== undefined)
        record.add(`state service: ${key} owners ${value.owners}`);
    seen = it.state.revision;
  }, 20);
  trace.unref();

  // Valparaiso is full; so the jobs that must stay together go to coquimbo.
  await it.submit(job("wk-000001", { pieces: 2 * VALPARAISO, berth: "valparaiso", expectS: 300 }));
  if (!(await it.until(() => running(["wk-000001"]) === VALPARAISO, 20_000)))
    throw new Error("valparaiso is not full");
  for (const uid of together) {
    await it.submit(job(uid, { pieces: TASKS, together: true, urgency: "best_effort", expectS: 300, stashEveryS: 20, stashS: 0.5 }));
    await pause(200);
  }
  if (!(await it.until(() => running(together) === JOBS * TASKS, 20_000)))
    throw new Error("the jobs of one zone do not all run");

  // Ordinary operation: another team takes its guarantee back in coquimbo: these jobs wait.
  await it.submit(job("wk-000002", { pieces: COQUIMBO, berth: "coquimbo", owner: "costero", urgency: "urgent", expectS: 14 }));
  if (!(await it.until(() => running(together) === 0, 15_000)))
    throw new Error("the jobs of one zone are not stopped");
  // Valparaiso becomes free: they are handed over to its parts.
  await it.withdraw("wk-000001");
  await pause(1100);
  // The disruption: the controller that owns coquimbo's machines ends, and is back after 5 s.
  if (trouble) it.signal(1, "SIGKILL");
  await pause(1500);
  // Further work fills valparaiso.
  await it.submit(job("wk-000003", { pieces: 2 * VALPARAISO, berth: "valparaiso", owner: "oceanografia", expectS: 60 }));
  if (trouble) {
    await pause(3500);
    it.launch(1);
  }
  await pause(25_000);
  for (const uid of together) await it.poll(uid);
  return broken;
});
