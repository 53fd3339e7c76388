/**
 * Injects the scenario's faults at their times, such as a killed controller or a state service
 * outage.
 */
import { JobClient } from "../client/client.js";
import type { Timer } from "../clock.js";
import { systemClock } from "../clock.js";
import type { LabPlatform } from "./platform.js";
import { RandomSource } from "./random-source.js";

const DAY_S = 86_400;
/**
 * Added to the scenario's seed, so that faults do not share random values with users and machines.
 */
const FAULT_SEED_OFFSET = 77;

export class FaultInjector {
  readonly #timers: Timer[] = [];
  readonly #randomSource: RandomSource;

  constructor(
    readonly platform: LabPlatform,
    /** Called with a line of text for each fault. */
    readonly onProgress: (text: string) => void,
  ) {
    this.#randomSource = new RandomSource(platform.scenario.seed + FAULT_SEED_OFFSET);
  }

  /** Starts the timers of all faults; the run starts now. */
  start(): void {
    const { faults } = this.platform.scenario;
    const { controller_killed_at_s: killedAtS, machines_lost: lost, state_out: outage } = faults;
    const { controller_drained_at_s: drainedAtS } = faults;
    if (drainedAtS !== undefined) this.#schedule(drainedAtS, () => void this.#drainController());
    if (killedAtS !== undefined) this.#schedule(killedAtS, () => this.#killController());
    if (lost !== undefined) this.#schedule(lost.at_s, () => this.#failMachines(lost.count));
    if (outage !== undefined) {
      this.#schedule(outage.at_s, () => this.#setStateOutage(true));
      this.#schedule(outage.at_s + outage.length_s, () => this.#setStateOutage(false));
    }
    const perS = faults.speed / DAY_S;
    this.#scheduleRepeatedly(faults.machine_failures_per_day * perS, () => this.#failMachines(1));
    this.#scheduleRepeatedly(faults.machine_restarts_per_day * perS, () => this.#restartMachine());
  }

  stop(): void {
    for (const timer of this.#timers) timer.cancel();
  }

  #schedule(seconds: number, run: () => void): void {
    this.#timers.push(systemClock.after(seconds * 1000, run));
  }

  #scheduleRepeatedly(perS: number, run: () => void): void {
    if (perS <= 0) return;
    this.#schedule(this.#randomSource.interArrivalMs(perS) / 1000, () => {
      run();
      this.#scheduleRepeatedly(perS, run);
    });
  }

  #killController(): void {
    const { controllers, scenario } = this.platform;
    const victim = controllers[this.#randomSource.index(controllers.length)]!;
    this.onProgress(`controller ${victim.name} killed`);
    void victim.kill();
    this.#schedule(scenario.faults.controller_back_after_s, () => victim.start());
  }

  async #drainController(): Promise<void> {
    const { controllers } = this.platform;
    const { name, listen } = controllers[this.#randomSource.index(controllers.length)]!;
    const client = new JobClient(listen);
    try {
      await client.drain(true);
      this.onProgress(`controller ${name} drained`);
    } catch (error) {
      this.onProgress(`controller ${name} not drained: ${(error as Error).message}`);
    } finally {
      client.close();
    }
  }

  #failMachines(count: number): void {
    const lost: string[] = [];
    const candidates = [...this.platform.runningMachines];
    while (lost.length < count && candidates.length > 0) {
      const [key] = candidates.splice(this.#randomSource.index(candidates.length), 1);
      lost.push(key!);
    }
    for (const { region, cloud } of this.platform.regions) {
      const prefix = `${region.name}/`;
      const uids = lost.filter((key) => key.startsWith(prefix));
      cloud.send({ kind: "fail", uids: uids.map((key) => key.slice(prefix.length)) });
    }
    if (count > 1) this.onProgress(`${lost.length} machines lost`);
  }

  #restartMachine(): void {
    const up = [...this.platform.runningMachines];
    const key = up[this.#randomSource.index(up.length)];
    if (key === undefined) return;
    const slash = key.indexOf("/");
    const [region, uid] = [key.slice(0, slash), key.slice(slash + 1)];
    this.platform.workerProcessOf(key).send({ kind: "restart", region, uid });
  }

  #setStateOutage(on: boolean): void {
    this.onProgress(`state services ${on ? "out" : "back"}`);
    for (const { state } of this.platform.regions) state.send({ kind: "outage", on });
  }
}
