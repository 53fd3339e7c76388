// The tasks of a sound job are put on one faulty machine, fail there, and the machine is taken away.
// Then other machines have room for all of them, and nothing of the job is started.
import { boyas, job, pause, runCase } from "../harness-2.mjs";

const CORES = 16; // Of a machine of the type grande.
const LIMIT_S = 90;

await runCase(process.env.RECORD, { ...boyas, maxMachines: 2 }, async (it, record, trouble) => {
  const grande = it.cloud.types.find(({ name }) => name === "grande");
  const sound = [0, 1].map(() => it.cloud.add(grande, "coquimbo", true, true).uid);
  if (!(await it.until(() => it.front.healthy.length === 3, 30_000)))
    throw new Error("the controllers are not healthy");
  const on = (uids) => [...it.onMachine.values()].filter(({ host }) => uids.includes(host)).length;

  // Other work fills the two sound machines for some seconds.
  await it.submit(job("wk-000001", { pieces: 2 * CORES, berth: "coquimbo", sizeGb: 0.1, expectS: 8 }));
  if (!(await it.until(() => on(sound) === 2 * CORES, 10_000)))
    throw new Error("the first job does not run");
  // A third machine comes. With the disruption it is faulty: each task fails on it.
  const { uid: third } = it.cloud.add(grande, "coquimbo", true, true);
  if (trouble) it.faulty.add(third);
  record.add(`${third} is ${trouble ? "faulty" : "sound"}`);
  await pause(3000);
  let starts = 0;
  it.onTask = ({ kind, piece, host }) => {
    if (kind === "started" && piece.startsWith("wk-000002/") && host !== (trouble ? third : "")) starts++;
  };
  await it.submit(
    job("wk-000002", { pieces: CORES, berth: "coquimbo", owner: "oceanografia", sizeGb: 0.1, expectS: 20 }),
  );
  if (!trouble) {
    const ran = await it.until(() => starts > 0, LIMIT_S * 1000);
    await it.poll("wk-000002");
    return ran ? [] : ["left_waiting: nothing of wk-000002 was started"];
  }
  await pause(4000);
  if (on([third]) > 0) throw new Error("tasks still run on the faulty machine");
  record.add(`the faulty machine ${third} is taken back: the trouble is over`);
  it.cloud.remove(third);
  if (!(await it.until(() => on(sound) === 0 || starts > 0, 20_000)))
    throw new Error("the first job does not end");
  // From now on the two sound machines have room for all tasks of the job.
  record.add(`room on ${sound.join(" and ")}`);
  const began = record.at;
  let polledAt = began;
  while (record.at - began < LIMIT_S && starts === 0) {
    await pause(250);
    // One of the two may be given back; the other has room for all tasks too.
    if (!sound.some((uid) => it.workers.has(uid))) throw new Error("no sound machine is left");
    if (record.at - polledAt < 15) continue;
    polledAt = record.at;
    await it.poll("wk-000002");
  }
  if (starts > 0) return [];
  const left = sound.filter((uid) => it.workers.has(uid));
  return [
    `left_waiting: wk-000002 was accepted, and none of its ${CORES} tasks was started for ${LIMIT_S} s while ${left.join(" and ")} had ${CORES} CPUs free and its team used none of its 440`,
  ];
});
