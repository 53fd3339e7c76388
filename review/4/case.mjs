// One task of a job fails on a faulty machine, and the machine is taken away. The part that has the job
// has no room then; a machine of another part is idle, and the job fits it. It is never started there.
import { boyas, job, pause, runCase } from "../harness-2.mjs";

const CORES = 16; // Of a machine of the type grande.
const LIMIT_S = 90;

await runCase(process.env.RECORD, { ...boyas, maxMachines: 2 }, async (it, record, trouble) => {
  const grande = it.cloud.types.find(({ name }) => name === "grande");
  const { uid: busy } = it.cloud.add(grande, "coquimbo", true, true);
  const { uid: idle } = it.cloud.add(grande, "valparaiso", true, true);
  if (!(await it.until(() => it.front.healthy.length === 3, 30_000)))
    throw new Error("the controllers are not healthy");
  const on = (uid) => [...it.onMachine.values()].filter(({ host }) => host === uid).length;

  // A service fills the machine in coquimbo, and other work the one in valparaiso for some seconds.
  await it.submit(
    job("wk-000001", { shape: "service", pieces: CORES, berth: "coquimbo", owner: "costero", sizeGb: 0.1, expectS: 0 }),
  );
  await it.submit(job("wk-000002", { pieces: CORES, berth: "valparaiso", sizeGb: 0.1, expectS: 9 }));
  if (!(await it.until(() => on(busy) === CORES && on(idle) === CORES, 12_000)))
    throw new Error("the first jobs do not run");
  // A job for a type that is not to be had waits all the time: so no idle machine is given back.
  await it.submit(job("wk-000004", { pieces: 10, cores: 4, builds: ["chico"], sizeGb: 0.1 }));
  // A third machine comes to coquimbo. With the disruption it is faulty: each task fails on it.
  const { uid: third } = it.cloud.add(grande, "coquimbo", true, true);
  if (trouble) it.faulty.add(third);
  record.add(`${third} is ${trouble ? "faulty" : "sound"}`);
  await pause(3000);
  let starts = 0;
  let failed = false;
  it.onTask = ({ kind, piece, host, cause }) => {
    if (!piece.startsWith("wk-000003/")) return;
    if (kind === "started" && !it.faulty.has(host)) starts++;
    if (kind === "ended" && cause === "error") failed = true;
  };
  // May run in any zone. It is of a team that uses nothing.
  await it.submit(job("wk-000003", { owner: "oceanografia", sizeGb: 0.1, expectS: 30 }));
  if (!trouble) {
    const ran = await it.until(() => starts > 0, LIMIT_S * 1000);
    await it.poll("wk-000003");
    return ran ? [] : ["left_waiting: wk-000003 was not started"];
  }
  if (!(await it.until(() => failed || starts > 0, 10_000))) throw new Error("the job was not tried");
  await pause(4000); // The worker has reported it by now.
  record.add(`the faulty machine ${third} is taken back: the trouble is over`);
  it.cloud.remove(third);
  if (!(await it.until(() => on(idle) === 0 || starts > 0, 20_000)))
    throw new Error("the work in valparaiso does not end");
  record.add(`${idle} is idle`);
  const began = record.at;
  let polledAt = began;
  while (record.at - began < LIMIT_S && starts === 0) {
    await pause(250);
    if (!it.workers.has(idle)) throw new Error("the idle machine was given back");
    if (record.at - polledAt < 15) continue;
    polledAt = record.at;
    await it.poll("wk-000003");
  }
  if (starts > 0) return [];
  return [
    `left_waiting: wk-000003 was accepted, and its one task was not started for ${LIMIT_S} s while ${idle} was idle and its team used none of its 440 CPUs`,
  ];
});
